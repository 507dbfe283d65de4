//! The owner's records. Only the incarnation that minted an identifier holds a ledger for it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Refusal, Uncertainty};
use coltsfootshunt_core::name::Zone;
use coltsfootshunt_core::submission::{Id, Incarnation};

use super::inheritance::{Bounds, split};
use super::{Chunk, Finished, Inheritance, Open, RequestId, Stage, Step, Trace};

/// Bytes of a kept record beside its answer and its course.
const RECORD_BYTES: usize = 256;

/// Stands for the digest of a submission that was cancelled before its job came.
const ANY_JOB: u128 = 0;

/// Bounds of the ledger.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time within which a fresh identifier has to be used.
    pub identifier_ttl: Duration,
    /// Identifiers within that time; more are not given out.
    pub max_live_identifiers: u64,
    /// Time for which an answer is kept.
    pub retention: Duration,
    /// Bytes of answers that are kept; the oldest give way.
    pub max_retained_bytes: usize,
    /// Submissions without an answer; more are refused.
    pub max_open: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            identifier_ttl: Duration::from_secs(300),
            max_live_identifiers: 1_000_000,
            retention: Duration::from_secs(300),
            max_retained_bytes: 48 << 20,
            max_open: 20_000,
        }
    }
}

/// How an identifier stands with its owner.
#[derive(Debug)]
pub enum Lookup {
    /// Given out and never used.
    Unused,
    /// Accepted and not answered.
    Open,
    /// Answered.
    Answered(Answer),
}

#[derive(Debug)]
enum Record {
    Open(Box<Open>),
    Done(Box<Done>),
    /// The submission ended; its answer is no longer kept.
    Ended,
}

#[derive(Debug)]
struct Done {
    digest: u128,
    answer: Answer,
    course: Trace,
    weight: usize,
}

#[derive(Debug)]
struct Batch {
    until: u64,
    at: Instant,
}

/// Records of all submissions of one incarnation, and of incarnations that left theirs to it.
#[derive(Debug)]
pub struct Registry {
    zone: Zone,
    incarnation: Incarnation,
    limits: Limits,
    next: u64,
    floor: u64,
    batches: VecDeque<Batch>,
    records: BTreeMap<u64, Record>,
    open: usize,
    due: BTreeSet<(Instant, u64)>,
    done: VecDeque<(Instant, u64)>,
    done_bytes: usize,
    legacies: BTreeMap<Incarnation, Inheritance>,
    inherited_bytes: usize,
}

impl Registry {
    /// An empty ledger.
    #[must_use]
    pub fn new(zone: Zone, incarnation: Incarnation, limits: Limits) -> Self {
        Self {
            zone,
            incarnation,
            limits,
            next: 0,
            floor: 0,
            batches: VecDeque::new(),
            records: BTreeMap::new(),
            open: 0,
            due: BTreeSet::new(),
            done: VecDeque::new(),
            done_bytes: 0,
            legacies: BTreeMap::new(),
            inherited_bytes: 0,
        }
    }

    /// Gives out identifiers.
    ///
    /// # Errors
    /// [`Refusal::Full`] where too many are out already.
    pub fn issue(&mut self, count: usize, now: Instant) -> Result<Vec<Id>, Refusal> {
        let until = self.next + count as u64;
        if until - self.floor > self.limits.max_live_identifiers {
            return Err(Refusal::Full);
        }
        let ids = (self.next..until).map(|sequence| self.id(sequence)).collect();
        self.next = until;
        self.batches.push_back(Batch { until, at: now });
        Ok(ids)
    }

    /// The identifier at a place in this ledger's order.
    #[must_use]
    pub fn id(&self, sequence: u64) -> Id {
        Id { zone: self.zone.clone(), owner: self.incarnation, sequence }
    }

    /// How an identifier of this incarnation stands. With a digest, another job under the same
    /// identifier is told from a repeat.
    #[must_use]
    pub fn lookup(&self, sequence: u64, digest: Option<u128>) -> Lookup {
        let other = |known: u128| known != ANY_JOB && digest.is_some_and(|digest| digest != known);
        match self.records.get(&sequence) {
            Some(Record::Open(open)) if other(open.digest) => mismatch(),
            Some(Record::Done(done)) if other(done.digest) => mismatch(),
            Some(Record::Open(_)) => Lookup::Open,
            Some(Record::Done(done)) => Lookup::Answered(done.answer.clone()),
            Some(Record::Ended) => Lookup::Answered(Uncertainty::TooOld.into()),
            None if sequence >= self.next => Lookup::Answered(Refusal::NeverIssued.into()),
            None if sequence < self.floor => Lookup::Answered(Uncertainty::TooOld.into()),
            None => Lookup::Unused,
        }
    }

    /// Whether another submission may be opened.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.open < self.limits.max_open
    }

    /// Number of submissions without an answer.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Number of submissions with a kept answer.
    #[must_use]
    pub fn answered_count(&self) -> usize {
        self.done.len()
    }

    /// Bytes of kept answers.
    #[must_use]
    pub fn answered_bytes(&self) -> usize {
        self.done_bytes
    }

    /// Opens a fresh submission.
    pub fn open(&mut self, sequence: u64, open: Open) {
        self.due.insert((open.deadline, sequence));
        self.open += 1;
        self.records.insert(sequence, Record::Open(Box::new(open)));
    }

    /// The open submission at `sequence`.
    pub fn get_mut(&mut self, sequence: u64) -> Option<&mut Open> {
        match self.records.get_mut(&sequence) {
            Some(Record::Open(open)) => Some(open),
            _ => None,
        }
    }

    /// The open submission at `sequence`.
    #[must_use]
    pub fn get(&self, sequence: u64) -> Option<&Open> {
        match self.records.get(&sequence) {
            Some(Record::Open(open)) => Some(open),
            _ => None,
        }
    }

    /// Open submissions, in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Open)> {
        self.records.iter().filter_map(|(sequence, record)| match record {
            Record::Open(open) => Some((*sequence, open.as_ref())),
            _ => None,
        })
    }

    /// What happened with a submission, as far as it is kept.
    #[must_use]
    pub fn trace(&self, sequence: u64) -> Option<&Trace> {
        match self.records.get(&sequence)? {
            Record::Open(open) => Some(&open.trace),
            Record::Done(done) => Some(&done.course),
            Record::Ended => None,
        }
    }

    /// Keeps the answer of a submission that is open no more. Returns those who wait for it.
    pub fn close(&mut self, sequence: u64, answer: Answer, now: Instant) -> Vec<RequestId> {
        let Some(Record::Open(mut open)) = self.records.remove(&sequence) else {
            return Vec::new();
        };
        self.due.remove(&(open.deadline, sequence));
        self.open -= 1;
        let waiters = open.take_waiters();
        let stage = Stage::Answered { outcome: answer.outcome() };
        open.trace.record(open.accepted_at, now, stage);
        if matches!(answer, Answer::Complete { .. }) {
            open.trace.shorten();
        }
        self.keep(sequence, open.digest, open.trace, answer, now);
        waiters
    }

    /// Keeps the answer of a submission that was refused at once.
    pub fn refuse(&mut self, sequence: u64, digest: u128, refusal: Refusal, now: Instant) {
        let mut course = Trace::default();
        let answer = Answer::from(refusal);
        course.record(now, now, Stage::Answered { outcome: answer.outcome() });
        self.keep(sequence, digest, course, answer, now);
    }

    /// Ends a submission that has not come yet: whatever job comes under it is answered as
    /// cancelled.
    pub fn cancel_unused(&mut self, sequence: u64, now: Instant) {
        self.refuse(sequence, ANY_JOB, Refusal::Cancelled, now);
    }

    /// Submissions whose deadline has passed.
    pub fn expired(&mut self, now: Instant) -> Vec<u64> {
        let passed = self.due.iter().take_while(|(due, _)| *due <= now);
        passed.map(|(_, sequence)| *sequence).collect()
    }

    /// The next deadline.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.due.first().map(|(due, _)| *due)
    }

    /// Forgets what is past its retention.
    pub fn prune(&mut self, now: Instant) {
        self.drop_answers(now);
        self.raise_floor(now);
        self.drop_legacies(now);
    }

    /// The records as parts for a successor: this incarnation's, and those that were left to it.
    #[must_use]
    pub fn chunks(&self, now: Instant) -> Vec<Chunk> {
        let bounds =
            Bounds { from: self.incarnation, floor: self.floor, next: self.next, since: now };
        let mut parts = split(self.finished(), bounds, now);
        let legacies = self.legacies.iter();
        parts.extend(legacies.flat_map(|(from, legacy)| legacy.chunks(*from, now)));
        parts
    }

    /// Takes in a part of another incarnation's records.
    pub fn inherit(&mut self, part: Chunk, now: Instant) {
        let room = self.limits.max_retained_bytes.saturating_sub(self.inherited_bytes);
        let legacy = self.legacies.entry(part.from).or_insert_with(|| Inheritance::new(&part, now));
        self.inherited_bytes += legacy.take(part, room);
    }

    /// The records that another incarnation left.
    #[must_use]
    pub fn inheritance(&self, incarnation: Incarnation) -> Option<&Inheritance> {
        self.legacies.get(&incarnation)
    }

    /// Incarnations whose records are held here.
    pub fn inherited(&self) -> impl Iterator<Item = Incarnation> {
        self.legacies.keys().copied()
    }

    fn finished(&self) -> impl Iterator<Item = Finished> {
        self.records.iter().map(|(sequence, record)| {
            let answer = match record {
                Record::Done(done) => Some(done.answer.clone()),
                Record::Open(_) | Record::Ended => None,
            };
            Finished { sequence: *sequence, answer }
        })
    }

    fn keep(&mut self, sequence: u64, digest: u128, course: Trace, answer: Answer, now: Instant) {
        let steps = course.steps.len() * size_of::<Step>();
        let weight = answer.output_bytes() + steps + RECORD_BYTES;
        self.done_bytes += weight;
        self.done.push_back((now, sequence));
        let done = Done { digest, answer, course, weight };
        self.records.insert(sequence, Record::Done(Box::new(done)));
    }

    fn drop_answers(&mut self, now: Instant) {
        while let Some((at, sequence)) = self.done.front().copied() {
            let kept = now.duration_since(at) < self.limits.retention;
            if kept && self.done_bytes <= self.limits.max_retained_bytes {
                return;
            }
            self.done.pop_front();
            if let Some(Record::Done(done)) = self.records.insert(sequence, Record::Ended) {
                self.done_bytes -= done.weight;
            }
        }
    }

    fn drop_legacies(&mut self, now: Instant) {
        let retention = self.limits.retention;
        let mut freed = 0;
        self.legacies.retain(|_, legacy| {
            let kept = now.duration_since(legacy.since) < retention;
            freed += if kept { 0 } else { legacy.weight() };
            kept
        });
        self.inherited_bytes -= freed;
    }

    fn raise_floor(&mut self, now: Instant) {
        let life = self.limits.identifier_ttl;
        while let Some(batch) = self.batches.front() {
            if now.duration_since(batch.at) < life {
                break;
            }
            self.floor = batch.until;
            self.batches.pop_front();
        }
        while let Some(entry) = self.records.first_entry() {
            // A record that still says something stays, and shields only itself.
            if *entry.key() >= self.floor || !matches!(entry.get(), Record::Ended) {
                return;
            }
            entry.remove();
        }
    }
}

fn mismatch() -> Lookup {
    Lookup::Answered(Refusal::Mismatch.into())
}
