//! Load of stewards, and the assignment of a job's tasks to them.

use std::time::Duration;

use coltsfootshunt_core::name::Host;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ends::{EndTimes, MAX_END_TIMES};
use crate::queue::SLACK_LEVELS_MS;

/// Maximum number of stewards at which a shared task is queued. Each costs a message, and three stewards
/// already offer it about three times as many targets as one.
pub const MAX_RESERVATIONS: usize = 3;

/// Part of a steward's slots, as a divisor, that others may take while its report is on the way.
const RESERVED_PART: u32 = 20;
/// Wait that makes a steward less likely to be drawn by a factor of e. Shorter ones would follow reports that
/// are already outdated.
const WAIT_SCALE: Duration = Duration::from_millis(150);
/// Factor by which the nearest steward is more likely to be drawn, since messages to others cost more.
const NEAREST_PREFERENCE: f64 = 2.0;
/// Relative increase of the probability to be drawn of a steward whose slots are all free.
const FREE_PREFERENCE: f64 = 4.0;

/// Load of a steward, as reported in its heartbeats. Slots are counted in tasks of typical size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of typical tasks that could start now.
    #[serde(rename = "free")]
    pub free_slots: u32,
    /// Number of typical tasks that could start now on fast targets.
    #[serde(rename = "free_fast")]
    pub free_fast_slots: u32,
    /// Number of queued tasks that need a fast target.
    #[serde(rename = "long")]
    pub queued_long: u32,
    /// Times until the runs on fast targets are expected to end, in milliseconds, the earliest first.
    #[serde(rename = "ends_ms")]
    pub fast_ends_ms: [Option<u32>; MAX_END_TIMES],
    /// Number of slots for typical tasks, free or not; 0 if the steward has no usable target.
    #[serde(rename = "places")]
    pub slots: u32,
    /// Run time on the fastest target, in thousandths of that on an average target; 0 if unknown.
    pub fastest_permille: u32,
    /// Expected number of running tasks that end per second.
    #[serde(rename = "turnover")]
    pub completions_per_s: u32,
    /// Expected wait of a task that arrives now, in milliseconds, for each level of slack.
    pub waits_ms: [u32; SLACK_LEVELS_MS.len()],
}

impl Load {
    /// Times until the runs on its fast targets are expected to end, the earliest first.
    pub fn ends(&self) -> impl Iterator<Item = Duration> {
        self.fast_ends_ms.into_iter().flatten().map(|ms| Duration::from_millis(ms.into()))
    }
}

/// A steward that a job's tasks can be sent to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Host name of the steward.
    pub host: Host,
    /// Time of a round trip to it; zero for this host.
    pub round_trip: Duration,
    /// Its reported load, updated by the tasks sent to it since.
    pub load: Load,
}

impl Candidate {
    /// Expected time until a task of a slack level starts if it is sent now.
    #[must_use]
    pub fn expected_delay(&self, level: usize) -> Duration {
        if self.load.free_slots > 0 { self.round_trip } else { self.wait(level) }
    }

    /// Expected time until a task starts if no slot is free.
    fn wait(&self, level: usize) -> Duration {
        self.round_trip + Duration::from_millis(self.load.waits_ms[level].into())
    }

    /// Expected time until the last task of a job starts if all its tasks are sent to this steward.
    fn expected_delay_of_all(&self, tasks: usize, task: &Profile) -> Duration {
        let behind = tasks.saturating_sub(self.load.free_slots as usize) as u32;
        // The tasks that start at once also end and free their slots for the others.
        let own_completions = f64::from(self.load.free_slots) / task.run.as_secs_f64().max(1e-3);
        let completions = (f64::from(self.load.completions_per_s) + own_completions).max(1.0);
        let drain_time = Duration::from_secs_f64(f64::from(behind) / completions);
        if behind == 0 {
            self.expected_delay(task.slack_level)
        } else {
            self.wait(task.slack_level) + drain_time
        }
    }

    /// Orders stewards that seem equal, in another way for each job.
    fn tie_break(&self, draw: u64) -> u64 {
        xxh3_64_with_seed(self.host.as_bytes(), draw)
    }

    /// Free slots that are probably still free when a task arrives.
    fn spare_slots(&self) -> u32 {
        self.load.free_slots.saturating_sub(self.load.slots / RESERVED_PART)
    }

    /// Weight with which the steward is drawn: its size, less if tasks wait there, and more if slots are
    /// free.
    fn weight(&self, level: usize) -> f64 {
        let slots = f64::from(self.load.slots);
        let wait = Duration::from_millis(self.load.waits_ms[level].into());
        let free = f64::from(self.load.free_slots) / slots;
        slots * (-wait.div_duration_f64(WAIT_SCALE)).exp() * (1.0 + FREE_PREFERENCE * free)
    }

    /// Updates the load by one more task that is sent to this steward.
    fn add_task(&mut self, task: &Profile) {
        if self.load.free_slots > 0 {
            self.load.free_slots -= 1;
            let fast = self.load.free_fast_slots.saturating_sub(u32::from(task.is_long));
            self.load.free_fast_slots = fast.min(self.load.free_slots);
            return;
        }
        let added_ms = task.run.as_millis() as u32 / self.load.slots.max(1);
        for wait in &mut self.load.waits_ms[task.slack_level..] {
            *wait = wait.saturating_add(added_ms.max(1));
        }
    }
}

/// Properties of a job's tasks that decide where to send them.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Time until the latest start at which the job is still on time.
    pub slack: Duration,
    /// Index of the slack in [`SLACK_LEVELS_MS`].
    pub slack_level: usize,
    /// Expected run time on an average target.
    pub run: Duration,
    /// Whether the tasks are on time on fast targets only.
    pub is_long: bool,
}

/// Expected waits of a job's tasks, the shortest first. They are zero as long as no steward with targets is
/// known.
#[must_use]
pub fn expected_waits(tasks: usize, task: &Profile, candidates: &[Candidate]) -> Vec<Duration> {
    let serving = || candidates.iter().filter(|candidate| candidate.load.slots > 0);
    let next = serving()
        .map(|candidate| candidate.expected_delay(task.slack_level))
        .min()
        .unwrap_or_default();
    if !task.is_long || serving().next().is_none() {
        return vec![next; tasks];
    }
    let free = serving().map(|candidate| candidate.load.free_fast_slots as usize).sum::<usize>();
    let with_free_slots = serving().filter(|candidate| candidate.load.free_fast_slots > 0);
    let nearest = with_free_slots.map(|candidate| candidate.round_trip).min().unwrap_or_default();
    let ends: EndTimes = serving().flat_map(|candidate| candidate.load.ends()).collect();
    // Most queued long tasks are shared and thus counted by all of the stewards.
    let before =
        serving().map(|candidate| candidate.load.queued_long as usize).max().unwrap_or_default();
    let wait = |index: usize| {
        index.checked_sub(free).map_or(nearest, |behind| ends.wait_after(before + behind))
    };
    (0..tasks).map(wait).collect()
}

/// Assigns the tasks of a job of short work. Returns the index in `candidates` of each task's steward, and
/// fewer than `tasks` if there is no steward with targets. `draw` is a number that differs between jobs.
///
/// Tasks go to free slots of the nearest steward first. The rest goes to one that is expected to start all
/// in time, drawn at random with the room that each seems to have. Hundreds of hosts see the same loads,
/// some of them a quarter of a second old, and would all choose the same steward if each took the best. If
/// none is expected to start all in time, each task goes where it is expected to start first.
pub fn assign(
    tasks: usize,
    profile: &Profile,
    candidates: &mut [Candidate],
    draw: u64,
) -> Vec<usize> {
    let nearest: Vec<usize> = nearest(candidates).into_iter().collect();
    assign_from(&nearest, tasks, profile, candidates, draw)
}

/// Variant of [`assign`] for an owner whose zone's targets are divided among several stewards. All of these count
/// as the nearest steward: tasks go to one of them that is drawn by its free slots, and to the others if that has
/// too few.
pub fn assign_in_split_zone(
    tasks: usize,
    profile: &Profile,
    candidates: &mut [Candidate],
    draw: u64,
) -> Vec<usize> {
    let nearest = nearest_group(candidates);
    assign_from(&nearest, tasks, profile, candidates, draw)
}

fn assign_from(
    nearest: &[usize],
    tasks: usize,
    profile: &Profile,
    candidates: &mut [Candidate],
    draw: u64,
) -> Vec<usize> {
    let free: usize = candidates.iter().map(|candidate| candidate.load.free_slots as usize).sum();
    let mut assigned = Vec::with_capacity(tasks);
    if free >= tasks {
        for index in by_spare_slots(nearest, candidates, draw) {
            let room = candidates[index].spare_slots() as usize;
            let rest = tasks - assigned.len();
            add_tasks(index, rest.min(room), profile, candidates, &mut assigned);
        }
    }
    let rest = tasks - assigned.len();
    if rest == 0 {
        return assigned;
    }
    match draw_steward(rest, profile, candidates, nearest, draw) {
        Some(drawn) => add_tasks(drawn, rest, profile, candidates, &mut assigned),
        None => assigned.extend(assign_best(rest, profile, candidates)),
    }
    assigned
}

/// Sends each task to the steward where it is expected to start first.
fn assign_best(tasks: usize, profile: &Profile, candidates: &mut [Candidate]) -> Vec<usize> {
    let mut assigned = Vec::with_capacity(tasks);
    while assigned.len() < tasks {
        let serving =
            candidates.iter().enumerate().filter(|(_, candidate)| candidate.load.slots > 0);
        let delay = |candidate: &Candidate| candidate.expected_delay(profile.slack_level);
        let Some((index, _)) = serving.min_by_key(|(index, candidate)| (delay(candidate), *index))
        else {
            return assigned;
        };
        add_tasks(index, 1, profile, candidates, &mut assigned);
    }
    assigned
}

fn add_tasks(
    to: usize,
    tasks: usize,
    profile: &Profile,
    candidates: &mut [Candidate],
    assigned: &mut Vec<usize>,
) {
    (0..tasks).for_each(|_| candidates[to].add_task(profile));
    assigned.extend(std::iter::repeat_n(to, tasks));
}

/// The steward with targets that is nearer than all others.
fn nearest(candidates: &[Candidate]) -> Option<usize> {
    let serving =
        || candidates.iter().enumerate().filter(|(_, candidate)| candidate.load.slots > 0);
    let (index, nearest) = serving().min_by_key(|(_, candidate)| candidate.round_trip)?;
    let is_only = serving().all(|(at, other)| at == index || other.round_trip > nearest.round_trip);
    is_only.then_some(index)
}

/// The stewards with targets that are nearer than all others. There are none if all of several are equally near.
fn nearest_group(candidates: &[Candidate]) -> Vec<usize> {
    let serving =
        || candidates.iter().enumerate().filter(|(_, candidate)| candidate.load.slots > 0);
    let distances = || serving().map(|(_, candidate)| candidate.round_trip);
    let least = distances().min();
    let is_nearest = |(_, candidate): &(usize, &Candidate)| Some(candidate.round_trip) == least;
    let nearest: Vec<usize> = serving().filter(is_nearest).map(|(index, _)| index).collect();
    let is_any_farther = distances().any(|distance| Some(distance) > least);
    if nearest.len() > 1 && !is_any_farther { Vec::new() } else { nearest }
}

/// The nearest stewards, first one that is drawn by its free slots, then the others from the one with most.
fn by_spare_slots(nearest: &[usize], candidates: &[Candidate], draw: u64) -> Vec<usize> {
    let spare = |index: &usize| candidates[*index].spare_slots();
    let mut order = nearest.to_vec();
    order
        .sort_by_key(|index| std::cmp::Reverse((spare(index), candidates[*index].tie_break(draw))));
    let total = order.iter().map(|index| f64::from(spare(index))).sum::<f64>();
    // The bits of the number that the choice of another steward does not depend on.
    let mut left = total * (draw.reverse_bits() as f64 / u64::MAX as f64);
    let drawn = order.iter().position(|index| {
        left -= f64::from(spare(index));
        left <= 0.0
    });
    if let Some(drawn) = drawn {
        order[..=drawn].rotate_right(1);
    }
    order
}

/// Draws one of the stewards that are expected to start all tasks in time. One of the nearest gets them if
/// others are no sooner even without a wait.
fn draw_steward(
    tasks: usize,
    profile: &Profile,
    candidates: &[Candidate],
    nearest: &[usize],
    draw: u64,
) -> Option<usize> {
    let delay = |candidate: &Candidate| candidate.expected_delay_of_all(tasks, profile);
    let is_in_time =
        |candidate: &Candidate| candidate.load.slots > 0 && delay(candidate) <= profile.slack;
    let others = candidates.iter().enumerate().filter(|(index, _)| !nearest.contains(index));
    let way = others.map(|(_, candidate)| candidate.round_trip).min();
    let is_soonest = |index: &usize| {
        let own_delay = candidates[*index].expected_delay(profile.slack_level);
        way.is_none_or(|way| own_delay <= way) && is_in_time(&candidates[*index])
    };
    let soonest = nearest.iter().copied().filter(is_soonest);
    let shortest = |index: &usize| (delay(&candidates[*index]), candidates[*index].tie_break(draw));
    if let Some(soonest) = soonest.min_by_key(shortest) {
        return Some(soonest);
    }
    let weight = |index: usize| {
        let candidate = &candidates[index];
        let preference = if nearest.contains(&index) { NEAREST_PREFERENCE } else { 1.0 };
        if is_in_time(candidate) { preference * candidate.weight(profile.slack_level) } else { 0.0 }
    };
    let weights: Vec<f64> = (0..candidates.len()).map(weight).collect();
    let mut left = weights.iter().sum::<f64>() * (draw as f64 / u64::MAX as f64);
    let drawn = weights.iter().position(|weight| {
        left -= weight;
        *weight > 0.0 && left <= 0.0
    });
    // Rounding may leave a little after the last one.
    drawn.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
}

/// Assigns the tasks of a job of long work to the nearest stewards with free slots on fast targets. Returns
/// the index in `candidates` of each task's steward, or nothing if not all tasks can start at once.
pub fn assign_fast(
    tasks: usize,
    profile: &Profile,
    candidates: &mut [Candidate],
    draw: u64,
) -> Vec<usize> {
    let free =
        candidates.iter().map(|candidate| candidate.load.free_fast_slots as usize).sum::<usize>();
    let count = if free < tasks { 0 } else { tasks };
    let nearest = |candidates: &[Candidate]| {
        let with_free_slots = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.load.free_fast_slots > 0);
        with_free_slots
            .min_by_key(|(_, candidate)| (candidate.round_trip, candidate.tie_break(draw)))
            .map(|(index, _)| index)
    };
    let mut assigned = Vec::with_capacity(count);
    while let Some(index) = nearest(candidates).filter(|_| assigned.len() < count) {
        candidates[index].add_task(profile);
        assigned.push(index);
    }
    assigned
}

/// Chooses the stewards that queue long tasks which can't start at once: those where a fast target is
/// expected to be free first. Returns their indices in `candidates`.
pub fn choose_stewards(tasks: usize, candidates: &mut [Candidate], draw: u64) -> Vec<usize> {
    let serving = candidates.iter().enumerate().filter(|(_, candidate)| candidate.load.slots > 0);
    let mut chosen: Vec<usize> = serving.map(|(index, _)| index).collect();
    chosen.sort_by_cached_key(|&index| {
        let candidate = &candidates[index];
        let Candidate { round_trip, load, .. } = candidate;
        let wait = load.ends().collect::<EndTimes>().wait_after(load.queued_long as usize);
        let delay = if load.free_fast_slots > 0 { *round_trip } else { *round_trip + wait };
        (delay, candidate.tie_break(draw))
    });
    chosen.truncate(MAX_RESERVATIONS);
    for &index in &chosen {
        let long = &mut candidates[index].load.queued_long;
        *long = long.saturating_add(u32::try_from(tasks).unwrap_or(u32::MAX));
    }
    chosen
}
