//! Grants: decides which steward starts a task that is shared between several.

use std::collections::BTreeMap;
use std::time::Instant;

use coltsfootshunt_core::name::Host;

use super::State;
use crate::job::{Grant, Granted, Reservation, Task};
use crate::peer::Message;

/// Decision of an owner on shared tasks, for one steward.
enum Decision {
    Grant(Vec<Grant>),
    Withdraw(Vec<Reservation>),
}

impl State {
    /// Grants a steward the shared tasks that it requests, and withdraws them from all others.
    pub(super) fn handle_grant_requests(
        &mut self,
        from: &Host,
        requests: &[Reservation],
        now: Instant,
    ) {
        let mut grants = Vec::new();
        let mut withdrawn: BTreeMap<Host, Vec<Reservation>> = BTreeMap::new();
        for request in requests {
            let job = self.jobs.get_mut(&request.task.job);
            let Some(open) = job.filter(|open| open.generation == request.generation) else {
                // The job was closed, which cancelled the task at all of its stewards.
                continue;
            };
            let Some(granted) = open.grant(from, request) else {
                continue;
            };
            let Granted { step, index, run, sequence, other_stewards } = granted;
            let task = Task { job: request.task.job.clone(), step, index };
            for host in other_stewards {
                let reservation =
                    Reservation { task: task.clone(), generation: request.generation, sequence };
                withdrawn.entry(host).or_default().push(reservation);
            }
            // Together they are one word of this host.
            let echo = if grants.is_empty() { self.membership.echo(from, now) } else { None };
            grants.push(Grant { task, generation: request.generation, sequence, run, echo });
        }
        for (host, reservations) in withdrawn {
            self.send_to_steward(&host, Decision::Withdraw(reservations), now);
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
                Decision::Withdraw(reservations) => self.steward.withdraw(&me, &reservations),
            };
        }
        if let Some(peer) = self.membership.peer(host).filter(|peer| peer.is_alive) {
            let address = peer.identity.address;
            let message = match decision {
                Decision::Grant(grants) => Message::Grant(grants),
                Decision::Withdraw(reservations) => Message::Withdraw(reservations),
            };
            self.send(address, message);
        }
    }
}
