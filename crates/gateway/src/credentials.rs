//! What a caller sends to name itself.
//!
//! Architecture Invariant: the key of a caller is kept only as a hash and, until the route table is known,
//! in the fields to forward. Neither is shown by `Debug`.

use std::fmt;

use http::{HeaderMap, HeaderValue};
use shallotdrum_types::KeyHash;

/// Longest value of an `Authorization` field that is read, in bytes.
const MAX_VALUE_BYTES: usize = 1_024;

/// Scheme of the `Authorization` field, in any case.
const SCHEME: &str = "bearer";

/// Key of a caller, and the fields by which it names itself.
#[derive(Clone)]
pub struct Credentials {
    key: Key,
    /// Forwarded to targets only if the route table has no customers.
    forwarded: HeaderMap,
}

/// Key that a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Key {
    /// There is no `Authorization` field.
    Missing,
    /// There are several fields, or the one is not a bearer key.
    Malformed,
    /// Hash of the key.
    Hashed(KeyHash),
}

impl Credentials {
    /// Reads the key from the values of all `Authorization` fields of a request. `forwarded` are all fields
    /// by which the caller names itself.
    pub fn new<'a>(
        authorization: impl IntoIterator<Item = &'a HeaderValue>,
        mut forwarded: HeaderMap,
    ) -> Self {
        let mut values = authorization.into_iter();
        let key = match (values.next(), values.next()) {
            (None, _) => Key::Missing,
            (Some(value), None) => bearer_key(value.as_bytes()).map_or(Key::Malformed, Key::Hashed),
            _ => Key::Malformed,
        };
        // Shows no value in `Debug` of the request that these are added to either.
        forwarded.values_mut().for_each(|value| value.set_sensitive(true));
        Self { key, forwarded }
    }

    pub(crate) fn key(&self) -> Key {
        self.key
    }

    pub(crate) fn forwarded(&self) -> &HeaderMap {
        &self.forwarded
    }
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = match self.key {
            Key::Missing => "missing",
            Key::Malformed => "malformed",
            Key::Hashed(_) => "hidden",
        };
        write!(f, "Credentials({key})")
    }
}

/// Hash of the key in the value of an `Authorization` field.
fn bearer_key(value: &[u8]) -> Option<KeyHash> {
    let (scheme, rest) = value.split_at_checked(SCHEME.len())?;
    let key = rest.trim_ascii();
    let is_valid = value.len() <= MAX_VALUE_BYTES
        && scheme.eq_ignore_ascii_case(SCHEME.as_bytes())
        && rest.starts_with(b" ")
        && !key.is_empty()
        && key.iter().all(u8::is_ascii_graphic);
    is_valid.then(|| KeyHash::of(key))
}
