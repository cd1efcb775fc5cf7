//! When the list of targets reports a change, and when it drops a target.

use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;
use verbenapass_fleet::resource::Amount;
use verbenapass_fleet::target::Entry;
use verbenapass_node::listing::Listing;

const START: Timestamp = Timestamp::from_micros(1_000_000);

fn entry(id: &str, is_leaving: bool) -> Entry {
    Entry {
        id: id.parse().unwrap(),
        address: "10.128.0.9:8080".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        service: "h".parse().unwrap(),
        capacity: Amount::default(),
        incarnation: 0,
        is_leaving,
    }
}

#[test]
fn take_update_only_after_a_change() {
    let mut list = Listing::default();
    list.insert(entry("t", false));
    assert_eq!(list.take_update(START).unwrap().len(), 1);
    // A heartbeat of the target rewrites its row with the same content.
    list.insert(entry("t", false));
    assert!(list.take_update(START).is_none());
    list.insert(entry("t", true));
    assert!(list.take_update(START).unwrap()[0].is_leaving);
}

#[test]
fn take_update_removed_entry_kept_for_a_while() {
    let mut list = Listing::default();
    list.insert(entry("t", false));
    list.take_update(START);
    list.remove("t", START);
    assert!(list.take_update(START.plus(Millis::new(2_000))).is_none());
    assert!(list.take_update(START.plus(Millis::new(3_000))).unwrap().is_empty());
}

#[test]
fn take_update_entry_back_after_outage() {
    let mut list = Listing::default();
    list.insert(entry("t", false));
    list.take_update(START);
    list.remove("t", START);
    list.insert(entry("t", false));
    let later = START.plus(Millis::new(10_000));
    assert!(list.take_update(later).is_none_or(|entries| entries.len() == 1));
}

#[test]
fn end_refresh_missing_entries_go() {
    let mut list = Listing::default();
    list.insert(entry("t", false));
    list.insert(entry("u", false));
    list.begin_refresh();
    list.insert(entry("u", false));
    list.end_refresh(START);
    let entries = list.take_update(START.plus(Millis::new(3_000))).unwrap();
    assert_eq!(entries.iter().map(|e| e.id.as_str()).collect::<Vec<_>>(), ["u"]);
}
