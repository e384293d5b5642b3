//! Messages between entries and the owners of shards.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotdrum_types::{CustomerName, ReservationId};

/// Units to take from a customer's allotment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// Customer to charge.
    pub customer: CustomerName,
    /// Number of units.
    pub units: u64,
}

/// How units are reserved for a request that waits for a place in another group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Identifier of the reservation, unique within the session of the entry.
    pub id: ReservationId,
    /// Time until the units count as used if they are neither confirmed nor returned, in milliseconds.
    pub left_ms: u64,
}

/// Response of a shard's owner to a charge.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AllotmentReply {
    /// Whether the units were taken, or reserved.
    pub granted: bool,
    /// Units in the bucket after the decision; negative after a request larger than the bucket.
    pub level: f64,
    /// Time until the bucket has room for the units, in milliseconds; absent if they were taken, and
    /// if the group is not a shard of the customer by the owner's state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub room_after_ms: Option<u64>,
    /// Why the bucket has no room.
    #[serde(default)]
    pub lack: Lack,
    /// Whether the units are reserved until the entry confirms or returns them; owners of earlier
    /// releases take them at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_reserved: bool,
}

/// Why a bucket has no room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lack {
    /// The customer used the units.
    #[default]
    Used,
    /// The bucket began empty a short time ago, so the customer may be within its allotment.
    Recovering,
    /// Most units are kept for requests that wait for a place, so targets lack capacity.
    Queued,
}

impl AllotmentReply {
    /// Refusal of an owner whose state does not have the group as a shard of the customer.
    pub const NOT_A_SHARD: Self = Self {
        granted: false,
        level: 0.0,
        room_after_ms: None,
        lack: Lack::Used,
        is_reserved: false,
    };

    /// Grant that leaves the bucket at a level.
    pub fn granted_at(level: f64) -> Self {
        Self { granted: true, level, ..Self::NOT_A_SHARD }
    }

    /// Time until there is room, if the bucket had none.
    pub fn room_after(&self) -> Option<Duration> {
        self.room_after_ms.map(Duration::from_millis)
    }
}
