use coltsfootshunt_core::name::{Kind, Label, Service, Target, Zone};
use coltsfootshunt_testkit::cases;
use serde_json::value::{RawValue, to_raw_value};

use super::{Frame, FrameError, Senders, Session};
use crate::job::{Assignment, Completion, End, Id, Item, Requirements, Resources, Task};
use crate::lease::{Suffix, Token};
use crate::member::split::{Member, Rank, ShareNotice, Split, SplitNotice};
use crate::member::tests::identity;
use crate::member::{Claim, Echo, Heartbeat, Identity};
use crate::peer::{Ack, Batch, Message};
use crate::routing::Load;

const SESSION: u64 = 3;

fn sender(incarnation: u64) -> Identity {
    Identity { incarnation, ..identity("x", "a", 250) }
}

fn batch(session: u64, sequence: u64, messages: Vec<Message>) -> Batch {
    Batch { from: sender(7), session, sequence, messages }
}

fn load() -> Load {
    let fast_ends_ms = [Some(12), Some(48), None, None, None, None, None, None];
    let waits_ms = [15, 37, 88, 140, 262, u32::MAX];
    Load { free_slots: 3, slots: 64, fast_ends_ms, waits_ms, ..Load::default() }
}

fn heartbeat(version: u64) -> Heartbeat {
    let claim = Claim { zone: Zone::try_from("a").unwrap(), token: Token(5) };
    Heartbeat {
        claims: vec![claim],
        busy_targets: vec![Target::try_from("t-1").unwrap()],
        is_stopping: true,
        load: load(),
        config_version: version,
        highest_token: Token(u64::MAX),
        token_suffix: Some(Suffix::from(7)),
        next_in_ms: Some(250),
        stamp_ms: Some(4_294_967_295),
        echo: Some(Echo { stamp_ms: 9, held_ms: 250 }),
        ..Heartbeat::default()
    }
}

fn job() -> Id {
    Id::try_from("5c0e7a21d94b36f8").unwrap()
}

fn completions() -> Message {
    let completion = |index, end| Completion {
        task: Task { job: job(), step: 1, index },
        generation: 9,
        run: 2,
        sequence: 4,
        end,
    };
    Message::Completed(vec![completion(0, End::Done), completion(1, End::Unresolved)], load())
}

fn assignment(shared: bool) -> Message {
    let item = |step, index, estimate_ms| Item {
        step,
        index,
        run: 1,
        sequence: 2,
        requirements: Requirements {
            resources: Resources { cpu_millis: 14_000, memory_mb: 64, accelerators: 1 },
            estimate_ms,
            required_label: Some(Label::try_from("a").unwrap()),
            preferred_rack: None,
            max_per_target: Some(2),
        },
    };
    Message::Run(Assignment {
        job: job(),
        generation: 9,
        kind: Kind::try_from("cut").unwrap(),
        service: Service::try_from("mill").unwrap(),
        priority: 1,
        spec: "work".into(),
        objective_in_ms: -140,
        deadline_in_ms: 1_500,
        width: 4,
        started: !shared,
        shared,
        tasks: vec![item(0, 0, 51), item(0, 1, 51), item(1, 0, 51), item(1, 1, 760)],
        echo: Some(Echo { stamp_ms: 9, held_ms: 250 }),
    })
}

/// Decodes the parameter of a call.
fn receive(parameter: &RawValue, senders: &Senders) -> Result<Batch, FrameError> {
    Frame::decode(parameter)?.batch(senders)
}

/// Opens a session and returns its state at the sender.
fn open(senders: &Senders, session: u64) -> Session {
    let opening = Frame::full(&batch(session, 1, Vec::new())).unwrap();
    receive(&opening.encode().unwrap(), senders).unwrap();
    assert!(opening.reply(Ack::Accepted).knows_short_form());
    Session::new(session)
}

/// Delivers a batch in the short form and returns what the receiver decodes. `is_acknowledged` says whether
/// the acknowledgement arrives.
fn deliver(
    senders: &Senders,
    state: &mut Session,
    (sequence, messages, is_acknowledged): (u64, Vec<Message>, bool),
) -> Result<Batch, FrameError> {
    let frame = Frame::short(&batch(SESSION, sequence, messages), state.status(SESSION).unwrap());
    let frame = frame.unwrap();
    let received = receive(&frame.encode().unwrap(), senders);
    if is_acknowledged {
        state.acknowledge(frame);
    }
    received
}

fn json(messages: &[Message]) -> serde_json::Value {
    serde_json::to_value(messages).unwrap()
}

fn split() -> SplitNotice {
    let zone = Zone::try_from("a").unwrap();
    let rank = Rank { token: Token(5), number: 3 };
    let member = Member { host: sender(7).host, cpu_millis: 500 };
    let split = Split { zone: zone.clone(), rank, members: vec![member] };
    SplitNotice { zone, rank, active: Some(split.clone()), proposed: Some(split) }
}

fn share() -> ShareNotice {
    let rank = Rank { token: Token(5), number: 3 };
    ShareNotice {
        zone: Zone::try_from("a").unwrap(),
        rank,
        ready_for: Some(rank),
        busy_targets: vec![Target::try_from("t-1").unwrap()],
        highest_token: Token(u64::MAX),
        backlog_ms: 60,
    }
}

/// A message arrives as it was sent, also when it is repeated and behind another one of its kind.
fn survives(message: &Message) {
    let senders = Senders::default();
    let mut state = open(&senders, SESSION);
    for (sequence, is_acknowledged) in [(2, true), (3, false), (3, true), (4, true)] {
        let messages = vec![message.clone(), message.clone()];
        let received = deliver(&senders, &mut state, (sequence, messages.clone(), is_acknowledged));
        let received = received.unwrap();
        assert_eq!(json(&received.messages), json(&messages));
        assert_eq!((received.from, received.sequence), (sender(7), sequence));
    }
}

cases! { survives:
    a_heartbeat_of_a_steward(&Message::Heartbeat(heartbeat(41)));
    a_default_heartbeat(&Message::Heartbeat(Heartbeat::default()));
    completions_with_a_load(&completions());
    tasks_of_several_steps(&assignment(false));
    shared_tasks(&assignment(true));
    a_message_without_a_shorter_form(&Message::Cancel(job(), 9));
    a_split(&Message::Split(split()));
    a_share(&Message::Share(share()));
}

/// A batch that is repeated after its successor was handled doesn't bring back the status of its heartbeat.
#[test]
fn late_repeat_does_not_revert_the_status() {
    let senders = Senders::default();
    let mut state = open(&senders, SESSION);
    let first = batch(SESSION, 2, vec![Message::Heartbeat(heartbeat(41))]);
    let first = Frame::short(&first, state.status(SESSION).unwrap()).unwrap();
    let repeated = first.encode().unwrap();
    receive(&repeated, &senders).unwrap();
    state.acknowledge(first);
    let changed = vec![Message::Heartbeat(heartbeat(42))];
    deliver(&senders, &mut state, (3, changed.clone(), true)).unwrap();
    receive(&repeated, &senders).unwrap();
    let received = deliver(&senders, &mut state, (4, changed.clone(), true)).unwrap();
    assert_eq!(json(&received.messages), json(&changed));
}

/// A frame that rests on what the receiver doesn't know ends the session, and is not guessed at.
fn is_refused_after(sessions: &[u64], incarnation: u64) {
    let senders = Senders::default();
    let mut state = open(&Senders::default(), SESSION);
    let messages = vec![Message::Heartbeat(heartbeat(41))];
    let frame = Frame::short(&batch(SESSION, 2, messages.clone()), None).unwrap();
    state.acknowledge(frame);
    sessions.iter().for_each(|session| {
        open(&senders, *session);
    });
    let unchanged = Batch { from: sender(incarnation), ..batch(SESSION, 3, messages) };
    let unchanged = Frame::short(&unchanged, state.status(SESSION).unwrap()).unwrap();
    let received = receive(&unchanged.encode().unwrap(), &senders);
    assert!(matches!(received, Err(FrameError::UnknownSession)), "{received:?}");
}

cases! { is_refused_after:
    a_restart_of_the_receiver(&[], 7);
    a_later_session(&[SESSION, SESSION + 1], 7);
    only_the_opening_of_its_session(&[SESSION], 7);
    sessions_of_another_incarnation(&[SESSION], 8);
}

/// A sender of an earlier version is not told of the short form, whose name it can't read.
#[test]
fn earlier_version_gets_the_reply_that_it_knows() {
    let opening = to_raw_value(&batch(SESSION, 1, Vec::new())).unwrap();
    let frame = Frame::decode(&opening).unwrap();
    for ack in [Ack::Accepted, Ack::SessionLost] {
        let reply = to_raw_value(&frame.reply(ack)).unwrap();
        assert_eq!(reply.get(), to_raw_value(&ack).unwrap().get());
    }
}

/// A receiver of an earlier version reads the opening, and what follows in full.
#[test]
fn earlier_version_reads_the_full_form() {
    for sequence in [1, 2] {
        let sent = batch(SESSION, sequence, vec![completions(), assignment(false)]);
        let text = Frame::full(&sent).unwrap().encode().unwrap();
        let read: Batch = serde_json::from_str(text.get()).unwrap();
        assert_eq!(json(&read.messages), json(&sent.messages));
        assert_eq!((read.from, read.sequence), (sent.from, sequence));
    }
}

/// A malformed frame in the short form is refused, and the session goes on.
fn rejects_short(parameter: &str) {
    let senders = Senders::default();
    let mut state = open(&senders, SESSION);
    let parameter = RawValue::from_string(parameter.to_owned()).unwrap();
    let received = receive(&parameter, &senders);
    assert!(matches!(received, Err(FrameError::Malformed(_))), "{received:?}");
    deliver(&senders, &mut state, (2, vec![Message::Heartbeat(heartbeat(41))], true)).unwrap();
}

cases! { rejects_short:
    without_messages("[7,3,2]");
    with_a_negative_sequence_number("[7,3,-2,[]]");
    with_a_huge_session_number("[7,1e40,2,[]]");
    with_an_unknown_message(r#"[7,3,2,[{"v":1}]]"#);
    with_a_short_load(r#"[7,3,2,[{"c":[[],[1,2,3]]}]]"#);
    with_nine_end_times(r#"[7,3,2,[{"c":[[],[0,0,0,[1,2,3,4,5,6,7,8,9],0,0,0,[0,0,0,0,0,0]]]}]]"#);
    with_an_invalid_job(r#"[7,3,2,[{"c":[[["no job",0,0,1,1,1,"done"]],[0,0,0,[],0,0,0,[0,0,0,0,0,0]]]}]]"#);
    with_wild_flags(r#"[7,3,2,[{"h":[[[],[],256,0,0,null,null],null,null,null]}]]"#);
    with_deep_nesting(&format!("[7,3,2,[{}{}]]", "[".repeat(100_000), "]".repeat(100_000)));
}

/// A list of more senders than fleets have replaces the one that was heard longest ago.
#[test]
fn senders_are_bounded() {
    let senders = Senders::default();
    for incarnation in 0..3_000 {
        let opening = Batch { from: sender(incarnation), ..batch(SESSION, 1, Vec::new()) };
        receive(&Frame::full(&opening).unwrap().encode().unwrap(), &senders).unwrap();
    }
    let is_known = |incarnation| senders.get(incarnation, SESSION).is_some();
    assert_eq!((0..3_000).filter(|incarnation| is_known(*incarnation)).count(), 2_048);
    assert!(is_known(2_999) && !is_known(0));
}
