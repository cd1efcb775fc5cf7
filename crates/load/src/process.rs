//! Child processes. Each is ended by its own id at the latest when its value is dropped.

use crate::error::Error;
use rustix::process::{Pid, Signal, kill_process};
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Pause between looks at a condition.
pub const POLL: Duration = Duration::from_millis(5);
/// Time that a process gets to become ready. A debug build on a busy machine needs seconds.
pub const READY_DEADLINE: Duration = Duration::from_secs(30);
/// Time that a process gets to stop after SIGTERM. The longest tasks last several seconds.
pub const STOP_DEADLINE: Duration = Duration::from_secs(30);

/// A running child process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program with its standard output and error in `<directory>/<name>.log`.
    pub fn spawn<'a>(
        name: &str,
        program: &Path,
        arguments: impl IntoIterator<Item = &'a str>,
        directory: &Path,
    ) -> Result<Self, Error> {
        Self::spawn_command(name, Command::new(program).args(arguments), directory)
    }

    /// Starts a command with its standard output and error in `<directory>/<name>.log`.
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

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has written so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal to the process, if it has not ended.
    pub fn signal(&mut self, signal: Signal) -> Result<(), Error> {
        let failed = |message: String| Error::Process(self.name.clone(), "signal", message);
        // A process that was waited for has given up its id, which may belong to another now.
        if self.child.try_wait().map_err(|cause| failed(cause.to_string()))?.is_some() {
            return Ok(());
        }
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(|cause| failed(cause.to_string()))
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self, span: Duration) -> Result<ExitStatus, Error> {
        let until = Instant::now() + span;
        loop {
            if let Some(status) = self.exit_status() {
                return Ok(status);
            }
            if Instant::now() >= until {
                let message = format!("still runs after {span:?}\n{}", self.log());
                return Err(Error::Process(self.name.clone(), "stop", message));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Asks the process to stop and waits until it has ended.
    pub async fn stop(&mut self) -> Result<ExitStatus, Error> {
        self.signal(Signal::TERM)?;
        self.wait(STOP_DEADLINE).await
    }

    /// Ends the process at once.
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

/// Waits until `ready` holds, while the process runs.
pub async fn until_ready<F>(process: &mut Process, ready: impl Fn() -> F) -> Result<(), Error>
where
    F: Future<Output = bool>,
{
    let until = Instant::now() + READY_DEADLINE;
    loop {
        if let Some(status) = process.exit_status() {
            let message = format!("ended with {status}\n{}", process.log());
            return Err(Error::Process(process.name.clone(), "start", message));
        }
        if ready().await {
            return Ok(());
        }
        if Instant::now() >= until {
            let message = format!("not ready after {READY_DEADLINE:?}\n{}", process.log());
            return Err(Error::Process(process.name.clone(), "start", message));
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Confines this thread, and the children that it starts, to a few cores until dropped.
#[derive(Debug)]
pub struct Confined {
    before: CpuSet,
}

impl Confined {
    /// Confines to the first `cores` cores that are allowed now.
    pub fn new(cores: usize) -> Result<Self, Error> {
        let failed =
            |cause: rustix::io::Errno| Error::Process("entry".into(), "confine", cause.to_string());
        let before = sched_getaffinity(None).map_err(failed)?;
        let mut few = CpuSet::new();
        for core in (0..CpuSet::MAX_CPU).filter(|core| before.is_set(*core)).take(cores) {
            few.set(core);
        }
        sched_setaffinity(None, &few).map_err(failed)?;
        Ok(Self { before })
    }
}

impl Drop for Confined {
    fn drop(&mut self) {
        let _ = sched_setaffinity(None, &self.before);
    }
}
