//! State of a steward.

mod finding;
mod place;

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Target};

use super::{Output, Settings};
use crate::admission::is_hopeless;
use crate::directory;
use crate::job::{Bundle, End, Ending, Id, Room, Task};
use crate::lease::{Answer, Attempt, Call, Finding, Mint, Phase, Picture};
use crate::member::Roster;
use crate::placement::is_fast;
use crate::queue::{Line, Waiting};
use crate::report::Note;
use crate::speed::Book;
use crate::spread::Load;

use finding::{ending, learn, not_run, note};
use place::{Field, fastest, hangs};

/// Steps of jobs that fit nowhere after which the rest of the line is left for later.
const FITLESS: usize = 24;
/// Shortest run time that counts: the way to a target and back.
const SHORTEST_RUN: Duration = Duration::from_millis(5);
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
        let (job, begun) = (bundle.job.clone(), bundle.begun);
        let tasks = self.waiting_tasks(owner, bundle, speeds, now);
        let crowd = self.crowd(&tasks, speeds, now).filter(|_| !begun);
        let Some((wait, slack)) = crowd else {
            tasks.into_iter().for_each(|one| self.line.push(one));
            return;
        };
        out.notes.push(Note::GivenBack { job, tasks: tasks.len(), wait, slack });
        for one in tasks {
            let (owner, ending) = not_run(one);
            out.endings.push((owner, Ending { end: End::Crowded, ..ending }));
        }
    }

    fn waiting_tasks(
        &mut self,
        owner: &Host,
        bundle: Bundle,
        speeds: &Book,
        now: Instant,
    ) -> Vec<Waiting> {
        let objective = shift(now, bundle.objective_in_ms);
        let due = shift(now, bundle.due_in_ms);
        let fastest = fastest(&self.pictures, speeds, now);
        let mut tasks = Vec::with_capacity(bundle.parts.len());
        for part in bundle.parts {
            let task = Task { job: bundle.job.clone(), step: part.step, index: part.index };
            let millis = part.need.room.cpu_millis as f64;
            let usual = self.typical.get_or_insert(millis);
            *usual += (millis - *usual) * TYPICAL_WEIGHT;
            let typical = speeds.typical(&bundle.kind, part.need.estimate());
            tasks.push(Waiting {
                task,
                owner: owner.clone(),
                opening: bundle.opening,
                kind: bundle.kind.clone(),
                service: bundle.service.clone(),
                priority: bundle.priority,
                run: part.run,
                typical,
                quickest: typical.mul_f64(fastest),
                begun: bundle.begun,
                need: part.need,
                spec: bundle.spec.clone(),
                objective,
                due,
                since: now,
            });
        }
        tasks
    }

    /// Wait and slack of a job that comes now and would be late here. Its owner's view of the load is
    /// some heartbeats old, and others send here at the same time.
    fn crowd(
        &self,
        tasks: &[Waiting],
        speeds: &Book,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let latest = tasks.iter().filter_map(Waiting::latest_start).min()?;
        let capacity = self.capacity(&self.usable(now), speeds, now);
        let fits = capacity.free as usize >= self.line.len() + tasks.len();
        if self.line.is_empty() || capacity.places == 0 || fits {
            return None;
        }
        let before = self.line.work_before(latest, now) / capacity.rate.max(1.0);
        let behind = tasks.len().saturating_sub(capacity.free as usize) as f64;
        // What starts at once makes way for the rest, too.
        let run = tasks.iter().map(|one| one.typical).max()?.max(SHORTEST_RUN);
        let turnover = self.turnover() + f64::from(capacity.free) / run.as_secs_f64();
        let wait = Duration::from_secs_f64(before + behind / turnover.max(1.0));
        let slack = latest.saturating_duration_since(now);
        is_hopeless(wait, slack).then_some((wait, slack))
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

    /// Claims targets that are free to be claimed, renews leases, stops what nobody wants and what
    /// hangs.
    pub fn tend(
        &mut self,
        roster: &Roster,
        speeds: &mut Book,
        mint: &mut Mint,
        (wall, now): (SystemTime, Instant),
        out: &mut Output,
    ) {
        let names: Vec<Target> = self.pictures.keys().cloned().collect();
        for name in names {
            self.recall_hanging(&name, speeds, now, out);
            self.tend_one(&name, roster, mint, (wall, now), out);
        }
    }

    /// The same for one target, but for what hangs.
    pub fn tend_one(
        &mut self,
        name: &Target,
        roster: &Roster,
        mint: &mut Mint,
        (wall, now): (SystemTime, Instant),
        out: &mut Output,
    ) {
        let Some(picture) = self.pictures.get_mut(name) else {
            return;
        };
        let mine = roster.claims(&picture.entry.zone);
        let wanted = mine || picture.phase != Phase::Free;
        if wanted && picture.wants_claim(now) && !roster.is_held(&picture.entry.name) {
            out.calls.push(picture.claim(mint.next(wall), now));
        }
        out.calls.extend(picture.stops(now));
        out.calls.extend(picture.renewal(now));
    }

    /// Recalls what runs on a target that hangs, where there is time left to run it elsewhere.
    fn recall_hanging(&mut self, name: &Target, speeds: &mut Book, now: Instant, out: &mut Output) {
        let Some(picture) = self.pictures.get_mut(name).filter(|one| hangs(one, now)) else {
            return;
        };
        let in_time = |one: &Attempt| now + one.expected.mul_f64(OPTIMISM) < one.due;
        let recalled = picture.recall(in_time);
        if recalled > 0 {
            speeds.hung(name, now);
            out.notes.push(Note::Hung { target: name.clone(), recalled });
        }
    }

    /// Starts what can start, and returns what can't end in time any more.
    pub fn dispatch(&mut self, roster: &Roster, speeds: &Book, now: Instant, out: &mut Output) {
        if self.line.is_empty() {
            return;
        }
        self.drop_hopeless(speeds, now, out);
        self.line.sort(now);
        let placed = self.place_all(roster, speeds, now);
        let mut started = HashSet::new();
        let mut jobs = HashSet::new();
        for (one, name, expected) in placed {
            jobs.insert((one.task.job.clone(), one.opening));
            started.insert(one.task.clone());
            self.start(&one, &name, expected, now, out);
        }
        self.line.remove(&started);
        self.line.begin(&jobs);
        self.share(roster, now, out);
    }

    /// The tasks that start now, each with its target and its expected run time there.
    fn place_all(
        &self,
        roster: &Roster,
        speeds: &Book,
        now: Instant,
    ) -> Vec<(Waiting, Target, Duration)> {
        let mut field = Field::new(&self.pictures, roster, speeds, self.settings, now);
        let being_stopped = self.being_stopped();
        let mut placed = Vec::new();
        // What holds for one task of a step holds for the others.
        let mut fitless = HashSet::new();
        for one in self.line.iter() {
            if fitless.len() >= FITLESS {
                break;
            }
            let step = (&one.task.job, one.task.step);
            if fitless.contains(&step) || being_stopped.contains(&one.task) {
                continue;
            }
            match field.place(one) {
                Some((name, expected)) => placed.push((one.clone(), name, expected)),
                None => {
                    fitless.insert(step);
                }
            }
        }
        placed
    }

    /// Tasks of which an earlier attempt is still being stopped.
    fn being_stopped(&self) -> HashSet<&Task> {
        let attempts = self.pictures.values().flat_map(Picture::attempts);
        attempts.filter(|(_, attempt)| attempt.unwanted).map(|(task, _)| task).collect()
    }

    fn start(
        &mut self,
        one: &Waiting,
        name: &Target,
        expected: Duration,
        now: Instant,
        out: &mut Output,
    ) {
        let Some(picture) = self.pictures.get_mut(name) else {
            return;
        };
        let mut attempt =
            Attempt::new(one.owner.clone(), one.kind.clone(), one.run, one.need.room, now);
        attempt.opening = one.opening;
        attempt.estimate = one.need.estimate();
        attempt.expected = expected;
        attempt.objective = one.objective;
        attempt.due = one.due;
        out.notes.push(Note::Started {
            task: one.task.clone(),
            run: one.run,
            target: name.clone(),
            waited: now.duration_since(one.since),
            expected,
        });
        out.calls.push(picture.start(&one.task, one.spec.clone(), attempt, now));
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
    /// those of jobs that have waited until they are late and of which nothing has started.
    fn drop_hopeless(&mut self, speeds: &Book, now: Instant, out: &mut Output) {
        let fastest = fastest(&self.pictures, speeds, now);
        let end = |one: &Waiting| {
            let needed = one.typical.mul_f64(fastest * OPTIMISM);
            let waited = now.duration_since(one.since) > LATE_AFTER;
            match (now + needed > one.due, !one.begun && one.is_late(now) && waited) {
                (true, _) => Some(End::OutOfTime),
                (false, true) => Some(End::TooLate),
                (false, false) => None,
            }
        };
        for one in self.line.take(|one| end(one).is_some()) {
            let why = end(&one).unwrap_or(End::TooLate);
            let (owner, ending) = not_run(one);
            out.endings.push((owner, Ending { end: why, ..ending }));
        }
    }

    /// Targets that may get new work, each with the room that it has left.
    fn usable(&self, now: Instant) -> Vec<(&Picture, Room)> {
        let ready = |picture: &&Picture| picture.entry.state == directory::State::Ready;
        let free = |picture| Picture::free(picture, now).map(|free| (picture, free));
        self.pictures.values().filter(ready).filter_map(free).collect()
    }

    /// What targets can do with tasks of the usual size.
    fn capacity(&self, usable: &[(&Picture, Room)], speeds: &Book, now: Instant) -> Capacity {
        let mut sum = Capacity::default();
        let fastest = fastest(&self.pictures, speeds, now);
        for (picture, free) in usable {
            let all = picture.entry.capacity.cpu_millis as f64;
            let each = self.typical.unwrap_or(all / 2.0).max(1.0);
            let factor = speeds.slowness(&picture.entry.name, now).exp();
            let places = (all / each).floor();
            sum.places += places as u32;
            sum.rate += places * each / factor;
            let free = (free.cpu_millis as f64 / each) as u32;
            sum.free += free;
            if is_fast(Duration::from_secs_f64(factor), Duration::from_secs_f64(fastest)) {
                sum.free_fast += free;
            }
        }
        sum
    }

    /// Ends that can be expected in a second of what runs now.
    fn turnover(&self) -> f64 {
        let running = self.pictures.values().flat_map(Picture::attempts);
        let expected = running.map(|(_, attempt)| attempt.expected.max(SHORTEST_RUN).as_secs_f64());
        expected.map(f64::recip).sum()
    }

    /// Load to tell other hosts.
    #[must_use]
    pub fn load(&self, roster: &Roster, speeds: &Book, now: Instant) -> Load {
        let mut usable = self.usable(now);
        usable.retain(|(picture, _)| roster.claims(&picture.entry.zone));
        let capacity = self.capacity(&usable, speeds, now);
        let fastest = fastest(&self.pictures, speeds, now);
        let waiting = u32::try_from(self.line.len()).unwrap_or(u32::MAX);
        let work = self.line.work(now);
        Load {
            places: capacity.places,
            free: capacity.free.saturating_sub(waiting),
            free_fast: capacity.free_fast.saturating_sub(waiting),
            fastest_permille: (fastest * 1_000.0) as u32,
            turnover: self.turnover() as u32,
            waits_ms: work.map(|work| (work / capacity.rate.max(1.0) * 1_000.0) as u32),
        }
    }
}

/// What some targets can do, for tasks of the usual size.
#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    places: u32,
    free: u32,
    free_fast: u32,
    /// Work of an average target that they do in a second with all places taken, in thousandths of a
    /// core times seconds.
    rate: f64,
}

/// `now`, later or earlier by some milliseconds.
fn shift(now: Instant, by_ms: i64) -> Instant {
    let by = Duration::from_millis(by_ms.unsigned_abs());
    if by_ms >= 0 { now + by } else { now.checked_sub(by).unwrap_or(now) }
}
