//! Network partitions.

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::Zone;

use super::{Host, SimEvent, Simulation};
use crate::peer::Batch;

/// Effect of a partition on connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::control::tests) enum Partition {
    /// Packets are dropped.
    Silent,
    /// Connections are reset and refused.
    Refusing,
}

impl Simulation {
    /// Starts or ends a silent partition between two hosts, in both directions.
    pub(in crate::control::tests) fn set_partition(
        &mut self,
        one: usize,
        other: usize,
        is_partitioned: bool,
    ) {
        let partition = is_partitioned.then_some(Partition::Silent);
        self.set_partition_one_way(one, other, partition);
        self.set_partition_one_way(other, one, partition);
    }

    /// Partitions two hosts silently for some time, in both directions.
    pub(in crate::control::tests) fn partition_for(
        &mut self,
        one: usize,
        other: usize,
        for_ms: u64,
    ) {
        self.set_partition(one, other, true);
        self.schedule(for_ms, SimEvent::Heal(one, other));
    }

    /// Delivers the batches that a partition delayed, before a new connection is made.
    fn deliver_delayed(&mut self, from: usize, to: usize) {
        let all = std::mem::take(&mut self.delayed_batches);
        let (arriving, delayed) = all.into_iter().partition(|(by, at, _)| (*by, *at) == (from, to));
        self.delayed_batches = delayed;
        let arriving: Vec<(usize, usize, Batch)> = arriving;
        arriving
            .into_iter()
            .for_each(|(_, to, batch)| self.schedule(1, SimEvent::DelayedBatch(to, batch)));
    }

    /// Starts or ends a partition in one direction between two hosts.
    pub(in crate::control::tests) fn set_partition_one_way(
        &mut self,
        from: usize,
        to: usize,
        partition: Option<Partition>,
    ) {
        match partition {
            Some(partition) => self.partitions.insert((from, to), partition),
            None => {
                self.deliver_delayed(from, to);
                self.partitions.remove(&(from, to))
            }
        };
    }

    /// Starts or ends a partition between a host and a running target.
    pub(in crate::control::tests) fn set_target_partition(
        &mut self,
        host: usize,
        target: usize,
        partition: Option<Partition>,
    ) {
        let Some(name) = self.targets.keys().nth(target).cloned() else {
            return;
        };
        match partition {
            Some(partition) => self.target_partitions.insert((host, name), partition),
            None => self.target_partitions.remove(&(host, name)),
        };
    }

    /// Partitions a host silently from all targets.
    pub(in crate::control::tests) fn partition_from_targets(&mut self, host: usize) {
        (0..self.targets.len())
            .for_each(|target| self.set_target_partition(host, target, Some(Partition::Silent)));
    }

    /// Removes a running target from the store's list, or puts it back.
    pub(in crate::control::tests) fn set_hidden(&mut self, target: usize, hidden: bool) {
        if let Some(name) = self.targets.keys().nth(target).cloned() {
            if hidden {
                self.hidden_targets.insert(name)
            } else {
                self.hidden_targets.remove(&name)
            };
        }
    }

    /// Returns the hosts that claim a zone.
    pub(in crate::control::tests) fn stewards(&self, zone: &str) -> Vec<usize> {
        let zone = Zone::try_from(zone).unwrap();
        let claims =
            |host: &Host| host.state.as_ref().is_some_and(|one| one.membership.has_claim(&zone));
        (0..self.hosts.len()).filter(|host| claims(&self.hosts[*host])).collect()
    }

    /// Returns the time within which a host expects the next heartbeat of another that it knows.
    pub(in crate::control::tests) fn expected_interval_ms(
        &self,
        host: usize,
        other: usize,
    ) -> Option<u64> {
        let membership = &self.hosts[host].state.as_ref()?.membership;
        let peer = membership.peer(&self.hosts[other].identity.host)?;
        Some(peer.announced_interval().as_millis() as u64)
    }

    /// Whether a host considers itself isolated.
    pub(in crate::control::tests) fn is_isolated(&self, host: usize) -> bool {
        let state = self.hosts[host].state.as_ref();
        state.is_some_and(|one| one.membership.is_isolated(self.time.now()))
    }
}
