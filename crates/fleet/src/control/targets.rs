//! Targets for which this host is the steward: leases, queued tasks and grants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Target, Zone};

use super::{Action, State};
use crate::job::{Assignment, Completion, End, Grant, Item, Reservation, Task};
use crate::lease::{Call, Phase, Rejection, Response};
use crate::peer::Message;
use crate::report::Record;
use crate::steward::Output;

impl State {
    /// Enqueues tasks from an owner, or returns them if this host is no steward.
    pub(super) fn enqueue_tasks(&mut self, from: &Host, assignment: Assignment, now: Instant) {
        let mut output = Output::default();
        if self.cancelled.contains(&assignment.job) {
            // The owner has not heard of the cancelling yet.
            return_all(from, assignment, End::OutOfTime, &mut output);
            return self.apply_output(output, now);
        }
        if self.membership.serves_targets() {
            self.steward.enqueue(
                from,
                assignment,
                (&self.membership, &self.speeds),
                now,
                &mut output,
            );
            return self.apply_output(output, now);
        }
        // The owner has an outdated view of the stewards.
        return_all(from, assignment, End::NotRun, &mut output);
        self.apply_output(output, now);
    }

    /// Handles the result of a call. If the target follows another steward, this host may give up
    /// its claim on the zone.
    pub(super) fn target_responded(&mut self, call: &Call, response: Response, now: Instant) {
        if let Some(step) = self.fenced_claim_step(call, &response) {
            self.issuer.observe(call.token, step);
        }
        let contested_zone = self.contested_zone(call, &response);
        if self.is_share_fenced(call, &response) {
            self.membership.shares.lose(&call.target);
        }
        let report = self.current_report(call, &response);
        let mut output = Output::default();
        self.steward.handle_response(call, response, &mut self.speeds, now, &mut output);
        // The completions below depend on what the lost runs say of their tasks.
        self.add_losses(std::mem::take(&mut output.losses), now);
        for (id, is_over) in std::mem::take(&mut output.cancelled) {
            if is_over {
                self.settle_runs(&id, now);
            } else {
                // Its lease ends by itself, and the others wait for that.
                self.settling.remove(&id);
            }
        }
        if let Some(report) = report {
            self.judge_losses(&call.target, &report, now);
        }
        if output.records.iter().any(|record| matches!(record, Record::TokenShared { .. })) {
            self.change_token_suffix(None);
        }
        let is_claimed = |record: &Record| matches!(record, Record::TargetClaimed { .. });
        if self.membership.shares.serves() && output.records.iter().any(is_claimed) {
            // Owners send this host no tasks until they hear that it has free slots.
            self.membership.announce();
        }
        if let Some(zone) = contested_zone {
            let has_rival = self.membership.record_rival(&zone, now);
            // A higher claim may have been heard since the last tick. Claiming the target again would fence its new
            // steward, which gives the zone up if it can't hear this host.
            if has_rival || self.membership.should_resign(&zone) {
                self.resign_zones(&[zone], now);
            }
        }
        self.maintain_lease(&call.target, now, &mut output);
        self.apply_output(output, now);
    }

    /// Returns the step by which tokens rise if a target has rejected a claim of this host because it has
    /// seen a higher token.
    fn fenced_claim_step(&self, call: &Call, response: &Response) -> Option<Duration> {
        let tracker = self.steward.tracker(&call.target)?;
        let is_fenced = matches!(response, Response::Rejected(Rejection::Fenced));
        let is_claim = tracker.phase == Phase::Claiming(call.token);
        (is_fenced && is_claim).then(|| tracker.fenced_claim_step())
    }

    /// Returns the zone of the called target if this host claims that zone and holds the target, but the target
    /// now follows another steward.
    fn contested_zone(&self, call: &Call, response: &Response) -> Option<Zone> {
        let zone = self.fenced_zone(call, response)?;
        self.membership.has_claim(zone).then(|| zone.clone())
    }

    /// Whether a target of the share of this host, which does not lead the zone, now follows another host.
    fn is_share_fenced(&self, call: &Call, response: &Response) -> bool {
        self.fenced_zone(call, response).is_some_and(|zone| !self.membership.has_claim(zone))
    }

    /// Returns the zone of the called target if this host holds the target, but the target now follows another
    /// host.
    fn fenced_zone(&self, call: &Call, response: &Response) -> Option<&Zone> {
        let is_fenced = matches!(response, Response::Rejected(Rejection::Fenced));
        let tracker = self.steward.tracker(&call.target).filter(|_| is_fenced)?;
        let current = [Phase::Held(call.token), Phase::Claiming(call.token)];
        let zone = &tracker.entry.zone;
        let is_held = self.membership.holds(zone, &call.target);
        (current.contains(&tracker.phase) && is_held).then_some(zone)
    }

    pub(super) fn maintain_targets(&mut self, now: Instant) {
        self.steward.sync(&self.directory, &self.membership, now);
        self.maintain_leases(now);
    }

    fn maintain_leases(&mut self, now: Instant) {
        let mut output = Output::default();
        let times = (self.clock.wall_time(), now);
        self.steward.maintain(
            &self.membership,
            &mut self.speeds,
            &mut self.issuer,
            times,
            &mut output,
        );
        self.apply_output(output, now);
    }

    fn maintain_lease(&mut self, target: &Target, now: Instant, output: &mut Output) {
        let times = (self.clock.wall_time(), now);
        self.steward.maintain_target(target, &self.membership, &mut self.issuer, times, output);
    }

    /// Handles grants: the owner assigned shared tasks to this host alone.
    pub(super) fn handle_grants(&mut self, from: &Host, grants: &[Grant], now: Instant) {
        let mut output = Output::default();
        self.steward.apply_grants(from, grants, now, &mut output);
        self.apply_output(output, now);
    }

    /// Starts queued tasks on free targets.
    pub(super) fn start_tasks(&mut self, now: Instant) {
        loop {
            let mut output = Output::default();
            let known = (&self.membership, &self.speeds, &self.crashes);
            self.steward.dispatch(known, now, &mut output);
            let started: BTreeSet<Target> =
                output.calls.iter().map(|call| call.target.clone()).collect();
            for target in started {
                self.maintain_lease(&target, now, &mut output);
            }
            // `apply_output` grants the requests for tasks that this host owns, so these can start
            // now.
            let me = &self.membership.me().host;
            let has_own_requests = output.grant_requests.iter().any(|(owner, _)| owner == me);
            self.apply_output(output, now);
            if !has_own_requests {
                return;
            }
        }
    }

    /// Executes the output of the steward: log records, calls and grant requests. Completions for other hosts are
    /// collected.
    pub(super) fn apply_output(&mut self, output: Output, now: Instant) {
        self.actions.extend(output.records.into_iter().map(Action::Record));
        self.actions.extend(output.calls.into_iter().map(Action::Call));
        let me = self.membership.me().host.clone();
        let mut requests: BTreeMap<Host, Vec<Reservation>> = BTreeMap::new();
        for (owner, request) in output.grant_requests {
            requests.entry(owner).or_default().push(request);
        }
        for (owner, requests) in requests {
            if owner == me {
                self.handle_grant_requests(&me, &requests, now);
            } else if let Some(peer) = self.membership.peer(&owner).filter(|peer| peer.is_alive) {
                let address = peer.identity.address;
                self.send(address, Message::GrantRequest(requests));
            }
        }
        for (owner, completion) in output.completions {
            if owner == me {
                self.task_ended(&owner, &completion, now);
            } else {
                self.completions.entry(owner).or_default().push(completion);
            }
        }
    }

    /// Sends the completions that were collected, with the load after the starts that they made possible. Working
    /// out the load takes longer than handling an end, so it is done once for all of them.
    pub(super) fn send_completions(&mut self, now: Instant) {
        let collected = std::mem::take(&mut self.completions);
        if collected.is_empty() {
            return;
        }
        let load = self.steward.load(&self.membership, &self.speeds, now);
        for (owner, completions) in collected {
            if let Some(peer) = self.membership.peer(&owner).filter(|peer| peer.is_alive) {
                let address = peer.identity.address;
                self.send(address, Message::Completed(completions, load));
            }
        }
    }
}

/// Returns all tasks of an assignment to their owner.
fn return_all(owner: &Host, assignment: Assignment, end: End, output: &mut Output) {
    let Assignment { job, generation, tasks, .. } = assignment;
    output.completions.extend(tasks.into_iter().map(|item| {
        let Item { step, index, run, sequence, .. } = item;
        let task = Task { job: job.clone(), step, index };
        // The run number was not used.
        let run = run.saturating_sub(1);
        (owner.clone(), Completion { task, generation, run, sequence, end })
    }));
}
