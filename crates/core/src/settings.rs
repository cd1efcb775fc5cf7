//! Settings that all entry instances share, with one subtree for the fleet and one for each team.
//!
//! A subtree is a YAML document. [`Subtree::parse`] validates all of it: syntax, unknown keys, ranges
//! and limits that contradict each other. [`Subtree::replace`] changes the value at one path and
//! validates the resulting subtree in the same way. A missing key takes its documented default; a
//! missing subtree has no defaults.

use crate::id;
use crate::unit::{Bytes, Millis, Permille, Slots};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;
use serde_yaml_ng::Value;
use sha2::Digest as _;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use subtle::ConstantTimeEq;

/// Largest YAML text of a subtree, in bytes. This bounds the size of a row of the table and of a
/// message to a peer.
pub const MAX_YAML_BYTES: usize = 256 * 1_024;
/// Longest value quoted in an error message.
const MAX_QUOTED_CHARS: usize = 80;

const WEIGHT: RangeInclusive<u64> = 1..=1_000;
const QUOTA_SLOTS: RangeInclusive<u64> = 1..=1_000_000;
const JOB_TASKS: RangeInclusive<u64> = 1..=100_000;
const QUEUED_TASKS: RangeInclusive<u64> = 1..=1_000_000;
const QUEUED_BYTES: RangeInclusive<u64> = 1_024..=1_073_741_824;
const CLAIM_RETENTION_MS: RangeInclusive<u64> = 60_000..=2_592_000_000;
const TIMEOUT_MS: RangeInclusive<u64> = 10..=3_600_000;
const ANSWER_BYTES: RangeInclusive<u64> = 1..=16_777_216;
const RETRY_PERMILLE: RangeInclusive<u64> = 0..=1_000;
// Ejecting more than nine out of ten targets would leave a service without capacity.
const EJECTED_PERMILLE: RangeInclusive<u64> = 0..=900;
const RESULT_RETENTION_MS: RangeInclusive<u64> = 1_000..=86_400_000;

quick_error! {
    /// Why settings or a settings path are rejected.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The text is not YAML, or it is too long.
        Syntax(file: Option<String>, message: String) {
            display("{}not valid YAML: {}", prefix(file), message)
        }
        /// A value is missing, has the wrong type or is out of range.
        Invalid(fault: Fault) {
            display("{}", fault)
            from()
        }
        /// The text is not a settings path, or the path belongs to another subtree.
        Path(text: String) {
            display("{:?} is not a settings path, allowed are /fleet and /teams/<team>, each with \
                     keys separated by '/'", text)
        }
    }
}

/// An invalid value and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file; `None` if the settings were not read from one.
    pub file: Option<String>,
    /// Path of the value, such as `/teams/halvern/kinds/seat-hold/default_timeout_ms`.
    pub path: String,
    /// The value as YAML, truncated; `absent` for a missing value.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, path, value, allowed } = self;
        write!(f, "{}{path} is {value}, allowed is {allowed}", prefix(file))
    }
}

fn prefix(file: &Option<String>) -> String {
    file.as_ref().map_or_else(String::new, |file| format!("{file}: "))
}

/// What a team prefers where response time and message count conflict. Stored and validated, but
/// without effect so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Preference {
    /// Low response time, at the cost of more messages.
    #[default]
    ResponseTime,
    /// Few messages in addition to one start and one answer for each task.
    Messages,
}

/// Urgency of a kind, which moves its jobs forward or back in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Earlier than normal.
    High,
    /// Neither forward nor back.
    #[default]
    Normal,
    /// Later than normal.
    Low,
}

/// Settings of one kind of task, at `/teams/<team>/kinds/<kind>`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Service whose targets run the tasks of this kind.
    pub service: id::Service,
    /// Whether a task may run again if its job is resubmitted.
    pub idempotent: bool,
    /// Position in the queue relative to other kinds; [`Urgency::Normal`] if missing.
    #[serde(default)]
    pub urgency: Urgency,
    /// Time from arrival to the deadline for a job that sets no deadline; 10 s if missing.
    #[serde(default = "default_timeout")]
    pub default_timeout_ms: Millis,
    /// Largest answer of a task; 64 KiB if missing.
    #[serde(default = "default_max_answer")]
    pub max_answer_bytes: Bytes,
}

/// Settings of a team, at `/teams/<team>`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of the team's credential, in lower-case hexadecimal.
    pub credential_sha256: String,
    /// Weight in the sharing of slots among teams; 1 if missing.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Largest number of slots that the team may use at once, over all data centres; 100,000 if
    /// missing.
    #[serde(default = "default_quota")]
    pub quota_slots: Slots,
    /// Largest number of tasks of the team in the queue of one instance, at least
    /// `max_job_tasks`; 20,000 if missing.
    #[serde(default = "default_max_queued")]
    pub max_queued_tasks: u32,
    /// Most bytes that the team's tasks may take in the queue of one instance; 8 MiB if missing.
    #[serde(default = "default_max_queued_bytes")]
    pub max_queued_bytes: Bytes,
    /// Largest number of tasks in one job; 2,000 if missing.
    #[serde(default = "default_max_job_tasks")]
    pub max_job_tasks: u32,
    /// How long the claim of a non-idempotent job is kept after the job's deadline; 24 h if missing.
    #[serde(default = "default_claim_retention")]
    pub claim_retention_ms: Millis,
    /// Preference of the team; [`Preference::ResponseTime`] if missing.
    #[serde(default)]
    pub prefer: Preference,
    /// Kinds by name; must not be empty.
    pub kinds: BTreeMap<id::Kind, Kind>,
}

/// Settings of the fleet, at `/fleet`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// SHA-256 of the fleet operators' credential, in lower-case hexadecimal.
    pub credential_sha256: String,
    /// Retry budget as a fraction of starts; 10 % if missing.
    #[serde(default = "default_retry_permille")]
    pub retry_permille: Permille,
    /// Largest fraction of a service's targets that may be ejected at once; 30 % if missing.
    #[serde(default = "default_ejected_permille")]
    pub max_ejected_permille: Permille,
    /// How long the final outcome of a job can be fetched; 60 s if missing.
    #[serde(default = "default_retention")]
    pub result_retention_ms: Millis,
    /// Data centres that must confirm a change of settings, whether or not the instance list names
    /// them: one that is partitioned from the platform may disappear from the list. If empty, the
    /// list is used instead.
    #[serde(default)]
    pub data_centres: BTreeSet<id::DataCentre>,
    /// Data centres on whose targets no instance starts a task; none if missing. If `data_centres`
    /// is not empty, it must contain all of them.
    #[serde(default)]
    pub evacuated_data_centres: BTreeSet<id::DataCentre>,
}

/// The complete settings of the fleet and all teams.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// The fleet's subtree.
    pub fleet: Fleet,
    /// The subtrees of the teams.
    pub teams: BTreeMap<id::Team, Team>,
}

const fn default_timeout() -> Millis {
    Millis::new(10_000)
}

const fn default_max_answer() -> Bytes {
    Bytes::new(65_536)
}

const fn default_weight() -> u32 {
    1
}

const fn default_quota() -> Slots {
    Slots::new(100_000)
}

const fn default_max_queued() -> u32 {
    20_000
}

const fn default_max_queued_bytes() -> Bytes {
    Bytes::new(8 * 1_024 * 1_024)
}

const fn default_retry_permille() -> Permille {
    Permille::new(100)
}

const fn default_ejected_permille() -> Permille {
    Permille::new(300)
}

const fn default_retention() -> Millis {
    Millis::new(60_000)
}

const fn default_max_job_tasks() -> u32 {
    2_000
}

const fn default_claim_retention() -> Millis {
    Millis::new(86_400_000)
}

/// Owner of a subtree; displayed as the path of the subtree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Owner {
    /// The operators of the fleet, for `/fleet`.
    Fleet,
    /// A team, for `/teams/<team>`.
    Team(id::Team),
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet => f.write_str("/fleet"),
            Self::Team(team) => write!(f, "/teams/{team}"),
        }
    }
}

impl FromStr for Owner {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let path: Path = text.parse()?;
        if path.keys.is_empty() { Ok(path.owner) } else { Err(Error::Path(text.into())) }
    }
}

/// A place in the settings tree, such as `/teams/halvern/weight`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path {
    /// Owner of the subtree that the path belongs to.
    pub owner: Owner,
    /// Keys inside the subtree, outermost first; empty for the whole subtree.
    pub keys: Vec<String>,
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.owner)?;
        self.keys.iter().try_for_each(|key| write!(f, "/{key}"))
    }
}

impl FromStr for Path {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::Path(text.into());
        let mut parts = text.strip_prefix('/').ok_or_else(error)?.split('/');
        let owner = match parts.next() {
            Some("fleet") => Owner::Fleet,
            Some("teams") => {
                let team = parts.next().ok_or_else(error)?;
                Owner::Team(team.parse().map_err(|_| error())?)
            }
            _ => return Err(error()),
        };
        let keys: Vec<String> = parts.map(String::from).collect();
        // Keys have the syntax of identifiers, so a path needs no escaping in a URL.
        if keys.iter().any(|key| key.parse::<id::Kind>().is_err()) {
            return Err(error());
        }
        Ok(Self { owner, keys })
    }
}

/// State outside the settings against which a change is validated.
#[derive(Clone, Debug, Default)]
pub struct Context {
    /// Services with targets on the instance list; `None` until a list has been read, which skips
    /// the check.
    pub services: Option<BTreeSet<id::Service>>,
}

/// One validated subtree of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subtree {
    /// `/fleet`.
    Fleet(Fleet),
    /// `/teams/<team>`.
    Team(id::Team, Team),
}

impl Subtree {
    /// Parses and validates the YAML text of a subtree.
    pub fn parse(owner: &Owner, yaml: &str) -> Result<Self, Error> {
        Self::from_value(owner, &parse_value(yaml, None)?)
    }

    /// Like [`Subtree::parse`], for the text of a file. `file` is the name that errors carry.
    pub fn parse_file(owner: &Owner, yaml: &str, file: &str) -> Result<Self, Error> {
        let value = parse_value(yaml, Some(file))?;
        Self::from_value(owner, &value).map_err(|error| match error {
            Error::Invalid(fault) => Error::Invalid(Fault { file: Some(file.into()), ..fault }),
            other => other,
        })
    }

    /// Returns the subtree as YAML, including keys that have their default value.
    pub fn to_yaml(&self) -> String {
        print_value(&self.to_value())
    }

    /// Returns the owner, which also determines the path of the subtree.
    pub fn owner(&self) -> Owner {
        match self {
            Self::Fleet(_) => Owner::Fleet,
            Self::Team(name, _) => Owner::Team(name.clone()),
        }
    }

    /// Returns the SHA-256 of the credential that gives access to the subtree.
    pub fn credential_sha256(&self) -> &str {
        match self {
            Self::Fleet(fleet) => &fleet.credential_sha256,
            Self::Team(_, team) => &team.credential_sha256,
        }
    }

    /// Returns the value at `path` as YAML.
    ///
    /// Fails if the path belongs to another subtree or names a key that does not exist.
    pub fn get(&self, path: &Path) -> Result<String, Error> {
        if path.owner != self.owner() {
            return Err(Error::Path(path.to_string()));
        }
        let mut value = &self.to_value();
        for (depth, key) in path.keys.iter().enumerate() {
            value = value.get(key).ok_or_else(|| missing_key(path, depth, value))?;
        }
        Ok(print_value(value))
    }

    /// Returns the subtree with the value at `path` replaced by `yaml`.
    ///
    /// A missing last key is added. The whole result is validated, which rejects unknown keys.
    /// `current` is `None` if the subtree does not exist; then only the whole subtree can be written.
    pub fn replace(
        current: Option<&Self>,
        path: &Path,
        yaml: &str,
        context: &Context,
    ) -> Result<Self, Error> {
        let new = parse_value(yaml, None)?;
        let whole = match (path.keys.split_last(), current) {
            (None, _) => new,
            (Some(_), Some(current)) if current.owner() != path.owner => {
                return Err(Error::Path(path.to_string()));
            }
            (Some((last, outer)), Some(current)) => {
                let mut whole = current.to_value();
                let mut place = &mut whole;
                for (depth, key) in outer.iter().enumerate() {
                    if place.get(key).is_none() {
                        return Err(missing_key(path, depth, place));
                    }
                    place = &mut place[key.as_str()];
                }
                let Value::Mapping(mapping) = place else {
                    return Err(missing_key(path, outer.len(), place));
                };
                mapping.insert(last.as_str().into(), new);
                whole
            }
            (Some(_), None) => {
                return Err(fault(
                    &path.owner.to_string(),
                    "absent".into(),
                    "the whole subtree first".into(),
                ));
            }
        };
        let changed = Self::from_value(&path.owner, &whole)?;
        changed.check_services(current, context)?;
        Ok(changed)
    }

    fn to_value(&self) -> Value {
        let value = match self {
            Self::Fleet(fleet) => serde_yaml_ng::to_value(fleet),
            Self::Team(_, team) => serde_yaml_ng::to_value(team),
        };
        // Serialization fails only for types without a YAML form, which this module does not use.
        value.unwrap_or_default()
    }

    fn from_value(owner: &Owner, value: &Value) -> Result<Self, Error> {
        let root = owner.to_string();
        let subtree = match owner {
            Owner::Fleet => Self::Fleet(deserialize(value, &root, None)?),
            Owner::Team(name) => Self::Team(name.clone(), deserialize(value, &root, None)?),
        };
        subtree.check(&root)?;
        Ok(subtree)
    }

    fn check(&self, root: &str) -> Result<(), Error> {
        check_digest(root, self.credential_sha256())?;
        match self {
            Self::Fleet(fleet) => check_fleet(root, fleet),
            Self::Team(_, team) => check_team(root, team),
        }
    }

    // Checks only services that the change introduces: a service that has lost all its targets must
    // not block other changes of the team.
    fn check_services(&self, current: Option<&Self>, context: &Context) -> Result<(), Error> {
        let (Self::Team(name, team), Some(services)) = (self, &context.services) else {
            return Ok(());
        };
        let before = match current {
            Some(Self::Team(_, before)) => Some(before),
            _ => None,
        };
        for (kind, settings) in &team.kinds {
            let unchanged = before
                .and_then(|before| before.kinds.get(kind))
                .is_some_and(|old| old.service == settings.service);
            if !unchanged && !services.contains(&settings.service) {
                let names: Vec<&str> = services.iter().map(id::Service::as_str).collect();
                return Err(fault(
                    &format!("/teams/{name}/kinds/{kind}/service"),
                    settings.service.to_string(),
                    format!("a service with targets: {}", names.join(", ")),
                ));
            }
        }
        Ok(())
    }
}

impl Tree {
    /// Returns a copy of the subtree of `owner`, or `None` if the team has no settings.
    pub fn subtree(&self, owner: &Owner) -> Option<Subtree> {
        match owner {
            Owner::Fleet => Some(Subtree::Fleet(self.fleet.clone())),
            Owner::Team(name) => {
                self.teams.get(name).map(|team| Subtree::Team(name.clone(), team.clone()))
            }
        }
    }

    /// Returns the team that `credential` belongs to, or `None` if it is the credential of no team.
    pub fn team_of(&self, credential: &str) -> Option<&id::Team> {
        let digest = sha256_hex(credential);
        self.teams
            .iter()
            .find(|(_, team)| digest_matches(&digest, &team.credential_sha256))
            .map(|(name, _)| name)
    }

    /// Returns whether `credential` gives access to the subtree of `owner`.
    ///
    /// A credential gives access only to the subtree of its owner. The one exception: while a team has
    /// no subtree, the credential of the fleet may create it.
    pub fn allows(&self, credential: &str, owner: &Owner) -> bool {
        let digest = sha256_hex(credential);
        let expected = match owner {
            Owner::Fleet => &self.fleet.credential_sha256,
            Owner::Team(name) => {
                self.teams.get(name).map_or(&self.fleet.credential_sha256, |t| &t.credential_sha256)
            }
        };
        digest_matches(&digest, expected)
    }
}

/// Returns the SHA-256 of a credential in lower-case hexadecimal, as the settings store it.
pub fn sha256_hex(credential: &str) -> String {
    sha2::Sha256::digest(credential.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Compares two digests in constant time, which keeps a timing attack from learning a digest.
pub fn digest_matches(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

/// Parses the settings file of a process. Errors name the file, the path, the value and the allowed
/// values.
///
/// ```
/// #[derive(Debug, serde::Deserialize)]
/// #[serde(deny_unknown_fields)]
/// struct File {
///     threads: u8,
/// }
///
/// let error = verbenapass::settings::load_yaml::<File>("threads: many", "entry.yaml").unwrap_err();
/// assert_eq!(error.to_string(), "entry.yaml: /threads is many, allowed is u8");
/// ```
pub fn load_yaml<T: DeserializeOwned>(text: &str, file: &str) -> Result<T, Error> {
    let file = Some(file);
    deserialize(&parse_value(text, file)?, "", file)
}

fn parse_value(text: &str, file: Option<&str>) -> Result<Value, Error> {
    let error = |message| Error::Syntax(file.map(String::from), message);
    if text.len() > MAX_YAML_BYTES {
        return Err(error(format!("{} bytes, allowed are {MAX_YAML_BYTES}", text.len())));
    }
    // Parsed to a generic value first, because that rejects duplicate keys, which maps accept.
    serde_yaml_ng::from_str(text).map_err(|e| error(e.to_string()))
}

fn print_value(value: &Value) -> String {
    // Serialization fails only for values without a YAML form, and a parsed value has one.
    serde_yaml_ng::to_string(value).unwrap_or_default()
}

fn deserialize<T: DeserializeOwned>(
    value: &Value,
    root: &str,
    file: Option<&str>,
) -> Result<T, Error> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let message = error.inner().to_string();
        let mut keys: Vec<String> = error.path().iter().filter_map(key).collect();
        let mut allowed = allowed(&message);
        if let Some(missing) = missing_field(&message) {
            keys.push(missing.into());
            allowed = "a value, the key is required".into();
        }
        Error::Invalid(Fault {
            file: file.map(String::from),
            path: join(root, &keys),
            value: lookup(value, &keys).map_or_else(|| "absent".into(), quote),
            allowed,
        })
    })
}

fn key(segment: &Segment) -> Option<String> {
    match segment {
        Segment::Seq { index } => Some(index.to_string()),
        Segment::Map { key } => Some(key.clone()),
        Segment::Enum { variant } => Some(variant.clone()),
        Segment::Unknown => None,
    }
}

fn missing_field(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.strip_suffix('`')
}

fn join(root: &str, keys: &[String]) -> String {
    let path = keys.iter().fold(root.to_string(), |path, key| format!("{path}/{key}"));
    if path.is_empty() { "/".into() } else { path }
}

fn lookup<'a>(value: &'a Value, keys: &[String]) -> Option<&'a Value> {
    keys.iter().try_fold(value, |value, key| match value {
        Value::Sequence(items) => items.get(key.parse::<usize>().ok()?),
        _ => value.get(key),
    })
}

fn quote(value: &Value) -> String {
    let text = print_value(value);
    let text = text.trim_end();
    let flat: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    if flat.chars().count() <= MAX_QUOTED_CHARS {
        return flat;
    }
    flat.chars().take(MAX_QUOTED_CHARS).chain("...".chars()).collect()
}

// Extracts the expected values from serde's messages "invalid type: ..., expected <what>" and
// "unknown field ..., expected <names>"; returns other messages unchanged.
fn allowed(message: &str) -> String {
    match message.split_once(", expected ") {
        Some((what, expected)) if what.starts_with("invalid") || what.starts_with("unknown") => {
            expected.into()
        }
        _ => message.into(),
    }
}

fn fault(path: &str, value: String, allowed: String) -> Error {
    Error::Invalid(Fault { file: None, path: path.into(), value, allowed })
}

fn missing_key(path: &Path, depth: usize, value: &Value) -> Error {
    let keys: Vec<&str> = match value {
        Value::Mapping(mapping) => mapping.keys().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    };
    let place = Path { owner: path.owner.clone(), keys: path.keys[..=depth].to_vec() };
    let allowed = if keys.is_empty() { "no key below this value".into() } else { keys.join(", ") };
    fault(&place.to_string(), "absent".into(), allowed)
}

fn check_range(
    root: &str,
    key: &str,
    value: u64,
    range: &RangeInclusive<u64>,
) -> Result<(), Error> {
    if range.contains(&value) {
        return Ok(());
    }
    let allowed = format!("{} to {}", range.start(), range.end());
    Err(fault(&format!("{root}/{key}"), value.to_string(), allowed))
}

fn check_digest(root: &str, digest: &str) -> Result<(), Error> {
    let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if digest.len() == 64 && digest.chars().all(hex) {
        return Ok(());
    }
    Err(fault(
        &format!("{root}/credential_sha256"),
        quote(&digest.into()),
        "64 lower-case hexadecimal digits".into(),
    ))
}

fn check_fleet(root: &str, fleet: &Fleet) -> Result<(), Error> {
    let values = [
        ("retry_permille", u64::from(fleet.retry_permille.get()), RETRY_PERMILLE),
        ("max_ejected_permille", u64::from(fleet.max_ejected_permille.get()), EJECTED_PERMILLE),
        ("result_retention_ms", fleet.result_retention_ms.get(), RESULT_RETENTION_MS),
    ];
    values.iter().try_for_each(|(key, value, range)| check_range(root, key, *value, range))?;
    check_evacuated(root, fleet)
}

// Without the names in data_centres, the instance list would be the only source of names, and a
// data centre that is cut off may be missing from it.
fn check_evacuated(root: &str, fleet: &Fleet) -> Result<(), Error> {
    let known = &fleet.data_centres;
    let unknown = fleet.evacuated_data_centres.iter().find(|name| !known.contains(*name));
    let Some(name) = unknown.filter(|_| !known.is_empty()) else { return Ok(()) };
    let names: Vec<&str> = known.iter().map(id::DataCentre::as_str).collect();
    Err(fault(
        &format!("{root}/evacuated_data_centres"),
        name.to_string(),
        format!("names of data_centres: {}", names.join(", ")),
    ))
}

fn check_team(root: &str, team: &Team) -> Result<(), Error> {
    let values = [
        ("weight", u64::from(team.weight), WEIGHT),
        ("quota_slots", u64::from(team.quota_slots.get()), QUOTA_SLOTS),
        ("max_job_tasks", u64::from(team.max_job_tasks), JOB_TASKS),
        ("max_queued_tasks", u64::from(team.max_queued_tasks), QUEUED_TASKS),
        ("max_queued_bytes", team.max_queued_bytes.get(), QUEUED_BYTES),
        ("claim_retention_ms", team.claim_retention_ms.get(), CLAIM_RETENTION_MS),
    ];
    values.iter().try_for_each(|(key, value, range)| check_range(root, key, *value, range))?;
    if team.max_queued_tasks < team.max_job_tasks {
        return Err(fault(
            &format!("{root}/max_queued_tasks"),
            team.max_queued_tasks.to_string(),
            format!("at least max_job_tasks, {}", team.max_job_tasks),
        ));
    }
    if team.kinds.is_empty() {
        return Err(fault(&format!("{root}/kinds"), "empty".into(), "at least one kind".into()));
    }
    for (kind, settings) in &team.kinds {
        let root = format!("{root}/kinds/{kind}");
        check_range(&root, "default_timeout_ms", settings.default_timeout_ms.get(), &TIMEOUT_MS)?;
        check_range(&root, "max_answer_bytes", settings.max_answer_bytes.get(), &ANSWER_BYTES)?;
    }
    Ok(())
}
