//! Planned stop and handover of records to a successor.

use std::time::Instant;

use super::{Action, Record, State};
use crate::peer::Call;

impl State {
    pub(super) fn signal(&mut self, now: Instant, out: &mut Vec<Action>) {
        let first = self.stage.is_serving();
        self.stage.request_stop(self.drain_limits, now);
        if first {
            out.push(Action::Record(Record::StopStarted));
            // Heartbeats tell the peers of the stop at once.
            self.next_round = now;
        }
    }

    pub(super) fn stop(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.stage.is_serving() {
            return;
        }
        let busy = self.ledger.open_count() > 0 || self.pool.busy() > 0;
        let ledger = &self.ledger;
        self.stage.advance(now, busy, || ledger.chunks(now));
        self.hand_over(now, out);
        if let Some(exit) = self.stage.exit() {
            self.exit(exit, out);
        }
    }

    fn hand_over(&mut self, now: Instant, out: &mut Vec<Action>) {
        let successor = self.roster.successor().map(|peer| peer.status.clone());
        let chosen = successor.as_ref().map(|brief| brief.incarnation);
        if chosen.is_none() && self.roster.awaits_missing(now) {
            return;
        }
        let Some(part) = self.stage.next_chunk(chosen.is_some(), now) else {
            return;
        };
        let Some(successor) = successor else {
            return;
        };
        let mut part = part;
        if self.successor != chosen {
            self.successor = chosen;
            let ledger = &self.ledger;
            self.stage.restart_handover(|| ledger.chunks(now));
            if let Some(first) = self.stage.first_chunk() {
                part = first;
            }
            out.push(Action::Record(Record::HandoverStarted { successor: successor.host.clone() }));
        }
        let call = Call::Inherit(part);
        out.push(Action::CallPeer { to: successor.address, peer: chosen, call });
    }
}
