//! What one queue over all slots would give to the same arrivals: the bound to compare with.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::Arrival;

/// Response time of each job if its tasks waited in one queue, first come first served.
#[must_use]
pub fn responses(arrivals: &[Arrival], slots: usize) -> Vec<Duration> {
    let mut free: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    arrivals.iter().map(|arrival| response(arrival, &mut free)).collect()
}

fn response(arrival: &Arrival, free: &mut BinaryHeap<Reverse<u64>>) -> Duration {
    let at = nanos(arrival.at);
    let mut last = at;
    for task_ms in &arrival.tasks_ms {
        let Reverse(slot) = free.pop().unwrap_or_default();
        let end = slot.max(at) + nanos(Duration::from_secs_f64(task_ms / 1e3));
        free.push(Reverse(end));
        last = last.max(end);
    }
    Duration::from_nanos(last - at)
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
