use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Kind;
use coltsfootshunt_testkit::cases;

use super::{Arrivals, Class, Importance, LeastSlack, Order, Policy};
use crate::routing::Load;

/// A job that must start within `slack_ms`. It is late if that is 0.
fn class(now: Instant, priority: u32, slack_ms: u64) -> Class {
    let latest_start = now + Duration::from_millis(slack_ms);
    Class {
        priority,
        is_started: false,
        is_late: slack_ms == 0,
        is_excess: false,
        latest_start,
        objective: latest_start + Duration::from_millis(100),
    }
}

fn started(class: Class) -> Class {
    Class { is_started: true, ..class }
}

fn excess(class: Class) -> Class {
    Class { is_excess: true, ..class }
}

/// Guards against an order that puts jobs of low priority, or of a kind in burst, ahead of others. The classes
/// are those of a task that is not long.
fn goes_first(first: fn(Instant) -> Class, second: fn(Instant) -> Class) {
    let now = Instant::now();
    assert!(Importance.rank(&first(now), false) < Importance.rank(&second(now), false));
}

cases! { goes_first:
    the_higher_priority(|now| class(now, 0, 900), |now| class(now, 1, 100));
    least_slack_of_equal_priority(|now| class(now, 1, 100), |now| class(now, 1, 900));
    a_started_job(|now| started(class(now, 2, 900)), |now| class(now, 0, 100));
    the_usual_share_of_a_lower_priority(|now| class(now, 2, 900), |now| excess(class(now, 0, 100)));
    excess_before_what_is_late(|now| excess(class(now, 2, 900)), |now| class(now, 0, 0));
    the_higher_priority_of_late_jobs(|now| class(now, 0, 0), |now| class(now, 1, 0));
}

/// Guards against long work at the lowest priority that never gets the fast targets it needs.
fn long_work_goes_before_short(is_excess: bool, expected: bool) {
    let now = Instant::now();
    let long = Class { is_excess, ..class(now, 2, 500) };
    let short = class(now, 0, 50);
    assert_eq!(Importance.rank(&long, true) < Importance.rank(&short, false), expected);
}

cases! { long_work_goes_before_short:
    within_its_usual_share(false, true);
    not_beyond_it(true, false);
}

/// Guards against a new job that counts on room which others take first, or is refused for those it passes.
fn is_ahead(order: &dyn Order, queued: fn(Instant) -> Class, expected: bool) {
    let now = Instant::now();
    let arriving = class(now, 1, 300);
    assert_eq!(order.is_ahead(&queued(now), &arriving), expected);
}

cases! { is_ahead:
    a_started_job(&Importance, |now| started(class(now, 2, 900)), true);
    a_higher_priority_with_more_slack(&Importance, |now| class(now, 0, 900), true);
    not_a_lower_priority_with_less_slack(&Importance, |now| class(now, 2, 100), false);
    not_what_exceeds_its_share(&Importance, |now| excess(class(now, 0, 100)), false);
    not_a_late_job(&Importance, |now| class(now, 0, 0), false);
    less_slack_of_a_lower_priority_without_overload(&LeastSlack, |now| class(now, 2, 100), true);
}

/// Records jobs of one kind at `usual` per second for ten seconds and then at `burst` per second for two.
/// Returns the share of the latter that exceeds the usual share.
fn excess_share(usual: u32, burst: u32) -> f64 {
    let kind = Kind::try_from("cut").unwrap();
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    for number in 0..usual * 10 {
        let at = start + Duration::from_secs(10) * number / (usual * 10);
        arrivals.record((&kind, 0), 1.0, 0, at);
    }
    let arrives =
        |number: u32| start + Duration::from_secs(10) + Duration::from_secs(1) * number / burst;
    let beyond =
        (0..burst * 2).filter(|number| arrivals.record((&kind, 0), 1.0, 0, arrives(*number)));
    beyond.count() as f64 / f64::from(burst * 2)
}

/// Guards against a burst that counts as usual, and against usual arrivals that count as a burst.
fn exceeds_its_share(burst: u32, (least, most): (f64, f64)) {
    let share = excess_share(100, burst);
    assert!((least..=most).contains(&share), "{share}");
}

cases! { exceeds_its_share:
    not_at_the_usual_rate(100, (0.0, 0.0));
    not_below_half_as_much_again(140, (0.0, 0.0));
    // One and a half of three parts are usual. The rest begins once the burst has filled half a second.
    by_half_at_three_times_the_rate(300, (0.3, 0.5));
}

/// Guards against a host that has just started and counts all arrivals as a burst.
#[test]
fn nothing_exceeds_a_share_that_is_not_known() {
    let kind = Kind::try_from("cut").unwrap();
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    for number in 0..1_900 {
        // The rate rises all the time.
        let at = start + Duration::from_secs_f64((f64::from(number) / 1_000.0).sqrt());
        assert!(!arrivals.record((&kind, 0), 1.0, 0, at));
    }
}

/// Guards against a lasting rise of a kind that counts as a burst for ever.
#[test]
fn a_lasting_rise_becomes_usual() {
    let kind = Kind::try_from("cut").unwrap();
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    let rate = |second: u32| if second < 10 { 100 } else { 250 };
    let mut last = 0;
    for second in 0..60 {
        let at = |number: u32| {
            start
                + Duration::from_secs(second.into())
                + Duration::from_secs(1) * number / rate(second)
        };
        last = (0..rate(second))
            .filter(|number| arrivals.record((&kind, 0), 1.0, 0, at(*number)))
            .count();
    }
    assert_eq!(last, 0);
}

/// A policy after a backlog of `age_ms` for some time.
fn policy(is_dense: bool, age_ms: u64) -> Policy {
    let start = Instant::now();
    let age = Duration::from_millis(age_ms);
    let mut policy = Policy::default();
    policy.set_dense(is_dense);
    for passed_ms in [0, 100, 200] {
        policy.set_backlog(age, (age, true), start + Duration::from_millis(passed_ms));
    }
    policy
}

/// Guards against a steward that takes jobs which are late before they start, and against effects where
/// zones are not dense.
fn sheds(policy: &Policy, arriving: fn(Instant) -> Class, is_long: bool, expected: bool) {
    assert_eq!(policy.sheds(&arriving(Instant::now()), is_long), expected);
}

cases! { sheds:
    the_lower_priority_first(&policy(true, 45), |now| class(now, 1, 100), false, true);
    not_yet_the_highest_priority(&policy(true, 45), |now| class(now, 0, 100), false, false);
    excess_of_the_highest_priority(&policy(true, 45), |now| excess(class(now, 0, 100)), false, true);
    the_highest_priority(&policy(true, 65), |now| class(now, 0, 100), false, true);
    not_yet_long_work(&policy(true, 95), |now| class(now, 2, 500), true, false);
    long_work(&policy(true, 105), |now| class(now, 2, 500), true, true);
    nothing_without_backlog(&policy(true, 5), |now| class(now, 2, 100), false, false);
    nothing_in_other_zones(&policy(false, 500), |now| class(now, 2, 100), false, false);
}

/// Guards against jobs refused for a backlog that is gone within a scheduling period.
#[test]
fn sheds_nothing_for_a_short_backlog() {
    let mut policy = policy(true, 60);
    let now = Instant::now() + Duration::from_millis(250);
    policy.set_backlog(Duration::ZERO, (Duration::ZERO, false), now);
    policy.set_backlog(Duration::from_millis(60), (Duration::from_millis(60), true), now);
    assert!(!policy.sheds(&class(now, 2, 100), false));
}

/// Guards against owners that go on sending to a steward that is behind, and against other load reports where
/// zones are not dense.
fn reports(is_dense: bool, waits_ms: [u32; 6], free_slots: u32) {
    let load = Load { waits_ms: [10; 6], free_slots: 4, free_fast_slots: 2, ..Load::default() };
    let reported = policy(is_dense, 65).with_backlog(load, Instant::now());
    assert_eq!(reported.waits_ms, waits_ms);
    assert_eq!((reported.free_slots, reported.free_fast_slots), (free_slots, free_slots / 2));
}

cases! { reports:
    // Shorter jobs would be returned, so the wait is beyond the slack of their level.
    the_backlog_of_a_dense_zone(true, [140, 160, 320, 640, 140, 140], 0);
    nothing_else_in_other_zones(false, [10; 6], 4);
}
