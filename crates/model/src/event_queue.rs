//! Queue of simulated events in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Events in order of their time. Events with the same time keep the order in which they were
/// pushed.
#[derive(Debug)]
pub struct EventQueue<T, E> {
    heap: BinaryHeap<Reverse<Scheduled<T, E>>>,
    /// Number of events pushed so far.
    sequence: u64,
}

#[derive(Debug)]
struct Scheduled<T, E> {
    at: T,
    sequence: u64,
    event: E,
}

impl<T: Ord, E> PartialEq for Scheduled<T, E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T: Ord, E> Eq for Scheduled<T, E> {}

impl<T: Ord, E> PartialOrd for Scheduled<T, E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Ord, E> Ord for Scheduled<T, E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (&self.at, self.sequence).cmp(&(&other.at, other.sequence))
    }
}

impl<T: Ord + Copy, E> Default for EventQueue<T, E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T: Ord + Copy, E> EventQueue<T, E> {
    /// Schedules an event.
    pub fn push(&mut self, at: T, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// Removes and returns the next event with its time. `None` if it is later than `end`.
    pub fn pop_until(&mut self, end: T) -> Option<(T, E)> {
        if self.heap.peek().is_none_or(|Reverse(next)| next.at > end) {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
