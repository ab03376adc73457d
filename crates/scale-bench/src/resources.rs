//! Resource counters of the operating system: processor time of this thread, and processor time and memory of a process.

use std::fs;
use std::time::Duration;

/// Returns the processor time that this thread has used.
pub fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Calls a function and returns its result and the processor time that the call took on this thread.
pub fn timed<T>(function: impl FnOnce() -> T) -> (T, Duration) {
    let begun = thread_time();
    let result = function();
    (result, thread_time().saturating_sub(begun))
}

/// The resources that a process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUse {
    /// Processor time since the start of the process.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// The index of the user time among the fields after the command's name in `/proc/PID/stat`; the system time follows it.
const USER_TIME: usize = 11;

/// Returns the resources that a process uses now, or `None` if the process has ended.
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
