//! Planned stop and handover of records to a successor.

use std::time::Instant;

use super::{Action, Record, State};
use crate::peer::Call;

impl State {
    /// Starts a planned stop. A second signal ends the process at once.
    pub(super) fn handle_signal(&mut self, now: Instant, out: &mut Vec<Action>) {
        let is_first = self.drain_stage.is_serving();
        self.drain_stage.request_stop(self.drain_limits, now);
        if is_first {
            out.push(Action::Record(Record::StopStarted));
            // Heartbeats tell the peers of the stop at once.
            self.next_heartbeat = now;
        }
    }

    /// Advances a planned stop, and ends the process after its last stage.
    pub(super) fn advance_stop(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.drain_stage.is_serving() {
            return;
        }
        let is_busy = self.registry.open_count() > 0 || self.pool.busy() > 0;
        let registry = &self.registry;
        self.drain_stage.advance(now, is_busy, || registry.chunks(now));
        self.hand_over(now, out);
        if let Some(exit) = self.drain_stage.exit() {
            self.exit(exit, out);
        }
    }

    /// Sends the next chunk of the records to the successor. After a failed call, a successor is
    /// chosen anew and gets all chunks.
    fn hand_over(&mut self, now: Instant, out: &mut Vec<Action>) {
        let successor = self.membership.successor().map(|peer| peer.status.clone());
        let chosen = successor.as_ref().map(|status| status.incarnation);
        if chosen.is_none() && self.membership.awaits_missing(now) {
            return;
        }
        let Some(chunk) = self.drain_stage.next_chunk(chosen.is_some(), now) else {
            return;
        };
        let Some(successor) = successor else {
            return;
        };
        let mut chunk = chunk;
        if self.current_successor != chosen {
            self.current_successor = chosen;
            let registry = &self.registry;
            self.drain_stage.restart_handover(|| registry.chunks(now));
            if let Some(first) = self.drain_stage.first_chunk() {
                chunk = first;
            }
            out.push(Action::Record(Record::HandoverStarted { successor: successor.host.clone() }));
        }
        let call = Call::Inherit(chunk);
        out.push(Action::CallPeer { to: successor.address, peer: chosen, call });
    }
}
