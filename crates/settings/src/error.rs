//! Errors of loading settings.

use std::{fmt, path::PathBuf};

/// One invalid, missing or unknown value in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// JSON path of the value, such as `limits.max_body_bytes`.
    pub path: String,
    /// Found value as JSON, cut to 80 characters; `None` if the field is missing.
    pub value: Option<String>,
    /// Description of the valid values.
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

/// Error of loading or validating settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("cannot read the settings file {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// I/O error.
        source: std::io::Error,
    },
    /// The text is not valid JSON, or an object repeats a field.
    #[error("the settings are not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// At least one value is invalid.
    #[error("the settings have {} problem(s):{}", .0.len(), list(.0))]
    Invalid(Vec<Problem>),
}

impl SettingsError {
    /// Invalid values; empty if the file can't be read or is not valid JSON.
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
