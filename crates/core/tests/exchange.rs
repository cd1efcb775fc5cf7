//! Schedule of the exchanges of reports: one schedule, a fleet of schedules, and engines.

mod engine_support;

use engine_support::target;
use std::collections::{BTreeMap, BTreeSet};
use verbenapass::engine::{Command, Engine, Event, Options, Peer, Target};
use verbenapass::exchange::{self, MAX_USAGES, Partner, Schedule, Scope, Selection};
use verbenapass::id;
use verbenapass::peer::{Report, Usage};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

const NOW: Timestamp = Timestamp::from_micros(1_000_000_000);
const INTERVAL: Millis = Millis::new(10_000);
/// One-way latency of a message.
const HOP: Millis = Millis::new(1);

fn instance(name: &str) -> id::Instance {
    name.parse().unwrap()
}

fn partner(name: &str, data_centre: &str) -> Partner {
    let address = "127.0.0.1:7000".parse().unwrap();
    Partner { id: instance(name), data_centre: data_centre.parse().unwrap(), address }
}

fn after(millis: u64) -> Timestamp {
    NOW.plus(Millis::new(millis))
}

/// Returns the schedule of `own` in `dc1` after a report of each of the `partners`.
fn heard_from(own: &str, partners: &[Partner]) -> Schedule {
    let mut schedule = Schedule::new(instance(own), "dc1".parse().unwrap(), INTERVAL);
    schedule.listed(partners.iter().cloned(), NOW);
    schedule.due(NOW);
    for partner in partners {
        schedule.heard(&partner.id, NOW);
    }
    schedule
}

fn due(schedule: &mut Schedule, now: Timestamp) -> Vec<String> {
    schedule.due(now).iter().map(ToString::to_string).collect()
}

/// A new peer must be called without waiting for the interval, and a peer that does not answer only
/// with backoff.
#[test]
fn listed_new_peer_at_once() {
    let mut schedule = Schedule::new(instance("e2"), "dc1".parse().unwrap(), INTERVAL);
    let peers = [partner("e1", "dc1"), partner("e2", "dc1"), partner("f1", "dc2")];
    schedule.listed(peers.clone(), NOW);
    assert_eq!(due(&mut schedule, NOW), ["e1", "f1"]);
    schedule.heard(&instance("e1"), NOW);
    let mut attempts = Vec::new();
    while let Some(at) = schedule.next_deadline().filter(|at| *at < after(60_000)) {
        schedule.listed(peers.clone(), at);
        for name in due(&mut schedule, at).into_iter().filter(|name| name == "f1") {
            attempts.push((name, (at.as_micros() - NOW.as_micros()) / 1_000));
        }
    }
    let times: Vec<u64> = attempts.iter().map(|(_, at)| *at).collect();
    assert_eq!(times[..2], [1_000, 3_000]);
    assert!(times.len() < 15, "{times:?}");
    // A restarted instance has another address and counts as new.
    let moved = Partner { address: "127.0.0.1:7001".parse().unwrap(), ..partner("e1", "dc1") };
    schedule.listed([moved], after(60_000));
    assert!(due(&mut schedule, after(60_000)).contains(&"e1".to_owned()));
}

/// A peer that has reported before it is listed must not be called again at once.
#[test]
fn listed_after_report() {
    let mut schedule = Schedule::new(instance("e1"), "dc1".parse().unwrap(), INTERVAL);
    schedule.heard(&instance("e2"), NOW);
    schedule.listed([partner("e2", "dc1")], NOW);
    assert!(due(&mut schedule, NOW).is_empty());
    assert_eq!(schedule.next_deadline(), Some(NOW.plus(INTERVAL)));
}

/// Of a pair, only the smaller id may call once per interval; the larger id must call if the
/// smaller one is silent.
#[test]
fn due_smaller_id_starts() {
    let mut small = heard_from("e1", &[partner("e2", "dc1")]);
    let mut large = heard_from("e2", &[partner("e1", "dc1")]);
    assert!(due(&mut small, after(9_999)).is_empty());
    assert!(due(&mut large, after(19_999)).is_empty());
    assert_eq!(due(&mut small, after(10_000)), ["e2"]);
    // Without a reply it calls once per interval.
    assert!(due(&mut small, after(19_999)).is_empty());
    assert_eq!(due(&mut small, after(20_000)), ["e2"]);
    assert_eq!(due(&mut large, after(20_000)), ["e1"]);
    large.heard(&instance("e1"), after(20_001));
    assert!(due(&mut large, after(40_000)).is_empty());
}

/// A new report must be sent to the peers without waiting for the interval.
#[test]
fn reported_starts_round() {
    let mut schedule = heard_from("e2", &[partner("e1", "dc1"), partner("e3", "dc1")]);
    schedule.reported(after(200));
    assert_eq!(due(&mut schedule, after(200)), ["e3"]);
}

/// Of each other data centre, one instance must be called per interval, in rotation. If it does not
/// reply, the next one must be called soon.
#[test]
fn due_one_of_each_data_centre() {
    let peers = [partner("f1", "dc2"), partner("f2", "dc2"), partner("g1", "dc3")];
    let mut schedule = heard_from("e1", &peers);
    let mut seen = BTreeSet::new();
    for interval in 1..=2 {
        let now = after(10_000 * interval);
        let partners = due(&mut schedule, now);
        assert_eq!(partners.len(), 2, "{partners:?}");
        for name in partners {
            schedule.heard(&instance(&name), now);
            seen.insert(name);
        }
    }
    assert_eq!(seen.len(), 3, "{seen:?}");
    // An exchange started by the other side replaces the own one.
    schedule.heard(&instance("f1"), after(25_000));
    assert_eq!(due(&mut schedule, after(30_000)), ["g1"]);
    // A call without a reply is followed by a call to another instance.
    let first = due(&mut schedule, after(35_000));
    let second = due(&mut schedule, after(36_000));
    let of_two = |names: &[String]| names.iter().find(|name| name.starts_with('f')).cloned();
    assert_ne!(of_two(&first).unwrap(), of_two(&second).unwrap());
}

/// A broadcast must not wait for the interval, must be repeated in case a message is lost, and must
/// merge with others at the same time.
#[test]
fn broadcast_at_once() {
    let peers = [partner("e2", "dc1"), partner("f1", "dc2"), partner("f2", "dc2")];
    let mut schedule = heard_from("e1", &peers);
    schedule.broadcast(Scope::DataCentre, after(500));
    schedule.broadcast(Scope::Everywhere, after(500));
    schedule.broadcast(Scope::DataCentre, after(500));
    assert!(schedule.is_broadcast_due(after(500)));
    let first = due(&mut schedule, after(500));
    assert_eq!(first.len(), 2, "{first:?}");
    assert_eq!(first[0], "e2");
    schedule.broadcast(Scope::DataCentre, after(510));
    assert!(
        !schedule.is_broadcast_due(after(510)),
        "two broadcasts are less than the minimum time apart"
    );
    let spaced = after(500).plus(exchange::BROADCAST_SPACING);
    assert_eq!(due(&mut schedule, spaced)[0], "e2");
    let second = due(&mut schedule, spaced.plus(exchange::BROADCAST_REPEAT));
    assert_eq!(second[0], "e2", "the repetition is missing");
    assert!(!schedule.is_broadcast_due(after(9_000)));
    // A broadcast within the data centre.
    let mut schedule = heard_from("e1", &peers);
    schedule.broadcast(Scope::DataCentre, after(500));
    assert_eq!(due(&mut schedule, after(500)), ["e2"]);
}

fn usage(team: usize, queued: u32) -> Usage {
    Usage { team: format!("team-{team}").parse().unwrap(), queued, in_flight: 1 }
}

/// A report must not grow with the number of teams. A large change must be listed at once, and
/// every team from time to time.
#[test]
fn choose_bounded() {
    let usages = |changed: &[(usize, u32)]| -> Vec<Usage> {
        let queued = |team| changed.iter().find(|it| it.0 == team).map_or(40, |it| it.1);
        (0..700).map(|team| usage(team, queued(team))).collect()
    };
    let mut selection = Selection::default();
    let mut seen = BTreeSet::new();
    for _ in 0..700_usize.div_ceil(MAX_USAGES) {
        let chosen = selection.choose(usages(&[]));
        assert_eq!(chosen.len(), MAX_USAGES);
        seen.extend(chosen.into_iter().map(|usage| usage.team));
    }
    assert_eq!(seen.len(), 700);
    // A large change is listed at once, a change of an eighth is not noticeable.
    let chosen = selection.choose(usages(&[(699, 400), (698, 45)]));
    assert!(chosen.contains(&usage(699, 400)));
    assert!(!chosen.iter().any(|usage| usage.team.as_str() == "team-698"));
    // A team without use is listed once more, with zeros.
    let mut selection = Selection::default();
    selection.choose(vec![usage(1, 5)]);
    let zero = Usage { team: usage(1, 0).team, queued: 0, in_flight: 0 };
    assert_eq!(selection.choose(Vec::new()), [zero]);
    assert!(selection.choose(Vec::new()).is_empty());
}

/// Instances that exchange reports over a network without losses.
struct Fleet {
    schedules: BTreeMap<id::Instance, Schedule>,
    data_centres: BTreeMap<id::Instance, id::DataCentre>,
    exchanges: u64,
}

impl Fleet {
    fn new(data_centres: usize, instances: usize) -> Self {
        let partners: Vec<Partner> = (0..data_centres * instances)
            .map(|n| partner(&format!("e{n}"), &format!("dc{}", n / instances)))
            .collect();
        let mut fleet =
            Self { schedules: BTreeMap::new(), data_centres: BTreeMap::new(), exchanges: 0 };
        for (n, own) in partners.iter().enumerate() {
            let (id, here) = (own.id.clone(), own.data_centre.clone());
            let mut schedule = Schedule::new(id.clone(), here.clone(), INTERVAL);
            // The instances do not start at the same time.
            schedule.listed(partners.iter().cloned(), after(137 * n as u64));
            fleet.schedules.insert(id.clone(), schedule);
            fleet.data_centres.insert(id, here);
        }
        fleet
    }

    /// Runs until the given time. Returns for each instance how long after the first exchange it
    /// has received what `source` knew at the start, in microseconds.
    fn run(
        &mut self,
        end: Timestamp,
        source: Option<&id::Instance>,
    ) -> BTreeMap<id::Instance, u64> {
        let mut learnt = BTreeMap::new();
        if let Some(source) = source {
            learnt.insert(source.clone(), 0);
        }
        let mut start = None;
        while let Some((at, own)) = self.next().filter(|(at, _)| *at < end) {
            let start = *start.get_or_insert(at);
            let partners = self.schedules.get_mut(&own).unwrap().due(at);
            let arrival = at.plus(HOP);
            for peer in partners {
                self.exchanges += 1;
                self.schedules.get_mut(&peer).unwrap().heard(&own, arrival);
                self.schedules.get_mut(&own).unwrap().heard(&peer, arrival.plus(HOP));
                for (from, to) in [(&own, &peer), (&peer, &own)] {
                    if learnt.contains_key(from) && !learnt.contains_key(to) {
                        learnt.insert(to.clone(), arrival.since(start).get());
                        if self.data_centres[from] != self.data_centres[to] {
                            let schedule = self.schedules.get_mut(to).unwrap();
                            schedule.broadcast(Scope::DataCentre, arrival);
                        }
                    }
                }
            }
        }
        learnt
    }

    fn next(&self) -> Option<(Timestamp, id::Instance)> {
        let deadlines = self.schedules.iter();
        deadlines.filter_map(|(id, it)| Some((it.next_deadline()?, id.clone()))).min()
    }
}

/// The number of messages must stay within that of one exchange per pair and interval. A leaving
/// mark must reach all instances within 3 s, after which no new task may reach a leaving target.
#[test]
fn fleet_messages() {
    for (data_centres, instances) in [(4, 6), (9, 7)] {
        let count = (data_centres * instances) as f64;
        let mut fleet = Fleet::new(data_centres, instances);
        fleet.run(after(60_000), None);
        fleet.exchanges = 0;
        let seconds = 600;
        fleet.run(after(60_000 + seconds * 1_000), None);
        // An exchange is a report and a reply.
        let messages = 2.0 * fleet.exchanges as f64 / seconds as f64;
        // One exchange per pair and one with each other data centre, and a tenth for drift.
        let pairs = (instances - 1) as f64 / 2.0 + (data_centres - 1) as f64;
        let max_messages = 2.0 * pairs * count / 10.0 * 1.1;
        let every_second = 2.0 * ((instances - 1) + (data_centres - 1)) as f64 * count;
        println!(
            "{count} instances: {:.2} messages/s each ({:.2} at one exchange/s), {messages:.1} total",
            messages / count,
            every_second / count,
        );
        assert!(messages <= max_messages, "{messages} messages per second");
        let source = instance("e0");
        let now = after(60_000 + seconds * 1_000);
        fleet.schedules.get_mut(&source).unwrap().broadcast(Scope::Everywhere, now);
        let learnt = fleet.run(now.plus(Millis::new(3_000)), Some(&source));
        assert_eq!(learnt.len() as f64, count, "some instances have not received the mark");
        println!(
            "all instances have received the mark after {} us",
            learnt.values().max().unwrap()
        );
    }
}

/// Runs three data centres of seven engines each, of which only those in `dc0` see the list that
/// marks `t1` as leaving. The first `lost` messages between any two data centres are dropped.
/// Returns the time until all engines know the mark, in milliseconds.
fn time_to_spread(lost: usize) -> u64 {
    let peers: Vec<Peer> = (0..21)
        .map(|n| Peer {
            id: instance(&format!("e{n:02}")),
            data_centre: format!("dc{}", n / 7).parse().unwrap(),
            address: "127.0.0.1:7000".parse().unwrap(),
            leaving: false,
        })
        .collect();
    let list = |leaving| {
        let targets = vec![Target { leaving, ..target("t1", 8) }, target("t2", 8)];
        Event::Listed { revision: 1 + u64::from(leaving), targets, peers: peers.clone() }
    };
    let mut engines = Vec::new();
    let mut wire: BTreeMap<(Timestamp, u64), (usize, Report)> = BTreeMap::new();
    let mut sequence = 0;
    let mut sent: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    let mut out = Vec::new();
    for (n, peer) in peers.iter().enumerate() {
        let options = Options::new(peer.id.clone(), peer.data_centre.clone(), n as u64);
        let mut engine = Engine::new(options.with_reports(INTERVAL));
        engine.handle(list(false), NOW, &mut out);
        // Each engine has already received a report of every other.
        for other in peers.iter().filter(|other| other.id != peer.id) {
            let report = Report {
                from: other.id.clone(),
                data_centre: other.data_centre.clone(),
                made_at: NOW,
                loads: Vec::new(),
                usages: Vec::new(),
                leaving: Vec::new(),
                in_force: Vec::new(),
                stopping: false,
            };
            engine.handle(Event::Reported(report), NOW, &mut out);
        }
        engine.tick(after(1_000), &mut out);
        out.clear();
        engines.push(engine);
    }
    let start = after(1_000);
    for millis in 0..20_000 {
        let now = start.plus(Millis::new(millis));
        let mut emitted = Vec::new();
        for (n, engine) in engines.iter_mut().enumerate() {
            if millis == 0 && n < 7 {
                engine.handle(list(true), now, &mut out);
            }
            engine.tick(now, &mut out);
            emitted.extend(out.drain(..).map(|command| (n, command)));
        }
        while let Some(entry) = wire.first_entry().filter(|entry| entry.key().0 <= now) {
            let (to, report) = entry.remove();
            engines[to].handle(Event::Reported(report), now, &mut out);
            emitted.extend(out.drain(..).map(|command| (to, command)));
        }
        for (from, command) in emitted {
            let Command::SendReport { to, report } = command else { continue };
            for peer in to {
                let to = peers.iter().position(|it| it.id == peer).unwrap();
                let count = sent.entry((from / 7, to / 7)).or_default();
                *count += 1;
                if from / 7 != to / 7 && *count <= lost {
                    continue;
                }
                let reply = Report::clone(&engines[to].report());
                sequence += 2;
                wire.insert((now.plus(HOP), sequence), (to, Report::clone(&report)));
                wire.insert((now.plus(HOP).plus(HOP), sequence + 1), (from, reply));
            }
        }
        if engines.iter().all(|engine| !engine.report().leaving.is_empty()) {
            return millis;
        }
    }
    u64::MAX
}

/// Instances that are cut off from the platform but not from their peers must receive a leaving
/// mark within 3 s, after which no new task may reach a leaving target.
#[test]
fn mark_reaches_cut_off_data_centres() {
    // Each of the seven instances that see the list calls one instance of each other data centre.
    for lost in [0, 7] {
        let millis = time_to_spread(lost);
        println!("first {lost} messages between two data centres lost: {millis} ms");
        assert!(millis <= 3_000, "{millis} ms");
    }
}
