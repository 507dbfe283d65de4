//! Report of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootshunt_core::answer::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::run::JobResult;
use super::{Arrival, Class, shared_queue};

/// Histograms hold integers: values are recorded in thousandths.
const HISTOGRAM_SCALE: f64 = 1_000.0;
/// Names and values of the reported quantiles.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)];

/// Results of one run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Results of each class, by kind and width.
    pub classes: BTreeMap<String, ClassReport>,
    /// Number of jobs by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of tasks of all jobs.
    pub tasks: usize,
    /// Slot time of the complete jobs, as a share of the slot time of all jobs.
    pub work_in_time: f64,
    /// Slot time of the complete jobs, as a share of the capacity of all slots during the run.
    pub work_of_capacity: f64,
    /// Time until a job is refused, in milliseconds, by quantile.
    pub refusal_ms: BTreeMap<String, f64>,
    /// Number of refused submissions by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Number of messages between entries by type.
    pub messages: BTreeMap<String, u64>,
    /// Mean number of messages between entries for each task.
    pub messages_per_task: f64,
    /// Number of tasks that were sent to a target and had no output.
    pub faults: u64,
    /// Median response time of a direct call to a target, in milliseconds.
    pub direct_ms: f64,
    /// Median response time of the same task through the dispatcher, in milliseconds.
    #[serde(rename = "through_ms")]
    pub end_to_end_ms: f64,
}

/// Results of one class.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// Number of jobs sent.
    pub jobs: usize,
    /// Number of complete jobs.
    pub complete: usize,
    /// Response time as a multiple of the ideal one, by quantile. The ideal is the longest task and
    /// one direct call.
    pub ratio: BTreeMap<String, f64>,
    /// The same multiple for the simulated shared queue, by quantile.
    pub shared_queue_ratio: BTreeMap<String, f64>,
    /// Response time, in milliseconds, by quantile.
    pub response_ms: BTreeMap<String, f64>,
}

/// Measurements from which a report is computed.
pub struct Measurements<'a> {
    /// Classes of jobs.
    pub mix: &'a [Class],
    /// All jobs sent.
    pub arrivals: &'a [Arrival],
    /// Results of the jobs, in the order of the arrivals.
    pub results: &'a [JobResult],
    /// Number of slots of all targets.
    pub slots: usize,
    /// Median response time of a direct call to a target.
    pub direct: Duration,
    /// Median response time of the same task through the dispatcher.
    pub end_to_end: Duration,
    /// Metrics of the entries before and after the run, in the Prometheus text format.
    pub counters: (&'a str, &'a str),
}

impl Report {
    /// Computes the report.
    #[must_use]
    pub fn new(measurements: &Measurements<'_>) -> Self {
        let shared = shared_queue::response_times(measurements.arrivals, measurements.slots);
        let mut classes = BTreeMap::new();
        for (index, class) in measurements.mix.iter().enumerate() {
            let name = format!("{} x{}", class.kind, class.width);
            classes.insert(name, ClassReport::new(measurements, index, &shared));
        }
        let messages = increase(measurements.counters, "coltsfootshunt_messages_total");
        let tasks: usize = measurements.arrivals.iter().map(|arrival| arrival.tasks_ms.len()).sum();
        let total: u64 = messages.values().sum();
        let arrived: f64 = measurements.arrivals.iter().map(work_ms).sum();
        let last_arrival =
            measurements.arrivals.last().map_or(0.0, |arrival| arrival.at.as_secs_f64());
        let complete: f64 = measurements
            .results
            .iter()
            .filter(|result| result.outcome == Some(Outcome::Complete))
            .map(|result| work_ms(&measurements.arrivals[result.arrival]))
            .sum();
        let faults = increase(measurements.counters, "coltsfootshunt_faults_total");
        Self {
            classes,
            outcomes: outcomes(measurements.results),
            tasks,
            work_in_time: complete / arrived,
            work_of_capacity: complete / (measurements.slots as f64 * last_arrival * 1e3),
            refusals: increase(measurements.counters, "coltsfootshunt_refusals_total"),
            refusal_ms: refusal_times(measurements.results),
            messages_per_task: total as f64 / tasks as f64,
            messages,
            faults: faults.values().sum(),
            direct_ms: millis(measurements.direct),
            end_to_end_ms: millis(measurements.end_to_end),
        }
    }

    /// Formats the report as a table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut lines = Vec::new();
        lines.push(format!(
            "{:<14} {:>7} {:>9} {:>22} {:>22}",
            "class", "jobs", "complete", "over ideal p50/99/99.9", "shared queue"
        ));
        for (name, class) in &self.classes {
            lines.push(format!(
                "{name:<14} {:>7} {:>9} {:>22} {:>22}",
                class.jobs,
                class.complete,
                row(&class.ratio),
                row(&class.shared_queue_ratio),
            ));
        }
        lines.push(format!("outcomes {:?}", self.outcomes));
        lines.push(format!(
            "work in time: {:.3} of all arrived work, {:.3} of capacity; faults {}",
            self.work_in_time, self.work_of_capacity, self.faults
        ));
        lines.push(format!(
            "refusals {:?}, refusal times in ms {:?}",
            self.refusals, self.refusal_ms
        ));
        lines.push(format!("messages per task {:.4}: {:?}", self.messages_per_task, self.messages));
        lines.push(format!(
            "task without run time: direct {:.3} ms, through the dispatcher {:.3} ms",
            self.direct_ms, self.end_to_end_ms
        ));
        lines.join("\n")
    }
}

impl ClassReport {
    fn new(measurements: &Measurements<'_>, class: usize, shared: &[Duration]) -> Self {
        let mut ratio = histogram();
        let mut shared_ratio = histogram();
        let mut response = histogram();
        let mut jobs = 0;
        let mut complete = 0;
        for result in measurements.results {
            let arrival = &measurements.arrivals[result.arrival];
            if arrival.class != class {
                continue;
            }
            jobs += 1;
            let longest_ms = arrival.tasks_ms.iter().copied().fold(0.0, f64::max);
            let round_trip = millis(measurements.direct);
            let ideal_ms = longest_ms + round_trip;
            let shared_ms = millis(shared[result.arrival]) + round_trip;
            record(&mut shared_ratio, shared_ms / ideal_ms);
            if result.outcome == Some(Outcome::Complete) {
                complete += 1;
                record(&mut ratio, millis(result.response_time) / ideal_ms);
                record(&mut response, millis(result.response_time));
            }
        }
        Self {
            jobs,
            complete,
            ratio: quantiles(&ratio),
            shared_queue_ratio: quantiles(&shared_ratio),
            response_ms: quantiles(&response),
        }
    }
}

fn histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    const MAX_VALUE: u64 = 1 << 40;
    Histogram::new_with_max(MAX_VALUE, SIGNIFICANT_DIGITS)
        .expect("the bounds of the histogram are valid")
}

fn record(histogram: &mut Histogram<u64>, value: f64) {
    histogram.saturating_record((value * HISTOGRAM_SCALE).round() as u64);
}

fn quantiles(histogram: &Histogram<u64>) -> BTreeMap<String, f64> {
    let value = |quantile| histogram.value_at_quantile(quantile) as f64 / HISTOGRAM_SCALE;
    QUANTILES.iter().map(|(name, quantile)| ((*name).to_owned(), value(*quantile))).collect()
}

fn row(quantiles: &BTreeMap<String, f64>) -> String {
    let values = QUANTILES.iter().map(|(name, _)| format!("{:.3}", quantiles[*name]));
    values.collect::<Vec<_>>().join(" ")
}

fn outcomes(results: &[JobResult]) -> BTreeMap<String, usize> {
    let mut outcomes = BTreeMap::new();
    for result in results {
        let name = result.outcome.map_or("no answer".to_owned(), |outcome| outcome.to_string());
        *outcomes.entry(name).or_default() += 1;
    }
    outcomes
}

/// Quantiles of the response times of refused jobs. Empty if there are none.
fn refusal_times(results: &[JobResult]) -> BTreeMap<String, f64> {
    let mut times = histogram();
    for result in results.iter().filter(|result| result.outcome == Some(Outcome::NotRun)) {
        record(&mut times, millis(result.response_time));
    }
    if times.is_empty() { BTreeMap::new() } else { quantiles(&times) }
}

/// Increase of a counter between two renderings of the metrics, by the value of its first label.
fn increase((before, after): (&str, &str), name: &str) -> BTreeMap<String, u64> {
    let before = counter(before, name);
    let mut increases = counter(after, name);
    for (label, value) in &mut increases {
        *value -= before.get(label).copied().unwrap_or_default();
    }
    increases
}

/// Values of a counter by the value of its first label.
fn counter(text: &str, name: &str) -> BTreeMap<String, u64> {
    let mut values = BTreeMap::new();
    for line in text.lines().filter(|line| line.starts_with(name)) {
        let Some((labels, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let label = labels.split('"').nth(1).unwrap_or_default();
        *values.entry(label.to_owned()).or_default() += value.parse::<u64>().unwrap_or_default();
    }
    values
}

/// Slot time of a job, in milliseconds.
fn work_ms(arrival: &Arrival) -> f64 {
    arrival.tasks_ms.iter().sum()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
