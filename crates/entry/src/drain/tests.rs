//! Tests of the shutdown stages.

use std::time::{Duration, Instant};

use coltsfootshunt_core::submission::Incarnation;
use coltsfootshunt_testkit::cases;

use super::{Exit, Limits, Stage};
use crate::submission::Chunk;

const LIMITS: Limits = Limits { grace: Duration::from_secs(1), timeout: Duration::from_secs(10) };

fn chunks() -> Vec<Chunk> {
    let chunk = |number| Chunk {
        from: Incarnation(1),
        range: number..number + 1,
        age_ms: 0,
        floor: 0,
        next: 2,
        finished: Vec::new(),
    };
    (0..2).map(chunk).collect()
}

/// Shuts down while work is in progress until `busy_secs`. `acknowledges` says whether the
/// successor acknowledges chunks. The process has to end with `wanted` after `after` whole seconds.
fn shutdown_ends(
    busy_secs: u64,
    has_successor: bool,
    acknowledges: bool,
    wanted: Exit,
    after: u64,
) {
    let start = Instant::now();
    let mut stage = Stage::default();
    assert!(stage.is_serving() && stage.accepts_work());
    stage.request_stop(LIMITS, start);
    assert!(!stage.is_serving() && stage.accepts_work(), "new work is accepted during the grace");
    for tenth in 0..200 {
        let now = start + Duration::from_millis(100) * tenth;
        stage.advance(now, u64::from(tenth) < busy_secs * 10, chunks);
        if let Some(chunk) = stage.next_chunk(has_successor, now)
            && acknowledges
        {
            stage.acknowledge(&chunk.id());
        }
        if let Some(exit) = stage.exit() {
            assert_eq!((exit, u64::from(tenth) / 10), (wanted, after));
            return;
        }
    }
    panic!("the shutdown did not end within 20 s");
}

cases! { shutdown_ends:
    idle(0, true, true, Exit::Clean, 1);
    with_work(5, true, true, Exit::Clean, 5);
    without_successor(5, false, false, Exit::Clean, 5);
    successor_does_not_respond(0, true, false, Exit::Overdue, 10);
    work_past_the_deadline(99, true, true, Exit::Overdue, 10);
}

/// A second signal ends the process at once, with its own exit code.
#[test]
fn second_signal_forces_the_exit() {
    let now = Instant::now();
    let mut stage = Stage::default();
    stage.request_stop(LIMITS, now);
    stage.request_stop(LIMITS, now);
    assert_eq!(stage.exit(), Some(Exit::Forced));
    let exits = [Exit::Clean, Exit::Overdue, Exit::Forced, Exit::Failed];
    assert_eq!(exits.map(Exit::code), [0, 1, 2, 3]);
}
