//! Relays announcements of targets, which any instance accepts, to the owner of their group.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotdrum_control::{
    AnnouncedTarget, Command, CommandError, ControlView, Proposal, ProposeError, Reply,
};
use shallotdrum_engine::{Announcement, CacheEvents};
use shallotdrum_owner::OwnerService;
use shallotdrum_rpc::{ControlClient, PeerApiClient, Peers, RpcError};
use shallotdrum_telemetry::event;
use shallotdrum_types::{Incarnation, RequestError, RequestErrorKind, SessionId, TargetId};

use crate::session::SessionManager;

/// Timeout of a call to the owner; targets expect an acknowledgement within one second.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);

/// Relays announcements of targets to the control log and to owners.
#[derive(Clone)]
pub(crate) struct TargetRelay {
    pub(crate) view: ControlView,
    pub(crate) client: ControlClient,
    pub(crate) peers: Peers,
    pub(crate) owner: Arc<OwnerService>,
    pub(crate) session: Arc<SessionManager>,
    pub(crate) log: slog::Logger,
}

/// Whether the owner of a target's group was told at once that the target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    NoOwner,
    Told,
    /// The owner learns it from the control log.
    Failed,
}

/// Where the owner of a target's group runs.
enum Owner {
    None,
    Local,
    Remote(SocketAddr),
}

impl TargetRelay {
    /// Registers a new or restarted target and relays its load to the owner.
    pub(crate) async fn announce(&self, announcement: Announcement) -> Result<(), RequestError> {
        let announced = announced_target(&announcement);
        let is_registered = self.view.read(|state| {
            state.target(&announcement.target).is_some_and(|t| t.announced == announced)
        });
        if !is_registered {
            self.propose(Command::RegisterTarget(announced)).await?;
        }
        match self.owner_of(&announcement.target) {
            Owner::None => Ok(()),
            Owner::Local => {
                // An error means that the group has moved; the next announcement reaches the
                // new owner.
                let _ = self.owner.announce(&announcement);
                Ok(())
            }
            Owner::Remote(addr) => {
                let relayed = match self.peers.get(addr) {
                    Ok(client) => client.target_announce(announcement).await.map_err(Into::into),
                    Err(error) => Err(error),
                };
                relayed.map_err(|e| relay_error(&e))
            }
        }
    }

    /// Stops new requests to a target that still finishes those it has.
    pub(crate) async fn drain(&self, announcement: Announcement) -> Result<(), RequestError> {
        let announced = announced_target(&announcement);
        let Announcement { target, incarnation, .. } = announcement;
        let notice = self.notify_owner(&target, incarnation).await;
        let registered = self.view.read(|state| {
            let registered = state.target(&target)?;
            (registered.announced.incarnation == incarnation).then_some(registered.draining)
        });
        if registered.is_none() {
            self.propose(Command::RegisterTarget(announced)).await?;
        }
        if registered == Some(true) {
            return Ok(());
        }
        self.propose(Command::DrainTarget { target: target.clone(), drain: true }).await?;
        self.log_confirmed(&target, incarnation, "draining", notice);
        Ok(())
    }

    /// Stops new requests to a target, then removes it.
    pub(crate) async fn leave(
        &self,
        target: TargetId,
        incarnation: Incarnation,
    ) -> Result<(), RequestError> {
        let notice = self.notify_owner(&target, incarnation).await;
        let remove =
            Command::RemoveTarget { target: target.clone(), incarnation, is_leaving: true };
        self.propose(remove).await?;
        self.log_confirmed(&target, incarnation, "left", notice);
        Ok(())
    }

    /// Records that a target has left whose incarnation is not known here: it is not registered, or
    /// this instance is behind.
    pub(crate) async fn leave_unknown(
        &self,
        target: TargetId,
        newest: Incarnation,
    ) -> Result<(), RequestError> {
        let leave = Command::LeaveUnknown { target: target.clone(), newest };
        match self.client.propose(Proposal::Command(leave)).await {
            // Releases that share the log and do not know the command keep the newest incarnation
            // like that of a registered target.
            Ok(Reply::Refused(CommandError::FormatNotAgreed { .. })) => {
                self.leave(target, newest).await
            }
            result => {
                check_reply(result)?;
                self.log_confirmed(&target, newest, "left before it was known", Notice::NoOwner);
                Ok(())
            }
        }
    }

    /// Logs that a departure is about to be acknowledged.
    fn log_confirmed(
        &self,
        target: &TargetId,
        incarnation: Incarnation,
        departure: &'static str,
        notice: Notice,
    ) {
        event!(self.log, DEPARTURE_CONFIRMED; "target" => %target, "incarnation" => incarnation.0,
            "departure" => departure, "owner" => ?notice, "index" => self.view.applied().0);
    }

    /// Notifies the owner directly that a target accepts no new requests.
    ///
    /// If that fails, the command that the caller proposes informs the owner.
    async fn notify_owner(&self, target: &TargetId, incarnation: Incarnation) -> Notice {
        let is_told = match self.owner_of(target) {
            Owner::None => return Notice::NoOwner,
            Owner::Local => self.owner.leave(target, incarnation).is_ok(),
            Owner::Remote(addr) => match self.peers.get(addr) {
                Ok(client) => {
                    let notified = client.target_leave(target.clone(), incarnation);
                    let told = tokio::time::timeout(NOTIFY_TIMEOUT, notified).await;
                    matches!(told, Ok(Ok(())))
                }
                Err(_) => false,
            },
        };
        if is_told { Notice::Told } else { Notice::Failed }
    }

    /// Relays cache events to the owner; later events compensate for lost ones.
    pub(crate) async fn cache_events(&self, events: CacheEvents) -> Result<(), RequestError> {
        match self.owner_of(&events.target) {
            Owner::None => Ok(()),
            Owner::Local => {
                let _ = self.owner.cache_events(&events);
                Ok(())
            }
            Owner::Remote(addr) => {
                let relayed = match self.peers.get(addr) {
                    Ok(client) => client.target_cache_events(events).await.map_err(Into::into),
                    Err(error) => Err(error),
                };
                relayed.map_err(|e| relay_error(&e))
            }
        }
    }

    fn owner_of(&self, target: &TargetId) -> Owner {
        let found: Option<(SessionId, SocketAddr)> = self.view.read(|state| {
            let group = state.group(&state.target(target)?.group)?;
            let session = state.session(group.owner?)?;
            Some((group.owner?, session.info.addrs.rpc))
        });
        match found {
            None => Owner::None,
            Some((session, _)) if Some(session) == self.session.current() => Owner::Local,
            Some((_, addr)) => Owner::Remote(addr),
        }
    }

    async fn propose(&self, command: Command) -> Result<(), RequestError> {
        check_reply(self.client.propose(Proposal::Command(command)).await)
    }
}

/// Fails unless the control log has accepted a command.
fn check_reply(result: Result<Reply, ProposeError>) -> Result<(), RequestError> {
    match result {
        Ok(Reply::Refused(error)) => {
            Err(RequestError::not_run(RequestErrorKind::InvalidRequest, error))
        }
        Ok(_) => Ok(()),
        Err(error) => Err(RequestError::unknown(RequestErrorKind::NotReady, error)),
    }
}

/// Returns the part of an announcement that the control log stores.
fn announced_target(announcement: &Announcement) -> AnnouncedTarget {
    AnnouncedTarget {
        target: announcement.target.clone(),
        incarnation: announcement.incarnation,
        addr: announcement.addr,
        pool: announcement.pool.clone(),
        region: announcement.region.clone(),
        zone: announcement.zone.clone(),
        kind: announcement.kind.clone(),
        software: announcement.software.clone(),
    }
}

fn relay_error(error: &RpcError) -> RequestError {
    let detail = format!("cannot reach the owner of the target's group: {error}");
    RequestError::unknown(RequestErrorKind::NotReady, detail)
}
