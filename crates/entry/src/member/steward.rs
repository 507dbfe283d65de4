//! Stewardship by weighted rendezvous hash.

use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The member that is steward of a target: the one with the highest weighted score.
#[must_use]
pub fn steward(target: &Target, members: &[(Incarnation, u32)]) -> Option<Incarnation> {
    let scored = members.iter().map(|(member, weight)| (score(target, *member, *weight), *member));
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
