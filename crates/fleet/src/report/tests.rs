use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::Limiter;
use super::json::short;

fn spends(lines: u32, then_ms: u64, suppressed: u64) {
    let start = Instant::now();
    let mut limiter = Limiter::new(start);
    for _ in 0..lines {
        limiter.try_acquire("task started", start);
    }
    assert!(limiter.try_acquire("peer lost", start), "another kind has a budget of its own");
    limiter.try_acquire("task started", start + Duration::from_millis(then_ms));
    assert_eq!(limiter.take_suppressed(), suppressed);
}

cases! { spends:
    little_is_all_written(10, 0, 0);
    much_is_cut(500, 0, 101);
    the_next_second_is_fresh(500, 1_000, 100);
}

/// What other writers chose is cut for a line, never within a character.
fn shortens(text: &str, chars: usize) {
    let line = short(text);
    assert_eq!(line.chars().count(), chars);
    assert!(line.starts_with(&text.chars().take(chars.min(80)).collect::<String>()));
}

cases! { shortens:
    nothing_that_is_short("servers/i-1", 11);
    nothing_at_the_limit(&"n".repeat(80), 80);
    what_is_long(&"n".repeat(200), 83);
    what_is_long_beyond_ascii(&"ä".repeat(200), 83);
}
