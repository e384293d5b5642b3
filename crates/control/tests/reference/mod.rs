//! The rules of quarantine as plain scans, in the form that releases before the index have; the indexed state
//! is compared with them.
//!
//! Architecture Invariant: releases that share a log decide alike. A change of the rules comes with a new format
//! of the log, and this copy stays as it is for the formats before.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "a copy of the former module, of which the tests use a part"
)]

pub(crate) mod causes;
pub(crate) mod parts;
pub(crate) mod suspects;
