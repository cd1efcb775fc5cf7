//! Speeds of targets, learnt from the run times on them.
//!
//! # Example
//!
//! ```
//! use verbenapass::unit::Millis;
//! use verbenapass_fleet::speed::Factor;
//!
//! let factor: Factor = "1.728".parse().unwrap();
//! assert_eq!(factor.of(Millis::new(100)), Millis::new(173));
//! assert_eq!(Factor::ONE.to_string(), "1.000");
//! ```

use quick_error::quick_error;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};

/// Shortest expected run time of a run that is evidence. Below it, the time for messages and holds
/// is a large part of the duration.
const MIN_EXPECTED: Millis = Millis::new(20);
/// Weight of the prior factor of 1, in runs.
const PRIOR_RUNS: f64 = 4.0;
/// Least weight of a run in the lasting average.
const LASTING_WEIGHT: f64 = 0.03;
/// Runs that count at most against the prior, so that its influence falls to 4 %.
const MAX_RUNS: f64 = 100.0;
/// Independent runs in a moving average of weight [`LASTING_WEIGHT`].
const LASTING_RUNS: f64 = (2.0 - LASTING_WEIGHT) / LASTING_WEIGHT;
/// Weight of a run in the recent average.
const RECENT_WEIGHT: f64 = 0.25;
/// Age at which the runs of the lasting average count half.
const LASTING_HALF_LIFE: Millis = Millis::new(60_000);
/// Age at which the recent average counts half.
const RECENT_HALF_LIFE: Millis = Millis::new(2_000);
/// Largest influence of one run, as a factor: 3 % of the jobs take seven times as long, and a few
/// of their runs must not make a target slow.
const MAX_EVIDENCE: f64 = 3.0;
/// Ratio of two adjacent factors, and the least ratio to the mean that is not taken as equal.
const STEP: f64 = 1.2;
/// Distance from the present step, in steps, at which the step changes.
const HYSTERESIS: f64 = 0.7;
/// Largest number of steps in either direction: a factor of 4.3. Slower targets are faulty and are
/// left to the failure detector.
pub const MAX_STEPS: i32 = 8;
/// Least ratio between the recent and the lasting average that counts.
const MIN_RECENT_CHANGE: f64 = 1.5;
/// Standard errors by which a lasting factor must differ from 1.
const LASTING_DEVIATIONS: f64 = 4.5;
/// Standard errors, and least part of a factor, by which a task must be in time on a slower target:
/// factors of slow targets that are too small make tasks late.
const CAUTIOUS_DEVIATIONS: f64 = 1.5;
const MIN_CAUTION: f64 = 0.05;
/// Standard errors by which the recent average must differ from the lasting one.
const RECENT_DEVIATIONS: f64 = 5.0;
/// Assumed standard deviation of the evidence, before any.
const FIRST_DEVIATION: f64 = 0.35;
/// Weight of a run in the variance of the evidence, which all targets share.
const VARIANCE_WEIGHT: f64 = 0.02;
/// Weight, in runs, of a factor that the former owner has handed over.
const HANDOVER_RUNS: f64 = 10.0;
/// Time after which a changed step counts as lasting, and is reported: several times
/// [`RECENT_HALF_LIFE`].
const REPORT_DELAY: Millis = Millis::new(5_000);
/// Shortest time between two reports of changed steps of one service.
const REPORT_INTERVAL: Millis = Millis::new(1_000);
/// Time for which factors that peers have reported count.
const REPORT_TTL: Millis = Millis::new(5_000);

quick_error! {
    /// Why a text is not a [`Factor`].
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The text is not a decimal number with at most three fractional digits, or is too large.
        Syntax(text: String) {
            display("{:?} is not a factor, expected a number such as 1.2", text)
        }
    }
}

/// Run time on a target relative to the mean target, in thousandths; above 1 is slower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Factor(u32);

impl Factor {
    /// Factor of the mean target.
    pub const ONE: Self = Self(1_000);
    /// Limit of a task that accepts every target.
    pub const MAX: Self = Self(u32::MAX);

    /// Makes a factor from thousandths, at least one.
    pub const fn new(thousandths: u32) -> Self {
        Self(if thousandths == 0 { 1 } else { thousandths })
    }

    /// Returns the number of thousandths.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the largest factor with which a task of this run time on the mean target ends within
    /// `left`.
    pub fn within(left: Micros, run_time: Millis) -> Self {
        let thousandths = left.get().checked_div(run_time.get()).unwrap_or(u64::MAX);
        Self::new(u32::try_from(thousandths).unwrap_or(u32::MAX))
    }

    /// Returns the run time on a target with this factor from the one on the mean target.
    pub fn of(self, run_time: Millis) -> Millis {
        let product = run_time.get().saturating_mul(u64::from(self.0));
        Millis::new(if product == u64::MAX { product } else { product.saturating_add(500) / 1_000 })
    }

    /// Returns the run time on the mean target from the one on a target with this factor.
    pub fn mean_of(self, run_time: Micros) -> Micros {
        Micros::new(run_time.get().saturating_mul(1_000) / u64::from(self.0.max(1)))
    }

    fn log(self) -> f64 {
        (f64::from(self.0) / 1_000.0).ln()
    }

    fn from_log(log: f64) -> Self {
        Self::new((1_000.0 * log.exp()).round() as u32)
    }
}

impl Default for Factor {
    fn default() -> Self {
        Self::ONE
    }
}

impl fmt::Display for Factor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

impl FromStr for Factor {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::Syntax(text.into());
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !is_digits(whole) || !is_digits(fraction) || fraction.len() > 3 {
            return Err(error());
        }
        let whole: u32 = whole.parse().map_err(|_| error())?;
        let fraction: u32 = format!("{fraction:0<3}").parse().map_err(|_| error())?;
        let thousandths = whole.checked_mul(1_000).and_then(|w| w.checked_add(fraction));
        thousandths.filter(|thousandths| *thousandths > 0).map(Self).ok_or_else(error)
    }
}

/// Numbers of tasks since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tasks that waited for a faster target.
    pub waited: u64,
    /// Tasks placed on a target on which they were expected to be late, since no faster one could
    /// complete them in time.
    pub late: u64,
}

/// The fastest and the slowest of several factors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Smallest factor.
    pub fastest: Factor,
    /// Largest factor.
    pub slowest: Factor,
}

impl Range {
    /// Creates the range of one factor.
    pub fn new(factor: Factor) -> Self {
        Self { fastest: factor, slowest: factor }
    }

    /// Returns the smallest range that contains both.
    pub fn with(self, other: Self) -> Self {
        Self { fastest: self.fastest.min(other.fastest), slowest: self.slowest.max(other.slowest) }
    }

    /// Returns whether all factors are equal.
    pub fn is_uniform(self) -> bool {
        self.fastest == self.slowest
    }
}

/// Range of the factors that peers have recently reported.
#[derive(Clone, Copy, Debug)]
pub struct Reports {
    range: Range,
    fastest_until: Timestamp,
    slowest_until: Timestamp,
}

impl Reports {
    /// Starts with the report of one factor.
    pub fn new(factor: Factor, now: Timestamp) -> Self {
        let until = now.plus(REPORT_TTL);
        Self { range: Range::new(factor), fastest_until: until, slowest_until: until }
    }

    /// Adds a report.
    pub fn record(&mut self, factor: Factor, now: Timestamp) {
        let until = now.plus(REPORT_TTL);
        if factor <= self.range.fastest || self.fastest_until.is_past(now) {
            (self.range.fastest, self.fastest_until) = (factor, until);
        }
        if factor >= self.range.slowest || self.slowest_until.is_past(now) {
            (self.range.slowest, self.slowest_until) = (factor, until);
        }
    }

    /// Returns the range, or `None` if its reports are too old.
    pub fn range(&self, now: Timestamp) -> Option<Range> {
        let (fastest, slowest) = (self.range.fastest, self.range.slowest);
        match (self.fastest_until.is_past(now), self.slowest_until.is_past(now)) {
            (true, true) => None,
            (true, false) => Some(Range::new(slowest)),
            (false, true) => Some(Range::new(fastest)),
            (false, false) => Some(self.range),
        }
    }
}

/// Evidence of one target; averages are logarithms of factors.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    incarnation: u64,
    runs: f64,
    lasting: f64,
    recent: f64,
    at: Timestamp,
    /// Logarithm of the factor, before rounding.
    log: f64,
    /// Factor with which tasks must be in time.
    cautious: Factor,
    steps: i32,
    /// When `steps` last changed.
    changed_at: Timestamp,
    /// Steps at the last report.
    reported: i32,
}

impl Evidence {
    fn new(incarnation: u64, now: Timestamp) -> Self {
        Self {
            incarnation,
            runs: 0.0,
            lasting: 0.0,
            recent: 0.0,
            at: now,
            log: 0.0,
            cautious: Factor::ONE,
            steps: 0,
            changed_at: now,
            reported: 0,
        }
    }

    fn decay(&self, half_life: Millis, now: Timestamp) -> f64 {
        (-(now.since(self.at).get() as f64 / 1_000.0 / half_life.get() as f64)).exp2()
    }

    fn record(&mut self, value: f64, now: Timestamp) {
        let difference = self.recent - self.lasting;
        self.recent = self.lasting + difference * self.decay(RECENT_HALF_LIFE, now);
        self.runs = (self.runs * self.decay(LASTING_HALF_LIFE, now) + 1.0).min(MAX_RUNS);
        self.at = now;
        self.lasting += (value - self.lasting) * LASTING_WEIGHT.max(1.0 / self.runs);
        self.recent = match self.runs <= 1.0 {
            true => value,
            false => self.recent + RECENT_WEIGHT * (value - self.recent),
        };
    }

    /// Returns the lasting average with the prior, and the number of runs that count.
    fn posterior(&self, now: Timestamp) -> (f64, f64) {
        let runs = self.runs * self.decay(LASTING_HALF_LIFE, now);
        (self.lasting * runs / (runs + PRIOR_RUNS), runs)
    }
}

/// Factors of the owned targets of one service.
#[derive(Clone, Debug)]
pub struct Table {
    targets: HashMap<id::Target, Evidence>,
    /// Mean square of the differences between the evidence and the lasting average of its target.
    variance: f64,
    report_at: Timestamp,
    /// Mean of the lasting averages with the prior, which factors are relative to.
    mean: f64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            targets: HashMap::new(),
            variance: FIRST_DEVIATION * FIRST_DEVIATION,
            report_at: Timestamp::default(),
            mean: 0.0,
        }
    }
}

impl Table {
    /// Adds the duration of a completed run with its expected run time on the mean target. Evidence
    /// of an earlier incarnation than the known one is ignored.
    pub fn record(
        &mut self,
        id: &id::Target,
        incarnation: u64,
        estimate: Millis,
        duration: Micros,
        now: Timestamp,
    ) {
        if estimate < MIN_EXPECTED {
            return;
        }
        let (mean, limit) = (self.mean, MAX_EVIDENCE.ln());
        let Some(evidence) = self.evidence(id, incarnation, now) else { return };
        let ratio = duration.get().max(1) as f64 / 1_000.0 / estimate.get() as f64;
        let value = ratio.ln().clamp(mean - limit, mean + limit);
        let error = value - evidence.lasting;
        let is_first = evidence.runs < 1.0;
        evidence.record(value, now);
        if !is_first {
            self.variance += VARIANCE_WEIGHT * (error * error - self.variance);
        }
        self.update(now);
    }

    /// Adds the factor that the former owner of a target has learnt.
    pub fn take_over(&mut self, id: &id::Target, incarnation: u64, factor: Factor, now: Timestamp) {
        let (mean, limit) = (self.mean, MAX_EVIDENCE.ln());
        let Some(evidence) = self.evidence(id, incarnation, now) else { return };
        let value = factor.log().clamp(-limit, limit) + mean;
        evidence.runs = HANDOVER_RUNS;
        evidence.lasting = value;
        evidence.recent = value;
        evidence.at = now;
        self.update(now);
    }

    fn evidence(
        &mut self,
        id: &id::Target,
        incarnation: u64,
        now: Timestamp,
    ) -> Option<&mut Evidence> {
        let evidence =
            self.targets.entry(id.clone()).or_insert_with(|| Evidence::new(incarnation, now));
        if evidence.incarnation < incarnation {
            *evidence = Evidence::new(incarnation, now);
        }
        (evidence.incarnation == incarnation).then_some(evidence)
    }

    /// Removes targets that `is_kept` rejects.
    pub fn retain(&mut self, is_kept: impl Fn(&id::Target) -> bool) {
        self.targets.retain(|id, _| is_kept(id));
    }

    /// Recomputes the steps of all targets, which the mean connects.
    pub fn update(&mut self, now: Timestamp) {
        let count = self.targets.len().max(1) as f64;
        let mean = self.targets.values().map(|e| e.posterior(now).0).sum::<f64>() / count;
        self.mean = mean;
        let deviation = self.variance.sqrt();
        for evidence in self.targets.values_mut() {
            let (_, runs) = evidence.posterior(now);
            // The test against the standard error takes the part of the prior here, which would make
            // the factors of slow targets too small.
            let mut log = evidence.lasting - mean;
            let error = deviation / runs.clamp(1.0, LASTING_RUNS).sqrt();
            if log.abs() < LASTING_DEVIATIONS * error {
                log = 0.0;
            }
            let change = evidence.recent - evidence.lasting;
            let recent_error = deviation * (RECENT_WEIGHT / (2.0 - RECENT_WEIGHT)).sqrt();
            if change.abs() >= MIN_RECENT_CHANGE.ln().max(RECENT_DEVIATIONS * recent_error) {
                log += change * evidence.decay(RECENT_HALF_LIFE, now);
            }
            let steps = (log / STEP.ln()).clamp(-f64::from(MAX_STEPS), f64::from(MAX_STEPS));
            evidence.log = steps * STEP.ln();
            let caution = MIN_CAUTION.max(CAUTIOUS_DEVIATIONS * error);
            evidence.cautious = Factor::from_log(evidence.log + caution);
            if steps.abs() < 1.0 && evidence.steps == 0 {
                continue;
            }
            if (steps - f64::from(evidence.steps)).abs() >= HYSTERESIS {
                evidence.steps = steps.round() as i32;
                evidence.changed_at = now;
            }
        }
    }

    /// Returns a target whose rounded factor has changed lastingly since it was last returned.
    pub fn take_change(&mut self, now: Timestamp) -> Option<(id::Target, Factor)> {
        if !self.report_at.is_past(now) {
            return None;
        }
        let (id, evidence) = self.targets.iter_mut().find(|(_, evidence)| {
            evidence.steps != evidence.reported
                && evidence.changed_at.plus(REPORT_DELAY).is_past(now)
        })?;
        evidence.reported = evidence.steps;
        self.report_at = now.plus(REPORT_INTERVAL);
        Some((id.clone(), Factor::from_log(f64::from(evidence.steps) * STEP.ln())))
    }

    /// Returns the factor of a target: 1 for an unknown one or another incarnation.
    pub fn factor(&self, id: &id::Target, incarnation: u64) -> Factor {
        match self.targets.get(id) {
            Some(evidence) if evidence.incarnation == incarnation && evidence.steps != 0 => {
                Factor::from_log(evidence.log)
            }
            _ => Factor::ONE,
        }
    }

    /// Returns the factor of a target with which tasks must be in time: larger than the learnt one by its
    /// uncertainty.
    pub fn cautious(&self, id: &id::Target, incarnation: u64) -> Factor {
        match self.targets.get(id) {
            Some(evidence) if evidence.incarnation == incarnation && evidence.steps != 0 => {
                evidence.cautious
            }
            _ => Factor::ONE,
        }
    }

    /// Returns the factor of a target, rounded to steps of 1.2, as the number of steps.
    pub fn steps(&self, id: &id::Target, incarnation: u64) -> i32 {
        let evidence = self.targets.get(id).filter(|e| e.incarnation == incarnation);
        evidence.map_or(0, |evidence| evidence.steps)
    }

    /// Returns whether all factors are 1.
    pub fn is_uniform(&self) -> bool {
        self.targets.values().all(|evidence| evidence.steps == 0)
    }
}
