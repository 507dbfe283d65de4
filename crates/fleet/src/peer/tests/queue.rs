//! Order of messages on a link that carries less than what is sent.

use std::time::Duration;

use coltsfootshunt_core::name::{Kind, Service, Zone};
use coltsfootshunt_testkit::cases;
use tokio::time::Instant;

use crate::evacuation::Notice;
use crate::job::{Assignment, Grant, Id, Task};
use crate::member::split::{Rank, SplitNotice};
use crate::member::tests::identity;
use crate::member::{Echo, Heartbeat};
use crate::peer::{Full, Message, Queue};
use crate::routing::Load;

fn completed() -> Message {
    Message::Completed(Vec::new(), Load::default())
}

fn cancel(generation: u64) -> Message {
    Message::Cancel(Id::try_from("0000000000000001").unwrap(), generation)
}

fn heartbeat(config_version: u64) -> Message {
    Message::Heartbeat(Heartbeat { config_version, ..Heartbeat::default() })
}

fn hosts(count: usize) -> Message {
    Message::Hosts(vec![identity("y", "b", 250); count])
}

fn speeds() -> Message {
    Message::Speeds { targets: Vec::new(), kinds: Vec::new() }
}

fn notice(revision: u64) -> Message {
    Message::Evacuations(Notice { revision, zones: Vec::new() })
}

fn split() -> Message {
    let zone = Zone::try_from("a").unwrap();
    Message::Split(SplitNotice { zone, rank: Rank::default(), active: None, proposed: None })
}

/// Kinds of the messages of each batch.
fn batches(messages: &[Message], waited_ms: u64, expected: &[&[&str]]) {
    let start = Instant::now();
    let mut queue = Queue::default();
    messages.iter().for_each(|message| queue.push(message.clone(), start).unwrap());
    let now = start + Duration::from_millis(waited_ms);
    let mut batches = Vec::new();
    while !queue.is_empty() {
        let batch = queue.next_batch(now);
        batches.push(batch.iter().map(|(message, _)| message.kind()).collect::<Vec<_>>());
    }
    assert_eq!(batches, expected);
}

cases! { batches:
    messages_on_jobs_before_all_others(
        &[speeds(), hosts(1), heartbeat(1), cancel(1), completed()],
        0,
        &[&["cancel", "completed", "heartbeat"], &["hosts"], &["speeds"]],
    );
    a_list_that_waited_long_along_with_them(
        &[speeds(), cancel(1)],
        500,
        &[&["cancel", "speeds"]],
    );
    the_state_of_a_split_with_messages_on_jobs(
        &[hosts(1), split(), split(), completed()],
        0,
        &[&["completed", "split"], &["hosts"]],
    );
    only_the_last_heartbeat(&[heartbeat(1), heartbeat(2), heartbeat(3)], 0, &[&["heartbeat"]]);
    only_the_last_notice(&[notice(1), notice(2), notice(3)], 0, &[&["evacuations"]]);
    only_the_last_list(&[hosts(1), hosts(2), hosts(3)], 0, &[&["hosts"]]);
}

fn job() -> Id {
    Id::try_from("0000000000000001").unwrap()
}

fn run(generation: u64) -> Message {
    Message::Run(Assignment {
        job: job(),
        generation,
        kind: Kind::try_from("cut").unwrap(),
        service: Service::try_from("mill").unwrap(),
        priority: 0,
        spec: "work".into(),
        objective_in_ms: 100,
        deadline_in_ms: 1_500,
        width: 1,
        started: false,
        shared: false,
        tasks: Vec::new(),
        echo: None,
    })
}

fn grant(generations: &[u64]) -> Message {
    let task = Task { job: job(), step: 0, index: 0 };
    let grant = |generation: &u64| Grant {
        task: task.clone(),
        generation: *generation,
        sequence: 1,
        run: 1,
        echo: None,
    };
    Message::Grant(generations.iter().map(grant).collect())
}

/// Guards against a task that runs twice: a host hears the owner of a job that was given up, batch after
/// batch, and keeps the job's tasks alive, while the cancellation waits behind other messages on jobs.
#[test]
fn a_cancellation_waits_behind_other_messages() {
    let now = Instant::now();
    let mut queue = Queue::default();
    (0..500).for_each(|_| queue.push(completed(), now).unwrap());
    queue.push(cancel(1), now).unwrap();
    let batch = queue.next_batch(now);
    let cancels = batch.iter().filter(|(message, _)| matches!(message, Message::Cancel(..)));
    assert_eq!((batch.len(), cancels.count()), (64, 1));
}

/// Guards against a task that starts after its job was given up: what hands it to the steward must not
/// follow the cancellation. Other generations of the job are not concerned.
fn keeps(messages: &[Message], expected: &[&str]) {
    let now = Instant::now();
    let mut queue = Queue::default();
    messages.iter().for_each(|message| queue.push(message.clone(), now).unwrap());
    let batch = queue.next_batch(now);
    assert_eq!(batch.iter().map(|(message, _)| message.kind()).collect::<Vec<_>>(), expected);
}

cases! { keeps:
    no_tasks_of_a_job_that_was_given_up(&[run(1), cancel(1)], &["cancel"]);
    the_tasks_of_its_next_generation(&[run(1), cancel(1), run(2)], &["cancel", "run"]);
    the_tasks_of_another_generation(&[run(2), cancel(1)], &["cancel", "run"]);
    no_grant_of_a_job_that_was_given_up(&[grant(&[1]), cancel(1)], &["cancel"]);
    the_grants_of_another_generation(&[grant(&[1, 2]), cancel(1)], &["cancel", "grant"]);
}

/// Messages on jobs stay in order and none is left out.
#[test]
fn messages_on_jobs_keep_their_order() {
    let now = Instant::now();
    let mut queue = Queue::default();
    (0..500).for_each(|number| queue.push(cancel(number), now).unwrap());
    let mut generations = Vec::new();
    while !queue.is_empty() {
        let batch = queue.next_batch(now);
        assert!(batch.len() <= 64);
        generations.extend(batch.into_iter().map(|(message, _)| match message {
            Message::Cancel(_, generation) => generation,
            other => panic!("{other:?}"),
        }));
    }
    assert_eq!(generations, (0..500).collect::<Vec<_>>());
}

/// Guards against a word that overtakes the cancelling of a job: a heartbeat goes along with the first of many
/// messages on jobs. Counts the messages that wait, and says whether the heartbeat of the first batch is a word.
fn heartbeat_is_word(waiting: u64, expected: bool) {
    let now = Instant::now();
    let mut queue = Queue::default();
    (0..waiting).for_each(|number| queue.push(cancel(number), now).unwrap());
    let echo = Some(Echo { stamp_ms: 1, held_ms: 2 });
    let heartbeat = Heartbeat { stamp_ms: Some(3), echo, ..Heartbeat::default() };
    queue.push(Message::Heartbeat(heartbeat), now).unwrap();
    let batch = queue.next_batch(now);
    let Some((Message::Heartbeat(sent), _)) = batch.last() else { panic!("{batch:?}") };
    assert_eq!((sent.stamp_ms, sent.echo.is_some()), (Some(3), expected));
}

cases! { heartbeat_is_word:
    without_messages_on_jobs(0, true);
    after_all_messages_on_jobs(64, true);
    not_ahead_of_messages_on_jobs(65, false);
}

/// Guards against a host that never answers and fills the memory of those that send to it.
#[test]
fn the_queue_is_bounded() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let full = (0..5_000).find(|number| queue.push(cancel(*number), now) == Err(Full));
    assert_eq!(full, Some(4_096));
    (0..5_000).for_each(|_| queue.push(hosts(1), now).unwrap());
    queue.clear();
    assert!(queue.is_empty());
}

/// Plays 10 s of a steward's messages on a link of 250 kB a second and returns the longest wait of a message
/// on jobs: for each of 17 hosts one heartbeat in 100 ms, learned speeds and a list of hosts each second,
/// and 70 ends a second.
fn longest_wait(
    next_batch: impl Fn(&mut Queue, &mut Vec<Message>, Instant) -> Vec<Message>,
) -> Duration {
    const BYTES_PER_S: f64 = 250_000.0;
    let start = Instant::now();
    let (mut queue, mut first_come) = (Queue::default(), Vec::new());
    let (mut free_at, mut longest) = (start, Duration::ZERO);
    let mut sent_at: Vec<Instant> = Vec::new();
    for ms in 0..10_000_u64 {
        let now = start + Duration::from_millis(ms);
        let mut push = |message: Message| {
            queue.push(message.clone(), now).unwrap();
            first_come.push(message);
        };
        // The heartbeats of 17 hosts share the link, so one queue stands for all of them.
        if ms % 6 == 0 {
            push(heartbeat(ms));
        }
        if ms % 59 == 0 {
            push(hosts(96));
        }
        if ms % 14 == 0 {
            push(cancel(sent_at.len() as u64));
            sent_at.push(now);
        }
        while free_at <= now {
            let batch = next_batch(&mut queue, &mut first_come, now);
            if batch.is_empty() {
                break;
            }
            for message in batch {
                let bytes = serde_json::to_vec(&message).unwrap().len() + 250;
                free_at = free_at.max(now) + Duration::from_secs_f64(bytes as f64 / BYTES_PER_S);
                if let Message::Cancel(_, number) = message {
                    longest = longest.max(free_at - sent_at[usize::try_from(number).unwrap()]);
                }
            }
        }
    }
    longest
}

/// Load pattern: a steward on a link of 2 Mbit/s that sends 300 kB a second of lists and heartbeats.
#[test]
fn messages_on_jobs_are_not_late_behind_lists() {
    let ordered = longest_wait(|queue, _, now| {
        queue.next_batch(now).into_iter().map(|(message, _)| message).collect()
    });
    let first_come =
        longest_wait(|_, first_come, _| first_come.drain(..first_come.len().min(1)).collect());
    assert!(ordered < Duration::from_millis(150), "{ordered:?}");
    assert!(first_come > Duration::from_secs(1), "{first_come:?}");
}
