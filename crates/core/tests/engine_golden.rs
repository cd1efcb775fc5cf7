//! Golden tests: transcripts of whole sessions of one engine, with all events and commands.
//!
//! Each transcript is compared with a file in `tests/golden`. A line with `>` is an event, a line
//! with `<` is a command that followed from it, and the number is the time in milliseconds since
//! the start. `UPDATE_GOLDEN=1 cargo test -p verbenapass --test engine_golden` rewrites the files.

mod engine_support;

use engine_support::{Driver, INITIAL_TIME, bytes, committed, job, target};
use std::fmt::Write;
use std::path::PathBuf;
use verbenapass::claim::{Commit, Read, Row, Transaction};
use verbenapass::engine::{Command, Event, OwnerReply};
use verbenapass::id;
use verbenapass::job::{Status, Submission};
use verbenapass::outcome::{Failure, Outcome, Step};
use verbenapass::start::{self, NotRun};
use verbenapass::time::Timestamp;

/// A session with its transcript so far.
struct Session {
    driver: Driver,
    text: String,
    starts: Vec<id::Start>,
    commits: Vec<(id::Call, Transaction)>,
    calls: Vec<id::Call>,
}

impl Session {
    fn new(targets: &[(&str, u32)]) -> Self {
        let targets = targets.iter().map(|(name, slots)| target(name, *slots)).collect();
        Self {
            driver: Driver::new(targets),
            text: String::new(),
            starts: Vec::new(),
            commits: Vec::new(),
            calls: Vec::new(),
        }
    }

    fn write_line(&mut self, direction: char, text: &str) {
        let micros = self.driver.now.since(INITIAL_TIME).get();
        writeln!(self.text, "{:>9}.{:03} {direction} {text}", micros / 1_000, micros % 1_000)
            .expect("writing to a string does not fail");
    }

    fn handle(&mut self, event: Event) {
        let text = event_text(&event);
        self.write_line('>', &text);
        self.driver.handle(event);
        self.record_commands();
    }

    fn record_commands(&mut self) {
        for command in std::mem::take(&mut self.driver.out) {
            let text = command_text(&command);
            self.write_line('<', &text);
            match command {
                Command::Start(order) => self.starts.push(order.start),
                Command::CommitClaims { call, transaction, .. } => {
                    self.commits.push((call, transaction));
                }
                Command::ReadClaims { call, .. } | Command::QueryOwner { call, .. } => {
                    self.calls.push(call);
                }
                _ => {}
            }
        }
    }

    /// Advances the clock, with a tick whenever one is due.
    fn pass(&mut self, millis: u64) {
        let end = self.driver.after(millis);
        while let Some(due) = self.driver.engine.next_deadline().filter(|due| *due <= end) {
            self.driver.now = self.driver.now.max(due);
            self.driver.engine.tick(self.driver.now, &mut self.driver.out);
            self.record_commands();
        }
        self.driver.now = end;
    }

    fn submit(&mut self, caller: u64, wait: bool, submission: Submission) {
        self.handle(Event::Submit { caller: id::Caller::new(caller), wait, submission });
    }

    fn submit_tasks(&mut self, caller: u64, tasks: usize, millis: u64) {
        let submission = job(&vec!["seat-hold"; tasks], self.driver.after(millis));
        self.submit(caller, true, submission);
    }

    fn submit_claimed(&mut self, caller: u64, request: &str, millis: u64) {
        let mut submission = job(&["intake-confirmation"], self.driver.after(millis));
        submission.request = Some(request.parse().unwrap());
        self.submit(caller, true, submission);
    }

    fn answer(&mut self, number: usize, result: start::Result) {
        let start = self.starts[number];
        self.handle(Event::Answered { start, result });
    }

    fn complete(&mut self, number: usize, answer: &str) {
        self.answer(number, start::Result::Answered(bytes(answer)));
    }

    fn commit(&mut self) {
        let (call, transaction) = self.commits.remove(0);
        let result = committed(&transaction);
        self.handle(Event::ClaimCommitted { call, result });
    }

    fn cancel(&mut self, caller: u64, job: &str) {
        let (caller, team) = (id::Caller::new(caller), "halvern".parse().unwrap());
        self.handle(Event::Cancel { caller, team, job: job.parse().unwrap() });
    }

    /// Compares the transcript with the golden file of this name, or rewrites the file.
    fn check(&self, name: &str) {
        let mut path = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
        path.push(format!("tests/golden/{name}.txt"));
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            std::fs::create_dir_all(path.parent().unwrap()).unwrap();
            std::fs::write(&path, &self.text).unwrap();
            return;
        }
        let expected = std::fs::read_to_string(&path).unwrap();
        assert_eq!(self.text, expected, "{name} differs from {}", path.display());
    }
}

fn time_text(at: Timestamp) -> String {
    format!("+{}ms", at.since(INITIAL_TIME).get() / 1_000)
}

fn answer_text(answer: &[u8]) -> String {
    format!("{:?}", String::from_utf8_lossy(answer))
}

fn failure_text(failure: &Failure) -> String {
    let target = failure.target.as_ref().map_or("none", id::Target::as_str);
    format!("task {} step {} target {target}: {}", failure.task, failure.step, failure.message)
}

fn outcome_text(outcome: &Outcome) -> String {
    let code = outcome.code();
    match outcome {
        Outcome::Complete(answers) => {
            let answers: Vec<String> = answers.iter().map(|answer| answer_text(answer)).collect();
            format!("{code} {}", answers.join(" "))
        }
        Outcome::Failed(failure) | Outcome::Unknown(failure) => {
            format!("{code} {}", failure_text(failure))
        }
        Outcome::Refused { reason, retry_at } => {
            format!("{code} {reason} retry {}", time_text(*retry_at))
        }
        Outcome::Expired { started } | Outcome::Cancelled { started } => {
            format!("{code} started {started}")
        }
    }
}

fn status_text(status: &Status) -> String {
    match status {
        Status::Accepted => "accepted".into(),
        Status::Running => "running".into(),
        Status::Final(outcome) => outcome_text(outcome),
        Status::NotFound => "not found".into(),
        Status::Invalid(invalid) => format!("invalid {}: {invalid}", invalid.code()),
    }
}

fn result_text(result: &start::Result) -> String {
    match result {
        start::Result::Answered(answer) => format!("answered {}", answer_text(answer)),
        start::Result::NotRun(reason) => format!("not run {reason:?}"),
        start::Result::Failed { step, message } => format!("failed {step}: {message}"),
        start::Result::Unknown { step, message } => format!("unknown {step}: {message}"),
        start::Result::Running => "running".into(),
        start::Result::Unreachable => "unreachable".into(),
    }
}

fn row_text(row: &Row) -> String {
    let value = row.value.as_deref().unwrap_or("none");
    format!("{} version {} {value}", row.key, row.version)
}

fn commit_text(result: &Commit) -> String {
    match result {
        Commit::Committed(rows) | Commit::Conflict(rows) => {
            let word =
                if matches!(result, Commit::Committed(_)) { "committed" } else { "conflict" };
            let rows: Vec<String> = rows.iter().map(row_text).collect();
            format!("{word} {}", rows.join(", "))
        }
        Commit::Ambiguous => "ambiguous".into(),
        Commit::Unavailable => "unavailable".into(),
    }
}

fn event_text(event: &Event) -> String {
    match event {
        Event::Submit { caller, wait, submission } => {
            let kinds: Vec<&str> = submission.tasks.iter().map(|task| task.kind.as_str()).collect();
            let request = submission.request.as_ref().map_or("none", id::Request::as_str);
            format!(
                "submit caller {caller} wait {wait} team {} request {request} deadline {} tasks {}",
                submission.team,
                time_text(submission.deadline),
                kinds.join(" ")
            )
        }
        Event::Query { caller, team, job, wait } => {
            format!("query caller {caller} team {team} job {job} wait {wait}")
        }
        Event::Cancel { caller, team, job } => {
            format!("cancel caller {caller} team {team} job {job}")
        }
        Event::Hangup { caller } => format!("hangup caller {caller}"),
        Event::Answered { start, result } => format!("start {start} {}", result_text(result)),
        Event::Observed { target, busy } => format!("target {target} busy {busy}"),
        Event::ClaimCommitted { call, result } => format!("call {call} {}", commit_text(result)),
        Event::ClaimRead { call, result: Read::Rows(rows) } => {
            let rows: Vec<String> = rows.iter().map(row_text).collect();
            format!("call {call} rows {}", rows.join(", "))
        }
        Event::ClaimRead { call, result: Read::Unavailable } => format!("call {call} unavailable"),
        Event::OwnerReplied { call, reply: OwnerReply::Status(status) } => {
            format!("call {call} owner says {}", status_text(status))
        }
        Event::OwnerReplied { call, reply: OwnerReply::Unreachable } => {
            format!("call {call} owner unreachable")
        }
        Event::OwnerReplied { call, reply: OwnerReply::Gone } => format!("call {call} owner gone"),
        Event::Listed { targets, peers, .. } => {
            let targets: Vec<&str> = targets.iter().map(|target| target.id.as_str()).collect();
            let peers: Vec<&str> = peers.iter().map(|peer| peer.id.as_str()).collect();
            format!("list targets {} peers {}", targets.join(" "), peers.join(" "))
        }
        Event::Reported(report) => format!("report of {}", report.from),
        Event::Configured(_) => "settings".into(),
        Event::Drain => "drain".into(),
    }
}

fn command_text(command: &Command) -> String {
    match command {
        Command::Start(order) => format!(
            "start {} job {} task {} kind {} target {} deadline {}",
            order.start,
            order.job,
            order.task,
            order.kind,
            order.target,
            time_text(order.deadline)
        ),
        Command::Respond { caller, job, status } => {
            let job = job.as_ref().map_or("none".into(), id::Job::to_string);
            format!("respond caller {caller} job {job} {}", status_text(status))
        }
        Command::CommitClaims { call, transaction, deadline } => {
            let mut text = format!("commit call {call} deadline {}", time_text(*deadline));
            for (condition, write) in transaction.conditions.iter().zip(&transaction.writes) {
                let value = write.value.as_deref().unwrap_or("none");
                write!(text, " {} if version {} {value}", write.key, condition.version)
                    .expect("writing to a string does not fail");
            }
            text
        }
        Command::ReadClaims { call, keys, deadline } => {
            format!("read call {call} deadline {} {}", time_text(*deadline), keys.join(" "))
        }
        Command::QueryOwner { call, team, job, deadline } => {
            format!("ask owner call {call} team {team} job {job} until {}", time_text(*deadline))
        }
        Command::QueryStart { start, target, deadline, .. } => {
            format!("ask target {target} about start {start} until {}", time_text(*deadline))
        }
        Command::SendReport { to, .. } => format!("report to {} peers", to.len()),
    }
}

// A session in which answers arrive out of order, a start is refused and an answer arrives twice.
#[test]
fn golden_complete() {
    let mut session = Session::new(&[("t1", 1), ("t2", 2)]);
    session.submit_tasks(1, 3, 2_000);
    session.pass(20);
    session.complete(2, "third");
    session.answer(1, start::Result::NotRun(NotRun::Busy));
    session.pass(30);
    session.complete(0, "first");
    session.pass(5);
    session.complete(3, "second");
    session.complete(3, "second");
    session.check("complete");
}

// A session in which a task fails while others of its job are in flight and queued.
#[test]
fn golden_failed() {
    let mut session = Session::new(&[("t1", 2)]);
    session.submit_tasks(1, 4, 2_000);
    session.pass(20);
    let (step, message) = (Step::Run, "status 500".into());
    session.answer(0, start::Result::Failed { step, message });
    session.pass(20);
    session.complete(1, "late");
    session.submit_tasks(2, 1, 2_000);
    let oversized = start::Result::Answered(vec![b'x'; 101].into());
    session.answer(2, oversized);
    session.check("failed");
}

// A session in which nothing can run: targets and platform are unreachable, then the instance
// drains.
#[test]
fn golden_refused() {
    let mut session = Session::new(&[("t1", 1)]);
    session.submit_tasks(1, 1, 5_000);
    for attempt in 0..3 {
        session.pass(1);
        session.answer(attempt, start::Result::NotRun(NotRun::ConnectFailed));
    }
    session.submit_tasks(2, 1, 5_000);
    session.pass(2_000);
    session.submit_claimed(3, "a", 5_000);
    let (call, _) = session.commits.remove(0);
    session.handle(Event::ClaimCommitted { call, result: Commit::Unavailable });
    session.submit_claimed(4, "b", 5_000);
    session.handle(Event::Drain);
    session.pass(5_000);
    session.submit_tasks(5, 1, 5_000);
    session.check("refused");
}

// A session in which deadlines pass before a start, after a start, and while a claim is pending
// that takes effect later.
#[test]
fn golden_expired() {
    let mut session = Session::new(&[("t1", 1)]);
    session.submit_tasks(1, 1, 6_000);
    session.submit_tasks(2, 1, 200);
    session.submit_claimed(3, "a", 500);
    session.pass(600);
    session.commit();
    session.pass(500);
    session.commit();
    session.pass(6_000);
    session.check("expired");
}

// A session in which a running and a queued job are cancelled.
#[test]
fn golden_cancelled() {
    let mut session = Session::new(&[("t1", 1)]);
    session.submit_tasks(1, 2, 2_000);
    let submission = job(&["seat-hold"], session.driver.after(2_000));
    session.submit(2, false, submission);
    session.pass(10);
    session.cancel(3, "e1.2");
    session.cancel(4, "e1.1");
    session.pass(10);
    session.complete(0, "late");
    session.cancel(5, "e1.1");
    session.check("cancelled");
}

// A session in which a connection breaks, the target of a start without a result is queried, and a
// claim belongs to an instance that is gone.
#[test]
fn golden_unknown() {
    let mut session = Session::new(&[("t1", 1)]);
    session.submit_tasks(1, 2, 2_000);
    session.pass(20);
    let (step, message) = (Step::Receive, "connection reset".into());
    session.answer(0, start::Result::Unknown { step, message });
    session.submit_tasks(2, 1, 9_000);
    session.pass(6_000);
    let (step, message) = (Step::Receive, "start is not known".into());
    session.answer(1, start::Result::Unknown { step, message });
    session.submit_claimed(3, "a", 5_000);
    let (call, transaction) = session.commits.remove(0);
    let text = transaction.writes[0].value.clone().unwrap().replace("e1", "e9");
    let row = Row {
        key: transaction.writes[0].key.clone(),
        version: id::Version::new(4),
        value: Some(text),
    };
    session.handle(Event::ClaimCommitted { call, result: Commit::Conflict(vec![row.clone()]) });
    let call = session.calls.remove(0);
    session.handle(Event::OwnerReplied { call, reply: OwnerReply::Gone });
    let call = session.calls.remove(0);
    session.handle(Event::ClaimRead { call, result: Read::Rows(vec![row]) });
    session.check("unknown");
}
