//! Jobs that this host owns: submission, completion, cancellation and deadlines.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Service};

use super::state::TICK_INTERVAL;
use super::{Action, Response, State};
use crate::admission::{self, Estimate};
use crate::directory::Entry;
use crate::job::{
    Bound, Completion, Id, Open, Outcome, Policy, Refusal, RequestId, Requirements, Submission,
};
use crate::member::Peer;
use crate::peer::Message;
use crate::placement::MIN_CHANCE_GAIN;
use crate::queue::slack_level;
use crate::report::Record;
use crate::routing::{Candidate, Profile, expected_waits};
use crate::speed::Forecast;

/// Limit of open jobs per host; the memory for that many is far below that of the host.
const MAX_OPEN_JOBS: usize = 4_000;
/// Limit of the tasks of open jobs per host. A task takes about half a kilobyte at its owner and at its steward,
/// which may have those of several hosts.
const MAX_OPEN_TASKS: usize = 20_000;
/// Time after which a caller that was refused for lack of a steward may retry.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long before the caller's timeout a response must be ready: time for its way back, and a
/// margin.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_millis(40);
/// How long before its caller's deadline a job is given up, so that the answer arrives before the caller leaves.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// Round trip to the steward in this process.
const LOCAL_ROUND_TRIP: Duration = Duration::ZERO;
/// Round trip to a host of this availability zone.
const SAME_ZONE_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Round trip to a host of another availability zone, including the wait for a batch in flight.
const CROSS_ZONE_ROUND_TRIP: Duration = Duration::from_millis(5);

impl State {
    pub(super) fn submit(&mut self, request_id: RequestId, submission: &Submission, now: Instant) {
        let id = &submission.id;
        if self.cancelled.contains(id) {
            let response = Response::Outcome(Outcome::Cancelled);
            return self.actions.push(Action::Respond(request_id, response));
        }
        if let Some(outcome) = self.jobs.outcome(id) {
            return self.actions.push(Action::Respond(request_id, Response::Outcome(outcome)));
        }
        if self.jobs.attach(id, request_id) || self.parks(request_id, submission, now) {
            return;
        }
        match self.admit(submission, now) {
            Ok(mut open) => {
                // An earlier submission of it was started.
                let has_run = self.crashes.has_run(id);
                open.started |= has_run;
                open.may_have_started |= has_run;
                self.jobs.open(id.clone(), request_id, open);
                self.send_ready_tasks(id, now);
            }
            Err(outcome) => {
                self.actions.push(Action::Respond(request_id, Response::Outcome(outcome)))
            }
        }
    }

    /// Admits a job, or returns the outcome with which it is refused.
    fn admit(&mut self, submission: &Submission, now: Instant) -> Result<Open, Outcome> {
        let refuse = |refusal| Outcome::Refused { refusal, retry_after: RETRY_AFTER };
        let document = self.config.document().cloned().ok_or(refuse(Refusal::NotReady))?;
        let route = document.route_of(&submission.kind).ok_or(refuse(Refusal::UnknownKind))?;
        let plan = &submission.plan;
        let patience = submission.patience;
        let (bound, timeout) = patience.limit(route.timeout);
        let forecast = self.speeds.forecast(&route.kind, plan.critical_path());
        let run = forecast.median;
        let candidates = self.candidates();
        let stretched = route.stretch.apply(run).saturating_add(route.allowance);
        let objective = stretched.min(timeout.saturating_sub(RESPONSE_MARGIN));
        let tasks = plan.task_count() as u32;
        let profile = profile(&forecast.longest_of(tasks), run, (objective, timeout), &candidates);
        let required_run = required_run(run, objective, profile.is_long, &candidates);
        let mut waits = expected_waits(plan.task_count(), &profile, &candidates);
        let own_wait = self.own_wait();
        waits.iter_mut().for_each(|wait| *wait += own_wait);
        let wait = waits.last().copied().unwrap_or_default();
        let size = self.classifier.classify(&route.kind, plan);
        let refusal_record = |outcome| Record::JobRefused {
            job: submission.id.clone(),
            kind: route.kind.clone(),
            tasks: plan.task_count(),
            size,
            outcome,
            declared: plan.critical_path(),
            wait,
            run,
            timeout,
            stated_timeout: patience.stated,
            route_timeout: route.timeout,
        };
        // Without a steward the job waits for the next one, unless this host is isolated.
        let outcome = if candidates.is_empty() && self.membership.is_isolated(now) {
            Some(refuse(Refusal::NoSteward))
        } else if self.jobs.len() >= MAX_OPEN_JOBS
            || self.jobs.task_count() + plan.task_count() > MAX_OPEN_TASKS
        {
            Some(refuse(Refusal::Full))
        } else if self.crashes.poison_task(&submission.id).is_some() {
            Some(Outcome::Failed)
        } else if !can_ever_fit(self.directory.iter(), &route.service, submission) {
            // A target that is gone may return. If none of those fits either, the job can never
            // run.
            let known = self.directory.iter().chain(self.directory.vanished());
            let may_return = can_ever_fit(known, &route.service, submission);
            Some(if may_return { refuse(Refusal::Infeasible) } else { Outcome::Failed })
        } else if self.is_evacuated(&route.service, plan) {
            Some(refuse(Refusal::NoSteward))
        } else {
            let run = forecast.scaled(fastest_factor(&candidates));
            let min_slack = self.min_slack(run.median, timeout);
            admission::decide(&Estimate { waits, run, required_run, objective, timeout, min_slack })
        };
        if let Some(outcome) = outcome {
            self.record(refusal_record(outcome));
            return Err(outcome);
        }
        self.record(Record::JobAccepted {
            job: submission.id.clone(),
            kind: route.kind.clone(),
            tasks: plan.task_count(),
            size,
            declared: plan.critical_path(),
            wait,
            run,
            timeout,
            stated_timeout: patience.stated,
            route_timeout: route.timeout,
            version: document.version,
        });
        let policy = Policy {
            service: route.service.clone(),
            priority: route.priority,
            max_attempts: route.max_attempts,
        };
        let instants = (now, now + objective, now + timeout);
        Ok(Open::new(route.kind.clone(), plan.clone(), policy, instants, bound, size))
    }

    /// Whether any steward is reachable.
    pub(super) fn has_steward(&self) -> bool {
        self.membership.serves_targets() || self.membership.alive().any(Peer::serves_targets)
    }

    /// Reachable stewards with their distance and load.
    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let me = self.membership.me();
        let others = self.membership.alive().filter(|peer| peer.serves_targets());
        let mut candidates: Vec<Candidate> = others
            .map(|peer| Candidate {
                host: peer.identity.host.clone(),
                round_trip: if peer.identity.zone == me.zone {
                    SAME_ZONE_ROUND_TRIP
                } else {
                    CROSS_ZONE_ROUND_TRIP
                },
                load: peer.heartbeat.load,
            })
            .collect();
        if self.membership.serves_targets() {
            let load = self.steward.load(&self.membership, &self.speeds, self.clock.now());
            candidates.push(Candidate {
                host: me.host.clone(),
                // The members of a split share their owners' work alike.
                round_trip: if self.membership.is_member() {
                    SAME_ZONE_ROUND_TRIP
                } else {
                    LOCAL_ROUND_TRIP
                },
                load,
            });
        }
        candidates
    }

    /// Handles the end of a task that a steward reports.
    pub(super) fn task_ended(&mut self, from: &Host, completion: &Completion, now: Instant) {
        let id = &completion.task.job;
        let Some(open) = self.jobs.get_mut(id) else {
            return;
        };
        if completion.generation != open.generation {
            return;
        }
        match open.complete(from, completion) {
            Some(outcome) => self.close(id, outcome, "a task's end", now),
            None => self.send_ready_tasks(id, now),
        }
    }

    /// Closes a job with an outcome, responds to its callers and cancels its remaining tasks.
    pub(super) fn close(&mut self, id: &Id, outcome: Outcome, reason: &'static str, now: Instant) {
        let Some((open, request_ids)) = self.jobs.close(id, Some(outcome), now) else {
            return;
        };
        self.stalled.remove(id);
        self.record(Record::JobAnswered {
            job: id.clone(),
            kind: open.kind.clone(),
            size: open.size,
            outcome,
            took: now.duration_since(open.admitted_at),
            reason,
        });
        for request_id in request_ids {
            self.actions.push(Action::Respond(request_id, Response::Outcome(outcome)));
        }
        self.cancel_tasks(id, &open, now);
    }

    /// Cancels the remaining tasks of a closed job at all of its stewards.
    fn cancel_tasks(&mut self, id: &Id, open: &Open, now: Instant) {
        self.give_up_runs(id, open.stewards(), now);
        for host in open.stewards() {
            if host == self.membership.me().host {
                self.steward.cancel(&host, id, open.generation);
                self.runs_cancelled(id, now);
            } else if let Some(peer) = self.membership.peer(&host).filter(|peer| peer.is_alive) {
                let address = peer.identity.address;
                self.send(address, Message::Cancel(id.clone(), open.generation));
            }
        }
    }

    /// Handles a caller's disconnect: drops the job unless another caller waits for it.
    pub(super) fn caller_left(&mut self, id: &Id, request_id: RequestId, now: Instant) {
        self.repeats.leave(id, request_id);
        if self.jobs.detach(id, request_id) {
            self.drop_job(id, now);
        }
    }

    /// Closes a job without recording an outcome, and responds [`Outcome::Unknown`] to its callers.
    /// Returns whether the job was open.
    pub(super) fn drop_job(&mut self, id: &Id, now: Instant) -> bool {
        let Some((open, request_ids)) = self.jobs.close(id, None, now) else {
            return false;
        };
        self.stalled.remove(id);
        self.record(Record::CallerLeft {
            job: id.clone(),
            after: now.duration_since(open.admitted_at),
        });
        for request_id in request_ids {
            self.actions.push(Action::Respond(request_id, Response::Outcome(Outcome::Unknown)));
        }
        self.cancel_tasks(id, &open, now);
        true
    }

    /// Closes jobs that have tasks at a lost host, with [`Outcome::Unknown`]: the tasks may have
    /// run there. By the time the caller retries, their leases have expired.
    pub(super) fn give_up_jobs_at(&mut self, host: &Host, now: Instant) {
        for id in self.jobs.matching(|open| open.is_assigned_to(host)) {
            self.close(&id, Outcome::Unknown, "its steward is gone", now);
        }
        // Shared tasks that were not granted to the host have not run there.
        for id in self.jobs.matching(|open| open.is_shared_with(host)) {
            if let Some(open) = self.jobs.get_mut(&id) {
                open.remove_steward(host);
            }
            self.send_ready_tasks(&id, now);
        }
    }

    /// Closes all jobs with [`Outcome::Unknown`].
    pub(super) fn give_up_all_jobs(&mut self, reason: &'static str, now: Instant) {
        for id in self.jobs.matching(|_| true) {
            self.close(&id, Outcome::Unknown, reason, now);
        }
    }

    /// Closes jobs past their deadline, refuses stalled jobs and expires old outcomes.
    pub(super) fn maintain_jobs(&mut self, now: Instant) {
        self.close_overdue(now);
        self.refuse_stalled(now);
        self.jobs.expire(now);
        let due = self.jobs.earliest(answer_due);
        self.next_due = due.filter(|due| *due < now + TICK_INTERVAL);
    }

    /// Closes jobs past their deadline.
    pub(super) fn close_overdue(&mut self, now: Instant) {
        self.next_due = None;
        for id in self.jobs.matching(|open| now >= answer_due(open)) {
            let Some(open) = self.jobs.get(&id) else {
                continue;
            };
            let reason = open.bound.reason();
            let outcome = if open.may_have_started {
                Outcome::Unknown
            } else {
                let refusal = Refusal::TooLate;
                Outcome::Refused { refusal, retry_after: RETRY_AFTER }
            };
            self.close(&id, outcome, reason, now);
        }
    }
}

/// Time at which a job that has not ended is answered.
fn answer_due(open: &Open) -> Instant {
    match open.bound {
        Bound::Caller => open.deadline.checked_sub(ANSWER_MARGIN).unwrap_or(open.deadline),
        Bound::Route => open.deadline,
    }
}

/// Whether each task would fit on some idle target of the service. `true` if no target of the
/// service is known, as on a host that has just started.
fn can_ever_fit<'a>(
    entries: impl Iterator<Item = &'a Entry>,
    service: &Service,
    submission: &Submission,
) -> bool {
    let serving: Vec<&Entry> = entries.filter(|entry| entry.service == *service).collect();
    let fits = |requirements: &Requirements| serving.iter().any(|entry| entry.fits(requirements));
    serving.is_empty() || submission.plan.steps.iter().all(|step| fits(&step.requirements))
}

/// Profile of a job's tasks for the choice of stewards. `longest` is the forecast for the longest
/// task, `run` the median run time of one task; `objective` and `timeout` are the times left until
/// the objective and the deadline.
pub(super) fn profile(
    longest: &Forecast,
    run: Duration,
    (objective, timeout): (Duration, Duration),
    candidates: &[Candidate],
) -> Profile {
    let is_long = needs_fast(longest, timeout, candidates);
    let required_run = required_run(run, objective, is_long, candidates);
    let level = slack_level(objective, required_run);
    Profile { slack: objective.saturating_sub(required_run), slack_level: level, run, is_long }
}

/// Run time from which a job's slack is computed: on an average target, or on the fastest known one
/// if the job needs that.
fn required_run(
    run: Duration,
    objective: Duration,
    is_long: bool,
    candidates: &[Candidate],
) -> Duration {
    if is_long || run > objective { run.mul_f64(fastest_factor(candidates)) } else { run }
}

/// Whether a task needs a fast target to end within `remaining`.
fn needs_fast(forecast: &Forecast, remaining: Duration, candidates: &[Candidate]) -> bool {
    forecast.scaled(fastest_factor(candidates)).probability_within(remaining)
        > forecast.probability_within(remaining) + MIN_CHANCE_GAIN
}

/// Run time on the fastest known target, relative to the average one.
fn fastest_factor(candidates: &[Candidate]) -> f64 {
    let known =
        candidates.iter().map(|candidate| candidate.load.fastest_permille).filter(|one| *one > 0);
    f64::from(known.min().unwrap_or(1_000)) / 1_000.0
}
