//! The settings file and the command line.

use std::process::{Command, Output};
use verbenapass_entry::settings::{Format, Settings};

const MINIMAL: &str = "name: entry-1\ndata_centre: north\ncaller_address: 127.0.0.1:7000\n\
                       peer_address: 127.0.0.1:7001\nplatform_address: 127.0.0.1:7100\n";

fn minimal_with(key: &str, line: &str) -> String {
    let others: Vec<_> =
        MINIMAL.lines().filter(|known| !known.starts_with(&format!("{key}:"))).collect();
    format!("{}\n{line}\n", others.join("\n"))
}

/// Guards against unnoticed changes of the defaults.
#[test]
fn from_yaml_defaults() {
    let settings = Settings::from_yaml("entry.yaml", MINIMAL).unwrap();
    assert_eq!(settings.traffic_threads, 2);
    assert_eq!(settings.log.format, Format::Json);
    assert_eq!(settings.trace.endpoint, None);
    assert_eq!(settings.admin_address, None);
    assert_eq!(settings.poll_interval.get(), 1_000);
    assert_eq!(settings.report_interval.get(), 10_000);
    assert_eq!(settings.claim_expiry_interval.get(), 600_000);
    assert_eq!(settings.stop.balancer_lag.get(), 2_000);
}

/// Guards against an error that does not name the file, the field, the value and what is allowed.
#[test]
fn from_yaml_invalid() {
    let cases: [(&str, &str, &[&str]); 20] = [
        ("name", "", &["missing field `name`"]),
        ("name", "name: a b", &["name:", "\"a b\"", "1 to 96 letters"]),
        ("data_centre", "data_centre: ''", &["data_centre:", "\"\"", "1 to 96 letters"]),
        (
            "caller_address",
            "caller_address: localhost:1",
            &["caller_address:", "localhost:1", "IP"],
        ),
        ("peer_address", "peer_address: 127.0.0.1", &["peer_address:", "127.0.0.1", "port"]),
        ("admin_address", "admin_address: 1:2:3", &["admin_address:", "1:2:3", "port"]),
        ("platform_address", "platform_address: x", &["platform_address:", "\"x\"", "port"]),
        ("bogus", "bogus: 1", &["unknown field `bogus`", "expected one of", "line 6"]),
        ("traffic_threads", "traffic_threads: 0", &["traffic_threads:", "\"0\"", "1 to 64"]),
        ("traffic_threads", "traffic_threads: two", &["traffic_threads:", "\"two\"", "u64"]),
        (
            "poll_interval_ms",
            "poll_interval_ms: 9",
            &["poll_interval_ms:", "\"9\"", "10 to 3600000"],
        ),
        (
            "report_interval_ms",
            "report_interval_ms: 999",
            &["report_interval_ms:", "\"999\"", "1000 to 60000"],
        ),
        (
            "report_interval_ms",
            "report_interval_ms: 60001",
            &["report_interval_ms:", "\"60001\"", "1000 to 60000"],
        ),
        (
            "claim_expiry_interval_ms",
            "claim_expiry_interval_ms: 9",
            &["claim_expiry_interval_ms:", "\"9\"", "10 to 3600000"],
        ),
        ("log", "log: {format: xml}", &["log.format:", "\"xml\"", "json or terminal"]),
        ("log", "log: {level: loud}", &["log.level:", "\"loud\"", "error, warning, info or debug"]),
        ("log", "log: {colour: red}", &["log:", "unknown field `colour`", "`format` or `level`"]),
        ("trace", "trace: {endpoint: x}", &["trace.endpoint:", "\"x\"", "http://"]),
        (
            "trace",
            "trace: {sample_permille: 1001}",
            &["trace.sample_permille:", "\"1001\"", "0 to 1000"],
        ),
        ("limits", "limits: {body_bytes: 10}", &["limits.body_bytes:", "\"10\"", "1024 to"]),
    ];
    for (key, line, parts) in cases {
        let error =
            Settings::from_yaml("entry.yaml", &minimal_with(key, line)).unwrap_err().to_string();
        for part in parts.iter().chain(&["entry.yaml"]) {
            assert!(error.contains(part), "{line}: {error} does not contain {part}");
        }
    }
}

fn run_entry(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_verbenapass-entry")).args(args).output().unwrap()
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8(bytes.into()).unwrap()
}

/// Guards against exit codes that differ from the documented ones.
#[test]
fn main_exit_codes() {
    let directory = tempfile::tempdir().unwrap();
    let good = directory.path().join("good.yaml");
    let bad = directory.path().join("bad.yaml");
    std::fs::write(&good, MINIMAL).unwrap();
    std::fs::write(&bad, minimal_with("name", "name: a/b")).unwrap();
    let good = good.to_str().unwrap();
    let bad = bad.to_str().unwrap();
    for (args, code, part) in [
        (vec!["--help"], 0, "Exit codes"),
        (vec!["--version"], 0, env!("CARGO_PKG_VERSION")),
        (vec![], 2, "--settings"),
        (vec!["--bogus"], 2, "--bogus"),
        (vec!["--settings", good, "--check"], 0, "valid"),
        (vec!["--settings", bad, "--check"], 2, "bad.yaml: name: \"a/b\""),
        (vec!["--settings", bad], 2, "bad.yaml: name: \"a/b\""),
        (vec!["--settings", "/nonexistent/entry.yaml", "--check"], 2, "/nonexistent/entry.yaml"),
    ] {
        let output = run_entry(&args);
        let printed = utf8(&output.stdout) + &utf8(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {printed}");
        assert!(printed.contains(part), "{args:?}: {printed}");
    }
}

/// Guards against a process that keeps running although its address is in use.
#[test]
fn main_address_in_use() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("entry.yaml");
    let line = format!("caller_address: {}", occupied.local_addr().unwrap());
    // Any free port for peers, because another program may use a fixed one.
    let yaml = minimal_with("caller_address", &line).replace("127.0.0.1:7001", "127.0.0.1:0");
    std::fs::write(&file, yaml).unwrap();
    let output = run_entry(&["--settings", file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    let error = utf8(&output.stderr);
    assert!(error.contains(&occupied.local_addr().unwrap().to_string()), "{error}");
}
