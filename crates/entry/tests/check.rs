//! Validation of requests: malformed bodies, credentials, ids, trace contexts and HTTP framing.

mod common;

use common::{
    Action, CREDENTIAL, ONE_TASK, Server, authorization, call, platform, start, success_response,
};
use verbenapass_entry::check;

struct Case {
    name: &'static str,
    body: String,
    status: u16,
    reason: &'static str,
    /// Substring of the message: the field, its value or what is allowed.
    message: &'static str,
}

fn case(
    name: &'static str,
    body: impl Into<String>,
    status: u16,
    reason: &'static str,
    message: &'static str,
) -> Case {
    Case { name, body: body.into(), status, reason, message }
}

fn one_task(fields: &str) -> String {
    format!(r#"{{{fields} "tasks": [{{"kind": "seat-hold", "payload": 1}}]}}"#)
}

fn one_task_of_kind(fields: &str, kind: &str) -> String {
    format!(r#"{{"timeout_ms": 1000, {fields} "tasks": [{{"kind": "{kind}", "payload": 1}}]}}"#)
}

fn cases() -> Vec<Case> {
    let tasks = vec![r#"{"kind":"seat-hold","payload":1}"#; 2_001].join(",");
    vec![
        case("empty", "", 400, "malformed_body", "EOF"),
        case("no JSON", "seat", 400, "malformed_body", "line 1"),
        case("unfinished", r#"{"timeout_ms": 1"#, 400, "malformed_body", "EOF"),
        case("a list", "[]", 400, "malformed_body", "object"),
        case("a number", "1", 400, "malformed_body", "integer"),
        case("no UTF-8", "{\"\u{0}\": 1}", 400, "malformed_body", "line 1"),
        case("unknown field", one_task(r#""timeout": 1,"#), 400, "malformed_body", "timeout_ms"),
        case("text for a number", one_task(r#""timeout_ms": "1","#), 400, "malformed_body", "u64"),
        case("negative", one_task(r#""timeout_ms": -1,"#), 400, "malformed_body", "u64"),
        case("fields after the end", format!("{ONE_TASK} 1"), 400, "malformed_body", "trailing"),
        case("no list of tasks", r#"{"timeout_ms": 1000}"#, 400, "malformed_body", "tasks"),
        case("no tasks", r#"{"timeout_ms": 1000, "tasks": []}"#, 400, "no_tasks", "at least 1"),
        case(
            "no payload",
            r#"{"timeout_ms": 1000, "tasks": [{"kind": "seat-hold"}]}"#,
            400,
            "malformed_body",
            "payload",
        ),
        case(
            "too many tasks",
            format!(r#"{{"timeout_ms": 1000, "tasks": [{tasks}]}}"#),
            400,
            "too_many_tasks",
            "2001 given, allowed are 1 to 2000",
        ),
        case("unknown kind", one_task_of_kind("", "seat"), 400, "unknown_kind", "seat-hold"),
        case("empty kind", one_task_of_kind("", ""), 400, "invalid_id", "tasks[0].kind"),
        case("invalid kind", one_task_of_kind("", "seat hold"), 400, "invalid_id", "' '"),
        case(
            "no request id",
            one_task_of_kind("", "intake-confirmation"),
            400,
            "missing_request_id",
            "intake-confirmation",
        ),
        case(
            "empty request id",
            one_task_of_kind(r#""request_id": "","#, "seat-hold"),
            400,
            "invalid_id",
            "request_id",
        ),
        case(
            "invalid request id",
            one_task_of_kind(r#""request_id": "a/b","#, "seat-hold"),
            400,
            "invalid_id",
            "'/'",
        ),
        case("past", one_task(r#""deadline_us": 1000000,"#), 400, "deadline_past", "1.000000"),
        case("no time", one_task(r#""timeout_ms": 0,"#), 400, "deadline_past", "passed"),
        case(
            "too far",
            one_task(r#""timeout_ms": 86400001,"#),
            400,
            "deadline_too_far",
            "86400000",
        ),
        case(
            "far beyond",
            one_task(r#""deadline_us": 18446744073709551615,"#),
            400,
            "deadline_too_far",
            "away",
        ),
        case("no deadline", one_task(""), 400, "no_deadline", "neither"),
        case(
            "two deadlines",
            one_task(r#""timeout_ms": 1000, "deadline_us": 9000000000000000,"#),
            400,
            "two_deadlines",
            "both",
        ),
        case("oversized", "x".repeat(4_000_001), 413, "oversized_body", "4000000"),
    ]
}

/// Guards against an invalid request that starts a task, or whose error does not name the field, its
/// value or what is allowed.
#[test]
fn submit_invalid() {
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "limits: {body_bytes: 4000000}\n");
    for case in cases() {
        let headers = [("authorization", authorization())];
        let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
        let answer =
            call(daemon.caller_address(), "POST", "/v1/jobs", &headers, case.body.as_bytes());
        let json = answer.json();
        assert_eq!(answer.status, case.status, "{}: {json}", case.name);
        assert_eq!(json["code"], "invalid", "{}: {json}", case.name);
        assert_eq!(json["invalid"]["reason"], case.reason, "{}: {json}", case.name);
        let message = json["invalid"]["message"].as_str().unwrap();
        assert!(message.contains(case.message), "{}: {message}", case.name);
    }
    assert!(target.seen().is_empty(), "an invalid request started a task");
    daemon.stop().unwrap();
}

/// Guards against requests that are accepted without a credential or with an unknown one.
#[test]
fn submit_credential() {
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    let bearer = format!("Bearer {CREDENTIAL}");
    let cases = [
        (None, 401, "missing_credential"),
        (Some("Bearer"), 401, "missing_credential"),
        (Some("Bearer "), 401, "missing_credential"),
        (Some("Basic aGFsdmVybg=="), 401, "missing_credential"),
        (Some(CREDENTIAL), 401, "missing_credential"),
        (Some("Bearer other"), 401, "unknown_credential"),
    ];
    for (value, status, reason) in cases {
        let headers: Vec<_> = value.iter().map(|value| ("authorization", *value)).collect();
        for (method, path, body) in [
            ("POST", "/v1/jobs", ONE_TASK),
            ("GET", "/v1/jobs/a.1", ""),
            ("DELETE", "/v1/jobs/a.1", ""),
        ] {
            let answer = call(daemon.caller_address(), method, path, &headers, body.as_bytes());
            assert_eq!(answer.status, status, "{method} {value:?}");
            assert_eq!(answer.json()["invalid"]["reason"], reason, "{method} {value:?}");
        }
    }
    assert!(target.seen().is_empty());
    let answer = call(
        daemon.caller_address(),
        "POST",
        "/v1/jobs",
        &[("authorization", &bearer)],
        ONE_TASK.as_bytes(),
    );
    assert_eq!(answer.status, 200);
    daemon.stop().unwrap();
}

/// Guards against a malformed job id that is accepted.
#[test]
fn query_invalid_id() {
    let platform = platform(&[]);
    let daemon = start(&platform, "");
    let authorization = authorization();
    for (job, status, code) in [
        ("entry", 400, "invalid"),
        ("entry.x", 400, "invalid"),
        (".1", 400, "invalid"),
        ("entry.-1", 400, "invalid"),
        ("entry%20.1", 400, "invalid"),
    ] {
        for method in ["GET", "DELETE"] {
            let path = format!("/v1/jobs/{job}");
            let headers = [("authorization", authorization.as_str())];
            let answer = call(daemon.caller_address(), method, &path, &headers, &[]);
            assert_eq!(answer.status, status, "{method} {job}");
            assert_eq!(answer.code(), code, "{method} {job}");
            assert_eq!(answer.json()["invalid"]["reason"], "invalid_id", "{method} {job}");
        }
    }
    daemon.stop().unwrap();
}

/// Guards against passing on an invalid trace context, and against dropping a valid one.
#[test]
fn trace_validity() {
    let good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    assert_eq!(check::trace(Some(good.as_bytes())).as_deref(), Some(good));
    for bad in [
        "",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-",
        "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
        "00_0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331_01",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-é",
    ] {
        assert_eq!(check::trace(Some(bad.as_bytes())), None, "{bad}");
    }
    assert_eq!(check::trace(None), None);
}

/// Sends `bytes` on a new connection, shuts down the write side and returns the response.
fn send_raw(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(common::WAIT_LIMIT)).unwrap();
    stream.write_all(bytes).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    // The server may reset the connection after a broken request.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a request with broken HTTP framing that starts a task or stops the server.
#[test]
fn submit_broken_framing() {
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    let address = daemon.caller_address();
    let head =
        format!("POST /v1/jobs HTTP/1.1\r\nhost: x\r\nauthorization: {}\r\n", authorization());
    let length = ONE_TASK.len();
    let cases = [
        "\r\n\r\n".to_owned(),
        "hello\r\n\r\n".to_owned(),
        "GET / HTTP/9.9\r\n\r\n".to_owned(),
        format!("{head}content-length: x\r\n\r\n{ONE_TASK}"),
        format!("{head}content-length: {}\r\n\r\n{ONE_TASK}", length + 1),
        format!("{head}content-length: {length}\r\ncontent-length: 1\r\n\r\n{ONE_TASK}"),
        format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n{ONE_TASK}"),
        format!("{head}transfer-encoding: chunked\r\n\r\n{length:x}\r\n{ONE_TASK}\r\n"),
        format!("{head}x: {}\r\n\r\n", "y".repeat(1_000_000)),
    ];
    for case in cases {
        let answer = send_raw(address, case.as_bytes());
        let is_error = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(is_error, "{}: {answer}", &case[..case.len().min(200)]);
    }
    assert!(target.seen().is_empty(), "a broken request started a task");
    let answer = common::submit(address, ONE_TASK);
    assert_eq!(answer.code(), "complete");
    daemon.stop().unwrap();
}

/// Guards against a log record for each of many failures at once.
#[test]
fn limiter_window() {
    use verbenapass::time::Timestamp;
    let limiter = verbenapass_entry::log::Limiter::default();
    let window_start = Timestamp::from_micros(1_000_000);
    let admitted = (0..100).filter(|_| limiter.admit(window_start).is_some()).count();
    assert_eq!(admitted, 10);
    assert_eq!(limiter.admit(Timestamp::from_micros(2_000_000)), Some(90));
    assert_eq!(limiter.admit(Timestamp::from_micros(2_000_001)), Some(0));
}
