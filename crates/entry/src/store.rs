//! The settings replica of this instance: polls the table, exchanges revisions with peers and
//! stores changes.
//!
//! [`verbenapass::config::Replica`] makes the decisions; this module makes the calls. It runs on the
//! control thread, and its calls to the platform run on the traffic threads.

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

/// Limit on the expired claims that one scan removes. At the design size of 63 instances, with a scan
/// every 10 minutes at each, that is 53 rows per second; the table takes several hundred writes per
/// second.
const MAX_EXPIRED_CLAIMS: usize = 500;
/// Attempts to read and write the rows of a change before it is given up as unsettled. An attempt
/// fails if another change is stored between its read and its write.
const MAX_CHANGE_ATTEMPTS: usize = 8;

/// The settings replica of this instance with the channels and clients that it needs.
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
    validation_context: RefCell<Context>,
    push_round: Cell<u64>,
    /// The settings last sent to the engine.
    engine_tree: RefCell<Option<Arc<Tree>>>,
    /// Peers with a fetch in flight; each has one at most.
    fetching: RefCell<BTreeSet<id::Instance>>,
    /// Notifies changes that wait for the confirmations of peers.
    confirmed: Notify,
}

/// The outcome of [`Store::change`].
#[derive(Debug)]
pub enum ChangeOutcome {
    /// The change is stored, by this call or by an earlier one with the same change id.
    Stored,
    /// The change would make the settings invalid; nothing was written.
    Invalid(settings::Error),
    /// Another change was stored first; this one has no effect.
    Conflict(verbenapass::config::Conflict),
    /// The history is too short to tell whether the change took effect earlier. It is not made now.
    HistoryExceeded,
    /// Unknown whether the change took effect; the operator repeats it with the same change id.
    Unsettled,
}

impl Store {
    /// Creates a store around `replica`, which holds nothing yet. `data_centre` is that of this
    /// instance.
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
            validation_context: RefCell::default(),
            push_round: Cell::new(0),
            engine_tree: RefCell::default(),
            fetching: RefCell::default(),
            confirmed: Notify::new(),
        }
    }

    /// Returns the replica. A borrow must not be held across an `await`.
    pub const fn replica(&self) -> &RefCell<Replica> {
        &self.replica
    }

    /// Records the data centres and services on the instance list.
    pub fn update_list(&self, list: &platform::InstanceList) {
        let data_centres = list.entries.iter().map(|entry| entry.data_centre.clone()).collect();
        self.replica.borrow_mut().listed(list.revision, data_centres);
        let services = list.targets.iter().map(|target| target.service.clone()).collect();
        self.validation_context.borrow_mut().services = Some(services);
    }

    /// Polls the index row and reads the rows that changed, until the control thread ends.
    pub async fn poll(self: Rc<Self>, poll_interval: Duration) {
        let mut timer = interval(poll_interval);
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

    /// Scans for expired claims and removes them, until the control thread ends. Each scan covers one
    /// random team to keep the reply small. The intervals are random, so that instances that started
    /// together do not scan together.
    pub async fn expire_claims(self: Rc<Self>, mean_interval: Duration) {
        loop {
            sleep(mean_interval.mul_f64(rand::random_range(0.5..1.5))).await;
            if self.expire_claims_once().await.is_err() {
                meter::platform_error("claims");
            }
        }
    }

    async fn expire_claims_once(&self) -> Result<(), platform::Error> {
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
        let transaction = claim::expiry(&rows, MAX_EXPIRED_CLAIMS, clock::now());
        if transaction.writes.is_empty() {
            return Ok(());
        }
        meter::message(meter::Kind::Claim);
        let platform = self.platform.clone();
        let deadline = clock::now().plus(self.call_timeout);
        let call = async move { Ok(platform.commit_claims(transaction, deadline).await) };
        // If another instance has changed one of the rows, all stay; a later scan removes them.
        let _ = self.run_on_traffic(call).await?;
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
                    self.publish(&applied, &Source::Table);
                }
                // Mark the index row as seen.
                let _ = self.replica.borrow_mut().polled(&index);
            }
            Poll::Scan => {
                meter::message(meter::Kind::Settings);
                let rows = self.scan(PREFIX.into()).await?;
                let rows: Vec<Row> = rows.into_iter().map(from_table_row).collect();
                let applied = self.replica.borrow_mut().scanned(&index, &rows);
                self.publish(&applied, &Source::Table);
                self.configure_engine();
            }
        }
        Ok(())
    }

    /// Records the report of a peer, and fetches settings from the peer if it has newer ones.
    pub fn handle_report(self: &Rc<Self>, report: &Report) {
        let is_behind = {
            let mut replica = self.replica.borrow_mut();
            replica.reported(report, clock::now());
            replica.is_behind(&report.in_force)
        };
        self.confirmed.notify_waiters();
        // The replica may now be complete.
        self.configure_engine();
        // The digest of a peer that does not have all settings is empty. If it started during an
        // outage of the platform, it knows no instance to fetch settings from, so push all to it.
        let is_incomplete = report.in_force.is_empty() && !report.stopping;
        if is_incomplete && !self.replica.borrow().digest().is_empty() {
            let offer = self.offer(self.replica.borrow().newer_than(&[]));
            let (to, data_centre) = (report.from.clone(), report.data_centre.clone());
            self.send_offer(&self.links.borrow(), to, data_centre, offer);
        }
        if is_behind && self.fetching.borrow_mut().insert(report.from.clone()) {
            let (store, report) = (self.clone(), report.clone());
            spawn_local(async move {
                if let Err(error) = store.fetch(&report).await {
                    info!(store.log, "settings: fetch from a peer failed; retrying at its next report";
                        "error" => %error);
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
            // If the replica now has the settings in the digest of the report, it is complete.
            replica.reported(report, clock::now());
            applied
        };
        self.publish(&applied, &Source::Peer(report.data_centre.clone()));
        self.configure_engine();
        Ok(())
    }

    /// Applies the revisions that a peer pushed. Returns the digest of the settings in force after it.
    pub fn apply_offer(self: &Rc<Self>, offer: &Offer) -> Vec<InForce> {
        let applied = {
            let mut replica = self.replica.borrow_mut();
            let applied = replica.received(&offer.revisions);
            // If the replica now has the settings in the digest of the peer, it is complete.
            replica.complete_if_equal(&offer.digest);
            applied
        };
        self.publish(&applied, &Source::Peer(offer.data_centre.clone()));
        self.configure_engine();
        self.replica.borrow().digest()
    }

    /// Stores a change in the table and puts it in force here. Peers learn of it in the background;
    /// see [`Store::wait_accepted`].
    pub async fn change(self: &Rc<Self>, proposal: &Proposal) -> ChangeOutcome {
        let keys = vec![key(&proposal.path.owner), INDEX_KEY.to_owned()];
        let mut plan: Option<Plan> = None;
        for _ in 0..MAX_CHANGE_ATTEMPTS {
            meter::message(meter::Kind::Settings);
            let (row, index) = match self.read(keys.clone()).await.map(<[Row; 2]>::try_from) {
                Ok(Ok([row, index])) => (row, index),
                Ok(Err(_)) => return ChangeOutcome::Unsettled,
                Err(error) => {
                    warn!(self.log, "settings: cannot read the rows of a change; it stays unsettled";
                        "error" => %error);
                    return ChangeOutcome::Unsettled;
                }
            };
            let planned = {
                let mut replica = self.replica.borrow_mut();
                match &plan {
                    Some(plan) => Ok(replica.resume(plan, &row, &index)),
                    None => replica.plan(proposal, &row, &index, &self.validation_context.borrow()),
                }
            };
            // The row that was read may have put a newer revision in force.
            self.configure_engine();
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
                        self.publish(&applied, &Source::Operator);
                        return ChangeOutcome::Stored;
                    }
                    plan = Some(*next);
                }
            }
        }
        ChangeOutcome::Unsettled
    }

    /// Waits until a change is in force in every data centre, or until `limit` has passed.
    pub async fn wait_accepted(&self, owner: &Owner, change: &id::Change, limit: Duration) {
        let wait = async {
            loop {
                // Register before the check, so that no notification is missed.
                let confirmed = self.confirmed.notified();
                let status = self.replica.borrow().status(owner, change, clock::now());
                if !matches!(status, Status::Pending { .. }) {
                    return;
                }
                confirmed.await;
            }
        };
        // On timeout the status of the change is still `Pending`, which the caller reports.
        let _ = timeout(limit, wait).await;
    }

    async fn transact(&self, plan: &Plan) -> verbenapass::config::Reply {
        use verbenapass::config::Reply;
        meter::message(meter::Kind::Settings);
        let platform = self.platform.clone();
        let transaction = platform::settings_transaction(plan);
        let deadline = clock::now().plus(self.call_timeout);
        let call = async move { platform.transact(&transaction, deadline).await };
        match self.run_on_traffic(call).await {
            Ok(TransactionResult { committed: true, .. }) => Reply::Committed,
            Ok(TransactionResult { committed: false, .. }) => Reply::Failed,
            Err(_) => Reply::Lost,
        }
    }

    /// Logs the revisions that were just put in force, and passes them to the engine and to peers.
    fn publish(self: &Rc<Self>, applied: &Applied, source: &Source) {
        for error in &applied.rejected {
            warn!(self.log, "settings: revision rejected; the version in force stays";
                "error" => %error);
        }
        if applied.changed.is_empty() {
            return;
        }
        let revisions: Vec<Revision> = {
            let replica = self.replica.borrow();
            applied.changed.iter().filter_map(|owner| replica.revision(owner)).cloned().collect()
        };
        for revision in &revisions {
            info!(self.log, "settings: revision in force";
                "path" => &revision.path, "version" => revision.version.get());
        }
        self.configure_engine();
        self.push(revisions, source);
        self.confirmed.notify_waiters();
    }

    fn push(self: &Rc<Self>, revisions: Vec<Revision>, source: &Source) {
        let links = self.links.borrow();
        let peers = links.peers();
        let candidates: Vec<_> =
            peers.iter().map(|peer| (peer.id.clone(), peer.data_centre.clone())).collect();
        let offer = self.offer(revisions);
        let round = self.push_round.get();
        self.push_round.set(round + 1);
        let recipients = self.replica.borrow().recipients(source, &candidates, round);
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
            // If the push fails, the peer notices at the next exchange of reports and fetches.
            if let Ok(Ok(in_force)) = answer.await {
                let now = clock::now();
                store.replica.borrow_mut().confirmed(&instance, &data_centre, &in_force, now);
                store.confirmed.notify_waiters();
            }
        });
    }

    /// Sends the settings in force to the engine and the request checks, unless they have them.
    fn configure_engine(&self) {
        let replica = self.replica.borrow();
        let Some(tree) = replica.tree() else { return };
        let mut known = self.engine_tree.borrow_mut();
        if known.as_ref().is_some_and(|known| Arc::ptr_eq(known, tree) || known == tree) {
            return;
        }
        let before = known.as_ref().map(|tree| tree.fleet.evacuated_data_centres.clone());
        let (before, after) = (before.unwrap_or_default(), &tree.fleet.evacuated_data_centres);
        let version = replica.version(&Owner::Fleet).get();
        for data_centre in after.difference(&before) {
            info!(self.log, "settings: data centre evacuated";
                "data_centre" => %data_centre, "version" => version);
        }
        for data_centre in before.difference(after) {
            info!(self.log, "settings: evacuation of a data centre ended";
                "data_centre" => %data_centre, "version" => version);
        }
        *known = Some(tree.clone());
        // The request checks get the settings before the operator gets the reply to the change. The
        // event below reaches the engine before any submission that passes the new checks.
        self.snapshots.set(Arc::new(Snapshot::new(tree.clone())));
        // Fails only after the control thread has ended.
        let _ = self.control.send(Message::Event(Event::Configured(tree.clone())));
    }

    /// Reads all rows whose keys start with `prefix`. Fails without a retry.
    pub async fn scan(
        &self,
        prefix: String,
    ) -> Result<Vec<verbenapass_proto::platform::Row>, platform::Error> {
        let platform = self.platform.clone();
        let call = async move { platform.scan(&prefix).await };
        Ok(self.run_on_traffic(call).await?.rows)
    }

    async fn read_one(&self, key: String) -> Result<Row, platform::Error> {
        let rows = self.read(vec![key]).await?;
        rows.into_iter().next().ok_or(platform::Error::Missing)
    }

    async fn read(&self, keys: Vec<String>) -> Result<Vec<Row>, platform::Error> {
        let platform = self.platform.clone();
        let deadline = clock::now().plus(self.call_timeout);
        let call = async move { platform.read_rows(&keys, deadline).await };
        Ok(self.run_on_traffic(call).await?.into_iter().map(from_table_row).collect())
    }

    async fn run_on_traffic<T: Send + 'static>(
        &self,
        call: impl Future<Output = Result<T, platform::Error>> + Send + 'static,
    ) -> Result<T, platform::Error> {
        self.traffic.spawn(call).await.unwrap_or(Err(platform::Error::Missing))
    }
}

fn from_table_row(row: verbenapass_proto::platform::Row) -> Row {
    Row { key: row.key, version: id::Version::new(row.version), value: row.value }
}
