//! Batches that take long to arrive, and hosts that lose power.

use super::Simulation;

impl Simulation {
    /// Delays all further batches from one host to another by this time beyond the usual one.
    pub(in crate::control::tests) fn set_batch_delay(
        &mut self,
        from: usize,
        to: usize,
        delay_ms: u64,
    ) {
        self.batch_delays_ms.insert((from, to), delay_ms);
    }

    /// Removes all delays of batches.
    pub(in crate::control::tests) fn clear_batch_delays(&mut self) {
        self.batch_delays_ms.clear();
    }

    pub(super) fn batch_delay_ms(&self, from: usize, to: usize) -> u64 {
        self.batch_delays_ms.get(&(from, to)).copied().unwrap_or_default()
    }

    /// Kills a host whose address then refuses no connections, until it starts again.
    pub(in crate::control::tests) fn cut_power(&mut self, host: usize) {
        self.hosts_without_power.insert(host);
        self.kill(host);
    }

    /// Whether a batch with messages from one host to another has left just now.
    pub(in crate::control::tests) fn has_just_sent(&self, from: usize, to: usize) -> bool {
        let to = self.hosts[to].identity.address;
        let channel = self.hosts[from].channels.get(&to);
        channel.is_some_and(|one| one.acknowledged_at_ms == Some(self.now_ms()))
    }
}
