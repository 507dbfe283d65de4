//! Dump of the whole state as JSON, of bounded size.

use std::time::Instant;

use serde_json::{Value, json};

use super::{Action, Output, State};
use crate::kind::Summary;
use crate::member::Peer;
use crate::submission::RequestId;
use crate::target::{Allocation, Status};

/// Largest number of items in each list of a dump.
const MAX_LIST_LENGTH: usize = 200;

impl State {
    /// Responds with a dump of the state.
    pub(super) fn dump(&self, request_id: RequestId, now: Instant, out: &mut Vec<Action>) {
        let identity = self.membership.identity();
        let value = json!({
            "entry": {
                "host": identity.host,
                "zone": identity.zone,
                "incarnation": identity.incarnation,
                "stage": self.drain_stage.name(),
                "held": self.is_suspended(),
                "tasks_started": self.started_tasks,
            },
            "config": { "revision": self.config.revision(), "kinds": self.dump_kinds() },
            "submissions": self.dump_submissions(now),
            "queue": self.dump_queue(),
            "teams": self.shares.iter().map(|(team, held)| json!({ "team": team, "slots": held }))
                .take(MAX_LIST_LENGTH).collect::<Vec<_>>(),
            "slots": {
                "own_usable": self.pool.own_usable(),
                "own_free": self.pool.own_free(),
                "lent": self.pool.own_lent(),
                "borrowed": self.pool.borrowed(),
                "busy": self.pool.busy(),
                "targets": self.pool.iter().take(MAX_LIST_LENGTH).map(dump_allocation).collect::<Vec<_>>(),
            },
            "loans": self.lender.iter().take(MAX_LIST_LENGTH)
                .map(|(borrower, slots)| json!({ "borrower": borrower, "slots": slots }))
                .collect::<Vec<_>>(),
            "members": self.membership.iter().take(MAX_LIST_LENGTH)
                .map(|peer| dump_peer(peer, now)).collect::<Vec<_>>(),
            "leaving": self.departures,
        });
        out.push(Action::Respond(request_id, Output::Dump(value)));
    }

    fn dump_kinds(&self) -> Vec<Value> {
        let row = |summary: Summary<'_>| {
            json!({
                "kind": summary.kind,
                "mean_ms": summary.mean.as_secs_f64() * 1e3,
                "p90_ms": summary.p90.as_secs_f64() * 1e3,
                "long": summary.is_long,
            })
        };
        self.catalog.iter().take(MAX_LIST_LENGTH).map(row).collect()
    }

    fn dump_submissions(&self, now: Instant) -> Value {
        let row = |(sequence, open): (u64, &crate::submission::Open)| {
            json!({
                "id": self.registry.id(sequence),
                "team": open.job.team,
                "kind": open.job.kind,
                "age_ms": now.duration_since(open.accepted_at).as_millis() as u64,
                "due_in_ms": open.deadline.saturating_duration_since(now).as_millis() as u64,
                "tasks": open.progress(),
            })
        };
        json!({
            "open": self.registry.open_count(),
            "kept": self.registry.answered_count(),
            "kept_bytes": self.registry.answered_bytes(),
            "inherited_from": self.registry.inherited().collect::<Vec<_>>(),
            "oldest": self.registry.iter().take(MAX_LIST_LENGTH).map(row).collect::<Vec<_>>(),
        })
    }

    fn dump_queue(&self) -> Value {
        let lanes = self.queue.lanes().take(MAX_LIST_LENGTH);
        let row = |(lane, jobs): (&crate::dispatch::Lane, usize)| json!({ "team": lane.team, "kind": lane.kind, "jobs": jobs });
        json!({
            "waiting_tasks": self.queue.len(),
            "work_ms": self.queue.queued_work().as_millis() as u64,
            "repeats_left": self.retry_budget.remaining(),
            "lanes": lanes.map(row).collect::<Vec<_>>(),
        })
    }
}

fn dump_allocation(allocation: &Allocation) -> Value {
    let status = match allocation.health.status {
        _ if allocation.is_closed => "closed",
        Status::Active { .. } => "open",
        Status::Ejected { .. } => "ejected",
    };
    json!({
        "target": allocation.config.name,
        "lender": allocation.lender,
        "slots": allocation.slots,
        "usable": allocation.usable(),
        "busy": allocation.busy,
        "lent": allocation.lent,
        "gate": status,
        "pace": allocation.slowness(),
    })
}

fn dump_peer(peer: &Peer, now: Instant) -> Value {
    json!({
        "brief": peer.status,
        "heard_ms_ago": now.duration_since(peer.last_heard).as_millis() as u64,
        "direct": peer.is_direct,
    })
}
