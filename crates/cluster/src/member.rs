//! The start of a member, the handle to a running member, and its loops.

use crate::accounts::PeriodCloser;
use crate::configuration_host::ConfigurationHost;
use crate::core::{Core, TimedSnapshot};
use crate::election_host::{ElectionHost, Role};
use crate::endpoint::LocalEndpoint;
use crate::keys::{KeyFile, KeyFileError};
use crate::listener::accept_loop;
use crate::request::SiteRequest;
use crate::store::Store;
use crate::task_host::{TaskHost, TaskSettings};
use crate::transport::Identity;
use crate::writer::{DiskWriter, WriteResult};
use grebespool_leader_election::{HardState, LeaseParameters, Member as Election, Snapshot, SnapshotError};
use grebespool_singleton_tasks::Counts;
use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use tracing::warn;

/// Time between two writes of the counted requests; requests counted since the last write are lost if the process ends.
const TALLY_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time that a timer waits before it checks its deadline again, so that no deadline overflows the clock.
const MAX_TIMER_WAIT: Duration = Duration::from_secs(3600);

/// The configuration of a member at its start.
pub struct MemberConfig {
    /// Listener for streams of other members and operators.
    pub listener: TcpListener,
    /// Name of the member.
    pub name: String,
    /// State folder of the member.
    pub store: Store,
    /// The state of the election that was read from the state folder.
    pub election_state: HardState,
    /// Parameters of the election's leases.
    pub election: LeaseParameters,
    /// Path of the file with the keys that members share.
    pub key_file: PathBuf,
    /// Time over which learnt weights of a snapshot lose their influence.
    pub weights_lifetime: Duration,
    /// Settings of the singleton tasks, if there are any.
    pub tasks: Option<TaskSettings>,
}

/// Reasons why a member cannot be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The key file cannot be used.
    #[error("{path}: {source}")]
    Keys {
        /// Path of the file.
        path: String,
        /// Cause of the error.
        source: KeyFileError,
    },
    /// The snapshots on disk cannot be read.
    #[error("cannot read the newest snapshot of a leader: {0}")]
    Snapshot(#[source] io::Error),
    /// The journals of singleton tasks on disk cannot be read.
    #[error("cannot read the journals of singleton tasks: {0}")]
    Tasks(#[source] io::Error),
    /// The configuration versions on disk cannot be read.
    #[error("cannot read the stored configuration versions: {0}")]
    Configuration(#[source] io::Error),
}

/// A handle to a running member. Cheap to clone.
#[derive(Clone)]
pub struct Member(Rc<Core>);

impl Member {
    /// Returns true if an order of this term may be sent now: this member leads in the term and its lease is valid.
    pub fn may_order(&self, term: u64) -> bool {
        let election = self.0.election.borrow();
        election.term() == term && election.holds_lease(self.0.now())
    }

    /// Records that a proxy has received orders of this term.
    pub fn term_seen(&self, term: u64) {
        self.0.call_election(|election, now| election.higher_term_seen(now, term));
    }

    /// Returns a receiver of requests about sites, which are rejected once the receiver is dropped.
    pub fn site_requests(&self) -> mpsc::UnboundedReceiver<SiteRequest> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.0.site_requests.borrow_mut() = Some(sender);
        receiver
    }

    /// Counts the requests of a proxy in this zone on a route, over one cycle of the proxy.
    pub fn count_requests(&self, zone: u16, route: u8, counts: Counts) {
        self.0.count_requests(zone, route, counts);
    }

    /// Returns the leader's name, if a leader is known.
    pub fn leader(&self) -> Option<String> {
        let election = self.0.election.borrow();
        let voters = &election.hard_state().membership.voters;
        election.leader().and_then(|id| voters.get(&id).map(|voter| voter.name.clone()))
    }

    /// Writes a snapshot of this leader to disk, and sends it to all other members.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot is too large.
    pub fn publish_snapshot(&self, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        self.0.publish_snapshot(snapshot)
    }
}

/// Runs a member on the current `LocalSet` until `tasks` is dropped. Returns the member's handle, and a receiver of its role.
///
/// # Errors
///
/// Returns an error if the key file cannot be used or the state folder cannot be read.
pub fn run_member(
    config: MemberConfig,
    tasks: &mut JoinSet<()>,
) -> Result<(Member, watch::Receiver<Role>), StartError> {
    let (write_results, written) = mpsc::unbounded_channel();
    let (role, roles) = watch::channel(Role::Follower);
    let (core, listener) = open_core(config, role, &write_results)?;
    let core = Rc::new(core);
    core.update_links();
    tasks.spawn_local(accept_loop(core.clone(), listener));
    tasks.spawn_local(election_timer(core.clone()));
    tasks.spawn_local(write_result_loop(core.clone(), written));
    spawn_tasks(&core, tasks);
    if core.configuration.is_some() {
        tasks.spawn_local(configuration_timer(core.clone()));
    }
    Ok((Member(core), roles))
}

/// Reads the keys and the state folder, and creates the shared state of a member.
fn open_core(
    config: MemberConfig,
    role: watch::Sender<Role>,
    write_results: &mpsc::UnboundedSender<WriteResult>,
) -> Result<(Core, TcpListener), StartError> {
    let MemberConfig { listener, name, store, election_state, election, key_file, weights_lifetime, tasks } =
        config;
    let keys = KeyFile::open(&key_file)
        .map_err(|source| StartError::Keys { path: key_file.display().to_string(), source })?;
    let snapshot = read_snapshot(&store, weights_lifetime)?;
    let (tasks, configuration) = open_tasks(&store, election_state.id, tasks)?;
    let identity = Identity { fleet: election_state.fleet, id: election_state.id };
    let endpoint = Rc::new(LocalEndpoint::new(identity, &name, keys, election_state.revision));
    let host = ElectionHost::new(DiskWriter::start(&Arc::new(store), write_results), role);
    let election = Election::new(host, election_state, election, rand::random(), Duration::ZERO);
    let core = Core {
        started: Instant::now(),
        endpoint,
        election: RefCell::new(election),
        election_timer: Notify::new(),
        tasks,
        configuration,
        links: RefCell::default(),
        snapshot: RefCell::new(snapshot),
        weights_lifetime,
        site_requests: RefCell::default(),
    };
    Ok((core, listener))
}

/// Returns the newest snapshot on disk. Its age is not known, so it is aged by the whole lifetime of weights, and only content
/// that does not become outdated remains.
fn read_snapshot(store: &Store, weights_lifetime: Duration) -> Result<Option<TimedSnapshot>, StartError> {
    let on_damaged =
        |order: (u64, u64), error: SnapshotError| warn!(?order, %error, "setting a damaged snapshot aside");
    let snapshot = store.read_snapshot(on_damaged).map_err(StartError::Snapshot)?;
    Ok(snapshot.map(|snapshot| TimedSnapshot {
        snapshot: snapshot.aged(weights_lifetime, weights_lifetime),
        received: Instant::now(),
    }))
}

/// Opens the singleton tasks and the configuration, each if the settings contain it.
fn open_tasks(
    store: &Store,
    own: u64,
    settings: Option<TaskSettings>,
) -> Result<(Option<TaskHost>, Option<ConfigurationHost>), StartError> {
    let Some(settings) = settings else { return Ok((None, None)) };
    let start_count = store.count_start().map_err(StartError::Tasks)?;
    let consensus = settings.configuration.clone();
    let tasks = TaskHost::open(store, own, start_count, settings).map_err(StartError::Tasks)?;
    let open = |settings| ConfigurationHost::open(store, own, start_count, settings);
    let configuration = consensus.map(open).transpose().map_err(StartError::Configuration)?;
    Ok((Some(tasks), configuration))
}

fn spawn_tasks(core: &Rc<Core>, tasks: &mut JoinSet<()>) {
    let Some(host) = &core.tasks else { return };
    core.update_voters();
    tasks.spawn_local(task_timer(core.clone()));
    if let (Some(settings), Some(task)) = (host.settings.accounts.clone(), host.accounts_task()) {
        tasks.spawn_local(tally_write_loop(core.clone()));
        tasks.spawn_local(PeriodCloser::new(core.clone(), settings, task).run());
    }
}

/// Waits until a deadline of the member's clock, or until the deadline may have changed. Returns false if the deadline may
/// have changed.
async fn wait_for_timer(core: &Core, deadline: Duration, changed: &Notify) -> bool {
    let deadline = core.started + deadline.min(core.now() + MAX_TIMER_WAIT);
    tokio::select! {
        () = sleep_until(deadline) => true,
        () = changed.notified() => false,
    }
}

async fn election_timer(core: Rc<Core>) {
    loop {
        let deadline = core.election.borrow().next_deadline();
        if wait_for_timer(&core, deadline, &core.election_timer).await {
            core.call_election(|election, now| election.timer_fired(now));
        }
    }
}

async fn task_timer(core: Rc<Core>) {
    let Some(host) = &core.tasks else { return };
    loop {
        let deadline = host.tasks.borrow().next_deadline();
        if wait_for_timer(&core, deadline, &host.timer).await {
            core.call_tasks(|tasks, now| tasks.timer_fired(now));
        }
    }
}

async fn configuration_timer(core: Rc<Core>) {
    let Some(host) = &core.configuration else { return };
    loop {
        let deadline = host.node.borrow().next_timer();
        if wait_for_timer(&core, deadline, &host.timer).await {
            core.call_configuration(|node, now| node.timer_fired(now));
        }
    }
}

/// Reports the results of writes to the state machines that wait for them.
async fn write_result_loop(core: Rc<Core>, mut results: mpsc::UnboundedReceiver<WriteResult>) {
    while let Some(result) = results.recv().await {
        match result {
            WriteResult::Entries(stamp) => {
                core.call_tasks(|tasks, now| tasks.persisted(now, stamp));
            }
            WriteResult::Versions(stamp) => {
                core.call_configuration(|node, now| node.persisted(now, stamp));
            }
            WriteResult::Election(stamp) => {
                core.call_election(|election, now| election.persisted(now, stamp))
            }
            WriteResult::ElectionFailed(error) => {
                warn!(%error, "cannot write the election state; neither voting nor leading until it is written");
                core.call_election(|election, now| election.storage_failed(now));
            }
        }
    }
}

/// Writes the counted requests at intervals, if there are new ones.
async fn tally_write_loop(core: Rc<Core>) {
    let Some(host) = &core.tasks else { return };
    loop {
        sleep(TALLY_WRITE_INTERVAL).await;
        if host.counted.take() {
            let tally = host.tasks.borrow_mut().tally().clone();
            core.election.borrow_mut().host().disk.write_tally(tally);
        }
    }
}
