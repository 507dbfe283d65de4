//! Tests of this slice.

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
    RawValue::from_string(text.to_owned()).expect("JSON").into()
}

fn job(tasks: usize) -> Arc<Job> {
    let draft = Draft {
        team: "team".to_owned(),
        kind: "kind".to_owned(),
        deadline_ms: Some(1_000),
        tasks: vec![payload("1"); tasks],
    };
    Arc::new(draft.try_into().expect("the draft is whole"))
}

fn target() -> Target {
    Target::try_from("target").expect("a name")
}

fn ledger(limits: Limits) -> Registry {
    Registry::new(Zone::try_from("zone").expect("a name"), Incarnation(1), limits)
}

fn complete() -> Answer {
    Answer::Complete { outputs: vec![payload("\"0123456789\"")] }
}

/// Attempts of a job end so; the answer is this.
fn record_answers(rerun: bool, ends: &[(usize, End)], wanted: &str) {
    let now = Instant::now();
    let mut open = Open::new(job(2), DIGEST, rerun, now);
    let mut answer = "open".to_owned();
    for (task, end) in ends {
        assert!(open.try_start(*task, &target(), now), "it may start");
        assert!(!open.try_start(*task, &target(), now), "not twice at once");
        if let Transition::Finished(found) = open.end(*task, &target(), end.clone(), now, || true) {
            answer = serde_json::to_value(found).expect("it serializes")["outcome"].to_string();
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

cases! { record_answers:
    nothing_started(false, &[], "open");
    half_done(false, &[(0, output())], "open");
    whole(false, &[(0, output()), (1, output())], "complete");
    not_started_is_repeated(false, &[(0, End::NotStarted), (0, output())], "open");
    lost_is_final(false, &[(0, lost())], "failed");
    lost_may_be_repeated_if_allowed(true, &[(0, lost()), (0, output())], "open");
    reported_error_is_never_repeated(
        true,
        &[(0, End::Fault(Fault::Reported { detail: String::new() }))],
        "failed",
    );
}

/// A fault stops the job, says what became of each task, and no more of it starts.
#[test]
fn failed_job_tells_each_task() {
    let now = Instant::now();
    let mut open = Open::new(job(4), DIGEST, false, now);
    for task in 0..3 {
        assert!(open.try_start(task, &target(), now));
    }
    let never = || false;
    assert!(matches!(open.end(0, &target(), output(), now, never), Transition::Continue));
    assert!(matches!(open.end(1, &target(), lost(), now, never), Transition::Continue));
    assert!(!open.try_start(3, &target(), now), "a job that has failed starts no more");
    let verdict = open.end(2, &target(), output(), now, never);
    let Transition::Finished(Answer::Failed { tasks: census, .. }) = verdict else {
        panic!("it has failed: {verdict:?}");
    };
    assert_eq!((census.ran, census.may_have_run, census.not_run), (vec![0, 2], vec![1], vec![3]));
}

/// An identifier minted at the start stands so after `secs`, if a job came under it or not.
fn identifier_ages(used: bool, secs: u64, wanted: &str) {
    let start = Instant::now();
    let mut ledger = ledger(Limits::default());
    ledger.issue(1, start).expect("there is room");
    if used {
        ledger.open(0, Open::new(job(1), DIGEST, false, start));
        ledger.close(0, complete(), start);
    }
    let now = start + Duration::from_secs(secs);
    ledger.prune(now);
    let found = match ledger.lookup(0, Some(DIGEST)) {
        Lookup::Unused => "fresh",
        Lookup::Open => "open",
        Lookup::Answered(Answer::Complete { .. }) => "complete",
        Lookup::Answered(Answer::Unknown { cause: Uncertainty::TooOld }) => "too old",
        Lookup::Answered(_) => "another",
    };
    assert_eq!(found, wanted);
}

cases! { identifier_ages:
    unused_and_young(false, 299, "fresh");
    unused_and_old(false, 301, "too old");
    used_and_young(true, 299, "complete");
    used_and_old(true, 301, "too old");
}

/// Another job, or an identifier that was never given out.
fn strange_use(sequence: u64, digest: u128, wanted: &Refusal) {
    let now = Instant::now();
    let mut ledger = ledger(Limits::default());
    ledger.issue(1, now).expect("there is room");
    ledger.open(0, Open::new(job(1), DIGEST, false, now));
    let Lookup::Answered(Answer::NotRun { refusal }) = ledger.lookup(sequence, Some(digest)) else {
        panic!("it is refused");
    };
    assert_eq!(refusal, *wanted);
}

cases! { strange_use:
    another_job(0, DIGEST + 1, &Refusal::Mismatch);
    never_given_out(1, DIGEST, &Refusal::NeverIssued);
}

/// Answers beyond the bound are dropped, oldest first, and never come up as fresh.
#[test]
fn memory_of_answers_is_bounded() {
    let now = Instant::now();
    let limits = Limits { max_retained_bytes: 10_000, ..Limits::default() };
    let mut ledger = ledger(limits);
    ledger.issue(100, now).expect("there is room");
    for sequence in 0..100 {
        ledger.open(sequence, Open::new(job(1), DIGEST, false, now));
        ledger.close(sequence, complete(), now);
        ledger.prune(now);
        assert!(ledger.answered_bytes() <= 10_000);
    }
    let oldest = ledger.lookup(0, Some(DIGEST));
    assert!(matches!(oldest, Lookup::Answered(Answer::Unknown { cause: Uncertainty::TooOld })));
    let newest = ledger.lookup(99, Some(DIGEST));
    assert!(matches!(newest, Lookup::Answered(Answer::Complete { .. })));
}

/// Identifiers in use are bounded too.
#[test]
fn minting_is_bounded() {
    let now = Instant::now();
    let limits = Limits { max_live_identifiers: 10, ..Limits::default() };
    let mut ledger = ledger(limits);
    ledger.issue(10, now).expect("there is room");
    assert_eq!(ledger.issue(1, now), Err(Refusal::Full));
    let later = now + Duration::from_secs(301);
    ledger.prune(later);
    assert_eq!(ledger.issue(1, later).map(|ids| ids.len()), Ok(1));
}

/// A successor that has only some of the parts does not say that anything did not run.
fn parts_arrive(skip: Option<usize>, sequence: u64, wanted: &str) {
    let now = Instant::now();
    let mut owner = ledger(Limits::default());
    owner.issue(1_300, now).expect("there is room");
    for sequence in 0..1_200 {
        owner.open(sequence, Open::new(job(1), DIGEST, false, now));
        owner.close(sequence, complete(), now);
    }
    let parts = owner.chunks(now);
    assert!(parts.len() > 2, "they are several");
    let mut heir = ledger(Limits::default());
    for part in parts {
        if Some(part.number) != skip {
            heir.inherit(part.clone(), now);
            heir.inherit(part, now);
        }
    }
    let legacy = heir.inheritance(Incarnation(1)).expect("something arrived");
    assert_eq!(legacy.answer(sequence).outcome().to_string(), wanted);
}

cases! { parts_arrive:
    known_answer(None, 1_199, "complete");
    never_used(None, 1_250, "not_run");
    missing_part(Some(1), 600, "unknown");
    never_used_but_a_part_is_missing(Some(1), 1_250, "unknown");
}
