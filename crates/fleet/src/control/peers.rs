//! Peers: membership, heartbeats and messages.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Zone};

use super::State;
use crate::member::{CLOSE_INTERVAL, Heartbeat, Identity};
use crate::peer::Message;
use crate::report::Record;
use crate::store::{Listing, Unreadable, Update};

/// Interval between messages that share the learned speeds of targets and kinds, which would
/// otherwise be lost with this host.
const SPEEDS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between messages that share the learned speeds of kinds with hosts of other zones.
const REMOTE_SPEEDS_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of kinds in one message that shares learned speeds. The trends of that many take
/// about half a kilobyte, and each steward sends them to each host.
const MAX_KINDS_PER_MESSAGE: usize = 8;
/// Time for which the store may deliver a configuration before this host requests it from a peer.
const CONFIG_REQUEST_DELAY: Duration = Duration::from_millis(500);
/// Shortest interval between requests for the configuration and the list of targets.
const CONFIG_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl State {
    /// Records that a peer was heard from. A new session voids the peer's earlier requests.
    pub(super) fn record_contact(
        &mut self,
        identity: &Identity,
        is_new_session: bool,
        now: Instant,
    ) {
        let is_replaced =
            self.membership.peer(&identity.host).is_some_and(|peer| peer.identity != *identity);
        if is_new_session || is_replaced {
            self.drop_peer(&identity.host, now);
        }
        self.contacts.remove(identity.address);
        if self.membership.record_contact(identity, now) {
            let peer = identity.host.clone();
            self.record(Record::PeerFound { peer, incarnation: identity.incarnation });
            self.send_hosts(identity.address);
        }
    }

    /// Tells a new host which others there are. Where the own zone has a steward, that one does it.
    fn send_hosts(&mut self, to: SocketAddr) {
        if self.membership.claims.is_empty()
            && self.membership.has_steward(&self.membership.me().zone)
        {
            return;
        }
        let mut identities: Vec<Identity> =
            self.membership.alive().map(|peer| peer.identity.clone()).collect();
        identities.push(self.membership.me().clone());
        self.send(to, Message::Hosts(identities));
    }

    pub(super) fn handle_message(&mut self, from: &Identity, message: Message, now: Instant) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat, now),
            Message::Hosts(identities) => self.add_contacts(&identities, now),
            Message::Run(assignment) => {
                self.membership.record_word(&from.host, assignment.echo, now);
                self.enqueue_tasks(&from.host, assignment, now);
            }
            Message::GrantRequest(requests) => {
                self.handle_grant_requests(&from.host, &requests, now)
            }
            Message::Grant(grants) => {
                let echo = grants.iter().find_map(|grant| grant.echo);
                self.membership.record_word(&from.host, echo, now);
                self.handle_grants(&from.host, &grants, now);
            }
            Message::Split(notice) => self.handle_split(from, notice, now),
            Message::Share(notice) => self.handle_share(from, notice, now),
            Message::Withdraw(reservations) => self.steward.withdraw(&from.host, &reservations),
            Message::Cancel(job, generation) => {
                self.steward.cancel(&from.host, &job, generation);
                self.runs_cancelled(&job, now);
            }
            Message::Completed(completions, load) => {
                self.membership.set_load(&from.host, load);
                for completion in completions {
                    self.task_ended(&from.host, &completion, now);
                }
            }
            Message::CancelJob(id) => self.cancel_for(&from.host, &id, now),
            Message::JobCancelled(id, had_job) => {
                self.cancel_replied(&from.host, &id, had_job);
            }
            Message::Cancelled(ids) => self.learn_cancelled(&ids, now),
            Message::Unsettled(jobs) => self.learn_unsettled(jobs, now),
            Message::Settled(jobs) => self.learn_settled(&from.host, &jobs, now),
            Message::Losses(losses) => self.learn_losses(&from.host, &losses, now),
            Message::ConfigRequest => {
                if let Some(document) = self.config.document().cloned() {
                    self.send(from.address, Message::Config(document));
                }
                let knows_targets = self.membership.peer(&from.host);
                if !knows_targets.is_some_and(|peer| peer.heartbeat.knows_targets) {
                    let entries = self.directory.iter().cloned().collect();
                    self.send(from.address, Message::Targets(entries));
                }
            }
            Message::Config(document) => {
                let version = document.version;
                if self.config.replace_if_newer(document) {
                    self.outdated_since = None;
                    self.record(Record::ConfigApplied { version, source: "a peer" });
                }
            }
            Message::Speeds { targets, kinds } => {
                self.speeds.set_peer_trends(&from.host, kinds);
                // This host learns the speeds of its own targets itself.
                let targets =
                    targets.into_iter().filter(|(target, _)| !self.steward.has_target(target));
                self.speeds.set_slowness(targets.collect(), now);
            }
            Message::CurrentTargets(entries) => self.learn_targets(&from.host, entries),
            Message::Evacuations(notice) => self.hear_evacuations(&from.host, &notice, now),
            Message::Targets(entries) => {
                if self.directory.seed(entries) {
                    let known = self.directory.iter().count();
                    self.record(Record::TargetsChanged { known, unreadable: 0 });
                }
            }
        }
    }

    fn handle_heartbeat(&mut self, from: &Identity, heartbeat: Heartbeat, now: Instant) {
        // A seed may be another address of this host.
        if from.host == self.membership.me().host {
            return;
        }
        let is_outdated =
            heartbeat.config_version > self.config.version() && self.is_store_late(now);
        // A steward reads the list often. That of another host may still name targets that have left.
        let is_best_source = heartbeat.serves_targets() || !self.has_steward();
        let is_missing_targets =
            self.directory.is_empty() && heartbeat.knows_targets && is_best_source;
        let was_requested = self
            .last_config_request
            .is_some_and(|at| now.duration_since(at) < CONFIG_REQUEST_INTERVAL);
        if (is_outdated || is_missing_targets) && !was_requested {
            self.last_config_request = Some(now);
            self.send(from.address, Message::ConfigRequest);
        }
        self.issuer.observe(heartbeat.highest_token, Duration::ZERO);
        // Of a steward and a host without claims, the latter takes another suffix.
        let keeps_suffix = heartbeat.claims.is_empty() && !self.membership.claims.is_empty();
        let shares_suffix = heartbeat.token_suffix == Some(self.issuer.suffix());
        self.membership.record_stamp(&from.host, heartbeat.stamp_ms, now);
        self.membership.record_word(&from.host, heartbeat.echo, now);
        self.membership.record_heartbeat(&from.host, heartbeat);
        if shares_suffix && !keeps_suffix {
            self.change_token_suffix(Some(&from.host));
        }
    }

    /// Whether the store had time to deliver the configuration that a peer already has. Without that, every
    /// host would read each configuration twice.
    fn is_store_late(&mut self, now: Instant) -> bool {
        let since = *self.outdated_since.get_or_insert(now);
        self.config.document().is_none() || now.duration_since(since) >= CONFIG_REQUEST_DELAY
    }

    /// Issues tokens with another suffix, because another process uses the same one: a peer, or `None` if
    /// only a target's report shows it. Targets are claimed again, since their tokens may be that
    /// process's too.
    pub(super) fn change_token_suffix(&mut self, peer: Option<&Host>) {
        let before = self.issuer.suffix();
        let others = self.membership.peers().filter_map(|peer| peer.heartbeat.token_suffix);
        let others = others.collect();
        self.issuer.change_suffix(&others);
        let after = self.issuer.suffix();
        self.record(Record::TokenSuffixChanged { peer: peer.cloned(), before, after });
        self.steward.void_tokens(&self.membership);
        self.membership.announce();
    }

    /// Adds unknown hosts to those that are contacted until they are heard from.
    fn add_contacts(&mut self, identities: &[Identity], now: Instant) {
        let mut ignored = 0;
        for identity in identities {
            let is_known = self.membership.peer(&identity.host).is_some_and(|peer| peer.is_alive);
            if identity.host != self.membership.me().host && !is_known {
                ignored += usize::from(!self.contacts.add(identity.address, true, now));
            }
        }
        if ignored > 0 {
            self.record(Record::HostsIgnored { listed: identities.len(), ignored });
        }
    }

    pub(super) fn handle_store_update(&mut self, update: Update, now: Instant) {
        match update {
            Update::Document(document) => {
                let version = document.version;
                if self.config.replace_if_newer(document) {
                    self.outdated_since = None;
                    self.record(Record::ConfigApplied { version, source: "the store" });
                }
            }
            Update::Evacuations(reading) => self.read_evacuations(&reading, now),
            Update::Targets(Listing { entries, unreadable, is_stale }) => {
                if !is_stale {
                    self.targets_read_at = Some(now);
                }
                let known_before = self.directory.iter().count();
                let unreadable_count = unreadable.len();
                let new_entries = self.reported_targets.filter_new(unreadable);
                self.record_unreadable(new_entries);
                for target in self.directory.replace(entries, now) {
                    self.record(Record::EntryIgnored { target });
                }
                if !is_stale {
                    self.relay_targets();
                }
                let known = self.directory.iter().count();
                if known != known_before || unreadable_count != self.unreadable_targets {
                    self.unreadable_targets = unreadable_count;
                    self.record(Record::TargetsChanged { known, unreadable: unreadable_count });
                }
            }
            Update::Hosts(Listing { entries, unreadable, .. }) => {
                let new_entries = self.reported_hosts.filter_new(unreadable);
                self.record_unreadable(new_entries);
                self.add_contacts(&entries, now);
            }
            Update::Unreadable(one) => {
                let new_entries = self.reported_configuration.filter_new(vec![one]);
                self.record_unreadable(new_entries);
            }
            Update::Lost(failure) => {
                self.is_store_lost = true;
                self.record(Record::StoreLost { error: failure });
            }
            Update::Regained => {
                self.is_store_lost = false;
                self.record(Record::StoreRegained);
            }
        }
    }

    pub(super) fn record_unreadable(&mut self, unreadable: Vec<Unreadable>) {
        for Unreadable { key, revision, reason } in unreadable {
            self.record(Record::EntryUnreadable { key, revision, reason });
        }
    }

    pub(super) fn session_lost(&mut self, address: SocketAddr, refused: bool, now: Instant) {
        let peer = self.membership.peers().find(|peer| peer.identity.address == address);
        let Some(host) = peer.map(|peer| peer.identity.host.clone()) else {
            return;
        };
        // Messages sent since the loss are part of the next session, and void as well.
        self.actions.push(super::Action::Disconnect(address));
        self.drop_lost_peer(
            &host,
            refused,
            if refused { "it refuses connections" } else { "it does not answer" },
            now,
        );
    }

    fn drop_lost_peer(&mut self, host: &Host, refused: bool, reason: &'static str, now: Instant) {
        let heard = self.membership.peer(host).map(|peer| peer.last_heard);
        if self.membership.mark_lost(host, refused) {
            let silent = heard.map(|at| now.duration_since(at)).unwrap_or_default();
            self.record(Record::PeerLost { peer: host.clone(), reason, silent });
        }
        self.drop_peer(host, now);
        // Contact the peer at once: if it is alive, the first message of the new session tells it
        // that it was lost.
        if let Some(peer) = self.membership.peer(host) {
            let is_close = self.membership.is_watched_closely(peer);
            self.contacts.add(peer.identity.address, is_close, now);
        }
    }

    /// Drops a peer's tasks here, and gives up own jobs that have tasks at the peer.
    fn drop_peer(&mut self, host: &Host, now: Instant) {
        self.completions.remove(host);
        self.told_evacuations.remove(host);
        self.membership.shares.forget(host);
        self.cancels_lost(host);
        let me = self.membership.me().host.clone();
        for id in self.steward.drop_owner(host) {
            self.give_up_runs(&id, vec![me.clone()], now);
            self.runs_cancelled(&id, now);
        }
        self.give_up_jobs_at(host, now);
    }

    /// Drops peers that timed out, and updates the claims on zones.
    pub(super) fn maintain_peers(&mut self, now: Instant) {
        for host in self.membership.timed_out(now) {
            if let Some(peer) = self.membership.peer(&host) {
                let address = peer.identity.address;
                self.actions.push(super::Action::Disconnect(address));
            }
            self.drop_lost_peer(&host, false, "it was not heard", now);
        }
        let mut targets: BTreeMap<Zone, usize> = BTreeMap::new();
        for entry in self.directory.iter() {
            *targets.entry(entry.zone.clone()).or_default() += 1;
        }
        let max_cpu_millis = self.membership.max_cpu_millis();
        self.dense_zones.update(&targets, max_cpu_millis, now);
        let zones: Vec<Zone> = targets.into_keys().collect();
        self.membership.update_zones(zones.iter().cloned(), now);
        self.maintain_claims(&zones, now);
        self.maintain_shares(now);
        let is_dense = |zone: &Zone| self.dense_zones.contains(zone);
        let leads_dense = self.membership.claims.iter().any(|claim| is_dense(&claim.zone));
        let serves_dense = self.membership.serves_targets() && is_dense(&self.membership.me().zone);
        self.steward.precedence_mut().set_dense(leads_dense || serves_dense);
    }

    /// Sends what is due: heartbeats to peers, learned speeds, and heartbeats to absent hosts.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let working = self.jobs.stewards().chain(self.steward.owners());
        let me = &self.membership.me().host;
        let working = working.filter(|host| host != me).collect();
        self.membership.set_working(working, now);
        self.membership.has_busy_targets =
            !self.steward.busy_unclaimed(&self.membership).is_empty();
        let due = self.membership.due_heartbeats(now);
        let hosts: BTreeSet<Host> = due.iter().map(|(host, _)| host.clone()).collect();
        if !due.is_empty() {
            let heartbeat = self.own_heartbeat(now);
            for (host, interval) in due {
                let next_in_ms = Some(interval.as_millis() as u32);
                let echo = self.membership.echo(&host, now);
                let heartbeat = Heartbeat { next_in_ms, echo, ..heartbeat.clone() };
                if let Some(peer) = self.membership.peer(&host) {
                    let address = peer.identity.address;
                    self.send(address, Message::Heartbeat(heartbeat));
                }
            }
        }
        self.send_shares(&hosts);
        let due =
            |at: Option<Instant>, interval| at.is_none_or(|at| now.duration_since(at) >= interval);
        if self.membership.serves_targets() && due(self.last_speeds_sent, SPEEDS_INTERVAL) {
            self.last_speeds_sent = Some(now);
            let is_remote_due = due(self.last_remote_speeds_sent, REMOTE_SPEEDS_INTERVAL);
            if is_remote_due {
                self.last_remote_speeds_sent = Some(now);
            }
            self.send_speeds(is_remote_due, now);
        }
        self.contact_absent_hosts(now);
    }

    /// Sends the learned speeds of kinds and of own targets to peers of the same zone, which may replace
    /// this host as steward, and those of kinds to all others if `is_remote_due`.
    fn send_speeds(&mut self, is_remote_due: bool, now: Instant) {
        let mut kinds = self.speeds.kind_trends();
        kinds.truncate(MAX_KINDS_PER_MESSAGE);
        let mut targets = self.speeds.slowness_by_target(now);
        targets.retain(|(target, _)| self.steward.has_target(target));
        let me = self.membership.me();
        let peers = self
            .membership
            .alive()
            .map(|peer| (peer.identity.address, peer.identity.zone == me.zone));
        let peers: Vec<(SocketAddr, bool)> = peers.collect();
        for (address, is_same_zone) in peers {
            if !is_same_zone && !is_remote_due {
                continue;
            }
            let targets = if is_same_zone { targets.clone() } else { Vec::new() };
            self.send(address, Message::Speeds { targets, kinds: kinds.clone() });
        }
    }

    /// Sends a heartbeat to hosts that are not heard.
    fn contact_absent_hosts(&mut self, now: Instant) {
        let mut addresses = self.contacts.due(now);
        addresses.retain(|address| *address != self.membership.me().address);
        if addresses.is_empty() {
            return;
        }
        let heartbeat = self.own_heartbeat(now);
        for address in addresses {
            self.send(address, Message::Heartbeat(heartbeat.clone()));
        }
    }

    fn own_heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            claims: self.membership.claims.clone(),
            busy_targets: self.steward.busy_unclaimed(&self.membership),
            is_stopping: self.membership.is_stopping,
            load: self.steward.load(&self.membership, &self.speeds, now),
            config_version: self.config.version(),
            knows_targets: !self.directory.is_empty(),
            shares_records: true,
            reads_zones: true,
            lacks_store: self.is_store_lost,
            highest_token: self.issuer.highest(),
            token_suffix: Some(self.issuer.suffix()),
            next_in_ms: Some(CLOSE_INTERVAL.as_millis() as u32),
            stamp_ms: Some(self.membership.stamp_ms(now)),
            echo: None,
        }
    }
}
