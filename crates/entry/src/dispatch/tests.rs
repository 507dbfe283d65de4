//! Tests of admission, the queue, the reserve and the retry budget.

use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::Refusal;
use coltsfootshunt_core::config::TeamConfig;
use coltsfootshunt_core::name::{Kind, Team};
use coltsfootshunt_testkit::cases;

use super::{
    Admission, Arrival, Budget, Demand, Everything, Lane, Limit, Order, Predicted, Queue, Reserve,
    Slack, Supply, Timing,
};
use crate::quota::Shares;

const MS: Duration = Duration::from_millis(1);

fn lane(team: &str, kind: &str) -> Lane {
    Lane {
        team: Team::try_from(team).expect("a valid name"),
        kind: Kind::try_from(kind).expect("a valid name"),
    }
}

fn shares(teams: &[(&str, u32)]) -> Shares {
    let config = |(name, share): &(&str, u32)| TeamConfig {
        name: Team::try_from(*name).expect("a valid name"),
        share: *share,
    };
    let mut shares = Shares::default();
    shares.configure(&teams.iter().map(config).collect::<Vec<_>>());
    shares
}

/// Checks which of two jobs is served first, 1 or 2. Jobs are given as (arrival, deadline, run
/// time) in milliseconds.
fn first_of(order: &dyn Order, one: (u32, u32, u32), two: (u32, u32, u32), expected: u8) {
    let now = Instant::now();
    let rank = |(arrival, deadline, run_time): (u32, u32, u32)| {
        order.rank(&Timing {
            arrived_at: now + MS * arrival,
            deadline: now + MS * deadline,
            run_time: MS * run_time,
        })
    };
    let first = if rank(one) <= rank(two) { 1 } else { 2 };
    assert_eq!(first, expected);
}

cases! { first_of:
    arrival_ignores_deadline(&Arrival, (0, 9_000, 10), (1, 100, 10), 1);
    slack_prefers_earlier_deadline(&Slack, (0, 9_000, 10), (1, 100, 10), 2);
    slack_considers_run_time(&Slack, (0, 1_000, 10), (1, 1_100, 900), 2);
}

/// Checks the predicted time, in milliseconds, of a job with 10 tasks of 100 ms. An error means
/// that the job is refused as late.
fn admits(slots: u32, queued_ms: u32, deadline_ms: u32, expected: Result<u64, u64>) {
    let demand =
        Demand { timeout: MS * deadline_ms, tasks: 10, mean_run: MS * 100, longest_run: MS * 150 };
    let supply = Supply { slots, free_slots: 0, queued_work: MS * queued_ms, queued_tasks: 5 };
    let found = Predicted::default().admit(&demand, &supply);
    let found = match found {
        Ok(predicted) => Ok(predicted.as_millis() as u64),
        Err(Refusal::Late { predicted_ms }) => Err(predicted_ms),
        Err(other) => panic!("unexpected refusal: {other}"),
    };
    assert_eq!(found, expected);
    assert!(Everything::default().admit(&demand, &supply).is_ok(), "the baseline accepts all jobs");
}

cases! { admits:
    empty_queue(10, 0, 1_000, Ok(265));
    long_queue(10, 10_000, 1_000, Err(1_415));
    long_queue_and_long_timeout(10, 10_000, 2_000, Ok(1_415));
    no_slots(0, 0, 1_000, Err(1_300));
}

/// The limit of the queue applies to every admission policy.
fn limits_queue(admission: &dyn Admission) {
    let demand = Demand { timeout: MS * 1_000, tasks: 10, mean_run: MS, longest_run: MS };
    let supply = Supply { slots: 1_000, free_slots: 0, queued_work: MS, queued_tasks: 95 };
    assert_eq!(admission.admit(&demand, &supply), Err(Refusal::Full));
}

cases! { limits_queue:
    predicted(&Predicted { limit: Limit { max_tasks: 100 } });
    everything(&Everything { limit: Limit { max_tasks: 100 } });
}

/// Checks which team's task is next if team `a` holds `held` of 10 slots. The jobs of the teams
/// arrived in the given order.
fn next_team(held: u32, teams: &[(&str, u32)], expected: &str) {
    let now = Instant::now();
    let mut shares = shares(teams);
    let mut queue = Queue::default();
    for (number, (team, _)) in teams.iter().enumerate() {
        let number = number as u64;
        queue.push(lane(team, "kind"), number, now + MS * number as u32, MS, [0]);
    }
    for _ in 0..held {
        shares.acquire(&Team::try_from("a").expect("a valid name"));
    }
    let next = queue.peek(&shares, 10, |_| true).expect("tasks are waiting");
    assert_eq!(&*next.lane.team, expected);
}

cases! { next_team:
    no_team_over_share(0, &[("a", 1), ("b", 1)], "a");
    over_equal_share(5, &[("a", 1), ("b", 1)], "b");
    below_larger_share(5, &[("a", 3), ("b", 1)], "a");
    unused_share_is_available(9, &[("a", 1)], "a");
}

/// A removed job leaves no tasks, work or lane behind.
#[test]
fn remove_leaves_nothing() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(lane("a", "x"), 1, now, MS * 3, 0..50);
    queue.push(lane("a", "y"), 2, now, MS, 0..2);
    let shares = shares(&[("a", 1)]);
    let next = queue.peek(&shares, 1, |kind| **kind == *"x").expect("tasks are waiting");
    queue.pop(&next);
    queue.remove(1);
    assert_eq!((queue.len(), queue.queued_work(), queue.lanes().count()), (2, MS * 2, 1));
    queue.remove(2);
    assert!(queue.is_empty() && queue.lanes().count() == 0 && queue.queued_work().is_zero());
}

/// Checks whether another long task may start on 100 slots, of which `long` hold long tasks, after
/// `short` slots have held short tasks for a while.
fn starts_long(short: u32, long: u32, expected: bool) {
    let mut reserve = Reserve::default();
    for _ in 0..short {
        reserve.acquire(false);
    }
    for _ in 0..long {
        reserve.acquire(true);
    }
    for _ in 0..50 {
        reserve.sample();
    }
    assert_eq!(reserve.can_start_long(100), expected);
}

cases! { starts_long:
    no_short_tasks(0, 99, true);
    all_slots_used(0, 100, false);
    some_short_tasks(20, 60, true);
    reserve_reached(20, 72, false);
    at_least_one_long_task(200, 0, true);
}

/// In the long run, retries are limited to a fraction of the attempts.
#[test]
fn retries_are_limited() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!((100..=160).contains(&retries), "{retries} of 1,000");
}
