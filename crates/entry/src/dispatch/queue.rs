//! Queue of waiting tasks, divided into lanes of one team and one kind each.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Kind, Team};

use crate::quota::Shares;

/// Key of the lane that holds the waiting jobs of one team and one kind.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lane {
    /// Team that submitted the jobs.
    pub team: Team,
    /// The kind of the tasks.
    pub kind: Kind,
}

/// A task that waits for a free slot, with its place in the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedTask {
    /// Lane of the job.
    pub lane: Lane,
    /// Sequence number of the submission.
    pub sequence: u64,
    /// Index of the task in the job.
    pub task: usize,
    /// Rank of the job. Lower ranks go first.
    pub rank: Instant,
}

#[derive(Debug)]
struct QueuedJob {
    lane: Lane,
    rank: Instant,
    mean: Duration,
    tasks: VecDeque<usize>,
}

/// All waiting tasks.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Lane, BTreeSet<(Instant, u64)>>,
    jobs: HashMap<u64, QueuedJob>,
    task_count: usize,
    work: Duration,
}

impl Queue {
    /// Adds tasks of a job. `mean` is the expected run time of each.
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
            QueuedJob { lane, rank, mean, tasks: VecDeque::new() }
        });
        let before = job.tasks.len();
        job.tasks.extend(tasks);
        let added = job.tasks.len() - before;
        self.task_count += added;
        self.work += job.mean * u32::try_from(added).unwrap_or(u32::MAX);
    }

    /// Returns the task to start next: tasks of teams below their share first, then by rank. Skips
    /// kinds for which `can_start` returns false; it is called at most once per kind.
    #[must_use]
    pub fn peek(
        &self,
        shares: &Shares,
        slots: u32,
        mut can_start: impl FnMut(&Kind) -> bool,
    ) -> Option<QueuedTask> {
        let mut checked: Vec<(&Kind, bool)> = Vec::new();
        let mut active_shares = 0;
        let mut last = None;
        let mut heads = Vec::with_capacity(self.lanes.len());
        for (lane, jobs) in &self.lanes {
            let account = shares.account(&lane.team);
            // Lanes of one team are adjacent. The team's share counts only once.
            if last.replace(&lane.team) != Some(&lane.team) {
                active_shares += account.share;
            }
            if check_once(&mut checked, &lane.kind, &mut can_start) {
                heads.extend(jobs.first().map(|head| (lane, head, account)));
            }
        }
        let best = heads.into_iter().min_by_key(|(_, head, account)| {
            let is_over = account.is_over(active_shares, slots);
            (is_over, **head)
        });
        let (lane, (rank, sequence), _) = best?;
        let task = *self.jobs.get(sequence)?.tasks.front()?;
        Some(QueuedTask { lane: lane.clone(), sequence: *sequence, task, rank: *rank })
    }

    /// Removes a task that [`Self::peek`] returned.
    pub fn pop(&mut self, next: &QueuedTask) {
        let Some(job) = self.jobs.get_mut(&next.sequence) else {
            return;
        };
        if job.tasks.pop_front().is_some() {
            self.task_count -= 1;
            self.work = self.work.saturating_sub(job.mean);
        }
        if job.tasks.is_empty() {
            self.remove(next.sequence);
        }
    }

    /// Removes all waiting tasks of a job.
    pub fn remove(&mut self, sequence: u64) {
        let Some(job) = self.jobs.remove(&sequence) else {
            return;
        };
        let count = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        self.task_count -= job.tasks.len();
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
        self.task_count
    }

    /// Whether no task is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.task_count == 0
    }

    /// Sum of the expected run times of all waiting tasks.
    #[must_use]
    pub fn queued_work(&self) -> Duration {
        self.work
    }

    /// Number of waiting jobs in each lane.
    pub fn lanes(&self) -> impl Iterator<Item = (&Lane, usize)> {
        self.lanes.iter().map(|(lane, jobs)| (lane, jobs.len()))
    }
}

/// Returns the result of `can_start` for a kind, from `checked` if it was called before.
fn check_once<'a>(
    checked: &mut Vec<(&'a Kind, bool)>,
    kind: &'a Kind,
    can_start: impl FnOnce(&Kind) -> bool,
) -> bool {
    if let Some((_, known)) = checked.iter().find(|(other, _)| *other == kind) {
        return *known;
    }
    let result = can_start(kind);
    checked.push((kind, result));
    result
}
