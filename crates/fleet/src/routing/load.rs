//! Loads of stewards, and which of them a job's tasks go to.

use std::time::Duration;

use coltsfootshunt_core::name::Host;
use serde::{Deserialize, Serialize};

use super::ends::{EndTimes, MAX_END_TIMES};
use crate::queue::SLACK_LEVELS_MS;

/// Stewards with which a task stands at a time: each costs a message, and a third one already makes three
/// times as many targets that may have it first.
pub const MAX_RESERVATIONS: usize = 3;

/// What a steward says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Typical tasks that could start now.
    #[serde(rename = "free")]
    pub free_slots: u32,
    /// Typical tasks that could start now on fast targets.
    #[serde(rename = "free_fast")]
    pub free_fast_slots: u32,
    /// Tasks that wait for fast targets.
    #[serde(rename = "long")]
    pub queued_long: u32,
    /// Times until runs on fast targets are expected to end, in milliseconds, the next one first.
    #[serde(rename = "ends_ms")]
    pub fast_ends_ms: [Option<u32>; MAX_END_TIMES],
    /// Places for typical tasks, free or not.
    #[serde(rename = "places")]
    pub slots: u32,
    /// Run time on the fastest target in thousandths of that on an average one; 0 if not known.
    pub fastest_permille: u32,
    /// Ends that can be expected in a second of what runs now.
    #[serde(rename = "turnover")]
    pub completions_per_s: u32,
    /// Expected wait of a task that comes now, in milliseconds, by the level of its slack.
    pub waits_ms: [u32; SLACK_LEVELS_MS.len()],
}

impl Load {
    /// Times until runs on its fast targets are expected to end.
    pub fn ends(&self) -> impl Iterator<Item = Duration> {
        self.fast_ends_ms.into_iter().flatten().map(|ms| Duration::from_millis(ms.into()))
    }
}

/// A steward that can be reached.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The steward.
    pub host: Host,
    /// Way there and back.
    pub round_trip: Duration,
    /// Its load, less what was sent since.
    pub load: Load,
}

impl Candidate {
    /// Expected time until a task sent now starts, by the level of its slack.
    #[must_use]
    pub fn expected_delay(&self, level: usize) -> Duration {
        if self.load.free_slots > 0 { self.round_trip } else { self.wait(level) }
    }

    fn wait(&self, level: usize) -> Duration {
        self.round_trip + Duration::from_millis(self.load.waits_ms[level].into())
    }

    /// What a job loses whose tasks all go there: the delay of the last one to start.
    fn cost_of_all(&self, tasks: usize, task: &Profile) -> Duration {
        let behind = tasks.saturating_sub(self.load.free_slots as usize) as u32;
        // What starts at once makes way for the rest, too.
        let free = f64::from(self.load.free_slots) / task.run.as_secs_f64().max(1e-3);
        let turnover = (f64::from(self.load.completions_per_s) + free).max(1.0);
        let turns = Duration::from_secs_f64(f64::from(behind) / turnover);
        if behind == 0 {
            self.expected_delay(task.slack_level)
        } else {
            self.wait(task.slack_level) + turns
        }
    }

    /// Counts one more task as sent that runs for some time.
    fn take(&mut self, task: &Profile) {
        if self.load.free_slots > 0 {
            self.load.free_slots -= 1;
            let fast = self.load.free_fast_slots.saturating_sub(u32::from(task.is_long));
            self.load.free_fast_slots = fast.min(self.load.free_slots);
            return;
        }
        let cost = task.run.as_millis() as u32 / self.load.slots.max(1);
        for wait in &mut self.load.waits_ms[task.slack_level..] {
            *wait = wait.saturating_add(cost.max(1));
        }
    }
}

/// What the tasks of a job are like.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Time to the job's latest start.
    pub slack: Duration,
    /// Level of the slack.
    pub slack_level: usize,
    /// Expected run time on an average target.
    pub run: Duration,
    /// Whether only fast targets will do.
    pub is_long: bool,
}

/// Expected waits of a job's tasks, the shortest first; nothing is waited for as long as no steward with
/// targets is known.
#[must_use]
pub fn expected_waits(tasks: usize, task: &Profile, offers: &[Candidate]) -> Vec<Duration> {
    let serving = || offers.iter().filter(|offer| offer.load.slots > 0);
    let next =
        serving().map(|offer| offer.expected_delay(task.slack_level)).min().unwrap_or_default();
    if !task.is_long || serving().next().is_none() {
        return vec![next; tasks];
    }
    let free = serving().map(|offer| offer.load.free_fast_slots as usize).sum::<usize>();
    let with_room = serving().filter(|offer| offer.load.free_fast_slots > 0);
    let way = with_room.map(|offer| offer.round_trip).min().unwrap_or_default();
    let ends: EndTimes = serving().flat_map(|offer| offer.load.ends()).collect();
    // Most of what waits stands with all of them.
    let before = serving().map(|offer| offer.load.queued_long as usize).max().unwrap_or_default();
    let wait = |place: usize| {
        place.checked_sub(free).map_or(way, |behind| ends.wait_after(before + behind))
    };
    (0..tasks).map(wait).collect()
}

/// Assigns the tasks of a job of short work; for each the place of its steward in `offers`.
///
/// Tasks go one by one to where they start first. Where places are free for too few of them, all go to
/// one steward if it should start the last of them in time: it finishes what it begins, and can turn
/// the job away as a whole.
pub fn assign(tasks: usize, profile: &Profile, offers: &mut [Candidate]) -> Vec<usize> {
    let free: usize = offers.iter().map(|offer| offer.load.free_slots as usize).sum();
    let mut serving = offers.iter().filter(|offer| offer.load.slots > 0);
    let all =
        free < tasks && serving.any(|offer| offer.cost_of_all(tasks, profile) <= profile.slack);
    let mut assigned = Vec::with_capacity(tasks);
    while assigned.len() < tasks {
        let serving = offers.iter().enumerate().filter(|(_, offer)| offer.load.slots > 0);
        let cost = |offer: &Candidate| {
            if all {
                offer.cost_of_all(tasks, profile)
            } else {
                offer.expected_delay(profile.slack_level)
            }
        };
        let Some((place, _)) = serving.min_by_key(|(place, offer)| (cost(offer), *place)) else {
            return assigned;
        };
        let count = if all { tasks } else { 1 };
        (0..count).for_each(|_| offers[place].take(profile));
        assigned.extend(std::iter::repeat_n(place, count));
    }
    assigned
}

/// Assigns the tasks of a job of long work that can all start at once on fast targets, to the nearest ones;
/// none if there is no room for all of them.
pub fn assign_fast(tasks: usize, profile: &Profile, offers: &mut [Candidate]) -> Vec<usize> {
    let free = offers.iter().map(|offer| offer.load.free_fast_slots as usize).sum::<usize>();
    let count = if free < tasks { 0 } else { tasks };
    let nearest = |offers: &[Candidate]| {
        let with_room =
            offers.iter().enumerate().filter(|(_, offer)| offer.load.free_fast_slots > 0);
        with_room.min_by_key(|(place, offer)| (offer.round_trip, *place)).map(|(place, _)| place)
    };
    let mut assigned = Vec::with_capacity(count);
    while let Some(place) = nearest(offers).filter(|_| assigned.len() < count) {
        offers[place].take(profile);
        assigned.push(place);
    }
    assigned
}

/// Places in `offers` of the stewards with which tasks of long work stand that can't start at once: those
/// where a fast target is free soonest.
pub fn choose_stewards(tasks: usize, offers: &mut [Candidate]) -> Vec<usize> {
    let serving = offers.iter().enumerate().filter(|(_, offer)| offer.load.slots > 0);
    let mut lines: Vec<usize> = serving.map(|(place, _)| place).collect();
    lines.sort_by_cached_key(|&place| {
        let Candidate { round_trip: distance, load, .. } = &offers[place];
        let wait = load.ends().collect::<EndTimes>().wait_after(load.queued_long as usize);
        (if load.free_fast_slots > 0 { *distance } else { *distance + wait }, place)
    });
    lines.truncate(MAX_RESERVATIONS);
    for &place in &lines {
        let long = &mut offers[place].load.queued_long;
        *long = long.saturating_add(u32::try_from(tasks).unwrap_or(u32::MAX));
    }
    lines
}
