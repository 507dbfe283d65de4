//! The dump of the control state that operators request.

use std::time::Instant;

use super::State;

impl State {
    /// Returns the state as JSON.
    pub(super) fn dump(&self, now: Instant) -> serde_json::Value {
        let age = |at: Instant| now.duration_since(at).as_millis() as u64;
        let claims = self
            .membership
            .claims
            .iter()
            .map(|claim| serde_json::json!({ "zone": claim.zone, "token": claim.token }));
        let claims: Vec<_> = claims.collect();
        let peers = self.membership.peers().map(|peer| {
            serde_json::json!({
                "host": peer.identity.host, "zone": peer.identity.zone, "alive": peer.is_alive,
                "heard_ms_ago": age(peer.last_heard), "beat": peer.heartbeat,
            })
        });
        let peers: Vec<_> = peers.collect();
        let targets = self.steward.trackers().map(|tracker| {
            serde_json::json!({
                "target": tracker.entry.name, "state": tracker.entry.state, "phase": format!("{:?}", tracker.phase),
                "free": tracker.available(now), "attempts": tracker.attempts().count(),
                "closed": tracker.is_closed(),
                "slowness": self.speeds.slowness(&tracker.entry.name, now),
            })
        });
        let targets: Vec<_> = targets.collect();
        serde_json::json!({
            "me": self.membership.me(),
            "claims": claims,
            "evacuated_zones": self.evacuations.reported(),
            "evacuations": self.evacuations.notice(),
            "split": self.membership.shares.active(),
            "own_targets": self.membership.shares.held(),
            "isolated": self.membership.is_isolated(now),
            "configuration": self.config.version(),
            "lost_runs": self.crashes.len(),
            "cancelled_jobs": self.cancelled.len(),
            "targets_known": self.directory.iter().count(),
            "targets_read_ms_ago": self.directory.read_at().map(age),
            "open_jobs": self.jobs.len(),
            "waiting_tasks": self.steward.queued(),
            "peers": peers,
            "targets": targets,
            "learned": self.speeds,
        })
    }
}
