//! Simulation of several control states, with the calls and attempts between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Fault};
use coltsfootshunt_core::config::Revision;
use coltsfootshunt_core::job::Job;
use coltsfootshunt_core::name::Host;
use coltsfootshunt_core::submission::{Id, Incarnation};

use super::fixture::{address_of, document, job, output_for, parse_label, target_name, zone};
use crate::control::{Action, Attempt, Event, Output, Policy, Setup, State};
use crate::dispatch::{Predicted, Slack};
use crate::drain::{self, Exit, Signal};
use crate::loan::MostIdle;
use crate::member::Identity;
use crate::peer::{Call, Response, Unreachable};
use crate::submission::{End, Limits, Reply, Request, RequestId};
use crate::target::{Departures, Rejection, Report, Start};

/// How a simulated attempt ends.
#[derive(Clone, Copy, Debug)]
pub enum AttemptResult {
    /// The target returns the output.
    Output,
    /// The connection to the target fails.
    Unreachable,
    /// The target refuses the task because it has no free slot.
    Busy,
    /// The target refuses the task because it is leaving.
    Leaving,
    /// The target reports an error.
    Error,
    /// The connection is lost before the response.
    Lost,
}

/// An attempt that a target runs.
pub struct RunningAttempt {
    pub(super) entry: usize,
    pub(super) attempt: Attempt,
    pub(super) start: Start,
}

/// A call in flight between entries.
pub struct InFlightCall {
    pub(super) from: usize,
    pub(super) to: SocketAddr,
    peer: Option<Incarnation>,
    pub(super) call: Call,
}

/// A simulated entry.
pub struct Entry {
    /// Control state; `None` after the process has ended.
    pub state: Option<State>,
    /// Incarnation of the current process.
    pub incarnation: Incarnation,
    /// Whether the process is paused, so that it handles no events.
    pub is_paused: bool,
    /// Outcome of the process, once it has ended.
    pub exit: Option<Exit>,
    /// Newest revision that the entry published.
    pub(super) revision: Revision,
}

/// State of a submission that the checks compare with later actions.
#[derive(Default)]
pub struct TrackedSubmission {
    pub(super) tasks: usize,
    /// Number of starts of each task, without attempts that certainly did not run.
    pub(super) starts: BTreeMap<usize, u32>,
    /// Tasks that an answer reported as not run.
    pub(super) must_not_run: BTreeSet<usize>,
    pub(super) answer: Option<Answer>,
    pub(super) deadline: Option<Instant>,
}

/// Simulated entries, the targets' attempts and the calls in flight.
pub struct Simulation {
    /// Simulated time.
    pub now: Instant,
    /// Entries, by index.
    pub entries: Vec<Entry>,
    /// Attempts that targets run.
    pub running: Vec<RunningAttempt>,
    /// Calls in flight.
    pub calls: Vec<InFlightCall>,
    /// Identifier and job of each submission, in order.
    pub submissions: Vec<(Id, Job)>,
    /// State of each submission for the checks.
    pub tracked: BTreeMap<Id, TrackedSubmission>,
    /// Number of started attempts.
    pub starts: usize,
    /// Number of answers by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Submissions of the requests that wait for a reply.
    pub(super) pending_requests: BTreeMap<RequestId, Id>,
    last_request_id: u64,
    incarnation_count: u64,
}

impl Simulation {
    /// Creates entries that know each other and the configuration.
    pub fn new(entries: usize) -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            now,
            entries: Vec::new(),
            running: Vec::new(),
            calls: Vec::new(),
            submissions: Vec::new(),
            tracked: BTreeMap::new(),
            starts: 0,
            outcomes: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            last_request_id: 0,
            incarnation_count: 0,
        };
        for entry_index in 0..entries {
            let entry = simulation.new_entry(entry_index, entries);
            simulation.entries.push(entry);
        }
        for entry_index in 0..entries {
            simulation.handle_event(entry_index, Event::Configuration(Box::new(document(1))));
        }
        simulation.deliver_all();
        simulation
    }

    /// Advances time by several heartbeat rounds and delivers all calls, so that the entries agree.
    pub fn deliver_all(&mut self) {
        for _ in 0..4 {
            self.advance_time(Duration::from_millis(600));
            while !self.calls.is_empty() {
                self.deliver(0, false);
            }
        }
    }

    /// Lets an entry handle an event, unless it has ended or is paused.
    pub fn handle_event(&mut self, entry_index: usize, event: Event) {
        let now = self.now;
        let entry = &mut self.entries[entry_index];
        if entry.is_paused {
            return;
        }
        let Some(state) = entry.state.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        state.handle(event, now, &mut out);
        state.advance(now, &mut out);
        self.execute(entry_index, out);
    }

    /// Advances time for all entries.
    pub fn advance_time(&mut self, duration: Duration) {
        self.now += duration;
        for entry_index in 0..self.entries.len() {
            self.advance(entry_index);
        }
    }

    /// Advances the state of an entry, unless it has ended or is paused.
    pub fn advance(&mut self, entry_index: usize) {
        let now = self.now;
        let entry = &mut self.entries[entry_index];
        if entry.is_paused {
            return;
        }
        if let Some(state) = entry.state.as_mut() {
            let mut out = Vec::new();
            state.advance(now, &mut out);
            self.execute(entry_index, out);
        }
    }

    /// Issues an identifier at an entry and submits a job under it there.
    pub fn submit(&mut self, entry_index: usize, kind: &str, tasks: usize, ms: u64) -> Option<Id> {
        if !self.is_running(entry_index) {
            return None;
        }
        let request_id = self.next_request_id();
        let state = self.entries[entry_index].state.as_mut()?;
        let mut out = Vec::new();
        state.handle(
            Event::Request(request_id, Request::IssueIdentifiers { count: 1 }),
            self.now,
            &mut out,
        );
        let issued = out.iter().find_map(|action| match action {
            Action::Respond(_, Output::Reply(Reply::Identifiers(ids))) => ids.first().cloned(),
            _ => None,
        });
        self.execute(entry_index, out);
        let id = issued?;
        let job = job(kind, tasks, ms);
        self.tracked
            .insert(id.clone(), TrackedSubmission { tasks, ..TrackedSubmission::default() });
        self.submissions.push((id.clone(), job));
        self.resubmit(self.submissions.len() - 1, entry_index);
        Some(id)
    }

    /// Submits a job again, at any entry.
    pub fn resubmit(&mut self, index: usize, entry_index: usize) {
        if !self.is_running(entry_index) {
            return;
        }
        let (id, job) = self.submissions[index].clone();
        let request_id = self.next_request_id();
        self.pending_requests.insert(request_id, id.clone());
        let owner = self.entries[entry_index].incarnation == id.owner;
        let tracked = self.tracked.get_mut(&id).expect("the submission is tracked");
        if owner && tracked.deadline.is_none() {
            tracked.deadline = Some(self.now + job.timeout);
        }
        self.handle_event(entry_index, Event::Request(request_id, Request::Submit { id, job }));
    }

    /// Cancels a submission, at any entry.
    pub fn cancel(&mut self, index: usize, entry_index: usize) {
        if !self.is_running(entry_index) {
            return;
        }
        let id = self.submissions[index].0.clone();
        let request_id = self.next_request_id();
        self.pending_requests.insert(request_id, id.clone());
        self.handle_event(entry_index, Event::Request(request_id, Request::Cancel { id }));
    }

    /// Ends an attempt, unless its entry is paused.
    pub fn end(&mut self, index: usize, result: AttemptResult) {
        if self.entries[self.running[index].entry].is_paused {
            // The result stays in the socket buffer until the process continues.
            return;
        }
        let RunningAttempt { entry, attempt, start } = self.running.remove(index);
        let (end, rejection) = match result {
            AttemptResult::Output => (End::Output(output_for(&start.label)), None),
            AttemptResult::Unreachable => (End::NotStarted, None),
            AttemptResult::Busy => (End::NotStarted, Some(Rejection::Busy)),
            AttemptResult::Leaving => (End::NotStarted, Some(Rejection::Leaving)),
            AttemptResult::Error => (End::Fault(Fault::Reported { detail: "no".to_owned() }), None),
            AttemptResult::Lost => (End::Fault(Fault::Lost), None),
        };
        if matches!(end, End::NotStarted) {
            let (id, task) = parse_label(&start.label);
            let tracked = self.tracked.get_mut(&id).expect("the submission is tracked");
            *tracked.starts.entry(task).or_default() -= 1;
        }
        let took = Duration::from_millis(50);
        self.handle_event(entry, Event::AttemptEnded(attempt, Report { end, rejection, took }));
    }

    /// Delivers a call and returns its response, or loses the response.
    pub fn deliver(&mut self, index: usize, lose_response: bool) {
        let in_flight = self.calls.remove(index);
        let chunk = match &in_flight.call {
            Call::Inherit(chunk) => Some(chunk.id()),
            _ => None,
        };
        let response = self.handle_call(&in_flight);
        let response = response.filter(|_| !lose_response).ok_or(Unreachable::TimedOut);
        let event = Event::PeerResponded { peer: in_flight.peer, chunk, response };
        self.handle_event(in_flight.from, event);
    }

    /// Refuses the connection of a call although the peer runs.
    pub fn refuse(&mut self, index: usize) {
        let in_flight = self.calls.remove(index);
        let chunk = match &in_flight.call {
            Call::Inherit(chunk) => Some(chunk.id()),
            _ => None,
        };
        let response = Err(Unreachable::Refused);
        self.handle_event(
            in_flight.from,
            Event::PeerResponded { peer: in_flight.peer, chunk, response },
        );
    }

    /// Delivers a call and keeps it in flight, so that it is delivered again.
    pub fn duplicate(&mut self, index: usize) {
        let in_flight = &self.calls[index];
        let in_flight = InFlightCall {
            from: in_flight.from,
            to: in_flight.to,
            peer: in_flight.peer,
            call: in_flight.call.clone(),
        };
        self.handle_call(&in_flight);
    }

    /// Replaces an entry by a new incarnation without state.
    pub fn kill(&mut self, entry_index: usize) {
        let count = self.entries.len();
        self.running.retain(|running| running.entry != entry_index);
        self.calls.retain(|in_flight| in_flight.from != entry_index);
        self.entries[entry_index] = self.new_entry(entry_index, count);
    }

    /// Starts a planned stop.
    pub fn stop(&mut self, entry_index: usize) {
        self.handle_event(entry_index, Event::Signal(Signal::Stop));
    }

    /// Gives an entry a configuration from the platform.
    pub fn configure(&mut self, entry_index: usize, revision: u64) {
        self.handle_event(entry_index, Event::Configuration(Box::new(document(revision))));
    }

    /// Gives an entry the platform's list of leaving targets.
    pub fn announce_departure(&mut self, entry_index: usize, version: u64, target: usize) {
        let targets = BTreeSet::from([target_name(target)]);
        self.handle_event(entry_index, Event::Departures(Departures::new(version, targets)));
    }

    /// Lets the called entry handle a call. Returns `None` if no entry responds.
    fn handle_call(&mut self, in_flight: &InFlightCall) -> Option<Response> {
        let entry_index = self.entries.iter().position(|entry| {
            entry.state.is_some() && !entry.is_paused && address_of(entry.index()) == in_flight.to
        })?;
        let request_id = self.next_request_id();
        let now = self.now;
        let state = self.entries[entry_index].state.as_mut()?;
        let mut out = Vec::new();
        state.handle(Event::PeerCall(request_id, in_flight.call.clone()), now, &mut out);
        let position = out.iter().position(
            |action| matches!(action, Action::Respond(id, Output::Response(_)) if *id == request_id),
        );
        let response = position.map(|position| out.remove(position));
        state.advance(now, &mut out);
        self.execute(entry_index, out);
        match response {
            Some(Action::Respond(_, Output::Response(response))) => Some(response),
            _ => None,
        }
    }

    fn execute(&mut self, entry_index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartTask(attempt, start) => self.check_start(entry_index, attempt, start),
                Action::CallPeer { to, peer, call } => {
                    self.calls.push(InFlightCall { from: entry_index, to, peer, call });
                }
                Action::Respond(request_id, Output::Reply(Reply::Answer(answer))) => {
                    if let Some(id) = self.pending_requests.remove(&request_id) {
                        self.check_answer(&id, answer);
                    }
                }
                Action::Respond(request_id, Output::Reply(_)) => {
                    self.pending_requests.remove(&request_id);
                }
                Action::Publish(snapshot) => {
                    let entry = &mut self.entries[entry_index];
                    assert!(snapshot.revision >= entry.revision, "the configuration reverted");
                    entry.revision = snapshot.revision;
                }
                Action::Exit(exit) => self.check_exit(entry_index, exit),
                Action::Respond(..) | Action::Record(_) | Action::ReportLoad(_) => {}
            }
        }
    }

    /// Whether an entry handles requests. A caller of one that is paused or has ended waits.
    fn is_running(&self, entry_index: usize) -> bool {
        let entry = &self.entries[entry_index];
        entry.state.is_some() && !entry.is_paused
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        RequestId(self.last_request_id)
    }

    fn new_entry(&mut self, entry_index: usize, entries: usize) -> Entry {
        self.incarnation_count += 1;
        // The lowest byte is the index of the entry, whatever the order in which incarnations are
        // created.
        let incarnation = Incarnation((self.incarnation_count * 0x9E37) << 8 | entry_index as u64);
        let identity = Identity {
            host: Host::try_from(format!("entry-{entry_index}")).expect("the host name is valid"),
            zone: zone(),
            incarnation,
            address: address_of(entry_index),
            weight: 1,
        };
        let setup = Setup {
            identity,
            seeds: (0..entries).filter(|other| *other != entry_index).map(address_of).collect(),
            policy: Policy {
                order: Box::new(Slack),
                admission: Box::new(Predicted::default()),
                sharing: Box::new(MostIdle),
            },
            submission_limits: Limits::default(),
            drain_limits: drain::Limits {
                grace: Duration::from_millis(200),
                timeout: Duration::from_secs(60),
            },
        };
        let state = Some(State::new(setup, self.now));
        Entry { state, incarnation, is_paused: false, exit: None, revision: Revision::default() }
    }
}

impl Entry {
    fn index(&self) -> usize {
        (self.incarnation.0 & 0xFF) as usize
    }
}
