//! Evidence for the end of an attempt or the loss of a target.

use derive_more::Display;

/// Observation that proves that an attempt is over or a target is lost.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Evidence {
    /// The target's report lists the end.
    #[display("listed")]
    Listed,
    /// A later report of the target doesn't list the attempt.
    #[display("missing")]
    Missing,
    /// A later incarnation of the target reports, so the one that ran the attempt has ended.
    #[display("restarted")]
    Restarted,
    /// The target rejected the start.
    #[display("rejected")]
    Rejected,
    /// There was no connection, so the start was not sent.
    #[display("unsent")]
    Unsent,
    /// The lease has expired on the target's clock.
    #[display("lease_over")]
    LeaseExpired,
    /// The target accepted a higher token from another host.
    #[display("fenced")]
    Fenced,
    /// This process was paused, so its state may be out of date.
    #[display("paused")]
    Paused,
}
