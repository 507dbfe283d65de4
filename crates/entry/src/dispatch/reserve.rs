//! Slots kept free of long tasks, sized by the number of slots that short tasks use.

/// Weight of a new sample in the moving average of slots held by short tasks, if it is above the
/// average.
const RISE_WEIGHT: f64 = 0.3;
/// The same weight if the sample is below the average, so that the reserve shrinks slowly.
const FALL_WEIGHT: f64 = 0.01;
/// Headroom above the average, in square roots of it: the number of independent tasks that run at
/// once has about this standard deviation.
const HEADROOM_DEVIATIONS: f64 = 2.0;
/// Largest reserve, as a fraction of all slots.
const MAX_RESERVED_SHARE: f64 = 0.8;
/// Average of slots held by short tasks below which nothing is reserved.
const MIN_SHORT_SLOTS: f64 = 0.5;

/// Slots held by long and by short tasks.
#[derive(Debug, Default)]
pub struct Reserve {
    short: u32,
    long: u32,
    average_short: f64,
}

impl Reserve {
    /// Records that a task started on a slot.
    pub fn acquire(&mut self, is_long: bool) {
        *self.held(is_long) += 1;
    }

    /// Records that a task freed its slot.
    pub fn release(&mut self, is_long: bool) {
        let held = self.held(is_long);
        *held = held.saturating_sub(1);
    }

    /// Adds the current number of slots held by short tasks to the moving average.
    pub fn sample(&mut self) {
        let gap = f64::from(self.short) - self.average_short;
        let weight = if gap > 0.0 { RISE_WEIGHT } else { FALL_WEIGHT };
        self.average_short += gap * weight;
    }

    /// Whether another long task may start, where this entry has `slots` slots in total. At least
    /// one long task may always run.
    #[must_use]
    pub fn can_start_long(&self, slots: u32) -> bool {
        self.long < slots.saturating_sub(self.size(slots)).max(1)
    }

    /// Slots reserved for short tasks, out of `slots` in total.
    #[must_use]
    pub fn size(&self, slots: u32) -> u32 {
        if self.average_short < MIN_SHORT_SLOTS {
            return 0;
        }
        let wanted = self.average_short + HEADROOM_DEVIATIONS * self.average_short.sqrt();
        wanted.min(f64::from(slots) * MAX_RESERVED_SHARE) as u32
    }

    fn held(&mut self, is_long: bool) -> &mut u32 {
        if is_long { &mut self.long } else { &mut self.short }
    }
}
