//! Child processes, which are killed when their value is dropped.

use crate::error::Error;
use rustix::process::{Pid, Signal, kill_process};
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Pause between two checks of a condition that is polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which a process must become ready. A debug build on a busy machine needs seconds.
pub const READY_DEADLINE: Duration = Duration::from_secs(30);
/// Time within which a process must exit after SIGTERM. The longest tasks last several seconds.
pub const STOP_DEADLINE: Duration = Duration::from_secs(30);

/// A running child process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program whose standard output and error go to `<directory>/<name>.log`.
    pub fn spawn<'a>(
        name: &str,
        program: &Path,
        arguments: impl IntoIterator<Item = &'a str>,
        directory: &Path,
    ) -> Result<Self, Error> {
        Self::spawn_command(name, Command::new(program).args(arguments), directory)
    }

    /// Starts a prepared command, for callers that set environment variables. Its standard output and
    /// error go to `<directory>/<name>.log`.
    pub fn spawn_command(
        name: &str,
        command: &mut Command,
        directory: &Path,
    ) -> Result<Self, Error> {
        let log = directory.join(format!("{name}.log"));
        let output = File::create(&log).map_err(|cause| Error::File(log.clone(), cause))?;
        let errors = output.try_clone().map_err(|cause| Error::File(log.clone(), cause))?;
        let child = command
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|cause| Error::Process(name.into(), "start", cause.to_string()))?;
        Ok(Self { name: name.into(), child, log })
    }

    /// Returns the name given at the start, which error messages contain.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id, which the system may reuse after the process was found to have exited.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has written so far, or an empty text if that can't be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal to the process; does nothing if it has exited.
    pub fn signal(&mut self, signal: Signal) -> Result<(), Error> {
        let failed = |message: String| Error::Process(self.name.clone(), "signal", message);
        // After the child is reaped, its process id may belong to another process.
        if self.child.try_wait().map_err(|cause| failed(cause.to_string()))?.is_some() {
            return Ok(());
        }
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(|cause| failed(cause.to_string()))
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has exited; an error after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, Error> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.exit_status() {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                let message = format!("still running after {timeout:?}\n{}", self.log());
                return Err(Error::Process(self.name.clone(), "stop", message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends SIGTERM and waits until the process has exited; an error after [`STOP_DEADLINE`].
    pub async fn stop(&mut self) -> Result<ExitStatus, Error> {
        self.signal(Signal::TERM)?;
        self.wait(STOP_DEADLINE).await
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Polls `ready` until it returns true; an error if the process exits first or after
/// [`READY_DEADLINE`].
pub async fn wait_until_ready<F>(process: &mut Process, ready: impl Fn() -> F) -> Result<(), Error>
where
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + READY_DEADLINE;
    loop {
        if let Some(status) = process.exit_status() {
            let message = format!("ended with {status}\n{}", process.log());
            return Err(Error::Process(process.name.clone(), "start", message));
        }
        if ready().await {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let message = format!("not ready after {READY_DEADLINE:?}\n{}", process.log());
            return Err(Error::Process(process.name.clone(), "start", message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Restricts the CPU affinity of this thread, which child processes inherit, until dropped.
#[derive(Debug)]
pub struct AffinityGuard {
    previous: CpuSet,
}

impl AffinityGuard {
    /// Restricts this thread to the first `cores` of the cores that it may use now.
    pub fn new(cores: usize) -> Result<Self, Error> {
        let failed =
            |cause: rustix::io::Errno| Error::Process("entry".into(), "confine", cause.to_string());
        let previous = sched_getaffinity(None).map_err(failed)?;
        let mut allowed = CpuSet::new();
        for core in (0..CpuSet::MAX_CPU).filter(|core| previous.is_set(*core)).take(cores) {
            allowed.set(core);
        }
        sched_setaffinity(None, &allowed).map_err(failed)?;
        Ok(Self { previous })
    }
}

impl Drop for AffinityGuard {
    fn drop(&mut self) {
        let _ = sched_setaffinity(None, &self.previous);
    }
}
