//! Time, passed in as an interface.

use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Monotonic time; it goes on while the process is stopped by a signal.
    fn now(&self) -> Instant;
    /// Calendar time, for logs, reports and the rank of fencing tokens only.
    fn wall_time(&self) -> SystemTime;
    /// Time since the host started, with the time for which it was suspended.
    fn uptime(&self) -> Duration;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }

    fn uptime(&self) -> Duration {
        // The clock exists on every kernel that this system runs on.
        clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
    }
}
