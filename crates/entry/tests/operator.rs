//! Settings changes, their distribution to peers, and the export of a team.

mod common;

use common::{
    Action, Answer, FLEET_CREDENTIAL, ONE_TASK, Platform, Server, authorization, call, fleet_yaml,
    forward, logger, platform, revision, settings, start_named, submit, success_response,
    team_yaml, wait_until,
};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use verbenapass::settings::sha256_hex;
use verbenapass_entry::daemon::Daemon;

const TEAM: &str = "/v1/settings/teams/halvern";
const WEIGHT: &str = "/v1/settings/teams/halvern/weight";

fn request(address: SocketAddr, method: &str, path: &str, body: &str) -> Answer {
    let authorization = authorization();
    call(address, method, path, &[("authorization", &authorization)], body.as_bytes())
}

fn put(daemon: &Daemon, path: &str, body: &Value) -> Answer {
    request(daemon.caller_address(), "PUT", path, &body.to_string())
}

fn get(daemon: &Daemon, path: &str) -> Answer {
    request(daemon.caller_address(), "GET", path, "")
}

fn weight(value: u32, change: &str) -> Value {
    json!({"value": value.to_string(), "change": change})
}

/// Guards against a change that is reported as accepted but not in force, or made twice.
#[test]
fn put_accepted() {
    let platform = platform(&[]);
    let daemon = start_named("entry-1", &platform, "");
    let answer = put(&daemon, WEIGHT, &weight(7, "c1"));
    assert_eq!(answer.status, 200, "{}", answer.json());
    assert_eq!(answer.json()["status"], "accepted");
    assert_eq!(answer.json()["version"], 2);
    let value = get(&daemon, WEIGHT).json();
    assert_eq!(value["value"].as_str().unwrap().trim(), "7");
    assert_eq!(value["version"], 2);
    assert_eq!(value["history"][0], json!({"change": "c1", "version": 2}));
    let again = put(&daemon, WEIGHT, &weight(7, "c1"));
    assert_eq!((again.status, &again.json()["version"]), (200, &json!(2)));
    let state = get(&daemon, &format!("{TEAM}?change=c1"));
    assert_eq!((state.status, &state.json()["status"]), (200, &json!("accepted")));
    let state = get(&daemon, &format!("{TEAM}?change=c2"));
    assert_eq!((state.status, &state.json()["status"]), (404, &json!("not_found")));
    daemon.stop().unwrap();
}

/// Guards against a change that fails or is made twice after a lost reply of the platform.
#[test]
fn put_lost_reply() {
    let platform = platform(&[]);
    let daemon = start_named("entry-1", &platform, "");
    platform.lose_replies(1);
    let answer = put(&daemon, WEIGHT, &weight(7, "c1"));
    assert_eq!(answer.status, 200, "{}", answer.json());
    assert_eq!(answer.json()["version"], 2);
    assert_eq!(platform.row("settings/teams/halvern").unwrap().0, 2);
    daemon.stop().unwrap();
}

/// Guards against a change that overwrites another one which its operator has not seen.
#[test]
fn put_conflict() {
    let platform = platform(&[]);
    let one = start_named("entry-1", &platform, "");
    let two = start_named("entry-2", &platform, "");
    assert_eq!(put(&one, WEIGHT, &weight(7, "c1")).status, 200);
    let mut late = weight(9, "c2");
    late["expect"] = json!(1);
    let answer = put(&two, WEIGHT, &late);
    assert_eq!(answer.status, 409, "{}", answer.json());
    assert_eq!(answer.json()["status"], "conflict");
    assert_eq!(answer.json()["winner_version"], 2);
    assert_eq!(answer.json()["winner_change"], "c1");
    one.stop().unwrap();
    two.stop().unwrap();
}

/// Guards against access with a credential of another owner, and against errors that do not name what
/// is allowed. Nothing is written.
#[test]
fn put_refused() {
    let platform = platform(&[]);
    let daemon = start_named("entry-1", &platform, "");
    let address = daemon.caller_address();
    let fleet = format!("Bearer {FLEET_CREDENTIAL}");
    let body = weight(7, "c1").to_string();
    for (header, path, status) in [
        (None, WEIGHT, 401),
        (Some("Bearer other"), WEIGHT, 403),
        (Some(fleet.as_str()), WEIGHT, 403),
        (Some(authorization().as_str()), "/v1/settings/fleet/retry_permille", 403),
    ] {
        let headers: Vec<_> = header.iter().map(|value| ("authorization", *value)).collect();
        for method in ["PUT", "GET"] {
            let answer = call(address, method, path, &headers, body.as_bytes());
            assert_eq!(answer.status, status, "{method} {path} {header:?}");
            assert_eq!(answer.json()["status"], "refused");
        }
    }
    for (path, body, allowed) in [
        (WEIGHT, weight(0, "c1"), "1 to 1000"),
        (WEIGHT, json!({"value": "[", "change": "c1"}), "valid YAML"),
        (WEIGHT, json!({"value": "7", "change": "a b"}), "change id"),
        (WEIGHT, json!({"value": "7"}), "change"),
        ("/v1/settings/teams/halvern/heft", weight(7, "c1"), "weight"),
        ("/v1/settings/other", weight(7, "c1"), "/fleet"),
    ] {
        let answer = put(&daemon, path, &body);
        assert_eq!(answer.status, 400, "{path} {body}: {}", answer.json());
        assert_eq!(answer.json()["status"], "refused");
        let text = answer.json()["error"]["allowed"].as_str().unwrap().to_owned();
        assert!(text.contains(allowed), "{path} {body}: {text}");
    }
    assert_eq!(platform.transactions(), 0);
    daemon.stop().unwrap();
}

/// Guards against a change that is reported as failed while its outcome is unknown.
#[test]
fn put_platform_down() {
    let platform = platform(&[]);
    let daemon = start_named("entry-1", &platform, "limits: {platform_timeout_ms: 100}\n");
    platform.set_fault(Some(Action::Silence));
    let answer = put(&daemon, WEIGHT, &weight(7, "c1"));
    assert_eq!((answer.status, &answer.json()["status"]), (503, &json!("unsettled")));
    platform.set_fault(None);
    assert_eq!(put(&daemon, WEIGHT, &weight(7, "c1")).status, 200);
    daemon.stop().unwrap();
}

/// Guards against an instance whose table is stale: it must get a change from a peer, and must not go
/// back to the older settings in its table.
#[test]
fn push_cut_off_instance() {
    let platform_one = platform(&[]);
    let platform_two = platform(&[]);
    let one = start_named("entry-1", &platform_one, "");
    let two = start_named("entry-2", &platform_two, "");
    for platform in [&platform_one, &platform_two] {
        platform.list_entry("entry-1", one.peer_address());
        platform.list_entry("entry-2", two.peer_address());
    }
    assert_eq!(put(&one, WEIGHT, &weight(7, "c1")).status, 200);
    wait_until("the change is in force", || get(&two, WEIGHT).json()["version"] == 2);
    // Write an older copy to the table, and a gap into the index row, so that all rows are read.
    let polls = platform_two.server.seen().len();
    platform_two.write("settings/teams/halvern", Some(revision("/teams/halvern", 1, &team_yaml())));
    let index = json!({"sequence": 1_000, "recent": []}).to_string();
    platform_two.write(verbenapass::config::INDEX_KEY, Some(index));
    let scanned = || {
        let seen = platform_two.server.seen();
        seen[polls..].iter().position(|request| request.path.starts_with("/v1/table/scan"))
    };
    wait_until("all rows are read", || scanned().is_some());
    // Further polls show that the rows of the scan have been applied.
    wait_until("the table is read again", || {
        scanned().is_some_and(|scan| platform_two.server.seen().len() > polls + scan + 4)
    });
    assert_eq!(get(&two, WEIGHT).json()["version"], 2);
    one.stop().unwrap();
    two.stop().unwrap();
}

/// Guards against an instance that gets no settings when it starts during an outage of the platform.
#[test]
fn fetch_cold_start() {
    let reachable = platform(&[]);
    let failing = platform(&[]);
    failing.set_fault(Some(Action::ReplyAndClose(Vec::new())));
    let one = start_named("entry-1", &reachable, "");
    // Connections stay in the backlog until they are forwarded.
    let seed = TcpListener::bind("127.0.0.1:0").unwrap();
    let extra = format!("peer_seeds: ['{}']\n", seed.local_addr().unwrap());
    let mut settings_two = settings(failing.server.address, &extra);
    settings_two.name = "entry-2".parse().unwrap();
    let two = Daemon::start(&settings_two, &logger()).unwrap();
    assert_eq!(get(&two, TEAM).status, 503);
    let peer = one.peer_address();
    std::thread::spawn(move || forward(&seed, peer));
    wait_until("the settings are known", || get(&two, TEAM).status == 200);
    assert_eq!(get(&two, TEAM).json()["version"], 1);
    one.stop().unwrap();
    two.stop().unwrap();
}

/// Guards against a fleet whose first settings cannot be written, and against a foreign credential
/// that overwrites them at an instance which does not know them yet.
#[test]
fn put_first_settings() {
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let fleet = platform.row("settings/fleet").unwrap().1;
    for key in ["settings/fleet", "settings/teams/halvern"] {
        platform.remove(key);
    }
    let settings = settings(platform.server.address, "");
    let daemon = Daemon::start(&settings, &logger()).unwrap();
    let address = daemon.caller_address();
    let bearer = format!("Bearer {FLEET_CREDENTIAL}");
    let put = |path: &str, bearer: &str, yaml: String, change: &str| {
        let body = json!({"value": yaml, "change": change}).to_string();
        call(address, "PUT", path, &[("authorization", bearer)], body.as_bytes())
    };
    let path = "/v1/settings/fleet";
    assert_eq!(put(path, "Bearer other", fleet_yaml(), "c1").status, 503);
    assert_eq!(put(path, &bearer, fleet_yaml(), "c2").status, 200);
    let team = put(TEAM, &bearer, team_yaml(), "c3");
    assert_eq!(team.status, 200, "{}", team.json());
    daemon.stop().unwrap();

    platform.write("settings/fleet", fleet);
    platform.set_fault(Some(Action::ReplyAndClose(Vec::new())));
    let daemon = Daemon::start(&settings, &logger()).unwrap();
    let address = daemon.caller_address();
    let foreign = format!("credential_sha256: {}\n", sha256_hex("foreign"));
    let body = json!({"value": foreign, "change": "c4"}).to_string();
    let headers = [("authorization", "Bearer foreign")];
    // The platform recovers after the start and before the next poll.
    platform.set_fault(None);
    let answer = call(address, "PUT", path, &headers, body.as_bytes());
    assert!([403, 409].contains(&answer.status), "{} {}", answer.status, answer.json());
    daemon.stop().unwrap();
}

/// Guards against settings that are stored in the table but not in force at the instance.
#[test]
fn put_kind_in_force() {
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let daemon = start_named("entry-1", &platform, "");
    let body = ONE_TASK.replace("seat-hold", "funding-check");
    assert_eq!(submit(daemon.caller_address(), &body).status, 400);
    let kind = json!({"value": "{service: enrolment, idempotent: true}", "change": "c1"});
    let answer = put(&daemon, &format!("{TEAM}/kinds/funding-check"), &kind);
    assert_eq!(answer.status, 200, "{}", answer.json());
    assert_eq!(submit(daemon.caller_address(), &body).code(), "complete");
    let nowhere = json!({"value": "{service: nowhere, idempotent: true}", "change": "c2"});
    let answer = put(&daemon, &format!("{TEAM}/kinds/other"), &nowhere);
    assert_eq!(answer.status, 400, "{}", answer.json());
    daemon.stop().unwrap();
}

fn has_claim(platform: &Platform, request: &str) -> bool {
    platform.row(&format!("claims/halvern/{request}")).is_some_and(|row| row.1.is_some())
}

/// Guards against an export that is incomplete or contains data of another team.
#[test]
fn export_team() {
    let target = Server::start(|request, _| Action::Reply(success_response(request)));
    let platform = platform(&[target.address]);
    let daemon = start_named("entry-1", &platform, "");
    platform.write("claims/other/r9", Some("foreign".into()));
    let body = r#"{"request_id": "r1", "timeout_ms": 20000,
        "tasks": [{"kind": "intake-confirmation", "payload": 1}]}"#;
    assert_eq!(submit(daemon.caller_address(), body).code(), "complete");
    assert!(has_claim(&platform, "r1"));
    let answer = get(&daemon, "/v1/export/halvern");
    assert_eq!(answer.status, 200);
    let export = answer.json();
    assert_eq!(export["team"], "halvern");
    assert_eq!(export["settings"]["version"], 1);
    assert_eq!(export["claims"].as_array().unwrap().len(), 1);
    assert_eq!(export["claims"][0]["request"], "r1");
    assert_eq!(export["results"][0]["answer"]["code"], "complete");
    assert_eq!(export["open_jobs"], 0);
    assert_eq!(get(&daemon, "/v1/export/other").status, 403);
    daemon.stop().unwrap();
}
