//! Messages of hosts of an earlier version, and the size of what is new.

use coltsfootshunt_testkit::cases;

use crate::evacuation::Notice;
use crate::member::{Echo, Heartbeat};
use crate::peer::Message;

/// Messages of the version before, which dates no words.
const HEARTBEAT: &str = r#"{"beat":{"claims":[],"held":[],"leaving":false,"load":LOAD,"version":3,
    "knows_targets":true,"highest_token":5,"token_suffix":7,"next_in_ms":250}}"#;
const RUN: &str = r#"{"run":{"job":"0000000000000001","opening":1,"kind":"cut","service":"mill","priority":0,
    "spec":"work","objective_in_ms":140,"due_in_ms":1500,"width":1,"begun":false,"standing":false,"parts":[]}}"#;
const GRANT: &str = r#"{"grant":[{"task":{"job":"0000000000000001","step":0,"index":0},"opening":1,"round":1,
    "run":1}]}"#;

fn echo_of(message: &Message) -> Option<Echo> {
    match message {
        Message::Heartbeat(heartbeat) => heartbeat.echo,
        Message::Run(assignment) => assignment.echo,
        Message::Grant(grants) => grants.iter().find_map(|grant| grant.echo),
        other => panic!("{other:?}"),
    }
}

/// A message of the version before is read, without an echo, and written as it was.
fn reads_earlier(text: &str) {
    let load = serde_json::to_string(&Heartbeat::default().load).unwrap();
    let text = text.replace("LOAD", &load);
    let message: Message = serde_json::from_str(&text).unwrap();
    assert_eq!(echo_of(&message), None);
    let before: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_value(&message).unwrap(), before);
}

cases! { reads_earlier:
    heartbeat(HEARTBEAT);
    tasks(RUN);
    grants(GRANT);
}

/// An echo comes back as it was sent.
#[test]
fn echo_survives_encoding() {
    let echo = Some(Echo { stamp_ms: 4_294_967_295, held_ms: 250 });
    let heartbeat = Heartbeat { stamp_ms: Some(4_294_967_295), echo, ..Heartbeat::default() };
    let text = serde_json::to_string(&Message::Heartbeat(heartbeat)).unwrap();
    let message: Message = serde_json::from_str(&text).unwrap();
    assert_eq!(echo_of(&message), echo);
    let undated = serde_json::to_string(&Message::Heartbeat(Heartbeat::default())).unwrap();
    assert!(text.len() - undated.len() <= 42, "{text}");
}

/// An echo that is no pair of numbers makes the message unreadable.
fn rejects_echo(echo: &str) {
    let text = RUN.replace("\"parts\":[]", &format!("\"parts\":[],\"echo\":{echo}"));
    assert!(serde_json::from_str::<Message>(&text).is_err());
}

cases! { rejects_echo:
    of_one_number("[1]");
    of_negative_numbers("[-1,-1]");
    of_fractions("[0.5,1e300]");
    of_text("\"now\"");
}

/// A notice of another form must not make the batch unreadable that it comes with.
fn reads_notice(text: &str, expected: &Notice) {
    let message: Message = serde_json::from_str(text).unwrap();
    assert!(matches!(message, Message::Evacuations(notice) if notice == *expected));
}

cases! { reads_notice:
    of_this_version(r#"{"evacuations":{"revision":7,"zones":["a"]}}"#,
        &Notice { revision: 7, zones: vec!["a".into()] });
    of_another_form(r#"{"evacuations":["a"]}"#, &Notice::default());
    with_a_revision_that_is_no_number(r#"{"evacuations":{"revision":1e400,"zones":[]}}"#, &Notice::default());
}
