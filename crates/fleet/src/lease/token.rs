//! Fencing tokens.

use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Low bits that differ from process to process, so that two hosts that mint in one millisecond
/// differ. 41 bits of Unix milliseconds and these stay below 2^53, the largest whole number that
/// every JSON reader keeps.
const SALT_BITS: u32 = 12;

/// Largest token that another host is believed to have made: the largest whole number as above.
const MAX_OBSERVED: Token = Token((1 << 53) - 1);

/// Rank of a host's orders at a target; the higher one wins.
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

/// Makes tokens that rise in this process and, by the time of day, over all processes. Needs no
/// store, so a steward can be replaced while the store is away.
#[derive(Debug)]
pub struct Issuer {
    salt: u64,
    last: Token,
}

impl Issuer {
    /// A mint of one run of a process.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self { salt: incarnation & ((1 << SALT_BITS) - 1), last: Token::default() }
    }

    /// A token above all that this process made or heard of.
    pub fn next(&mut self, wall_clock: SystemTime) -> Token {
        let since_epoch = wall_clock.duration_since(UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX >> SALT_BITS);
        let candidate = Token((millis << SALT_BITS) | self.salt);
        self.last =
            if candidate > self.last { candidate } else { Token(self.last.0 + (1 << SALT_BITS)) };
        self.last
    }

    /// Stays above a token that another host uses. One that no host can have made is passed over: there would
    /// be none above it.
    pub fn observe(&mut self, other: Token) {
        if other <= MAX_OBSERVED {
            self.last = self.last.max(other);
        }
    }
}
