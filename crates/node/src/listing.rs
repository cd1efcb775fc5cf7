//! The list of targets, which keeps a removed target for a grace period, and the size of the pages in
//! which it is read.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Kilobits, Millis};
use verbenapass_fleet::target::Entry;

/// Time for which a removed target is kept: entries that expired while the store was unavailable are
/// back within 2 s.
const REMOVAL_DELAY: Millis = Millis::new(3_000);
/// Longest time for which one page may occupy the own link. Orders and their answers wait behind it,
/// and time out after 50 ms.
const PAGE_TIME: Millis = Millis::new(20);
/// Least rows of a page, however slow the link is.
const MIN_PAGE_ROWS: usize = 10;
/// Assumed size of a row until the first page has been read.
const DEFAULT_ROW: Bytes = Bytes::new(512);

/// Version of the table in the store; rises with each change of it.
pub type Version = u64;

#[derive(Debug)]
struct Item {
    entry: Entry,
    /// Version of the change that the item reflects.
    version: Version,
    remove_at: Timestamp,
    /// When a read of the table first lacked the target.
    missing_since: Option<Timestamp>,
}

/// The targets by name, and whether they changed since the last update was taken.
#[derive(Debug, Default)]
pub struct Listing {
    targets: BTreeMap<String, Item>,
    is_changed: bool,
}

impl Listing {
    /// Returns the number of targets, including those that are about to be removed.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns the names of the targets in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.targets.keys()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Adds or replaces a target, and cancels its removal. Ignores a copy that is older than the known
    /// one.
    pub fn insert(&mut self, entry: Entry, version: Version) {
        let entry = Entry { version, ..entry };
        let key = entry.id.to_string();
        let old = self.targets.get(&key);
        if old.is_some_and(|old| old.version > version) {
            return;
        }
        let is_same = old.is_some_and(|old| {
            let entry = Entry { version: old.entry.version, ..entry.clone() };
            old.entry == entry && old.remove_at == Timestamp::MAX
        });
        self.is_changed |= !is_same;
        let item = Item { entry, version, remove_at: Timestamp::MAX, missing_since: None };
        self.targets.insert(key, item);
    }

    /// Schedules the removal of a target that the store no longer lists as of `version`.
    pub fn remove(&mut self, key: &str, version: Version, now: Timestamp) {
        if let Some(item) = self.targets.get_mut(key)
            && item.version <= version
            && item.remove_at == Timestamp::MAX
        {
            item.version = version;
            item.remove_at = now.plus(REMOVAL_DELAY);
        }
    }

    /// Removes the targets after the name `after`, up to and including `until`, that a read of this
    /// range as of `version` did not find, if an earlier read lacked them as well and the grace period
    /// has passed since. `None` stands for an end of the list.
    pub fn remove_missing(
        &mut self,
        after: Option<&str>,
        until: Option<&str>,
        found: &BTreeSet<&str>,
        version: Version,
        now: Timestamp,
    ) {
        // Such a range has no keys, and the map would panic.
        if after.zip(until).is_some_and(|(after, until)| after > until) {
            return;
        }
        let range = (
            after.map_or(Bound::Unbounded, Bound::Excluded),
            until.map_or(Bound::Unbounded, Bound::Included),
        );
        for (key, item) in self.targets.range_mut::<str, _>(range) {
            if found.contains(key.as_str()) || item.version > version {
                continue;
            }
            item.version = version;
            let missing_since = *item.missing_since.get_or_insert(now);
            if missing_since.plus(REMOVAL_DELAY).is_past(now) {
                item.remove_at = item.remove_at.min(now);
            }
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

/// Way in which an instance keeps the list of targets up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The change feed, which has every change of a row.
    Changes,
    /// The table itself, one page after the other, which has each row once.
    Pages,
}

impl Source {
    /// Returns the way that transfers less, if the feed has brought `changes` per second and the whole
    /// `table` is read once in `cycle`. Targets that rewrite their rows all the time make the feed of a
    /// large fleet larger than its table.
    pub fn cheaper(changes: Kilobits, table: Bytes, cycle: Millis) -> Self {
        match table.get() * 8 / cycle.get().max(1) < changes.get() {
            true => Self::Pages,
            false => Self::Changes,
        }
    }
}

/// Size of the pages of a list, so that none occupies the own link for long.
#[derive(Clone, Copy, Debug)]
pub struct Paging {
    link: Kilobits,
    row: Bytes,
}

impl Paging {
    /// Creates the paging for a link of the given rate.
    pub fn new(link: Kilobits) -> Self {
        Self { link, row: DEFAULT_ROW }
    }

    /// Returns the number of rows of the next page, at most `limit`.
    pub fn rows(&self, limit: usize) -> usize {
        // Kilobits per second are bits per millisecond.
        let bytes = self.link.get() * PAGE_TIME.get() / 8;
        let rows = bytes / self.row.get().max(1);
        usize::try_from(rows).unwrap_or(limit).clamp(MIN_PAGE_ROWS, limit)
    }

    /// Returns the size of a list.
    pub fn size_of(&self, rows: usize) -> Bytes {
        Bytes::new(self.row.get() * rows as u64)
    }

    /// Learns the size of a row from a page.
    pub fn observe(&mut self, rows: usize, size: Bytes) {
        if rows > 0 {
            self.row = Bytes::new(size.get() / rows as u64);
        }
    }
}
