//! A log that is given commands faster than it applies them.

mod harness;

use std::time::Duration;

use futures_util::future::join_all;
use harness::{Cluster, with_timeout};

/// Time that applying a command takes.
const APPLY_TIME: Duration = Duration::from_millis(10);

/// Starts a cluster that applies slowly, and has applied enough for the leader to know how slowly.
async fn slow_cluster() -> Cluster {
    let mut cluster = Cluster::new(3);
    (cluster.apply_time, cluster.own_threads) = (APPLY_TIME, true);
    cluster.start_all().await;
    cluster.propose_many("first", 40).await;
    cluster
}

/// Guards against a read that waits until the leader has applied all that is committed, although
/// another replica serves it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn index_confirmed_while_leader_applies() {
    let cluster = slow_cluster().await;
    let node = &cluster.nodes[&cluster.leader().await];
    let proposals = (0..200).map(|n| node.propose(format!("many-{n}")));
    let proposals = join_all(proposals);
    let confirmed = async {
        while node.status().commit.0 < node.status().applied.0 + 100 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let applied = node.status().applied;
        let index = node.confirm_index().await.unwrap();
        (index, applied, node.status().applied)
    };
    let (results, (index, applied, applied_after)) =
        with_timeout(async { tokio::join!(proposals, confirmed) }).await;
    assert!(results.iter().all(Result::is_ok));
    assert!(index > applied, "index {index} was applied before the call");
    assert!(index > applied_after, "the call waited for index {index}; {applied_after} is applied");
}
