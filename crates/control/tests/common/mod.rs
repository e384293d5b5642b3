//! Helpers shared by the tests: a control state that is driven by commands, and constructors.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;

use shallotdrum_control::{
    AnnouncedTarget, BeginOutcome, CallKey, Command, CommandError, ControlState, InstanceAddrs,
    InstanceInfo, RecordedAnswer, Reply, TimedCommand,
};
use shallotdrum_engine::TargetKind;
use shallotdrum_manifest::Manifest;
use shallotdrum_types::{
    ControlTimeMs, Epoch, Fingerprint, GroupId, Incarnation, RequestId, Revision, SessionId,
};

/// Control state to which commands are applied at consecutive log indexes.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) state: ControlState,
    /// Control time of the next command in milliseconds.
    pub(crate) now: u64,
    attempts: u64,
}

impl Log {
    pub(crate) fn apply(&mut self, command: Command) -> Reply {
        let index = self.state.applied().next();
        let at = ControlTimeMs(self.now);
        self.state.apply(index, TimedCommand { at, command })
    }

    /// Applies a command that must be refused.
    pub(crate) fn refused(&mut self, command: Command) -> CommandError {
        match self.apply(command) {
            Reply::Refused(error) => error,
            reply => panic!("command was not refused: {reply:?}"),
        }
    }

    pub(crate) fn open(&mut self, instance: &str, incarnation: u64) -> SessionId {
        match self.apply(Command::OpenSession(instance_info(instance, incarnation))) {
            Reply::SessionOpened(session) => session,
            reply => panic!("{reply:?}"),
        }
    }

    pub(crate) fn register(&mut self, target: AnnouncedTarget) -> GroupId {
        match self.apply(Command::RegisterTarget(target)) {
            Reply::TargetRegistered(group) => group,
            reply => panic!("{reply:?}"),
        }
    }

    pub(crate) fn assign(&mut self, group: &GroupId, session: SessionId) -> Epoch {
        match self.apply(Command::AssignGroup { group: group.clone(), session }) {
            Reply::GroupAssigned(epoch) => epoch,
            reply => panic!("{reply:?}"),
        }
    }

    pub(crate) fn release(&mut self, group: &GroupId, session: SessionId) -> Reply {
        self.apply(Command::ReleaseGroup { group: group.clone(), session })
    }

    /// Begins a call with a new attempt.
    pub(crate) fn begin(&mut self, key: &str, body: &str, session: SessionId) -> BeginOutcome {
        self.attempts += 1;
        self.begin_attempt(key, body, session, self.attempts)
    }

    pub(crate) fn begin_attempt(
        &mut self,
        key: &str,
        body: &str,
        session: SessionId,
        attempt_number: u64,
    ) -> BeginOutcome {
        let fingerprint = Fingerprint::of(body.as_bytes());
        let (key, attempt) = (call_key(key), attempt(attempt_number));
        match self.apply(Command::BeginCall { key, fingerprint, session, attempt }) {
            Reply::Begin(outcome) => outcome,
            reply => panic!("{reply:?}"),
        }
    }

    pub(crate) fn finish(
        &mut self,
        key: &str,
        session: SessionId,
        answer: Option<RecordedAnswer>,
    ) -> Reply {
        self.apply(Command::FinishCall { key: call_key(key), session, answer })
    }

    pub(crate) fn submit(&mut self, id: &str, base: u64, manifest: &Manifest) -> Reply {
        let id = id.parse().unwrap();
        let command = self.state.submit_command(id, Revision(base), manifest);
        self.apply(command)
    }
}

/// Instance whose region is the part of its name before the first dash.
pub(crate) fn instance_info(instance: &str, incarnation: u64) -> InstanceInfo {
    let addr = "127.0.0.1:1".parse().unwrap();
    InstanceInfo {
        instance: instance.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        region: instance.split('-').next().unwrap().parse().unwrap(),
        zone: "z".parse().unwrap(),
        addrs: InstanceAddrs { entry: addr, rpc: addr, data: addr },
        replica: false,
        cores: None,
    }
}

/// Engine of pool `engines` in region `fj`, at an address of its own.
pub(crate) fn engine(target: &str, incarnation: u64) -> AnnouncedTarget {
    let port = target.bytes().fold(1, |hash: u16, b| hash.wrapping_mul(31) ^ u16::from(b));
    AnnouncedTarget {
        target: target.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        pool: "engines".parse().unwrap(),
        region: "fj".parse().unwrap(),
        zone: "z".parse().unwrap(),
        kind: TargetKind::Engine {
            base_model: "m".parse().unwrap(),
            adapter_slots: 4,
            max_batch: 8,
            checks_fencing: false,
        },
        software: None,
    }
}

pub(crate) fn service(target: &str) -> AnnouncedTarget {
    AnnouncedTarget { kind: TargetKind::Service { max_concurrent: 4 }, ..engine(target, 1) }
}

pub(crate) fn call_key(key: &str) -> CallKey {
    CallKey { subscriber: "s".parse().unwrap(), key: key.parse().unwrap() }
}

pub(crate) fn answer(body: &str) -> RecordedAnswer {
    let headers = vec![("content-type".to_owned(), "text/plain".to_owned())];
    RecordedAnswer { status: 200, headers, body: Some(body.as_bytes().to_vec()) }
}

/// Example manifest of the repository.
pub(crate) fn registry() -> Manifest {
    let json = include_bytes!("../../../../examples/registry.manifest.json");
    Manifest::parse(json).unwrap()
}

/// Manifest `registry` with another limit on loads in flight.
pub(crate) fn registry_with(max_loads_in_flight: u32) -> Manifest {
    let mut manifest = registry();
    manifest.weight_store.max_loads_in_flight = max_loads_in_flight;
    manifest
}

pub(crate) fn attempt(number: u64) -> RequestId {
    format!("attempt-{number}").parse().unwrap()
}
