//! Names, jobs and configurations of the simulation.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use coltsfootshunt_core::config::{
    Document, Draft as ConfigDraft, KindDraft, Resources, Revision, TargetDraft, TeamDraft,
};
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_core::name::{Target, Zone};
use coltsfootshunt_core::submission::Id;
use serde_json::value::RawValue;
use uuid::Uuid;

/// Number of targets, all in the zone of the entries.
pub const TARGETS: usize = 3;
/// Slots of each target.
pub const SLOTS: u32 = 2;

pub fn zone() -> Zone {
    Zone::try_from("zone").expect("the name is valid")
}

pub fn target_name(index: usize) -> Target {
    Target::try_from(format!("target-{index}")).expect("the name is valid")
}

/// Returns a configuration with one team and two kinds: `plain`, whose tasks are idempotent, and
/// `once`, whose tasks are not.
pub fn document(revision: u64) -> Document {
    let kind = |name: &str, idempotent, rerun_lost| KindDraft {
        name: name.to_owned(),
        idempotent,
        rerun_lost,
        expected_ms: 50,
        needs: Resources::default(),
    };
    let target = |index: usize| TargetDraft {
        name: target_name(index).to_string(),
        zone: zone().to_string(),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9_000 + index as u16),
        slots: SLOTS,
        connections: 64,
        has: Resources::default(),
    };
    let draft = ConfigDraft {
        teams: vec![TeamDraft { name: "team".to_owned(), share: 1 }],
        kinds: vec![kind("plain", true, false), kind("once", false, false)],
        targets: (0..TARGETS).map(target).collect(),
    };
    let config = draft.try_into().expect("the draft is valid");
    let mut document = Document::after(None, Uuid::from_u128(u128::from(revision)), config);
    document.version.revision = Revision(revision);
    document
}

pub fn job(kind: &str, tasks: usize, ms: u64) -> Job {
    let input = RawValue::from_string("{}".to_owned()).expect("the text is valid JSON");
    let input: Arc<RawValue> = input.into();
    let draft = Draft {
        team: "team".to_owned(),
        kind: kind.to_owned(),
        deadline_ms: Some(ms),
        tasks: vec![input; tasks],
    };
    Job::try_from(draft).expect("the draft is valid")
}

pub fn address_of(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8_000 + index as u16)
}

pub fn output_for(label: &str) -> Arc<RawValue> {
    RawValue::from_string(format!("\"{label}\"")).expect("the text is valid JSON").into()
}

pub fn parse_label(label: &str) -> (Id, usize) {
    let (id, task) = label.split_once('/').expect("a label has the form id/task");
    (
        Id::try_from(id).expect("the label starts with an identifier"),
        task.parse().expect("the label ends with a task index"),
    )
}
