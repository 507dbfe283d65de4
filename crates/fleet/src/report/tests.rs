use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::json::truncate;
use super::{Calls, Limiter, Sum};

/// Writes lines at once and one more later.
fn limits(lines: u32, later_ms: u64, suppressed: u64) {
    let start = Instant::now();
    let mut limiter = Limiter::new(start);
    for _ in 0..lines {
        limiter.try_acquire("task started", start);
    }
    assert!(limiter.try_acquire("peer lost", start), "each message has its own limit");
    limiter.try_acquire("task started", start + Duration::from_millis(later_ms));
    assert_eq!(limiter.take_suppressed(), suppressed);
}

cases! { limits:
    nothing_below_the_limit(10, 0, 0);
    lines_above_the_limit(500, 0, 101);
    no_line_of_the_next_period(500, 1_000, 100);
}

/// Text of other systems is truncated between characters.
fn truncates(text: &str, chars: usize) {
    let line = truncate(text);
    assert_eq!(line.chars().count(), chars);
    assert!(line.starts_with(&text.chars().take(chars.min(80)).collect::<String>()));
}

cases! { truncates:
    no_short_text("servers/i-1", 11);
    no_text_at_the_limit(&"n".repeat(80), 80);
    long_text(&"n".repeat(200), 83);
    long_text_of_multibyte_characters(&"ä".repeat(200), 83);
}

/// Calls of one kind are added up, and each period begins anew.
#[test]
fn calls_of_a_period_are_added_up() {
    let calls = Calls::default();
    calls.record("target.start", 100, 20, Duration::from_millis(3));
    calls.record("target.start", 50, 0, Duration::from_millis(250));
    calls.record("store.targets", 40, 9_000, Duration::from_millis(30));
    let sums = calls.take();
    let longest = Duration::from_millis(250);
    let sum = Sum { calls: 2, sent_bytes: 150, received_bytes: 20, longest };
    assert_eq!(sums["target.start"], sum);
    assert_eq!(sums["target.start"].to_string(), "2/150/20/250");
    assert_eq!(sums.len(), 2);
    assert!(calls.take().is_empty());
}
