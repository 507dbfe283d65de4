//! Handover of answers: an incarnation that shuts down as planned sends its records to a successor,
//! which answers for it from then on.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Refusal, Uncertainty};
use coltsfootshunt_core::submission::Incarnation;
use serde::{Deserialize, Serialize};

/// Largest number of records in one chunk.
const MAX_CHUNK_RECORDS: usize = 500;
/// Largest size of the answers in one chunk. A single larger answer makes a chunk of its own.
const MAX_CHUNK_BYTES: usize = 1 << 20;

/// Record of one finished submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Finished {
    /// Sequence number in the identifier that the former owner issued.
    pub sequence: u64,
    /// Answer of the submission; `None` if the answer was dropped.
    pub answer: Option<Answer>,
}

/// Chunk of the records of an incarnation that shuts down.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// Incarnation that issued the identifiers.
    pub from: Incarnation,
    /// Sequence numbers that this chunk covers: it has all their records. The chunks of one split
    /// cover all that were issued. A repeated handover may split the records elsewhere.
    pub range: Range<u64>,
    /// Time since the incarnation ended, in milliseconds.
    pub age_ms: u64,
    /// Sequence numbers below this one that have no record have expired.
    pub floor: u64,
    /// First sequence number that was never issued.
    pub next: u64,
    /// Records in this chunk.
    pub finished: Vec<Finished>,
}

/// Identifies a chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChunkId {
    from: Incarnation,
    range: Range<u64>,
}

impl Chunk {
    /// Identifier of this chunk.
    #[must_use]
    pub fn id(&self) -> ChunkId {
        ChunkId { from: self.from, range: self.range.clone() }
    }
}

/// Fields that are the same in all chunks of one incarnation; see [`Chunk`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub from: Incarnation,
    pub floor: u64,
    pub next: u64,
    pub ended_at: Instant,
}

/// Splits records into chunks of bounded size. Without records there is one empty chunk.
pub(super) fn split(
    records: impl Iterator<Item = Finished>,
    bounds: Bounds,
    now: Instant,
) -> Vec<Chunk> {
    let mut groups = vec![Vec::new()];
    let mut bytes = 0;
    for finished in records {
        let size = finished.answer.as_ref().map_or(0, Answer::output_bytes);
        let last = groups.last_mut().expect("`groups` is never empty");
        let fits = last.len() < MAX_CHUNK_RECORDS && bytes + size <= MAX_CHUNK_BYTES;
        if fits || last.is_empty() {
            bytes += size;
            last.push(finished);
        } else {
            bytes = size;
            groups.push(vec![finished]);
        }
    }
    let mut ends: Vec<u64> =
        groups.iter().skip(1).filter_map(|group| Some(group.first()?.sequence)).collect();
    ends.push(bounds.next);
    let mut start = 0;
    let age = now.saturating_duration_since(bounds.ended_at);
    let chunk = |(finished, end)| Chunk {
        from: bounds.from,
        range: std::mem::replace(&mut start, end)..end,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        floor: bounds.floor,
        next: bounds.next,
        finished,
    };
    groups.into_iter().zip(ends).map(chunk).collect()
}

/// Records of a stopped incarnation at its successor.
#[derive(Debug)]
pub struct Inheritance {
    /// Time at which the incarnation ended.
    pub ended_at: Instant,
    floor: u64,
    next: u64,
    /// Sequence numbers that no chunk has covered yet, in order.
    missing: Vec<Range<u64>>,
    /// Answers by sequence number; `None` if the answer was dropped.
    finished: BTreeMap<u64, Option<Answer>>,
}

impl Inheritance {
    /// Creates an inheritance from the chunk that arrives first, without storing its records.
    #[must_use]
    pub fn new(chunk: &Chunk, now: Instant) -> Self {
        let age = Duration::from_millis(chunk.age_ms);
        Self {
            ended_at: now.checked_sub(age).unwrap_or(now),
            floor: chunk.floor,
            next: chunk.next,
            missing: Vec::from_iter((chunk.next > 0).then_some(0..chunk.next)),
            finished: BTreeMap::new(),
        }
    }

    /// Stores the records of a chunk that no earlier chunk has covered. Answers beyond `available`
    /// bytes are dropped, and only the fact that the submission finished is kept. Returns the bytes
    /// of the answers that were stored.
    pub fn add(&mut self, chunk: Chunk, available: usize) -> usize {
        // The records that expired before a repeated handover are in none of its chunks.
        self.floor = self.floor.max(chunk.floor);
        let missing = std::mem::take(&mut self.missing);
        let is_missing = |sequence| missing.iter().any(|range| range.contains(&sequence));
        let mut added = 0;
        for Finished { sequence, answer } in chunk.finished {
            if !is_missing(sequence) {
                continue;
            }
            let size = answer.as_ref().map_or(0, Answer::output_bytes);
            let kept = answer.filter(|_| added + size <= available);
            added += if kept.is_some() { size } else { 0 };
            self.finished.insert(sequence, kept);
        }
        let Range { start, end } = chunk.range;
        let uncovered = missing
            .iter()
            .flat_map(|range| [range.start..range.end.min(start), range.start.max(end)..range.end]);
        self.missing = uncovered.filter(|range| !range.is_empty()).collect();
        added
    }

    /// Bytes of the stored answers.
    #[must_use]
    pub fn output_bytes(&self) -> usize {
        self.finished.values().flatten().map(Answer::output_bytes).sum()
    }

    /// Chunks for a further successor. Empty unless all records have arrived here: a successor must
    /// not take an unknown submission for one that did not run.
    #[must_use]
    pub fn chunks(&self, from: Incarnation, now: Instant) -> Vec<Chunk> {
        if !self.is_complete() {
            return Vec::new();
        }
        let records = self.finished.iter();
        let finished = records
            .map(|(sequence, answer)| Finished { sequence: *sequence, answer: answer.clone() });
        let bounds = Bounds { from, floor: self.floor, next: self.next, ended_at: self.ended_at };
        split(finished, bounds, now)
    }

    /// Whether the chunks that have arrived cover all records.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Number of finished submissions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.finished.len()
    }

    /// Whether there is no finished submission.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.finished.is_empty()
    }

    /// Answer to a submission of the former owner. A submission without a record is said not to
    /// have run only if all records have arrived.
    #[must_use]
    pub fn answer(&self, sequence: u64) -> Answer {
        match self.finished.get(&sequence) {
            Some(Some(answer)) => answer.clone(),
            Some(None) => Uncertainty::TooOld.into(),
            None if !self.is_complete() => Uncertainty::OwnerGone.into(),
            None if sequence < self.floor => Uncertainty::TooOld.into(),
            None if sequence >= self.next => Refusal::NeverIssued.into(),
            None => Refusal::OwnerStopped.into(),
        }
    }
}
