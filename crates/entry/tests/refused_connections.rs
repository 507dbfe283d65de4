//! Hosts as processes whose connections to a running target are refused.

use std::time::Duration;

use coltsfootshunt_platform_standin::process::Cluster;
use coltsfootshunt_standin::relay::{Fault, Relay};
use coltsfootshunt_testkit::{cases, wait_until};

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const TARGETS: usize = 3;
/// CPU of a task in thousandths of a core, and its run time in milliseconds. It must still run
/// [`CHECK_AFTER`] into the fault.
const TASK: (u64, u64) = (14_000, 700);
/// Time into the fault at which the target must still run the task; well below the term of its
/// lease.
const CHECK_AFTER: Duration = Duration::from_millis(150);

async fn refuse(jobs: u32, duration: Duration, max_starts: u32) {
    let mut relays = Vec::new();
    for _ in 0..TARGETS {
        relays.push(Relay::start().await.expect("a loopback port is free"));
    }
    let cluster = Cluster::start_with_relays(PROGRAM, FOLDER, &["a"], (TARGETS, &mut relays)).await;
    let hosts = cluster.start_hosts(&[("a-1", "a"), ("a-2", "a")]).await;
    for number in 1..=jobs {
        let id = format!("{number:016x}");
        let (cpu_millis, run_ms) = TASK;
        let job = cluster.submit(&hosts[0], &id, (1, cpu_millis, run_ms));
        let fault = async {
            let target = wait_until("a target runs the task", || async {
                cluster.targets.iter().position(|target| target.running() == 1)
            })
            .await;
            relays[target].set_fault(Fault::Refuse);
            tokio::time::sleep(CHECK_AFTER).await;
            let running = cluster.targets[target].running();
            tokio::time::sleep(duration.saturating_sub(CHECK_AFTER)).await;
            relays[target].set_fault(Fault::None);
            assert_eq!(running, 1, "the target still runs the task");
        };
        let (answer, ()) = tokio::join!(job, fault);
        assert!(answer.is_some(), "the caller gets an answer");
        assert_eq!(
            cluster.invariants.violations(),
            Vec::<String>::new(),
            "logs in {:?}",
            cluster.folder()
        );
        let starts = cluster.invariants.starts(&id);
        assert!(starts <= max_starts, "{starts} starts, logs in {:?}", cluster.folder());
        cluster.wait_until_settled(&hosts.iter().collect::<Vec<_>>()).await;
    }
}

/// Refuses a target's connections while it runs a task. No other target may run the task at the
/// same time; it starts again only after the lease has ended.
fn a_target_that_refuses_connections_runs_its_task_once(
    jobs: u32,
    duration_ms: u64,
    max_starts: u32,
) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(refuse(jobs, Duration::from_millis(duration_ms), max_starts));
}

cases! { a_target_that_refuses_connections_runs_its_task_once:
    for_less_than_its_lease(5, 300, 1);
    for_longer_than_its_lease(3, 1_800, 2);
}
