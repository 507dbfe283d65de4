//! Signals that start a shutdown, and its results.

use derive_more::Display;

/// Signal from the operating system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Start a graceful shutdown. A second signal ends the process at once.
    Stop,
}

/// How the process ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Exit {
    /// All work was finished, and the records were handed over or there was no peer to take them.
    #[display("in good order")]
    Clean,
    /// The shutdown took longer than its timeout.
    #[display("at the deadline for the stop")]
    Overdue,
    /// A second signal arrived.
    #[display("at a second signal")]
    Forced,
    /// The control thread panicked.
    #[display("by a panic of its control thread")]
    Failed,
}

impl Exit {
    /// Exit code of the process.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::Overdue => 1,
            Self::Forced => 2,
            Self::Failed => 3,
        }
    }
}
