//! Problems found in a settings file.

use std::{fmt, path::PathBuf};

/// One problem of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// JSON path of the value, such as `limits.max_body_bytes`.
    pub path: String,
    /// Value that was found, as JSON; absent if there is none.
    pub value: Option<String>,
    /// What is expected there.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{}: found {value}, expected {}", self.path, self.expected),
            None => write!(f, "{}: missing, expected {}", self.path, self.expected),
        }
    }
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsErrors {
    /// The file can't be read.
    #[error("cannot read the settings file {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON.
    #[error("the settings are not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings have problems.
    #[error("the settings have {} problem(s):{}", .0.len(), list(.0))]
    Invalid(Vec<Problem>),
}

impl SettingsErrors {
    /// Problems of the values; empty if the file can't be read or is not JSON.
    pub fn problems(&self) -> &[Problem] {
        match self {
            Self::Invalid(problems) => problems,
            Self::Read { .. } | Self::Json(_) => &[],
        }
    }
}

fn list(problems: &[Problem]) -> String {
    problems.iter().map(|problem| format!("\n  {problem}")).collect()
}
