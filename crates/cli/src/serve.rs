//! `serve`: runs a planner until it is interrupted or terminated.

use crate::error::CommandError;
use crate::record::Recording;
use grebespool_cluster::{
    AccountSettings, LIMITS, Member, MemberConfig, Request, Response, Role, SiteRequest, Store, TaskSettings,
    fleet_id, run_member,
};
use grebespool_config_consensus::{ConsensusSettings, LeaseParameters, ValidationRules};
use grebespool_controller::{Incarnation, SiteOrder};
use grebespool_controller_server::{
    Observer, PassThrough, ServerConfig, SiteQuery, SiteRequest as ControllerSiteRequest, UpdateFilter,
    redirect_to_leader, serve as serve_controller,
};
use grebespool_leader_election::{LeaseParameters as ElectionParameters, Snapshot};
use grebespool_settings::{Members, Planned};
use grebespool_singleton_tasks::{Counts, NO_ROUTE, TaskLeaseParameters};
use grebespool_wire::{EndpointList, FleetKey, RouteLoad, ServerLoad, Update};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::Instant;
use tracing::{info, warn};

/// Length of the shortest key that is accepted, in bytes.
const MIN_KEY_LENGTH: usize = 16;

/// Waits for an interrupt or for the termination signal of service managers.
async fn stop_requested() -> std::io::Result<()> {
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        stopped = tokio::signal::ctrl_c() => stopped,
        _ = terminated.recv() => Ok(()),
    }
}

/// Runs a planner until it is interrupted or terminated.
///
/// # Errors
///
/// Returns an error if the settings, the key or the recording cannot be used, or if the address cannot be listened at.
pub(crate) fn serve(
    file: &Path,
    listen: Option<SocketAddr>,
    record: Option<&Path>,
    anonymization_key: Option<&Path>,
) -> Result<ExitCode, CommandError> {
    let planned = Planned::read(file)?;
    let key_file = &planned.listen.key_file;
    let key = read_key(file, key_file)?;
    let incarnation = incarnation_in_term(0);
    let recording = match record {
        Some(path) => Recording::begin(path, anonymization_key, incarnation.id, &planned.deployment)?,
        None => Recording::none(),
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        let address = listen.unwrap_or(planned.listen.address);
        let listener = std::net::TcpListener::bind(address)
            .and_then(|l| l.set_nonblocking(true).map(|()| l))
            .map_err(|cause| CommandError::Listen { whom: "", address, cause })?;
        let began = Instant::now();
        let serving = async {
            match planned.members.clone() {
                Some(members) => run_role(file, listener, planned, members, &key, &recording).await,
                None => {
                    let listener = announce(listener)?;
                    run_planner(file, listener, incarnation, &planned, &key, PassThrough, recording.clone())
                        .await
                }
            }
        };
        tokio::select! {
            ended = serving => ended?,
            stopped = stop_requested() => stopped?,
        }
        let lost = recording.finish(began.elapsed())?;
        if lost > 0 {
            warn!(lost, "cannot record every event because the disk does not keep up; leaving gaps");
        }
        Ok(ExitCode::SUCCESS)
    })
}

/// Reads the key that proxies and planners share.
fn read_key(settings: &Path, key_file: &Path) -> Result<Vec<u8>, CommandError> {
    let key = std::fs::read(key_file).map_err(|cause| CommandError::KeyFile {
        settings: settings.to_path_buf(),
        key_file: key_file.to_path_buf(),
        cause,
    })?;
    if key.len() < MIN_KEY_LENGTH {
        let (key_file, length) = (key_file.to_path_buf(), key.len());
        return Err(CommandError::ShortKey { key_file, min: MIN_KEY_LENGTH, length });
    }
    Ok(key)
}

/// Returns a new incarnation of a planner in a term.
fn incarnation_in_term(term: u64) -> Incarnation {
    Incarnation { id: rand::random::<u64>() | 1, seed: rand::random(), term }
}

/// Prints the address on standard output, for the process that started this one with port 0. Nothing else is printed
/// there, and other programs match the text.
fn announce(listener: std::net::TcpListener) -> std::io::Result<TcpListener> {
    // The reader of standard output may be gone, which does not stop the planner.
    let mut out = std::io::stdout();
    let _ = writeln!(out, "listening at {}", listener.local_addr()?).and_then(|()| out.flush());
    TcpListener::from_std(listener)
}

/// Serves proxies as a planner.
async fn run_planner(
    file: &Path,
    listener: TcpListener,
    incarnation: Incarnation,
    planned: &Planned,
    key: &[u8],
    filter: impl UpdateFilter,
    observer: impl Observer,
) -> Result<(), CommandError> {
    let Planned { deployment, listen, list, probe_limit, .. } = planned.clone();
    let config = ServerConfig {
        incarnation,
        key: FleetKey::derive(key),
        deployment,
        listen,
        endpoint_source: list,
        health_check_timeout: probe_limit.0,
    };
    serve_controller(listener, config, filter, observer).await.map_err(CommandError::file(file))
}

/// Passes updates only while this controller holds the lease of its term.
struct LeaderFilter {
    member: Member,
    term: u64,
}

impl UpdateFilter for LeaderFilter {
    fn filter(&mut self, _: u32, update: Update) -> Option<Update> {
        self.member.may_order(self.term).then_some(update)
    }
}

/// Passes the events of a leading controller to its member and to the recording.
struct LeaderObserver {
    member: Member,
    term: u64,
    /// Number of the last snapshot in this term.
    snapshot_number: u64,
    snapshot_interval: Duration,
    /// The snapshot that the controller starts from.
    initial_snapshot: Option<Box<Snapshot>>,
    recording: Recording,
    /// Names of the zones.
    zones: Vec<String>,
    /// Index of the zone of each joined proxy, by the proxy's name.
    proxy_zones: BTreeMap<String, u16>,
}

impl Observer for LeaderObserver {
    fn endpoints_received(&mut self, now: Duration, list: &EndpointList) {
        self.recording.endpoints_received(now, list);
    }
    fn proxy_joined(&mut self, now: Duration, name: &str, zone: &str, initial_table_only: bool) {
        self.recording.proxy_joined(now, name, zone, initial_table_only);
        let zone = self.zones.iter().position(|z| z == zone).unwrap_or_default();
        self.proxy_zones.insert(name.into(), zone as u16);
    }
    fn proxy_left(&mut self, now: Duration, name: &str) {
        self.recording.proxy_left(now, name);
        self.proxy_zones.remove(name);
    }
    fn calls_reported(&mut self, now: Duration, name: &str, routes: &[RouteLoad]) {
        self.recording.calls_reported(now, name, routes);
        let zone = self.proxy_zones.get(name).copied().unwrap_or_default();
        for load in routes {
            self.member.count_requests(
                zone,
                load.route,
                Counts { requests: u64::from(load.calls), ..Counts::default() },
            );
        }
    }
    fn load_reported(&mut self, name: &str, servers: &[ServerLoad]) {
        let sum = |of: fn(&ServerLoad) -> u32| servers.iter().map(|load| u64::from(of(load))).sum();
        let (attempts, unanswered) = (sum(|load| load.attempts), sum(|load| load.dropped));
        let zone = self.proxy_zones.get(name).copied().unwrap_or_default();
        self.member.count_requests(zone, NO_ROUTE, Counts { attempts, unanswered, ..Counts::default() });
    }
    fn newer_term_seen(&mut self, term: u64) {
        // The call runs in a task of its own: stepping down ends the planner that calls this method.
        let member = self.member.clone();
        spawn_local(async move { member.term_seen(term) });
    }
    fn initial_snapshot(&mut self) -> Option<Snapshot> {
        self.initial_snapshot.take().map(|snapshot| *snapshot)
    }
    fn snapshot_interval(&self) -> Option<Duration> {
        Some(self.snapshot_interval)
    }
    fn site_requests(&mut self) -> Option<mpsc::UnboundedReceiver<ControllerSiteRequest>> {
        let mut requests = self.member.site_requests();
        let (to_controller, site_requests) = mpsc::unbounded_channel();
        spawn_local(async move {
            while let Some(SiteRequest { request, response }) = requests.recv().await {
                let query = match request {
                    Request::Site { site, out, forced, dry_run } => {
                        let order = if out { SiteOrder::TakeOut } else { SiteOrder::Restore };
                        SiteQuery::Command { site, order, forced, dry_run }
                    }
                    _ => SiteQuery::Show,
                };
                let (answer, answered) = oneshot::channel();
                if to_controller.send(ControllerSiteRequest { query, answer }).is_err() {
                    return;
                }
                if let Ok(answer) = answered.await {
                    let _ = response
                        .send(answer.map_or_else(|why| Response::Rejected(why.to_string()), Response::Lines));
                }
            }
        });
        Some(site_requests)
    }
    fn snapshot_taken(&mut self, mut snapshot: Snapshot) {
        self.snapshot_number += 1;
        (snapshot.term, snapshot.number) = (self.term, self.snapshot_number);
        if let Err(why) = self.member.publish_snapshot(&snapshot) {
            warn!(%why, "cannot publish the snapshot for the next leader; retrying with the next snapshot");
        }
    }
}

/// Returns the settings of the singleton tasks that the members share; `None` if there are none.
fn task_settings(members: &Members) -> Option<TaskSettings> {
    let duties = members.duties.as_ref()?;
    let accounts = duties.accounts.as_ref();
    Some(TaskSettings {
        lease: TaskLeaseParameters {
            lease: duties.lease.0,
            renew_interval: duties.renew.0,
            clock_drift: members.drift,
        },
        accounts: accounts.map(|a| AccountSettings {
            folder: a.folder.clone(),
            period: a.period.0,
            slack: a.slack.0,
        }),
        configuration: duties.agree.as_ref().map(|a| ConsensusSettings {
            lease: LeaseParameters {
                duration: a.lease.0,
                renew_interval: a.renew.0,
                clock_drift: members.drift,
            },
            validation: ValidationRules {
                max_withdrawn_share: a.most_withdrawn,
                known_limits: LIMITS.to_vec(),
            },
        }),
    })
}

/// Starts this controller as a member of the fleet and returns its handle and its role. The member runs until `tasks` is
/// dropped.
async fn start_member(
    file: &Path,
    members: &Members,
    tasks: &mut JoinSet<()>,
) -> Result<(Member, watch::Receiver<Role>), CommandError> {
    let (store, hard_state) = Store::open(&members.folder, fleet_id(&members.fleet))?;
    if hard_state.membership.version.term == 0
        && !hard_state.membership.voters.is_empty()
        && hard_state.membership != crate::members::formed_membership(members)
    {
        let (settings, folder) = (file.to_path_buf(), members.folder.clone());
        return Err(CommandError::OtherMembers { settings, folder });
    }
    let address = members.listen.unwrap_or(members.address);
    let listener = TcpListener::bind(address).await.map_err(|cause| CommandError::Listen {
        whom: " for members",
        address,
        cause,
    })?;
    let election = ElectionParameters {
        heartbeat_interval: members.beat.0,
        lease: members.lease.0,
        clock_drift: members.drift,
    };
    let config = MemberConfig {
        listener,
        name: members.name.clone(),
        store,
        election_state: hard_state,
        election,
        key_file: members.key_file.clone(),
        weights_lifetime: members.weights_kept.0,
        tasks: task_settings(members),
    };
    Ok(run_member(config, tasks)?)
}

/// Runs a controller of a fleet: as a planner while it leads, and as a redirector of proxies while it follows.
async fn run_role(
    file: &Path,
    listener: std::net::TcpListener,
    planned: Planned,
    members: Members,
    key: &[u8],
    recording: &Recording,
) -> Result<(), CommandError> {
    let mut tasks = JoinSet::new();
    let (member, mut roles) = start_member(file, &members, &mut tasks).await?;
    drop(announce(listener.try_clone()?)?);
    loop {
        let role = roles.borrow_and_update().clone();
        let role_listener = listener.try_clone().and_then(TcpListener::from_std)?;
        let running = async {
            match role {
                Role::Follower => {
                    let member = member.clone();
                    redirect_to_leader(role_listener, move || member.leader()).await;
                    Ok(())
                }
                Role::Leader { term, snapshot } => {
                    let filter = LeaderFilter { member: member.clone(), term };
                    let observer = LeaderObserver {
                        member: member.clone(),
                        term,
                        snapshot_number: 0,
                        snapshot_interval: members.remember.0,
                        initial_snapshot: snapshot,
                        recording: recording.clone(),
                        zones: planned.deployment.zones.clone(),
                        proxy_zones: BTreeMap::new(),
                    };
                    let incarnation = incarnation_in_term(term);
                    run_planner(file, role_listener, incarnation, &planned, key, filter, observer).await
                }
            }
        };
        tokio::select! {
            ended = running => return ended,
            // Without its member's tasks, the planner may send no updates, and its proxies would stay with it.
            Some(ended) = tasks.join_next() => {
                if let Err(error) = ended && error.is_panic() {
                    std::panic::resume_unwind(error.into_panic());
                }
                return Err(CommandError::MemberEnded);
            }
            changed = roles.changed() => {
                changed.map_err(|_| CommandError::MemberEnded)?;
                info!(role = roles.borrow().name(), "changing the role");
            }
        }
    }
}
