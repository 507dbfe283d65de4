//! Tasks that stand with several stewards: who may start them.

use std::collections::BTreeMap;
use std::time::Instant;

use coltsfootshunt_core::name::Host;

use super::State;
use crate::job::{Grant, Granted, Reservation, Task};
use crate::peer::Message;

/// What an owner says to a steward of tasks that stand with it.
enum Told {
    Grant(Vec<Grant>),
    Withdraw(Vec<Reservation>),
}

impl State {
    /// Answers a steward that has places for tasks which stand with it.
    pub(super) fn take_bids(&mut self, from: &Host, bids: &[Reservation], now: Instant) {
        let mut grants = Vec::new();
        let mut withdrawn: BTreeMap<Host, Vec<Reservation>> = BTreeMap::new();
        for bid in bids {
            let job = self.jobs.get_mut(&bid.task.job);
            let Some(open) = job.filter(|open| open.generation == bid.generation) else {
                // Its end has been told to all with which it stood.
                continue;
            };
            let Some(granted) = open.grant(from, bid) else {
                continue;
            };
            let Granted { step, index, run, sequence, other_stewards } = granted;
            let task = Task { job: bid.task.job.clone(), step, index };
            for host in other_stewards {
                let reservation =
                    Reservation { task: task.clone(), generation: bid.generation, sequence };
                withdrawn.entry(host).or_default().push(reservation);
            }
            grants.push(Grant { task, generation: bid.generation, sequence, run });
        }
        for (host, reservations) in withdrawn {
            self.tell_steward(&host, Told::Withdraw(reservations), now);
        }
        if !grants.is_empty() {
            self.tell_steward(from, Told::Grant(grants), now);
        }
    }

    fn tell_steward(&mut self, host: &Host, told: Told, now: Instant) {
        let me = self.membership.me().host.clone();
        if *host == me {
            return match told {
                Told::Grant(grants) => self.take_grants(&me, &grants, now),
                Told::Withdraw(reservations) => self.steward.withdraw(&me, &reservations),
            };
        }
        if let Some(peer) = self.membership.peer(host).filter(|peer| peer.is_alive) {
            let address = peer.identity.address;
            let message = match told {
                Told::Grant(grants) => Message::Grant(grants),
                Told::Withdraw(reservations) => Message::Withdraw(reservations),
            };
            self.send(address, message);
        }
    }
}
