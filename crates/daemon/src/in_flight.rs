//! Proposals that wait to be applied. One that its sender repeats meanwhile gets the same result.
//!
//! A log that is behind would otherwise get a further entry for each attempt of those who wait for it,
//! and fall behind still more.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_control::Reply;
use shallotdrum_rpc::RpcError;
use shallotdrum_types::{ProposalId, SessionId};
use tokio::sync::watch;

/// Time for which a result is kept: two attempts of a sender that has lost the reply.
const RESULT_LIFETIME: Duration = Duration::from_secs(3);

/// What makes two proposals the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ProposalKey {
    /// Drawn by the instance that sent it.
    Sent(ProposalId),
    /// End of a session whose lease has expired, written by the leader.
    EndSession(SessionId),
}

type Outcome = Result<Reply, RpcError>;

/// Proposals in progress, and those that were applied shortly before.
#[derive(Clone, Default)]
pub(crate) struct InFlight(Arc<Mutex<HashMap<ProposalKey, watch::Receiver<Option<Outcome>>>>>);

impl InFlight {
    /// Returns the outcome of the proposal in progress under this key, or else that of `write`, which
    /// goes on if the caller is dropped.
    pub(crate) async fn join_or_write(
        &self,
        key: ProposalKey,
        write: impl Future<Output = Outcome> + Send + 'static,
    ) -> Outcome {
        let mut rx = {
            let mut proposals = self.lock();
            match proposals.get(&key) {
                Some(rx) => rx.clone(),
                None => {
                    let (tx, rx) = watch::channel(None);
                    proposals.insert(key, rx.clone());
                    tokio::spawn(self.clone().finish(key, tx, write));
                    rx
                }
            }
        };
        let outcome = rx.wait_for(Option::is_some).await.ok().and_then(|outcome| outcome.clone());
        outcome.unwrap_or(Err(RpcError::Unknown))
    }

    async fn finish(
        self,
        key: ProposalKey,
        tx: watch::Sender<Option<Outcome>>,
        write: impl Future<Output = Outcome>,
    ) {
        let outcome = write.await;
        // One that was refused or lost is written again if its sender repeats it.
        if outcome.is_ok() {
            tx.send_replace(Some(outcome));
            tokio::time::sleep(RESULT_LIFETIME).await;
            self.lock().remove(&key);
        } else {
            self.lock().remove(&key);
            tx.send_replace(Some(outcome));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ProposalKey, watch::Receiver<Option<Outcome>>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
