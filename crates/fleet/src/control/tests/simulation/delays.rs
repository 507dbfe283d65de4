//! Batches that take long to arrive, hosts that are behind with their events, and hosts that lose power.

use std::time::Duration;

use coltsfootshunt_core::clock::Clock;

use super::{SimEvent, Simulation};
use crate::control::Event;
use crate::job::Id;

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

    /// Lets a host handle all further events this time after they come, as one does whose control thread is
    /// behind. Its periodic work is on time.
    pub(in crate::control::tests) fn set_event_lag(&mut self, host: usize, lag_ms: u64) {
        self.event_lags_ms.insert(host, lag_ms);
    }

    /// Puts an event off if its host is behind. Returns the event if it is handled at once.
    pub(super) fn put_off(&mut self, host: usize, event: Event) -> Option<Event> {
        let Some(lag_ms) = self.event_lags_ms.get(&host).copied() else {
            return Some(event);
        };
        let incarnation = self.hosts[host].incarnation;
        let came_ms = self.now_ms();
        self.schedule(lag_ms, SimEvent::Late { host, incarnation, came_ms, event });
        None
    }

    /// Tells the control state of a host that is behind up to when it has handled all events.
    pub(super) fn set_handled_until(&mut self, host: usize, until_ms: u64) {
        let ago = Duration::from_millis(self.now_ms().saturating_sub(until_ms));
        let until = self.time.now().checked_sub(ago);
        if let Some((state, until)) = self.hosts[host].state.as_mut().zip(until) {
            state.set_handled_until(until);
        }
    }

    /// Before the periodic work of a host that is behind: events that came before the lag are handled.
    pub(super) fn set_handled_until_lag(&mut self, host: usize) {
        if let Some(lag_ms) = self.event_lags_ms.get(&host).copied() {
            self.set_handled_until(host, self.now_ms().saturating_sub(lag_ms + 1));
        }
    }

    /// Breaks a caller's connection. The caller repeats its job as usual.
    pub(in crate::control::tests) fn break_caller(&mut self, id: &Id) {
        let host = self.callers[id].host;
        let open = self.open_requests.iter().find(|((at, _), job)| *at == host && *job == id);
        let request_id = open.map(|((_, request_id), _)| *request_id).expect("an open request");
        self.open_requests.remove(&(host, request_id));
        self.record_outcome(id, None);
        let incarnation = self.hosts[host].incarnation;
        let event = Event::CallerLeft(id.clone(), request_id);
        self.schedule(0, SimEvent::Host(host, incarnation, event));
    }
}
