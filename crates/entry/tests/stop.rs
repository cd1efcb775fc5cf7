//! Graceful shutdown of the process on a signal.

mod common;

use common::{
    Action, Answer, Gate, ONE_TASK, Platform, Server, authorization, call, platform, submit,
    success_response, wait_until,
};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// An entry process, killed when dropped.
struct Process {
    child: Child,
    address: SocketAddr,
    _directory: tempfile::TempDir,
}

impl Process {
    fn start(platform: &Platform) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("entry.yaml");
        let settings = format!(
            "name: entry-1\ndata_centre: north\ncaller_address: 127.0.0.1:0\n\
             peer_address: 127.0.0.1:0\nplatform_address: {}\npoll_interval_ms: 10\n\
             stop: {{balancer_lag_ms: 0}}\n",
            platform.server.address
        );
        std::fs::write(&file, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_verbenapass-entry"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let started = lines
            .by_ref()
            .map(|line| serde_json::from_str::<serde_json::Value>(&line.unwrap()).unwrap())
            .find(|record| record["msg"] == "daemon: started")
            .unwrap();
        // Reads the pipe to its end; a full pipe would block the process.
        std::thread::spawn(move || lines.for_each(drop));
        let address = started["caller_address"].as_str().unwrap().parse().unwrap();
        wait_until("ready", || call(address, "GET", "/readyz", &[], &[]).status == 200);
        Self { child, address, _directory: directory }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    fn wait_stopping(&self) {
        wait_until("not ready", || call(self.address, "GET", "/readyz", &[], &[]).status == 503);
    }

    fn exit_code(&mut self) -> Option<i32> {
        let mut status = None;
        wait_until("exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a target that answers only after the gate is opened.
fn blocked_target() -> (Server, Gate) {
    let gate = Gate::default();
    let task_gate = gate.clone();
    let target = Server::start(move |request, _| {
        task_gate.wait();
        Action::Reply(success_response(request))
    });
    (target, gate)
}

fn get(address: SocketAddr, job: &str) -> Answer {
    let authorization = authorization();
    let headers = [("authorization", authorization.as_str())];
    call(address, "GET", &format!("/v1/jobs/{job}"), &headers, &[])
}

/// Guards against a shutdown that aborts a request in progress, also when the signal is repeated,
/// and against a job that a stopping instance accepts.
#[test]
fn stop_request_in_progress() {
    let (target, gate) = blocked_target();
    let platform = platform(&[target.address]);
    let mut process = Process::start(&platform);
    let address = process.address;
    let caller = std::thread::spawn(move || submit(address, ONE_TASK));
    wait_until("the task runs", || target.seen().len() == 1);

    process.signal(Signal::TERM);
    process.wait_stopping();
    let refused = submit(address, ONE_TASK);
    assert_eq!(refused.code(), "refused");
    assert_eq!(refused.json()["refusal"]["reason"], "stopping");
    assert!(refused.headers.contains_key("retry-after"));
    process.signal(Signal::TERM);
    process.signal(Signal::INT);

    assert!(process.child.try_wait().unwrap().is_none(), "ended with a request in progress");
    gate.open();
    assert_eq!(caller.join().unwrap().code(), "complete");
    assert_eq!(process.exit_code(), Some(0));
}

/// Guards against a process that exits before a caller that did not wait has fetched the result.
#[test]
fn stop_unfetched_result() {
    let (target, gate) = blocked_target();
    let platform = platform(&[target.address]);
    let mut process = Process::start(&platform);
    let body = ONE_TASK.replace("\"timeout_ms\"", "\"wait\": false, \"timeout_ms\"");
    let accepted = submit(process.address, &body);
    assert_eq!(accepted.status, 202);
    let job = accepted.json()["job"].as_str().unwrap().to_owned();
    process.signal(Signal::INT);
    process.wait_stopping();
    assert_eq!(get(process.address, &job).code(), "running");
    gate.open();
    let mut answer = get(process.address, &job);
    wait_until("the job is final", || {
        if answer.status == 202 {
            answer = get(process.address, &job);
        }
        answer.status != 202
    });
    assert_eq!(answer.code(), "complete");
    assert_eq!(process.exit_code(), Some(0));
}

/// Guards against a process that does not exit although it has no jobs.
#[test]
fn stop_idle() {
    let platform = platform(&[]);
    let mut process = Process::start(&platform);
    process.signal(Signal::TERM);
    assert_eq!(process.exit_code(), Some(0));
}
