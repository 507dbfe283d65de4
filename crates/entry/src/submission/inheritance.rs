//! Answers of an incarnation that stopped in good order, kept by its successor.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Refusal, Uncertainty};
use coltsfootshunt_core::submission::Incarnation;
use serde::{Deserialize, Serialize};

/// Finished submissions in one part of a hand-over.
const PART_RECORDS: usize = 500;
/// Bytes of answers in one part of a hand-over, as long as one answer is no larger.
const PART_BYTES: usize = 1 << 20;

/// One finished submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Finished {
    /// Place in the former owner's order of identifiers.
    pub sequence: u64,
    /// The answer; none where only the fact is kept.
    pub answer: Option<Answer>,
}

/// One part of the records of an incarnation that stops.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// The incarnation that stops.
    pub from: Incarnation,
    /// Number of this part, from zero.
    pub number: usize,
    /// Number of parts.
    #[serde(rename = "parts")]
    pub count: usize,
    /// Time since the incarnation ended, in milliseconds.
    pub age_ms: u64,
    /// Identifiers below this one are too old to be told apart.
    pub floor: u64,
    /// The first identifier that was never given out.
    pub next: u64,
    /// Finished submissions.
    pub finished: Vec<Finished>,
}

/// Names one part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkId {
    from: Incarnation,
    number: usize,
}

impl Chunk {
    /// Names this part.
    #[must_use]
    pub fn id(&self) -> ChunkId {
        ChunkId { from: self.from, number: self.number }
    }
}

/// What all parts of one incarnation's records have in common.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub from: Incarnation,
    pub floor: u64,
    pub next: u64,
    pub since: Instant,
}

/// Splits records into parts of bounded size.
pub(super) fn split(
    records: impl Iterator<Item = Finished>,
    bounds: Bounds,
    now: Instant,
) -> Vec<Chunk> {
    let mut groups = vec![Vec::new()];
    let mut bytes = 0;
    for finished in records {
        let weight = finished.answer.as_ref().map_or(0, Answer::output_bytes);
        let last = groups.last_mut().expect("there is always a group");
        let fits = last.len() < PART_RECORDS && bytes + weight <= PART_BYTES;
        if fits || last.is_empty() {
            bytes += weight;
            last.push(finished);
        } else {
            bytes = weight;
            groups.push(vec![finished]);
        }
    }
    let count = groups.len();
    let age = now.saturating_duration_since(bounds.since);
    let part = |(number, finished)| Chunk {
        from: bounds.from,
        number,
        count,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        floor: bounds.floor,
        next: bounds.next,
        finished,
    };
    groups.into_iter().enumerate().map(part).collect()
}

/// What a successor knows of an incarnation that stopped.
#[derive(Debug)]
pub struct Inheritance {
    /// When the incarnation ended.
    pub since: Instant,
    floor: u64,
    next: u64,
    missing: Vec<bool>,
    finished: BTreeMap<u64, Option<Answer>>,
}

impl Inheritance {
    /// Starts from the first part that arrives.
    #[must_use]
    pub fn new(part: &Chunk, now: Instant) -> Self {
        let age = Duration::from_millis(part.age_ms);
        Self {
            since: now.checked_sub(age).unwrap_or(now),
            floor: part.floor,
            next: part.next,
            missing: vec![true; part.count],
            finished: BTreeMap::new(),
        }
    }

    /// Takes in a part; a part that comes twice changes nothing. Returns the bytes of answers that
    /// it added. Answers beyond `room` bytes are dropped, and only the fact is kept.
    pub fn take(&mut self, part: Chunk, room: usize) -> usize {
        match self.missing.get_mut(part.number) {
            Some(missing) if *missing => *missing = false,
            _ => return 0,
        }
        let mut added = 0;
        for Finished { sequence, answer } in part.finished {
            let weight = answer.as_ref().map_or(0, Answer::output_bytes);
            let kept = answer.filter(|_| added + weight <= room);
            added += if kept.is_some() { weight } else { 0 };
            self.finished.insert(sequence, kept);
        }
        added
    }

    /// Bytes of answers held.
    #[must_use]
    pub fn weight(&self) -> usize {
        self.finished.values().flatten().map(Answer::output_bytes).sum()
    }

    /// What a further successor has to know; nothing where not all of it is known here.
    #[must_use]
    pub fn chunks(&self, from: Incarnation, now: Instant) -> Vec<Chunk> {
        if !self.whole() {
            return Vec::new();
        }
        let records = self.finished.iter();
        let finished = records
            .map(|(sequence, answer)| Finished { sequence: *sequence, answer: answer.clone() });
        let bounds = Bounds { from, floor: self.floor, next: self.next, since: self.since };
        split(finished, bounds, now)
    }

    /// Whether every part has arrived.
    #[must_use]
    pub fn whole(&self) -> bool {
        !self.missing.iter().any(|missing| *missing)
    }

    /// Number of submissions known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.finished.len()
    }

    /// Whether no submission is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.finished.is_empty()
    }

    /// Answers for a submission of the former owner.
    #[must_use]
    pub fn answer(&self, sequence: u64) -> Answer {
        match self.finished.get(&sequence) {
            Some(Some(answer)) => answer.clone(),
            Some(None) => Uncertainty::TooOld.into(),
            None if !self.whole() => Uncertainty::OwnerGone.into(),
            None if sequence < self.floor => Uncertainty::TooOld.into(),
            None if sequence >= self.next => Refusal::NeverIssued.into(),
            None => Refusal::OwnerStopped.into(),
        }
    }
}
