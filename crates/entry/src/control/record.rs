//! Records of decisions, for the log and the event counters.

use coltsfootshunt_core::answer::{Fault, Outcome, Refusal};
use coltsfootshunt_core::config::Revision;
use coltsfootshunt_core::name::{Host, Target};
use coltsfootshunt_core::panic::Panic;
use coltsfootshunt_core::submission::{Id, Incarnation};
use coltsfootshunt_server as server;

use crate::drain::Exit;

/// Decision or event worth logging.
#[derive(Clone, Debug)]
pub enum Record {
    /// A submission was refused.
    SubmissionRefused {
        /// Identifier of the submission.
        id: Id,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// A submission was accepted.
    SubmissionAccepted {
        /// Identifier of the submission.
        id: Id,
        /// Number of tasks in the job.
        tasks: usize,
    },
    /// An accepted submission was answered.
    SubmissionAnswered {
        /// Identifier of the submission.
        id: Id,
        /// Outcome of the answer.
        outcome: Outcome,
    },
    /// A task was sent to a target and returned no output.
    TaskFailed {
        /// Identifier of the submission.
        id: Id,
        /// Index of the task in its job.
        task: usize,
        /// Target that the task was sent to.
        target: Target,
        /// What went wrong.
        fault: Fault,
    },
    /// A target refused a task or could not be reached, so that the task certainly did not start
    /// there.
    TaskNotStarted {
        /// Identifier of the submission.
        id: Id,
        /// Index of the task in its job.
        task: usize,
        /// Target that the task was sent to.
        target: Target,
    },
    /// A target failed too often and gets no tasks for a while.
    TargetEjected {
        /// Name of the target.
        target: Target,
    },
    /// An ejected target gets tasks again.
    TargetProbed {
        /// Name of the target.
        target: Target,
    },
    /// A target refused a task because it is leaving.
    TargetLeaving {
        /// Name of the target.
        target: Target,
    },
    /// The stewardship was recomputed.
    StewardshipChanged {
        /// Number of known peers.
        peers: usize,
        /// Number of targets that this entry is steward of.
        targets: usize,
    },
    /// A peer counts as failed.
    PeerFailed {
        /// Host of the peer.
        host: Host,
        /// Incarnation of the peer.
        incarnation: Incarnation,
    },
    /// A configuration was applied.
    ConfigApplied {
        /// Revision of the configuration.
        revision: Revision,
    },
    /// The process was paused. No task starts until its view of the peers is up to date.
    ProcessPaused {
        /// Length of the pause, in milliseconds.
        gap_ms: u64,
    },
    /// Task starts resumed after a pause, because a peer responded or the wait timed out.
    StartsResumed,
    /// A client was refused because of what all clients make the process hold.
    ClientRefused {
        /// What it was refused.
        refusal: server::Refusal,
    },
    /// A thread of the process panicked. The process can't go on without its control thread.
    ThreadPanicked(Panic),
    /// A planned stop began.
    StopStarted,
    /// The handover of records to a successor began.
    HandoverStarted {
        /// Host of the successor.
        successor: Host,
    },
    /// The process is about to exit.
    ProcessStopped {
        /// Outcome of the stop.
        exit: Exit,
    },
}
