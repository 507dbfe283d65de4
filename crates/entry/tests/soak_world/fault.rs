//! Faults from outside, and their ends.

use std::time::{Duration, Instant};

use coltsfootshunt_platform_standin::store::Mode;
use coltsfootshunt_standin::cut::Fault;
use coltsfootshunt_testkit::Signal;
use rand::Rng;

use super::Soak;

/// Lengths of faults, in milliseconds: below and above leases, silences and repeats.
const LASTS_MS: std::ops::Range<u64> = 100..3_000;

/// What ends a fault.
pub(crate) enum Heal {
    Wake(usize),
    Launch(usize),
    TargetRelay(usize),
    StoreRelay(usize),
    Store,
}

impl Soak {
    /// One random fault.
    pub(crate) fn disturb(&mut self) {
        let lasts = Duration::from_millis(self.rng.random_range(LASTS_MS));
        let end = Instant::now() + lasts;
        let host = self.rng.random_range(0..self.hosts.len());
        let target = self.rng.random_range(0..self.target_relays.len());
        match self.rng.random_range(0..10) {
            0 => self.tell_end(host, Signal::Kill, end),
            1 => self.tell_end(host, Signal::Terminate, end),
            2 => {
                self.hosts[host].signal(Signal::Freeze);
                self.heals.push((end, Heal::Wake(host)));
            }
            3 | 4 => {
                let fault = self.wire_fault();
                self.target_relays[target].set(fault);
                self.heals.push((end, Heal::TargetRelay(target)));
            }
            5 => {
                let fault = self.wire_fault();
                self.store_relays[host].set(fault);
                self.heals.push((end, Heal::StoreRelay(host)));
            }
            6 => {
                let mode =
                    if self.rng.random_bool(0.5) { Mode::Unavailable } else { Mode::Unresponsive };
                self.cluster.store.set_mode(mode);
                self.cluster.store.compact();
                self.heals.push((end, Heal::Store));
            }
            7 => {
                // A crash ends the target's connections and with them what is on its way.
                let refuses = self.refusals.random_bool(0.5);
                self.target_relays[target].set(if refuses { Fault::Refuse } else { Fault::Reset });
                self.cluster.targets[target].crash();
                self.heals.push((end, Heal::TargetRelay(target)));
            }
            8 => self.cluster.targets[target].stall(lasts),
            _ => self.configure(),
        }
    }

    /// Refuses connections at times: what is behind the relay lives, and nothing listens.
    pub(crate) fn refuse(&mut self) {
        let lasts = Duration::from_millis(self.refusals.random_range(LASTS_MS));
        let end = Instant::now() + lasts;
        let host = self.refusals.random_range(0..self.hosts.len());
        let target = self.refusals.random_range(0..self.target_relays.len());
        match self.refusals.random_range(0..6) {
            0 | 1 => {
                self.target_relays[target].set(Fault::Refuse);
                self.heals.push((end, Heal::TargetRelay(target)));
            }
            2 => {
                self.store_relays[host].set(Fault::Refuse);
                self.heals.push((end, Heal::StoreRelay(host)));
            }
            _ => {}
        }
    }

    fn wire_fault(&mut self) -> Fault {
        match self.rng.random_range(0..4) {
            0 => Fault::Delay(Duration::from_millis(self.rng.random_range(20..2_500))),
            1 => Fault::Silent,
            2 => Fault::Mute,
            _ => Fault::Reset,
        }
    }

    fn tell_end(&mut self, host: usize, signal: Signal, start_again: Instant) {
        self.hosts[host].signal(signal);
        self.told[host] = true;
        self.heals.push((start_again, Heal::Launch(host)));
    }

    /// Ends the faults whose time is over.
    pub(crate) fn heal(&mut self) {
        let now = Instant::now();
        let over = self.heals.extract_if(.., |(end, _)| *end <= now).collect::<Vec<_>>();
        for (_, heal) in over {
            self.end_fault(&heal);
        }
    }

    pub(crate) fn end_fault(&mut self, heal: &Heal) {
        match *heal {
            Heal::Wake(host) => self.hosts[host].signal(Signal::Wake),
            Heal::Launch(host) => {
                // One that is still stopping is started at the end of the run.
                if self.hosts[host].has_ended() {
                    self.cluster.launch(&mut self.hosts[host]);
                    self.told[host] = false;
                }
            }
            Heal::TargetRelay(target) => self.target_relays[target].set(Fault::None),
            Heal::StoreRelay(host) => self.store_relays[host].set(Fault::None),
            Heal::Store => self.cluster.store.set_mode(Mode::Serving),
        }
    }
}
