//! Addresses of the control replicas.
//!
//! The settings either list all replicas or name a few seeds. With seeds, a replica's name is its
//! IP address, all replicas use the same port, and further replicas are discovered from their
//! sessions.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{Arc, PoisonError, RwLock},
};

use shallotdrum_types::InstanceId;

/// Addresses of the control replicas; clones share the discovered replicas.
#[derive(Clone, Debug)]
pub struct Directory(Arc<Replicas>);

#[derive(Debug)]
enum Replicas {
    Listed(BTreeMap<InstanceId, SocketAddr>),
    Seeded {
        port: u16,
        /// Replicas that are not reached at the IP address that is their name.
        forwarded: BTreeMap<InstanceId, SocketAddr>,
        seeds: RwLock<Vec<InstanceId>>,
        discovered: RwLock<BTreeSet<InstanceId>>,
    },
}

impl Directory {
    /// Creates a directory with a fixed list of replicas.
    pub fn listed(replicas: BTreeMap<InstanceId, SocketAddr>) -> Self {
        Self(Arc::new(Replicas::Listed(replicas)))
    }

    /// Creates a directory that starts with seeds and is extended by discovered replicas.
    ///
    /// `forwarded` holds the addresses of replicas behind a port forwarding; all others are reached
    /// at the IP address that is their name.
    pub fn seeded(
        seeds: Vec<InstanceId>,
        port: u16,
        forwarded: BTreeMap<InstanceId, SocketAddr>,
    ) -> Self {
        let (seeds, discovered) = (RwLock::new(seeds), RwLock::default());
        Self(Arc::new(Replicas::Seeded { port, forwarded, seeds, discovered }))
    }

    /// Returns the RPC address of a replica; `None` if it is not listed, or with seeds, if its name
    /// is not an IP address.
    pub fn addr(&self, id: &InstanceId) -> Option<SocketAddr> {
        match &*self.0 {
            Replicas::Listed(replicas) => replicas.get(id).copied(),
            Replicas::Seeded { port, forwarded, .. } => match forwarded.get(id) {
                Some(addr) => Some(*addr),
                None => Some(SocketAddr::new(id.as_str().parse::<IpAddr>().ok()?, *port)),
            },
        }
    }

    /// Replicas in the order to try them: discovered ones first, then the other seeds.
    pub fn names(&self) -> Vec<InstanceId> {
        match &*self.0 {
            Replicas::Listed(replicas) => replicas.keys().cloned().collect(),
            Replicas::Seeded { seeds, discovered, .. } => {
                let discovered = discovered.read().unwrap_or_else(PoisonError::into_inner);
                let seeds = seeds.read().unwrap_or_else(PoisonError::into_inner);
                let remaining = seeds.iter().filter(|id| !discovered.contains(*id));
                discovered.iter().chain(remaining).cloned().collect()
            }
        }
    }

    /// Replaces the discovered replicas; no effect on a fixed list.
    pub fn set_discovered(&self, replicas: BTreeSet<InstanceId>) {
        if let Replicas::Seeded { discovered, .. } = &*self.0 {
            *discovered.write().unwrap_or_else(PoisonError::into_inner) = replicas;
        }
    }

    /// Replaces the seeds after a change of the settings; no effect on a fixed list.
    pub fn set_seeds(&self, ids: Vec<InstanceId>) {
        if let Replicas::Seeded { seeds, .. } = &*self.0 {
            *seeds.write().unwrap_or_else(PoisonError::into_inner) = ids;
        }
    }
}
