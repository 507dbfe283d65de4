//! Evacuated zones, with whole hosts.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::safety::inject_fault;
use super::simulation::{FaultRates, ManualClock, Simulation, ZONES};
use super::startup::host_with;
use crate::control::{Action, Event, Request, Response, State};
use crate::directory;
use crate::evacuation::{Change, Notice, Reading, Settings};
use crate::job::{Id, Outcome, Refusal, RequestId};
use crate::member::tests::identity;
use crate::member::{Heartbeat, Identity};
use crate::peer::{Batch, Message};
use crate::report::Record;
use crate::store::{Error, Update};

/// Hosts of the two zones.
const ZONE_A: [usize; 2] = [0, 1];
const ZONE_B: [usize; 2] = [2, 3];

/// Submits short jobs for a time.
fn submit_for(sim: &mut Simulation, ms: u64) {
    for _ in 0..ms / 50 {
        sim.submit(2, 9_000, 80);
        sim.run_for(50);
    }
}

/// Submits jobs, causes a fault, evacuates zone a and goes on. Guards against starts there after the time limit, and
/// against a zone that stays empty after it was restored.
fn starts_nothing_in_an_evacuated_zone(before: fn(&mut Simulation), during: fn(&mut Simulation)) {
    for seed in 1..=6 {
        let mut sim = Simulation::with_evacuation(seed);
        submit_for(&mut sim, 1_000);
        assert!(sim.starts_in("a") > 0, "seed {seed}: the zone is used");
        before(&mut sim);
        sim.evacuate("a");
        submit_for(&mut sim, 500);
        during(&mut sim);
        submit_for(&mut sim, 6_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        sim.restore("a");
        sim.run_for(12_000);
        let starts = sim.starts_in("a");
        submit_for(&mut sim, 2_000);
        assert!(sim.starts_in("a") > starts, "seed {seed}: the zone is used again");
        sim.run_for(5_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

fn restart(sim: &mut Simulation, hosts: &[usize]) {
    hosts.iter().for_each(|host| sim.kill(*host));
    submit_for(sim, 300);
    hosts.iter().for_each(|host| sim.start(*host));
}

fn cut(sim: &mut Simulation, is_cut: bool) {
    for one in ZONE_A {
        ZONE_B.iter().for_each(|other| sim.set_partition(one, *other, is_cut));
    }
}

fn set_store_lost(sim: &mut Simulation, hosts: &[usize], is_lost: bool) {
    hosts.iter().for_each(|host| sim.set_store_lost(*host, is_lost));
    sim.run_for(50);
}

cases! { starts_nothing_in_an_evacuated_zone:
    without_faults(|_| {}, |_| {});
    whose_hosts_lack_the_store(|sim| set_store_lost(sim, &ZONE_A, true), |sim| {
        submit_for(sim, 5_000);
        set_store_lost(sim, &ZONE_A, false);
    });
    that_only_one_host_of_the_other_zone_can_read(|sim| set_store_lost(sim, &[0, 1, 2], true), |sim| {
        submit_for(sim, 5_000);
        set_store_lost(sim, &[0, 1, 2], false);
    });
    when_the_store_is_lost_afterwards(|_| {}, |sim| {
        set_store_lost(sim, &[0, 1, 2, 3], true);
        submit_for(sim, 5_000);
        set_store_lost(sim, &[0, 1, 2, 3], false);
    });
    whose_steward_is_killed(|_| {}, |sim| { let at = sim.stewards("a")[0]; sim.kill(at); });
    whose_steward_stops(|_| {}, |sim| { let at = sim.stewards("a")[0]; sim.stop(at); });
    whose_steward_freezes(|_| {}, |sim| { let at = sim.stewards("a")[0]; sim.freeze(at, 3_000); });
    whose_steward_freezes_before(|sim| { let at = sim.stewards("a")[0]; sim.freeze(at, 3_000); }, |_| {});
    whose_steward_freezes_unnoticed_before(
        |sim| { let at = sim.stewards("a")[0]; sim.freeze(at, 600); }, |_| {});
    that_another_zone_takes_over(|_| {}, |sim| ZONE_A.iter().for_each(|host| sim.kill(*host)));
    whose_hosts_restart(|_| {}, |sim| restart(sim, &ZONE_A));
    whose_hosts_restart_without_the_store(|_| {}, |sim| {
        set_store_lost(sim, &ZONE_A, true);
        restart(sim, &ZONE_A);
        submit_for(sim, 3_000);
        set_store_lost(sim, &ZONE_A, false);
    });
    that_is_cut_off_from_the_others(|sim| cut(sim, true), |sim| {
        submit_for(sim, 3_000);
        cut(sim, false);
    });
    that_is_cut_off_later(|_| {}, |sim| { cut(sim, true); submit_for(sim, 12_000); cut(sim, false); });
    whose_targets_restart(|_| {}, |sim| (0..3).for_each(|target| sim.crash(target)));
}

/// Evacuates and restores zones while hosts, targets and links fail. All hosts that run reach the store. Guards
/// against a start in an evacuated zone, and against a refused job that has run.
fn holds_under_random_faults(seed: u64) {
    // Kills, freezes, stops, restarts, crashes of targets, cuts between hosts and from targets, delays.
    let faults = [0, 1, 2, 3, 5, 5, 6, 7, 8, 9, 10, 12, 14, 15];
    let mut sim = Simulation::with_evacuation(seed);
    sim.fault_rates =
        FaultRates { response_lost: 0.02, call_lost: 0.02, late: 0.5, ..FaultRates::default() };
    let mut evacuated = [false; ZONES.len()];
    for _ in 0..200 {
        let run_ms = 30 + sim.random_below(400) as u64;
        sim.submit(2, 9_000, run_ms);
        sim.run_for(60);
        if sim.random_bool(0.1) {
            inject_fault(&mut sim, &faults);
        }
        if sim.random_bool(0.04) {
            let zone = sim.random_below(ZONES.len());
            evacuated[zone] = !evacuated[zone];
            if evacuated[zone] { sim.evacuate(ZONES[zone]) } else { sim.restore(ZONES[zone]) }
        }
    }
    sim.run_for(10_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    for (id, outcomes) in sim.all_outcomes() {
        let is_refused = |one: &Option<Outcome>| matches!(one, Some(Outcome::Refused { .. }));
        let has_run = sim.starts.keys().any(|task| task.job == *id);
        let was_refused = !outcomes.is_empty() && outcomes.iter().all(is_refused);
        assert!(!(was_refused && has_run), "{id} was refused and ran");
    }
}

cases! { holds_under_random_faults:
    of_seed_1(1);
    of_seed_2(2);
    of_seed_3(3);
    of_seed_4(4);
    of_seed_5(5);
    of_seed_6(6);
    of_seed_7(7);
    of_seed_8(8);
}

/// Hosts that the store turns away are told by peers that a zone is restored.
#[test]
fn peers_tell_of_a_restored_zone() {
    let mut sim = Simulation::with_evacuation(1);
    sim.evacuate("a");
    submit_for(&mut sim, 500);
    set_store_lost(&mut sim, &ZONE_A, true);
    sim.restore("a");
    let starts = sim.starts_in("a");
    submit_for(&mut sim, 500);
    assert!(sim.starts_in("a") > starts);
    assert_eq!(sim.evacuation_records(), [4, 4, 0, 0]);
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Where nobody can tell them, they keep to what they know.
#[test]
fn an_evacuation_outlasts_the_store() {
    let mut sim = Simulation::with_evacuation(1);
    sim.evacuate("a");
    sim.run_for(500);
    set_store_lost(&mut sim, &[0, 1, 2, 3], true);
    let starts = sim.starts_in("a");
    submit_for(&mut sim, 5_000);
    assert_eq!(sim.starts_in("a"), starts);
}

/// Guards against an evacuation that empties the zone only for new jobs: queued tasks go to the other zone at once,
/// or their callers are told the truth.
#[test]
fn queued_tasks_run_in_another_zone() {
    for seed in 1..=6 {
        let mut sim = Simulation::with_evacuation(seed);
        // More than the targets of one zone run at once.
        sim.direct_callers_to(0);
        let ids: Vec<Id> = (0..10).map(|_| sim.submit(2, 14_000, 200)).collect();
        sim.run_for(20);
        sim.evacuate("a");
        sim.run_for(2_000);
        let is_answered = |id: &Id| {
            matches!(sim.outcomes(id), [Some(Outcome::Completed | Outcome::Refused { .. })])
        };
        assert!(
            ids.iter().all(is_answered),
            "seed {seed}: {:?}",
            sim.all_outcomes().collect::<Vec<_>>()
        );
        let is_completed = |id: &&Id| sim.outcomes(id) == [Some(Outcome::Completed)];
        assert!(ids.iter().filter(is_completed).count() >= 6, "seed {seed}");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// A job whose targets are all evacuated is refused at once; none that is refused has run.
#[test]
fn jobs_are_refused_while_both_zones_are_evacuated() {
    for seed in 1..=6 {
        let mut sim = Simulation::with_evacuation(seed);
        let before: Vec<Id> = (0..12).map(|_| sim.submit(2, 14_000, 300)).collect();
        sim.run_for(20);
        ZONES.iter().for_each(|zone| sim.evacuate(zone));
        sim.run_for(100);
        let is_refused = |sim: &Simulation, id: &Id| {
            let refusal = Refusal::NoSteward;
            let refused = Outcome::Refused { refusal, retry_after: Duration::from_secs(1) };
            sim.outcomes(id) == [Some(refused)]
        };
        let after = sim.submit(2, 14_000, 50);
        sim.run_for(10);
        assert!(is_refused(&sim, &after), "seed {seed}: {:?}", sim.outcomes(&after));
        sim.run_for(3_000);
        assert!(
            before.iter().any(|id| is_refused(&sim, id)),
            "seed {seed}: queued jobs are refused"
        );
        assert!(sim.tasks_evacuated() > 0, "seed {seed}");
        for id in before.iter().filter(|id| is_refused(&sim, id)) {
            assert!(!sim.starts.keys().any(|task| task.job == *id), "seed {seed}: {id} has run");
        }
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        sim.restore("b");
        sim.run_for(300);
        let id = sim.submit(2, 14_000, 50);
        sim.run_for(1_000);
        assert_eq!(sim.outcomes(&id), [Some(Outcome::Completed)], "seed {seed}");
    }
}

/// A key that names no zone is reported once by each host and changes nothing.
#[test]
fn an_unknown_zone_changes_nothing() {
    let mut sim = Simulation::with_evacuation(1);
    sim.evacuate("c");
    submit_for(&mut sim, 2_000);
    sim.evacuate("a");
    submit_for(&mut sim, 3_000);
    assert_eq!(sim.evacuation_records(), [4, 0, 4, 0]);
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// One faulty peer must not block what operators do later.
#[test]
fn a_peer_with_the_largest_revision_blocks_no_change() {
    let mut sim = Simulation::with_evacuation(1);
    let zones: Vec<Arc<str>> = vec!["b".into()];
    for revision in [u64::MAX, 1 << 53] {
        let notice = Notice { revision, zones: zones.clone() };
        ZONE_A.iter().for_each(|host| sim.forge(3, *host, Message::Evacuations(notice.clone())));
    }
    submit_for(&mut sim, 1_000);
    sim.evacuate("a");
    let starts = sim.starts_in("b");
    submit_for(&mut sim, 4_000);
    assert!(sim.starts_in("b") > starts);
    assert_eq!(sim.evacuation_records(), [4, 0, 0, 4]);
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// A host of a deployment whose zones can be evacuated, or not.
fn host(is_enabled: bool, clock: &Arc<ManualClock>) -> State {
    host_with(clock, Settings { is_enabled, ..Settings::default() })
}

/// A complete reading of the store.
fn reading(revision: u64, zones: &[&str]) -> Event {
    let change =
        |zone: &&str| Change { zone: (*zone).try_into().unwrap(), revision, is_evacuated: true };
    let changes = zones.iter().map(change).collect();
    let reading = Reading { is_complete: true, changes, revision, ..Reading::default() };
    Event::Store(Update::Evacuations(reading))
}

/// Delivers a heartbeat of a peer.
fn deliver_heartbeat(
    state: &mut State,
    incarnation: u64,
    (session, sequence): (u64, u64),
    reads_zones: bool,
) {
    let heartbeat = Message::Heartbeat(Heartbeat { reads_zones, ..Heartbeat::default() });
    let from = Identity { incarnation, ..identity("peer", "b", 250) };
    let batch = Batch { from, session, sequence, messages: vec![heartbeat] };
    state.handle(Event::Request(RequestId(1), Request::Deliver(batch)));
}

fn count_notices(actions: &[Action]) -> usize {
    actions.iter().filter(|one| matches!(one, Action::Send(_, Message::Evacuations(_)))).count()
}

/// Counts the notices to a peer after each of these steps: a batch of it, given as incarnation, session and sequence
/// number, or a reading. Guards against a process of the previous version that gets a message which it can't read,
/// and against a peer that is not told again.
fn tells(is_enabled: bool, reads_zones: bool, then: fn(&mut State), expected: [usize; 2]) {
    let clock = Arc::new(ManualClock::new());
    let mut state = host(is_enabled, &clock);
    state.handle(Event::Store(Update::Targets(vec![directory::tests::entry("t0", "a")].into())));
    state.handle(reading(5, &["a"]));
    let mut notices = Vec::new();
    deliver_heartbeat(&mut state, 7, (1, 1), reads_zones);
    let mut at_ms = 0;
    let mut advance = |state: &mut State| {
        at_ms += 60;
        clock.set(at_ms);
        notices.push(count_notices(&state.advance()));
    };
    advance(&mut state);
    then(&mut state);
    advance(&mut state);
    assert_eq!(notices, expected);
}

cases! { tells:
    a_peer_once(true, true, |state| deliver_heartbeat(state, 7, (1, 2), true), [1, 0]);
    nobody_where_zones_can_not_be_evacuated(
        false, true, |state| deliver_heartbeat(state, 7, (1, 2), true), [0, 0]);
    no_process_of_the_previous_version(true, false, |state| state.handle(reading(6, &[])), [0, 0]);
    a_process_that_was_upgraded(true, false, |state| deliver_heartbeat(state, 8, (1, 1), true), [0, 1]);
    a_process_that_restarted(true, true, |state| deliver_heartbeat(state, 8, (1, 1), true), [1, 1]);
    a_peer_with_a_new_session(true, true, |state| deliver_heartbeat(state, 7, (2, 1), true), [1, 1]);
    a_peer_of_a_change(true, true, |state| state.handle(reading(6, &[])), [1, 1]);
    a_peer_of_no_later_reading_of_the_same(true, true, |state| state.handle(reading(6, &["a"])), [1, 0]);
    no_peer_that_has_told_the_same(true, true, |state| {
        let from = Identity { incarnation: 7, ..identity("peer", "b", 250) };
        let notice = Message::Evacuations(Notice { revision: 8, zones: vec!["a".into(), "b".into()] });
        let batch = Batch { from, session: 1, sequence: 2, messages: vec![notice] };
        state.handle(Event::Request(RequestId(1), Request::Deliver(batch)));
    }, [1, 0]);
}

/// A host that has just started reads the evacuated zones, or hears of them, before it claims its zone. Guards
/// against starts in a zone that was evacuated before the host started.
fn claims_its_zone(update: Option<Update>, after_ms: u64, expected: bool) {
    let clock = Arc::new(ManualClock::new());
    let mut state = host(true, &clock);
    let mut actions = Vec::new();
    if let Some(update) = update {
        state.handle(Event::Store(update));
    }
    for at_ms in (0..=after_ms).step_by(50) {
        clock.set(at_ms);
        let targets = Update::Targets(vec![directory::tests::entry("t0", "a")].into());
        state.handle(Event::Store(targets));
        actions.extend(state.advance());
    }
    let is_claim =
        |action: &Action| matches!(action, Action::Record(Record::StewardshipTaken { .. }));
    assert_eq!(actions.iter().any(is_claim), expected);
}

cases! { claims_its_zone:
    once_it_knows_the_evacuated_zones(
        Some(Update::Evacuations(Reading { is_complete: true, revision: 5, ..Reading::default() })), 700, true);
    not_before(None, 1_500, false);
    not_before_although_the_store_is_lost(Some(Update::Lost(Error::Unreachable)), 1_500, false);
    in_the_end_if_nobody_tells(Some(Update::Lost(Error::Unreachable)), 2_500, true);
}

/// The dump shows the zones to operators.
#[test]
fn the_dump_lists_evacuated_zones() {
    let clock = Arc::new(ManualClock::new());
    let mut state = host(true, &clock);
    state.handle(Event::Store(Update::Targets(vec![directory::tests::entry("t0", "a")].into())));
    state.handle(reading(5, &["a", "unknown"]));
    state.handle(Event::Request(RequestId(3), Request::Dump));
    let dump = state.advance().into_iter().find_map(|action| match action {
        Action::Respond(RequestId(3), Response::Dump(dump)) => Some(dump),
        _ => None,
    });
    assert_eq!(dump.unwrap()["evacuated_zones"], serde_json::json!(["a"]));
}
