//! Messages of the log lines.

use super::Record;

impl Record {
    /// Whether the record is one of a task that starts or ends as expected. These are the most frequent ones.
    #[must_use]
    pub fn is_about_task(&self) -> bool {
        matches!(self, Self::TaskGranted { .. } | Self::TaskStarted { .. } | Self::TaskEnded { .. })
    }

    /// Message of the line. The rate limit applies to each message separately.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::JobAccepted { .. } => "job accepted",
            Self::JobAnswered { .. } => "job answered",
            Self::JobRefused { .. } => "job refused",
            Self::CallerLeft { .. } => "caller left",
            Self::JobWaits { .. } => "job waits",
            Self::JobCancelled { .. } => "job cancelled",
            Self::CancelledDropped { .. } => "cancelled jobs dropped",
            Self::TasksSent { .. } => "tasks sent",
            Self::JobReturned { .. } => "tasks given back",
            Self::TaskReturned { .. } => "task returned",
            Self::TaskGranted { .. } => "task granted",
            Self::TaskStarted { .. } => "task started",
            Self::TaskEnded { .. } => "task ended",
            Self::RunLost { .. } => "run lost",
            Self::LossesDropped { .. } => "losses dropped",
            Self::StartRejected { .. } => "start turned away",
            Self::EntryAwaited { .. } => "entry awaited",
            Self::TargetClaimed { .. } => "target claimed",
            Self::TargetFenced { .. } => "target fenced",
            Self::TargetLost { .. } => "target lost",
            Self::ReportUnreadable { .. } => "report unreadable",
            Self::TargetStalled { .. } => "target hangs",
            Self::TokenShared { .. } => "token shared",
            Self::TokenSuffixChanged { .. } => "token suffix changed",
            Self::OrphanStopped { .. } => "orphan stopped",
            Self::StewardshipTaken { .. } => "stewardship taken",
            Self::StewardshipResigned { .. } => "stewardship given up",
            Self::SplitProposed { .. } => "split_proposed",
            Self::SplitActive { .. } => "split_active",
            Self::ShareTaken { .. } => "share_taken",
            Self::ShareReleased { .. } => "share_released",
            Self::PeerFound { .. } => "peer found",
            Self::PeerLost { .. } => "peer lost",
            Self::HostsIgnored { .. } => "hosts ignored",
            Self::PeerTraffic { .. } => "peer traffic",
            Self::CallsMade { .. } => "calls made",
            Self::ControlBehind { .. } => "control behind",
            Self::RecordsDropped { .. } => "records_dropped",
            Self::TrafficBehind { .. } => "traffic behind",
            Self::ConfigApplied { .. } => "configuration in force",
            Self::TargetsChanged { .. } => "targets known",
            Self::TargetsRelayed { .. } => "targets relayed",
            Self::EntryUnreadable { .. } => "entry unreadable",
            Self::ZoneEvacuated { .. } => "zone evacuated",
            Self::ZoneRestored { .. } => "zone restored",
            Self::ZoneUnknown { .. } => "zone unknown",
            Self::NoticeIgnored { .. } => "notice ignored",
            Self::TasksEvacuated { .. } => "tasks evacuated",
            Self::EntryIgnored { .. } => "entry ignored",
            Self::StoreLost { .. } => "store lost",
            Self::StoreRegained => "store regained",
            Self::ProcessPaused { .. } => "process was paused",
            Self::ProcessStarted { .. } => "process began",
            Self::SettingsReloaded { .. } => "settings read",
            Self::ConnectionFailed { .. } => "connection not accepted",
            Self::MetricsUnavailable { .. } => "metrics unavailable",
            Self::ClientRefused { .. } => "client refused",
            Self::ThreadPanicked(_) => "thread panicked",
            Self::Stopping => "stop began",
            Self::ProcessStopped { .. } => "process ends",
        }
    }
}
