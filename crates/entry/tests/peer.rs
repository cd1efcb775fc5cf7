//! Queries and cancellations of jobs that another instance owns.

mod common;

use common::{
    Action, Answer, Gate, ONE_TASK, Server, authorization, call, forward, peers, platform,
    start_named, start_pair, submit, success_response, wait_reachable, wait_until,
};
use std::net::{SocketAddr, TcpListener};
use verbenapass_entry::daemon::Daemon;

fn call_job(daemon: &Daemon, method: &str, job: &str) -> Answer {
    let authorization = authorization();
    let headers = [("authorization", authorization.as_str())];
    call(daemon.caller_address(), method, &format!("/v1/jobs/{job}"), &headers, &[])
}

fn submit_without_wait(daemon: &Daemon) -> String {
    let body = ONE_TASK.replace("\"timeout_ms\"", "\"wait\": false, \"timeout_ms\"");
    let answer = submit(daemon.caller_address(), &body);
    assert_eq!(answer.status, 202);
    assert_eq!(answer.code(), "accepted");
    answer.json()["job"].as_str().unwrap().into()
}

/// Guards against a query or cancellation that fails at an instance that does not own the job.
#[test]
fn query_forwarded() {
    let gate = Gate::default();
    let task_gate = gate.clone();
    let target = Server::start(move |request, _| {
        task_gate.wait();
        Action::Reply(success_response(request))
    });
    let platform = platform(&[target.address]);
    let (one, two) = start_pair(&platform, "");
    let job = submit_without_wait(&one);
    let cancelled = submit_without_wait(&one);
    let answer = call_job(&two, "GET", &job);
    assert_eq!((answer.status, answer.code().as_str()), (202, "running"));
    let answer = call_job(&two, "DELETE", &cancelled);
    assert_eq!((answer.status, answer.code().as_str()), (410, "cancelled"));
    assert_eq!(answer.json()["job"], cancelled);
    gate.open();
    wait_until("the job is complete", || call_job(&two, "GET", &job).status == 200);
    let answer = call_job(&two, "GET", &job);
    assert_eq!(answer.json()["answers"], serde_json::json!([{"seat": 12}]));
    assert_eq!(answer.body, call_job(&one, "GET", &job).body, "the answer differs at the owner");
    one.stop().unwrap();
    two.stop().unwrap();
}

/// Guards against `owner_unreachable` for an owner that has ended, and against `owner_gone` for one
/// that may still run.
#[test]
fn query_owner_gone() {
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let (one, two) = start_pair(&platform, "limits: {peer_timeout_ms: 200, list_lag_ms: 100}\n");
    let job = submit_without_wait(&one);
    wait_until("the result is fetched", || call_job(&one, "GET", &job).status == 200);
    one.stop().unwrap();

    // The owner is listed, but its address refuses connections: the process has ended.
    wait_until("the connection is refused", || call_job(&two, "GET", &job).code() == "owner_gone");
    assert_eq!(call_job(&two, "GET", &job).status, 404);
    assert_eq!(call_job(&two, "DELETE", &job).code(), "owner_gone");

    // The owner is listed, and its address accepts connections but never answers.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    platform.list_entry("entry-1", silent.local_addr().unwrap());
    wait_until("the link uses the new address", || {
        silent.set_nonblocking(true).unwrap();
        silent.accept().is_ok()
    });
    let answer = call_job(&two, "GET", &job);
    assert_eq!((answer.status, answer.code().as_str()), (503, "owner_unreachable"));
    assert!(answer.headers.contains_key("retry-after"));
    let answer = call_job(&two, "DELETE", &job);
    assert_eq!((answer.status, answer.code().as_str()), (503, "owner_unreachable"));

    // A new incarnation runs under the same name.
    let again = start_named("entry-1", &platform, "");
    platform.list_entry("entry-1", again.peer_address());
    wait_until("the new incarnation answers", || {
        call_job(&two, "GET", &job).code() == "owner_gone"
    });
    assert_eq!(call_job(&two, "GET", &job).status, 404);
    assert_eq!(call_job(&again, "GET", &job).code(), "owner_gone", "at the new incarnation itself");
    again.stop().unwrap();

    // The owner is not listed any more. Until the list lag has passed, the list may be out of date.
    platform.unlist("entry-1");
    wait_until("the list is read", || peers(&two).is_empty());
    wait_until("the lag is over", || call_job(&two, "GET", &job).code() == "owner_gone");
    two.stop().unwrap();

    // An owner that was never listed may be too new for the list.
    let two = start_named("entry-2", &platform, "");
    assert_eq!(call_job(&two, "GET", &job).code(), "owner_unreachable");
    two.stop().unwrap();
}

/// Guards against an answer other than `not_found` for a job that its owner does not know.
#[test]
fn query_unknown_job() {
    let platform = platform(&[]);
    let (one, two) = start_pair(&platform, "");
    let job = format!("{}.77", one.instance());
    for daemon in [&one, &two] {
        let answer = call_job(daemon, "GET", &job);
        assert_eq!((answer.status, answer.code().as_str()), (404, "not_found"));
    }
    one.stop().unwrap();
    two.stop().unwrap();
}

/// Forwards connections to an address, except the first one, which it keeps open without an answer.
fn proxy(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let silent = listener.accept().unwrap();
        forward(&listener, to);
        drop(silent);
    });
    address
}

/// Guards against a link that keeps using a connection on which no answer arrives.
#[test]
fn report_hung_connection_replaced() {
    let platform = platform(&[]);
    let extra = "limits: {peer_timeout_ms: 100}\n";
    let one = start_named("entry-1", &platform, extra);
    let two = start_named("entry-2", &platform, extra);
    platform.list_entry("entry-1", proxy(one.peer_address()));
    wait_reachable(&two, "entry-1");
    let peers = peers(&two);
    assert_eq!(peers[0]["instance"], one.instance().as_str());
    one.stop().unwrap();
    two.stop().unwrap();
}
