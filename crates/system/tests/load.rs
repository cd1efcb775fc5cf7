//! Tests of the program `verbenapass-load`.

use rustix::process::Signal;
use std::path::{Path, PathBuf};
use verbenapass_load::binary;
use verbenapass_load::process::{Process, STOP_DEADLINE};
use verbenapass_system::until;

fn directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).unwrap();
    directory
}

fn demo(name: &str) -> Process {
    let program = binary::find("verbenapass-load").unwrap();
    Process::spawn(name, &program, ["demo"], &directory(name)).unwrap()
}

/// Returns the ids of the child processes of a process.
fn children(id: u32) -> Vec<u32> {
    let mut children = Vec::new();
    for thread in std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten() {
        let list = std::fs::read_to_string(thread.path().join("children")).unwrap_or_default();
        children.extend(list.split_whitespace().filter_map(|id| id.parse::<u32>().ok()));
    }
    children
}

fn is_verbenapass(id: u32) -> bool {
    std::fs::read(format!("/proc/{id}/cmdline"))
        .is_ok_and(|line| String::from_utf8_lossy(&line).contains("/verbenapass-"))
}

/// Guards against a demo that fails, or that exits with 0 without having completed its jobs.
#[tokio::test]
async fn demo_runs_its_jobs_and_stops() {
    let mut demo = demo("demo-whole");
    let status = demo.wait(STOP_DEADLINE * 2).await.unwrap();
    let log = demo.log();
    assert_eq!(status.code(), Some(0), "{log}");
    assert_eq!(log.matches("complete ").count(), 3, "{log}");
    assert!(log.contains("double runs: 0"), "{log}");
    assert!(log.contains("stopped with exit code 0"), "{log}");
}

/// Guards against child processes that outlive a demo interrupted with SIGINT.
#[tokio::test]
async fn demo_interrupted_leaves_no_process() {
    let mut demo = demo("demo-interrupted");
    let id = demo.id();
    // Two processes that host the targets, the platform and six entry instances.
    let started = until("all processes run", async || {
        let started: Vec<u32> = children(id).into_iter().filter(|id| is_verbenapass(*id)).collect();
        (started.len() == 9).then_some(started)
    })
    .await;
    demo.signal(Signal::INT).unwrap();
    let status = demo.wait(STOP_DEADLINE).await.unwrap();
    assert_eq!(status.code(), Some(1), "{}", demo.log());
    let left: Vec<u32> = started.into_iter().filter(|id| is_verbenapass(*id)).collect();
    assert!(left.is_empty(), "processes {left:?} still run");
}
