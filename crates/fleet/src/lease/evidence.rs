//! What a belief about an attempt or a target rests on.

use derive_more::Display;

/// What shows that an attempt is over, or that a target is lost.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Evidence {
    /// The target listed its end.
    #[display("listed")]
    Listed,
    /// A later report of the target doesn't name it.
    #[display("missing")]
    Missing,
    /// The target turned its start away.
    #[display("rejected")]
    Rejected,
    /// There was no connection, so its start was not sent.
    #[display("unsent")]
    Unsent,
    /// The lease is over on the target's clock.
    #[display("lease_over")]
    LeaseExpired,
    /// The target obeys another host by now.
    #[display("fenced")]
    Fenced,
    /// This process was paused, and what it knew may be out of date.
    #[display("paused")]
    Paused,
}
