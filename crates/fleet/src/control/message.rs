//! Events, actions and what is asked of the control state.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootshunt_core::name::Kind;
use derive_more::Display;

use crate::config::Document;
use crate::job::{Id, Outcome, Submission, Ticket};
use crate::lease::{Answer, Call};
use crate::peer::{Ack, Batch, Message};
use crate::report::Record;
use crate::store::News;

/// What a caller or another host asks.
#[derive(Debug)]
pub enum Request {
    /// Run a job; answered at its end.
    Submit(Submission),
    /// How does the job stand?
    State(Id),
    /// Nobody wants the job any more.
    Cancel(Id),
    /// How many jobs of the kind wait?
    Pending(Kind),
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
pub enum Output {
    /// To [`Request::Submit`].
    Outcome(Outcome),
    /// To [`Request::State`]; none if the job is not known.
    State(Option<JobState>),
    /// To [`Request::Cancel`]: whether the job was known.
    Cancelled(bool),
    /// To [`Request::Pending`].
    Pending(usize),
    /// To [`Request::Deliver`].
    Ack(Ack),
    /// To [`Request::Dump`].
    Dump(serde_json::Value),
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// Somebody asks and waits.
    Request(Ticket, Request),
    /// A caller went before its answer.
    Left(Id, Ticket),
    /// A target answered, or did not.
    Called(Box<Call>, Answer),
    /// The session with the host at an address ended.
    LinkLost {
        /// The address.
        address: SocketAddr,
        /// Whether the connection was refused.
        refused: bool,
    },
    /// News of the store.
    Store(News),
    /// Stop as planned.
    Stop,
    /// The settings file was read again; what is wrong with it, if anything.
    Reloaded(Option<Arc<str>>),
}

/// What traffic threads know without asking.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration in force.
    pub document: Option<Arc<Document>>,
    /// Whether new connections are welcome.
    pub ready: bool,
    /// Whether the host is stopping or cut off: connections are to be closed after their answer.
    pub turning_away: bool,
    /// Whether the host gives orders to targets.
    pub is_steward: bool,
    /// Whether any target is known.
    pub knows_targets: bool,
}

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Answer who waits.
    Answer(Ticket, Output),
    /// Call a target.
    Call(Call),
    /// Send another host a message.
    Send(SocketAddr, Message),
    /// End the session with another host.
    Reset(SocketAddr),
    /// Tell traffic threads.
    Publish(Snapshot),
    /// Write down.
    Note(Record),
    /// End the process.
    Exit,
}
