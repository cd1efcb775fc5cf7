//! Tasks whose runs were lost with their targets.
//!
//! Such a run may have crashed the target, may have run beside one that did, or was only cut off with
//! it. The table counts the incarnations of targets with which runs of a task were lost, and limits
//! the further starts of the task. Owners of targets report losses to all instances, since the home
//! of the job may end too, and its client then submits the job to another instance.

use crate::run::{Job, Task};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// Crashes after which a task is not started again, whatever ran beside it.
const MAX_CRASHES: usize = 3;
/// Crashes that suffice if nothing ran beside the task in one of them. A single one doesn't, since
/// targets crash by themselves too.
const MAX_CRASHES_ALONE: usize = 2;
/// Losses, confirmed as crashes or not, after which a task is started only where nothing else runs.
/// If nothing else ran there in one of them, it waits until it is known whether the targets crashed.
const MAX_SHARED_LOSSES: usize = 2;
/// Losses after which a task waits in any case.
const MAX_LOSSES: usize = 3;
/// Time after the last loss of a task for which it is remembered: longer than clients submit a job
/// again.
const RETENTION: Millis = Millis::new(120_000);
/// Limit on the number of remembered tasks; the one whose last loss is the longest ago is forgotten.
const MAX_TASKS: usize = 20_000;

/// What is known about the target of a lost run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Evidence {
    /// It does not answer, and its lease has expired.
    Suspected,
    /// Another incarnation answers in its place.
    Crashed,
    /// It answers, so it has not crashed.
    Alive,
}

/// The loss of a run with its target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Loss {
    /// Task of the run.
    pub task: Task,
    /// Kind of the task.
    pub kind: id::Kind,
    /// Target with which the run was lost.
    pub target: id::Target,
    /// Incarnation of the target that had the run.
    pub incarnation: u64,
    /// Whether the target has crashed.
    pub evidence: Evidence,
    /// Whether nothing else was on the target while the run was.
    pub was_alone: bool,
}

/// Where a task may be started, given its losses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Permit {
    /// On any target.
    #[default]
    Anywhere,
    /// On a target on which nothing else runs until the task ends.
    Alone,
    /// Not until it is known whether its former targets have crashed.
    Wait,
    /// Never again: it crashes its targets.
    Never,
}

impl fmt::Display for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Anywhere => "anywhere",
            Self::Alone => "alone",
            Self::Wait => "wait",
            Self::Never => "never",
        })
    }
}

#[derive(Clone, Debug)]
struct Item {
    kind: id::Kind,
    is_crash: bool,
    was_alone: bool,
}

/// The losses of one task, by target and incarnation.
#[derive(Debug)]
struct History {
    losses: BTreeMap<(id::Target, u64), Item>,
    forget_at: Timestamp,
}

impl History {
    fn crashes(&self) -> usize {
        self.losses.values().filter(|loss| loss.is_crash).count()
    }

    fn permit(&self) -> Permit {
        let crashes = self.crashes();
        let was_alone = self.losses.values().any(|loss| loss.was_alone);
        let has_crashed_alone = self.losses.values().any(|loss| loss.is_crash && loss.was_alone);
        if crashes >= MAX_CRASHES || crashes >= MAX_CRASHES_ALONE && has_crashed_alone {
            return Permit::Never;
        }
        match self.losses.len() {
            MAX_LOSSES.. => Permit::Wait,
            MAX_SHARED_LOSSES.. if was_alone => Permit::Wait,
            MAX_SHARED_LOSSES.. => Permit::Alone,
            _ => Permit::Anywhere,
        }
    }
}

/// The remembered losses of all tasks.
#[derive(Debug, Default)]
pub struct Table {
    tasks: BTreeMap<Task, History>,
    by_age: BTreeSet<(Timestamp, Task)>,
    /// Tasks with losses that are neither confirmed as crashes nor refuted, by target.
    unresolved: BTreeMap<id::Target, BTreeSet<Task>>,
}

impl Table {
    /// Records a loss, or what has become known about it. Returns whether it was news.
    pub fn record(&mut self, loss: &Loss, now: Timestamp) -> bool {
        self.forget(now);
        let key = (loss.target.clone(), loss.incarnation);
        let known = self.tasks.get(&loss.task).and_then(|history| history.losses.get(&key));
        let is_news = match (loss.evidence, known) {
            (Evidence::Suspected, known) => known.is_none(),
            (Evidence::Crashed, known) => known.is_none_or(|known| !known.is_crash),
            (Evidence::Alive, known) => known.is_some_and(|known| !known.is_crash),
        };
        if !is_news {
            return false;
        }
        let history = self
            .tasks
            .entry(loss.task)
            .or_insert_with(|| History { losses: BTreeMap::new(), forget_at: now });
        self.by_age.remove(&(history.forget_at, loss.task));
        history.forget_at = now.plus(RETENTION);
        match loss.evidence {
            Evidence::Alive => {
                history.losses.remove(&key);
            }
            Evidence::Suspected | Evidence::Crashed => {
                let is_crash = loss.evidence == Evidence::Crashed;
                let (kind, was_alone) = (loss.kind.clone(), loss.was_alone);
                history.losses.insert(key, Item { kind, is_crash, was_alone });
            }
        }
        if history.losses.is_empty() {
            self.tasks.remove(&loss.task);
        } else {
            self.by_age.insert((history.forget_at, loss.task));
        }
        self.index(&loss.target, loss.task);
        true
    }

    /// Returns where a task may be started.
    pub fn permit(&self, task: Task) -> Permit {
        self.tasks.get(&task).map_or(Permit::Anywhere, History::permit)
    }

    /// Returns the permits of the tasks of a job that have losses.
    pub fn permits(&self, job: Job) -> Vec<(Task, Permit)> {
        self.of(job).map(|(task, history)| (*task, history.permit())).collect()
    }

    /// Returns whether runs of the task were lost.
    pub fn has_losses(&self, task: Task) -> bool {
        self.tasks.contains_key(&task)
    }

    /// Returns whether enough targets have crashed under a task of the job to call the job failed.
    pub fn has_failed(&self, job: Job) -> bool {
        self.of(job).any(|(_, history)| history.crashes() >= MAX_CRASHES_ALONE)
    }

    /// Returns all remembered losses, those of the task that lost a run last first.
    pub fn losses(&self) -> impl Iterator<Item = Loss> {
        let tasks = self.by_age.iter().rev();
        tasks.filter_map(|(_, task)| Some((task, self.tasks.get(task)?))).flat_map(
            |(task, history)| {
                history.losses.iter().map(|((target, incarnation), item)| Loss {
                    task: *task,
                    kind: item.kind.clone(),
                    target: target.clone(),
                    incarnation: *incarnation,
                    evidence: if item.is_crash { Evidence::Crashed } else { Evidence::Suspected },
                    was_alone: item.was_alone,
                })
            },
        )
    }

    /// Returns what an answer of `incarnation`, from a target or in its place, tells about the
    /// unresolved losses there. The caller records it.
    pub fn resolve(&self, target: &id::Target, incarnation: u64) -> Vec<Loss> {
        let Some(tasks) = self.unresolved.get(target) else { return Vec::new() };
        let mut resolved = Vec::new();
        for task in tasks {
            let Some(history) = self.tasks.get(task) else { continue };
            for ((lost_target, lost), item) in &history.losses {
                if lost_target != target || item.is_crash || *lost > incarnation {
                    continue;
                }
                let evidence =
                    if *lost < incarnation { Evidence::Crashed } else { Evidence::Alive };
                resolved.push(Loss {
                    task: *task,
                    kind: item.kind.clone(),
                    target: target.clone(),
                    incarnation: *lost,
                    evidence,
                    was_alone: item.was_alone,
                });
            }
        }
        resolved
    }

    /// Returns the targets that have not answered since tasks of a kind were lost there.
    pub fn unresolved(&self, kind: &id::Kind) -> impl Iterator<Item = &id::Target> {
        let has_lost = move |target: &id::Target, task: &Task| {
            self.tasks.get(task).is_some_and(|history| {
                history
                    .losses
                    .iter()
                    .any(|((lost, _), item)| lost == target && !item.is_crash && item.kind == *kind)
            })
        };
        let targets = self.unresolved.iter();
        targets
            .filter(move |(target, tasks)| tasks.iter().any(|task| has_lost(target, task)))
            .map(|(target, _)| target)
    }

    fn of(&self, job: Job) -> impl Iterator<Item = (&Task, &History)> {
        let (first, last) = (Task { job, index: 0 }, Task { job, index: u32::MAX });
        self.tasks.range(first..=last)
    }

    fn forget(&mut self, now: Timestamp) {
        while let Some((forget_at, task)) = self.by_age.first().copied()
            && (forget_at.is_past(now) || self.by_age.len() > MAX_TASKS)
        {
            self.by_age.pop_first();
            let Some(history) = self.tasks.remove(&task) else { continue };
            for (target, _) in history.losses.into_keys() {
                self.index(&target, task);
            }
        }
    }

    /// Updates whether a task has unresolved losses at a target.
    fn index(&mut self, target: &id::Target, task: Task) {
        let is_unresolved = self.tasks.get(&task).is_some_and(|history| {
            history.losses.iter().any(|((lost, _), item)| lost == target && !item.is_crash)
        });
        if is_unresolved {
            self.unresolved.entry(target.clone()).or_default().insert(task);
        } else if let Some(tasks) = self.unresolved.get_mut(target) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.unresolved.remove(target);
            }
        }
    }
}
