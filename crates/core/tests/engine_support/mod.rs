//! A test driver for one engine.

// Each test binary uses its own part of the driver.
#![allow(dead_code)]

use std::sync::Arc;
use verbenapass::claim;
use verbenapass::engine::{Command, Engine, Event, Options, Peer, Target};
use verbenapass::id;
use verbenapass::job::{Resources, Status, Submission, Task};
use verbenapass::outcome::{Outcome, Refusal, Step};
use verbenapass::settings;
use verbenapass::start::{self, NotRun, Order};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Millis, Slots};

pub const INITIAL_TIME: Timestamp = Timestamp::from_micros(1_000_000_000);

pub const SETTINGS: &str = "
fleet: {credential_sha256: f, result_retention_ms: 60000}
teams:
  halvern:
    credential_sha256: h
    kinds:
      seat-hold: {service: enrol, idempotent: true, max_answer_bytes: 100}
      funding-check: {service: funds, idempotent: true}
      intake-confirmation: {service: enrol, idempotent: false}
  small:
    credential_sha256: s
    max_queued_tasks: 10
    max_queued_bytes: 1000
    kinds:
      seat-hold: {service: enrol, idempotent: true}
  stopped:
    credential_sha256: t
    quota_slots: 0
    kinds:
      seat-hold: {service: enrol, idempotent: true}
";

pub fn tree() -> Arc<settings::Tree> {
    Arc::new(serde_yaml_ng::from_str(SETTINGS).unwrap())
}

/// Returns a target of service `enrol` on its own worker and in its own rack.
pub fn target(name: &str, slots: u32) -> Target {
    Target {
        id: name.parse().unwrap(),
        service: "enrol".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        worker: format!("w-{name}").parse().unwrap(),
        rack: format!("r-{name}").parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: Slots::new(slots),
        memory: Bytes::new(1 << 30),
        accelerators: 0,
        leaving: false,
    }
}

pub fn peer(name: &str) -> Peer {
    Peer {
        id: name.parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        address: "127.0.0.1:2".parse().unwrap(),
        leaving: false,
    }
}

pub fn bytes(text: &str) -> Arc<[u8]> {
    text.as_bytes().into()
}

pub fn job(kinds: &[&str], deadline: Timestamp) -> Submission {
    let task = |kind: &&str| Task {
        kind: kind.parse().unwrap(),
        payload: bytes("{}"),
        declared: None,
        demand: Resources::default(),
    };
    Submission {
        team: "halvern".parse().unwrap(),
        request: None,
        deadline,
        tasks: kinds.iter().map(task).collect(),
        trace: None,
    }
}

/// An engine with a simulated clock and the commands that it has emitted.
pub struct Driver {
    pub engine: Engine,
    pub now: Timestamp,
    pub out: Vec<Command>,
    next_caller: u64,
    /// Revision of the last instance list.
    revision: u64,
}

impl Driver {
    pub fn new(targets: Vec<Target>) -> Self {
        Self::with_options(Self::options(), targets)
    }

    pub fn options() -> Options {
        Options::new("e1".parse().unwrap(), "dc1".parse().unwrap(), 1)
    }

    pub fn with_options(options: Options, targets: Vec<Target>) -> Self {
        let engine = Engine::new(options);
        let mut driver =
            Self { engine, now: INITIAL_TIME, out: Vec::new(), next_caller: 1, revision: 0 };
        driver.handle(Event::Configured(tree()));
        driver.handle(Event::Listed { revision: 0, targets, peers: vec![peer("e1"), peer("e2")] });
        driver
    }

    /// Passes an event to the engine. Each instance list gets the next revision.
    pub fn handle(&mut self, mut event: Event) {
        if let Event::Listed { revision, .. } = &mut event {
            self.revision += 1;
            *revision = self.revision;
        }
        self.engine.handle(event, self.now, &mut self.out);
    }

    /// Advances the clock, with a tick whenever one is due.
    pub fn pass(&mut self, millis: u64) {
        let end = self.now.plus(Millis::new(millis));
        while let Some(due) = self.engine.next_deadline().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.engine.tick(self.now, &mut self.out);
        }
        self.now = end;
    }

    pub fn after(&self, millis: u64) -> Timestamp {
        self.now.plus(Millis::new(millis))
    }

    pub fn submit_with(&mut self, wait: bool, submission: Submission) -> id::Caller {
        let caller = id::Caller::new(self.next_caller);
        self.next_caller += 1;
        self.handle(Event::Submit { caller, wait, submission });
        caller
    }

    pub fn submit(&mut self, submission: Submission) -> id::Caller {
        self.submit_with(true, submission)
    }

    /// Submits a job of `count` tasks of one kind with a deadline in 10 s.
    pub fn submit_tasks(&mut self, kind: &str, count: usize) -> id::Caller {
        let submission = job(&vec![kind; count], self.after(10_000));
        self.submit(submission)
    }

    /// Submits a job that needs a claim, with a deadline in 10 s.
    pub fn submit_claimed(&mut self, request: &str) -> id::Caller {
        let mut submission = job(&["intake-confirmation"], self.after(10_000));
        submission.request = Some(request.parse().unwrap());
        self.submit(submission)
    }

    pub fn answer(&mut self, start: id::Start, result: start::Result) {
        self.handle(Event::Answered { start, result });
    }

    pub fn complete(&mut self, start: id::Start) {
        self.answer(start, start::Result::Answered(bytes("done")));
    }

    pub fn not_run(&mut self, start: id::Start, reason: NotRun) {
        self.answer(start, start::Result::NotRun(reason));
    }

    pub fn fail(&mut self, start: id::Start) {
        self.answer(start, start::Result::Failed { step: Step::Run, message: "broken".into() });
    }

    pub fn lose(&mut self, start: id::Start) {
        self.answer(start, start::Result::Unknown { step: Step::Receive, message: "reset".into() });
    }

    pub fn commit(&mut self, call: id::Call, result: claim::Commit) {
        self.handle(Event::ClaimCommitted { call, result });
    }

    /// Removes and returns the emitted commands that `pick` selects.
    fn take<T>(&mut self, pick: impl Fn(&Command) -> Option<T>) -> Vec<T> {
        let taken = self.out.iter().filter_map(&pick).collect();
        self.out.retain(|command| pick(command).is_none());
        taken
    }

    pub fn starts(&mut self) -> Vec<Order> {
        self.take(|command| match command {
            Command::Start(order) => Some((**order).clone()),
            _ => None,
        })
    }

    pub fn start(&mut self) -> Order {
        let mut starts = self.starts();
        assert_eq!(starts.len(), 1, "{starts:?}");
        starts.remove(0)
    }

    pub fn responses(&mut self) -> Vec<(id::Caller, Option<id::Job>, Status)> {
        self.take(|command| match command {
            Command::Respond { caller, job, status } => {
                Some((*caller, job.clone(), status.clone()))
            }
            _ => None,
        })
    }

    /// Takes the only response, which must be final.
    pub fn outcome(&mut self) -> Outcome {
        let mut responses = self.responses();
        assert_eq!(responses.len(), 1, "{responses:?}");
        match responses.remove(0).2 {
            Status::Final(outcome) => (*outcome).clone(),
            other => panic!("not final: {other:?}"),
        }
    }

    pub fn refusal(&mut self) -> Refusal {
        match self.outcome() {
            Outcome::Refused { reason, .. } => reason,
            other => panic!("not refused: {other:?}"),
        }
    }

    pub fn queries(&mut self) -> Vec<id::Start> {
        self.take(|command| match command {
            Command::QueryStart { start, .. } => Some(*start),
            _ => None,
        })
    }

    pub fn commits(&mut self) -> Vec<(id::Call, claim::Transaction)> {
        self.take(|command| match command {
            Command::CommitClaims { call, transaction, .. } => Some((*call, transaction.clone())),
            _ => None,
        })
    }

    pub fn reads(&mut self) -> Vec<(id::Call, Vec<String>)> {
        self.take(|command| match command {
            Command::ReadClaims { call, keys, .. } => Some((*call, keys.clone())),
            _ => None,
        })
    }

    pub fn owner_queries(&mut self) -> Vec<(id::Call, id::Job)> {
        self.take(|command| match command {
            Command::QueryOwner { call, job, .. } => Some((*call, job.clone())),
            _ => None,
        })
    }
}

/// Returns the result of a transaction that took effect.
pub fn committed(transaction: &claim::Transaction) -> claim::Commit {
    let rows = transaction.conditions.iter().map(|condition| claim::Row {
        key: condition.key.clone(),
        version: condition.version.next(),
        value: None,
    });
    claim::Commit::Committed(rows.collect())
}
