//! What this host sends to stewards for its callers' jobs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use super::State;
use super::jobs::{ANSWER_WITHIN, STEWARD_BACK_IN, shape};
use crate::admission::is_feasible;
use crate::job::{Assignment, Id, Item, Open, Outcome, Ready, Refusal};
use crate::peer::Message;
use crate::report::Record;
use crate::routing::{Candidate, assign, assign_fast, choose_stewards};

impl State {
    /// Sends a job's tasks that may start to stewards. Long work goes to where all of it can start at once, or
    /// stands with several.
    pub(super) fn push(&mut self, id: &Id, now: Instant) {
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
        let believed: Vec<_> = offers.iter().map(|offer| offer.load).collect();
        let forecast = self.speeds.forecast(&open.kind, ready[0].requirements.estimate());
        let longest = forecast.longest_of(open.plan.task_count() as u32);
        let left = |then: Instant| then.saturating_duration_since(now);
        let lefts = (left(open.objective), left(open.deadline));
        let mut shape = shape(&longest, forecast.median, lefts, &offers);
        shape.is_long |= open.must_share;
        // Long work that has a part under way elsewhere is not weighed anew.
        let started = open.started || open.committed || shape.is_long && open.is_in_progress();
        let count = ready.len();
        let assigned = match (shape.is_long, open.must_share) {
            (false, _) => assign(count, &shape, &mut offers),
            (true, false) => assign_fast(count, &shape, &mut offers),
            (true, true) => Vec::new(),
        };
        let shared = shape.is_long && assigned.is_empty();
        let tasks = if shared {
            stand_all(open, ready, &mut offers)
        } else {
            send_each(open, ready, &assigned, &offers)
        };
        if tasks.values().map(Vec::len).sum::<usize>() < count {
            self.stalled.insert(id.clone());
        }
        let assignment = Assignment {
            job: id.clone(),
            generation: open.generation,
            kind: open.kind.clone(),
            service: open.policy.service.clone(),
            priority: open.policy.priority,
            spec: open.plan.spec.clone(),
            objective_in_ms: between(now, open.objective),
            deadline_in_ms: between(now, open.deadline),
            width: open.plan.task_count() as u32,
            started,
            shared,
            tasks: Vec::new(),
        };
        for (to, tasks) in tasks {
            let offer = &offers[to];
            let note = Record::TasksSent {
                job: id.clone(),
                steward: offer.host.clone(),
                tasks: tasks.len(),
                shared,
                free: believed[to].free_slots,
                wait_ms: believed[to].waits_ms[shape.slack_level],
            };
            self.note(note);
            self.hand_over(offer, Assignment { tasks, ..assignment.clone() }, now);
        }
    }

    fn hand_over(&mut self, offer: &Candidate, assignment: Assignment, now: Instant) {
        if offer.host == self.membership.me().host {
            return self.run(&offer.host, assignment, now);
        }
        self.membership.set_load(&offer.host, offer.load);
        if let Some(peer) = self.membership.peer(&offer.host) {
            let address = peer.identity.address;
            self.send(address, Message::Run(assignment));
        }
    }

    /// Turns away what has waited for a steward until it has no chance to end in time.
    pub(super) fn drop_stalled(&mut self, now: Instant) {
        let is_over = |open: &Open| {
            let forecast = self.speeds.forecast(&open.kind, open.plan.critical_path());
            let left = open.deadline.saturating_duration_since(now + ANSWER_WITHIN);
            !open.may_have_started
                && !is_feasible(&forecast.longest_of(open.plan.task_count() as u32), left)
        };
        let jobs = &self.jobs;
        let over = |id: &&Id| jobs.get(id).is_some_and(is_over);
        let over: Vec<Id> = self.stalled.iter().filter(over).cloned().collect();
        for id in over {
            let refusal = Refusal::NoSteward;
            let outcome = Outcome::Refused { refusal, retry_after: STEWARD_BACK_IN };
            self.close(&id, outcome, "no steward came in time", now);
        }
    }

    /// Sends what found no steward, once there is one.
    pub(super) fn push_stalled(&mut self, now: Instant) {
        let is_serving = |offer: &Candidate| offer.load.slots > 0;
        if self.stalled.is_empty() || !self.is_led() || !self.offers().iter().any(is_serving) {
            return;
        }
        for id in std::mem::take(&mut self.stalled) {
            self.push(&id, now);
        }
    }
}

/// Makes tasks stand with several stewards; what each of these gets, by their places in `offers`.
fn stand_all(
    open: &mut Open,
    ready: Vec<Ready>,
    offers: &mut [Candidate],
) -> BTreeMap<usize, Vec<Item>> {
    let lines = choose_stewards(ready.len(), offers);
    if lines.is_empty() {
        return BTreeMap::new();
    }
    let hosts: Vec<Host> = lines.iter().map(|&at| offers[at].host.clone()).collect();
    ready.iter().for_each(|task| open.mark_shared(task.position, hosts.clone()));
    let all: Vec<Item> = ready.into_iter().map(Item::from).collect();
    lines.into_iter().map(|at| (at, all.clone())).collect()
}

/// Gives each task to the one steward that it is assigned to; what each of these gets.
fn send_each(
    open: &mut Open,
    ready: Vec<Ready>,
    assigned: &[usize],
    offers: &[Candidate],
) -> BTreeMap<usize, Vec<Item>> {
    let mut tasks: BTreeMap<usize, Vec<Item>> = BTreeMap::new();
    for (task, &to) in ready.into_iter().zip(assigned) {
        open.mark_sent(task.position, offers[to].host.clone());
        tasks.entry(to).or_default().push(task.into());
    }
    tasks
}

/// Milliseconds from one moment to another, below zero if that was before.
fn between(now: Instant, then: Instant) -> i64 {
    let signed = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    if then >= now { signed(then - now) } else { -signed(now - then) }
}
