//! Stewardship by weighted rendezvous hash with bounded load.
//!
//! Every entry works the same assignment out of the same members and targets. Where views differ
//! for a while, a target has two stewards or none, which costs time and never a promise.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Assigns targets, given with their slots, to members, given with their weights. No member gets
/// more than its part of all slots, rounded up by one target.
#[must_use]
pub fn assign<'a>(
    targets: impl IntoIterator<Item = (&'a Target, u32)>,
    members: &[(Incarnation, u32)],
) -> BTreeMap<&'a Target, Incarnation> {
    let mut targets: Vec<_> = targets.into_iter().collect();
    // Large targets go first, so that small ones fill up what is left.
    targets.sort_by_key(|(target, slots)| (Reverse(*slots), xxh3_64(target.as_bytes()), *target));
    let slots: u64 = targets.iter().map(|(_, slots)| u64::from(*slots)).sum();
    let weights: u64 = members.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let part = |weight: u32| slots as f64 * f64::from(weight) / weights as f64;
    let mut room: BTreeMap<_, _> =
        members.iter().map(|(member, weight)| (*member, part(*weight))).collect();
    let mut assigned = BTreeMap::new();
    for (target, slots) in targets {
        let open = members.iter().filter(|(member, _)| room[member] > 0.0);
        let Some(steward) = highest(target, open) else {
            continue;
        };
        assigned.insert(target, steward);
        room.entry(steward).and_modify(|left| *left -= f64::from(slots));
    }
    assigned
}

fn highest<'a>(
    target: &Target,
    members: impl Iterator<Item = &'a (Incarnation, u32)>,
) -> Option<Incarnation> {
    let scored = members.map(|(member, weight)| (score(target, *member, *weight), *member));
    scored.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, member)| member)
}

/// Logarithmic score, so that a member's part of the targets is in proportion to its weight.
fn score(target: &Target, member: Incarnation, weight: u32) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let hash = xxh3_64_with_seed(target.as_bytes(), member.0);
    let fraction =
        ((hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -f64::from(weight) / fraction.ln()
}
