//! Run-time estimates by kind and target, learned from the ends of earlier runs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Target};
use serde::Serialize;

use super::{Forecast, Trend};

/// Weight of one end in a target's slowness: about the last eight ends count.
const SLOWNESS_WEIGHT: f64 = 0.12;
/// Range to which the ratio of an observed to a predicted run time is clamped, so that one straggler
/// has little effect.
const RATIO_RANGE: (f64, f64) = (0.25, 4.0);
/// Largest absolute slowness of a target, as a natural logarithm: a factor of sixteen.
const MAX_SLOWNESS: f64 = 2.77;
/// Weight of one end in a target's failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Weight of one end in a target's baseline slowness.
const BASELINE_WEIGHT: f64 = 0.03;
/// Time without ends after which a target's score starts to decay.
const DECAY_DELAY: Duration = Duration::from_secs(1);
/// Time constant of the decay towards the baseline: the distance shrinks to about a third in this
/// time. A target that was slow or failing thus gets work again and a new score.
const DECAY_TIME: Duration = Duration::from_secs(6);
/// Failure rate above which a target counts as failing. Jobs themselves fail far less often than one
/// time in ten.
const FAILING_THRESHOLD: f64 = 0.45;

/// Speed and reliability of one target.
#[derive(Clone, Copy, Debug, Serialize)]
struct Score {
    /// Natural logarithm of the ratio of recent run times to those on an average target.
    slowness: f64,
    /// Long-term average of `slowness`.
    #[serde(rename = "lasting")]
    baseline: f64,
    /// Recent failure rate, from 0 to 1.
    failures: f64,
    /// When the score was last updated.
    #[serde(skip)]
    updated_at: Instant,
}

impl Score {
    /// Returns the score decayed to `now`.
    fn decayed(self, now: Instant) -> Self {
        let idle = now.saturating_duration_since(self.updated_at).saturating_sub(DECAY_DELAY);
        let weight = (-idle.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        Self {
            slowness: self.baseline + (self.slowness - self.baseline) * weight,
            failures: self.failures * weight,
            ..self
        }
    }
}

/// Estimates run times from the ends of earlier runs.
#[derive(Debug, Default, Serialize)]
pub struct Estimator {
    /// Trends learned from the ends at this host's targets.
    #[serde(rename = "kinds")]
    own_trends: BTreeMap<Kind, Trend>,
    /// Trends that other hosts have sent.
    #[serde(rename = "heard")]
    peer_trends: BTreeMap<Host, BTreeMap<Kind, Trend>>,
    /// Sums of own and peer trends.
    #[serde(skip)]
    combined: BTreeMap<Kind, Trend>,
    /// Scores of this host's targets, and those taken over from other stewards.
    #[serde(rename = "targets")]
    scores: BTreeMap<Target, Score>,
}

impl Estimator {
    /// Returns the expected run time of a task on a target. `estimate` is the declared run time.
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

    /// Returns the forecast for a task on an average target. `estimate` is the declared run time.
    #[must_use]
    pub fn forecast(&self, kind: &Kind, estimate: Duration) -> Forecast {
        self.combined.get(kind).copied().unwrap_or_default().forecast(estimate)
    }

    /// Returns the natural logarithm of the ratio of run times on the target to those on an average one.
    /// It is 0 for an unknown target.
    #[must_use]
    pub fn slowness(&self, target: &Target, now: Instant) -> f64 {
        self.scores.get(target).map_or(0.0, |score| score.decayed(now).slowness)
    }

    /// Returns [`Self::slowness`] and [`Self::is_failing`].
    #[must_use]
    pub fn score_of(&self, target: &Target, now: Instant) -> (f64, bool) {
        let score = self.scores.get(target).map(|score| score.decayed(now));
        score.map_or((0.0, false), |score| (score.slowness, score.failures > FAILING_THRESHOLD))
    }

    /// Whether the target's failure rate is above the threshold.
    #[must_use]
    pub fn is_failing(&self, target: &Target, now: Instant) -> bool {
        self.scores.get(target).is_some_and(|score| score.decayed(now).failures > FAILING_THRESHOLD)
    }

    /// Records the declared and the actual run time of a task that completed.
    pub fn record_completion(
        &mut self,
        kind: &Kind,
        target: &Target,
        (estimate, run_time): (Duration, Duration),
        now: Instant,
    ) {
        let predicted = self.predict(kind, target, estimate, now).as_secs_f64().max(1e-4);
        let ratio = (run_time.as_secs_f64() / predicted).clamp(RATIO_RANGE.0, RATIO_RANGE.1).ln();
        self.record_run_time(kind, target, (estimate, run_time), now);
        let score = self.score(target, now);
        score.slowness =
            (score.slowness + ratio * SLOWNESS_WEIGHT).clamp(-MAX_SLOWNESS, MAX_SLOWNESS);
        score.baseline += (score.slowness - score.baseline) * BASELINE_WEIGHT;
        score.failures *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a run time for the kind alone. It is used for runs that were stopped after they had taken
    /// longer than expected.
    pub fn record_run_time(
        &mut self,
        kind: &Kind,
        target: &Target,
        (estimate, run_time): (Duration, Duration),
        now: Instant,
    ) {
        let on_average = run_time.mul_f64((-self.slowness(target, now)).exp());
        self.own_trends.entry(kind.clone()).or_default().learn(estimate, on_average);
        self.combined.entry(kind.clone()).or_default().learn(estimate, on_average);
    }

    /// Returns the trends learned from this host's targets, by decreasing weight.
    #[must_use]
    pub fn kind_trends(&self) -> Vec<(Kind, Trend)> {
        let mut kinds: Vec<_> =
            self.own_trends.iter().map(|(kind, one)| (kind.clone(), *one)).collect();
        kinds.sort_by(|(_, one), (_, other)| other.weight().total_cmp(&one.weight()));
        kinds
    }

    /// Replaces the trends of a peer; invalid ones are dropped.
    pub fn set_peer_trends(&mut self, peer: &Host, kinds: Vec<(Kind, Trend)>) {
        let valid = kinds.into_iter().filter(|(_, trend)| trend.is_valid());
        self.peer_trends.insert(peer.clone(), valid.collect());
        self.combined = self.own_trends.clone();
        for (kind, trend) in self.peer_trends.values().flatten() {
            *self.combined.entry(kind.clone()).or_default() += *trend;
        }
    }

    /// Records the failure of a task.
    pub fn record_failure(&mut self, target: &Target, now: Instant) {
        let score = self.score(target, now);
        score.failures += (1.0 - score.failures) * FAILURE_WEIGHT;
    }

    /// Records that a target hangs: it counts as failing until it has been idle for a while or tasks
    /// complete there.
    pub fn record_hang(&mut self, target: &Target, now: Instant) {
        self.score(target, now).failures = 1.0;
    }

    /// Returns the current slowness of all known targets, see [`Self::slowness`].
    #[must_use]
    pub fn slowness_by_target(&self, now: Instant) -> Vec<(Target, f64)> {
        let scores = self.scores.iter();
        scores.map(|(target, score)| (target.clone(), score.decayed(now).slowness)).collect()
    }

    /// Takes over the slowness of targets from their steward, in case this host replaces it.
    pub fn set_slowness(&mut self, targets: Vec<(Target, f64)>, now: Instant) {
        for (target, slowness) in targets.into_iter().filter(|(_, slowness)| slowness.is_finite()) {
            let slowness = slowness.clamp(-MAX_SLOWNESS, MAX_SLOWNESS);
            let score = Score { slowness, baseline: slowness, failures: 0.0, updated_at: now };
            self.scores.insert(target, score);
        }
    }

    /// Drops the score of a target that restarted or vanished.
    pub fn forget(&mut self, target: &Target) {
        self.scores.remove(target);
    }

    /// Returns the target's score, decayed to `now`.
    fn score(&mut self, target: &Target, now: Instant) -> &mut Score {
        let neutral = Score { slowness: 0.0, baseline: 0.0, failures: 0.0, updated_at: now };
        let score = self.scores.entry(target.clone()).or_insert(neutral);
        *score = Score { updated_at: now, ..score.decayed(now) };
        score
    }
}
