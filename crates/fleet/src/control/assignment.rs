//! Assignment of ready tasks to stewards.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use super::State;
use super::jobs::{RESPONSE_MARGIN, RETRY_AFTER, shape};
use crate::admission::has_chance;
use crate::job::{Bundle, Id, Open, Outcome, Part, Ready, Refusal};
use crate::peer::Message;
use crate::report::Record;
use crate::routing::{Candidate, assign, assign_fast, choose_stewards};

impl State {
    /// Sends a job's ready tasks to stewards. Long tasks go to stewards where all of them can start at once,
    /// and are otherwise shared between several.
    pub(super) fn send_ready_tasks(&mut self, id: &Id, now: Instant) {
        let Some(open) = self.jobs.get_mut(id) else {
            return;
        };
        let ready = open.ready();
        if ready.is_empty() {
            return;
        }
        let mut offers = self.offers();
        let Some(open) = self.jobs.get_mut(id) else {
            return;
        };
        let reachable = offers.len();
        offers.retain(|offer| !open.has_declined(&offer.host));
        if offers.is_empty() && reachable > 0 {
            return self.close(id, Outcome::Unknown, "no steward can end it in time", now);
        }
        let loads: Vec<_> = offers.iter().map(|offer| offer.load).collect();
        let forecast = self.speeds.forecast(&open.kind, ready[0].need.estimate());
        let longest = forecast.longest_of(open.plan.tasks() as u32);
        let left = |then: Instant| then.saturating_duration_since(now);
        let remaining = (left(open.objective), left(open.due));
        let mut shape = shape(&longest, forecast.median, remaining, &offers);
        shape.is_long |= open.must_stand;
        // The steward does not weigh long work again when part of it is in progress elsewhere.
        let begun = open.begun || open.committed || shape.is_long && open.is_under_way();
        let count = ready.len();
        let assigned = match (shape.is_long, open.must_stand) {
            (false, _) => assign(count, &shape, &mut offers),
            (true, false) => assign_fast(count, &shape, &mut offers),
            (true, true) => Vec::new(),
        };
        let standing = shape.is_long && assigned.is_empty();
        let parts = if standing {
            share_all(open, ready, &mut offers)
        } else {
            send_to_assigned(open, ready, &assigned, &offers)
        };
        if parts.values().map(Vec::len).sum::<usize>() < count {
            self.stalled.insert(id.clone());
        }
        let bundle = Bundle {
            job: id.clone(),
            opening: open.opening,
            kind: open.kind.clone(),
            service: open.policy.service.clone(),
            priority: open.policy.priority,
            spec: open.plan.spec.clone(),
            objective_in_ms: signed_millis_until(now, open.objective),
            due_in_ms: signed_millis_until(now, open.due),
            width: open.plan.tasks() as u32,
            begun,
            standing,
            parts: Vec::new(),
        };
        for (to, parts) in parts {
            let offer = &offers[to];
            let record = Record::TasksSent {
                job: id.clone(),
                steward: offer.host.clone(),
                tasks: parts.len(),
                shared: standing,
                free: loads[to].free_slots,
                wait_ms: loads[to].waits_ms[shape.slack_level],
            };
            self.record(record);
            self.send_assignment(offer, Bundle { parts, ..bundle.clone() }, now);
        }
    }

    fn send_assignment(&mut self, offer: &Candidate, bundle: Bundle, now: Instant) {
        if offer.host == self.membership.me().host {
            return self.enqueue_tasks(&offer.host, bundle, now);
        }
        self.membership.set_load(&offer.host, offer.load);
        if let Some(peer) = self.membership.peer(&offer.host) {
            let address = peer.identity.address;
            self.send(address, Message::Run(bundle));
        }
    }

    /// Refuses jobs that found no steward and can no longer end in time.
    pub(super) fn refuse_stalled(&mut self, now: Instant) {
        let is_infeasible = |open: &Open| {
            let forecast = self.speeds.forecast(&open.kind, open.plan.chain());
            let left = open.due.saturating_duration_since(now + RESPONSE_MARGIN);
            !open.touched && !has_chance(&forecast.longest_of(open.plan.tasks() as u32), left)
        };
        let jobs = &self.jobs;
        let infeasible = |id: &&Id| jobs.get(id).is_some_and(is_infeasible);
        let infeasible: Vec<Id> = self.stalled.iter().filter(infeasible).cloned().collect();
        for id in infeasible {
            let refusal = Refusal::NoSteward;
            let outcome = Outcome::Refused { refusal, retry_after: RETRY_AFTER };
            self.close(&id, outcome, "no steward came in time", now);
        }
    }

    /// Sends stalled tasks once a steward with capacity is reachable.
    pub(super) fn retry_stalled(&mut self, now: Instant) {
        let is_serving = |offer: &Candidate| offer.load.slots > 0;
        if self.stalled.is_empty() || !self.has_steward() || !self.offers().iter().any(is_serving) {
            return;
        }
        for id in std::mem::take(&mut self.stalled) {
            self.send_ready_tasks(&id, now);
        }
    }
}

/// Shares all tasks between several stewards. Returns the tasks for each of them, by index in `offers`.
fn share_all(
    open: &mut Open,
    ready: Vec<Ready>,
    offers: &mut [Candidate],
) -> BTreeMap<usize, Vec<Part>> {
    let lines = choose_stewards(ready.len(), offers);
    if lines.is_empty() {
        return BTreeMap::new();
    }
    let hosts: Vec<Host> = lines.iter().map(|&at| offers[at].host.clone()).collect();
    ready.iter().for_each(|task| open.stand(task.part, hosts.clone()));
    let all: Vec<Part> = ready.into_iter().map(Part::from).collect();
    lines.into_iter().map(|at| (at, all.clone())).collect()
}

/// Assigns each task to one steward. Returns the tasks for each of them, by index in `offers`.
fn send_to_assigned(
    open: &mut Open,
    ready: Vec<Ready>,
    assigned: &[usize],
    offers: &[Candidate],
) -> BTreeMap<usize, Vec<Part>> {
    let mut parts: BTreeMap<usize, Vec<Part>> = BTreeMap::new();
    for (task, &to) in ready.into_iter().zip(assigned) {
        open.sent(task.part, offers[to].host.clone());
        parts.entry(to).or_default().push(task.into());
    }
    parts
}

/// Milliseconds from `now` until `then`; negative if `then` has passed.
fn signed_millis_until(now: Instant, then: Instant) -> i64 {
    let signed = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    if then >= now { signed(then - now) } else { -signed(now - then) }
}
