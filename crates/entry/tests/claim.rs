//! Jobs that must not run twice, and faults of the platform.

mod common;

use common::{
    Action, Answer, Gate, ONE_TASK, Platform, Server, platform, response, start, start_pair,
    submit, success_response, wait_until,
};
use std::net::SocketAddr;
use verbenapass::claim::{Record, State};
use verbenapass::time::Timestamp;

fn intake(request: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"request_id": "{request}", "timeout_ms": {timeout_ms},
            "tasks": [{{"kind": "intake-confirmation", "payload": {{"seat": 12}}}}]}}"#
    )
}

fn submit_intake(address: SocketAddr, request: &str) -> Answer {
    submit(address, &intake(request, 20_000))
}

fn good_target() -> Server {
    Server::start(|request, _| Action::Reply(success_response(request)))
}

fn claim(platform: &Platform, request: &str) -> Option<String> {
    platform.row(&format!("claims/halvern/{request}"))?.1
}

/// Guards against a second run of a job that is submitted again, here or at another instance.
#[test]
fn submit_again() {
    let target = good_target();
    let platform = platform(&[target.address]);
    let (one, two) = start_pair(&platform, "");
    let first = submit_intake(one.caller_address(), "r1");
    assert_eq!(first.code(), "complete", "{}", first.json());
    assert!(claim(&platform, "r1").is_some());
    for daemon in [&one, &two, &two] {
        let again = submit_intake(daemon.caller_address(), "r1");
        assert_eq!(again.code(), "complete", "{}", again.json());
        assert_eq!(again.json()["answers"], first.json()["answers"]);
    }
    assert_eq!(target.seen().len(), 1);
    // Another request of the same content is another job.
    assert_eq!(submit_intake(two.caller_address(), "r2").code(), "complete");
    assert_eq!(target.seen().len(), 2);
    one.stop().unwrap();
    two.stop().unwrap();
}

/// Guards against a second run of a job that is submitted again while it runs elsewhere, and
/// against a partial or missing answer to the second call.
#[test]
fn submit_again_while_running() {
    let gate = Gate::default();
    let held = gate.clone();
    let target = Server::start(move |request, _| {
        held.wait();
        Action::Reply(success_response(request))
    });
    let platform = platform(&[target.address]);
    let (one, two) = start_pair(&platform, "");
    let (here, there) = (one.caller_address(), two.caller_address());
    let first = std::thread::spawn(move || submit_intake(here, "r1"));
    wait_until("the task runs", || target.seen().len() == 1);
    let second = std::thread::spawn(move || submit_intake(there, "r1"));
    let reads = || {
        let seen = platform.server.seen();
        seen.iter().filter(|request| request.path.starts_with("/v1/table/transact")).count()
    };
    wait_until("the second claim is tried", || reads() >= 2);
    gate.open();
    let (first, second) = (first.join().unwrap(), second.join().unwrap());
    assert_eq!(first.code(), "complete", "{}", first.json());
    assert_eq!(second.code(), "complete", "{}", second.json());
    assert_eq!(first.json()["answers"], second.json()["answers"]);
    assert_eq!(target.seen().len(), 1);
    one.stop().unwrap();
    two.stop().unwrap();
}

/// Guards against a lost reply that is taken for a write that failed, or for the claim of another.
#[test]
fn submit_lost_reply() {
    let target = good_target();
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "");
    platform.lose_replies(1);
    let answer = submit_intake(daemon.caller_address(), "r1");
    assert_eq!(answer.code(), "complete", "{}", answer.json());
    assert_eq!(target.seen().len(), 1);
    daemon.stop().unwrap();
}

/// Guards against a platform fault that stops work that needs no platform, and against a
/// non-idempotent job that runs without a claim.
#[test]
fn submit_platform_fault() {
    let faults = [
        ("silence", Action::Silence),
        ("close", Action::ReplyAndClose(Vec::new())),
        ("unavailable", Action::Reply(response(503, &[], "{}"))),
        ("error", Action::Reply(response(500, &[], "{}"))),
        ("no JSON", Action::Reply(response(200, &[], "<html>"))),
        (
            "truncated",
            Action::ReplyAndClose(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{".into()),
        ),
    ];
    std::thread::scope(|scope| {
        for (name, fault) in faults {
            scope.spawn(move || check_fault(name, fault));
        }
    });
}

fn check_fault(name: &str, fault: Action) {
    let target = good_target();
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "limits: {platform_timeout_ms: 100}\n");
    platform.set_fault(Some(fault));
    let claimed = submit(daemon.caller_address(), &intake("r1", 2_000)).json();
    let not_run = claimed["code"] == "refused"
        || (claimed["code"] == "expired" && claimed["started"] == false);
    assert!(not_run, "{name}: {claimed}");
    assert!(target.seen().is_empty(), "{name}: a task started without a claim");
    let plain = submit(daemon.caller_address(), ONE_TASK).json();
    assert_eq!(plain["code"], "complete", "{name}: {plain}");
    platform.set_fault(None);
    wait_until("claims work again", || {
        submit_intake(daemon.caller_address(), "r2").code() == "complete"
    });
    daemon.stop().unwrap();
}

/// Guards against a table that grows with each claim for ever, and against the removal of claims that
/// still hold or of other rows.
#[test]
fn expired_claims_removed() {
    let target = good_target();
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "claim_expiry_interval_ms: 10\n");
    assert_eq!(submit_intake(daemon.caller_address(), "r1").code(), "complete");
    wait_until("the outcome is in the table", || {
        claim(&platform, "r1").is_some_and(|text| {
            matches!(Record::from_text(&text).unwrap().state, State::Settled(_))
        })
    });
    let held = claim(&platform, "r1").unwrap();
    let mut expired = Record::from_text(&held).unwrap();
    expired.expires_at = Timestamp::from_micros(1);
    for request in ["old-1", "old-2"] {
        platform.write(&format!("claims/halvern/{request}"), Some(expired.to_text()));
    }
    platform.write("claims/halvern/other", Some("no claim".into()));
    wait_until("the expired claims are removed", || {
        ["old-1", "old-2"].iter().all(|request| claim(&platform, request).is_none())
    });
    assert_eq!(claim(&platform, "r1"), Some(held));
    assert_eq!(claim(&platform, "other").as_deref(), Some("no claim"));
    daemon.stop().unwrap();
}
