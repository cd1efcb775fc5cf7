//! Shared settings at this instance: polls of the table, exchange with peers, and changes.
//!
//! [`verbenapass::config::Replica`] decides; this module does the calls. It lives on the control
//! thread, its platform calls run on the traffic threads.

use crate::clock;
use crate::control::{Message, Sender};
use crate::error;
use crate::meter;
use crate::peer::{Links, Offer};
use crate::platform::{self, TransactionResult};
use crate::snapshot::{Holder, Snapshot};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use verbenapass::claim;
use verbenapass::config::{
    Applied, INDEX_KEY, PREFIX, Plan, Planned, Poll, Proposal, Replica, Resolution, Revision, Row,
    Source, Status, key,
};
use verbenapass::engine::Event;
use verbenapass::id;
use verbenapass::peer::{InForce, Report};
use verbenapass::settings::{self, Context, Owner, Tree};
use verbenapass::unit::Millis;

/// Expired claims that one scan removes at most. At the design size of 63 instances, with a scan each
/// 10 minutes, that is 53 rows a second, a fraction of the several hundred writes of the table.
const MAX_EXPIRED: usize = 500;
/// Rounds of reading and writing after which a change is left unsettled. A round is lost to each
/// other change that is stored in between.
const MAX_ROUNDS: usize = 8;

/// The replica with its dependencies.
pub struct Store {
    replica: RefCell<Replica>,
    data_centre: id::DataCentre,
    links: Rc<RefCell<Links>>,
    platform: Arc<platform::Client>,
    traffic: Handle,
    control: Sender,
    snapshots: Holder,
    log: Logger,
    call_timeout: Millis,
    known: RefCell<Context>,
    round: Cell<u64>,
    /// The settings that were passed to the engine last.
    configured: RefCell<Option<Arc<Tree>>>,
    /// Peers that are being asked for newer settings.
    fetching: RefCell<BTreeSet<id::Instance>>,
    /// Wakes changes that wait for confirmations.
    confirmed: Notify,
}

/// What became of a change.
#[derive(Debug)]
pub enum ChangeOutcome {
    /// It is stored, now or before.
    Stored,
    /// The settings would not be valid.
    Invalid(settings::Error),
    /// Another change won.
    Conflict(verbenapass::config::Conflict),
    /// It is too old to tell whether it took effect.
    HistoryExceeded,
    /// It is open whether it took effect.
    Unsettled,
}

impl Store {
    /// Makes a store that holds nothing.
    pub fn new(
        replica: Replica,
        data_centre: id::DataCentre,
        links: Rc<RefCell<Links>>,
        dependencies: &crate::control::Dependencies,
    ) -> Self {
        Self {
            replica: RefCell::new(replica),
            data_centre,
            links,
            platform: dependencies.platform.clone(),
            traffic: dependencies.traffic.clone(),
            control: dependencies.control.clone(),
            snapshots: dependencies.snapshots.clone(),
            log: dependencies.log.clone(),
            call_timeout: dependencies.platform_timeout,
            known: RefCell::default(),
            round: Cell::new(0),
            configured: RefCell::default(),
            fetching: RefCell::default(),
            confirmed: Notify::new(),
        }
    }

    /// Returns the replica.
    pub const fn replica(&self) -> &RefCell<Replica> {
        &self.replica
    }

    /// Takes over the instance list.
    pub fn update_list(&self, listed: &platform::InstanceList) {
        let data_centres = listed.entries.iter().map(|entry| entry.data_centre.clone()).collect();
        self.replica.borrow_mut().listed(listed.revision, data_centres);
        let services = listed.targets.iter().map(|target| target.service.clone()).collect();
        self.known.borrow_mut().services = Some(services);
    }

    /// Polls the index row for as long as the control thread runs.
    pub async fn poll(self: Rc<Self>, every: Duration) {
        let mut timer = interval(every);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            self.replica.borrow_mut().tick(clock::now());
            let result = self.poll_once().await;
            if result.is_err() {
                meter::platform_error("settings");
            }
        }
    }

    /// Removes expired claims for as long as the control thread runs: with each scan those of one
    /// team, so that an answer stays small. Scans come after random waits, so that instances that
    /// were started together do not scan together.
    pub async fn expire_claims(self: Rc<Self>, every: Duration) {
        loop {
            sleep(every.mul_f64(rand::random_range(0.5..1.5))).await;
            if self.expire_once().await.is_err() {
                meter::platform_error("claims");
            }
        }
    }

    async fn expire_once(&self) -> Result<(), platform::Error> {
        let team = {
            let replica = self.replica.borrow();
            let Some(tree) = replica.tree() else { return Ok(()) };
            if tree.teams.is_empty() {
                return Ok(());
            }
            let chosen = rand::random_range(0..tree.teams.len());
            tree.teams.keys().nth(chosen).cloned()
        };
        let Some(team) = team else { return Ok(()) };
        meter::message(meter::Kind::Claim);
        let rows = self.scan(platform::claim_prefix(&team)).await?;
        let rows = platform::claim_rows(rows);
        let transaction = claim::expiry(&rows, MAX_EXPIRED, clock::now());
        if transaction.writes.is_empty() {
            return Ok(());
        }
        meter::message(meter::Kind::Claim);
        let platform = self.platform.clone();
        let deadline = clock::now().plus(self.call_timeout);
        let call = async move { Ok(platform.commit_claims(transaction, deadline).await) };
        // Rows that stay, because another instance has changed one of them, are removed later.
        let _ = self.on_traffic(call).await?;
        Ok(())
    }

    async fn poll_once(self: &Rc<Self>) -> Result<(), platform::Error> {
        meter::message(meter::Kind::Settings);
        let index = self.read_one(INDEX_KEY.into()).await?;
        let poll = self.replica.borrow_mut().polled(&index);
        match poll {
            Poll::Nothing => {}
            Poll::Rows(keys) => {
                meter::message(meter::Kind::Settings);
                for row in self.read(keys).await? {
                    let applied = self.replica.borrow_mut().row_read(&row);
                    self.in_force(&applied, &Source::Table);
                }
                // Marks the index row as seen.
                let _ = self.replica.borrow_mut().polled(&index);
            }
            Poll::Scan => {
                meter::message(meter::Kind::Settings);
                let rows = self.scan(PREFIX.into()).await?;
                let rows: Vec<Row> = rows.into_iter().map(row).collect();
                let applied = self.replica.borrow_mut().scanned(&index, &rows);
                self.in_force(&applied, &Source::Table);
                self.configure();
            }
        }
        Ok(())
    }

    /// Takes over a report of a peer and asks the peer for settings that are newer there.
    pub fn handle_report(self: &Rc<Self>, report: &Report) {
        let is_behind = {
            let mut replica = self.replica.borrow_mut();
            replica.reported(report, clock::now());
            replica.is_behind(&report.in_force)
        };
        self.confirmed.notify_waiters();
        // A report can complete the replica.
        self.configure();
        // An instance that has just started during an outage of the platform knows no peers that it
        // could ask, so it is offered all settings.
        let is_lost = report.in_force.is_empty() && !report.stopping;
        if is_lost && !self.replica.borrow().digest().is_empty() {
            let offer = self.offer(self.replica.borrow().newer_than(&[]));
            let (to, data_centre) = (report.from.clone(), report.data_centre.clone());
            self.send_offer(&self.links.borrow(), to, data_centre, offer);
        }
        if is_behind && self.fetching.borrow_mut().insert(report.from.clone()) {
            let (store, report) = (self.clone(), report.clone());
            spawn_local(async move {
                if let Err(error) = store.fetch(&report).await {
                    info!(store.log, "settings: fetch failed"; "error" => %error);
                }
                store.fetching.borrow_mut().remove(&report.from);
            });
        }
    }

    async fn fetch(self: &Rc<Self>, report: &Report) -> Result<(), error::Peer> {
        let known = self.replica.borrow().versions();
        let answer = self.links.borrow().fetch(&report.from, known);
        let Some(answer) = answer else { return Ok(()) };
        let Ok(revisions) = answer.await else { return Ok(()) };
        let revisions = revisions?;
        let applied = {
            let mut replica = self.replica.borrow_mut();
            let applied = replica.fetched(&report.in_force, &revisions);
            // With the digest that led to the fetch, an equal replica becomes complete.
            replica.reported(report, clock::now());
            applied
        };
        self.in_force(&applied, &Source::Peer(report.data_centre.clone()));
        self.configure();
        Ok(())
    }

    /// Takes over revisions that a peer pushed. Returns the versions then in force.
    pub fn apply_offer(self: &Rc<Self>, offer: &Offer) -> Vec<InForce> {
        let applied = {
            let mut replica = self.replica.borrow_mut();
            let applied = replica.received(&offer.revisions);
            // An offer of all settings can complete the replica.
            replica.compare(&offer.digest);
            applied
        };
        self.in_force(&applied, &Source::Peer(offer.data_centre.clone()));
        self.configure();
        self.replica.borrow().digest()
    }

    /// Carries out a change up to the point where it is stored, or is known not to be.
    pub async fn change(self: &Rc<Self>, proposal: &Proposal) -> ChangeOutcome {
        let keys = vec![key(&proposal.path.owner), INDEX_KEY.to_owned()];
        let mut plan: Option<Plan> = None;
        for _ in 0..MAX_ROUNDS {
            meter::message(meter::Kind::Settings);
            let (row, index) = match self.read(keys.clone()).await.map(<[Row; 2]>::try_from) {
                Ok(Ok([row, index])) => (row, index),
                Ok(Err(_)) => return ChangeOutcome::Unsettled,
                Err(error) => {
                    warn!(self.log, "settings: change not settled"; "error" => %error);
                    return ChangeOutcome::Unsettled;
                }
            };
            let planned = {
                let mut replica = self.replica.borrow_mut();
                match &plan {
                    Some(plan) => Ok(replica.resume(plan, &row, &index)),
                    None => replica.plan(proposal, &row, &index, &self.known.borrow()),
                }
            };
            // Reading the row may have put a newer revision in force.
            self.configure();
            match planned {
                Err(error) => return ChangeOutcome::Invalid(error),
                Ok(Planned::Done(_)) => return ChangeOutcome::Stored,
                Ok(Planned::Conflict(conflict)) => return ChangeOutcome::Conflict(conflict),
                Ok(Planned::HistoryExceeded) => return ChangeOutcome::HistoryExceeded,
                Ok(Planned::Stale) => {}
                Ok(Planned::Write(next)) => {
                    let reply = self.transact(&next).await;
                    if next.resolve(&reply) == Resolution::Stored {
                        let applied = self.replica.borrow_mut().commit(&next);
                        self.in_force(&applied, &Source::Operator);
                        return ChangeOutcome::Stored;
                    }
                    plan = Some(*next);
                }
            }
        }
        ChangeOutcome::Unsettled
    }

    /// Waits until a change is in force in every data centre, for the given time at most.
    pub async fn wait_accepted(&self, owner: &Owner, change: &id::Change, limit: Duration) {
        let wait = async {
            loop {
                // Registered before the check, so that no confirmation is missed.
                let confirmed = self.confirmed.notified();
                let status = self.replica.borrow().status(owner, change, clock::now());
                if !matches!(status, Status::Pending { .. }) {
                    return;
                }
                confirmed.await;
            }
        };
        // A change that is still pending then is reported as such.
        let _ = timeout(limit, wait).await;
    }

    async fn transact(&self, plan: &Plan) -> verbenapass::config::Reply {
        use verbenapass::config::Reply;
        meter::message(meter::Kind::Settings);
        let platform = self.platform.clone();
        let transaction = platform::settings_transaction(plan);
        let deadline = clock::now().plus(self.call_timeout);
        let call = async move { platform.transact(&transaction, deadline).await };
        match self.on_traffic(call).await {
            Ok(TransactionResult { committed: true, .. }) => Reply::Committed,
            Ok(TransactionResult { committed: false, .. }) => Reply::Failed,
            Err(_) => Reply::Lost,
        }
    }

    /// Passes on what has just been put in force.
    fn in_force(self: &Rc<Self>, applied: &Applied, source: &Source) {
        for error in &applied.rejected {
            warn!(self.log, "settings: revision rejected"; "error" => %error);
        }
        if applied.changed.is_empty() {
            return;
        }
        let revisions: Vec<Revision> = {
            let replica = self.replica.borrow();
            applied.changed.iter().filter_map(|owner| replica.revision(owner)).cloned().collect()
        };
        for revision in &revisions {
            info!(self.log, "settings: in force";
                "path" => &revision.path, "version" => revision.version.get());
        }
        self.configure();
        self.push(revisions, source);
        self.confirmed.notify_waiters();
    }

    fn push(self: &Rc<Self>, revisions: Vec<Revision>, source: &Source) {
        let links = self.links.borrow();
        let peers = links.peers();
        let named: Vec<_> =
            peers.iter().map(|peer| (peer.id.clone(), peer.data_centre.clone())).collect();
        let offer = self.offer(revisions);
        let round = self.round.get();
        self.round.set(round + 1);
        let recipients = self.replica.borrow().recipients(source, &named, round);
        for instance in recipients {
            let peer = peers.iter().find(|peer| peer.id == instance);
            let Some(data_centre) = peer.map(|peer| peer.data_centre.clone()) else { continue };
            self.send_offer(&links, instance, data_centre, offer.clone());
        }
    }

    fn offer(&self, revisions: Vec<Revision>) -> Rc<Offer> {
        let digest = self.replica.borrow().digest();
        Rc::new(Offer { data_centre: self.data_centre.clone(), revisions, digest })
    }

    fn send_offer(
        self: &Rc<Self>,
        links: &Links,
        instance: id::Instance,
        data_centre: id::DataCentre,
        offer: Rc<Offer>,
    ) {
        let Some(answer) = links.push(&instance, offer) else { return };
        let store = self.clone();
        spawn_local(async move {
            // A push that fails is made up for by the exchange of reports.
            if let Ok(Ok(in_force)) = answer.await {
                let now = clock::now();
                store.replica.borrow_mut().confirmed(&instance, &data_centre, &in_force, now);
                store.confirmed.notify_waiters();
            }
        });
    }

    /// Passes the settings in force to the engine, if they are new to it.
    fn configure(&self) {
        let replica = self.replica.borrow();
        let Some(tree) = replica.tree() else { return };
        let mut known = self.configured.borrow_mut();
        if known.as_ref().is_some_and(|known| Arc::ptr_eq(known, tree) || known == tree) {
            return;
        }
        *known = Some(tree.clone());
        // Request checks see the settings before the change is answered. The event is ahead of every
        // submission that passes these checks.
        self.snapshots.set(Arc::new(Snapshot::new(tree.clone())));
        // Fails only after the control thread has ended.
        let _ = self.control.send(Message::Event(Event::Configured(tree.clone())));
    }

    /// Reads the rows whose keys start with `prefix`.
    pub async fn scan(
        &self,
        prefix: String,
    ) -> Result<Vec<verbenapass_proto::platform::Row>, platform::Error> {
        let platform = self.platform.clone();
        let call = async move { platform.scan(&prefix).await };
        Ok(self.on_traffic(call).await?.rows)
    }

    async fn read_one(&self, key: String) -> Result<Row, platform::Error> {
        let rows = self.read(vec![key]).await?;
        rows.into_iter().next().ok_or(platform::Error::Missing)
    }

    async fn read(&self, keys: Vec<String>) -> Result<Vec<Row>, platform::Error> {
        let platform = self.platform.clone();
        let deadline = clock::now().plus(self.call_timeout);
        let call = async move { platform.read_rows(&keys, deadline).await };
        Ok(self.on_traffic(call).await?.into_iter().map(row).collect())
    }

    async fn on_traffic<T: Send + 'static>(
        &self,
        call: impl Future<Output = Result<T, platform::Error>> + Send + 'static,
    ) -> Result<T, platform::Error> {
        self.traffic.spawn(call).await.unwrap_or(Err(platform::Error::Missing))
    }
}

fn row(row: verbenapass_proto::platform::Row) -> Row {
    Row { key: row.key, version: id::Version::new(row.version), value: row.value }
}
