//! Changes of the ownership of a target: claims, leases that expire, other owners, and pauses.

use super::{
    Ended, FENCED_BACKOFF, IDLE_HOLD_INTERVAL, LEASE_BOUND, MAX_STATE_AGE, Phase,
    SILENT_HOLD_INTERVAL, SILENT_HOLDS, Target,
};
use crate::run::{End, Key};
use verbenapass::time::Timestamp;
use verbenapass::unit::Micros;

impl Target {
    /// Handles that the process was paused.
    ///
    /// Another instance may own the target by now, so it is asked with the generation that this one
    /// has, which an accepted newer claim refuses. A claim that was in flight is given up for a probe.
    pub fn resume(&mut self, pause: Micros, now: Timestamp) {
        for run in self.runs.values_mut() {
            run.slow_at = run.slow_at.plus_micros(pause);
            run.stalled_at = run.stalled_at.plus_micros(pause);
        }
        match self.phase {
            Phase::Held | Phase::HandingOver => {
                self.unanswered = 0;
                self.request_state(now);
            }
            Phase::Claiming if self.runs.is_empty() => {
                self.phase = Phase::Probing { claim_at: Timestamp::MAX };
                self.request_state(now);
            }
            Phase::Claiming | Phase::Probing { .. } | Phase::Fenced { .. } => {}
        }
    }

    /// Claims the new incarnation with a higher generation, so that it rejects orders that were
    /// meant for the previous one.
    pub(super) fn begin_incarnation(&mut self, incarnation: u64, now: Timestamp) {
        self.entry.incarnation = incarnation;
        self.is_replaced = false;
        self.acknowledged = 0;
        self.delivered = 0;
        self.clock = None;
        self.usable_from = now.plus(MAX_STATE_AGE);
        self.claim_again(1, now);
    }

    pub(super) fn claim_again(&mut self, rounds: u64, now: Timestamp) {
        self.generation = self.generation.above(rounds, self.process, now);
        self.phase = Phase::Claiming;
        self.hold = None;
        self.late_hold = None;
        self.hold_at = now;
    }

    /// Ends all runs: this incarnation is gone, and orders that name it have no effect on another one.
    /// The target counts as silent until it is listed anew or removed from the list.
    pub(super) fn handle_replacement(&mut self, now: Timestamp, ended: &mut Vec<Ended>) {
        self.is_replaced = true;
        self.end_all(End::Crashed, ended);
        self.lease_ends_at = Timestamp::MAX;
        self.unanswered = self.unanswered.max(SILENT_HOLDS);
        if self.phase == Phase::Claiming {
            self.phase = Phase::Probing { claim_at: Timestamp::MAX };
        }
        self.hold_at = now.plus(IDLE_HOLD_INTERVAL);
    }

    /// Ends the runs of a silent target whose lease has expired, except those that may still start.
    pub(super) fn expire_lease(&mut self, now: Timestamp, ended: &mut Vec<Ended>) {
        let expired: Vec<Key> =
            self.runs.iter().filter(|(_, run)| !run.may_begin()).map(|(key, _)| *key).collect();
        for key in &expired {
            self.end(*key, End::Unreachable, ended);
        }
        if self.phase == Phase::Held {
            self.is_contested = true;
            self.claim_again(1, now);
            self.hold_at = now.plus(SILENT_HOLD_INTERVAL);
        }
        self.lease_ends_at = Timestamp::MAX;
    }

    /// Handles that another owner has a higher generation. A rejected claim is repeated with a
    /// higher generation, since a fleet restarted as a whole does not know its old ones.
    pub(super) fn fence(&mut self, now: Timestamp) {
        if self.phase == Phase::Claiming && self.claim_rounds < 1 << 12 {
            self.claim_rounds *= 8;
            self.claim_again(self.claim_rounds, now);
            return;
        }
        if matches!(self.phase, Phase::Fenced { .. }) {
            return;
        }
        self.phase = Phase::Fenced { until: now.plus(FENCED_BACKOFF) };
        self.hold = None;
        // The new owner stops runs that it does not know; they end with the lease at the latest.
        self.lease_ends_at = now.plus(LEASE_BOUND);
    }

    pub(super) fn end_fenced_runs(&mut self, ended: &mut Vec<Ended>) {
        self.end_all(End::Unreachable, ended);
        self.lease_ends_at = Timestamp::MAX;
    }
}
