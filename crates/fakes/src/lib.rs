//! Fake engines, fake HTTP services and a fault-injecting TCP proxy for tests and benchmarks.
//!
//! Each fake runs either in the calling process, where dropping its handle stops it, or as a
//! binary. `docs/engine-interface.md` describes the interface that engine and service implement.
//!
//! Architecture Invariant: statistics and settings belong to the handle and survive a simulated
//! crash; all other state belongs to one incarnation and is lost with it.

mod cli;
mod clock;
mod engine;
mod late_copy;
mod port;
mod presence;
mod process;
mod proxy;
mod serve;
mod service;
mod text;
mod weight_store;

pub use cli::{wait_for_stop_signal, write_addr_file};
pub use clock::unix_ms;
pub use engine::{
    EngineSettings, EngineStats, FakeEngine, FakeEngineConfig, OrderRecord, Run, RunEnd, Violation,
    ViolationRecord,
};
pub use port::ReservedPort;
pub use presence::{CrashMode, Identity, PresenceStats};
pub use process::{Process, ProcessError};
pub use proxy::{Direction, FaultProxy, Flow, LinkSettings, ProxySettings, ProxyStats};
pub use service::{Execution, FakeService, FakeServiceConfig, ServiceSettings, ServiceStats};
pub use text::{count_prompt_tokens, expected_text};
pub use weight_store::WeightStoreModel;
