//! Choice of the owned target that gets a run.

use super::Engine;
use super::speed::Preference;
use crate::obstacle::Obstacle;
use crate::resource::Amount;
use crate::target::Target;
use verbenapass::ejection;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millicores;

impl Engine {
    /// Returns the accepted target that is preferred by its speed; among several, one without a run of
    /// another kind that slows `kind` down or is slowed down by it, and among these the best fit, the one
    /// that would have the least processor room left. Without a kind, it doesn't matter what runs there.
    pub(super) fn choose(
        &self,
        service: &id::Service,
        kind: Option<&id::Kind>,
        amount: Amount,
        preference: Preference,
        now: Timestamp,
    ) -> Option<id::Target> {
        let disturbing = kind.and_then(|kind| self.disturbing_kinds(service, kind));
        self.owned
            .values()
            .filter(|target| {
                self.obstacle(target, service, amount, now).is_none()
                    && self.cautious(target) <= preference.most
            })
            .min_by_key(|target| {
                let is_disturbed = self.is_beside(&target.entry().id, disturbing);
                (preference.key(self.steps(target)), is_disturbed, fit(target, amount, now))
            })
            .map(|target| target.entry().id.clone())
    }

    /// Returns the target with the fewest runs, for a task that may crash it. `None` if there is no
    /// room, or until a hold has confirmed the ownership.
    pub(super) fn choose_emptiest(
        &mut self,
        service: &id::Service,
        amount: Amount,
        now: Timestamp,
    ) -> Option<id::Target> {
        let may_take = |target: &&Target| {
            let obstacle = self.obstacle(target, service, amount, now);
            matches!(obstacle, None | Some(Obstacle::Unconfirmed))
        };
        let emptiest = self.owned.values().filter(may_take).min_by_key(|target| target.len());
        let id = emptiest.map(|target| target.entry().id.clone())?;
        let target = self.owned.get_mut(&id)?;
        target.confirm_ownership(now);
        amount.fits(target.room(now)).then_some(id)
    }

    /// Returns why an owned target can't take a run of a service now. [`Obstacle::Unconfirmed`] means
    /// that it could after a hold.
    pub(super) fn obstacle(
        &self,
        target: &Target,
        service: &id::Service,
        amount: Amount,
        now: Timestamp,
    ) -> Option<Obstacle> {
        if target.entry().service != *service {
            return Some(Obstacle::OtherService);
        }
        if let Some(obstacle) = target.obstacle(now) {
            return Some(obstacle);
        }
        if !self.evacuations.may_start(&target.entry().data_centre) {
            return Some(Obstacle::Evacuated);
        }
        if target.is_isolating(now) {
            return Some(Obstacle::Isolating);
        }
        if !amount.fits(target.unconfirmed_room(now)) {
            return Some(Obstacle::Full);
        }
        let detector = self.detectors.get(service);
        match detector.map(|detector| detector.state(&target.entry().id, now)) {
            Some(ejection::State::Ejected(_)) => return Some(Obstacle::Ejected),
            Some(ejection::State::Trial) if !target.is_empty() => return Some(Obstacle::OnTrial),
            None | Some(ejection::State::Normal | ejection::State::Trial) => {}
        }
        (!amount.fits(target.room(now))).then_some(Obstacle::Unconfirmed)
    }
}

/// Ranks targets with room: the best fit is the one that would have the least processor room left.
fn fit(target: &Target, amount: Amount, now: Timestamp) -> (Millicores, usize) {
    (target.room(now).minus(amount).cpu, target.len())
}
