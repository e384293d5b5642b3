//! Rate of requests that a target takes.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Requests per second that a target takes from all instances together; 0 if it takes none.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; fails unless the value is finite and not negative.
    pub fn new(value: f64) -> Result<Self, ParseRateError> {
        match value.is_finite() && value >= 0.0 {
            true => Ok(Self(value)),
            false => Err(ParseRateError(value.to_string())),
        }
    }

    /// Returns the requests per second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = ParseRateError;

    /// Parses a decimal number without sign or exponent, with an optional `/s`.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let digits = s.strip_suffix("/s").unwrap_or(s);
        let is_decimal = digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let value = digits.parse().ok().filter(|_| is_decimal);
        value.map_or_else(|| Err(ParseRateError(s.to_owned())), Self::new)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = ParseRateError;

    fn try_from(value: f64) -> Result<Self, Self::Error> {
        Self::new(value)
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.0
    }
}

/// Error for text or a number that is not a rate of requests.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid rate `{0}`: expected a decimal number of requests per second")]
pub struct ParseRateError(String);
