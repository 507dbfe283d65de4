//! Placement of queued tasks on a steward's targets.

use std::cell::Cell;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Service, Target};

use super::gaps::Gaps;
use super::pool::FastPool;
use super::targets::{Class, Kept, Targets, Values, remaining};
use crate::job::{Requirements, Resources, Task};
use crate::member::Membership;
use crate::placement::{Choice, FastTargets, Rated, Scale, choose, is_fast, shortlist};
use crate::queue::QueuedTask;
use crate::speed::reference;
use crate::steward::Settings;

/// The target on which a task is to start.
pub(super) struct Placement {
    pub(super) target: Target,
    /// Its row in the table of targets.
    pub(super) row: usize,
    /// Expected run time on the target.
    pub(super) expected: Duration,
    /// Expected run time on the fastest targets, free or not.
    pub(super) fastest_run: Duration,
    /// Whether the task must run alone there.
    pub(super) isolated: bool,
}

/// What a pass over the queue has changed of one target.
struct Changed {
    /// Free resources; `None` if no task may start.
    free: Option<Resources>,
    /// If the target is held for a queued long task, the expected time until it has enough free
    /// resources. Other tasks start there only if they are expected to end by then.
    held_until: Option<Duration>,
    /// Tasks placed on the target during this pass.
    placed: Vec<Task>,
}

/// What the requirements of a task say of the targets. Tasks of one job mostly have equal ones.
struct Profile {
    service: Service,
    requirements: Requirements,
    /// For each class of targets the factor on run times there; `None` if the task can't run there.
    factors: Vec<Option<f64>>,
    /// Factor on its run time on the fastest targets that are not suspect, free or not.
    fastest: Option<f64>,
}

/// Places tasks during one pass over the queue and tracks the resources that they take.
pub(super) struct Placer<'a> {
    targets: &'a Targets,
    kept: &'a Kept,
    membership: &'a Membership,
    /// Slots on fast targets.
    pool: FastPool<'a>,
    gaps: Gaps<'a>,
    /// Tasks that wait for a slot on a fast target.
    waiting: usize,
    settings: Settings,
    now: Instant,
    changed: Vec<Changed>,
    /// For each row the index in `changed` plus one, or 0.
    changed_rows: Vec<u32>,
    profile: Option<Profile>,
    /// Targets with enough free resources for the last task.
    rated: Vec<Rated>,
    /// Whether some target that may get tasks allows no start, and the shortest owner's silence beyond
    /// which another doesn't; `None` until it is needed.
    silence_limit: Cell<Option<(bool, Duration)>>,
}

impl<'a> Placer<'a> {
    pub(super) fn new(
        (targets, kept): (&'a Targets, &'a Kept),
        membership: &'a Membership,
        (pool, gaps): (FastPool<'a>, Gaps<'a>),
        settings: Settings,
        now: Instant,
    ) -> Self {
        Self {
            targets,
            kept,
            membership,
            pool,
            gaps,
            waiting: 0,
            settings,
            now,
            changed: Vec::new(),
            changed_rows: vec![0; kept.values().len()],
            profile: None,
            rated: Vec::new(),
            silence_limit: Cell::new(None),
        }
    }

    /// Chooses a target for a task and reserves the task's resources there. Returns `None` if the
    /// task should not start now. An isolated task gets a target that runs nothing else.
    pub(super) fn place(&mut self, queued: &QueuedTask, isolated: bool) -> Option<Placement> {
        self.update_profile(queued);
        let profile = self.profile.take()?;
        let placement = self.place_with(queued, isolated, &profile);
        self.profile = Some(profile);
        placement
    }

    fn place_with(
        &mut self,
        queued: &QueuedTask,
        isolated: bool,
        profile: &Profile,
    ) -> Option<Placement> {
        let scale = Scale::new(queued.average_run);
        self.rate(queued, isolated, profile);
        let fastest = profile.fastest.or_else(|| {
            // All targets are suspect, and a suspect target is better than none.
            self.rated.iter_mut().for_each(|one| one.suspect = false);
            reference::of(self.rated.iter().map(|one| one.factor).collect())
        })?;
        let fastest_run = scale.run(fastest);
        let fast = self.fast(queued, profile, (scale, fastest_run));
        let size = queued.requirements.resources.cpu_millis;
        let outlook = self.gaps.outlook(queued);
        let candidates = shortlist(&self.rated, (scale, fastest_run), (&outlook, size));
        let Choice::Start(row) = choose(queued, &candidates, fast, &outlook, self.now) else {
            if isolated {
                self.hold_idle_for(queued, profile);
            } else if queued.is_long(self.now) {
                self.waiting += 1;
                let fast = scale.fast_limit(fastest_run);
                let first = self.first_free(queued, profile, |_, factor, _| fast.includes(factor));
                self.hold(first);
            } else {
                self.hold_for_large(queued, profile, scale);
            }
            return None;
        };
        let expected = candidates.iter().find(|one| one.index == row).map(|one| one.expected)?;
        let changed = self.change(row);
        let free = changed.free.map(|free| free.saturating_sub(&queued.requirements.resources));
        changed.free = free.filter(|_| !isolated);
        changed.placed.push(queued.task.clone());
        self.gaps.record_placed(queued);
        if isolated {
            // The target is no longer among those that may get tasks.
            self.silence_limit.set(None);
        }
        let target = self.targets.row(row).entry.name.clone();
        Some(Placement { target, row, expected, fastest_run, isolated })
    }

    /// Computes what the task's requirements say of the targets, unless those of the last task were
    /// equal.
    fn update_profile(&mut self, queued: &QueuedTask) {
        let same = |profile: &Profile| {
            profile.service == queued.service && profile.requirements == queued.requirements
        };
        if self.profile.as_ref().is_some_and(same) {
            return;
        }
        let rack = queued.requirements.preferred_rack.as_ref();
        let factor = |class: &Class| {
            let is_remote = rack.is_some_and(|rack| !class.labels.contains(rack));
            let factor = if is_remote { self.settings.remote_factor } else { 1.0 };
            is_eligible(class, queued).then_some(factor)
        };
        let factors: Vec<Option<f64>> = self.kept.classes().iter().map(factor).collect();
        let healthy = factors.iter().enumerate().filter_map(|(class, factor)| {
            let factor = (*factor)?;
            Some(self.kept.sums().healthy(class).iter().map(move |one| one * factor))
        });
        let fastest = reference::of(healthy.flatten().collect());
        self.profile = Some(Profile {
            service: queued.service.clone(),
            requirements: queued.requirements.clone(),
            fastest,
            factors,
        });
    }

    /// Rates all targets on which the task could start now.
    fn rate(&mut self, queued: &QueuedTask, isolated: bool, profile: &Profile) {
        let silence = self.silence(queued);
        let demand = &queued.requirements.resources;
        let mut rated = std::mem::take(&mut self.rated);
        rated.clear();
        for index in self.kept.rooms().with(demand.cpu_millis) {
            let values = &self.kept.values()[index];
            let changed = self.changed(index);
            let free = changed.map_or(values.free, |changed| changed.free);
            let (Some(factor), Some(free)) = (profile.factors[values.class as usize], free) else {
                continue;
            };
            let factor = values.factor() * factor;
            let held_until = changed.and_then(|changed| changed.held_until);
            let is_held =
                held_until.is_some_and(|until| queued.average_run.mul_f64(factor) > until);
            if free.covers(demand)
                && (!isolated || self.is_idle(index))
                && values.allows_silence(silence)
                && !is_held
                && self.allows_another(index, queued)
            {
                rated.push(Rated { index, factor, free, suspect: values.is_suspect() });
            }
        }
        self.rated = rated;
    }

    /// What this pass has changed of a target.
    fn changed(&self, row: usize) -> Option<&Changed> {
        let index = self.changed_rows[row].checked_sub(1)?;
        self.changed.get(index as usize)
    }

    fn change(&mut self, row: usize) -> &mut Changed {
        if self.changed_rows[row] == 0 {
            let free = self.kept.values()[row].free;
            self.changed.push(Changed { free, held_until: None, placed: Vec::new() });
            self.changed_rows[row] = self.changed.len() as u32;
        }
        &mut self.changed[self.changed_rows[row] as usize - 1]
    }

    fn is_held(&self, row: usize) -> bool {
        self.changed(row).is_some_and(|changed| changed.held_until.is_some())
    }

    /// Holds the target that is idle first for a task that must run alone.
    fn hold_idle_for(&mut self, queued: &QueuedTask, profile: &Profile) {
        let silence = self.silence(queued);
        let can_take = |(row, values): &(usize, &Values)| {
            values.is_usable()
                && !self.is_held(*row)
                && !self.is_idle(*row)
                && profile.factors[values.class as usize].is_some()
                && values.allows_silence(silence)
        };
        let idle = self.kept.values().iter().enumerate().filter(can_take);
        let idle = idle.filter_map(|(row, values)| Some((self.time_until_idle(row, values)?, row)));
        if let Some((until, row)) = idle.min() {
            self.change(row).held_until = Some(until);
        }
    }

    /// Holds a target for a large task that has waited for long and fits nowhere, if it would still be on time
    /// there.
    fn hold_for_large(&mut self, queued: &QueuedTask, profile: &Profile, scale: Scale) {
        let is_healthy = |one: &&Values| one.is_usable() && !one.is_suspect();
        let healthy = || self.kept.values().iter().filter(is_healthy).count();
        let fits = self.rated.iter().any(|one| !one.suspect);
        if fits || !self.gaps.allows_hold(queued, healthy, self.now) {
            return;
        }
        let suits = |row: usize, factor: f64, until: Duration| {
            self.now + until + scale.run(factor) <= queued.objective
                && self.allows_another(row, queued)
        };
        let first = self.first_free(queued, profile, suits);
        if self.hold(first) {
            self.gaps.record_hold();
        }
    }

    /// Holds a target until it has room for a task, given that time and its row. Otherwise smaller tasks
    /// would take each part of it that becomes free. Returns whether there is one.
    fn hold(&mut self, first: Option<(Duration, usize)>) -> bool {
        if let Some((until, row)) = first {
            self.change(row).held_until = Some(until);
        }
        first.is_some()
    }

    /// The target that first has enough resources for a task, and the time until then, of those that suit it
    /// by their row, their factor and that time.
    fn first_free(
        &self,
        queued: &QueuedTask,
        profile: &Profile,
        suits: impl Fn(usize, f64, Duration) -> bool,
    ) -> Option<(Duration, usize)> {
        let resources = &queued.requirements.resources;
        let silence = self.silence(queued);
        let mut first: Option<(Duration, usize)> = None;
        for (row, values) in self.kept.values().iter().enumerate() {
            let Some(factor) = profile.factors[values.class as usize] else {
                continue;
            };
            let factor = values.factor() * factor;
            let is_candidate = values.is_usable()
                && !values.is_suspect()
                && suits(row, factor, Duration::ZERO)
                && !self.is_held(row)
                && values.allows_silence(silence);
            // Only a target where a run ends earlier can be ready earlier.
            let is_earlier = |until: Duration| {
                let free = self.free(row);
                free.is_some_and(|free| free.covers(resources))
                    || values.runs.iter().any(|run| run.remaining(self.now) < until)
            };
            if is_candidate && first.is_none_or(|(until, _)| is_earlier(until)) {
                let until = self.time_until_free(row, resources);
                let ready =
                    until.filter(|until| suits(row, factor, *until)).map(|until| (until, row));
                first = first.into_iter().chain(ready).min();
            }
        }
        first
    }

    /// Time since the task's owner was heard. It is zero for a shared task, whose grant will bring a
    /// new word of its owner.
    fn silence(&self, queued: &QueuedTask) -> Duration {
        let heard_at = self.membership.last_word(&queued.owner, self.now);
        let heard_at = heard_at.filter(|_| queued.is_exclusive());
        heard_at.map_or(Duration::ZERO, |at| self.now.duration_since(at))
    }

    /// Whether the task's owner has been silent for too long to start the task on some of the targets
    /// that may get new tasks.
    pub(super) fn is_owner_silent(&self, queued: &QueuedTask) -> bool {
        let (allows_none, limit) = self.silence_limit.get().unwrap_or_else(|| {
            let open = self.kept.values().iter().enumerate();
            let open = open.filter(|(row, one)| one.is_usable() && self.free(*row).is_some());
            open.fold((false, Duration::MAX), |(allows_none, limit), (_, one)| {
                let max = one.max_silence;
                (allows_none || max.is_none(), limit.min(max.unwrap_or(Duration::MAX)))
            })
        });
        self.silence_limit.set(Some((allows_none, limit)));
        allows_none || self.silence(queued) > limit
    }

    /// Capacity of the fast targets, counted in tasks of the size of `queued`.
    fn fast(
        &self,
        queued: &QueuedTask,
        profile: &Profile,
        (scale, fastest_run): (Scale, Duration),
    ) -> FastTargets {
        let task_cpu_millis = queued.requirements.resources.cpu_millis.max(1);
        let limit = scale.fast_limit(fastest_run);
        let slots = self.kept.classes().iter().zip(&profile.factors).enumerate();
        let slots = slots.filter_map(|(class, (Class { capacity, .. }, factor))| {
            let factor = (*factor)?;
            let healthy = self.kept.sums().healthy(class);
            let is_fast_one = |one: &f64| is_fast(scale.run(one * factor), fastest_run);
            let targets = healthy.partition_point(is_fast_one) as u64;
            Some((capacity.cpu_millis / task_cpu_millis).saturating_mul(targets))
        });
        let free = self.rated.iter().filter(|one| limit.includes(one.factor));
        FastTargets {
            fastest_run,
            free_slots: free
                .map(|one| one.free.cpu_millis / task_cpu_millis)
                .fold(0, u64::saturating_add),
            slots: slots.fold(0, u64::saturating_add),
            wait: self.pool.wait(self.waiting),
        }
    }

    /// Free resources of a target; `None` if no task may start.
    fn free(&self, row: usize) -> Option<Resources> {
        self.changed(row).map_or(self.kept.values()[row].free, |changed| changed.free)
    }

    /// Expected time until enough runs have ended to free these resources; `None` if they can't be
    /// freed or no task may start on the target.
    fn time_until_free(&self, row: usize, resources: &Resources) -> Option<Duration> {
        let mut free = self.free(row)?;
        let mut runs: Vec<_> = self.targets.row(row).attempts().collect();
        runs.sort_by_key(|(_, attempt)| remaining(attempt, self.now));
        let mut after = Duration::ZERO;
        for (_, attempt) in runs {
            if free.covers(resources) {
                break;
            }
            free = free + attempt.resources;
            after = remaining(attempt, self.now);
        }
        free.covers(resources).then_some(after)
    }

    /// Whether nothing runs on the target and nothing was placed there in this pass.
    fn is_idle(&self, row: usize) -> bool {
        self.kept.values()[row].is_idle
            && self.changed(row).is_none_or(|changed| changed.placed.is_empty())
    }

    /// Expected time until all runs have ended; `None` if no task may start on the target.
    fn time_until_idle(&self, row: usize, values: &Values) -> Option<Duration> {
        self.free(row)?;
        let left = values.runs.iter().map(|run| run.remaining(self.now));
        Some(left.max().unwrap_or_default())
    }

    /// Whether one more task of the step stays within the limit for one target.
    fn allows_another(&self, row: usize, queued: &QueuedTask) -> bool {
        let Some(limit) = queued.requirements.max_per_target else {
            return true;
        };
        let same_step = |task: &&Task| task.job == queued.task.job && task.step == queued.task.step;
        let placed = self.changed(row).map_or(&[][..], |changed| &changed.placed);
        let placed = placed.iter().filter(same_step).count();
        self.targets.row(row).count_in_step(&queued.task) as usize + placed < limit as usize
    }
}

fn is_eligible(class: &Class, queued: &QueuedTask) -> bool {
    class.service == queued.service
        && queued
            .requirements
            .required_label
            .as_ref()
            .is_none_or(|label| class.labels.contains(label))
        && class.capacity.covers(&queued.requirements.resources)
}
