//! Interface to the network between replicas.

use shallotdrum_types::InstanceId;

/// Sends messages to other replicas.
pub trait Transport: Send + Sync + 'static {
    /// Sends an encoded message to a replica and returns its encoded answer.
    ///
    /// The answer comes from the receiver's `Node::handle`. Implementations bound the wait.
    fn call(
        &self,
        to: &InstanceId,
        message: Vec<u8>,
    ) -> impl Future<Output = Result<Vec<u8>, TransportError>> + Send;
}

/// A message got no answer.
#[derive(Debug, thiserror::Error)]
#[error("no answer from replica {to}: {reason}")]
pub struct TransportError {
    /// Replica that was called.
    pub to: InstanceId,
    /// What the network reported.
    pub reason: String,
}
