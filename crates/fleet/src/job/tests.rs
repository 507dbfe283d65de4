use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Service};
use coltsfootshunt_testkit::cases;

use super::{
    Bound, Classifier, Completion, End, Granted, Id, InvalidJob, Open, Outcome, Patience, Plan,
    Policy, Refusal, Registry, RequestId, Requirements, Reservation, Resources, Size, Step, Task,
};

fn id() -> Id {
    Id::try_from("0000000000000001").unwrap()
}

fn host() -> Host {
    Host::try_from("steward").unwrap()
}

fn step(count: u32, after: &[usize]) -> Step {
    let requirements = Requirements { estimate_ms: 100, ..Requirements::default() };
    Step { count, requirements, after: after.to_vec() }
}

fn open_job(steps: Vec<Step>, attempts: u32) -> Open {
    let now = Instant::now();
    let plan = Arc::new(Plan::new("work".into(), steps).unwrap());
    let service = Service::try_from("mill").unwrap();
    let policy = Policy { service, priority: 0, max_attempts: attempts };
    let later = now + Duration::from_secs(1);
    Open::new(
        Kind::try_from("cut").unwrap(),
        plan,
        policy,
        (now, later, later),
        Bound::Caller,
        Size::Usual,
    )
}

/// Sends all ready tasks to one steward and returns their number.
fn send(job: &mut Open) -> usize {
    let ready = job.ready();
    ready.iter().for_each(|task| job.mark_sent(task.position, host()));
    ready.len()
}

fn end(job: &mut Open, index: u32, run: u32, end: End) -> Option<Outcome> {
    let task = Task { job: id(), step: 0, index };
    let sequence = job.sequence(index);
    let completion = Completion { task, generation: job.generation, run, sequence, end };
    job.complete(&host(), &completion)
}

const LATE: Option<Outcome> =
    Some(Outcome::Refused { refusal: Refusal::TooLate, retry_after: Duration::from_secs(2) });

/// A job with one task for each of `ends`, and its outcome after the last one.
fn settles(ends: &[End], attempts: u32, wanted: Option<Outcome>) {
    let mut job = open_job(vec![step(u32::try_from(ends.len()).unwrap(), &[])], attempts);
    send(&mut job);
    let mut outcome = None;
    for (index, one) in (0..).zip(ends) {
        outcome = outcome.or(end(&mut job, index, 1, *one));
    }
    assert_eq!(outcome, wanted);
}

cases! { settles:
    completed_when_all_are_done(&[End::Done, End::Done], 1, Some(Outcome::Completed));
    undecided_while_one_is_to_run_again(&[End::Done, End::Lost], 1, None);
    undecided_while_attempts_are_left(&[End::Failed], 2, None);
    failed_with_the_last_attempt(&[End::Failed], 1, Some(Outcome::Failed));
    unknown_when_one_may_run_on(&[End::Done, End::Unresolved], 1, Some(Outcome::Unknown));
    refused_when_nothing_ran(&[End::TooLate, End::TooLate], 1, LATE);
    refused_when_nothing_ran_elsewhere(&[End::NotRun, End::TooLate], 1, LATE);
    undecided_when_some_ran_and_the_rest_is_late(&[End::Done, End::TooLate], 1, None);
    unknown_at_once_when_some_ran_and_the_rest_has_no_time(
        &[End::Done, End::OutOfTime], 1, Some(Outcome::Unknown));
    refused_when_nothing_ran_and_no_time_is_left(&[End::OutOfTime, End::OutOfTime], 1, LATE);
    undecided_when_an_overloaded_steward_returns_all_once(&[End::Overloaded, End::Overloaded], 1, None);
}

/// An overloaded steward returns all tasks of a job: the job is sent once more, then refused.
#[test]
fn a_job_that_is_returned_whole_is_sent_once_more() {
    let mut job = open_job(vec![step(2, &[])], 1);
    for wanted in [None, LATE] {
        assert_eq!(send(&mut job), 2);
        assert_eq!(end(&mut job, 0, 0, End::Overloaded), None);
        assert_eq!(end(&mut job, 1, 0, End::Overloaded), wanted);
    }
}

/// Two stewards at which a job is queued return it one after the other.
#[test]
fn a_job_is_refused_once_all_stewards_have_returned_it() {
    let mut job = open_job(vec![step(2, &[])], 1);
    let other = Host::try_from("other").unwrap();
    (0..2).for_each(|task| job.mark_shared(task, vec![host(), other.clone()]));
    for index in 0..2 {
        assert_eq!(end(&mut job, index, 0, End::Overloaded), None);
    }
    assert!(job.ready().is_empty(), "it is still queued at the other steward");
    for (index, wanted) in [(0, None), (1, LATE)] {
        let task = Task { job: id(), step: 0, index };
        let generation = job.generation;
        let completion = Completion { task, generation, run: 0, sequence: 1, end: End::Overloaded };
        assert_eq!(job.complete(&other, &completion), wanted);
    }
}

fn granted(index: u32, other_stewards: &[&str]) -> Option<Granted> {
    let other_stewards = other_stewards.iter().map(|name| Host::try_from(*name).unwrap()).collect();
    Some(Granted { step: 0, index, run: 1, sequence: 1, other_stewards })
}

/// Two stewards request the same shared task: each is granted a task, and no task is granted twice.
#[test]
fn a_task_is_granted_to_one_steward_only() {
    let mut job = open_job(vec![step(2, &[])], 1);
    let other = Host::try_from("other").unwrap();
    (0..2).for_each(|task| job.mark_shared(task, vec![host(), other.clone()]));
    let task = Task { job: id(), step: 0, index: 0 };
    let task = Reservation { task, generation: job.generation, sequence: 1 };
    assert!(!job.may_have_started && !job.is_in_progress());
    assert_eq!(job.grant(&host(), &task), granted(0, &["other"]));
    assert_eq!(job.grant(&other, &task), granted(1, &["steward"]), "another task of the same step");
    assert_eq!(job.grant(&host(), &task), None);
    assert!(job.may_have_started && job.is_in_progress() && job.is_assigned_to(&other));
}

/// A steward is lost. Tasks that are also queued elsewhere stay queued, and the rest can be sent
/// again.
#[test]
fn shared_tasks_of_a_lost_steward_are_not_lost() {
    let mut job = open_job(vec![step(2, &[])], 1);
    let other = Host::try_from("other").unwrap();
    job.mark_shared(0, vec![host(), other.clone()]);
    job.mark_shared(1, vec![host()]);
    assert!(job.is_shared_with(&host()) && !job.is_assigned_to(&host()));
    job.remove_steward(&host());
    assert_eq!(job.ready().iter().map(|one| one.index).collect::<Vec<_>>(), [1]);
    assert_eq!(job.stewards(), [other]);
}

/// A steward returns a task for an earlier message while a later message has handed out the task
/// again. The stale completion and the stale grant request must be ignored.
#[test]
fn completions_for_an_earlier_message_are_ignored() {
    let mut job = open_job(vec![step(1, &[])], 1);
    let other = Host::try_from("other").unwrap();
    job.mark_shared(0, vec![host()]);
    assert_eq!(end(&mut job, 0, 0, End::NotRun), None);
    job.mark_shared(0, vec![host(), other.clone()]);
    let task = Task { job: id(), step: 0, index: 0 };
    let reservation = Reservation { task: task.clone(), generation: job.generation, sequence: 2 };
    assert!(job.grant(&host(), &reservation).is_some());
    let completion =
        Completion { task, generation: job.generation, run: 0, sequence: 1, end: End::NotRun };
    assert_eq!(job.complete(&host(), &completion), None);
    assert!(job.is_assigned_to(&host()) && job.ready().is_empty());
    let stale = Reservation { sequence: 1, ..reservation };
    assert_eq!(job.grant(&other, &stale), None);
}

/// Once a steward has no fast target for a task, the task is queued at several stewards, whatever
/// load the owner assumes.
#[test]
fn a_task_that_needs_a_fast_target_must_be_shared() {
    let mut job = open_job(vec![step(1, &[])], 1);
    send(&mut job);
    assert!(!job.must_share);
    assert_eq!(end(&mut job, 0, 0, End::NoFastTarget), None);
    assert!(job.must_share && job.ready().len() == 1);
}

/// One of two stewards returns its task, which goes on as part of a started job.
#[test]
fn a_returned_task_goes_on_with_the_rest() {
    let mut job = open_job(vec![step(2, &[])], 1);
    let other = Host::try_from("other").unwrap();
    job.mark_sent(0, host());
    job.mark_sent(1, other);
    assert_eq!(end(&mut job, 0, 0, End::Overloaded), None);
    assert!(job.committed);
    assert_eq!(job.ready().iter().map(|one| one.index).collect::<Vec<_>>(), [0]);
}

/// An overloaded steward returns several tasks while another steward has the rest. All of them can
/// be sent again at once.
#[test]
fn all_returned_tasks_go_on_with_the_rest() {
    let mut job = open_job(vec![step(3, &[])], 1);
    let other = Host::try_from("other").unwrap();
    job.mark_sent(0, host());
    job.mark_sent(1, host());
    job.mark_sent(2, other);
    for index in 0..2 {
        assert_eq!(end(&mut job, index, 0, End::Overloaded), None);
    }
    assert_eq!(job.ready().iter().map(|one| one.index).collect::<Vec<_>>(), [0, 1]);
}

/// One of two stewards can't end its task in time. The task can be sent elsewhere at once, not only
/// after the rest has ended.
#[test]
fn a_task_that_one_steward_cannot_end_in_time_is_ready_at_once() {
    let mut job = open_job(vec![step(2, &[])], 1);
    let other = Host::try_from("other").unwrap();
    job.mark_sent(0, host());
    job.mark_sent(1, other.clone());
    assert_eq!(end(&mut job, 0, 0, End::OutOfTime), None);
    assert_eq!(job.ready().iter().map(|one| one.index).collect::<Vec<_>>(), [0]);
    assert!(job.has_declined(&host()) && !job.has_declined(&other));
}

/// Run numbers rise with each attempt, also after lost ones.
#[test]
fn a_task_that_is_sent_again_has_a_higher_run_number() {
    let mut job = open_job(vec![step(1, &[])], 3);
    for run in 1..4 {
        assert_eq!(job.ready()[0].run, run);
        send(&mut job);
        assert_eq!(end(&mut job, 0, run, End::Lost), None);
    }
}

#[test]
fn a_step_waits_for_those_it_depends_on() {
    let mut job = open_job(vec![step(2, &[]), step(3, &[0])], 1);
    assert_eq!(send(&mut job), 2);
    end(&mut job, 0, 1, End::Done);
    assert_eq!(send(&mut job), 0);
    end(&mut job, 1, 1, End::Done);
    assert_eq!(send(&mut job), 3);
}

#[test]
fn completions_from_elsewhere_or_of_another_generation_are_ignored() {
    let mut job = open_job(vec![step(1, &[])], 1);
    send(&mut job);
    let task = Task { job: id(), step: 0, index: 0 };
    let done = Completion { task, generation: job.generation, run: 1, sequence: 1, end: End::Done };
    assert_eq!(job.complete(&Host::try_from("other").unwrap(), &done), None);
    assert_eq!(
        job.complete(&host(), &Completion { generation: job.generation + 1, ..done.clone() }),
        None
    );
    assert_eq!(job.complete(&host(), &done), Some(Outcome::Completed));
}

fn keeps(outcome: Outcome, after_s: u64, wanted: Option<Outcome>) {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.open(id(), RequestId(1), open_job(vec![step(1, &[])], 1));
    assert!(registry.attach(&id(), RequestId(2)));
    let (_, request_ids) = registry.close(&id(), Some(outcome), now).unwrap();
    assert_eq!(request_ids, [RequestId(1), RequestId(2)]);
    registry.expire(now + Duration::from_secs(after_s));
    assert_eq!(registry.outcome(&id()), wanted);
}

cases! { keeps:
    an_answer_for_repeats(Outcome::Completed, 5, Some(Outcome::Completed));
    an_answer_for_a_while(Outcome::Completed, 31, None);
    no_unknown_outcome(Outcome::Unknown, 0, None);
}

fn checked(steps: Vec<Step>, wanted: Option<&InvalidJob>) {
    assert_eq!(Plan::new("".into(), steps).err().as_ref(), wanted);
}

cases! { checked:
    a_plan(vec![step(2, &[]), step(1, &[0])], None);
    no_steps(Vec::new(), Some(&InvalidJob::Empty));
    a_step_without_tasks(vec![step(0, &[])], Some(&InvalidJob::Empty));
    too_many_tasks(vec![step(1_001, &[])], Some(&InvalidJob::TooWide));
    a_step_after_itself(vec![step(1, &[0])], Some(&InvalidJob::Order { step: 0 }));
}

fn identifiers(text: &str, valid: bool) {
    assert_eq!(Id::try_from(text).is_ok(), valid);
}

cases! { identifiers:
    sixteen_digits("5c0e7a21d94b36f8", true);
    fewer("5c0e7a21", false);
    other_characters("5c0e7a21d94b36fg", false);
}

/// A job is not given up because its task came back from queues many times without running.
#[test]
fn only_attempts_count_as_tries() {
    let mut job = open_job(vec![step(1, &[])], 1);
    for _ in 0..50 {
        send(&mut job);
        assert_eq!(end(&mut job, 0, 0, End::NotRun), None);
    }
    assert_eq!(job.ready()[0].run, 1);
}

fn classifies(widths: &[u32], wanted: Size) {
    let kind = Kind::try_from("cut").unwrap();
    let requirements = Requirements { estimate_ms: 100, ..Requirements::default() };
    let requirements = Requirements {
        resources: Resources { cpu_millis: 1_000, ..Resources::default() },
        ..requirements
    };
    let step = |count| Step { count, requirements: requirements.clone(), after: Vec::new() };
    let mut classifier = Classifier::default();
    let sizes = widths.iter().map(|width| {
        let plan = Plan::new("work".into(), vec![step(*width)]).unwrap();
        classifier.classify(&kind, &plan)
    });
    assert_eq!(sizes.last(), Some(wanted));
}

cases! { classifies:
    the_first_job_as_usual(&[9], Size::Usual);
    a_job_like_the_others_as_usual(&[4, 4, 5], Size::Usual);
    a_job_of_twice_the_usual_work_as_large(&[4, 4, 9], Size::Large);
}

/// Guards against the route's timeout in place of a longer one of the caller, and against a request that waits
/// for earlier runs and then gets its time anew.
fn limits(stated_ms: Option<u64>, elapsed_ms: u64, expected: (Bound, u64)) {
    let ms = Duration::from_millis;
    let patience = stated_ms.map_or_else(Patience::default, |stated| Patience::from(ms(stated)));
    let patience = patience.after(ms(elapsed_ms / 2)).after(ms(elapsed_ms - elapsed_ms / 2));
    let (bound, left) = expected;
    assert_eq!(patience.limit(ms(1_500)), (bound, ms(left)));
}

cases! { limits:
    to_the_route_without_a_statement(None, 0, (Bound::Route, 1_500));
    to_a_shorter_statement(Some(800), 0, (Bound::Caller, 800));
    to_a_longer_statement(Some(4_000), 0, (Bound::Caller, 4_000));
    to_the_rest_of_the_statement(Some(4_000), 1_001, (Bound::Caller, 2_999));
    to_the_rest_of_the_route(None, 1_001, (Bound::Route, 499));
    to_nothing_when_the_time_is_over(Some(800), 900, (Bound::Caller, 0));
}
