//! Interface to the state machine that the log drives.

use shallotdrum_types::LogIndex;

/// Deterministic state machine, driven by committed commands in log order.
pub trait StateMachine: Send + Sync + 'static {
    /// Change to the state, stored in the log.
    type Command: Clone + Send + Sync + 'static;
    /// Result of a command, returned to its proposer only.
    type Reply: Send + 'static;
    /// Why bytes can't be decoded.
    type DecodeError: std::error::Error + Send + Sync + 'static;

    /// Encodes a command for the log and the network.
    fn encode(command: &Self::Command) -> Vec<u8>;

    /// Decodes a command that `encode` encoded.
    fn decode(bytes: &[u8]) -> Result<Self::Command, Self::DecodeError>;

    /// Applies the committed command at the given index.
    fn apply(&mut self, index: LogIndex, command: Self::Command) -> Self::Reply;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by one that `snapshot` encoded; the state is unchanged on error.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), Self::DecodeError>;
}
