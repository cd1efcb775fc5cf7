//! Trace spans, metrics, readiness and the status of an instance.

mod common;

use common::{
    Action, ONE_TASK, Server, authorization, call, peers, platform, start, start_named, start_pair,
    submit, success_response, wait_until,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

const SAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const UNSAMPLED: &str = "00-1bf7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

fn spans(file: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

fn submit_traced(daemon: &verbenapass_entry::daemon::Daemon, trace: &str) {
    let authorization = authorization();
    let headers = [("authorization", authorization.as_str()), ("traceparent", trace)];
    let answer = call(daemon.caller_address(), "POST", "/v1/jobs", &headers, ONE_TASK.as_bytes());
    assert_eq!(answer.code(), "complete");
}

/// Guards against a hop without a span, a wrong parent, a trace context that does not reach the
/// target, and spans of requests that are not sampled.
#[test]
fn submit_traced_hops() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("spans.jsonl");
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let daemon = start(&platform, &format!("trace: {{file: {}}}\n", file.display()));
    submit_traced(&daemon, SAMPLED);
    submit_traced(&daemon, UNSAMPLED);
    assert_eq!(submit(daemon.caller_address(), ONE_TASK).code(), "complete");
    daemon.stop().unwrap();

    let by_name: BTreeMap<String, Value> = spans(&file)
        .into_iter()
        .map(|span| (span["name"].as_str().unwrap().to_owned(), span))
        .collect();
    assert_eq!(by_name.keys().collect::<Vec<_>>(), ["control", "start", "submit"]);
    let (control, sent, request) = (&by_name["control"], &by_name["start"], &by_name["submit"]);
    for span in by_name.values() {
        assert_eq!(span["trace"], "0af7651916cd43dd8448eb211c80319c");
        assert!(span["start_us"].as_u64() <= span["end_us"].as_u64());
    }
    assert_eq!(request["parent"], "b7ad6b7169203331");
    assert_eq!(control["parent"], request["span"]);
    assert_eq!(sent["parent"], request["span"]);
    assert_eq!(sent["attributes"]["team"], "halvern");
    assert_eq!(sent["attributes"]["target"], "target-0");

    let seen = target.seen();
    let passed = &seen[0].headers["traceparent"];
    assert_eq!(
        *passed,
        format!("00-0af7651916cd43dd8448eb211c80319c-{}-01", sent["span"].as_str().unwrap())
    );
    assert_eq!(seen[1].headers["traceparent"], UNSAMPLED);
    assert!(!seen[2].headers.contains_key("traceparent"));
}

/// Guards against a trace that does not continue in the instance that owns the job.
#[test]
fn query_traced_peer() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("spans.jsonl");
    let platform = platform(&[]);
    let (one, two) = start_pair(&platform, &format!("trace: {{file: {}}}\n", file.display()));
    let authorization = authorization();
    let headers = [("authorization", authorization.as_str()), ("traceparent", SAMPLED)];
    let path = format!("/v1/jobs/{}.1", one.instance());
    assert_eq!(call(two.caller_address(), "GET", &path, &headers, &[]).status, 404);
    two.stop().unwrap();
    one.stop().unwrap();
    let spans = spans(&file);
    let find = |name: &str| spans.iter().find(|span| span["name"] == name).unwrap();
    assert_eq!(find("query")["parent"], "b7ad6b7169203331");
    assert_eq!(find("peer")["parent"], find("query")["span"]);
    assert_eq!(find("peer answer")["parent"], find("peer")["span"]);
    assert_eq!(find("control")["parent"], find("peer answer")["span"]);
}

/// Guards against spans that do not reach the collector.
#[test]
fn submit_traced_collector() {
    let collector = Server::start(|_, _| Action::Reply(common::response(200, &[], "")));
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let extra = format!("trace: {{endpoint: 'http://{}/v1/traces'}}\n", collector.address);
    let daemon = start(&platform, &extra);
    submit_traced(&daemon, SAMPLED);
    daemon.stop().unwrap();
    let seen = collector.seen();
    assert!(!seen.is_empty());
    assert_eq!((seen[0].method.as_str(), seen[0].path.as_str()), ("POST", "/v1/traces"));
    let text = String::from_utf8_lossy(&seen[0].body).into_owned();
    assert!(text.contains("submit") && text.contains("verbenapass-entry"));
}

/// Guards against missing metrics, metrics that METRICS.md does not list and a missing team label.
#[test]
fn metrics_listed() {
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "admin_address: 127.0.0.1:0\n");
    assert_eq!(submit(daemon.caller_address(), ONE_TASK).code(), "complete");
    assert_eq!(submit(daemon.caller_address(), "").code(), "invalid");
    let read = |address| {
        let answer = call(address, "GET", "/metrics", &[], &[]);
        assert_eq!(answer.status, 200);
        String::from_utf8(answer.body).unwrap()
    };
    let text = read(daemon.caller_address());
    for part in [
        r#"verbenapass_jobs_total{team="halvern",code="complete"}"#,
        r#"verbenapass_job_seconds_bucket{team="halvern""#,
        r#"verbenapass_rejected_total{reason="malformed_body"}"#,
        r#"verbenapass_starts_total{team="halvern",result="answered"}"#,
        r#"verbenapass_messages_total{kind="start"}"#,
        r#"verbenapass_messages_total{kind="refusal"}"#,
        "verbenapass_platform_up 1",
    ] {
        assert!(text.contains(part), "{part} is missing in:\n{text}");
    }
    assert!(read(daemon.admin_address().unwrap()).contains("verbenapass_jobs_total"));
    let page = include_str!("../METRICS.md");
    for line in text.lines().filter(|line| line.starts_with("# TYPE ")) {
        let name = line.split(' ').nth(2).unwrap();
        let name = name.strip_prefix("verbenapass_").unwrap();
        assert!(page.contains(&format!("| `{name}` |")), "METRICS.md does not list {name}");
    }
    daemon.stop().unwrap();
}

/// Guards against an instance that reports ready without settings.
#[test]
fn ready_without_settings() {
    let platform = platform(&[]);
    platform.set_fault(Some(Action::ReplyAndClose(Vec::new())));
    let settings = common::settings(platform.server.address, "");
    let daemon = verbenapass_entry::daemon::Daemon::start(&settings, &common::logger()).unwrap();
    let address = daemon.caller_address();
    assert_eq!(call(address, "GET", "/healthz", &[], &[]).status, 200);
    assert_eq!(call(address, "GET", "/readyz", &[], &[]).status, 503);
    let answer = submit(address, ONE_TASK);
    assert_eq!((answer.status, answer.code().as_str()), (503, "refused"));
    assert_eq!(answer.json()["refusal"]["reason"], "no_settings");
    assert!(answer.headers.contains_key("retry-after"));
    platform.set_fault(None);
    wait_until("ready", || call(address, "GET", "/readyz", &[], &[]).status == 200);
    daemon.stop().unwrap();
}

/// Guards against a status with the wrong instance id or without the peers.
#[test]
fn state_peers() {
    let platform = platform(&[]);
    let (one, two) = start_pair(&platform, "");
    let state = call(two.caller_address(), "GET", "/v1/status", &[], &[]).json();
    assert_eq!(state["instance"], two.instance().as_str());
    assert_eq!(state["ready"], true);
    assert_eq!(state["open_jobs"], 0);
    assert_eq!(peers(&two)[0]["instance"], one.instance().as_str());
    one.stop().unwrap();
    two.stop().unwrap();
    let alone = start_named("entry-3", &platform, "");
    alone.stop().unwrap();
}
