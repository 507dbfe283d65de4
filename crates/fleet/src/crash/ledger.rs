//! The runs that were lost lately, and what they say of their tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;

use super::{Loss, Run, Verdict};
use crate::job::{Id, Task};

/// Time for which a loss counts after the last news of it. Callers that repeat their jobs do so within
/// seconds.
const RETENTION: Duration = Duration::from_secs(120);
/// Largest number of losses that are kept, about 200 bytes each.
const MAX_LOSSES: usize = 10_000;
/// Number of targets lost under a task after which it starts nowhere until they have been heard, and is given up
/// if all of them have crashed. Two may crash for another reason; after the first loss the task runs alone.
const MAX_LOST_TARGETS: usize = 3;

/// What the lost runs of a task say of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// No target was lost under it.
    Clear,
    /// A target was lost under it, perhaps because of another task there.
    Suspect,
    /// Too many targets were lost under it to start it again before they have been heard.
    Pending,
    /// It crashes the targets that start it.
    Poison,
}

/// A loss, and when there was news of it.
#[derive(Debug)]
struct Entry {
    alone: bool,
    verdict: Verdict,
    changed_at: Instant,
}

/// The runs that were lost lately on all targets.
#[derive(Debug, Default)]
pub struct Ledger {
    losses: BTreeMap<Task, BTreeMap<Run, Entry>>,
    /// Open losses by the address of their target.
    open: BTreeMap<SocketAddr, Vec<Run>>,
    len: usize,
}

impl Ledger {
    /// Number of losses.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no run was lost lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a loss or news of it. Returns whether this host did not know it.
    pub fn add(&mut self, loss: &Loss, now: Instant) -> bool {
        let Loss { run, alone, verdict } = loss;
        let runs = self.losses.entry(run.task.clone()).or_default();
        match runs.get_mut(run) {
            Some(entry) if entry.verdict >= *verdict => return false,
            Some(entry) => {
                entry.verdict = *verdict;
                entry.changed_at = now;
                self.close(run);
            }
            None => {
                let entry = Entry { alone: *alone, verdict: *verdict, changed_at: now };
                runs.insert(run.clone(), entry);
                self.len += 1;
                if *verdict == Verdict::Open {
                    self.open.entry(run.address).or_default().push(run.clone());
                }
            }
        }
        true
    }

    /// Judges the open losses at the address of a target that reports its start time and its runs. Returns those
    /// that are settled by it.
    pub fn judge(
        &mut self,
        (target, address, started_at_ms): (&Target, SocketAddr, u64),
        is_running: impl Fn(&Run) -> bool,
        now: Instant,
    ) -> Vec<Loss> {
        let open = self.open.get(&address).cloned().unwrap_or_default();
        let verdict = |run: &Run| {
            if started_at_ms > run.started_at_ms {
                Verdict::Crashed
            } else if (target, started_at_ms) == (&run.target, run.started_at_ms)
                && !is_running(run)
            {
                Verdict::Survived
            } else {
                Verdict::Open
            }
        };
        let settled = open.into_iter().map(|run| (verdict(&run), run));
        let settled = settled.filter(|(verdict, _)| *verdict != Verdict::Open);
        let losses = settled.filter_map(|(verdict, run)| {
            let alone = self.losses.get(&run.task)?.get(&run)?.alone;
            Some(Loss { run, alone, verdict })
        });
        let losses: Vec<Loss> = losses.collect();
        for loss in &losses {
            self.add(loss, now);
        }
        losses
    }

    /// What the lost runs of a task say of it.
    #[must_use]
    pub fn standing(&self, task: &Task) -> Standing {
        let Some(runs) = self.losses.get(task) else {
            return Standing::Clear;
        };
        let crashed = runs.values().filter(|entry| entry.verdict == Verdict::Crashed).count();
        let open = runs.values().filter(|entry| entry.verdict == Verdict::Open).count();
        match (crashed, crashed + open) {
            (MAX_LOST_TARGETS.., _) => Standing::Poison,
            (_, MAX_LOST_TARGETS..) => Standing::Pending,
            (_, 1..) => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// A task of the job that crashes the targets that start it, if there is one.
    #[must_use]
    pub fn poison_task(&self, job: &Id) -> Option<&Task> {
        self.tasks_of(job).find(|task| self.standing(task) == Standing::Poison)
    }

    /// Whether a run of the job was lost, so that the job has run.
    #[must_use]
    pub fn has_run(&self, job: &Id) -> bool {
        self.tasks_of(job).next().is_some()
    }

    /// The job's tasks with lost runs.
    fn tasks_of(&self, job: &Id) -> impl Iterator<Item = &Task> {
        let first = Task { job: job.clone(), step: 0, index: 0 };
        let tasks = self.losses.range(first..).map(|(task, _)| task);
        tasks.take_while(move |task| task.job == *job)
    }

    /// All losses.
    pub fn iter(&self) -> impl Iterator<Item = Loss> {
        self.losses.values().flatten().map(|(run, entry)| Loss {
            run: run.clone(),
            alone: entry.alone,
            verdict: entry.verdict,
        })
    }

    /// Drops losses whose time is over, and the oldest ones beyond the limit. Returns the number of the latter.
    pub fn expire(&mut self, now: Instant) -> usize {
        if self.is_empty() {
            return 0;
        }
        self.retain(|entry| now.duration_since(entry.changed_at) < RETENTION);
        let excess = self.len.saturating_sub(MAX_LOSSES);
        if excess > 0 {
            let times = self.losses.values().flat_map(BTreeMap::values);
            let mut times: Vec<Instant> = times.map(|entry| entry.changed_at).collect();
            let (_, newest_dropped, _) = times.select_nth_unstable(excess - 1);
            let newest_dropped = *newest_dropped;
            self.retain(|entry| entry.changed_at > newest_dropped);
        }
        excess
    }

    fn retain(&mut self, keeps: impl Fn(&Entry) -> bool) {
        for runs in self.losses.values_mut() {
            runs.retain(|_, entry| keeps(entry));
        }
        self.losses.retain(|_, runs| !runs.is_empty());
        self.len = self.losses.values().map(BTreeMap::len).sum();
        let losses = &self.losses;
        let is_known = |run: &Run| losses.get(&run.task).is_some_and(|runs| runs.contains_key(run));
        for runs in self.open.values_mut() {
            runs.retain(is_known);
        }
        self.open.retain(|_, runs| !runs.is_empty());
    }

    fn close(&mut self, run: &Run) {
        if let Some(runs) = self.open.get_mut(&run.address) {
            runs.retain(|other| other != run);
            if runs.is_empty() {
                self.open.remove(&run.address);
            }
        }
    }
}
