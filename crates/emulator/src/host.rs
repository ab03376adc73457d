//! Hosts that run the planner of a rehearsed day, and can kill or suspend it.

use grebespool_controller::Incarnation;
use grebespool_controller_server::{NoObserver, PassThrough, ServerConfig, UpdateFilter, serve};
use grebespool_settings::{Deployment, ListSource, Listen, settings_text};
use grebespool_wire::FleetKey;
use std::cell::RefCell;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Runs a day's planner, or several controllers of which one leads.
pub trait PlannerHost {
    /// Starts a planner of the deployment that follows the list at `list`, with the key in `key_file`. Returns the
    /// addresses at which proxies can join.
    ///
    /// # Errors
    ///
    /// Returns an error if the planner cannot be started.
    fn start(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<Vec<SocketAddr>>;
    /// Starts the planners that do not run in the middle of a day, without blocking: the emulated servers and callers run on
    /// the same thread.
    ///
    /// # Errors
    ///
    /// Returns an error if no planner can be started.
    fn restart(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<StartingPlanners> {
        let addresses = self.start(deployment, list, key_file)?;
        Ok(StartingPlanners { listening: Some(addresses), starting: vec![] })
    }
    /// Kills the planner without closing its streams in order.
    fn kill(&mut self);
    /// Suspends the planner until it is resumed, at the latest after `most`.
    fn stall(&mut self, most: Duration);
    /// Resumes the suspended planner.
    fn resume(&mut self);
    /// Kills the planners in a zone until the next start. Returns true if there were any.
    fn lose_site(&mut self, _zone: u16) -> bool {
        false
    }
    /// Returns true if each planner has proxies of its own.
    fn spreads(&self) -> bool {
        false
    }
}

/// Planners that were started again.
pub struct StartingPlanners {
    /// The addresses of all planners, if all listen.
    listening: Option<Vec<SocketAddr>>,
    starting: Vec<StartingPlanner>,
}

/// A planner that does not listen yet.
struct StartingPlanner {
    /// The position of its address.
    position: usize,
    /// Receives the address once the planner listens; closed if the planner ends before.
    address: oneshot::Receiver<SocketAddr>,
}

impl StartingPlanners {
    /// Waits until all planners listen, and updates their addresses. A planner that ends before it listens, because it is
    /// killed again, keeps its former address.
    pub async fn update(self, addresses: &RefCell<Vec<SocketAddr>>) {
        if let Some(listening) = self.listening {
            *addresses.borrow_mut() = listening;
        }
        for planner in self.starting {
            match planner.address.await {
                Ok(address) => addresses.borrow_mut()[planner.position] = address,
                Err(_) => eprintln!("a planner ended before it listened"),
            }
        }
    }
}

/// A command to the planner's thread.
enum HostCommand {
    /// Block the thread until the channel closes, at most for this long.
    Stall(Duration, std::sync::mpsc::Receiver<()>),
    /// End the thread.
    Stop,
}

/// The thread of a running planner.
struct PlannerThread {
    commands: mpsc::UnboundedSender<HostCommand>,
    thread: JoinHandle<()>,
    resume: Option<std::sync::mpsc::Sender<()>>,
}

/// Runs the planner on a thread and a runtime of its own. A test can set a filter between its controller and its
/// streams.
pub struct ThreadHost {
    starts: u64,
    seed: u64,
    stall: Duration,
    filter: fn() -> Box<dyn UpdateFilter>,
    running: Option<PlannerThread>,
}

impl ThreadHost {
    /// Creates a host. `stall` is the time for which proxies may leave bytes unread or updates unacknowledged.
    pub fn new(seed: u64, stall: Duration) -> ThreadHost {
        Self::with_filter(seed, stall, || Box::new(PassThrough))
    }

    /// Creates a host whose updates pass through a filter.
    pub fn with_filter(seed: u64, stall: Duration, filter: fn() -> Box<dyn UpdateFilter>) -> ThreadHost {
        ThreadHost { starts: 0, seed, stall, filter, running: None }
    }
}

impl PlannerHost for ThreadHost {
    fn start(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<Vec<SocketAddr>> {
        self.kill();
        self.starts += 1;
        let (id, seed) = (1000 * self.seed + self.starts, self.seed + self.starts);
        let incarnation = Incarnation { id, seed, term: 0 };
        let key = FleetKey::derive(&std::fs::read(key_file)?);
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let listen = Listen::new(addr, PathBuf::new(), self.stall, Duration::from_secs(6));
        let (commands, mut commands_received) = mpsc::unbounded_channel();
        let filter = self.filter;
        let config = ServerConfig {
            incarnation,
            key,
            deployment: deployment.clone(),
            listen,
            endpoint_source: list.clone(),
            health_check_timeout: Duration::from_millis(500),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::spawn(move || {
            let tasks = tokio::task::LocalSet::new();
            tasks.block_on(&runtime, async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                let serving = serve(listener, config, BoxedFilter(filter()), NoObserver);
                let commanded = async {
                    loop {
                        match commands_received.recv().await {
                            // This blocks the whole thread, as a suspended machine would.
                            Some(HostCommand::Stall(most, resumed)) => drop(resumed.recv_timeout(most)),
                            Some(HostCommand::Stop) | None => return,
                        }
                    }
                };
                tokio::select! {
                    ended = serving => if let Err(why) = ended {
                        eprintln!("cannot start the planner: {why}");
                    },
                    () = commanded => {}
                }
            });
        });
        self.running = Some(PlannerThread { commands, thread, resume: None });
        Ok(vec![addr])
    }

    fn kill(&mut self) {
        if let Some(mut running) = self.running.take() {
            running.resume.take();
            let _ = running.commands.send(HostCommand::Stop);
            let _ = running.thread.join();
        }
    }

    fn stall(&mut self, most: Duration) {
        if let Some(running) = &mut self.running {
            let (resume, resumed) = std::sync::mpsc::channel();
            running.resume = Some(resume);
            let _ = running.commands.send(HostCommand::Stall(most, resumed));
        }
    }

    fn resume(&mut self) {
        if let Some(running) = &mut self.running {
            running.resume.take();
        }
    }
}

impl Drop for ThreadHost {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes a boxed filter usable as a filter.
struct BoxedFilter(Box<dyn UpdateFilter>);

impl UpdateFilter for BoxedFilter {
    fn filter(
        &mut self,
        stream: grebespool_controller::StreamId,
        update: grebespool_wire::Update,
    ) -> Option<grebespool_wire::Update> {
        self.0.filter(stream, update)
    }
}

/// Runs the planner as a process, and kills and suspends it by signals.
pub struct ProcessHost {
    program: PathBuf,
    folder: tempfile::TempDir,
    stall: Duration,
    arguments: Vec<String>,
    child: Option<Child>,
}

impl ProcessHost {
    /// Creates a host. `program` is the path of the command line. `stall` is the time for which proxies may leave
    /// bytes unread or updates unacknowledged.
    ///
    /// # Errors
    ///
    /// Returns an error if no folder can be created for the settings.
    pub fn new(program: PathBuf, stall: Duration) -> io::Result<ProcessHost> {
        let folder = tempfile::tempdir()?;
        Ok(ProcessHost { program, folder, stall, arguments: vec![], child: None })
    }

    /// Adds arguments of `serve`.
    pub fn with(mut self, arguments: &[&str]) -> ProcessHost {
        self.arguments = arguments.iter().map(|a| a.to_string()).collect();
        self
    }

    /// Returns the id of the process, if it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
        }
    }

    /// Starts the process, and returns its output.
    fn launch(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<ChildStdout> {
        self.kill();
        let file = self.folder.path().join("settings.ncl");
        std::fs::write(&file, settings_text(deployment, list, key_file, self.stall))?;
        let mut command = Command::new(&self.program);
        command.args(["--log", "error", "serve", "--listen", "127.0.0.1:0"]).arg(&file).args(&self.arguments);
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let output = child.stdout.take();
        self.child = Some(child);
        output.ok_or_else(|| io::Error::other("the planner has no output"))
    }

    /// Starts the process, and returns its address once it listens.
    fn launch_in_background(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<oneshot::Receiver<SocketAddr>> {
        let output = self.launch(deployment, list, key_file)?;
        let (sender, address) = oneshot::channel();
        std::thread::spawn(move || read_address(output).map(|address| sender.send(address)));
        Ok(address)
    }
}

/// Waits until a planner prints the address at which it listens.
fn read_address(output: ChildStdout) -> io::Result<SocketAddr> {
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    let address = line.trim().strip_prefix("listening at ").and_then(|address| address.parse().ok());
    address.ok_or_else(|| io::Error::other(format!("the planner did not start ({line:?})")))
}

impl PlannerHost for ProcessHost {
    fn start(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<Vec<SocketAddr>> {
        let output = self.launch(deployment, list, key_file)?;
        Ok(vec![read_address(output)?])
    }

    fn restart(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<StartingPlanners> {
        let address = self.launch_in_background(deployment, list, key_file)?;
        Ok(StartingPlanners { listening: None, starting: vec![StartingPlanner { position: 0, address }] })
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn stall(&mut self, _: Duration) {
        self.signal("-STOP");
    }

    fn resume(&mut self) {
        self.signal("-CONT");
    }
}

impl Drop for ProcessHost {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs several planners that share nothing, each as a process, assigned to the zones in turn. Each kill or stall
/// hits the next planner in turn.
pub struct SeveralHost {
    planners: Vec<ProcessHost>,
    addresses: Vec<SocketAddr>,
    zones: usize,
    turn: usize,
}

impl SeveralHost {
    /// Creates a host of this number of planners. `program` and `stall` are as for [`ProcessHost::new`].
    ///
    /// # Errors
    ///
    /// Returns an error if no folder can be created for the settings.
    pub fn new(program: &Path, stall: Duration, planners: usize) -> io::Result<SeveralHost> {
        let each = (0..planners).map(|_| ProcessHost::new(program.to_path_buf(), stall));
        let planners: Vec<ProcessHost> = each.collect::<io::Result<_>>()?;
        Ok(SeveralHost { planners, addresses: vec![], zones: 1, turn: 0 })
    }

    /// Returns the ids of the processes that run.
    pub fn ids(&self) -> Vec<u32> {
        self.planners.iter().filter_map(ProcessHost::id).collect()
    }
}

impl PlannerHost for SeveralHost {
    /// Starts the planners that do not run.
    fn start(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<Vec<SocketAddr>> {
        self.zones = deployment.zones.len().max(1);
        for (i, planner) in self.planners.iter_mut().enumerate().filter(|(_, p)| p.id().is_none()) {
            let address = planner.start(deployment, list, key_file)?[0];
            match self.addresses.get_mut(i) {
                Some(old) => *old = address,
                None => self.addresses.push(address),
            }
        }
        Ok(self.addresses.clone())
    }

    fn restart(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key_file: &Path,
    ) -> io::Result<StartingPlanners> {
        let mut starting = vec![];
        for (position, planner) in self.planners.iter_mut().enumerate().filter(|(_, p)| p.id().is_none()) {
            let address = planner.launch_in_background(deployment, list, key_file)?;
            starting.push(StartingPlanner { position, address });
        }
        Ok(StartingPlanners { listening: None, starting })
    }

    fn kill(&mut self) {
        let next = self.turn % self.planners.len();
        self.turn += 1;
        self.planners[next].kill();
    }

    fn stall(&mut self, most: Duration) {
        let next = self.turn % self.planners.len();
        self.planners[next].stall(most);
    }

    fn resume(&mut self) {
        let next = self.turn % self.planners.len();
        self.planners[next].resume();
        self.turn += 1;
    }

    fn lose_site(&mut self, zone: u16) -> bool {
        let in_zone: Vec<usize> =
            (0..self.planners.len()).filter(|i| i % self.zones == usize::from(zone)).collect();
        in_zone.iter().for_each(|i| self.planners[*i].kill());
        !in_zone.is_empty()
    }

    fn spreads(&self) -> bool {
        true
    }
}
