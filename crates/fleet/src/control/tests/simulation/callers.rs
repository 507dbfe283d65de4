//! Callers: they submit jobs, disconnect at their timeout, and retry when the outcome is unknown.

use std::sync::Arc;
use std::time::Duration;

use super::{Caller, SimEvent, Simulation};
use crate::config::Document;
use crate::control::{Event, Request};
use crate::job::{
    Id, Outcome, Patience, Plan, RequestId, Requirements, Resources, Step, Submission,
};
use crate::store::Update;

impl Simulation {
    /// Submits a job of `width` tasks at a random host that is up.
    pub(in crate::control::tests) fn submit(&mut self, width: u32, cpu: u64, run_ms: u64) -> Id {
        let id = Id::try_from(format!("{:016x}", self.callers.len() + 1)).unwrap();
        let resources = Resources { cpu_millis: cpu, memory_mb: 1, accelerators: 0 };
        let requirements =
            Requirements { resources, estimate_ms: run_ms, ..Requirements::default() };
        let step = Step { count: width, requirements, after: Vec::new() };
        let plan = Arc::new(Plan::new("work".into(), vec![step]).unwrap());
        let outcomes = Vec::new();
        let caller =
            Caller { host: 0, attempt: 0, sends: 0, is_waiting: false, outcomes, plan, run_ms };
        self.callers.insert(id.clone(), caller);
        self.schedule(0, SimEvent::Submit(id.clone()));
        id
    }

    /// Submits a job of one task at the given host. Its run time may differ from the declared one.
    pub(in crate::control::tests) fn submit_at(
        &mut self,
        host: usize,
        cpu: u64,
        declared_ms: u64,
        run_ms: u64,
    ) -> Id {
        let id = self.submit(1, cpu, declared_ms);
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.run_ms = run_ms;
        }
        self.caller_host = Some(host);
        self.run_for(1);
        self.caller_host = None;
        id
    }

    /// Makes the runs of a job take longer or shorter than declared.
    pub(in crate::control::tests) fn set_run_ms(&mut self, id: &Id, run_ms: u64) {
        if let Some(caller) = self.callers.get_mut(id) {
            caller.run_ms = run_ms;
        }
    }

    /// Makes callers wait for this time from now on, by a new configuration.
    pub(in crate::control::tests) fn set_caller_timeout(&mut self, timeout: Duration) {
        let mut document = Document::clone(&self.document);
        document.version += 1;
        document.routes.iter_mut().for_each(|route| route.timeout = timeout);
        self.document = Arc::new(document);
        for host in 0..self.hosts.len() {
            let incarnation = self.hosts[host].incarnation;
            let event = Event::Store(Update::Document(Arc::clone(&self.document)));
            self.schedule(0, SimEvent::Host(host, incarnation, event));
        }
        self.run_for(1);
    }

    /// Makes callers submit to one host from now on.
    pub(in crate::control::tests) fn direct_callers_to(&mut self, host: usize) {
        self.caller_host = Some(host);
    }

    pub(in crate::control::tests) fn outcomes(&self, id: &Id) -> &[Option<Outcome>] {
        &self.callers[id].outcomes
    }

    /// Outcomes of all jobs, one per attempt; `None` if the caller got no response.
    pub(in crate::control::tests) fn all_outcomes(
        &self,
    ) -> impl Iterator<Item = (&Id, &[Option<Outcome>])> {
        self.callers.iter().map(|(id, caller)| (id, caller.outcomes.as_slice()))
    }

    pub(super) fn submit_attempt(&mut self, id: &Id) {
        let up: Vec<usize> = (0..self.hosts.len()).filter(|host| self.is_up(*host)).collect();
        if up.is_empty() {
            return self.schedule(500, SimEvent::Submit(id.clone()));
        }
        let host = self.caller_host.unwrap_or_else(|| up[self.random_below(up.len())]);
        let request_id = self.new_request_id();
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        caller.host = host;
        caller.is_waiting = true;
        caller.attempt += 1;
        caller.sends += 1;
        let timeout = self.caller_timeout.unwrap_or(self.document.routes[0].timeout);
        let patience =
            if self.states_timeout { Patience::from(timeout) } else { Patience::default() };
        let submission = Submission {
            id: id.clone(),
            kind: coltsfootshunt_core::name::Kind::try_from("cut").unwrap(),
            plan: Arc::clone(&caller.plan),
            patience,
        };
        let timeout_ms = timeout.as_millis() as u64;
        let attempt = caller.attempt;
        self.open_requests.insert((host, request_id), id.clone());
        let incarnation = self.hosts[host].incarnation;
        let event = Event::Request(request_id, Request::Submit(submission));
        self.schedule(1, SimEvent::Host(host, incarnation, event));
        self.schedule(timeout_ms + 50, SimEvent::CallerTimeout(id.clone(), attempt));
    }

    /// Records the outcome of a caller's attempt; `None` if it got no response.
    pub(super) fn record_outcome(&mut self, id: &Id, outcome: Option<Outcome>) {
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        if !caller.is_waiting {
            return;
        }
        caller.is_waiting = false;
        caller.outcomes.push(outcome);
        let must_retry =
            matches!(outcome, None | Some(Outcome::Unknown)) && caller.sends < self.max_sends;
        let host = caller.host;
        let open_request =
            self.open_requests.iter().find(|((at, _), job)| *at == host && *job == id);
        let open_request = open_request.map(|((_, request_id), _)| *request_id);
        if let Some(request_id) = open_request {
            self.open_requests.remove(&(host, request_id));
            let incarnation = self.hosts[host].incarnation;
            self.schedule(
                1,
                SimEvent::Host(host, incarnation, Event::CallerLeft(id.clone(), request_id)),
            );
        }
        if must_retry {
            self.schedule(self.retry_delay_ms, SimEvent::Submit(id.clone()));
        }
    }

    pub(super) fn new_request_id(&mut self) -> RequestId {
        self.next_request_id += 1;
        RequestId(self.next_request_id)
    }
}
