//! Waiting for conditions instead of fixed times.

use std::time::Duration;

use tokio::time::Instant;

/// Pause between looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A condition did not come true in time.
#[derive(Clone, Debug, thiserror::Error)]
#[error("waited {limit:?} in vain until {what}; last seen: {last}")]
pub struct WaitError {
    /// Condition.
    pub what: String,
    /// Time limit.
    pub limit: Duration,
    /// What was seen last.
    pub last: String,
}

/// Looks until the condition holds and returns how long that took.
///
/// `look` returns `Ok` when the condition holds, or a description of what it saw.
pub async fn wait_until<T, F>(
    what: &str,
    limit: Duration,
    mut look: impl FnMut() -> F,
) -> Result<(T, Duration), WaitError>
where
    F: Future<Output = Result<T, String>>,
{
    let start = Instant::now();
    loop {
        let last = match look().await {
            Ok(value) => return Ok((value, start.elapsed())),
            Err(last) => last,
        };
        if start.elapsed() >= limit {
            return Err(WaitError { what: what.to_owned(), limit, last });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
