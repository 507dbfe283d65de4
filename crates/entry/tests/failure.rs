//! Guarantees under failures of real processes: crashes, pauses, planned stops, outages of the
//! platform and network partitions.

mod common;

use std::time::Duration;

use coltsfootshunt_caller::{Caller, Identifier};
use coltsfootshunt_core::answer::{Answer, Outcome, Uncertainty};
use coltsfootshunt_core::job::Job;
use coltsfootshunt_entry::platform::{AcceptError, Http, accept, fetch};
use coltsfootshunt_standin::relay::Relay;
use coltsfootshunt_testkit::{Cluster, Entry, Signal, job, wait_until};
use common::{config, put_in_force};
use serde_json::json;
use tokio::task::JoinHandle;
use uuid::Uuid;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Time for which a query waits for the answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

async fn cluster(entries: usize) -> (Cluster, Vec<Entry>) {
    let cluster = Cluster::start(PROGRAM, FOLDER, 3).await;
    put_in_force(&cluster, &["zone"]).await;
    let start = |number| cluster.start_entry(&format!("entry-{number}"), "zone", &json!({}));
    let entries: Vec<_> = (0..entries).map(start).collect();
    cluster.wait_until_ready(&entries.iter().collect::<Vec<_>>()).await;
    (cluster, entries)
}

/// Submits a job in a separate task.
fn in_background(
    caller: Caller,
    identifier: &Identifier,
    work: &Job,
) -> JoinHandle<Option<Answer>> {
    let (identifier, work) = (identifier.clone(), work.clone());
    tokio::spawn(async move { caller.submit_under(&identifier, &work).await.ok() })
}

async fn wait_for_starts(cluster: &Cluster, tasks: usize) {
    wait_until("enough tasks have started", || async {
        (cluster.max_starts().1 >= tasks).then_some(())
    })
    .await;
}

/// Waits for an answer other than "unknown".
async fn wait_for_known(caller: &Caller, id: &coltsfootshunt_core::submission::Id) -> Answer {
    wait_until("the outcome is known", || async {
        let answer = caller.answer(id, QUERY_TIMEOUT).await.ok()?;
        (answer.outcome() != Outcome::Unknown).then_some(answer)
    })
    .await
}

#[tokio::test]
async fn after_a_crash_of_the_owner_the_outcome_is_unknown_and_nothing_starts_again() {
    let (cluster, mut entries) = cluster(3).await;
    let identifier = cluster
        .caller(&[&entries[0]])
        .take_identifier()
        .await
        .expect("an entry issues an identifier");
    let others = cluster.caller(&[&entries[1], &entries[2]]);
    let work = job("once", 40, 300, 20_000);
    let first = in_background(cluster.caller(&[&entries[1]]), &identifier, &work);
    wait_for_starts(&cluster, 10).await;
    entries[0].signal(Signal::Kill);
    entries[0].wait_for_exit().await;
    let answer = first.await.expect("the task does not panic").expect("an entry answers");
    assert_eq!(answer.outcome(), Outcome::Unknown, "no entry claims that the job did not run");
    let again = others.submit_under(&identifier, &work).await.expect("an entry answers");
    assert_eq!(again.outcome(), Outcome::Unknown);
    let replaced = cluster.start_entry("entry-0", "zone", &json!({}));
    cluster.wait_until_ready(&[&replaced]).await;
    let again = cluster
        .caller(&[&replaced])
        .submit_under(&identifier, &work)
        .await
        .expect("an entry answers");
    assert_eq!(again.outcome(), Outcome::Unknown, "a new incarnation of the host is not the owner");
    assert_eq!(cluster.max_starts().0, 1);
}

#[tokio::test]
async fn a_paused_owner_answers_after_it_resumes_and_starts_nothing_twice() {
    let (cluster, entries) = cluster(2).await;
    let identifier = cluster
        .caller(&[&entries[0]])
        .take_identifier()
        .await
        .expect("an entry issues an identifier");
    let work = job("once", 60, 100, 40_000);
    let first = in_background(cluster.caller(&[&entries[0]]), &identifier, &work);
    wait_for_starts(&cluster, 10).await;
    entries[0].signal(Signal::Stop);
    let other = cluster.caller(&[&entries[1]]);
    wait_until("the paused owner counts as failed", || async {
        let answer = other.answer(&identifier.id, Duration::ZERO).await.ok()?;
        matches!(answer, Answer::Unknown { .. }).then_some(())
    })
    .await;
    entries[0].signal(Signal::Continue);
    let answer = wait_for_known(&other, &identifier.id).await;
    assert_eq!(answer.outcome(), Outcome::Complete);
    let first = first.await.expect("the task does not panic").expect("an entry answers");
    assert_eq!(first.outcome(), Outcome::Complete);
    assert_eq!(cluster.max_starts(), (1, 60));
}

#[tokio::test]
async fn a_planned_stop_finishes_its_jobs_and_hands_over_the_answers() {
    let (cluster, mut entries) = cluster(2).await;
    let identifier = cluster
        .caller(&[&entries[0]])
        .take_identifier()
        .await
        .expect("an entry issues an identifier");
    let work = job("once", 30, 300, 30_000);
    let first = in_background(cluster.caller(&[&entries[0]]), &identifier, &work);
    wait_for_starts(&cluster, 5).await;
    entries[0].signal(Signal::Terminate);
    let (status, _) = wait_until("the entry reports that it is not ready", || async {
        let ready = cluster.get(entries[0].operators, "/readyz").await?;
        (ready.0 != 200).then_some(ready)
    })
    .await;
    assert_eq!(status, 503);
    let answer = first.await.expect("the task does not panic").expect("an entry answers");
    assert_eq!(answer.outcome(), Outcome::Complete, "the entry finishes its jobs");
    assert_eq!(entries[0].wait_for_exit().await, Some(0));
    let other = cluster.caller(&[&entries[1]]);
    let again = other.submit_under(&identifier, &work).await.expect("an entry answers");
    assert_eq!(again.outcome(), Outcome::Complete, "the successor has the answer");
    assert_eq!(cluster.max_starts(), (1, 30));
}

#[tokio::test]
async fn a_second_signal_stops_at_once() {
    let (cluster, mut entries) = cluster(1).await;
    let caller = cluster.caller(&[&entries[0]]);
    tokio::spawn(async move { caller.submit(&job("plain", 1, 20_000, 40_000)).await });
    wait_for_starts(&cluster, 1).await;
    entries[0].signal(Signal::Terminate);
    wait_until("the entry reports that it is not ready", || async {
        let ready = cluster.get(entries[0].operators, "/readyz").await?;
        (ready.0 != 200).then_some(())
    })
    .await;
    entries[0].signal(Signal::Terminate);
    assert_eq!(entries[0].wait_for_exit().await, Some(2));
}

#[tokio::test]
async fn an_outage_of_the_platform_stops_neither_jobs_nor_new_entries() {
    let (cluster, entries) = cluster(2).await;
    cluster.platform.set_down(true);
    let caller = cluster.caller(&[&entries[0], &entries[1]]);
    for _ in 0..5 {
        let (_, answer) =
            caller.submit(&job("once", 10, 5, 20_000)).await.expect("an entry answers");
        assert_eq!(answer.outcome(), Outcome::Complete);
    }
    let peers = json!({ "peers": [entries[0].peers] });
    let joining = cluster.start_entry("late", "zone", &peers);
    cluster.wait_until_ready(&[&joining, &entries[0], &entries[1]]).await;
    let isolated = cluster.start_entry("alone", "zone", &json!({}));
    let (status, _) =
        wait_until("the entry responds", || cluster.get(isolated.operators, "/readyz")).await;
    assert_eq!(status, 503, "an entry is not ready before its first configuration");
    cluster.platform.set_down(false);
    cluster.wait_until_ready(&[&isolated, &joining]).await;
}

#[tokio::test]
async fn a_leaving_target_gets_no_new_tasks() {
    let (cluster, entries) = cluster(2).await;
    let caller = cluster.caller(&[&entries[0], &entries[1]]);
    cluster.platform.set_leaving(["target-0".to_owned()]);
    for entry in &entries {
        wait_until("the entry knows that the target leaves", || async {
            let (_, dump) = cluster.get(entry.operators, "/dump").await?;
            let leaving = dump["leaving"]["targets"].as_array()?.len();
            (leaving == 1).then_some(())
        })
        .await;
    }
    cluster.platform.set_down(true);
    let before = cluster.targets[0].start_count();
    for _ in 0..10 {
        let (_, answer) =
            caller.submit(&job("plain", 20, 2, 20_000)).await.expect("an entry answers");
        assert_eq!(answer.outcome(), Outcome::Complete);
    }
    assert_eq!(
        cluster.targets[0].start_count(),
        before,
        "the entries remember the target during the outage"
    );
}

#[tokio::test]
async fn a_target_that_refuses_starts_gets_no_new_tasks() {
    let (cluster, entries) = cluster(2).await;
    cluster.platform.set_down(true);
    cluster.targets[1].set_leaving(true);
    let caller = cluster.caller(&[&entries[0], &entries[1]]);
    for _ in 0..10 {
        let (_, answer) =
            caller.submit(&job("once", 20, 2, 20_000)).await.expect("an entry answers");
        assert_eq!(answer.outcome(), Outcome::Complete, "a refused task starts on another target");
    }
    assert_eq!(cluster.targets[1].start_count(), 0);
    assert_eq!(cluster.max_starts(), (1, 200));
    let refused = cluster.targets[1].refused_count();
    // Each of the two entries may have a task in flight for each of the 8 slots.
    let max_in_flight = 2 * 8;
    assert!(refused <= max_in_flight, "the target refused {refused} tasks");
}

#[tokio::test]
async fn accept_tells_a_lost_response_from_a_lost_race() {
    let (cluster, entries) = cluster(1).await;
    let platform = Http::new(cluster.platform.address);
    cluster.platform.drop_responses(1);
    let revision = accept(&platform, config(&cluster, &["zone"]), None, Uuid::new_v4()).await;
    let revision = revision.expect("accept finds out that the write took effect");
    let based_on = Some(revision);
    let first = accept(&platform, config(&cluster, &["zone"]), based_on, Uuid::new_v4());
    let second = accept(&platform, config(&cluster, &["zone"]), based_on, Uuid::new_v4());
    let (first, second) = tokio::join!(first, second);
    let (winner, loser) = match (first, second) {
        (Ok(revision), Err(rejected)) | (Err(rejected), Ok(revision)) => (revision, rejected),
        (first, second) => panic!("exactly one succeeds: {first:?} {second:?}"),
    };
    let AcceptError::Conflict(conflict) = loser else {
        panic!("expected a conflict, got {loser:?}");
    };
    assert_eq!(conflict.current.revision, winner);
    let (_, document) =
        fetch(&platform).await.expect("the platform is up").expect("a configuration is in force");
    assert_eq!(document.version.revision, winner);
    wait_until("the configuration is in force at the entry", || async {
        let (_, ready) = cluster.get(entries[0].operators, "/readyz").await?;
        (ready["revision"] == json!(winner)).then_some(())
    })
    .await;
}

#[tokio::test]
async fn partitioned_zones_go_on_and_rejoin() {
    let cluster = Cluster::start(PROGRAM, FOLDER, 4).await;
    put_in_force(&cluster, &["north", "south"]).await;
    let (mut north_relay, mut south_relay) = (
        Relay::start().await.expect("a loopback port is free"),
        Relay::start().await.expect("a loopback port is free"),
    );
    let advertise = |relay: &Relay| json!({ "advertise_peers": relay.address });
    let north = cluster.start_entry("north", "north", &advertise(&north_relay));
    let south = cluster.start_entry("south", "south", &advertise(&south_relay));
    north_relay.forward_to(north.peers);
    south_relay.forward_to(south.peers);
    cluster.wait_until_ready(&[&north, &south]).await;
    let identifier =
        cluster.caller(&[&north]).take_identifier().await.expect("an entry issues an identifier");
    let work = job("once", 10, 20, 20_000);
    north_relay.set_partitioned(true);
    south_relay.set_partitioned(true);
    let south_caller = cluster.caller(&[&south]);
    let through_south = Identifier { entry: south.callers, ..identifier.clone() };
    let answer = south_caller.submit_under(&through_south, &work).await.expect("an entry answers");
    assert!(
        matches!(
            answer,
            Answer::Unknown { cause: Uncertainty::OwnerGone | Uncertainty::OwnerUnreachable }
        ),
        "{answer:?}"
    );
    for entry in [&north, &south] {
        let caller = cluster.caller(&[entry]);
        let (_, answer) =
            caller.submit(&job("once", 10, 5, 20_000)).await.expect("an entry answers");
        assert_eq!(answer.outcome(), Outcome::Complete, "each zone completes jobs");
    }
    let answer =
        cluster.caller(&[&north]).submit_under(&identifier, &work).await.expect("an entry answers");
    assert_eq!(answer.outcome(), Outcome::Complete, "the owner runs the job");
    north_relay.set_partitioned(false);
    south_relay.set_partitioned(false);
    let answer = wait_for_known(&south_caller, &identifier.id).await;
    assert_eq!(answer.outcome(), Outcome::Complete, "both zones give the same answer");
    assert_eq!(cluster.max_starts().0, 1);
}
