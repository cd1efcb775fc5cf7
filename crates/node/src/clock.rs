//! The clock of the process.

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::sync::OnceLock;
use std::time::Duration;
use verbenapass::time::Timestamp;

/// Microseconds to add to the boot clock to get the Unix time of the start of the process.
static OFFSET: OnceLock<u64> = OnceLock::new();

/// Returns the present time.
///
/// The wall clock is read once. From then on the boot clock counts, which includes time spent
/// suspended and takes no steps, so that a deadline that has passed stays passed.
pub fn now() -> Timestamp {
    let offset = OFFSET.get_or_init(|| {
        micros(clock_gettime(ClockId::Realtime))
            .saturating_sub(micros(clock_gettime(ClockId::Boottime)))
    });
    Timestamp::from_micros(offset + micros(clock_gettime(ClockId::Boottime)))
}

/// Returns the time left until `deadline`, or zero.
pub fn until(deadline: Timestamp) -> Duration {
    Duration::from_micros(deadline.since(now()).get())
}

/// Returns the processor time that the calling thread has used.
pub fn thread_cpu() -> Duration {
    Duration::from_micros(micros(clock_gettime(ClockId::ThreadCPUTime)))
}

/// Returns the processor time that the process has used.
pub fn process_cpu() -> Duration {
    Duration::from_micros(micros(clock_gettime(ClockId::ProcessCPUTime)))
}

fn micros(time: Timespec) -> u64 {
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
