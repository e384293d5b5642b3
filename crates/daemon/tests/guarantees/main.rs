//! Tests of the guarantees with real processes, fake targets and injected faults.
//!
//! `docs/guarantees.md` lists the mechanism, the fault and the test of each guarantee.

mod answers;
mod calls;
mod close_delimited;
mod crashes;
mod late_copies;
mod load;
mod manifests;
mod ownership;
mod place_channel;
mod random_mix;
mod replicas;
mod setup;
mod stops;
