//! Tests of the operator command against an HTTP server with scripted answers and faults.

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use verbenapass::outcome::Refusal;
use verbenapass_ctl::error::Error;
use verbenapass_ctl::{EXIT_CONFLICT, EXIT_FAILED, EXIT_OK, EXIT_PENDING, EXIT_USAGE};
use verbenapass_ctl::{args, explain, run};
use verbenapass_proto::caller::Code;
use verbenapass_proto::settings::{Answer, Change, Claim, Export, Fault, Put, Status, Value};

/// Parts of a received request that the tests check.
#[derive(Clone, Debug)]
struct ReceivedRequest {
    method: Method,
    path: String,
    authorization: Option<String>,
    put: Option<Put>,
}

type RequestLog = Arc<Mutex<Vec<ReceivedRequest>>>;

/// Answer of a handler: status and body, or `None` to close the connection without a reply.
type Reply = Option<(u16, String)>;

/// Serves `handler`, which gets all requests received so far; the last one is the request to answer.
async fn serve(
    handler: impl Fn(&[ReceivedRequest]) -> Reply + Send + Sync + 'static,
) -> (SocketAddr, RequestLog) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let log = RequestLog::default();
    let (handler, requests) = (Arc::new(handler), log.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (handler, requests) = (handler.clone(), requests.clone());
            let service = service_fn(move |request: Request<Incoming>| {
                answer(request, handler.clone(), requests.clone())
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    (address, log)
}

async fn answer(
    request: Request<Incoming>,
    handler: Arc<impl Fn(&[ReceivedRequest]) -> Reply>,
    log: RequestLog,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let authorization = parts.headers.get("authorization").map(|v| v.to_str().unwrap().to_string());
    let mut log = log.lock().unwrap();
    log.push(ReceivedRequest {
        method: parts.method,
        path: parts.uri.to_string(),
        authorization,
        put: serde_json::from_slice(&body).ok(),
    });
    match handler(&log) {
        Some((status, body)) => {
            Ok(Response::builder().status(status).body(Full::new(body.into())).unwrap())
        }
        None => Err(std::io::Error::other("reply dropped by the test")),
    }
}

fn json_reply<T: serde::Serialize>(status: u16, body: &T) -> Reply {
    Some((status, serde_json::to_string(body).unwrap()))
}

fn settings_value(version: u64) -> Value {
    let history = vec![Change { change: "before".into(), version }];
    Value { path: "/teams/halvern".into(), version, value: Some("weight: 1\n".into()), history }
}

fn change_answer(status: Status) -> Answer {
    Answer { version: Some(5), ..Answer::new(status) }
}

async fn run_ctl(entries: &[SocketAddr], line: &str) -> (Result<u8, Error>, String) {
    let entries = entries.iter().map(|entry| format!("--entry {entry} ")).collect::<String>();
    let words = format!("{entries}--timeout-ms 5000 {line}");
    let words: Vec<&str> = words.split_ascii_whitespace().collect();
    let args = args::args().run_inner(words.as_slice()).unwrap();
    let mut out = Vec::new();
    let result = run::run(&args, &mut out).await;
    (result, String::from_utf8(out).unwrap())
}

// Guards against a change that is applied twice or reported as failed after a lost reply: the retry
// must have the same change id and the same expected version.
#[tokio::test]
async fn put_lost_reply() {
    let (entry, log) = serve(|requests| {
        let puts = requests.iter().filter(|request| request.method == Method::PUT).count();
        match (&requests[requests.len() - 1].method, puts) {
            (&Method::GET, _) => json_reply(200, &settings_value(4)),
            (_, 1) => None,
            _ => json_reply(200, &change_answer(Status::Accepted)),
        }
    })
    .await;
    let (code, out) = run_ctl(&[entry], "settings put /teams/halvern/weight --value 2").await;
    assert_eq!(code.unwrap(), EXIT_OK);
    assert!(out.starts_with("accepted: change ctl-"), "{out}");
    let puts: Vec<Put> =
        log.lock().unwrap().iter().filter_map(|request| request.put.clone()).collect();
    assert_eq!(puts.len(), 2);
    assert_eq!(puts[0], puts[1]);
    assert_eq!(puts[0].expect, Some(4), "the version was read first");
    let paths: Vec<String> =
        log.lock().unwrap().iter().map(|request| request.path.clone()).collect();
    assert_eq!(paths[..2], ["/v1/settings/teams/halvern", "/v1/settings/teams/halvern/weight"]);
}

// Guards against giving up without a retry while it is unknown whether the change took effect.
#[tokio::test]
async fn put_unsettled() {
    let (entry, _) = serve(|requests| match requests.len() {
        1 => json_reply(503, &Answer::new(Status::Unsettled)),
        _ => json_reply(200, &change_answer(Status::Accepted)),
    })
    .await;
    let line = "settings put /fleet/retry_permille --value 50 --expect 4 --change c1";
    assert_eq!(run_ctl(&[entry], line).await.0.unwrap(), EXIT_OK);
    let (entry, _) = serve(|_| json_reply(503, &Answer::new(Status::Unsettled))).await;
    let (code, out) = run_ctl(&[entry], &format!("--attempts 2 {line}")).await;
    assert_eq!(code.unwrap(), EXIT_FAILED);
    assert!(out.contains("repeat the command with --change c1"), "{out}");
}

#[tokio::test]
async fn put_conflict() {
    let (entry, _) = serve(|_| {
        json_reply(
            409,
            &Answer {
                winner_version: Some(6),
                winner_change: Some("other".into()),
                ..Answer::new(Status::Conflict)
            },
        )
    })
    .await;
    let line = "settings put /teams/halvern/weight --value 2 --expect 4 --change mine";
    let (code, out) = run_ctl(&[entry], line).await;
    assert_eq!(code.unwrap(), EXIT_CONFLICT);
    assert_eq!(out, "conflict: change mine has no effect; version 6 was made by change other\n");
    let (_, out) = run_ctl(&[entry], &format!("--json {line}")).await;
    let out: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(out["status"], "conflict");
    assert_eq!(out["change"], "mine");
}

// Guards against a pending change that is reported as accepted or as failed.
#[tokio::test]
async fn put_pending() {
    let pending = || Answer { pending: vec!["dc3".into()], ..change_answer(Status::Pending) };
    let (entry, log) = serve(move |requests| match requests.len() {
        1 | 2 => json_reply(202, &pending()),
        3 => json_reply(404, &Answer::new(Status::NotFound)),
        4 => json_reply(202, &pending()),
        _ => json_reply(200, &change_answer(Status::Accepted)),
    })
    .await;
    let line = "settings put /teams/halvern/weight --value 2 --expect 4 --change mine";
    let (code, out) = run_ctl(&[entry], &format!("{line} --wait 0")).await;
    assert_eq!(code.unwrap(), EXIT_PENDING);
    assert_eq!(out, "pending: change mine made version 5; not confirmed by dc3\n");
    let (code, _) = run_ctl(&[entry], &format!("{line} --wait 60")).await;
    assert_eq!(code.unwrap(), EXIT_OK);
    assert_eq!(log.lock().unwrap()[4].path, "/v1/settings/teams/halvern?change=mine");
}

#[tokio::test]
async fn put_refused() {
    let (entry, _) = serve(|_| {
        let error = Fault {
            path: "/teams/halvern/weight".into(),
            value: "0".into(),
            allowed: "1 to 1000".into(),
        };
        json_reply(400, &Answer { error: Some(error), ..Answer::new(Status::Refused) })
    })
    .await;
    let line = "settings put /teams/halvern/weight --value 0 --expect 4";
    let (code, out) = run_ctl(&[entry], line).await;
    assert_eq!(code.unwrap(), EXIT_USAGE);
    assert_eq!(out, "refused: /teams/halvern/weight is 0, allowed is 1 to 1000\n");
    let (code, _) = run_ctl(&[entry], "settings put /nowhere --value 0").await;
    assert_eq!(code.unwrap_err().exit_code(), EXIT_USAGE);
}

// Guards against a command that fails because one of its instances does not answer.
#[tokio::test]
async fn get_next_entry() {
    let (dead, _) = serve(|_| None).await;
    let (entry, _) = serve(|_| json_reply(200, &settings_value(4))).await;
    let (code, out) = run_ctl(&[dead, entry], "settings get /teams/halvern").await;
    assert_eq!(code.unwrap(), EXIT_OK);
    assert_eq!(out, "weight: 1\n");
    let (_, out) = run_ctl(&[entry], "settings history /teams/halvern").await;
    assert_eq!(out, "4 before\n");
    let (code, _) = run_ctl(&[dead], "--attempts 2 settings get /teams/halvern").await;
    assert!(
        code.unwrap_err().to_string().contains(&dead.to_string()),
        "the error names the instance"
    );
}

// Guards against a credential that is not sent, and against one that appears in an error.
#[tokio::test]
async fn credential_from_file() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("credential");
    std::fs::write(&file, "s3cret\n").unwrap();
    let (entry, log) = serve(|_| json_reply(403, &"no")).await;
    let line = format!("--credential-file {} settings get /fleet", file.display());
    let error = run_ctl(&[entry], &line).await.0.unwrap_err();
    assert_eq!(log.lock().unwrap()[0].authorization.as_deref(), Some("Bearer s3cret"));
    assert!(matches!(error, Error::Denied(..)));
    assert!(!format!("{error} {error:?}").contains("s3cret"));
    assert_eq!(error.exit_code(), EXIT_FAILED);
}

#[tokio::test]
async fn job_get_and_cancel() {
    let (entry, log) = serve(|requests| match requests.len() {
        1 => Some((202, r#"{"code": "running", "job": "a.1"}"#.into())),
        2 => Some((410, r#"{"code": "cancelled", "started": false}"#.into())),
        _ => Some((404, r#"{"code": "not_found"}"#.into())),
    })
    .await;
    let (code, out) = run_ctl(&[entry], "job get a.1").await;
    assert_eq!((code.unwrap(), out.as_str()), (EXIT_OK, "code: \"running\"\njob: \"a.1\"\n"));
    assert_eq!(run_ctl(&[entry], "job cancel a.1").await.0.unwrap(), EXIT_OK);
    assert_eq!(run_ctl(&[entry], "job get a.2").await.0.unwrap(), EXIT_FAILED);
    assert_eq!(run_ctl(&[entry], "job get a").await.0.unwrap_err().exit_code(), EXIT_USAGE);
    assert_eq!(log.lock().unwrap()[1].method, Method::DELETE);
}

fn export(open_jobs: u64) -> Export {
    Export {
        team: "halvern".into(),
        settings: settings_value(4),
        claims: vec![Claim { request: "r1".into(), row: "{}".into() }],
        results: Vec::new(),
        open_jobs,
    }
}

fn read_exported(directory: &Path, file: &str) -> String {
    std::fs::read_to_string(directory.join("halvern").join(file)).unwrap()
}

#[tokio::test]
async fn team_export() {
    let directory = tempfile::tempdir().unwrap();
    let (entry, log) = serve(|_| json_reply(200, &export(3))).await;
    let line = format!("team export halvern --out {}", directory.path().display());
    let (code, out) = run_ctl(&[entry, entry], &line).await;
    assert_eq!(code.unwrap(), EXIT_OK);
    assert!(out.contains("settings version 4, 1 claims, 0 results"), "{out}");
    assert_eq!(read_exported(directory.path(), "settings.yaml"), "weight: 1\n");
    assert_eq!(
        read_exported(directory.path(), "claims.jsonl"),
        "{\"request\":\"r1\",\"row\":\"{}\"}\n"
    );
    assert_eq!(log.lock().unwrap().len(), 2, "each instance keeps its own results");
}

// Guards against the removal of a team with open jobs, and of settings that changed after the
// export.
#[tokio::test]
async fn team_close() {
    let directory = tempfile::tempdir().unwrap();
    let line = format!("team close halvern --out {} --wait", directory.path().display());
    let (entry, log) = serve(|_| json_reply(200, &export(1))).await;
    let error = run_ctl(&[entry], &format!("{line} 0")).await.0.unwrap_err();
    assert!(matches!(error, Error::NotDrained(1)));
    assert!(log.lock().unwrap().iter().all(|request| request.method == Method::GET));
    let (entry, log) = serve(|requests| match requests.len() {
        1 => json_reply(200, &export(1)),
        2 => json_reply(200, &export(0)),
        3 => json_reply(202, &change_answer(Status::Pending)),
        4 => json_reply(202, &change_answer(Status::Pending)),
        // An instance that started after the removal rejects the credential.
        _ => json_reply(403, &"no"),
    })
    .await;
    let (code, _) = run_ctl(&[entry], &format!("{line} 60")).await;
    assert_eq!(code.unwrap(), EXIT_PENDING);
    assert_eq!(log.lock().unwrap().len(), 5, "the pending removal was polled");
    let put = log.lock().unwrap()[2].put.clone().unwrap();
    assert_eq!((put.value, put.expect), (None, Some(4)));
    assert_eq!(read_exported(directory.path(), "settings.yaml"), "weight: 1\n");
}

// Guards against a code without an explanation. The matches have no wildcard, so a new code does not
// compile until it is added here.
#[test]
fn explain_covers_codes() {
    use Code::{
        Accepted, Cancelled, Complete, Expired, Failed, Invalid, NotFound, OwnerGone,
        OwnerUnreachable, Refused, Running, Unknown,
    };
    let codes = [
        Accepted,
        Running,
        Complete,
        Failed,
        Refused,
        Unknown,
        Expired,
        Cancelled,
        NotFound,
        OwnerGone,
        OwnerUnreachable,
        Invalid,
    ];
    for code in codes {
        match code {
            Accepted | Running | Complete | Failed | Refused | Unknown | Expired | Cancelled
            | NotFound | OwnerGone | OwnerUnreachable | Invalid => {}
        }
        assert_explained(&code, explain::Group::Answer);
    }
    let refusals = [
        Refusal::Stopping,
        Refusal::NoSettings,
        Refusal::QueueFull,
        Refusal::Overloaded,
        Refusal::PlatformUnavailable,
        Refusal::NoTargets,
        Refusal::Evacuated,
        Refusal::AttemptsExhausted,
    ];
    for refusal in refusals {
        match refusal {
            Refusal::Stopping
            | Refusal::NoSettings
            | Refusal::QueueFull
            | Refusal::Overloaded
            | Refusal::PlatformUnavailable
            | Refusal::NoTargets
            | Refusal::Evacuated
            | Refusal::AttemptsExhausted => {}
        }
        assert_explained(&refusal, explain::Group::Refusal);
    }
    let statuses = [
        Status::Accepted,
        Status::Pending,
        Status::Conflict,
        Status::Refused,
        Status::Unsettled,
        Status::NotFound,
    ];
    for status in statuses {
        match status {
            Status::Accepted
            | Status::Pending
            | Status::Conflict
            | Status::Refused
            | Status::Unsettled
            | Status::NotFound => {}
        }
        assert_explained(&status, explain::Group::Change);
    }
}

fn assert_explained(code: &impl serde::Serialize, group: explain::Group) {
    let code = serde_json::to_value(code).unwrap();
    let found = explain::find(code.as_str().unwrap());
    assert!(found.iter().any(|topic| topic.group == group), "{code}");
}

// Guards against mistakes in a settings file that show only after it was sent to the fleet.
#[tokio::test]
async fn settings_check() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("fleet.yaml");
    let line = format!("settings check /fleet --file {}", file.display());
    let yaml = format!("credential_sha256: {}\n", verbenapass::settings::sha256_hex("secret"));
    std::fs::write(&file, &yaml).unwrap();
    let (code, out) = run_ctl(&[], &line).await;
    assert_eq!((code.unwrap(), out.contains("valid for /fleet")), (EXIT_OK, true));
    std::fs::write(&file, yaml + "retry_permille: 2000\n").unwrap();
    let error = run_ctl(&[], &line).await.0.unwrap_err();
    assert_eq!(error.exit_code(), EXIT_USAGE);
    let expected =
        format!("{}: /fleet/retry_permille is 2000, allowed is 0 to 1000", file.display());
    assert_eq!(error.to_string(), expected);
}

fn run_binary(words: &[&str]) -> (i32, String, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_verbenapass-ctl"))
        .args(words)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

#[test]
fn binary_exit_codes() {
    let (code, out, _) = run_binary(&["--help"]);
    assert_eq!(code, i32::from(EXIT_OK));
    assert!(out.contains("3 conflict with another"), "{out}");
    let (code, out, _) = run_binary(&["--version"]);
    assert_eq!(code, i32::from(EXIT_OK));
    assert!(out.contains(env!("CARGO_PKG_VERSION")), "{out}");
    let (code, out, _) = run_binary(&["explain", "no_targets", "--json"]);
    assert_eq!(code, i32::from(EXIT_OK));
    assert!(out.contains("No target of the service is usable."), "{out}");
    let (code, _, error) = run_binary(&["explain", "nope"]);
    assert_eq!(code, i32::from(EXIT_USAGE));
    assert!(error.contains("attempts_exhausted"), "{error}");
    for line in [&["settings", "get", "/fleet"][..], &["--entri", "127.0.0.1:1", "status"]] {
        let (code, _, error) = run_binary(line);
        assert_eq!(code, i32::from(EXIT_USAGE), "{error}");
    }
}

// Guards against an operations page that lacks a code or a settings key.
#[test]
fn operations_page_is_complete() {
    const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
    let listed = |word: &str| PAGE.contains(&format!("`{word}`"));
    for topic in explain::TOPICS {
        assert!(listed(topic.code), "{} is not on the page", topic.code);
    }
    let digest = verbenapass::settings::sha256_hex("secret");
    let fleet = format!("credential_sha256: {digest}");
    let team = format!("{fleet}\nkinds:\n  KIND:\n    service: s\n    idempotent: true\n");
    for (owner, yaml) in [("/fleet", fleet), ("/teams/t", team)] {
        let subtree =
            verbenapass::settings::Subtree::parse(&owner.parse().unwrap(), &yaml).unwrap();
        for line in subtree.to_yaml().lines() {
            let (key, _) = line.split_once(':').unwrap();
            let key = key.trim_start();
            let full =
                if line.starts_with("    ") { format!("kinds/<kind>/{key}") } else { key.into() };
            assert!(key == "KIND" || listed(&full), "{full} is not on the page");
        }
    }
}
