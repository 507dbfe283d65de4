//! Events, requests and actions of the control state.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootshunt_core::name::Kind;
use derive_more::Display;

use crate::cancel::Verdict;
use crate::config::Document;
use crate::job::{Id, Outcome, RequestId, Submission};
use crate::lease::{self, Call};
use crate::peer::{Ack, Batch, Message};
use crate::report::Record;
use crate::store::Update;

/// Request of a caller, an operator or another host.
#[derive(Debug)]
pub enum Request {
    /// Runs a job. The response follows when the job ends or is refused.
    Submit(Submission),
    /// Returns the state of a job.
    JobState(Id),
    /// Cancels a job.
    Cancel(Id),
    /// Counts the open jobs of a kind of which no task has started.
    PendingJobs(Kind),
    /// Processes a batch of messages from another host.
    Deliver(Batch),
    /// Returns a dump of the whole state.
    Dump,
}

/// State of a job, as shown to its caller.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum JobState {
    /// None of its tasks has started.
    Queued,
    /// At least one of its tasks may have started.
    Running,
    /// All of its tasks completed.
    Completed,
    /// It ended with [`Outcome::Failed`].
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// Response to a [`Request`].
#[derive(Debug)]
pub enum Response {
    /// Response to [`Request::Submit`].
    Outcome(Outcome),
    /// Response to [`Request::JobState`]; `None` if the job is unknown.
    JobState(Option<JobState>),
    /// Response to [`Request::Cancel`]: what is known of the job.
    Cancelled(Verdict),
    /// Response to [`Request::PendingJobs`]: the number of jobs.
    PendingJobs(usize),
    /// Response to [`Request::Deliver`].
    Ack(Ack),
    /// Response to [`Request::Dump`].
    Dump(serde_json::Value),
}

/// Input of the control state.
#[derive(Debug)]
pub enum Event {
    /// A request; [`Action::Respond`] refers to it by its id.
    Request(RequestId, Request),
    /// A caller disconnected before it got its response.
    CallerLeft(Id, RequestId),
    /// A call to a target ended, with or without a response.
    TargetResponded(Box<Call>, lease::Response),
    /// The session with a host ended.
    SessionLost {
        /// Address of the host.
        address: SocketAddr,
        /// Whether the host refused the connection, as opposed to not responding.
        refused: bool,
    },
    /// Data read from the store, or a change of its availability.
    Store(Update),
    /// Starts a planned stop; a second one ends the process at once.
    Stop,
    /// The settings file was read again; contains the error if it is invalid.
    SettingsReloaded(Option<Arc<str>>),
}

/// State that traffic threads read without a request.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Configuration in force, if any was read.
    pub document: Option<Arc<Document>>,
    /// Whether the host accepts jobs, for its readiness check.
    pub is_ready: bool,
    /// Whether connections are closed after their current response, because the host is stopping or
    /// isolated.
    pub is_closing_connections: bool,
    /// Whether the host gives orders to targets.
    pub is_steward: bool,
    /// Whether the host knows any target.
    pub knows_targets: bool,
    /// Whether the host waits for a new list of targets before it claims a zone.
    pub awaits_targets: bool,
    /// Revision of a peer's notice on evacuated zones that the store is to be read in full for.
    pub doubted_notice: Option<u64>,
}

/// Output of the control state.
#[derive(Debug)]
pub enum Action {
    /// Responds to a request.
    Respond(RequestId, Response),
    /// Calls a target.
    Call(Call),
    /// Sends a message to another host.
    Send(SocketAddr, Message),
    /// Ends the session with another host.
    Disconnect(SocketAddr),
    /// Publishes a snapshot to the traffic threads.
    Publish(Snapshot),
    /// Writes a log record.
    Record(Record),
    /// Ends the process.
    Exit,
}
