//! How the targets of a dense zone are divided among several hosts.
//!
//! Load pattern: more targets in a zone than one host can give orders to under load, while other hosts of the
//! zone are idle. The zone's lead decides on the members; each host works out the division by itself.

mod planner;
mod shares;

use coltsfootshunt_core::name::{Host, Target, Zone};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::lease::Token;

pub use planner::{Demand, Planner};
pub use shares::{Change, Holding, Shares};

/// A host that takes part in a split.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub host: Host,
    /// Its share of the processor, in thousandths of a core.
    pub cpu_millis: u32,
}

/// Order of splits: the token of the lead's claim, and the number of the split under that claim.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rank {
    /// Token of the lead's claim.
    pub token: Token,
    /// Number of the split, which increases with each one under this claim.
    pub number: u64,
}

/// A division of a zone's targets among its members.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// Zone whose targets are divided.
    pub zone: Zone,
    /// Place in the order of splits.
    #[serde(flatten)]
    pub rank: Rank,
    /// The members, the lead first.
    pub members: Vec<Member>,
}

impl Split {
    /// Whether a host is a member.
    #[must_use]
    pub fn names(&self, host: &Host) -> bool {
        self.members.iter().any(|member| member.host == *host)
    }

    /// The member that gives orders to a target, by weighted rendezvous hashing: a new member takes only what it
    /// gets, and of a lost one only what it had changes hands.
    #[must_use]
    pub fn holder(&self, target: &Target) -> Option<&Host> {
        let score =
            |member: &Member| -f64::from(member.cpu_millis.max(1)) / draw(member, target).ln();
        let scored = self.members.iter().map(|member| (score(member), &member.host));
        // The name decides between equal scores, so that all hosts see the same holder.
        scored
            .max_by(|one, other| one.0.total_cmp(&other.0).then_with(|| one.1.cmp(other.1)))
            .map(|(_, host)| host)
    }
}

/// A number between 0 and 1, both excluded, that differs for each member and target.
fn draw(member: &Member, target: &Target) -> f64 {
    /// Number of bits of a hash that a floating-point number holds exactly.
    const BITS: u32 = 53;
    let hash = xxh3_64(format!("{target}/{}", member.host).as_bytes());
    ((hash >> (u64::BITS - BITS)) as f64 + 0.5) / (1_u64 << BITS) as f64
}

/// State of a split that the zone's lead reports to the members. A later one replaces an earlier one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SplitNotice {
    /// Zone that is divided.
    pub zone: Zone,
    /// Rank of the last split of the lead, in force or not.
    #[serde(flatten)]
    pub rank: Rank,
    /// The split in force; none if the lead gives orders to all targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub active: Option<Split>,
    /// The split that the lead makes active once its members have answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proposed: Option<Split>,
}

/// State of a member, which it reports to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareNotice {
    /// Zone that is divided.
    pub zone: Zone,
    /// The split by which the member acts: it starts nothing on targets that this split gives to others.
    #[serde(flatten)]
    pub rank: Rank,
    /// The proposed split that the member is ready to act by.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_for: Option<Rank>,
    /// Targets of other members on which its tasks still run.
    #[serde(default)]
    pub busy_targets: Vec<Target>,
    /// Token above which it issues its next one.
    pub highest_token: Token,
    /// Age of the oldest event that its control thread has not handled, in milliseconds.
    #[serde(default)]
    pub backlog_ms: u32,
}
