//! This host as the owner of its callers' jobs.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Service};

use super::{Action, Response, State};
use crate::admission::{self, Estimate};
use crate::directory::Entry;
use crate::job::{
    Completion, Id, Open, Outcome, Policy, Refusal, RequestId, Requirements, Submission,
};
use crate::member::Peer;
use crate::peer::Message;
use crate::placement::MIN_CHANCE_GAIN;
use crate::queue::slack_level;
use crate::report::Record;
use crate::routing::{Candidate, Profile, expected_waits};
use crate::speed::Forecast;

/// Open jobs of one host; what it needs for each is far below its memory.
const MAX_OPEN: usize = 4_000;
/// Time after which a caller that was turned away for want of a steward may come back.
pub(super) const STEWARD_BACK_IN: Duration = Duration::from_secs(1);
/// Time before the caller goes at which an answer must be ready: the way back, and a margin for it.
pub(super) const ANSWER_WITHIN: Duration = Duration::from_millis(40);
/// Way to the steward in this process and back.
const HERE: Duration = Duration::ZERO;
/// Way to a host of this availability zone and back.
const NEAR: Duration = Duration::from_millis(1);
/// Way to a host of another availability zone and back, with the wait for a batch under way.
const FAR: Duration = Duration::from_millis(5);

impl State {
    pub(super) fn submit(&mut self, request_id: RequestId, submission: &Submission, now: Instant) {
        let id = &submission.id;
        if let Some(outcome) = self.jobs.outcome(id) {
            return self.out.push(Action::Respond(request_id, Response::Outcome(outcome)));
        }
        if self.jobs.attach(id, request_id) {
            return;
        }
        match self.open(submission, now) {
            Ok(open) => {
                self.jobs.open(id.clone(), request_id, open);
                self.push(id, now);
            }
            Err(outcome) => self.out.push(Action::Respond(request_id, Response::Outcome(outcome))),
        }
    }

    /// An open job, or the answer with which it is turned away.
    fn open(&mut self, submission: &Submission, now: Instant) -> Result<Open, Outcome> {
        let refuse = |refusal| Outcome::Refused { refusal, retry_after: STEWARD_BACK_IN };
        let document = self.config.document().cloned().ok_or(refuse(Refusal::NotReady))?;
        let route = document.route_of(&submission.kind).ok_or(refuse(Refusal::UnknownKind))?;
        let plan = &submission.plan;
        let timeout = submission.timeout.min(route.timeout);
        let forecast = self.speeds.forecast(&route.kind, plan.critical_path());
        let run = forecast.median;
        let offers = self.offers();
        let stretched = route.stretch.apply(run).saturating_add(route.allowance);
        let objective = stretched.min(timeout.saturating_sub(ANSWER_WITHIN));
        let tasks = plan.task_count() as u32;
        let shape = shape(&forecast.longest_of(tasks), run, (objective, timeout), &offers);
        let required_run = required_run(run, objective, shape.is_long, &offers);
        let waits = expected_waits(plan.task_count(), &shape, &offers);
        let wait = waits.last().copied().unwrap_or_default();
        let size = self.classifier.classify(&route.kind, plan);
        let refused = |outcome| Record::JobRefused {
            job: submission.id.clone(),
            kind: route.kind.clone(),
            tasks: plan.task_count(),
            size,
            outcome,
            declared: plan.critical_path(),
            wait,
            run,
            timeout,
        };
        // A steward is about to come unless this host is cut off from all: the job waits for it.
        let outcome = if offers.is_empty() && self.membership.is_isolated(now) {
            Some(refuse(Refusal::NoSteward))
        } else if self.jobs.len() >= MAX_OPEN {
            Some(refuse(Refusal::Full))
        } else if !may_fit(self.directory.iter(), &route.service, submission) {
            // What was there may come back; nothing else could ever hold the job.
            let known = self.directory.iter().chain(self.directory.vanished());
            let may_return = may_fit(known, &route.service, submission);
            Some(if may_return { refuse(Refusal::Infeasible) } else { Outcome::Failed })
        } else {
            let run = forecast.scaled(fastest(&offers));
            admission::decide(&Estimate { waits, run, required_run, objective, timeout })
        };
        if let Some(outcome) = outcome {
            self.note(refused(outcome));
            return Err(outcome);
        }
        self.note(Record::JobAccepted {
            job: submission.id.clone(),
            kind: route.kind.clone(),
            tasks: plan.task_count(),
            size,
            declared: plan.critical_path(),
            wait,
            run,
            timeout,
            version: document.version,
        });
        let policy = Policy {
            service: route.service.clone(),
            priority: route.priority,
            max_attempts: route.max_attempts,
        };
        let moments = (now, now + objective, now + timeout);
        Ok(Open::new(route.kind.clone(), plan.clone(), policy, moments, size))
    }

    /// Whether any steward can be reached.
    pub(super) fn is_led(&self) -> bool {
        let is_steward = |peer: &Peer| !peer.heartbeat.claims.is_empty();
        !self.membership.claims.is_empty() || self.membership.alive().any(is_steward)
    }

    /// Stewards that can be reached.
    pub(super) fn offers(&self) -> Vec<Candidate> {
        let me = self.membership.me();
        let others = self.membership.alive().filter(|peer| !peer.heartbeat.claims.is_empty());
        let mut offers: Vec<Candidate> = others
            .map(|peer| Candidate {
                host: peer.identity.host.clone(),
                round_trip: if peer.identity.zone == me.zone { NEAR } else { FAR },
                load: peer.heartbeat.load,
            })
            .collect();
        if !self.membership.claims.is_empty() {
            let load = self.steward.load(&self.membership, &self.speeds, self.clock.now());
            offers.push(Candidate { host: me.host.clone(), round_trip: HERE, load });
        }
        offers
    }

    /// Takes the end of a task in.
    pub(super) fn ended(&mut self, from: &Host, completion: &Completion, now: Instant) {
        let id = &completion.task.job;
        let Some(open) = self.jobs.get_mut(id) else {
            return;
        };
        if completion.generation != open.generation {
            return;
        }
        match open.complete(from, completion) {
            Some(outcome) => self.close(id, outcome, "a task's end", now),
            None => self.push(id, now),
        }
    }

    /// Answers a job, and has what is left of it stopped.
    pub(super) fn close(&mut self, id: &Id, outcome: Outcome, why: &'static str, now: Instant) {
        let Some((open, request_ids)) = self.jobs.close(id, Some(outcome), now) else {
            return;
        };
        self.stalled.remove(id);
        self.note(Record::JobAnswered {
            job: id.clone(),
            kind: open.kind.clone(),
            size: open.size,
            outcome,
            took: now.duration_since(open.since),
            reason: why,
        });
        for request_id in request_ids {
            self.out.push(Action::Respond(request_id, Response::Outcome(outcome)));
        }
        self.call_off(id, &open);
    }

    fn call_off(&mut self, id: &Id, open: &Open) {
        for host in open.stewards() {
            if host == self.membership.me().host {
                self.steward.cancel(&host, id, open.generation);
            } else if let Some(peer) = self.membership.peer(&host).filter(|peer| peer.is_alive) {
                let address = peer.identity.address;
                self.send(address, Message::Cancel(id.clone(), open.generation));
            }
        }
    }

    /// A caller went: nobody waits for the job any more unless another caller does.
    pub(super) fn left(&mut self, id: &Id, request_id: RequestId, now: Instant) {
        if self.jobs.detach(id, request_id) {
            self.drop_job(id, now);
        }
    }

    /// Drops a job at its caller's word; whether it was known.
    pub(super) fn cancel(&mut self, id: &Id, now: Instant) -> bool {
        self.drop_job(id, now) || self.jobs.outcome(id).is_some()
    }

    fn drop_job(&mut self, id: &Id, now: Instant) -> bool {
        let Some((open, request_ids)) = self.jobs.close(id, None, now) else {
            return false;
        };
        self.stalled.remove(id);
        self.note(Record::CallerLeft { job: id.clone(), after: now.duration_since(open.since) });
        for request_id in request_ids {
            self.out.push(Action::Respond(request_id, Response::Outcome(Outcome::Unknown)));
        }
        self.call_off(id, &open);
        true
    }

    /// Answers jobs that had tasks at a host that is lost: they may have run there, and the
    /// caller's repeat comes after their leases ended.
    pub(super) fn give_up_with(&mut self, host: &Host, now: Instant) {
        for id in self.jobs.matching(|open| open.is_assigned_to(host)) {
            self.close(&id, Outcome::Unknown, "its steward is gone", now);
        }
        // What only stood there has not run there.
        for id in self.jobs.matching(|open| open.is_shared_with(host)) {
            if let Some(open) = self.jobs.get_mut(&id) {
                open.remove_steward(host);
            }
            self.push(&id, now);
        }
    }

    /// Answers all jobs after a pause of this process.
    pub(super) fn give_up_all(&mut self, now: Instant) {
        for id in self.jobs.matching(|_| true) {
            self.close(&id, Outcome::Unknown, "this host was paused", now);
        }
    }

    pub(super) fn tend_jobs(&mut self, now: Instant) {
        for id in self.jobs.matching(|open| now >= open.deadline) {
            let may_have_started = self.jobs.get(&id).is_some_and(|open| open.may_have_started);
            let outcome = if may_have_started {
                Outcome::Unknown
            } else {
                let refusal = Refusal::TooLate;
                Outcome::Refused { refusal, retry_after: STEWARD_BACK_IN }
            };
            self.close(&id, outcome, "its deadline", now);
        }
        self.drop_stalled(now);
        self.jobs.expire(now);
    }
}

/// Whether some target of a service could hold each task, were it empty. A host that knows no target
/// of the service can't tell: it may have started just now.
fn may_fit<'a>(
    entries: impl Iterator<Item = &'a Entry>,
    service: &Service,
    submission: &Submission,
) -> bool {
    let serving: Vec<&Entry> = entries.filter(|entry| entry.service == *service).collect();
    let fits = |requirements: &Requirements| {
        serving.iter().any(|entry| {
            entry.capacity.covers(&requirements.resources)
                && requirements
                    .required_label
                    .as_ref()
                    .is_none_or(|label| entry.labels.contains(label))
        })
    };
    serving.is_empty() || submission.plan.steps.iter().all(|step| fits(&step.requirements))
}

/// What the tasks of a job are like, by the forecasts of the longest and of one of them and by the time left
/// until its answer is late and until its caller goes.
pub(super) fn shape(
    longest: &Forecast,
    run: Duration,
    (objective, timeout): (Duration, Duration),
    offers: &[Candidate],
) -> Profile {
    let is_long = needs_fast(longest, timeout, offers);
    let required_run = required_run(run, objective, is_long, offers);
    let level = slack_level(objective, required_run);
    Profile { slack: objective.saturating_sub(required_run), slack_level: level, run, is_long }
}

/// Run time that a job's slack is reckoned with: on an average target, or on the fastest one known
/// where only that would do.
fn required_run(
    run: Duration,
    objective: Duration,
    is_long: bool,
    offers: &[Candidate],
) -> Duration {
    if is_long || run > objective { run.mul_f64(fastest(offers)) } else { run }
}

/// Whether only fast targets will do for a task whose caller goes after `left`.
fn needs_fast(forecast: &Forecast, left: Duration, offers: &[Candidate]) -> bool {
    forecast.scaled(fastest(offers)).probability_within(left)
        > forecast.probability_within(left) + MIN_CHANCE_GAIN
}

/// Factor of the fastest known target's run time against the average one.
fn fastest(offers: &[Candidate]) -> f64 {
    let known = offers.iter().map(|offer| offer.load.fastest_permille).filter(|one| *one > 0);
    f64::from(known.min().unwrap_or(1_000)) / 1_000.0
}
