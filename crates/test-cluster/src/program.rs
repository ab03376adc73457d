//! A planner as the platform starts it.

use crate::conn::Conn;
use crate::discovery::{Discovery, server};
use crate::{ms, until};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub struct Program {
    pub child: Child,
    pub listen: SocketAddr,
    pub file: PathBuf,
    _folder: tempfile::TempDir,
    /// What is run, and the descriptors that it may hold.
    program: String,
    sockets: usize,
    settings: Value,
}

impl Program {
    pub fn config(&self, discovery: SocketAddr) -> String {
        config(self.listen, discovery, self.sockets, &self.settings)
    }

    /// Starts `program` (a path) with the settings that a deployment states, and waits until it answers.
    pub fn start(program: &str, discovery: &Discovery, sockets: usize, settings: &Value) -> Program {
        let program = Program::begin(program, discovery, sockets, settings);
        program.ready();
        program
    }

    /// Starts it and waits for nothing.
    pub fn begin(program: &str, discovery: &Discovery, sockets: usize, settings: &Value) -> Program {
        Program::logging(program, discovery, sockets, settings, Stdio::null())
    }

    /// The same with its log written to somewhere.
    pub fn logging(
        program: &str,
        discovery: &Discovery,
        sockets: usize,
        settings: &Value,
        log: impl Into<Stdio>,
    ) -> Program {
        let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        fs::write(&file, config(listen, discovery.address, sockets, settings)).unwrap();
        let child = spawn(program, &file, sockets, log);
        let (program, settings) = (program.to_string(), settings.clone());
        Program { child, listen, file, _folder: folder, program, sockets, settings }
    }

    /// Killed outright, if it still runs, and started again under its address.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.program, &self.file, self.sockets, Stdio::null());
        self.ready();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until it answers.
    pub fn ready(&self) {
        until("a sign of life", ms(5000), || {
            let Ok(socket) = TcpStream::connect(self.listen) else { return false };
            // One that stands still would be waited for without end.
            socket.set_read_timeout(Some(ms(1000))).unwrap();
            let mut conn = Conn(socket);
            conn.say(&json!({"msg": "PING"}));
            conn.hear().is_some_and(|m| m["msg"] == "PONG")
        });
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    fn status(&self, field: &str) -> String {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        status.lines().find_map(|l| l.strip_prefix(field)).unwrap_or("").trim().to_string()
    }

    /// Holds it still, so that what comes to it meanwhile has all come in one instant.
    pub fn pause(&self) {
        self.signal("STOP");
        until("it stands still", ms(2000), || self.status("State:").starts_with('T'));
    }

    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// The most memory that it ever held, in KiB.
    pub fn most_memory(&self) -> usize {
        self.status("VmHWM:").trim_end_matches(" kB").parse().unwrap()
    }

    /// Its exit code, once it has ended within the limit. Unset where a signal ended it.
    pub fn ended(&mut self, limit: Duration) -> Option<i32> {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(began.elapsed() < limit, "it did not end within {limit:?}");
            thread::sleep(ms(2));
        }
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// The processes that it has started and that there still are, by the process table.
    pub fn children(&self) -> Vec<u32> {
        let parent = |pid: u32| {
            let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
            stat.rsplit(')').next()?.split_whitespace().nth(1)?.parse::<u32>().ok()
        };
        let pids =
            fs::read_dir("/proc").unwrap().flatten().filter_map(|e| e.file_name().to_str()?.parse().ok());
        pids.filter(|pid| parent(*pid) == Some(self.child.id())).collect()
    }

    /// How many sockets of each kind it holds, by the kernel's tables; a named Unix socket stands by its name.
    pub fn sockets(&self) -> BTreeMap<String, usize> {
        let of = format!("/proc/{}", self.child.id());
        let mut kinds = BTreeMap::new();
        for table in ["tcp", "udp", "raw", "tcp6", "udp6", "raw6", "unix"] {
            let (place, name) = if table == "unix" { (6, Some(7)) } else { (9, None) };
            for line in fs::read_to_string(format!("{of}/net/{table}")).unwrap_or_default().lines().skip(1) {
                let fields: Vec<&str> = line.split_whitespace().collect();
                let name = name.and_then(|n| fields.get(n)).map_or("", |n| n);
                fields.get(place).map(|inode| kinds.insert(inode.to_string(), format!("{table}{name}")));
            }
        }
        let mut held = BTreeMap::new();
        for link in fs::read_dir(format!("{of}/fd")).unwrap().flatten() {
            let target = fs::read_link(link.path()).unwrap_or_default();
            let inode = target.to_str().and_then(|t| t.strip_prefix("socket:[")?.strip_suffix(']'));
            if let Some(inode) = inode {
                // One that was closed since the tables were read is in none of them any more.
                let kind = kinds.get(inode).cloned().unwrap_or_else(|| "unlisted".into());
                *held.entry(kind).or_default() += 1;
            }
        }
        held
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &str, file: &Path, sockets: usize, log: impl Into<Stdio>) -> Child {
    let run = format!("ulimit -n {sockets}; exec {program} platform");
    let mut command = Command::new("sh");
    command.args(["-c", &run]).env("GW_CONFIG", file).stderr(log).stdout(Stdio::null());
    command.spawn().unwrap()
}

/// The deployment that the station's own tests play; its servers answer no probes here.
pub fn settings() -> Value {
    let mut settings: Value =
        serde_json::from_str(include_str!("../../platform-protocol/tests/settings.json")).unwrap();
    settings["allowed"]["probing"] = json!(false);
    settings
}

pub fn config(listen: SocketAddr, discovery: SocketAddr, sockets: usize, settings: &Value) -> String {
    json!({
        "name": "p0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": sockets}, "settings": settings,
        "known": {"version": 0, "full": true, "servers": [server(0, "SERVING")]},
    })
    .to_string()
}
