use coltsfootshunt_testkit::cases;

use super::{Account, Fate, Table};
use crate::logs::Line;

const ACCEPTED: &str = r#"{"job":"1","msg":"job accepted","kind":"cut","size":"large"}"#;
const REFUSED: &str =
    r#"{"job":"1","msg":"job refused","kind":"cut","size":"large","reason":"too_late"}"#;
const HOPELESS: &str =
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
    r#"{"job":"1","msg":"job answered","outcome":"unknown","reason":"its deadline"}"#;
const GONE: &str =
    r#"{"job":"1","msg":"job answered","outcome":"unknown","reason":"its steward is gone"}"#;
const TOO_LATE: &str =
    r#"{"job":"1","msg":"job answered","outcome":"too_late","reason":"a task's end"}"#;
const COMPLETED: &str =
    r#"{"job":"1","msg":"job answered","outcome":"completed","reason":"a task's end"}"#;

fn account(lines: &[&str]) -> Account {
    let mut account = Account::default();
    for line in lines {
        account.take(&serde_json::from_str::<Line>(line).unwrap());
    }
    account
}

fn tells(lines: &[&str], wanted: Fate) {
    let account = account(lines);
    let fates: Vec<Fate> = account.stories().map(|(_, story)| story.fate()).collect();
    assert_eq!(fates, [wanted]);
}

cases! { tells:
    a_completed_job(&[ACCEPTED, ON_SLOW, ENDED, COMPLETED], Fate::Served);
    a_refusal_behind_a_backlog(&[REFUSED], Fate::Crowded);
    a_refusal_of_what_takes_too_long(&[HOPELESS], Fate::Hopeless);
    a_refusal_without_a_steward(&[NO_STEWARD], Fate::NoSteward);
    a_refusal_for_another_reason(&[FULL], Fate::Refused);
    a_job_that_stewards_gave_back(&[ACCEPTED, TOO_LATE], Fate::GivenBack);
    a_run_over_time_on_a_slow_target(&[ACCEPTED, ON_SLOW, DEADLINE, ENDED], Fate::OverOnSlow);
    a_run_over_time_on_a_fast_target(&[ACCEPTED, ON_FAST, DEADLINE, ENDED], Fate::OverOnFast);
    a_job_whose_last_task_never_started(&[ACCEPTED, ON_FAST, ENDED, DEADLINE], Fate::Unstarted);
    a_job_whose_steward_is_gone(&[ACCEPTED, ON_FAST, GONE], Fate::StewardGone);
    a_job_without_an_end(&[ACCEPTED, ON_FAST], Fate::Open);
    the_repeat_of_a_refused_job(&[REFUSED, ACCEPTED, ON_FAST, ENDED, COMPLETED], Fate::Served);
}

#[test]
fn the_table_counts_by_kind_size_and_fate() {
    let text = Table::new(&account(&[ACCEPTED, ON_SLOW, DEADLINE, HOPELESS])).to_string();
    let wanted = "cut large: 2 jobs, 0 served (0.000), 0.000 of the 1 within reach
       1 out of reach
       1 ran over on a slow target\n";
    assert_eq!(text, wanted);
}
