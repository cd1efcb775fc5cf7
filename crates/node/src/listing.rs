//! The list of targets, which keeps a removed target for a grace period.

use std::collections::BTreeMap;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;
use verbenapass_fleet::target::Entry;

/// Time for which a removed target is kept: entries that expired while the store was unavailable are
/// back within 2 s.
const REMOVAL_DELAY: Millis = Millis::new(3_000);

#[derive(Debug)]
struct Item {
    entry: Entry,
    remove_at: Timestamp,
    is_refreshed: bool,
}

/// The targets by name, and whether they changed since the last update was taken.
#[derive(Debug, Default)]
pub struct Listing {
    targets: BTreeMap<String, Item>,
    is_changed: bool,
    is_refreshing: bool,
}

impl Listing {
    /// Begins a full read of the store; [`Self::end_refresh`] then removes the targets that it lacks.
    pub fn begin_refresh(&mut self) {
        self.is_refreshing = true;
        for item in self.targets.values_mut() {
            item.is_refreshed = false;
        }
    }

    /// Adds or replaces a target, and cancels its removal.
    pub fn insert(&mut self, entry: Entry) {
        let key = entry.id.to_string();
        let item = Item { entry, remove_at: Timestamp::MAX, is_refreshed: true };
        let is_same = self
            .targets
            .get(&key)
            .is_some_and(|old| old.entry == item.entry && old.remove_at == Timestamp::MAX);
        self.is_changed |= !is_same;
        self.targets.insert(key, item);
    }

    /// Schedules the removal of a target that the store no longer lists.
    pub fn remove(&mut self, key: &str, now: Timestamp) {
        if let Some(item) = self.targets.get_mut(key)
            && item.remove_at == Timestamp::MAX
        {
            item.remove_at = now.plus(REMOVAL_DELAY);
        }
    }

    /// Ends a full read; schedules the removal of targets that were not inserted since it began.
    /// Does nothing without [`Self::begin_refresh`].
    pub fn end_refresh(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.is_refreshing) {
            return;
        }
        let missing: Vec<String> = self
            .targets
            .iter()
            .filter(|(_, item)| !item.is_refreshed)
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            self.remove(&key, now);
        }
    }

    /// Removes expired targets, then returns all that are left, or `None` if nothing has changed since
    /// the last call.
    pub fn take_update(&mut self, now: Timestamp) -> Option<Vec<Entry>> {
        let before = self.targets.len();
        self.targets.retain(|_, item| !item.remove_at.is_past(now));
        self.is_changed |= self.targets.len() != before;
        std::mem::take(&mut self.is_changed)
            .then(|| self.targets.values().map(|item| item.entry.clone()).collect())
    }
}
