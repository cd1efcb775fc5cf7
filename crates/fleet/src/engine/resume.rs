//! Return of this instance after a pause of its process.

use super::{Command, Engine, START_GRACE};
use crate::record::Record;
use verbenapass::time::Timestamp;
use verbenapass::unit::Micros;

/// Pause after which peers may have taken this instance for lost: the silence after which partners do
/// (900 ms), less one heartbeat and the delay of the last one.
const MIN_LOSS_PAUSE: Micros = Micros::new(700_000);

impl Engine {
    /// Handles that the process was paused.
    ///
    /// After a long pause, peers may have dropped their links and claimed the targets of this instance.
    /// Links that come and go soon after it tell nothing about the peers.
    pub(super) fn resume(&mut self, pause: Micros, now: Timestamp) {
        let is_known = !self.owned.is_empty()
            || !self.peers.is_empty()
            || self.relinked_by != Timestamp::default();
        if pause < MIN_LOSS_PAUSE || !is_known {
            return;
        }
        self.relinked_by = now.plus(START_GRACE);
        self.start_grace_ends_at = self.start_grace_ends_at.max(self.relinked_by);
        self.may_claim_at = self.may_claim_at.max(self.relinked_by);
        self.rebalance_at = now;
        self.is_assignment_stale = true;
        let own = &self.options.instance;
        for target in self.owned.values_mut() {
            target.resume(pause, now);
            // Their homes may start these tasks elsewhere `LOST_RUN_TIMEOUT` after the loss.
            target.stop_all(now, |_, home| home.is_some_and(|home| home != own));
        }
        self.is_capacity_stale = true;
        self.commands.push(Command::Log(Record::Resumed { pause, targets: self.owned.len() }));
    }
}
