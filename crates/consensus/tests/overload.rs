//! A log that is given commands faster than it applies them.

mod harness;

use std::time::Duration;

use futures_util::future::join_all;
use harness::{Cluster, with_timeout};
use shallotdrum_consensus::ProposeError;
use tokio::time::Instant;

/// Time that applying a command takes.
const APPLY_TIME: Duration = Duration::from_millis(10);

/// Time for which those who propose commands wait.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Time beyond that in which a command is committed, and in which the rate of applying varies.
const TOLERANCE: Duration = Duration::from_secs(1);

/// Starts a cluster that applies slowly, and has applied enough for the leader to know how slowly.
async fn slow_cluster() -> Cluster {
    let mut cluster = Cluster::new(3);
    (cluster.apply_time, cluster.own_threads) = (APPLY_TIME, true);
    cluster.start_all().await;
    cluster.propose_many("first", 40).await;
    cluster
}

/// Guards against a log that grows without limit while it is applied more slowly, so that each command
/// waits for all before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn commands_faster_than_applied_are_refused() {
    let cluster = slow_cluster().await;
    let node = &cluster.nodes[&cluster.leader().await];
    // Five times what is applied within the wait.
    let commands = 5 * (MAX_WAIT.as_millis() / APPLY_TIME.as_millis());
    let proposals = (0..commands).map(|n| async move {
        let start = Instant::now();
        let result = node.propose_within(format!("many-{n}"), MAX_WAIT).await;
        (result, start.elapsed())
    });
    let results = with_timeout(join_all(proposals)).await;
    let refused = results.iter().filter(|(result, _)| result.is_err()).count();
    let slowest = results.iter().filter(|(result, _)| result.is_ok()).map(|(_, time)| *time).max();
    println!("{refused} of {commands} refused, the others applied within {slowest:?}");
    for (result, time) in &results {
        match result {
            Ok(_) => assert!(*time <= MAX_WAIT + TOLERANCE, "applied after {time:?}"),
            Err(ProposeError::Overloaded { wait }) => assert!(*wait > MAX_WAIT),
            Err(error) => panic!("{error}"),
        }
    }
    assert!(refused > 0, "all commands were accepted");
    assert!(refused < results.len(), "no command was accepted");
    let last = node.propose_within("last".to_owned(), MAX_WAIT).await;
    assert!(last.is_ok(), "refused although the log has caught up: {last:?}");
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
