//! Execution of the commands.

use crate::args::{Args, CREDENTIAL_VARIABLE, Command, Job, Settings, Team, Value};
use crate::client::{Answer, Client, Options};
use crate::error::Error;
use crate::{EXIT_CONFLICT, EXIT_FAILED, EXIT_OK, EXIT_PENDING, EXIT_USAGE, explain};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Serialize;
use std::collections::BTreeSet;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};
use verbenapass::settings::{Owner, Path as SettingsPath, Subtree};
use verbenapass_proto::caller;
use verbenapass_proto::settings::{self as wire, Export, Put, Status};

/// Interval at which a pending change or the number of open jobs is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time to wait until every data centre confirms the removal of a team.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a command, writes its output to `out` and returns the exit code.
///
/// An error is not written; the caller prints it and takes the exit code from it.
pub async fn run(args: &Args, out: &mut impl Write) -> Result<u8, Error> {
    if let Command::Explain { code } = &args.command {
        return explain_codes(code.as_deref(), args.json, out);
    }
    if let Command::Settings(Settings::Check { file, path }) = &args.command {
        let owner: Owner = path.parse()?;
        let name = file.display().to_string();
        Subtree::parse_file(&owner, &read_file("read", file)?, &name)?;
        writeln!(out, "{name}: valid for {owner}")?;
        return Ok(EXIT_OK);
    }
    let client = make_client(args)?;
    match &args.command {
        Command::Explain { .. } => Ok(EXIT_OK),
        Command::Settings(settings) => run_settings(&client, settings, args.json, out).await,
        Command::Status => print_status(&client, args.json, out).await,
        Command::Job(Job::Get { id }) => run_job(&client, &Method::GET, id, args.json, out).await,
        Command::Job(Job::Cancel { id }) => {
            run_job(&client, &Method::DELETE, id, args.json, out).await
        }
        Command::Team(Team::Export { out: directory, team }) => {
            let exports = read_exports(&client, team).await?;
            write_export(directory, team, &exports, args.json, out)?;
            Ok(EXIT_OK)
        }
        Command::Team(Team::Close { out: directory, wait, team }) => {
            let wait = Duration::from_secs(*wait);
            let exports = wait_until_drained(&client, team, wait).await?;
            write_export(directory, team, &exports, args.json, out)?;
            remove_team(&client, team, &exports, args.json, out).await
        }
    }
}

fn make_client(args: &Args) -> Result<Client, Error> {
    if args.entry.is_empty() {
        return Err(Error::Usage("no entry instance is given, use --entry IP:PORT".into()));
    }
    let credential = match &args.credential_file {
        Some(file) => Some(read_file("read", file)?.trim().to_string()),
        None => std::env::var(CREDENTIAL_VARIABLE).ok(),
    };
    let timeout = Duration::from_millis(args.timeout_ms);
    let options = Options { timeout, attempts: args.attempts, credential };
    Ok(Client::new(args.entry.clone(), options))
}

fn read_file(step: &'static str, file: &Path) -> Result<String, Error> {
    std::fs::read_to_string(file)
        .map_err(|error| Error::File(step, file.display().to_string(), error))
}

fn explain_codes(code: Option<&str>, json: bool, out: &mut impl Write) -> Result<u8, Error> {
    let topics = match code {
        None => explain::TOPICS.iter().collect(),
        Some(code) => explain::find(code),
    };
    if topics.is_empty() {
        let codes: BTreeSet<&str> = explain::TOPICS.iter().map(|topic| topic.code).collect();
        let codes = codes.into_iter().collect::<Vec<_>>().join(", ");
        let code = code.unwrap_or_default();
        return Err(Error::Usage(format!("{code:?} is not a code, allowed are {codes}")));
    }
    if json {
        print_json(&topics, out)?;
        return Ok(EXIT_OK);
    }
    for topic in topics {
        writeln!(out, "{} ({})", topic.code, topic.group)?;
        writeln!(out, "  meaning: {}", topic.meaning)?;
        writeln!(out, "  action: {}", topic.action)?;
    }
    Ok(EXIT_OK)
}

fn print_json<T: Serialize + ?Sized>(value: &T, out: &mut impl Write) -> Result<(), Error> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)?;
    Ok(())
}

async fn run_settings(
    client: &Client,
    settings: &Settings,
    json: bool,
    out: &mut impl Write,
) -> Result<u8, Error> {
    match settings {
        // Handled by `run`, because it needs no client.
        Settings::Check { .. } => Ok(EXIT_OK),
        Settings::Get { path } => {
            let value = read_settings(client, &path.parse()?).await?;
            if json {
                print_json(&value, out)?;
            } else {
                match &value.value {
                    Some(yaml) => write!(out, "{yaml}")?,
                    None => writeln!(out, "{path} does not exist")?,
                }
            }
            Ok(if value.value.is_some() { EXIT_OK } else { EXIT_FAILED })
        }
        Settings::History { path } => {
            let owner: Owner = path.parse()?;
            let value = read_settings(client, &SettingsPath { owner, keys: Vec::new() }).await?;
            if json {
                print_json(&value.history, out)?;
            } else {
                for change in &value.history {
                    writeln!(out, "{} {}", change.version, change.change)?;
                }
            }
            Ok(EXIT_OK)
        }
        Settings::Status { change, wait, path } => {
            let owner: Owner = path.parse()?;
            let deadline = Instant::now() + Duration::from_secs(*wait);
            let answer = read_change(client, &owner, change).await?;
            let answer = poll_change(client, &owner, change, answer, deadline).await?;
            print_change(change, &answer, json, out)
        }
        Settings::Put { value, expect, change, wait, path } => {
            let path: SettingsPath = path.parse()?;
            let yaml = match value {
                Value::File { file } => read_file("read", file)?,
                Value::Value { value } => value.clone(),
            };
            // The expected version keeps a repeated request from being applied twice. It is the
            // version of the subtree, because the key may not exist yet.
            let subtree = SettingsPath { owner: path.owner.clone(), keys: Vec::new() };
            let expect = match expect {
                Some(expect) => *expect,
                None => read_settings(client, &subtree).await?.version,
            };
            let change = change.clone().unwrap_or_else(|| format!("ctl-{}", uuid::Uuid::new_v4()));
            let put = Put { value: Some(yaml), expect: Some(expect), change };
            let deadline = Instant::now() + Duration::from_secs(*wait);
            let answer = send_put(client, &path, &put).await?;
            let answer = poll_change(client, &path.owner, &put.change, answer, deadline).await?;
            print_change(&put.change, &answer, json, out)
        }
    }
}

async fn read_settings(client: &Client, path: &SettingsPath) -> Result<wire::Value, Error> {
    const STEP: &str = "read settings";
    let url = format!("/v1/settings{path}");
    let answer = client.send::<()>(STEP, &Method::GET, &url, None).await?;
    match answer.status {
        // The body for a subtree or key that does not exist has a version but no value.
        StatusCode::OK | StatusCode::NOT_FOUND => answer.parse(STEP),
        _ => Err(answer.unexpected(STEP)),
    }
}

async fn read_change(client: &Client, owner: &Owner, change: &str) -> Result<wire::Answer, Error> {
    const STEP: &str = "read change";
    if change.parse::<verbenapass::id::Change>().is_err() {
        return Err(Error::Usage(format!("{change:?} is not a change id")));
    }
    let url = format!("/v1/settings{owner}?change={change}");
    let answer = client.send::<()>(STEP, &Method::GET, &url, None).await?;
    parse_settings_answer(STEP, &answer)
}

async fn send_put(client: &Client, path: &SettingsPath, put: &Put) -> Result<wire::Answer, Error> {
    const STEP: &str = "change settings";
    if put.change.parse::<verbenapass::id::Change>().is_err() {
        return Err(Error::Usage(format!("{:?} is not a change id", put.change)));
    }
    let url = format!("/v1/settings{path}");
    let answer = client.send(STEP, &Method::PUT, &url, Some(put)).await?;
    parse_settings_answer(STEP, &answer)
}

fn parse_settings_answer(step: &'static str, answer: &Answer) -> Result<wire::Answer, Error> {
    if matches!(answer.status, StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN) {
        return Err(Error::Denied(step, answer.entry));
    }
    answer.parse(step)
}

/// Polls a pending change until it is accepted or the deadline passes.
async fn poll_change(
    client: &Client,
    owner: &Owner,
    change: &str,
    mut answer: wire::Answer,
    deadline: Instant,
) -> Result<wire::Answer, Error> {
    while answer.status == Status::Pending && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        match read_change(client, owner, change).await {
            Ok(next) if matches!(next.status, Status::Accepted | Status::Pending) => answer = next,
            // The instance may not know the change yet. A stored change is never withdrawn, so the
            // change stays pending.
            Ok(_) => {}
            // After a team is removed, its credential is no longer valid.
            Err(Error::Denied(..)) => break,
            Err(error) => return Err(error),
        }
    }
    Ok(answer)
}

fn print_change(
    change: &str,
    answer: &wire::Answer,
    json: bool,
    out: &mut impl Write,
) -> Result<u8, Error> {
    if json {
        #[derive(Serialize)]
        struct Report<'a> {
            change: &'a str,
            #[serde(flatten)]
            answer: &'a wire::Answer,
        }
        print_json(&Report { change, answer }, out)?;
    } else {
        writeln!(out, "{}", describe_change(change, answer))?;
    }
    Ok(match answer.status {
        Status::Accepted => EXIT_OK,
        Status::Pending => EXIT_PENDING,
        Status::Conflict => EXIT_CONFLICT,
        Status::Refused => EXIT_USAGE,
        Status::Unsettled | Status::NotFound => EXIT_FAILED,
    })
}

fn describe_change(change: &str, answer: &wire::Answer) -> String {
    let version = answer.version.unwrap_or(0);
    match answer.status {
        Status::Accepted => format!("accepted: change {change} made version {version}"),
        Status::Pending => format!(
            "pending: change {change} made version {version}; not confirmed by {}",
            match answer.pending.as_slice() {
                [] => "all data centres".into(),
                names => names.join(", "),
            }
        ),
        Status::Conflict => format!(
            "conflict: change {change} has no effect; version {} was made by change {}",
            answer.winner_version.unwrap_or(0),
            answer.winner_change.as_deref().unwrap_or("unknown")
        ),
        Status::Refused => match &answer.error {
            Some(wire::Fault { path, value, allowed }) => {
                format!("refused: {path} is {value}, allowed is {allowed}")
            }
            None => "refused".into(),
        },
        Status::Unsettled => format!(
            "unsettled: it is unknown whether change {change} took effect; repeat the command with \
             --change {change} and the same --expect"
        ),
        Status::NotFound => format!("not found: no change {change} is in the history"),
    }
}

async fn print_status(client: &Client, json: bool, out: &mut impl Write) -> Result<u8, Error> {
    const STEP: &str = "read status";
    let mut code = EXIT_OK;
    let mut states = serde_json::Map::new();
    for entry in client.entries() {
        let state: serde_json::Value =
            match client.send_once(STEP, *entry, &Method::GET, "/v1/status", Bytes::new()).await {
                Ok(answer) if answer.status == StatusCode::OK => answer.parse(STEP)?,
                Ok(answer) => return Err(answer.unexpected(STEP)),
                Err(error) => {
                    code = EXIT_FAILED;
                    serde_json::json!({ "error": error.to_string() })
                }
            };
        states.insert(entry.to_string(), state);
    }
    if json {
        print_json(&states, out)?;
        return Ok(code);
    }
    for (entry, state) in &states {
        writeln!(out, "{entry}")?;
        for (key, value) in state.as_object().into_iter().flatten() {
            writeln!(out, "  {key}: {value}")?;
        }
    }
    Ok(code)
}

async fn run_job(
    client: &Client,
    method: &Method,
    id: &str,
    json: bool,
    out: &mut impl Write,
) -> Result<u8, Error> {
    const STEP: &str = "job";
    if id.parse::<verbenapass::id::Job>().is_err() {
        return Err(Error::Usage(format!("{id:?} is not a job id")));
    }
    let answer = client.send::<()>(STEP, method, &format!("/v1/jobs/{id}"), None).await?;
    let Ok(body) = serde_json::from_slice::<caller::Answer>(&answer.body) else {
        return Err(answer.unexpected(STEP));
    };
    if json {
        print_json(&body, out)?;
    } else {
        let fields = serde_json::to_value(&body)?;
        for (key, value) in fields.as_object().into_iter().flatten() {
            writeln!(out, "{key}: {value}")?;
        }
    }
    Ok(match (method, body.code) {
        (_, caller::Code::Invalid) => EXIT_USAGE,
        (_, caller::Code::NotFound | caller::Code::OwnerGone | caller::Code::OwnerUnreachable) => {
            EXIT_FAILED
        }
        _ => EXIT_OK,
    })
}

/// Reads the export of a team from every instance, because each instance keeps only its own
/// results.
async fn read_exports(client: &Client, team: &str) -> Result<Vec<Export>, Error> {
    const STEP: &str = "export team";
    if team.parse::<verbenapass::id::Team>().is_err() {
        return Err(Error::Usage(format!("{team:?} is not a team")));
    }
    let mut exports = Vec::new();
    for entry in client.entries() {
        let url = format!("/v1/export/{team}");
        let answer = client.send_once(STEP, *entry, &Method::GET, &url, Bytes::new()).await?;
        if answer.status != StatusCode::OK {
            return Err(answer.unexpected(STEP));
        }
        exports.push(answer.parse(STEP)?);
    }
    Ok(exports)
}

/// Waits until no instance has open jobs of the team and returns the exports read last.
async fn wait_until_drained(
    client: &Client,
    team: &str,
    wait: Duration,
) -> Result<Vec<Export>, Error> {
    let deadline = Instant::now() + wait;
    loop {
        let exports = read_exports(client, team).await?;
        let open: u64 = exports.iter().map(|export| export.open_jobs).sum();
        if open == 0 {
            return Ok(exports);
        }
        if Instant::now() >= deadline {
            return Err(Error::NotDrained(open));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn write_export(
    directory: &Path,
    team: &str,
    exports: &[Export],
    json: bool,
    out: &mut impl Write,
) -> Result<(), Error> {
    let newest = newest_export(exports)?;
    let claims = newest.claims.iter().map(serde_json::to_string).collect::<Result<Vec<_>, _>>()?;
    let results = exports
        .iter()
        .flat_map(|export| &export.results)
        .map(serde_json::to_string)
        .collect::<Result<Vec<_>, _>>()?;
    let files = [
        ("settings.yaml", newest.settings.value.clone().unwrap_or_default()),
        ("settings.json", serde_json::to_string_pretty(&newest.settings)? + "\n"),
        ("claims.jsonl", join_lines(&claims)),
        ("results.jsonl", join_lines(&results)),
    ];
    let directory = directory.join(team);
    let file_error =
        |step, path: &Path, error| Error::File(step, path.display().to_string(), error);
    std::fs::create_dir_all(&directory)
        .map_err(|e| file_error("create directory", &directory, e))?;
    for (name, text) in &files {
        let path = directory.join(name);
        std::fs::write(&path, text).map_err(|e| file_error("write", &path, e))?;
    }
    if !json {
        writeln!(
            out,
            "exported {team} to {}: settings version {}, {} claims, {} results",
            directory.display(),
            newest.settings.version,
            claims.len(),
            results.len()
        )?;
    }
    Ok(())
}

fn newest_export(exports: &[Export]) -> Result<&Export, Error> {
    exports
        .iter()
        .max_by_key(|export| export.settings.version)
        .ok_or_else(|| Error::Usage("no entry instance is given, use --entry".into()))
}

fn join_lines(items: &[String]) -> String {
    items.iter().map(|item| format!("{item}\n")).collect()
}

async fn remove_team(
    client: &Client,
    team: &str,
    exports: &[Export],
    json: bool,
    out: &mut impl Write,
) -> Result<u8, Error> {
    let path: SettingsPath = format!("/teams/{team}").parse()?;
    // The expected version prevents the removal of settings that changed after the export.
    let expect = Some(newest_export(exports)?.settings.version);
    let change = format!("ctl-{}", uuid::Uuid::new_v4());
    let put = Put { value: None, expect, change };
    let answer = send_put(client, &path, &put).await?;
    let deadline = Instant::now() + REMOVAL_TIMEOUT;
    let answer = poll_change(client, &path.owner, &put.change, answer, deadline).await?;
    print_change(&put.change, &answer, json, out)
}
