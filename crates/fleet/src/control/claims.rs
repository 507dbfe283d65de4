//! Claims on zones: when this host becomes a steward, and when it resigns.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Zone;

use super::State;
use crate::member::Claim;
use crate::report::Record;
use crate::steward;

/// Time for which a steward may have issued tokens that no peer has heard of: two heartbeat intervals.
pub(super) const UNREPORTED_TOKENS: Duration = Duration::from_millis(200);
/// Longest time for which a host waits for the list of targets and the evacuated zones before it claims a zone.
const MAX_TARGETS_WAIT: Duration = Duration::from_millis(1_500);

impl State {
    /// Resigns as steward where it should, and claims zones that need this host as steward.
    pub(super) fn maintain_claims(&mut self, zones: &[Zone], now: Instant) {
        let claimed = self.membership.claims.iter().map(|claim| claim.zone.clone());
        let resigned: Vec<Zone> =
            claimed.filter(|zone| self.membership.should_resign(zone)).collect();
        self.resign_zones(&resigned, now);
        let vacant: Vec<&Zone> =
            zones.iter().filter(|zone| self.membership.should_claim(zone, now)).collect();
        let awaits_share = self.membership.shares.awaits_targets(&self.membership.me().host);
        if !self.may_claim(!vacant.is_empty() || awaits_share, now) {
            return;
        }
        if awaits_share {
            self.membership.shares.set_ready();
        }
        for zone in vacant {
            if self.membership.should_claim(zone, now) {
                // The last steward may have issued tokens since its last heartbeat.
                self.issuer.observe(self.issuer.highest(), UNREPORTED_TOKENS);
                let token = self.issuer.next(self.clock.wall_time());
                self.membership.claims.push(Claim { zone: zone.clone(), token });
                self.record(Record::StewardshipTaken { zone: zone.clone(), token });
                self.continue_split(zone, token, now);
                // Announce the claim at once.
                self.membership.announce();
            }
        }
    }

    /// Whether this host may claim zones or serve a share of one now if it should. A host that was no steward may have read the list
    /// of targets long ago, and would start tasks on targets that have left since. It reads the list first,
    /// unless the store does not respond. Likewise it waits for word of the evacuated zones.
    fn may_claim(&mut self, should_claim: bool, now: Instant) -> bool {
        let age = self.targets_read_at.map(|at| now.duration_since(at));
        let is_current = age.is_some_and(|age| age <= self.settings.max_targets_age);
        let has_targets = is_current || self.is_store_lost;
        if !should_claim || has_targets && !self.lacks_evacuations() {
            self.awaits_targets_since = None;
            return should_claim;
        }
        let since = *self.awaits_targets_since.get_or_insert(now);
        now.duration_since(since) >= MAX_TARGETS_WAIT
    }

    /// Gives up claims on zones. Queued tasks are returned with the last claim.
    pub(super) fn resign_zones(&mut self, zones: &[Zone], now: Instant) {
        for zone in zones {
            self.membership.claims.retain(|claim| claim.zone != *zone);
            self.record(Record::StewardshipResigned { zone: zone.clone() });
            if *zone == self.membership.me().zone {
                self.membership.shares.clear();
            }
        }
        if !zones.is_empty() && self.membership.claims.is_empty() {
            self.return_queued(now);
        }
    }

    /// Returns all queued tasks to their owners.
    pub(super) fn return_queued(&mut self, now: Instant) {
        let mut output = steward::Output::default();
        self.steward.return_queued(&mut output);
        self.apply_output(output, now);
    }
}
