//! Access to the current time, behind a trait so that tests and simulations can control it.

use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Monotonic time. It advances while the process is stopped by a signal.
    fn now(&self) -> Instant;
    /// Calendar time. Use it only for logs, reports and the order of fencing tokens.
    fn wall_time(&self) -> SystemTime;
    /// Time since the host booted, including time for which it was suspended.
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
        // Every supported kernel has `CLOCK_BOOTTIME`.
        clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
    }
}
