//! Whether a request may run by the key of its caller, and for which customer.
//!
//! `decide` is a pure function of the credentials, the route, the table and the confirmation that was read
//! before the table. It is called when a request has arrived, and again before each send.
//!
//! Architecture Invariant: with a revocation bound, a request with a key runs only if the age of the last
//! confirmation is below the bound, and the table was read after that age. `docs/decisions/0016-revocation.md`
//! shows why no request then runs by a key that was withdrawn.

use std::{fmt, sync::Arc, time::Duration};

use shallotdrum_engine::Urgency;
use shallotdrum_routes::{Customer, Route, RouteIndex};
use shallotdrum_telemetry::event;
use shallotdrum_types::{Confirmation, RequestError, RequestErrorKind};

use crate::{Credentials, Gateway, credentials::Key, exchange::RequestRun, in_force::InForce};

/// Part of the revocation bound that is kept as a margin: for clocks that run at different rates, and for
/// the acknowledgement on its way to the operator.
const MARGIN_SHARE: u32 = 10;

/// `Retry-After` of an instance whose confirmation is too old; renewals are sent every second.
const RETRY_AFTER_UNCONFIRMED: Duration = Duration::from_secs(1);

/// Time after the acknowledgement of a table from which no request may run by a key that it removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RevocationBound(Duration);

impl RevocationBound {
    /// Bound of the settings.
    pub fn new(bound: Duration) -> Self {
        Self(bound)
    }

    /// Age from which a confirmation is too old to run a request with a key.
    pub fn max_age(self) -> Duration {
        self.0 - self.0 / MARGIN_SHARE
    }
}

/// As what a request may run.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The table has no customers; what the caller says of itself is forwarded.
    Unchecked,
    /// The table has customers; `None` on a public route without the key of one.
    Checked(Option<Arc<Customer>>),
}

/// Why a request does not run.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRefusal {
    /// What the caller sent, and why it does not suffice.
    pub reason: KeyRefusalReason,
    /// Customer that the table has for the key.
    pub customer: Option<Arc<Customer>>,
    /// Response to the caller.
    pub error: RequestError,
}

/// What a caller sent that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusalReason {
    /// No key.
    NoKey,
    /// Something that is not a key.
    MalformedKey,
    /// A key that no customer has.
    UnknownKey,
    /// A customer's key, which may have been withdrawn meanwhile.
    UnconfirmedKey,
}

impl KeyRefusalReason {
    /// Name for log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoKey => "no-key",
            Self::MalformedKey => "malformed-key",
            Self::UnknownKey => "unknown-key",
            Self::UnconfirmedKey => "unconfirmed-key",
        }
    }
}

impl fmt::Display for KeyRefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Decides whether a request may run, by a table that was read after its confirmation.
pub fn decide(
    credentials: &Credentials,
    route: &Route,
    routes: &RouteIndex,
    confirmation: &Confirmation,
    bound: Option<RevocationBound>,
) -> Result<Access, KeyRefusal> {
    let known = match credentials.key() {
        Key::Hashed(hash) => routes.customer_of(&hash).cloned().ok_or(KeyRefusalReason::UnknownKey),
        Key::Missing => Err(KeyRefusalReason::NoKey),
        Key::Malformed => Err(KeyRefusalReason::MalformedKey),
    };
    decide_for(known, route, routes, confirmation, bound)
}

/// Like `decide`, for the customer that has the key, or the reason why there is none.
pub(crate) fn decide_for(
    known: Result<Arc<Customer>, KeyRefusalReason>,
    route: &Route,
    routes: &RouteIndex,
    confirmation: &Confirmation,
    bound: Option<RevocationBound>,
) -> Result<Access, KeyRefusal> {
    if routes.table().customers.is_none() {
        return Ok(Access::Unchecked);
    }
    if route.is_public {
        return Ok(Access::Checked(known.ok()));
    }
    let customer = match known {
        Ok(customer) => customer,
        Err(reason) => {
            let detail = "the route needs `Authorization: Bearer KEY` with the key of a customer";
            let refusal = RequestError::not_run(RequestErrorKind::Unauthorized, detail);
            // A newer table may have the key.
            let error = confirmation.freshness.refuse(refusal);
            return Err(KeyRefusal { reason, customer: None, error });
        }
    };
    let is_confirmed =
        |bound: RevocationBound| confirmation.last.is_some_and(|last| last.age < bound.max_age());
    if bound.is_none_or(is_confirmed) {
        return Ok(Access::Checked(Some(customer)));
    }
    let detail = "the instance could not confirm lately that the key is still valid";
    Err(KeyRefusal {
        reason: KeyRefusalReason::UnconfirmedKey,
        customer: Some(customer),
        error: RequestError::not_run(RequestErrorKind::NotReady, detail)
            .retry_after(RETRY_AFTER_UNCONFIRMED),
    })
}

impl Access {
    /// Customer that the request runs for.
    pub(crate) fn customer(&self) -> Option<&Arc<Customer>> {
        match self {
            Self::Unchecked => None,
            Self::Checked(customer) => customer.as_ref(),
        }
    }
}

/// How urgent a request is: the customer's rank goes before that of the route.
///
/// Without a rank of a customer, the request has the middle one of the table.
pub(crate) fn urgency(
    customer: Option<&Customer>,
    route: &Route,
    routes: Option<&RouteIndex>,
) -> Urgency {
    let stated = customer.and_then(|customer| customer.rank);
    let rank = stated.or_else(|| routes.and_then(RouteIndex::middle_rank));
    let customer = rank.unwrap_or(Urgency::default().customer);
    Urgency { customer, route: route.rank }
}

impl Gateway {
    /// Decides whether a request may run by the table in force, and records a refusal.
    pub(crate) fn check_key(
        &self,
        request: &str,
        credentials: &Credentials,
        route: &Route,
        in_force: &InForce,
    ) -> Result<Access, KeyRefusal> {
        let Some(routes) = &in_force.routes else { return Ok(Access::Unchecked) };
        let confirmation = &in_force.confirmation;
        let decision = decide(credentials, route, routes, confirmation, self.cx.revocation);
        if let Err(refusal) = &decision {
            let KeyRefusal { reason, customer, error } = refusal;
            let last = confirmation.last;
            self.cx.metrics.key_refused(reason.as_str(), error.kind.code());
            event!(self.cx.log, KEY_REFUSED; "request" => request, "reason" => %reason,
                "kind" => %error.kind, "route" => &route.name,
                "customer" => customer.as_ref().map(|customer| customer.name.to_string()),
                "revision" => in_force.revision().0,
                "confirmed_index" => last.map(|last| last.index.0),
                "confirmed_ms" => last.map(|last| last.age.as_millis() as u64),
                "term" => last.map(|last| last.term.0));
        }
        decision
    }

    /// Decides once more before a send, by the newest state: the request may have waited.
    ///
    /// What may have run already was allowed when its caller sent it; it goes on while this instance cannot
    /// confirm the key, but not once the key is known to be withdrawn.
    pub(crate) fn check_key_again(&self, run: &mut RequestRun) -> Result<(), RequestError> {
        let in_force = self.in_force();
        let route = in_force
            .routes
            .as_ref()
            .and_then(|routes| routes.find(&run.req.host, run.req.target.path()))
            .unwrap_or(&run.route);
        match self.check_key(run.req.id.as_str(), &run.req.credentials, route, &in_force) {
            Ok(access) => {
                run.set_access(&access);
                Ok(())
            }
            Err(KeyRefusal { reason: KeyRefusalReason::UnconfirmedKey, .. })
                if run.may_have_run() =>
            {
                Ok(())
            }
            Err(refusal) => Err(refusal.error),
        }
    }
}
