//! What waits behind a task, and which remainder of a target's room suits it best.

/// Share of the smallest waiting task below which unused room counts as nothing. Chosen, not tuned.
const NEGLIGIBLE_SHARE: u64 = 8;

/// How well a remainder can be used. The lowest is the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Fit {
    /// Nearly nothing is left, or one or two waiting tasks fill it nearly whole.
    Filled,
    /// Some waiting task fits, and leaves room that is not negligible.
    Usable,
    /// It is too small for every waiting task.
    Wasted,
}

/// Sizes of waiting tasks, in thousandths of a core.
#[derive(Clone, Debug, Default)]
pub struct Outlook {
    /// In ascending order.
    sizes: Vec<u64>,
}

impl Outlook {
    /// Creates the outlook for these sizes of waiting tasks.
    #[must_use]
    pub fn new(sizes: impl IntoIterator<Item = u64>) -> Self {
        let mut sizes: Vec<u64> = sizes.into_iter().filter(|size| *size > 0).collect();
        sizes.sort_unstable();
        Self { sizes }
    }

    /// Sort key of a target with this free CPU for a task of this size; the lowest is the best. If no
    /// tasks wait, it is the free CPU alone.
    pub(super) fn rank(&self, free: u64, size: u64) -> impl Ord + use<> {
        (self.fit(free.saturating_sub(size)), free)
    }

    fn fit(&self, remainder: u64) -> Fit {
        let Some(smallest) = self.sizes.first() else {
            return Fit::Filled;
        };
        let is_negligible = |left: u64| left <= smallest / NEGLIGIBLE_SHARE;
        match self.largest_fill(remainder) {
            fill if is_negligible(remainder - fill) => Fit::Filled,
            0 => Fit::Wasted,
            _ => Fit::Usable,
        }
    }

    /// Largest part of a remainder that one or two waiting tasks can take.
    fn largest_fill(&self, remainder: u64) -> u64 {
        let fitting = &self.sizes[..self.sizes.partition_point(|size| *size <= remainder)];
        let mut best = fitting.last().copied().unwrap_or(0);
        let mut smaller = fitting;
        while let [first, .., last] = smaller {
            let sum = first.saturating_add(*last);
            if sum <= remainder {
                best = best.max(sum);
                smaller = &smaller[1..];
            } else {
                smaller = &smaller[..smaller.len() - 1];
            }
        }
        best
    }
}
