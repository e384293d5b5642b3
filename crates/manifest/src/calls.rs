//! Decides whether a call to a service may be repeated.
//!
//! Architecture Invariant: a call whose path is ambiguous, so that a service might interpret it in
//! another way, is never repeatable. Paths are compared by their decoded segments. A path is
//! ambiguous if it does not start with `/`, has an empty segment before the last, a dot segment, an
//! invalid percent-encoding, or in a decoded segment a `/`, `\`, `%`, `;`, `?`, `#`, a control
//! character or leading or trailing white space. Services may ignore letter case and handle HEAD
//! like GET, so rules that forbid repeating match in these cases as well; rules that allow it match
//! exactly. Equivalent spellings that are specific to a service, such as an optional file
//! extension, need rules of their own.

use crate::{CallRule, Service};

/// Methods that the HTTP standard defines as safe.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

impl Service {
    /// Whether a call may be sent again when its result is unknown.
    ///
    /// `path` is relative to the service's root and may include a query.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let Ok(path) = CallPath::parse(path) else { return false };
        match self.calls.iter().find(|rule| rule.matches(method, &path)) {
            Some(rule) => rule.repeatable,
            None => SAFE_METHODS.contains(&method),
        }
    }
}

impl CallRule {
    fn matches(&self, method: &str, path: &CallPath) -> bool {
        let is_method =
            self.method == method || (!self.repeatable && self.method == "GET" && method == "HEAD");
        is_method && path.starts_with(&self.path_prefix, !self.repeatable)
    }

    /// Whether this rule matches all calls in the exact spelling of the other rule, which then has
    /// no effect on them if this rule comes first.
    pub(crate) fn covers(&self, other: &CallRule) -> bool {
        CallPath::parse(&other.path_prefix).is_ok_and(|path| self.matches(&other.method, &path))
    }

    /// Whether the prefix has the normalized form that decoded call paths are compared with.
    pub(crate) fn has_valid_prefix(&self) -> bool {
        let prefix = &self.path_prefix;
        prefix.len() <= MAX_PREFIX_BYTES
            && !prefix.contains(['%', '?', '#'])
            && (prefix == "/" || !prefix.ends_with('/'))
            && CallPath::parse(prefix).is_ok()
    }
}

/// Maximum length of a rule's path prefix, in bytes; common servers accept no longer paths.
const MAX_PREFIX_BYTES: usize = 2_048;

/// Path of a call, split into percent-decoded segments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPath {
    segments: Vec<String>,
}

/// Error for an ambiguous path; the caller should get status 400.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallPathError {
    /// The path does not start with `/`.
    #[error("the path does not start with `/`")]
    Relative,
    /// A segment other than the last is empty, or a segment is `.` or `..`.
    #[error("the path has an empty or dot segment")]
    DotOrEmptySegment,
    /// A percent-encoding is invalid or does not decode to UTF-8.
    #[error("the path has an invalid percent-encoding")]
    InvalidEncoding,
    /// A segment has a character that some servers treat as syntax, or outer white space.
    #[error("the path has an ambiguous character")]
    AmbiguousCharacter,
}

impl CallPath {
    /// Parses the path of a call; a query and one trailing slash are ignored.
    pub fn parse(path: &str) -> Result<Self, CallPathError> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let rest = path.strip_prefix('/').ok_or(CallPathError::Relative)?;
        let rest = rest.strip_suffix('/').unwrap_or(rest);
        if rest.is_empty() && path.len() > 1 {
            return Err(CallPathError::DotOrEmptySegment);
        }
        if rest.is_empty() {
            return Ok(Self { segments: Vec::new() });
        }
        let segments = rest.split('/').map(parse_segment).collect::<Result<_, _>>()?;
        Ok(Self { segments })
    }

    fn starts_with(&self, prefix: &str, ignore_case: bool) -> bool {
        let mut segments = self.segments.iter();
        prefix.split('/').filter(|segment| !segment.is_empty()).all(|expected| {
            segments.next().is_some_and(|segment| {
                segment == expected || (ignore_case && eq_ignoring_case(segment, expected))
            })
        })
    }
}

fn eq_ignoring_case(a: &str, b: &str) -> bool {
    a.chars().flat_map(char::to_lowercase).eq(b.chars().flat_map(char::to_lowercase))
}

fn parse_segment(raw: &str) -> Result<String, CallPathError> {
    let mut bytes = Vec::with_capacity(raw.len());
    let mut rest = raw.bytes();
    while let Some(b) = rest.next() {
        if b != b'%' {
            bytes.push(b);
            continue;
        }
        let mut digit = || rest.next().and_then(|b| char::from(b).to_digit(16));
        match (digit(), digit()) {
            (Some(high), Some(low)) => bytes.push((high * 16 + low) as u8),
            _ => return Err(CallPathError::InvalidEncoding),
        }
    }
    let segment = String::from_utf8(bytes).map_err(|_| CallPathError::InvalidEncoding)?;
    if matches!(segment.as_str(), "" | "." | "..") {
        return Err(CallPathError::DotOrEmptySegment);
    }
    let is_ambiguous = |c: char| matches!(c, '/' | '\\' | '%' | ';' | '?' | '#') || c.is_control();
    if segment.contains(is_ambiguous) || segment.trim() != segment {
        return Err(CallPathError::AmbiguousCharacter);
    }
    Ok(segment)
}
