//! Tests of the trust in pooled connections, with connections that go silent for good.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use verbenapass::connection::{self, Choice, Id, Options, Pool, Question, Reply};
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

// Guards against an old connection being used while a proven one is idle.
#[test]
fn choose_latest_proof() {
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

// Guards against a start on a connection that may have gone silent long ago.
#[test]
fn choose_replaces_unproven() {
    let mut pool = Pool::new(Options::default(), 1);
    open(&mut pool, 1, at(0));
    assert_eq!(pool.choose(at(999)), Choice::Use(Id::new(1)));
    assert_eq!(pool.choose(at(1_000)), Choice::Open { close: Some(Id::new(1)) });
    assert_eq!(pool.choose(at(1_000)), Choice::Wait, "the connection being opened counts");
    pool.open_failed();
    assert_eq!(pool.choose(at(1_000)), Choice::Open { close: None });
}

// Guards against more connections than the target accepts.
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
fn share_of_connections() {
    assert_eq!(connection::share(64, 7), 8);
    assert_eq!(connection::share(64, 28), 2);
    assert_eq!(connection::share(64, 63), 1, "every instance may open one");
    assert_eq!(connection::share(64, 0), 56);
}

// Guards against further starts on connections that the same fault has silenced.
#[test]
fn overdue_withdraws_trust() {
    let mut pool = Pool::new(Options { trust: Millis::new(10_000), ..Options::default() }, 8);
    for id in 1..=2 {
        open(&mut pool, id, at(0));
        busy(&mut pool, id, at(0));
    }
    pool.answered(Id::new(2), at(10));
    pool.started(Id::new(1), id::Start::new(9), None, at(20));
    assert_eq!(pool.overdue(at(1_019)), []);
    let question = Question { start: id::Start::new(9), connection: Id::new(1) };
    assert_eq!(pool.overdue(at(1_020)), [question]);
    assert_eq!(pool.choose(at(1_020)), Choice::Open { close: Some(Id::new(2)) });
    pool.opened(Id::new(3), at(1_021));
    assert_eq!(pool.choose(at(1_021)), Choice::Use(Id::new(3)), "the new one is used at once");
    assert_eq!(pool.asked(question, Reply::Finished), Some(Id::new(1)));
    assert_eq!(pool.closed(Id::new(1)), None, "the old one has left the pool");
}

// Guards against giving up a slow task, and against many questions about it.
#[test]
fn overdue_slow_task() {
    let mut pool = Pool::new(Options::default(), 8);
    open(&mut pool, 1, at(0));
    pool.started(Id::new(1), id::Start::new(1), Some(Millis::new(500)), at(0));
    let mut asked_at = Vec::new();
    for now in 0..600_000 {
        for question in pool.overdue(at(now)) {
            asked_at.push(now);
            assert_eq!(pool.asked(question, Reply::Running), None);
        }
    }
    assert_eq!(asked_at, [2_000, 6_000, 18_000, 54_000]);
    pool.answered(Id::new(1), at(600_000));
    assert_eq!(pool.choose(at(600_000)), Choice::Use(Id::new(1)));
}

// Guards against a late reply that closes the connection under the next start.
#[test]
fn asked_late() {
    let mut pool = Pool::new(Options::default(), 8);
    open(&mut pool, 1, at(0));
    busy(&mut pool, 1, at(0));
    let questions = pool.overdue(at(1_000));
    pool.answered(Id::new(1), at(1_001));
    pool.started(Id::new(1), id::Start::new(2), None, at(1_002));
    assert_eq!(pool.asked(questions[0], Reply::Finished), None);
    assert_eq!(pool.closed(Id::new(1)), Some(id::Start::new(2)));
}

#[test]
fn next_deadline_covers_idle_and_busy() {
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

/// A connection as the plainest bookkeeping has it.
#[derive(Clone, Copy, Debug)]
struct Plain {
    proven_at: u64,
    start: Option<u64>,
}

// Guards against sequences that use a busy, closed or unproven connection, that exceed the limit or
// that ask more often than allowed. CONNECTION_FUZZ_ITERATIONS sets the length.
#[test]
fn pool_fuzz() {
    static STEPS: AtomicU64 = AtomicU64::new(0);
    static USED: AtomicU64 = AtomicU64::new(0);
    let wanted =
        std::env::var("CONNECTION_FUZZ_ITERATIONS").ok().and_then(|text| text.parse().ok());
    let steps = bolero::generator::produce::<Vec<(u8, u8, u16)>>().with().len(0_usize..=300);
    bolero::check!()
        .with_iterations(wanted.unwrap_or(1_000))
        .with_max_len(16_384)
        .with_generator(steps)
        .for_each(|steps| {
            let mut pool = Pool::new(Options::default(), 4);
            let mut plain: BTreeMap<Id, Plain> = BTreeMap::new();
            let mut asks: BTreeMap<u64, u32> = BTreeMap::new();
            let mut questions: Vec<Question> = Vec::new();
            let (mut now, mut next, mut opening) = (0_u64, 1_u64, 0_usize);
            for (what, which, span) in steps {
                next += 1;
                let chosen = plain.keys().nth(usize::from(*which) % plain.len().max(1)).copied();
                match what % 12 {
                    0..=3 => match pool.choose(at(now)) {
                        Choice::Use(id) => {
                            let row = plain[&id];
                            assert_eq!(row.start, None, "a busy connection was used");
                            assert!(now - row.proven_at < 1_000, "an unproven one was used");
                            let mut idle = plain.values().filter(|other| other.start.is_none());
                            let latest = idle.all(|other| other.proven_at <= row.proven_at);
                            assert!(latest, "a connection with a later proof is idle");
                            plain.insert(id, Plain { start: Some(next), ..row });
                            pool.started(id, id::Start::new(next), None, at(now));
                            USED.fetch_add(1, Ordering::Relaxed);
                        }
                        Choice::Open { close } => {
                            if let Some(id) = close {
                                let row = plain.remove(&id).expect("an open connection");
                                assert_eq!(row.start, None, "a busy connection was closed");
                            }
                            opening += 1;
                        }
                        Choice::Wait => {
                            let busy = plain.values().filter(|row| row.start.is_some()).count();
                            assert_eq!(busy + opening, 4, "a free connection is left");
                        }
                    },
                    4 | 5 if opening > 0 => {
                        opening -= 1;
                        if *which % 4 == 0 {
                            pool.open_failed();
                        } else {
                            pool.opened(Id::new(next), at(now));
                            plain.insert(Id::new(next), Plain { proven_at: now, start: None });
                        }
                    }
                    6 | 7 => {
                        if let Some(id) = chosen {
                            pool.answered(id, at(now));
                            plain.insert(id, Plain { proven_at: now, start: None });
                        }
                    }
                    8 => {
                        if let Some(id) = chosen {
                            let start = plain.remove(&id).and_then(|row| row.start);
                            assert_eq!(pool.closed(id), start.map(id::Start::new));
                        }
                    }
                    9 => {
                        for question in pool.overdue(at(now)) {
                            let row = plain[&question.connection];
                            assert_eq!(row.start, Some(question.start.get()));
                            let count = asks.entry(question.start.get()).or_default();
                            *count += 1;
                            assert!(*count <= Options::default().max_asks);
                            questions.push(question);
                        }
                    }
                    10 => {
                        if !questions.is_empty() {
                            let question =
                                questions.swap_remove(usize::from(*which) % questions.len());
                            let replies =
                                [Reply::Finished, Reply::Running, Reply::NotFound, Reply::Silent];
                            let reply = replies[usize::from(*span) % replies.len()];
                            let open = plain.get(&question.connection);
                            let current =
                                open.is_some_and(|row| row.start == Some(question.start.get()));
                            let closes =
                                current && matches!(reply, Reply::Finished | Reply::NotFound);
                            let expected = closes.then_some(question.connection);
                            assert_eq!(pool.asked(question, reply), expected);
                            if closes {
                                plain.remove(&question.connection);
                            }
                        }
                    }
                    _ => now += u64::from(*span) % 1_500,
                }
                assert_eq!(pool.len(), plain.len() + opening);
                assert!(pool.len() <= 4, "more connections than allowed");
                STEPS.fetch_add(1, Ordering::Relaxed);
            }
        });
    let used = USED.load(Ordering::Relaxed);
    println!("connection: {} steps, {used} uses, 0 violations", STEPS.load(Ordering::Relaxed));
    // Without uses the properties would not be tested at all.
    assert!(used > 0);
}

#[derive(Debug, Default)]
struct Figures {
    starts: u64,
    lost: u64,
    opened: u64,
    questions: u64,
    latest_loss_after_fault_ms: u64,
}

/// Drives one pool in steps of a millisecond. Every `fault_every_ms` all open connections go silent
/// for good, while new ones work. Tasks take 50 to 250 ms and arrive at `per_second`.
fn simulate(trust_ms: u64, per_second: u64, fault_every_ms: u64, seed: u64) -> Figures {
    let trust = Millis::new(trust_ms);
    let mut pool = Pool::new(Options { trust, ..Options::default() }, 8);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut figures = Figures::default();
    let mut proven: BTreeMap<Id, u64> = BTreeMap::new();
    let mut silent: BTreeSet<Id> = BTreeSet::new();
    let mut running: BTreeMap<u64, Vec<(Id, u64)>> = BTreeMap::new();
    let (mut next, mut waiting, mut fault_at) = (1_u64, 0_u64, 0_u64);
    for now in 0..600_000_u64 {
        if fault_every_ms > 0 && now > 0 && now.is_multiple_of(fault_every_ms) {
            silent.extend(proven.keys());
            fault_at = now;
        }
        for (id, _) in running.remove(&now).unwrap_or_default() {
            if !silent.contains(&id) && proven.contains_key(&id) {
                pool.answered(id, at(now));
                proven.insert(id, now);
            }
        }
        for question in pool.overdue(at(now)) {
            figures.questions += 1;
            let finished = !running
                .values()
                .flatten()
                .any(|(id, start)| *id == question.connection && *start == question.start.get());
            let reply = if finished { Reply::Finished } else { Reply::Running };
            if let Some(id) = pool.asked(question, reply) {
                proven.remove(&id);
            }
        }
        for id in pool.expired(at(now)) {
            proven.remove(&id);
        }
        waiting += u64::from(rng.random_range(0..1_000) < per_second);
        while waiting > 0 {
            match pool.choose(at(now)) {
                Choice::Wait => break,
                Choice::Open { close } => {
                    if let Some(id) = close {
                        proven.remove(&id);
                    }
                    figures.opened += 1;
                    pool.opened(Id::new(next), at(now));
                    proven.insert(Id::new(next), now);
                    next += 1;
                }
                Choice::Use(id) => {
                    let age = now - proven[&id];
                    assert!(age < trust_ms, "start on a connection without proof for {age} ms");
                    pool.started(id, id::Start::new(next), Some(Millis::new(150)), at(now));
                    let ends = now + rng.random_range(50..250);
                    running.entry(ends).or_default().push((id, next));
                    next += 1;
                    waiting -= 1;
                    figures.starts += 1;
                    if silent.contains(&id) {
                        figures.lost += 1;
                        figures.latest_loss_after_fault_ms =
                            figures.latest_loss_after_fault_ms.max(now - fault_at);
                    }
                }
            }
            assert!(pool.len() <= 8);
        }
    }
    figures
}

// Guards against starts that are lost long after the fault, and against traffic that only keeps
// connections proven. Set CONNECTION_FIGURES to print the figures of several trust spans.
#[test]
fn pool_silent_connections() {
    for per_second in [1, 5, 30] {
        let faultless = simulate(1_000, per_second, 0, 1);
        assert_eq!((faultless.lost, faultless.questions), (0, 0), "no message without a fault");
        let faulty = simulate(1_000, per_second, 20_000, 1);
        assert!(faulty.latest_loss_after_fault_ms < 1_000, "{faulty:?}");
        assert!(faulty.lost <= 29 * 8, "at most the trusted connections: {faulty:?}");
        if std::env::var_os("CONNECTION_FIGURES").is_some() {
            for trust in [100, 250, 1_000, 4_000, 30_000] {
                let faultless = simulate(trust, per_second, 0, 1);
                let faulty = simulate(trust, per_second, 20_000, 1);
                println!(
                    "{per_second}/s trust {trust} ms: opened per start {:.3} (no fault); with 29 \
                     faults: starts {}, sent into silence {}, last {} ms after the fault, \
                     questions {}",
                    faultless.opened as f64 / faultless.starts as f64,
                    faulty.starts,
                    faulty.lost,
                    faulty.latest_loss_after_fault_ms,
                    faulty.questions,
                );
            }
        }
    }
}
