//! Hosts as processes under random faults. Checks the guarantees by the answers to callers and the
//! starts at targets. The environment variable `COLTSFOOTSHUNT_SEEDS` is the number of fresh seeds.

mod soak_world;

use coltsfootshunt_testkit::cases;
use soak_world::Soak;

/// Number of fresh seeds; 0 by default.
fn fresh_seed_count() -> u64 {
    let variable = std::env::var("COLTSFOOTSHUNT_SEEDS").ok();
    variable.and_then(|text| text.parse().ok()).unwrap_or_default()
}

async fn keeps_guarantees(seed: u64) {
    println!("seed {seed}");
    let mut soak = Soak::start(seed).await;
    soak.run().await;
    soak.recover().await;
    let violations = soak.check().await;
    assert!(violations.is_empty(), "seed {seed}, logs in {}: {violations:#?}", soak.folder());
}

fn with_seed(seed: u64) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(keeps_guarantees(seed));
}

cases! { with_seed:
    first(1);
    second(2);
    // Guards against taking a refused connection for the end of the tasks that run on its target,
    // which made tasks run twice.
    connections_refused_while_tasks_run(200_118_555_672_488);
}

#[tokio::test(flavor = "multi_thread")]
async fn fresh_seeds() {
    let first: u64 = rand::random::<u64>() >> 16;
    for seed in first..first + fresh_seed_count() {
        keeps_guarantees(seed).await;
    }
}
