//! Instances that open connections to targets for this one.

use shallotdrum_control::ControlView;
use shallotdrum_links::{LinkContext, PeerInstance};
use shallotdrum_settings::Settings;

/// Finds the instances that may open connections for this one: entries in other zones, as a zone may
/// lose its links together, then those in its own, then replicas. Those that drain come last, as connections
/// through an instance that stops end with it.
pub(crate) fn link_context(
    settings: &Settings,
    view: &ControlView,
    log: &slog::Logger,
) -> LinkContext {
    let (instance, zone) = (settings.instance.clone(), settings.zone.clone());
    let (peers, targets) = (view.clone(), view.clone());
    LinkContext {
        peers: Box::new(move || {
            peers.read(|state| {
                let others = state.sessions().filter(|s| s.info.instance != instance);
                let others = others.map(|session| PeerInstance {
                    instance: session.info.instance.clone(),
                    data: session.info.addrs.data,
                    rank: match (session.info.replica, session.info.zone == zone) {
                        _ if state.is_draining(session.id) => 3,
                        (false, false) => 0,
                        (false, true) => 1,
                        (true, _) => 2,
                    },
                });
                others.collect()
            })
        }),
        is_target: Box::new(move |addr| {
            targets.read(|state| state.targets().any(|target| target.announced.addr == addr))
        }),
        log: log.clone(),
    }
}
