//! Requests of operators: settings by path, state of changes, export of a team.

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

/// Time for which a stored change waits for the confirmation of every data centre. The goal for
/// settings in force everywhere is 2 s.
const ACCEPT_WAIT: Duration = Duration::from_secs(2);

/// What an operator asks for.
#[derive(Clone, Debug)]
pub enum Operation {
    /// The value at a path.
    Get,
    /// The state of a change.
    State(String),
    /// A change.
    Put(Vec<u8>),
    /// All that the installation keeps of the team that the path names.
    Export,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Settings path.
    pub path: String,
    /// Value of the `Authorization` header.
    pub authorization: Option<Vec<u8>>,
    /// What is asked for.
    pub operation: Operation,
}

/// One answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body of [`verbenapass_proto::settings`].
    pub body: Vec<u8>,
}

/// What the engine keeps of a team.
#[derive(Clone, Debug, Default)]
pub struct RetainedState {
    /// Final outcomes that can still be fetched.
    pub results: Vec<body::JobResult>,
    /// Jobs without a final answer.
    pub open_jobs: u64,
}

/// Answers a request. `retained` is what the engine keeps of the team, for an export.
pub async fn answer(store: &Rc<Store>, request: Request, retained: RetainedState) -> Reply {
    let path: Path = match request.path.parse() {
        Ok(path) => path,
        Err(error) => return refused(StatusCode::BAD_REQUEST, &request.path, &error),
    };
    let credential = request.authorization.as_deref().and_then(check::credential);
    let Some(credential) = credential else {
        let allowed = "the header Authorization: Bearer <credential>";
        return denied(StatusCode::UNAUTHORIZED, &path, "no credential", allowed);
    };
    let access = match authorize(store, &path, credential, &request.operation) {
        Ok(access) => access,
        Err(reply) => return reply,
    };
    match request.operation {
        Operation::Get => value(store, &path),
        Operation::State(change) => match change.parse() {
            Ok(change) => state(store, &path.owner, &change),
            Err(error) => invalid_change(&path, &change, &error),
        },
        Operation::Put(put) => change(store, path, &put, access).await,
        Operation::Export => export(store, &path, retained).await,
    }
}

/// What a credential allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// Access to the subtree.
    Full,
    /// Only the first version of the subtree may be written.
    First,
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
        // The first settings of the fleet name the credential that may write them. This instance may
        // only not have learnt them yet, so that no later version may be written.
        (None, Operation::Put(put)) if names_credential(put, path, credential) => {
            return Ok(Access::First);
        }
        (None, _) => return Err(json(body::Status::Unsettled)),
    }
    let allowed = match path.owner {
        Owner::Fleet => "the credential of the fleet",
        Owner::Team(_) => "the credential of the team",
    };
    Err(denied(StatusCode::FORBIDDEN, path, "another credential", allowed))
}

fn names_credential(put: &[u8], path: &Path, credential: &str) -> bool {
    let put: Option<body::Put> = serde_json::from_slice(put).ok();
    let yaml = put.and_then(|put| put.value).unwrap_or_default();
    path.owner == Owner::Fleet
        && settings::Subtree::parse(&Owner::Fleet, &yaml)
            .is_ok_and(|subtree| subtree.credential_sha256() == sha256_hex(credential))
}

fn value(store: &Store, path: &Path) -> Reply {
    match read_value(store, path) {
        Ok(value) if value.value.is_some() => reply(StatusCode::OK, &value),
        Ok(value) => reply(StatusCode::NOT_FOUND, &value),
        Err(error) => refused(StatusCode::NOT_FOUND, &path.to_string(), &error),
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

fn state(store: &Store, owner: &Owner, change: &id::Change) -> Reply {
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

async fn change(store: &Rc<Store>, path: Path, put: &[u8], access: Access) -> Reply {
    let put: body::Put = match serde_json::from_slice(put) {
        Ok(put) => put,
        Err(error) => {
            let text = error.to_string();
            return denied(StatusCode::BAD_REQUEST, &path, "malformed body", &text);
        }
    };
    let change: id::Change = match put.change.parse() {
        Ok(change) => change,
        Err(error) => return invalid_change(&path, &put.change, &error),
    };
    let owner = path.owner.clone();
    let expect = match access {
        Access::Full => put.expect.map(id::Version::new),
        Access::First => Some(id::Version::new(0)),
    };
    let proposal = Proposal { path, value: put.value, expect, change: change.clone() };
    match store.change(&proposal).await {
        ChangeOutcome::Stored => {
            store.wait_accepted(&owner, &change, ACCEPT_WAIT).await;
            state(store, &owner, &change)
        }
        ChangeOutcome::Invalid(error) => {
            refused(StatusCode::BAD_REQUEST, &proposal.path.to_string(), &error)
        }
        ChangeOutcome::Conflict(conflict) => {
            let answer = body::Answer {
                winner_version: Some(conflict.version.get()),
                winner_change: conflict.change.map(|change| change.to_string()),
                ..body::Answer::new(body::Status::Conflict)
            };
            reply(StatusCode::CONFLICT, &answer)
        }
        ChangeOutcome::HistoryExceeded => json(body::Status::NotFound),
        ChangeOutcome::Unsettled => json(body::Status::Unsettled),
    }
}

async fn export(store: &Rc<Store>, path: &Path, retained: RetainedState) -> Reply {
    let Owner::Team(team) = &path.owner else {
        let error = settings::Error::Path(path.to_string());
        return refused(StatusCode::BAD_REQUEST, &path.to_string(), &error);
    };
    let settings = match read_value(store, path) {
        Ok(settings) => settings,
        Err(error) => return refused(StatusCode::NOT_FOUND, &path.to_string(), &error),
    };
    let prefix = platform::claim_prefix(team);
    // An export without the claims would be partial, so there is none while they can't be read.
    let Ok(rows) = store.scan(prefix.clone()).await else {
        return json(body::Status::Unsettled);
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
    denied(StatusCode::BAD_REQUEST, path, change, &format!("a change id: {error}"))
}

fn refused(status: StatusCode, path: &str, error: &settings::Error) -> Reply {
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

fn denied(status: StatusCode, path: &Path, value: &str, allowed: &str) -> Reply {
    let fault =
        body::Fault { path: path.to_string(), value: value.into(), allowed: allowed.into() };
    reply(status, &body::Answer { error: Some(fault), ..body::Answer::new(body::Status::Refused) })
}

fn json(status: body::Status) -> Reply {
    reply(status_code(status), &body::Answer::new(status))
}

fn status_code(status: body::Status) -> StatusCode {
    StatusCode::from_u16(status.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn reply(status: StatusCode, body: &impl Serialize) -> Reply {
    // The bodies have only string keys and valid JSON values, so that this does not fail.
    Reply { status, body: serde_json::to_vec(body).unwrap_or_default() }
}
