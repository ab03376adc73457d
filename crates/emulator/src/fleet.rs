//! Several controllers that follow each other, and the ways between them.

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

/// Whose streams do not get through.
#[derive(Default)]
struct Closed {
    all: bool,
    /// Those that this member dialled.
    from: Option<u64>,
}

/// The way to one member, which can be cut for some.
struct Way {
    address: SocketAddr,
    closed: Arc<Mutex<Closed>>,
}

impl Way {
    fn new(to: SocketAddr) -> io::Result<Way> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let (address, closed) = (listener.local_addr()?, Arc::<Mutex<Closed>>::default());
        let shared = closed.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let closed = shared.clone();
                std::thread::spawn(move || drop(carry(near, to, &closed)));
            }
        });
        Ok(Way { address, closed })
    }
}

/// Where a member says its id in its first bytes (`docs/design/leader-election.md`).
const FIRST: usize = 46;
const ID: usize = 14;

fn carry(mut near: TcpStream, to: SocketAddr, closed: &Arc<Mutex<Closed>>) -> io::Result<()> {
    let mut first = [0; FIRST];
    near.read_exact(&mut first)?;
    let id = first[ID..ID + 8].first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b));
    let shared = closed.clone();
    let cut = move || {
        let closed = shared.lock().unwrap_or_else(PoisonError::into_inner);
        closed.all || closed.from == Some(id)
    };
    if cut() {
        return Ok(());
    }
    let mut far = TcpStream::connect(to)?;
    far.set_nodelay(true)?;
    near.set_nodelay(true)?;
    far.write_all(&first)?;
    let (back_from, back_to) = (far.try_clone()?, near.try_clone()?);
    let back_cut = cut.clone();
    let back = std::thread::spawn(move || pump(back_from, back_to, back_cut));
    pump(near, far, cut);
    let _ = back.join();
    Ok(())
}

/// Both ends are closed once either is, or the way is cut.
fn pump(mut from: TcpStream, mut to: TcpStream, cut: impl Fn() -> bool) {
    let mut buffer = [0; 16 << 10];
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    while !cut() {
        match from.read(&mut buffer) {
            Ok(n) if n > 0 => {
                if cut() || to.write_all(&buffer[..n]).is_err() {
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

/// Asks all again and again which of them leads, beside the day, until nobody wants to know.
fn watch(leading: &Weak<Mutex<Option<usize>>>, at: &[SocketAddr], keys: &Keys) {
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

/// Several controllers of one fleet, a process each; what befalls the planner befalls the one that leads.
pub struct FleetHost {
    program: PathBuf,
    folder: tempfile::TempDir,
    stall: Duration,
    controllers: Vec<Controller>,
    /// The one that was stopped or cut off, to be resumed.
    stalled: Option<usize>,
    ways: Vec<Way>,
    cuts: bool,
    leading: Arc<Mutex<Option<usize>>>,
    accounts: PathBuf,
}

struct Controller {
    settings: PathBuf,
    /// Where proxies come, the same after a restart.
    address: SocketAddr,
    child: Option<Child>,
}

static PORTS: AtomicU32 = AtomicU32::new(0);

/// Ports that were free a moment ago, and that no connection is given by itself: else another's connection could have
/// one before whoever is to listen there has started.
///
/// # Errors
///
/// There are none.
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
    const CHOSEN_WITHIN: Duration = Duration::from_secs(60);

    /// `program`: the command line. `stall`: as for one planner. `accounts`: where the members write their accounts.
    ///
    /// # Errors
    ///
    /// No folder can be made, or no ports are free.
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
            ways: vec![],
            cuts: false,
            leading: Arc::default(),
            accounts,
        })
    }

    /// In place of being stopped, the leader is cut off from the other members, not from the proxies.
    pub fn cutting(mut self) -> FleetHost {
        self.cuts = true;
        self
    }

    /// Writes the settings and forms the state of all.
    fn form(&mut self, deployment: &Deployment, list: &ListSource, key_file: &Path) -> io::Result<()> {
        let listens = free_ports(self.controllers.len())?;
        self.ways = listens.iter().map(|l| Way::new(*l)).collect::<io::Result<_>>()?;
        let between: Vec<SocketAddr> = self.ways.iter().map(|w| w.address).collect();
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
        std::thread::spawn(move || watch(&leading, &over, &keys));
        Ok(())
    }

    /// `wait`: until it listens. In the middle of a day the day goes on meanwhile.
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

    /// Which of those that run said last that it leads.
    pub fn leader(&self) -> Option<usize> {
        let told = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        told.filter(|i| self.controllers[*i].child.is_some() && self.stalled != Some(*i))
    }

    /// The processes that run.
    pub fn ids(&self) -> Vec<u32> {
        self.controllers.iter().filter_map(|c| c.child.as_ref()).map(Child::id).collect()
    }

    fn signal(&self, i: usize, name: &str) {
        if let Some(child) = &self.controllers[i].child {
            let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
        }
    }

    fn cut_off(&self, i: usize, cut: bool) {
        let id = voter_id(fleet_id("fleet"), &format!("m{i}"));
        for (other, way) in self.ways.iter().enumerate() {
            let mut closed = way.closed.lock().unwrap_or_else(PoisonError::into_inner);
            // Nobody comes to it, and it comes to nobody.
            closed.all = cut && other == i;
            closed.from = cut.then_some(id).filter(|_| other != i);
        }
    }

    fn end(&mut self, i: usize) {
        if let Some(mut child) = self.controllers[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl PlannerHost for FleetHost {
    /// The first time all are formed and started, later those that do not run.
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
        let until = Instant::now() + Self::CHOSEN_WITHIN;
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
            self.end(leader);
        }
    }

    fn stall(&mut self, _: Duration) {
        if let Some(leader) = self.leader() {
            match self.cuts {
                true => self.cut_off(leader, true),
                false => self.signal(leader, "-STOP"),
            }
            self.stalled = Some(leader);
        }
    }

    fn resume(&mut self) {
        if let Some(stalled) = self.stalled.take() {
            match self.cuts {
                true => self.cut_off(stalled, false),
                false => self.signal(stalled, "-CONT"),
            }
        }
    }
}

impl Drop for FleetHost {
    fn drop(&mut self) {
        self.resume();
        (0..self.controllers.len()).for_each(|i| self.end(i));
    }
}
