//! Baseline policy: first come first served, with each task on the fastest target that has
//! capacity.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use crate::load::{Load, is_middle_third};
use crate::policy::{Answer, Policy};

/// A single queue that knows the speed of each target and refuses no job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fifo;

impl Policy for Fifo {
    fn name(&self) -> &'static str {
        "first come first served"
    }

    fn simulate(&self, load: &Load) -> Vec<Answer> {
        let mut queue = Queue::new(load);
        for (number, job) in load.jobs.iter().enumerate() {
            queue.advance(job.arrives_at);
            queue.waiting.extend((0..job.tasks.len()).map(|task| (number, task)));
            queue.start(job.arrives_at);
        }
        queue.advance(Duration::MAX);
        queue.answers()
    }
}

struct Queue<'a> {
    load: &'a Load,
    /// Available CPU of each target, in thousandths of a core.
    free: Vec<u64>,
    /// End, target and job of each run.
    running: BinaryHeap<Reverse<(Duration, usize, usize)>>,
    /// Job and task index of each waiting task.
    waiting: VecDeque<(usize, usize)>,
    /// Number of tasks of each job that have not ended.
    remaining: Vec<usize>,
    /// End of the last task of each job so far.
    ended_at: Vec<Duration>,
}

impl<'a> Queue<'a> {
    fn new(load: &'a Load) -> Self {
        Self {
            load,
            free: load.targets.iter().map(|target| target.cpu_millis).collect(),
            running: BinaryHeap::new(),
            waiting: VecDeque::new(),
            remaining: load.jobs.iter().map(|job| job.tasks.len()).collect(),
            ended_at: vec![Duration::ZERO; load.jobs.len()],
        }
    }

    /// Ends all runs up to a time, and starts waiting tasks on the capacity that they release.
    fn advance(&mut self, to: Duration) {
        while let Some(&Reverse((at, target, job))) = self.running.peek()
            && at <= to
        {
            self.running.pop();
            self.free[target] += self.load.jobs[job].cpu_millis;
            self.remaining[job] -= 1;
            self.ended_at[job] = at;
            self.start(at);
        }
    }

    /// Starts waiting tasks until the first one fits on no target. Skips tasks whose callers have
    /// left.
    fn start(&mut self, now: Duration) {
        while let Some(&(job, task)) = self.waiting.front() {
            let waiting = &self.load.jobs[job];
            let caller_leaves_at = waiting.arrives_at + waiting.patience();
            if now > caller_leaves_at {
                self.waiting.pop_front();
                continue;
            }
            let needs = self.load.jobs[job].cpu_millis;
            let free = (0..self.free.len()).filter(|&target| self.free[target] >= needs);
            let slowness = |target: &usize| self.load.targets[*target].slowness;
            let Some(target) = free.min_by(|one, other| slowness(one).total_cmp(&slowness(other)))
            else {
                return;
            };
            self.waiting.pop_front();
            self.free[target] -= needs;
            let run = self.load.jobs[job].tasks[task].mul_f64(slowness(&target));
            let mut end = now + run;
            if self.load.targets[target].hangs && is_middle_third(now, self.load.duration) {
                end = self.load.duration * 2 / 3 + run;
            }
            self.running.push(Reverse((end, target, job)));
        }
    }

    fn answers(&self) -> Vec<Answer> {
        let answer = |(number, job): (usize, &crate::load::Job)| {
            let elapsed = self.ended_at[number].saturating_sub(job.arrives_at);
            let is_complete = self.remaining[number] == 0 && elapsed <= job.patience();
            if is_complete { Answer::Completed(elapsed) } else { Answer::Abandoned(job.patience()) }
        };
        self.load.jobs.iter().enumerate().map(answer).collect()
    }
}
