//! When the list of targets reports a change, and when it drops a target.

use std::collections::BTreeSet;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Kilobits, Millis};
use verbenapass_fleet::resource::Amount;
use verbenapass_fleet::target::Entry;
use verbenapass_node::listing::{Listing, Paging, Source};

const START: Timestamp = Timestamp::from_micros(1_000_000);

fn entry(id: &str, is_leaving: bool) -> Entry {
    Entry {
        id: id.parse().unwrap(),
        address: "10.128.0.9:8080".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        service: "h".parse().unwrap(),
        capacity: Amount::default(),
        incarnation: 0,
        version: 0,
        is_leaving,
    }
}

#[test]
fn take_update_only_after_a_change() {
    let mut list = Listing::default();
    list.insert(entry("t", false), 1);
    assert_eq!(list.take_update(START).unwrap().len(), 1);
    // A heartbeat of the target rewrites its row with the same content.
    list.insert(entry("t", false), 1);
    assert!(list.take_update(START).is_none());
    list.insert(entry("t", true), 2);
    assert!(list.take_update(START).unwrap()[0].is_leaving);
}

#[test]
fn take_update_removed_entry_kept_for_a_while() {
    let mut list = Listing::default();
    list.insert(entry("t", false), 1);
    list.take_update(START);
    list.remove("t", 2, START);
    assert!(list.take_update(START.plus(Millis::new(2_000))).is_none());
    assert!(list.take_update(START.plus(Millis::new(3_000))).unwrap().is_empty());
}

#[test]
fn take_update_entry_back_after_outage() {
    let mut list = Listing::default();
    list.insert(entry("t", false), 1);
    list.take_update(START);
    list.remove("t", 2, START);
    list.insert(entry("t", false), 3);
    let later = START.plus(Millis::new(10_000));
    assert!(list.take_update(later).is_none_or(|entries| entries.len() == 1));
}

#[test]
fn remove_missing_only_in_range_and_older() {
    let mut list = Listing::default();
    for name in ["a", "b", "c", "d", "e"] {
        list.insert(entry(name, false), if name == "d" { 9 } else { 1 });
    }
    let names = |list: &mut Listing, at: Timestamp| -> Vec<String> {
        list.take_update(at).unwrap().iter().map(|e| e.id.to_string()).collect()
    };
    let later = START.plus(Millis::new(3_000));
    // A page after "a", up to "d", read as of version 5 and again.
    for at in [START, later] {
        list.remove_missing(Some("a"), Some("d"), &BTreeSet::from(["c"]), 5, at);
    }
    assert_eq!(names(&mut list, later), ["a", "c", "d", "e"]);
    let end = later.plus(Millis::new(3_000));
    for at in [later, end] {
        list.remove_missing(None, None, &BTreeSet::new(), 10, at);
    }
    assert!(names(&mut list, end).is_empty());
}

/// Load: entries lapse while the store is away and are back within two seconds, and the page that
/// lacked them is read again only after eight.
#[test]
fn remove_missing_entry_back_before_the_next_read_kept() {
    let mut list = Listing::default();
    list.insert(entry("t", false), 1);
    list.take_update(START);
    list.remove_missing(None, None, &BTreeSet::new(), 2, START);
    for seconds in 1..=8 {
        assert!(list.take_update(START.plus(Millis::new(1_000 * seconds))).is_none());
    }
    list.insert(entry("t", false), 3);
    let later = START.plus(Millis::new(16_000));
    list.remove_missing(None, None, &BTreeSet::new(), 4, later);
    assert!(list.take_update(later).is_none(), "missing for the first time again");
}

/// Guards against a panic, which ends the updates of the list, if the store answers a page that ends before
/// it begins.
#[test]
fn remove_missing_reversed_range_nothing_removed() {
    let mut list = Listing::default();
    list.insert(entry("b", false), 1);
    list.take_update(START);
    for at in [START, START.plus(Millis::new(3_000))] {
        list.remove_missing(Some("c"), Some("a"), &BTreeSet::new(), 5, at);
        assert!(list.take_update(at).is_none());
    }
}

/// A lagging page or feed must not bring back a target as it was before it began to leave.
#[test]
fn insert_older_copy_ignored() {
    let mut list = Listing::default();
    list.insert(entry("t", true), 7);
    list.insert(entry("t", false), 6);
    assert!(list.take_update(START).unwrap()[0].is_leaving);
    list.remove("t", 8, START);
    list.insert(entry("t", false), 7);
    assert!(list.take_update(START.plus(Millis::new(3_000))).unwrap().is_empty());
}

/// Load: links of 2 Mbit/s, on which a page of 500 rows would hold up all orders for 0.8 s.
#[test]
fn rows_page_takes_little_of_the_link() {
    for (link, limits) in [(2_000, 10..=12), (25_000, 140..=150), (1_000_000, 500..=500)] {
        let mut paging = Paging::new(Kilobits::new(link));
        paging.observe(100, Bytes::new(42_000));
        assert!(limits.contains(&paging.rows(500)), "{link}: {}", paging.rows(500));
    }
}

/// Load: hundreds of targets rewrite their rows every 1.5 s, and hundreds of instances read them. The
/// feed brings 420 bytes for each of these changes.
#[test]
fn cheaper_source_feed_of_small_fleet_pages_of_large_one() {
    let source = |targets: u64, cycle_ms| {
        let changes = Kilobits::new(targets * 420 * 8 / 1_500);
        Source::cheaper(changes, Bytes::new(targets * 420), Millis::new(cycle_ms))
    };
    assert_eq!(Source::Changes, source(48, 700));
    assert_eq!(Source::Pages, source(1_100, 8_000));
    let quiet = Source::cheaper(Kilobits::new(1), Bytes::new(462_000), Millis::new(8_000));
    assert_eq!(Source::Changes, quiet);
}
