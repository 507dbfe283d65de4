use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;
use coltsfootshunt_testkit::cases;

use super::{Register, Verdict};
use crate::job::{Id, RequestId};

fn id(number: u64) -> Id {
    Id::try_from(format!("{number:016x}")).unwrap()
}

fn host(name: &str) -> Host {
    Host::try_from(name).unwrap()
}

/// What a host says, or what becomes of it.
#[derive(Clone, Copy)]
enum Word {
    HadJob(&'static str),
    HadNoJob(&'static str),
    Lost(&'static str),
}

use Word::{HadJob, HadNoJob, Lost};

/// Asks hosts a and b, and applies these words. `is_uncertain` says whether a third one can't be asked.
fn inquiry_ends(is_uncertain: bool, words: &[Word], expected: Option<Verdict>) {
    let mut register = Register::default();
    let now = Instant::now();
    let hosts: BTreeSet<Host> = [host("a"), host("b")].into();
    register.inquire(&id(1), RequestId(1), (hosts.clone(), is_uncertain), false, now);
    register.inquire(&id(1), RequestId(2), (hosts, is_uncertain), false, now);
    let mut answers = Vec::new();
    for word in words {
        match word {
            HadJob(name) => answers.extend(register.reply(&id(1), &host(name), true)),
            HadNoJob(name) => answers.extend(register.reply(&id(1), &host(name), false)),
            Lost(name) => answers.extend(register.lose(&host(name))),
        }
    }
    let both = vec![RequestId(1), RequestId(2)];
    let expected: Vec<_> = expected.map(|verdict| (both.clone(), verdict)).into_iter().collect();
    assert_eq!(answers, expected);
    let (late, _) = register.expire(now + Duration::from_secs(1));
    let open = if expected.is_empty() { vec![(both, Verdict::Unconfirmed)] } else { Vec::new() };
    assert_eq!(late, open, "an open inquiry ends in time");
}

cases! { inquiry_ends:
    not_before_all_have_answered(false, &[HadNoJob("a")], None);
    unknown_when_no_host_has_it(false, &[HadNoJob("a"), HadNoJob("b")], Some(Verdict::Unknown));
    cancelled_when_one_had_it(false, &[HadJob("b"), HadNoJob("a")], Some(Verdict::Cancelled));
    cancelled_although_another_host_is_lost(true, &[Lost("a"), HadJob("b")], Some(Verdict::Cancelled));
    unconfirmed_when_a_host_is_lost(false, &[Lost("a"), HadNoJob("b")], Some(Verdict::Unconfirmed));
    unconfirmed_when_a_host_can_not_be_asked(true, &[HadNoJob("a"), HadNoJob("b")], Some(Verdict::Unconfirmed));
    not_by_the_word_of_another_host(false, &[HadNoJob("a"), HadNoJob("c")], None);
}

/// Guards against an acknowledgement that only the host which gives it knows of. `is_known` says whether that host
/// had the job; `later` is the answer once the time for words of other hosts is over.
fn acknowledgement_waits(is_known: bool, words: &[Word], at_once: bool, later: Option<Verdict>) {
    let mut register = Register::default();
    let now = Instant::now();
    let hosts: BTreeSet<Host> = [host("a"), host("b")].into();
    register.inquire(&id(1), RequestId(1), (hosts, false), is_known, now);
    let mut answers = Vec::new();
    for word in words {
        match word {
            HadJob(name) => answers.extend(register.reply(&id(1), &host(name), true)),
            HadNoJob(name) => answers.extend(register.reply(&id(1), &host(name), false)),
            Lost(name) => answers.extend(register.lose(&host(name))),
        }
    }
    let cancelled = vec![(vec![RequestId(1)], Verdict::Cancelled)];
    assert_eq!(answers, if at_once { cancelled } else { Vec::new() });
    let (late, _) = register.expire(now + Duration::from_secs(1));
    let later: Vec<_> = later.map(|verdict| (vec![RequestId(1)], verdict)).into_iter().collect();
    assert_eq!(late, later);
}

cases! { acknowledgement_waits:
    for_all_hosts_where_the_job_is(true, &[HadNoJob("a")], false, Some(Verdict::Cancelled));
    for_all_hosts_where_the_job_is_not(false, &[HadJob("a")], false, Some(Verdict::Cancelled));
    for_at_least_one_host(true, &[], false, Some(Verdict::Unconfirmed));
    until_all_have_answered(true, &[HadNoJob("a"), HadNoJob("b")], true, None);
    not_for_a_host_that_is_lost(true, &[Lost("a"), HadNoJob("b")], true, None);
}

#[test]
fn cancelled_jobs_are_remembered_for_two_minutes() {
    let mut register = Register::default();
    let start = Instant::now();
    register.add(&id(1), true, start);
    register.add(&id(2), false, start + Duration::from_secs(60));
    assert!(register.contains(&id(2)) && !register.was_known(&id(2)));
    register.add(&id(2), true, start + Duration::from_secs(61));
    assert!(register.was_known(&id(2)));
    assert_eq!(register.latest(1), [id(2)]);
    register.expire(start + Duration::from_secs(119));
    assert!(register.contains(&id(1)));
    register.expire(start + Duration::from_secs(121));
    assert!(!register.contains(&id(1)) && register.contains(&id(2)));
}

#[test]
fn the_oldest_cancelled_jobs_are_dropped_beyond_the_limit() {
    let mut register = Register::default();
    let start = Instant::now();
    for number in 0..20_005 {
        register.add(&id(number), false, start + Duration::from_millis(number));
    }
    let (_, dropped) = register.expire(start + Duration::from_secs(21));
    assert_eq!(dropped, 5);
    assert!(!register.contains(&id(4)) && register.contains(&id(5)));
}
