//! Simulates a single queue for all slots, as the bound to compare response times with.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::Arrival;

/// Response time of each job if all tasks waited in one queue, first come first served.
#[must_use]
pub fn response_times(arrivals: &[Arrival], slots: usize) -> Vec<Duration> {
    let mut free_at: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    arrivals.iter().map(|arrival| response_time(arrival, &mut free_at)).collect()
}

/// Runs the tasks of a job. `free_at` holds the time at which each slot becomes free, in
/// nanoseconds.
fn response_time(arrival: &Arrival, free_at: &mut BinaryHeap<Reverse<u64>>) -> Duration {
    let at = nanos(arrival.at);
    let mut last_end = at;
    for task_ms in &arrival.tasks_ms {
        let Reverse(slot) = free_at.pop().unwrap_or_default();
        let end = slot.max(at) + nanos(Duration::from_secs_f64(task_ms / 1e3));
        free_at.push(Reverse(end));
        last_end = last_end.max(end);
    }
    Duration::from_nanos(last_end - at)
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
