//! Software versions at which recent streams began, by the id of the request.
//!
//! A caller that lost its stream may take it up at any entry. The entry that began it knows the
//! version, and so do the owner that granted the place and the instances to which the entry copies it,
//! in case the entry is gone.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_control::SOFTWARE_MEMORY_MS;
use shallotdrum_engine::StreamOrigin;
use shallotdrum_types::{RequestId, SoftwareVersion};
use tokio::time::Instant;

/// Time for which a stream is remembered.
const MEMORY: Duration = Duration::from_millis(SOFTWARE_MEMORY_MS);

/// Maximum number of streams, including copies; two minutes at more than 250 a second.
const MAX_STREAMS: usize = 32_768;

/// Recent streams, by request.
#[derive(Debug, Default)]
pub struct StreamOrigins(Mutex<Streams>);

#[derive(Debug, Default)]
struct Streams {
    origins: HashMap<RequestId, Origin>,
    /// Keys of `origins` in the order in which they were recorded.
    order: VecDeque<(Instant, RequestId)>,
}

#[derive(Clone, Debug)]
struct Origin {
    software: SoftwareVersion,
    /// Whether the first event came from this version; else a place was granted there last.
    has_begun: bool,
    at: Instant,
}

impl StreamOrigins {
    /// Records the version at which a place was granted.
    pub(crate) fn record_grant(&self, request: &RequestId, software: &SoftwareVersion) {
        self.record(request, software, false);
    }

    /// Records the version that the first event of a stream came from.
    pub fn record_begin(&self, request: &RequestId, software: &SoftwareVersion) {
        self.record(request, software, true);
    }

    /// Returns the version at which a request began, as far as this instance knows.
    pub fn find(&self, request: &RequestId) -> Option<StreamOrigin> {
        let Origin { software, has_begun, at } = self.lock().origins.get(request)?.clone();
        let age_ms = at.elapsed().as_millis() as u64;
        Some(StreamOrigin { software, has_begun, age_ms })
    }

    fn record(&self, request: &RequestId, software: &SoftwareVersion, has_begun: bool) {
        let software = software.clone();
        let mut streams = self.lock();
        let Streams { origins, order } = &mut *streams;
        let at = Instant::now();
        let known = origins.entry(request.clone()).or_insert_with(|| {
            order.push_back((at, request.clone()));
            Origin { software: software.clone(), has_begun, at }
        });
        if has_begun || !known.has_begun {
            *known = Origin { software, has_begun, at };
        }
        while let Some((recorded, _)) = order.front()
            && (order.len() > MAX_STREAMS || recorded.elapsed() >= MEMORY)
        {
            if let Some((_, oldest)) = order.pop_front() {
                origins.remove(&oldest);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
