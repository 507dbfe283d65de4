//! Tests of submissions, their registry and the handover.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Fault, Refusal, Uncertainty};
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_core::name::{Target, Zone};
use coltsfootshunt_core::submission::Incarnation;
use coltsfootshunt_testkit::cases;
use serde_json::value::RawValue;

use super::{End, Limits, Lookup, Open, Registry, Transition};

const DIGEST: u128 = 7;

fn payload(text: &str) -> Arc<RawValue> {
    RawValue::from_string(text.to_owned()).expect("valid JSON").into()
}

fn job(tasks: usize) -> Arc<Job> {
    let draft = Draft {
        team: "team".to_owned(),
        kind: "kind".to_owned(),
        deadline_ms: Some(1_000),
        tasks: vec![payload("1"); tasks],
    };
    Arc::new(draft.try_into().expect("valid job"))
}

fn target() -> Target {
    Target::try_from("target").expect("valid name")
}

fn registry(limits: Limits) -> Registry {
    Registry::new(Zone::try_from("zone").expect("valid name"), Incarnation(1), limits)
}

fn complete() -> Answer {
    Answer::Complete { outputs: vec![payload("\"0123456789\"")] }
}

/// Starts and ends attempts at the tasks of a job with two tasks. `wanted` is the outcome of the
/// answer, or "open" if there is none.
fn ends_lead_to_answer(rerun_lost: bool, ends: &[(usize, End)], wanted: &str) {
    let now = Instant::now();
    let mut open = Open::new(job(2), DIGEST, rerun_lost, now);
    let mut answer = "open".to_owned();
    for (task, end) in ends {
        assert!(open.try_start(*task, &target(), now), "a waiting task starts");
        assert!(!open.try_start(*task, &target(), now), "a sent task does not start again");
        if let Transition::Finished(finished) =
            open.end(*task, &target(), end.clone(), now, || true)
        {
            answer =
                serde_json::to_value(finished).expect("`Answer` serializes")["outcome"].to_string();
        }
    }
    assert_eq!(answer.trim_matches('"'), wanted);
}

fn output() -> End {
    End::Output(payload("2"))
}

fn lost() -> End {
    End::Fault(Fault::Lost)
}

cases! { ends_lead_to_answer:
    nothing_started(false, &[], "open");
    one_of_two_tasks_done(false, &[(0, output())], "open");
    all_tasks_done(false, &[(0, output()), (1, output())], "complete");
    task_that_did_not_start_is_retried(false, &[(0, End::NotStarted), (0, output())], "open");
    lost_task_fails_the_job(false, &[(0, lost())], "failed");
    lost_task_is_rerun_if_the_kind_allows(true, &[(0, lost()), (0, output())], "open");
    task_that_is_lost_on_each_target_is_given_up(
        true,
        &[(0, lost()), (0, lost()), (1, lost()), (0, lost())],
        "failed",
    );
    reported_error_is_not_retried(
        true,
        &[(0, End::Fault(Fault::Reported { detail: String::new() }))],
        "failed",
    );
}

/// After a fault no more tasks of the job start, and the answer lists each task by what happened to
/// it.
#[test]
fn failed_job_reports_each_task() {
    let now = Instant::now();
    let mut open = Open::new(job(4), DIGEST, false, now);
    for task in 0..3 {
        assert!(open.try_start(task, &target(), now));
    }
    let no_retry = || false;
    assert!(matches!(open.end(0, &target(), output(), now, no_retry), Transition::Continue));
    assert!(matches!(open.end(1, &target(), lost(), now, no_retry), Transition::Continue));
    assert!(!open.try_start(3, &target(), now), "no task of a failed job starts");
    let transition = open.end(2, &target(), output(), now, no_retry);
    let Transition::Finished(Answer::Failed { tasks: breakdown, .. }) = transition else {
        panic!("the job has not failed: {transition:?}");
    };
    assert_eq!(
        (breakdown.ran, breakdown.may_have_run, breakdown.not_run),
        (vec![0, 2], vec![1], vec![3])
    );
}

/// Looks up an identifier `secs` after it was issued. `used` says whether a job was submitted and
/// answered under it at once.
fn identifier_expires(used: bool, secs: u64, wanted: &str) {
    let start = Instant::now();
    let mut registry = registry(Limits::default());
    registry.issue(1, start).expect("below the limit");
    if used {
        registry.open(0, Open::new(job(1), DIGEST, false, start));
        registry.close(0, complete(), start);
    }
    let now = start + Duration::from_secs(secs);
    registry.prune(now);
    let state = match registry.lookup(0, Some(DIGEST)) {
        Lookup::Unused => "fresh",
        Lookup::Open => "open",
        Lookup::Answered(Answer::Complete { .. }) => "complete",
        Lookup::Answered(Answer::Unknown { cause: Uncertainty::TooOld }) => "too old",
        Lookup::Answered(_) => "another",
    };
    assert_eq!(state, wanted);
}

cases! { identifier_expires:
    unused_and_young(false, 299, "fresh");
    unused_and_old(false, 301, "too old");
    used_and_young(true, 299, "complete");
    used_and_old(true, 301, "too old");
}

/// Submits a job with `digest` under `sequence`, where only sequence 0 was issued and is used by a
/// job with [`DIGEST`].
fn invalid_submission_is_refused(sequence: u64, digest: u128, wanted: &Refusal) {
    let now = Instant::now();
    let mut registry = registry(Limits::default());
    registry.issue(1, now).expect("below the limit");
    registry.open(0, Open::new(job(1), DIGEST, false, now));
    let Lookup::Answered(Answer::NotRun { refusal }) = registry.lookup(sequence, Some(digest))
    else {
        panic!("the submission was not refused");
    };
    assert_eq!(refusal, *wanted);
}

cases! { invalid_submission_is_refused:
    another_job(0, DIGEST + 1, &Refusal::Mismatch);
    never_issued(1, DIGEST, &Refusal::NeverIssued);
}

/// Answers beyond the bound are dropped, oldest first. Their identifiers must not become usable
/// again.
#[test]
fn retained_bytes_are_bounded() {
    let now = Instant::now();
    let limits = Limits { max_retained_bytes: 10_000, ..Limits::default() };
    let mut registry = registry(limits);
    registry.issue(100, now).expect("below the limit");
    for sequence in 0..100 {
        registry.open(sequence, Open::new(job(1), DIGEST, false, now));
        registry.close(sequence, complete(), now);
        registry.prune(now);
        assert!(registry.answered_bytes() <= 10_000);
    }
    let oldest = registry.lookup(0, Some(DIGEST));
    assert!(matches!(oldest, Lookup::Answered(Answer::Unknown { cause: Uncertainty::TooOld })));
    let newest = registry.lookup(99, Some(DIGEST));
    assert!(matches!(newest, Lookup::Answered(Answer::Complete { .. })));
}

/// No more identifiers are issued than may be valid at once.
#[test]
fn live_identifiers_are_bounded() {
    let now = Instant::now();
    let limits = Limits { max_live_identifiers: 10, ..Limits::default() };
    let mut registry = registry(limits);
    registry.issue(10, now).expect("below the limit");
    assert_eq!(registry.issue(1, now), Err(Refusal::Full));
    let later = now + Duration::from_secs(301);
    registry.prune(later);
    assert_eq!(registry.issue(1, later).map(|ids| ids.len()), Ok(1));
}

/// Hands records over in several chunks and sends each of them twice, but chunk `skip` not at all.
/// While a chunk is missing, the successor must not report a submission without a record as not
/// run.
fn successor_answers(skip: Option<usize>, sequence: u64, wanted: &str) {
    let now = Instant::now();
    let mut owner = registry(Limits::default());
    owner.issue(1_300, now).expect("below the limit");
    for sequence in 0..1_200 {
        owner.open(sequence, Open::new(job(1), DIGEST, false, now));
        owner.close(sequence, complete(), now);
    }
    let chunks = owner.chunks(now);
    assert!(chunks.len() > 2, "the records need several chunks");
    let mut successor = registry(Limits::default());
    for (number, chunk) in chunks.into_iter().enumerate() {
        if Some(number) != skip {
            successor.inherit(chunk.clone(), now);
            successor.inherit(chunk, now);
        }
    }
    let inheritance = successor.inheritance(Incarnation(1)).expect("at least one chunk arrived");
    assert_eq!(inheritance.answer(sequence).outcome().to_string(), wanted);
}

cases! { successor_answers:
    known_answer(None, 1_199, "complete");
    never_used(None, 1_250, "not_run");
    record_in_the_missing_chunk(Some(1), 600, "unknown");
    never_used_but_a_chunk_is_missing(Some(1), 1_250, "unknown");
}

/// Guards against "not run" for a job that ran: the owner repeats a handover after a lost call, and
/// the records that have expired in between shift the bounds of its chunks. The first chunk of the
/// first attempt arrives, and all of the second.
fn successor_answers_after_a_repeated_handover(expired: usize, sequence: u64, wanted: &str) {
    let start = Instant::now();
    let later = start + Duration::from_secs(200);
    let mut owner = registry(Limits::default());
    for (count, at) in [(expired, start), (1_200 - expired, later)] {
        for id in owner.issue(count, at).expect("below the limit") {
            owner.open(id.sequence, Open::new(job(1), DIGEST, false, at));
            owner.close(id.sequence, complete(), at);
        }
    }
    let mut successor = registry(Limits::default());
    let first_attempt = start + Duration::from_secs(299);
    let chunks = owner.chunks(first_attempt);
    successor.inherit(chunks[0].clone(), first_attempt);
    let second_attempt = start + Duration::from_secs(301);
    owner.prune(second_attempt);
    for chunk in owner.chunks(second_attempt) {
        successor.inherit(chunk, second_attempt);
    }
    let inheritance = successor.inheritance(Incarnation(1)).expect("at least one chunk arrived");
    assert_eq!(inheritance.answer(sequence).outcome().to_string(), wanted);
}

cases! { successor_answers_after_a_repeated_handover:
    record_between_the_shifted_chunks(100, 550, "complete");
    record_after_them(100, 1_150, "complete");
    record_that_expired_before_it_arrived(700, 600, "unknown");
}
