//! Figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootshunt_core::answer::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::run::Ended;
use super::{Arrival, Class, shared_queue};

/// Ratios are kept in thousandths.
const RATIO_UNIT: f64 = 1_000.0;
/// Quantiles shown.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)];

/// Figures of one run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Figures of each class of work.
    pub classes: BTreeMap<String, Figures>,
    /// Jobs by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Tasks sent in jobs.
    pub tasks: usize,
    /// Slot time of jobs complete in time against all slot time that arrived.
    pub work_in_time: f64,
    /// Slot time of jobs complete in time against what all slots can give in the run.
    pub work_of_capacity: f64,
    /// Time until a refusal is heard, in milliseconds, by quantile.
    pub refusal_ms: BTreeMap<String, f64>,
    /// Submissions refused, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Messages between entries, by kind.
    pub messages: BTreeMap<String, u64>,
    /// Messages between entries for each task.
    pub messages_per_task: f64,
    /// Tasks that were sent and gave no output.
    pub faults: u64,
    /// Median time of a call straight to a target, in milliseconds.
    pub direct_ms: f64,
    /// Median time of the same task through the system, in milliseconds.
    pub through_ms: f64,
}

/// Figures of one class.
#[derive(Debug, Serialize)]
pub struct Figures {
    /// Jobs sent.
    pub jobs: usize,
    /// Jobs complete.
    pub complete: usize,
    /// Response time over the ideal, by quantile.
    pub ratio: BTreeMap<String, f64>,
    /// The same for one shared queue with the same arrivals.
    pub shared_queue_ratio: BTreeMap<String, f64>,
    /// Response time, in milliseconds, by quantile.
    pub response_ms: BTreeMap<String, f64>,
}

/// What a report is made from.
pub struct Source<'a> {
    /// Classes of work.
    pub mix: &'a [Class],
    /// The arrivals.
    pub arrivals: &'a [Arrival],
    /// What became of them.
    pub ended: &'a [Ended],
    /// Slots of all targets.
    pub slots: usize,
    /// Median time of a direct call.
    pub direct: Duration,
    /// Median time of the same through the system.
    pub through: Duration,
    /// Counters of the entries, before and after, in Prometheus's text form.
    pub counters: (&'a str, &'a str),
}

impl Report {
    /// Works the figures out.
    #[must_use]
    pub fn new(source: &Source<'_>) -> Self {
        let shared = shared_queue::responses(source.arrivals, source.slots);
        let mut classes = BTreeMap::new();
        for (index, class) in source.mix.iter().enumerate() {
            let name = format!("{} x{}", class.kind, class.width);
            classes.insert(name, Figures::new(source, index, &shared));
        }
        let messages = difference(source.counters, "coltsfootshunt_messages_total");
        let tasks: usize = source.arrivals.iter().map(|arrival| arrival.tasks_ms.len()).sum();
        let total: u64 = messages.values().sum();
        let arrived: f64 = source.arrivals.iter().map(work_ms).sum();
        let last = source.arrivals.last().map_or(0.0, |arrival| arrival.at.as_secs_f64());
        let served: f64 = source
            .ended
            .iter()
            .filter(|ended| ended.outcome == Some(Outcome::Complete))
            .map(|ended| work_ms(&source.arrivals[ended.arrival]))
            .sum();
        let faults = difference(source.counters, "coltsfootshunt_faults_total");
        Self {
            classes,
            outcomes: outcomes(source.ended),
            tasks,
            work_in_time: served / arrived,
            work_of_capacity: served / (source.slots as f64 * last * 1e3),
            refusals: difference(source.counters, "coltsfootshunt_refusals_total"),
            refusal_ms: refusals(source.ended),
            messages_per_task: total as f64 / tasks as f64,
            messages,
            faults: faults.values().sum(),
            direct_ms: millis(source.direct),
            through_ms: millis(source.through),
        }
    }

    /// A table for people.
    #[must_use]
    pub fn table(&self) -> String {
        let mut lines = Vec::new();
        lines.push(format!(
            "{:<14} {:>7} {:>9} {:>22} {:>22}",
            "class", "jobs", "complete", "over ideal p50/99/99.9", "shared queue"
        ));
        for (name, figures) in &self.classes {
            lines.push(format!(
                "{name:<14} {:>7} {:>9} {:>22} {:>22}",
                figures.jobs,
                figures.complete,
                row(&figures.ratio),
                row(&figures.shared_queue_ratio),
            ));
        }
        lines.push(format!("outcomes {:?}", self.outcomes));
        lines.push(format!(
            "work in time {:.3} of what arrived, {:.3} of capacity; faults {}",
            self.work_in_time, self.work_of_capacity, self.faults
        ));
        lines.push(format!("refusals {:?}, heard after ms {:?}", self.refusals, self.refusal_ms));
        lines.push(format!("messages per task {:.4}: {:?}", self.messages_per_task, self.messages));
        lines.push(format!(
            "one instant task: direct {:.3} ms, through the system {:.3} ms",
            self.direct_ms, self.through_ms
        ));
        lines.join("\n")
    }
}

impl Figures {
    fn new(source: &Source<'_>, class: usize, shared: &[Duration]) -> Self {
        let mut ratio = histogram();
        let mut shared_ratio = histogram();
        let mut response = histogram();
        let mut jobs = 0;
        let mut complete = 0;
        for ended in source.ended {
            let arrival = &source.arrivals[ended.arrival];
            if arrival.class != class {
                continue;
            }
            jobs += 1;
            let longest_ms = arrival.tasks_ms.iter().copied().fold(0.0, f64::max);
            let round_trip = millis(source.direct);
            let ideal_ms = longest_ms + round_trip;
            let shared_ms = millis(shared[ended.arrival]) + round_trip;
            record(&mut shared_ratio, shared_ms / ideal_ms);
            if ended.outcome == Some(Outcome::Complete) {
                complete += 1;
                record(&mut ratio, millis(ended.response) / ideal_ms);
                record(&mut response, millis(ended.response));
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
    const DIGITS: u8 = 3;
    const LARGEST: u64 = 1 << 40;
    Histogram::new_with_max(LARGEST, DIGITS).expect("the bounds are allowed")
}

fn record(histogram: &mut Histogram<u64>, value: f64) {
    histogram.saturating_record((value * RATIO_UNIT).round() as u64);
}

fn quantiles(histogram: &Histogram<u64>) -> BTreeMap<String, f64> {
    let value = |quantile| histogram.value_at_quantile(quantile) as f64 / RATIO_UNIT;
    QUANTILES.iter().map(|(name, quantile)| ((*name).to_owned(), value(*quantile))).collect()
}

fn row(quantiles: &BTreeMap<String, f64>) -> String {
    let values = QUANTILES.iter().map(|(name, _)| format!("{:.3}", quantiles[*name]));
    values.collect::<Vec<_>>().join(" ")
}

fn outcomes(ended: &[Ended]) -> BTreeMap<String, usize> {
    let mut outcomes = BTreeMap::new();
    for ended in ended {
        let name = ended.outcome.map_or("no answer".to_owned(), |outcome| outcome.to_string());
        *outcomes.entry(name).or_default() += 1;
    }
    outcomes
}

fn refusals(ended: &[Ended]) -> BTreeMap<String, f64> {
    let mut times = histogram();
    for ended in ended.iter().filter(|ended| ended.outcome == Some(Outcome::NotRun)) {
        record(&mut times, millis(ended.response));
    }
    if times.is_empty() { BTreeMap::new() } else { quantiles(&times) }
}

/// Growth of a counter, by its `kind` label.
fn difference((before, after): (&str, &str), name: &str) -> BTreeMap<String, u64> {
    let before = counter(before, name);
    let mut grown = counter(after, name);
    for (kind, value) in &mut grown {
        *value -= before.get(kind).copied().unwrap_or_default();
    }
    grown
}

fn counter(text: &str, name: &str) -> BTreeMap<String, u64> {
    let mut values = BTreeMap::new();
    for line in text.lines().filter(|line| line.starts_with(name)) {
        let Some((labels, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let kind = labels.split('"').nth(1).unwrap_or_default();
        *values.entry(kind.to_owned()).or_default() += value.parse::<u64>().unwrap_or_default();
    }
    values
}

fn work_ms(arrival: &Arrival) -> f64 {
    arrival.tasks_ms.iter().sum()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
