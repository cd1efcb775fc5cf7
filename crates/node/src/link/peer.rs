//! The link to one peer: its session, and the times of its heartbeats, dials and loss.

use super::Connection;
use std::collections::VecDeque;
use std::net::SocketAddr;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};
use verbenapass_fleet::message::Message;

/// Interval of heartbeats between partners.
const HEARTBEAT: Millis = Millis::new(150);
/// Silence after which a new connection is dialed: two heartbeats and a TCP retransmission.
const REDIAL_AFTER: Millis = Millis::new(500);
/// Silence after which a peer is down: [`REDIAL_AFTER`] and time to open a new connection.
const DOWN_AFTER: Millis = Millis::new(900);
/// Silence beyond the interval of heartbeats after which a new connection to a peer that is not a
/// partner is dialed.
const SLOW_REDIAL_DELAY: Millis = Millis::new(600);
/// Silence beyond the interval of heartbeats after which a peer that is not a partner is down.
const SLOW_DOWN_DELAY: Millis = Millis::new(2_000);
/// Time for which a peer counts as a partner after a message about tasks: longer than the longest task
/// of the expected workloads (3.6 s), so that each side of a run detects a failure of the other soon.
const ACTIVE_FOR: Millis = Millis::new(4_000);

/// A peer, the link to it and the messages on their way.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) session: u64,
    pub(super) peer_session: u64,
    pub(super) connection: Option<Connection>,
    pub(super) is_up: bool,
    pub(super) last_frame_at: Timestamp,
    pub(super) heartbeat_sent_at: Timestamp,
    /// Whether the next heartbeat answers a probe.
    pub(super) is_probed: bool,
    pub(super) is_partner: bool,
    pub(super) active_until: Timestamp,
    /// Start of the current period of short heartbeat intervals.
    pub(super) fast_since: Timestamp,
    /// Time by which a suspected peer must answer a probe.
    pub(super) probe_deadline: Timestamp,
    pub(super) dial_at: Timestamp,
    pub(super) dialing: Option<Connection>,
    /// Whether the last attempt to connect was refused, because no process listens there.
    pub(super) was_refused: bool,
    /// Entry of this peer in the wakeups of the table; `Timestamp::MAX` if it has none.
    pub(super) wake_at: Timestamp,
    pub(super) unacknowledged: VecDeque<Message>,
    /// Number of the first unacknowledged message.
    pub(super) first_unacknowledged: u64,
    /// Index into `unacknowledged` of the first message not yet sent on the current connection.
    pub(super) next_unsent: usize,
    pub(super) received: u64,
}

impl Peer {
    pub(super) fn new(address: SocketAddr, session: u64, now: Timestamp) -> Self {
        Self {
            address,
            session,
            peer_session: 0,
            connection: None,
            is_up: false,
            last_frame_at: now,
            heartbeat_sent_at: Timestamp::default(),
            is_probed: false,
            is_partner: false,
            active_until: Timestamp::default(),
            fast_since: now,
            probe_deadline: Timestamp::MAX,
            dial_at: now,
            dialing: None,
            was_refused: false,
            wake_at: Timestamp::MAX,
            unacknowledged: VecDeque::new(),
            first_unacknowledged: 1,
            next_unsent: 0,
            received: 0,
        }
    }

    /// Tells whether the short heartbeat interval applies.
    pub(super) fn is_fast(&self, now: Timestamp) -> bool {
        self.is_partner || !self.active_until.is_past(now)
    }

    pub(super) fn set_active(&mut self, now: Timestamp) {
        if !self.is_fast(now) {
            self.fast_since = now;
            self.heartbeat_sent_at = Timestamp::default();
        }
        self.active_until = now.plus(ACTIVE_FOR);
    }

    pub(super) fn heartbeat_at(&self, slow_heartbeat: Millis) -> Timestamp {
        let fast = self.heartbeat_sent_at.plus(HEARTBEAT);
        if self.is_fast(fast) { fast } else { self.heartbeat_sent_at.plus(slow_heartbeat) }
    }

    /// Returns the time of the next heartbeat, dial or loss. `may_redial` tells whether this side
    /// replaces the connection of a live link.
    pub(super) fn next_deadline(&self, may_redial: bool, slow_heartbeat: Millis) -> Timestamp {
        let dial_at = match self.connection {
            None => self.dial_at,
            Some(_) if self.is_up && may_redial => self.dial_at.max(self.redial_at(slow_heartbeat)),
            Some(_) => Timestamp::MAX,
        };
        let heartbeat_at = match self.is_up {
            true => self.heartbeat_at(slow_heartbeat),
            false => Timestamp::MAX,
        };
        let down_at = match self.is_up || self.connection.is_some() {
            true => self.down_at(slow_heartbeat),
            false => Timestamp::MAX,
        };
        dial_at.min(heartbeat_at).min(down_at)
    }

    /// Counts the silence of the peer without a pause of this process. A peer that has answered a
    /// probe in that time shows it by a frame that isn't read yet.
    pub(super) fn resume(&mut self, pause: Micros, now: Timestamp) {
        self.last_frame_at = self.last_frame_at.plus_micros(pause).min(now);
        self.fast_since = self.fast_since.plus_micros(pause).min(now);
        self.probe_deadline = self.probe_deadline.plus_micros(pause);
        self.heartbeat_sent_at = Timestamp::default();
    }

    /// Returns the time at which the peer is down unless a frame arrives.
    pub(super) fn down_at(&self, slow_heartbeat: Millis) -> Timestamp {
        let slow = Millis::new(slow_heartbeat.get() + SLOW_DOWN_DELAY.get());
        self.silence_limit(DOWN_AFTER, slow).min(self.probe_deadline)
    }

    pub(super) fn redial_at(&self, slow_heartbeat: Millis) -> Timestamp {
        let slow = Millis::new(slow_heartbeat.get() + SLOW_REDIAL_DELAY.get());
        self.silence_limit(REDIAL_AFTER, slow)
    }

    fn silence_limit(&self, fast: Millis, slow: Millis) -> Timestamp {
        let slow_limit = self.last_frame_at.plus(slow);
        let fast_limit = self.last_frame_at.max(self.fast_since).plus(fast);
        if self.is_fast(fast_limit) { fast_limit.min(slow_limit) } else { slow_limit }
    }

    pub(super) fn acknowledge(&mut self, received: u64) {
        while self.first_unacknowledged <= received && self.unacknowledged.pop_front().is_some() {
            self.first_unacknowledged += 1;
            self.next_unsent = self.next_unsent.saturating_sub(1);
        }
    }
}
