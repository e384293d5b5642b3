//! Rules of quarantine as releases up to the fifth format of the control log apply them: plain scans,
//! against which the indexed state is compared. Not to be changed, since all releases share one log.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "a copy of the former module, of which the tests use a part"
)]

pub(crate) mod causes;
pub(crate) mod parts;
pub(crate) mod suspects;
