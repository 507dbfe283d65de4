use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::Budget;

fn spends(lines: u32, then_ms: u64, left_out: u64) {
    let start = Instant::now();
    let mut budget = Budget::new(start);
    for _ in 0..lines {
        budget.spend("task started", start);
    }
    assert!(budget.spend("peer lost", start), "another kind has a budget of its own");
    budget.spend("task started", start + Duration::from_millis(then_ms));
    assert_eq!(budget.left_out(), left_out);
}

cases! { spends:
    little_is_all_written(10, 0, 0);
    much_is_cut(500, 0, 101);
    the_next_second_is_fresh(500, 1_000, 100);
}
