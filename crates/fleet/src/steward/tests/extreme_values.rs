//! Targets and stewards that report extreme numbers.

use coltsfootshunt_testkit::cases;

use super::*;

/// Creates targets with `each` thousandths of a core, megabytes and accelerators.
fn bench_with_capacity(targets: usize, each: u64) -> Bench {
    let mut bench = Bench::new(targets);
    let mut entries: Vec<_> = bench.directory.iter().cloned().collect();
    let resources = Resources { cpu_millis: each, memory_mb: each, accelerators: each };
    entries.iter_mut().for_each(|entry| entry.capacity = resources);
    bench.directory.replace(entries, bench.now);
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    bench
}

/// Tasks that take `cpu_millis` thousandths of a core start where they fit on targets with `each`.
fn starts_sized_tasks(each: u64, cpu_millis: u64, wanted: usize) {
    let mut bench = bench_with_capacity(3, each);
    let mut assignment = assignment(1, 6);
    assignment
        .tasks
        .iter_mut()
        .for_each(|item| item.requirements.resources.cpu_millis = cpu_millis);
    bench.enqueue_assignment(assignment, "owner");
    let before = bench.steward.load(&bench.membership, &bench.speeds, bench.now);
    assert!(before.slots > 0, "{before:?}");
    assert_eq!(count_starts(&bench.dispatch()), wanted);
    // Further tasks are compared with the running ones.
    bench.enqueue(2, 2, "owner");
    bench.dispatch();
    assert!(bench.steward.load(&bench.membership, &bench.speeds, bench.now).slots > 0);
}

cases! { starts_sized_tasks:
    small_ones_where_all_fit(u64::MAX, 1, 6);
    without_requirements(u64::MAX, 0, 6);
    of_average_size(u64::MAX, 14_000, 6);
    of_half_a_target(u64::MAX, u64::MAX / 2, 6);
    of_a_whole_target(u64::MAX, u64::MAX, 3);
    where_the_sum_of_two_targets_overflows(u64::MAX / 2 + 1, 1, 6);
}

/// Queued tasks are returned while other stewards report the maximum number of free slots.
#[test]
fn other_stewards_may_report_any_number_of_slots() {
    let mut bench = Bench::new(1);
    for (name, zone) in [("other", "b"), ("third", "c")] {
        bench.membership.record_contact(&identity(name, zone, 250), bench.now);
        let claims = vec![Claim { zone: Zone::try_from(zone).unwrap(), token: Token(2) }];
        let max = u32::MAX;
        let load = Load {
            free_slots: max,
            free_fast_slots: max,
            slots: max,
            queued_long: max,
            ..Load::default()
        };
        let load = Load { fast_ends_ms: [Some(max); 8], waits_ms: [max; 6], ..load };
        let heartbeat = Heartbeat { claims, load, ..Heartbeat::default() };
        bench.membership.record_heartbeat(&Host::try_from(name).unwrap(), heartbeat);
    }
    bench.enqueue(1, 6, "owner");
    assert_eq!(count_starts(&bench.dispatch()), 2);
    bench.now += Duration::from_millis(40);
    let returned = bench.dispatch().completions;
    assert_eq!(returned.iter().filter(|(_, one)| one.end == End::NotRun).count(), 4);
}

/// A target reports a clock near the maximum; its runs end as usual.
fn accepts_clock(clock_ms: u64) {
    let mut bench = Bench::new(1);
    bench.enqueue(1, 2, "owner");
    let calls = bench.dispatch().calls;
    for call in calls.iter().filter(|call| started_task(call).is_some()) {
        bench.handle_response(call, Response::Accepted { clock_ms });
    }
    bench.now += Duration::from_millis(60);
    for call in bench.maintain().calls {
        let report = Report { clock_ms, started_at_ms: Some(u64::MAX), ..Report::default() };
        bench.handle_response(&call, Response::Report(report));
    }
    bench.enqueue(2, 2, "owner");
    bench.dispatch();
    bench.maintain();
}

cases! { accepts_clock:
    at_the_maximum(u64::MAX);
    near_the_maximum(u64::MAX - 100);
}

/// New tokens rise, whatever token another host reports.
fn issues_rising_tokens(observed: u64) {
    let mut issuer = Issuer::new(1);
    issuer.observe(Token(observed), Duration::ZERO);
    let first = issuer.next(SystemTime::UNIX_EPOCH);
    let second = issuer.next(SystemTime::UNIX_EPOCH);
    assert!(first < second, "{first} {second}");
    assert!(second < Token(u64::MAX));
}

cases! { issues_rising_tokens:
    after_none(0);
    after_a_usual_one(1 << 52);
    after_the_maximum(u64::MAX);
    after_one_below_the_maximum(u64::MAX - 1);
}
