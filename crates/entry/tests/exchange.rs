//! Traffic of the report exchange at the size of current users (24 instances) and at the design
//! size (63).

use std::collections::BTreeMap;
use verbenapass::config::DIGEST_LENGTH;
use verbenapass::exchange::{Partner, Schedule, Selection};
use verbenapass::id;
use verbenapass::peer::{InForce, Load, Report, Usage};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Millis, Slots};
use verbenapass_entry::report;
use verbenapass_proto::peer_capnp;

const NOW: Timestamp = Timestamp::from_micros(1_000_000_000);
const TEAMS: usize = 700;
const SECONDS: u64 = 600;
/// Limit on the control traffic that an instance sends and receives, in bytes per second.
const MAX_BYTES: f64 = 19_000.0;

fn encoded_size(report: &Report) -> usize {
    let mut message = capnp::message::Builder::new_default();
    report::write(report, message.init_root::<peer_capnp::report::Builder<'_>>());
    capnp::serialize::write_message_to_words(&message).len()
}

fn usages() -> Vec<Usage> {
    let team = |n| format!("team-{n:03}").parse().unwrap();
    (0..TEAMS).map(|n| Usage { team: team(n), queued: 100, in_flight: 20 }).collect()
}

fn full_report(usages: Vec<Usage>) -> Report {
    let load = |n| Load {
        service: format!("service-{n}").parse().unwrap(),
        queued: 100,
        in_flight: 50,
        held: Slots::new(60),
    };
    let in_force =
        |n| InForce { subtree: format!("/teams/team-{n:03}"), version: id::Version::new(3) };
    Report {
        from: "entry-1.0123456789ab".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        made_at: NOW,
        loads: (0..3).map(load).collect(),
        usages,
        leaving: Vec::new(),
        in_force: (0..=DIGEST_LENGTH).map(in_force).collect(),
        stopping: false,
    }
}

/// Returns the exchanges per second of a fleet at the default interval.
fn exchanges(data_centres: usize, instances: usize) -> f64 {
    let partners: Vec<Partner> = (0..data_centres * instances)
        .map(|n| Partner {
            id: format!("e{n}").parse().unwrap(),
            data_centre: format!("dc{}", n / instances).parse().unwrap(),
            address: "127.0.0.1:7000".parse().unwrap(),
        })
        .collect();
    let mut schedules = BTreeMap::new();
    for (n, own) in partners.iter().enumerate() {
        let interval = Millis::new(10_000);
        let mut schedule = Schedule::new(own.id.clone(), own.data_centre.clone(), interval);
        schedule.listed(partners.iter().cloned(), NOW.plus(Millis::new(137 * n as u64)));
        schedules.insert(own.id.clone(), schedule);
    }
    // Skips the first minute, in which the schedules settle.
    let begin = NOW.plus(Millis::new(60_000));
    let end = begin.plus(Millis::new(SECONDS * 1_000));
    let mut count = 0;
    loop {
        let deadlines =
            schedules.iter().filter_map(|(id, schedule)| Some((schedule.next_deadline()?, id)));
        let (at, own) = deadlines.min().map(|(at, id)| (at, id.clone())).unwrap();
        if at >= end {
            return f64::from(count) / SECONDS as f64;
        }
        for peer in schedules.get_mut(&own).unwrap().due(at) {
            count += i32::from(at >= begin);
            schedules.get_mut(&peer).unwrap().heard(&own, at);
            schedules.get_mut(&own).unwrap().heard(&peer, at);
        }
    }
}

/// Guards against reports that exceed the traffic limit of an instance.
#[test]
fn exchange_bytes() {
    let before = encoded_size(&full_report(usages()));
    let after = encoded_size(&full_report(Selection::default().choose(usages())));
    println!("report with {TEAMS} teams in use: {after} bytes, {before} with all teams listed");
    for (data_centres, instances) in [(4, 6), (9, 7)] {
        let count = (data_centres * instances) as f64;
        // An exchange is a report and a reply, each sent by one of the two instances.
        let messages = 2.0 * exchanges(data_centres, instances) / count;
        let bytes = messages * after as f64;
        let full_messages = 2 * (instances - 1 + data_centres - 1);
        println!(
            "{count} instances: {messages:.2} messages/s and {bytes:.0} bytes/s sent by each; \
             {full_messages} messages/s and {} bytes/s with full reports once a second",
            full_messages * before,
        );
        // Counts sent and received bytes.
        assert!(2.0 * bytes <= MAX_BYTES, "{bytes} bytes a second");
    }
}
