//! Values that are compressed on the way.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de, de::DeserializeOwned, ser};
use shallotdrum_types::Base64Bytes;

/// Compression level: the fastest, since a replica answers many followers.
const LEVEL: i32 = 1;

/// Value as base64 text of compressed JSON.
///
/// Commands and states repeat the same names many times, and followers fetch them over links that
/// carry requests too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compressed<T>(pub T);

impl<T: Serialize> Serialize for Compressed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let json = serde_json::to_vec(&self.0).map_err(ser::Error::custom)?;
        let bytes = zstd::bulk::compress(&json, LEVEL).map_err(ser::Error::custom)?;
        Base64Bytes(bytes).serialize(serializer)
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Compressed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = Base64Bytes::deserialize(deserializer)?;
        let json = zstd::decode_all(bytes.0.as_slice()).map_err(de::Error::custom)?;
        serde_json::from_slice(&json).map(Self).map_err(de::Error::custom)
    }
}
