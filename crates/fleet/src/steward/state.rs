//! State of a steward.

mod finding;
mod place;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Target};

use super::{Output, Settings};
use crate::directory;
use crate::job::{Bundle, End, Ending, Id, Task};
use crate::lease::{Answer, Attempt, Call, Finding, Mint, Phase, Picture};
use crate::member::Roster;
use crate::placement::is_fast;
use crate::queue::{Line, Waiting};
use crate::report::Note;
use crate::speed::Book;
use crate::spread::Load;

use finding::{ending, learn, not_run, note};
use place::{fastest, place};

/// Tasks in a row that fit nowhere after which the rest of the line is left for later.
const FITLESS: usize = 24;
/// Weight of one task in the running mean of what a task takes.
const TYPICAL_WEIGHT: f64 = 0.02;
/// Wait after which a task may go to another steward that has places free: some round trips between
/// zones, and about the age of what is known of the others' loads.
const SHARE_AFTER: Duration = Duration::from_millis(25);
/// Shortest wait after which a task is given back as late: what comes late already was sent on
/// purpose.
const LATE_AFTER: Duration = Duration::from_millis(30);
/// Share of its expected time that a task is granted before it is given up: predictions are medians.
const OPTIMISM: f64 = 0.6;

/// The targets and the line.
#[derive(Debug)]
pub struct Steward {
    settings: Settings,
    pictures: BTreeMap<Target, Picture>,
    line: Line,
    /// Thousandths of a core that a task takes in the mean, once one came.
    typical: Option<f64>,
}

impl Steward {
    /// A steward of nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings, pictures: BTreeMap::new(), line: Line::default(), typical: None }
    }

    /// Whether neither targets nor the line hold work.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.line.is_empty() && self.pictures.values().all(Picture::is_idle)
    }

    /// The targets.
    pub fn pictures(&self) -> impl Iterator<Item = &Picture> {
        self.pictures.values()
    }

    /// Whether a target is among this host's.
    #[must_use]
    pub fn has(&self, target: &Target) -> bool {
        self.pictures.contains_key(target)
    }

    /// Number of tasks that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Targets with work under way in zones that this host does not claim.
    #[must_use]
    pub fn held(&self, roster: &Roster) -> Vec<Target> {
        let held = |picture: &&Picture| !roster.claims(&picture.entry.zone) && !picture.is_idle();
        self.pictures.values().filter(held).map(|picture| picture.entry.name.clone()).collect()
    }

    /// Brings the set of targets in line with the directory and this host's claims.
    pub fn sync(&mut self, directory: &directory::List, roster: &Roster, now: Instant) {
        let lease = self.settings.lease;
        for entry in directory.iter().filter(|entry| roster.claims(&entry.zone)) {
            let picture = self.pictures.entry(entry.name.clone());
            let picture = picture.or_insert_with(|| Picture::new(entry.clone(), lease, now));
            picture.update(entry);
        }
        self.pictures.retain(|name, picture| {
            let mine = roster.claims(&picture.entry.zone) && directory.get(name).is_some();
            mine || !picture.is_idle()
        });
    }

    /// Takes tasks in for their owner.
    ///
    /// A caller's repeat may bring a task here through another owner while the first one still has
    /// it here: the repeat takes its place.
    pub fn accept(
        &mut self,
        owner: &Host,
        bundle: Bundle,
        speeds: &Book,
        now: Instant,
        out: &mut Output,
    ) {
        self.displace(owner, &bundle, out);
        let objective = shift(now, bundle.objective_in_ms);
        let due = shift(now, bundle.due_in_ms);
        let fastest = fastest(&self.pictures, speeds, now);
        for part in bundle.parts {
            let task = Task { job: bundle.job.clone(), step: part.step, index: part.index };
            let millis = part.need.room.cpu_millis as f64;
            let typical = self.typical.get_or_insert(millis);
            *typical += (millis - *typical) * TYPICAL_WEIGHT;
            self.line.push(Waiting {
                task,
                owner: owner.clone(),
                opening: bundle.opening,
                kind: bundle.kind.clone(),
                service: bundle.service.clone(),
                priority: bundle.priority,
                run: part.run,
                typical: speeds.typical(&bundle.kind, part.need.estimate()),
                quickest: speeds.typical(&bundle.kind, part.need.estimate()).mul_f64(fastest),
                begun: bundle.begun,
                need: part.need,
                spec: bundle.spec.clone(),
                objective,
                due,
                since: now,
            });
        }
    }

    /// Takes a job's tasks from an earlier opening.
    fn displace(&mut self, owner: &Host, bundle: &Bundle, out: &mut Output) {
        let other = |at: &Host, opening: u64| at != owner || opening != bundle.opening;
        for one in
            self.line.take(|one| one.task.job == bundle.job && other(&one.owner, one.opening))
        {
            let (owner, ending) = not_run(one);
            out.endings.push((owner, Ending { end: End::Adrift, ..ending }));
        }
        for picture in self.pictures.values_mut() {
            picture.unwant(|task, attempt| {
                task.job == bundle.job && other(&attempt.owner, attempt.opening)
            });
        }
    }

    /// Drops a job's tasks; what runs is stopped.
    pub fn cancel(&mut self, owner: &Host, job: &Id, opening: u64) {
        self.line.cancel(owner, job, opening);
        for picture in self.pictures.values_mut() {
            picture.unwant(|task, attempt| {
                attempt.owner == *owner && task.job == *job && attempt.opening == opening
            });
        }
    }

    /// Drops everything that an owner wanted.
    pub fn forget(&mut self, owner: &Host) {
        self.line.take(|one| one.owner == *owner);
        for picture in self.pictures.values_mut() {
            picture.unwant(|_, attempt| attempt.owner == *owner);
        }
    }

    /// Gives every target up after a pause of this process: others may have them by now.
    pub fn abandon(&mut self, out: &mut Output) {
        for picture in self.pictures.values_mut() {
            let mut found = Vec::new();
            picture.release(End::Adrift, &mut found);
            out.endings.extend(found.into_iter().filter_map(ending));
        }
        self.hand_back(out);
    }

    /// Returns what waits to its owners, as not run.
    pub fn hand_back(&mut self, out: &mut Output) {
        for one in self.line.take(|_| true) {
            out.endings.push(not_run(one));
        }
    }

    /// Takes the answer of a target in.
    pub fn answer(
        &mut self,
        call: &Call,
        answer: Answer,
        speeds: &mut Book,
        now: Instant,
        out: &mut Output,
    ) {
        let Some(picture) = self.pictures.get_mut(&call.target) else {
            return;
        };
        for finding in picture.answer(call, answer, now) {
            learn(&call.target, &finding, speeds, now);
            note(&call.target, &finding, out);
            if let Finding::Ended { attempt, .. } = &finding
                && attempt.unwanted
            {
                continue;
            }
            out.endings.extend(ending(finding));
        }
    }

    /// Claims targets that are free to be claimed, renews leases, stops what nobody wants.
    pub fn tend(
        &mut self,
        roster: &Roster,
        mint: &mut Mint,
        (wall, now): (SystemTime, Instant),
        out: &mut Output,
    ) {
        for picture in self.pictures.values_mut() {
            let mine = roster.claims(&picture.entry.zone);
            let wanted = mine || picture.phase != Phase::Free;
            if wanted && picture.wants_claim(now) && !roster.is_held(&picture.entry.name) {
                out.calls.push(picture.claim(mint.next(wall), now));
            }
            out.calls.extend(picture.stops(now));
            out.calls.extend(picture.renewal(now));
        }
    }

    /// Starts what can start, and returns what can't end in time any more.
    pub fn dispatch(&mut self, roster: &Roster, speeds: &Book, now: Instant, out: &mut Output) {
        if self.line.is_empty() {
            return;
        }
        self.drop_hopeless(speeds, now, out);
        self.line.sort(now);
        let mut started = HashSet::new();
        let mut fitless = 0;
        for one in self.line.iter() {
            if fitless >= FITLESS {
                break;
            }
            if self.pictures.values().any(|picture| picture.has(&one.task)) {
                // An earlier attempt is being stopped.
                continue;
            }
            let Some(name) = place(&self.pictures, one, roster, speeds, self.settings, now) else {
                fitless += 1;
                continue;
            };
            fitless = 0;
            let Some(picture) = self.pictures.get_mut(&name) else {
                continue;
            };
            let mut attempt =
                Attempt::new(one.owner.clone(), one.kind.clone(), one.run, one.need.room, now);
            attempt.opening = one.opening;
            attempt.estimate = one.need.estimate();
            attempt.expected = speeds.predict(&one.kind, &name, attempt.estimate, now);
            attempt.objective = one.objective;
            attempt.due = one.due;
            out.notes.push(Note::Started {
                task: one.task.clone(),
                run: one.run,
                target: name.clone(),
                waited: now.duration_since(one.since),
                expected: attempt.expected,
            });
            out.calls.push(picture.start(&one.task, one.spec.clone(), attempt, now));
            started.insert(one.task.clone());
        }
        self.line.remove(&started);
        self.share(roster, now, out);
    }

    /// Returns tasks that have waited here while another steward has places free.
    fn share(&mut self, roster: &Roster, now: Instant, out: &mut Output) {
        let elsewhere = || roster.alive().filter(|peer| !peer.beat.claims.is_empty());
        // Others may see the same places.
        let mut free = elsewhere().map(|peer| peer.beat.load.free).sum::<u32>() / 2;
        let mut fast = elsewhere().map(|peer| peer.beat.load.free_fast).sum::<u32>() / 2;
        let shared = self.line.take(|one| {
            let waited = now.duration_since(one.since) > SHARE_AFTER;
            // What only a fast target ends in time does not gain from a slow one elsewhere.
            let needs_fast = now + one.typical > one.objective;
            let places = if needs_fast { &mut fast } else { &mut free };
            let goes = waited && *places > 0;
            *places -= u32::from(goes);
            goes
        });
        out.endings.extend(shared.into_iter().map(not_run));
    }

    /// Returns tasks that would end after their caller has gone even on the fastest target, and
    /// those of jobs that have waited until they are late and of which nothing has run.
    fn drop_hopeless(&mut self, speeds: &Book, now: Instant, out: &mut Output) {
        let fastest = fastest(&self.pictures, speeds, now);
        let begun: BTreeSet<Id> = self
            .pictures
            .values()
            .flat_map(Picture::attempts)
            .map(|(task, _)| task.job.clone())
            .collect();
        let hopeless = self.line.take(|one| {
            let needed = one.typical.mul_f64(fastest * OPTIMISM);
            let late = one.is_late(now) && now.duration_since(one.since) > LATE_AFTER;
            let fresh = !one.begun && !begun.contains(&one.task.job);
            now + needed > one.due || (late && fresh)
        });
        for one in hopeless {
            let (owner, ending) = not_run(one);
            out.endings.push((owner, Ending { end: End::TooLate, ..ending }));
        }
    }

    /// Load to tell other hosts.
    #[must_use]
    pub fn load(&self, roster: &Roster, speeds: &Book, now: Instant) -> Load {
        let mut load = Load::default();
        let fastest = fastest(&self.pictures, speeds, now);
        let mut capacity = 0.0;
        for picture in self.pictures.values() {
            let entry = &picture.entry;
            let takes = roster.claims(&entry.zone) && entry.state == directory::State::Ready;
            let Some(free) = picture.free(now).filter(|_| takes) else {
                continue;
            };
            let each = self.typical.unwrap_or(entry.capacity.cpu_millis as f64 / 2.0).max(1.0);
            load.places += (entry.capacity.cpu_millis as f64 / each) as u32;
            let places = (free.cpu_millis as f64 / each) as u32;
            load.free += places;
            let factor = speeds.slowness(&entry.name, now).exp();
            if is_fast(Duration::from_secs_f64(factor), Duration::from_secs_f64(fastest)) {
                load.free_fast += places;
            }
            capacity += entry.capacity.cpu_millis as f64;
        }
        let waiting = u32::try_from(self.line.len()).unwrap_or(u32::MAX);
        load.free = load.free.saturating_sub(waiting);
        load.free_fast = load.free_fast.saturating_sub(waiting);
        load.fastest_permille = (fastest * 1_000.0) as u32;
        let work = self.line.work(now);
        load.waits_ms = work.map(|work| (work / f64::max(capacity, 1.0) * 1_000.0) as u32);
        load
    }
}

/// `now`, later or earlier by some milliseconds.
fn shift(now: Instant, by_ms: i64) -> Instant {
    let by = Duration::from_millis(by_ms.unsigned_abs());
    if by_ms >= 0 { now + by } else { now.checked_sub(by).unwrap_or(now) }
}
