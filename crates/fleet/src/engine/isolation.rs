//! Tasks that run alone: starts on empty targets, and the clearing of targets for them.

use super::Engine;
use crate::resource::Amount;
use crate::run;
use crate::target::Target;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// Time for which a target gets no other runs while it is cleared for an isolated one: longer than
/// the tasks that the workload descriptions name.
const CLEAR_TIMEOUT: Millis = Millis::new(5_000);
/// Part of the owned targets of a service, at least one, that isolated runs may occupy at a time.
const MAX_ISOLATING_PERMILLE: usize = 125;

impl Engine {
    /// Starts tasks that must run alone on empty targets, and clears targets for them.
    pub(super) fn start_isolated(&mut self, now: Timestamp) {
        for id in self.isolating.clone() {
            while self.start_one_isolated(id, now) {}
            self.update_indexes(id);
        }
    }

    fn start_one_isolated(&mut self, id: run::Job, now: Timestamp) -> bool {
        let Some(open_job) = self.jobs.get(&id) else { return false };
        if open_job.job.isolated() == 0 {
            return false;
        }
        let submission = open_job.job.submission();
        let (service, amount) = (submission.service.clone(), submission.amount);
        let is_empty = |target: &&Target| {
            target.entry().service == service
                && self.evacuations.may_start(&target.entry().data_centre)
                && amount.fits(target.isolated_room(now))
        };
        // A target that was cleared goes before one that others could use.
        let empty = self.owned.values().filter(is_empty).max_by_key(|t| t.is_isolating(now));
        if let Some(target) = empty.map(|target| target.entry().id.clone()) {
            let incarnation = self.incarnation(&target);
            let Some(open_job) = self.jobs.get_mut(&id) else { return false };
            let run = open_job.job.place_isolated((target.clone(), incarnation), now);
            return run.is_some_and(|run| self.start_run(run, &target, true, now));
        }
        if !self.clear_target(&service, amount, now) {
            // Without a target of its own, the instance can't keep others off one.
            if let Some(open_job) = self.jobs.get_mut(&id) {
                open_job.job.end_isolation();
            }
        }
        false
    }

    /// Clears the target with the fewest runs, unless enough targets have an isolated run or are being
    /// cleared for one. Returns false if no owned target is large enough.
    fn clear_target(&mut self, service: &id::Service, amount: Amount, now: Timestamp) -> bool {
        let may_start = |target: &Target| self.evacuations.may_start(&target.entry().data_centre);
        let of_service =
            || self.owned.values().filter(|t| t.entry().service == *service && may_start(t));
        let isolating: Vec<id::Target> = of_service()
            .filter(|target| target.is_isolating(now))
            .map(|target| target.entry().id.clone())
            .collect();
        let most = (of_service().count() * MAX_ISOLATING_PERMILLE / 1_000).max(1);
        if isolating.len() >= most {
            self.confirm_targets(&isolating, now);
            return true;
        }
        let usable = of_service().filter(|target| target.can_hold(amount, now));
        let least = usable.min_by_key(|target| target.len()).map(|t| t.entry().id.clone());
        let Some(id) = least else { return false };
        if let Some(target) = self.owned.get_mut(&id) {
            target.clear(now.plus(CLEAR_TIMEOUT));
        }
        self.confirm_targets(&[id], now);
        true
    }

    fn confirm_targets(&mut self, ids: &[id::Target], now: Timestamp) {
        for id in ids {
            if let Some(target) = self.owned.get_mut(id) {
                target.confirm_ownership(now);
            }
        }
    }
}
