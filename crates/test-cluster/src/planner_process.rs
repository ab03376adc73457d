//! A planner process, started with a start file as the platform does.

use crate::connection::Connection;
use crate::discovery::Discovery;
use crate::process_info;
use crate::start_file::start_file;
use crate::{ms, wait_until};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time from a planner's start to its first answer.
const START_LIMIT: Duration = ms(5000);
/// Longest wait for the answer to one ping, so that a planner that hangs does not block the test.
const PING_LIMIT: Duration = ms(1000);
/// Longest time from the stop signal until the process has stopped.
const PAUSE_LIMIT: Duration = ms(2000);

/// Program, descriptor limit and settings with which a planner is started.
struct Launch {
    program: String,
    descriptors: usize,
    settings: Value,
}

/// Planner process, which is killed when the value is dropped.
pub struct PlannerProcess {
    /// Child process.
    pub child: Child,
    /// Address at which the planner listens.
    pub listen: SocketAddr,
    /// Path of the start file.
    pub file: PathBuf,
    _folder: tempfile::TempDir,
    launch: Launch,
}

impl PlannerProcess {
    /// Starts `program` (a path) with `settings` and at most `descriptors` file descriptors, and waits until the planner answers.
    ///
    /// # Panics
    ///
    /// Panics if the planner cannot be started or does not answer within 5 s.
    pub fn start(program: &str, discovery: &Discovery, descriptors: usize, settings: &Value) -> Self {
        let planner = Self::spawn(program, discovery, descriptors, settings);
        planner.wait_until_ready();
        planner
    }

    /// Starts a planner as [`Self::start`] does, but does not wait until it answers.
    ///
    /// # Panics
    ///
    /// Panics if the planner cannot be started.
    pub fn spawn(program: &str, discovery: &Discovery, descriptors: usize, settings: &Value) -> Self {
        Self::spawn_with_log(program, discovery, descriptors, settings, Stdio::null())
    }

    /// Starts a planner as [`Self::spawn`] does, with its log written to `log`.
    ///
    /// # Panics
    ///
    /// Panics if the planner cannot be started.
    pub fn spawn_with_log(
        program: &str,
        discovery: &Discovery,
        descriptors: usize,
        settings: &Value,
        log: impl Into<Stdio>,
    ) -> Self {
        let launch = Launch { program: program.into(), descriptors, settings: settings.clone() };
        let listen = free_address();
        let folder = tempfile::tempdir().expect("a temporary folder for the start file can be created");
        let file = folder.path().join("config.json");
        fs::write(&file, start_file(listen, discovery.address, descriptors, settings))
            .expect("the start file can be written");
        let child = launch.spawn(&file, log);
        PlannerProcess { child, listen, file, _folder: folder, launch }
    }

    /// Returns the text of the start file with another address of the discovery service.
    pub fn start_file_with(&self, discovery: SocketAddr) -> String {
        start_file(self.listen, discovery, self.launch.descriptors, &self.launch.settings)
    }

    /// Kills the planner if it still runs, starts it again at its address, and waits until it answers.
    ///
    /// # Panics
    ///
    /// Panics if the planner cannot be started or does not answer within 5 s.
    pub fn restart(&mut self) {
        self.kill();
        self.child = self.launch.spawn(&self.file, Stdio::null());
        self.wait_until_ready();
    }

    /// Kills the planner if it still runs.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the planner answers a ping.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than 5 s.
    pub fn wait_until_ready(&self) {
        wait_until("the planner answers", START_LIMIT, || {
            let Ok(socket) = TcpStream::connect(self.listen) else { return false };
            let mut connection = Connection { socket };
            connection.set_read_timeout(PING_LIMIT);
            connection.send(&json!({"msg": "PING"}));
            connection.receive().is_some_and(|message| message["msg"] == "PONG")
        });
    }

    /// Sends the planner a signal by its name, such as `TERM`.
    ///
    /// # Panics
    ///
    /// Panics if the planner no longer runs.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &kill]).status().expect("a shell can be started");
        assert!(status.success(), "cannot send the signal {name} to the planner");
    }

    /// Stops the planner, so that it handles everything that is sent to it during the pause at once after the pause.
    ///
    /// # Panics
    ///
    /// Panics if the planner does not stop within 2 s.
    pub fn pause(&self) {
        self.signal("STOP");
        wait_until("the planner has stopped", PAUSE_LIMIT, || process_info::is_stopped(self.child.id()));
    }

    /// Resumes the planner after a pause.
    ///
    /// # Panics
    ///
    /// Panics if the planner no longer runs.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Returns the planner's peak memory, in KiB.
    ///
    /// # Panics
    ///
    /// Panics if the planner no longer runs.
    pub fn peak_memory_kib(&self) -> usize {
        process_info::peak_memory_kib(self.child.id())
    }

    /// Waits until the planner ends. Returns its exit code, or `None` if a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics if the planner still runs after the limit.
    pub fn wait_for_exit(&mut self, limit: Duration) -> Option<i32> {
        const INTERVAL: Duration = ms(2);
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the state of a child process can be read") {
                return status.code();
            }
            assert!(started_at.elapsed() < limit, "the planner did not end within {limit:?}");
            thread::sleep(INTERVAL);
        }
    }

    /// Returns true if the planner runs.
    ///
    /// # Panics
    ///
    /// Panics if the state of the process cannot be read.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the state of a child process can be read").is_none()
    }

    /// Returns the ids of the planner's child processes.
    ///
    /// # Panics
    ///
    /// Panics if the process table cannot be read.
    pub fn children(&self) -> Vec<u32> {
        process_info::children(self.child.id())
    }

    /// Counts the planner's open sockets by kind, from the kernel's tables. A named Unix socket is counted under its name.
    ///
    /// # Panics
    ///
    /// Panics if the planner no longer runs.
    pub fn sockets(&self) -> BTreeMap<String, usize> {
        process_info::sockets(self.child.id())
    }
}

impl Drop for PlannerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Launch {
    fn spawn(&self, file: &Path, log: impl Into<Stdio>) -> Child {
        let Launch { program, descriptors, .. } = self;
        let run = format!("ulimit -n {descriptors}; exec {program} platform");
        let mut command = Command::new("sh");
        command.args(["-c", &run]).env("GW_CONFIG", file).stderr(log).stdout(Stdio::null());
        command.spawn().expect("a shell can be started")
    }
}

/// Returns a loopback address at which no process listens.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound socket has an address")
}
