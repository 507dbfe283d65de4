//! Plays random events to this steward and to the one that draws its sums anew for each event.
//!
//! Values that depend on the time are refreshed at the tick, so the time advances at ticks only. Sums of the earlier
//! code are floating-point numbers; values rounded down from them may differ by one.

use std::collections::BTreeSet;
use std::fmt::Debug;

use coltsfootshunt_core::name::Label;
use proptest::prelude::*;

use super::*;
use crate::lease::{Rejection, Running};
use crate::report::Record;
use crate::steward::reference;

/// An event and two numbers that choose its details.
type Event = (u8, u16, u16);

const EVENTS: u8 = 24;
const MAX_TARGETS: u16 = 14;

/// A target, as far as its answers matter.
#[derive(Debug)]
struct Target {
    entry: directory::Entry,
    started: Instant,
    token: Token,
    running: Vec<Running>,
    ended: Vec<Ended>,
    sequence: u64,
}

impl Target {
    fn report(&self, now: Instant) -> Response {
        let clock_ms = now.duration_since(self.started).as_millis() as u64 + 1;
        Response::Report(Report {
            clock_ms,
            started_at_ms: Some(self.entry.started_at_ms),
            running: self.running.clone(),
            ended: self.ended.clone(),
            ..Report::default()
        })
    }

    fn end(&mut self, index: usize, end: lease::End) {
        if self.running.is_empty() {
            return;
        }
        let Running { task, run } = self.running.remove(index % self.running.len());
        self.sequence += 1;
        self.ended.push(Ended { sequence: self.sequence, task, run, end });
    }

    fn answer(&mut self, call: &Call, now: Instant) -> Response {
        let clock_ms = now.duration_since(self.started).as_millis() as u64 + 1;
        if call.token < self.token {
            return Response::Rejected(Rejection::Fenced);
        }
        self.token = call.token;
        match &call.order {
            Order::Renew { acknowledged, .. } => {
                self.ended.retain(|ended| ended.sequence > *acknowledged);
                self.report(now)
            }
            Order::Start { task, run, .. } => {
                self.running.push(Running { task: task.clone(), run: *run });
                Response::Accepted { clock_ms }
            }
            Order::Stop { task, run } => {
                let is_stopped = |one: &Running| one.task == *task && one.run == *run;
                if let Some(index) = self.running.iter().position(is_stopped) {
                    self.end(index, lease::End::Stopped);
                }
                Response::Accepted { clock_ms }
            }
        }
    }
}

/// Both stewards with what they see.
struct Pair {
    new: Steward,
    old: reference::Steward,
    new_speeds: Estimator,
    old_speeds: Estimator,
    new_issuer: Issuer,
    old_issuer: Issuer,
    membership: Membership,
    directory: directory::Directory,
    crashes: Ledger,
    targets: Vec<Target>,
    calls: Vec<Call>,
    requests: Vec<(Host, Reservation)>,
    now: Instant,
    jobs: u32,
    starts: usize,
    grants: usize,
}

/// Runs the same method of both stewards and compares what they return and request.
macro_rules! both {
    ($pair:ident, $output:ident, $steward:ident, $speeds:ident, $issuer:ident, $call:expr) => {{
        let (mut new, mut old) = (Output::default(), Output::default());
        let new_result = {
            let ($output, $steward) = (&mut new, &mut $pair.new);
            let ($speeds, $issuer) = (&mut $pair.new_speeds, &mut $pair.new_issuer);
            let _ = (&$output, &$speeds, &$issuer);
            $call
        };
        let old_result = {
            let ($output, $steward) = (&mut old, &mut $pair.old);
            let ($speeds, $issuer) = (&mut $pair.old_speeds, &mut $pair.old_issuer);
            let _ = (&$output, &$speeds, &$issuer);
            $call
        };
        assert_same(&new_result, &old_result);
        assert_same_output(&new, &old);
        $pair.calls.extend(new.calls.iter().cloned());
        $pair.requests.extend(new.grant_requests.iter().cloned());
        new
    }};
}

fn assert_same(new: &impl Debug, old: &impl Debug) {
    assert_eq!(format!("{new:?}"), format!("{old:?}"));
}

fn assert_same_output(new: &Output, old: &Output) {
    assert_same(&new.calls, &old.calls);
    assert_same(&new.grant_requests, &old.grant_requests);
    assert_same(&new.completions, &old.completions);
    assert_same(&new.cancelled, &old.cancelled);
    assert_same(&new.losses, &old.losses);
    assert_eq!(new.records.len(), old.records.len());
    for (new, old) in new.records.iter().zip(&old.records) {
        match (new, old) {
            (
                Record::JobReturned { job, tasks, wait, slack },
                Record::JobReturned {
                    job: old_job,
                    tasks: old_tasks,
                    wait: old_wait,
                    slack: old_slack,
                },
            ) => {
                assert_eq!((job, tasks, slack), (old_job, old_tasks, old_slack));
                assert!(wait.abs_diff(*old_wait) < Duration::from_micros(1));
            }
            _ => assert_same(new, old),
        }
    }
}

fn assert_same_load(new: Load, old: Load) {
    let close = |one: u32, other: u32| one.abs_diff(other) <= 1 + other / 1_000_000;
    assert!(close(new.completions_per_s, old.completions_per_s), "{new:?} {old:?}");
    for (new, old) in new.waits_ms.iter().zip(old.waits_ms) {
        assert!(close(*new, old), "{new:?} {old:?}");
    }
    let rest = |load| Load { completions_per_s: 0, waits_ms: [0; 6], ..load };
    assert_eq!(rest(new), rest(old));
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        let mut membership = Membership::new(identity("me", "a", 250), now);
        for (zone, token) in [("a", 1), ("b", 2)] {
            membership
                .claims
                .push(Claim { zone: Zone::try_from(zone).unwrap(), token: Token(token) });
        }
        let settings = Settings { term: TERM, remote_factor: 1.5 };
        Self {
            new: Steward::new(settings),
            old: reference::Steward::new(settings),
            new_speeds: Estimator::default(),
            old_speeds: Estimator::default(),
            new_issuer: Issuer::new(1),
            old_issuer: Issuer::new(1),
            membership,
            directory: directory::Directory::default(),
            crashes: Ledger::default(),
            targets: Vec::new(),
            calls: Vec::new(),
            requests: Vec::new(),
            now,
            jobs: 0,
            starts: 0,
            grants: 0,
        }
    }

    /// Advances the time, and does the periodic work.
    fn tick(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        let now = self.now;
        both!(self, output, steward, speeds, issuer, {
            steward.sync(&self.directory, &self.membership, now);
            let times = (SystemTime::UNIX_EPOCH, now);
            steward.maintain(&self.membership, speeds, issuer, times, output);
        });
    }

    /// Starts what can start, and compares what both stewards tell.
    fn dispatch(&mut self) {
        let now = self.now;
        let output = both!(self, output, steward, speeds, issuer, {
            steward.dispatch((&self.membership, speeds, &self.crashes), now, output);
        });
        let started: BTreeSet<_> = output.calls.iter().map(|call| call.target.clone()).collect();
        self.starts += output.calls.len();
        for target in started {
            self.maintain_target(&target);
        }
        let load = |new: bool| {
            if new {
                self.new.load(&self.membership, &self.new_speeds, now)
            } else {
                self.old.load(&self.membership, &self.old_speeds, now)
            }
        };
        assert_same_load(load(true), load(false));
        let owners = |owners: &mut dyn Iterator<Item = Host>| owners.collect::<BTreeSet<_>>();
        assert_eq!(owners(&mut self.new.owners()), owners(&mut self.old.owners()));
        assert_eq!(self.new.queued(), self.old.queued());
        assert_eq!(self.new.is_idle(), self.old.is_idle());
        assert_eq!(
            self.new.busy_unclaimed(&self.membership),
            self.old.busy_unclaimed(&self.membership)
        );
    }

    fn maintain_target(&mut self, target: &coltsfootshunt_core::name::Target) {
        let times = (SystemTime::UNIX_EPOCH, self.now);
        both!(self, output, steward, speeds, issuer, {
            steward.maintain_target(target, &self.membership, issuer, times, output);
        });
    }

    fn respond(&mut self, call: &Call, response: &Response) {
        let now = self.now;
        let output = both!(self, output, steward, speeds, issuer, {
            steward.handle_response(call, response.clone(), speeds, now, output);
        });
        for loss in &output.losses {
            self.crashes.add(loss, now);
        }
        self.maintain_target(&call.target);
    }

    /// Answers a call as its target would.
    fn answer(&mut self, call: &Call) {
        let now = self.now;
        let target = self.targets.iter_mut().find(|one| one.entry.name == call.target);
        let response = target.map_or(Response::NoResponse, |one| one.answer(call, now));
        self.respond(call, &response);
    }

    fn add_target(&mut self, one: u16, other: u16) {
        let index = one % MAX_TARGETS;
        let name = format!("t{index:02}");
        if self.targets.iter().any(|target| *target.entry.name == *name) {
            return;
        }
        let mut entry = entry(&name, if index % 5 == 4 { "b" } else { "a" });
        entry.capacity.cpu_millis = [16_000, 24_000][usize::from(other % 2)];
        entry.labels = [&[][..], &["rack-1"], &["rack-2", "ssd"]][usize::from(other / 2 % 3)]
            .iter()
            .map(|label| Label::try_from(*label).unwrap())
            .collect();
        if index == 3 {
            entry.service = Service::try_from("other").unwrap();
        }
        let slowness = [0.0, -0.35, 0.5, 0.02, -0.4][usize::from(other / 6 % 5)]
            + f64::from(other % 97) / 1_000.0;
        let scores = vec![(entry.name.clone(), slowness)];
        // Other hosts tell of the speeds of their own targets only.
        if !self.new.has_target(&entry.name) {
            self.new_speeds.set_slowness(scores.clone(), self.now);
            self.old_speeds.set_slowness(scores, self.now);
        }
        self.targets.push(Target {
            entry,
            started: self.now,
            token: Token(0),
            running: Vec::new(),
            ended: Vec::new(),
            sequence: 0,
        });
    }

    fn read_directory(&mut self) {
        let entries = self.targets.iter().map(|target| target.entry.clone()).collect();
        self.directory.replace(entries, self.now);
    }

    fn assignment(&mut self, one: u16, other: u16) -> Assignment {
        let is_long = one.is_multiple_of(4);
        let width = 1 + u32::from(other % 9);
        // Some jobs come again.
        let job = if one % 11 == 10 { self.jobs } else { self.jobs + 1 };
        self.jobs = self.jobs.max(job);
        let mut assignment = assignment(job, width);
        assignment.generation = 1 + u64::from(one % 11 == 10);
        assignment.objective_in_ms = if is_long { 1_450 } else { 40 + i64::from(other % 700) };
        assignment.shared = is_long && !one.is_multiple_of(8);
        assignment.started = one % 7 == 6;
        assignment.priority = u32::from(one % 3);
        for (index, item) in assignment.tasks.iter_mut().enumerate() {
            let requirements = &mut item.requirements;
            let vary = u64::from(one).wrapping_mul(31 + index as u64) % 1_009;
            requirements.resources.cpu_millis = 3_000 + 9 * vary;
            requirements.estimate_ms = if is_long { 700 + vary } else { 20 + vary / 4 };
            let label = |name: &str| Some(Label::try_from(name).unwrap());
            match other / 9 % 8 {
                0 => requirements.preferred_rack = label("rack-1"),
                1 => requirements.required_label = label("ssd"),
                2 => requirements.max_per_target = Some(1),
                _ => {}
            }
        }
        assignment
    }

    fn play(&mut self, (event, one, other): Event) {
        let now = self.now;
        let host = Host::try_from(["me", "owner", "third"][usize::from(one % 3)]).unwrap();
        let job = Id::try_from(format!("{:016x}", u32::from(other) % (self.jobs + 1))).unwrap();
        match event {
            0..=4 => {
                let assignment = self.assignment(one, other);
                both!(self, output, steward, speeds, issuer, {
                    let view = (&self.membership, &*speeds);
                    steward.enqueue(&host, assignment.clone(), view, now, output);
                });
            }
            5..=8 => self.tick(u64::from(one % 60)),
            9..=11 => {
                for call in std::mem::take(&mut self.calls) {
                    self.answer(&call);
                }
            }
            12..=14 => {
                let end = if other % 5 == 0 { lease::End::Failed } else { lease::End::Done };
                let count = self.targets.len().max(1);
                if let Some(target) = self.targets.get_mut(usize::from(one) % count) {
                    target.end(usize::from(other), end);
                }
            }
            15 => {
                if !self.calls.is_empty() {
                    let call = self.calls.remove(usize::from(one) % self.calls.len());
                    let response = match other % 6 {
                        0 => Response::NoResponse,
                        1 => Response::NotSent,
                        2 => Response::Rejected(Rejection::Unhealthy),
                        3 => Response::Rejected(Rejection::NoRoom),
                        4 => Response::Rejected(Rejection::Fenced),
                        _ => Response::Rejected(Rejection::OtherIncarnation),
                    };
                    self.respond(&call, &response);
                }
            }
            16 => self.add_target(one, other),
            17 => {
                let count = self.targets.len().max(1);
                let index = usize::from(one) % count;
                match other % 5 {
                    0 if self.targets.len() > 6 => drop(self.targets.remove(index)),
                    change => {
                        if let Some(target) = self.targets.get_mut(index) {
                            match change {
                                1 => target.entry.state = directory::State::Draining,
                                2 => target.entry.state = directory::State::Ready,
                                3 => {
                                    let cpu_millis = &mut target.entry.capacity.cpu_millis;
                                    *cpu_millis = if *cpu_millis < 16_000 { 24_000 } else { 8_000 };
                                }
                                _ => {
                                    target.entry.started_at_ms += 1;
                                    target.started = now;
                                    target.running.clear();
                                    target.ended.clear();
                                    target.sequence = 0;
                                }
                            }
                        }
                    }
                }
                self.read_directory();
            }
            18 => match other % 3 {
                0 => {
                    both!(self, output, steward, speeds, issuer, steward.cancel(&host, &job, 1));
                }
                1 => {
                    both!(self, output, steward, speeds, issuer, steward.cancel_job(&job));
                }
                _ => {
                    both!(self, output, steward, speeds, issuer, steward.has_cancelled(&job));
                }
            },
            19 => {
                for (owner, Reservation { task, generation, sequence }) in
                    std::mem::take(&mut self.requests)
                {
                    self.grants += 1;
                    let grant = Grant { task, generation, sequence, run: 1, echo: None };
                    both!(self, output, steward, speeds, issuer, {
                        steward.apply_grants(&owner, std::slice::from_ref(&grant), now, output);
                    });
                }
            }
            20 => {
                for (owner, reservation) in std::mem::take(&mut self.requests) {
                    both!(self, output, steward, speeds, issuer, {
                        steward.withdraw(&owner, std::slice::from_ref(&reservation));
                    });
                }
            }
            21 => {
                self.membership.record_contact(&identity("owner", "a", 250), now);
                if other % 3 == 0 {
                    self.membership.record_contact(&identity("third", "b", 250), now);
                    let claims =
                        vec![Claim { zone: Zone::try_from("c").unwrap(), token: Token(3) }];
                    let load = Load {
                        free_slots: u32::from(one % 9),
                        free_fast_slots: u32::from(one % 4),
                        fast_ends_ms: [
                            Some(u32::from(other)),
                            None,
                            None,
                            None,
                            None,
                            None,
                            None,
                            None,
                        ],
                        ..Load::default()
                    };
                    let heartbeat = Heartbeat { claims, load, ..Heartbeat::default() };
                    self.membership.record_heartbeat(&Host::try_from("third").unwrap(), heartbeat);
                }
            }
            22 => {
                let zone = Zone::try_from("b").unwrap();
                if self.membership.has_claim(&zone) {
                    self.membership.claims.retain(|claim| claim.zone != zone);
                } else {
                    self.membership.claims.push(Claim { zone, token: Token(4) });
                }
            }
            _ => match one % 6 {
                0 => {
                    both!(self, output, steward, speeds, issuer, steward.release_targets(output));
                }
                1 => {
                    both!(self, output, steward, speeds, issuer, {
                        steward.void_tokens(&self.membership);
                    });
                }
                2 => {
                    both!(self, output, steward, speeds, issuer, steward.drop_owner(&host));
                }
                _ => {}
            },
        }
        self.dispatch();
    }
}

/// Guards against sums that drift from the targets' state, and against targets that placement overlooks.
fn decides_alike(events: &[Event]) -> Pair {
    let mut pair = Pair::new();
    for index in 0..10 {
        pair.add_target(index, index * 7);
    }
    pair.read_directory();
    pair.tick(0);
    for event in events {
        pair.play(*event);
    }
    pair
}

/// Guards against plays in which hardly anything starts.
#[test]
fn plays_reach_starts_and_grants() {
    let mut draw = 1_u32;
    let mut next = || {
        draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (draw >> 16) as u16
    };
    let events = std::iter::repeat_with(|| ((next() % u16::from(EVENTS)) as u8, next(), next()));
    let pair = decides_alike(&events.take(5_000).collect::<Vec<_>>());
    assert!(pair.starts > 500, "{} starts", pair.starts);
    assert!(pair.grants > 20, "{} grants", pair.grants);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decides_as_with_sums_drawn_anew(
        events in prop::collection::vec((0..EVENTS, any::<u16>(), any::<u16>()), 1..250),
    ) {
        decides_alike(&events);
    }
}
