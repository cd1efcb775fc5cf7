//! Pairs of kinds of which one slows the other down on the same target, learned from the ends of runs.
//!
//! The runs of a kind with a neighbour are compared with its runs without that neighbour on the same
//! target, so that slow targets, slow kinds and wrong estimates make no pair. See
//! docs/design/interference.md.
//!
//! # Example
//!
//! ```
//! use verbenapass::time::Timestamp;
//! use verbenapass::unit::{Micros, Millis};
//! use verbenapass_fleet::interference::{Sample, Table};
//!
//! let (index, scan): (verbenapass::id::Kind, _) = ("index".parse()?, "scan".parse()?);
//! let mut table = Table::default();
//! let now = Timestamp::from_micros(1_800_000_000_000_000);
//! for (number, target) in ["t-1", "t-2", "t-3", "t-4"].iter().cycle().take(200).enumerate() {
//!     let is_beside = number / 4 % 2 == 0;
//!     let sample = Sample {
//!         kind: &index,
//!         target: &target.parse()?,
//!         expected: Millis::new(100),
//!         duration: Micros::new(if is_beside { 160_000 } else { 100_000 }),
//!         neighbours: if is_beside { std::slice::from_ref(&scan) } else { &[] },
//!     };
//!     table.record(&sample, now);
//! }
//! assert!(table.partners(&index).is_some_and(|partners| partners.contains(&scan)));
//! assert!(table.partners(&scan).is_some_and(|partners| partners.contains(&index)));
//! # Ok::<(), verbenapass::id::Error>(())
//! ```

use std::collections::{BTreeMap, BTreeSet, HashMap};
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis, Permille};

/// Least expected run time of evidence. The time of shorter runs consists largely of messages.
const MIN_EXPECTED: Millis = Millis::new(20);
/// Limit of the ratio of actual and expected run time, either way. Some runs in a hundred take many
/// times as long for reasons of their own.
const MAX_RATIO: f64 = 2.5;
/// Time in which evidence loses half of its weight.
const HALF_LIFE: Millis = Millis::new(60_000);
/// Least number of runs on either side for a pair to come into force.
const MIN_RUNS: f64 = 12.0;
/// Least number of targets with runs on both sides for a pair to come into force: one that is noisy for
/// a while, or two, make no pair.
const MIN_TARGETS: usize = 3;
/// Standard errors by which the slowdown must exceed [`BEGIN_SLOWDOWN`].
const CONFIDENCE: f64 = 2.0;
/// Least slowdown for a pair to come into force.
const BEGIN_SLOWDOWN: f64 = 1.2;
/// Slowdown below which a pair ends.
const END_SLOWDOWN: f64 = 1.1;
/// Number of runs with the neighbour below which a pair ends for lack of evidence. A pair whose kinds
/// are kept apart ends after a few minutes, and is found again if it still exists.
const END_RUNS: f64 = 1.5;
/// Least number of runs with the neighbour on a target, in what is left of them after ageing.
const MIN_PART: f64 = 0.1;
/// Least standard deviation of the logarithms that is assumed, since a dozen runs may agree by chance. The
/// described workloads vary by 40 %.
const MIN_DEVIATION: f64 = 0.25;
/// Interval of the check of pairs that are in force.
const REVIEW_INTERVAL: Millis = Millis::new(1_000);
/// Most kinds with evidence.
const MAX_KINDS: usize = 64;
/// Most targets with evidence for one kind.
const MAX_KIND_TARGETS: usize = 64;
/// Most pairs with evidence.
const MAX_PAIRS: usize = 512;
/// Most targets with evidence for one pair.
const MAX_PAIR_TARGETS: usize = 16;

/// Result of one run.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Kind of the run.
    pub kind: &'a id::Kind,
    /// Target on which it ran.
    pub target: &'a id::Target,
    /// Run time that was expected on this target.
    pub expected: Millis,
    /// Actual run time.
    pub duration: Micros,
    /// Kinds that were on the target for at least half of the run.
    pub neighbours: &'a [id::Kind],
}

/// A pair that came into force or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Kind that is slowed down.
    pub kind: id::Kind,
    /// Kind beside which it is slow.
    pub neighbour: id::Kind,
    /// Whether the two are kept apart from now on.
    pub is_in_force: bool,
    /// Run time with the neighbour relative to that without it.
    pub slowdown: Permille,
    /// Number of runs with the neighbour in the evidence, older ones counting less.
    pub runs: u32,
}

/// Weighted sums over values; the weights decay with time.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    sum: f64,
    squares: f64,
}

impl Sums {
    fn add(&mut self, value: f64) {
        self.weight += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    fn decayed(self, keep: f64) -> Self {
        Self { weight: self.weight * keep, sum: self.sum * keep, squares: self.squares * keep }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            weight: self.weight - other.weight,
            sum: self.sum - other.sum,
            squares: self.squares - other.squares,
        }
    }

    /// Returns the sums over the same values less `shift`.
    fn shifted(self, shift: f64) -> Self {
        let squares = self.squares - 2.0 * shift * self.sum + self.weight * shift * shift;
        Self { weight: self.weight, sum: self.sum - self.weight * shift, squares }
    }

    fn mean(self) -> f64 {
        self.sum / self.weight
    }

    /// Returns the sum of the squared deviations from the mean.
    fn scatter(self) -> f64 {
        (self.squares - self.sum * self.sum / self.weight).max(0.0)
    }
}

/// Evidence of one kind on one target, from runs without a neighbour of a pair in force.
#[derive(Clone, Copy, Debug)]
struct KindEvidence {
    runs: Sums,
    at: Timestamp,
}

/// Evidence of one pair on one target.
#[derive(Clone, Copy, Debug)]
struct PairEvidence {
    /// Runs with the neighbour that are also in the [`KindEvidence`] of the target.
    shared: Sums,
    /// Differences of runs with the neighbour from the mean of those without it at the time; only of
    /// pairs in force. Estimates change once a pair is kept apart, and old runs with the neighbour must
    /// not be compared with new ones without it.
    differences: Sums,
    at: Timestamp,
}

impl PairEvidence {
    /// Returns the differences of the runs with the neighbour from the mean of those without it.
    fn differences(&self, without: Sums, is_in_force: bool) -> Sums {
        match is_in_force {
            true => self.differences,
            false if without.weight < 1.0 => Sums::default(),
            false => self.shared.shifted(without.mean()),
        }
    }

    fn decayed(&self, now: Timestamp) -> Self {
        let keep = keep(self.at, now);
        let (shared, differences) = (self.shared.decayed(keep), self.differences.decayed(keep));
        Self { shared, differences, at: now }
    }
}

#[derive(Debug)]
struct Kind {
    targets: HashMap<id::Target, KindEvidence>,
    at: Timestamp,
}

impl Kind {
    /// Returns the evidence from runs on a target without the neighbour of a pair.
    fn without(&self, target: &id::Target, pair: &PairEvidence, now: Timestamp) -> Sums {
        let Some(evidence) = self.targets.get(target) else { return Sums::default() };
        evidence.runs.decayed(keep(evidence.at, now)).minus(pair.decayed(now).shared)
    }
}

#[derive(Debug)]
struct Pair {
    targets: HashMap<id::Target, PairEvidence>,
    at: Timestamp,
    is_in_force: bool,
}

/// Comparison of the runs of a kind with and without a neighbour.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    with: f64,
    without: f64,
    targets: usize,
    /// Mean difference of the logarithms.
    difference: f64,
    /// Least difference that is plausible if any one of the targets is left out.
    least: f64,
}

impl Comparison {
    fn begins(&self) -> bool {
        self.with >= MIN_RUNS
            && self.without >= MIN_RUNS
            && self.targets >= MIN_TARGETS
            && self.least > BEGIN_SLOWDOWN.ln()
    }

    fn ends(&self) -> bool {
        self.with < END_RUNS || self.difference < END_SLOWDOWN.ln()
    }
}

/// Evidence and pairs of one service on the owned targets.
#[derive(Debug, Default)]
pub struct Table {
    kinds: HashMap<id::Kind, Kind>,
    /// By slowed kind and neighbour.
    pairs: BTreeMap<(id::Kind, id::Kind), Pair>,
    /// Kinds to keep apart from each kind, in either direction of the pairs in force.
    partners: HashMap<id::Kind, BTreeSet<id::Kind>>,
    review_at: Timestamp,
}

impl Table {
    /// Adds the result of a run. Returns the pairs that came into force or ended.
    pub fn record(&mut self, sample: &Sample<'_>, now: Timestamp) -> Vec<Change> {
        let mut changes = Vec::new();
        if sample.expected >= MIN_EXPECTED {
            self.add(sample, now, &mut changes);
        }
        if self.review_at.is_past(now) {
            self.review_at = now.plus(REVIEW_INTERVAL);
            let in_force = self.pairs.iter().filter(|(_, pair)| pair.is_in_force);
            let names: Vec<_> = in_force.map(|(name, _)| name.clone()).collect();
            for name in names {
                self.judge(&name, now, &mut changes);
            }
        }
        if !changes.is_empty() {
            self.update_partners();
        }
        changes
    }

    /// Returns the kinds that must not run beside a kind if it can be helped; `None` if there are none.
    pub fn partners(&self, kind: &id::Kind) -> Option<&BTreeSet<id::Kind>> {
        self.partners.get(kind)
    }

    /// Returns the number of pairs in force.
    pub fn pairs_in_force(&self) -> usize {
        self.pairs.values().filter(|pair| pair.is_in_force).count()
    }

    /// Returns the numbers of kinds and of pairs with evidence.
    pub fn len(&self) -> (usize, usize) {
        (self.kinds.len(), self.pairs.len())
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    fn add(&mut self, sample: &Sample<'_>, now: Timestamp, changes: &mut Vec<Change>) {
        let value = value(sample);
        let in_force: Vec<id::Kind> = sample
            .neighbours
            .iter()
            .filter(|neighbour| self.is_in_force(sample.kind, neighbour))
            .cloned()
            .collect();
        // A run beside a disturbing neighbour says nothing about the others.
        let (neighbours, is_shared) = match in_force.len() {
            0 => (sample.neighbours, true),
            1 => (&in_force[..], false),
            _ => return,
        };
        self.make_room(sample.kind, now, changes);
        let kind = self
            .kinds
            .entry(sample.kind.clone())
            .or_insert_with(|| Kind { targets: HashMap::new(), at: now });
        kind.at = now;
        for neighbour in neighbours {
            let name = (sample.kind.clone(), neighbour.clone());
            make_pair_room(&mut self.pairs, &name, changes);
            let pair = self.pairs.entry(name).or_insert_with(|| Pair {
                targets: HashMap::new(),
                at: now,
                is_in_force: false,
            });
            pair.at = now;
            evict_stalest(&mut pair.targets, sample.target, MAX_PAIR_TARGETS, |e| e.at);
            let evidence = pair.targets.entry(sample.target.clone()).or_insert(PairEvidence {
                shared: Sums::default(),
                differences: Sums::default(),
                at: now,
            });
            *evidence = evidence.decayed(now);
            let without = kind.without(sample.target, evidence, now);
            if is_shared {
                evidence.shared.add(value);
            } else if without.weight >= 1.0 {
                evidence.differences.add(value - without.mean());
            }
        }
        if is_shared {
            evict_stalest(&mut kind.targets, sample.target, MAX_KIND_TARGETS, |e| e.at);
            let evidence = kind
                .targets
                .entry(sample.target.clone())
                .or_insert(KindEvidence { runs: Sums::default(), at: now });
            evidence.runs = evidence.runs.decayed(keep(evidence.at, now));
            evidence.at = now;
            evidence.runs.add(value);
        }
        for neighbour in neighbours {
            self.judge(&(sample.kind.clone(), neighbour.clone()), now, changes);
        }
    }

    fn is_in_force(&self, kind: &id::Kind, neighbour: &id::Kind) -> bool {
        // Most kinds are in no pair.
        self.partners.get(kind).is_some_and(|partners| partners.contains(neighbour))
            && self
                .pairs
                .get(&(kind.clone(), neighbour.clone()))
                .is_some_and(|pair| pair.is_in_force)
    }

    /// Puts a pair into force or ends it, as its evidence says.
    fn judge(&mut self, name: &(id::Kind, id::Kind), now: Timestamp, changes: &mut Vec<Change>) {
        let Some(pair) = self.pairs.get_mut(name) else { return };
        let Some(kind) = self.kinds.get_mut(&name.0) else { return };
        let comparison = compare(kind, pair, now);
        match pair.is_in_force {
            true if comparison.ends() => pair.is_in_force = false,
            false if comparison.begins() => {
                for (target, evidence) in &mut pair.targets {
                    *evidence = evidence.decayed(now);
                    let without = kind.without(target, evidence, now);
                    evidence.differences = evidence.differences(without, false);
                }
                pair.is_in_force = true;
                kind.targets.clear();
                self.discard_shared(name, now);
            }
            true | false => return,
        }
        changes.push(change(name, !comparison.ends(), &comparison));
    }

    /// Discards the evidence for and against other neighbours of a kind when a pair comes into force,
    /// since it has runs beside the neighbour of that pair.
    fn discard_shared(&mut self, name: &(id::Kind, id::Kind), now: Timestamp) {
        for (other, pair) in self.pairs.iter_mut().filter(|(other, _)| other.0 == name.0) {
            let runs: f64 = pair.targets.values().map(|e| e.decayed(now).differences.weight).sum();
            let keep = if other == name { 1.0 } else { (MIN_RUNS / runs).min(1.0) };
            for evidence in pair.targets.values_mut() {
                evidence.shared = Sums::default();
                evidence.differences = evidence.differences.decayed(keep);
            }
        }
    }

    /// Evicts the kind with the oldest evidence if there is no room for a new one.
    fn make_room(&mut self, kind: &id::Kind, now: Timestamp, changes: &mut Vec<Change>) {
        if self.kinds.contains_key(kind) || self.kinds.len() < MAX_KINDS {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(name, kind)| (kind.at, *name));
        let Some((name, evicted)) = oldest.map(|(name, _)| name.clone()).and_then(|name| {
            let evicted = self.kinds.remove(&name)?;
            Some((name, evicted))
        }) else {
            return;
        };
        self.pairs.retain(|pair_name, pair| {
            let is_kept = pair_name.0 != name;
            if !is_kept && pair.is_in_force {
                changes.push(change(pair_name, false, &compare(&evicted, pair, now)));
            }
            is_kept
        });
    }

    fn update_partners(&mut self) {
        self.partners.clear();
        let in_force = self.pairs.iter().filter(|(_, pair)| pair.is_in_force);
        for ((kind, neighbour), _) in in_force {
            self.partners.entry(kind.clone()).or_default().insert(neighbour.clone());
            self.partners.entry(neighbour.clone()).or_default().insert(kind.clone());
        }
    }
}

/// Evicts the pair with the oldest evidence if there is no room for a new one.
fn make_pair_room(
    pairs: &mut BTreeMap<(id::Kind, id::Kind), Pair>,
    name: &(id::Kind, id::Kind),
    changes: &mut Vec<Change>,
) {
    if pairs.contains_key(name) || pairs.len() < MAX_PAIRS {
        return;
    }
    let oldest = pairs.iter().min_by_key(|(_, pair)| pair.at).map(|(name, _)| name.clone());
    let Some(oldest) = oldest else { return };
    if pairs.remove(&oldest).is_some_and(|pair| pair.is_in_force) {
        changes.push(change(&oldest, false, &Comparison::default()));
    }
}

fn evict_stalest<T>(
    targets: &mut HashMap<id::Target, T>,
    target: &id::Target,
    most: usize,
    at: impl Fn(&T) -> Timestamp,
) {
    if targets.len() < most || targets.contains_key(target) {
        return;
    }
    let oldest = targets.iter().min_by_key(|(name, evidence)| (at(evidence), *name));
    if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
        targets.remove(&oldest);
    }
}

fn compare(kind: &Kind, pair: &Pair, now: Timestamp) -> Comparison {
    let mut comparison = Comparison::default();
    let (mut scatter, mut freedom) = (0.0, 0.0);
    let (mut weight, mut sum) = (0.0, 0.0);
    let mut parts = Vec::with_capacity(pair.targets.len());
    for (target, evidence) in &pair.targets {
        let without = kind.without(target, evidence, now);
        let with = evidence.decayed(now).differences(without, pair.is_in_force);
        comparison.with += with.weight;
        // Without a run on either side there is nothing to compare.
        if with.weight < MIN_PART || without.weight < 1.0 && !pair.is_in_force {
            continue;
        }
        comparison.without += without.weight;
        comparison.targets += usize::from(with.weight >= 1.0);
        if pair.is_in_force {
            weight += with.weight;
            sum += with.sum;
            continue;
        }
        scatter += with.scatter() + without.scatter();
        freedom += (with.weight + without.weight - 2.0).max(0.0);
        let part = with.weight * without.weight / (with.weight + without.weight);
        weight += part;
        sum += part * with.mean();
        parts.push((part, with.mean()));
    }
    if weight > 0.0 {
        let deviation = (scatter / freedom.max(1.0)).sqrt().max(MIN_DEVIATION);
        comparison.difference = sum / weight;
        let without_one = parts.iter().map(|(part, mean)| {
            let (weight, sum) = (weight - part, sum - part * mean);
            sum / weight - CONFIDENCE * deviation / weight.sqrt()
        });
        comparison.least = without_one.fold(comparison.difference, f64::min);
    }
    comparison
}

fn change(name: &(id::Kind, id::Kind), is_in_force: bool, comparison: &Comparison) -> Change {
    Change {
        kind: name.0.clone(),
        neighbour: name.1.clone(),
        is_in_force,
        slowdown: Permille::new((comparison.difference.exp() * 1_000.0).round() as u32),
        runs: comparison.with.round() as u32,
    }
}

fn value(sample: &Sample<'_>) -> f64 {
    let expected = sample.expected.get() as f64 * 1_000.0;
    let ratio = sample.duration.get() as f64 / expected;
    ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln()
}

/// Returns the part of the weight that evidence has kept from `at` to `now`.
fn keep(at: Timestamp, now: Timestamp) -> f64 {
    0.5_f64.powf(now.since(at).get() as f64 / HALF_LIFE.to_micros().get() as f64)
}
