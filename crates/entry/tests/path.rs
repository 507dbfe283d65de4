//! The whole path, through separate processes.

mod common;

use coltsfootshunt_core::answer::{Answer, Outcome, Refusal};
use coltsfootshunt_http::Method;
use coltsfootshunt_testkit::{Cluster, Entry, job};
use common::put_in_force;
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// Two zones with an entry each.
async fn two_zones() -> (Cluster, Entry, Entry) {
    let cluster = Cluster::start(PROGRAM, FOLDER, 4).await;
    put_in_force(&cluster, &["north", "south"]).await;
    let north = cluster.entry("north-1", "north", &json!({}));
    let south = cluster.entry("south-1", "south", &json!({}));
    cluster.ready(&[&north, &south]).await;
    (cluster, north, south)
}

async fn mint(cluster: &Cluster, entry: &Entry) -> String {
    let (_, body) = cluster
        .send(Method::POST, entry.callers, "/v1/identifiers", r#"{"count":1}"#)
        .await
        .expect("the entry answers");
    body["identifiers"][0].as_str().expect("an identifier").to_owned()
}

#[tokio::test]
async fn job_through_another_entry_has_its_whole_answer() {
    let (cluster, north, south) = two_zones().await;
    let id = mint(&cluster, &north).await;
    let path = format!("/v1/submissions/{id}");
    let tasks: Vec<_> = (0..40).map(|number| json!({ "ms": 5, "number": number })).collect();
    let body = json!({ "team": "team", "kind": "once", "deadline_ms": 20_000, "tasks": tasks });
    let first = cluster.send(Method::PUT, south.callers, &path, &body.to_string()).await;
    let (status, answer) = first.expect("the entry answers");
    assert_eq!((status, &answer["outcome"]), (200, &json!("complete")));
    assert_eq!(answer["outputs"], Value::Array(tasks), "each task's own output, in order");
    let again = cluster.send(Method::PUT, north.callers, &path, &body.to_string()).await;
    assert_eq!(again, Some((200, answer)), "a repeat meets the same answer");
    assert_eq!(cluster.most_starts(), (1, 40), "each task starts once");
    let course = cluster.send(Method::GET, south.callers, &format!("{path}/course"), "").await;
    let steps = course.expect("the entry answers").1["steps"].as_array().map(Vec::len);
    assert!(steps.is_some_and(|steps| steps > 3), "the course tells what happened");
}

#[tokio::test]
async fn same_submission_through_several_entries_at_once_runs_once() {
    let (cluster, north, south) = two_zones().await;
    let id = mint(&cluster, &north).await;
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
    assert!(answers.iter().all(|answer| *answer == answers[0]), "one answer for all");
    assert_eq!(answers[0].as_ref().map(|(status, _)| *status), Some(200));
    assert_eq!(cluster.most_starts(), (1, 3));
}

/// Requests that can't run, their status and their reason.
#[tokio::test]
async fn bad_requests_are_refused_truthfully() {
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
        let id = mint(&cluster, &north).await;
        let path = format!("/v1/submissions/{id}");
        let reply = cluster.send(Method::PUT, north.callers, &path, &body).await;
        let (found, answer) = reply.unwrap_or_else(|| panic!("{name}: the entry answers"));
        assert_eq!(found, status, "{name}: {answer}");
        assert_eq!(answer["outcome"], "not_run", "{name}");
        let refusal = &answer["refusal"];
        let named = refusal == reason || refusal.get(reason).is_some();
        assert!(named, "{name}: {refusal}");
    }
    let bad = cluster.send(Method::GET, north.callers, "/v1/submissions/nonsense", "").await;
    assert_eq!(bad.expect("the entry answers").0, 400);
    assert_eq!(cluster.most_starts().1, 0, "nothing ran");
}

#[tokio::test]
async fn bad_ends_of_targets_fail_the_job_and_are_told() {
    let (cluster, north, south) = two_zones().await;
    let ends = [
        ("fail", "reported", "ran"),
        ("cut", "lost", "may_have_run"),
        ("crossed", "crossed", "may_have_run"),
        ("garbled", "garbled", "may_have_run"),
        ("oversized", "oversized", "may_have_run"),
        ("hang", "", "may_have_run"),
    ];
    for (end, fault, place) in ends {
        let id = mint(&cluster, &north).await;
        let path = format!("/v1/submissions/{id}");
        let body = json!({
            "team": "team", "kind": "once", "deadline_ms": 1_500,
            "tasks": [{ "ms": 1, "end": end }],
        });
        let reply = cluster.send(Method::PUT, south.callers, &path, &body.to_string()).await;
        let (status, answer) = reply.expect("the entry answers");
        assert_eq!(status, 500, "{end}: {answer}");
        assert_eq!(answer["outcome"], "failed", "{end}");
        assert_eq!(answer["tasks"][place], json!([0]), "{end}: {answer}");
        let told = answer["failure"]["task"]["fault"].clone();
        assert!(fault.is_empty() || told == fault || told.get(fault).is_some(), "{end}: {told}");
    }
    assert_eq!(cluster.most_starts().0, 1, "nothing is tried again");
}

#[tokio::test]
async fn callers_library_submits_asks_again_and_cancels() {
    let (cluster, north, south) = two_zones().await;
    let caller = cluster.caller(&[&north, &south]);
    let (id, answer) = caller.submit(&job("plain", 10, 5, 20_000)).await.expect("an answer");
    assert_eq!(answer.outcome(), Outcome::Complete);
    let wait = std::time::Duration::from_secs(5);
    let again = caller.answer(&id, wait).await.expect("an answer");
    assert_eq!(again.outcome(), Outcome::Complete);
    let held = caller.take_identifier().await.expect("an identifier");
    let cancelled = caller.cancel(&held.id, wait).await.expect("an answer");
    assert!(matches!(cancelled, Answer::NotRun { refusal: Refusal::Cancelled }));
    let late = caller.submit_under(&held, &job("plain", 1, 5, 20_000)).await.expect("an answer");
    assert!(matches!(late, Answer::NotRun { refusal: Refusal::Cancelled }), "it stays cancelled");
    assert_eq!(cluster.most_starts(), (1, 10));
}

#[tokio::test]
async fn short_wait_through_another_entry_is_no_doubt() {
    let (cluster, north, south) = two_zones().await;
    let id = mint(&cluster, &north).await;
    let path = format!("/v1/submissions/{id}");
    let body = json!({
        "team": "team", "kind": "once", "deadline_ms": 20_000, "tasks": [{ "ms": 1_500 }],
    });
    let submit = format!("{path}?wait_ms=100");
    let first = cluster.send(Method::PUT, south.callers, &submit, &body.to_string()).await;
    let (status, answer) = first.expect("the entry answers");
    assert_eq!((status, &answer["outcome"]), (202, &json!("pending")));
    let later = format!("{path}?wait_ms=20000");
    let (status, _) =
        cluster.send(Method::GET, south.callers, &later, "").await.expect("the entry answers");
    assert_eq!(status, 200);
}
