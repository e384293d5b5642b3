//! Membership of the control replicas when the settings list only seeds.
//!
//! The seeds of the first start form the initial configuration. Any other replica asks the leader
//! to add it, and so does a replica that was removed or restarts with an empty data folder. The
//! leader removes a replica that has been unresponsive for a long time if enough others respond.
//!
//! Architecture Invariant: the leader makes one membership change at a time, and removes a voter
//! only if the voters that respond are a majority of the new configuration even after one more of
//! them fails.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use shallotdrum_control::ControlView;
use shallotdrum_rpc::{ControlClient, Directory, PeerApiClient};
use shallotdrum_telemetry::event;
use shallotdrum_types::InstanceId;
use tokio::time::Instant;

use crate::replica::Replica;

/// Pause between checks of whether this replica is part of the configuration.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of one request to be added, which includes a snapshot transfer.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Updates the directory with the replicas that have sessions.
pub(crate) async fn track_replicas(view: ControlView, directory: Directory) {
    let mut changed = view.changed();
    loop {
        let replicas: BTreeSet<InstanceId> = view.read(|state| {
            let replicas = state.sessions().filter(|session| session.info.replica);
            replicas.map(|session| session.info.instance.clone()).collect()
        });
        directory.set_discovered(replicas);
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Asks the leader to add this replica whenever it is not part of the configuration.
pub(crate) async fn join(
    instance: InstanceId,
    replica: Arc<Replica>,
    client: ControlClient,
    log: slog::Logger,
) {
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        if replica.node.is_active_member() {
            continue;
        }
        let deadline = Instant::now() + JOIN_TIMEOUT;
        let id = instance.clone();
        let added = client.call_leader(deadline, |client| {
            let id = id.clone();
            async move { client.leader_add_replica(id).await }
        });
        if let Err(error) = added.await {
            event!(log, JOIN_RETRIED; "error" => %error);
        }
    }
}

/// Whether an unresponsive voter may be removed: the voters that respond must still be a majority
/// of the new configuration after one more of them fails.
pub(crate) fn can_remove_voter(voters: usize, silent: usize) -> bool {
    let remaining = voters - 1;
    let responding = voters - silent;
    silent > 0 && responding > remaining / 2 + 1
}
