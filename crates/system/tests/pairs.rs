//! Two faults at the same time.

use rustix::process::Signal;
use verbenapass_load::client::Client;
use verbenapass_load::site::{DataCentre, HALVERN, Options};
use verbenapass_proto::caller::Code;
use verbenapass_standin::switch::{Delivery, Outage, Platform, Silence, Target};
use verbenapass_system::{
    assert_no_duplicates, count_runs, echoes, job, one_centre, records, start, submit, task, tasks,
    until,
};

/// Guards against starts on a target that died during a platform outage, when the instance list
/// cannot show its end.
#[tokio::test]
async fn platform_down_and_target_killed() {
    let data_centres = vec![DataCentre { name: "north", entries: 1, targets: 2, hosts: 2 }];
    let mut site = start(Options { data_centres, ..Options::default() }).await;
    let client = Client::new();
    let down = Platform { outage: Outage::Refuse, ..Default::default() };
    site.switch_platform(&down).await.unwrap();
    site.targets[0].process.kill();
    site.targets.remove(0);
    for number in 0..30 {
        let name = format!("p{number}");
        let work = job("seat-hold", 5_000, &[task(1, &name)]);
        let answer = submit(&client, &site, 0, HALVERN, &work).await;
        assert_eq!(answer.code, Code::Complete, "{answer:?}");
        assert_eq!(echoes(&answer), [name]);
    }
    assert_no_duplicates(&site).await;
}

/// Guards against a second claim and a second run when the reply to the claim and the target's
/// answer are both lost.
#[tokio::test]
async fn platform_and_target_lose_replies() {
    let site = one_centre(2, 1, 4).await;
    let client = Client::new();
    site.switch_platform(&Platform { lose_replies: 1, ..Default::default() }).await.unwrap();
    let lost = Target { delivery: Delivery::Lost, ..Default::default() };
    site.switch_targets(&lost).await.unwrap();
    let mut work = job("intake-confirmation", 5_000, &[task(1, "once")]);
    work.request_id = Some("r1".into());
    let first = submit(&client, &site, 0, HALVERN, &work).await;
    // The instance queries the outcome on a new connection, so the job may still complete.
    assert_ne!(first.code, Code::Refused, "{first:?}");
    site.switch_targets(&Target::default()).await.unwrap();
    for entry in [0, 1] {
        submit(&client, &site, entry, HALVERN, &work).await;
    }
    assert_eq!(count_runs(&site, "once").await, 1);
    site.stop().await.unwrap();
}

/// Guards against duplicate runs and starts after the deadline when an instance is paused and its
/// connections to the targets go silent meanwhile.
#[tokio::test]
async fn entry_paused_and_target_silent() {
    let mut site = one_centre(2, 2, 4).await;
    let client = Client::new();
    let work = job("seat-hold", 2_000, &tasks(12, 50, "before"));
    assert_eq!(submit(&client, &site, 0, HALVERN, &work).await.code, Code::Complete);
    site.entries[0].process.signal(Signal::STOP).unwrap();
    let silent = Target { silence: Silence::Existing, ..Default::default() };
    site.switch_targets(&silent).await.unwrap();
    let work = job("seat-hold", 5_000, &tasks(4, 10, "peer"));
    let peer = submit(&client, &site, 1, HALVERN, &work).await;
    assert!(matches!(peer.code, Code::Complete | Code::Unknown | Code::Expired), "{peer:?}");
    site.entries[0].process.signal(Signal::CONT).unwrap();
    let mut number = 0;
    until("jobs complete at the resumed instance", async || {
        number += 1;
        let work = job("seat-hold", 2_000, &[task(1, &format!("after-{number}"))]);
        let answer = submit(&client, &site, 0, HALVERN, &work).await;
        (answer.code == Code::Complete).then_some(())
    })
    .await;
    let records = records(&site).await;
    assert!(records.iter().all(|record| record.begun_us < record.deadline_us));
    assert_no_duplicates(&site).await;
}
