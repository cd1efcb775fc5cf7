//! The targets that a store lists, and for a while those that it no longer lists.

use std::collections::BTreeMap;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;
use verbenapass_fleet::target::Entry;

/// Time for which a target is kept that the store no longer lists: entries that lapsed while the
/// store was away come back within 2 s.
const GONE_AFTER: Millis = Millis::new(3_000);

#[derive(Debug)]
struct Listed {
    entry: Entry,
    gone_at: Timestamp,
    is_fresh: bool,
}

/// Listed targets by name.
#[derive(Debug, Default)]
pub struct Listing {
    targets: BTreeMap<String, Listed>,
    is_changed: bool,
    is_refreshing: bool,
}

impl Listing {
    /// Begins to take a list of all targets.
    pub fn begin_refresh(&mut self) {
        self.is_refreshing = true;
        for listed in self.targets.values_mut() {
            listed.is_fresh = false;
        }
    }

    /// Takes a target.
    pub fn insert(&mut self, entry: Entry) {
        let key = entry.id.to_string();
        let listed = Listed { entry, gone_at: Timestamp::MAX, is_fresh: true };
        let is_same = self
            .targets
            .get(&key)
            .is_some_and(|former| former.entry == listed.entry && former.gone_at == Timestamp::MAX);
        self.is_changed |= !is_same;
        self.targets.insert(key, listed);
    }

    /// Notes that a target is no longer listed.
    pub fn remove(&mut self, key: &str, now: Timestamp) {
        if let Some(listed) = self.targets.get_mut(key)
            && listed.gone_at == Timestamp::MAX
        {
            listed.gone_at = now.plus(GONE_AFTER);
        }
    }

    /// Ends a list of all targets: what it did not name is gone.
    pub fn end_refresh(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.is_refreshing) {
            return;
        }
        let missing: Vec<String> = self
            .targets
            .iter()
            .filter(|(_, listed)| !listed.is_fresh)
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            self.remove(&key, now);
        }
    }

    /// Returns all targets if something has changed since the last call.
    pub fn take_update(&mut self, now: Timestamp) -> Option<Vec<Entry>> {
        let before = self.targets.len();
        self.targets.retain(|_, listed| !listed.gone_at.is_past(now));
        self.is_changed |= self.targets.len() != before;
        std::mem::take(&mut self.is_changed)
            .then(|| self.targets.values().map(|listed| listed.entry.clone()).collect())
    }
}
