//! Run time on the fastest targets, from estimates with errors.

/// One in this many targets may be faster than the reference. The lowest of many estimates is mostly error.
const TARGETS_PER_FASTER: usize = 8;
/// Ratio of the reference to the lowest estimate at most, so that a few targets that really are faster than all others
/// set it. Errors of single estimates reach this ratio among hundreds of targets.
const MAX_RATIO: f64 = 1.35;

/// Returns the reference for factors on run times, in any order; `None` if there are none.
#[must_use]
pub fn of(mut factors: Vec<f64>) -> Option<f64> {
    let rank = rank(factors.len());
    let lowest = factors.iter().copied().min_by(f64::total_cmp)?;
    let (_, ranked, _) = factors.select_nth_unstable_by(rank, f64::total_cmp);
    Some(bounded(lowest, *ranked))
}

/// Returns the reference for the natural logarithms of factors, in ascending order.
#[must_use]
pub fn of_sorted_logarithms(slowness: &[f64]) -> Option<f64> {
    let lowest = slowness.first()?;
    Some(bounded(lowest.exp(), slowness[rank(slowness.len())].exp()))
}

fn rank(targets: usize) -> usize {
    targets / TARGETS_PER_FASTER
}

fn bounded(lowest: f64, ranked: f64) -> f64 {
    ranked.min(lowest * MAX_RATIO)
}
