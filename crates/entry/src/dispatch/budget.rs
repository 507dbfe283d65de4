//! Budget for repeated attempts, so that repeats can't multiply a load that targets refuse.

/// Part of an attempt that each first attempt earns.
const EARNED: f64 = 0.1;
/// Most attempts saved up, and the number at the start.
const SAVED: f64 = 50.0;

/// Attempts that may be repeated.
#[derive(Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: SAVED }
    }
}

impl Budget {
    /// A first attempt was made.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED);
    }

    /// Takes one repeat out. Returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Repeats left.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        self.saved
    }
}
