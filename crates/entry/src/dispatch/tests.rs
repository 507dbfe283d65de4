//! Tests of this slice.

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
        team: Team::try_from(team).expect("a name"),
        kind: Kind::try_from(kind).expect("a name"),
    }
}

fn shares(teams: &[(&str, u32)]) -> Shares {
    let plan = |(name, share): &(&str, u32)| TeamConfig {
        name: Team::try_from(*name).expect("a name"),
        share: *share,
    };
    let mut shares = Shares::default();
    shares.configure(&teams.iter().map(plan).collect::<Vec<_>>());
    shares
}

/// Which of two jobs goes first: (arrived, due, alone), all in milliseconds.
fn first_of(order: &dyn Order, one: (u32, u32, u32), two: (u32, u32, u32), wanted: u8) {
    let now = Instant::now();
    let rank = |(since, due, alone): (u32, u32, u32)| {
        order.rank(&Timing {
            arrived_at: now + MS * since,
            deadline: now + MS * due,
            run_time: MS * alone,
        })
    };
    let first = if rank(one) <= rank(two) { 1 } else { 2 };
    assert_eq!(first, wanted);
}

cases! { first_of:
    arrival_looks_at_nothing_else(&Arrival, (0, 9_000, 10), (1, 100, 10), 1);
    slack_prefers_the_pressing(&Slack, (0, 9_000, 10), (1, 100, 10), 2);
    slack_counts_run_time(&Slack, (0, 1_000, 10), (1, 1_100, 900), 2);
}

/// A job of 10 tasks of 100 ms, with so many slots, so much queued, is predicted so.
fn admits(slots: u32, queued_ms: u32, deadline_ms: u32, wanted: Result<u64, u64>) {
    let demand =
        Demand { timeout: MS * deadline_ms, tasks: 10, mean_run: MS * 100, longest_run: MS * 150 };
    let supply = Supply { slots, free_slots: 0, queued_work: MS * queued_ms, queued_tasks: 5 };
    let found = Predicted::default().admit(&demand, &supply);
    let found = match found {
        Ok(predicted) => Ok(predicted.as_millis() as u64),
        Err(Refusal::Late { predicted_ms }) => Err(predicted_ms),
        Err(other) => panic!("{other}"),
    };
    assert_eq!(found, wanted);
    assert!(Everything::default().admit(&demand, &supply).is_ok(), "the baseline takes all");
}

cases! { admits:
    idle_fleet(10, 0, 1_000, Ok(265));
    long_queue(10, 10_000, 1_000, Err(1_415));
    patient_caller(10, 10_000, 2_000, Ok(1_415));
    no_slot_at_all(0, 0, 1_000, Err(1_300));
}

/// The queue's bound holds for every admission.
fn bounded(admission: &dyn Admission) {
    let demand = Demand { timeout: MS * 1_000, tasks: 10, mean_run: MS, longest_run: MS };
    let supply = Supply { slots: 1_000, free_slots: 0, queued_work: MS, queued_tasks: 95 };
    assert_eq!(admission.admit(&demand, &supply), Err(Refusal::Full));
}

cases! { bounded:
    predicted(&Predicted { limit: Limit { max_tasks: 100 } });
    everything(&Everything { limit: Limit { max_tasks: 100 } });
}

/// With these slots held by team `a`, of 10 in all, this team's task goes next. Team `a` came
/// first.
fn next_team(held: u32, teams: &[(&str, u32)], wanted: &str) {
    let now = Instant::now();
    let mut shares = shares(teams);
    let mut queue = Queue::default();
    for (number, (team, _)) in teams.iter().enumerate() {
        let number = number as u64;
        queue.push(lane(team, "kind"), number, now + MS * number as u32, MS, [0]);
    }
    for _ in 0..held {
        shares.acquire(&Team::try_from("a").expect("a name"));
    }
    let pick = queue.peek(&shares, 10, |_| true).expect("work waits");
    assert_eq!(&*pick.lane.team, wanted);
}

cases! { next_team:
    nobody_over(0, &[("a", 1), ("b", 1)], "a");
    over_its_half(5, &[("a", 1), ("b", 1)], "b");
    larger_share(5, &[("a", 3), ("b", 1)], "a");
    unused_share_is_lent(9, &[("a", 1)], "a");
}

/// Dropping a job leaves nothing of it behind.
#[test]
fn dropped_job_leaves_nothing() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(lane("a", "x"), 1, now, MS * 3, 0..50);
    queue.push(lane("a", "y"), 2, now, MS, 0..2);
    let shares = shares(&[("a", 1)]);
    let pick = queue.peek(&shares, 1, |kind| **kind == *"x").expect("work waits");
    queue.pop(&pick);
    queue.remove(1);
    assert_eq!((queue.len(), queue.queued_work(), queue.lanes().count()), (2, MS * 2, 1));
    queue.remove(2);
    assert!(queue.is_empty() && queue.lanes().count() == 0 && queue.queued_work().is_zero());
}

/// Long work may take another of 100 slots while short work usually holds `short` of them.
fn long_work(short: u32, long: u32, wanted: bool) {
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
    assert_eq!(reserve.can_start_long(100), wanted);
}

cases! { long_work:
    no_short_work(0, 99, true);
    all_slots(0, 100, false);
    some_short_work(20, 60, true);
    reserve_is_reached(20, 72, false);
    never_shut_out(200, 0, true);
}

/// Repeats are a part of first attempts in the long run.
#[test]
fn repeats_are_bounded() {
    let mut budget = Budget::default();
    let mut repeats = 0;
    for _ in 0..1_000 {
        budget.deposit();
        repeats += u32::from(budget.try_withdraw());
    }
    assert!((100..=160).contains(&repeats), "{repeats} of 1,000");
}
