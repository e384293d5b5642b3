//! Replicated control state: manifest, routes, sessions, targets, group ownership, ledger and
//! quarantine.
//!
//! Architecture Invariant: `ControlState` changes only through `apply` and by restoring a
//! snapshot. `apply` is deterministic: it depends on no clock, random numbers or settings.

mod apply_costs;
mod command;
mod format;
mod leader;
mod ownerships;
mod state;
mod view;

pub use apply_costs::{ApplyCost, ApplyCosts};
pub use command::{
    AnnouncedTarget, BeginOutcome, CallKey, Command, CommandError, InstanceAddrs, InstanceInfo,
    Proposal, ProposeError, ProposeFn, RecordedAnswer, Reply, TimedCommand,
};
pub use format::{
    CUSTOMERS_FORMAT, DIRECT_REPORTS_FORMAT, INITIAL_FORMAT, NEWEST_FORMAT,
    RECORDED_DEPARTURES_FORMAT, UNKNOWN_DEPARTURES_FORMAT,
};
pub use leader::{
    CLOCK_DRIFT_MARGIN, LeaderState, PERMIT_LIFETIME, PermitReply, PermitTable, RenewError,
    SESSION_LEASE, SessionTable, assignments, permit_term, rebalance,
};
pub use state::{
    CRASH_SETTLE_MS, CRASHES_TO_QUARANTINE, Call, CallResult, CallerIdentity, CompletedRuns,
    ControlState, DecodeError, FIRST_PART_OBSERVATION_MS, Group, GroupKind, Handover, Isolation,
    LEDGER_LIFETIME_MS, LOST_OWNER_SETTLE_MS, MAX_GROUP_TARGETS, MAX_LEDGER_CALLS, MAX_QUARANTINED,
    MAX_RECORDED_BODY_BYTES, MAX_RECORDED_BYTES, MAX_RECORDED_HEADER_BYTES, MAX_SUBMISSIONS,
    MAX_SUSPECTS, PART_CRASHES_TO_QUARANTINE, PART_LIFETIME_MS, PART_OBSERVATION_MS,
    PartQuarantine, PartRun, Quarantined, RUNS_PER_CRASH, SHARED_CRASHES_TO_QUARANTINE,
    SHARED_FIRST_PART_OBSERVATION_MS, SHARED_PART_CRASHES_TO_QUARANTINE, SOFTWARE_MEMORY_MS,
    SUSPECT_LIFETIME_MS, SUSPENSION_MS, Session, Submission, SuspectPart, Target,
};
pub use view::ControlView;
