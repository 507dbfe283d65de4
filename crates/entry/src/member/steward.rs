//! Assignment of targets to stewards by weighted rendezvous hashing with bounded loads.
//!
//! Every entry computes the assignment from its own membership and configuration. While these
//! differ between entries, a target may have two stewards or none. That delays tasks, but no
//! guarantee depends on it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Assigns targets, each with its number of slots, to members, each with its weight. No member gets
/// more slots than its share by weight, exceeded by at most one target.
#[must_use]
pub fn assign<'a>(
    targets: impl IntoIterator<Item = (&'a Target, u32)>,
    members: &[(Incarnation, u32)],
) -> BTreeMap<&'a Target, Incarnation> {
    let mut targets: Vec<_> = targets.into_iter().collect();
    // Assigns large targets first; small ones then fill the remaining shares.
    targets.sort_by_key(|(target, slots)| (Reverse(*slots), xxh3_64(target.as_bytes()), *target));
    let slots: u64 = targets.iter().map(|(_, slots)| u64::from(*slots)).sum();
    let weights: u64 = members.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let share = |weight: u32| slots as f64 * f64::from(weight) / weights as f64;
    let mut remaining: BTreeMap<_, _> =
        members.iter().map(|(member, weight)| (*member, share(*weight))).collect();
    let mut assigned = BTreeMap::new();
    for (target, slots) in targets {
        let eligible = members.iter().filter(|(member, _)| remaining[member] > 0.0);
        let Some(steward) = highest_score(target, eligible) else {
            continue;
        };
        assigned.insert(target, steward);
        remaining.entry(steward).and_modify(|left| *left -= f64::from(slots));
    }
    assigned
}

fn highest_score<'a>(
    target: &Target,
    members: impl Iterator<Item = &'a (Incarnation, u32)>,
) -> Option<Incarnation> {
    let scored = members.map(|(member, weight)| (score(target, *member, *weight), *member));
    scored.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, member)| member)
}

/// Logarithmic score: a member wins targets in proportion to its weight.
fn score(target: &Target, member: Incarnation, weight: u32) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let hash = xxh3_64_with_seed(target.as_bytes(), member.0);
    let fraction =
        ((hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -f64::from(weight) / fraction.ln()
}
