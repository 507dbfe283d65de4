//! Registry of submissions at their owner, the incarnation that issued their identifiers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Refusal, Uncertainty};
use coltsfootshunt_core::name::Zone;
use coltsfootshunt_core::submission::{Id, Incarnation};

use super::inheritance::{Bounds, split};
use super::{Chunk, Finished, Inheritance, Open, RequestId, Stage, Step, Trace};

/// Bytes that an answered submission takes beside its answer and its trace.
const RECORD_OVERHEAD_BYTES: usize = 256;

/// Digest of a submission that was cancelled before its job arrived; it matches every job.
const ANY_DIGEST: u128 = 0;

/// Bounds of the registry.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time for which an unused identifier stays valid.
    pub identifier_ttl: Duration,
    /// Identifiers that may be valid at once; beyond that no more are issued.
    pub max_live_identifiers: u64,
    /// Time for which an answer is kept.
    pub retention: Duration,
    /// Bytes of kept answers and their traces; beyond that the oldest are dropped. Inherited
    /// answers have the same bound of their own.
    pub max_retained_bytes: usize,
    /// Submissions without an answer; beyond that new ones are refused.
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

/// Result of looking up an identifier.
#[derive(Debug)]
pub enum Lookup {
    /// The identifier was issued, and no job was submitted under it yet.
    Unused,
    /// The submission was accepted and has no answer yet.
    Open,
    /// The answer is final: that of the job, or the reason why there is none.
    Answered(Answer),
}

#[derive(Debug)]
enum Record {
    Open(Box<Open>),
    Answered(Box<Answered>),
    /// The submission was answered, and its answer is no longer kept.
    Dropped,
}

#[derive(Debug)]
struct Answered {
    digest: u128,
    answer: Answer,
    trace: Trace,
    /// Bytes that this record adds to [`Registry::answered_bytes`].
    bytes: usize,
}

/// Identifiers issued by one request.
#[derive(Debug)]
struct Batch {
    /// Sequence number after the last one of the batch.
    end: u64,
    issued_at: Instant,
}

/// Submissions of one incarnation, and those that stopped incarnations handed over to it.
#[derive(Debug)]
pub struct Registry {
    zone: Zone,
    incarnation: Incarnation,
    limits: Limits,
    /// Sequence number of the next identifier to issue.
    next: u64,
    /// Sequence numbers below this one have expired, unless a record is still kept for them.
    floor: u64,
    /// Batches that have not expired, oldest first.
    batches: VecDeque<Batch>,
    records: BTreeMap<u64, Record>,
    open: usize,
    /// Deadlines of open submissions, with their sequence numbers.
    deadlines: BTreeSet<(Instant, u64)>,
    /// Answered submissions whose answers are kept, oldest answer first.
    answered: VecDeque<(Instant, u64)>,
    answered_bytes: usize,
    inheritances: BTreeMap<Incarnation, Inheritance>,
    inherited_bytes: usize,
}

impl Registry {
    /// Creates an empty registry.
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
            deadlines: BTreeSet::new(),
            answered: VecDeque::new(),
            answered_bytes: 0,
            inheritances: BTreeMap::new(),
            inherited_bytes: 0,
        }
    }

    /// Issues fresh identifiers.
    ///
    /// # Errors
    /// [`Refusal::Full`] if more than [`Limits::max_live_identifiers`] would be valid.
    pub fn issue(&mut self, count: usize, now: Instant) -> Result<Vec<Id>, Refusal> {
        let end = self.next + count as u64;
        if end - self.floor > self.limits.max_live_identifiers {
            return Err(Refusal::Full);
        }
        let ids = (self.next..end).map(|sequence| self.id(sequence)).collect();
        self.next = end;
        self.batches.push_back(Batch { end, issued_at: now });
        Ok(ids)
    }

    /// Identifier of this incarnation with the given sequence number.
    #[must_use]
    pub fn id(&self, sequence: u64) -> Id {
        Id { zone: self.zone.clone(), owner: self.incarnation, sequence }
    }

    /// Looks up an identifier of this incarnation. With the `digest` of a job, the result is
    /// [`Refusal::Mismatch`] if another job was submitted under the identifier.
    #[must_use]
    pub fn lookup(&self, sequence: u64, digest: Option<u128>) -> Lookup {
        let differs =
            |known: u128| known != ANY_DIGEST && digest.is_some_and(|digest| digest != known);
        match self.records.get(&sequence) {
            Some(Record::Open(open)) if differs(open.digest) => mismatch(),
            Some(Record::Answered(answered)) if differs(answered.digest) => mismatch(),
            Some(Record::Open(_)) => Lookup::Open,
            Some(Record::Answered(answered)) => Lookup::Answered(answered.answer.clone()),
            Some(Record::Dropped) => Lookup::Answered(Uncertainty::TooOld.into()),
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

    /// Number of submissions whose answer is kept.
    #[must_use]
    pub fn answered_count(&self) -> usize {
        self.answered.len()
    }

    /// Bytes of kept answers, including their traces and overhead.
    #[must_use]
    pub fn answered_bytes(&self) -> usize {
        self.answered_bytes
    }

    /// Adds an accepted submission. Its identifier has to be unused.
    pub fn open(&mut self, sequence: u64, open: Open) {
        self.deadlines.insert((open.deadline, sequence));
        self.open += 1;
        self.records.insert(sequence, Record::Open(Box::new(open)));
    }

    /// Open submission with the given sequence number.
    pub fn get_mut(&mut self, sequence: u64) -> Option<&mut Open> {
        match self.records.get_mut(&sequence) {
            Some(Record::Open(open)) => Some(open),
            _ => None,
        }
    }

    /// Open submission with the given sequence number.
    #[must_use]
    pub fn get(&self, sequence: u64) -> Option<&Open> {
        match self.records.get(&sequence) {
            Some(Record::Open(open)) => Some(open),
            _ => None,
        }
    }

    /// Open submissions in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Open)> {
        self.records.iter().filter_map(|(sequence, record)| match record {
            Record::Open(open) => Some((*sequence, open.as_ref())),
            _ => None,
        })
    }

    /// Trace of a submission, if it is open or its answer is kept.
    #[must_use]
    pub fn trace(&self, sequence: u64) -> Option<&Trace> {
        match self.records.get(&sequence)? {
            Record::Open(open) => Some(&open.trace),
            Record::Answered(answered) => Some(&answered.trace),
            Record::Dropped => None,
        }
    }

    /// Closes an open submission with its answer. Returns the requests that wait for it.
    pub fn close(&mut self, sequence: u64, answer: Answer, now: Instant) -> Vec<RequestId> {
        let Some(Record::Open(mut open)) = self.records.remove(&sequence) else {
            return Vec::new();
        };
        self.deadlines.remove(&(open.deadline, sequence));
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

    /// Records the refusal of a submission that was not accepted.
    pub fn refuse(&mut self, sequence: u64, digest: u128, refusal: Refusal, now: Instant) {
        let mut trace = Trace::default();
        let answer = Answer::from(refusal);
        trace.record(now, now, Stage::Answered { outcome: answer.outcome() });
        self.keep(sequence, digest, trace, answer, now);
    }

    /// Cancels an unused identifier: every job that is submitted under it later gets the answer
    /// [`Refusal::Cancelled`].
    pub fn cancel_unused(&mut self, sequence: u64, now: Instant) {
        self.refuse(sequence, ANY_DIGEST, Refusal::Cancelled, now);
    }

    /// Sequence numbers of open submissions whose deadline has passed.
    pub fn expired(&mut self, now: Instant) -> Vec<u64> {
        let expired = self.deadlines.iter().take_while(|(deadline, _)| *deadline <= now);
        expired.map(|(_, sequence)| *sequence).collect()
    }

    /// Earliest deadline of an open submission.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Drops answers and inherited records past their retention, and expired identifiers.
    pub fn prune(&mut self, now: Instant) {
        self.drop_answers(now);
        self.raise_floor(now);
        self.drop_inheritances(now);
    }

    /// All records for a successor, split into chunks: those of this incarnation and the inherited
    /// ones.
    #[must_use]
    pub fn chunks(&self, now: Instant) -> Vec<Chunk> {
        let bounds =
            Bounds { from: self.incarnation, floor: self.floor, next: self.next, ended_at: now };
        let mut chunks = split(self.finished(), bounds, now);
        let inheritances = self.inheritances.iter();
        chunks.extend(inheritances.flat_map(|(from, inherited)| inherited.chunks(*from, now)));
        chunks
    }

    /// Stores a chunk of another incarnation's records. Answers beyond
    /// [`Limits::max_retained_bytes`] are dropped.
    pub fn inherit(&mut self, chunk: Chunk, now: Instant) {
        let available = self.limits.max_retained_bytes.saturating_sub(self.inherited_bytes);
        let inheritance =
            self.inheritances.entry(chunk.from).or_insert_with(|| Inheritance::new(&chunk, now));
        self.inherited_bytes += inheritance.add(chunk, available);
    }

    /// Records that an incarnation handed over to this one, if any.
    #[must_use]
    pub fn inheritance(&self, incarnation: Incarnation) -> Option<&Inheritance> {
        self.inheritances.get(&incarnation)
    }

    /// Incarnations whose records were handed over to this one.
    pub fn inherited(&self) -> impl Iterator<Item = Incarnation> {
        self.inheritances.keys().copied()
    }

    fn finished(&self) -> impl Iterator<Item = Finished> {
        self.records.iter().map(|(sequence, record)| {
            let answer = match record {
                Record::Answered(answered) => Some(answered.answer.clone()),
                Record::Open(_) | Record::Dropped => None,
            };
            Finished { sequence: *sequence, answer }
        })
    }

    fn keep(&mut self, sequence: u64, digest: u128, trace: Trace, answer: Answer, now: Instant) {
        let trace_bytes = trace.steps.len() * size_of::<Step>();
        let bytes = answer.output_bytes() + trace_bytes + RECORD_OVERHEAD_BYTES;
        self.answered_bytes += bytes;
        self.answered.push_back((now, sequence));
        let answered = Answered { digest, answer, trace, bytes };
        self.records.insert(sequence, Record::Answered(Box::new(answered)));
    }

    fn drop_answers(&mut self, now: Instant) {
        while let Some((answered_at, sequence)) = self.answered.front().copied() {
            let is_recent = now.duration_since(answered_at) < self.limits.retention;
            if is_recent && self.answered_bytes <= self.limits.max_retained_bytes {
                return;
            }
            self.answered.pop_front();
            if let Some(Record::Answered(answered)) = self.records.insert(sequence, Record::Dropped)
            {
                self.answered_bytes -= answered.bytes;
            }
        }
    }

    fn drop_inheritances(&mut self, now: Instant) {
        let retention = self.limits.retention;
        let mut freed = 0;
        self.inheritances.retain(|_, inheritance| {
            let is_recent = now.duration_since(inheritance.ended_at) < retention;
            freed += if is_recent { 0 } else { inheritance.output_bytes() };
            is_recent
        });
        self.inherited_bytes -= freed;
    }

    fn raise_floor(&mut self, now: Instant) {
        let ttl = self.limits.identifier_ttl;
        while let Some(batch) = self.batches.front() {
            if now.duration_since(batch.issued_at) < ttl {
                break;
            }
            self.floor = batch.end;
            self.batches.pop_front();
        }
        while let Some(entry) = self.records.first_entry() {
            // A record that is open or has an answer stays below the floor, where unused
            // identifiers count as expired. Dropped records after it are removed once it is gone.
            if *entry.key() >= self.floor || !matches!(entry.get(), Record::Dropped) {
                return;
            }
            entry.remove();
        }
    }
}

fn mismatch() -> Lookup {
    Lookup::Answered(Refusal::Mismatch.into())
}
