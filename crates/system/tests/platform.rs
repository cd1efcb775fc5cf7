//! Faults of the platform. Jobs of kinds that are not idempotent need a claim, which is stored
//! there.

use verbenapass_load::client::Client;
use verbenapass_load::site::{FACTURACION, HALVERN, Site, Team};
use verbenapass_proto::caller::{Answer, Code, Submit};
use verbenapass_standin::switch::{Outage, Platform};
use verbenapass_system::{
    assert_no_duplicates, count_runs, echoes, job, one_centre, submit, task, two_centres,
};

/// Makes a job of the team's only kind that is not idempotent, with `request` as its request id.
fn non_idempotent(team: Team, request: &str, run_ms: u64) -> Submit {
    let mut job = job(team.kinds[2].0, 10_000, &[task(run_ms, request)]);
    job.request_id = Some(request.into());
    job
}

/// Submits a job again until it is not refused. This is safe as a refused job did not run.
async fn submit_until_run(client: &Client, site: &Site, entry: usize, job: &Submit) -> Answer {
    verbenapass_system::until("the job is not refused", async || {
        let answer = submit(client, site, entry, HALVERN, job).await;
        (answer.code != Code::Refused).then_some(answer)
    })
    .await
}

/// Guards against a platform outage that stops idempotent jobs, and against other jobs that run
/// without a claim or wait for the end of the outage instead of being refused.
#[tokio::test]
async fn platform_down_idempotent_goes_on() {
    let site = one_centre(1, 1, 4).await;
    let client = Client::new();
    for (number, outage) in [Outage::Refuse, Outage::Unavailable].into_iter().enumerate() {
        site.switch_platform(&Platform { outage, ..Default::default() }).await.unwrap();
        let name = format!("i{number}");
        let idempotent = job("seat-hold", 5_000, &[task(1, &name)]);
        let answer = submit(&client, &site, 0, HALVERN, &idempotent).await;
        assert_eq!(answer.code, Code::Complete, "{outage:?}: {answer:?}");
        let name = format!("n{number}");
        let answer = submit(&client, &site, 0, HALVERN, &non_idempotent(HALVERN, &name, 1)).await;
        assert_eq!(answer.code, Code::Refused, "{outage:?}: {answer:?}");
        assert_eq!(count_runs(&site, &name).await, 0);
        site.switch_platform(&Platform::default()).await.unwrap();
        let answer = submit_until_run(&client, &site, 0, &non_idempotent(HALVERN, &name, 1)).await;
        assert_eq!(answer.code, Code::Complete, "{answer:?}");
        assert_eq!(count_runs(&site, &name).await, 1);
    }
    site.stop().await.unwrap();
}

/// Guards against an instance that takes its own claim for failed, or for a claim of another
/// instance, because the platform's reply to it was lost.
#[tokio::test]
async fn platform_loses_replies_runs_once() {
    let site = one_centre(1, 1, 4).await;
    let client = Client::new();
    for number in 0..3 {
        let name = format!("lost-{number}");
        site.switch_platform(&Platform { lose_replies: 1, ..Default::default() }).await.unwrap();
        let answer = submit(&client, &site, 0, HALVERN, &non_idempotent(HALVERN, &name, 1)).await;
        assert_eq!(answer.code, Code::Complete, "{answer:?}");
        assert_eq!(count_runs(&site, &name).await, 1);
    }
    assert_no_duplicates(&site).await;
    site.stop().await.unwrap();
}

/// Guards against answers after the job's deadline when the platform accepts requests and never
/// answers them.
#[tokio::test]
async fn platform_hangs_job_ends_as_not_run() {
    let site = one_centre(1, 1, 4).await;
    let client = Client::new();
    site.switch_platform(&Platform { hang: true, ..Default::default() }).await.unwrap();
    let mut hanging = non_idempotent(HALVERN, "hanging", 1);
    hanging.timeout_ms = Some(1_000);
    let answer = submit(&client, &site, 0, HALVERN, &hanging).await;
    let not_run = answer.code == Code::Refused || answer.started == Some(false);
    assert!(not_run, "{answer:?}");
    assert_eq!(count_runs(&site, "hanging").await, 0);
    let idempotent = job("seat-hold", 5_000, &[task(1, "other")]);
    assert_eq!(submit(&client, &site, 0, HALVERN, &idempotent).await.code, Code::Complete);
}

/// Guards against a second run when a caller submits a job again to another instance, in the same
/// or another data centre, during or after the first run.
#[tokio::test]
async fn claim_resubmitted_elsewhere_runs_once() {
    let site = two_centres(2, 2, 4).await;
    let client = Client::new();
    for team in [HALVERN, FACTURACION] {
        let name = format!("{}-r1", team.name);
        let work = non_idempotent(team, &name, 300);
        let (first, second, third) = tokio::join!(
            submit(&client, &site, 0, team, &work),
            submit(&client, &site, 1, team, &work),
            submit(&client, &site, 3, team, &work),
        );
        let fourth = submit(&client, &site, 2, team, &work).await;
        for answer in [&first, &second, &third, &fourth] {
            assert_eq!(answer.code, Code::Complete, "{answer:?}");
            assert_eq!(echoes(answer), [name.as_str()]);
        }
        assert_eq!(count_runs(&site, &name).await, 1);
    }
    assert_no_duplicates(&site).await;
    site.stop().await.unwrap();
}

/// Guards against a second run when a job is submitted again after the owner of its claim was
/// killed.
#[tokio::test]
async fn claim_of_a_dead_owner_is_unknown() {
    let mut site = one_centre(2, 1, 4).await;
    let client = Client::new();
    let work = non_idempotent(HALVERN, "r1", 1_000);
    let address = site.entries[0].address;
    let first = tokio::spawn({
        let (client, work) = (client.clone(), work.clone());
        async move { client.submit(address, HALVERN.credential, &work).await }
    });
    verbenapass_system::until("the task runs", async || {
        (count_runs(&site, "r1").await == 1).then_some(())
    })
    .await;
    site.entries[0].process.kill();
    assert!(first.await.unwrap().is_err());
    let answer = submit(&client, &site, 1, HALVERN, &work).await;
    assert!(matches!(answer.code, Code::Unknown | Code::OwnerGone), "{answer:?}");
    assert_eq!(count_runs(&site, "r1").await, 1);
}
