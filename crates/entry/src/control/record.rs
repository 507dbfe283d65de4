//! Decisions worth telling.

use coltsfootshunt_core::answer::{Fault, Outcome, Refusal};
use coltsfootshunt_core::config::Revision;
use coltsfootshunt_core::name::{Host, Target};
use coltsfootshunt_core::submission::{Id, Incarnation};

use crate::drain::Exit;

/// A decision, with its reason.
#[derive(Clone, Debug)]
pub enum Record {
    /// A submission was refused.
    Refused {
        /// The submission.
        id: Id,
        /// Why.
        refusal: Refusal,
    },
    /// A submission was accepted.
    Accepted {
        /// The submission.
        id: Id,
        /// Number of tasks.
        tasks: usize,
    },
    /// A submission has its answer.
    Answered {
        /// The submission.
        id: Id,
        /// The outcome.
        outcome: Outcome,
    },
    /// A task was sent and gave no output.
    Faulted {
        /// The submission.
        id: Id,
        /// The task.
        task: usize,
        /// The target.
        target: Target,
        /// What happened.
        fault: Fault,
    },
    /// A target provably did not run a task.
    NotStarted {
        /// The submission.
        id: Id,
        /// The task.
        task: usize,
        /// The target.
        target: Target,
    },
    /// A target gets no work for a while.
    Ejected {
        /// The target.
        target: Target,
    },
    /// An ejected target is tried again.
    Probed {
        /// The target.
        target: Target,
    },
    /// A target refused because it is leaving.
    Leaving {
        /// The target.
        target: Target,
    },
    /// Peers were heard of or failed; this many are known now.
    Members {
        /// Known peers.
        peers: usize,
        /// Targets that this entry is steward of now.
        targets: usize,
    },
    /// A peer has failed.
    PeerFailed {
        /// Its host.
        host: Host,
        /// Its run.
        incarnation: Incarnation,
    },
    /// A configuration came into force here.
    InForce {
        /// Its revision.
        revision: Revision,
    },
    /// The process was stopped for a while; no task starts until its view is fresh.
    Paused {
        /// For how long, in milliseconds.
        gap_ms: u64,
    },
    /// The view is fresh after a pause, or the wait for it is over.
    Resumed,
    /// A planned stop began.
    Stopping,
    /// The records of answers go to this peer.
    HandingOver {
        /// The peer.
        successor: Host,
    },
    /// The process ends.
    Ending {
        /// How.
        exit: Exit,
    },
}
