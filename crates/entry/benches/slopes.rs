//! Cost of control work as a function of scale: time, bytes and memory by number of entries,
//! targets, teams and kept submissions. Prints one table for the capacity page.

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
    println!("| quantity | size | value |");
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

/// Prints one row of the table.
fn row(quantity: &str, size: usize, value: &str) {
    println!("| {quantity} | {size} | {value} |");
}

/// Returns the mean time of a step, in microseconds.
fn mean_micros(rounds: usize, mut step: impl FnMut(usize)) -> f64 {
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
    Zone::try_from(format!("zone-{number}")).expect("the name is valid")
}

fn status(number: usize, zone_number: usize) -> Status {
    Status {
        host: Host::try_from(format!("entry-{number}")).expect("the name is valid"),
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

fn heartbeat(number: usize, others: Option<Vec<Status>>) -> Heartbeat {
    Heartbeat {
        status: status(number, 0),
        round: 1_000_000,
        echo: Some(1_000_000),
        departures: Departures::new(1, BTreeSet::new()),
        borrowed: Vec::new(),
        others,
    }
}

/// Size and cost of a heartbeat among `size` entries in 12 zones.
fn heartbeats(size: usize) {
    const ZONES: usize = 12;
    let text = serde_json::to_string(&heartbeat(1, None)).expect("the value serializes");
    row("bytes of a heartbeat without a list, entries", size, &text.len().to_string());
    let others: Vec<_> = (0..size).map(|number| status(number, number % ZONES)).collect();
    let full = heartbeat(1, Some(others));
    let text = serde_json::to_string(&full).expect("the value serializes");
    row("bytes of a heartbeat with the list, entries", size, &text.len().to_string());
    let Status { host, zone, incarnation, address, weight, .. } = status(0, 0);
    let mut membership = Membership::new(Identity { host, zone, incarnation, address, weight }, []);
    let now = Instant::now();
    membership.record_heartbeat(&full, now);
    let plain = serde_json::to_string(&heartbeat(1, None)).expect("the value serializes");
    let time = mean_micros(2_000, |_| {
        let heartbeat: Heartbeat = serde_json::from_str(&plain).expect("the text parses");
        membership.record_heartbeat(&heartbeat, now);
        let _ = serde_json::to_string(&heartbeat);
    });
    row("us to decode, record and encode a heartbeat, entries", size, &format!("{time:.1}"));
    let time = mean_micros(200, |_| {
        let heartbeat: Heartbeat = serde_json::from_str(&text).expect("the text parses");
        membership.record_heartbeat(&heartbeat, now);
    });
    row("us to decode and record a heartbeat with the list, entries", size, &format!("{time:.0}"));
}

fn config(targets: usize) -> Config {
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
    draft.try_into().expect("the draft is valid")
}

/// Size and decoding time of a configuration with `size` targets.
fn configuration(size: usize) {
    let document = Document::after(None, Uuid::nil(), config(size));
    let text = serde_json::to_string(&document).expect("the value serializes");
    row("bytes of the configuration, targets", size, &text.len().to_string());
    let time = mean_micros(10, |_| {
        let parsed: Document = serde_json::from_str(&text).expect("the text parses");
        assert_eq!(parsed.config.targets.len(), size);
    });
    row("us to decode the configuration, targets", size, &format!("{time:.0}"));
}

/// Time to assign one zone's targets to 25 members.
fn stewardship(size: usize) {
    let config = config(size);
    let members: Vec<_> = (0..25).map(|n| (Incarnation(n * 0x9E37_79B9 + 1), 1)).collect();
    let zone = zone(0);
    let time = mean_micros(20, |_| {
        let in_zone = config.targets.iter().filter(|target| target.zone == zone);
        let assigned = assign(in_zone.map(|target| (&target.name, target.slots)), &members);
        assert!(!assigned.is_empty());
    });
    row(
        "us to assign a zone's targets to 25 members, targets of 12 zones",
        size,
        &format!("{time:.0}"),
    );
}

/// Time to choose the next task with `size` teams in the queue.
fn teams(size: usize) {
    let now = Instant::now();
    let shares = Shares::default();
    let kind = Kind::try_from("kind").expect("the name is valid");
    let mut queue = Queue::default();
    for number in 0..size * 100 {
        let team = Team::try_from(format!("team-{}", number % size)).expect("the name is valid");
        let lane = Lane { team, kind: kind.clone() };
        queue.push(lane, number as u64, now, Duration::from_millis(1), 0..10);
    }
    let time = mean_micros(20_000, |_| {
        assert!(queue.peek(&shares, 400, |_| true).is_some());
    });
    row("us to choose the next task, teams with queued tasks", size, &format!("{time:.2}"));
}

/// Time and memory of `size` submissions with 10 tasks each, from start to kept answer.
fn submissions(size: usize) {
    let now = Instant::now();
    let limits = Limits { max_retained_bytes: usize::MAX, ..Limits::default() };
    let mut registry = Registry::new(zone(0), Incarnation(1), limits);
    let input = RawValue::from_string("{\"stand\":\"A1\"}".to_owned()).expect("the text is JSON");
    let draft = Draft {
        team: "team".to_owned(),
        kind: "kind".to_owned(),
        deadline_ms: Some(1_000),
        tasks: vec![input.clone().into(); 10],
    };
    let job = std::sync::Arc::new(Job::try_from(draft).expect("the draft is valid"));
    registry.issue(size, now).expect("the registry has capacity");
    let before = resident();
    let target = Target::try_from("target").expect("the name is valid");
    let time = mean_micros(size, |sequence| {
        let mut open = Open::new(std::sync::Arc::clone(&job), 1, false, now);
        for task in 0..10 {
            open.try_start(task, &target, now);
        }
        registry.open(sequence as u64, open);
        let outputs = (0..10).map(|_| input.clone().into()).collect();
        registry.close(sequence as u64, Answer::Complete { outputs }, now);
    });
    let bytes = resident().saturating_sub(before) / size;
    row(
        "us to open a submission, start 10 tasks and close it, kept submissions",
        size,
        &format!("{time:.2}"),
    );
    row("bytes per kept submission of 10 tasks, kept submissions", size, &bytes.to_string());
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}
