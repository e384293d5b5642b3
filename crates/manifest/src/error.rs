//! Problems found in a manifest.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Problems that are reported; a generated file with one systematic mistake has as many problems
/// as entries, and nobody reads more than the first ones.
pub const MAX_REPORTED_PROBLEMS: usize = 1_000;

/// All problems of a manifest: first those of its form, then those of its contents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct ManifestErrors {
    /// The first `MAX_REPORTED_PROBLEMS` problems; at least one.
    pub errors: Vec<ManifestError>,
    /// Number of further problems.
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

/// One problem and its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct ManifestError {
    /// JSON path, such as `$.adapters["x"].versions`; members of sets are named by value.
    pub path: String,
    /// What is wrong there.
    pub problem: ManifestProblem,
}

/// What is wrong with a part of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ManifestProblem {
    /// The file is larger than `MAX_FILE_BYTES`.
    #[error("the file has {bytes} bytes; at most {max} are allowed")]
    FileTooLarge {
        /// Size of the file.
        bytes: usize,
        /// Largest size allowed.
        max: usize,
    },
    /// The file is not JSON.
    #[error("not JSON: {reason}")]
    Syntax {
        /// What the parser reported, with line and column.
        reason: String,
    },
    /// A value has the wrong JSON type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// JSON type expected.
        expected: String,
        /// JSON type found.
        found: String,
    },
    /// A field is not known here.
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
        /// What is expected.
        reason: String,
    },
    /// A number is not in its range.
    #[error("{value} is out of range: expected {allowed}")]
    OutOfRange {
        /// Value found.
        value: String,
        /// Values allowed.
        allowed: String,
    },
    /// A number has more than three decimals, which may not survive being written and read.
    #[error("{value} has more than three decimals")]
    TooPrecise {
        /// Value found.
        value: String,
    },
    /// There are too many entries.
    #[error("{count} entries; at most {max} are allowed")]
    TooMany {
        /// Number of entries.
        count: usize,
        /// Most entries allowed.
        max: usize,
    },
    /// At least one entry is needed.
    #[error("at least one entry is needed")]
    Empty,
    /// A base model is not in the manifest.
    #[error("base model `{0}` is not in the manifest")]
    NoBaseModel(String),
    /// The current version is not among the adapter's versions.
    #[error("version `{0}` is not in `versions`")]
    NoVersion(String),
    /// An allowed adapter is not in the manifest.
    #[error("adapter `{0}` is not in the manifest; a pattern ends in `*`")]
    NoAdapter(String),
    /// An allowed service is not in the manifest.
    #[error("service `{0}` is not in the manifest")]
    NoService(String),
    /// A pattern has `*` elsewhere than at its end, or is no prefix of a name.
    #[error("invalid pattern `{0}`: expected a name, a prefix and `*`, or `*`")]
    InvalidPattern(String),
    /// Two subscribers have the same key.
    #[error("subscriber `{other}` has the same key hash")]
    KeyOfOther {
        /// Subscriber that has it, too.
        other: String,
    },
    /// A path in the weight store is malformed.
    #[error("invalid path: expected 1 to 1024 characters without control characters or `..`")]
    InvalidSourcePath,
    /// A method is not an upper-case HTTP method.
    #[error("invalid method `{0}`: expected an HTTP method in upper case")]
    InvalidMethod(String),
    /// A path prefix is not in the form that calls are compared in.
    #[error(
        "invalid path prefix `{0}`: expected `/` or plain segments such as `/a/b`, without a \
         trailing slash, empty or dot segments, `%`, `;`, `?`, `#` or `\\`"
    )]
    InvalidPathPrefix(String),
    /// A rule has no effect, since an earlier one matches its calls.
    #[error("rule {earlier} matches the calls of this rule first")]
    UnreachableRule {
        /// Position of the earlier rule, from 0.
        earlier: usize,
    },
    /// A pool serves both a base model and a service.
    #[error("pool `{pool}` also serves base model `{base_model}`")]
    PoolShared {
        /// Pool.
        pool: String,
        /// Base model that it serves.
        base_model: String,
    },
}

/// Collects problems.
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

/// JSON path, built on the stack and formatted only for a problem.
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
            Path::Field(parent, name) if is_plain(name) => write!(f, "{parent}.{name}"),
            Path::Field(parent, name) | Path::Key(parent, name) => {
                write!(f, "{parent}[{}]", serde_json::Value::from(*name))
            }
            Path::Index(parent, index) => write!(f, "{parent}[{index}]"),
        }
    }
}

fn is_plain(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
}
