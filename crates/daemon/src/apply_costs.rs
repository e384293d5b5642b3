//! Tells what applying the control log costs this instance, and whether its replica keeps up.

use std::{sync::Arc, time::Duration};

use shallotdrum_control::ControlView;
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::LogIndex;

use crate::replica::Replica;

/// Interval of the checks; a replica that takes longer to apply what is committed is behind.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the metrics, and logs when the replica is behind, until the task is dropped.
pub(crate) async fn watch_costs(
    view: ControlView,
    replica: Option<Arc<Replica>>,
    metrics: Metrics,
    log: slog::Logger,
) {
    let mut committed = LogIndex(0);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let costs = view.take_costs();
        for (kind, cost) in costs.iter() {
            metrics.applied(kind, cost.commands, cost.total);
        }
        let Some(replica) = &replica else { continue };
        let status = replica.node.status();
        let backlog = status.commit.0.saturating_sub(status.applied.0);
        metrics.log_backlog().set(i64::try_from(backlog).unwrap_or(i64::MAX));
        if status.applied < committed {
            event!(log, LOG_BEHIND; "applied" => status.applied.0, "commit" => status.commit.0,
                "last" => status.last_index.0, "commands" => %costs);
        }
        committed = status.commit;
    }
}
