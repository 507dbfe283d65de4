//! Promises under failure, with real processes: kills, freezes, stops, outages and cuts.

mod common;

use std::time::Duration;

use coltsfootshunt_caller::{Caller, Identifier};
use coltsfootshunt_core::answer::{Answer, Outcome, Uncertainty};
use coltsfootshunt_core::job::Job;
use coltsfootshunt_entry::platform::{AcceptError, Http, accept, fetch};
use coltsfootshunt_standin::cut::Relay;
use coltsfootshunt_testkit::{Cluster, Entry, Signal, job, until};
use common::{plan, put_in_force};
use serde_json::json;
use tokio::task::JoinHandle;
use uuid::Uuid;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const WAIT: Duration = Duration::from_secs(5);

async fn cluster(entries: usize) -> (Cluster, Vec<Entry>) {
    let cluster = Cluster::start(PROGRAM, FOLDER, 3).await;
    put_in_force(&cluster, &["zone"]).await;
    let start = |number| cluster.entry(&format!("entry-{number}"), "zone", &json!({}));
    let entries: Vec<_> = (0..entries).map(start).collect();
    cluster.ready(&entries.iter().collect::<Vec<_>>()).await;
    (cluster, entries)
}

/// Submits a job while the test goes on.
fn in_background(caller: Caller, held: &Identifier, work: &Job) -> JoinHandle<Option<Answer>> {
    let (held, work) = (held.clone(), work.clone());
    tokio::spawn(async move { caller.submit_under(&held, &work).await.ok() })
}

async fn started(cluster: &Cluster, tasks: usize) {
    until("tasks start", || async { (cluster.most_starts().1 >= tasks).then_some(()) }).await;
}

/// Waits for an answer other than "unknown".
async fn known(caller: &Caller, id: &coltsfootshunt_core::submission::Id) -> Answer {
    until("the owner answers", || async {
        let answer = caller.answer(id, WAIT).await.ok()?;
        (answer.outcome() != Outcome::Unknown).then_some(answer)
    })
    .await
}

#[tokio::test]
async fn killed_owner_leaves_unknown_and_nothing_starts_again() {
    let (cluster, mut entries) = cluster(3).await;
    let held = cluster.caller(&[&entries[0]]).take_identifier().await.expect("an identifier");
    let others = cluster.caller(&[&entries[1], &entries[2]]);
    let work = job("once", 40, 300, 20_000);
    let first = in_background(cluster.caller(&[&entries[1]]), &held, &work);
    started(&cluster, 10).await;
    entries[0].tell(Signal::Kill);
    entries[0].exit().await;
    let lost = first.await.expect("the task ends").expect("an answer");
    assert_eq!(lost.outcome(), Outcome::Unknown, "nobody claims that it did not run");
    let again = others.submit_under(&held, &work).await.expect("an answer");
    assert_eq!(again.outcome(), Outcome::Unknown);
    let replaced = cluster.entry("entry-0", "zone", &json!({}));
    cluster.ready(&[&replaced]).await;
    let again = cluster.caller(&[&replaced]).submit_under(&held, &work).await.expect("an answer");
    assert_eq!(again.outcome(), Outcome::Unknown, "a new incarnation is not the owner");
    assert_eq!(cluster.most_starts().0, 1);
}

#[tokio::test]
async fn frozen_owner_answers_once_it_wakes_and_starts_nothing_twice() {
    let (cluster, entries) = cluster(2).await;
    let held = cluster.caller(&[&entries[0]]).take_identifier().await.expect("an identifier");
    let work = job("once", 60, 100, 40_000);
    let first = in_background(cluster.caller(&[&entries[0]]), &held, &work);
    started(&cluster, 10).await;
    entries[0].tell(Signal::Freeze);
    let other = cluster.caller(&[&entries[1]]);
    until("the frozen owner counts as failed", || async {
        let answer = other.answer(&held.id, Duration::ZERO).await.ok()?;
        matches!(answer, Answer::Unknown { .. }).then_some(())
    })
    .await;
    entries[0].tell(Signal::Wake);
    let answer = known(&other, &held.id).await;
    assert_eq!(answer.outcome(), Outcome::Complete);
    let first = first.await.expect("the task ends").expect("an answer");
    assert_eq!(first.outcome(), Outcome::Complete);
    assert_eq!(cluster.most_starts(), (1, 60));
}

#[tokio::test]
async fn planned_stop_cuts_nothing_and_leaves_its_answers() {
    let (cluster, mut entries) = cluster(2).await;
    let held = cluster.caller(&[&entries[0]]).take_identifier().await.expect("an identifier");
    let work = job("once", 30, 300, 30_000);
    let first = in_background(cluster.caller(&[&entries[0]]), &held, &work);
    started(&cluster, 5).await;
    entries[0].tell(Signal::Terminate);
    let (status, _) = until("readiness goes off", || async {
        let ready = cluster.ask(entries[0].operators, "/readyz").await?;
        (ready.0 != 200).then_some(ready)
    })
    .await;
    assert_eq!(status, 503);
    let answer = first.await.expect("the task ends").expect("an answer");
    assert_eq!(answer.outcome(), Outcome::Complete, "work in progress is finished");
    assert_eq!(entries[0].exit().await, Some(0));
    let other = cluster.caller(&[&entries[1]]);
    let again = other.submit_under(&held, &work).await.expect("an answer");
    assert_eq!(again.outcome(), Outcome::Complete, "the successor knows the answer");
    assert_eq!(cluster.most_starts(), (1, 30));
}

#[tokio::test]
async fn second_signal_ends_at_once() {
    let (cluster, mut entries) = cluster(1).await;
    let caller = cluster.caller(&[&entries[0]]);
    tokio::spawn(async move { caller.submit(&job("plain", 1, 20_000, 40_000)).await });
    started(&cluster, 1).await;
    entries[0].tell(Signal::Terminate);
    until("the first signal is taken", || async {
        let ready = cluster.ask(entries[0].operators, "/readyz").await?;
        (ready.0 != 200).then_some(())
    })
    .await;
    entries[0].tell(Signal::Terminate);
    assert_eq!(entries[0].exit().await, Some(2));
}

#[tokio::test]
async fn platform_outage_stops_neither_work_nor_new_entries() {
    let (cluster, entries) = cluster(2).await;
    cluster.platform.set_down(true);
    let caller = cluster.caller(&[&entries[0], &entries[1]]);
    for _ in 0..5 {
        let (_, answer) = caller.submit(&job("once", 10, 5, 20_000)).await.expect("an answer");
        assert_eq!(answer.outcome(), Outcome::Complete);
    }
    let peers = json!({ "peers": [entries[0].peers] });
    let late = cluster.entry("late", "zone", &peers);
    cluster.ready(&[&late, &entries[0], &entries[1]]).await;
    let alone = cluster.entry("alone", "zone", &json!({}));
    let (status, _) = until("the entry answers", || cluster.ask(alone.operators, "/readyz")).await;
    assert_eq!(status, 503, "without any configuration an entry is not ready");
    cluster.platform.set_down(false);
    cluster.ready(&[&alone, &late]).await;
}

#[tokio::test]
async fn leaving_target_gets_no_new_work() {
    let (cluster, entries) = cluster(2).await;
    let caller = cluster.caller(&[&entries[0], &entries[1]]);
    cluster.platform.set_leaving(["target-0".to_owned()]);
    for entry in &entries {
        until("the entry knows of the leaving target", || async {
            let (_, dump) = cluster.ask(entry.operators, "/dump").await?;
            let leaving = dump["leaving"]["targets"].as_array()?.len();
            (leaving == 1).then_some(())
        })
        .await;
    }
    cluster.platform.set_down(true);
    let before = cluster.targets[0].total();
    for _ in 0..10 {
        let (_, answer) = caller.submit(&job("plain", 20, 2, 20_000)).await.expect("an answer");
        assert_eq!(answer.outcome(), Outcome::Complete);
    }
    assert_eq!(cluster.targets[0].total(), before, "also while the platform is down");
}

#[tokio::test]
async fn targets_own_refusal_is_enough() {
    let (cluster, entries) = cluster(2).await;
    cluster.platform.set_down(true);
    cluster.targets[1].leave(true);
    let caller = cluster.caller(&[&entries[0], &entries[1]]);
    for _ in 0..10 {
        let (_, answer) = caller.submit(&job("once", 20, 2, 20_000)).await.expect("an answer");
        assert_eq!(answer.outcome(), Outcome::Complete, "a refused start is made elsewhere");
    }
    assert_eq!(cluster.targets[1].total(), 0);
    assert_eq!(cluster.most_starts(), (1, 200));
    let refused = cluster.targets[1].refused();
    let under_way = 2 * 8;
    assert!(refused <= under_way, "{refused} tasks came after the target's word");
}

#[tokio::test]
async fn lost_answer_is_told_from_a_lost_race() {
    let (cluster, entries) = cluster(1).await;
    let platform = Http::new(cluster.platform.address);
    cluster.platform.lose_answers(1);
    let revision = accept(&platform, plan(&cluster, &["zone"]), None, Uuid::new_v4()).await;
    let revision = revision.expect("the write took effect, and that is found out");
    let based_on = Some(revision);
    let first = accept(&platform, plan(&cluster, &["zone"]), based_on, Uuid::new_v4());
    let second = accept(&platform, plan(&cluster, &["zone"]), based_on, Uuid::new_v4());
    let (first, second) = tokio::join!(first, second);
    let (winner, loser) = match (first, second) {
        (Ok(revision), Err(rejected)) | (Err(rejected), Ok(revision)) => (revision, rejected),
        (first, second) => panic!("one wins: {first:?} {second:?}"),
    };
    let AcceptError::Conflict(conflict) = loser else {
        panic!("the loser learns of its rival: {loser:?}");
    };
    assert_eq!(conflict.current.revision, winner);
    let (_, document) = fetch(&platform).await.expect("the platform is up").expect("a document");
    assert_eq!(document.version.revision, winner);
    until("the entry has it in force", || async {
        let (_, ready) = cluster.ask(entries[0].operators, "/readyz").await?;
        (ready["revision"] == json!(winner)).then_some(())
    })
    .await;
}

#[tokio::test]
async fn zones_cut_from_each_other_go_on_and_meet_again() {
    let cluster = Cluster::start(PROGRAM, FOLDER, 4).await;
    put_in_force(&cluster, &["north", "south"]).await;
    let (mut north_relay, mut south_relay) =
        (Relay::start().await.expect("a port"), Relay::start().await.expect("a port"));
    let behind = |relay: &Relay| json!({ "advertise_peers": relay.address });
    let north = cluster.entry("north", "north", &behind(&north_relay));
    let south = cluster.entry("south", "south", &behind(&south_relay));
    north_relay.point(north.peers);
    south_relay.point(south.peers);
    cluster.ready(&[&north, &south]).await;
    let held = cluster.caller(&[&north]).take_identifier().await.expect("an identifier");
    let work = job("once", 10, 20, 20_000);
    north_relay.cut(true);
    south_relay.cut(true);
    let cut_off = cluster.caller(&[&south]);
    let through_south = Identifier { entry: south.callers, ..held.clone() };
    let answer = cut_off.submit_under(&through_south, &work).await.expect("an answer");
    assert!(
        matches!(
            answer,
            Answer::Unknown { cause: Uncertainty::OwnerGone | Uncertainty::OwnerUnreachable }
        ),
        "{answer:?}"
    );
    for entry in [&north, &south] {
        let caller = cluster.caller(&[entry]);
        let (_, answer) = caller.submit(&job("once", 10, 5, 20_000)).await.expect("an answer");
        assert_eq!(answer.outcome(), Outcome::Complete, "each zone goes on");
    }
    let answer = cluster.caller(&[&north]).submit_under(&held, &work).await.expect("an answer");
    assert_eq!(answer.outcome(), Outcome::Complete, "the owner runs it");
    north_relay.cut(false);
    south_relay.cut(false);
    let answer = known(&cut_off, &held.id).await;
    assert_eq!(answer.outcome(), Outcome::Complete, "the answer is the same everywhere");
    assert_eq!(cluster.most_starts().0, 1);
}
