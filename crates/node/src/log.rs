//! Structured log on the standard output, one JSON object per line.
//!
//! Records go into a bounded buffer that a separate thread writes out, so a slow reader never blocks
//! the process. Records that do not fit into the buffer are dropped and counted.

use slog::{Drain, FnValue, Logger, Record, o};
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Capacity of the buffer: some seconds of records at the highest expected load.
const BUFFER_BYTES: usize = 512 * 1_024;
/// Time between writes, so that one system call writes many records.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    dropped: u64,
    is_closed: bool,
}

/// The bounded buffer between the logger and the writer thread. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Buffer(Arc<(Mutex<State>, Condvar)>);

impl Buffer {
    /// Returns the buffered bytes and the number of records dropped since the last call, and resets
    /// both.
    pub fn take(&self) -> (Vec<u8>, u64) {
        let mut state = self.lock();
        (std::mem::take(&mut state.bytes), std::mem::take(&mut state.dropped))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for records. Returns false when the buffer is closed and empty.
    fn wait(&self) -> bool {
        let state = self.lock();
        let wait = self.0.1.wait_while(state, |state| state.bytes.is_empty() && !state.is_closed);
        !wait.unwrap_or_else(PoisonError::into_inner).bytes.is_empty()
    }

    fn close(&self) {
        self.lock().is_closed = true;
        self.0.1.notify_all();
    }

    fn is_closed(&self) -> bool {
        self.lock().is_closed
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.lock();
        if state.bytes.len() + bytes.len() > BUFFER_BYTES {
            state.dropped += u64::from(bytes.ends_with(b"\n"));
        } else {
            state.bytes.extend_from_slice(bytes);
            self.0.1.notify_one();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes each record to the buffer in one call, so that it is kept or dropped as a whole.
struct BufferDrain(Mutex<Buffer>);

impl Drain for BufferDrain {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &slog::OwnedKVList) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        slog_json::Json::new(&mut line)
            .add_key_value(o!(
                "ts" => FnValue(|_| crate::clock::now().to_string()),
                "level" => FnValue(|record| record.level().as_short_str()),
                "msg" => FnValue(|record| record.msg().to_string()),
            ))
            .build()
            .log(record, values)?;
        self.0.lock().unwrap_or_else(PoisonError::into_inner).write_all(&line)
    }
}

/// When dropped, waits until the writer thread has written all buffered records and has ended.
#[derive(Debug)]
pub struct Guard {
    buffer: Buffer,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.buffer.close();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("log: writer thread panicked; buffered records are lost");
        }
    }
}

/// Creates a logger whose records stay in the returned buffer until [`Buffer::take`] is called.
pub fn buffered(instance: &str) -> (Logger, Buffer) {
    let buffer = Buffer::default();
    let drain = BufferDrain(Mutex::new(buffer.clone()));
    (Logger::root(drain.ignore_res(), o!("instance" => instance.to_owned())), buffer)
}

/// Creates the logger of the process. Fails if the writer thread cannot be started; keep the guard
/// until the process ends.
pub fn stdout(instance: &str) -> io::Result<(Logger, Guard)> {
    let (logger, buffer) = buffered(instance);
    let source = buffer.clone();
    let thread = std::thread::Builder::new()
        .name("log".into())
        .stack_size(64 * 1_024)
        .spawn(move || write_all(&source))?;
    Ok((logger, Guard { buffer, thread: Some(thread) }))
}

fn write_all(buffer: &Buffer) {
    while buffer.wait() {
        if !buffer.is_closed() {
            std::thread::sleep(WRITE_INTERVAL);
        }
        let (mut bytes, dropped) = buffer.take();
        if dropped > 0 {
            let line = format!("{{\"msg\":\"log: records dropped\",\"dropped\":{dropped}}}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        // There is nowhere to report a failure of the output itself.
        if io::stdout().lock().write_all(&bytes).is_err() {
            return;
        }
    }
}
