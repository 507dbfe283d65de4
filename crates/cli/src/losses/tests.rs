use coltsfootshunt_testkit::cases;

use super::{Histories, Outcome, Table};
use crate::logs::Record;

const ACCEPTED: &str = r#"{"job":"1","msg":"job accepted","kind":"cut","size":"large"}"#;
const OVERLOADED: &str =
    r#"{"job":"1","msg":"job refused","kind":"cut","size":"large","reason":"too_late"}"#;
const INFEASIBLE: &str =
    r#"{"job":"2","msg":"job refused","kind":"cut","size":"large","reason":"hopeless"}"#;
const NO_STEWARD: &str =
    r#"{"job":"1","msg":"job refused","kind":"cut","size":"large","reason":"no_steward"}"#;
const FULL: &str = r#"{"job":"1","msg":"job refused","kind":"cut","size":"large","reason":"full"}"#;
const ON_SLOW: &str =
    r#"{"job":"1","msg":"task started","task":"1.0.0","run":1,"expected_ms":900,"best_ms":450}"#;
const ON_FAST: &str =
    r#"{"job":"1","msg":"task started","task":"1.0.0","run":1,"expected_ms":450,"best_ms":440}"#;
const ENDED: &str = r#"{"job":"1","msg":"task ended","task":"1.0.0","run":1,"end":"done"}"#;
const DEADLINE: &str =
    r#"{"job":"1","msg":"job answered","outcome":"unknown","reason":"its caller's deadline"}"#;
const ROUTE_TIMEOUT: &str =
    r#"{"job":"1","msg":"job answered","outcome":"unknown","reason":"its route's timeout"}"#;
const STEWARD_LOST: &str =
    r#"{"job":"1","msg":"job answered","outcome":"unknown","reason":"its steward is gone"}"#;
const TOO_LATE: &str =
    r#"{"job":"1","msg":"job answered","outcome":"too_late","reason":"a task's end"}"#;
const COMPLETED: &str =
    r#"{"job":"1","msg":"job answered","outcome":"completed","reason":"a task's end"}"#;

fn histories(records: &[&str]) -> Histories {
    let mut histories = Histories::default();
    for record in records {
        histories.apply(&serde_json::from_str::<Record>(record).unwrap());
    }
    histories
}

fn classifies(records: &[&str], expected: Outcome) {
    let histories = histories(records);
    let outcomes: Vec<Outcome> = histories.iter().map(|(_, history)| history.outcome()).collect();
    assert_eq!(outcomes, [expected]);
}

cases! { classifies:
    a_completed_job(&[ACCEPTED, ON_SLOW, ENDED, COMPLETED], Outcome::Served);
    a_refusal_behind_a_backlog(&[OVERLOADED], Outcome::Overloaded);
    a_refusal_of_an_infeasible_job(&[INFEASIBLE], Outcome::Infeasible);
    a_refusal_without_a_steward(&[NO_STEWARD], Outcome::NoSteward);
    a_refusal_for_another_reason(&[FULL], Outcome::Refused);
    a_job_that_stewards_returned(&[ACCEPTED, TOO_LATE], Outcome::Returned);
    a_timeout_on_a_slow_target(&[ACCEPTED, ON_SLOW, DEADLINE, ENDED], Outcome::TimedOutOnSlow);
    a_timeout_on_a_fast_target(&[ACCEPTED, ON_FAST, DEADLINE, ENDED], Outcome::TimedOutOnFast);
    a_job_that_its_route_ended(&[ACCEPTED, ON_FAST, ROUTE_TIMEOUT], Outcome::RouteTimeout);
    a_job_whose_last_task_never_started(&[ACCEPTED, ON_FAST, ENDED, DEADLINE], Outcome::NotStarted);
    a_job_whose_steward_was_lost(&[ACCEPTED, ON_FAST, STEWARD_LOST], Outcome::StewardLost);
    a_job_without_a_logged_end(&[ACCEPTED, ON_FAST], Outcome::Unfinished);
    a_repeat_after_a_refusal(&[OVERLOADED, ACCEPTED, ON_FAST, ENDED, COMPLETED], Outcome::Served);
}

#[test]
fn the_table_counts_by_kind_size_and_outcome() {
    let text = Table::new(&histories(&[ACCEPTED, ON_SLOW, DEADLINE, INFEASIBLE])).to_string();
    let expected = "cut large: 2 jobs, 0 served (0.000), 0.000 of the 1 within reach
       1 out of reach
       1 ran over on a slow target\n";
    assert_eq!(text, expected);
}
