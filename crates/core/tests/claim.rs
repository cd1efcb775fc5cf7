//! Claims against a simulated table whose writes and replies fail.

use std::collections::BTreeMap;
use std::sync::Arc;
use verbenapass::claim::{
    Action, Claim, Commit, Key, Options, Read, Record, Reply, Row, State, Stored, Tracker,
    Transaction, Verdict, digest, expiry,
};
use verbenapass::id;
use verbenapass::job::{Resources, Submission, Task};
use verbenapass::outcome::{Failure, Outcome, Refusal, Step};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Millis};

const NOW: Timestamp = Timestamp::from_micros(1_000_000_000);

fn after(millis: u64) -> Timestamp {
    NOW.plus(Millis::new(millis))
}

/// In-memory table with the semantics of the platform's table.
#[derive(Default)]
struct Table {
    rows: BTreeMap<String, (u64, Option<String>)>,
}

impl Table {
    fn row(&self, key: &str) -> Row {
        let (version, value) = self.rows.get(key).cloned().unwrap_or((0, None));
        Row { key: key.into(), version: id::Version::new(version), value }
    }

    fn transact(&mut self, transaction: &Transaction) -> Commit {
        let failed: Vec<Row> = transaction
            .conditions
            .iter()
            .map(|condition| (condition, self.row(&condition.key)))
            .filter(|(condition, row)| condition.version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !failed.is_empty() {
            return Commit::Conflict(failed);
        }
        let mut written = Vec::new();
        for write in &transaction.writes {
            let row = self.rows.entry(write.key.clone()).or_default();
            row.0 += 1;
            row.1.clone_from(&write.value);
            let version = id::Version::new(row.0);
            written.push(Row { key: write.key.clone(), version, value: None });
        }
        Commit::Committed(written)
    }

    fn read(&self, keys: &[String]) -> Read {
        Read::Rows(keys.iter().map(|key| self.row(key)).collect())
    }

    fn record(&self, key: &str) -> Option<Record> {
        self.row(key).value.map(|text| Record::from_text(&text).unwrap())
    }
}

/// A tracker with the actions and verdicts that it has emitted.
struct Instance {
    tracker: Tracker,
    actions: Vec<Action>,
    verdicts: Vec<(u64, Verdict)>,
}

impl Instance {
    fn new(name: &str) -> Self {
        let tracker = Tracker::new(Options::new(name.parse().unwrap()));
        Self { tracker, actions: Vec::new(), verdicts: Vec::new() }
    }

    fn claim(&mut self, sequence: u64, request: &str, now: Timestamp) -> bool {
        self.claim_with(sequence, request, 7, now)
    }

    fn claim_with(&mut self, sequence: u64, request: &str, digest: u64, now: Timestamp) -> bool {
        let nonce = id::Nonce::new(sequence + 100);
        let deadline = after(60_000);
        self.tracker.claim(key(request), Claim { sequence, nonce, digest, deadline }, now)
    }

    fn poll(&mut self, now: Timestamp) {
        self.tracker.poll(now, &mut self.actions, &mut self.verdicts);
    }

    fn take_commit(&mut self) -> (id::Call, Transaction) {
        match self.actions.remove(0) {
            Action::Commit { call, transaction, .. } => (call, transaction),
            other => panic!("not a commit: {other:?}"),
        }
    }

    fn take_owner_query(&mut self) -> (id::Call, id::Job) {
        match self.actions.remove(0) {
            Action::QueryOwner { call, job, .. } => (call, job),
            other => panic!("not a query to an owner: {other:?}"),
        }
    }

    fn take_verdict(&mut self) -> (u64, Verdict) {
        self.verdicts.remove(0)
    }

    /// Carries out all platform calls without faults for 20 polls, 250 ms apart. Queries to owners
    /// stay in `actions`. Returns the time after the last poll.
    fn run(&mut self, table: &mut Table, mut now: Timestamp) -> Timestamp {
        for _ in 0..20 {
            self.poll(now);
            let (calls, others) = std::mem::take(&mut self.actions)
                .into_iter()
                .partition(|action| !matches!(action, Action::QueryOwner { .. }));
            self.actions = others;
            for action in calls {
                match action {
                    Action::Commit { call, transaction, .. } => {
                        let result = table.transact(&transaction);
                        self.tracker.committed(call, &result, now);
                    }
                    Action::Read { call, keys, .. } => {
                        self.tracker.read(call, &table.read(&keys), now);
                    }
                    Action::QueryOwner { .. } => unreachable!("partitioned off"),
                }
            }
            self.poll(now);
            now = now.plus(Millis::new(250));
        }
        now
    }
}

fn key(request: &str) -> Key {
    Key { team: "halvern".parse().unwrap(), request: request.parse().unwrap() }
}

fn complete(answers: &[&[u8]]) -> Outcome {
    Outcome::Complete(answers.iter().map(|answer| Arc::from(*answer)).collect())
}

fn not_run() -> Outcome {
    Outcome::Refused { reason: Refusal::NoTargets, retry_at: NOW }
}

// Claims must share transactions: with one transaction each, they would overload the platform.
#[test]
fn claim_groups_commits() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, transaction) = instance.take_commit();
    assert_eq!(transaction.writes.len(), 1);
    for sequence in 2..50 {
        instance.claim(sequence, &format!("r{sequence}"), NOW);
    }
    instance.poll(after(1_000));
    assert!(instance.actions.is_empty(), "a second transaction is in flight");
    instance.tracker.committed(call, &table.transact(&transaction), after(10));
    instance.poll(after(249));
    assert!(instance.actions.is_empty(), "the interval between transactions is too short");
    assert_eq!(instance.tracker.next_deadline(), Some(after(250)));
    instance.poll(after(250));
    let (call, transaction) = instance.take_commit();
    assert_eq!(transaction.writes.len(), 48);
    instance.tracker.committed(call, &table.transact(&transaction), after(260));
    instance.poll(after(260));
    let granted = instance.verdicts.iter().filter(|(_, verdict)| *verdict == Verdict::Granted);
    assert_eq!(granted.count(), 49);
}

// A claim must neither be lost nor written twice if the reply to a write that took effect is lost.
#[test]
fn committed_ambiguous_write_took_effect() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, transaction) = instance.take_commit();
    table.transact(&transaction);
    instance.tracker.committed(call, &Commit::Ambiguous, NOW);
    instance.poll(NOW);
    assert!(instance.verdicts.is_empty(), "an ambiguous write must not grant");
    instance.run(&mut table, NOW);
    assert_eq!(instance.take_verdict(), (1, Verdict::Granted));
    assert_eq!(table.row("claims/halvern/a").version, id::Version::new(1));
}

// An ambiguous write may take effect after a read has found no row. There must still be one owner.
#[test]
fn committed_ambiguous_write_takes_effect_late() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, late) = instance.take_commit();
    instance.tracker.committed(call, &Commit::Ambiguous, NOW);
    instance.poll(NOW);
    let Action::Read { call, keys, .. } = instance.actions.remove(0) else { panic!("no read") };
    instance.tracker.read(call, &table.read(&keys), NOW);
    assert!(matches!(table.transact(&late), Commit::Committed(_)));
    instance.run(&mut table, after(250));
    assert_eq!(instance.take_verdict(), (1, Verdict::Granted));
    assert!(instance.verdicts.is_empty());
}

// A delayed write of an abandoned claim must fail, or the row would stay claimed.
#[test]
fn end_fences_off_late_write() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, late) = instance.take_commit();
    instance.tracker.committed(call, &Commit::Ambiguous, NOW);
    instance.tracker.end(1, &Outcome::Expired { started: false }, NOW);
    instance.run(&mut table, NOW);
    assert!(instance.tracker.is_idle());
    assert!(matches!(table.transact(&late), Commit::Conflict(_)));
    assert_eq!(table.record("claims/halvern/a"), None);
    assert!(instance.verdicts.is_empty());
}

// A claim abandoned while its write is in flight must be deleted from the table and not be granted.
#[test]
fn end_releases_abandoned_claim() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, transaction) = instance.take_commit();
    let result = table.transact(&transaction);
    instance.tracker.end(1, &Outcome::Expired { started: false }, NOW);
    instance.tracker.committed(call, &result, NOW);
    instance.run(&mut table, NOW);
    assert!(instance.verdicts.is_empty());
    assert_eq!(table.record("claims/halvern/a"), None);
    assert!(instance.tracker.is_idle());
}

// A job that has ended must not run again: a resubmission gets the stored outcome.
#[test]
fn claim_settled_row_returns_outcome() {
    let failure = Failure {
        task: 3,
        step: Step::Run,
        target: Some("t1".parse().unwrap()),
        message: "disk full".into(),
    };
    let outcomes = [
        complete(&[b"{\"seat\":1}", b"", &[0xff, 0x00]]),
        Outcome::Failed(failure.clone()),
        Outcome::Unknown(failure),
        Outcome::Expired { started: true },
        Outcome::Cancelled { started: true },
    ];
    for outcome in outcomes {
        let mut table = Table::default();
        let mut first = Instance::new("e1");
        first.claim(1, "a", NOW);
        first.run(&mut table, NOW);
        assert_eq!(first.take_verdict(), (1, Verdict::Granted));
        first.tracker.end(1, &outcome, NOW);
        first.run(&mut table, after(10_000));
        assert!(first.tracker.is_idle());
        let mut second = Instance::new("e2");
        second.claim(9, "a", after(20_000));
        second.run(&mut table, after(20_000));
        assert_eq!(second.take_verdict(), (9, Verdict::Duplicate(outcome.into())));
        assert!(second.tracker.is_idle());
    }
}

// Large answers are not stored in the row, so that rows stay small. A resubmission gets them from
// the owner, or an unknown outcome if the owner is gone.
#[test]
fn claim_large_answers_come_from_owner() {
    let large = complete(&[&[b'x'; 10_000], &[b'y'; 10_000]]);
    let mut table = Table::default();
    let mut first = Instance::new("e1");
    first.claim(1, "a", NOW);
    first.run(&mut table, NOW);
    first.tracker.end(1, &large, NOW);
    first.run(&mut table, after(10_000));
    assert!(table.row("claims/halvern/a").value.unwrap().len() < 1_000);

    let mut second = Instance::new("e2");
    second.claim(9, "a", after(20_000));
    second.run(&mut table, after(20_000));
    let (call, job) = second.take_owner_query();
    assert_eq!(job.to_string(), "e1.1");
    let large = Arc::new(large);
    second.tracker.owner_replied(call, &Reply::Final(large.clone()), after(20_000));
    second.poll(after(20_000));
    assert_eq!(second.take_verdict(), (9, Verdict::Duplicate(large)));

    let mut third = Instance::new("e3");
    third.claim(9, "a", after(20_000));
    third.run(&mut table, after(20_000));
    let (call, _) = third.take_owner_query();
    third.tracker.owner_replied(call, &Reply::Gone, after(20_000));
    third.run(&mut table, after(20_000));
    let (_, Verdict::Unknown(message)) = third.take_verdict() else { panic!("not unknown") };
    assert!(message.contains("completed") && message.contains("20000 bytes"), "{message}");
}

// While the first owner lives, a resubmission must not run; it gets the owner's outcome.
#[test]
fn claim_held_row_waits_for_owner() {
    let mut table = Table::default();
    let mut first = Instance::new("e1");
    first.claim(1, "a", NOW);
    first.run(&mut table, NOW);
    let mut second = Instance::new("e2");
    second.claim(9, "a", NOW);
    second.run(&mut table, NOW);
    let (call, job) = second.take_owner_query();
    assert_eq!(job.to_string(), "e1.1");
    assert!(second.verdicts.is_empty());
    assert!(second.tracker.is_contested(9));
    let outcome = Arc::new(complete(&[b"1"]));
    second.tracker.owner_replied(call, &Reply::Final(outcome.clone()), NOW);
    second.poll(NOW);
    assert_eq!(second.take_verdict(), (9, Verdict::Duplicate(outcome)));
    assert_eq!(table.record("claims/halvern/a").unwrap().owner.as_str(), "e1");
}

// A request refused by its first owner must be able to run at another instance.
#[test]
fn claim_refused_by_owner_is_taken_over() {
    let mut table = Table::default();
    let mut first = Instance::new("e1");
    first.claim(1, "a", NOW);
    first.run(&mut table, NOW);
    let mut second = Instance::new("e2");
    second.claim(9, "a", NOW);
    second.run(&mut table, NOW);
    let (call, _) = second.take_owner_query();
    second.tracker.owner_replied(call, &Reply::Final(not_run().into()), NOW);
    second.run(&mut table, NOW);
    assert_eq!(second.take_verdict(), (9, Verdict::Granted));
    assert_eq!(table.record("claims/halvern/a").unwrap().owner.as_str(), "e2");
    // The first owner ends its claim late and must not delete the new owner's row.
    first.tracker.end(1, &not_run(), after(10_000));
    first.run(&mut table, after(10_000));
    assert!(first.tracker.is_idle());
    assert_eq!(table.record("claims/halvern/a").unwrap().owner.as_str(), "e2");
}

// After the owner has died, a resubmission must not run. It gets the outcome if the owner settled
// the row before, and an unknown outcome otherwise.
#[test]
fn claim_owner_gone() {
    for is_settled in [false, true] {
        let mut table = Table::default();
        let mut first = Instance::new("e1");
        first.claim(1, "a", NOW);
        first.run(&mut table, NOW);
        let mut second = Instance::new("e2");
        second.claim(9, "a", NOW);
        second.run(&mut table, NOW);
        let (call, _) = second.take_owner_query();
        if is_settled {
            first.tracker.end(1, &complete(&[b"1"]), after(10_000));
            first.run(&mut table, after(10_000));
        }
        second.tracker.owner_replied(call, &Reply::Gone, after(20_000));
        second.run(&mut table, after(20_000));
        match second.take_verdict() {
            (9, Verdict::Duplicate(outcome)) if is_settled => {
                assert_eq!(*outcome, complete(&[b"1"]));
            }
            (9, Verdict::Unknown(message)) if !is_settled => {
                assert!(message.contains("e1.1"), "{message}");
            }
            other => panic!("settled {is_settled}: {other:?}"),
        }
        assert!(second.tracker.is_idle());
    }
}

// Claims must be refused without waiting while the platform is known to be down.
#[test]
fn claim_platform_down_is_refused_at_once() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    assert!(instance.claim(1, "a", NOW));
    instance.poll(NOW);
    let (call, _) = instance.take_commit();
    instance.claim(2, "b", NOW);
    instance.tracker.committed(call, &Commit::Unavailable, NOW);
    instance.poll(NOW);
    instance.verdicts.sort_by_key(|(sequence, _)| *sequence);
    assert_eq!(instance.take_verdict(), (1, Verdict::Unavailable));
    assert_eq!(instance.take_verdict(), (2, Verdict::Unavailable));
    assert!(!instance.tracker.is_available());
    assert!(!instance.claim(3, "c", after(10)));
    instance.poll(after(10));
    assert!(instance.actions.is_empty(), "the probe came too early");
    // The next probe finds the platform up again.
    let end = instance.run(&mut table, after(1_000));
    assert!(instance.tracker.is_available());
    assert!(instance.claim(4, "c", end));
    instance.run(&mut table, end);
    assert_eq!(instance.take_verdict(), (4, Verdict::Granted));
}

// Claims that keep arriving must not add probes of a platform that stays down.
#[test]
fn poll_probes_rarely_while_down() {
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, _) = instance.take_commit();
    instance.tracker.committed(call, &Commit::Ambiguous, NOW);
    let mut calls = 0;
    for millis in 0..10_000 {
        let now = after(millis);
        instance.claim(millis + 2, &format!("r{millis}"), now);
        instance.poll(now);
        for action in std::mem::take(&mut instance.actions) {
            calls += 1;
            match action {
                Action::Read { call, .. } => instance.tracker.read(call, &Read::Unavailable, now),
                other => panic!("only reads may probe: {other:?}"),
            }
        }
    }
    assert!(calls <= 11, "{calls} calls in 10 s");
}

// A platform call whose result is never reported must not block later claims.
#[test]
fn poll_gives_up_on_silent_call() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, transaction) = instance.take_commit();
    instance.poll(after(1_999));
    assert!(instance.actions.is_empty());
    instance.run(&mut table, after(2_000));
    assert_eq!(instance.take_verdict(), (1, Verdict::Granted));
    // The late result of the first call is ignored.
    instance.tracker.committed(call, &table.transact(&transaction), after(9_000));
    instance.run(&mut table, after(9_000));
    assert!(instance.verdicts.is_empty());
}

// A request id reused for other tasks must not return the answer to the first job.
#[test]
fn claim_reused_request() {
    let mut table = Table::default();
    let mut first = Instance::new("e1");
    first.claim(1, "a", NOW);
    first.run(&mut table, NOW);
    let mut second = Instance::new("e2");
    second.claim_with(9, "a", 8, NOW);
    second.run(&mut table, NOW);
    assert_eq!(second.take_verdict(), (9, Verdict::Reused));
}

// A resubmission at the same instance must not run while the first job runs or its outcome is not
// in the table yet.
#[test]
fn claim_unsettled_job_here() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.run(&mut table, NOW);
    assert_eq!(instance.take_verdict(), (1, Verdict::Granted));
    instance.claim(2, "a", NOW);
    instance.poll(NOW);
    assert!(matches!(instance.take_verdict(), (2, Verdict::Unknown(_))));
    let outcome = complete(&[b"1"]);
    instance.tracker.end(1, &outcome, NOW);
    instance.claim(3, "a", NOW);
    instance.poll(NOW);
    assert_eq!(instance.take_verdict(), (3, Verdict::Duplicate(outcome.into())));
}

// Expiry must delete claims after their retention and no other rows.
#[test]
fn expiry_deletes_only_expired_claims() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.run(&mut table, NOW);
    table.rows.insert("claims/halvern/other".into(), (1, Some("not a claim".into())));
    let rows: Vec<Row> = table.rows.keys().map(|key| table.row(key)).collect();
    let expires = after(60_000 + 24 * 3_600 * 1_000);
    let just_before = Timestamp::from_micros(expires.as_micros() - 1);
    assert!(expiry(&rows, 10, just_before).writes.is_empty());
    let transaction = expiry(&rows, 10, expires);
    assert_eq!(transaction.writes.len(), 1);
    assert_eq!(transaction.writes[0].key, "claims/halvern/a");
    // A new job may claim an expired row that has not been deleted.
    let mut second = Instance::new("e2");
    second.claim_with(9, "a", 8, expires);
    second.run(&mut table, expires);
    assert_eq!(second.take_verdict(), (9, Verdict::Granted));
}

// Answers up to the bound are stored, larger ones are omitted.
#[test]
fn stored_bounds_answers() {
    let bound = Bytes::new(16_384);
    let at = Stored::new(&complete(&[&[0; 16_000], &[0; 384]]), bound).unwrap();
    assert!(matches!(at, Stored::Complete(_)));
    let above = Stored::new(&complete(&[&[0; 16_000], &[0; 385]]), bound).unwrap();
    assert_eq!(above, Stored::CompleteOmitted { bytes: 16_385 });
    assert_eq!(Stored::new(&not_run(), bound), None);
}

// Jobs whose bytes are the same but split or ordered differently must have different digests.
#[test]
fn digest_tells_jobs_apart() {
    let job = |tasks: &[(&str, &str)]| Submission {
        team: "halvern".parse().unwrap(),
        request: None,
        deadline: NOW,
        tasks: tasks
            .iter()
            .map(|(kind, payload)| Task {
                kind: kind.parse().unwrap(),
                payload: payload.as_bytes().into(),
                declared: None,
                demand: Resources::default(),
            })
            .collect(),
        trace: None,
    };
    let mut digests: Vec<u64> = [
        &[("a", "bc")] as &[(&str, &str)],
        &[("ab", "c")],
        &[("a", "b"), ("a", "c")],
        &[("a", "c"), ("a", "b")],
        &[("a", ""), ("a", "bc")],
        &[("a", "bc"), ("a", "")],
    ]
    .iter()
    .map(|tasks| digest(&job(tasks)))
    .collect();
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), 6);
}

// The text of a row must not change, or rows written by other versions could not be read.
#[test]
fn record_text_is_stable() {
    let text = r#"{"nonce":5,"owner":"e1","job":"e1.3","digest":9,"expires_at":77,"state":{"settled":{"complete":[{"utf8":"{}"},{"base64":"/wA="}]}}}"#;
    let record = Record::from_text(text).unwrap();
    assert_eq!(record.to_text(), text);
    let State::Settled(stored) = record.state else { panic!("not settled") };
    assert_eq!(stored.outcome(), Some(complete(&[b"{}", &[0xff, 0x00]])));
}
