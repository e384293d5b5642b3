//! Allotments of customers as shares of a token bucket.
//!
//! The bucket of a customer is divided among the owners of some target groups, its shards. `shards`
//! says which groups these are, `bucket` is the part that one owner keeps, `shares` all those of an
//! owner, `hints` is what an entry
//! knows of the shards, and `plan` chooses which of them to ask for the units of a request. `served`
//! tells how long a request may wait for one of them.
//! `reservations` are units of requests that wait in other groups. `messages` has what entries and owners tell each other.
//!
//! Architecture Invariant: the functions of this crate use neither the network nor a clock; times
//! are passed in.

mod bucket;
mod hints;
mod messages;
mod plan;
mod reservations;
mod served;
mod shards;
mod shares;

pub use bucket::{Bucket, Limits};
pub use hints::{Room, ShardHints};
pub use messages::{AllotmentReply, Charge, Lack, Reservation};
pub use plan::{ChargeRequest, ChargeStep, MAX_OTHER_SHARDS, plan_charge, spread_delay};
pub use reservations::{ReservationKey, Reserved, Settled};
pub use served::{ServedKind, ServedTimes, WaitStep, plan_wait};
pub use shards::{shard_count, shards, units, weight};
pub use shares::{AppliedAllotments, Beginning, GroupShares};
