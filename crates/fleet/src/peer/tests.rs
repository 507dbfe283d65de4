use coltsfootshunt_testkit::cases;

use super::{Ack, Batch, Inbox, Receipt};
use crate::member::tests::identity;

fn batch(incarnation: u64, session: u64, sequence: u64) -> Batch {
    let from = crate::member::Identity { incarnation, ..identity("x", "a", 250) };
    Batch { from, session, sequence, messages: Vec::new() }
}

const PROCESS: Receipt = Receipt::Process { is_new_session: false };
const NEW_SESSION: Receipt = Receipt::Process { is_new_session: true };
const REPEATED: Receipt = Receipt::Acknowledge(Ack::Accepted);
const SESSION_LOST: Receipt = Receipt::Acknowledge(Ack::SessionLost);

/// Receives batches, each an incarnation, a session and a sequence number.
fn receives(batches: &[(u64, u64, u64)], expected: &[Receipt]) {
    let mut inbox = Inbox::default();
    let receipts: Vec<Receipt> = batches
        .iter()
        .map(|(incarnation, session, sequence)| {
            inbox.receive(&batch(*incarnation, *session, *sequence))
        })
        .collect();
    assert_eq!(receipts, expected);
}

cases! { receives:
    batches_in_order(&[(1, 1, 1), (1, 1, 2)], &[PROCESS, PROCESS]);
    repeated_batch_once(&[(1, 1, 1), (1, 1, 1)], &[PROCESS, REPEATED]);
    no_batch_after_a_gap(&[(1, 1, 1), (1, 1, 3)], &[PROCESS, SESSION_LOST]);
    no_session_without_its_first_batch(&[(1, 1, 2)], &[SESSION_LOST]);
    new_session_as_a_reset(&[(1, 1, 1), (1, 2, 1)], &[PROCESS, NEW_SESSION]);
    no_late_batch_of_an_earlier_session(
        &[(1, 1, 1), (1, 2, 1), (1, 1, 2)],
        &[PROCESS, NEW_SESSION, SESSION_LOST],
    );
    new_incarnation_as_a_reset(&[(1, 4, 1), (2, 1, 1)], &[PROCESS, NEW_SESSION]);
    // Guards against a late batch that brings the jobs of an ended process back, and drops those of
    // its successor.
    no_late_session_of_a_replaced_incarnation(
        &[(1, 1, 1), (2, 1, 1), (1, 2, 1), (2, 1, 2)],
        &[PROCESS, NEW_SESSION, SESSION_LOST, PROCESS],
    );
    no_late_session_of_any_replaced_incarnation(
        &[(1, 1, 1), (2, 1, 1), (3, 1, 1), (1, 2, 1), (2, 2, 1), (3, 1, 2)],
        &[PROCESS, NEW_SESSION, NEW_SESSION, SESSION_LOST, SESSION_LOST, PROCESS],
    );
}
