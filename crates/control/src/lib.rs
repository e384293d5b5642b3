//! Replicated control state: manifest, sessions, targets, group ownership, ledger, quarantine.
//!
//! Architecture Invariant: `ControlState` changes only through `StateMachine::apply`, which is
//! deterministic: it reads no clock, no random numbers and no settings.

mod command;

pub use command::{
    AnnouncedTarget, BeginOutcome, CallKey, Command, CommandError, InstanceAddrs, InstanceInfo,
    Proposal, ProposeError, ProposeFn, RecordedAnswer, Reply, TimedCommand,
};
