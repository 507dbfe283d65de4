//! How many members a split has.

use std::time::{Duration, Instant};

/// Backlog of a member's control thread above which it needs help. It is below the one from which a steward returns
/// work, which keeps its backlog from growing further.
const MAX_BACKLOG: Duration = Duration::from_millis(30);
/// Time for which a member must have had such a backlog. A shorter one is a burst that it catches up with.
const LAG_TIME: Duration = Duration::from_millis(300);
/// Shortest time between an increase and the change before it, so that the effect of one shows before the next.
const MIN_TIME_BEFORE_INCREASE: Duration = Duration::from_secs(3);
/// Shortest time between a decrease and the last change or the last lag, since the next wave of a load comes within
/// about 20 s.
const MIN_TIME_BEFORE_DECREASE: Duration = Duration::from_secs(60);

/// What decides on the number of members.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Whether the zone is dense.
    pub is_dense: bool,
    /// Number of the zone's targets.
    pub targets: usize,
    /// Targets that one core of a member's host can give orders to.
    pub targets_per_core: usize,
    /// Largest share of the processor of a known host, in thousandths of a core.
    pub max_cpu_millis: u32,
    /// Number of hosts that may be members.
    pub hosts: usize,
    /// Longest backlog of a member.
    pub backlog: Duration,
}

/// Decides on the number of members of a zone's split, with bounds on how often it changes.
#[derive(Clone, Debug)]
pub struct Planner {
    members: usize,
    changed_at: Option<Instant>,
    /// Since when a member's backlog has been too long.
    lagging_since: Option<Instant>,
    /// When a member's backlog was too long last.
    lagged_at: Option<Instant>,
}

impl Default for Planner {
    fn default() -> Self {
        Self { members: 1, changed_at: None, lagging_since: None, lagged_at: None }
    }
}

impl Planner {
    /// Creates a planner that goes on from a number of members.
    #[must_use]
    pub fn with_members(members: usize, now: Instant) -> Self {
        Self { members: members.max(1), changed_at: Some(now), ..Self::default() }
    }

    /// Returns the number of members that a split should have.
    pub fn plan(&mut self, demand: &Demand, now: Instant) -> usize {
        let min = if demand.is_dense { min_members(demand) } else { 1 };
        let max = if demand.is_dense { demand.hosts.max(1) } else { 1 };
        let is_lagging = demand.backlog > MAX_BACKLOG;
        self.lagging_since = is_lagging.then(|| self.lagging_since.unwrap_or(now));
        self.lagged_at = if is_lagging { Some(now) } else { self.lagged_at };
        let is_past =
            |at: Option<Instant>, time| at.is_none_or(|at| now.duration_since(at) >= time);
        let needs_help = self.lagging_since.is_some_and(|at| now.duration_since(at) >= LAG_TIME);
        let mut members = self.members;
        if members < min.min(max) {
            members = min.min(max);
        } else if needs_help && members < max {
            members += 1;
        }
        if members > self.members && is_past(self.changed_at, MIN_TIME_BEFORE_INCREASE) {
            self.change(members, now);
        } else if self.members > min
            && is_past(self.changed_at.max(self.lagged_at), MIN_TIME_BEFORE_DECREASE)
        {
            self.change(self.members - 1, now);
        }
        self.members.min(demand.hosts.max(1))
    }

    fn change(&mut self, members: usize, now: Instant) {
        self.members = members;
        self.changed_at = Some(now);
        self.lagging_since = None;
    }
}

/// Number of members without which each has too many targets for the strongest host.
fn min_members(demand: &Demand) -> usize {
    let per_member = demand.targets_per_core.max(1) * demand.max_cpu_millis.max(1) as usize;
    (demand.targets * 1_000).div_ceil(per_member).max(1)
}
