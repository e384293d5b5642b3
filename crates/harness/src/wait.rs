//! Polling of conditions, instead of fixed delays.

use std::time::Duration;

use tokio::time::Instant;

/// Delay between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A condition did not hold within the time limit.
#[derive(Clone, Debug, thiserror::Error)]
#[error("timed out after {limit:?} waiting until {what}; last state: {last}")]
pub struct WaitError {
    /// Description of the condition.
    pub what: String,
    /// Time limit of the wait.
    pub limit: Duration,
    /// State described by the last poll.
    pub last: String,
}

/// Polls a condition until it holds; returns the result and how long that took.
///
/// `probe` returns `Ok` if the condition holds, and otherwise describes the current state.
pub async fn wait_until<T, F>(
    what: &str,
    limit: Duration,
    mut probe: impl FnMut() -> F,
) -> Result<(T, Duration), WaitError>
where
    F: Future<Output = Result<T, String>>,
{
    let start = Instant::now();
    loop {
        let last = match probe().await {
            Ok(value) => return Ok((value, start.elapsed())),
            Err(last) => last,
        };
        if start.elapsed() >= limit {
            return Err(WaitError { what: what.to_owned(), limit, last });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
