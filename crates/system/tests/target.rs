//! Targets that die, go silent, answer incorrectly or drain.

use verbenapass_load::client::Client;
use verbenapass_load::site::{DataCentre, HALVERN, Options, Site};
use verbenapass_proto::caller::{Answer, Code};
use verbenapass_proto::platform::Mark;
use verbenapass_standin::switch::{self, Delivery, Silence};
use verbenapass_system::{
    assert_no_duplicates, count_runs, echoes, job, now_us, one_centre, records, start, submit,
    task, tasks, two_centres, until, until_connected,
};

/// Longest time from the leaving mark in the instance list to the last start on that target, in
/// microseconds.
const LEAVING_US: u64 = 3_000_000;

async fn run(client: &Client, site: &Site, name: &str) -> Answer {
    submit(client, site, 0, HALVERN, &job("seat-hold", 5_000, &[task(1, name)])).await
}

/// Guards against a second run of tasks whose target process was killed, and against failures of
/// later jobs.
#[tokio::test]
async fn target_killed_with_tasks_in_progress() {
    let data_centres = vec![DataCentre { name: "north", entries: 1, targets: 2, hosts: 2 }];
    let mut site = start(Options { data_centres, slots: 4, ..Options::default() }).await;
    let client = Client::new();
    let long = job("seat-hold", 20_000, &tasks(8, 1_000, "long"));
    let address = site.entries[0].address;
    let submitted = tokio::spawn({
        let client = client.clone();
        async move { client.submit(address, HALVERN.credential, &long).await }
    });
    until("all tasks run", async || (records(&site).await.len() == 8).then_some(())).await;
    site.targets[0].process.kill();
    let (_, answer) = submitted.await.unwrap().unwrap();
    assert!(matches!(answer.code, Code::Unknown | Code::Failed), "{answer:?}");
    site.targets.remove(0);
    for number in 0..20 {
        let answer = run(&client, &site, &format!("after-{number}")).await;
        assert_eq!(answer.code, Code::Complete, "{answer:?}");
    }
    assert_no_duplicates(&site).await;
    site.stop().await.unwrap();
}

/// Guards against a connection pool that keeps using connections that stopped delivering data
/// without being closed.
#[tokio::test]
async fn target_silent_on_existing_connections() {
    let site = one_centre(1, 1, 4).await;
    let client = Client::new();
    assert_eq!(run(&client, &site, "before").await.code, Code::Complete);
    let silent = switch::Target { silence: Silence::Existing, ..Default::default() };
    site.switch_targets(&silent).await.unwrap();
    until("jobs complete on new connections", async || {
        let number = now_us();
        let answer = run(&client, &site, &format!("after-{number}")).await;
        let is_expected = matches!(answer.code, Code::Complete | Code::Unknown | Code::Expired);
        assert!(is_expected || answer.code == Code::Refused, "{answer:?}");
        (answer.code == Code::Complete).then_some(())
    })
    .await;
    assert_eq!(run(&client, &site, "last").await.code, Code::Complete);
    assert_no_duplicates(&site).await;
    site.stop().await.unwrap();
}

/// Guards against a duplicate of an answer that is taken for the answer to the next start on the
/// connection.
#[tokio::test]
async fn target_answers_twice() {
    let site = one_centre(1, 1, 4).await;
    let client = Client::new();
    let twice = switch::Target { delivery: Delivery::Twice, ..Default::default() };
    site.switch_targets(&twice).await.unwrap();
    for number in 0..50 {
        let name = format!("t{number}");
        let answer = run(&client, &site, &name).await;
        assert_eq!(answer.code, Code::Complete, "{answer:?}");
        assert_eq!(echoes(&answer), [name]);
    }
    assert_no_duplicates(&site).await;
    site.stop().await.unwrap();
}

/// Guards against invalid answers that reach the caller, and against a second run of their tasks.
#[tokio::test]
async fn target_invalid_answers() {
    let site = one_centre(1, 1, 4).await;
    let client = Client::new();
    let invalid = [Delivery::Truncated, Delivery::WrongStart, Delivery::Oversized, Delivery::Lost];
    for (number, delivery) in invalid.into_iter().enumerate() {
        let name = format!("invalid-{number}");
        site.switch_targets(&switch::Target { delivery, ..Default::default() }).await.unwrap();
        let answer = run(&client, &site, &name).await;
        assert!(matches!(answer.code, Code::Failed | Code::Unknown), "{delivery:?}: {answer:?}");
        assert_eq!(count_runs(&site, &name).await, 1, "{delivery:?}");
        site.switch_targets(&switch::Target::default()).await.unwrap();
        let name = format!("whole-{number}");
        let answer = run(&client, &site, &name).await;
        assert_eq!(answer.code, Code::Complete, "after {delivery:?}: {answer:?}");
        assert_eq!(echoes(&answer), [name]);
    }
    assert_no_duplicates(&site).await;
    site.stop().await.unwrap();
}

/// Guards against starts that continue on a draining target because the instance list is stale and
/// does not show its leaving mark.
#[tokio::test]
async fn target_draining_with_frozen_list() {
    let site = one_centre(2, 2, 4).await;
    let client = Client::new();
    let frozen = switch::Platform { freeze_list: true, ..Default::default() };
    site.switch_platform(&frozen).await.unwrap();
    let draining = switch::Target { draining: true, ..Default::default() };
    site.switch_target("north-t1", &draining).await.unwrap();
    site.mark("north-t1", Mark::Leaving).await.unwrap();
    let begin_us = now_us();
    let mut number = 0;
    while now_us() < begin_us + LEAVING_US {
        let entry = number % 2;
        number += 1;
        let work = job("seat-hold", 5_000, &[task(5, &format!("d{number}"))]);
        let answer = submit(&client, &site, entry, HALVERN, &work).await;
        assert_eq!(answer.code, Code::Complete, "{answer:?}");
    }
    let refused = draining_refusals(&site).await;
    for number in 0..50 {
        let answer = run(&client, &site, &format!("late-{number}")).await;
        assert_eq!(answer.code, Code::Complete, "{answer:?}");
    }
    assert_eq!(
        draining_refusals(&site).await,
        refused,
        "the draining target still receives starts"
    );
    let records = records(&site).await;
    assert!(records.iter().all(|record| record.target == "north-t2"));
    assert_no_duplicates(&site).await;
    site.stop().await.unwrap();
}

async fn draining_refusals(site: &Site) -> u64 {
    site.runs().await.unwrap().counts.draining
}

/// Guards against a leaving mark that reaches only the instances that can read the instance list.
/// The others must learn it from their peers.
#[tokio::test]
async fn target_leaving_seen_by_one_data_centre() {
    let site = two_centres(1, 2, 4).await;
    let client = Client::new();
    until_connected(&site).await;
    let cut = switch::Platform { cut: vec!["north".into()], ..Default::default() };
    site.switch_platform(&cut).await.unwrap();
    assert_eq!(run(&client, &site, "before").await.code, Code::Complete);
    site.mark("north-t1", Mark::Leaving).await.unwrap();
    let visible_us = now_us();
    let mut number = 0;
    // Jobs continue for 2 s after the limit, so that starts after it would be seen.
    while now_us() < visible_us + LEAVING_US + 2_000_000 {
        number += 1;
        let work = job("seat-hold", 5_000, &tasks(4, 20, &format!("n{number}")));
        let answer = submit(&client, &site, 0, HALVERN, &work).await;
        assert_eq!(answer.code, Code::Complete, "{answer:?}");
    }
    let late = records(&site)
        .await
        .into_iter()
        .filter(|record| record.target == "north-t1" && record.begun_us > visible_us + LEAVING_US);
    assert_eq!(late.count(), 0);
    assert_no_duplicates(&site).await;
    site.stop().await.unwrap();
}
