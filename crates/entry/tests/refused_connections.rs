//! Hosts as processes whose connections to a living target are refused.

use std::time::Duration;

use coltsfootshunt_platform_standin::process::Cluster;
use coltsfootshunt_standin::cut::{Fault, Relay};
use coltsfootshunt_testkit::{cases, until};

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const TARGETS: usize = 3;
/// A task's thousandths of a core and milliseconds: it outlasts the start of a refusal.
const TASK: (u64, u64) = (14_000, 700);
/// Time into a refusal at which its target still runs the task; well under its lease.
const RUNS_ON: Duration = Duration::from_millis(150);

async fn refuse(times: u32, lasts: Duration, most_starts: u32) {
    let mut relays = Vec::new();
    for _ in 0..TARGETS {
        relays.push(Relay::start().await.expect("a loopback port is free"));
    }
    let cluster = Cluster::start_with_relays(PROGRAM, FOLDER, &["a"], (TARGETS, &mut relays)).await;
    let hosts = cluster.start_hosts(&[("a-1", "a"), ("a-2", "a")]).await;
    for number in 1..=times {
        let id = format!("{number:016x}");
        let (cpu, takes_ms) = TASK;
        let job = cluster.submit(&hosts[0], &id, (1, cpu, takes_ms));
        let refusal = async {
            let busy = until("a target runs the task", || async {
                cluster.targets.iter().position(|target| target.running() == 1)
            })
            .await;
            relays[busy].set(Fault::Refuse);
            tokio::time::sleep(RUNS_ON).await;
            let runs_on = cluster.targets[busy].running();
            tokio::time::sleep(lasts.saturating_sub(RUNS_ON)).await;
            relays[busy].set(Fault::None);
            assert_eq!(runs_on, 1, "the target lives");
        };
        let (answer, ()) = tokio::join!(job, refusal);
        assert!(answer.is_some(), "the caller gets an answer");
        assert_eq!(
            cluster.invariants.violations(),
            Vec::<String>::new(),
            "logs in {:?}",
            cluster.folder()
        );
        let starts = cluster.invariants.starts(&id);
        assert!(starts <= most_starts, "{starts} starts, logs in {:?}", cluster.folder());
        cluster.wait_until_settled(&hosts.iter().collect::<Vec<_>>()).await;
    }
}

/// Refuses a target's connections while it runs a task; no other target runs it meanwhile, and it
/// starts again only once the lease has ended.
fn a_target_that_refuses_connections_runs_its_task_once(times: u32, lasts_ms: u64, starts: u32) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(refuse(times, Duration::from_millis(lasts_ms), starts));
}

cases! { a_target_that_refuses_connections_runs_its_task_once:
    for_less_than_its_lease(5, 300, 1);
    for_longer_than_its_lease(3, 1_800, 2);
}
