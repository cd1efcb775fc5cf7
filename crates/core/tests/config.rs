//! Tests of single operations of the settings replica.

use std::collections::BTreeSet;
use verbenapass::config::{
    self, Access, Conflict, HISTORY_LENGTH, INDEX_LENGTH, Plan, Planned, Poll, Proposal, Replica,
    Reply, Resolution, Revision, Row, Source, Status,
};
use verbenapass::id::{self, Version};
use verbenapass::peer::{InForce, Report};
use verbenapass::settings::{Context, Owner, sha256_hex};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

const NOW: Timestamp = Timestamp::from_micros(1_000_000);

fn yaml(weight: u64) -> String {
    let credential_sha256 = sha256_hex("secret");
    format!(
        "credential_sha256: {credential_sha256}\nweight: {weight}\nkinds:\n  a:\n    service: s\n    \
         idempotent: true\n"
    )
}

fn owner() -> Owner {
    "/teams/halvern".parse().unwrap()
}

fn revision(version: u64, change: &str) -> Revision {
    Revision {
        path: "/teams/halvern".into(),
        version: Version::new(version),
        changes: vec![change.parse().unwrap()],
        yaml: Some(yaml(version)),
    }
}

fn fleet() -> Revision {
    Revision {
        path: "/fleet".into(),
        version: Version::new(1),
        changes: vec!["f1".parse().unwrap()],
        yaml: Some(format!("credential_sha256: {}", sha256_hex("fleet"))),
    }
}

fn row(row_version: u64, revision: &Revision) -> Row {
    Row {
        key: format!("settings{}", revision.path),
        version: Version::new(row_version),
        value: Some(revision.to_value()),
    }
}

fn index() -> Row {
    Row::absent(config::INDEX_KEY)
}

fn replica(name: &str, data_centre: &str) -> Replica {
    let mut replica = Replica::new(name.parse().unwrap(), data_centre.parse().unwrap());
    replica.scanned(&index(), &[row(1, &fleet()), row(9, &revision(4, "c4"))]);
    replica
}

fn proposal(change: &str, expect: Option<u64>) -> Proposal {
    Proposal {
        path: "/teams/halvern/weight".parse().unwrap(),
        value: Some("50".into()),
        expect: expect.map(Version::new),
        change: change.parse().unwrap(),
    }
}

fn plan(replica: &mut Replica, proposal: &Proposal, row: &Row) -> Planned {
    replica.plan(proposal, row, &index(), &Context::default()).unwrap()
}

fn write(planned: Planned) -> Plan {
    match planned {
        Planned::Write(plan) => *plan,
        other => panic!("expected a write: {other:?}"),
    }
}

fn change(name: &str) -> id::Change {
    name.parse().unwrap()
}

fn evacuating(version: u64, data_centres: &str) -> Revision {
    let yaml = fleet().yaml.unwrap() + &format!("\nevacuated_data_centres: [{data_centres}]\n");
    Revision { version: Version::new(version), yaml: Some(yaml), ..fleet() }
}

fn is_evacuated(replica: &Replica, data_centre: &str) -> bool {
    let tree = replica.tree().unwrap();
    tree.fleet.evacuated_data_centres.contains(&data_centre.parse().unwrap())
}

// Guards against an older copy of the settings, from a peer or from the table, that undoes an
// evacuation or resumes one that was ended.
#[test]
fn received_older_evacuation() {
    let mut replica = replica("a", "dc0");
    assert!(!is_evacuated(&replica, "dc1"), "none by default");
    replica.received(&[evacuating(3, "dc1")]);
    assert!(is_evacuated(&replica, "dc1"));
    replica.received(&[evacuating(2, "")]);
    replica.row_read(&row(20, &fleet()));
    replica.scanned(&index(), &[row(21, &evacuating(2, "dc0"))]);
    assert!(is_evacuated(&replica, "dc1"));
    assert!(!is_evacuated(&replica, "dc0"));
    replica.received(&[evacuating(4, "")]);
    replica.received(&[evacuating(3, "dc1")]);
    assert!(!is_evacuated(&replica, "dc1"));
}

// Guards against a process that starts with defaults in place of the settings of the fleet, and so
// without an evacuation that is in force.
#[test]
fn tree_needs_fleet_for_evacuation() {
    let mut replica = Replica::new("a".parse().unwrap(), "dc0".parse().unwrap());
    assert!(replica.tree().is_none());
    replica.scanned(&index(), &[row(9, &revision(4, "c4"))]);
    assert!(replica.tree().is_none(), "a scan without the fleet's row");
    replica.received(&[evacuating(3, "dc1")]);
    assert!(is_evacuated(&replica, "dc1"));
}

// Guards against a write that is not conditional on the row versions that were read.
#[test]
fn plan_conditions() {
    let mut replica = replica("a", "dc0");
    let plan = write(plan(&mut replica, &proposal("c5", None), &row(9, &revision(4, "c4"))));
    assert_eq!(plan.conditions[0].key, "settings/teams/halvern");
    assert_eq!(plan.conditions[0].version, Version::new(9), "the version of the row");
    assert_eq!(plan.revision.version, Version::new(5), "the version of the subtree");
    assert_eq!(plan.revision.changes, [change("c5"), change("c4")]);
    assert_eq!(replica.version(&owner()), Version::new(4), "in force only when committed");
    assert_eq!(plan.resolve(&Reply::Committed), Resolution::Stored);
    assert_eq!(replica.commit(&plan).changed, [owner()]);
    assert_eq!(replica.tree().unwrap().teams[&"halvern".parse().unwrap()].weight, 50);
}

// Guards against applying a change twice after the reply to its transaction was lost.
#[test]
fn resume_lost_reply() {
    let mut replica = replica("a", "dc0");
    let before = row(9, &revision(4, "c4"));
    let plan = write(plan(&mut replica, &proposal("c5", None), &before));
    assert_eq!(plan.resolve(&Reply::Lost), Resolution::Reread);
    assert_eq!(write(replica.resume(&plan, &before, &index())), plan, "nothing was written yet");
    let after = row(10, &plan.revision);
    assert_eq!(replica.resume(&plan, &after, &index()), Planned::Done(Version::new(5)));
    let mut later = plan.revision.clone();
    later.version = Version::new(6);
    later.changes.insert(0, change("c6"));
    let after = row(11, &later);
    assert_eq!(replica.resume(&plan, &after, &index()), Planned::Done(Version::new(5)));
}

// Guards against a change that lost a race being reported as done, and against a conflict that does
// not name the change that won.
#[test]
fn resume_conflict_names_winner() {
    let mut replica = replica("a", "dc0");
    let before = row(9, &revision(4, "c4"));
    let plan = write(plan(&mut replica, &proposal("mine", None), &before));
    let winner = Conflict { version: Version::new(5), change: Some(change("theirs")) };
    let after = row(10, &revision(5, "theirs"));
    assert_eq!(replica.resume(&plan, &after, &index()), Planned::Conflict(winner));
}

// Guards against a conflict being reported when only the index row has changed.
#[test]
fn resume_index_changed() {
    let mut replica = replica("a", "dc0");
    let before = row(9, &revision(4, "c4"));
    let plan = write(plan(&mut replica, &proposal("c5", None), &before));
    let value = Some(r#"{"sequence": 1, "recent": [{"path": "/fleet", "version": 2}]}"#.into());
    let changed = Row { version: Version::new(7), value, ..index() };
    let again = write(replica.resume(&plan, &before, &changed));
    assert_eq!(again.conditions[1].version, Version::new(7));
    assert_eq!(again.revision, plan.revision);
    assert!(again.writes[1].value.contains(r#""sequence":2"#), "{}", again.writes[1].value);
}

#[test]
fn plan_expected_version() {
    let mut replica = replica("a", "dc0");
    let current = row(9, &revision(4, "c4"));
    assert!(matches!(
        plan(&mut replica, &proposal("x", Some(3)), &current),
        Planned::Conflict(Conflict { version, .. }) if version == Version::new(4)
    ));
    assert_eq!(plan(&mut replica, &proposal("x", Some(5)), &current), Planned::Stale);
    write(plan(&mut replica, &proposal("x", Some(4)), &current));
    let beyond = row(90, &revision(4 + HISTORY_LENGTH as u64 + 1, "far"));
    assert_eq!(plan(&mut replica, &proposal("x", Some(4)), &beyond), Planned::HistoryExceeded);
}

// Guards against applying a change twice when it is submitted again after it took effect.
#[test]
fn plan_repeated_change() {
    let mut replica = replica("a", "dc0");
    let current = row(9, &revision(4, "c4"));
    let planned = plan(&mut replica, &proposal("c4", Some(3)), &current);
    assert_eq!(planned, Planned::Done(Version::new(4)));
}

// Guards against a stale copy that restores a removed team.
#[test]
fn received_stale_after_removal() {
    let mut replica = replica("a", "dc0");
    let removal = Proposal {
        path: "/teams/halvern".parse().unwrap(),
        value: None,
        ..proposal("close", Some(4))
    };
    let plan = write(plan(&mut replica, &removal, &row(9, &revision(4, "c4"))));
    replica.commit(&plan);
    assert!(replica.tree().unwrap().teams.is_empty());
    replica.received(&[revision(4, "c4")]);
    replica.scanned(&index(), &[row(9, &revision(4, "c4"))]);
    assert!(replica.tree().unwrap().teams.is_empty());
    assert_eq!(replica.version(&owner()), Version::new(5));
    let message = Revision::from_message(
        &plan.revision.path,
        plan.revision.version,
        &plan.revision.changes_text(),
        "",
    );
    assert_eq!(message.unwrap(), plan.revision, "a message to peers carries the removal");
}

#[test]
fn plan_removal_invalid() {
    let mut replica = replica("a", "dc0");
    for path in ["/fleet", "/teams/halvern/weight", "/teams/other"] {
        let path: verbenapass::settings::Path = path.parse().unwrap();
        let row = Row::absent(&config::key(&path.owner));
        let removal = Proposal { path, value: None, ..proposal("close", None) };
        assert!(replica.plan(&removal, &row, &index(), &Context::default()).is_err());
    }
}

// Guards against an invalid copy replacing valid settings.
#[test]
fn received_invalid() {
    let mut replica = replica("a", "dc0");
    let mut broken = revision(5, "c5");
    broken.yaml = Some(yaml(0));
    let applied = replica.received(&[broken]);
    assert_eq!(applied.changed, []);
    assert!(applied.rejected[0].to_string().contains("weight is 0, allowed is 1 to 1000"));
    assert_eq!(replica.version(&owner()), Version::new(4));
    let swapped = Row { key: "settings/teams/other".into(), ..row(9, &revision(5, "c5")) };
    assert_eq!(replica.row_read(&swapped).rejected.len(), 1);
}

// Guards against defaults or incomplete settings being in force after a cold start.
#[test]
fn tree_cold_start() {
    let full = replica("a", "dc0");
    let mut cold = Replica::new("b".parse().unwrap(), "dc1".parse().unwrap());
    cold.received(&[fleet()]);
    assert!(cold.tree().is_none(), "one subtree is not the complete settings");
    assert_eq!(cold.digest(), []);
    assert!(cold.is_behind(&full.digest()));
    cold.received(&full.newer_than(&cold.versions()));
    cold.confirmed(&"a".parse().unwrap(), &"dc0".parse().unwrap(), &full.digest(), NOW);
    assert_eq!(cold.tree(), full.tree());
    assert!(!cold.is_behind(&full.digest()));
    assert!(!cold.is_behind(&[]), "an incomplete peer has nothing to offer");
}

// Guards against missing a change in a subtree that the digest no longer names.
#[test]
fn is_behind_old_difference() {
    let mut ahead = replica("a", "dc0");
    let mut behind = replica("b", "dc0");
    ahead.received(&[revision(5, "c5")]);
    let others: Vec<Revision> =
        (0..40).map(|n| Revision { path: format!("/teams/t{n}"), ..revision(1, "x") }).collect();
    ahead.received(&others);
    behind.received(&others);
    assert!(!ahead.digest().iter().any(|entry| entry.subtree == "/teams/halvern"));
    assert!(behind.is_behind(&ahead.digest()));
    behind.received(&ahead.newer_than(&behind.versions()));
    assert_eq!(behind.version(&owner()), Version::new(5));
    assert!(!behind.is_behind(&ahead.digest()));
}

fn index_row(row_version: u64, sequence: u64, recent: &[(&str, u64)]) -> Row {
    let recent: Vec<String> = recent
        .iter()
        .map(|(path, version)| format!(r#"{{"path": "{path}", "version": {version}}}"#))
        .collect();
    let value = format!(r#"{{"sequence": {sequence}, "recent": [{}]}}"#, recent.join(","));
    Row { version: Version::new(row_version), value: Some(value), ..index() }
}

// Guards against a change that is missed because the read after the poll failed.
#[test]
fn polled_failed_read() {
    let mut replica = replica("a", "dc0");
    let changed = index_row(3, 1, &[("/teams/halvern", 5)]);
    let keys = Poll::Rows(vec!["settings/teams/halvern".into()]);
    assert_eq!(replica.polled(&changed), keys);
    assert_eq!(replica.polled(&changed), keys, "the read failed");
    replica.row_read(&row(10, &revision(5, "c5")));
    assert_eq!(replica.polled(&changed), Poll::Nothing);
    assert_eq!(
        replica.polled(&index_row(2, 0, &[])),
        Poll::Nothing,
        "a stale copy of the index row"
    );
    let many = vec![("/fleet", 1); INDEX_LENGTH];
    let sequence = 2 + INDEX_LENGTH as u64;
    assert_eq!(replica.polled(&index_row(50, sequence, &many)), Poll::Scan);
    let mut cold = Replica::new("b".parse().unwrap(), "dc1".parse().unwrap());
    assert_eq!(cold.polled(&index()), Poll::Scan);
}

fn report(from: &str, data_centre: &str, version: u64, stopping: bool) -> Report {
    Report {
        from: from.parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        made_at: NOW,
        loads: Vec::new(),
        usages: Vec::new(),
        leaving: Vec::new(),
        in_force: vec![InForce {
            subtree: "/teams/halvern".into(),
            version: Version::new(version),
        }],
        stopping,
    }
}

fn data_centres(names: &[&str]) -> BTreeSet<id::DataCentre> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

// Guards against reporting a change as accepted while a data centre is silent, stopping or behind.
#[test]
fn status_needs_every_data_centre() {
    let mut replica = replica("a", "dc0");
    let status = |replica: &Replica, now| replica.status(&owner(), &change("c4"), now);
    let pending = |names: &[&str]| Status::Pending {
        version: Version::new(4),
        missing: data_centres(names).into_iter().collect(),
    };
    assert_eq!(status(&replica, NOW), pending(&[]), "the data centres are not known yet");
    replica.listed(7, data_centres(&["dc0", "dc1", "dc2"]));
    replica.listed(6, data_centres(&["dc0"]));
    assert_eq!(status(&replica, NOW), pending(&["dc1", "dc2"]), "an older list is ignored");
    replica.reported(&report("b", "dc1", 3, false), NOW);
    assert_eq!(status(&replica, NOW), pending(&["dc1", "dc2"]));
    replica.reported(&report("c", "dc1", 4, false), NOW);
    assert_eq!(status(&replica, NOW), pending(&["dc2"]));
    replica.reported(&report("d", "dc2", 4, false), NOW);
    assert_eq!(status(&replica, NOW), Status::Accepted { version: Version::new(4) });
    replica.reported(&report("d", "dc2", 4, true), NOW);
    assert_eq!(status(&replica, NOW), pending(&["dc2"]));
    let later = NOW.plus(config::LIVENESS_TIMEOUT).plus(Millis::new(1));
    assert_eq!(status(&replica, later), pending(&["dc1", "dc2"]));
    replica.listed(8, data_centres(&["dc0"]));
    assert_eq!(status(&replica, later), Status::Accepted { version: Version::new(4) });
    assert_eq!(replica.status(&owner(), &change("c9"), NOW), Status::NotFound);
}

// Guards against reporting a change as accepted without a data centre that disappeared from the list
// because it is partitioned from the platform.
#[test]
fn status_declared_data_centres() {
    let mut replica = replica("a", "dc0");
    let yaml = fleet().yaml.unwrap() + "\ndata_centres: [dc0, dc1]\n";
    replica.received(&[Revision { version: Version::new(2), yaml: Some(yaml), ..fleet() }]);
    replica.listed(7, data_centres(&["dc0"]));
    let missing = vec!["dc1".parse().unwrap()];
    assert_eq!(
        replica.status(&owner(), &change("c4"), NOW),
        Status::Pending { version: Version::new(4), missing }
    );
}

#[test]
fn recipients_by_source() {
    let replica = replica("a0", "dc0");
    let peers: Vec<(id::Instance, id::DataCentre)> = ["a0", "a1", "a2", "b0", "b1", "b2", "c0"]
        .iter()
        .zip(["dc0", "dc0", "dc0", "dc1", "dc1", "dc1", "dc2"])
        .map(|(instance, centre)| (instance.parse().unwrap(), centre.parse().unwrap()))
        .collect();
    let recipients = |source: &Source| {
        let names = replica.recipients(source, &peers, 0);
        names.iter().map(|name| name.as_str().to_string()).collect::<Vec<_>>()
    };
    let operator = recipients(&Source::Operator);
    assert_eq!(operator.len(), 2 + 2 + 1);
    assert!(operator.starts_with(&["a1".into(), "a2".into()]));
    assert_eq!(recipients(&Source::Peer("dc1".parse().unwrap())), ["a1", "a2"]);
    assert!(recipients(&Source::Peer("dc0".parse().unwrap())).is_empty());
    assert!(recipients(&Source::Table).is_empty());
    let partners: BTreeSet<Vec<id::Instance>> =
        (0..3).map(|round| replica.partners(&peers, round, 1)).collect();
    assert_eq!(partners.len(), 3, "the remote partner rotates");
}

// Guards against seeded rows of plain YAML that can't be read or can't be changed.
#[test]
fn row_read_plain_yaml() {
    let mut replica = Replica::new("a".parse().unwrap(), "dc0".parse().unwrap());
    let seed = |version, yaml: &str| Row {
        key: "settings/teams/halvern".into(),
        version: Version::new(version),
        value: Some(yaml.into()),
    };
    let fleet = row(1, &fleet());
    let applied = replica.scanned(&index(), &[fleet, seed(3, &yaml(7))]);
    assert_eq!(applied.rejected, []);
    assert_eq!(replica.version(&owner()), Version::new(3));
    assert_eq!(replica.tree().unwrap().teams[&"halvern".parse().unwrap()].weight, 7);
    let plan = write(plan(&mut replica, &proposal("c1", Some(3)), &seed(3, &yaml(7))));
    assert_eq!(plan.revision.version, Version::new(4));
    assert_eq!(plan.revision.changes, [change("c1")]);
    assert_eq!(plan.conditions[0].version, Version::new(3));
    let truncated = &revision(9, "x").to_value()[..40];
    assert_eq!(replica.row_read(&seed(9, truncated)).rejected.len(), 1);
    assert_eq!(replica.version(&owner()), Version::new(3));
}

// Guards against a removed team that can't read whether its removal is in force, and against its old
// credential giving full access.
#[test]
fn access_after_removal() {
    let mut replica = replica("a", "dc0");
    let cold = Replica::new("b".parse().unwrap(), "dc0".parse().unwrap());
    assert_eq!(cold.access("secret", &owner()), Access::Denied);
    assert_eq!(replica.access("secret", &owner()), Access::Full);
    assert_eq!(replica.access("fleet", &owner()), Access::Denied);
    replica.received(&[Revision { yaml: None, ..revision(5, "close") }]);
    assert_eq!(replica.access("secret", &owner()), Access::Removal);
    assert_eq!(replica.access("fleet", &owner()), Access::Full);
    assert_eq!(replica.access("other", &owner()), Access::Denied);
    replica.received(&[Revision { yaml: None, ..revision(6, "again") }]);
    assert_eq!(replica.access("secret", &owner()), Access::Removal);
    replica.received(&[revision(7, "new")]);
    assert_eq!(replica.access("secret", &owner()), Access::Full);
}

// Guards against an instance that rejects a revision and fetches it again after each report.
#[test]
fn fetched_rejected_revision() {
    let mut ahead = replica("a", "dc0");
    let mut old = replica("b", "dc0");
    ahead.received(&[revision(5, "c5")]);
    let broken = Revision { yaml: Some(yaml(0)), ..revision(5, "c5") };
    assert!(old.is_behind(&ahead.digest()));
    let applied = old.fetched(&ahead.digest(), &[broken]);
    assert_eq!((applied.changed.len(), applied.rejected.len()), (0, 1));
    assert!(!old.is_behind(&ahead.digest()));
    ahead.received(&[revision(6, "c6")]);
    assert!(old.is_behind(&ahead.digest()), "the peer has something new");
    old.fetched(&ahead.digest(), &[]);
    old.received(&[Revision { path: "/teams/other".into(), ..revision(1, "x") }]);
    assert!(old.is_behind(&ahead.digest()), "this replica has changed");
}
