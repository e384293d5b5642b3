//! Compound names: what a request runs on and which group of targets serves it.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{AdapterId, AdapterVersion, BaseModelId, ParseNameError, PoolId, Region};

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdapterRef {
    /// Adapter.
    pub adapter: AdapterId,
    /// Version of the adapter.
    pub version: AdapterVersion,
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

/// Model named by a caller: `base/adapter` or `base/adapter@version`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelName {
    /// Base model.
    pub base: BaseModelId,
    /// Adapter on the base model.
    pub adapter: AdapterId,
    /// Requested version; the manifest's current one if absent.
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

/// Text that names no model.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseModelNameError {
    /// The part after the base model is missing.
    #[error("invalid model `{0}`: expected `base/adapter` or `base/adapter@version`")]
    NoAdapter(String),
    /// A part of the name is invalid.
    #[error("invalid model: {0}")]
    Name(#[from] ParseNameError),
}

/// Group of targets with one owner: `pool/region/shard`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct GroupId {
    /// Pool that the targets belong to.
    pub pool: PoolId,
    /// Region that the targets are in.
    pub region: Region,
    /// Number of the group within pool and region, from 0.
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
        let invalid = || ParseGroupIdError::Shape(s.to_owned());
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

/// Text that names no group.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseGroupIdError {
    /// The text does not have three parts.
    #[error("invalid group `{0}`: expected `pool/region/shard`")]
    Shape(String),
    /// A part of the name is invalid.
    #[error("invalid group: {0}")]
    Name(#[from] ParseNameError),
}
