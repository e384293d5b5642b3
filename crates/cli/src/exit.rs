//! Error output and exit codes.

use std::process::ExitCode;

use shallotdrum_rpc::RpcError;

/// The wait for a manifest to be in force on all instances timed out.
#[derive(Debug, thiserror::Error)]
#[error("revision {revision} is not in force on every instance; missing: {missing}")]
pub(crate) struct NotInForce {
    pub(crate) revision: shallotdrum_types::Revision,
    pub(crate) missing: String,
}

/// Prints an error to standard error and returns its exit code.
pub(crate) fn report(error: &anyhow::Error) -> ExitCode {
    eprintln!("error: {error:#}");
    if let Some(RpcError::InvalidManifest(problems)) = error.downcast_ref() {
        for problem in &problems.errors {
            eprintln!("  {problem}");
        }
    }
    ExitCode::from(exit_code(error))
}

fn exit_code(error: &anyhow::Error) -> u8 {
    const OTHER: u8 = 1;
    const INVALID: u8 = 3;
    const REFUSED: u8 = 4;
    const NO_ANSWER: u8 = 5;
    const NOT_IN_FORCE: u8 = 6;
    match error.downcast_ref::<RpcError>() {
        Some(RpcError::InvalidManifest(_)) => INVALID,
        Some(RpcError::Refused(_) | RpcError::Membership(_)) => REFUSED,
        Some(RpcError::Unavailable | RpcError::Unknown | RpcError::NoAnswer(_)) => NO_ANSWER,
        Some(_) => OTHER,
        None if error.is::<NotInForce>() => NOT_IN_FORCE,
        None => OTHER,
    }
}
