//! Answers of an incarnation that stopped in good order, kept by its successor.

use std::collections::BTreeMap;
use std::time::Instant;

use coltsfootshunt_core::answer::{Answer, Doubt, Refusal};
use coltsfootshunt_core::submission::Incarnation;
use serde::{Deserialize, Serialize};

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
pub struct Part {
    /// The incarnation that stops.
    pub from: Incarnation,
    /// Number of this part, from zero.
    pub number: usize,
    /// Number of parts.
    pub parts: usize,
    /// Identifiers below this one are too old to be told apart.
    pub floor: u64,
    /// The first identifier that was never given out.
    pub next: u64,
    /// Finished submissions.
    pub finished: Vec<Finished>,
}

/// What a successor knows of an incarnation that stopped.
#[derive(Debug)]
pub struct Legacy {
    /// When the last part arrived.
    pub since: Instant,
    floor: u64,
    next: u64,
    missing: Vec<bool>,
    finished: BTreeMap<u64, Option<Answer>>,
}

impl Legacy {
    /// Starts from the first part that arrives.
    #[must_use]
    pub fn new(part: &Part, now: Instant) -> Self {
        Self {
            since: now,
            floor: part.floor,
            next: part.next,
            missing: vec![true; part.parts],
            finished: BTreeMap::new(),
        }
    }

    /// Takes in a part; a part that comes twice changes nothing.
    pub fn take(&mut self, part: Part, now: Instant) {
        let Some(missing) = self.missing.get_mut(part.number) else {
            return;
        };
        *missing = false;
        self.since = now;
        let entries = part.finished.into_iter().map(|f| (f.sequence, f.answer));
        self.finished.extend(entries);
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
            Some(None) => Doubt::TooOld.into(),
            None if !self.whole() => Doubt::OwnerGone.into(),
            None if sequence < self.floor => Doubt::TooOld.into(),
            None if sequence >= self.next => Refusal::NeverMinted.into(),
            None => Refusal::Retired.into(),
        }
    }
}
