//! Valid, invalid and missing answers of targets.

mod common;

use common::{
    Action, ONE_TASK, Server, platform, response, start, submit, success_response, wait_until,
};
use std::net::TcpListener;

fn start_name(request: &common::Request) -> String {
    request.path.rsplit('/').next().unwrap().into()
}

/// Guards against an answer or a request that is changed on its way.
#[test]
fn submit_complete() {
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    let answer = submit(daemon.caller_address(), ONE_TASK);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.code(), "complete");
    assert_eq!(answer.json()["answers"], serde_json::json!([{"seat": 12}]));
    let seen = target.seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].body, br#"{"seat": 12}"#);
    assert_eq!(seen[0].headers["x-team"], "halvern");
    assert_eq!(seen[0].headers["x-kind"], "seat-hold");
    daemon.stop().unwrap();
}

/// Guards against lost or reordered answers in a job of many tasks.
#[test]
fn submit_many_tasks() {
    let target = Server::start(|request, _| {
        let body = String::from_utf8(request.body.clone()).unwrap();
        Action::Reply(response(200, &[("x-start", &start_name(request))], &body))
    });
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    let tasks: Vec<_> = (0..1_400)
        .map(|index| serde_json::json!({"kind": "seat-hold", "payload": {"seat": index}}))
        .collect();
    let body = serde_json::json!({"timeout_ms": 60000, "tasks": tasks}).to_string();
    let answer = submit(daemon.caller_address(), &body).json();
    let answers = answer["answers"].as_array().unwrap();
    assert_eq!(answers.len(), 1_400);
    for (index, answer) in answers.iter().enumerate() {
        assert_eq!(answer["seat"], index);
    }
    assert_eq!(target.seen().len(), 1_400);
    daemon.stop().unwrap();
}

/// Guards against a wrong outcome after a fault of a target, and against a second start of a task
/// that may have run.
#[test]
fn submit_target_fault() {
    type Fault = fn(&common::Request) -> Action;
    let faults: [(&str, Fault, &str, &str); 11] = [
        ("closed after the request", |_| Action::ReplyAndClose(Vec::new()), "unknown", "receive"),
        (
            "closed within the head",
            |_| Action::ReplyAndClose(b"HTTP/1.1 200 OK\r\nx-st".to_vec()),
            "unknown",
            "receive",
        ),
        ("not HTTP", |_| Action::ReplyAndClose(b"hello\r\n\r\n".to_vec()), "unknown", "receive"),
        (
            "truncated",
            |request| {
                let mut bytes = success_response(request);
                bytes.truncate(bytes.len() - 3);
                Action::ReplyAndClose(bytes)
            },
            "failed",
            "receive",
        ),
        (
            "oversized",
            |request| {
                let body = format!("\"{}\"", "x".repeat(2_000));
                Action::Reply(response(200, &[("x-start", &start_name(request))], &body))
            },
            "failed",
            "receive",
        ),
        (
            "mismatched start",
            |_| Action::Reply(response(200, &[("x-start", "other.1")], "{}")),
            "failed",
            "receive",
        ),
        ("no start", |_| Action::Reply(response(200, &[], "{}")), "failed", "receive"),
        (
            "not run with another start",
            |_| {
                let headers = [("x-start", "other.1"), ("x-not-run", "busy")];
                Action::Reply(response(503, &headers, ""))
            },
            "failed",
            "receive",
        ),
        (
            "not JSON",
            |request| Action::Reply(response(200, &[("x-start", &start_name(request))], "{,}")),
            "failed",
            "receive",
        ),
        (
            "not UTF-8",
            |request| {
                let mut bytes = response(200, &[("x-start", &start_name(request))], "\"xx\"");
                let length = bytes.len();
                bytes[length - 2] = 0xff;
                Action::Reply(bytes)
            },
            "failed",
            "receive",
        ),
        (
            "task failed",
            |request| Action::Reply(response(500, &[("x-start", &start_name(request))], "{}")),
            "failed",
            "run",
        ),
    ];
    for (name, fault, code, step) in faults {
        let target = Server::start(move |request, _| fault(request));
        let platform = platform(&[target.address]);
        let daemon = start(&platform, "");
        let answer = submit(daemon.caller_address(), ONE_TASK).json();
        assert_eq!(answer["code"], code, "{name}: {answer}");
        assert_eq!(answer["failure"]["step"], step, "{name}: {answer}");
        assert_eq!(answer["failure"]["target"], "target-0", "{name}: {answer}");
        assert_eq!(target.seen().len(), 1, "{name}");
        daemon.stop().unwrap();
    }
}

/// Guards against an answer that claims that no task ran when a target does not answer in time.
#[test]
fn submit_silence() {
    let target = Server::start(|_, _| Action::Silence);
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    let body = ONE_TASK.replace("60000", "100");
    let answer = submit(daemon.caller_address(), &body).json();
    assert_eq!(answer["code"], "expired");
    assert_eq!(answer["started"], true);
    assert_eq!(target.seen().len(), 1);
    daemon.stop().unwrap();
}

/// Guards against a duplicate answer that is taken for the answer to the next start on the
/// connection.
#[test]
fn submit_doubled_answer() {
    let target = Server::start(|request, _| {
        Action::Reply([success_response(request), success_response(request)].concat())
    });
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    for _ in 0..20 {
        let answer = submit(daemon.caller_address(), ONE_TASK).json();
        assert_eq!(answer["code"], "complete", "{answer}");
    }
    assert_eq!(target.seen().len(), 20);
    daemon.stop().unwrap();
}

/// Guards against a task that is not retried although the target proved that it did not run.
#[test]
fn submit_not_run() {
    let target = Server::start(|request, number| {
        let name = start_name(request);
        if number == 0 {
            let headers = [("x-start", name.as_str()), ("x-not-run", "busy")];
            return Action::Reply(response(503, &headers, ""));
        }
        Action::Reply(success_response(request))
    });
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    let answer = submit(daemon.caller_address(), ONE_TASK).json();
    assert_eq!(answer["code"], "complete", "{answer}");
    let seen = target.seen();
    assert_eq!(seen.len(), 2);
    assert_ne!(seen[0].path, seen[1].path, "an attempt has an id of its own");
    daemon.stop().unwrap();
}

/// Guards against a duplicate not-run answer that is taken for the answer to the next start. That
/// start ran, but would count as not run, and its task would run again.
#[test]
fn submit_doubled_not_run() {
    let target = Server::start(|request, number| {
        if number == 0 {
            let busy = response(503, &[("x-not-run", "busy")], "");
            return Action::Reply([busy.clone(), busy].concat());
        }
        Action::Reply(success_response(request))
    });
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    let answer = submit(daemon.caller_address(), ONE_TASK).json();
    assert_eq!(answer["code"], "complete", "{answer}");
    assert_eq!(target.seen().len(), 2);
    daemon.stop().unwrap();
}

/// Guards against failed jobs because the target closed idle connections.
#[test]
fn submit_idle_connection_closed() {
    let target = Server::start(|request, _| Action::ReplyAndClose(success_response(request)));
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    let mut completed = 0;
    for _ in 0..20 {
        let answer = submit(daemon.caller_address(), ONE_TASK).json();
        // If the next request is sent before the close arrives, its task may have run.
        completed += usize::from(answer["code"] == "complete");
    }
    assert!(completed > 0);
    daemon.stop().unwrap();
}
/// Guards against an outcome that leaves open whether a task ran on a target that refuses
/// connections.
#[test]
fn submit_connect_refused() {
    // No other test listens on this address, so the port stays closed.
    let closed = TcpListener::bind("127.0.0.77:0").unwrap().local_addr().unwrap();
    let platform = platform(&[closed]);
    let daemon = start(&platform, "");
    let answer = submit(daemon.caller_address(), ONE_TASK).json();
    assert_eq!(answer["code"], "refused", "{answer}");
    daemon.stop().unwrap();
}

/// Submits one task to a target that answers no start, then removes the target from the list, which
/// makes the engine query the start. Returns the answer to the caller and the methods of the
/// requests to the target.
fn submit_queried(answer: fn(&common::Request) -> Action) -> (serde_json::Value, Vec<String>) {
    let target = Server::start(move |request, _| match request.method.as_str() {
        "GET" => answer(request),
        _ => Action::Silence,
    });
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    let address = daemon.caller_address();
    let caller = std::thread::spawn(move || submit(address, ONE_TASK).json());
    wait_until("the task is sent", || !target.seen().is_empty());
    platform.unlist("target-0");
    let answer = caller.join().unwrap();
    daemon.stop().unwrap();
    (answer, target.seen().into_iter().map(|request| request.method).collect())
}

/// Guards against a lost answer when the connection of a start fails silently but the target has
/// finished the task, and against a second start.
#[test]
fn query_finished() {
    let (answer, methods) = submit_queried(|request| Action::Reply(success_response(request)));
    assert_eq!(answer["code"], "complete", "{answer}");
    assert_eq!(answer["answers"], serde_json::json!([{"seat": 12}]));
    assert_eq!(methods, ["POST", "GET"]);
}

/// Guards against an unknown outcome for a task that failed.
#[test]
fn query_failed() {
    let (answer, methods) = submit_queried(|request| {
        Action::Reply(response(500, &[("x-start", &start_name(request))], "{}"))
    });
    assert_eq!(answer["code"], "failed", "{answer}");
    assert_eq!(answer["failure"]["step"], "run");
    assert_eq!(methods, ["POST", "GET"]);
}

/// Guards against a start that counts as not run because the target does not know it or refuses the
/// query: neither proves that it did not run.
#[test]
fn query_without_proof() {
    let (answer, methods) = submit_queried(|_| Action::Reply(response(404, &[], "")));
    assert_eq!(answer["code"], "unknown", "{answer}");
    assert_eq!(methods, ["POST", "GET"]);
    let (answer, methods) = submit_queried(|request| {
        let start = start_name(request);
        let headers = [("x-start", start.as_str()), ("x-not-run", "busy")];
        Action::Reply(response(503, &headers, ""))
    });
    assert_eq!(answer["code"], "unknown", "{answer}");
    assert_eq!(methods, ["POST", "GET"]);
}
