//! Waiting for what happens in its own time.

use std::future::Future;
use std::time::{Duration, Instant};

/// Longest wait. Far more than anything takes, so that a slow machine gives the same verdict.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between looks.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Waits until a look finds something.
///
/// # Panics
/// Nothing was found within [`WAIT_TIMEOUT`].
pub async fn wait_until<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut look: impl FnMut() -> F,
) -> T {
    let began = Instant::now();
    while began.elapsed() < WAIT_TIMEOUT {
        if let Some(found) = look().await {
            return found;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    panic!("waited {} s for this: {what}", WAIT_TIMEOUT.as_secs());
}
