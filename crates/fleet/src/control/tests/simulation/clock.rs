//! Clocks that only the simulation advances.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::clock::Clock;

use super::Simulation;

/// Time of day at the start of a simulation, after the Unix epoch. Times of day of hosts can be
/// behind it.
const START_TIME: Duration = Duration::from_secs(1_000_000);

/// Clock with the true time.
pub(in crate::control::tests) struct ManualClock {
    start: Instant,
    now_ms: Mutex<u64>,
}

impl ManualClock {
    pub(in crate::control::tests) fn new() -> Self {
        Self { start: Instant::now(), now_ms: Mutex::new(0) }
    }

    pub(in crate::control::tests) fn set(&self, now_ms: u64) {
        *self.now_ms.lock().unwrap() = now_ms;
    }

    pub(super) fn now_ms(&self) -> u64 {
        *self.now_ms.lock().unwrap()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms())
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + START_TIME + self.uptime()
    }

    fn uptime(&self) -> Duration {
        Duration::from_millis(self.now_ms())
    }
}

/// Clock of a host, whose time of day has an offset to the true time. Its steady time and its
/// uptime have none.
pub(super) struct HostClock {
    time: Arc<ManualClock>,
    offset_ms: Mutex<i64>,
}

impl HostClock {
    pub(super) fn new(time: Arc<ManualClock>) -> Self {
        Self { time, offset_ms: Mutex::new(0) }
    }

    /// Steps the time of day, ahead or back.
    pub(super) fn step(&self, by_ms: i64) {
        *self.offset_ms.lock().unwrap() += by_ms;
    }

    /// Sets the offset of the time of day to the true time.
    pub(super) fn set_offset(&self, offset_ms: i64) {
        *self.offset_ms.lock().unwrap() = offset_ms;
    }
}

impl Clock for HostClock {
    fn now(&self) -> Instant {
        self.time.now()
    }

    fn wall_time(&self) -> SystemTime {
        let offset_ms = *self.offset_ms.lock().unwrap();
        let offset = Duration::from_millis(offset_ms.unsigned_abs());
        let true_time = self.time.wall_time();
        if offset_ms < 0 { true_time - offset } else { true_time + offset }
    }

    fn uptime(&self) -> Duration {
        self.time.uptime()
    }
}

impl Simulation {
    /// Steps a host's time of day, ahead or back. It stays so when the host restarts.
    pub(in crate::control::tests) fn step_clock(&self, host: usize, by_ms: i64) {
        self.hosts[host].clock.step(by_ms);
    }

    /// Sets the offset of a host's time of day to the true time.
    pub(in crate::control::tests) fn set_clock_offset(&self, host: usize, offset_ms: i64) {
        self.hosts[host].clock.set_offset(offset_ms);
    }
}
