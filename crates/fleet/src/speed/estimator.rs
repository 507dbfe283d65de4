//! Learned factors of kinds and targets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Target};
use serde::Serialize;

use super::{Forecast, Trend};

/// Weight of one end in a target's factor: about the last eight ends count.
const TARGET_WEIGHT: f64 = 0.12;
/// Bounds of one observation against the prediction, so that one straggler says little.
const OBSERVED: (f64, f64) = (0.25, 4.0);
/// Bound of a target's factor either way, as a natural logarithm: sixteen times.
const SLOWNESS: f64 = 2.77;
/// Weight of one end in a target's share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Weight of one end in what a target is like for good.
const LASTING_WEIGHT: f64 = 0.03;
/// Time without ends after which what was learned of a target begins to fade.
const FRESH_FOR: Duration = Duration::from_secs(1);
/// Time in which it then fades to a third of its distance from what the target is like for good, so
/// that one that was slow or failing gets work again and is judged anew.
const FADES_IN: Duration = Duration::from_secs(6);
/// Share of failures from which a target counts as failing; kinds fail far below one in ten.
const FAILING: f64 = 0.45;

#[derive(Clone, Copy, Debug, Serialize)]
struct Score {
    /// Run time against what the kind needs on an average target, as a natural logarithm.
    slowness: f64,
    /// The same over a long time.
    lasting: f64,
    failures: f64,
    #[serde(skip)]
    at: Instant,
}

impl Score {
    /// The score as it counts now.
    fn faded(self, now: Instant) -> Self {
        let idle = now.saturating_duration_since(self.at).saturating_sub(FRESH_FOR);
        let weight = (-idle.as_secs_f64() / FADES_IN.as_secs_f64()).exp();
        Self {
            slowness: self.lasting + (self.slowness - self.lasting) * weight,
            failures: self.failures * weight,
            ..self
        }
    }
}

/// What ends have taught.
#[derive(Debug, Default, Serialize)]
pub struct Estimator {
    /// Run times against declared ones, by the ends of this host's targets.
    kinds: BTreeMap<Kind, Trend>,
    /// The same by those of others.
    heard: BTreeMap<Host, BTreeMap<Kind, Trend>>,
    /// All of these together.
    #[serde(skip)]
    all: BTreeMap<Kind, Trend>,
    targets: BTreeMap<Target, Score>,
}

impl Estimator {
    /// Expected run time of a task of a kind on a target.
    #[must_use]
    pub fn predict(
        &self,
        kind: &Kind,
        target: &Target,
        estimate: Duration,
        now: Instant,
    ) -> Duration {
        self.forecast(kind, estimate).scaled(self.slowness(target, now).exp()).median
    }

    /// Forecast for a task of a kind on an average target.
    #[must_use]
    pub fn forecast(&self, kind: &Kind, estimate: Duration) -> Forecast {
        self.all.get(kind).copied().unwrap_or_default().forecast(estimate)
    }

    /// Run time on this target against the average one, as a natural logarithm.
    #[must_use]
    pub fn slowness(&self, target: &Target, now: Instant) -> f64 {
        self.targets.get(target).map_or(0.0, |score| score.faded(now).slowness)
    }

    /// Whether the target fails much of what it starts.
    #[must_use]
    pub fn is_failing(&self, target: &Target, now: Instant) -> bool {
        self.targets.get(target).is_some_and(|score| score.faded(now).failures > FAILING)
    }

    /// Learns from a task that ran to its end.
    pub fn record_completion(
        &mut self,
        kind: &Kind,
        target: &Target,
        (estimate, took): (Duration, Duration),
        now: Instant,
    ) {
        let predicted = self.predict(kind, target, estimate, now).as_secs_f64().max(1e-4);
        let ratio = (took.as_secs_f64() / predicted).clamp(OBSERVED.0, OBSERVED.1).ln();
        self.record_run_time(kind, target, (estimate, took), now);
        let score = self.score(target, now);
        score.slowness = (score.slowness + ratio * TARGET_WEIGHT).clamp(-SLOWNESS, SLOWNESS);
        score.lasting += (score.slowness - score.lasting) * LASTING_WEIGHT;
        score.failures *= 1.0 - FAILURE_WEIGHT;
    }

    /// Learns of a kind alone from a run that was stopped when it had taken longer than expected.
    pub fn record_run_time(
        &mut self,
        kind: &Kind,
        target: &Target,
        (estimate, took): (Duration, Duration),
        now: Instant,
    ) {
        let on_average = took.mul_f64((-self.slowness(target, now)).exp());
        self.kinds.entry(kind.clone()).or_default().learn(estimate, on_average);
        self.all.entry(kind.clone()).or_default().learn(estimate, on_average);
    }

    /// What this host's own targets have taught of kinds, those with most ends first.
    #[must_use]
    pub fn kind_trends(&self) -> Vec<(Kind, Trend)> {
        let mut kinds: Vec<_> = self.kinds.iter().map(|(kind, one)| (kind.clone(), *one)).collect();
        kinds.sort_by(|(_, one), (_, other)| other.weight().total_cmp(&one.weight()));
        kinds
    }

    /// Takes over what another host's targets have taught of kinds.
    pub fn set_peer_trends(&mut self, from: &Host, kinds: Vec<(Kind, Trend)>) {
        let sound = kinds.into_iter().filter(|(_, trend)| trend.is_valid());
        self.heard.insert(from.clone(), sound.collect());
        self.all = self.kinds.clone();
        for (kind, trend) in self.heard.values().flatten() {
            *self.all.entry(kind.clone()).or_default() += *trend;
        }
    }

    /// Learns from a task that failed.
    pub fn record_failure(&mut self, target: &Target, now: Instant) {
        let score = self.score(target, now);
        score.failures += (1.0 - score.failures) * FAILURE_WEIGHT;
    }

    /// Notes that a target hangs: it counts as failing until it has been idle for a while or tasks
    /// end there.
    pub fn record_hang(&mut self, target: &Target, now: Instant) {
        self.score(target, now).failures = 1.0;
    }

    /// What targets are like now, as logarithms of their run times against the average.
    #[must_use]
    pub fn slowness_by_target(&self, now: Instant) -> Vec<(Target, f64)> {
        let scores = self.targets.iter();
        scores.map(|(target, score)| (target.clone(), score.faded(now).slowness)).collect()
    }

    /// Takes over what the steward of targets has learned, for the case that this host replaces it.
    pub fn set_slowness(&mut self, targets: Vec<(Target, f64)>, now: Instant) {
        for (target, slowness) in targets.into_iter().filter(|(_, slowness)| slowness.is_finite()) {
            let slowness = slowness.clamp(-SLOWNESS, SLOWNESS);
            let score = Score { slowness, lasting: slowness, failures: 0.0, at: now };
            self.targets.insert(target, score);
        }
    }

    /// Forgets a target that changed or went.
    pub fn forget(&mut self, target: &Target) {
        self.targets.remove(target);
    }

    /// The target's score as it counts now.
    fn score(&mut self, target: &Target, now: Instant) -> &mut Score {
        let blank = Score { slowness: 0.0, lasting: 0.0, failures: 0.0, at: now };
        let score = self.targets.entry(target.clone()).or_insert(blank);
        *score = Score { at: now, ..score.faded(now) };
        score
    }
}
