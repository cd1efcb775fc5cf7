//! Evacuation of data centres with the operator's program `verbenapass-ctl`.

use std::collections::BTreeSet;
use std::process::{Command, Output};
use std::time::Duration;
use verbenapass_load::binary;
use verbenapass_load::client::Client;
use verbenapass_load::site::{FLEET_CREDENTIAL, HALVERN, Site};
use verbenapass_proto::caller::{Answer, Code};
use verbenapass_proto::target::Payload;
use verbenapass_standin::run::Record;
use verbenapass_system::{
    assert_no_duplicates, count_runs, job, now_us, records, submit, task, tasks, two_centres,
    until, until_connected,
};

const DATA_CENTRES: &str = "/fleet/data_centres";
const EVACUATED: &str = "/fleet/evacuated_data_centres";

/// Writes a value with the operator's program and returns its output.
async fn put(site: &Site, entry: usize, path: &str, value: &str) -> Output {
    let mut command = Command::new(binary::find("verbenapass-ctl").unwrap());
    command.env("VERBENAPASS_CREDENTIAL", FLEET_CREDENTIAL);
    command.args(["--json", "--entry", &site.entries[entry].address.to_string()]);
    command.args(["settings", "put", "--value", value, path]);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

/// Evacuates the data centres in `value` and waits until every instance counts `count` of them.
async fn evacuate(site: &Site, value: &str, count: usize) {
    let output = put(site, 0, EVACUATED, value).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    for entry in 0..site.entries.len() {
        until_metric(site, entry, "verbenapass_evacuated_data_centres", count).await;
    }
}

async fn until_metric(site: &Site, entry: usize, name: &str, value: usize) {
    let expected = format!("{name} {value}");
    let address = site.entries[entry].address;
    until(&expected, async || {
        let reply = site.client.get(address, "/metrics").await.ok()?;
        String::from_utf8_lossy(&reply.body).lines().any(|line| line == expected).then_some(())
    })
    .await;
}

/// Submits jobs of `count` short tasks at every instance at once. Their echo texts begin with
/// `name`.
async fn submit_everywhere(client: &Client, site: &Site, count: usize, name: &str) -> Vec<Answer> {
    let work = |entry: usize| {
        let payloads: Vec<Payload> = tasks(count, 20, &format!("{name}-{entry}"));
        job("seat-hold", 10_000, &payloads)
    };
    let jobs: Vec<_> = (0..site.entries.len()).map(work).collect();
    let (a, b, c, d) = tokio::join!(
        submit(client, site, 0, HALVERN, &jobs[0]),
        submit(client, site, 1, HALVERN, &jobs[1]),
        submit(client, site, 2, HALVERN, &jobs[2]),
        submit(client, site, 3, HALVERN, &jobs[3]),
    );
    vec![a, b, c, d]
}

fn is_refused(answer: &Answer, reason: &str) -> bool {
    answer.refusal.as_ref().is_some_and(|refusal| refusal.reason == reason)
}

/// Returns the names of the data centres in which tasks began whose echo texts begin with `name`.
async fn places(site: &Site, name: &str) -> BTreeSet<String> {
    let records = records(site).await;
    let named = records.iter().filter(|record| record.echo.starts_with(name));
    named.map(place).collect()
}

fn place(record: &Record) -> String {
    record.target.split('-').next().unwrap_or_default().to_owned()
}

/// Guards against starts in an evacuated data centre at any instance, against callers of that data
/// centre who are not served elsewhere, against running tasks that are stopped or lost, and against
/// an evacuation that cannot be ended.
#[tokio::test]
async fn evacuation_of_a_data_centre_and_back() {
    let site = two_centres(2, 2, 8).await;
    let client = Client::new();
    until_connected(&site).await;
    let output = put(&site, 0, DATA_CENTRES, "[north, south]").await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let output = put(&site, 0, EVACUATED, "[west]").await;
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let before = submit_everywhere(&client, &site, 4, "before").await;
    assert!(before.iter().all(|answer| answer.code == Code::Complete), "{before:?}");
    assert_eq!(places(&site, "before-0").await, BTreeSet::from(["north".into()]));

    let long = job("seat-hold", 20_000, &[task(3_000, "long")]);
    let change = async {
        until("the long task runs", async || (count_runs(&site, "long").await == 1).then_some(()))
            .await;
        evacuate(&site, "[north]", 1).await;
        let evacuated_us = now_us();
        until_metric(&site, 0, "verbenapass_evacuated_starts", 1).await;
        for round in 0..5 {
            let name = format!("moved{round}");
            let moved = submit_everywhere(&client, &site, 4, &name).await;
            assert!(moved.iter().all(|answer| answer.code == Code::Complete), "{moved:?}");
            assert_eq!(places(&site, &name).await, BTreeSet::from(["south".into()]));
        }
        evacuated_us
    };
    let (answer, evacuated_us) = tokio::join!(submit(&client, &site, 0, HALVERN, &long), change);
    assert_eq!(answer.code, Code::Complete, "running tasks go on: {answer:?}");
    assert_eq!(places(&site, "long").await, BTreeSet::from(["north".into()]));
    until_metric(&site, 0, "verbenapass_evacuated_starts", 0).await;
    let late = records(&site).await;
    let late = late.iter().filter(|it| place(it) == "north" && it.begun_us > evacuated_us);
    assert_eq!(late.count(), 0, "starts after every instance knew of the evacuation");
    for entry in &site.entries {
        let log = entry.process.log();
        assert_eq!(log.matches("settings: data centre evacuated").count(), 1, "{log}");
    }

    evacuate(&site, "[]", 0).await;
    let after = submit_everywhere(&client, &site, 4, "after").await;
    assert!(after.iter().all(|answer| answer.code == Code::Complete), "{after:?}");
    assert_eq!(places(&site, "after-0").await, BTreeSet::from(["north".into()]));
    assert_no_duplicates(&site).await;
    site.stop().await.unwrap();
}

/// Guards against jobs that fail or expire, or are refused without the reason or with a time to come
/// back that has passed, while every data centre is evacuated, and against jobs that are not
/// accepted again afterwards.
#[tokio::test]
async fn evacuation_of_all_data_centres() {
    let site = two_centres(2, 1, 4).await;
    let client = Client::new();
    until_connected(&site).await;
    evacuate(&site, "[north, south]", 2).await;
    let submitted_us = now_us();
    for answer in submit_everywhere(&client, &site, 2, "none").await {
        assert_eq!(answer.code, Code::Refused, "{answer:?}");
        assert!(is_refused(&answer, "evacuated"), "{answer:?}");
        let retry_at = answer.refusal.map(|refusal| refusal.retry_at_us);
        assert!(retry_at.is_some_and(|at| at > submitted_us + 1_000_000), "{retry_at:?}");
    }
    assert_eq!(places(&site, "none").await, BTreeSet::new());
    evacuate(&site, "[south]", 1).await;
    let answers = submit_everywhere(&client, &site, 2, "north").await;
    assert!(answers.iter().all(|answer| answer.code == Code::Complete), "{answers:?}");
    assert_eq!(places(&site, "north").await, BTreeSet::from(["north".into()]));
    site.stop().await.unwrap();
}

/// Guards against a process that starts during an evacuation and starts tasks in the evacuated data
/// centre before it has the settings in force.
#[tokio::test]
async fn evacuation_holds_after_a_restart() {
    let mut site = two_centres(1, 1, 4).await;
    let client = Client::new();
    until_connected(&site).await;
    evacuate(&site, "[north]", 1).await;
    site.restart_entry(0).unwrap();
    let mut number = 0;
    // Jobs are submitted from the first connection on, so that a start before the settings would be
    // seen.
    until("the restarted instance completes a job", async || {
        number += 1;
        let work = job("seat-hold", 2_000, &[task(1, &format!("restarted{number}"))]);
        let address = site.entries[0].address;
        let answer = client.submit(address, HALVERN.credential, &work).await.ok()?.1;
        tokio::time::sleep(Duration::from_millis(5)).await;
        (answer.code == Code::Complete).then_some(())
    })
    .await;
    assert_eq!(places(&site, "restarted").await, BTreeSet::from(["south".into()]));
    site.stop().await.unwrap();
}
