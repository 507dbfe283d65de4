//! How long the answer to a submission is waited for.

use std::time::Duration;

/// Time limit that applies to a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bound {
    /// The caller's, as stated with the submission.
    Caller,
    /// The route's.
    Route,
}

impl Bound {
    /// Reason in the record of a job that ends by this limit.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Caller => "its caller's deadline",
            Self::Route => "its route's timeout",
        }
    }
}

/// Time for which a caller waits for the answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Patience {
    /// Time from the arrival of the submission, if the caller states one.
    pub stated: Option<Duration>,
    /// Part of the time that has passed since the submission arrived.
    pub elapsed: Duration,
}

impl Patience {
    /// The limit that applies on a route with this timeout, and the time that is left until then. The route's
    /// timeout applies to callers that state none.
    #[must_use]
    pub fn limit(&self, route_timeout: Duration) -> (Bound, Duration) {
        let (bound, timeout) = match self.stated {
            Some(stated) => (Bound::Caller, stated),
            None => (Bound::Route, route_timeout),
        };
        (bound, timeout.saturating_sub(self.elapsed))
    }

    /// The same after more time has passed.
    #[must_use]
    pub fn after(self, time: Duration) -> Self {
        Self { elapsed: self.elapsed.saturating_add(time), ..self }
    }
}

impl From<Duration> for Patience {
    fn from(stated: Duration) -> Self {
        Self { stated: Some(stated), elapsed: Duration::ZERO }
    }
}
