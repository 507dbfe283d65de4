//! Capacities of targets that change while they run.

use coltsfootshunt_core::name::Target;

use super::{SimEvent, Simulation};
use crate::control::Event;
use crate::job::Resources;
use crate::store::{Error, Update};

/// Time for which a capacity still counts after it has shrunk, in milliseconds: a read of the store, and the way of
/// an order. The platform allows 4.5 s.
const SHRINK_GRACE_MS: u64 = 1_000;

impl Simulation {
    /// Sets the CPU of a target, which its entry in the store shows at once.
    pub(in crate::control::tests) fn set_capacity(&mut self, target: usize, cpu_millis: u64) {
        let until_ms = self.now_ms() + SHRINK_GRACE_MS;
        if let Some(target) = self.targets.values_mut().nth(target) {
            let before = target.entry.capacity;
            target.entry.capacity.cpu_millis = cpu_millis;
            self.former_capacities
                .entry(target.entry.name.clone())
                .or_default()
                .push((until_ms, before));
        }
    }

    /// Largest CPU that a target's runs have used after one of their starts since the last call, in thousandths of
    /// a core.
    pub(in crate::control::tests) fn take_peak_use(&mut self) -> u64 {
        std::mem::take(&mut self.peak_use)
    }

    /// Lets the store turn a host away, or serve it again.
    pub(in crate::control::tests) fn set_store_lost(&mut self, host: usize, is_lost: bool) {
        let update = if is_lost { Update::Lost(Error::Unreachable) } else { Update::Regained };
        if is_lost {
            self.hosts_without_store.insert(host);
        } else {
            self.hosts_without_store.remove(&host);
        }
        let incarnation = self.hosts[host].incarnation;
        self.schedule(0, SimEvent::Host(host, incarnation, Event::Store(update)));
        self.read_evacuations(host);
    }

    /// Checks that the start of a task has not brought a target over its capacity.
    pub(super) fn check_capacity(&mut self, name: &Target) {
        let now_ms = self.now_ms();
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let used = target.used();
        self.peak_use = self.peak_use.max(used.cpu_millis);
        let former = self.former_capacities.get(name).map(Vec::as_slice).unwrap_or_default();
        let former = former.iter().filter(|(until_ms, _)| now_ms <= *until_ms);
        let mut in_force = former.map(|(_, capacity)| *capacity).chain([target.entry.capacity]);
        if !in_force.any(|capacity: Resources| capacity.covers(&used)) && !self.has_unsafe_run {
            self.violations.push(format!("{now_ms} ms: {name} is over its capacity"));
            self.has_unsafe_run = true;
        }
    }
}
