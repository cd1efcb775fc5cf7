//! Tests of parsing, validating and changing the shared settings.

use std::collections::BTreeSet;
use verbenapass::id;
use verbenapass::settings::{self, Context, Error, Owner, Path, Subtree, Tree};
use verbenapass::unit::Millis;

const DIGEST: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

fn halvern() -> String {
    format!(
        "credential_sha256: {DIGEST}
kinds:
  seat-hold:
    service: enrol
    idempotent: true
  intake-confirmation:
    service: enrol
    idempotent: false
"
    )
}

fn owner() -> Owner {
    "/teams/halvern".parse().unwrap()
}

fn parse(yaml: &str) -> Result<Subtree, Error> {
    Subtree::parse(&owner(), yaml)
}

fn replace(path: &str, yaml: &str) -> Result<Subtree, Error> {
    let current = parse(&halvern()).unwrap();
    Subtree::replace(Some(&current), &path.parse().unwrap(), yaml, &Context::default())
}

fn message<T: std::fmt::Debug>(result: Result<T, Error>) -> String {
    result.unwrap_err().to_string()
}

#[test]
fn parse_defaults() {
    let Subtree::Team(name, team) = parse(&halvern()).unwrap() else { panic!("not a team") };
    assert_eq!(name.as_str(), "halvern");
    assert_eq!(team.weight, 1);
    let kind: id::Kind = "seat-hold".parse().unwrap();
    assert_eq!(team.kinds[&kind].default_timeout_ms, Millis::new(10_000));
}

// Guards against errors that don't name the path, the value and the allowed values.
#[test]
fn parse_error_names_path() {
    let yaml = halvern().replace("idempotent: true", "idempotent: perhaps");
    assert_eq!(
        message(parse(&yaml)),
        "/teams/halvern/kinds/seat-hold/idempotent is perhaps, allowed is a boolean"
    );
    let yaml = halvern().replace("idempotent: true", "idempotent: true\n    retries: 3");
    let text = message(parse(&yaml));
    assert!(text.starts_with("/teams/halvern/kinds/seat-hold/retries is 3"), "{text}");
    assert!(text.contains("allowed is one of `service`, `idempotent`"), "{text}");
    let yaml =
        halvern().replace("    service: enrol\n    idempotent: false\n", "    service: 'a b'\n");
    let text = message(parse(&yaml));
    assert!(text.starts_with("/teams/halvern/kinds/intake-confirmation/service is a b"), "{text}");
    assert!(message(parse("kinds: [")).starts_with("not valid YAML"));
}

// Guards against the second of two equal keys silently replacing the first.
#[test]
fn parse_duplicate_key() {
    let yaml = halvern().replace("intake-confirmation", "seat-hold");
    assert!(message(parse(&yaml)).contains("duplicate"));
}

#[test]
fn parse_file_names_file() {
    let parse = |yaml: &str| message(Subtree::parse_file(&owner(), yaml, "halvern.yaml"));
    let text = parse(&halvern().replace("kinds:", "weight: 0\nkinds:"));
    assert_eq!(text, "halvern.yaml: /teams/halvern/weight is 0, allowed is 1 to 1000");
    assert!(parse("kinds: [").starts_with("halvern.yaml: not valid YAML"));
}

#[test]
fn parse_too_long() {
    let yaml = format!("{}# {}\n", halvern(), "x".repeat(settings::MAX_YAML_BYTES));
    assert!(message(parse(&yaml)).contains("bytes, allowed are"));
}

// Guards against accepting values that are not allowed, such as ones that leave a team without
// capacity.
#[test]
fn replace_invalid_values() {
    let cases = [
        ("/teams/halvern/weight", "0", "1 to 1000"),
        ("/teams/halvern/quota_slots", "0", "1 to 1000000"),
        ("/teams/halvern/max_queued_tasks", "100", "at least max_job_tasks, 2000"),
        ("/teams/halvern/max_queued_bytes", "0", "1024 to 1073741824"),
        ("/teams/halvern/kinds", "{}", "at least one kind"),
        ("/teams/halvern/kinds/seat-hold/max_answer_bytes", "0", "1 to 16777216"),
        ("/teams/halvern/kinds/seat-hold/default_timeout_ms", "1", "10 to 3600000"),
        ("/teams/halvern/credential_sha256", "secret", "64 lower-case hexadecimal digits"),
    ];
    for (path, value, allowed) in cases {
        let text = message(replace(path, value));
        assert!(text.starts_with(&format!("{path} is ")), "{text}");
        assert!(text.ends_with(&format!("allowed is {allowed}")), "{text}");
    }
}

// Guards against an evacuation of a misspelt data centre, which would have no effect, and against
// removing a data centre from the names while it is evacuated.
#[test]
fn replace_evacuated_data_centres() {
    let fleet =
        |keys: &str| Subtree::parse(&Owner::Fleet, &format!("credential_sha256: {DIGEST}\n{keys}"));
    let path: Path = "/fleet/evacuated_data_centres".parse().unwrap();
    let without = fleet("").unwrap();
    assert_eq!(without.get(&path).unwrap(), "[]\n", "no data centre is evacuated by default");
    let named = fleet("data_centres: [north, south]").unwrap();
    let put = |current: &Subtree, path: &Path, value: &str| {
        Subtree::replace(Some(current), path, value, &Context::default())
    };
    let evacuated = put(&named, &path, "[south]").unwrap();
    assert_eq!(evacuated.get(&path).unwrap(), "- south\n");
    assert!(put(&named, &path, "[north, south]").is_ok(), "all data centres at once");
    assert!(put(&without, &path, "[anywhere]").is_ok(), "without data_centres, none is known");
    assert_eq!(
        message(put(&named, &path, "[north, sout]")),
        "/fleet/evacuated_data_centres is sout, allowed is names of data_centres: north, south"
    );
    assert_eq!(
        message(put(&evacuated, &"/fleet/data_centres".parse().unwrap(), "[north]")),
        "/fleet/evacuated_data_centres is south, allowed is names of data_centres: north"
    );
    assert_eq!(
        message(put(&named, &path, "south")),
        "/fleet/evacuated_data_centres is south, allowed is a sequence"
    );
    let file = format!(
        "credential_sha256: {DIGEST}\ndata_centres: [north]\nevacuated_data_centres: [west]\n"
    );
    assert_eq!(
        message(Subtree::parse_file(&Owner::Fleet, &file, "fleet.yaml")),
        "fleet.yaml: /fleet/evacuated_data_centres is west, allowed is names of data_centres: north"
    );
}

#[test]
fn replace_changes_one_value() {
    let changed = replace("/teams/halvern/kinds/seat-hold/default_timeout_ms", "250").unwrap();
    let path: Path = "/teams/halvern/kinds/seat-hold/default_timeout_ms".parse().unwrap();
    assert_eq!(changed.get(&path).unwrap(), "250\n");
    let before = parse(&halvern()).unwrap().to_yaml();
    let (start, end) = before.rsplit_once("10000").unwrap();
    assert_eq!(changed.to_yaml(), format!("{start}250{end}"), "only the value at the path changes");
}

#[test]
fn replace_unknown_path() {
    let text = message(replace("/teams/halvern/kinds/seat-holt/max_answer_bytes", "10"));
    assert!(text.starts_with("/teams/halvern/kinds/seat-holt is absent"), "{text}");
    assert!(text.contains("intake-confirmation, seat-hold"), "{text}");
    let text = message(replace("/teams/halvern/wheight", "3"));
    assert!(text.starts_with("/teams/halvern/wheight is 3"), "{text}");
    let text = message(replace("/teams/halvern/weight/deeper", "3"));
    assert!(text.starts_with("/teams/halvern/weight/deeper is absent"), "{text}");
    assert!(replace("/teams/other/weight", "3").is_err());
}

#[test]
fn replace_new_kind() {
    let kind = "{service: enrol, idempotent: true}";
    let changed = replace("/teams/halvern/kinds/funding-check", kind).unwrap();
    assert!(changed.to_yaml().contains("funding-check"));
}

// Guards against accepting a kind that no target can run, and against rejecting every change of a
// team because a service that it already uses has lost its targets.
#[test]
fn replace_checks_new_services() {
    let context = Context { services: Some(BTreeSet::from(["billing".parse().unwrap()])) };
    let current = parse(&halvern()).unwrap();
    let replace = |path: &str, yaml: &str| {
        Subtree::replace(Some(&current), &path.parse().unwrap(), yaml, &context)
    };
    assert!(replace("/teams/halvern/weight", "2").is_ok());
    assert!(replace("/teams/halvern/kinds/seat-hold/service", "billing").is_ok());
    assert_eq!(
        message(replace("/teams/halvern/kinds/seat-hold/service", "biling")),
        "/teams/halvern/kinds/seat-hold/service is biling, allowed is a service with targets: \
         billing"
    );
    assert!(
        Subtree::replace(None, &"/teams/halvern".parse().unwrap(), &halvern(), &context).is_err()
    );
}

// Guards against defaults being used for a subtree that does not exist.
#[test]
fn replace_absent_subtree() {
    let path = "/teams/halvern/weight".parse().unwrap();
    assert!(Subtree::replace(None, &path, "2", &Context::default()).is_err());
    let path = "/teams/halvern".parse().unwrap();
    assert!(Subtree::replace(None, &path, &halvern(), &Context::default()).is_ok());
}

// Guards against a credential that gives access to the subtree of another owner.
#[test]
fn allows_own_subtree_only() {
    let fleet = format!("credential_sha256: {}", settings::sha256_hex("fleet-secret"));
    let team = |credential: &str| {
        let yaml = halvern().replace(DIGEST, &settings::sha256_hex(credential));
        match parse(&yaml).unwrap() {
            Subtree::Team(_, team) => team,
            Subtree::Fleet(_) => unreachable!(),
        }
    };
    let Subtree::Fleet(fleet) = Subtree::parse(&Owner::Fleet, &fleet).unwrap() else {
        panic!("not the fleet")
    };
    let halvern: id::Team = "halvern".parse().unwrap();
    let facturacion: id::Team = "facturacion".parse().unwrap();
    let tree = Tree {
        fleet,
        teams: [(halvern.clone(), team("h")), (facturacion.clone(), team("f"))].into(),
    };
    let allows = |credential, owner: &str| tree.allows(credential, &owner.parse().unwrap());
    assert!(allows("fleet-secret", "/fleet"));
    assert!(allows("h", "/teams/halvern"));
    assert!(!allows("h", "/teams/facturacion"));
    assert!(!allows("h", "/fleet"));
    assert!(!allows("fleet-secret", "/teams/halvern"));
    assert!(!allows("", "/fleet"));
    assert!(allows("fleet-secret", "/teams/new"));
    assert!(!allows("h", "/teams/new"));
    assert_eq!(tree.team_of("f"), Some(&facturacion));
    assert_eq!(tree.team_of("fleet-secret"), None);
}

#[test]
fn sha256_hex_known_answer() {
    // FIPS 180-2, appendix B.1.
    assert_eq!(
        settings::sha256_hex("abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}

#[test]
fn load_yaml_names_file() {
    #[derive(Debug, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    struct File {
        #[allow(dead_code)]
        listen: Vec<std::net::SocketAddr>,
    }
    let load = |text| message(settings::load_yaml::<File>(text, "entry.yaml"));
    let text = load("listen: ['127.0.0.1:80', 'localhost:80']");
    assert!(text.starts_with("entry.yaml: /listen/1 is localhost:80, allowed is "), "{text}");
    let text = load("listen: []\nlisen: 3");
    assert!(text.starts_with("entry.yaml: /lisen is 3, allowed is "), "{text}");
    let text = load("{}");
    assert_eq!(text, "entry.yaml: /listen is absent, allowed is a value, the key is required");
    assert!(load("listen: [").starts_with("entry.yaml: not valid YAML"));
    assert!(settings::load_yaml::<File>("listen: ['127.0.0.1:80']", "entry.yaml").is_ok());
}

#[test]
fn path_parse() {
    for text in ["/fleet", "/fleet/retry_permille", "/teams/halvern/kinds/seat-hold"] {
        assert_eq!(text.parse::<Path>().unwrap().to_string(), text);
    }
    for text in
        ["", "/", "fleet", "/teams", "/teams/", "/fleet/", "/other", "/teams/a b", "/fleet//x"]
    {
        assert!(text.parse::<Path>().is_err(), "{text}");
    }
    assert!("/teams/halvern/weight".parse::<Owner>().is_err());
}

const KEYS: [&str; 25] = [
    "credential_sha256",
    "weight",
    "quota_slots",
    "max_queued_tasks",
    "max_queued_bytes",
    "max_job_tasks",
    "claim_retention_ms",
    "prefer",
    "kinds",
    "service",
    "idempotent",
    "urgency",
    "default_timeout_ms",
    "max_answer_bytes",
    "retry_permille",
    "max_ejected_permille",
    "result_retention_ms",
    "data_centres",
    "evacuated_data_centres",
    "seat-hold",
    "true",
    "~",
    "1e3",
    "&a",
    "*a",
];
const VALUES: [&str; 20] = [
    "0",
    "1",
    "100",
    "2000",
    "99999999999999999999",
    "-1",
    "true",
    "false",
    "~",
    "high",
    "low",
    "messages",
    "\"12\"",
    "0x1f",
    "1.5",
    "[]",
    "{}",
    "!!str 3",
    "enrol",
    DIGEST,
];

/// Builds a document from fragments of the format, so that many inputs are valid YAML.
fn document(bytes: &[u8]) -> String {
    let mut text = String::new();
    for pair in bytes.chunks(2) {
        let (key, value) = (pair[0], pair.get(1).copied().unwrap_or(0));
        text.push_str(&"  ".repeat(usize::from(key >> 6)));
        text.push_str(KEYS[usize::from(key & 63) % KEYS.len()]);
        text.push(':');
        if value < 200 {
            text.push(' ');
            text.push_str(VALUES[usize::from(value) % VALUES.len()]);
        }
        text.push('\n');
    }
    text
}

fn parse_print_parse(yaml: &str) {
    for owner in [Owner::Fleet, owner()] {
        let Ok(first) = Subtree::parse(&owner, yaml) else { continue };
        let printed = first.to_yaml();
        assert_eq!(Subtree::parse(&owner, &printed).unwrap(), first);
        assert_eq!(Subtree::parse(&owner, &printed).unwrap().to_yaml(), printed);
    }
}

/// Number of generated inputs of each fuzz test; SETTINGS_FUZZ_ITERATIONS overrides the default.
fn iterations() -> usize {
    let wanted = std::env::var("SETTINGS_FUZZ_ITERATIONS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(4_000)
}

// Guards against panics on any input, and against printed settings that parse to other values.
#[test]
fn parse_fuzz_bytes() {
    bolero::check!().with_iterations(iterations()).for_each(|bytes: &[u8]| {
        parse_print_parse(&String::from_utf8_lossy(bytes));
        parse_print_parse(&document(bytes));
        let _ = String::from_utf8_lossy(bytes).parse::<Path>();
    });
}

// Like `parse_fuzz_bytes`, with mutations of a valid document, so that many inputs are accepted.
#[test]
fn parse_fuzz_near_valid() {
    use std::sync::atomic::{AtomicU32, Ordering};
    let accepted = AtomicU32::new(0);
    bolero::check!().with_iterations(iterations()).with_type().for_each(
        |(names, entries): &([u8; 3], Vec<(u8, u8)>)| {
            let words =
                ["12", "true", "null", "1e3", "0x1f", "no", "1.0", "seat-hold", "-", ".inf"];
            let word = |n: u8| words[usize::from(n) % words.len()];
            let mut text = format!(
                "credential_sha256: {DIGEST}\nkinds:\n  \"{}\":\n    service: \"{}\"\n    \
                 idempotent: true\n",
                word(names[0]),
                word(names[1]),
            );
            for (key, value) in entries.iter().take(1) {
                let key = KEYS[1 + usize::from(*key) % 7];
                text += &format!("{key}: {}\n", VALUES[usize::from(*value) % VALUES.len()]);
            }
            accepted.fetch_add(u32::from(parse(&text).is_ok()), Ordering::Relaxed);
            parse_print_parse(&text);
        },
    );
    // Without accepted documents the round trip would not be tested.
    let accepted = accepted.into_inner();
    println!("settings: {} inputs, {accepted} accepted, 0 violations", iterations());
    assert!(accepted >= 100, "{accepted} accepted");
}
