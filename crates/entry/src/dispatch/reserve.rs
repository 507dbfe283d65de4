//! Slots that long work can't hold, sized from the short work seen.

/// Weight of a rise in short work.
const RISE: f64 = 0.3;
/// Weight of a fall.
const FALL: f64 = 0.01;
/// Reserve beyond the slots that short work usually holds, in square roots of their number, as the
/// number of independent tasks at work spreads.
const HEADROOM: f64 = 2.0;
/// Largest reserve, as a part of all slots.
const LARGEST: f64 = 0.8;
/// Slots held by short work below which there is none to speak of.
const NONE_BELOW: f64 = 0.5;

/// How many slots long and short work hold.
#[derive(Debug, Default)]
pub struct Reserve {
    short: u32,
    long: u32,
    usual_short: f64,
}

impl Reserve {
    /// A task took a slot.
    pub fn acquire(&mut self, long: bool) {
        *self.held(long) += 1;
    }

    /// A task left its slot.
    pub fn release(&mut self, long: bool) {
        let held = self.held(long);
        *held = held.saturating_sub(1);
    }

    /// Looks at how many slots short work holds now.
    pub fn sample(&mut self) {
        let gap = f64::from(self.short) - self.usual_short;
        let weight = if gap > 0.0 { RISE } else { FALL };
        self.usual_short += gap * weight;
    }

    /// Whether long work may take another of `slots`.
    #[must_use]
    pub fn can_start_long(&self, slots: u32) -> bool {
        self.long < slots.saturating_sub(self.size(slots)).max(1)
    }

    /// Slots kept for short work, of `slots` in all.
    #[must_use]
    pub fn size(&self, slots: u32) -> u32 {
        if self.usual_short < NONE_BELOW {
            return 0;
        }
        let wanted = self.usual_short + HEADROOM * self.usual_short.sqrt();
        wanted.min(f64::from(slots) * LARGEST) as u32
    }

    fn held(&mut self, long: bool) -> &mut u32 {
        if long { &mut self.long } else { &mut self.short }
    }
}
