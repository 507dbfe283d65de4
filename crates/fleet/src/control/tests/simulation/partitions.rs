//! Cuts of the network.

use coltsfootshunt_core::name::Zone;

use super::{Happening, Host, World};
use crate::peer::Batch;

/// What a cut does to connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::control::tests) enum Cut {
    /// Nothing gets through.
    Silent,
    /// They are reset and refused.
    Refusing,
}

impl World {
    /// Cuts two hosts off from each other, or mends that.
    pub(in crate::control::tests) fn set_cut(&mut self, one: usize, other: usize, cut: bool) {
        let cut = cut.then_some(Cut::Silent);
        self.set_path(one, other, cut);
        self.set_path(other, one, cut);
    }

    /// Cuts two hosts off from each other for a while.
    pub(in crate::control::tests) fn cut_for(&mut self, one: usize, other: usize, for_ms: u64) {
        self.set_cut(one, other, true);
        self.happen(for_ms, Happening::Mend(one, other));
    }

    /// What a cut held up arrives when it ends, before any new connection is made.
    fn release(&mut self, from: usize, to: usize) {
        let all = std::mem::take(&mut self.held_up);
        let (freed, held) = all.into_iter().partition(|(by, at, _)| (*by, *at) == (from, to));
        self.held_up = held;
        let freed: Vec<(usize, usize, Batch)> = freed;
        freed.into_iter().for_each(|(_, to, batch)| self.happen(1, Happening::HeldUp(to, batch)));
    }

    /// Cuts what one host sends to another, or mends that.
    pub(in crate::control::tests) fn set_path(&mut self, from: usize, to: usize, cut: Option<Cut>) {
        match cut {
            Some(cut) => self.cuts.insert((from, to), cut),
            None => {
                self.release(from, to);
                self.cuts.remove(&(from, to))
            }
        };
    }

    /// Cuts a host off from a target that lives on, or mends that.
    pub(in crate::control::tests) fn sever(
        &mut self,
        host: usize,
        target: usize,
        cut: Option<Cut>,
    ) {
        let Some(name) = self.targets.keys().nth(target).cloned() else {
            return;
        };
        match cut {
            Some(cut) => self.severed.insert((host, name), cut),
            None => self.severed.remove(&(host, name)),
        };
    }

    /// From now on calls of a host to targets are lost.
    pub(in crate::control::tests) fn part(&mut self, host: usize) {
        (0..self.targets.len()).for_each(|target| self.sever(host, target, Some(Cut::Silent)));
    }

    /// The entry of a target vanishes from the store's list though it lives, or is back.
    pub(in crate::control::tests) fn hide(&mut self, target: usize, hidden: bool) {
        if let Some(name) = self.targets.keys().nth(target).cloned() {
            if hidden {
                self.hidden.insert(name)
            } else {
                self.hidden.remove(&name)
            };
        }
    }

    /// Hosts that claim a zone.
    pub(in crate::control::tests) fn stewards(&self, zone: &str) -> Vec<usize> {
        let zone = Zone::try_from(zone).unwrap();
        let claims =
            |host: &Host| host.state.as_ref().is_some_and(|one| one.membership.has_claim(&zone));
        (0..self.hosts.len()).filter(|host| claims(&self.hosts[*host])).collect()
    }
}
