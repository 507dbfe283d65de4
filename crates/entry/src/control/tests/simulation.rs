//! Simulation of several control states, with the calls and attempts between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Fault};
use coltsfootshunt_core::config::Revision;
use coltsfootshunt_core::job::Job;
use coltsfootshunt_core::name::Host;
use coltsfootshunt_core::submission::{Id, Incarnation};

use super::fixture::{address_of, document, job, output, parse, target_name, zone};
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
pub enum How {
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
pub struct Running {
    pub(super) entry: usize,
    pub(super) attempt: Attempt,
    pub(super) start: Start,
}

/// A call in flight between entries.
pub struct Mail {
    pub(super) from: usize,
    to: SocketAddr,
    peer: Option<Incarnation>,
    call: Call,
}

/// A simulated entry.
pub struct Entry {
    /// Control state; `None` after the process has ended.
    pub state: Option<State>,
    /// Incarnation of the current process.
    pub incarnation: Incarnation,
    /// Whether the process is paused, so that it handles no events.
    pub frozen: bool,
    /// Outcome of the process, once it has ended.
    pub exit: Option<Exit>,
    pub(super) revision: Revision,
}

/// What the checks track of one submission.
#[derive(Default)]
pub struct Known {
    pub(super) tasks: usize,
    pub(super) starts: BTreeMap<usize, u32>,
    pub(super) never: BTreeSet<usize>,
    pub(super) answer: Option<Answer>,
    pub(super) due: Option<Instant>,
}

/// Simulated entries, the targets' attempts and the calls in flight.
pub struct World {
    /// Simulated time.
    pub now: Instant,
    /// Entries, by index.
    pub entries: Vec<Entry>,
    /// Attempts that targets run.
    pub running: Vec<Running>,
    /// Calls in flight.
    pub mail: Vec<Mail>,
    /// Identifier and job of each submission, in order.
    pub submissions: Vec<(Id, Job)>,
    /// What the checks track of each submission.
    pub known: BTreeMap<Id, Known>,
    /// Number of started attempts.
    pub starts: usize,
    /// Number of answers by outcome.
    pub outcomes: BTreeMap<String, usize>,
    pub(super) asked: BTreeMap<RequestId, Id>,
    ticket: u64,
    incarnations: u64,
}

impl World {
    /// Creates entries that know each other and the configuration.
    pub fn new(entries: usize) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            entries: Vec::new(),
            running: Vec::new(),
            mail: Vec::new(),
            submissions: Vec::new(),
            known: BTreeMap::new(),
            starts: 0,
            outcomes: BTreeMap::new(),
            asked: BTreeMap::new(),
            ticket: 0,
            incarnations: 0,
        };
        for number in 0..entries {
            let entry = world.fresh(number, entries);
            world.entries.push(entry);
        }
        for number in 0..entries {
            world.event(number, Event::Configuration(Box::new(document(1))));
        }
        world.settle_mail();
        world
    }

    /// Advances time by several heartbeat rounds and delivers all calls, so that the entries agree.
    pub fn settle_mail(&mut self) {
        for _ in 0..4 {
            self.pass(Duration::from_millis(600));
            while !self.mail.is_empty() {
                self.deliver(0, false);
            }
        }
    }

    /// Lets an entry handle an event, unless it has ended or is paused.
    pub fn event(&mut self, number: usize, event: Event) {
        let now = self.now;
        let entry = &mut self.entries[number];
        if entry.frozen {
            return;
        }
        let Some(state) = entry.state.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        state.handle(event, now, &mut out);
        state.advance(now, &mut out);
        self.act(number, out);
    }

    /// Advances time for all entries.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        for number in 0..self.entries.len() {
            self.settle(number);
        }
    }

    /// Advances the state of an entry, unless it has ended or is paused.
    pub fn settle(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        if entry.frozen {
            return;
        }
        if let Some(state) = entry.state.as_mut() {
            let mut out = Vec::new();
            state.advance(now, &mut out);
            self.act(number, out);
        }
    }

    /// Issues an identifier at an entry and submits a job under it there.
    pub fn submit(&mut self, number: usize, kind: &str, tasks: usize, ms: u64) -> Option<Id> {
        if !self.is_awake(number) {
            return None;
        }
        let ticket = self.next_ticket();
        let state = self.entries[number].state.as_mut()?;
        let mut out = Vec::new();
        state.handle(
            Event::Request(ticket, Request::IssueIdentifiers { count: 1 }),
            self.now,
            &mut out,
        );
        let minted = out.iter().find_map(|action| match action {
            Action::Respond(_, Output::Reply(Reply::Identifiers(ids))) => ids.first().cloned(),
            _ => None,
        });
        self.act(number, out);
        let id = minted?;
        let job = job(kind, tasks, ms);
        self.known.insert(id.clone(), Known { tasks, ..Known::default() });
        self.submissions.push((id.clone(), job));
        self.repeat(self.submissions.len() - 1, number);
        Some(id)
    }

    /// Submits a job again, at any entry.
    pub fn repeat(&mut self, which: usize, number: usize) {
        if !self.is_awake(number) {
            return;
        }
        let (id, job) = self.submissions[which].clone();
        let ticket = self.next_ticket();
        self.asked.insert(ticket, id.clone());
        let owner = self.entries[number].incarnation == id.owner;
        let known = self.known.get_mut(&id).expect("it was submitted");
        if owner && known.due.is_none() {
            known.due = Some(self.now + job.timeout);
        }
        self.event(number, Event::Request(ticket, Request::Submit { id, job }));
    }

    /// Cancels a submission, at any entry.
    pub fn cancel(&mut self, which: usize, number: usize) {
        if !self.is_awake(number) {
            return;
        }
        let id = self.submissions[which].0.clone();
        let ticket = self.next_ticket();
        self.asked.insert(ticket, id.clone());
        self.event(number, Event::Request(ticket, Request::Cancel { id }));
    }

    /// Ends an attempt, unless its entry is paused.
    pub fn end(&mut self, which: usize, how: How) {
        if self.entries[self.running[which].entry].frozen {
            // The result stays in the socket buffer until the process continues.
            return;
        }
        let Running { entry, attempt, start } = self.running.remove(which);
        let (end, refused) = match how {
            How::Output => (End::Output(output(&start.label)), None),
            How::Unreachable => (End::NotStarted, None),
            How::Busy => (End::NotStarted, Some(Rejection::Busy)),
            How::Leaving => (End::NotStarted, Some(Rejection::Leaving)),
            How::Error => (End::Fault(Fault::Reported { detail: "no".to_owned() }), None),
            How::Lost => (End::Fault(Fault::Lost), None),
        };
        if matches!(end, End::NotStarted) {
            let (id, task) = parse(&start.label);
            let known = self.known.get_mut(&id).expect("it was submitted");
            *known.starts.entry(task).or_default() -= 1;
        }
        let took = Duration::from_millis(50);
        self.event(entry, Event::AttemptEnded(attempt, Report { end, rejection: refused, took }));
    }

    /// Delivers a call and returns its response, or loses the response.
    pub fn deliver(&mut self, which: usize, lose_answer: bool) {
        let mail = self.mail.remove(which);
        let part = match &mail.call {
            Call::Inherit(part) => Some(part.id()),
            _ => None,
        };
        let response = self.exchange(&mail);
        let response = response.filter(|_| !lose_answer).ok_or(Unreachable::TimedOut);
        let event = Event::PeerResponded { peer: mail.peer, part, response };
        self.event(mail.from, event);
    }

    /// Refuses the connection of a call although the peer runs.
    pub fn refuse(&mut self, which: usize) {
        let mail = self.mail.remove(which);
        let part = match &mail.call {
            Call::Inherit(part) => Some(part.id()),
            _ => None,
        };
        let response = Err(Unreachable::Refused);
        self.event(mail.from, Event::PeerResponded { peer: mail.peer, part, response });
    }

    /// Delivers a call and keeps it in flight, so that it is delivered again.
    pub fn double(&mut self, which: usize) {
        let mail = &self.mail[which];
        let mail = Mail { from: mail.from, to: mail.to, peer: mail.peer, call: mail.call.clone() };
        self.exchange(&mail);
    }

    /// Replaces an entry by a new incarnation without state.
    pub fn kill(&mut self, number: usize) {
        let count = self.entries.len();
        self.running.retain(|running| running.entry != number);
        self.mail.retain(|mail| mail.from != number);
        self.entries[number] = self.fresh(number, count);
    }

    /// Starts a planned stop.
    pub fn stop(&mut self, number: usize) {
        self.event(number, Event::Signal(Signal::Stop));
    }

    /// Gives an entry a configuration from the platform.
    pub fn configure(&mut self, number: usize, revision: u64) {
        self.event(number, Event::Configuration(Box::new(document(revision))));
    }

    /// Gives an entry the platform's list of leaving targets.
    pub fn leave(&mut self, number: usize, version: u64, target: usize) {
        let targets = BTreeSet::from([target_name(target)]);
        self.event(number, Event::Departures(Departures::new(version, targets)));
    }

    fn exchange(&mut self, mail: &Mail) -> Option<Response> {
        let number = self.entries.iter().position(|entry| {
            entry.state.is_some() && !entry.frozen && address_of(entry.number()) == mail.to
        })?;
        let ticket = self.next_ticket();
        let now = self.now;
        let state = self.entries[number].state.as_mut()?;
        let mut out = Vec::new();
        state.handle(Event::PeerCall(ticket, mail.call.clone()), now, &mut out);
        let place = out.iter().position(
            |action| matches!(action, Action::Respond(t, Output::Response(_)) if *t == ticket),
        );
        let response = place.map(|place| out.remove(place));
        state.advance(now, &mut out);
        self.act(number, out);
        match response {
            Some(Action::Respond(_, Output::Response(response))) => Some(response),
            _ => None,
        }
    }

    fn act(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartTask(attempt, start) => self.started(number, attempt, start),
                Action::CallPeer { to, peer, call } => {
                    self.mail.push(Mail { from: number, to, peer, call });
                }
                Action::Respond(ticket, Output::Reply(Reply::Answer(answer))) => {
                    if let Some(id) = self.asked.remove(&ticket) {
                        self.answered(&id, answer);
                    }
                }
                Action::Respond(ticket, Output::Reply(_)) => {
                    self.asked.remove(&ticket);
                }
                Action::Publish(snapshot) => {
                    let entry = &mut self.entries[number];
                    assert!(snapshot.revision >= entry.revision, "the configuration reverted");
                    entry.revision = snapshot.revision;
                }
                Action::Exit(exit) => self.exited(number, exit),
                Action::Respond(..) | Action::Record(_) | Action::ReportLoad(_) => {}
            }
        }
    }

    /// Whether an entry handles requests. A caller of one that is paused or has ended waits.
    fn is_awake(&self, number: usize) -> bool {
        let entry = &self.entries[number];
        entry.state.is_some() && !entry.frozen
    }

    fn next_ticket(&mut self) -> RequestId {
        self.ticket += 1;
        RequestId(self.ticket)
    }

    fn fresh(&mut self, number: usize, entries: usize) -> Entry {
        self.incarnations += 1;
        // The lowest byte is the index of the entry, whatever the order in which incarnations are
        // created.
        let incarnation = Incarnation((self.incarnations * 0x9E37) << 8 | number as u64);
        let identity = Identity {
            host: Host::try_from(format!("entry-{number}")).expect("a name"),
            zone: zone(),
            incarnation,
            address: address_of(number),
            weight: 1,
        };
        let setup = Setup {
            identity,
            seeds: (0..entries).filter(|other| *other != number).map(address_of).collect(),
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
        Entry { state, incarnation, frozen: false, exit: None, revision: Revision::default() }
    }
}

impl Entry {
    fn number(&self) -> usize {
        (self.incarnation.0 & 0xFF) as usize
    }
}
