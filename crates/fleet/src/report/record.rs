//! Events that are logged and counted.

mod name;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::{Host, Kind, Target, Zone};
use coltsfootshunt_core::panic::Panic;

use crate::crash::Loss;
use crate::evacuation;
use crate::job::{End, Id, Outcome, Size, Task};
use crate::lease::{Evidence, Rejection, Suffix, Token, Unreadable};
use crate::peer;
use crate::store;

use super::Sum;

/// A decision of this host or a change of the state that it knows. Each is written as one log line.
#[derive(Clone, Debug)]
pub enum Record {
    /// The job was accepted.
    JobAccepted {
        /// Identifier of the job.
        job: Id,
        /// Kind of its tasks.
        kind: Kind,
        /// Number of its tasks.
        tasks: usize,
        /// Its size relative to other jobs of its kind.
        size: Size,
        /// Declared run time of its critical path.
        declared: Duration,
        /// Expected time until its last task starts.
        wait: Duration,
        /// Expected run time of its critical path.
        run: Duration,
        /// Time within which it must be answered.
        timeout: Duration,
        /// Time for which its caller waits, if the caller states one.
        stated_timeout: Option<Duration>,
        /// Timeout of its route.
        route_timeout: Duration,
        /// Version of the configuration that was applied to the decision.
        version: u64,
    },
    /// The caller of an accepted job was answered.
    JobAnswered {
        /// Identifier of the job.
        job: Id,
        /// Kind of its tasks.
        kind: Kind,
        /// Its size relative to other jobs of its kind.
        size: Size,
        /// Outcome of the job.
        outcome: Outcome,
        /// Time since the job was accepted.
        took: Duration,
        /// Event that led to the outcome.
        reason: &'static str,
    },
    /// The job was refused.
    JobRefused {
        /// Identifier of the job.
        job: Id,
        /// Kind of its tasks.
        kind: Kind,
        /// Number of its tasks.
        tasks: usize,
        /// Its size relative to other jobs of its kind.
        size: Size,
        /// Outcome of the job.
        outcome: Outcome,
        /// Declared run time of its critical path.
        declared: Duration,
        /// Expected time until its last task starts.
        wait: Duration,
        /// Expected run time of its critical path.
        run: Duration,
        /// Time within which it must be answered.
        timeout: Duration,
        /// Time for which its caller waits, if the caller states one.
        stated_timeout: Option<Duration>,
        /// Timeout of its route.
        route_timeout: Duration,
    },
    /// The caller closed its connection before the answer.
    CallerLeft {
        /// Identifier of the job.
        job: Id,
        /// Time since the job was accepted.
        after: Duration,
    },
    /// A request waits, because runs of an earlier request of its job may be at work.
    JobWaits {
        /// Identifier of the job.
        job: Id,
    },
    /// A caller cancelled a job.
    JobCancelled {
        /// Identifier of the job.
        job: Id,
        /// Whether this host knew it.
        is_known: bool,
        /// Number of other hosts that were asked.
        asked: usize,
    },
    /// Cancelled jobs are forgotten: there are more than are kept.
    CancelledDropped {
        /// Number of jobs that are forgotten.
        dropped: usize,
    },
    /// Tasks of a job were sent to a steward.
    TasksSent {
        /// Identifier of the job.
        job: Id,
        /// Steward that receives the tasks.
        steward: Host,
        /// Number of tasks.
        tasks: usize,
        /// Whether they are queued at other stewards as well.
        shared: bool,
        /// Free slots of the steward, as known to this host.
        free: u32,
        /// Expected wait at the steward, as known to this host, in milliseconds.
        wait_ms: u32,
    },
    /// This steward returned a job's tasks on arrival, because the job would have been late behind the
    /// queued work.
    JobReturned {
        /// Identifier of the job.
        job: Id,
        /// Number of tasks.
        tasks: usize,
        /// Expected time until the last of them would start here.
        wait: Duration,
        /// Time until the latest start at which the job is still on time.
        slack: Duration,
    },
    /// This steward returned a queued task to its owner without starting it.
    TaskReturned {
        /// Identifier of the task.
        task: Task,
        /// Reason: free slots elsewhere, or too little time left.
        end: End,
        /// Time in the queue of this steward.
        waited: Duration,
        /// Expected run time on the steward's fastest target.
        fastest_run: Duration,
        /// Time until its caller's deadline.
        remaining: Duration,
    },
    /// The owner granted this steward the start of a task that was queued at several stewards.
    TaskGranted {
        /// Identifier of the task.
        task: Task,
        /// Time since this steward asked for it.
        after: Duration,
    },
    /// A task was sent to a target.
    TaskStarted {
        /// Identifier of the task.
        task: Task,
        /// Run number of the attempt.
        run: u32,
        /// Target that it was sent to.
        target: Target,
        /// Processor share that it takes there, in thousandths of a core.
        cpu_millis: u64,
        /// Time in the queue of this steward.
        waited: Duration,
        /// Expected run time on this target.
        expected: Duration,
        /// Expected run time on the steward's fastest target, free or not.
        fastest_run: Duration,
        /// Whether it runs alone there, because a target was lost under it before.
        isolated: bool,
    },
    /// An attempt of a task ended.
    TaskEnded {
        /// Identifier of the task.
        task: Task,
        /// Run number of the attempt.
        run: u32,
        /// Target of the attempt.
        target: Target,
        /// How it ended.
        end: End,
        /// How this host learned of the end.
        evidence: Evidence,
        /// Time since the start was sent.
        took: Duration,
    },
    /// It is known what became of a target under a run that was lost with it, or that a run was lost.
    RunLost {
        /// The loss.
        loss: Loss,
        /// Peer that told of it; none if this host found it.
        peer: Option<Host>,
    },
    /// Losses are dropped: there are more than are kept.
    LossesDropped {
        /// Number of losses that are dropped.
        dropped: usize,
    },
    /// A target rejected the start of a task.
    StartRejected {
        /// Target that rejected it.
        target: Target,
        /// Task to be started.
        task: Task,
        /// Reason that the target gave.
        rejection: Rejection,
    },
    /// This host claimed a target of whose incarnation the directory has shown no entry. Nothing starts there until
    /// it does.
    EntryAwaited {
        /// Name of the target.
        target: Target,
        /// Unix time of the target's start, in milliseconds.
        started_at_ms: u64,
        /// Start time in its entry; 0 if the entry lacks it.
        listed_ms: u64,
    },
    /// This host acquired the lease of a target.
    TargetClaimed {
        /// Name of the target.
        target: Target,
        /// Fencing token of the lease.
        token: Token,
        /// Address of the target.
        address: SocketAddr,
        /// Unix time of the target's start, in milliseconds.
        started_at_ms: u64,
    },
    /// A target rejected this host's fencing token, because another host claimed it with a higher one.
    TargetFenced {
        /// Name of the target.
        target: Target,
        /// Fencing token that was rejected.
        token: Token,
    },
    /// A target counts as lost.
    TargetLost {
        /// Name of the target.
        target: Target,
        /// How this host learned that the target is lost.
        evidence: Evidence,
        /// Time since the last request that renews its lease; `None` if there was none.
        since_renewal: Option<Duration>,
    },
    /// A target reports rows that can't be decoded.
    ReportUnreadable {
        /// Name of the target.
        target: Target,
        /// Rows that can't be decoded.
        unreadable: Unreadable,
    },
    /// A target makes no progress. Its attempts are stopped, and the tasks are started elsewhere.
    TargetStalled {
        /// Name of the target.
        target: Target,
        /// Number of attempts that are stopped.
        recalled: usize,
    },
    /// A target lists an attempt that this host did not start, so another process gives it orders under
    /// the same fencing token.
    TokenShared {
        /// Name of the target.
        target: Target,
        /// Fencing token of this host.
        token: Token,
        /// Identifier of the task.
        task: Task,
    },
    /// Another process uses the same low bits for its fencing tokens as this host, which takes others.
    TokenSuffixChanged {
        /// Peer that uses the former suffix; `None` if only a target has heard of that process.
        peer: Option<Host>,
        /// Suffix until now.
        before: Suffix,
        /// Suffix from now on.
        after: Suffix,
    },
    /// An orphan was stopped: an attempt that an earlier steward had started.
    OrphanStopped {
        /// Name of the target.
        target: Target,
        /// Identifier of the task.
        task: Task,
    },
    /// This host became the steward of a zone.
    StewardshipTaken {
        /// Name of the zone.
        zone: Zone,
        /// Fencing token of the claim.
        token: Token,
    },
    /// This host resigned as the steward of a zone.
    StewardshipResigned {
        /// Name of the zone.
        zone: Zone,
    },
    /// This host proposes a division of its zone's targets.
    SplitProposed {
        /// Name of the zone.
        zone: Zone,
        /// Token of the lead's claim.
        token: Token,
        /// Number of the split under this claim.
        number: u64,
        /// Names of the members.
        members: Vec<Host>,
    },
    /// A division of this zone's targets is in force at this host.
    SplitActive {
        /// Name of the zone.
        zone: Zone,
        /// Token of the lead's claim.
        token: Token,
        /// Number of the split under this claim.
        number: u64,
        /// Names of the members.
        members: Vec<Host>,
    },
    /// This host gives orders to another number of its zone's targets than before.
    ShareTaken {
        /// Name of the zone.
        zone: Zone,
        /// Number of targets.
        targets: usize,
        /// Number of targets before.
        before: usize,
        /// Number of the zone's targets that are known.
        known: usize,
    },
    /// This host gives orders to none of its zone's targets any more.
    ShareReleased {
        /// Name of the zone.
        zone: Zone,
        /// Number of targets before.
        before: usize,
        /// Number of targets of which its tasks still run.
        busy: usize,
    },
    /// A peer is new, alive again or restarted.
    PeerFound {
        /// Name of the peer.
        peer: Host,
        /// Incarnation of its process.
        incarnation: u64,
    },
    /// A peer counts as lost.
    PeerLost {
        /// Name of the peer.
        peer: Host,
        /// How this host learned of the loss.
        reason: &'static str,
        /// Time since the peer was last heard.
        silent: Duration,
    },
    /// A list of hosts had addresses that this host doesn't contact: it knows too many, or they are invalid.
    HostsIgnored {
        /// Number of hosts in the list.
        listed: usize,
        /// Number of those that are ignored.
        ignored: usize,
    },
    /// Messages to and from other hosts in a period.
    PeerTraffic {
        /// Number and size by direction, class of peer and kind.
        counts: BTreeMap<peer::Key, peer::Count>,
        /// Longest time from the queueing of a message to its acknowledgement.
        longest_wait: Duration,
        /// Length of the period.
        period: Duration,
    },
    /// Calls to the platform's store and to targets in a period.
    CallsMade {
        /// The calls of each kind.
        sums: BTreeMap<&'static str, Sum>,
        /// Length of the period.
        period: Duration,
    },
    /// Events have waited for the control thread.
    ControlBehind {
        /// Number of events handled in the period.
        events: u64,
        /// Number of iterations of the thread, each of which handles the events that wait.
        iterations: u64,
        /// Mean wait of an event.
        mean_wait: Duration,
        /// Longest wait of an event.
        longest_wait: Duration,
        /// Length of the period.
        period: Duration,
    },
    /// Records of single tasks were counted and not written, because the control thread is far behind.
    RecordsDropped {
        /// Number of records without a line.
        records: u64,
        /// Length of the period.
        period: Duration,
    },
    /// The thread for traffic is behind: its timers fire late.
    TrafficBehind {
        /// Mean delay of a timer.
        mean: Duration,
        /// Longest delay of a timer.
        longest: Duration,
        /// Length of the period.
        period: Duration,
    },
    /// A configuration was applied.
    ConfigApplied {
        /// Version of the configuration.
        version: u64,
        /// Source of the configuration.
        source: &'static str,
    },
    /// The set of targets changed.
    TargetsChanged {
        /// Number of known targets.
        known: usize,
        /// Number of entries of the list that could not be decoded.
        unreadable: usize,
    },
    /// A peer told this host what its targets say of themselves, since the store does not respond.
    TargetsRelayed {
        /// Peer that has read the entries.
        peer: Host,
        /// Number of entries that differ from those known here.
        changed: usize,
    },
    /// An entry of the store can't be decoded and is ignored.
    EntryUnreadable {
        /// Key of the entry.
        key: Arc<str>,
        /// Store revision of its last change.
        revision: u64,
        /// Why it can't be decoded.
        reason: Arc<str>,
    },
    /// A zone was evacuated: nothing starts on its targets.
    ZoneEvacuated {
        /// The zone.
        zone: Zone,
        /// Store revision at which the evacuated zones were read or last changed.
        revision: u64,
        /// Where it was learned.
        source: evacuation::Source,
        /// Number of queued tasks that were returned to their owners.
        returned: usize,
        /// Number of evacuated zones now.
        evacuated: usize,
    },
    /// The evacuation of a zone was taken back.
    ZoneRestored {
        /// The zone.
        zone: Zone,
        /// Store revision at which the evacuated zones were read or last changed.
        revision: u64,
        /// Where it was learned.
        source: evacuation::Source,
        /// Number of evacuated zones now.
        evacuated: usize,
    },
    /// A zone is to be evacuated that neither the settings nor any target names.
    ZoneUnknown {
        /// The zone.
        zone: Zone,
        /// Store revision at which the evacuated zones were read or last changed.
        revision: u64,
    },
    /// A peer's notice on evacuated zones is ignored.
    NoticeIgnored {
        /// The peer.
        peer: Host,
        /// Why it is ignored.
        reason: evacuation::ImplausibleNotice,
        /// Store revision in the notice.
        revision: u64,
        /// Number of zones in the notice.
        zones: usize,
    },
    /// Tasks were returned to their owner because no target that can take them is in a zone that is not evacuated.
    TasksEvacuated {
        /// Identifier of the job.
        job: Id,
        /// Number of tasks.
        tasks: usize,
    },
    /// An entry without a start time, unlike those that the target writes, is another writer's and is ignored.
    EntryIgnored {
        /// Target under whose name it stands.
        target: Target,
    },
    /// Calls to the store fail.
    StoreLost {
        /// Error of the first failed call.
        error: store::Error,
    },
    /// Calls to the store succeed again.
    StoreRegained,
    /// The process was suspended or stopped by a signal, and continues.
    ProcessPaused {
        /// Length of the pause.
        pause: Duration,
    },
    /// The process started to serve.
    ProcessStarted {
        /// Address on which it listens for its peers.
        address: SocketAddr,
    },
    /// The settings were reloaded.
    SettingsReloaded {
        /// Why the new settings are invalid; `None` if they were applied.
        error: Option<Arc<str>>,
    },
    /// A connection of a caller could not be accepted.
    ConnectionFailed {
        /// Error of the operating system.
        error: Arc<str>,
    },
    /// Metrics and the state are not served, since their port can't be bound.
    MetricsUnavailable {
        /// Address, and the error of the operating system.
        error: Arc<str>,
    },
    /// A client was refused because of what all clients make the process hold.
    ClientRefused {
        /// Limit that was reached.
        reason: Arc<str>,
    },
    /// A thread of the process panicked. The process can't go on without its control thread.
    ThreadPanicked(Panic),
    /// A graceful shutdown began.
    Stopping,
    /// The process is about to exit.
    ProcessStopped {
        /// Number of jobs that were still open.
        open_jobs: usize,
    },
}
