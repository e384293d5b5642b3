//! Which responses are final ones, and which pools have targets whose responses end with their connection.
//!
//! A witness costs connections, and has to be open before the request is sent, when nothing says yet
//! how the response will end. So the responses that came before decide.

use std::{collections::HashMap, time::Duration};

use http::{
    HeaderMap, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use shallotdrum_types::PoolId;
use tokio::time::Instant;

/// Time after a response that ended with its connection for which others of the pool are expected; these
/// come from few targets, or seldom.
const MEMORY: Duration = Duration::from_secs(600);

/// Whether a final response may have this status: RFC 9110, section 15. The HTTP client reads any status
/// from 100 to 999, and passes on the switch to another protocol, which no request asks for.
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Whether a response with these headers, which has a body, has neither a length nor chunks.
pub fn ends_with_connection(headers: &HeaderMap) -> bool {
    match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
        // Only the last coding delimits the body.
        Some(codings) => {
            let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
            !last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
        }
        None => !headers.contains_key(CONTENT_LENGTH),
    }
}

/// How the responses of the targets of each pool ended.
#[derive(Debug, Default)]
pub(crate) struct Framings(HashMap<PoolId, Seen>);

/// What was seen of a pool.
#[derive(Debug, Default)]
struct Seen {
    /// When a response last ended with its connection.
    with_connection: Option<Instant>,
}

impl Framings {
    /// Records how a response will end.
    pub(crate) fn record(&mut self, pool: &PoolId, ends_with_connection: bool) {
        let seen = match self.0.get_mut(pool) {
            Some(seen) => seen,
            None => self.0.entry(pool.clone()).or_default(),
        };
        if ends_with_connection {
            seen.with_connection = Some(Instant::now());
        }
    }

    /// Whether the next response of the pool may end with its connection; also before the first one.
    pub(crate) fn may_end_with_connection(&self, pool: &PoolId) -> bool {
        match self.0.get(pool) {
            Some(seen) => seen.with_connection.is_some_and(|at| at.elapsed() < MEMORY),
            None => true,
        }
    }
}
