//! A fleet of controllers of which one leads, and the links between them.

use crate::host::PlannerHost;
use grebespool_cluster::{
    Keys, Request, Response, Store, fleet_id, initial_membership, send_request, voter_id,
};
use grebespool_settings::{Deployment, ListSource, member_text};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};

/// Which streams to a member are blocked.
#[derive(Default)]
struct Blocked {
    /// True if all are.
    all: bool,
    /// Id of the member whose streams are blocked.
    from: Option<u64>,
}

/// The link to one member, which can be blocked for some of the others.
struct MemberLink {
    address: SocketAddr,
    blocked: Arc<Mutex<Blocked>>,
}

impl MemberLink {
    /// Opens a listener that forwards streams to the member.
    fn new(to: SocketAddr) -> io::Result<MemberLink> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let (address, blocked) = (listener.local_addr()?, Arc::<Mutex<Blocked>>::default());
        let shared = blocked.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let blocked = shared.clone();
                std::thread::spawn(move || drop(forward(near, to, &blocked)));
            }
        });
        Ok(MemberLink { address, blocked })
    }
}

/// Length of a member's first bytes on a stream (`docs/design/leader-election.md`).
const FIRST: usize = 46;
/// Offset of the member's id in these bytes.
const ID: usize = 14;

/// Forwards a stream in both directions until it ends or is blocked.
fn forward(mut near: TcpStream, to: SocketAddr, blocked: &Arc<Mutex<Blocked>>) -> io::Result<()> {
    let mut first = [0; FIRST];
    near.read_exact(&mut first)?;
    let id = first[ID..ID + 8].first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b));
    let shared = blocked.clone();
    let is_blocked = move || {
        let blocked = shared.lock().unwrap_or_else(PoisonError::into_inner);
        blocked.all || blocked.from == Some(id)
    };
    if is_blocked() {
        return Ok(());
    }
    let mut far = TcpStream::connect(to)?;
    far.set_nodelay(true)?;
    near.set_nodelay(true)?;
    far.write_all(&first)?;
    let (back_from, back_to) = (far.try_clone()?, near.try_clone()?);
    let back_is_blocked = is_blocked.clone();
    let back = std::thread::spawn(move || forward_direction(back_from, back_to, back_is_blocked));
    forward_direction(near, far, is_blocked);
    let _ = back.join();
    Ok(())
}

/// Forwards one direction. Closes both ends once either closes or the link is blocked.
fn forward_direction(mut from: TcpStream, mut to: TcpStream, is_blocked: impl Fn() -> bool) {
    let mut buffer = [0; 16 << 10];
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    while !is_blocked() {
        match from.read(&mut buffer) {
            Ok(n) if n > 0 => {
                if is_blocked() || to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            _ => break,
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Polls all members for the leader, on a thread of its own, until the host that reads the result is dropped.
fn poll_leader(leading: &Weak<Mutex<Option<usize>>>, at: &[SocketAddr], keys: &Keys) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
    runtime.block_on(async {
        while let Some(leading) = leading.upgrade() {
            for (i, address) in at.iter().enumerate() {
                let address = address.to_string();
                let asked = send_request(&address, fleet_id("fleet"), keys, Request::ShowMember);
                let answer = tokio::time::timeout(Duration::from_millis(200), asked).await;
                if let Ok(Ok(Response::Status { standing, .. })) = answer
                    && standing == "leads"
                {
                    *leading.lock().unwrap_or_else(PoisonError::into_inner) = Some(i);
                }
            }
            drop(leading);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Runs several controllers of one fleet, each as a process. Kills and stalls hit the leader.
pub struct FleetHost {
    program: PathBuf,
    folder: tempfile::TempDir,
    stall: Duration,
    controllers: Vec<Controller>,
    /// The controller that is suspended or partitioned, until it is resumed.
    stalled: Option<usize>,
    links: Vec<MemberLink>,
    /// True if a stall partitions the leader instead of suspending its process.
    partitions: bool,
    leading: Arc<Mutex<Option<usize>>>,
    accounts: PathBuf,
}

struct Controller {
    settings: PathBuf,
    /// Address for proxies, which stays the same after a restart.
    address: SocketAddr,
    child: Option<Child>,
}

static PORTS: AtomicU32 = AtomicU32::new(0);

/// Returns addresses with free ports below the range from which the system assigns ports to outgoing connections.
/// Otherwise a connection could take a port before the process that is to listen there has started.
///
/// # Errors
///
/// Returns an error if there are not enough free ports.
pub fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let (first, many) = (12_000, 18_000);
    let from = std::process::id().wrapping_mul(613) % many;
    let mut found = vec![];
    for _ in 0..many {
        let next = (from + PORTS.fetch_add(1, Ordering::Relaxed)) % many;
        let addr = SocketAddr::from(([127, 0, 0, 1], (first + next) as u16));
        if TcpListener::bind(addr).is_ok() {
            found.push(addr);
        }
        if found.len() == count {
            return Ok(found);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}

impl FleetHost {
    /// Time within which the fleet must elect its first leader.
    const ELECTION_TIMEOUT: Duration = Duration::from_secs(60);

    /// Creates a host of this number of members. `program` and `stall` are as for one planner. `accounts` is the
    /// folder into which the members write their accounts.
    ///
    /// # Errors
    ///
    /// Returns an error if no folder can be created or no ports are free.
    pub fn new(
        program: PathBuf,
        stall: Duration,
        members: usize,
        accounts: PathBuf,
    ) -> io::Result<FleetHost> {
        let folder = tempfile::tempdir()?;
        let controller = |(i, address)| Controller {
            settings: folder.path().join(format!("m{i}.ncl")),
            address,
            child: None,
        };
        let controllers = free_ports(members)?.into_iter().enumerate().map(controller).collect();
        Ok(FleetHost {
            program,
            folder,
            stall,
            controllers,
            stalled: None,
            links: vec![],
            partitions: false,
            leading: Arc::default(),
            accounts,
        })
    }

    /// Makes a stall partition the leader from the other members, but not from the proxies, instead of suspending it.
    pub fn cutting(mut self) -> FleetHost {
        self.partitions = true;
        self
    }

    /// Writes the settings and the initial state of all members.
    fn form(&mut self, deployment: &Deployment, list: &ListSource, key_file: &Path) -> io::Result<()> {
        let listens = free_ports(self.controllers.len())?;
        self.links = listens.iter().map(|l| MemberLink::new(*l)).collect::<io::Result<_>>()?;
        let between: Vec<SocketAddr> = self.links.iter().map(|w| w.address).collect();
        for (i, controller) in self.controllers.iter().enumerate() {
            let others = (0..between.len()).filter(|o| *o != i);
            let peers: Vec<_> = others.map(|o| (format!("m{o}"), between[o])).collect();
            let (name, state) = (format!("m{i}"), self.folder.path().join(format!("state{i}")));
            let text = member_text(
                deployment,
                list,
                key_file,
                self.stall,
                &name,
                (between[i], listens[i]),
                (&state, &self.accounts),
                &peers,
            );
            std::fs::write(&controller.settings, text)?;
            let fleet = fleet_id("fleet");
            let all = between.iter().enumerate().map(|(n, at)| (format!("m{n}"), at.to_string()));
            let roster = initial_membership(fleet, all);
            Store::form(&state, fleet, voter_id(fleet, &name), roster).map_err(io::Error::other)?;
        }
        let keys = Keys::read(key_file)?;
        let (leading, over) = (Arc::downgrade(&self.leading), listens);
        std::thread::spawn(move || poll_leader(&leading, &over, &keys));
        Ok(())
    }

    /// Starts a member. Waits until it listens if `wait` is true; in the middle of a day the caller must not block.
    fn launch(&mut self, i: usize, wait: bool) -> io::Result<()> {
        let controller = &self.controllers[i];
        let mut command = Command::new(&self.program);
        let listen = controller.address.to_string();
        command.args(["--log", "error", "serve", "--listen", &listen]).arg(&controller.settings);
        let mut child =
            command.stdin(Stdio::null()).stdout(if wait { Stdio::piped() } else { Stdio::null() }).spawn()?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take().filter(|_| wait) {
            BufReader::new(out).read_line(&mut line)?;
        }
        self.controllers[i].child = Some(child);
        match !wait || line.starts_with("listening at ") {
            true => Ok(()),
            false => Err(io::Error::other("a controller did not start")),
        }
    }

    /// Returns the member that last reported to lead, if it runs.
    pub fn leader(&self) -> Option<usize> {
        let leader = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        leader.filter(|i| self.controllers[*i].child.is_some() && self.stalled != Some(*i))
    }

    /// Returns the ids of the processes that run.
    pub fn ids(&self) -> Vec<u32> {
        self.controllers.iter().filter_map(|c| c.child.as_ref()).map(Child::id).collect()
    }

    /// Sends a signal to a member's process.
    fn signal(&self, i: usize, name: &str) {
        if let Some(child) = &self.controllers[i].child {
            let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
        }
    }

    /// Partitions a member from all others, or ends the partition.
    fn set_partitioned(&self, i: usize, partitioned: bool) {
        let id = voter_id(fleet_id("fleet"), &format!("m{i}"));
        for (other, link) in self.links.iter().enumerate() {
            let mut blocked = link.blocked.lock().unwrap_or_else(PoisonError::into_inner);
            // The member's own link is blocked for all, and the links to the others for the member.
            blocked.all = partitioned && other == i;
            blocked.from = partitioned.then_some(id).filter(|_| other != i);
        }
    }

    /// Kills a member.
    fn kill_member(&mut self, i: usize) {
        if let Some(mut child) = self.controllers[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl PlannerHost for FleetHost {
    /// Forms and starts the whole fleet the first time, and later the members that do not run.
    fn start(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<Vec<SocketAddr>> {
        let first = !self.controllers[0].settings.exists();
        if first {
            self.form(deployment, list, key_file)?;
        }
        for i in 0..self.controllers.len() {
            if self.controllers[i].child.is_none() {
                self.launch(i, first)?;
            }
        }
        let until = Instant::now() + Self::ELECTION_TIMEOUT;
        while first && self.leader().is_none() {
            if Instant::now() > until {
                return Err(io::Error::other("the controllers choose no leader"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(self.controllers.iter().map(|c| c.address).collect())
    }

    fn kill(&mut self) {
        if let Some(leader) = self.leader() {
            self.kill_member(leader);
        }
    }

    fn stall(&mut self, _: Duration) {
        if let Some(leader) = self.leader() {
            match self.partitions {
                true => self.set_partitioned(leader, true),
                false => self.signal(leader, "-STOP"),
            }
            self.stalled = Some(leader);
        }
    }

    fn resume(&mut self) {
        if let Some(stalled) = self.stalled.take() {
            match self.partitions {
                true => self.set_partitioned(stalled, false),
                false => self.signal(stalled, "-CONT"),
            }
        }
    }
}

impl Drop for FleetHost {
    fn drop(&mut self) {
        self.resume();
        (0..self.controllers.len()).for_each(|i| self.kill_member(i));
    }
}
