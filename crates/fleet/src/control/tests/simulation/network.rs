//! What passes between hosts, and between hosts and targets.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::super::target::Work;
use super::{Cut, GIVE_UP_MS, Happening, Lane, World};
use crate::control::{Event, Request};
use crate::job::Resources;
use crate::lease::{Call, Order, Rejection, Response};
use crate::peer::{Batch, Message};

impl World {
    pub(super) fn send_message(&mut self, host: usize, to: SocketAddr, message: Message) {
        let run = self.hosts[host].run;
        let lane = self.hosts[host].lanes.entry(to).or_insert_with(Lane::new);
        lane.queue.push(message);
        if lane.trying.is_none() {
            self.happen(0, Happening::Deliver { host, run, to });
        }
    }

    pub(super) fn deliver(&mut self, host: usize, run: u64, to: SocketAddr) {
        let now_ms = self.now_ms();
        let Some(other) = self.hosts.iter().position(|one| one.identity.address == to) else {
            return;
        };
        if self.hosts[host].run != run {
            return;
        }
        if now_ms < self.hosts[host].frozen_until {
            let thaw = self.hosts[host].frozen_until - now_ms;
            return self.happen(thaw, Happening::Deliver { host, run, to });
        }
        let cut = self.cuts.get(&(host, other)).copied();
        let refused = !self.is_up(other) || cut == Some(Cut::Refusing);
        let frozen = now_ms < self.hosts[other].frozen_until;
        let from = self.hosts[host].identity.clone();
        let Some(lane) = self.hosts[host].lanes.get_mut(&to) else {
            return;
        };
        if lane.batch.is_empty() {
            lane.batch = std::mem::take(&mut lane.queue);
        }
        if lane.batch.is_empty() {
            lane.trying = None;
            return;
        }
        let first = lane.trying.is_none();
        let since = *lane.trying.get_or_insert(now_ms);
        if first && cut == Some(Cut::Silent) && self.holds_up {
            // Its bytes are on their way, and it is given up later without a reset.
            let (session, number) = (lane.session, lane.number + 1);
            let batch = Batch {
                from: from.clone(),
                session,
                sequence: number,
                messages: lane.batch.clone(),
            };
            self.held_up.push((host, other, batch));
        }
        if refused || now_ms >= since + GIVE_UP_MS {
            lane.begin();
            lane.trying = None;
            let event = Event::SessionLost { address: to, refused };
            return self.happen(0, Happening::Event(host, run, event));
        }
        if frozen || cut.is_some() {
            return self.happen(20, Happening::Deliver { host, run, to });
        }
        lane.number += 1;
        lane.trying = Some(now_ms);
        let messages = std::mem::take(&mut lane.batch);
        let batch = Batch { from, session: lane.session, sequence: lane.number, messages };
        let request_id = self.request_id();
        let other_run = self.hosts[other].run;
        let event = Event::Request(request_id, Request::Deliver(batch));
        self.happen(1, Happening::Event(other, other_run, event));
        self.happen(2, Happening::Deliver { host, run, to });
    }

    pub(super) fn call(&mut self, host: usize, run: u64, call: Call, answered: bool) {
        let now_ms = self.now_ms();
        if self.rng.random_bool(self.chances.sheds) {
            let answer = Response::Rejected(Rejection::Unhealthy);
            let event = Event::TargetResponded(Box::new(call), answer);
            return self.happen(1, Happening::Event(host, run, event));
        }
        if let Some(how) = self.severed.get(&(host, call.target.clone())) {
            let (answer, after) = match how {
                Cut::Silent => (Response::NoResponse, call.timeout.as_millis() as u64),
                Cut::Refusing => (Response::NotSent, 1),
            };
            let event = Event::TargetResponded(Box::new(call), answer);
            return self.happen(after, Happening::Event(host, run, event));
        }
        let takes = self.takes(&call.order);
        let fails = self.rng.random_bool(self.chances.fails);
        if self.targets.get(&call.target).is_some_and(|target| target.is_down(now_ms)) {
            let event = Event::TargetResponded(Box::new(call), Response::NotSent);
            return self.happen(1, Happening::Event(host, run, event));
        }
        if self.traced && !matches!(call.order, Order::Renew { .. }) {
            println!("{now_ms} ms at {}: {:?}", call.target, call.order);
        }
        let Some(target) = self.targets.get_mut(&call.target) else {
            return;
        };
        let before = target.running.len();
        let is_fast = target.entry.name.to_string().ends_with('0');
        let percent = if is_fast { 100 } else { self.slow_percent };
        // Nothing is drawn where nothing hangs, so that kept seeds stay what they are.
        let hangs = self.chances.hangs > 0.0 && self.rng.random_bool(self.chances.hangs);
        let percent = if hangs { percent * 8 } else { percent };
        let answer = target.take(call.token, &call.order, now_ms, |_| {
            let (resources, takes_ms) = takes.unwrap_or_default();
            Work { resources, takes_ms: takes_ms * percent / 100, fails }
        });
        if let Order::Start { task, .. } = &call.order
            && target.running.len() > before
        {
            *self.starts.entry(task.clone()).or_default() += 1;
        }
        let waits = match &call.order {
            Order::Renew { acknowledged, max_wait, .. } if !max_wait.is_zero() => {
                let has_news = target.has_news(*acknowledged);
                (!has_news && matches!(answer, Response::Report(_))).then_some(*max_wait)
            }
            _ => None,
        };
        if !answered {
            let within = call.timeout.as_millis() as u64;
            let event = Event::TargetResponded(Box::new(call), Response::NoResponse);
            return self.happen(within, Happening::Event(host, run, event));
        }
        if let Some(max_wait) = waits {
            let until_ms = now_ms + max_wait.as_millis() as u64;
            return self.happen(5, Happening::Hold { host, run, call, until_ms });
        }
        let event = Event::TargetResponded(Box::new(call), answer);
        self.happen(1, Happening::Event(host, run, event));
    }

    pub(super) fn hold(&mut self, host: usize, run: u64, call: Call, until_ms: u64) {
        let Order::Renew { acknowledged, .. } = call.order else {
            return;
        };
        let now_ms = self.now_ms();
        let severed = self.severed.get(&(host, call.target.clone())).copied();
        let down = self.targets.get(&call.target).is_some_and(|target| target.is_down(now_ms));
        if down || severed == Some(Cut::Refusing) {
            let event = Event::TargetResponded(Box::new(call), Response::NoResponse);
            return self.happen(1, Happening::Event(host, run, event));
        }
        if severed == Some(Cut::Silent) && now_ms < until_ms {
            return self.happen(5, Happening::Hold { host, run, call, until_ms });
        }
        if severed == Some(Cut::Silent) {
            let event = Event::TargetResponded(Box::new(call), Response::NoResponse);
            return self.happen(1, Happening::Event(host, run, event));
        }
        let over = now_ms >= until_ms;
        let news =
            self.targets.get(&call.target).is_some_and(|target| target.has_news(acknowledged));
        if !over && !news {
            return self.happen(5, Happening::Hold { host, run, call, until_ms });
        }
        // It renews nothing a second time.
        let look = Order::Renew { lease_until_ms: None, acknowledged, max_wait: Duration::ZERO };
        let now_ms = self.now_ms();
        let Some(target) = self.targets.get_mut(&call.target) else {
            return;
        };
        let answer = target.take(call.token, &look, now_ms, |_| unreachable!("it starts nothing"));
        self.happen(1, Happening::Event(host, run, Event::TargetResponded(Box::new(call), answer)));
    }

    /// Room and run time of a start.
    fn takes(&self, order: &Order) -> Option<(Resources, u64)> {
        let Order::Start { task, .. } = order else {
            return None;
        };
        let caller = &self.callers[&task.job];
        Some((caller.plan.steps[0].requirements.resources, caller.takes_ms))
    }
}
