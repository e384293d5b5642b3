//! Quantities whose type states the unit.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Number of model tokens; formatted with a ` tokens` suffix, which is optional when parsed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens", self.0)
    }
}

impl FromStr for Tokens {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let digits = s.strip_suffix(" tokens").unwrap_or(s);
        digits.parse().map(Self).map_err(|_| ParseUnitError { kind: "Tokens", value: s.to_owned() })
    }
}

/// Defines a finite, positive floating-point quantity with a unit suffix.
macro_rules! positive_type {
    ($(#[$meta:meta])* pub struct $name:ident; unit $unit:literal;) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(f64);

        impl $name {
            /// Creates a quantity; fails unless the value is finite and above zero.
            pub fn new(value: f64) -> Result<Self, ParseUnitError> {
                if value.is_finite() && value > 0.0 {
                    return Ok(Self(value));
                }
                Err(ParseUnitError { kind: stringify!($name), value: value.to_string() })
            }

            /// Returns the value without its unit.
            pub fn get(self) -> f64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                let digits = s.strip_suffix($unit).unwrap_or(s);
                let value = digits.parse().map_err(|_| ParseUnitError {
                    kind: stringify!($name),
                    value: s.to_owned(),
                })?;
                Self::new(value)
            }
        }

        impl TryFrom<f64> for $name {
            type Error = ParseUnitError;

            fn try_from(value: f64) -> Result<Self, Self::Error> {
                Self::new(value)
            }
        }

        impl From<$name> for f64 {
            fn from(quantity: $name) -> f64 {
                quantity.0
            }
        }
    };
}

positive_type! {
    /// Rate in events per second.
    pub struct RatePerSecond;
    unit "/s";
}

positive_type! {
    /// Fair-share weight of a subscriber relative to the others; the default is 1.
    pub struct Weight;
    unit "";
}

impl Default for Weight {
    fn default() -> Self {
        Self(1.0)
    }
}

/// Processor time that an instance may use, in thousandths of a core.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct MilliCores(pub std::num::NonZeroU32);

impl MilliCores {
    /// Converts a fraction of a core; `None` unless it is at least a thousandth and finite.
    pub fn from_fraction(cores: f64) -> Option<Self> {
        let thousandths = (cores * 1_000.0).round();
        // A float is cast to the nearest representable number.
        thousandths.is_finite().then(|| std::num::NonZeroU32::new(thousandths as u32))?.map(Self)
    }
}

impl std::fmt::Display for MilliCores {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl std::str::FromStr for MilliCores {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let digits = s.strip_suffix('m').unwrap_or(s);
        let invalid = |_| ParseUnitError { kind: "MilliCores", value: s.to_owned() };
        digits.parse().map(Self).map_err(invalid)
    }
}

/// Error for text or a number that is not a valid quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid {kind} `{value}`: expected a finite number above zero")]
pub struct ParseUnitError {
    /// Name of the expected type.
    pub kind: &'static str,
    /// The rejected value.
    pub value: String,
}
