//! What must always hold, with real processes, fake targets and injected faults.
//!
//! `docs/guarantees.md` names the mechanism, the fault and the test of each guarantee.

mod answers;
mod calls;
mod crashes;
mod manifests;
mod ownership;
mod setup;
mod stops;
