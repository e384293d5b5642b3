//! Problems found while parsing and validating a manifest.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum number of problems that are reported. A generated file with one systematic mistake has
/// as many problems as entries, of which only the first few are useful.
pub const MAX_REPORTED_PROBLEMS: usize = 1_000;

/// Problems of a manifest: first those found by parsing, then those found by validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct ManifestErrors {
    /// The first `MAX_REPORTED_PROBLEMS` problems; at least one.
    pub errors: Vec<ManifestError>,
    /// Number of further problems, which were dropped.
    pub omitted: usize,
}

impl fmt::Display for ManifestErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the manifest has {} problems", self.errors.len() + self.omitted)?;
        for error in &self.errors {
            write!(f, "\n  {error}")?;
        }
        if self.omitted > 0 {
            write!(f, "\n  and {} more", self.omitted)?;
        }
        Ok(())
    }
}

/// Problem and its location.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct ManifestError {
    /// JSON path, such as `$.adapters["x"].versions`; validation identifies set members by value.
    pub path: String,
    /// The problem at this path.
    pub problem: ManifestProblem,
}

/// Kind of a problem, with its details.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ManifestProblem {
    /// The file is larger than `MAX_FILE_BYTES`.
    #[error("the file has {bytes} bytes; at most {max} are allowed")]
    FileTooLarge {
        /// Size of the file, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        max: usize,
    },
    /// The file is not valid JSON.
    #[error("invalid JSON: {reason}")]
    Syntax {
        /// Message of the JSON parser, with line and column.
        reason: String,
    },
    /// A value has the wrong JSON type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// Expected JSON type, with article.
        expected: String,
        /// Actual JSON type, with article.
        found: String,
    },
    /// The object has no field of this name.
    #[error("unknown field")]
    UnknownField,
    /// A required field is missing.
    #[error("missing field")]
    MissingField,
    /// A key occurs twice in an object, or a value twice in a set.
    #[error("duplicate of an earlier entry")]
    Duplicate,
    /// A name, version or hash is malformed.
    #[error("{reason}")]
    InvalidName {
        /// Message of the parser of the name.
        reason: String,
    },
    /// A number is outside its range.
    #[error("{value} is out of range: expected {allowed}")]
    OutOfRange {
        /// The rejected value.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// A number has more than three decimals, so it might change when serialized and parsed.
    #[error("{value} has more than three decimals")]
    TooPrecise {
        /// The rejected value.
        value: String,
    },
    /// A map, set or array has too many entries.
    #[error("{count} entries; at most {max} are allowed")]
    TooMany {
        /// Number of entries.
        count: usize,
        /// Maximum number of entries.
        max: usize,
    },
    /// A map that needs at least one entry is empty.
    #[error("at least one entry is required")]
    Empty,
    /// An adapter refers to a base model that is not in the manifest.
    #[error("base model `{0}` is not in the manifest")]
    NoBaseModel(String),
    /// The current version of an adapter is not one of its versions.
    #[error("version `{0}` is not in `versions`")]
    NoVersion(String),
    /// An allowed adapter is not in the manifest.
    #[error("adapter `{0}` is not in the manifest (a pattern must end in `*`)")]
    NoAdapter(String),
    /// An allowed service is not in the manifest.
    #[error("service `{0}` is not in the manifest")]
    NoService(String),
    /// A pattern has `*` before its end, or its prefix is not a valid name.
    #[error("invalid pattern `{0}`: expected a name, a prefix and `*`, or `*`")]
    InvalidPattern(String),
    /// Two subscribers have the same key.
    #[error("subscriber `{other}` has the same key hash")]
    KeyOfOther {
        /// Other subscriber with the same key.
        other: String,
    },
    /// A path in the weight store is malformed.
    #[error("invalid path: expected 1 to 1024 bytes without control characters or `..` segments")]
    InvalidSourcePath,
    /// A method is not one of the HTTP methods that rules may name, in upper case.
    #[error("invalid method `{0}`: expected an HTTP method in upper case")]
    InvalidMethod(String),
    /// A path prefix does not have the normalized form that call paths are compared with.
    #[error(
        "invalid path prefix `{0}`: expected `/` or plain segments such as `/a/b`, without a \
         trailing slash, empty or dot segments, `%`, `;`, `?`, `#` or `\\`"
    )]
    InvalidPathPrefix(String),
    /// A rule has no effect because an earlier one matches the same calls.
    #[error("rule {earlier} matches the calls of this rule first")]
    UnreachableRule {
        /// Index of the earlier rule, from 0.
        earlier: usize,
    },
    /// A pool serves both a base model and a service.
    #[error("pool `{pool}` also serves base model `{base_model}`")]
    PoolShared {
        /// Name of the pool.
        pool: String,
        /// Base model that the pool serves.
        base_model: String,
    },
}

/// Collects problems up to [`MAX_REPORTED_PROBLEMS`] and counts the others.
#[derive(Debug, Default)]
pub(crate) struct Problems {
    errors: Vec<ManifestError>,
    omitted: usize,
}

impl Problems {
    pub(crate) fn add(&mut self, path: &Path<'_>, problem: ManifestProblem) {
        if self.errors.len() < MAX_REPORTED_PROBLEMS {
            self.errors.push(ManifestError { path: path.to_string(), problem });
        } else {
            self.omitted += 1;
        }
    }

    pub(crate) fn into_result<T>(self, value: T) -> Result<T, ManifestErrors> {
        if self.errors.is_empty() {
            return Ok(value);
        }
        Err(ManifestErrors { errors: self.errors, omitted: self.omitted })
    }
}

/// JSON path as a linked list on the stack; formatted only if a problem is reported.
#[derive(Clone, Copy)]
pub(crate) enum Path<'a> {
    Root,
    Field(&'a Path<'a>, &'a str),
    Key(&'a Path<'a>, &'a str),
    Index(&'a Path<'a>, usize),
}

impl<'a> Path<'a> {
    pub(crate) fn field(&'a self, name: &'a str) -> Path<'a> {
        Path::Field(self, name)
    }

    pub(crate) fn key(&'a self, name: &'a str) -> Path<'a> {
        Path::Key(self, name)
    }

    pub(crate) fn index(&'a self, index: usize) -> Path<'a> {
        Path::Index(self, index)
    }
}

impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Root => f.write_str("$"),
            Path::Field(parent, name) if is_plain_field(name) => write!(f, "{parent}.{name}"),
            Path::Field(parent, name) | Path::Key(parent, name) => {
                write!(f, "{parent}[{}]", serde_json::Value::from(*name))
            }
            Path::Index(parent, index) => write!(f, "{parent}[{index}]"),
        }
    }
}

fn is_plain_field(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
}
