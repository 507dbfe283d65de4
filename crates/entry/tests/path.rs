//! Jobs from a caller through entries as separate processes to targets and back.

mod common;

use coltsfootshunt_core::answer::{Answer, Outcome, Refusal};
use coltsfootshunt_http::Method;
use coltsfootshunt_testkit::{Cluster, Entry, job};
use common::put_in_force;
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// Starts two zones with one entry each.
async fn two_zones() -> (Cluster, Entry, Entry) {
    let cluster = Cluster::start(PROGRAM, FOLDER, 4).await;
    put_in_force(&cluster, &["north", "south"]).await;
    let north = cluster.start_entry("north-1", "north", &json!({}));
    let south = cluster.start_entry("south-1", "south", &json!({}));
    cluster.wait_until_ready(&[&north, &south]).await;
    (cluster, north, south)
}

async fn issue(cluster: &Cluster, entry: &Entry) -> String {
    let (_, body) = cluster
        .send(Method::POST, entry.callers, "/v1/identifiers", r#"{"count":1}"#)
        .await
        .expect("the entry responds");
    body["identifiers"][0].as_str().expect("the entry issues an identifier").to_owned()
}

#[tokio::test]
async fn a_job_submitted_through_another_entry_completes() {
    let (cluster, north, south) = two_zones().await;
    let id = issue(&cluster, &north).await;
    let path = format!("/v1/submissions/{id}");
    let tasks: Vec<_> = (0..40).map(|number| json!({ "ms": 5, "number": number })).collect();
    let body = json!({ "team": "team", "kind": "once", "deadline_ms": 20_000, "tasks": tasks });
    let first = cluster.send(Method::PUT, south.callers, &path, &body.to_string()).await;
    let (status, answer) = first.expect("the entry responds");
    assert_eq!((status, &answer["outcome"]), (200, &json!("complete")));
    assert_eq!(answer["outputs"], Value::Array(tasks), "each task's own output, in order");
    let repeated = cluster.send(Method::PUT, north.callers, &path, &body.to_string()).await;
    assert_eq!(repeated, Some((200, answer)), "a repeated submission gets the same answer");
    assert_eq!(cluster.max_starts(), (1, 40), "each task starts once");
    let trace = cluster.send(Method::GET, south.callers, &format!("{path}/course"), "").await;
    let steps = trace.expect("the entry responds").1["steps"].as_array().map(Vec::len);
    assert!(steps.is_some_and(|steps| steps > 3), "the trace has the steps of the submission");
}

#[tokio::test]
async fn concurrent_submissions_under_one_identifier_run_once() {
    let (cluster, north, south) = two_zones().await;
    let id = issue(&cluster, &north).await;
    let path = format!("/v1/submissions/{id}");
    let body = json!({
        "team": "team", "kind": "once", "deadline_ms": 20_000,
        "tasks": [{ "ms": 200 }, { "ms": 200 }, { "ms": 200 }],
    });
    let body = body.to_string();
    let copy = |entry: &Entry| cluster.send(Method::PUT, entry.callers, &path, &body);
    let copies = [&north, &south, &north, &south, &south, &north].map(copy);
    let [a, b, c, d, e, f] = copies;
    let (a, b, c, d, e, f) = tokio::join!(a, b, c, d, e, f);
    let answers = [a, b, c, d, e, f];
    assert!(answers.iter().all(|answer| *answer == answers[0]), "all get the same answer");
    assert_eq!(answers[0].as_ref().map(|(status, _)| *status), Some(200));
    assert_eq!(cluster.max_starts(), (1, 3));
}

/// Requests that can't run are refused with the right status and reason, and nothing runs.
#[tokio::test]
async fn invalid_requests_are_refused_with_their_reason() {
    let (cluster, north, _south) = two_zones().await;
    let job = |team: &str, kind: &str, tasks: usize| {
        json!({
            "team": team, "kind": kind, "deadline_ms": 5_000,
            "tasks": vec![json!({ "ms": 1 }); tasks],
        })
        .to_string()
    };
    let no_deadline = r#"{"team":"team","kind":"plain","tasks":[1]}"#.to_owned();
    let huge = format!(
        r#"{{"team":"team","kind":"plain","deadline_ms":1000,"tasks":["{}"]}}"#,
        "x".repeat(5 << 20)
    );
    let requests = [
        ("unknown kind", job("team", "none", 1), 422, "unknown_kind"),
        ("unknown team", job("none", "plain", 1), 422, "unknown_team"),
        ("no target", job("team", "huge", 1), 422, "no_target"),
        ("no tasks", job("team", "plain", 0), 400, "malformed"),
        ("too many tasks", job("team", "plain", 1_001), 400, "malformed"),
        ("no deadline", no_deadline, 400, "malformed"),
        ("not JSON", "{".to_owned(), 400, "malformed"),
        ("oversized body", huge, 413, "body_too_large"),
    ];
    for (name, body, status, reason) in requests {
        let id = issue(&cluster, &north).await;
        let path = format!("/v1/submissions/{id}");
        let reply = cluster.send(Method::PUT, north.callers, &path, &body).await;
        let (found, answer) = reply.unwrap_or_else(|| panic!("{name}: no response"));
        assert_eq!(found, status, "{name}: {answer}");
        assert_eq!(answer["outcome"], "not_run", "{name}");
        let refusal = &answer["refusal"];
        let has_reason = refusal == reason || refusal.get(reason).is_some();
        assert!(has_reason, "{name}: {refusal}");
    }
    let invalid_id = cluster.send(Method::GET, north.callers, "/v1/submissions/nonsense", "").await;
    assert_eq!(invalid_id.expect("the entry responds").0, 400);
    assert_eq!(cluster.max_starts().1, 0, "nothing ran");
}

#[tokio::test]
async fn faults_of_targets_fail_the_job_and_are_reported() {
    let (cluster, north, south) = two_zones().await;
    let ends = [
        ("fail", "reported", "ran"),
        ("cut", "lost", "may_have_run"),
        ("crossed", "crossed", "may_have_run"),
        ("garbled", "garbled", "may_have_run"),
        ("oversized", "oversized", "may_have_run"),
        ("hang", "", "may_have_run"),
    ];
    for (end, fault, breakdown) in ends {
        let id = issue(&cluster, &north).await;
        let path = format!("/v1/submissions/{id}");
        let body = json!({
            "team": "team", "kind": "once", "deadline_ms": 1_500,
            "tasks": [{ "ms": 1, "end": end }],
        });
        let reply = cluster.send(Method::PUT, south.callers, &path, &body.to_string()).await;
        let (status, answer) = reply.expect("the entry responds");
        assert_eq!(status, 500, "{end}: {answer}");
        assert_eq!(answer["outcome"], "failed", "{end}");
        assert_eq!(answer["tasks"][breakdown], json!([0]), "{end}: {answer}");
        let reported = answer["failure"]["task"]["fault"].clone();
        assert!(
            fault.is_empty() || reported == fault || reported.get(fault).is_some(),
            "{end}: {reported}"
        );
    }
    assert_eq!(cluster.max_starts().0, 1, "no task is retried");
}

#[tokio::test]
async fn the_caller_library_submits_queries_and_cancels() {
    let (cluster, north, south) = two_zones().await;
    let caller = cluster.caller(&[&north, &south]);
    let (id, answer) = caller.submit(&job("plain", 10, 5, 20_000)).await.expect("an entry answers");
    assert_eq!(answer.outcome(), Outcome::Complete);
    let wait = std::time::Duration::from_secs(5);
    let queried = caller.answer(&id, wait).await.expect("an entry answers");
    assert_eq!(queried.outcome(), Outcome::Complete);
    let identifier = caller.take_identifier().await.expect("the entry issues an identifier");
    let cancelled = caller.cancel(&identifier.id, wait).await.expect("an entry answers");
    assert!(matches!(cancelled, Answer::NotRun { refusal: Refusal::Cancelled }));
    let late = caller
        .submit_under(&identifier, &job("plain", 1, 5, 20_000))
        .await
        .expect("an entry answers");
    assert!(
        matches!(late, Answer::NotRun { refusal: Refusal::Cancelled }),
        "the identifier stays cancelled"
    );
    assert_eq!(cluster.max_starts(), (1, 10));
}

#[tokio::test]
async fn a_short_wait_through_another_entry_is_pending_and_not_unknown() {
    let (cluster, north, south) = two_zones().await;
    let id = issue(&cluster, &north).await;
    let path = format!("/v1/submissions/{id}");
    let body = json!({
        "team": "team", "kind": "once", "deadline_ms": 20_000, "tasks": [{ "ms": 1_500 }],
    });
    let submit = format!("{path}?wait_ms=100");
    let first = cluster.send(Method::PUT, south.callers, &submit, &body.to_string()).await;
    let (status, answer) = first.expect("the entry responds");
    assert_eq!((status, &answer["outcome"]), (202, &json!("pending")));
    let later = format!("{path}?wait_ms=20000");
    let (status, _) =
        cluster.send(Method::GET, south.callers, &later, "").await.expect("the entry responds");
    assert_eq!(status, 200);
}
