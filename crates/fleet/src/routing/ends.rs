//! When places on fast targets become free.

use std::time::Duration;

/// Expected wait while no run on a fast target is known, such as during a claim: about an answer.
const UNKNOWN: Duration = Duration::from_millis(50);
/// Ends that are told to other hosts: more than wait for places of one steward on most days.
pub const MAX_END_TIMES: usize = 8;

/// Times until runs on fast targets are expected to end, the next one first.
#[derive(Clone, Debug, Default)]
pub struct EndTimes {
    next: Vec<Duration>,
}

impl FromIterator<Duration> for EndTimes {
    fn from_iter<T: IntoIterator<Item = Duration>>(times: T) -> Self {
        let mut next: Vec<Duration> = times.into_iter().collect();
        next.sort_unstable();
        Self { next }
    }
}

impl EndTimes {
    /// Expected time until a place is free for a task that comes after so many others that wait.
    #[must_use]
    pub fn wait_after(&self, others: usize) -> Duration {
        let Some(last) = self.next.last() else {
            return UNKNOWN;
        };
        let rounds = u32::try_from(others / self.next.len()).unwrap_or(u32::MAX);
        let next = self.next[others % self.next.len()];
        last.saturating_mul(rounds).saturating_add(next)
    }

    /// The times, the next one first.
    pub fn iter(&self) -> impl Iterator<Item = Duration> {
        self.next.iter().copied()
    }

    /// The next ones in milliseconds, for other hosts.
    #[must_use]
    pub fn earliest_ms(&self) -> [Option<u32>; MAX_END_TIMES] {
        let millis = |time: &Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        std::array::from_fn(|place| self.next.get(place).map(millis))
    }
}
