//! Assignment of ready tasks to stewards.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::State;
use super::jobs::{RESPONSE_MARGIN, RETRY_AFTER, profile};
use crate::admission::is_feasible;
use crate::crash::Standing;
use crate::job::{Assignment, Id, Item, Open, Outcome, Ready, Refusal, Task};
use crate::peer::Message;
use crate::report::Record;
use crate::routing::{Candidate, assign, assign_fast, assign_in_split_zone, choose_stewards};

impl State {
    /// Sends a job's ready tasks to stewards. Long tasks go to stewards where all of them can start
    /// at once, and are otherwise shared between several.
    pub(super) fn send_ready_tasks(&mut self, id: &Id, now: Instant) {
        let Some(open) = self.jobs.get_mut(id) else {
            return;
        };
        let mut ready = open.ready();
        // These wait for news of the targets that were lost under them.
        ready.retain(|ready| {
            let task = Task { job: id.clone(), step: ready.step, index: ready.index };
            !matches!(self.crashes.standing(&task), Standing::Pending | Standing::Poison)
        });
        if ready.is_empty() {
            return;
        }
        let mut candidates = self.candidates();
        let Some(open) = self.jobs.get_mut(id) else {
            return;
        };
        let reachable = candidates.len();
        candidates.retain(|candidate| !open.has_declined(&candidate.host));
        if candidates.is_empty() && reachable > 0 {
            return self.close(id, Outcome::Unknown, "no steward can end it in time", now);
        }
        let loads: Vec<_> = candidates.iter().map(|candidate| candidate.load).collect();
        let forecast = self.speeds.forecast(&open.kind, ready[0].requirements.estimate());
        let longest = forecast.longest_of(open.plan.task_count() as u32);
        let time_until = |then: Instant| then.saturating_duration_since(now);
        let remaining = (time_until(open.objective), time_until(open.deadline));
        let mut profile = profile(&longest, forecast.median, remaining, &candidates);
        profile.is_long |= open.must_share;
        // Stewards skip the overload check for started jobs. Long work that is in progress
        // elsewhere counts as started.
        let started = open.started || open.committed || profile.is_long && open.is_in_progress();
        let count = ready.len();
        let draw = xxh3_64_with_seed(id.to_string().as_bytes(), ready[0].sequence.into());
        let is_split = self.dense_zones.contains(&self.membership.me().zone);
        let assigned = match (profile.is_long, open.must_share) {
            (false, _) if is_split => assign_in_split_zone(count, &profile, &mut candidates, draw),
            (false, _) => assign(count, &profile, &mut candidates, draw),
            (true, false) => assign_fast(count, &profile, &mut candidates, draw),
            (true, true) => Vec::new(),
        };
        let shared = profile.is_long && assigned.is_empty();
        let tasks = if shared {
            share_all(open, ready, &mut candidates, draw)
        } else {
            mark_assigned(open, ready, &assigned, &candidates)
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
            objective_in_ms: signed_millis_until(now, open.objective),
            deadline_in_ms: signed_millis_until(now, open.deadline),
            width: open.plan.task_count() as u32,
            started,
            shared,
            tasks: Vec::new(),
            echo: None,
        };
        for (to, tasks) in tasks {
            let candidate = &candidates[to];
            let record = Record::TasksSent {
                job: id.clone(),
                steward: candidate.host.clone(),
                tasks: tasks.len(),
                shared,
                free: loads[to].free_slots,
                wait_ms: loads[to].waits_ms[profile.slack_level],
            };
            self.record(record);
            self.send_assignment(candidate, Assignment { tasks, ..assignment.clone() }, now);
        }
    }

    fn send_assignment(&mut self, candidate: &Candidate, mut assignment: Assignment, now: Instant) {
        if candidate.host == self.membership.me().host {
            return self.enqueue_tasks(&candidate.host, assignment, now);
        }
        self.membership.set_load(&candidate.host, candidate.load);
        if let Some(peer) = self.membership.peer(&candidate.host) {
            let address = peer.identity.address;
            assignment.echo = self.membership.echo(&candidate.host, now);
            self.send(address, Message::Run(assignment));
        }
    }

    /// Refuses jobs that found no steward and can no longer end in time, or whose targets are all evacuated.
    pub(super) fn refuse_stalled(&mut self, now: Instant) {
        self.refuse_evacuated(now);
        let is_infeasible = |open: &Open| {
            let forecast = self.speeds.forecast(&open.kind, open.plan.critical_path());
            let remaining = open.deadline.saturating_duration_since(now + RESPONSE_MARGIN);
            !open.may_have_started
                && !is_feasible(&forecast.longest_of(open.plan.task_count() as u32), remaining)
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
        let is_serving = |candidate: &Candidate| candidate.load.slots > 0;
        if self.stalled.is_empty()
            || !self.has_steward()
            || !self.candidates().iter().any(is_serving)
        {
            return;
        }
        for id in std::mem::take(&mut self.stalled) {
            self.send_ready_tasks(&id, now);
        }
    }
}

/// Shares all tasks between several stewards. Returns the tasks for each of them, by index in
/// `candidates`.
fn share_all(
    open: &mut Open,
    ready: Vec<Ready>,
    candidates: &mut [Candidate],
    draw: u64,
) -> BTreeMap<usize, Vec<Item>> {
    let stewards = choose_stewards(ready.len(), candidates, draw);
    if stewards.is_empty() {
        return BTreeMap::new();
    }
    let hosts: Vec<Host> = stewards.iter().map(|&at| candidates[at].host.clone()).collect();
    ready.iter().for_each(|task| open.mark_shared(task.position, hosts.clone()));
    let all: Vec<Item> = ready.into_iter().map(Item::from).collect();
    stewards.into_iter().map(|at| (at, all.clone())).collect()
}

/// Marks each task as sent to its assigned steward. Returns the tasks for each of them, by index in
/// `candidates`.
fn mark_assigned(
    open: &mut Open,
    ready: Vec<Ready>,
    assigned: &[usize],
    candidates: &[Candidate],
) -> BTreeMap<usize, Vec<Item>> {
    let mut tasks: BTreeMap<usize, Vec<Item>> = BTreeMap::new();
    for (task, &to) in ready.into_iter().zip(assigned) {
        open.mark_sent(task.position, candidates[to].host.clone());
        tasks.entry(to).or_default().push(task.into());
    }
    tasks
}

/// Milliseconds from `now` until `then`; negative if `then` has passed.
fn signed_millis_until(now: Instant, then: Instant) -> i64 {
    let signed = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    if then >= now { signed(then - now) } else { -signed(now - then) }
}
