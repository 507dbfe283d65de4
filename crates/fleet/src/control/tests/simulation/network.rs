//! Messages between hosts, and calls from hosts to targets.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::super::target::Work;
use super::tokens::Process;
use super::{Channel, DELIVERY_TIMEOUT_MS, Partition, SimEvent, Simulation};
use crate::control::{Event, Request};
use crate::job::{RequestId, Resources};
use crate::lease::{Call, Order, Rejection, Response};
use crate::peer::{Ack, Batch, Message};

impl Simulation {
    pub(super) fn send_message(&mut self, host: usize, to: SocketAddr, message: Message) {
        let incarnation = self.hosts[host].incarnation;
        let channel = self.hosts[host].channels.entry(to).or_insert_with(Channel::new);
        channel.queue.push(message);
        if channel.sending_since.is_none() {
            self.schedule(0, SimEvent::Deliver { host, incarnation, to });
        }
    }

    pub(super) fn deliver_batch(&mut self, host: usize, incarnation: u64, to: SocketAddr) {
        let now_ms = self.now_ms();
        let Some(other) = self.hosts.iter().position(|one| one.identity.address == to) else {
            return;
        };
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        if now_ms < self.hosts[host].frozen_until_ms {
            let resume_in = self.hosts[host].frozen_until_ms - now_ms;
            return self.schedule(resume_in, SimEvent::Deliver { host, incarnation, to });
        }
        let partition = self.partitions.get(&(host, other)).copied();
        let is_silent = self.hosts_without_power.contains(&other);
        let is_ended = !self.is_up(other) && !is_silent;
        let refused = is_ended || partition == Some(Partition::Refusing);
        let is_frozen = now_ms < self.hosts[other].frozen_until_ms;
        let delay_ms = self.batch_delay_ms(host, other);
        let from = self.hosts[host].identity.clone();
        let Some(channel) = self.hosts[host].channels.get_mut(&to) else {
            return;
        };
        if channel.batch.is_empty() {
            channel.take_queue();
        }
        if channel.batch.is_empty() {
            channel.sending_since = None;
            return;
        }
        let is_first = channel.sending_since.is_none();
        // A batch that is repeated stays the same.
        let goes_first = match channel.goes_first.filter(|_| !is_first) {
            Some(goes_first) => goes_first,
            None => *channel.goes_first.insert(channel.needs_empty_batch(now_ms)),
        };
        let since = *channel.sending_since.get_or_insert(now_ms);
        if is_first && partition == Some(Partition::Silent) && self.delivers_after_partition {
            // The batch is in flight; the sender gives it up later without a reset.
            let (session, sequence) = (channel.session, channel.sequence + 1);
            let messages = if goes_first { Vec::new() } else { channel.batch.clone() };
            let batch = Batch { from: from.clone(), session, sequence, messages };
            self.delayed_batches.push((host, other, batch));
        }
        if refused || now_ms >= since + DELIVERY_TIMEOUT_MS {
            channel.start_session();
            channel.sending_since = None;
            let event = Event::SessionLost { address: to, refused };
            let delay = self.session_loss_delay_ms;
            return self.schedule(delay, SimEvent::Host(host, incarnation, event));
        }
        if is_frozen || is_silent || partition.is_some() {
            return self.schedule(20, SimEvent::Deliver { host, incarnation, to });
        }
        channel.sequence += 1;
        channel.goes_first = None;
        channel.acknowledged_at_ms = Some(now_ms);
        channel.sending_since = Some(now_ms);
        let messages = if goes_first { Vec::new() } else { std::mem::take(&mut channel.batch) };
        let batch = Batch { from, session: channel.session, sequence: channel.sequence, messages };
        let request_id = self.new_request_id();
        let other_incarnation = self.hosts[other].incarnation;
        let event = Event::Request(request_id, Request::Deliver(batch));
        self.open_batches.insert((other, request_id), (host, incarnation));
        self.schedule(1 + delay_ms, SimEvent::Host(other, other_incarnation, event));
        self.schedule(2 + delay_ms, SimEvent::Deliver { host, incarnation, to });
    }

    /// Handles the acknowledgement of a batch. A receiver that doesn't know the session makes the sender
    /// start another one.
    pub(super) fn acknowledge_batch(&mut self, receiver: usize, request_id: RequestId, ack: Ack) {
        let Some((sender, incarnation)) = self.open_batches.remove(&(receiver, request_id)) else {
            return;
        };
        let address = self.hosts[receiver].identity.address;
        if ack == Ack::SessionLost
            && self.hosts[sender].incarnation == incarnation
            && let Some(channel) = self.hosts[sender].channels.get_mut(&address)
        {
            channel.start_session();
            let event = Event::SessionLost { address, refused: false };
            self.schedule(1, SimEvent::Host(sender, incarnation, event));
        }
    }

    pub(super) fn deliver_call(
        &mut self,
        host: usize,
        incarnation: u64,
        call: Call,
        is_answered: bool,
    ) {
        let now_ms = self.now_ms();
        if self.rng.random_bool(self.fault_rates.rejects) {
            let response = Response::Rejected(Rejection::Unhealthy);
            let event = Event::TargetResponded(Box::new(call), response);
            return self.schedule(1, SimEvent::Host(host, incarnation, event));
        }
        if let Some(partition) = self.target_partitions.get(&(host, call.target.clone())) {
            let (response, after) = match partition {
                Partition::Silent => (Response::NoResponse, call.timeout.as_millis() as u64),
                Partition::Refusing => (Response::NotSent, 1),
            };
            let event = Event::TargetResponded(Box::new(call), response);
            return self.schedule(after, SimEvent::Host(host, incarnation, event));
        }
        let workload = self.workload(&call.order);
        let fails = self.rng.random_bool(self.fault_rates.fails);
        if self.targets.get(&call.target).is_some_and(|target| target.is_down(now_ms)) {
            let event = Event::TargetResponded(Box::new(call), Response::NotSent);
            return self.schedule(1, SimEvent::Host(host, incarnation, event));
        }
        if self.is_traced && !matches!(call.order, Order::Renew { .. }) {
            println!("{now_ms} ms at {}: {:?}", call.target, call.order);
        }
        let Some(target) = self.targets.get_mut(&call.target) else {
            let response = self.answer_under_other_name(&call);
            let event = Event::TargetResponded(Box::new(call), response);
            return self.schedule(1, SimEvent::Host(host, incarnation, event));
        };
        let before = target.running.len();
        let is_fast = target.entry.name.to_string().ends_with('0');
        let percent = if is_fast { 100 } else { self.slow_percent };
        // Draws no random number unless runs can hang, so that the recorded seeds keep their
        // meaning.
        let hangs = self.fault_rates.hangs > 0.0 && self.rng.random_bool(self.fault_rates.hangs);
        let percent = if hangs { percent * 8 } else { percent };
        let response = target.execute(call.token, &call.order, now_ms, |_| {
            let (resources, run_ms) = workload.unwrap_or_default();
            Work { resources, run_ms: run_ms * percent / 100, fails }
        });
        let has_started = target.running.len() > before;
        self.record_acceptance(Process { host, incarnation }, &call, &response);
        if let Order::Start { task, .. } = &call.order
            && has_started
        {
            *self.starts.entry(task.clone()).or_default() += 1;
            self.check_capacity(&call.target);
            self.check_evacuated(&call.target);
            if self.record_start(task, &call.target) {
                return self.deny_response(host, incarnation, call);
            }
        }
        let waits = match &call.order {
            Order::Renew { acknowledged, max_wait, .. } if !max_wait.is_zero() => {
                let target = self.targets.get(&call.target);
                let has_news = target.is_some_and(|one| one.has_unacknowledged(*acknowledged));
                (!has_news && matches!(response, Response::Report(_))).then_some(*max_wait)
            }
            _ => None,
        };
        if !is_answered {
            return self.deny_response(host, incarnation, call);
        }
        if let Some(max_wait) = waits {
            let until_ms = now_ms + max_wait.as_millis() as u64;
            return self.schedule(5, SimEvent::LongPoll { host, incarnation, call, until_ms });
        }
        let event = Event::TargetResponded(Box::new(call), response);
        self.schedule(1, SimEvent::Host(host, incarnation, event));
    }

    /// Lets a call end without a response.
    fn deny_response(&mut self, host: usize, incarnation: u64, call: Call) {
        let timeout = call.timeout.as_millis() as u64;
        let event = Event::TargetResponded(Box::new(call), Response::NoResponse);
        self.schedule(timeout, SimEvent::Host(host, incarnation, event));
    }

    pub(super) fn long_poll(&mut self, host: usize, incarnation: u64, call: Call, until_ms: u64) {
        let Order::Renew { acknowledged, .. } = call.order else {
            return;
        };
        let now_ms = self.now_ms();
        let partition = self.target_partitions.get(&(host, call.target.clone())).copied();
        let down = self.targets.get(&call.target).is_some_and(|target| target.is_down(now_ms));
        if down || partition == Some(Partition::Refusing) {
            let event = Event::TargetResponded(Box::new(call), Response::NoResponse);
            return self.schedule(1, SimEvent::Host(host, incarnation, event));
        }
        if partition == Some(Partition::Silent) && now_ms < until_ms {
            return self.schedule(5, SimEvent::LongPoll { host, incarnation, call, until_ms });
        }
        if partition == Some(Partition::Silent) {
            let event = Event::TargetResponded(Box::new(call), Response::NoResponse);
            return self.schedule(1, SimEvent::Host(host, incarnation, event));
        }
        let is_over = now_ms >= until_ms;
        let has_news = self
            .targets
            .get(&call.target)
            .is_some_and(|target| target.has_unacknowledged(acknowledged));
        if !is_over && !has_news {
            return self.schedule(5, SimEvent::LongPoll { host, incarnation, call, until_ms });
        }
        // The second call must not renew the lease again.
        let poll = Order::Renew { lease_until_ms: None, acknowledged, max_wait: Duration::ZERO };
        let now_ms = self.now_ms();
        let Some(target) = self.targets.get_mut(&call.target) else {
            let event = Event::TargetResponded(Box::new(call), Response::NoResponse);
            return self.schedule(1, SimEvent::Host(host, incarnation, event));
        };
        let token = if self.answers_fenced_renewals { target.fencing_token } else { call.token };
        let response =
            target.execute(token, &poll, now_ms, |_| unreachable!("a renewal starts no task"));
        self.schedule(
            1,
            SimEvent::Host(host, incarnation, Event::TargetResponded(Box::new(call), response)),
        );
    }

    /// Resources and run time of the task that an order starts.
    fn workload(&self, order: &Order) -> Option<(Resources, u64)> {
        let Order::Start { task, .. } = order else {
            return None;
        };
        let caller = &self.callers[&task.job];
        Some((caller.plan.steps[0].requirements.resources, caller.run_ms))
    }
}
