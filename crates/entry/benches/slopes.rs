//! Slopes for the capacity page: time, bytes and memory of control against the number of entries,
//! targets, teams and kept submissions. Prints one table.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::Answer;
use coltsfootshunt_core::config::{
    Config, Document, Draft as Configuration, KindDraft, Resources, Revision, TargetDraft,
    TeamDraft,
};
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_core::name::{Host, Kind, Target, Team, Zone};
use coltsfootshunt_core::submission::Incarnation;
use coltsfootshunt_entry::dispatch::{Lane, Queue};
use coltsfootshunt_entry::member::{Heartbeat, Identity, Membership, Status, assign};
use coltsfootshunt_entry::quota::Shares;
use coltsfootshunt_entry::submission::{Limits, Open, Registry};
use coltsfootshunt_entry::target::Departures;
use serde_json::value::RawValue;
use uuid::Uuid;

fn main() {
    println!("| what | size | figure |");
    println!("|---|---:|---:|");
    for size in [8, 32, 128, 512] {
        heartbeats(size);
    }
    for size in [50, 1_000, 18_000] {
        configuration(size);
        stewardship(size);
    }
    for size in [2, 20, 69] {
        teams(size);
    }
    for size in [1_000, 10_000, 100_000] {
        submissions(size);
    }
}

fn row(what: &str, size: usize, figure: &str) {
    println!("| {what} | {size} | {figure} |");
}

/// Mean time of a step, in microseconds.
fn micros(rounds: usize, mut step: impl FnMut(usize)) -> f64 {
    let began = Instant::now();
    for round in 0..rounds {
        step(round);
    }
    began.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, high, low)), 7_000)
}

fn zone(number: usize) -> Zone {
    Zone::try_from(format!("zone-{number}")).expect("a name")
}

fn brief(number: usize, zone_number: usize) -> Status {
    Status {
        host: Host::try_from(format!("entry-{number}")).expect("a name"),
        zone: zone(zone_number),
        incarnation: Incarnation(0x0123_4567_0000_0000 + number as u64),
        address: address(number),
        weight: 1,
        slots: 400,
        idle: 100,
        waiting: 0,
        revision: Revision(43_000),
        draining: false,
        inherited: Vec::new(),
    }
}

fn beat(number: usize, others: Option<Vec<Status>>) -> Heartbeat {
    Heartbeat {
        status: brief(number, 0),
        round: 1_000_000,
        echo: Some(1_000_000),
        departures: Departures::new(1, BTreeSet::new()),
        borrowed: Vec::new(),
        others,
    }
}

/// A heartbeat among `size` entries, a twelfth of them in the same zone.
fn heartbeats(size: usize) {
    const ZONES: usize = 12;
    let text = serde_json::to_string(&beat(1, None)).expect("it serializes");
    row("bytes of a heartbeat without a list, entries", size, &text.len().to_string());
    let others: Vec<_> = (0..size).map(|number| brief(number, number % ZONES)).collect();
    let full = beat(1, Some(others));
    let text = serde_json::to_string(&full).expect("it serializes");
    row("bytes of a heartbeat with the list, entries", size, &text.len().to_string());
    let Status { host, zone, incarnation, address, weight, .. } = brief(0, 0);
    let mut roster = Membership::new(Identity { host, zone, incarnation, address, weight }, []);
    let now = Instant::now();
    roster.record_heartbeat(&full, now);
    let plain = serde_json::to_string(&beat(1, None)).expect("it serializes");
    let time = micros(2_000, |_| {
        let beat: Heartbeat = serde_json::from_str(&plain).expect("it parses");
        roster.record_heartbeat(&beat, now);
        let _ = serde_json::to_string(&beat);
    });
    row("us to take in and answer a heartbeat, entries", size, &format!("{time:.1}"));
    let time = micros(200, |_| {
        let beat: Heartbeat = serde_json::from_str(&text).expect("it parses");
        roster.record_heartbeat(&beat, now);
    });
    row("us to take in the list, entries", size, &format!("{time:.0}"));
}

fn plan(targets: usize) -> Config {
    let target = |number: usize| TargetDraft {
        name: format!("carving-station-{number}"),
        zone: format!("zone-{}", number % 12),
        address: address(number),
        slots: 8,
        connections: 64,
        has: Resources { cores: 32, memory_mib: 131_072, accelerators: 2 },
    };
    let kind = |number| KindDraft {
        name: format!("kind-{number}"),
        idempotent: false,
        rerun_lost: false,
        expected_ms: 100,
        needs: Resources::default(),
    };
    let draft = Configuration {
        teams: (0..69).map(|n| TeamDraft { name: format!("team-{n}"), share: 1 }).collect(),
        kinds: (0..100).map(kind).collect(),
        targets: (0..targets).map(target).collect(),
    };
    draft.try_into().expect("the draft is whole")
}

fn configuration(size: usize) {
    let document = Document::after(None, Uuid::nil(), plan(size));
    let text = serde_json::to_string(&document).expect("it serializes");
    row("bytes of the configuration, targets", size, &text.len().to_string());
    let time = micros(10, |_| {
        let parsed: Document = serde_json::from_str(&text).expect("it parses");
        assert_eq!(parsed.config.targets.len(), size);
    });
    row("us to read the configuration, targets", size, &format!("{time:.0}"));
}

fn stewardship(size: usize) {
    let plan = plan(size);
    let members: Vec<_> = (0..25).map(|n| (Incarnation(n * 0x9E37_79B9 + 1), 1)).collect();
    let here = zone(0);
    let time = micros(20, |_| {
        let near = plan.targets.iter().filter(|target| target.zone == here);
        let assigned = assign(near.map(|target| (&target.name, target.slots)), &members);
        assert!(!assigned.is_empty());
    });
    row(
        "us to settle a zone's stewardship among 25, targets of 12 zones",
        size,
        &format!("{time:.0}"),
    );
}

fn teams(size: usize) {
    let now = Instant::now();
    let shares = Shares::default();
    let kind = Kind::try_from("kind").expect("a name");
    let mut queue = Queue::default();
    for number in 0..size * 100 {
        let team = Team::try_from(format!("team-{}", number % size)).expect("a name");
        let lane = Lane { team, kind: kind.clone() };
        queue.push(lane, number as u64, now, Duration::from_millis(1), 0..10);
    }
    let time = micros(20_000, |_| {
        assert!(queue.peek(&shares, 400, |_| true).is_some());
    });
    row("us to choose the next task, teams with work waiting", size, &format!("{time:.2}"));
}

fn submissions(size: usize) {
    let now = Instant::now();
    let limits = Limits { max_retained_bytes: usize::MAX, ..Limits::default() };
    let mut ledger = Registry::new(zone(0), Incarnation(1), limits);
    let input = RawValue::from_string("{\"stand\":\"A1\"}".to_owned()).expect("JSON");
    let draft = Draft {
        team: "team".to_owned(),
        kind: "kind".to_owned(),
        deadline_ms: Some(1_000),
        tasks: vec![input.clone().into(); 10],
    };
    let job = std::sync::Arc::new(Job::try_from(draft).expect("the draft is whole"));
    ledger.issue(size, now).expect("there is room");
    let before = resident();
    let target = Target::try_from("target").expect("a name");
    let time = micros(size, |sequence| {
        let mut open = Open::new(std::sync::Arc::clone(&job), 1, false, now);
        for task in 0..10 {
            open.try_start(task, &target, now);
        }
        ledger.open(sequence as u64, open);
        let outputs = (0..10).map(|_| input.clone().into()).collect();
        ledger.close(sequence as u64, Answer::Complete { outputs }, now);
    });
    let bytes = resident().saturating_sub(before) / size;
    row("us to open, start 10 tasks and close, kept submissions", size, &format!("{time:.2}"));
    row("bytes a kept submission of 10 tasks, kept submissions", size, &bytes.to_string());
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}
