//! Timeouts from measured round trips, as TCP computes its retransmission timeout (RFC 6298).
//!
//! On a thin or busy link, the answers of healthy targets take longer than on an idle fast one. A
//! fixed timeout would take these targets for silent.

use verbenapass::unit::{Micros, Millis};

/// Weight of a sample in the smoothed round trip, as a divisor.
const MEAN_DIVISOR: u64 = 8;
/// Weight of a sample in the smoothed deviation, as a divisor.
const DEVIATION_DIVISOR: u64 = 4;
/// Deviations that a timeout allows beyond the smoothed round trip.
const DEVIATIONS: u64 = 4;

/// Most doublings of the timeout after orders without an answer.
const MAX_BACKOFF: u32 = 3;

/// Smoothed round trip to one target and its mean deviation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimator {
    mean: Micros,
    deviation: Micros,
    has_sample: bool,
    /// Doublings of the timeout since the last answer.
    backoff: u32,
}

impl Estimator {
    /// Records the time between an order and its answer.
    pub fn record(&mut self, sample: Micros) {
        self.backoff = 0;
        if !self.has_sample {
            self.has_sample = true;
            self.mean = sample;
            self.deviation = Micros::new(sample.get() / 2);
            return;
        }
        let error = sample.get().abs_diff(self.mean.get());
        self.deviation = smooth(self.deviation, error, DEVIATION_DIVISOR);
        self.mean = smooth(self.mean, sample.get(), MEAN_DIVISOR);
    }

    /// Records that an order got no answer. Whether it is lost or late is not known, so the next one
    /// gets more time.
    pub fn record_unanswered(&mut self) {
        self.backoff = (self.backoff + 1).min(MAX_BACKOFF);
    }

    /// Returns the smoothed round trip, zero without a sample.
    pub fn mean(&self) -> Micros {
        self.mean
    }

    /// Returns the time after which an order counts as unanswered, between `floor` and `ceiling`.
    pub fn timeout(&self, floor: Millis, ceiling: Millis) -> Millis {
        let micros = self.mean.get() + DEVIATIONS * self.deviation.get();
        let timeout = Millis::new(micros.div_ceil(1_000)).max(floor);
        Millis::new(timeout.get() << self.backoff).min(ceiling.max(floor))
    }
}

fn smooth(value: Micros, sample: u64, divisor: u64) -> Micros {
    Micros::new((value.get() * (divisor - 1) + sample) / divisor)
}
