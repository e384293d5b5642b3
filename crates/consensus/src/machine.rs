//! Interface of the replicated state machine.

use shallotdrum_types::LogIndex;

/// Deterministic state machine that applies committed commands in log order.
pub trait StateMachine: Send + Sync + 'static {
    /// State change that is stored in the log.
    type Command: Clone + Send + Sync + 'static;
    /// Result of a command, returned to its proposer only.
    type Reply: Send + 'static;
    /// Error for bytes that are not a valid command or snapshot.
    type DecodeError: std::error::Error + Send + Sync + 'static;

    /// Encodes a command for the log; `decode` must restore it.
    fn encode(command: &Self::Command) -> Vec<u8>;

    /// Decodes the output of `encode`.
    fn decode(bytes: &[u8]) -> Result<Self::Command, Self::DecodeError>;

    /// Applies the committed command at the given index.
    fn apply(&mut self, index: LogIndex, command: Self::Command) -> Self::Reply;

    /// Records that the log is applied up to the index, beyond the last command.
    fn advance(&mut self, _index: LogIndex) {}

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by a decoded output of `snapshot`; leaves it unchanged on error.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), Self::DecodeError>;
}
