//! Messages of version 1.
//!
//! Postcard writes fields by position and variants by number, so a field that is absent, added or moved
//! changes the layout. The JSON-RPC messages omit absent fields and tag variants by name, which postcard
//! cannot read; those that do have a copy here. The conversions name each field, so that one which is
//! added to a JSON-RPC message does not compile until it is added here, with a new version of the protocol
//! once this one is released.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallotdrum_allotments::{AllotmentReply, Charge, Lack};
use shallotdrum_engine::{
    GrantedPlace, ObservedLimit, Priority, Requirements, TargetLoad, Urgency,
};
use shallotdrum_types::{
    AdapterRef, CustomerName, Fingerprint, GroupId, Incarnation, RequestError, RequestId,
    RequestNumber, ReservationId, SessionId, SoftwareVersion, SubscriberId, TargetId, Weight,
};

use crate::{EndedPlace, PlaceEnd, PlaceReply, PlaceRequest};

/// Adds the derives that messages have in common.
macro_rules! messages {
    ($($item:item)+) => {
        $(#[derive(Clone, Debug, Serialize, Deserialize)] $item)+
    };
}

/// Defines the copy of a message with the same fields, and the conversions.
macro_rules! copies {
    ($($(#[$meta:meta])* $copy:ident = $original:ident { $($field:ident: $type:ty,)+ })+) => {
        $(
            messages! {
                $(#[$meta])*
                pub(crate) struct $copy { $($field: $type,)+ }
            }

            impl From<$original> for $copy {
                fn from($original { $($field,)+ }: $original) -> Self {
                    Self { $($field,)+ }
                }
            }

            impl From<$copy> for $original {
                fn from($copy { $($field,)+ }: $copy) -> Self {
                    Self { $($field,)+ }
                }
            }
        )+
    };
}

messages! {
    /// What an entry sends.
    pub(crate) enum EntryMessage {
        /// Requests a place.
        Take(RequestNumber, Box<Take>),
        /// Reports ends of places of a session; has no reply.
        End(SessionId, Vec<End>),
        /// Changes a share of a customer's allotment.
        Allotment(RequestNumber, AllotmentCall),
        /// Asks for a reply.
        Ping(RequestNumber),
        /// Cancels the request for a place, or releases it if it is granted; has no reply.
        Cancel(SessionId, u64),
    }

    /// What an owner sends.
    pub(crate) enum OwnerMessage {
        /// Reply to a request for a place.
        Place(RequestNumber, Reply),
        /// Reply to a change of a share.
        Allotment(RequestNumber, Option<Bucket>),
        /// Reply to a ping.
        Pong(RequestNumber),
        /// The request failed; it has had no effect.
        Failed(RequestNumber, String),
    }

    /// Change of a share of a customer's allotment.
    #[derive(PartialEq)]
    pub struct AllotmentCall {
        /// Session of the entry.
        pub session: SessionId,
        /// Caller's request, for log lines.
        pub request: RequestId,
        /// Customer whose allotment it is.
        pub customer: CustomerName,
        /// Number of units.
        pub units: u64,
        /// Group whose owner keeps the share.
        pub group: GroupId,
        /// What to do with the units.
        pub step: AllotmentStep,
    }

    /// What to do with units of an allotment.
    #[derive(Copy, PartialEq, Eq)]
    pub enum AllotmentStep {
        /// Take them.
        Take,
        /// Return them, as their request got no place.
        Return,
        /// Reserve them for a request that waits for a place in another group.
        Reserve {
            /// Identifies the reservation within the session.
            id: ReservationId,
            /// Time after which it counts as used, in milliseconds.
            left_ms: u64,
        },
        /// Take the units of a reservation, or release them.
        Settle {
            /// Identifies the reservation within the session.
            id: ReservationId,
            /// Whether the units are taken.
            is_used: bool,
        },
    }

    /// Copy of [`PlaceRequest`].
    pub(crate) struct Take {
        session: SessionId,
        request: RequestId,
        place: u64,
        group: GroupId,
        subscriber: SubscriberId,
        weight: Option<Weight>,
        charge: Option<Charge>,
        need: Need,
        fingerprint: Option<[u8; 32]>,
        any_caller: Option<[u8; 32]>,
        limits: Vec<ObservedLimit>,
        urgency: Urgency,
        objective_ms: Option<u64>,
        spread: Option<u32>,
        left_ms: u64,
        avoid: Vec<TargetId>,
        software: Option<SoftwareVersion>,
    }

    /// Copy of [`Requirements`].
    pub(crate) enum Need {
        /// Generation.
        Generation {
            adapter: Option<AdapterRef>,
            prompt_tokens: u64,
            max_tokens: u64,
            prefixes: Vec<u64>,
        },
        /// Call to a plain service.
        Call { is_repeatable: bool },
    }

    /// Copy of [`EndedPlace`].
    pub(crate) struct End {
        place: u64,
        end: PlaceEnd,
        first_event_ms: Option<u64>,
        load: Option<Load>,
        load_age_ms: Option<u64>,
        events: Option<u64>,
        stream_ms: Option<u64>,
        used_ms: Option<u64>,
        has_no_room: bool,
    }

    /// Copy of [`PlaceReply`].
    pub(crate) enum Reply {
        /// Place without a charge.
        Granted(Grant),
        /// Place with a charge.
        Charged(Grant, Bucket),
        /// No room in the allotment.
        NoRoom(Bucket),
        /// No place.
        Refused(RequestError, Option<u64>),
    }
}

copies! {
    /// Copy of [`TargetLoad`].
    Load = TargetLoad { running: u32, waiting: u32, slots: u32, slowness: Option<f64>, }

    /// Copy of [`GrantedPlace`].
    Grant = GrantedPlace {
        target: TargetId,
        incarnation: Incarnation,
        addr: SocketAddr,
        priority: Priority,
        is_rate_limited: bool,
        software: Option<SoftwareVersion>,
        spread: Option<u32>,
        group_wait_ms: Option<u64>,
    }

    /// Copy of [`AllotmentReply`].
    Bucket = AllotmentReply {
        granted: bool,
        level: f64,
        room_after_ms: Option<u64>,
        lack: Lack,
        is_reserved: bool,
    }
}

impl Take {
    /// Identifies the place that is asked for.
    pub(crate) fn key(&self) -> (SessionId, u64) {
        (self.session, self.place)
    }

    /// Call that returns the units of the request; absent without a charge.
    pub(crate) fn return_units(&self) -> Option<Box<AllotmentCall>> {
        let Charge { customer, units } = self.charge.clone()?;
        Some(Box::new(AllotmentCall {
            session: self.session,
            request: self.request.clone(),
            customer,
            units,
            group: self.group.clone(),
            step: AllotmentStep::Return,
        }))
    }
}

impl From<PlaceRequest> for Take {
    fn from(req: PlaceRequest) -> Self {
        let PlaceRequest {
            session,
            request,
            place,
            group,
            subscriber,
            weight,
            charge,
            need,
            fingerprint,
            any_caller,
            limits,
            urgency,
            objective_ms,
            spread,
            left_ms,
            avoid,
            software,
        } = req;
        Self {
            session,
            request,
            place,
            group,
            subscriber,
            weight,
            charge,
            need: need.into(),
            fingerprint: fingerprint.map(|hash| *hash.as_bytes()),
            any_caller: any_caller.map(|hash| *hash.as_bytes()),
            limits,
            urgency,
            objective_ms,
            spread,
            left_ms,
            avoid,
            software,
        }
    }
}

impl From<Take> for PlaceRequest {
    fn from(take: Take) -> Self {
        let Take {
            session,
            request,
            place,
            group,
            subscriber,
            weight,
            charge,
            need,
            fingerprint,
            any_caller,
            limits,
            urgency,
            objective_ms,
            spread,
            left_ms,
            avoid,
            software,
        } = take;
        Self {
            session,
            request,
            place,
            group,
            subscriber,
            weight,
            charge,
            need: need.into(),
            fingerprint: fingerprint.map(Fingerprint::from_bytes),
            any_caller: any_caller.map(Fingerprint::from_bytes),
            limits,
            urgency,
            objective_ms,
            spread,
            left_ms,
            avoid,
            software,
        }
    }
}

impl From<Requirements> for Need {
    fn from(need: Requirements) -> Self {
        match need {
            Requirements::Generation { adapter, prompt_tokens, max_tokens, prefixes } => {
                Self::Generation { adapter, prompt_tokens, max_tokens, prefixes }
            }
            Requirements::Call { is_repeatable } => Self::Call { is_repeatable },
        }
    }
}

impl From<Need> for Requirements {
    fn from(need: Need) -> Self {
        match need {
            Need::Generation { adapter, prompt_tokens, max_tokens, prefixes } => {
                Self::Generation { adapter, prompt_tokens, max_tokens, prefixes }
            }
            Need::Call { is_repeatable } => Self::Call { is_repeatable },
        }
    }
}

impl From<EndedPlace> for End {
    fn from(ended: EndedPlace) -> Self {
        let EndedPlace {
            place,
            end,
            first_event_ms,
            load,
            load_age_ms,
            events,
            stream_ms,
            used_ms,
            has_no_room,
        } = ended;
        let load = load.map(Into::into);
        Self {
            place,
            end,
            first_event_ms,
            load,
            load_age_ms,
            events,
            stream_ms,
            used_ms,
            has_no_room,
        }
    }
}

impl From<End> for EndedPlace {
    fn from(ended: End) -> Self {
        let End {
            place,
            end,
            first_event_ms,
            load,
            load_age_ms,
            events,
            stream_ms,
            used_ms,
            has_no_room,
        } = ended;
        let load = load.map(Into::into);
        Self {
            place,
            end,
            first_event_ms,
            load,
            load_age_ms,
            events,
            stream_ms,
            used_ms,
            has_no_room,
        }
    }
}

impl From<PlaceReply> for Reply {
    fn from(reply: PlaceReply) -> Self {
        match reply {
            PlaceReply::Granted(place) => Self::Granted(place.into()),
            PlaceReply::Charged { place, allotment } => {
                Self::Charged(place.into(), allotment.into())
            }
            PlaceReply::NoRoom { allotment } => Self::NoRoom(allotment.into()),
            PlaceReply::Refused { error, group_wait_ms } => Self::Refused(error, group_wait_ms),
        }
    }
}

impl From<Reply> for PlaceReply {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Granted(place) => Self::Granted(place.into()),
            Reply::Charged(place, allotment) => {
                Self::Charged { place: place.into(), allotment: allotment.into() }
            }
            Reply::NoRoom(allotment) => Self::NoRoom { allotment: allotment.into() },
            Reply::Refused(error, group_wait_ms) => Self::Refused { error, group_wait_ms },
        }
    }
}
