//! Information on a process, read from `/proc`.

use std::collections::BTreeMap;
use std::fs;

/// State of a process that was stopped by a signal.
const STOPPED: char = 'T';

/// Returns a field of the process's status; empty if the process or the field does not exist.
fn status(pid: u32, field: &str) -> String {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or("").trim().to_string()
}

pub(crate) fn is_stopped(pid: u32) -> bool {
    status(pid, "State:").starts_with(STOPPED)
}

/// Returns the peak memory of the process, in KiB.
pub(crate) fn peak_memory_kib(pid: u32) -> usize {
    status(pid, "VmHWM:")
        .trim_end_matches(" kB")
        .parse()
        .expect("the status of a running process has its peak memory")
}

/// Returns the ids of the child processes of a process.
pub(crate) fn children(pid: u32) -> Vec<u32> {
    let processes = fs::read_dir("/proc").expect("the process table can be read").flatten();
    let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    ids.filter(|id| parent(*id) == Some(pid)).collect()
}

fn parent(pid: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat.rsplit(')').next()?.split_whitespace().nth(1)?.parse().ok()
}

/// Counts the open sockets of a process by kind, from the kernel's tables. A named Unix socket is counted under its name, and
/// a socket that was closed during the count as `unlisted`.
pub(crate) fn sockets(pid: u32) -> BTreeMap<String, usize> {
    let kinds = socket_kinds(pid);
    let mut counts = BTreeMap::new();
    for link in fs::read_dir(format!("/proc/{pid}/fd")).expect("a running process").flatten() {
        let target = fs::read_link(link.path()).unwrap_or_default();
        let inode = target.to_str().and_then(|text| text.strip_prefix("socket:[")?.strip_suffix(']'));
        if let Some(inode) = inode {
            let kind = kinds.get(inode).cloned().unwrap_or_else(|| "unlisted".into());
            *counts.entry(kind).or_default() += 1;
        }
    }
    counts
}

/// Returns the kinds of all sockets by inode.
fn socket_kinds(pid: u32) -> BTreeMap<String, String> {
    const INODE_COLUMN: usize = 9;
    const UNIX_INODE_COLUMN: usize = 6;
    const UNIX_NAME_COLUMN: usize = 7;
    let mut kinds = BTreeMap::new();
    for table in ["tcp", "udp", "raw", "tcp6", "udp6", "raw6", "unix"] {
        let text = fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
        let is_unix = table == "unix";
        for line in text.lines().skip(1) {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let name = if is_unix { columns.get(UNIX_NAME_COLUMN).copied().unwrap_or("") } else { "" };
            let inode = columns.get(if is_unix { UNIX_INODE_COLUMN } else { INODE_COLUMN });
            if let Some(inode) = inode {
                kinds.insert(inode.to_string(), format!("{table}{name}"));
            }
        }
    }
    kinds
}
