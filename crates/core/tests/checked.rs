//! Validation of the core types, and round trips through their text and JSON forms.

use coltsfootshunt_core::answer::{Answer, Breakdown, Failure, Fault, Refusal, Uncertainty};
use coltsfootshunt_core::config::{Config, Document, Draft, Error, Revision};
use coltsfootshunt_core::job::{self, Job};
use coltsfootshunt_core::name::{self, Team};
use coltsfootshunt_core::submission::{self, Id};
use coltsfootshunt_testkit::cases;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use serde_json::json;
use uuid::Uuid;

fn validates_name(text: &str, expected: &Result<(), name::Error>) {
    assert_eq!(Team::try_from(text).map(|_| ()), *expected);
}

cases! { validates_name:
    plain("stand-hold_2.1", &Ok(()));
    empty("", &Err(name::Error::Empty));
    space("a b", &Err(name::Error::Character { found: ' ' }));
    tilde("a~b", &Err(name::Error::Character { found: '~' }));
    too_long(&"x".repeat(65), &Err(name::Error::TooLong { length: 65 }));
}

fn rejects_identifier(text: &str, expected: &submission::Error) {
    assert_eq!(Id::try_from(text).as_ref(), Err(expected));
}

cases! { rejects_identifier:
    no_parts("riga", &submission::Error::Parts);
    too_many_parts("riga~0123456789abcdef~1~2", &submission::Error::Parts);
    short_incarnation("riga~12~1", &submission::Error::Incarnation);
    upper_case("riga~0123456789ABCDEF~1", &submission::Error::Incarnation);
    no_sequence("riga~0123456789abcdef~", &submission::Error::Sequence);
    sign("riga~0123456789abcdef~+1", &submission::Error::Sequence);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An identifier parsed from its text form has the same parts and formats as the same text.
    #[test]
    fn identifier_round_trips_as_text(zone in "[a-z]{1,9}", owner: u64, sequence: u64) {
        let text = format!("{zone}~{owner:016x}~{sequence:x}");
        let id = Id::try_from(text.as_str()).expect("the text has the form of an identifier");
        prop_assert_eq!(id.to_string(), text);
        prop_assert_eq!((id.owner.0, id.sequence), (owner, sequence));
    }

    /// Arbitrary text parses or fails with an error, without a panic.
    #[test]
    fn arbitrary_text_does_not_panic(text in ".{0,80}") {
        if let Ok(id) = Id::try_from(text.as_str()) {
            prop_assert_eq!(id.to_string(), text.as_str());
        }
        let _ = serde_json::from_str::<job::Draft>(&text);
        let _ = serde_json::from_str::<Answer>(&text);
    }
}

fn draft(deadline_ms: Option<u64>, tasks: usize) -> job::Draft {
    let value = json!({
        "team": "team", "kind": "kind", "deadline_ms": deadline_ms, "tasks": vec![1; tasks],
    });
    serde_json::from_str(&value.to_string()).expect("the JSON decodes as a draft")
}

fn rejects_job(deadline_ms: Option<u64>, tasks: usize, expected: &job::Error) {
    assert_eq!(Job::try_from(draft(deadline_ms, tasks)).map(|_| ()).as_ref(), Err(expected));
}

cases! { rejects_job:
    no_deadline(None, 1, &job::Error::NoDeadline);
    deadline_of_zero(Some(0), 1, &job::Error::NoDeadline);
    deadline_too_far(Some(3_600_001), 1, &job::Error::DeadlineTooFar);
    no_tasks(Some(1), 0, &job::Error::NoTasks);
    too_many_tasks(Some(1), 1_001, &job::Error::TooManyTasks { count: 1_001 });
}

/// Equal jobs have equal digests. Jobs that differ in any field have different ones.
#[test]
fn digest_distinguishes_jobs() {
    let digest = |draft| Job::try_from(draft).expect("the draft is valid").digest();
    let one = digest(draft(Some(1_000), 2));
    assert_eq!(one, digest(draft(Some(1_000), 2)));
    assert_ne!(one, digest(draft(Some(1_001), 2)));
    assert_ne!(one, digest(draft(Some(1_000), 3)));
}

/// The JSON form of an answer contains its outcome and decodes to the same answer.
fn answer_round_trips(answer: &Answer, outcome: &str) {
    let text = serde_json::to_string(answer).expect("an answer serializes");
    assert!(text.contains(&format!("\"outcome\":\"{outcome}\"")), "{text}");
    let back: Answer = serde_json::from_str(&text).expect("the JSON of an answer decodes");
    assert_eq!(serde_json::to_string(&back).expect("an answer serializes"), text);
}

cases! { answer_round_trips:
    complete(&Answer::Complete { outputs: draft(Some(1), 2).tasks }, "complete");
    failed(
        &Answer::Failed {
            failure: Failure::Task { task: 0, fault: Fault::Lost },
            tasks: Breakdown { may_have_run: vec![0], ..Breakdown::default() },
        },
        "failed",
    );
    not_run(&Refusal::Late { predicted_ms: 7 }.into(), "not_run");
    unknown(&Uncertainty::OwnerGone.into(), "unknown");
}

/// An invalid configuration is rejected, and the error message contains the path of the field.
fn rejects_configuration(path: &str, value: &serde_json::Value, message: &str) {
    let mut document = json!({
        "teams": [{ "name": "team", "share": 1 }],
        "kinds": [{ "name": "kind", "idempotent": false, "expected_ms": 50 }],
        "targets": [
            { "name": "target", "zone": "zone", "address": "127.0.0.1:1", "slots": 8 },
            { "name": "other", "zone": "zone", "address": "127.0.0.1:2", "slots": 8 },
        ],
    });
    *document.pointer_mut(path).expect("the path exists in the document") = value.clone();
    let draft: Draft = serde_json::from_value(document).expect("the JSON decodes as a draft");
    let error: Error = Config::try_from(draft).expect_err("the configuration is invalid");
    assert_eq!(error.to_string(), message);
}

cases! { rejects_configuration:
    no_share("/teams/0/share", &json!(0), "teams[0].share must be at least 1");
    bad_name("/kinds/0/name", &json!(""), "kinds[0].name: a name must not be empty");
    duplicate("/targets/1/name", &json!("target"), "targets[1].name: target appears twice");
    slots("/targets/0/slots", &json!(65), "targets[0].slots must be from 1 to connections");
    rerun(
        "/kinds/0",
        &json!({ "name": "k", "idempotent": false, "expected_ms": 1, "rerun_lost": true }),
        "kinds[0].rerun_lost needs an idempotent kind",
    );
}

/// A document finds the revision of a writer until its history drops that version.
#[test]
fn document_keeps_bounded_history() {
    let writers: Vec<_> = (0..40).map(Uuid::from_u128).collect();
    let mut document: Option<Document> = None;
    for writer in &writers {
        document = Some(Document::after(document.as_ref(), *writer, Config::default()));
    }
    let document = document.expect("a document was written");
    assert_eq!(document.version.revision, Revision(40));
    assert_eq!(document.written_by(writers[39]), Some(Revision(40)));
    assert_eq!(document.written_by(writers[20]), Some(Revision(21)));
    assert_eq!(document.written_by(writers[0]), None, "dropped from the history");
}
