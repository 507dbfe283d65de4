//! Tasks that stand with several stewards: who may start them.

use std::collections::BTreeMap;
use std::time::Instant;

use coltsfootshunt_core::name::Host;

use super::State;
use crate::job::{Grant, Granted, Stand, Task};
use crate::peer::Message;

/// What an owner says to a steward of tasks that stand with it.
enum Told {
    Grant(Vec<Grant>),
    Withdraw(Vec<Stand>),
}

impl State {
    /// Answers a steward that has places for tasks which stand with it.
    pub(super) fn take_bids(&mut self, from: &Host, bids: &[Stand], now: Instant) {
        let mut grants = Vec::new();
        let mut withdrawn: BTreeMap<Host, Vec<Stand>> = BTreeMap::new();
        for bid in bids {
            let job = self.jobs.get_mut(&bid.task.job);
            let Some(open) = job.filter(|open| open.opening == bid.opening) else {
                // Its end has been told to all with which it stood.
                continue;
            };
            let Some(granted) = open.grant(from, bid) else {
                continue;
            };
            let Granted { step, index, run, round, others } = granted;
            let task = Task { job: bid.task.job.clone(), step, index };
            for host in others {
                let stand = Stand { task: task.clone(), opening: bid.opening, round };
                withdrawn.entry(host).or_default().push(stand);
            }
            grants.push(Grant { task, opening: bid.opening, round, run });
        }
        for (host, stands) in withdrawn {
            self.tell_steward(&host, Told::Withdraw(stands), now);
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
                Told::Withdraw(stands) => self.steward.withdraw(&me, &stands),
            };
        }
        if let Some(peer) = self.membership.peer(host).filter(|peer| peer.is_alive) {
            let address = peer.identity.address;
            let message = match told {
                Told::Grant(grants) => Message::Grant(grants),
                Told::Withdraw(stands) => Message::Withdraw(stands),
            };
            self.send(address, message);
        }
    }
}
