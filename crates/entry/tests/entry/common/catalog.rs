//! In-memory catalog.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use shallotdrum_entry::{Catalog, GroupOwner, LookupError, Owner, ResolvedModel, ServiceRoute};
use shallotdrum_types::{
    AdapterRef, Fingerprint, GroupId, KeyHash, LogIndex, ModelName, PoolId, ServiceId, SessionId,
    SubscriberId,
};
use tokio::sync::watch;

/// Catalog with one subscriber, the adapters `ada` (allowed) and `bob` (forbidden), the service
/// `desk`, and one group each of engines and of services.
pub(crate) struct FakeCatalog {
    state: Mutex<CatalogState>,
    changes: watch::Sender<LogIndex>,
}

pub(crate) struct CatalogState {
    pub(crate) groups: Vec<(GroupId, GroupOwner)>,
    pub(crate) live: BTreeSet<SessionId>,
    pub(crate) quarantined: BTreeSet<Fingerprint>,
}

impl FakeCatalog {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        let owner = GroupOwner::Owned(Owner { session: SessionId(1), addr });
        let group = |id: &str| (id.parse().unwrap(), owner);
        let state = CatalogState {
            groups: vec![group("engines/north/0"), group("desks/north/0")],
            live: BTreeSet::from([SessionId(1), SessionId(2)]),
            quarantined: BTreeSet::new(),
        };
        Self { state: Mutex::new(state), changes: watch::Sender::default() }
    }

    fn state(&self) -> MutexGuard<'_, CatalogState> {
        self.state.lock().unwrap()
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut CatalogState)) {
        change(&mut self.state());
        self.changes.send_modify(|index| *index = index.next());
    }

    /// Sets the owner of all groups, as session and address; `None` leaves them unowned.
    pub(crate) fn set_owner(&self, owner: Option<(u64, SocketAddr)>) {
        let owner = match owner {
            Some((session, addr)) => GroupOwner::Owned(Owner { session: SessionId(session), addr }),
            None => GroupOwner::Unowned,
        };
        self.change(|state| state.groups.iter_mut().for_each(|group| group.1 = owner));
    }
}

impl Catalog for FakeCatalog {
    fn subscriber_of_key(&self, key: &KeyHash) -> Option<SubscriberId> {
        (*key == KeyHash::of(super::KEY.as_bytes())).then(|| "clinic".parse().unwrap())
    }

    fn model(&self, _: &SubscriberId, name: &ModelName) -> Result<ResolvedModel, LookupError> {
        match name.adapter.as_str() {
            "ada" => Ok(ResolvedModel {
                base: name.base.clone(),
                adapter: AdapterRef {
                    adapter: name.adapter.clone(),
                    version: name.version.clone().unwrap_or_else(|| "v7".parse().unwrap()),
                },
                pool: "engines".parse().unwrap(),
                max_context_tokens: 4096,
                max_output_tokens: Some(1000),
            }),
            "bob" => Err(LookupError::Forbidden(format!("model {name}"))),
            _ => Err(LookupError::NotFound(format!("model {name}"))),
        }
    }

    fn service(
        &self,
        _: &SubscriberId,
        service: &ServiceId,
        method: &str,
        path: &str,
    ) -> Result<ServiceRoute, LookupError> {
        if service.as_str() != "desk" {
            return Err(LookupError::NotFound(format!("service {service}")));
        }
        let repeatable = method == "GET" || path.starts_with("/lookup");
        Ok(ServiceRoute { pool: "desks".parse().unwrap(), repeatable })
    }

    fn models(&self, _: &SubscriberId, after: Option<&str>, limit: usize) -> Vec<String> {
        let all = (0..2500).map(|i| format!("base/m{i:04}"));
        all.filter(|name| after.is_none_or(|after| name.as_str() > after)).take(limit).collect()
    }

    fn for_each_group(&self, pool: &PoolId, visit: &mut dyn FnMut(&GroupId)) {
        let state = self.state();
        state.groups.iter().filter(|(id, _)| id.pool == *pool).for_each(|(id, _)| visit(id));
    }

    fn owner(&self, group: &GroupId) -> GroupOwner {
        let state = self.state();
        let found = state.groups.iter().find(|(id, _)| id == group);
        found.map_or(GroupOwner::Gone, |(_, owner)| *owner)
    }

    fn is_live(&self, session: SessionId) -> bool {
        self.state().live.contains(&session)
    }

    fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.state().quarantined.contains(request)
    }

    fn changes(&self) -> watch::Receiver<LogIndex> {
        self.changes.subscribe()
    }
}
