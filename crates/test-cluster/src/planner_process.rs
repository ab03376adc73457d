//! A planner as the platform starts it: a process with its start file.

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

/// How long a planner may take until it answers.
const START_LIMIT: Duration = ms(5000);
/// How long one ping may take, so that a planner that stands still is not waited for without end.
const PING_LIMIT: Duration = ms(1000);
/// How long a process may take to stop after the signal to.
const PAUSE_LIMIT: Duration = ms(2000);

/// What is run, and with what.
struct Launch {
    program: String,
    descriptors: usize,
    settings: Value,
}

/// A running planner. It is killed when this is dropped.
pub struct PlannerProcess {
    /// The process.
    pub child: Child,
    /// The address that it listens at.
    pub listen: SocketAddr,
    /// Its start file.
    pub file: PathBuf,
    _folder: tempfile::TempDir,
    launch: Launch,
}

impl PlannerProcess {
    /// Starts `program` (a path) with these settings and so many descriptors, and waits until it answers.
    ///
    /// # Panics
    ///
    /// It cannot be started, or does not answer within 5 s.
    pub fn start(program: &str, discovery: &Discovery, descriptors: usize, settings: &Value) -> Self {
        let planner = Self::spawn(program, discovery, descriptors, settings);
        planner.wait_until_ready();
        planner
    }

    /// Starts it and does not wait.
    ///
    /// # Panics
    ///
    /// It cannot be started.
    pub fn spawn(program: &str, discovery: &Discovery, descriptors: usize, settings: &Value) -> Self {
        Self::spawn_with_log(program, discovery, descriptors, settings, Stdio::null())
    }

    /// Starts it with its log written to `log`, and does not wait.
    ///
    /// # Panics
    ///
    /// It cannot be started.
    pub fn spawn_with_log(
        program: &str,
        discovery: &Discovery,
        descriptors: usize,
        settings: &Value,
        log: impl Into<Stdio>,
    ) -> Self {
        let launch = Launch { program: program.into(), descriptors, settings: settings.clone() };
        let listen = free_address();
        let folder = tempfile::tempdir().expect("a folder for the start file");
        let file = folder.path().join("config.json");
        fs::write(&file, start_file(listen, discovery.address, descriptors, settings))
            .expect("the start file can be written");
        let child = launch.spawn(&file, log);
        PlannerProcess { child, listen, file, _folder: folder, launch }
    }

    /// The text of its start file with another discovery.
    pub fn start_file_with(&self, discovery: SocketAddr) -> String {
        start_file(self.listen, discovery, self.launch.descriptors, &self.launch.settings)
    }

    /// Kills it, if it still runs, starts it again at its address, and waits until it answers.
    ///
    /// # Panics
    ///
    /// It cannot be started, or does not answer within 5 s.
    pub fn restart(&mut self) {
        self.kill();
        self.child = self.launch.spawn(&self.file, Stdio::null());
        self.wait_until_ready();
    }

    /// Kills it, if it still runs.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until it answers a ping.
    ///
    /// # Panics
    ///
    /// That takes longer than 5 s.
    pub fn wait_until_ready(&self) {
        wait_until("the planner answers", START_LIMIT, || {
            let Ok(socket) = TcpStream::connect(self.listen) else { return false };
            let mut connection = Connection { socket };
            connection.set_read_timeout(PING_LIMIT);
            connection.send(&json!({"msg": "PING"}));
            connection.receive().is_some_and(|message| message["msg"] == "PONG")
        });
    }

    /// Sends a signal by its name, such as `TERM`.
    ///
    /// # Panics
    ///
    /// It no longer runs.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &kill]).status().expect("a shell");
        assert!(status.success(), "the planner takes the signal {name}");
    }

    /// Stops it, so that everything that is sent to it meanwhile comes to it at once.
    ///
    /// # Panics
    ///
    /// It does not stop within 2 s.
    pub fn pause(&self) {
        self.signal("STOP");
        wait_until("the planner has stopped", PAUSE_LIMIT, || process_info::is_stopped(self.child.id()));
    }

    /// Lets it go on after a pause.
    ///
    /// # Panics
    ///
    /// It no longer runs.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// The most memory that it ever held, in KiB.
    ///
    /// # Panics
    ///
    /// It no longer runs.
    pub fn peak_memory_kib(&self) -> usize {
        process_info::peak_memory_kib(self.child.id())
    }

    /// Waits for its end. Its exit code; unset where a signal ended it.
    ///
    /// # Panics
    ///
    /// It still runs after the limit.
    pub fn wait_for_exit(&mut self, limit: Duration) -> Option<i32> {
        const INTERVAL: Duration = ms(2);
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child of this process") {
                return status.code();
            }
            assert!(began.elapsed() < limit, "it did not end within {limit:?}");
            thread::sleep(INTERVAL);
        }
    }

    /// Whether it runs.
    ///
    /// # Panics
    ///
    /// The kernel does not tell.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child of this process").is_none()
    }

    /// The ids of its child processes.
    ///
    /// # Panics
    ///
    /// The process table cannot be read.
    pub fn children(&self) -> Vec<u32> {
        process_info::children(self.child.id())
    }

    /// How many sockets of each kind it holds, by the kernel's tables; a named Unix socket counts by its name.
    ///
    /// # Panics
    ///
    /// It no longer runs.
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
        command.spawn().expect("a shell")
    }
}

/// An address of the loopback that nobody listens at.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound socket has an address")
}
