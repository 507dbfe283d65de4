//! Fencing tokens.

use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Low bits that differ between processes, so that two hosts that issue a token in the same
/// millisecond issue different ones. Together with 41 bits of Unix milliseconds they stay below 2^53, up to which all JSON
/// parsers keep integers exact.
const SALT_BITS: u32 = 12;

/// Largest token accepted from another host: the largest integer that JSON keeps exact.
const MAX_OBSERVED: Token = Token((1 << 53) - 1);

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

/// Issues tokens that increase within this process and, by wall-clock time, across all processes. It
/// needs no store, so a steward can be replaced while the store is unreachable.
#[derive(Debug)]
pub struct Issuer {
    salt: u64,
    last: Token,
}

impl Issuer {
    /// Creates the issuer of one incarnation of a host.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self { salt: incarnation & ((1 << SALT_BITS) - 1), last: Token::default() }
    }

    /// Issues a token above all that this process has issued or observed.
    pub fn next(&mut self, wall_clock: SystemTime) -> Token {
        let since_epoch = wall_clock.duration_since(UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX >> SALT_BITS);
        let candidate = self.token_at(millis);
        self.last = if candidate > self.last {
            candidate
        } else {
            // The last token may be another process's, so only its time is counted on.
            self.token_at((self.last.0 >> SALT_BITS) + 1)
        };
        self.last
    }

    fn token_at(&self, millis: u64) -> Token {
        Token((millis << SALT_BITS) | self.salt)
    }

    /// Keeps later tokens above one that another host uses. Tokens beyond the largest possible one are
    /// ignored, since none could be issued above them.
    pub fn observe(&mut self, other: Token) {
        if other <= MAX_OBSERVED {
            self.last = self.last.max(other);
        }
    }
}
