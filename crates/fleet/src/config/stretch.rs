//! Factor by which a job may exceed its ideal run time and still be on time.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A multiple of a job's ideal run time; finite and not below zero.
#[derive(Clone, Copy, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Stretch(f64);

/// Error of a stretch that is negative or not finite.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
#[display("a stretch is a finite number from 0, not {_0}")]
pub struct InvalidStretch(#[error(not(source))] f64);

impl Stretch {
    /// Multiplies `time` by the factor; saturates at [`Duration::MAX`].
    #[must_use]
    pub fn apply(self, time: Duration) -> Duration {
        Duration::try_from_secs_f64(time.as_secs_f64() * self.0).unwrap_or(Duration::MAX)
    }
}

impl TryFrom<f64> for Stretch {
    type Error = InvalidStretch;

    fn try_from(factor: f64) -> Result<Self, InvalidStretch> {
        if factor.is_finite() && factor >= 0.0 {
            Ok(Self(factor))
        } else {
            Err(InvalidStretch(factor))
        }
    }
}

impl From<Stretch> for f64 {
    fn from(stretch: Stretch) -> Self {
        stretch.0
    }
}
