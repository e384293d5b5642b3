//! Membership of the control replicas when settings name only seeds.
//!
//! The seeds of the first start form the first configuration. Any other replica, and one that
//! returned with an empty folder or was removed, asks the leader to add it. The leader removes a
//! replica that has been silent for long while others suffice.
//!
//! Architecture Invariant: the leader makes one change at a time, and removes a replica only if
//! the others that answer are a majority of those that remain.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use shallotdrum_control::ControlView;
use shallotdrum_rpc::{ControlClient, Directory, PeerApiClient};
use shallotdrum_telemetry::event;
use shallotdrum_types::InstanceId;
use tokio::time::Instant;

use crate::replica::Replica;

/// Pause between looks whether this replica belongs to the configuration.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time for one request to be added: a snapshot has to be transferred.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Keeps the directory up to date with the replicas that have sessions.
pub(crate) async fn learn_replicas(view: ControlView, directory: Directory) {
    let mut changed = view.changed();
    loop {
        let replicas: BTreeSet<InstanceId> = view.read(|state| {
            let replicas = state.sessions().filter(|session| session.info.replica);
            replicas.map(|session| session.info.instance.clone()).collect()
        });
        directory.learn(replicas);
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Asks the leader to add this replica whenever it does not belong to the configuration.
pub(crate) async fn join(
    instance: InstanceId,
    replica: Arc<Replica>,
    client: ControlClient,
    log: slog::Logger,
) {
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        if replica.node.takes_part() {
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

/// Whether a voter that was silent for long may be removed: those that remain and answer are a
/// majority of the remaining ones, and losing one more of them leaves a majority.
pub(crate) fn may_remove(voters: usize, silent: usize) -> bool {
    let remaining = voters - 1;
    let answering = voters - silent;
    silent > 0 && answering > remaining / 2 + 1
}
