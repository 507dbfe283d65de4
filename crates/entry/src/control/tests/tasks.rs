//! Task starts, retries and the outcomes of jobs.

use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::fixture::{SLOTS, TARGETS};
use super::simulation::{How, World};

const ALL: usize = TARGETS * SLOTS as usize;

/// A job submitted at one of several entries uses the slots of all of them.
fn job_fills_the_zone(entries: usize, tasks: usize, at_once: usize) {
    let mut world = World::new(entries);
    world.submit(0, "plain", tasks, 60_000);
    for _ in 0..4 {
        while !world.mail.is_empty() {
            world.deliver(0, false);
        }
        world.pass(Duration::from_millis(60));
    }
    assert_eq!(world.running.len(), at_once);
}

cases! { job_fills_the_zone:
    small_job_alone(1, 2, 2);
    large_job_alone(1, 20, ALL);
    small_job_of_two(2, 2, 2);
    large_job_of_two(2, 20, ALL);
    large_job_of_three(3, 20, ALL);
}

/// A job has this outcome if its attempts end in this way, one after the other.
fn job_ends(tasks: usize, how: &[How], outcome: &str) {
    let mut world = World::new(1);
    let id = world.submit(0, "plain", tasks, 60_000).expect("the entry is ready");
    for how in how {
        if !world.running.is_empty() {
            world.end(0, *how);
        }
    }
    assert_eq!(world.outcomes.keys().collect::<Vec<_>>(), [outcome], "{id}");
}

cases! { job_ends:
    all_run(2, &[How::Output, How::Output], "complete");
    one_fails(2, &[How::Error, How::Output], "failed");
    one_is_lost(1, &[How::Lost], "failed");
    refused_then_run(1, &[How::Busy, How::Output], "complete");
    unreachable_then_run(1, &[How::Unreachable, How::Output], "complete");
}

/// If all targets refuse a task, retries stop at the budget and the job is reported as not run.
fn refusals_end(how: How) {
    let mut world = World::new(1);
    world.submit(0, "plain", 1, 1_000_000);
    let mut refused = 0;
    while !world.running.is_empty() {
        world.end(0, how);
        refused += 1;
        assert!(refused < 200, "repeats are bounded");
    }
    if world.outcomes.is_empty() {
        world.pass(Duration::from_millis(1_000_001));
    }
    assert_eq!(world.outcomes.keys().collect::<Vec<_>>(), ["not_run"]);
}

cases! { refusals_end:
    busy(How::Busy);
    unreachable(How::Unreachable);
    leaving(How::Leaving);
}
