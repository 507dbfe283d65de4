mod largest;

use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Kind, Service, Zone};
use coltsfootshunt_testkit::cases;

use super::{Output, Settings, Steward};
use crate::directory::{self, tests::entry};
use crate::job::{Assignment, End, Grant, Id, Item, Requirements, Reservation, Resources};
use crate::lease::{self, Call, Ended, Issuer, Order, Report, Response, Term, Token};
use crate::member::tests::identity;
use crate::member::{Claim, Heartbeat, Membership};
use crate::routing::Load;
use crate::speed::Estimator;

const TERM: Term = Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };

struct Bench {
    steward: Steward,
    membership: Membership,
    directory: directory::Directory,
    speeds: Estimator,
    issuer: Issuer,
    now: Instant,
    /// Number of the last end that a target listed.
    ended: u64,
}

impl Bench {
    /// A steward of `targets` targets, all claimed.
    fn new(targets: usize) -> Self {
        let now = Instant::now();
        let mut membership = Membership::new(identity("me", "a", 250), now);
        membership.claims.push(Claim { zone: Zone::try_from("a").unwrap(), token: Token(1) });
        let mut directory = directory::Directory::default();
        directory.replace((0..targets).map(|one| entry(&format!("t{one}"), "a")).collect(), now);
        let steward = Steward::new(Settings { term: TERM, remote_factor: 1.5 });
        let (speeds, issuer) = (Estimator::default(), Issuer::new(1));
        let mut bench = Self { steward, membership, directory, speeds, issuer, now, ended: 0 };
        bench.steward.sync(&bench.directory, &bench.membership, now);
        for call in bench.tend().calls {
            let report = Report { clock_ms: 1, started_at_ms: Some(1), ..Report::default() };
            bench.answer(&call, Response::Report(report));
        }
        bench
    }

    fn tend(&mut self) -> Output {
        let mut out = Output::default();
        let times = (SystemTime::UNIX_EPOCH, self.now);
        self.steward.maintain(
            &self.membership,
            &mut self.speeds,
            &mut self.issuer,
            times,
            &mut out,
        );
        out
    }

    fn answer(&mut self, call: &Call, answer: Response) -> Output {
        let mut out = Output::default();
        self.steward.handle_response(call, answer, &mut self.speeds, self.now, &mut out);
        out
    }

    fn accept(&mut self, job: u32, tasks: u32, owner: &str) -> Output {
        self.accept_assignment(assignment(job, tasks), owner)
    }

    /// The first attempt on the first target ends well.
    fn end_first(&mut self) {
        let name = self.steward.trackers().next().unwrap().entry.name.to_string();
        self.end_on(&name);
    }

    /// The first attempt on a target ends well.
    fn end_on(&mut self, target: &str) {
        let picture = self.steward.trackers().find(|one| &*one.entry.name.to_string() == target);
        let (task, attempt) = picture.unwrap().attempts().next().unwrap();
        let (task, run) = (task.clone(), attempt.run);
        self.ended += 1;
        let ended = vec![Ended { sequence: self.ended, task, run, end: lease::End::Done }];
        let report = Report { clock_ms: 3, started_at_ms: Some(1), ended, ..Report::default() };
        for call in self.tend().calls.into_iter().filter(|call| call.target.to_string() == target) {
            self.answer(&call, Response::Report(report.clone()));
        }
    }

    fn accept_assignment(&mut self, assignment: Assignment, owner: &str) -> Output {
        let mut out = Output::default();
        let owner = Host::try_from(owner).unwrap();
        let view = (&self.membership, &self.speeds);
        self.steward.enqueue(&owner, assignment, view, self.now, &mut out);
        out
    }

    /// The first target turns out to take half as long as the others.
    fn learn_speeds(&mut self) {
        let kind = Kind::try_from("cut").unwrap();
        let estimate = Duration::from_millis(100);
        let names: Vec<_> = self.directory.iter().map(|entry| entry.name.clone()).collect();
        for _ in 0..40 {
            for (place, name) in names.iter().enumerate() {
                let took = if place == 0 { estimate / 2 } else { estimate };
                self.speeds.record_completion(&kind, name, (estimate, took), self.now);
            }
        }
    }

    /// Starts what can start; owners grant what they are asked for.
    fn dispatch(&mut self) -> Output {
        let mut all = Output::default();
        loop {
            let out = self.dispatch_once();
            all.calls.extend(out.calls);
            all.completions.extend(out.completions);
            if out.bids.is_empty() {
                return all;
            }
            for (owner, reservation) in out.bids {
                self.grant(&owner, reservation);
            }
        }
    }

    fn dispatch_once(&mut self) -> Output {
        let mut out = Output::default();
        self.steward.dispatch(&self.membership, &self.speeds, self.now, &mut out);
        out
    }

    fn grant(
        &mut self,
        owner: &Host,
        Reservation { task, generation, sequence }: Reservation,
    ) -> Output {
        let mut out = Output::default();
        let grant = Grant { task, generation, sequence, run: 1 };
        self.steward.apply_grants(owner, &[grant], self.now, &mut out);
        out
    }

    fn other_steward(&mut self, free: u32, free_fast: u32) {
        self.membership.record_contact(&identity("other", "b", 250), self.now);
        let claims = vec![Claim { zone: Zone::try_from("b").unwrap(), token: Token(2) }];
        let load =
            Load { free_slots: free, free_fast_slots: free_fast, slots: 10, ..Load::default() };
        let beat = Heartbeat { claims, load, ..Heartbeat::default() };
        self.membership.record_heartbeat(&Host::try_from("other").unwrap(), beat);
    }
}

fn assignment(job: u32, tasks: u32) -> Assignment {
    let resources = Resources { cpu_millis: 14_000, memory_mb: 64, accelerators: 0 };
    let requirements = Requirements { resources, estimate_ms: 50, ..Requirements::default() };
    let part =
        |index| Item { step: 0, index, run: 1, sequence: 1, requirements: requirements.clone() };
    Assignment {
        job: Id::try_from(format!("{job:016x}")).unwrap(),
        generation: 1,
        kind: Kind::try_from("cut").unwrap(),
        service: Service::try_from("mill").unwrap(),
        priority: 0,
        spec: "work".into(),
        objective_in_ms: 140,
        deadline_in_ms: 1_500,
        width: tasks,
        started: false,
        shared: false,
        tasks: (0..tasks).map(part).collect(),
    }
}

/// Tasks that an average target may well not end before their caller goes.
fn long(job: u32, tasks: u32) -> Assignment {
    let mut long = assignment(job, tasks);
    long.objective_in_ms = 1_450;
    long.shared = true;
    long.tasks.iter_mut().for_each(|part| part.requirements.estimate_ms = 1_300);
    long
}

/// The task that a call starts.
fn started(call: &Call) -> Option<String> {
    match &call.order {
        Order::Start { task, .. } => Some(task.to_string()),
        _ => None,
    }
}

fn starts(out: &Output) -> usize {
    out.calls.iter().filter_map(started).count()
}

/// Two tasks of 14 cores fit on a target of 32.
fn fills(targets: usize, tasks: u32, started: usize) {
    let mut bench = Bench::new(targets);
    bench.accept(1, tasks, "owner");
    assert_eq!(starts(&bench.dispatch()), started);
    assert_eq!(bench.steward.queued(), tasks as usize - started);
    assert_eq!(starts(&bench.dispatch()), 0, "nothing more fits");
}

cases! { fills:
    what_fits_starts_at_once(2, 4, 4);
    no_target_is_given_more_than_it_holds(2, 7, 4);
}

/// Tasks that wait while another steward has places free.
fn shares(waited_ms: u64, free: u32, given_back: usize) {
    let mut bench = Bench::new(1);
    bench.accept(1, 6, "owner");
    bench.dispatch();
    bench.other_steward(free, 0);
    bench.now += Duration::from_millis(waited_ms);
    let out = bench.dispatch();
    let ends: Vec<End> = out.completions.iter().map(|(_, completion)| completion.end).collect();
    assert_eq!(ends, vec![End::NotRun; given_back]);
}

cases! { shares:
    not_at_once(10, 8, 0);
    nothing_when_nothing_is_free_elsewhere(40, 0, 0);
    half_of_the_free_places(40, 4, 2);
    no_more_than_waits(40, 20, 4);
}

/// Nothing that stands here starts without its owner's word, and what another steward has is dropped.
#[test]
fn what_stands_here_starts_once_it_is_granted() {
    let mut bench = Bench::new(2);
    let owner = Host::try_from("owner").unwrap();
    bench.accept_assignment(Assignment { shared: true, ..assignment(1, 3) }, "owner");
    let out = bench.dispatch_once();
    assert_eq!((starts(&out), out.bids.len()), (0, 3));
    let again = bench.dispatch_once();
    assert_eq!((starts(&again), again.bids.len()), (0, 0), "an owner is asked once");
    let reservations: Vec<Reservation> =
        out.bids.into_iter().map(|(_, reservation)| reservation).collect();
    bench.steward.withdraw(&owner, &reservations[1..2]);
    assert!(bench.grant(&owner, reservations[0].clone()).completions.is_empty());
    assert_eq!(starts(&bench.dispatch_once()), 1);
    assert_eq!(bench.steward.queued(), 1);
}

/// A grant that meets nothing here goes back, so that its owner does not wait for it.
#[test]
fn a_grant_of_what_is_gone_goes_back() {
    let mut bench = Bench::new(1);
    let owner = Host::try_from("owner").unwrap();
    bench.accept_assignment(Assignment { shared: true, ..assignment(1, 1) }, "owner");
    let (_, reservation) = bench.dispatch_once().bids.remove(0);
    bench.steward.withdraw(&owner, std::slice::from_ref(&reservation));
    let ends: Vec<End> =
        bench.grant(&owner, reservation).completions.iter().map(|(_, one)| one.end).collect();
    assert_eq!(ends, [End::NotRun]);
}

/// An owner that does not answer keeps no place from others for long.
#[test]
fn what_an_owner_does_not_grant_goes_back() {
    let mut bench = Bench::new(1);
    bench.accept_assignment(Assignment { shared: true, ..assignment(1, 1) }, "owner");
    assert_eq!(bench.dispatch_once().bids.len(), 1);
    bench.now += Duration::from_millis(110);
    assert_eq!(bench.dispatch_once().completions.len(), 1);
    assert_eq!(bench.steward.queued(), 0);
}

/// Long work that was sent to start at once and finds fast targets taken goes back, to stand with several.
#[test]
fn long_work_that_can_not_start_at_once_goes_back() {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.accept(1, 6, "owner");
    assert_eq!(starts(&bench.dispatch()), 6);
    bench.accept_assignment(Assignment { shared: false, ..long(2, 2) }, "owner");
    let ends: Vec<End> = bench.dispatch().completions.iter().map(|(_, one)| one.end).collect();
    assert_eq!(ends, [End::NoFastTarget, End::NoFastTarget]);
}

/// Long work stands here when one place becomes free.
fn asks_for_long_work(free: &str, asked: usize) {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.accept(1, 6, "owner");
    assert_eq!(starts(&bench.dispatch()), 6);
    bench.accept_assignment(Assignment { started: true, ..long(2, 3) }, "owner");
    assert_eq!(bench.dispatch_once().bids.len(), 0);
    bench.end_on(free);
    assert_eq!(bench.dispatch_once().bids.len(), asked);
}

cases! { asks_for_long_work:
    not_for_slow_places("t1", 0);
    for_fast_places("t0", 1);
}

/// Only fast places are free where a short and a long task wait, and only slow ones.
fn long_work_waits(free: &str, wanted: &[&str]) {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.accept(1, 6, "owner");
    assert_eq!(starts(&bench.dispatch()), 6);
    bench.accept_assignment(assignment(2, 1), "owner");
    bench.accept_assignment(long(3, 1), "owner");
    bench.end_on(free);
    let started: Vec<_> = bench.dispatch().calls.iter().filter_map(started).collect();
    assert_eq!(started, wanted);
}

cases! { long_work_waits:
    and_comes_first_on_fast_targets("t0", &["0000000000000003.0.0"]);
    while_short_work_takes_slow_ones("t1", &["0000000000000002.0.0"]);
}

/// A long task that needs a whole fast target, of which one half becomes free after the other.
#[test]
fn a_large_task_is_not_starved_by_smaller_ones() {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.accept(1, 6, "owner");
    assert_eq!(starts(&bench.dispatch()), 6);
    let mut large = long(2, 1);
    large.tasks[0].requirements.resources.cpu_millis = 28_000;
    bench.accept_assignment(large, "owner");
    let mut small = assignment(3, 1);
    small.objective_in_ms = 1_000;
    small.tasks[0].requirements.estimate_ms = 400;
    bench.accept_assignment(small, "owner");
    bench.end_on("t0");
    assert_eq!(starts(&bench.dispatch()), 0, "the free half is kept for the large task");
    bench.end_on("t0");
    let started: Vec<_> = bench.dispatch().calls.iter().filter_map(started).collect();
    assert_eq!(started, ["0000000000000002.0.0"]);
}

/// The wait for fast places alone leaves no chance; the slow targets, which are free, may do.
#[test]
fn a_long_job_that_slow_targets_may_end_is_not_given_back() {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.accept_assignment(long(1, 2), "owner");
    bench.dispatch();
    bench.accept_assignment(long(2, 1), "owner");
    let mut wide = long(3, 8);
    wide.tasks.iter_mut().for_each(|part| part.requirements.estimate_ms = 900);
    let many = bench.accept_assignment(wide, "owner");
    assert!(many.completions.is_empty(), "{:?}", many.completions);
}

/// At the crest: what can't be on time any more goes back, unless its job has begun.
#[test]
fn late_work_of_which_nothing_ran_goes_back() {
    let mut bench = Bench::new(1);
    bench.accept(1, 2, "owner");
    bench.accept(2, 2, "owner");
    assert_eq!(starts(&bench.dispatch()), 2);
    bench.now += Duration::from_millis(120);
    let out = bench.dispatch();
    let ends: Vec<_> =
        out.completions.iter().map(|(_, one)| (one.task.job.to_string(), one.end)).collect();
    let second = format!("{:016x}", 2);
    assert_eq!(ends, [(second.clone(), End::TooLate), (second, End::TooLate)]);
}

/// At the crest a job is begun only once all that has begun before it is placed.
#[test]
fn what_has_begun_is_finished_before_more_is_begun() {
    let mut bench = Bench::new(1);
    bench.accept(1, 3, "owner");
    assert_eq!(starts(&bench.dispatch()), 2);
    let mut urgent = assignment(2, 1);
    urgent.objective_in_ms = 90;
    bench.accept_assignment(urgent, "owner");
    bench.end_first();
    let out = bench.dispatch();
    let started: Vec<String> = out.calls.iter().filter_map(started).collect();
    assert_eq!(started, [format!("{:016x}.0.2", 1)]);
}

/// A crest that hosts can't see yet: each has sent what it believed would fit.
fn gives_back(ahead: u32, started: bool, wanted: Option<End>) {
    let mut bench = Bench::new(1);
    bench.accept(1, 2, "owner");
    bench.dispatch();
    for job in 0..ahead {
        let mut waits = assignment(10 + job, 1);
        waits.started = true;
        bench.accept_assignment(waits, "owner");
    }
    let out = bench.accept_assignment(Assignment { started, ..assignment(2, 1) }, "owner");
    assert_eq!(out.completions.first().map(|(_, completion)| completion.end), wanted);
}

cases! { gives_back:
    what_would_be_late_behind_the_line(6, false, Some(End::Overloaded));
    nothing_while_the_line_is_short(1, false, None);
    nothing_that_has_begun(6, true, None);
}

/// Runs of `jobs` jobs, of 50 ms each, stand still on one target for `ms`.
fn recalls(jobs: u32, ms: u64, wanted: usize) {
    let mut bench = Bench::new(1);
    for job in 1..=jobs {
        bench.accept(job, 2 / jobs, "owner");
    }
    let out = bench.dispatch();
    for call in out.calls.iter().filter(|call| started(call).is_some()) {
        bench.answer(call, Response::Accepted { clock_ms: 2 });
    }
    bench.now += Duration::from_millis(ms);
    let out = bench.tend();
    let stops = out.calls.iter().filter(|call| matches!(call.order, Order::Stop { .. }));
    assert_eq!(stops.count(), wanted);
}

cases! { recalls:
    what_hangs(2, 200, 2);
    nothing_that_may_just_be_long(2, 100, 0);
    nothing_of_one_job_whose_tasks_may_all_be_long(1, 200, 0);
    nothing_that_could_not_end_elsewhere_in_time(2, 1_490, 0);
}

/// A wave of callers leaves: their work is gone from the line and stopped at targets at once.
#[test]
fn a_cancelled_job_frees_its_room_at_once() {
    let mut bench = Bench::new(1);
    bench.accept(1, 4, "owner");
    let out = bench.dispatch();
    for call in out.calls.iter().filter(|call| matches!(call.order, Order::Start { .. })) {
        bench.answer(call, Response::Accepted { clock_ms: 2 });
    }
    let owner = Host::try_from("owner").unwrap();
    bench.steward.cancel(&owner, &Id::try_from(format!("{:016x}", 1)).unwrap(), 1);
    assert_eq!(bench.steward.queued(), 0);
    let stops =
        bench.tend().calls.into_iter().filter(|call| matches!(call.order, Order::Stop { .. }));
    assert_eq!(stops.count(), 2);
}

/// A caller's repeat comes through another owner while the first one's task still waits here.
#[test]
fn a_repeat_takes_the_place_of_the_first_send() {
    let mut bench = Bench::new(0);
    bench.accept(1, 1, "owner");
    let out = bench.accept(1, 1, "another");
    let ends: Vec<_> =
        out.completions.iter().map(|(owner, one)| (owner.to_string(), one.end)).collect();
    assert_eq!(ends, [("owner".to_owned(), End::Unresolved)]);
    assert_eq!(bench.steward.queued(), 1);
}

#[test]
fn a_draining_target_gets_nothing_new() {
    let mut bench = Bench::new(2);
    let mut entries: Vec<_> = bench.directory.iter().cloned().collect();
    entries[0].state = directory::State::Draining;
    bench.directory.replace(entries, bench.now);
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    bench.accept(1, 4, "owner");
    let out = bench.dispatch();
    assert_eq!(starts(&out), 2);
    let names: Vec<String> = out.calls.iter().map(|call| call.target.to_string()).collect();
    assert!(names.iter().all(|name| name == "t1"), "{names:?}");
}
