//! Splits of dense zones, and hosts of the version before them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coltsfootshunt_core::name::{Target, Zone};

use super::{FaultRates, SimEvent, Simulation};
use crate::lease::{Phase, Token};
use crate::member::Heartbeat;
use crate::peer::Message;

impl Simulation {
    /// Records all messages between hosts from now on.
    pub(in crate::control::tests) fn record_messages(&mut self) {
        self.messages = Some(Vec::new());
    }

    /// Returns time, sender, receiver and kind of the recorded messages.
    pub(in crate::control::tests) fn recorded_messages(
        self,
    ) -> Vec<(u64, usize, SocketAddr, &'static str)> {
        self.messages.unwrap_or_default()
    }

    /// Ends all faults: restarts killed hosts, and ends partitions, delays and missing entries. Steps of clocks stay.
    pub(in crate::control::tests) fn end_faults(&mut self) {
        self.fault_rates = FaultRates::default();
        for (one, other) in self.partitions.keys().copied().collect::<Vec<_>>() {
            self.set_partition_one_way(one, other, None);
        }
        self.target_partitions.clear();
        self.hidden_targets.clear();
        self.clear_batch_delays();
        let killed: Vec<usize> = (0..self.hosts.len()).filter(|host| !self.is_up(*host)).collect();
        killed.into_iter().for_each(|host| self.start(host));
    }

    /// Ends the partitions of two hosts after some time.
    pub(in crate::control::tests) fn heal_after(&mut self, one: usize, other: usize, for_ms: u64) {
        self.schedule(for_ms, SimEvent::Heal(one, other));
    }

    /// Makes a host run the version before this one from its next start on.
    pub(in crate::control::tests) fn set_previous_version(
        &mut self,
        host: usize,
        is_previous: bool,
    ) {
        self.hosts[host].is_previous_version = is_previous;
    }

    /// Sets the share of the processor of a host from its next start on.
    pub(in crate::control::tests) fn set_cpu_millis(&mut self, host: usize, cpu_millis: u32) {
        self.hosts[host].identity.cpu_millis = cpu_millis;
    }

    /// Returns a message as the version of its sender sends it, if it does. A host of the version before must not be
    /// sent what it can't read.
    pub(super) fn as_sent(
        &mut self,
        from: usize,
        to: SocketAddr,
        message: Message,
    ) -> Option<Message> {
        let is_about_split = matches!(message, Message::Split(_) | Message::Share(_));
        let receiver = self.hosts.iter().find(|one| one.identity.address == to);
        if is_about_split && receiver.is_some_and(|one| one.is_previous_version) {
            let now_ms = self.now_ms();
            self.violations
                .push(format!("{now_ms} ms: h{from} sends {message:?} to an older version"));
        }
        if !self.hosts[from].is_previous_version {
            return Some(message);
        }
        match message {
            Message::Heartbeat(heartbeat) => {
                Some(Message::Heartbeat(Heartbeat { reads_zones: false, ..heartbeat }))
            }
            Message::Split(_) | Message::Share(_) => None,
            other => Some(other),
        }
    }

    /// Returns the hosts that hold each target of a zone: they give it orders, and it has accepted their claim.
    pub(in crate::control::tests) fn holders_by_target(
        &self,
        zone: &str,
    ) -> BTreeMap<Target, Vec<usize>> {
        let zone = Zone::try_from(zone).unwrap();
        let of_zone = self.targets.values().filter(|target| target.entry.zone == zone);
        let holds = |host: &usize, name: &Target| {
            self.hosts[*host].state.as_ref().is_some_and(|state| {
                let phase = state.steward.tracker(name).map(|tracker| tracker.phase);
                let is_held =
                    matches!(phase, Some(Phase::Held(token)) if token != Token::default());
                is_held && state.membership.holds(&zone, name)
            })
        };
        let holders =
            |name: &Target| (0..self.hosts.len()).filter(|host| holds(host, name)).collect();
        of_zone.map(|target| (target.entry.name.clone(), holders(&target.entry.name))).collect()
    }

    /// Returns the members of the split that a host acts by, the lead first; none if it knows no split.
    pub(in crate::control::tests) fn members(&self, host: usize) -> Vec<usize> {
        let state = self.hosts[host].state.as_ref();
        let split = state.and_then(|state| state.membership.shares.active());
        let index = |name| self.hosts.iter().position(|one| one.identity.host == name);
        let members = split.into_iter().flat_map(|split| &split.members);
        members.filter_map(|member| index(member.host.clone())).collect()
    }

    /// Whether each target of a zone has one holder.
    pub(in crate::control::tests) fn is_covered(&self, zone: &str) -> bool {
        self.holders_by_target(zone).values().all(|holders| holders.len() == 1)
    }
}
