//! Random faults of processes, targets, the store and connections.

use std::time::{Duration, Instant};

use coltsfootshunt_platform_standin::store::Mode;
use coltsfootshunt_standin::relay::Fault;
use coltsfootshunt_testkit::Signal;
use rand::Rng;

use super::{Soak, ZONES};

/// Range of the duration of a fault, in milliseconds. It includes durations below and above the
/// terms of leases, the timeouts and the retry delays.
const DURATION_MS: std::ops::Range<u64> = 100..3_000;

/// How to end a fault. Hosts, targets and relays are given by index.
pub(crate) enum FaultEnd {
    /// Resume the paused process of a host.
    Resume(usize),
    /// Restart the process of a host.
    Launch(usize),
    /// Let a target's connections pass.
    TargetRelay(usize),
    /// Let a host's connections to the store pass.
    StoreRelay(usize),
    /// Let the store respond.
    Store,
}

impl Soak {
    /// Causes a random fault.
    pub(crate) fn cause_fault(&mut self) {
        let duration = Duration::from_millis(self.fault_rng.random_range(DURATION_MS));
        let end = Instant::now() + duration;
        let host = self.fault_rng.random_range(0..self.hosts.len());
        let target = self.fault_rng.random_range(0..self.target_relays.len());
        match self.fault_rng.random_range(0..10) {
            0 => self.stop_host(host, Signal::Kill, end),
            1 => self.stop_host(host, Signal::Terminate, end),
            2 => {
                self.hosts[host].signal(Signal::Stop);
                self.faults.push((end, FaultEnd::Resume(host)));
            }
            3 | 4 => {
                let fault = self.random_connection_fault();
                self.target_relays[target].set_fault(fault);
                self.faults.push((end, FaultEnd::TargetRelay(target)));
            }
            5 => {
                let fault = self.random_connection_fault();
                self.store_relays[host].set_fault(fault);
                self.faults.push((end, FaultEnd::StoreRelay(host)));
            }
            6 => {
                let mode = if self.fault_rng.random_bool(0.5) {
                    Mode::Unavailable
                } else {
                    Mode::Unresponsive
                };
                self.cluster.store.set_mode(mode);
                self.cluster.store.compact();
                self.faults.push((end, FaultEnd::Store));
            }
            7 => {
                // A crash resets the target's connections, and loses the requests and responses in
                // flight.
                let is_refusing = self.refusal_rng.random_bool(0.5);
                self.target_relays[target].set_fault(if is_refusing {
                    Fault::Refuse
                } else {
                    Fault::Reset
                });
                self.cluster.targets[target].crash();
                self.faults.push((end, FaultEnd::TargetRelay(target)));
            }
            8 => self.cluster.targets[target].stall(duration),
            _ => self.change_configuration(),
        }
    }

    /// Refuses connections in half of all calls, as if no process listened, although the one behind
    /// the relay runs.
    pub(crate) fn maybe_refuse_connections(&mut self) {
        let duration = Duration::from_millis(self.refusal_rng.random_range(DURATION_MS));
        let end = Instant::now() + duration;
        let host = self.refusal_rng.random_range(0..self.hosts.len());
        let target = self.refusal_rng.random_range(0..self.target_relays.len());
        match self.refusal_rng.random_range(0..6) {
            0 | 1 => {
                self.target_relays[target].set_fault(Fault::Refuse);
                self.faults.push((end, FaultEnd::TargetRelay(target)));
            }
            2 => {
                self.store_relays[host].set_fault(Fault::Refuse);
                self.faults.push((end, FaultEnd::StoreRelay(host)));
            }
            _ => {}
        }
    }

    /// Evacuates a zone now and then, or restores it. One zone at a time, so that the other one takes jobs.
    pub(crate) fn maybe_evacuate(&mut self) {
        let zone = ZONES[self.evacuation_rng.random_range(0..ZONES.len())];
        match (self.evacuation_rng.random_range(0..4), self.evacuated) {
            (0, Some((evacuated, _))) => {
                self.cluster.store.restore(evacuated);
                self.evacuated = None;
            }
            (0 | 1, None) => {
                self.cluster.store.evacuate(zone);
                self.evacuated = Some((zone, Instant::now()));
            }
            _ => {}
        }
    }

    fn random_connection_fault(&mut self) -> Fault {
        match self.fault_rng.random_range(0..4) {
            0 => Fault::Delay(Duration::from_millis(self.fault_rng.random_range(20..2_500))),
            1 => Fault::Blackhole,
            2 => Fault::DropResponses,
            _ => Fault::Reset,
        }
    }

    fn stop_host(&mut self, host: usize, signal: Signal, restart_at: Instant) {
        self.hosts[host].signal(signal);
        self.has_been_stopped[host] = true;
        self.faults.push((restart_at, FaultEnd::Launch(host)));
    }

    /// Ends the faults whose duration has passed.
    pub(crate) fn end_expired_faults(&mut self) {
        let now = Instant::now();
        let expired = self.faults.extract_if(.., |(end, _)| *end <= now).collect::<Vec<_>>();
        for (_, fault_end) in expired {
            self.end_fault(&fault_end);
        }
    }

    pub(crate) fn end_fault(&mut self, fault_end: &FaultEnd) {
        match *fault_end {
            FaultEnd::Resume(host) => self.hosts[host].signal(Signal::Continue),
            FaultEnd::Launch(host) => {
                // A host that is still stopping is restarted by `recover`.
                if self.hosts[host].has_ended() {
                    self.cluster.launch(&mut self.hosts[host]);
                    self.has_been_stopped[host] = false;
                }
            }
            FaultEnd::TargetRelay(target) => self.target_relays[target].set_fault(Fault::None),
            FaultEnd::StoreRelay(host) => self.store_relays[host].set_fault(Fault::None),
            FaultEnd::Store => self.cluster.store.set_mode(Mode::Serving),
        }
    }
}
