//! Compression of large RPC results.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de, de::DeserializeOwned, ser};
use shallotdrum_types::Base64Bytes;

/// zstd compression level; the fastest, because a replica serves many followers.
const COMPRESSION_LEVEL: i32 = 1;

/// Value that is serialized as base64 text of zstd-compressed JSON.
///
/// Commands and snapshots repeat the same names many times, and followers fetch them over links
/// that also carry the requests of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compressed<T>(pub T);

impl<T: Serialize> Serialize for Compressed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let json = serde_json::to_vec(&self.0).map_err(ser::Error::custom)?;
        let bytes = zstd::bulk::compress(&json, COMPRESSION_LEVEL).map_err(ser::Error::custom)?;
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
