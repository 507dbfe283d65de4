//! Hosts as processes under random faults from outside: what callers and targets see keeps to the
//! promises. `COLTSFOOTSHUNT_SEEDS` gives the number of fresh seeds.

mod soak_world;

use coltsfootshunt_testkit::cases;
use soak_world::Soak;

/// Fresh seeds of a run; none unless asked for.
fn fresh() -> u64 {
    let asked = std::env::var("COLTSFOOTSHUNT_SEEDS").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or_default()
}

async fn keeps_promises(seed: u64) {
    println!("seed {seed}");
    let mut soak = Soak::start(seed).await;
    soak.play().await;
    soak.mend().await;
    let broken = soak.judge().await;
    assert!(broken.is_empty(), "seed {seed}, logs in {}: {broken:#?}", soak.folder());
}

fn replays(seed: u64) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(keeps_promises(seed));
}

cases! { replays:
    first_seed(1);
    second_seed(2);
    // A refused connection was taken for the end of what ran at its target: tasks ran twice.
    refused_while_it_runs(200_118_555_672_488);
}

#[tokio::test(flavor = "multi_thread")]
async fn fresh_seeds() {
    let first: u64 = rand::random::<u64>() >> 16;
    for seed in first..first + fresh() {
        keeps_promises(seed).await;
    }
}
