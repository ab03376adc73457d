//! `serve`: a planner until it is told to stop.

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
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::Instant;
use tracing::{info, warn};

/// Bytes of the shortest key that is accepted.
const MIN_KEY_LENGTH: usize = 16;

/// An interrupt, or what service managers send.
async fn told_to_stop() -> std::io::Result<()> {
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        stopped = tokio::signal::ctrl_c() => stopped,
        _ = terminated.recv() => Ok(()),
    }
}

/// Runs until interrupted. Errors are bad input, or an address that cannot be had.
pub fn serve(
    file: &Path,
    listen: Option<SocketAddr>,
    record: Option<&Path>,
    cloak: Option<&Path>,
) -> Result<ExitCode, CommandError> {
    let planned = Planned::read(file)?;
    let key_file = &planned.listen.key_file;
    let key = read_key(file, key_file)?;
    let start = start_in(0);
    let recording = match record {
        Some(path) => Recording::begin(path, cloak, start.id, &planned.deployment)?,
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
                Some(members) => lead_or_follow(file, listener, planned, members, &key, &recording).await,
                None => {
                    let listener = told_open(listener)?;
                    plan(file, listener, start, &planned, &key, PassThrough, recording.clone()).await
                }
            }
        };
        tokio::select! {
            ended = serving => ended?,
            stopped = told_to_stop() => stopped?,
        }
        let lost = recording.finish(began.elapsed())?;
        if lost > 0 {
            warn!(lost, "events are missing in the recording: its disk did not keep up");
        }
        Ok(ExitCode::SUCCESS)
    })
}

/// The key that proxies and planners share.
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

fn start_in(term: u64) -> Incarnation {
    Incarnation { id: rand::random::<u64>() | 1, seed: rand::random(), term }
}

/// For whoever starts it with port 0; standard output has nothing else.
fn told_open(listener: std::net::TcpListener) -> std::io::Result<TcpListener> {
    // Whoever started it may have gone since; that is no reason to stop.
    let mut out = std::io::stdout();
    let _ = writeln!(out, "listening at {}", listener.local_addr()?).and_then(|()| out.flush());
    TcpListener::from_std(listener)
}

async fn plan(
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

/// Lets orders out only while this controller may give them.
struct Gate {
    member: Member,
    epoch: u64,
}

impl UpdateFilter for Gate {
    fn filter(&mut self, _: u32, update: Update) -> Option<Update> {
        self.member.may_order(self.epoch).then_some(update)
    }
}

/// What a controller that leads tells its member, beside what is recorded.
struct Leading {
    member: Member,
    epoch: u64,
    number: u64,
    every: Duration,
    memory: Option<Box<Snapshot>>,
    recording: Recording,
    /// The zones' names, and each joined proxy's zone by its place among them.
    zones: Vec<String>,
    at: BTreeMap<String, u16>,
}

impl Observer for Leading {
    fn endpoints_received(&mut self, now: Duration, list: &EndpointList) {
        self.recording.endpoints_received(now, list);
    }
    fn proxy_joined(&mut self, now: Duration, name: &str, zone: &str, initial_table_only: bool) {
        self.recording.proxy_joined(now, name, zone, initial_table_only);
        let zone = self.zones.iter().position(|z| z == zone).unwrap_or_default();
        self.at.insert(name.into(), zone as u16);
    }
    fn proxy_left(&mut self, now: Duration, name: &str) {
        self.recording.proxy_left(now, name);
        self.at.remove(name);
    }
    fn calls_reported(&mut self, now: Duration, name: &str, routes: &[RouteLoad]) {
        self.recording.calls_reported(now, name, routes);
        let zone = self.at.get(name).copied().unwrap_or_default();
        for line in routes {
            self.member.count_requests(
                zone,
                line.route,
                Counts { requests: u64::from(line.calls), ..Counts::default() },
            );
        }
    }
    fn load_reported(&mut self, name: &str, servers: &[ServerLoad]) {
        let sum = |of: fn(&ServerLoad) -> u32| servers.iter().map(|load| u64::from(of(load))).sum();
        let (tries, dropped) = (sum(|load| load.attempts), sum(|load| load.dropped));
        let zone = self.at.get(name).copied().unwrap_or_default();
        self.member.count_requests(
            zone,
            NO_ROUTE,
            Counts { attempts: tries, unanswered: dropped, ..Counts::default() },
        );
    }
    fn newer_term_seen(&mut self, term: u64) {
        // Not from within the planner's own turn: standing down ends it.
        let member = self.member.clone();
        spawn_local(async move { member.term_seen(term) });
    }
    fn initial_snapshot(&mut self) -> Option<Snapshot> {
        self.memory.take().map(|m| *m)
    }
    fn snapshot_interval(&self) -> Option<Duration> {
        Some(self.every)
    }
    fn site_requests(&mut self) -> Option<mpsc::UnboundedReceiver<ControllerSiteRequest>> {
        let mut requests = self.member.site_requests();
        let (to, asks) = mpsc::unbounded_channel();
        spawn_local(async move {
            while let Some(SiteRequest { request, response }) = requests.recv().await {
                let query = match request {
                    Request::Site { site, out, forced, dry_run: dry } => {
                        let order = if out { SiteOrder::TakeOut } else { SiteOrder::Restore };
                        SiteQuery::Command { site, order, forced, dry_run: dry }
                    }
                    _ => SiteQuery::Show,
                };
                let (tell, told) = oneshot::channel();
                if to.send(ControllerSiteRequest { query, answer: tell }).is_err() {
                    return;
                }
                if let Ok(told) = told.await {
                    let _ = response
                        .send(told.map_or_else(|why| Response::Rejected(why.to_string()), Response::Lines));
                }
            }
        });
        Some(asks)
    }
    fn snapshot_taken(&mut self, mut memory: Snapshot) {
        self.number += 1;
        (memory.term, memory.number) = (self.epoch, self.number);
        if let Err(why) = self.member.publish_snapshot(&memory) {
            warn!(%why, "what is known cannot be kept for the next leader");
        }
    }
}

/// The work that the members share out, by their settings.
fn fleetwork(members: &Members) -> Option<TaskSettings> {
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

/// A controller among others: plans while it leads, and sends proxies on while it does not.
async fn lead_or_follow(
    file: &Path,
    listener: std::net::TcpListener,
    planned: Planned,
    members: Members,
    key: &[u8],
    recording: &Recording,
) -> Result<(), CommandError> {
    let (store, kept) = Store::open(&members.folder, fleet_id(&members.fleet))?;
    if kept.membership.version.term == 0
        && !kept.membership.voters.is_empty()
        && kept.membership != crate::members::formed_membership(&members)
    {
        let (settings, folder) = (file.to_path_buf(), members.folder.clone());
        return Err(CommandError::OtherMembers { settings, folder });
    }
    let at = members.listen.unwrap_or(members.address);
    let between = TcpListener::bind(at).await.map_err(|cause| CommandError::Listen {
        whom: " for members",
        address: at,
        cause,
    })?;
    let terms = ElectionParameters {
        heartbeat_interval: members.beat.0,
        lease: members.lease.0,
        clock_drift: members.drift,
    };
    let mut tasks = JoinSet::new();
    let config = MemberConfig {
        listener: between,
        name: members.name.clone(),
        store,
        election_state: kept,
        election: terms,
        key_file: members.key_file.clone(),
        weights_lifetime: members.weights_kept.0,
        tasks: fleetwork(&members),
    };
    let (member, mut roles) = run_member(config, &mut tasks)?;
    drop(told_open(listener.try_clone()?)?);
    loop {
        let role = roles.borrow_and_update().clone();
        let own = listener.try_clone().and_then(TcpListener::from_std)?;
        let acting = async {
            match role {
                Role::Follower => {
                    let known = member.clone();
                    redirect_to_leader(own, move || known.leader()).await;
                    Ok(())
                }
                Role::Leader { term: epoch, snapshot: memory } => {
                    let gate = Gate { member: member.clone(), epoch };
                    let watch = Leading {
                        member: member.clone(),
                        epoch,
                        number: 0,
                        every: members.remember.0,
                        memory,
                        recording: recording.clone(),
                        zones: planned.deployment.zones.clone(),
                        at: BTreeMap::new(),
                    };
                    plan(file, own, start_in(epoch), &planned, key, gate, watch).await
                }
            }
        };
        tokio::select! {
            ended = acting => return ended,
            // A member that is not run any more would leave its proxies with a planner that may order nothing.
            Some(ended) = tasks.join_next() => {
                if let Err(error) = ended && error.is_panic() {
                    std::panic::resume_unwind(error.into_panic());
                }
                return Err(CommandError::MemberEnded);
            }
            changed = roles.changed() => {
                changed.map_err(|_| CommandError::MemberEnded)?;
                info!(role = roles.borrow().name(), "changes its role");
            }
        }
    }
}
