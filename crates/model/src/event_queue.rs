//! Events in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// What is to happen, in order of time; what happens at one time keeps the order in which it was put.
#[derive(Debug)]
pub struct EventQueue<T, E> {
    due: BinaryHeap<Reverse<Due<T, E>>>,
    order: u64,
}

#[derive(Debug)]
struct Due<T, E> {
    at: T,
    order: u64,
    event: E,
}

impl<T: Ord, E> PartialEq for Due<T, E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T: Ord, E> Eq for Due<T, E> {}

impl<T: Ord, E> PartialOrd for Due<T, E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Ord, E> Ord for Due<T, E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (&self.at, self.order).cmp(&(&other.at, other.order))
    }
}

impl<T: Ord + Copy, E> Default for EventQueue<T, E> {
    fn default() -> Self {
        Self { due: BinaryHeap::new(), order: 0 }
    }
}

impl<T: Ord + Copy, E> EventQueue<T, E> {
    /// Puts an event.
    pub fn push(&mut self, at: T, event: E) {
        self.order += 1;
        self.due.push(Reverse(Due { at, order: self.order, event }));
    }

    /// Takes the next event, if it happens by some time.
    pub fn pop_until(&mut self, end: T) -> Option<(T, E)> {
        if self.due.peek().is_none_or(|Reverse(due)| due.at > end) {
            return None;
        }
        self.due.pop().map(|Reverse(due)| (due.at, due.event))
    }
}
