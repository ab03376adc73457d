//! Real planners: the program as processes on loopback.

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

/// Processes of this project at one time, at the most.
pub const MOST_PROCESSES: usize = 120;
/// A change that is not in force everywhere by then counts as lost.
const LONGEST_CHANGE: Duration = Duration::from_secs(20);
/// How long planners run before they are measured.
const SETTLING: Duration = Duration::from_secs(4);

/// Why real planners could not be measured.
#[derive(Debug, Error)]
pub enum Unmeasured {
    /// More processes than this workplace takes.
    #[error("{0} processes; {MOST_PROCESSES} are the most")]
    TooMany(usize),
    /// A process could not be started, or ended.
    #[error("planner {planner}: {cause}")]
    Planner {
        /// Which one.
        planner: usize,
        /// What happened.
        cause: String,
    },
    /// A change did not reach every planner.
    #[error("a change was not in force at {missing} of {planners} planners after {LONGEST_CHANGE:?}")]
    Incomplete {
        /// Planners without it.
        missing: usize,
        /// All planners.
        planners: usize,
    },
    /// The operating system's.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What real planners cost.
#[derive(Debug, Clone, Default)]
pub struct ProcessCosts {
    /// Processor time a second of one planner, in the mean.
    pub processor: f64,
    /// Resident bytes of one planner, in the mean.
    pub resident: f64,
    /// Descriptors of one planner, in the mean.
    pub descriptors: f64,
    /// From a change until it was in force at the last planner, for each change, sorted.
    pub in_force: Vec<Duration>,
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Measures running processes over a while.
fn measure(pids: &[u32], span: Duration) -> Result<ProcessCosts, Unmeasured> {
    let used = || -> Result<Vec<ProcessUse>, Unmeasured> {
        let of = |(planner, pid): (usize, &u32)| {
            process_use(*pid).ok_or_else(|| Unmeasured::Planner { planner, cause: "it has ended".into() })
        };
        pids.iter().enumerate().map(of).collect()
    };
    let (before, began) = (used()?, Instant::now());
    sleep(span);
    let (after, took) = (used()?, began.elapsed().as_secs_f64());
    let spent = before.iter().zip(&after).map(|(b, a)| a.processor.saturating_sub(b.processor).as_secs_f64());
    Ok(ProcessCosts {
        processor: mean(spent) / took,
        resident: mean(after.iter().map(|a| a.resident as f64)),
        descriptors: mean(after.iter().map(|a| a.descriptors as f64)),
        in_force: vec![],
    })
}

/// A joined proxy that reads its table.
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

    /// The messages that have come; each is acknowledged.
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

/// Whether a message takes this server out of the table.
fn takes_out(message: &Value, server: &str) -> bool {
    let lines = message["lines"].as_array().map(Vec::as_slice).unwrap_or_default();
    let of = |line: &&Value| line[0] == server;
    match message["whole"].as_bool() {
        Some(true) => !lines.iter().any(|line| of(&line)),
        _ => lines.iter().find(of).is_some_and(|line| line[1].as_f64() == Some(0.0)),
    }
}

/// Measures planners that share nothing: `planners` processes of `program` over one list of `servers`, each with one proxy
/// that reads its table.
///
/// # Errors
///
/// A planner does not start or ends, or a change does not reach all of them.
pub fn measure_platform(
    program: &Path,
    planners: usize,
    servers: usize,
    span: Duration,
) -> Result<ProcessCosts, Unmeasured> {
    const CHANGES: usize = 5;
    if planners > MOST_PROCESSES {
        return Err(Unmeasured::TooMany(planners));
    }
    let discovery = Discovery::new(servers);
    let settings = default_settings();
    let path = program.display().to_string();
    let programs: Vec<PlannerProcess> =
        (0..planners).map(|_| PlannerProcess::start(&path, &discovery, 256, &settings)).collect();
    let mut readers: Vec<TableReader> =
        programs.iter().map(|p| TableReader::join(p.listen)).collect::<Result<_, _>>()?;
    sleep(SETTLING);
    for reader in &mut readers {
        reader.messages()?;
    }
    let pids: Vec<u32> = programs.iter().map(|p| p.child.id()).collect();
    let mut costs = measure(&pids, span)?;
    for k in 0..CHANGES {
        // Servers of the proxies' own zone, which all tables have.
        let number = 2 * k;
        discovery.publish(&[endpoint(number, "DRAINING")]);
        costs.in_force.push(until_out(&mut readers, &format!("s{number}"))?);
        sleep(Duration::from_millis(500));
    }
    costs.in_force.sort();
    Ok(costs)
}

/// How long it takes until no table has the server.
fn until_out(readers: &mut [TableReader], server: &str) -> Result<Duration, Unmeasured> {
    let (began, planners) = (Instant::now(), readers.len());
    let mut waiting: Vec<usize> = (0..planners).collect();
    while !waiting.is_empty() {
        let mut still = vec![];
        for planner in waiting {
            if !readers[planner].messages()?.iter().any(|m| takes_out(m, server)) {
                still.push(planner);
            }
        }
        waiting = still;
        if began.elapsed() > LONGEST_CHANGE {
            return Err(Unmeasured::Incomplete { missing: waiting.len(), planners });
        }
        sleep(Duration::from_millis(1));
    }
    Ok(began.elapsed())
}

/// The name of the fleet that members are formed for.
const FLEET: &str = "f";

/// Members that follow each other and agree on configurations: processes of the command line's program.
pub struct MemberFleet {
    folder: TempDir,
    program: PathBuf,
    running: Vec<Child>,
    /// Where members listen for one another, by member.
    addresses: Vec<String>,
}

impl MemberFleet {
    /// Starts `members` processes of `program` (`grebespool-cli`), with the settings of `base` (a Nickel file), which listens at
    /// `base_port`.
    ///
    /// # Errors
    ///
    /// One does not start, and why.
    pub fn start(
        program: &Path,
        base: &str,
        base_port: &str,
        members: usize,
    ) -> Result<MemberFleet, Unmeasured> {
        if members > MOST_PROCESSES {
            return Err(Unmeasured::TooMany(members));
        }
        let folder = tempfile::tempdir()?;
        std::fs::write(folder.path().join("fleet.key"), "the key that proxies share")?;
        std::fs::write(folder.path().join("members.key"), "the key that members share")?;
        // Bound all at once, so that no port is given twice, and let go before they are used.
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
            fleet.settle(base, base_port, member, &ports)?;
            fleet.command(member, &["members", "form"])?;
        }
        for member in 0..members {
            fleet.serve(member)?;
        }
        Ok(fleet)
    }

    fn settle(&self, base: &str, base_port: &str, member: usize, ports: &[u16]) -> io::Result<()> {
        let own = base.replace(base_port, &ports[2 * member].to_string());
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
        std::fs::write(self.folder.path().join(format!("m{member}.ncl")), format!("({own}) & {members}"))
    }

    fn command(&self, member: usize, arguments: &[&str]) -> Result<String, Unmeasured> {
        let output = Command::new(&self.program)
            .args(arguments)
            .arg(format!("m{member}.ncl"))
            .current_dir(self.folder.path())
            .output()?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        let cause = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(Unmeasured::Planner { planner: member, cause })
    }

    fn serve(&mut self, member: usize) -> Result<(), Unmeasured> {
        let mut child = Command::new(&self.program)
            .args(["--log", "error", "serve", &format!("m{member}.ncl")])
            .current_dir(self.folder.path())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(out) = child.stdout.as_mut() {
            BufReader::new(out).read_line(&mut line)?;
        }
        self.running.push(child);
        if line.starts_with("listening at") {
            return Ok(());
        }
        Err(Unmeasured::Planner { planner: member, cause: format!("it said {line:?}") })
    }

    /// Measures the members, and how long a change of the configuration takes until the last acts by it alone.
    ///
    /// # Errors
    ///
    /// A member ends, or a change does not reach all of them.
    pub fn measure(&self, span: Duration) -> Result<ProcessCosts, Unmeasured> {
        const CHANGES: u32 = 5;
        sleep(SETTLING);
        let pids: Vec<u32> = self.running.iter().map(Child::id).collect();
        let mut costs = measure(&pids, span)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let keys = Keys::read(&self.folder.path().join("members.key")).map_err(io::Error::from)?;
        for change in 0..CHANGES {
            costs.in_force.push(runtime.block_on(self.change(&keys, change))?);
        }
        costs.in_force.sort();
        Ok(costs)
    }

    /// Proposes a change at the first member; gives how long it took until the last member acted by it alone.
    async fn change(&self, keys: &Keys, number: u32) -> Result<Duration, Unmeasured> {
        let fleet = fleet_id(FLEET);
        let reserve = Limit::AtLeast(f64::from(number) / 100.0);
        let changes = vec![Change::Limit(LIMITS[1].into(), Some(reserve))];
        let before = self.acted_by(keys, 0).await?;
        let began = Instant::now();
        let request = Request::Propose { changes, forced: false };
        let answer = grebespool_cluster::send_request(&self.addresses[0], fleet, keys, request)
            .await
            .map_err(io::Error::from)?;
        if let Response::Rejected(cause) = answer {
            return Err(Unmeasured::Planner { planner: 0, cause });
        }
        for member in 0..self.addresses.len() {
            while self.acted_by(keys, member).await? <= before {
                if began.elapsed() > LONGEST_CHANGE {
                    let planners = self.addresses.len();
                    return Err(Unmeasured::Incomplete { missing: planners - member, planners });
                }
                sleep(Duration::from_millis(2));
            }
        }
        Ok(began.elapsed())
    }

    /// The number of the configuration that a member acts by alone; zero where it acts by none or by two.
    async fn acted_by(&self, keys: &Keys, member: usize) -> io::Result<u64> {
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
