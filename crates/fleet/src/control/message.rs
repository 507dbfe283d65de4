//! Events, actions and what is asked of the control state.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootshunt_core::name::Kind;
use derive_more::Display;

use crate::config::Document;
use crate::job::{Id, Outcome, RequestId, Submission};
use crate::lease::{self, Call};
use crate::peer::{Ack, Batch, Message};
use crate::report::Record;
use crate::store::Update;

/// What a caller or another host asks.
#[derive(Debug)]
pub enum Request {
    /// Run a job; answered at its end.
    Submit(Submission),
    /// How does the job stand?
    JobState(Id),
    /// Nobody wants the job any more.
    Cancel(Id),
    /// How many jobs of the kind wait?
    PendingJobs(Kind),
    /// Take a batch of messages.
    Deliver(Batch),
    /// Show the whole state.
    Dump,
}

/// How a job stands.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum JobState {
    /// None of its tasks has started.
    Queued,
    /// Some have.
    Running,
    /// All ended well.
    Completed,
    /// It failed.
    Failed,
}

/// Answer to a [`Request`].
#[derive(Debug)]
pub enum Response {
    /// To [`Request::Submit`].
    Outcome(Outcome),
    /// To [`Request::JobState`]; none if the job is not known.
    JobState(Option<JobState>),
    /// To [`Request::Cancel`]: whether the job was known.
    Cancelled(bool),
    /// To [`Request::PendingJobs`].
    PendingJobs(usize),
    /// To [`Request::Deliver`].
    Ack(Ack),
    /// To [`Request::Dump`].
    Dump(serde_json::Value),
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// Somebody asks and waits.
    Request(RequestId, Request),
    /// A caller went before its answer.
    CallerLeft(Id, RequestId),
    /// A target answered, or did not.
    TargetResponded(Box<Call>, lease::Response),
    /// The session with the host at an address ended.
    SessionLost {
        /// The address.
        address: SocketAddr,
        /// Whether the connection was refused.
        refused: bool,
    },
    /// News of the store.
    Store(Update),
    /// Stop as planned.
    Stop,
    /// The settings file was read again; what is wrong with it, if anything.
    SettingsReloaded(Option<Arc<str>>),
}

/// What traffic threads know without asking.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration in force.
    pub document: Option<Arc<Document>>,
    /// Whether new connections are welcome.
    pub is_ready: bool,
    /// Whether the host is stopping or cut off: connections are to be closed after their answer.
    pub is_closing_connections: bool,
    /// Whether the host gives orders to targets.
    pub is_steward: bool,
    /// Whether any target is known.
    pub knows_targets: bool,
}

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Answer who waits.
    Respond(RequestId, Response),
    /// Call a target.
    Call(Call),
    /// Send another host a message.
    Send(SocketAddr, Message),
    /// End the session with another host.
    Disconnect(SocketAddr),
    /// Tell traffic threads.
    Publish(Snapshot),
    /// Write down.
    Note(Record),
    /// End the process.
    Exit,
}
