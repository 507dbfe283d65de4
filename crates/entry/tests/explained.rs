//! Three kinds of failed job, each told from the logs of the hosts alone: the lines that
//! docs/OPERATIONS.md names are there, with the job's identifier.

use std::time::Duration;

use coltsfootshunt_platform_standin::process::{Cluster, Host};
use coltsfootshunt_testkit::{Signal, until};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

async fn cluster(names: &[(&str, &str)], targets: usize) -> (Cluster, Vec<Host>) {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], targets).await;
    let hosts = cluster.start_hosts(names).await;
    (cluster, hosts)
}

fn id(number: usize) -> String {
    format!("{number:016x}")
}

/// Waits until the hosts have written, about a job, lines with these texts, the last of them with
/// this reason or outcome.
async fn tells(hosts: &[Host], job: &str, texts: &[&str], last: (&str, &str)) {
    until("the lines are written", || async {
        let mut lines: Vec<Value> = hosts.iter().flat_map(Host::log_lines).collect();
        lines.retain(|line| line["job"] == job);
        let has = |text: &&str| lines.iter().any(|line| line["msg"] == **text);
        let end = lines.iter().find(|line| line["msg"] == *texts.last().expect("some lines"))?;
        let told = texts.iter().all(has) && end[last.0] == last.1;
        told.then_some(())
    })
    .await;
}

/// More jobs than a small fleet can have on time come at once.
#[tokio::test]
async fn turned_away_at_a_crest() {
    let (cluster, hosts) = cluster(&[("a-1", "a")], 1).await;
    let ids: Vec<String> = (1..=60).map(id).collect();
    let jobs = ids.iter().map(|id| cluster.submit(&hosts[0], id, (1, 14_000, 100)));
    let answers = futures_util::future::join_all(jobs).await;
    let refused = |answer: &Option<(u16, Value)>| matches!(answer, Some((429, _)));
    let place = answers.iter().position(refused).expect("some are turned away");
    assert_eq!(cluster.invariants.starts(&ids[place]), 0);
    until("the refusal is written", || async {
        let mut lines = hosts[0].log_lines();
        lines.retain(|line| line["job"] == ids[place].as_str());
        let at_once = |line: &Value| line["msg"] == "job refused" && line["wait_ms"].is_u64();
        let later = |line: &Value| line["msg"] == "job answered" && line["outcome"] == "too_late";
        lines.iter().any(|line| at_once(line) || later(line)).then_some(())
    })
    .await;
}

/// A job's only task stands still on its target until the caller goes.
#[tokio::test]
async fn given_up_after_its_target_hung() {
    let (cluster, hosts) = cluster(&[("a-1", "a")], 1).await;
    let hang = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.targets[0].stall(Duration::from_secs(5));
    };
    let job = id(1);
    let (answer, ()) = tokio::join!(cluster.submit(&hosts[0], &job, (1, 14_000, 300)), hang);
    assert_eq!(answer.map(|one| one.0), Some(504));
    let texts = ["job accepted", "tasks sent", "task started", "job answered"];
    tells(&hosts, &job, &texts, ("reason", "its deadline")).await;
}

/// The host that gave a job's tasks their orders dies.
#[tokio::test]
async fn lost_with_a_host() {
    let names = [("a-1", "a"), ("a-2", "a")];
    let (cluster, mut hosts) = cluster(&names, 2).await;
    let state = cluster.state(&hosts[0]).await.expect("the host answers");
    let steward = usize::from(state["claims"].as_array().is_none_or(Vec::is_empty));
    let owner = 1 - steward;
    let kill = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        hosts[steward].signal(Signal::Kill);
    };
    let job = id(1);
    let (answer, ()) = tokio::join!(cluster.submit(&hosts[owner], &job, (2, 9_000, 900)), kill);
    hosts[steward].wait_for_exit().await;
    assert_eq!(answer.map(|one| one.0), Some(504));
    let texts = ["job accepted", "tasks sent", "task started", "job answered"];
    tells(&hosts, &job, &texts, ("reason", "its steward is gone")).await;
    let lost = |line: &Value| line["msg"] == "peer lost" && line["peer"] == names[steward].0;
    assert!(hosts[owner].log_lines().iter().any(lost));
}
