//! Grants: decides which steward starts a task that is shared between several.

use std::collections::BTreeMap;
use std::time::Instant;

use coltsfootshunt_core::name::Host;

use super::State;
use crate::job::{Grant, Granted, Stand, Task};
use crate::peer::Message;

/// Decision of an owner on shared tasks, for one steward.
enum Decision {
    Grant(Vec<Grant>),
    Withdraw(Vec<Stand>),
}

impl State {
    /// Grants a steward the shared tasks that it bids for, and withdraws them from all other stewards.
    pub(super) fn handle_bids(&mut self, from: &Host, bids: &[Stand], now: Instant) {
        let mut grants = Vec::new();
        let mut withdrawn: BTreeMap<Host, Vec<Stand>> = BTreeMap::new();
        for bid in bids {
            let job = self.jobs.get_mut(&bid.task.job);
            let Some(open) = job.filter(|open| open.opening == bid.opening) else {
                // The job was closed, which cancelled the task at all of its stewards.
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
            self.send_to_steward(&host, Decision::Withdraw(stands), now);
        }
        if !grants.is_empty() {
            self.send_to_steward(from, Decision::Grant(grants), now);
        }
    }

    fn send_to_steward(&mut self, host: &Host, decision: Decision, now: Instant) {
        let me = self.membership.me().host.clone();
        if *host == me {
            return match decision {
                Decision::Grant(grants) => self.handle_grants(&me, &grants, now),
                Decision::Withdraw(stands) => self.steward.withdraw(&me, &stands),
            };
        }
        if let Some(peer) = self.membership.peer(host).filter(|peer| peer.alive) {
            let address = peer.identity.address;
            let message = match decision {
                Decision::Grant(grants) => Message::Grant(grants),
                Decision::Withdraw(stands) => Message::Withdraw(stands),
            };
            self.send(address, message);
        }
    }
}
