//! Where a task may go among a steward's targets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;

use crate::directory::{self, Entry};
use crate::lease::Picture;
use crate::member::Roster;
use crate::placement::{Candidate, Choice, Fast, choose, is_fast};
use crate::queue::Waiting;
use crate::speed::Book;
use crate::steward::Settings;

/// A run this many times longer than expected is overdue; about one in thirty runs legitimately is.
pub(super) const OVERDUE: f64 = 3.0;
/// No run is overdue before this: short runs vary by the way there and back.
pub(super) const OVERDUE_MIN: Duration = Duration::from_millis(120);

/// The target for a task, if it should start now.
pub(super) fn place(
    pictures: &BTreeMap<Target, Picture>,
    one: &Waiting,
    roster: &Roster,
    speeds: &Book,
    settings: Settings,
    now: Instant,
) -> Option<Target> {
    let mut candidates = Vec::new();
    let mut names = Vec::new();
    let mut capacities = Vec::new();
    let mut fastest = Duration::MAX;
    for (name, picture) in pictures {
        if !suits(&picture.entry, one, roster) {
            continue;
        }
        let away = one.need.rack.as_ref().is_some_and(|rack| !picture.entry.labels.contains(rack));
        let factor = if away { settings.remote_factor } else { 1.0 };
        let expected = speeds.predict(&one.kind, name, one.need.estimate(), now).mul_f64(factor);
        let suspect = speeds.is_failing(name, now) || is_stuck(picture, now);
        if !suspect {
            fastest = fastest.min(expected);
            capacities.push((expected, picture.entry.capacity.cpu_millis));
        }
        let spread = one.need.spread.is_none_or(|most| picture.of_step(&one.task) < most);
        let Some(free) = picture.free(now).filter(|free| free.holds(&one.need.room)) else {
            continue;
        };
        if spread {
            candidates.push(Candidate { place: names.len(), expected, free, suspect });
            names.push(name);
        }
    }
    if fastest == Duration::MAX {
        // Nothing sound is left at all: a suspect target is better than none.
        fastest = candidates.iter().map(|one| one.expected).min()?;
        candidates.iter_mut().for_each(|one| one.suspect = false);
    }
    let each = one.need.room.cpu_millis.max(1);
    let places = capacities.iter().filter(|(expected, _)| is_fast(*expected, fastest));
    let free = candidates.iter().filter(|one| is_fast(one.expected, fastest));
    let fast = Fast {
        best: fastest,
        free: free.map(|one| one.free.cpu_millis / each).sum(),
        places: places.map(|(_, capacity)| capacity / each).sum(),
    };
    match choose(one, &candidates, fast, now) {
        Choice::Start(place) => Some(names[place].clone()),
        Choice::Wait => None,
    }
}

fn suits(entry: &Entry, one: &Waiting, roster: &Roster) -> bool {
    entry.service == one.service
        && entry.state == directory::State::Ready
        && roster.claims(&entry.zone)
        && one.need.label.as_ref().is_none_or(|label| entry.labels.contains(label))
        && entry.capacity.holds(&one.need.room)
}

/// Whether all that runs on a target is overdue: it hangs or has turned slow.
fn is_stuck(picture: &Picture, now: Instant) -> bool {
    let mut running = 0;
    let mut overdue = 0;
    for (_, attempt) in picture.attempts() {
        running += 1;
        let limit = attempt.expected.mul_f64(OVERDUE).max(OVERDUE_MIN);
        overdue += u32::from(now.duration_since(attempt.since) > limit);
    }
    overdue >= 2 && overdue == running
}

/// Factor of the fastest target's run time against the average one.
pub(super) fn fastest(pictures: &BTreeMap<Target, Picture>, speeds: &Book, now: Instant) -> f64 {
    let slowness = pictures.keys().map(|name| speeds.slowness(name, now));
    slowness.fold(0.0, f64::min).exp()
}
