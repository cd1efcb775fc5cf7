//! Tests of the operator command with an entry instance and the stand-in platform.

use bytes::Bytes;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use verbenapass::settings::sha256_hex;
use verbenapass_ctl::client::{Client, Options};
use verbenapass_ctl::error::Error;
use verbenapass_ctl::{EXIT_CONFLICT, EXIT_FAILED, EXIT_OK, EXIT_USAGE, args, run};
use verbenapass_entry::daemon::Daemon;
use verbenapass_entry::settings::Settings;
use verbenapass_proto::platform::{Instance, Mark, Role};
use verbenapass_standin::platform::Server;
use verbenapass_standin::{settings as standin, switch};

/// Maximum number of readiness checks of the instance, about 20 ms apart.
const READY_ATTEMPTS: usize = 1_500;

struct Session {
    platform: Server,
    daemon: Daemon,
    directory: tempfile::TempDir,
}

/// Returns a target for the instance list, so that its service is known. No task is sent to it.
fn target() -> Instance {
    Instance {
        name: "t1".into(),
        role: Role::Target,
        data_centre: "north".into(),
        address: "127.0.0.1:1".into(),
        mark: Mark::Live,
        service: "enrol".into(),
        worker: "w1".into(),
        rack: "r1".into(),
        slots: 1,
        connections: 1,
        memory_bytes: 0,
        accelerators: 0,
    }
}

async fn platform() -> Server {
    let fleet = format!("credential_sha256: {}\ndata_centres: [north]\n", sha256_hex("fleet"));
    let team = format!(
        "credential_sha256: {}\nkinds:\n  seat-hold: {{service: enrol, idempotent: true}}\n",
        sha256_hex("halvern")
    );
    let loopback: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let settings = standin::Platform {
        control: loopback,
        listeners: vec![standin::Listener { name: "north".into(), address: loopback }],
        sync_ms: 0,
        parallel_writes: 1,
        rows: [("settings/fleet".into(), fleet), ("settings/teams/halvern".into(), team)].into(),
        instances: vec![target()],
    };
    Server::start(settings).await.unwrap()
}

async fn start_session() -> Session {
    let platform = platform().await;
    let text = format!(
        "name: entry-1\ndata_centre: north\ncaller_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n\
         platform_address: {}\npoll_interval_ms: 10\nstop: {{balancer_lag_ms: 0}}\n",
        platform.addresses()[0]
    );
    let settings = Settings::from_yaml("entry.yaml", &text).unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let daemon = Daemon::start(&settings, &log).unwrap();
    let entry = daemon.caller_address();
    let options = Options { timeout: Duration::from_secs(5), attempts: 1, credential: None };
    let client = Client::new(vec![entry], options);
    for _ in 0..READY_ATTEMPTS {
        let answer = client.send_once("ready", entry, &Method::GET, "/readyz", Bytes::new()).await;
        if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return Session { platform, daemon, directory: tempfile::tempdir().unwrap() };
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the instance did not become ready");
}

impl Session {
    /// Runs the command with the given credential.
    async fn run_ctl(&self, credential: &str, line: &str) -> (Result<u8, Error>, String) {
        let file = self.directory.path().join(credential);
        std::fs::write(&file, credential).unwrap();
        let entry = self.daemon.caller_address();
        let words = format!("--entry {entry} --credential-file {} {line}", file.display());
        let words: Vec<&str> = words.split_ascii_whitespace().collect();
        let args = args::args().run_inner(words.as_slice()).unwrap();
        let mut out = Vec::new();
        let result = run::run(&args, &mut out).await;
        (result, String::from_utf8(out).unwrap())
    }

    async fn expect_code(&self, credential: &str, line: &str, code: u8) -> String {
        let (result, out) = self.run_ctl(credential, line).await;
        assert_eq!(result.unwrap(), code, "{line}: {out}");
        out
    }

    async fn expect_denied(&self, credential: &str, line: &str) {
        let (result, out) = self.run_ctl(credential, line).await;
        assert!(matches!(result, Err(Error::Denied(..))), "{line}: {result:?} {out}");
    }

    async fn stop(self) {
        let daemon = self.daemon;
        tokio::task::spawn_blocking(move || daemon.stop().unwrap()).await.unwrap();
        self.platform.stop().await;
    }
}

// Guards against a command and an instance that implement the settings protocol differently, also
// when the platform loses a reply.
#[tokio::test(flavor = "multi_thread")]
async fn session_settings() {
    let session = start_session().await;
    let weight = "/teams/halvern/weight";
    assert_eq!(
        session.expect_code("halvern", &format!("settings get {weight}"), EXIT_OK).await,
        "1\n"
    );
    let line = format!("settings put {weight} --value 7 --change first");
    let out = session.expect_code("halvern", &line, EXIT_OK).await;
    assert_eq!(out, "accepted: change first made version 2\n");
    assert_eq!(
        session.expect_code("halvern", &format!("settings get {weight}"), EXIT_OK).await,
        "7\n"
    );
    let out = session.expect_code("halvern", &line, EXIT_OK).await;
    assert_eq!(out, "accepted: change first made version 2\n", "a repeated change has no effect");

    let line = format!("settings put {weight} --value 8 --expect 1 --change late");
    let out = session.expect_code("halvern", &line, EXIT_CONFLICT).await;
    assert_eq!(out, "conflict: change late has no effect; version 2 was made by change first\n");
    let line = format!("settings put {weight} --value 0");
    let out = session.expect_code("halvern", &line, EXIT_USAGE).await;
    assert_eq!(out, "refused: /teams/halvern/weight is 0, allowed is 1 to 1000\n");

    session.platform.set_switches(switch::Platform { lose_replies: 1, ..Default::default() });
    let line = format!("settings put {weight} --value 9 --change second");
    let out = session.expect_code("halvern", &line, EXIT_OK).await;
    assert_eq!(out, "accepted: change second made version 3\n");
    let out = session.expect_code("halvern", "settings history /teams/halvern", EXIT_OK).await;
    assert_eq!(out, "3 second\n2 first\n");
    let line = "settings status /teams/halvern --change first";
    let out = session.expect_code("halvern", line, EXIT_OK).await;
    assert_eq!(out, "accepted: change first made version 2\n");
    session
        .expect_code("halvern", "settings status /teams/halvern --change none", EXIT_FAILED)
        .await;

    session.expect_denied("halvern", "settings get /fleet").await;
    session
        .expect_denied("halvern", "settings put /fleet/retry_permille --value 1 --expect 1")
        .await;
    session.expect_denied("fleet", &format!("settings get {weight}")).await;
    let line = "settings put /fleet/retry_permille --value 50";
    session.expect_code("fleet", line, EXIT_OK).await;
    session.stop().await;
}

// Guards against a change that is lost or applied twice when the platform is unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn session_outage() {
    let session = start_session().await;
    let line = "settings put /teams/halvern/weight --value 7 --expect 1 --change c1";
    session
        .platform
        .set_switches(switch::Platform { cut: vec!["north".into()], ..Default::default() });
    let out = session.expect_code("halvern", &format!("--attempts 1 {line}"), EXIT_FAILED).await;
    assert!(out.starts_with("unsettled: "), "{out}");
    session.platform.set_switches(switch::Platform::default());
    let out = session.expect_code("halvern", line, EXIT_OK).await;
    assert_eq!(out, "accepted: change c1 made version 2\n");
    session.stop().await;
}

// Guards against a team that can't be created, and against an accepted kind whose service has no
// targets.
#[tokio::test(flavor = "multi_thread")]
async fn session_new_team() {
    let session = start_session().await;
    let team = format!(
        "credential_sha256: {}\nkinds:\n  a: {{service: enrol, idempotent: true}}\n",
        sha256_hex("new")
    );
    let file = session.directory.path().join("new.yaml");
    std::fs::write(&file, team).unwrap();
    let line = format!("settings put /teams/new --file {}", file.display());
    session.expect_denied("halvern", &line).await;
    session.expect_code("fleet", &line, EXIT_OK).await;
    session.expect_denied("fleet", "settings get /teams/new").await;
    let file = session.directory.path().join("kind.yaml");
    std::fs::write(&file, "{service: enrol, idempotent: true}\n").unwrap();
    let line = format!("settings put /teams/new/kinds/b --file {}", file.display());
    session.expect_code("new", &line, EXIT_OK).await;
    std::fs::write(&file, "{service: enroll, idempotent: true}\n").unwrap();
    let line = format!("settings put /teams/new/kinds/c --file {}", file.display());
    let out = session.expect_code("new", &line, EXIT_USAGE).await;
    assert_eq!(
        out,
        "refused: /teams/new/kinds/c/service is enroll, allowed is a service with targets: enrol\n"
    );
    session.stop().await;
}

// Guards against a closed team whose credential or settings still work or can be restored with the
// old credential.
#[tokio::test(flavor = "multi_thread")]
async fn session_close_team() {
    let session = start_session().await;
    let out = session.directory.path().join("export");
    let line = format!("team close halvern --out {}", out.display());
    let text = session.expect_code("halvern", &line, EXIT_OK).await;
    assert!(text.contains("settings version 1, 0 claims, 0 results"), "{text}");
    assert!(text.contains("made version 2"), "{text}");
    let yaml = std::fs::read_to_string(Path::new(&out).join("halvern/settings.yaml")).unwrap();
    let owner = "/teams/halvern".parse().unwrap();
    verbenapass::settings::Subtree::parse(&owner, &yaml).unwrap();
    session.expect_denied("halvern", "settings get /teams/halvern").await;
    let line = "settings put /teams/halvern --value {} --expect 2";
    session.expect_denied("halvern", line).await;
    let text = session.expect_code("fleet", "settings get /teams/halvern", EXIT_FAILED).await;
    assert_eq!(text, "/teams/halvern does not exist\n");
    session.stop().await;
}
