//! Three kinds of failed job that the log lines of the hosts must explain. The lines that
//! docs/OPERATIONS.md names must be there, with the job's identifier.

use std::time::Duration;

use coltsfootshunt_platform_standin::process::{Cluster, Host};
use coltsfootshunt_testkit::{Signal, wait_until};
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

/// Waits until the hosts have logged lines with these messages about a job. The last message must
/// have this field, a pair of key and value.
async fn wait_for_lines(hosts: &[Host], job: &str, messages: &[&str], field: (&str, &str)) {
    wait_until("the hosts log the messages", || async {
        let mut lines: Vec<Value> = hosts.iter().flat_map(Host::log_lines).collect();
        lines.retain(|line| line["job"] == job);
        let has = |message: &&str| lines.iter().any(|line| line["msg"] == **message);
        let last = lines
            .iter()
            .find(|line| line["msg"] == *messages.last().expect("there is a message"))?;
        let has_all = messages.iter().all(has) && last[field.0] == field.1;
        has_all.then_some(())
    })
    .await;
}

/// More jobs arrive at once than a small fleet can complete on time.
#[tokio::test]
async fn refused_under_overload() {
    let (cluster, hosts) = cluster(&[("a-1", "a")], 1).await;
    let ids: Vec<String> = (1..=60).map(id).collect();
    let jobs = ids.iter().map(|id| cluster.submit(&hosts[0], id, (1, 14_000, 100)));
    let answers = futures_util::future::join_all(jobs).await;
    let refused = |answer: &Option<(u16, Value)>| matches!(answer, Some((429, _)));
    let index = answers.iter().position(refused).expect("some jobs are refused");
    assert_eq!(cluster.invariants.starts(&ids[index]), 0);
    wait_until("the host logs the refusal", || async {
        let mut lines = hosts[0].log_lines();
        lines.retain(|line| line["job"] == ids[index].as_str());
        let refused_at_once =
            |line: &Value| line["msg"] == "job refused" && line["wait_ms"].is_u64();
        let refused_later =
            |line: &Value| line["msg"] == "job answered" && line["outcome"] == "too_late";
        lines.iter().any(|line| refused_at_once(line) || refused_later(line)).then_some(())
    })
    .await;
}

/// A job's only task hangs on its target until the job's deadline.
#[tokio::test]
async fn timed_out_on_a_hanging_target() {
    let (cluster, hosts) = cluster(&[("a-1", "a")], 1).await;
    let hang = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.targets[0].stall(Duration::from_secs(5));
    };
    let job = id(1);
    let (answer, ()) = tokio::join!(cluster.submit(&hosts[0], &job, (1, 14_000, 300)), hang);
    assert_eq!(answer.map(|one| one.0), Some(504));
    let messages = ["job accepted", "tasks sent", "task started", "job answered"];
    wait_for_lines(&hosts, &job, &messages, ("reason", "its caller's deadline")).await;
}

/// The steward of a job's targets crashes.
#[tokio::test]
async fn lost_with_its_steward() {
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
    let messages = ["job accepted", "tasks sent", "task started", "job answered"];
    wait_for_lines(&hosts, &job, &messages, ("reason", "its steward is gone")).await;
    let lost = |line: &Value| line["msg"] == "peer lost" && line["peer"] == names[steward].0;
    assert!(hosts[owner].log_lines().iter().any(lost));
}
