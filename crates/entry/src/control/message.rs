//! Events and actions of the control state.

use std::net::SocketAddr;

use coltsfootshunt_core::config::Document;
use coltsfootshunt_core::name::{Kind, Target, Team};
use coltsfootshunt_core::submission::Incarnation;
use serde_json::Value;

use super::{Record, Snapshot};
use crate::drain::{Exit, Signal};
use crate::peer::{Call, Response, Unreachable};
use crate::submission::{ChunkId, Reply, Request, RequestId};
use crate::target::{AllocationId, Departures, Report, Start};

/// Input of the control state.
#[derive(Debug)]
pub enum Event {
    /// Request of a caller, from a front end.
    Request(RequestId, Request),
    /// An attempt at a task ended.
    AttemptEnded(Attempt, Report),
    /// Call from a peer.
    PeerCall(RequestId, Call),
    /// A call to a peer ended, with or without a response.
    PeerResponded {
        /// Incarnation that was called; `None` if only its address was known.
        peer: Option<Incarnation>,
        /// Chunk of records that the call handed over, if any.
        chunk: Option<ChunkId>,
        /// Response, or the reason why there is none.
        response: Result<Response, Unreachable>,
    },
    /// Addresses at which the platform lists peers.
    Contacts(Vec<SocketAddr>),
    /// Targets that are leaving, from the platform.
    Departures(Departures),
    /// Configuration read from the platform.
    Configuration(Box<Document>),
    /// Signal of the operating system.
    Signal(Signal),
    /// An operator's request for a dump of the state.
    Dump(RequestId),
}

/// Output of the control state.
#[derive(Debug)]
pub enum Action {
    /// Responds to a request.
    Respond(RequestId, Output),
    /// Sends a task to a target.
    StartTask(Attempt, Start),
    /// Calls a peer.
    CallPeer {
        /// Address of the peer.
        to: SocketAddr,
        /// Incarnation of the peer; `None` if only its address is known.
        peer: Option<Incarnation>,
        /// Message to send.
        call: Call,
    },
    /// Publishes a snapshot to the traffic threads.
    Publish(Snapshot),
    /// Updates the load metrics.
    ReportLoad(Load),
    /// Ends the process.
    Exit(Exit),
    /// Writes a log record and updates the event counters.
    Record(Record),
}

/// Load of an entry, as exported in its metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Submissions without an answer.
    pub open_submissions: usize,
    /// Tasks in the queue.
    pub waiting_tasks: usize,
    /// Tasks of this entry that occupy a slot.
    pub running_tasks: u32,
    /// Own slots that accept tasks, occupied or not.
    pub usable_slots: u32,
    /// Own slots that are free.
    pub free_slots: u32,
    /// Slots borrowed from peers.
    pub borrowed_slots: u32,
    /// Peers that count as alive.
    pub peers: usize,
}

/// Response to a requester.
#[derive(Debug)]
pub enum Output {
    /// Response to [`Event::Request`].
    Reply(Reply),
    /// Response to [`Event::PeerCall`].
    Response(Response),
    /// Response to [`Event::Dump`].
    Dump(Value),
}

/// One attempt at a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Sequence number of the submission.
    pub sequence: u64,
    /// Index of the task in its job.
    pub task: usize,
    /// Identifies the target's slots in the pool.
    pub allocation: AllocationId,
    /// Target that runs the attempt.
    pub target: Target,
    /// Peer that lent the slot; `None` for an own slot.
    pub lender: Option<Incarnation>,
    /// Kind of the job.
    pub kind: Kind,
    /// Team that submitted the job.
    pub team: Team,
    /// Whether the kind was classified as long when the attempt started.
    pub is_long: bool,
}
