//! Measurements of real planners: the program as processes on loopback.

use crate::resources::{ProcessUse, process_use};
use grebespool_cluster::{Keys, LIMITS, Request, Response, fleet_id};
use grebespool_config_consensus::{ActiveVersions, Change, Limit};
use grebespool_test_cluster::{Discovery, PlannerProcess, default_settings, encode_frame, endpoint};
use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use thiserror::Error;

/// The largest number of planner processes that run at one time.
pub const MAX_PROCESSES: usize = 120;
/// The time after which a change that is not active at every planner counts as lost.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// The time that planners run before they are measured.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// The reason why real planners cannot be measured.
#[derive(Debug, Error)]
pub enum MeasurementError {
    /// More than [`MAX_PROCESSES`] processes are asked for.
    #[error("{0} processes; expected at most {MAX_PROCESSES}")]
    TooManyProcesses(usize),
    /// A planner could not be started, ended, or rejected a change.
    #[error("planner {planner}: {cause}")]
    Planner {
        /// The number of the planner, from zero.
        planner: usize,
        /// What happened to the planner.
        cause: String,
    },
    /// A change was not active at every planner in time.
    #[error("a change was not active at {missing} of {planners} planners after {CHANGE_TIMEOUT:?}")]
    ChangeNotActive {
        /// The number of planners at which the change was not active.
        missing: usize,
        /// The number of all planners.
        planners: usize,
    },
    /// A call of the operating system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The measured costs of real planners.
// The bench prints the Debug form with the names of the fields.
#[derive(Debug, Clone, Default)]
pub struct ProcessCosts {
    /// Mean processor time of one planner, in seconds per second.
    pub processor: f64,
    /// Mean resident memory of one planner, in bytes.
    pub resident: f64,
    /// Mean number of open file descriptors of one planner.
    pub descriptors: f64,
    /// Time of each change until it is active at the last planner, sorted.
    pub in_force: Vec<Duration>,
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Measures running processes over `span`; doesn't measure changes.
fn measure(pids: &[u32], span: Duration) -> Result<ProcessCosts, MeasurementError> {
    let read_use = || -> Result<Vec<ProcessUse>, MeasurementError> {
        let use_of = |(planner, pid): (usize, &u32)| {
            process_use(*pid)
                .ok_or_else(|| MeasurementError::Planner { planner, cause: "the process has ended".into() })
        };
        pids.iter().enumerate().map(use_of).collect()
    };
    let (before, began) = (read_use()?, Instant::now());
    sleep(span);
    let (after, took) = (read_use()?, began.elapsed().as_secs_f64());
    let spent = before.iter().zip(&after).map(|(b, a)| a.processor.saturating_sub(b.processor).as_secs_f64());
    Ok(ProcessCosts {
        processor: mean(spent) / took,
        resident: mean(after.iter().map(|a| a.resident as f64)),
        descriptors: mean(after.iter().map(|a| a.descriptors as f64)),
        in_force: vec![],
    })
}

/// A client that has joined a planner as a proxy and reads its weight table.
struct TableReader {
    socket: TcpStream,
    unread: Vec<u8>,
}

impl TableReader {
    fn join(to: SocketAddr) -> io::Result<TableReader> {
        let mut socket = TcpStream::connect(to)?;
        let join = json!({"msg": "SUBSCRIBE", "node": 0, "locality": "north", "w": 1.0, "cold": true});
        socket.write_all(&encode_frame(&join))?;
        socket.set_nonblocking(true)?;
        Ok(TableReader { socket, unread: vec![] })
    }

    /// Returns the messages that have arrived, and acknowledges those that carry a mark.
    fn messages(&mut self) -> io::Result<Vec<Value>> {
        const LENGTH: usize = 4;
        let mut buffer = [0; 16 << 10];
        loop {
            match self.socket.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.unread.extend_from_slice(&buffer[..n]),
                Err(why) if why.kind() == io::ErrorKind::WouldBlock => break,
                Err(why) => return Err(why),
            }
        }
        let mut messages = vec![];
        while let Some(head) = self.unread.first_chunk::<LENGTH>() {
            let end = LENGTH + u32::from_be_bytes(*head) as usize;
            if self.unread.len() < end {
                break;
            }
            let body: Vec<u8> = self.unread.drain(..end).skip(LENGTH).collect();
            if let Ok(message) = serde_json::from_slice::<Value>(&body) {
                messages.push(message);
            }
        }
        for mark in messages.iter().filter_map(|m| m.get("mark")) {
            let _ = self.socket.write_all(&encode_frame(&json!({"msg": "ACK", "node": 0, "mark": mark})));
        }
        Ok(messages)
    }
}

/// Returns true if a message is a whole weight table without this server, or an update that sets its weight to zero.
fn removes_server(message: &Value, server: &str) -> bool {
    let lines = message["lines"].as_array().map(Vec::as_slice).unwrap_or_default();
    let is_of_server = |line: &&Value| line[0] == server;
    match message["whole"].as_bool() {
        Some(true) => !lines.iter().any(|line| is_of_server(&line)),
        _ => lines.iter().find(is_of_server).is_some_and(|line| line[1].as_f64() == Some(0.0)),
    }
}

/// Measures planners that share nothing but the endpoint list: `planners` processes of `program` over one list of `servers`
/// servers. One proxy of each planner reads its weight table.
///
/// # Errors
///
/// Returns an error if too many planners are asked for, a planner ends, or a change is not active at every planner in time.
pub fn measure_platform(
    program: &Path,
    planners: usize,
    servers: usize,
    span: Duration,
) -> Result<ProcessCosts, MeasurementError> {
    const CHANGES: usize = 5;
    if planners > MAX_PROCESSES {
        return Err(MeasurementError::TooManyProcesses(planners));
    }
    let discovery = Discovery::new(servers);
    let settings = default_settings();
    let path = program.display().to_string();
    let programs: Vec<PlannerProcess> =
        (0..planners).map(|_| PlannerProcess::start(&path, &discovery, 256, &settings)).collect();
    let mut readers: Vec<TableReader> =
        programs.iter().map(|p| TableReader::join(p.listen)).collect::<Result<_, _>>()?;
    sleep(SETTLING_TIME);
    for reader in &mut readers {
        reader.messages()?;
    }
    let pids: Vec<u32> = programs.iter().map(|p| p.child.id()).collect();
    let mut costs = measure(&pids, span)?;
    for k in 0..CHANGES {
        // Even numbers are servers in the zone of the proxies, which are in every weight table.
        let number = 2 * k;
        discovery.publish(&[endpoint(number, "DRAINING")]);
        costs.in_force.push(wait_until_removed(&mut readers, &format!("s{number}"))?);
        sleep(Duration::from_millis(500));
    }
    costs.in_force.sort();
    Ok(costs)
}

/// Waits until no weight table has the server, and returns the time that this took.
fn wait_until_removed(readers: &mut [TableReader], server: &str) -> Result<Duration, MeasurementError> {
    let (began, planners) = (Instant::now(), readers.len());
    let mut waiting: Vec<usize> = (0..planners).collect();
    while !waiting.is_empty() {
        let mut still_waiting = vec![];
        for planner in waiting {
            if !readers[planner].messages()?.iter().any(|m| removes_server(m, server)) {
                still_waiting.push(planner);
            }
        }
        waiting = still_waiting;
        if began.elapsed() > CHANGE_TIMEOUT {
            return Err(MeasurementError::ChangeNotActive { missing: waiting.len(), planners });
        }
        sleep(Duration::from_millis(1));
    }
    Ok(began.elapsed())
}

/// The name of the fleet that the members form.
const FLEET: &str = "f";

/// A fleet of members that elect a leader and agree on configuration versions, each a process of `grebespool-cli serve`.
pub struct MemberFleet {
    folder: TempDir,
    program: PathBuf,
    running: Vec<Child>,
    /// The address at which each member listens for the other members.
    addresses: Vec<String>,
}

impl MemberFleet {
    /// Starts `members` processes of `program` (`grebespool-cli`). Their settings are `base`, the text of a Nickel file, with
    /// `base_port` replaced by a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if too many members are asked for, or with the output of a member that does not start.
    pub fn start(
        program: &Path,
        base: &str,
        base_port: &str,
        members: usize,
    ) -> Result<MemberFleet, MeasurementError> {
        if members > MAX_PROCESSES {
            return Err(MeasurementError::TooManyProcesses(members));
        }
        let folder = tempfile::tempdir()?;
        std::fs::write(folder.path().join("fleet.key"), "the key that proxies share")?;
        std::fs::write(folder.path().join("members.key"), "the key that members share")?;
        // All listeners are bound at the same time, so that the ports differ, and closed before members use the ports.
        let listeners: Vec<TcpListener> =
            (0..2 * members).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let ports: Vec<u16> =
            listeners.iter().map(|l| Ok(l.local_addr()?.port())).collect::<io::Result<_>>()?;
        drop(listeners);
        let mut fleet = MemberFleet {
            folder,
            program: program.into(),
            running: vec![],
            addresses: (0..members).map(|m| format!("127.0.0.1:{}", ports[2 * m + 1])).collect(),
        };
        for member in 0..members {
            fleet.write_settings(base, base_port, member, &ports)?;
            fleet.run_command(member, &["members", "form"])?;
        }
        for member in 0..members {
            fleet.serve(member)?;
        }
        Ok(fleet)
    }

    /// Writes the settings file of a member.
    fn write_settings(&self, base: &str, base_port: &str, member: usize, ports: &[u16]) -> io::Result<()> {
        let settings = base.replace(base_port, &ports[2 * member].to_string());
        let address = |m: usize| format!("127.0.0.1:{}", ports[2 * m + 1]);
        let peers: Vec<String> = (0..ports.len() / 2)
            .filter(|peer| *peer != member)
            .map(|peer| format!("{{ name = \"m{peer}\", address = \"{}\" }}", address(peer)))
            .collect();
        let members = format!(
            "{{ members = {{ fleet = \"{FLEET}\", name = \"m{member}\", address = \"{}\", folder = \"state{member}\",
                key_file = \"members.key\", peers = [{}], duties = {{ agree = {{}} }} }} }}",
            address(member),
            peers.join(", ")
        );
        std::fs::write(self.folder.path().join(format!("m{member}.ncl")), format!("({settings}) & {members}"))
    }

    /// Runs the program with the settings file of a member, and returns its standard output.
    fn run_command(&self, member: usize, arguments: &[&str]) -> Result<String, MeasurementError> {
        let output = Command::new(&self.program)
            .args(arguments)
            .arg(format!("m{member}.ncl"))
            .current_dir(self.folder.path())
            .output()?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        let cause = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(MeasurementError::Planner { planner: member, cause })
    }

    /// Starts the process of a member and waits until the process prints its address.
    fn serve(&mut self, member: usize) -> Result<(), MeasurementError> {
        let mut child = Command::new(&self.program)
            .args(["--log", "error", "serve", &format!("m{member}.ncl")])
            .current_dir(self.folder.path())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut first_line = String::new();
        if let Some(out) = child.stdout.as_mut() {
            BufReader::new(out).read_line(&mut first_line)?;
        }
        self.running.push(child);
        if first_line.starts_with("listening at") {
            return Ok(());
        }
        Err(MeasurementError::Planner {
            planner: member,
            cause: format!("first line {first_line:?}; expected \"listening at\""),
        })
    }

    /// Measures the members, and the time of a configuration change until it is the only active version of every member.
    ///
    /// # Errors
    ///
    /// Returns an error if a member ends or cannot be reached, or a change is rejected or not active everywhere in time.
    pub fn measure(&self, span: Duration) -> Result<ProcessCosts, MeasurementError> {
        const CHANGES: u32 = 5;
        sleep(SETTLING_TIME);
        let pids: Vec<u32> = self.running.iter().map(Child::id).collect();
        let mut costs = measure(&pids, span)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let keys = Keys::read(&self.folder.path().join("members.key")).map_err(io::Error::from)?;
        for change in 0..CHANGES {
            costs.in_force.push(runtime.block_on(self.measure_change(&keys, change))?);
        }
        costs.in_force.sort();
        Ok(costs)
    }

    /// Proposes a change at the first member. Returns the time until a newer version is the only active one of every member.
    async fn measure_change(&self, keys: &Keys, number: u32) -> Result<Duration, MeasurementError> {
        let fleet = fleet_id(FLEET);
        let reserve = Limit::AtLeast(f64::from(number) / 100.0);
        let changes = vec![Change::Limit(LIMITS[1].into(), Some(reserve))];
        let before = self.active_version(keys, 0).await?;
        let began = Instant::now();
        let request = Request::Propose { changes, forced: false };
        let answer = grebespool_cluster::send_request(&self.addresses[0], fleet, keys, request)
            .await
            .map_err(io::Error::from)?;
        if let Response::Rejected(cause) = answer {
            return Err(MeasurementError::Planner { planner: 0, cause });
        }
        for member in 0..self.addresses.len() {
            while self.active_version(keys, member).await? <= before {
                if began.elapsed() > CHANGE_TIMEOUT {
                    let planners = self.addresses.len();
                    return Err(MeasurementError::ChangeNotActive { missing: planners - member, planners });
                }
                sleep(Duration::from_millis(2));
            }
        }
        Ok(began.elapsed())
    }

    /// Returns the number of the only active configuration version of a member, or zero if none or two versions are active.
    async fn active_version(&self, keys: &Keys, member: usize) -> io::Result<u64> {
        let fleet = fleet_id(FLEET);
        match grebespool_cluster::send_request(
            &self.addresses[member],
            fleet,
            keys,
            Request::ShowConfiguration,
        )
        .await?
        {
            Response::Configuration(shown) => {
                Ok(if let ActiveVersions::Single(number) = shown.active { number } else { 0 })
            }
            _ => Ok(0),
        }
    }
}

impl Drop for MemberFleet {
    fn drop(&mut self) {
        for child in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
