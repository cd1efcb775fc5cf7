//! Answers of the caller API after the control thread has ended.

mod common;

use common::{ONE_TASK, call, fleet_yaml, submit, team_yaml};
use dropshot::{ConfigDropshot, ServerBuilder};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use tokio::sync::mpsc;
use verbenapass::settings::Tree;
use verbenapass_entry::caller::{self, Shared};
use verbenapass_entry::log::Limiter;
use verbenapass_entry::snapshot::{Holder, Snapshot};
use verbenapass_entry::trace::Tracer;

fn tree() -> Tree {
    let team = serde_yaml_ng::from_str(&team_yaml()).unwrap();
    Tree {
        fleet: serde_yaml_ng::from_str(&fleet_yaml()).unwrap(),
        teams: [("halvern".parse().unwrap(), team)].into(),
    }
}

/// Guards against an answer that claims that nothing ran: the control thread may have started tasks
/// before it failed.
#[test]
fn submit_control_ended() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (control, mut inbox) = mpsc::unbounded_channel();
    let snapshots = Holder::default();
    snapshots.set(Arc::new(Snapshot::new(Arc::new(tree()))));
    let shared = Arc::new(Shared {
        instance: "entry-1.1".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        body_limit: 1_000_000,
        snapshots,
        control,
        stopping: AtomicBool::new(false),
        next_caller: Arc::new(AtomicU64::new(1)),
        tracer: Tracer::default(),
        log: common::logger(),
        failure_log_limiter: Limiter::default(),
    });
    let server = {
        let _guard = runtime.enter();
        ServerBuilder::new(caller::api().unwrap(), shared, common::logger())
            .config(ConfigDropshot::default())
            .start()
            .unwrap()
    };
    let address = server.local_addr();
    let control = std::thread::spawn(move || drop(inbox.blocking_recv().unwrap()));
    let answer = submit(address, ONE_TASK);
    control.join().unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (504, "unknown"));
    // The channel to the control thread is closed, so later jobs cannot have started.
    let answer = submit(address, ONE_TASK);
    assert_eq!((answer.status, answer.code().as_str()), (503, "refused"));
    let authorization = common::authorization();
    let headers = [("authorization", authorization.as_str())];
    let answer = call(address, "GET", "/v1/jobs/entry-1.1.1", &headers, &[]);
    assert_eq!((answer.status, answer.code().as_str()), (503, "owner_unreachable"));
    runtime.block_on(server.close()).unwrap();
}
