//! Claims: resubmitted jobs run once, also during faults of the platform.

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

/// Guards against a second run of a job that is resubmitted at the same or at another instance.
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
    // The same content with another request id is another job.
    assert_eq!(submit_intake(two.caller_address(), "r2").code(), "complete");
    assert_eq!(target.seen().len(), 2);
    one.stop().unwrap();
    two.stop().unwrap();
}

/// Guards against a second run of a job that is resubmitted at another instance while it runs, and
/// against an incomplete or missing answer to the second submission.
#[test]
fn submit_again_while_running() {
    let gate = Gate::default();
    let task_gate = gate.clone();
    let target = Server::start(move |request, _| {
        task_gate.wait();
        Action::Reply(success_response(request))
    });
    let platform = platform(&[target.address]);
    let (one, two) = start_pair(&platform, "");
    let (address_one, address_two) = (one.caller_address(), two.caller_address());
    let first = std::thread::spawn(move || submit_intake(address_one, "r1"));
    wait_until("the task runs", || target.seen().len() == 1);
    let second = std::thread::spawn(move || submit_intake(address_two, "r1"));
    let transactions = || {
        let seen = platform.server.seen();
        seen.iter().filter(|request| request.path.starts_with("/v1/table/transact")).count()
    };
    wait_until("the second claim is tried", || transactions() >= 2);
    gate.open();
    let (first, second) = (first.join().unwrap(), second.join().unwrap());
    assert_eq!(first.code(), "complete", "{}", first.json());
    assert_eq!(second.code(), "complete", "{}", second.json());
    assert_eq!(first.json()["answers"], second.json()["answers"]);
    assert_eq!(target.seen().len(), 1);
    one.stop().unwrap();
    two.stop().unwrap();
}

/// Guards against a lost reply to a claim that is treated as a failed write, or as a claim by another
/// instance.
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

/// Guards against a platform fault that blocks idempotent jobs, which need no claim, and against a
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
            scope.spawn(move || check_platform_fault(name, fault));
        }
    });
}

fn check_platform_fault(name: &str, fault: Action) {
    let target = good_target();
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "limits: {platform_timeout_ms: 100}\n");
    platform.set_fault(Some(fault));
    let claimed = submit(daemon.caller_address(), &intake("r1", 2_000)).json();
    let not_run = claimed["code"] == "refused"
        || (claimed["code"] == "expired" && claimed["started"] == false);
    assert!(not_run, "{name}: {claimed}");
    assert!(target.seen().is_empty(), "{name}: a task started without a claim");
    let unclaimed = submit(daemon.caller_address(), ONE_TASK).json();
    assert_eq!(unclaimed["code"], "complete", "{name}: {unclaimed}");
    platform.set_fault(None);
    wait_until("claims work again", || {
        submit_intake(daemon.caller_address(), "r2").code() == "complete"
    });
    daemon.stop().unwrap();
}

/// Guards against a table that grows with every claim, and against the removal of unexpired claims or
/// of other rows.
#[test]
fn expire_claims_expired_only() {
    let target = good_target();
    let platform = platform(&[target.address]);
    let daemon = start(&platform, "claim_expiry_interval_ms: 10\n");
    assert_eq!(submit_intake(daemon.caller_address(), "r1").code(), "complete");
    wait_until("the outcome is in the table", || {
        claim(&platform, "r1").is_some_and(|text| {
            matches!(Record::from_text(&text).unwrap().state, State::Settled(_))
        })
    });
    let claim_row = claim(&platform, "r1").unwrap();
    let mut expired = Record::from_text(&claim_row).unwrap();
    expired.expires_at = Timestamp::from_micros(1);
    for request in ["old-1", "old-2"] {
        platform.write(&format!("claims/halvern/{request}"), Some(expired.to_text()));
    }
    platform.write("claims/halvern/other", Some("no claim".into()));
    wait_until("the expired claims are removed", || {
        ["old-1", "old-2"].iter().all(|request| claim(&platform, request).is_none())
    });
    assert_eq!(claim(&platform, "r1"), Some(claim_row));
    assert_eq!(claim(&platform, "other").as_deref(), Some("no claim"));
    daemon.stop().unwrap();
}
