//! Entries of targets for stewards that the store turns away.
//!
//! Fault: such a steward goes on by the capacities and states that it read last. Stewards that reach the store
//! tell it what its targets say of themselves now.

use coltsfootshunt_core::name::Host;

use super::State;
use crate::directory::Entry;
use crate::member::Peer;
use crate::peer::Message;
use crate::report::Record;

impl State {
    /// Sends the entries of their targets to stewards that lack the store, if they have changed since the last
    /// time. This host has just read them.
    pub(super) fn relay_targets(&mut self) {
        let lacks_store = |peer: &&Peer| peer.heartbeat.lacks_store && peer.serves_targets();
        let receivers: Vec<Peer> = self.membership.alive().filter(lacks_store).cloned().collect();
        self.relayed.retain(|host, _| receivers.iter().any(|peer| peer.identity.host == *host));
        for peer in receivers {
            let claims = &peer.heartbeat.claims;
            // A host without a claim has a share of its own zone's targets.
            let shared = claims.is_empty().then_some(&peer.identity.zone);
            let is_theirs = |entry: &&Entry| {
                claims.iter().any(|claim| claim.zone == entry.zone) || shared == Some(&entry.zone)
            };
            let entries: Vec<Entry> = self.directory.iter().filter(is_theirs).cloned().collect();
            let host = peer.identity.host;
            if self.relayed.get(&host) != Some(&entries) {
                self.relayed.insert(host, entries.clone());
                self.send(peer.identity.address, Message::CurrentTargets(entries));
            }
        }
    }

    /// Takes over entries that a peer has read, while this host lacks the store itself.
    pub(super) fn learn_targets(&mut self, from: &Host, entries: Vec<Entry>) {
        if self.is_store_lost {
            let changed = self.directory.update(entries);
            if changed > 0 {
                self.record(Record::TargetsRelayed { peer: from.clone(), changed });
            }
        }
    }
}
