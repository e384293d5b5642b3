//! Macros that define newtypes with a common set of derives and conversions.

/// Defines a numeric identifier with `Display`, `FromStr` and transparent serde support.
macro_rules! id_type {
    ($(#[$meta:meta])* pub struct $name:ident(u64);) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the successor.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseIdError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                s.parse().map(Self).map_err(|source| $crate::ParseIdError {
                    kind: stringify!($name),
                    value: s.to_owned(),
                    source,
                })
            }
        }
    };
}

/// Defines a validated name with `Display`, `FromStr` and serde support; cloning is cheap.
macro_rules! name_type {
    ($(#[$meta:meta])* pub struct $name:ident;) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseNameError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                $crate::names::check_name(stringify!($name), s)?;
                Ok(Self(s.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ParseNameError;

            fn try_from(s: String) -> Result<Self, Self::Error> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

/// Defines a 256-bit hash that is formatted, parsed and serialized as 64 hexadecimal digits.
macro_rules! hash_type {
    ($(#[$meta:meta])* pub struct $name:ident;) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; 32]);

        impl $name {
            /// Hashes the bytes with BLAKE3.
            pub fn of(bytes: &[u8]) -> Self {
                Self(*blake3::hash(bytes).as_bytes())
            }

            /// Creates a value from a hash that is already computed.
            pub fn from_bytes(bytes: [u8; 32]) -> Self {
                Self(bytes)
            }

            /// Returns the raw bytes of the hash.
            pub fn as_bytes(&self) -> &[u8; 32] {
                &self.0
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}({})", stringify!($name), self)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseHashError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                blake3::Hash::from_hex(s).map(|hash| Self(*hash.as_bytes())).map_err(|_| {
                    $crate::ParseHashError { kind: stringify!($name), value: s.to_owned() }
                })
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ParseHashError;

            fn try_from(s: String) -> Result<Self, Self::Error> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(hash: $name) -> String {
                hash.to_string()
            }
        }
    };
}

pub(crate) use {hash_type, id_type, name_type};
