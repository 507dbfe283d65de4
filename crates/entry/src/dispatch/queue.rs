//! Waiting tasks, in lanes of one team and one kind.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Kind, Team};

use crate::quota::Shares;

/// Tasks of one team and one kind.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lane {
    /// The team.
    pub team: Team,
    /// The kind.
    pub kind: Kind,
}

/// A waiting task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedTask {
    /// Its lane.
    pub lane: Lane,
    /// Its submission.
    pub sequence: u64,
    /// Its place in the job.
    pub task: usize,
    /// Rank of its job.
    pub rank: Instant,
}

#[derive(Debug)]
struct Waiting {
    lane: Lane,
    rank: Instant,
    mean: Duration,
    tasks: VecDeque<usize>,
}

/// All waiting tasks.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Lane, BTreeSet<(Instant, u64)>>,
    jobs: HashMap<u64, Waiting>,
    waiting: usize,
    work: Duration,
}

impl Queue {
    /// Adds tasks of a job; each is thought to run for `mean`.
    pub fn push(
        &mut self,
        lane: Lane,
        sequence: u64,
        rank: Instant,
        mean: Duration,
        tasks: impl IntoIterator<Item = usize>,
    ) {
        let job = self.jobs.entry(sequence).or_insert_with(|| {
            self.lanes.entry(lane.clone()).or_default().insert((rank, sequence));
            Waiting { lane, rank, mean, tasks: VecDeque::new() }
        });
        let before = job.tasks.len();
        job.tasks.extend(tasks);
        let added = job.tasks.len() - before;
        self.waiting += added;
        self.work += job.mean * u32::try_from(added).unwrap_or(u32::MAX);
    }

    /// The task that goes next: teams under their quota first, then by rank. Only kinds that
    /// `open` lets through are looked at; it is asked once for each kind.
    #[must_use]
    pub fn peek(
        &self,
        shares: &Shares,
        slots: u32,
        mut open: impl FnMut(&Kind) -> bool,
    ) -> Option<QueuedTask> {
        let mut asked: Vec<(&Kind, bool)> = Vec::new();
        let mut active = 0;
        let mut last = None;
        let mut heads = Vec::with_capacity(self.lanes.len());
        for (lane, jobs) in &self.lanes {
            let account = shares.account(&lane.team);
            // Lanes of one team are neighbours; its share counts once.
            if last.replace(&lane.team) != Some(&lane.team) {
                active += account.share;
            }
            if is_open(&mut asked, &lane.kind, &mut open) {
                heads.extend(jobs.first().map(|head| (lane, head, account)));
            }
        }
        let best = heads.into_iter().min_by_key(|(_, head, account)| {
            let over = account.is_over(active, slots);
            (over, **head)
        });
        let (lane, (rank, sequence), _) = best?;
        let task = *self.jobs.get(sequence)?.tasks.front()?;
        Some(QueuedTask { lane: lane.clone(), sequence: *sequence, task, rank: *rank })
    }

    /// Takes out the task that [`Self::peek`] showed.
    pub fn pop(&mut self, pick: &QueuedTask) {
        let Some(job) = self.jobs.get_mut(&pick.sequence) else {
            return;
        };
        if job.tasks.pop_front().is_some() {
            self.waiting -= 1;
            self.work = self.work.saturating_sub(job.mean);
        }
        if job.tasks.is_empty() {
            self.remove(pick.sequence);
        }
    }

    /// Drops all waiting tasks of a job.
    pub fn remove(&mut self, sequence: u64) {
        let Some(job) = self.jobs.remove(&sequence) else {
            return;
        };
        let count = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        self.waiting -= job.tasks.len();
        self.work = self.work.saturating_sub(job.mean * count);
        let Some(lane) = self.lanes.get_mut(&job.lane) else {
            return;
        };
        lane.remove(&(job.rank, sequence));
        if lane.is_empty() {
            self.lanes.remove(&job.lane);
        }
    }

    /// Number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Run time of all waiting tasks.
    #[must_use]
    pub fn queued_work(&self) -> Duration {
        self.work
    }

    /// Number of waiting jobs in each lane.
    pub fn lanes(&self) -> impl Iterator<Item = (&Lane, usize)> {
        self.lanes.iter().map(|(lane, jobs)| (lane, jobs.len()))
    }
}

/// The verdict on a kind, which is asked for once.
fn is_open<'a>(
    asked: &mut Vec<(&'a Kind, bool)>,
    kind: &'a Kind,
    open: impl FnOnce(&Kind) -> bool,
) -> bool {
    if let Some((_, known)) = asked.iter().find(|(other, _)| *other == kind) {
        return *known;
    }
    let verdict = open(kind);
    asked.push((kind, verdict));
    verdict
}
