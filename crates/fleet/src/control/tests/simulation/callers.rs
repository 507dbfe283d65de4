//! Callers: they hand jobs in, leave when their patience ends, and repeat as the pages say.

use std::sync::Arc;
use std::time::Duration;

use super::{Caller, Happening, PATIENCE_MS, RESEND_MS, World};
use crate::control::{Event, Request};
use crate::job::{Id, Outcome, Plan, RequestId, Requirements, Resources, Step, Submission};

impl World {
    /// A caller hands a job of some tasks in, at a host that is up.
    pub(in crate::control::tests) fn submit(&mut self, width: u32, cpu: u64, takes_ms: u64) -> Id {
        let id = Id::try_from(format!("{:016x}", self.callers.len() + 1)).unwrap();
        let resources = Resources { cpu_millis: cpu, memory_mb: 1, accelerators: 0 };
        let requirements =
            Requirements { resources, estimate_ms: takes_ms, ..Requirements::default() };
        let step = Step { count: width, requirements, after: Vec::new() };
        let plan = Arc::new(Plan::new("work".into(), vec![step]).unwrap());
        let outcomes = Vec::new();
        let caller = Caller { host: 0, attempt: 0, sent: 0, open: false, outcomes, plan, takes_ms };
        self.callers.insert(id.clone(), caller);
        self.happen(0, Happening::Send(id.clone()));
        id
    }

    /// A caller hands a job of one task in at a host; it takes longer than declared.
    pub(in crate::control::tests) fn submit_at(
        &mut self,
        host: usize,
        cpu: u64,
        declared_ms: u64,
        takes_ms: u64,
    ) -> Id {
        let id = self.submit(1, cpu, declared_ms);
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.takes_ms = takes_ms;
        }
        self.door = Some(host);
        self.run_for(1);
        self.door = None;
        id
    }

    /// From now on callers send to one host.
    pub(in crate::control::tests) fn repeats_at(&mut self, host: usize) {
        self.door = Some(host);
    }

    pub(in crate::control::tests) fn outcomes(&self, id: &Id) -> &[Option<Outcome>] {
        &self.callers[id].outcomes
    }

    /// All that callers heard.
    pub(in crate::control::tests) fn all(&self) -> impl Iterator<Item = (&Id, &[Option<Outcome>])> {
        self.callers.iter().map(|(id, caller)| (id, caller.outcomes.as_slice()))
    }

    pub(super) fn send(&mut self, id: &Id) {
        let up: Vec<usize> = (0..self.hosts.len()).filter(|host| self.is_up(*host)).collect();
        if up.is_empty() {
            return self.happen(500, Happening::Send(id.clone()));
        }
        let host = self.door.unwrap_or_else(|| up[self.pick(up.len())]);
        let request_id = self.request_id();
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        caller.host = host;
        caller.open = true;
        caller.attempt += 1;
        caller.sent += 1;
        let submission = Submission {
            id: id.clone(),
            kind: coltsfootshunt_core::name::Kind::try_from("cut").unwrap(),
            plan: Arc::clone(&caller.plan),
            timeout: Duration::from_millis(PATIENCE_MS),
        };
        let attempt = caller.attempt;
        self.request_ids.insert((host, request_id), id.clone());
        let run = self.hosts[host].run;
        let event = Event::Request(request_id, Request::Submit(submission));
        self.happen(1, Happening::Event(host, run, event));
        self.happen(PATIENCE_MS + 50, Happening::GiveUp(id.clone(), attempt));
    }

    /// A caller heard its answer, or that its connection broke.
    pub(super) fn answered(&mut self, id: &Id, outcome: Option<Outcome>) {
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        if !caller.open {
            return;
        }
        caller.open = false;
        caller.outcomes.push(outcome);
        let again = matches!(outcome, None | Some(Outcome::Unknown)) && caller.sent < 3;
        let host = caller.host;
        let gone = self.request_ids.iter().find(|((at, _), job)| *at == host && *job == id);
        let gone = gone.map(|((_, request_id), _)| *request_id);
        if let Some(request_id) = gone {
            self.request_ids.remove(&(host, request_id));
            let run = self.hosts[host].run;
            self.happen(1, Happening::Event(host, run, Event::CallerLeft(id.clone(), request_id)));
        }
        if again {
            self.happen(RESEND_MS, Happening::Send(id.clone()));
        }
    }

    pub(super) fn request_id(&mut self) -> RequestId {
        self.next_ticket += 1;
        RequestId(self.next_ticket)
    }
}
