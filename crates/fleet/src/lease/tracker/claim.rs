//! Claims on a target: when to make one, and what its rejection says about tokens.

use std::time::{Duration, Instant};

use super::{Phase, Tracker};
use crate::lease::{Call, Order, Token};

/// First step by which tokens rise after a rejected claim.
const MIN_CLAIM_STEP: Duration = Duration::from_millis(1);
/// Number of times that the step doubles: up to 18 hours.
const MAX_CLAIM_DOUBLINGS: u32 = 26;

impl Tracker {
    /// Whether the target should be claimed now.
    #[must_use]
    pub fn wants_claim(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Free => now >= self.paused_until,
            Phase::Claiming(_) => false,
            Phase::Held(_) => {
                self.is_uncertain && now >= self.paused_until && now >= self.next_renewal_at
            }
        }
    }

    /// Claims the target. If it is held already, the new token voids all earlier orders.
    pub fn claim(&mut self, token: Token, now: Instant) -> Call {
        self.phase = Phase::Claiming(token);
        self.start_times.record_claim();
        self.watch.release();
        // Attempts that other hosts started must end, so the lease is extended for own ones only.
        let extends_lease = !self.attempts.is_empty() && self.missed_renewals == 0;
        let lease_until_ms = self.extend_lease(extends_lease, now);
        let order = Order::Renew {
            lease_until_ms,
            acknowledged: self.ends.last(),
            max_wait: Duration::ZERO,
        };
        self.new_call(token, order, self.timeout.current())
    }

    /// Returns the step by which tokens rise after a rejected claim. The target doesn't tell the highest
    /// token that it has seen. A new steward looks for it in growing steps, since its predecessor's
    /// clock may have been far ahead; a host that has held the target leaves it to the higher token.
    #[must_use]
    pub fn fenced_claim_step(&self) -> Duration {
        if self.was_held {
            return Duration::ZERO;
        }
        MIN_CLAIM_STEP * 2_u32.pow(self.fenced_claims.min(MAX_CLAIM_DOUBLINGS))
    }

    /// Makes the target be claimed again, because another process may use the current token. A pending
    /// claim is void.
    pub fn void_token(&mut self) {
        if let Phase::Claiming(_) = self.phase {
            self.phase = Phase::Held(Token::default());
        }
        self.is_uncertain |= self.phase != Phase::Free;
    }
}
