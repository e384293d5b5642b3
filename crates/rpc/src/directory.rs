//! Addresses of the control replicas.
//!
//! Settings either list the replicas, or name a few seeds. With seeds, a replica's name is its IP
//! number, all replicas use the same port, and further ones become known from their sessions.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{Arc, PoisonError, RwLock},
};

use shallotdrum_types::InstanceId;

/// Addresses of the control replicas; clones share what becomes known.
#[derive(Clone, Debug)]
pub struct Directory(Arc<Kind>);

#[derive(Debug)]
enum Kind {
    Listed(BTreeMap<InstanceId, SocketAddr>),
    Seeded { port: u16, seeds: RwLock<Vec<InstanceId>>, learned: RwLock<BTreeSet<InstanceId>> },
}

impl Directory {
    /// Directory of the replicas that the settings list.
    pub fn listed(replicas: BTreeMap<InstanceId, SocketAddr>) -> Self {
        Self(Arc::new(Kind::Listed(replicas)))
    }

    /// Directory that starts with seeds and learns further replicas.
    pub fn seeded(seeds: Vec<InstanceId>, port: u16) -> Self {
        let (seeds, learned) = (RwLock::new(seeds), RwLock::default());
        Self(Arc::new(Kind::Seeded { port, seeds, learned }))
    }

    /// RPC address of a replica.
    pub fn addr(&self, id: &InstanceId) -> Option<SocketAddr> {
        match &*self.0 {
            Kind::Listed(replicas) => replicas.get(id).copied(),
            Kind::Seeded { port, .. } => {
                Some(SocketAddr::new(id.as_str().parse::<IpAddr>().ok()?, *port))
            }
        }
    }

    /// Replicas to try, those known from sessions first.
    pub fn names(&self) -> Vec<InstanceId> {
        match &*self.0 {
            Kind::Listed(replicas) => replicas.keys().cloned().collect(),
            Kind::Seeded { seeds, learned, .. } => {
                let learned = learned.read().unwrap_or_else(PoisonError::into_inner);
                let seeds = seeds.read().unwrap_or_else(PoisonError::into_inner);
                let unknown = seeds.iter().filter(|id| !learned.contains(*id));
                learned.iter().chain(unknown).cloned().collect()
            }
        }
    }

    /// Replaces the replicas that are known from sessions.
    pub fn learn(&self, replicas: BTreeSet<InstanceId>) {
        if let Kind::Seeded { learned, .. } = &*self.0 {
            *learned.write().unwrap_or_else(PoisonError::into_inner) = replicas;
        }
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&self, ids: Vec<InstanceId>) {
        if let Kind::Seeded { seeds, .. } = &*self.0 {
            *seeds.write().unwrap_or_else(PoisonError::into_inner) = ids;
        }
    }
}
