//! Tests of the load tool.

use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::{Arrival, Class, Crest, Shape, shared_queue};

fn shape(load: f64, crest: Option<Crest>) -> Shape {
    let class = Class::try_from("short:100:0.5:1:10").expect("it has the form");
    let lasts = Duration::from_secs(60);
    Shape { mix: vec![class], load, rate: None, slots: 400, lasts, crest, seed: 1 }
}

/// Arrivals bring the work that was asked for, and the same again from the same seed.
fn brings(load: f64, factor: f64, wanted: f64) {
    let crest = (factor > 1.0).then_some(Crest {
        factor,
        from: Duration::from_secs(20),
        lasts: Duration::from_secs(20),
    });
    let shape = shape(load, crest);
    let arrivals = shape.draw();
    let work: f64 = arrivals.iter().flat_map(|arrival| &arrival.tasks_ms).sum();
    let found = work / 1e3 / (400.0 * 60.0);
    assert!((found - wanted).abs() < 0.03, "{found}");
    assert_eq!(arrivals.len(), shape.draw().len());
}

cases! { brings:
    even(0.7, 1.0, 0.7);
    with_a_crest(0.3, 4.0, 0.6);
}

/// A rate that is given goes before the load.
#[test]
fn given_rate_counts() {
    let shape = Shape { rate: Some(50.0), ..shape(0.7, None) };
    let jobs = shape.draw().len();
    assert!((2_800..3_200).contains(&jobs), "{jobs} in 60 s");
}

/// Response of the last of some jobs, given as (at, tasks), in milliseconds, on so many slots.
fn waits(slots: usize, jobs: &[(u64, &[f64])], wanted_ms: u64) {
    let arrival = |(at, tasks_ms): &(u64, &[f64])| Arrival {
        at: Duration::from_millis(*at),
        class: 0,
        tasks_ms: tasks_ms.to_vec(),
    };
    let arrivals: Vec<_> = jobs.iter().map(arrival).collect();
    let responses = shared_queue::responses(&arrivals, slots);
    let last = responses.last().expect("there is one");
    assert_eq!(last.as_millis(), u128::from(wanted_ms));
}

cases! { waits:
    alone(2, &[(0, &[100.0])], 100);
    wider_than_the_slots(2, &[(0, &[100.0, 100.0, 100.0])], 200);
    behind_another(1, &[(0, &[100.0]), (50, &[10.0])], 60);
    after_another(1, &[(0, &[100.0]), (150, &[10.0])], 10);
}

/// A text is no class of work.
fn no_class(text: &str) {
    assert!(Class::try_from(text).is_err());
}

cases! { no_class:
    empty("");
    too_few_parts("short:1:1:1");
    no_number("short:x:1:1:1");
}
