//! Interface of the network between replicas.

use shallotdrum_types::InstanceId;

/// Sends messages to other replicas.
pub trait Transport: Send + Sync + 'static {
    /// Sends an encoded message to a replica and returns its encoded response.
    ///
    /// The response is the result of `Node::handle` at the receiver. Implementations must time out.
    fn call(
        &self,
        to: &InstanceId,
        message: Vec<u8>,
    ) -> impl Future<Output = Result<Vec<u8>, TransportError>> + Send;
}

/// A message that got no response; the receiver may have processed it.
#[derive(Debug, thiserror::Error)]
#[error("no response from replica {to}: {reason}")]
pub struct TransportError {
    /// Receiver of the message.
    pub to: InstanceId,
    /// Error of the network.
    pub reason: String,
}
