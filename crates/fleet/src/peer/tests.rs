use coltsfootshunt_testkit::cases;

use super::{Ack, Batch, Inbox, Receipt};
use crate::member::tests::identity;

fn batch(incarnation: u64, session: u64, number: u64) -> Batch {
    let from = crate::member::Identity { incarnation, ..identity("x", "a", 250) };
    Batch { from, session, sequence: number, messages: Vec::new() }
}

const ACT: Receipt = Receipt::Process { is_new_session: false };
const FRESH: Receipt = Receipt::Process { is_new_session: true };
const AGAIN: Receipt = Receipt::Acknowledge(Ack::Accepted);
const BROKEN: Receipt = Receipt::Acknowledge(Ack::SessionLost);

fn takes(batches: &[(u64, u64, u64)], wanted: &[Receipt]) {
    let mut inbox = Inbox::default();
    let taken: Vec<Receipt> = batches
        .iter()
        .map(|(run, session, number)| inbox.receive(&batch(*run, *session, *number)))
        .collect();
    assert_eq!(taken, wanted);
}

cases! { takes:
    batches_in_order(&[(1, 1, 1), (1, 1, 2)], &[ACT, ACT]);
    a_repeat_once(&[(1, 1, 1), (1, 1, 1)], &[ACT, AGAIN]);
    no_gap(&[(1, 1, 1), (1, 1, 3)], &[ACT, BROKEN]);
    no_session_from_its_middle(&[(1, 1, 2)], &[BROKEN]);
    a_new_session_as_a_reset(&[(1, 1, 1), (1, 2, 1)], &[ACT, FRESH]);
    no_late_batch_of_an_old_session(&[(1, 1, 1), (1, 2, 1), (1, 1, 2)], &[ACT, FRESH, BROKEN]);
    a_new_run_as_a_reset(&[(1, 4, 1), (2, 1, 1)], &[ACT, FRESH]);
}
