use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Target};
use coltsfootshunt_testkit::cases;

use super::zone;
use crate::lease::Token;
use crate::member::split::{
    Change, Demand, Member, Planner, Rank, ShareNotice, Shares, Split, SplitNotice,
};
use crate::precedence::Policy;

fn member(host: &str, cpu_millis: u32) -> Member {
    Member { host: Host::try_from(host).unwrap(), cpu_millis }
}

fn split(number: u64, members: &[(&str, u32)]) -> Split {
    let members = members.iter().map(|(host, cpu_millis)| member(host, *cpu_millis)).collect();
    Split { zone: zone("a"), rank: Rank { token: Token(5), number }, members }
}

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(|each| Target::try_from(format!("t{each}")).unwrap()).collect()
}

fn counts(split: &Split, count: usize) -> BTreeMap<Host, usize> {
    let mut counts = BTreeMap::new();
    for target in targets(count) {
        *counts.entry(split.holder(&target).unwrap().clone()).or_default() += 1;
    }
    counts
}

/// Guards against shares that don't follow the sizes of the hosts.
fn shares_follow_sizes(
    members: &[(&str, u32)],
    host: &str,
    expected: std::ops::RangeInclusive<usize>,
) {
    let counts = counts(&split(1, members), 1_000);
    let count = counts.get(&Host::try_from(host).unwrap()).copied().unwrap_or_default();
    assert!(expected.contains(&count), "{counts:?}");
}

cases! { shares_follow_sizes:
    of_two_equal_hosts(&[("x", 500), ("y", 500)], "x", 450..=550);
    of_a_large_host(&[("x", 500), ("y", 250)], "x", 620..=710);
    of_a_host_of_90_beside_two_of_500(&[("x", 500), ("y", 500), ("z", 90)], "z", 60..=105);
}

/// Guards against targets that change hands between members that stay: a new member takes only what it gets, and of
/// a lost one only what it had moves.
fn moves_only(before: &[(&str, u32)], after: &[(&str, u32)], changed: &str) {
    let (before, after) = (split(1, before), split(2, after));
    let changed = Host::try_from(changed).unwrap();
    for target in targets(500) {
        let (old, new) = (before.holder(&target), after.holder(&target));
        assert!(old == new || old == Some(&changed) || new == Some(&changed));
    }
}

cases! { moves_only:
    what_a_new_member_gets(&[("x", 500), ("y", 300)], &[("x", 500), ("y", 300), ("z", 500)], "z");
    what_a_lost_member_had(&[("x", 500), ("y", 300), ("z", 500)], &[("x", 500), ("z", 500)], "y");
}

fn demand(targets: usize, hosts: usize, backlog_ms: u64) -> Demand {
    let backlog = Duration::from_millis(backlog_ms);
    Demand { is_dense: true, targets, targets_per_core: 200, max_cpu_millis: 500, hosts, backlog }
}

/// Guards against too few members for the targets, and against more than there are hosts for.
fn plans(targets: usize, hosts: usize, expected: usize) {
    let now = Instant::now();
    assert_eq!(Planner::default().plan(&demand(targets, hosts, 0), now), expected);
}

cases! { plans:
    two_for_117_targets(117, 4, 2);
    three_for_201_targets(201, 4, 3);
    no_more_than_the_hosts(401, 2, 2);
    one_where_there_is_no_other_host(117, 1, 1);
}

/// Guards against a number of members that changes too often: a lag of the given duration, observed each 50 ms from
/// 10 s on, leads to a number of members some time later.
fn follows_lags(lag_ms: u64, after_ms: u64, expected: usize) {
    let start = Instant::now();
    let mut planner = Planner::default();
    let mut members = 0;
    for at_ms in (0..=10_000 + after_ms).step_by(50) {
        let is_lagging = (10_000..10_000 + lag_ms).contains(&at_ms);
        let now = start + Duration::from_millis(at_ms);
        members = planner.plan(&demand(117, 4, if is_lagging { 60 } else { 0 }), now);
    }
    assert_eq!(members, expected);
}

cases! { follows_lags:
    not_of_200_ms(200, 2_000, 2);
    of_400_ms(400, 2_000, 3);
    once_in_3_s(2_900, 2_900, 3);
    again_after_3_s(4_000, 4_000, 4);
    down_not_before_60_s(400, 59_000, 3);
    down_after_60_s(400, 62_000, 2);
}

/// Guards against a zone whose steward returns work for its backlog and gets no help: what a steward returns
/// keeps its backlog near the limit above which it returns work.
fn asks_for_help(backlog: Duration, returns_work: bool, expected: usize) {
    let start = Instant::now();
    let mut planner = Planner::default();
    let mut policy = Policy::default();
    policy.set_dense(true);
    let class = policy.typical_class(0, start);
    let mut members = 0;
    let mut has_returned = false;
    for at_ms in (0..=5_000).step_by(50) {
        let now = start + Duration::from_millis(at_ms);
        policy.set_backlog(backlog, (backlog, false), now);
        has_returned |= policy.sheds(&class, false);
        members = planner.plan(&Demand { backlog, ..demand(117, 4, 0) }, now);
    }
    assert_eq!((has_returned, members), (returns_work, expected));
}

cases! { asks_for_help:
    where_work_is_returned(Duration::from_millis(41), true, 3);
    before_work_is_returned(Duration::from_millis(35), false, 3);
    not_as_a_host_that_keeps_up(Duration::from_millis(10), false, 2);
}

fn me() -> Host {
    Host::try_from("me").unwrap()
}

const MEMBERS: [(&str, u32); 2] = [("lead", 500), ("me", 500)];

fn notice(active: Option<Split>, proposed: Option<Split>) -> SplitNotice {
    let rank = proposed.iter().chain(&active).map(|one| one.rank).max().unwrap_or_default();
    SplitNotice { zone: zone("a"), rank, active, proposed }
}

/// Guards against an older split that arrives after a newer one.
fn keeps_the_newer_split(late: SplitNotice) {
    let now = Instant::now();
    let mut shares = Shares::default();
    let newer = split(3, &MEMBERS);
    let change = shares.apply(&me(), notice(Some(newer.clone()), None), now);
    assert_eq!(change, Some(Change::Active(newer.clone())));
    assert_eq!(shares.apply(&me(), late, now), None);
    assert_eq!(shares.active(), Some(&newer));
}

cases! { keeps_the_newer_split:
    over_an_older_one(notice(Some(split(2, &[("lead", 500)])), None));
    over_the_same_one(notice(Some(split(3, &MEMBERS)), None));
    over_its_own_proposal(notice(None, Some(split(3, &MEMBERS))));
}

/// A deputy that acts by a split of the lead and itself, before which the lead held all.
fn deputy(now: Instant) -> Shares {
    let mut shares = Shares::default();
    shares.set_ready();
    shares.apply(&me(), notice(None, Some(split(1, &MEMBERS))), now);
    shares.apply(&me(), notice(Some(split(1, &MEMBERS)), None), now);
    shares.update_targets(&me(), &targets(20).into_iter().collect::<BTreeSet<_>>());
    shares
}

fn share(number: u64, busy_targets: Vec<Target>) -> ShareNotice {
    let rank = Rank { token: Token(5), number };
    let highest_token = Token::default();
    ShareNotice {
        zone: zone("a"),
        rank,
        ready_for: None,
        busy_targets,
        highest_token,
        backlog_ms: 0,
    }
}

/// Guards against a claim that ends the runs of the host that had the target, and against a wait without end: whether
/// a deputy may claim a target, some time after the split came in force, if the lead reports by which split it acts
/// and that it is busy there. The lead confirms the split until then.
fn claims(reported: Option<(u64, bool)>, is_alive: bool, after_ms: u64, expected: bool) {
    let start = Instant::now();
    let now = start + Duration::from_millis(after_ms);
    let mut shares = deputy(start);
    let target = &targets(1)[0];
    let lead = Host::try_from("lead").unwrap();
    if let Some((number, is_busy)) = reported {
        let busy_targets = if is_busy { vec![target.clone()] } else { Vec::new() };
        shares.record_share(&lead, share(number, busy_targets), now);
    }
    shares.apply(&me(), notice(Some(split(1, &MEMBERS)), None), now);
    let may_claim = shares.may_claim(false, |_| is_alive, now);
    assert_eq!(may_claim && !shares.is_busy(target, |_| is_alive, now), expected);
}

cases! { claims:
    not_before_the_report(None, true, 500, false);
    not_while_the_report_is_of_an_earlier_split(Some((0, false)), true, 500, false);
    with_the_report(Some((1, false)), true, 0, true);
    not_a_busy_target(Some((1, true)), true, 5_000, false);
    at_once_if_the_former_holder_is_lost(None, false, 0, true);
    after_a_second_without_a_report(None, true, 1_050, true);
}

/// Guards against a deputy that fights the lead for targets: without the lead it claims none, and what another host
/// took it leaves until the lead confirms the split.
#[test]
fn a_deputy_without_its_lead_claims_nothing() {
    let start = Instant::now();
    let mut shares = deputy(start);
    let lead = Host::try_from("lead").unwrap();
    shares.record_share(&lead, share(1, Vec::new()), start);
    assert!(shares.may_claim(false, |_| true, start));
    let later = start + Duration::from_secs(1);
    assert!(!shares.may_claim(false, |_| true, later));
    let target = targets(20).into_iter().find(|one| shares.holds(one)).unwrap();
    shares.lose(&target);
    assert!(!shares.holds(&target));
    shares.apply(&me(), notice(Some(split(1, &MEMBERS)), None), later);
    assert!(shares.holds(&target) && shares.may_claim(false, |_| true, later));
}

/// A lead of four hosts of the zone, in whose split the deputy `x` is.
struct Lead {
    shares: Shares,
    start: Instant,
}

const HOSTS: [(&str, u32); 4] = [("me", 500), ("x", 500), ("y", 300), ("z", 90)];

impl Lead {
    fn new() -> Self {
        let mut lead = Self { shares: Shares::default(), start: Instant::now() };
        lead.decide(0, &HOSTS);
        lead.report(0, "x", (0, Some(1), 0));
        lead.decide(50, &HOSTS);
        lead.report(50, "x", (1, None, 0));
        assert_eq!(lead.members(), ["me", "x"]);
        lead
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn decide(&mut self, at_ms: u64, hosts: &[(&str, u32)]) {
        let available: Vec<Member> = hosts.iter().map(|(host, size)| member(host, *size)).collect();
        let now = self.at(at_ms);
        self.shares.decide((&zone("a"), Token(5)), &available, demand(117, 0, 0), now);
    }

    /// Records the report of a member: the split by which it acts, the one it is ready for, and its backlog.
    fn report(
        &mut self,
        at_ms: u64,
        host: &str,
        (number, ready_for, backlog_ms): (u64, Option<u64>, u32),
    ) {
        let ready_for = ready_for.map(|number| Rank { token: Token(5), number });
        let notice = ShareNotice { ready_for, backlog_ms, ..share(number, Vec::new()) };
        let now = self.at(at_ms);
        self.shares.record_share(&Host::try_from(host).unwrap(), notice, now);
    }

    fn members(&self) -> Vec<String> {
        let active = self.shares.active().unwrap();
        active.members.iter().map(|member| member.host.to_string()).collect()
    }
}

/// Guards against a split that does not follow what becomes of its members: the members some time after `x` has
/// reported for the last time, where `y` answers proposals or not.
fn follows(
    hosts: &[(&str, u32)],
    x_reports: bool,
    y_answers: bool,
    after_ms: u64,
    expected: &[&str],
) {
    let mut lead = Lead::new();
    for at_ms in (100..=100 + after_ms).step_by(50) {
        if x_reports {
            lead.report(at_ms, "x", (1, None, 0));
        }
        if y_answers {
            let next = lead.shares.active().unwrap().rank.number + 1;
            lead.report(at_ms, "y", (0, Some(next), 0));
        }
        lead.decide(at_ms, hosts);
    }
    assert_eq!(lead.members(), expected);
}

const WITHOUT_X: [(&str, u32); 3] = [("me", 500), ("y", 300), ("z", 90)];

cases! { follows:
    not_while_all_is_as_it_was(&HOSTS, true, true, 5_000, &["me", "x"]);
    the_loss_of_a_member_at_once(&WITHOUT_X, false, false, 0, &["me"]);
    the_loss_by_another_member(&WITHOUT_X, false, true, 100, &["me", "y"]);
    the_loss_without_one_that_does_not_answer(&WITHOUT_X, false, false, 600, &["me"]);
    not_a_member_that_is_silent_for_a_moment(&HOSTS, false, false, 1_500, &["me", "x"]);
    a_member_that_acts_by_another_split(&HOSTS, false, false, 2_100, &["me"]);
}

/// Guards against a member that is behind and gets no help, or loses its share to the proposal that brings it: `x`
/// reports a backlog of 60 ms from 4 s on, and `y` answers the proposal.
#[test]
fn a_member_that_is_behind_gets_help_and_keeps_its_share() {
    let mut lead = Lead::new();
    for at_ms in (100..=5_000).step_by(50) {
        let backlog_ms = if at_ms >= 4_000 { 60 } else { 0 };
        lead.report(at_ms, "x", (1, None, backlog_ms));
        lead.decide(at_ms, &HOSTS);
        lead.report(at_ms, "y", (0, Some(2), 0));
        if at_ms < 4_300 {
            assert_eq!(lead.members(), ["me", "x"]);
        }
    }
    assert_eq!(lead.members(), ["me", "x", "y"]);
}
