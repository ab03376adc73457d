//! What the kernel says of a process, read from `/proc`.

use std::collections::BTreeMap;
use std::fs;

/// The state of a process that was stopped by a signal.
const STOPPED: char = 'T';

fn status(pid: u32, field: &str) -> String {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or("").trim().to_string()
}

pub(crate) fn is_stopped(pid: u32) -> bool {
    status(pid, "State:").starts_with(STOPPED)
}

/// The most memory that it ever held, in KiB.
pub(crate) fn peak_memory_kib(pid: u32) -> usize {
    status(pid, "VmHWM:").trim_end_matches(" kB").parse().expect("the kernel tells a running process' memory")
}

/// The ids of its child processes.
pub(crate) fn children(pid: u32) -> Vec<u32> {
    let processes = fs::read_dir("/proc").expect("the process table can be read").flatten();
    let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    ids.filter(|id| parent(*id) == Some(pid)).collect()
}

fn parent(pid: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat.rsplit(')').next()?.split_whitespace().nth(1)?.parse().ok()
}

/// How many sockets of each kind it holds, by the kernel's tables; a named Unix socket counts by its name, and one that
/// was closed meanwhile as `unlisted`.
pub(crate) fn sockets(pid: u32) -> BTreeMap<String, usize> {
    let kinds = socket_kinds(pid);
    let mut held = BTreeMap::new();
    for link in fs::read_dir(format!("/proc/{pid}/fd")).expect("a running process").flatten() {
        let target = fs::read_link(link.path()).unwrap_or_default();
        let inode = target.to_str().and_then(|text| text.strip_prefix("socket:[")?.strip_suffix(']'));
        if let Some(inode) = inode {
            let kind = kinds.get(inode).cloned().unwrap_or_else(|| "unlisted".into());
            *held.entry(kind).or_default() += 1;
        }
    }
    held
}

/// The kinds of all sockets by inode.
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
