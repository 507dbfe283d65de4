//! The baseline: first come first served, each task on the fastest target that is free.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use crate::load::{Load, PATIENCE, is_middle};
use crate::policy::{Answer, Policy};

/// One queue that knows how fast each target is and refuses nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Simple;

impl Policy for Simple {
    fn name(&self) -> &'static str {
        "first come first served"
    }

    fn play(&self, load: &Load) -> Vec<Answer> {
        let mut queue = Queue::new(load);
        for (number, job) in load.jobs.iter().enumerate() {
            queue.advance(job.at);
            queue.waiting.extend((0..job.tasks.len()).map(|task| (number, task)));
            queue.start(job.at);
        }
        queue.advance(Duration::MAX);
        queue.answers()
    }
}

struct Queue<'a> {
    load: &'a Load,
    /// Thousandths of a core that are free on each target.
    free: Vec<u64>,
    running: BinaryHeap<Reverse<(Duration, usize, usize)>>,
    waiting: VecDeque<(usize, usize)>,
    left: Vec<usize>,
    ended: Vec<Duration>,
}

impl<'a> Queue<'a> {
    fn new(load: &'a Load) -> Self {
        Self {
            load,
            free: load.targets.iter().map(|target| target.cpu_millis).collect(),
            running: BinaryHeap::new(),
            waiting: VecDeque::new(),
            left: load.jobs.iter().map(|job| job.tasks.len()).collect(),
            ended: vec![Duration::ZERO; load.jobs.len()],
        }
    }

    fn advance(&mut self, to: Duration) {
        while let Some(&Reverse((at, target, job))) = self.running.peek()
            && at <= to
        {
            self.running.pop();
            self.free[target] += self.load.jobs[job].cpu_millis;
            self.left[job] -= 1;
            self.ended[job] = at;
            self.start(at);
        }
    }

    fn start(&mut self, now: Duration) {
        while let Some(&(job, task)) = self.waiting.front() {
            let gone = self.load.jobs[job].at + PATIENCE;
            if now > gone {
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
            if self.load.targets[target].hangs && is_middle(now, self.load.length) {
                end = self.load.length * 2 / 3 + run;
            }
            self.running.push(Reverse((end, target, job)));
        }
    }

    fn answers(&self) -> Vec<Answer> {
        let answer = |(number, job): (usize, &crate::load::Job)| {
            let took = self.ended[number].saturating_sub(job.at);
            let whole = self.left[number] == 0 && took <= PATIENCE;
            if whole { Answer::Completed(took) } else { Answer::GivenUp(PATIENCE) }
        };
        self.load.jobs.iter().enumerate().map(answer).collect()
    }
}
