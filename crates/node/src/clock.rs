//! Wall-clock time that never steps, and CPU time.

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::sync::OnceLock;
use std::time::Duration;
use verbenapass::time::Timestamp;

/// Microseconds from the boot clock to Unix time, fixed at the first call of [`now`].
static OFFSET: OnceLock<u64> = OnceLock::new();

/// Returns the current Unix time.
///
/// The wall clock is read once. After that the boot clock advances the time: it includes time spent
/// suspended and never steps back, so a deadline that has passed stays passed.
pub fn now() -> Timestamp {
    let offset = OFFSET.get_or_init(|| {
        micros(clock_gettime(ClockId::Realtime))
            .saturating_sub(micros(clock_gettime(ClockId::Boottime)))
    });
    Timestamp::from_micros(offset + micros(clock_gettime(ClockId::Boottime)))
}

/// Returns the time left until `deadline`, or zero if it has passed.
pub fn until(deadline: Timestamp) -> Duration {
    Duration::from_micros(deadline.since(now()).get())
}

/// Returns the CPU time, user and system, that the calling thread has used.
pub fn thread_cpu() -> Duration {
    Duration::from_micros(micros(clock_gettime(ClockId::ThreadCPUTime)))
}

/// Returns the CPU time, user and system, that all threads of the process have used.
pub fn process_cpu() -> Duration {
    Duration::from_micros(micros(clock_gettime(ClockId::ProcessCPUTime)))
}

fn micros(time: Timespec) -> u64 {
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
