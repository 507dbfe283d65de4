//! Budget of retries, so that retries can't multiply a load that targets reject.

/// Retries added to the budget by each attempt that starts.
const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// Most retries in the budget. The budget starts full.
const MAX_RETRIES: f64 = 50.0;

/// Retry budget: attempts earn a fraction of a retry each.
#[derive(Debug)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: MAX_RETRIES }
    }
}

impl Budget {
    /// Adds to the budget for an attempt that starts.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_ATTEMPT).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Retries left, including a fraction of the next one.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        self.balance
    }
}
