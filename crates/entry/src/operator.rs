//! Requests of operators: reading and changing settings, the state of a change, export of a team.

use crate::check;
use crate::clock;
use crate::platform;
use crate::store::{ChangeOutcome, Store};
use http::StatusCode;
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;
use verbenapass::config::{Proposal, Status};
use verbenapass::id;
use verbenapass::settings::{self, Owner, Path, sha256_hex};
use verbenapass_proto::settings as body;

/// How long the reply to a stored change waits for the confirmation of every data centre. Settings
/// are meant to be in force everywhere within 2 s.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// What an operator requests.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Read the value at the path.
    Get,
    /// Read the state of the change with this id.
    State(String),
    /// Change the value at the path; the body of the request, a [`body::Put`] in JSON.
    Put(Vec<u8>),
    /// Export the settings, claims and retained results of the team that the path names.
    Export,
}

/// A request of an operator, not yet authenticated.
#[derive(Clone, Debug)]
pub struct Request {
    /// Settings path with a leading slash, not yet checked.
    pub path: String,
    /// Value of the `Authorization` header, if there is one.
    pub authorization: Option<Vec<u8>>,
    /// What to read or change at `path`.
    pub operation: Operation,
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status, which also tells whether the operation succeeded.
    pub status: StatusCode,
    /// JSON body of [`verbenapass_proto::settings`].
    pub body: Vec<u8>,
}

/// State of a team that the engine of this instance retains.
#[derive(Clone, Debug, Default)]
pub struct RetainedState {
    /// Final outcomes that callers can still fetch.
    pub results: Vec<body::JobResult>,
    /// Jobs that have no final outcome yet.
    pub open_jobs: u64,
}

/// Authenticates and answers a request. `retained` is needed only for [`Operation::Export`].
pub async fn answer(store: &Rc<Store>, request: Request, retained: RetainedState) -> Reply {
    let path: Path = match request.path.parse() {
        Ok(path) => path,
        Err(error) => return settings_error(StatusCode::BAD_REQUEST, &request.path, &error),
    };
    let credential = request.authorization.as_deref().and_then(check::credential);
    let Some(credential) = credential else {
        let allowed = "the header Authorization: Bearer <credential>";
        return error_reply(StatusCode::UNAUTHORIZED, &path, "no credential", allowed);
    };
    let access = match authorize(store, &path, credential, &request.operation) {
        Ok(access) => access,
        Err(reply) => return reply,
    };
    match request.operation {
        Operation::Get => get_value(store, &path),
        Operation::State(change) => match change.parse() {
            Ok(change) => change_state(store, &path.owner, &change),
            Err(error) => invalid_change(&path, &change, &error),
        },
        Operation::Put(put) => put_value(store, path, &put, access).await,
        Operation::Export => export_team(store, &path, retained).await,
    }
}

/// What a credential may do with a subtree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// Read and change the subtree.
    Full,
    /// Write the first version of the subtree, and nothing else.
    FirstVersion,
}

fn authorize(
    store: &Store,
    path: &Path,
    credential: &str,
    operation: &Operation,
) -> Result<Access, Reply> {
    let replica = store.replica().borrow();
    match (replica.tree(), operation) {
        (Some(tree), _) if tree.allows(credential, &path.owner) => return Ok(Access::Full),
        (Some(_), _) => {}
        // The first fleet settings declare the credential that may write them. The fleet may already
        // have settings that this instance does not know yet, so only version 1 may be written.
        (None, Operation::Put(put)) if declares_credential(put, path, credential) => {
            return Ok(Access::FirstVersion);
        }
        (None, _) => return Err(status_reply(body::Status::Unsettled)),
    }
    let allowed = match path.owner {
        Owner::Fleet => "the credential of the fleet",
        Owner::Team(_) => "the credential of the team",
    };
    Err(error_reply(StatusCode::FORBIDDEN, path, "another credential", allowed))
}

fn declares_credential(put: &[u8], path: &Path, credential: &str) -> bool {
    let put: Option<body::Put> = serde_json::from_slice(put).ok();
    let yaml = put.and_then(|put| put.value).unwrap_or_default();
    path.owner == Owner::Fleet
        && settings::Subtree::parse(&Owner::Fleet, &yaml)
            .is_ok_and(|subtree| subtree.credential_sha256() == sha256_hex(credential))
}

fn get_value(store: &Store, path: &Path) -> Reply {
    match read_value(store, path) {
        Ok(value) if value.value.is_some() => reply(StatusCode::OK, &value),
        Ok(value) => reply(StatusCode::NOT_FOUND, &value),
        Err(error) => settings_error(StatusCode::NOT_FOUND, &path.to_string(), &error),
    }
}

fn read_value(store: &Store, path: &Path) -> Result<body::Value, settings::Error> {
    let replica = store.replica().borrow();
    let subtree = replica.tree().and_then(|tree| tree.subtree(&path.owner));
    let value = subtree.map(|subtree| subtree.get(path)).transpose()?;
    let history = replica.revision(&path.owner).into_iter().flat_map(|revision| revision.history());
    Ok(body::Value {
        path: path.to_string(),
        version: replica.version(&path.owner).get(),
        value,
        history: history
            .map(|(change, version)| body::Change {
                change: change.to_string(),
                version: version.get(),
            })
            .collect(),
    })
}

fn change_state(store: &Store, owner: &Owner, change: &id::Change) -> Reply {
    let status = store.replica().borrow().status(owner, change, clock::now());
    let answer = match status {
        Status::NotFound => body::Answer::new(body::Status::NotFound),
        Status::Accepted { version } => body::Answer {
            version: Some(version.get()),
            ..body::Answer::new(body::Status::Accepted)
        },
        Status::Pending { version, missing } => body::Answer {
            version: Some(version.get()),
            pending: missing.iter().map(id::DataCentre::to_string).collect(),
            ..body::Answer::new(body::Status::Pending)
        },
    };
    reply(status_code(answer.status), &answer)
}

async fn put_value(store: &Rc<Store>, path: Path, put: &[u8], access: Access) -> Reply {
    let put: body::Put = match serde_json::from_slice(put) {
        Ok(put) => put,
        Err(error) => {
            let text = error.to_string();
            return error_reply(StatusCode::BAD_REQUEST, &path, "malformed body", &text);
        }
    };
    let change: id::Change = match put.change.parse() {
        Ok(change) => change,
        Err(error) => return invalid_change(&path, &put.change, &error),
    };
    let owner = path.owner.clone();
    let expect = match access {
        Access::Full => put.expect.map(id::Version::new),
        Access::FirstVersion => Some(id::Version::new(0)),
    };
    let proposal = Proposal { path, value: put.value, expect, change: change.clone() };
    match store.change(&proposal).await {
        ChangeOutcome::Stored => {
            store.wait_accepted(&owner, &change, ACCEPT_TIMEOUT).await;
            change_state(store, &owner, &change)
        }
        ChangeOutcome::Invalid(error) => {
            settings_error(StatusCode::BAD_REQUEST, &proposal.path.to_string(), &error)
        }
        ChangeOutcome::Conflict(conflict) => {
            let answer = body::Answer {
                winner_version: Some(conflict.version.get()),
                winner_change: conflict.change.map(|change| change.to_string()),
                ..body::Answer::new(body::Status::Conflict)
            };
            reply(StatusCode::CONFLICT, &answer)
        }
        ChangeOutcome::HistoryExceeded => status_reply(body::Status::NotFound),
        ChangeOutcome::Unsettled => status_reply(body::Status::Unsettled),
    }
}

async fn export_team(store: &Rc<Store>, path: &Path, retained: RetainedState) -> Reply {
    let Owner::Team(team) = &path.owner else {
        let error = settings::Error::Path(path.to_string());
        return settings_error(StatusCode::BAD_REQUEST, &path.to_string(), &error);
    };
    let settings = match read_value(store, path) {
        Ok(settings) => settings,
        Err(error) => return settings_error(StatusCode::NOT_FOUND, &path.to_string(), &error),
    };
    let prefix = platform::claim_prefix(team);
    // Without the claims the export would be incomplete, so it fails while they can't be read.
    let Ok(rows) = store.scan(prefix.clone()).await else {
        return status_reply(body::Status::Unsettled);
    };
    let claims = rows
        .into_iter()
        .filter_map(|row| {
            let request = row.key.strip_prefix(&prefix)?.to_owned();
            Some(body::Claim { request, row: row.value? })
        })
        .collect();
    let RetainedState { results, open_jobs } = retained;
    let export = body::Export { team: team.to_string(), settings, claims, results, open_jobs };
    reply(StatusCode::OK, &export)
}

fn invalid_change(path: &Path, change: &str, error: &id::Error) -> Reply {
    error_reply(StatusCode::BAD_REQUEST, path, change, &format!("a change id: {error}"))
}

fn settings_error(status: StatusCode, path: &str, error: &settings::Error) -> Reply {
    let fault = match error {
        settings::Error::Invalid(fault) => body::Fault {
            path: fault.path.clone(),
            value: fault.value.clone(),
            allowed: fault.allowed.clone(),
        },
        settings::Error::Syntax(_, message) => body::Fault {
            path: path.into(),
            value: "the new value".into(),
            allowed: format!("valid YAML: {message}"),
        },
        settings::Error::Path(text) => {
            body::Fault { path: path.into(), value: text.clone(), allowed: error.to_string() }
        }
    };
    reply(status, &body::Answer { error: Some(fault), ..body::Answer::new(body::Status::Refused) })
}

fn error_reply(status: StatusCode, path: &Path, value: &str, allowed: &str) -> Reply {
    let fault =
        body::Fault { path: path.to_string(), value: value.into(), allowed: allowed.into() };
    reply(status, &body::Answer { error: Some(fault), ..body::Answer::new(body::Status::Refused) })
}

fn status_reply(status: body::Status) -> Reply {
    reply(status_code(status), &body::Answer::new(status))
}

fn status_code(status: body::Status) -> StatusCode {
    StatusCode::from_u16(status.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn reply(status: StatusCode, body: &impl Serialize) -> Reply {
    // Does not fail: all keys of the bodies are strings and all values are valid JSON.
    Reply { status, body: serde_json::to_vec(body).unwrap_or_default() }
}
