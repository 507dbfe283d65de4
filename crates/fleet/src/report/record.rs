//! Decisions and changes of belief.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::{Host, Kind, Target, Zone};

use crate::job::{End, Id, Outcome, Size, Task};
use crate::lease::{Evidence, Rejection, Token};
use crate::store;

/// One thing worth a line.
#[derive(Clone, Debug)]
pub enum Record {
    /// A job was taken.
    JobAccepted {
        /// The job.
        job: Id,
        /// Its kind.
        kind: Kind,
        /// Its tasks.
        tasks: usize,
        /// Its size among jobs of its kind.
        size: Size,
        /// Declared run time of its longest chain of steps.
        declared: Duration,
        /// Expected wait.
        wait: Duration,
        /// Expected run time.
        run: Duration,
        /// How long its caller waits.
        timeout: Duration,
        /// Version of the configuration that decided.
        version: u64,
    },
    /// A job was answered.
    JobAnswered {
        /// The job.
        job: Id,
        /// Its kind.
        kind: Kind,
        /// Its size among jobs of its kind.
        size: Size,
        /// The answer.
        outcome: Outcome,
        /// Time since it was taken.
        took: Duration,
        /// What led to it.
        reason: &'static str,
    },
    /// A job was turned away.
    JobRefused {
        /// The job.
        job: Id,
        /// Its kind.
        kind: Kind,
        /// Its tasks.
        tasks: usize,
        /// Its size among jobs of its kind.
        size: Size,
        /// The answer.
        outcome: Outcome,
        /// Declared run time of its longest chain of steps.
        declared: Duration,
        /// Expected wait.
        wait: Duration,
        /// Expected run time.
        run: Duration,
        /// How long its caller waits.
        timeout: Duration,
    },
    /// A caller went before its answer.
    CallerLeft {
        /// The job.
        job: Id,
        /// Time since it was taken.
        after: Duration,
    },
    /// Tasks went to a steward.
    TasksSent {
        /// The job.
        job: Id,
        /// The steward.
        steward: Host,
        /// Number of tasks.
        tasks: usize,
        /// Whether they stand with other stewards as well.
        shared: bool,
        /// What the steward was believed to have free.
        free: u32,
        /// The wait it was believed to have, in milliseconds.
        wait_ms: u32,
    },
    /// A steward gave a job back as it came: it would have waited until it was late.
    JobReturned {
        /// The job.
        job: Id,
        /// Number of tasks.
        tasks: usize,
        /// Expected time until the last of them would have started.
        wait: Duration,
        /// Time to its latest start.
        slack: Duration,
    },
    /// A steward returned a task that waited, unstarted, to its owner.
    TaskReturned {
        /// The task.
        task: Task,
        /// Why: room elsewhere, or no time left.
        end: End,
        /// How long it waited here.
        waited: Duration,
        /// Expected run time on the fastest target here.
        fastest_run: Duration,
        /// Time until its caller goes.
        remaining: Duration,
    },
    /// An owner let a task start that stood with several stewards.
    TaskGranted {
        /// The task.
        task: Task,
        /// Time since it was asked.
        after: Duration,
    },
    /// A task was started.
    TaskStarted {
        /// The task.
        task: Task,
        /// Number of the attempt.
        run: u32,
        /// Where.
        target: Target,
        /// Thousandths of a core that it takes there.
        cpu_millis: u64,
        /// How long it waited here.
        waited: Duration,
        /// Expected run time.
        expected: Duration,
        /// Expected run time on the fastest target here, free or not.
        fastest_run: Duration,
    },
    /// An attempt came to its end.
    TaskEnded {
        /// The task.
        task: Task,
        /// Number of the attempt.
        run: u32,
        /// Where.
        target: Target,
        /// How.
        end: End,
        /// What shows it.
        evidence: Evidence,
        /// Time since its start was sent.
        took: Duration,
    },
    /// A target turned a start away.
    StartRejected {
        /// Where.
        target: Target,
        /// The task.
        task: Task,
        /// Why.
        rejection: Rejection,
    },
    /// This host gives a target its orders now.
    TargetClaimed {
        /// The target.
        target: Target,
        /// The fencing token.
        token: Token,
    },
    /// Another host gives a target its orders.
    TargetFenced {
        /// The target.
        target: Target,
        /// The token that was too low.
        token: Token,
    },
    /// A target can't be reached.
    TargetLost {
        /// The target.
        target: Target,
        /// What shows it.
        evidence: Evidence,
        /// Time since anything that renews its lease was sent; none if nothing was.
        renewed: Option<Duration>,
    },
    /// A target hangs: what runs there is stopped, to start elsewhere.
    TargetStalled {
        /// The target.
        target: Target,
        /// Attempts that are stopped.
        recalled: usize,
    },
    /// An attempt of an earlier steward was stopped.
    OrphanStopped {
        /// The target.
        target: Target,
        /// The task.
        task: Task,
    },
    /// This host became steward of a zone.
    StewardshipTaken {
        /// The zone.
        zone: Zone,
        /// Rank of the claim.
        token: Token,
    },
    /// This host gave a zone up.
    StewardshipResigned {
        /// The zone.
        zone: Zone,
    },
    /// Another host lives.
    PeerFound {
        /// The host.
        peer: Host,
        /// Run of its process.
        incarnation: u64,
    },
    /// Another host is gone.
    PeerLost {
        /// The host.
        peer: Host,
        /// What showed it.
        reason: &'static str,
        /// Time since it was last heard.
        silent: Duration,
    },
    /// A configuration is in force.
    ConfigApplied {
        /// Its version.
        version: u64,
        /// Where it came from.
        from: &'static str,
    },
    /// The set of targets changed.
    TargetsChanged {
        /// Number of targets known.
        known: usize,
        /// Entries of the list that could not be read and name no target.
        unreadable: usize,
    },
    /// An entry of the store can't be read: it names nothing to use.
    EntryUnreadable {
        /// Where it is.
        key: Arc<str>,
        /// Its last change.
        revision: u64,
        /// What is wrong with it.
        reason: Arc<str>,
    },
    /// The store stopped answering.
    StoreLost {
        /// How.
        failure: store::Error,
    },
    /// The store answers again.
    StoreRegained,
    /// The process was stopped for a while.
    ProcessPaused {
        /// How long.
        gap: Duration,
    },
    /// The process began to serve.
    ProcessStarted {
        /// Where it listens for other hosts.
        address: SocketAddr,
    },
    /// The settings were read again.
    SettingsReloaded {
        /// What is wrong with them, if anything.
        fault: Option<Arc<str>>,
    },
    /// A connection could not be accepted.
    ConnectionFailed {
        /// Why.
        cause: Arc<str>,
    },
    /// A planned stop began.
    Stopping,
    /// The process ends.
    ProcessStopped {
        /// Jobs that were still open.
        open: usize,
    },
}

impl Record {
    /// Name of the kind of line; the budget of lines holds for each.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::JobAccepted { .. } => "job accepted",
            Self::JobAnswered { .. } => "job answered",
            Self::JobRefused { .. } => "job refused",
            Self::CallerLeft { .. } => "caller left",
            Self::TasksSent { .. } => "tasks sent",
            Self::JobReturned { .. } => "tasks given back",
            Self::TaskReturned { .. } => "task returned",
            Self::TaskGranted { .. } => "task granted",
            Self::TaskStarted { .. } => "task started",
            Self::TaskEnded { .. } => "task ended",
            Self::StartRejected { .. } => "start turned away",
            Self::TargetClaimed { .. } => "target claimed",
            Self::TargetFenced { .. } => "target fenced",
            Self::TargetLost { .. } => "target lost",
            Self::TargetStalled { .. } => "target hangs",
            Self::OrphanStopped { .. } => "orphan stopped",
            Self::StewardshipTaken { .. } => "stewardship taken",
            Self::StewardshipResigned { .. } => "stewardship given up",
            Self::PeerFound { .. } => "peer found",
            Self::PeerLost { .. } => "peer lost",
            Self::ConfigApplied { .. } => "configuration in force",
            Self::TargetsChanged { .. } => "targets known",
            Self::EntryUnreadable { .. } => "entry unreadable",
            Self::StoreLost { .. } => "store lost",
            Self::StoreRegained => "store regained",
            Self::ProcessPaused { .. } => "process was paused",
            Self::ProcessStarted { .. } => "process began",
            Self::SettingsReloaded { .. } => "settings read",
            Self::ConnectionFailed { .. } => "connection not accepted",
            Self::Stopping => "stop began",
            Self::ProcessStopped { .. } => "process ends",
        }
    }
}
