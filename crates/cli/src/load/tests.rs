//! Tests of the generated arrivals and of the simulated shared queue.

use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::{Arrival, Class, Peak, Workload, shared_queue};

fn workload(load: f64, peak: Option<Peak>) -> Workload {
    let class = Class::try_from("short:100:0.5:1:10").expect("the class is valid");
    let duration = Duration::from_secs(60);
    Workload { mix: vec![class], load, rate: None, slots: 400, duration, peak, seed: 1 }
}

/// The arrivals have the requested work, and equal seeds give equally many.
fn generates_load(load: f64, factor: f64, expected: f64) {
    let peak = (factor > 1.0).then_some(Peak {
        factor,
        start: Duration::from_secs(20),
        duration: Duration::from_secs(20),
    });
    let workload = workload(load, peak);
    let arrivals = workload.generate();
    let work: f64 = arrivals.iter().flat_map(|arrival| &arrival.tasks_ms).sum();
    let found = work / 1e3 / (400.0 * 60.0);
    assert!((found - expected).abs() < 0.03, "{found}");
    assert_eq!(arrivals.len(), workload.generate().len());
}

cases! { generates_load:
    at_a_constant_rate(0.7, 1.0, 0.7);
    with_a_peak(0.3, 4.0, 0.6);
}

#[test]
fn rate_takes_precedence_over_load() {
    let workload = Workload { rate: Some(50.0), ..workload(0.7, None) };
    let jobs = workload.generate().len();
    assert!((2_800..3_200).contains(&jobs), "{jobs} in 60 s");
}

/// Checks the response time of the last job. Jobs are given as arrival and run times of tasks, in
/// milliseconds.
fn responds_after(slots: usize, jobs: &[(u64, &[f64])], expected_ms: u64) {
    let arrival = |(at, tasks_ms): &(u64, &[f64])| Arrival {
        at: Duration::from_millis(*at),
        class: 0,
        tasks_ms: tasks_ms.to_vec(),
    };
    let arrivals: Vec<_> = jobs.iter().map(arrival).collect();
    let responses = shared_queue::response_times(&arrivals, slots);
    let last = responses.last().expect("there is a job");
    assert_eq!(last.as_millis(), u128::from(expected_ms));
}

cases! { responds_after:
    a_single_job(2, &[(0, &[100.0])], 100);
    more_tasks_than_slots(2, &[(0, &[100.0, 100.0, 100.0])], 200);
    behind_a_running_job(1, &[(0, &[100.0]), (50, &[10.0])], 60);
    after_a_finished_job(1, &[(0, &[100.0]), (150, &[10.0])], 10);
}

fn rejects_class(text: &str) {
    assert!(Class::try_from(text).is_err());
}

cases! { rejects_class:
    empty("");
    too_few_parts("short:1:1:1");
    median_that_is_no_number("short:x:1:1:1");
}
