//! Hosts as processes on stand-ins for the users' platform.

use std::time::Duration;

use coltsfootshunt_http::Method;
use coltsfootshunt_platform_standin::process::{Cluster, Host, SERVICE, job, unsupported_jobs};
use coltsfootshunt_platform_standin::settings::configuration;
use coltsfootshunt_platform_standin::store::{CONFIGURATION, Mode};
use coltsfootshunt_platform_standin::target::{CPU_MILLIS, Entry};
use coltsfootshunt_standin::relay::{Fault, Relay};
use coltsfootshunt_testkit::{Signal, wait_until};
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Time within which nothing starts any more in an evacuated zone, in milliseconds.
const EVACUATE_MS: u64 = 5_000;

/// Starts two zones with two hosts each.
async fn cluster() -> (Cluster, Vec<Host>) {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a", "b"], 3).await;
    let names = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")];
    let hosts = cluster.start_hosts(&names).await;
    (cluster, hosts)
}

fn id(number: u32) -> String {
    format!("{number:016x}")
}

/// Returns the index of a zone's steward.
async fn steward(cluster: &Cluster, hosts: &[Host], zone: &str) -> usize {
    for (number, host) in hosts.iter().enumerate().filter(|(_, host)| host.is_launched()) {
        let state = cluster.state(host).await.expect("the host responds");
        let claims = state["claims"].as_array().cloned().unwrap_or_default();
        if claims.iter().any(|claim| claim["zone"] == zone) {
            return number;
        }
    }
    panic!("zone {zone} has no steward");
}

async fn serve_job(cluster: &Cluster, host: &Host, number: u32) {
    wait_until("a job completes", || async {
        let (status, body) = cluster.submit(host, &id(number), (2, 14_000, 40)).await?;
        (status == 200 && body["state"] == "completed").then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_job_through_any_host_is_answered_when_it_completes() {
    let (cluster, hosts) = cluster().await;
    for (number, host) in (1..).zip(&hosts) {
        let answer =
            cluster.submit(host, &id(number), (4, 14_000, 60)).await.expect("the host responds");
        assert_eq!(answer, (200, json!({ "state": "completed" })));
        assert_eq!(cluster.invariants.starts(&id(number)), 4);
        let state = cluster.request(Method::GET, host, &format!("/cut/{}", id(number)), "").await;
        assert_eq!(state, Some((200, json!({ "state": "completed" }))));
    }
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
    let metrics = cluster.metrics(&hosts[0]).await.expect("metrics are served");
    assert!(metrics.contains("coltsfootshunt_jobs_answered_total"), "{metrics}");
}

/// Guards against an answer at the route's timeout, 1,500 ms, to a caller that waits longer.
#[tokio::test]
async fn a_job_lasts_as_long_as_its_caller_states() {
    let (cluster, hosts) = cluster().await;
    let answer = cluster.submit_within(&hosts[0], &id(1), 2_000, Some(4_000)).await;
    assert_eq!(answer, Some((200, json!({ "state": "completed" }))));
    assert_eq!(cluster.invariants.starts(&id(1)), 1);
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
}

/// Guards against a host that ends at its start because the port of its metrics is one of its settings.
#[tokio::test]
async fn a_host_whose_metrics_port_is_taken_serves_callers() {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 3).await;
    let mut host = cluster.host_without_metrics("a-1", "a");
    cluster.launch(&mut host);
    cluster.wait_until_ready(&[&host]).await;
    serve_job(&cluster, &host, 1).await;
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
    let lines = host.log_lines();
    assert!(lines.iter().any(|line| line["msg"] == "metrics unavailable"), "{lines:?}");
}

#[tokio::test]
async fn unsupported_requests_are_refused_at_once() {
    let (cluster, hosts) = cluster().await;
    let host = &hosts[0];
    let plain = job("cpu=1 ms=1", 1, 1, 1);
    let with = |field: &str, value: serde_json::Value| {
        let mut job = plain.clone();
        job[field] = value;
        job.to_string()
    };
    let path = format!("/cut/{}", id(1));
    let cases = [
        ("/none/0000000000000001", plain.to_string(), 404),
        ("/cut/short", plain.to_string(), 400),
        (&path, "{".to_owned(), 400),
        (&path, with("spec", json!("x".repeat(5_000))), 400),
        (&path, with("spec", json!("x".repeat(300_000))), 413),
        (&path, job("cpu=1 ms=1", 2_000, 1, 1).to_string(), 400),
    ];
    let unsupported =
        unsupported_jobs().into_iter().map(|job| (path.as_str(), job.to_string(), 503));
    for (path, body, expected) in cases.into_iter().chain(unsupported) {
        let answer =
            cluster.request(Method::POST, host, path, &body).await.expect("the host responds");
        assert_eq!(answer.0, expected, "{path}: {}", answer.1);
    }
    let pending = cluster.request(Method::GET, host, "/mark/", "").await;
    assert_eq!(pending, Some((200, json!({ "pending": 0 }))));
    let unknown = cluster.request(Method::GET, host, &format!("/cut/{}", id(9)), "").await;
    assert_eq!(unknown.map(|answer| answer.0), Some(410));
    let too_large = cluster.submit(host, &id(2), (1, 64_000, 10)).await;
    assert_eq!(too_large, Some((200, json!({ "state": "failed" }))));
    assert_eq!(cluster.invariants.total_starts(), 0);
}

#[tokio::test]
async fn a_killed_steward_is_replaced_and_nothing_runs_twice() {
    let (cluster, mut hosts) = cluster().await;
    let old = steward(&cluster, &hosts, "a").await;
    let other = (old + 1) % 2;
    hosts[old].signal(Signal::Kill);
    hosts[old].wait_for_exit().await;
    wait_until("the zone has a steward again", || async {
        let state = cluster.state(&hosts[other]).await?;
        (state["claims"].as_array()?.len() == 1).then_some(())
    })
    .await;
    serve_job(&cluster, &hosts[other], 1).await;
    cluster.launch(&mut hosts[old]);
    cluster.wait_until_settled(&hosts.iter().collect::<Vec<_>>()).await;
    serve_job(&cluster, &hosts[old], 2).await;
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn consecutive_planned_stops_lose_no_answer() {
    let (cluster, mut hosts) = cluster().await;
    for stopped in 0..hosts.len() {
        let first = u32::try_from(stopped).unwrap() * 100;
        let host = &hosts[stopped];
        let ids: Vec<String> = (first..first + 6).map(id).collect();
        let jobs = ids.iter().map(|id| cluster.submit(host, id, (2, 9_000, 300)));
        let stop = async {
            tokio::time::sleep(Duration::from_millis(80)).await;
            host.signal(Signal::Terminate);
        };
        let (answers, ()) = tokio::join!(join_all(jobs), stop);
        // Tasks that a stopping steward returns may be too late for other targets. Their jobs get a
        // refusal and not a lost answer.
        let statuses: Vec<_> = answers.into_iter().map(|answer| answer.map(|one| one.0)).collect();
        assert!(statuses.iter().all(|one| matches!(one, Some(200 | 429))), "{statuses:?}");
        assert!(statuses.contains(&Some(200)), "{statuses:?}");
        hosts[stopped].wait_for_exit().await;
        cluster.launch(&mut hosts[stopped]);
        cluster.wait_until_settled(&hosts.iter().collect::<Vec<_>>()).await;
    }
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
}

async fn join_all<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    futures_util::future::join_all(futures).await
}

#[tokio::test]
async fn hosts_start_and_serve_while_the_store_is_unresponsive() {
    let (cluster, mut hosts) = cluster().await;
    cluster.store.set_mode(Mode::Unresponsive);
    serve_job(&cluster, &hosts[0], 1).await;
    hosts[1].signal(Signal::Kill);
    hosts[1].wait_for_exit().await;
    cluster.launch(&mut hosts[1]);
    cluster.wait_until_ready(&[&hosts[1]]).await;
    serve_job(&cluster, &hosts[1], 2).await;
    cluster.store.set_mode(Mode::Serving);
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn a_configuration_reaches_all_hosts_and_an_older_one_is_ignored() {
    let (cluster, hosts) = cluster().await;
    let newer = configuration(9, SERVICE, &[("cut", "/cut/"), ("late", "/late/")]);
    cluster.store.put(CONFIGURATION, &newer);
    for host in &hosts {
        wait_until("the new route is in force", || async {
            let (status, _) = cluster.request(Method::GET, host, "/late/", "").await?;
            (status == 200).then_some(())
        })
        .await;
    }
    cluster.store.put(CONFIGURATION, &configuration(8, SERVICE, &[("cut", "/cut/")]));
    cluster.store.compact();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for host in &hosts {
        let answer = cluster.request(Method::GET, host, "/late/", "").await;
        assert_eq!(answer.map(|answer| answer.0), Some(200));
    }
}

#[tokio::test]
async fn undecodable_entries_are_not_targets() {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 1).await;
    cluster.store.put_bytes("servers/t-broken", b"\xff\xfe");
    cluster.store.put("servers/t-foreign", &json!({ "service": SERVICE, "state": "asleep" }));
    let mut host = cluster.host("a-1", "a", &[]);
    cluster.launch(&mut host);
    cluster.wait_until_settled(&[&host]).await;
    let state = cluster.state(&host).await.expect("the host responds");
    assert_eq!(state["targets_known"], 1);
}

#[tokio::test]
async fn a_draining_target_gets_no_new_tasks() {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 2).await;
    let mut host = cluster.host("a-1", "a", &[]);
    cluster.launch(&mut host);
    cluster.wait_until_settled(&[&host]).await;
    cluster.targets[0].drain();
    wait_until("the host knows that the target leaves", || async {
        let state = cluster.state(&host).await?;
        let targets = state["targets"].as_array()?.clone();
        targets.iter().any(|target| target["state"] == "draining").then_some(())
    })
    .await;
    let before = host.log_lines().len();
    for number in 1..=10 {
        serve_job(&cluster, &host, number).await;
    }
    let lines = host.log_lines();
    let started = lines[before..].iter().filter(|line| line["msg"] == "task started");
    assert!(started.clone().count() > 0);
    assert!(started.clone().all(|line| line["target"] == "t-a-1"));
}

/// Starts two zones with two hosts each, whose zones can be evacuated. The first `cut_off` hosts reach the store
/// through a relay each.
async fn cluster_with_evacuation(cut_off: usize) -> (Cluster, Vec<Host>, Vec<Relay>) {
    let mut cluster = Cluster::start(PROGRAM, FOLDER, &["a", "b"], 3).await;
    cluster.evacuate_ms = Some(EVACUATE_MS);
    let (mut hosts, mut relays): (Vec<Host>, Vec<Relay>) = Default::default();
    for (number, (name, zone)) in
        [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")].into_iter().enumerate()
    {
        let seeds: Vec<&Host> = hosts.iter().take(2).collect();
        let store = if number < cut_off {
            let mut relay = Relay::start().await.expect("a loopback port is free");
            relay.forward_to(cluster.store.address);
            relays.push(relay);
            relays[number].address
        } else {
            cluster.store.address
        };
        let mut host = cluster.host_with_store(name, zone, &seeds, store);
        cluster.launch(&mut host);
        hosts.push(host);
    }
    cluster.wait_until_settled(&hosts.iter().collect::<Vec<_>>()).await;
    (cluster, hosts, relays)
}

/// Submits jobs through all hosts that run, for a time.
async fn submit_for(cluster: &Cluster, hosts: &[Host], first: u32, time: Duration) {
    let until = tokio::time::Instant::now() + time;
    let mut number = first;
    while tokio::time::Instant::now() < until {
        let running = hosts.iter().filter(|host| host.is_launched());
        let jobs: Vec<(&Host, String)> = running
            .map(|host| {
                number += 1;
                (host, id(number))
            })
            .collect();
        join_all(jobs.iter().map(|(host, id)| cluster.submit(host, id, (2, 9_000, 40)))).await;
    }
}

/// Guards against starts in an evacuated zone after the time limit, also after the change of its steward, and against
/// a zone that is not used again.
#[tokio::test]
async fn nothing_starts_in_an_evacuated_zone_until_it_is_restored() {
    let (cluster, mut hosts, _) = cluster_with_evacuation(0).await;
    submit_for(&cluster, &hosts, 0, Duration::from_secs(1)).await;
    let before = cluster.invariants.starts_at("t-a-");
    assert!(before > 0, "the zone is used");
    cluster.store.evacuate("a");
    submit_for(&cluster, &hosts, 10_000, Duration::from_millis(EVACUATE_MS)).await;
    let starts = cluster.invariants.starts_at("t-a-");
    let old = steward(&cluster, &hosts, "a").await;
    hosts[old].signal(Signal::Kill);
    hosts[old].wait_for_exit().await;
    submit_for(&cluster, &hosts, 20_000, Duration::from_secs(3)).await;
    cluster.launch(&mut hosts[old]);
    submit_for(&cluster, &hosts, 30_000, Duration::from_secs(3)).await;
    assert_eq!(cluster.invariants.starts_at("t-a-"), starts);
    let state = cluster.state(&hosts[old]).await.expect("the host responds");
    assert_eq!(state["evacuated_zones"], json!(["a"]));
    let metrics = cluster.metrics(&hosts[old]).await.expect("metrics are served");
    assert!(metrics.contains("coltsfootshunt_evacuated_zones 1"), "{metrics}");
    cluster.store.restore("a");
    submit_for(&cluster, &hosts, 40_000, Duration::from_secs(2)).await;
    assert!(cluster.invariants.starts_at("t-a-") > starts, "the zone is used again");
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
}

/// The stewards of the evacuated zone don't reach the store; the hosts of the other zone tell them.
#[tokio::test]
async fn peers_tell_of_evacuations_where_the_store_does_not_answer() {
    let (cluster, hosts, relays) = cluster_with_evacuation(2).await;
    relays.iter().for_each(|relay| relay.set_fault(Fault::Blackhole));
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.store.evacuate("a");
    submit_for(&cluster, &hosts, 0, Duration::from_millis(EVACUATE_MS)).await;
    let starts = cluster.invariants.starts_at("t-a-");
    submit_for(&cluster, &hosts, 10_000, Duration::from_secs(2)).await;
    assert_eq!(cluster.invariants.starts_at("t-a-"), starts);
    let line = |host: &Host| {
        let lines = host.log_lines().into_iter();
        lines.filter(|line| line["msg"] == "zone evacuated").collect::<Vec<_>>()
    };
    let lines: Vec<_> = hosts[..2].iter().flat_map(line).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines.iter().all(|line| line["from"] == "a peer" && line["of"] == "a"), "{lines:?}");
    cluster.store.restore("a");
    submit_for(&cluster, &hosts, 20_000, Duration::from_secs(2)).await;
    assert!(cluster.invariants.starts_at("t-a-") > starts, "the zone is used again");
}

/// A steward read the whole list of targets again and again, which filled a narrow link in bursts.
#[tokio::test]
async fn a_steward_reads_each_change_of_a_target_once() {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 1).await;
    let mut host = cluster.host("a-1", "a", &[]);
    cluster.launch(&mut host);
    cluster.wait_until_settled(&[&host]).await;
    let targets = 60_u32;
    // Nothing listens on this port.
    let address = ([127, 0, 0, 1], 9).into();
    let entry =
        Entry { address, zone: "a", started_at_ms: 7, draining: false, cpu_millis: CPU_MILLIS };
    let rewrite = |sequence: u32| {
        for number in 0..targets {
            let entry = entry.to_json(sequence);
            cluster.store.put_target(&format!("t-silent-{number}"), &entry);
        }
    };
    rewrite(0);
    wait_until("the host knows all targets", || async {
        let state = cluster.state(&host).await?;
        (state["targets_known"] == targets + 1).then_some(())
    })
    .await;
    let (revision, served) = (cluster.store.revision(), cluster.store.served_items());
    for sequence in 1..=3 {
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        rewrite(sequence);
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    let (changes, served) =
        (cluster.store.revision() - revision, cluster.store.served_items() - served);
    let list = u64::from(targets) + 1;
    assert!(
        served <= changes + list,
        "{served} items for {changes} changes and one list of {list}"
    );
    cluster.store.remove_target("t-silent-0");
    wait_until("the host knows that a target is gone", || async {
        let state = cluster.state(&host).await?;
        (state["targets_known"] == targets).then_some(())
    })
    .await;
}

#[tokio::test]
async fn the_log_has_all_steps_of_a_job() {
    let (cluster, hosts) = cluster().await;
    serve_job(&cluster, &hosts[0], 5).await;
    let job_lines = |host: &Host| {
        let lines = host.log_lines().into_iter();
        lines.filter(|line| line["job"] == id(5).as_str()).collect::<Vec<_>>()
    };
    wait_until("the hosts log all steps", || async {
        let lines: Vec<_> = hosts.iter().flat_map(job_lines).collect();
        let has = |message: &str| lines.iter().any(|line| line["msg"] == message);
        let all = ["job accepted", "tasks sent", "task started", "task ended", "job answered"];
        all.iter().all(|message| has(message)).then_some(())
    })
    .await;
}
