//! Tests of the reuse of pooled connections, some of which go silent: they stay open but deliver no
//! more data.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use verbenapass::connection::{self, Choice, Id, Options, Pool, Query, Reply};
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn open(pool: &mut Pool, id: u64, now: Timestamp) {
    assert!(matches!(pool.choose(now), Choice::Open { .. }));
    pool.opened(Id::new(id), now);
}

fn busy(pool: &mut Pool, id: u64, now: Timestamp) {
    pool.started(Id::new(id), id::Start::new(id), None, now);
}

// Guards against choosing an idle connection while another one has received data later.
#[test]
fn choose_latest_received() {
    let mut pool = Pool::new(Options::default(), 8);
    for id in 1..=3 {
        open(&mut pool, id, at(0));
        busy(&mut pool, id, at(0));
    }
    pool.answered(Id::new(2), at(30));
    pool.answered(Id::new(1), at(50));
    pool.answered(Id::new(3), at(40));
    assert_eq!(pool.choose(at(60)), Choice::Use(Id::new(1)));
}

// Guards against a start on a stale connection, which may have gone silent unnoticed.
#[test]
fn choose_replaces_stale() {
    let mut pool = Pool::new(Options::default(), 1);
    open(&mut pool, 1, at(0));
    assert_eq!(pool.choose(at(999)), Choice::Use(Id::new(1)));
    assert_eq!(pool.choose(at(1_000)), Choice::Open { close: Some(Id::new(1)) });
    assert_eq!(pool.choose(at(1_000)), Choice::Wait, "the connection being opened counts");
    pool.open_failed();
    assert_eq!(pool.choose(at(1_000)), Choice::Open { close: None });
}

// Guards against exceeding the limit on connections, also after the limit is lowered.
#[test]
fn choose_limit() {
    let mut pool = Pool::new(Options::default(), 2);
    for id in 1..=2 {
        open(&mut pool, id, at(0));
        busy(&mut pool, id, at(0));
    }
    assert_eq!(pool.choose(at(0)), Choice::Wait);
    pool.set_limit(1);
    pool.answered(Id::new(1), at(10));
    assert_eq!(pool.expired(at(10)), [Id::new(1)]);
    assert_eq!(pool.choose(at(10)), Choice::Wait);
    assert_eq!(pool.len(), 1);
}

#[test]
fn share_by_instances() {
    assert_eq!(connection::share(64, 7), 8);
    assert_eq!(connection::share(64, 28), 2);
    assert_eq!(connection::share(64, 63), 1, "every instance may open one");
    assert_eq!(connection::share(64, 0), 56);
}

// Guards against further starts on idle connections that the same fault may have silenced.
#[test]
fn overdue_marks_idle_stale() {
    let mut pool =
        Pool::new(Options { reuse_window: Millis::new(10_000), ..Options::default() }, 8);
    for id in 1..=2 {
        open(&mut pool, id, at(0));
        busy(&mut pool, id, at(0));
    }
    pool.answered(Id::new(2), at(10));
    pool.started(Id::new(1), id::Start::new(9), None, at(20));
    assert_eq!(pool.overdue(at(1_019)), []);
    let query = Query { start: id::Start::new(9), connection: Id::new(1) };
    assert_eq!(pool.overdue(at(1_020)), [query]);
    assert_eq!(pool.choose(at(1_020)), Choice::Open { close: Some(Id::new(2)) });
    pool.opened(Id::new(3), at(1_021));
    assert_eq!(pool.choose(at(1_021)), Choice::Use(Id::new(3)), "the new one is used at once");
    assert_eq!(pool.queried(query, Reply::Finished), Some(Id::new(1)));
    assert_eq!(pool.closed(Id::new(1)), None, "the old one has left the pool");
}

// Guards against closing the connection of a slow task, and against many queries for it.
#[test]
fn overdue_slow_task() {
    let mut pool = Pool::new(Options::default(), 8);
    open(&mut pool, 1, at(0));
    pool.started(Id::new(1), id::Start::new(1), Some(Millis::new(500)), at(0));
    let mut queried_at = Vec::new();
    for now in 0..600_000 {
        for query in pool.overdue(at(now)) {
            queried_at.push(now);
            assert_eq!(pool.queried(query, Reply::Running), None);
        }
    }
    assert_eq!(queried_at, [2_000, 6_000, 18_000, 54_000]);
    pool.answered(Id::new(1), at(600_000));
    assert_eq!(pool.choose(at(600_000)), Choice::Use(Id::new(1)));
}

// Guards against a late reply to a query that closes the connection while it carries another start.
#[test]
fn queried_late_reply() {
    let mut pool = Pool::new(Options::default(), 8);
    open(&mut pool, 1, at(0));
    busy(&mut pool, 1, at(0));
    let queries = pool.overdue(at(1_000));
    pool.answered(Id::new(1), at(1_001));
    pool.started(Id::new(1), id::Start::new(2), None, at(1_002));
    assert_eq!(pool.queried(queries[0], Reply::Finished), None);
    assert_eq!(pool.closed(Id::new(1)), Some(id::Start::new(2)));
}

#[test]
fn next_deadline_idle_and_busy() {
    let mut pool = Pool::new(Options::default(), 8);
    assert_eq!(pool.next_deadline(), None);
    open(&mut pool, 1, at(0));
    assert_eq!(pool.next_deadline(), Some(at(30_000)));
    busy(&mut pool, 1, at(5));
    assert_eq!(pool.next_deadline(), Some(at(1_005)));
    pool.answered(Id::new(1), at(100));
    assert_eq!(pool.expired(at(30_099)), []);
    assert_eq!(pool.expired(at(30_100)), [Id::new(1)]);
    assert!(pool.is_empty());
}

/// Reference model of a connection.
#[derive(Clone, Copy, Debug)]
struct Model {
    received_at: u64,
    start: Option<u64>,
}

// Guards against sequences of calls that use a busy, closed or stale connection, exceed the limit
// or return more queries than allowed. CONNECTION_FUZZ_ITERATIONS sets the number of sequences.
#[test]
fn pool_fuzz() {
    static STEPS: AtomicU64 = AtomicU64::new(0);
    static USED: AtomicU64 = AtomicU64::new(0);
    let iterations =
        std::env::var("CONNECTION_FUZZ_ITERATIONS").ok().and_then(|text| text.parse().ok());
    let steps = bolero::generator::produce::<Vec<(u8, u8, u16)>>().with().len(0_usize..=300);
    bolero::check!()
        .with_iterations(iterations.unwrap_or(1_000))
        .with_max_len(16_384)
        .with_generator(steps)
        .for_each(|steps| {
            let mut pool = Pool::new(Options::default(), 4);
            let mut model: BTreeMap<Id, Model> = BTreeMap::new();
            let mut query_counts: BTreeMap<u64, u32> = BTreeMap::new();
            let mut queries: Vec<Query> = Vec::new();
            let (mut now, mut next, mut opening) = (0_u64, 1_u64, 0_usize);
            for (call, selector, span) in steps {
                next += 1;
                let chosen = model.keys().nth(usize::from(*selector) % model.len().max(1)).copied();
                match call % 12 {
                    0..=3 => match pool.choose(at(now)) {
                        Choice::Use(id) => {
                            let connection = model[&id];
                            assert_eq!(connection.start, None, "a busy connection was used");
                            assert!(
                                now - connection.received_at < 1_000,
                                "a stale connection was used"
                            );
                            let mut idle = model.values().filter(|other| other.start.is_none());
                            let latest =
                                idle.all(|other| other.received_at <= connection.received_at);
                            assert!(latest, "an idle connection received data later");
                            model.insert(id, Model { start: Some(next), ..connection });
                            pool.started(id, id::Start::new(next), None, at(now));
                            USED.fetch_add(1, Ordering::Relaxed);
                        }
                        Choice::Open { close } => {
                            if let Some(id) = close {
                                let connection =
                                    model.remove(&id).expect("pool returned an unknown connection");
                                assert_eq!(connection.start, None, "a busy connection was closed");
                            }
                            opening += 1;
                        }
                        Choice::Wait => {
                            let busy = model
                                .values()
                                .filter(|connection| connection.start.is_some())
                                .count();
                            assert_eq!(busy + opening, 4, "a free connection was not used");
                        }
                    },
                    4 | 5 if opening > 0 => {
                        opening -= 1;
                        if *selector % 4 == 0 {
                            pool.open_failed();
                        } else {
                            pool.opened(Id::new(next), at(now));
                            model.insert(Id::new(next), Model { received_at: now, start: None });
                        }
                    }
                    6 | 7 => {
                        if let Some(id) = chosen {
                            pool.answered(id, at(now));
                            model.insert(id, Model { received_at: now, start: None });
                        }
                    }
                    8 => {
                        if let Some(id) = chosen {
                            let start = model.remove(&id).and_then(|connection| connection.start);
                            assert_eq!(pool.closed(id), start.map(id::Start::new));
                        }
                    }
                    9 => {
                        for query in pool.overdue(at(now)) {
                            let connection = model[&query.connection];
                            assert_eq!(connection.start, Some(query.start.get()));
                            let count = query_counts.entry(query.start.get()).or_default();
                            *count += 1;
                            assert!(*count <= Options::default().max_queries);
                            queries.push(query);
                        }
                    }
                    10 => {
                        if !queries.is_empty() {
                            let query = queries.swap_remove(usize::from(*selector) % queries.len());
                            let replies =
                                [Reply::Finished, Reply::Running, Reply::NotFound, Reply::Silent];
                            let reply = replies[usize::from(*span) % replies.len()];
                            let open = model.get(&query.connection);
                            let is_current =
                                open.is_some_and(|open| open.start == Some(query.start.get()));
                            let closes =
                                is_current && matches!(reply, Reply::Finished | Reply::NotFound);
                            let expected = closes.then_some(query.connection);
                            assert_eq!(pool.queried(query, reply), expected);
                            if closes {
                                model.remove(&query.connection);
                            }
                        }
                    }
                    _ => now += u64::from(*span) % 1_500,
                }
                assert_eq!(pool.len(), model.len() + opening);
                assert!(pool.len() <= 4, "the limit was exceeded");
                STEPS.fetch_add(1, Ordering::Relaxed);
            }
        });
    let used = USED.load(Ordering::Relaxed);
    println!("connection: {} steps, {used} uses, 0 violations", STEPS.load(Ordering::Relaxed));
    // Without uses, the assertions on chosen connections were never checked.
    assert!(used > 0);
}

#[derive(Debug, Default)]
struct Measurements {
    starts: u64,
    lost: u64,
    opened: u64,
    queries: u64,
    latest_loss_after_fault_ms: u64,
}

/// Simulates one pool in steps of a millisecond. Every `fault_every_ms`, all open connections go
/// silent for the rest of the run, while new ones work; zero means no faults. Tasks take 50 to
/// 250 ms, and `per_second` of them arrive.
fn simulate(reuse_window_ms: u64, per_second: u64, fault_every_ms: u64, seed: u64) -> Measurements {
    let reuse_window = Millis::new(reuse_window_ms);
    let mut pool = Pool::new(Options { reuse_window, ..Options::default() }, 8);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut measurements = Measurements::default();
    let mut received: BTreeMap<Id, u64> = BTreeMap::new();
    let mut silent: BTreeSet<Id> = BTreeSet::new();
    let mut running: BTreeMap<u64, Vec<(Id, u64)>> = BTreeMap::new();
    let (mut next, mut waiting, mut fault_at) = (1_u64, 0_u64, 0_u64);
    for now in 0..600_000_u64 {
        if fault_every_ms > 0 && now > 0 && now.is_multiple_of(fault_every_ms) {
            silent.extend(received.keys());
            fault_at = now;
        }
        for (id, _) in running.remove(&now).unwrap_or_default() {
            if !silent.contains(&id) && received.contains_key(&id) {
                pool.answered(id, at(now));
                received.insert(id, now);
            }
        }
        for query in pool.overdue(at(now)) {
            measurements.queries += 1;
            let finished = !running
                .values()
                .flatten()
                .any(|(id, start)| *id == query.connection && *start == query.start.get());
            let reply = if finished { Reply::Finished } else { Reply::Running };
            if let Some(id) = pool.queried(query, reply) {
                received.remove(&id);
            }
        }
        for id in pool.expired(at(now)) {
            received.remove(&id);
        }
        waiting += u64::from(rng.random_range(0..1_000) < per_second);
        while waiting > 0 {
            match pool.choose(at(now)) {
                Choice::Wait => break,
                Choice::Open { close } => {
                    if let Some(id) = close {
                        received.remove(&id);
                    }
                    measurements.opened += 1;
                    pool.opened(Id::new(next), at(now));
                    received.insert(Id::new(next), now);
                    next += 1;
                }
                Choice::Use(id) => {
                    let age = now - received[&id];
                    assert!(
                        age < reuse_window_ms,
                        "start on a connection that received nothing for {age} ms"
                    );
                    pool.started(id, id::Start::new(next), Some(Millis::new(150)), at(now));
                    let ends = now + rng.random_range(50..250);
                    running.entry(ends).or_default().push((id, next));
                    next += 1;
                    waiting -= 1;
                    measurements.starts += 1;
                    if silent.contains(&id) {
                        measurements.lost += 1;
                        measurements.latest_loss_after_fault_ms =
                            measurements.latest_loss_after_fault_ms.max(now - fault_at);
                    }
                }
            }
            assert!(pool.len() <= 8);
        }
    }
    measurements
}

// Guards against starts that are lost long after the fault, and against queries without a fault,
// which would be messages that only check connections. Set CONNECTION_FIGURES to print the figures
// of several reuse windows.
#[test]
fn pool_silent_connections() {
    for per_second in [1, 5, 30] {
        let faultless = simulate(1_000, per_second, 0, 1);
        assert_eq!(
            (faultless.lost, faultless.queries),
            (0, 0),
            "queries or losses without a fault"
        );
        let faulty = simulate(1_000, per_second, 20_000, 1);
        assert!(faulty.latest_loss_after_fault_ms < 1_000, "{faulty:?}");
        assert!(faulty.lost <= 29 * 8, "more than the reusable connections: {faulty:?}");
        if std::env::var_os("CONNECTION_FIGURES").is_some() {
            for window in [100, 250, 1_000, 4_000, 30_000] {
                let faultless = simulate(window, per_second, 0, 1);
                let faulty = simulate(window, per_second, 20_000, 1);
                println!(
                    "{per_second}/s reuse window {window} ms: opened per start {:.3} (no fault); \
                     with 29 faults: starts {}, lost {}, last loss {} ms after the fault, \
                     queries {}",
                    faultless.opened as f64 / faultless.starts as f64,
                    faulty.starts,
                    faulty.lost,
                    faulty.latest_loss_after_fault_ms,
                    faulty.queries,
                );
            }
        }
    }
}
