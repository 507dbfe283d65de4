//! Messages of this slice.

use derive_more::Display;

/// What the operating system asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Stop in good order; asked twice, stop at once.
    Stop,
}

/// How the process ends.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Exit {
    /// All work is finished and the records are with a successor, or there is no peer to take them.
    #[display("in good order")]
    Clean,
    /// The deadline for the stop passed.
    #[display("at the deadline for the stop")]
    Overdue,
    /// A second signal came.
    #[display("at a second signal")]
    Forced,
}

impl Exit {
    /// The process's exit code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::Overdue => 1,
            Self::Forced => 2,
        }
    }
}
