//! Links between instances: failure detection, and ordered delivery without duplicates.
//!
//! A [`Table`] does no I/O. It numbers the connections; the process around it reports what happens
//! to them and carries out the returned [`Action`]s.
//!
//! Partners, which exchange tasks, send each other heartbeats at short intervals and detect a failure
//! quickly. Other peers send one a second, or fewer in a fleet of hundreds, and answer it, so that the
//! cost stays small and each side sees its own interval. An instance that loses a peer reports it to all
//! others, and these then probe that peer.
//!
//! A poll visits only the peers that are due or have changed.
//!
//! A link outlives its connections: messages that the peer has not acknowledged are sent again on the
//! next one. A silent connection is replaced. A peer that stays silent for longer is down, and the
//! messages in flight to it are lost. Both sides then begin a new session. Each side chooses a number
//! for it that no earlier session had, and the other side has to repeat that number.

mod peer;

use peer::Peer;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Micros, Millis};
use verbenapass_fleet::message::Message;
use verbenapass_fleet::roster::Member;

/// Shortest interval of heartbeats between peers that are not partners.
const SLOW_HEARTBEAT: Millis = Millis::new(1_000);
/// Number of peers for which [`SLOW_HEARTBEAT`] holds. In a larger fleet the interval grows, so that an
/// instance sends no more heartbeats a second: partners detect a loss and report it to all.
const PEERS_PER_SLOW_HEARTBEAT: usize = 50;
/// Time in which a peer that another instance has lost must answer a probe: two heartbeats and a TCP
/// retransmission.
const SUSPECT_TIMEOUT: Millis = Millis::new(600);
/// Time between the first attempts to connect to the peers of a list, which leaves a process that
/// starts time for its targets.
const FIRST_DIAL_INTERVAL: Millis = Millis::new(2);
/// Shortest time between attempts to connect to the same peer, and time between those to a seed.
const DIAL_INTERVAL: Millis = Millis::new(400);
/// Longest time between attempts to connect to the same peer.
const MAX_DIAL_INTERVAL: Millis = Millis::new(3_000);
/// Silence of a peer over the time to the next attempt to connect to it. Instances that were removed
/// stay listed, and all others dial them.
const SILENCE_PER_DIAL: u64 = 8;
/// Time to wait for a configuration requested from a peer before another peer is asked.
const FETCH_TIMEOUT: Millis = Millis::new(1_000);
/// Largest configuration that is fetched from a peer without delay. For a larger one, an instance
/// first waits for the source that all instances read; otherwise the first peer to have it would send
/// it to all others at the same time.
const SMALL_DOCUMENT: Bytes = Bytes::new(64 * 1_024);
/// Time to wait for the source to deliver a larger configuration before a peer is asked.
const LARGE_FETCH_DELAY: Millis = Millis::new(1_000);
/// Limit on unacknowledged messages to a peer; beyond it the peer counts as down.
const MAX_UNACKNOWLEDGED: usize = 20_000;

/// Limit on the messages of a frame. A frame with all unacknowledged messages could exceed the size
/// that the receiver accepts, and would be sent again and again.
const MAX_FRAME_MESSAGES: usize = 64;

/// Number of a connection, assigned by [`Table`] and unique in the process.
pub type Connection = u64;

/// The unit of transfer on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Frame {
    /// Opens or resumes a session.
    Hello(Hello),
    /// Consecutive messages, with a cumulative acknowledgement.
    Data {
        /// Number of the first of `messages`.
        first: u64,
        /// Number of the last message that the sender has received; acknowledges all up to it.
        received: u64,
        /// The messages, numbered without gaps.
        messages: Vec<Message>,
    },
    /// Shows that the sender is alive, acknowledges, and announces the configuration in force.
    Heartbeat {
        /// Number of the last message that the sender has received; acknowledges all up to it.
        received: u64,
        /// Version of the sender's configuration.
        version: id::Version,
        /// Size of the sender's configuration.
        size: Bytes,
        /// Whether the sender wants a heartbeat back at once, unless the receiver sends them at short
        /// intervals anyway.
        is_probe: bool,
    },
    /// The sender has lost this instance and asks the receiver to probe it.
    Suspect(id::Instance),
    /// Requests the configuration.
    Fetch,
    /// The requested configuration, in the format of its source.
    Document(Vec<u8>),
}

impl Frame {
    /// Returns the name of the variant, for metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Data { .. } => "data",
            Self::Heartbeat { .. } => "heartbeat",
            Self::Suspect(_) => "suspect",
            Self::Fetch => "fetch",
            Self::Document(_) => "document",
        }
    }
}

/// The first frame that each side sends on a connection; repeated when a session number changes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Hello {
    /// Name of the sender.
    pub instance: id::Instance,
    /// Data centre and CPU share of the sender.
    pub member: Member,
    /// Address at which the sender accepts connections.
    pub address: SocketAddr,
    /// The sender's number for the session, or 0 if it does not know the receiver's name yet.
    pub session: u64,
    /// The receiver's number for the session, or 0 if the sender does not know it.
    pub peer_session: u64,
    /// Number of the last message that the sender has received in this session.
    pub received: u64,
    /// Whether the sender lacks the list of instances and wants `known` of the receiver.
    pub wants_known: bool,
    /// Addresses of all instances that the sender knows, if the receiver wants them.
    pub known: Vec<(id::Instance, SocketAddr)>,
}

/// A command to the process around the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to an address; the connection gets this number.
    Dial(Connection, SocketAddr),
    /// Send a frame on a connection, if that is still open.
    Send(Connection, Frame),
    /// Close a connection, or give up dialing it.
    Close(Connection),
    /// A session with a peer has begun.
    Up(id::Instance, Member),
    /// The session with a peer has ended; the messages in flight in both directions are lost.
    Down(id::Instance),
    /// A message from a peer; each comes once and in order.
    Deliver(id::Instance, Message),
    /// A peer has sent the newer configuration that was requested from it.
    Document(Vec<u8>),
    /// The peer requests the configuration; send it in a [`Frame::Document`].
    Fetch(Connection),
}

#[derive(Debug, Default)]
struct ConnectionState {
    peer: Option<id::Instance>,
    is_dialed: bool,
    /// Whether the peer has asked for the addresses of the known instances.
    wants_known: bool,
    /// Session numbers, own and peer's, in the last hello sent on this connection.
    last_hello: Option<(u64, u64)>,
    address: Option<SocketAddr>,
}

/// The links of an instance to all of its peers.
#[derive(Debug)]
pub struct Table {
    instance: id::Instance,
    member: Member,
    address: SocketAddr,
    version: id::Version,
    size: Bytes,
    /// Newer version that a peer has announced, and the time from which it may be fetched.
    advertised: Option<(id::Version, Timestamp)>,
    next_session: u64,
    next_connection: Connection,
    peers: BTreeMap<id::Instance, Peer>,
    /// Number of peers that are up.
    up_count: usize,
    /// Peers that the next poll must visit, because their state has changed since the last one.
    changed: BTreeSet<id::Instance>,
    /// The next deadline of each other peer, so that a poll visits only the peers that are due.
    wakeups: BTreeSet<(Timestamp, id::Instance)>,
    /// Whether a list of instances has arrived.
    has_list: bool,
    seeds: BTreeMap<SocketAddr, Timestamp>,
    connections: BTreeMap<Connection, ConnectionState>,
    actions: Vec<Action>,
}

impl Table {
    /// Creates a table without peers. Sessions are numbered from `session`, which must not repeat a
    /// number that an earlier process of this instance used.
    pub fn new(instance: id::Instance, member: Member, address: SocketAddr, session: u64) -> Self {
        Self {
            instance,
            member,
            address,
            version: id::Version::default(),
            size: Bytes::default(),
            advertised: None,
            next_session: session.max(1),
            next_connection: 1,
            peers: BTreeMap::new(),
            up_count: 0,
            changed: BTreeSet::new(),
            wakeups: BTreeSet::new(),
            has_list: false,
            seeds: BTreeMap::new(),
            connections: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Adds addresses to dial for peers whose names are not known yet.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr], now: Timestamp) {
        for seed in seeds {
            if *seed != self.address {
                self.seeds.entry(*seed).or_insert(now);
            }
        }
    }

    /// Adds the peers from the list of instances, sorted by name. New ones are dialed one after the
    /// other, each instance beginning with the next name after its own: when all start at once, only
    /// one side of each pair dials.
    pub fn add_peers(&mut self, peers: &[(id::Instance, SocketAddr)], now: Timestamp) {
        self.has_list = true;
        let first = peers.partition_point(|(name, _)| *name <= self.instance);
        let mut dial_at = now;
        for (name, address) in peers[first..].iter().chain(&peers[..first]) {
            let is_new = !self.peers.contains_key(name);
            self.add_peer(name, *address, now);
            if let Some(peer) = self.peers.get_mut(name).filter(|_| is_new) {
                peer.dial_at = dial_at;
                dial_at = dial_at.plus(FIRST_DIAL_INTERVAL);
            }
        }
    }

    /// Tells whether a list of instances has arrived and each known peer is either up or has refused
    /// the last attempt to connect, which means that its process does not run.
    pub fn is_discovery_complete(&self) -> bool {
        self.has_list && self.peers.values().all(|peer| peer.is_up || peer.was_refused)
    }

    /// Adds a peer. The address of a known peer is changed only while that is down.
    pub fn add_peer(&mut self, name: &id::Instance, address: SocketAddr, now: Timestamp) {
        if *name == self.instance {
            return;
        }
        let session = self.next_session;
        let peer = self.peers.entry(name.clone()).or_insert_with(|| {
            self.next_session += 1;
            Peer::new(address, session, now)
        });
        if peer.address != address && !peer.is_up {
            peer.address = address;
            peer.dial_at = now;
        }
        self.changed.insert(name.clone());
    }

    /// Sets version and size of the configuration in force and announces them to all peers.
    pub fn set_version(&mut self, version: id::Version, size: Bytes, now: Timestamp) {
        if version == self.version {
            return;
        }
        self.version = version;
        self.size = size;
        self.advertised = self.advertised.filter(|(newer, _)| *newer > version);
        for (name, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.is_up) {
            peer.heartbeat_sent_at = Timestamp::default();
            self.changed.insert(name.clone());
        }
        self.poll(now);
    }

    /// Sets the peers with which tasks are exchanged; they get short heartbeat intervals.
    pub fn set_partners(&mut self, partners: &BTreeSet<id::Instance>, now: Timestamp) {
        for (name, peer) in &mut self.peers {
            let is_partner = partners.contains(name);
            if is_partner == peer.is_partner {
                continue;
            }
            if is_partner && !peer.is_fast(now) {
                peer.fast_since = now;
                peer.heartbeat_sent_at = Timestamp::default();
            }
            peer.is_partner = is_partner;
            self.changed.insert(name.clone());
        }
    }

    /// Handles that the process was paused: counts the silence of peers without the pause, and shows
    /// them with a heartbeat that this instance is alive.
    pub fn resume(&mut self, pause: Micros, now: Timestamp) {
        for (name, peer) in &mut self.peers {
            peer.resume(pause, now);
            self.changed.insert(name.clone());
        }
    }

    /// Queues a message until the next [`Self::poll`]. Drops it if the peer is down:
    /// [`Action::Down`] has reported that or is among the pending actions.
    pub fn send(&mut self, peer: &id::Instance, message: Message, now: Timestamp) {
        if let Some(state) = self.peers.get_mut(peer).filter(|state| state.is_up) {
            if message.needs_fast_link() {
                state.set_active(now);
            }
            state.unacknowledged.push_back(message);
            self.changed.insert(peer.clone());
        }
    }

    /// Registers a connection that a peer has opened and returns its number.
    pub fn accept(&mut self) -> Connection {
        let connection = self.new_connection();
        self.connections.insert(connection, ConnectionState::default());
        connection
    }

    /// Handles a dialed connection that has opened.
    pub fn connected(&mut self, connection: Connection, now: Timestamp) {
        let Some(state) = self.connections.get(&connection) else { return };
        let known = state.peer.clone().and_then(|name| {
            let peer = self.peers.get(&name)?;
            Some((peer.session, peer.peer_session, peer.received))
        });
        // A peer dialed as a seed gets its session once its hello tells its name.
        let (session, peer_session, received) = known.unwrap_or((0, 0, 0));
        self.send_hello(connection, session, peer_session, received);
        self.poll(now);
    }

    /// Handles the end of a connection, or a failed attempt to open it; `is_refused` tells that the
    /// peer's host refused it.
    pub fn closed(&mut self, connection: Connection, is_refused: bool, now: Timestamp) {
        let Some(state) = self.connections.remove(&connection) else { return };
        let Some(name) = state.peer else { return };
        let Some(peer) = self.peers.get_mut(&name) else { return };
        if peer.dialing == Some(connection) {
            peer.dialing = None;
            peer.was_refused = is_refused;
        }
        if peer.connection == Some(connection) {
            peer.connection = None;
            peer.dial_at = now;
        }
        // A refusal shows that the process has ended, so there is no need to wait for a time-out.
        if is_refused && peer.connection.is_none() && peer.is_up {
            self.broadcast_suspect(&name);
            self.disconnect(&name, now);
        }
        self.changed.insert(name);
        self.poll(now);
    }

    /// Handles a frame. A frame other than a hello is ignored if its connection was replaced or the
    /// peer is down.
    pub fn receive(&mut self, connection: Connection, frame: Frame, now: Timestamp) {
        if let Frame::Hello(hello) = frame {
            self.handle_hello(connection, &hello, now);
            return self.poll(now);
        }
        let Some(name) = self.connections.get(&connection).and_then(|state| state.peer.clone())
        else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&name) else { return };
        if !peer.is_up || peer.connection != Some(connection) {
            return;
        }
        peer.last_frame_at = now;
        peer.probe_deadline = Timestamp::MAX;
        match frame {
            Frame::Hello(_) => {}
            Frame::Data { first, received, messages } => {
                if messages.iter().any(Message::needs_fast_link) {
                    peer.set_active(now);
                }
                peer.acknowledge(received);
                for (message, number) in messages.into_iter().zip(first..) {
                    if number == peer.received + 1 {
                        peer.received = number;
                        self.actions.push(Action::Deliver(name.clone(), message));
                    }
                }
            }
            Frame::Heartbeat { received, version, size, is_probe } => {
                peer.acknowledge(received);
                if is_probe && !peer.is_fast(now) {
                    peer.is_probed = true;
                    peer.heartbeat_sent_at = Timestamp::default();
                }
                self.fetch_newer(connection, version, size, now);
            }
            Frame::Suspect(name) => self.suspect(&name, now),
            Frame::Fetch => self.actions.push(Action::Fetch(connection)),
            Frame::Document(bytes) => self.actions.push(Action::Document(bytes)),
        }
        self.changed.insert(name);
    }

    /// Carries out everything that is due and sends queued messages.
    pub fn poll(&mut self, now: Timestamp) {
        self.dial_seeds(now);
        while self.wakeups.first().is_some_and(|(at, _)| at.is_past(now)) {
            if let Some((_, name)) = self.wakeups.pop_first() {
                self.changed.insert(name);
            }
        }
        for name in std::mem::take(&mut self.changed) {
            self.poll_peer(&name, now);
            self.reschedule(name);
        }
    }

    /// Returns the interval of heartbeats to peers that are not partners.
    fn slow_heartbeat(&self) -> Millis {
        let scale = self.peers.len().div_ceil(PEERS_PER_SLOW_HEARTBEAT).max(1) as u64;
        Millis::new(SLOW_HEARTBEAT.get() * scale)
    }

    /// Updates the entry of a peer in `wakeups`.
    fn reschedule(&mut self, name: id::Instance) {
        let may_redial = self.instance < name;
        let slow_heartbeat = self.slow_heartbeat();
        let Some(peer) = self.peers.get_mut(&name) else { return };
        let wake_at = peer.next_deadline(may_redial, slow_heartbeat);
        let previous = std::mem::replace(&mut peer.wake_at, wake_at);
        let entry = (previous, name);
        self.wakeups.remove(&entry);
        if wake_at != Timestamp::MAX {
            self.wakeups.insert((wake_at, entry.1));
        }
    }

    /// Returns the time by which [`Self::poll`] must be called again.
    pub fn next_deadline(&self) -> Timestamp {
        if !self.changed.is_empty() {
            return Timestamp::default();
        }
        let wakeup = self.wakeups.first().map_or(Timestamp::MAX, |(at, _)| *at);
        self.seeds.values().copied().fold(wakeup, Timestamp::min)
    }

    /// Returns the actions since the last call, to be carried out in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of peers that are up.
    pub fn reachable_peers(&self) -> usize {
        self.up_count
    }

    fn poll_peer(&mut self, name: &id::Instance, now: Timestamp) {
        let slow_heartbeat = self.slow_heartbeat();
        let Some(peer) = self.peers.get(name) else { return };
        let is_linked = peer.is_up || peer.connection.is_some();
        let is_silent = is_linked && peer.down_at(slow_heartbeat).is_past(now);
        if is_silent || peer.unacknowledged.len() > MAX_UNACKNOWLEDGED {
            // A loss that another peer has reported is not broadcast again.
            if peer.is_up && peer.probe_deadline == Timestamp::MAX {
                self.broadcast_suspect(name);
            }
            self.disconnect(name, now);
        }
        self.dial_peer(name, now);
        let (version, size) = (self.version, self.size);
        let Some(peer) = self.peers.get_mut(name) else { return };
        let (true, Some(connection)) = (peer.is_up, peer.connection) else { return };
        while peer.next_unsent < peer.unacknowledged.len() {
            let unsent = peer.unacknowledged.iter().skip(peer.next_unsent);
            let messages: Vec<Message> = unsent.take(MAX_FRAME_MESSAGES).cloned().collect();
            let first = peer.first_unacknowledged + peer.next_unsent as u64;
            peer.next_unsent += messages.len();
            let frame = Frame::Data { first, received: peer.received, messages };
            self.actions.push(Action::Send(connection, frame));
        }
        // Data does not replace a heartbeat, since only that announces the version.
        if peer.heartbeat_at(slow_heartbeat).is_past(now) {
            // The answer to a probe is none itself.
            let is_probe = !std::mem::take(&mut peer.is_probed)
                || peer.is_fast(now)
                || peer.probe_deadline != Timestamp::MAX;
            peer.heartbeat_sent_at = now;
            let received = peer.received;
            let frame = Frame::Heartbeat { received, version, size, is_probe };
            self.actions.push(Action::Send(connection, frame));
        }
    }

    fn dial_peer(&mut self, name: &id::Instance, now: Timestamp) {
        let connection = self.next_connection;
        let slow_heartbeat = self.slow_heartbeat();
        let own = &self.instance;
        let Some(peer) = self.peers.get_mut(name) else { return };
        let is_redial_due = peer.redial_at(slow_heartbeat).is_past(now);
        // Only the side with the lower name replaces the connection of a live link; otherwise two new
        // connections could replace each other.
        let is_wanted = match peer.connection {
            None => true,
            Some(_) => peer.is_up && is_redial_due && own < name,
        };
        if !is_wanted || !peer.dial_at.is_past(now) {
            return;
        }
        let silence = Millis::new(now.since(peer.last_frame_at).get() / 1_000);
        let interval = Millis::new(silence.get() / SILENCE_PER_DIAL);
        peer.dial_at = now.plus(interval.clamp(DIAL_INTERVAL, MAX_DIAL_INTERVAL));
        if let Some(previous) = peer.dialing.replace(connection) {
            self.connections.remove(&previous);
            self.actions.push(Action::Close(previous));
        }
        self.next_connection += 1;
        let state = ConnectionState {
            peer: Some(name.clone()),
            is_dialed: true,
            address: Some(peer.address),
            ..ConnectionState::default()
        };
        self.actions.push(Action::Dial(connection, peer.address));
        self.connections.insert(connection, state);
    }

    fn dial_seeds(&mut self, now: Timestamp) {
        let due: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|(_, at)| at.is_past(now))
            .map(|(address, _)| *address)
            .collect();
        for address in due {
            self.seeds.insert(address, now.plus(DIAL_INTERVAL));
            let is_known = self.peers.values().any(|peer| peer.address == address);
            let is_open = self.connections.values().any(|state| state.address == Some(address));
            if is_known || is_open {
                continue;
            }
            let connection = self.new_connection();
            let state = ConnectionState {
                is_dialed: true,
                address: Some(address),
                ..ConnectionState::default()
            };
            self.connections.insert(connection, state);
            self.actions.push(Action::Dial(connection, address));
        }
    }

    fn handle_hello(&mut self, connection: Connection, hello: &Hello, now: Timestamp) {
        if hello.instance == self.instance {
            return self.close_connection(connection);
        }
        for (name, address) in &hello.known {
            if !self.peers.contains_key(name) {
                self.add_peer(name, *address, now);
            }
        }
        self.add_peer(&hello.instance, hello.address, now);
        let name = &hello.instance;
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.peer = Some(name.clone());
        state.wants_known = hello.wants_known;
        let is_dialed_by_lower = state.is_dialed == (self.instance < *name);
        let Some(peer) = self.peers.get_mut(name) else { return };
        match peer.connection {
            Some(current) if current != connection => {
                if !is_dialed_by_lower {
                    return self.close_connection(connection);
                }
                peer.connection = Some(connection);
                peer.next_unsent = 0;
                self.close_connection(current);
            }
            _ => {
                peer.connection = Some(connection);
            }
        }
        self.negotiate_session(connection, hello, now);
    }

    /// Resumes the session if both sides name the same numbers, else begins a new one.
    fn negotiate_session(&mut self, connection: Connection, hello: &Hello, now: Timestamp) {
        let name = &hello.instance;
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.address = hello.address;
        if peer.dialing == Some(connection) {
            peer.dialing = None;
        }
        let is_own_session_current = hello.peer_session == peer.session;
        let is_peer_session_current = hello.session == peer.peer_session && hello.session != 0;
        if peer.is_up && !(is_own_session_current && is_peer_session_current) {
            self.reset_session(name);
        }
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.connection = Some(connection);
        peer.last_frame_at = now;
        let is_own_session_current = hello.peer_session == peer.session;
        if hello.session != 0 {
            peer.peer_session = hello.session;
        }
        let reply = (peer.session, peer.peer_session, peer.received);
        if is_own_session_current && hello.session != 0 {
            peer.acknowledge(hello.received);
            peer.next_unsent = 0;
            if !peer.is_up {
                peer.is_up = true;
                self.up_count += 1;
                peer.heartbeat_sent_at = Timestamp::default();
                self.actions.push(Action::Up(name.clone(), hello.member.clone()));
            }
        }
        // The peer begins the session only after a hello that repeats the peer's own number.
        let last_hello = self.connections.get(&connection).and_then(|state| state.last_hello);
        if last_hello != Some((reply.0, reply.1)) {
            self.send_hello(connection, reply.0, reply.1, reply.2);
        }
    }

    fn send_hello(&mut self, to: Connection, session: u64, peer_session: u64, received: u64) {
        let known = match self.connections.get(&to) {
            Some(state) if state.wants_known => {
                self.peers.iter().map(|(name, peer)| (name.clone(), peer.address)).collect()
            }
            _ => Vec::new(),
        };
        let hello = Hello {
            instance: self.instance.clone(),
            member: self.member.clone(),
            address: self.address,
            session,
            peer_session,
            received,
            wants_known: !self.has_list,
            known,
        };
        if let Some(state) = self.connections.get_mut(&to) {
            state.last_hello = Some((session, peer_session));
        }
        self.actions.push(Action::Send(to, Frame::Hello(hello)));
    }

    /// Requests the configuration of a peer if it is newer, from one peer at a time.
    fn fetch_newer(&mut self, from: Connection, version: id::Version, size: Bytes, now: Timestamp) {
        if version <= self.version {
            return;
        }
        let fetch_at = match self.advertised {
            Some((newer, fetch_at)) if newer == version => fetch_at,
            _ if size > SMALL_DOCUMENT => now.plus(LARGE_FETCH_DELAY),
            _ => now,
        };
        self.advertised = Some((version, fetch_at));
        if fetch_at.is_past(now) {
            self.advertised = Some((version, now.plus(FETCH_TIMEOUT)));
            self.actions.push(Action::Send(from, Frame::Fetch));
        }
    }

    /// Probes a peer that another instance has lost.
    fn suspect(&mut self, name: &id::Instance, now: Timestamp) {
        if let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.is_up)
            && peer.probe_deadline == Timestamp::MAX
        {
            peer.probe_deadline = now.plus(SUSPECT_TIMEOUT);
            peer.heartbeat_sent_at = Timestamp::default();
            self.changed.insert(name.clone());
        }
    }

    fn broadcast_suspect(&mut self, lost: &id::Instance) {
        for (name, peer) in &self.peers {
            if let (true, Some(connection)) = (peer.is_up && name != lost, peer.connection) {
                self.actions.push(Action::Send(connection, Frame::Suspect(lost.clone())));
            }
        }
    }

    /// Ends the session with a peer, closes its connection and dials again.
    fn disconnect(&mut self, name: &id::Instance, now: Timestamp) {
        self.reset_session(name);
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.dial_at = now;
        if let Some(connection) = peer.connection.take() {
            self.close_connection(connection);
        }
    }

    fn reset_session(&mut self, name: &id::Instance) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.session = self.next_session;
        self.next_session += 1;
        peer.peer_session = 0;
        peer.probe_deadline = Timestamp::MAX;
        peer.unacknowledged.clear();
        peer.first_unacknowledged = 1;
        peer.next_unsent = 0;
        peer.received = 0;
        if std::mem::take(&mut peer.is_up) {
            self.up_count -= 1;
            self.actions.push(Action::Down(name.clone()));
        }
    }

    fn close_connection(&mut self, connection: Connection) {
        self.connections.remove(&connection);
        self.actions.push(Action::Close(connection));
    }

    fn new_connection(&mut self) -> Connection {
        let connection = self.next_connection;
        self.next_connection += 1;
        connection
    }
}
