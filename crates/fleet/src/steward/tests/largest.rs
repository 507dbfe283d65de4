//! Targets and stewards that say the largest numbers there are.

use coltsfootshunt_testkit::cases;

use super::*;

/// Targets with so many thousandths of a core, megabytes and accelerators each.
fn bench(targets: usize, each: u64) -> Bench {
    let mut bench = Bench::new(targets);
    let mut entries: Vec<_> = bench.directory.iter().cloned().collect();
    let resources = Resources { cpu_millis: each, memory_mb: each, accelerators: each };
    entries.iter_mut().for_each(|entry| entry.capacity = resources);
    bench.directory.replace(entries, bench.now);
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    bench
}

/// Tasks of a job that take so many thousandths of a core each start where there is room.
fn starts_tasks(each: u64, cpu_millis: u64, wanted: usize) {
    let mut bench = bench(3, each);
    let mut assignment = assignment(1, 6);
    assignment
        .tasks
        .iter_mut()
        .for_each(|part| part.requirements.resources.cpu_millis = cpu_millis);
    bench.accept_assignment(assignment, "owner");
    let before = bench.steward.load(&bench.membership, &bench.speeds, bench.now);
    assert!(before.slots > 0, "{before:?}");
    assert_eq!(starts(&bench.dispatch()), wanted);
    // What more comes is weighed against what runs.
    bench.accept(2, 2, "owner");
    bench.dispatch();
    assert!(bench.steward.load(&bench.membership, &bench.speeds, bench.now).slots > 0);
}

cases! { starts_tasks:
    that_are_small_where_all_fit(u64::MAX, 1, 6);
    that_ask_for_nothing(u64::MAX, 0, 6);
    of_the_usual_size(u64::MAX, 14_000, 6);
    of_half_a_target(u64::MAX, u64::MAX / 2, 6);
    of_a_whole_target(u64::MAX, u64::MAX, 3);
    where_two_targets_are_beyond_the_largest_number(u64::MAX / 2 + 1, 1, 6);
}

/// What waits here goes to other stewards that say that they have the most places there can be.
#[test]
fn others_may_have_any_number_of_places() {
    let mut bench = Bench::new(1);
    for (name, zone) in [("other", "b"), ("third", "c")] {
        bench.membership.record_contact(&identity(name, zone, 250), bench.now);
        let claims = vec![Claim { zone: Zone::try_from(zone).unwrap(), token: Token(2) }];
        let most = u32::MAX;
        let load = Load {
            free_slots: most,
            free_fast_slots: most,
            slots: most,
            queued_long: most,
            ..Load::default()
        };
        let load = Load { fast_ends_ms: [Some(most); 8], waits_ms: [most; 6], ..load };
        let beat = Heartbeat { claims, load, ..Heartbeat::default() };
        bench.membership.record_heartbeat(&Host::try_from(name).unwrap(), beat);
    }
    bench.accept(1, 6, "owner");
    assert_eq!(starts(&bench.dispatch()), 2);
    bench.now += Duration::from_millis(40);
    let returned = bench.dispatch().completions;
    assert_eq!(returned.iter().filter(|(_, one)| one.end == End::NotRun).count(), 4);
}

/// A target's clock is near the largest number there is; what runs there ends as usual.
fn bears_a_clock(clock_ms: u64) {
    let mut bench = Bench::new(1);
    bench.accept(1, 2, "owner");
    let calls = bench.dispatch().calls;
    for call in calls.iter().filter(|call| started(call).is_some()) {
        bench.answer(call, Response::Accepted { clock_ms });
    }
    bench.now += Duration::from_millis(60);
    for call in bench.tend().calls {
        let report = Report { clock_ms, started_at_ms: Some(u64::MAX), ..Report::default() };
        bench.answer(&call, Response::Report(report));
    }
    bench.accept(2, 2, "owner");
    bench.dispatch();
    bench.tend();
}

cases! { bears_a_clock:
    at_the_largest_number(u64::MAX);
    short_of_it(u64::MAX - 100);
}

/// Tokens rise whatever another host says that its own is.
fn makes_tokens(heard: u64) {
    let mut issuer = Issuer::new(1);
    issuer.observe(Token(heard));
    let first = issuer.next(SystemTime::UNIX_EPOCH);
    let second = issuer.next(SystemTime::UNIX_EPOCH);
    assert!(first < second, "{first} {second}");
    assert!(second < Token(u64::MAX));
}

cases! { makes_tokens:
    behind_none(0);
    behind_a_usual_one(1 << 52);
    behind_the_largest_number(u64::MAX);
    behind_one_that_is_short_of_it(u64::MAX - 1);
}
