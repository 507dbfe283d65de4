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
    SubmissionRefused {
        /// The submission.
        id: Id,
        /// Why.
        refusal: Refusal,
    },
    /// A submission was accepted.
    SubmissionAccepted {
        /// The submission.
        id: Id,
        /// Number of tasks.
        tasks: usize,
    },
    /// A submission has its answer.
    SubmissionAnswered {
        /// The submission.
        id: Id,
        /// The outcome.
        outcome: Outcome,
    },
    /// A task was sent and gave no output.
    TaskFailed {
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
    TaskNotStarted {
        /// The submission.
        id: Id,
        /// The task.
        task: usize,
        /// The target.
        target: Target,
    },
    /// A target gets no work for a while.
    TargetEjected {
        /// The target.
        target: Target,
    },
    /// An ejected target is tried again.
    TargetProbed {
        /// The target.
        target: Target,
    },
    /// A target refused because it is leaving.
    TargetLeaving {
        /// The target.
        target: Target,
    },
    /// Peers were heard of or failed; this many are known now.
    StewardshipChanged {
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
    ConfigApplied {
        /// Its revision.
        revision: Revision,
    },
    /// The process was stopped for a while; no task starts until its view is fresh.
    ProcessPaused {
        /// For how long, in milliseconds.
        gap_ms: u64,
    },
    /// The view is fresh after a pause, or the wait for it is over.
    StartsResumed,
    /// A planned stop began.
    StopStarted,
    /// The records of answers go to this peer.
    HandoverStarted {
        /// The peer.
        successor: Host,
    },
    /// The process ends.
    ProcessStopped {
        /// How.
        exit: Exit,
    },
}
