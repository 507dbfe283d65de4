//! Fencing tokens.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of low bits of a token that name the process that issued it. Together with 41 bits of Unix
/// milliseconds they stay below 2^53, up to which all JSON parsers keep integers exact.
const SUFFIX_BITS: u32 = 12;
/// Maximum number of suffixes that are looked at to find one that no other process uses.
const MAX_CANDIDATES: u64 = 64;

/// Largest token accepted from another host. It leaves room to count on below 2^53.
const MAX_OBSERVED: Token = Token((1 << 53) - (1 << 40));

/// A fencing token. A target rejects orders with a lower token than the highest it has seen.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct Token(pub u64);

/// Low bits of all tokens of a process. Processes that know each other use different ones, so that
/// none issues a token of another.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Suffix(u16);

impl From<u64> for Suffix {
    /// Takes the lowest bits of a number.
    fn from(number: u64) -> Self {
        let bits = number & ((1 << SUFFIX_BITS) - 1);
        Self(u16::try_from(bits).expect("a suffix has fewer bits than u16"))
    }
}

/// Issues tokens that increase within this process and, by wall-clock time, across all processes. It
/// needs no store, so a steward can be replaced while the store is unreachable.
#[derive(Debug)]
pub struct Issuer {
    incarnation: u64,
    suffix: Suffix,
    /// Number of suffixes that were looked at so far; one that was left is not taken again.
    candidates: u64,
    last: Token,
}

impl Issuer {
    /// Creates the issuer of one incarnation of a host.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        let suffix = Suffix::from(incarnation);
        Self { incarnation, suffix, candidates: 0, last: Token::default() }
    }

    /// Suffix of the tokens that are issued now.
    #[must_use]
    pub fn suffix(&self) -> Suffix {
        self.suffix
    }

    /// Changes the suffix to one that is not among those of other processes.
    pub fn change_suffix(&mut self, others: &BTreeSet<Suffix>) {
        // The hash contains the incarnation, so that two processes that leave the same suffix choose
        // different ones.
        let before = self.suffix;
        for _ in 0..MAX_CANDIDATES {
            let hash = xxh3_64_with_seed(&self.incarnation.to_le_bytes(), self.candidates);
            self.candidates += 1;
            self.suffix = Suffix::from(hash);
            if self.suffix != before && !others.contains(&self.suffix) {
                return;
            }
        }
    }

    /// Issues a token above all that this process has issued or observed.
    pub fn next(&mut self, wall_clock: SystemTime) -> Token {
        let since_epoch = wall_clock.duration_since(UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX >> SUFFIX_BITS);
        let candidate = self.token_at(millis);
        self.last = if candidate > self.last {
            candidate
        } else {
            // The last token may be another process's, so only its time is counted on.
            self.token_at((self.last.0 >> SUFFIX_BITS) + 1)
        };
        self.last
    }

    /// Highest token that this process has issued or observed.
    #[must_use]
    pub fn highest(&self) -> Token {
        self.last
    }

    /// Keeps later tokens above those that another process may issue within `margin` of the given one.
    /// Larger ones than [`MAX_OBSERVED`] are ignored, so that a wild one does not use up all tokens.
    pub fn observe(&mut self, other: Token, margin: Duration) {
        let margin = u64::try_from(margin.as_millis()).unwrap_or(u64::MAX);
        let bound = Token(other.0.saturating_add(margin.saturating_mul(1 << SUFFIX_BITS)));
        if other <= MAX_OBSERVED {
            self.last = self.last.max(bound.min(MAX_OBSERVED));
        }
    }

    fn token_at(&self, millis: u64) -> Token {
        Token((millis << SUFFIX_BITS) | u64::from(self.suffix.0))
    }
}
