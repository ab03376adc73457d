//! What the operating system counts: processor time of this thread, and processor time and memory of a process.

use std::fs;
use std::time::Duration;

/// The processor time that this thread has used.
pub fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Runs something and gives the processor time that it took on this thread.
pub fn timed<T>(what: impl FnOnce() -> T) -> (T, Duration) {
    let begun = thread_time();
    let done = what();
    (done, thread_time().saturating_sub(begun))
}

/// What a process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUse {
    /// Processor time since its start.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// The position of user and system time among the fields behind the command's name in `/proc/PID/stat`.
const USER_TIME: usize = 11;

/// What a process uses now; nothing where it has ended.
pub fn process_use(pid: u32) -> Option<ProcessUse> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
    let ticks = ticks(USER_TIME)? + ticks(USER_TIME + 1)?;
    let pages: u64 =
        fs::read_to_string(format!("/proc/{pid}/statm")).ok()?.split_whitespace().nth(1)?.parse().ok()?;
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
    Some(ProcessUse {
        processor: Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64),
        resident: pages * rustix::param::page_size() as u64,
        descriptors,
    })
}
