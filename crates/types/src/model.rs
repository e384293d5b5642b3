//! Compound names: the model that a request runs on and the target group that serves it.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{AdapterId, AdapterVersion, BaseModelId, ParseNameError, PoolId, Region};

/// Version of an adapter, formatted as `adapter@version`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdapterRef {
    /// Adapter that the version belongs to.
    pub adapter: AdapterId,
    /// Version, unique within the adapter.
    pub version: AdapterVersion,
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

/// Model as named in a request: `base/adapter` or `base/adapter@version`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelName {
    /// Base model that the adapter is expected to belong to.
    pub base: BaseModelId,
    /// Adapter to apply to the base model.
    pub adapter: AdapterId,
    /// Requested version; if absent, the manifest's current version is used.
    pub version: Option<AdapterVersion>,
}

impl fmt::Display for ModelName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.base, self.adapter)?;
        match &self.version {
            Some(version) => write!(f, "@{version}"),
            None => Ok(()),
        }
    }
}

impl FromStr for ModelName {
    type Err = ParseModelNameError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (base, rest) =
            s.split_once('/').ok_or_else(|| ParseModelNameError::NoAdapter(s.to_owned()))?;
        let (adapter, version) = match rest.split_once('@') {
            Some((adapter, version)) => (adapter, Some(version.parse()?)),
            None => (rest, None),
        };
        Ok(Self { base: base.parse()?, adapter: adapter.parse()?, version })
    }
}

/// Error for text that is not a model name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseModelNameError {
    /// The text has no `/` between base model and adapter.
    #[error("invalid model `{0}`: expected `base/adapter` or `base/adapter@version`")]
    NoAdapter(String),
    /// A component is not a valid name.
    #[error("invalid model: {0}")]
    Name(#[from] ParseNameError),
}

/// Identifies a target group, the unit of ownership: `pool/region/shard`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct GroupId {
    /// Pool of all targets in the group.
    pub pool: PoolId,
    /// Region of all targets in the group.
    pub region: Region,
    /// Index of the group within its pool and region, from 0.
    pub shard: u32,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.pool, self.region, self.shard)
    }
}

impl FromStr for GroupId {
    type Err = ParseGroupIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseGroupIdError::Format(s.to_owned());
        let (pool, rest) = s.split_once('/').ok_or_else(invalid)?;
        let (region, shard) = rest.split_once('/').ok_or_else(invalid)?;
        Ok(Self {
            pool: pool.parse()?,
            region: region.parse()?,
            shard: shard.parse().map_err(|_| invalid())?,
        })
    }
}

impl TryFrom<String> for GroupId {
    type Error = ParseGroupIdError;

    fn try_from(s: String) -> Result<Self, Self::Error> {
        s.parse()
    }
}

impl From<GroupId> for String {
    fn from(id: GroupId) -> String {
        id.to_string()
    }
}

/// Error for text that is not a group identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseGroupIdError {
    /// The text does not have three parts, or the last one is not a number.
    #[error("invalid group `{0}`: expected `pool/region/shard`")]
    Format(String),
    /// A component is not a valid name.
    #[error("invalid group: {0}")]
    Name(#[from] ParseNameError),
}
