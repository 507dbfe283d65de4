//! Times at which slots on fast targets become free.

use std::time::Duration;

/// Expected wait while no run on a fast target is known, for example while targets are being claimed: about
/// the time until a target responds to the claim.
const DEFAULT_WAIT: Duration = Duration::from_millis(50);
/// Maximum number of end times in a heartbeat. On most days, fewer tasks than this wait for the fast targets
/// of one steward.
pub const MAX_END_TIMES: usize = 8;

/// Times until the runs on fast targets are expected to end, the earliest first.
#[derive(Clone, Debug, Default)]
pub struct EndTimes {
    times: Vec<Duration>,
}

/// Expected time until a slot is free for a task that is queued behind `others`, given the number of runs, the time
/// until the last of them ends, and the time until each ends, in order. See [`EndTimes::wait_after`].
pub(crate) fn wait_for_end(
    others: usize,
    count: usize,
    last: Option<Duration>,
    nth: impl FnOnce(usize) -> Duration,
) -> Duration {
    let Some(last) = last.filter(|_| count > 0) else {
        return DEFAULT_WAIT;
    };
    let rounds = u32::try_from(others / count).unwrap_or(u32::MAX);
    last.saturating_mul(rounds).saturating_add(nth(others % count))
}

impl FromIterator<Duration> for EndTimes {
    fn from_iter<T: IntoIterator<Item = Duration>>(times: T) -> Self {
        let mut sorted: Vec<Duration> = times.into_iter().collect();
        sorted.sort_unstable();
        Self { times: sorted }
    }
}

impl EndTimes {
    /// Expected time until a slot is free for a task that is queued behind `others`. Each slot that becomes
    /// free is taken to be occupied again for as long as the longest of the runs.
    #[must_use]
    pub fn wait_after(&self, others: usize) -> Duration {
        wait_for_end(others, self.times.len(), self.times.last().copied(), |index| {
            self.times[index]
        })
    }

    /// The times, the earliest first.
    pub fn iter(&self) -> impl Iterator<Item = Duration> {
        self.times.iter().copied()
    }

    /// The earliest times in milliseconds, for the heartbeat. Unused elements are `None`.
    #[must_use]
    pub fn earliest_ms(&self) -> [Option<u32>; MAX_END_TIMES] {
        let millis = |time: &Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        std::array::from_fn(|index| self.times.get(index).map(millis))
    }
}
