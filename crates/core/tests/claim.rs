//! Claims against a table with faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use verbenapass::claim::{
    Action, Claim, Commit, Key, Options, Read, Record, Reply, Row, State, Stored, Tracker,
    Transaction, Verdict, digest, expiry,
};
use verbenapass::id;
use verbenapass::job::{Demand, Submission, Task};
use verbenapass::outcome::{Failure, Outcome, Refusal, Step};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Millis};

const NOW: Timestamp = Timestamp::from_micros(1_000_000_000);

fn after(millis: u64) -> Timestamp {
    NOW.plus(Millis::new(millis))
}

/// The platform's table.
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

/// A book with what it has emitted.
struct Instance {
    book: Tracker,
    actions: Vec<Action>,
    verdicts: Vec<(u64, Verdict)>,
}

impl Instance {
    fn new(name: &str) -> Self {
        let book = Tracker::new(Options::new(name.parse().unwrap()));
        Self { book, actions: Vec::new(), verdicts: Vec::new() }
    }

    fn claim(&mut self, sequence: u64, request: &str, now: Timestamp) -> bool {
        self.claim_with(sequence, request, 7, now)
    }

    fn claim_with(&mut self, sequence: u64, request: &str, digest: u64, now: Timestamp) -> bool {
        let nonce = id::Nonce::new(sequence + 100);
        let deadline = after(60_000);
        self.book.claim(key(request), Claim { sequence, nonce, digest, deadline }, now)
    }

    fn poll(&mut self, now: Timestamp) {
        self.book.poll(now, &mut self.actions, &mut self.verdicts);
    }

    fn take_commit(&mut self) -> (id::Call, Transaction) {
        match self.actions.remove(0) {
            Action::Commit { call, transaction, .. } => (call, transaction),
            other => panic!("not a commit: {other:?}"),
        }
    }

    fn take_ask(&mut self) -> (id::Call, id::Job) {
        match self.actions.remove(0) {
            Action::Ask { call, job, .. } => (call, job),
            other => panic!("not a question: {other:?}"),
        }
    }

    fn take_verdict(&mut self) -> (u64, Verdict) {
        self.verdicts.remove(0)
    }

    /// Carries out all calls of the platform, without faults, until the book is quiet.
    fn run(&mut self, table: &mut Table, mut now: Timestamp) -> Timestamp {
        for _ in 0..20 {
            self.poll(now);
            let (calls, others) = std::mem::take(&mut self.actions)
                .into_iter()
                .partition(|action| !matches!(action, Action::Ask { .. }));
            self.actions = others;
            for action in calls {
                match action {
                    Action::Commit { call, transaction, .. } => {
                        let result = table.transact(&transaction);
                        self.book.committed(call, &result, now);
                    }
                    Action::Read { call, keys, .. } => {
                        self.book.read(call, &table.read(&keys), now);
                    }
                    Action::Ask { .. } => unreachable!("partitioned off"),
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

// Guards against one transaction for each claim.
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
    assert!(instance.actions.is_empty(), "a second transaction is outstanding");
    instance.book.committed(call, &table.transact(&transaction), after(10));
    instance.poll(after(249));
    assert!(instance.actions.is_empty(), "the interval between transactions is too short");
    assert_eq!(instance.book.next_deadline(), Some(after(250)));
    instance.poll(after(250));
    let (call, transaction) = instance.take_commit();
    assert_eq!(transaction.writes.len(), 48);
    instance.book.committed(call, &table.transact(&transaction), after(260));
    instance.poll(after(260));
    let granted = instance.verdicts.iter().filter(|(_, verdict)| *verdict == Verdict::Granted);
    assert_eq!(granted.count(), 49);
}

// Guards against a claim that is lost, or written twice, when the reply to the write is lost.
#[test]
fn committed_ambiguous_write_took_effect() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, transaction) = instance.take_commit();
    table.transact(&transaction);
    instance.book.committed(call, &Commit::Ambiguous, NOW);
    instance.poll(NOW);
    assert!(instance.verdicts.is_empty(), "an ambiguous write must not grant");
    instance.run(&mut table, NOW);
    assert_eq!(instance.take_verdict(), (1, Verdict::Granted));
    assert_eq!(table.row("claims/halvern/a").version, id::Version::new(1));
}

// Guards against two owners when an ambiguous write takes effect after it was read as missing.
#[test]
fn committed_ambiguous_write_takes_effect_late() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, late) = instance.take_commit();
    instance.book.committed(call, &Commit::Ambiguous, NOW);
    instance.poll(NOW);
    let Action::Read { call, keys, .. } = instance.actions.remove(0) else { panic!("no read") };
    instance.book.read(call, &table.read(&keys), NOW);
    assert!(matches!(table.transact(&late), Commit::Committed(_)));
    instance.run(&mut table, after(250));
    assert_eq!(instance.take_verdict(), (1, Verdict::Granted));
    assert!(instance.verdicts.is_empty());
}

// Guards against a row that stays claimed because the write of an abandoned claim arrives late.
#[test]
fn end_fences_off_late_write() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, late) = instance.take_commit();
    instance.book.committed(call, &Commit::Ambiguous, NOW);
    instance.book.end(1, &Outcome::Expired { started: false }, NOW);
    instance.run(&mut table, NOW);
    assert!(instance.book.is_idle());
    assert!(matches!(table.transact(&late), Commit::Conflict(_)));
    assert_eq!(table.record("claims/halvern/a"), None);
    assert!(instance.verdicts.is_empty());
}

// Guards against an abandoned claim that stays in the table, or is granted after all.
#[test]
fn end_releases_abandoned_claim() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, transaction) = instance.take_commit();
    let result = table.transact(&transaction);
    instance.book.end(1, &Outcome::Expired { started: false }, NOW);
    instance.book.committed(call, &result, NOW);
    instance.run(&mut table, NOW);
    assert!(instance.verdicts.is_empty());
    assert_eq!(table.record("claims/halvern/a"), None);
    assert!(instance.book.is_idle());
}

// Guards against a second run of a job that has ended.
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
        first.book.end(1, &outcome, NOW);
        first.run(&mut table, after(10_000));
        assert!(first.book.is_idle());
        let mut second = Instance::new("e2");
        second.claim(9, "a", after(20_000));
        second.run(&mut table, after(20_000));
        assert_eq!(second.take_verdict(), (9, Verdict::Duplicate(outcome.into())));
        assert!(second.book.is_idle());
    }
}

// Guards against rows that outgrow the table, and against a wrong answer in place of a large one.
#[test]
fn claim_large_answers_come_from_owner() {
    let large = complete(&[&[b'x'; 10_000], &[b'y'; 10_000]]);
    let mut table = Table::default();
    let mut first = Instance::new("e1");
    first.claim(1, "a", NOW);
    first.run(&mut table, NOW);
    first.book.end(1, &large, NOW);
    first.run(&mut table, after(10_000));
    assert!(table.row("claims/halvern/a").value.unwrap().len() < 1_000);

    let mut second = Instance::new("e2");
    second.claim(9, "a", after(20_000));
    second.run(&mut table, after(20_000));
    let (call, job) = second.take_ask();
    assert_eq!(job.to_string(), "e1.1");
    let large = Arc::new(large);
    second.book.owner_replied(call, &Reply::Final(large.clone()), after(20_000));
    second.poll(after(20_000));
    assert_eq!(second.take_verdict(), (9, Verdict::Duplicate(large)));

    let mut third = Instance::new("e3");
    third.claim(9, "a", after(20_000));
    third.run(&mut table, after(20_000));
    let (call, _) = third.take_ask();
    third.book.owner_replied(call, &Reply::Gone, after(20_000));
    third.run(&mut table, after(20_000));
    let (_, Verdict::Unknown(message)) = third.take_verdict() else { panic!("not unknown") };
    assert!(message.contains("completed") && message.contains("20000 bytes"), "{message}");
}

// Guards against a second run while the first owner lives, and against an answer that is not the
// owner's.
#[test]
fn claim_held_row_waits_for_owner() {
    let mut table = Table::default();
    let mut first = Instance::new("e1");
    first.claim(1, "a", NOW);
    first.run(&mut table, NOW);
    let mut second = Instance::new("e2");
    second.claim(9, "a", NOW);
    second.run(&mut table, NOW);
    let (call, job) = second.take_ask();
    assert_eq!(job.to_string(), "e1.1");
    assert!(second.verdicts.is_empty());
    assert!(second.book.is_contested(9));
    let outcome = Arc::new(complete(&[b"1"]));
    second.book.owner_replied(call, &Reply::Final(outcome.clone()), NOW);
    second.poll(NOW);
    assert_eq!(second.take_verdict(), (9, Verdict::Duplicate(outcome)));
    assert_eq!(table.record("claims/halvern/a").unwrap().owner.as_str(), "e1");
}

// Guards against a request that can never run because its first owner refused it.
#[test]
fn claim_refused_by_owner_is_taken_over() {
    let mut table = Table::default();
    let mut first = Instance::new("e1");
    first.claim(1, "a", NOW);
    first.run(&mut table, NOW);
    let mut second = Instance::new("e2");
    second.claim(9, "a", NOW);
    second.run(&mut table, NOW);
    let (call, _) = second.take_ask();
    second.book.owner_replied(call, &Reply::Final(not_run().into()), NOW);
    second.run(&mut table, NOW);
    assert_eq!(second.take_verdict(), (9, Verdict::Granted));
    assert_eq!(table.record("claims/halvern/a").unwrap().owner.as_str(), "e2");
    // The first owner's release must leave the new owner's row alone.
    first.book.end(1, &not_run(), after(10_000));
    first.run(&mut table, after(10_000));
    assert!(first.book.is_idle());
    assert_eq!(table.record("claims/halvern/a").unwrap().owner.as_str(), "e2");
}

// Guards against a second run after the owner died, and against a wrong "unknown" if it settled.
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
        let (call, _) = second.take_ask();
        if is_settled {
            first.book.end(1, &complete(&[b"1"]), after(10_000));
            first.run(&mut table, after(10_000));
        }
        second.book.owner_replied(call, &Reply::Gone, after(20_000));
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
        assert!(second.book.is_idle());
    }
}

// Guards against jobs that wait for a platform that is known to be down.
#[test]
fn claim_platform_down_is_refused_at_once() {
    let mut table = Table::default();
    let mut instance = Instance::new("e1");
    assert!(instance.claim(1, "a", NOW));
    instance.poll(NOW);
    let (call, _) = instance.take_commit();
    instance.claim(2, "b", NOW);
    instance.book.committed(call, &Commit::Unavailable, NOW);
    instance.poll(NOW);
    instance.verdicts.sort_by_key(|(sequence, _)| *sequence);
    assert_eq!(instance.take_verdict(), (1, Verdict::Unavailable));
    assert_eq!(instance.take_verdict(), (2, Verdict::Unavailable));
    assert!(!instance.book.is_available());
    assert!(!instance.claim(3, "c", after(10)));
    instance.poll(after(10));
    assert!(instance.actions.is_empty(), "the probe came too early");
    // The probe finds the platform up again.
    let end = instance.run(&mut table, after(1_000));
    assert!(instance.book.is_available());
    assert!(instance.claim(4, "c", end));
    instance.run(&mut table, end);
    assert_eq!(instance.take_verdict(), (4, Verdict::Granted));
}

// Guards against a flood of probes of a platform that stays down.
#[test]
fn poll_probes_rarely_while_down() {
    let mut instance = Instance::new("e1");
    instance.claim(1, "a", NOW);
    instance.poll(NOW);
    let (call, _) = instance.take_commit();
    instance.book.committed(call, &Commit::Ambiguous, NOW);
    let mut calls = 0;
    for millis in 0..10_000 {
        let now = after(millis);
        instance.claim(millis + 2, &format!("r{millis}"), now);
        instance.poll(now);
        for action in std::mem::take(&mut instance.actions) {
            calls += 1;
            match action {
                Action::Read { call, .. } => instance.book.read(call, &Read::Unavailable, now),
                other => panic!("only reads may probe: {other:?}"),
            }
        }
    }
    assert!(calls <= 11, "{calls} calls in 10 s");
}

// Guards against a platform call that is never reported and blocks all later claims.
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
    // The late report of the first call changes nothing.
    instance.book.committed(call, &table.transact(&transaction), after(9_000));
    instance.run(&mut table, after(9_000));
    assert!(instance.verdicts.is_empty());
}

// Guards against a request id that silently returns the answer to another job.
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

// Guards against a second run here while the outcome of the first is not in the table yet.
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
    instance.book.end(1, &outcome, NOW);
    instance.claim(3, "a", NOW);
    instance.poll(NOW);
    assert_eq!(instance.take_verdict(), (3, Verdict::Duplicate(outcome.into())));
}

// Guards against a claim that outlives its retention, and against deleting other rows.
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
    // An expired row is free for a new job.
    let mut second = Instance::new("e2");
    second.claim_with(9, "a", 8, expires);
    second.run(&mut table, expires);
    assert_eq!(second.take_verdict(), (9, Verdict::Granted));
}

// Guards against answers just above the bound that are kept, or just below that are not.
#[test]
fn stored_bounds_answers() {
    let bound = Bytes::new(16_384);
    let at = Stored::new(&complete(&[&[0; 16_000], &[0; 384]]), bound).unwrap();
    assert!(matches!(at, Stored::Complete(_)));
    let above = Stored::new(&complete(&[&[0; 16_000], &[0; 385]]), bound).unwrap();
    assert_eq!(above, Stored::CompleteOmitted { bytes: 16_385 });
    assert_eq!(Stored::new(&not_run(), bound), None);
}

// Guards against two jobs with the same bytes in other places that count as the same job.
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
                demand: Demand::default(),
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

// Guards against a change of the row's text that leaves rows of other versions unreadable.
#[test]
fn record_text_is_stable() {
    let text = r#"{"nonce":5,"owner":"e1","job":"e1.3","digest":9,"expires_at":77,"state":{"settled":{"complete":[{"utf8":"{}"},{"base64":"/wA="}]}}}"#;
    let record = Record::from_text(text).unwrap();
    assert_eq!(record.to_text(), text);
    let State::Settled(stored) = record.state else { panic!("not settled") };
    assert_eq!(stored.outcome(), Some(complete(&[b"{}", &[0xff, 0x00]])));
}
