//! Tests of the view that merges the instance list with direct evidence.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use verbenapass::config::Replica;
use verbenapass::id;
use verbenapass::membership::{
    EXCHANGE_INTERVAL, List, ListedPeer, ListedTarget, Options, State, View,
};
use verbenapass::peer::{Leaving, Report};
use verbenapass::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn target(name: &str) -> id::Target {
    name.parse().unwrap()
}

fn list(revision: u64, targets: &[(&str, bool)]) -> List {
    let targets = targets
        .iter()
        .map(|(name, leaving)| ListedTarget { id: target(name), leaving: *leaving })
        .collect();
    List { revision, targets, peers: Vec::new() }
}

fn view(targets: &[(&str, bool)]) -> View {
    let mut view = View::new(Options::default());
    view.listed(&list(10, targets), at(0));
    view
}

fn report(from: &str, leaving: Vec<Leaving>, stopping: bool) -> Report {
    Report {
        from: from.parse().unwrap(),
        data_centre: "dc0".parse().unwrap(),
        made_at: at(0),
        loads: Vec::new(),
        usages: Vec::new(),
        leaving,
        in_force: Vec::new(),
        stopping,
    }
}

// Guards against a stale copy of the list that puts a leaving target back in service.
#[test]
fn leaving_not_undone_by_list() {
    let mut view = view(&[("t1", false), ("t2", true)]);
    view.draining(&target("t1"), at(1));
    for revision in [9, 10, 11, 12] {
        view.listed(&list(revision, &[("t1", false), ("t2", false)]), at(2));
        assert_eq!(view.target(&target("t1"), at(2)), State::Leaving, "revision {revision}");
        assert_eq!(view.target(&target("t2"), at(2)), State::Leaving, "revision {revision}");
    }
    let later = at(3_600_000);
    view.tick(later);
    assert_eq!(view.target(&target("t1"), later), State::Leaving, "it is still on the list");
    assert_eq!(view.usable_targets(later).count(), 0);
}

// Guards against marks that never expire, and against marks that peers renew for each other.
#[test]
fn leaving_forgotten_after_list() {
    let mut view = view(&[("t1", true)]);
    view.listed(&list(11, &[]), at(1_000));
    let mark = view.marks(at(1_000)).remove(0);
    assert_eq!(mark.forget_at, at(601_000));
    view.peer_leaving(&mark, at(500_000));
    view.tick(at(600_999));
    assert_eq!(view.target(&target("t1"), at(600_999)), State::Leaving);
    view.tick(at(601_000));
    assert_eq!(view.target(&target("t1"), at(601_000)), State::Gone);
    view.peer_leaving(&mark, at(601_000));
    assert_eq!(view.marks(at(601_000)), []);
    let wrong_clock = Leaving { target: target("t1"), forget_at: Timestamp::MAX };
    view.peer_leaving(&wrong_clock, at(700_000));
    assert_eq!(view.marks(at(700_000))[0].forget_at, at(1_300_000));
}

// Guards against a mark that is lost because it arrives before the list that names the target.
#[test]
fn leaving_before_list() {
    let mut view = View::new(Options::default());
    let mark = Leaving { target: target("t1"), forget_at: at(10_000) };
    view.reported(&report("b", vec![mark], false), at(0));
    assert!(view.take_marked());
    assert!(!view.take_marked());
    view.listed(&list(1, &[("t1", false)]), at(1));
    assert_eq!(view.target(&target("t1"), at(1)), State::Leaving);
}

// Guards against an older copy of the list that removes targets or puts them back in service.
#[test]
fn listed_older_revision() {
    let mut view = view(&[("t1", false)]);
    assert!(!view.listed(&list(9, &[("t0", false)]), at(1)));
    assert_eq!(view.target(&target("t1"), at(1)), State::Live);
    assert_eq!(view.target(&target("t0"), at(1)), State::Gone);
}

// Guards against losing all targets when the list is empty after an outage, and against using a
// removed target without limit.
#[test]
fn unlisted_but_responding() {
    let mut view = view(&[("t1", false), ("t2", false)]);
    view.responded(&target("t1"), at(900));
    view.listed(&list(11, &[]), at(1_000));
    assert_eq!(view.target(&target("t1"), at(1_000)), State::Live);
    assert_eq!(view.target(&target("t2"), at(1_000)), State::Gone, "it has not responded");
    for now in (1_000..61_000).step_by(1_000) {
        view.responded(&target("t1"), at(now));
        view.tick(at(now));
        assert_eq!(view.target(&target("t1"), at(now)), State::Live, "{now}");
    }
    assert_eq!(view.target(&target("t1"), at(61_000)), State::Gone);
    view.tick(at(61_000));
    view.responded(&target("t1"), at(61_001));
    assert_eq!(view.target(&target("t1"), at(61_001)), State::Gone);
}

// Guards against targets that become unusable only because the list is unavailable.
#[test]
fn list_outage() {
    let mut view = view(&[("t1", false)]);
    let later = at(7_200_000);
    view.tick(later);
    assert_eq!(view.target(&target("t1"), later), State::Live);
}

// Guards against further starts on a target that refuses connections, against a single failure that
// makes a target suspect, and against a target that stays suspect after it has recovered.
#[test]
fn connect_failures() {
    let t1 = target("t1");
    let mut view = view(&[("t1", false)]);
    view.connect_failed(&t1, at(0));
    assert_eq!(view.target(&t1, at(0)), State::Live);
    view.connect_failed(&t1, at(1));
    assert_eq!(view.target(&t1, at(250)), State::Suspect);
    view.connect_failed(&t1, at(100));
    assert_eq!(view.target(&t1, at(251)), State::Live, "attempts in flight do not prolong it");
    let mut now = 251;
    let mut spans = Vec::new();
    for _ in 0..7 {
        view.connect_failed(&t1, at(now));
        let end = (now..).find(|ms| view.target(&t1, at(*ms)) == State::Live).unwrap();
        spans.push(end - now);
        now = end;
    }
    assert_eq!(spans, [500, 1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
    view.connect_failed(&t1, at(now));
    view.responded(&t1, at(now + 1));
    assert_eq!(view.target(&t1, at(now + 1)), State::Live);
    view.connect_failed(&t1, at(now + 2));
    assert_eq!(view.target(&t1, at(now + 2)), State::Live, "the count starts again");
}

// Guards against silent or stopping peers being counted as live.
#[test]
fn peer_states() {
    let mut view = View::new(Options::default());
    let peer = |name: &str, leaving| ListedPeer {
        id: name.parse().unwrap(),
        data_centre: "dc0".parse().unwrap(),
        leaving,
    };
    let peers = vec![peer("a", false), peer("b", false), peer("c", true)];
    view.listed(&List { revision: 1, targets: Vec::new(), peers }, at(0));
    let state = |view: &View, name: &str, now| view.peer(&name.parse().unwrap(), at(now));
    view.reported(&report("a", Vec::new(), false), at(2_000));
    view.reported(&report("d", Vec::new(), false), at(2_000));
    assert_eq!(state(&view, "a", 3_000), State::Live);
    assert_eq!(state(&view, "b", 2_999), State::Live, "still within the time for its first report");
    assert_eq!(state(&view, "b", 3_000), State::Suspect);
    assert_eq!(state(&view, "c", 0), State::Leaving);
    assert_eq!(state(&view, "d", 3_000), State::Live, "not on the list, but it sends reports");
    assert_eq!(state(&view, "d", 5_000), State::Gone);
    view.reported(&report("a", Vec::new(), true), at(3_000));
    view.reported(&report("a", Vec::new(), false), at(3_001));
    assert_eq!(state(&view, "a", 3_001), State::Leaving, "an older report arrives late");
    view.listed(&List { revision: 2, targets: Vec::new(), peers: Vec::new() }, at(4_000));
    view.tick(at(9_000));
    assert_eq!(view.peers(at(9_000)).count(), 0);
}

/// Returns the time in milliseconds until all of 21 instances in three data centres know a mark that
/// one of them has seen. `at_once` also sends a report for each new mark; `lost` is the percentage of
/// messages that are dropped.
fn spread(interval: u64, at_once: bool, lost: u32, seed: u64) -> u64 {
    const NODES: usize = 21;
    let mut rng = SmallRng::seed_from_u64(seed);
    let peers: Vec<(id::Instance, id::DataCentre)> = (0..NODES)
        .map(|n| (format!("n{n:02}").parse().unwrap(), format!("dc{}", n / 7).parse().unwrap()))
        .collect();
    let replicas: Vec<Replica> =
        peers.iter().map(|(name, centre)| Replica::new(name.clone(), centre.clone())).collect();
    let mut views = vec![View::new(Options::default()); NODES];
    for view in &mut views {
        view.listed(&list(1, &[("t1", false)]), at(0));
    }
    let phases: Vec<u64> = (0..NODES).map(|_| rng.random_range(0..interval)).collect();
    let first = rng.random_range(0..NODES);
    // The worst case: the mark becomes visible just after the report of the instance that sees it.
    let start = phases[first] + 1;
    let mut in_transit: BTreeMap<u64, Vec<(usize, Report)>> = BTreeMap::new();
    for now in start..start + 20_000 {
        if now == start {
            views[first].draining(&target("t1"), at(now));
        }
        for (to, report) in in_transit.remove(&now).unwrap_or_default() {
            views[to].reported(&report, at(now));
        }
        if views.iter().all(|view| view.target(&target("t1"), at(now)) == State::Leaving) {
            return now - start;
        }
        for from in 0..NODES {
            let newly_marked = views[from].take_marked() && at_once;
            if !newly_marked && now % interval != phases[from] {
                continue;
            }
            let marks = views[from].marks(at(now));
            let partners = replicas[from].partners(&peers, now / interval, 1);
            for to in (0..NODES).filter(|to| partners.contains(&peers[*to].0)) {
                if rng.random_range(0..100) >= lost {
                    let message = report(peers[from].0.as_str(), marks.clone(), false);
                    in_transit.entry(now + 2).or_default().push((to, message));
                }
            }
        }
    }
    u64::MAX
}

// Guards against a new task on a leaving target more than 3 s after the mark is visible.
#[test]
fn leaving_spreads_in_time() {
    let interval = EXCHANGE_INTERVAL.get();
    let worst = |interval, at_once, lost| {
        (0..200).map(|seed| spread(interval, at_once, lost, seed)).max().unwrap()
    };
    let periodic = worst(interval, false, 0);
    assert!(periodic <= 3_000, "{periodic} ms");
    let at_once = worst(interval, true, 0);
    assert!(at_once <= 100, "{at_once} ms");
    let lossy = worst(interval, true, 20);
    assert!(lossy <= 3_000, "{lossy} ms");
    let slow = worst(2_000, false, 0);
    assert!(
        slow > 3_000,
        "an interval of 2 s must exceed the bound, or the test does not detect delays: {slow} ms"
    );
    println!(
        "worst of 200 runs: periodic {periodic} ms, at once {at_once} ms, at once with 20% of the \
         messages lost {lossy} ms, interval of 2 s {slow} ms"
    );
}

/// Reference model: records the evidence without merging it.
#[derive(Default)]
struct Oracle {
    revision: Option<u64>,
    listed: BTreeSet<id::Target>,
    unlisted_at: BTreeMap<id::Target, u64>,
    marked_until: BTreeMap<id::Target, u64>,
    responded_at: BTreeMap<id::Target, u64>,
    failures: BTreeMap<id::Target, u32>,
}

impl Oracle {
    fn mark(&mut self, target: &id::Target, until: u64) {
        let entry = self.marked_until.entry(target.clone()).or_default();
        *entry = (*entry).max(until);
    }

    fn check(&self, view: &View, now: u64, names: &[id::Target]) {
        for name in names {
            let state = view.target(name, at(now));
            let listed = self.listed.contains(name);
            let marked = self.marked_until.get(name);
            if marked.is_some_and(|until| listed || *until > now) {
                assert_eq!(state, State::Leaving, "{name} was marked");
            }
            if state == State::Live && !listed {
                assert!(
                    self.responded_at.get(name).is_some_and(|responded| now - responded < 5_000)
                );
                assert!(self.unlisted_at.get(name).is_some_and(|left| now - left < 60_000));
            }
            let failures = self.failures.get(name).copied().unwrap_or(0);
            if listed && marked.is_none() && failures < 2 {
                assert_eq!(state, State::Live, "{name} is listed, not marked and not suspect");
            }
        }
    }
}

// Guards against sequences of evidence that put a leaving target back in service, keep a removed one
// or make a healthy one unusable. MEMBERSHIP_FUZZ_ITERATIONS sets the number of sequences.
#[test]
fn view_fuzz() {
    use std::sync::atomic::{AtomicU64, Ordering};
    static STEPS: AtomicU64 = AtomicU64::new(0);
    let wanted =
        std::env::var("MEMBERSHIP_FUZZ_ITERATIONS").ok().and_then(|text| text.parse().ok());
    let steps = bolero::generator::produce::<Vec<(u8, u8, u16)>>().with().len(0_usize..=200);
    bolero::check!()
        .with_iterations(wanted.unwrap_or(1_000))
        .with_max_len(16_384)
        .with_generator(steps)
        .for_each(|steps| {
            let names: Vec<id::Target> = ["t0", "t1", "t2", "t3"].map(target).to_vec();
            let mut view = View::new(Options::default());
            let mut oracle = Oracle::default();
            let mut now = 1_000;
            for (what, which, value) in steps {
                let name = &names[usize::from(*which) % names.len()];
                match what % 12 {
                    0..=2 => step_list(&mut view, &mut oracle, now, *which, *value),
                    3 => {
                        view.draining(name, at(now));
                        oracle.mark(name, now + 600_000);
                    }
                    4 => {
                        let until = now + u64::from(*value);
                        let mark = Leaving { target: name.clone(), forget_at: at(until) };
                        view.reported(&report("b", vec![mark], false), at(now));
                        if until > now {
                            oracle.mark(name, until);
                        }
                    }
                    5 | 6 => {
                        view.connect_failed(name, at(now));
                        *oracle.failures.entry(name.clone()).or_default() += 1;
                    }
                    7 | 8 => {
                        view.responded(name, at(now));
                        oracle.responded_at.insert(name.clone(), now);
                        oracle.failures.remove(name);
                    }
                    9 => {
                        view.tick(at(now));
                        // The view keeps the mark of a name that is listed or within the grace period
                        // after the list omits it.
                        let Oracle { listed, unlisted_at, marked_until, .. } = &mut oracle;
                        marked_until.retain(|name, until| {
                            let left = unlisted_at.get(name).is_some_and(|at| now - at < 60_000);
                            *until > now || left || listed.contains(name)
                        });
                    }
                    10 => now += u64::from(*value % 2_000),
                    _ => now += u64::from(*value) * 4,
                }
                oracle.check(&view, now, &names);
                STEPS.fetch_add(1, Ordering::Relaxed);
            }
        });
    println!("membership: {} steps, 0 violations", STEPS.load(Ordering::Relaxed));
}

fn step_list(view: &mut View, oracle: &mut Oracle, now: u64, which: u8, value: u16) {
    let names = ["t0", "t1", "t2", "t3"];
    let targets: Vec<(&str, bool)> = (0..4)
        .filter(|n| which & (1 << n) != 0)
        .map(|n| (names[n], which & (1 << (n + 4)) != 0 && value.is_multiple_of(5)))
        .collect();
    let last = oracle.revision.unwrap_or(0);
    // About half of the copies are stale.
    let revision = (last + 3).saturating_sub(u64::from(value % 6));
    let newer = oracle.revision.is_none_or(|seen| revision > seen);
    assert_eq!(view.listed(&list(revision, &targets), at(now)), newer);
    if !newer {
        return;
    }
    oracle.revision = Some(revision);
    let before = std::mem::take(&mut oracle.listed);
    for (name, leaving) in targets {
        oracle.listed.insert(target(name));
        if leaving {
            oracle.mark(&target(name), now + 600_000);
        }
    }
    for name in before.difference(&oracle.listed) {
        oracle.unlisted_at.insert(name.clone(), now);
        if let Some(until) = oracle.marked_until.get_mut(name) {
            *until = (*until).max(now + 600_000);
        }
    }
}
