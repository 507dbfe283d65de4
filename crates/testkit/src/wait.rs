//! Polling for a condition.

use std::future::Future;
use std::time::{Duration, Instant};

/// Longest time that [`wait_until`] polls. Far above the time any awaited event takes, so that a
/// slow machine does not fail a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Polls until `poll` returns a value. `condition` describes the awaited state in the panic
/// message.
///
/// # Panics
/// If there is no value within [`WAIT_TIMEOUT`].
pub async fn wait_until<T, F: Future<Output = Option<T>>>(
    condition: &str,
    mut poll: impl FnMut() -> F,
) -> T {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if let Some(found) = poll().await {
            return found;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out after {} s waiting until {condition}", WAIT_TIMEOUT.as_secs());
}
