//! What goes into the control state and what comes out.

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

/// Something happened.
#[derive(Debug)]
pub enum Event {
    /// A front end asks on behalf of a caller.
    Request(RequestId, Request),
    /// An attempt ended.
    AttemptEnded(Attempt, Report),
    /// A peer calls.
    PeerCall(RequestId, Call),
    /// A peer answered a call, or did not.
    PeerResponded {
        /// Whom it was meant for, where known.
        peer: Option<Incarnation>,
        /// The part, if the call handed records over.
        part: Option<ChunkId>,
        /// The answer.
        response: Result<Response, Unreachable>,
    },
    /// Addresses where peers may be.
    Contacts(Vec<SocketAddr>),
    /// The platform's list of leaving hosts.
    Departures(Departures),
    /// A configuration, as the platform has it.
    Configuration(Box<Document>),
    /// The operating system asks for something.
    Signal(Signal),
    /// An operator asks for the state.
    Dump(RequestId),
}

/// Something to do.
#[derive(Debug)]
pub enum Action {
    /// Give a requester its output.
    Respond(RequestId, Output),
    /// Send a task to a target.
    StartTask(Attempt, Start),
    /// Call a peer.
    CallPeer {
        /// Where.
        to: SocketAddr,
        /// Whom, where known.
        peer: Option<Incarnation>,
        /// The call.
        call: Call,
    },
    /// Show this to the traffic threads.
    Publish(Snapshot),
    /// Show this to operators.
    ReportLoad(Load),
    /// End the process.
    Exit(Exit),
    /// Write this to the log and count it.
    Record(Record),
}

/// How much an entry has to do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Submissions without an answer.
    pub open_submissions: usize,
    /// Tasks that wait.
    pub waiting_tasks: usize,
    /// Tasks that targets have.
    pub running_tasks: u32,
    /// Own slots that may be given work.
    pub usable_slots: u32,
    /// Own slots that are free.
    pub free_slots: u32,
    /// Slots on loan from peers.
    pub borrowed_slots: u32,
    /// Peers that live.
    pub peers: usize,
}

/// What a requester gets.
#[derive(Debug)]
pub enum Output {
    /// For a caller's request.
    Reply(Reply),
    /// For a peer's call.
    Response(Response),
    /// For an operator's wish to see the state.
    Dump(Value),
}

/// One attempt at one task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The submission.
    pub sequence: u64,
    /// The task.
    pub task: usize,
    /// The slot.
    pub allocation: AllocationId,
    /// The target.
    pub target: Target,
    /// Who lends the slot, if it is borrowed.
    pub lender: Option<Incarnation>,
    /// The kind.
    pub kind: Kind,
    /// The team.
    pub team: Team,
    /// Whether the kind counted as long.
    pub is_long: bool,
}
