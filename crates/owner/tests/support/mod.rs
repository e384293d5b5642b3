//! A control log that applies commands at once, and owners that follow it.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::FutureExt;
use shallotdrum_control::{
    AnnouncedTarget, Command, ControlView, InstanceAddrs, InstanceInfo, Proposal, ProposeError,
    Reply, TimedCommand,
};
use shallotdrum_engine::{ClientTimeouts, EngineClient, TargetKind};
use shallotdrum_links::Links;
use shallotdrum_owner::OwnerContext;
use shallotdrum_scheduler::SchedulerConfig;
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{ControlTimeMs, GroupId, Incarnation, PermitId, SessionId};

/// Control log whose commands are applied at once.
#[derive(Clone, Default)]
pub(crate) struct Log(pub(crate) ControlView, Arc<Mutex<()>>);

impl Log {
    pub(crate) fn apply(&self, command: Command) -> Reply {
        let _lock = self.1.lock().unwrap();
        let index = self.0.read(|state| state.applied()).next();
        let at = ControlTimeMs(1);
        self.0.apply_on_follower(index, TimedCommand { at, command });
        Reply::Done
    }

    pub(crate) fn open(&self, instance: &str) -> SessionId {
        let addr: SocketAddr = "127.0.0.1:1".parse().unwrap();
        self.apply(Command::OpenSession(InstanceInfo {
            instance: instance.parse().unwrap(),
            incarnation: Incarnation(1),
            region: "fj".parse().unwrap(),
            zone: "z".parse().unwrap(),
            addrs: InstanceAddrs { entry: addr, rpc: addr, data: addr },
            replica: false,
            cores: None,
        }));
        self.0.read(|state| state.sessions().map(|s| s.id).max()).unwrap()
    }

    /// Registers a target; returns its group.
    pub(crate) fn register(&self, target: &str, kind: TargetKind) -> GroupId {
        self.apply(Command::RegisterTarget(AnnouncedTarget {
            target: target.parse().unwrap(),
            incarnation: Incarnation(1),
            addr: "127.0.0.1:1".parse().unwrap(),
            pool: "pool".parse().unwrap(),
            region: "fj".parse().unwrap(),
            zone: "z".parse().unwrap(),
            kind,
            software: None,
        }));
        let target = target.parse().unwrap();
        self.0.read(|state| state.target(&target).unwrap().group.clone())
    }

    pub(crate) fn assign(&self, group: &GroupId, session: SessionId) {
        self.apply(Command::AssignGroup { group: group.clone(), session });
    }
}

/// Context of an owner that sends no orders and whose session does not end.
pub(crate) fn context(log: &Log, session: SessionId) -> OwnerContext {
    let proposals = log.clone();
    OwnerContext {
        view: log.0.clone(),
        session: Arc::new(move || Some(session)),
        propose: Arc::new(move |proposal| {
            let log = proposals.clone();
            async move {
                match proposal {
                    Proposal::Command(command) => Ok(log.apply(command)),
                    Proposal::Manifest { .. } => Err(ProposeError::Unknown),
                }
            }
            .boxed()
        }),
        permit: Arc::new(|_| async { Some(PermitId(0)) }.boxed()),
        release: Arc::new(|_| {}),
        order: Arc::new(|_| async { Ok(()) }.boxed()),
        inspect: None,
        engine: EngineClient::new(ClientTimeouts::default()),
        links: Links::default(),
        target_timeout: Duration::from_secs(60),
        scheduler: SchedulerConfig::new("z".parse().unwrap()),
        metrics: Metrics::new().unwrap(),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        max_body_bytes: 1024,
    }
}
