//! Time, passed in as an interface.

use std::time::{Instant, SystemTime};

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Monotonic time; it goes on while the process is stopped by a signal.
    fn now(&self) -> Instant;
    /// Calendar time, for logs and reports only.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
