//! Runs a day: the emulated systems around a real planner, with the day's faults.

use crate::clients::Clients;
use crate::host::PlannerHost;
use crate::idle_proxy::run_idle_proxy;
use crate::link::{Break, Link};
use crate::list::ServerList;
use crate::proxy::Proxy;
use crate::server::Server;
use crate::world::World;
use grebespool_invariants::{Event, Record, Verdict, check};
use grebespool_server_model::{ServerSpec, ServiceLevel, ServiceLevelRecorder, invariant_facts};
use grebespool_settings::{Day, ListSource, Trouble, What};
use grebespool_trace::Recorder;
use grebespool_wire::{EndpointEntry, EndpointState, FleetKey, ServerId};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until};

/// The result of a rehearsed day.
pub struct RehearsedDay {
    /// All events of the day.
    pub record: Record,
    /// One verdict for each rule.
    pub verdicts: [Verdict; 5],
    /// The service level that the clients got.
    pub service: ServiceLevel,
}

impl RehearsedDay {
    /// Returns true if no rule was violated.
    pub fn kept(&self) -> bool {
        self.verdicts.iter().all(|v| v.first.is_none())
    }
}

/// Receives the progress of a running day.
pub trait Progress {
    /// Reports the time since the day's beginning, and the day's length.
    fn at(&mut self, now: Duration, of: Duration);
    /// Reports a fault that begins.
    fn trouble(&mut self, now: Duration, what: &What);
}

/// Runs a day on loopback in real time, and checks the rules over its events. Takes slightly longer than the day's
/// length. Writes what a replay needs to `recorder` while the day runs.
///
/// # Errors
///
/// Returns an error if a socket cannot be opened or a planner cannot be started.
pub fn rehearse(
    day: &Day,
    host: Box<dyn PlannerHost>,
    progress: Option<Box<dyn Progress>>,
    recorder: Option<Recorder>,
) -> io::Result<RehearsedDay> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = LocalSet::new();
    let record = tasks.block_on(&runtime, run_day(day, host, progress, recorder))?;
    let verdicts = check(&record, &invariant_facts(day));
    let service = ServiceLevelRecorder::of_record(&record, &day.deployment);
    Ok(RehearsedDay { verdicts, service, record })
}

/// The emulated systems of a running day, on which its faults act.
struct FaultDay {
    world: Rc<World>,
    servers: Vec<Rc<Server>>,
    proxies: Vec<Rc<Proxy>>,
    list: Rc<ServerList>,
    first_list: Vec<EndpointEntry>,
    host: RefCell<Box<dyn PlannerHost>>,
    planners: Rc<RefCell<Vec<std::net::SocketAddr>>>,
    source: ListSource,
    key_file: std::path::PathBuf,
    rng: RefCell<Pcg64Mcg>,
    next_number: Cell<u32>,
    /// Servers that a fault affects. No other fault picks them, because it could undo the first.
    affected_servers: RefCell<BTreeSet<usize>>,
    zones: Rc<RefCell<BTreeMap<ServerId, u16>>>,
    /// Number of the next idle proxy.
    next_idle_number: Cell<u16>,
}

/// Starts the systems of a day, runs the clients and the faults, and returns the record.
// The order of the random draws decides which servers and proxies each fault hits.
#[expect(clippy::too_many_lines, reason = "the stages of a day, in their order")]
async fn run_day(
    day: &Day,
    mut host: Box<dyn PlannerHost>,
    mut progress: Option<Box<dyn Progress>>,
    recorder: Option<Recorder>,
) -> io::Result<Record> {
    let folder = tempfile::tempdir()?;
    let key_file = folder.path().join("fleet.key");
    let key = format!("the key of a rehearsal, seed {}", day.seed);
    std::fs::write(&key_file, &key)?;
    let world = Rc::new(World::new(FleetKey::derive(key.as_bytes()), day.deployment.clone(), recorder));
    let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
    let list = ServerList::new(world.clone(), day.list.late.0).await?;
    let mut servers = vec![];
    for kind in &day.servers {
        for _ in 0..kind.count {
            let spec = ServerSpec {
                kind: kind.clone(),
                warm_up: day.deployment.servers.warm_up.0,
                overload_multiple: day.rules.fall_multiple,
                overload_window: day.rules.fall.0,
            };
            servers.push(Server::new(world.clone(), spec, 1 + servers.len() as u32).await?);
        }
    }
    let first_list: Vec<EndpointEntry> =
        servers.iter().map(|s| entry(&world, s, EndpointState::Ready)).collect();
    list.add_initial_entries(first_list.clone());
    let source = ListSource::new(list.addr, day.list.mode, day.list.ask_within);
    let planners = Rc::new(RefCell::new(host.start(&day.deployment, &source, &key_file)?));
    // The day begins only now, because planners that are processes take time to start.
    world.begin();
    world.planner_began();
    let zones: BTreeMap<ServerId, u16> = servers.iter().map(|s| (s.id(), s.zone)).collect();
    let zones = Rc::new(RefCell::new(zones));
    let rate = day.callers.iter().map(|c| c.rate).sum::<f64>() / day.proxy_count() as f64;
    let mut proxies = vec![];
    for kind in &day.proxies {
        for _ in 0..kind.count {
            let (number, zone) = (proxies.len() as u16, world.zone(&kind.zone));
            let link = Link::new(world.clone(), number, zone, planners.clone()).await?;
            // Planners that share nothing have proxies of their own.
            if host.spreads() {
                link.dial_first(usize::from(number));
            }
            let mut near: Vec<ServerId> = servers.iter().filter(|s| s.zone == zone).map(|s| s.id()).collect();
            near.shuffle(&mut rng);
            near.truncate(kind.standing);
            let seed = rng.random();
            let proxy = Proxy::new(
                world.clone(),
                number,
                zone,
                kind.clone(),
                link,
                near,
                zones.clone(),
                seed,
                rate as f32,
            );
            proxies.push(proxy.await?);
        }
    }
    let mut running_clients = JoinSet::new();
    for (i, kind) in day.callers.iter().enumerate() {
        let zone = world.zone(&kind.zone);
        let near: Vec<Rc<Proxy>> = proxies.iter().filter(|p| p.zone == zone).cloned().collect();
        let clients =
            Clients::new(world.clone(), kind.clone(), &near, rng.random(), (i as u64) << 40).await?;
        running_clients.spawn_local(clients.run(day.length.0));
    }
    let fault_day = Rc::new(FaultDay {
        world: world.clone(),
        next_number: Cell::new(1 + servers.len() as u32),
        servers,
        proxies,
        list,
        first_list,
        host: RefCell::new(host),
        planners,
        source,
        key_file,
        rng: RefCell::new(rng),
        affected_servers: RefCell::default(),
        zones,
        next_idle_number: Cell::new(50_000),
    });
    let begun_faults = Rc::new(RefCell::new(Vec::<What>::new()));
    for trouble in day.troubles.clone() {
        let (fault_day, begun_faults) = (fault_day.clone(), begun_faults.clone());
        spawn_local(async move {
            sleep_until(fault_day.world.began() + trouble.at.0).await;
            begun_faults.borrow_mut().push(trouble.what.clone());
            if let Err(error) = fault_day.inject_fault(trouble).await {
                eprintln!("cannot inject a fault: {error}");
            }
        });
    }
    let mut ticks = tokio::time::interval(Duration::from_millis(200));
    loop {
        tokio::select! {
            ended = running_clients.join_next() => if ended.is_none() { break },
            _ = ticks.tick() => if let Some(progress) = &mut progress {
                let now = world.now();
                progress.at(now, day.length.0);
                begun_faults.borrow_mut().drain(..).for_each(|w| progress.trouble(now, &w));
            },
        }
    }
    fault_day.host.borrow_mut().kill();
    if let Some(recorder) = world.recorder.borrow_mut().take() {
        recorder.finish()?;
    }
    Ok(std::mem::take(&mut *world.record.borrow_mut()))
}

/// Returns a server's entry on the list in the given state.
fn entry(world: &World, server: &Server, phase: EndpointState) -> EndpointEntry {
    let zone = world.deployment.zones[usize::from(server.zone)].clone();
    EndpointEntry { server: server.id(), zone, state: phase, started_ms: server.started_ms.get() }
}

impl FaultDay {
    /// Picks servers at random that no fault affects yet, and marks them as affected.
    fn pick_servers(&self, count: usize) -> Vec<usize> {
        let mut free: Vec<usize> =
            (0..self.servers.len()).filter(|i| !self.affected_servers.borrow().contains(i)).collect();
        free.shuffle(&mut *self.rng.borrow_mut());
        free.truncate(count);
        self.affected_servers.borrow_mut().extend(free.iter());
        free
    }

    /// Marks servers as no longer affected.
    fn release_servers(&self, picked: &[usize]) {
        self.affected_servers.borrow_mut().retain(|i| !picked.contains(i));
    }

    /// Picks links at random.
    fn pick_links(&self, count: usize) -> Vec<Rc<Link>> {
        let mut links: Vec<Rc<Link>> = self.proxies.iter().map(|p| p.link.clone()).collect();
        links.shuffle(&mut *self.rng.borrow_mut());
        links.truncate(count);
        links
    }

    /// Returns the number of proxies that a share amounts to, rounded up.
    fn proxy_share(&self, share: f64) -> usize {
        (self.proxies.len() as f64 * share).ceil() as usize
    }

    /// Schedules the publication of a new state of these servers.
    fn schedule_list_change(&self, servers: &[usize], phase: EndpointState) {
        let changed = servers.iter().map(|i| entry(&self.world, &self.servers[*i], phase)).collect();
        self.list.change(changed);
    }

    /// Starts the planner again, and updates the addresses that the links dial.
    async fn start_planner(&self) -> io::Result<()> {
        self.world.planner_began();
        let starting =
            self.host.borrow_mut().restart(&self.world.deployment, &self.source, &self.key_file)?;
        starting.update(&self.planners).await;
        Ok(())
    }

    /// Picks servers, sets a fault on them and clears it at its end.
    async fn apply_for(&self, servers: usize, lasts: Duration, set: impl Fn(&Rc<Server>, bool)) {
        let picked = self.pick_servers(servers);
        picked.iter().for_each(|i| set(&self.servers[*i], true));
        sleep(lasts).await;
        picked.iter().for_each(|i| set(&self.servers[*i], false));
        self.release_servers(&picked);
    }

    /// Injects a fault and ends it after its time.
    #[expect(clippy::too_many_lines, reason = "one arm for each kind of fault")]
    async fn inject_fault(self: Rc<Self>, trouble: Trouble) -> io::Result<()> {
        let lasts = trouble.lasts.0;
        match trouble.what {
            What::Silent { servers } => {
                self.apply_for(servers, lasts, |s, on| s.faults.silent.set(on)).await;
            }
            What::Slow { servers, factor } => {
                self.apply_for(servers, lasts, |s, on| s.set_slowdown(if on { factor } else { 1.0 })).await;
            }
            What::Erring { servers } => {
                self.apply_for(servers, lasts, |s, on| s.faults.erring.set(on)).await;
            }
            What::Frozen { servers } => {
                self.apply_for(servers, lasts, |s, on| s.set_frozen(on)).await;
            }
            What::Lying { servers, figure } => {
                let false_metric = |on: bool| on.then_some(figure as f32);
                self.apply_for(servers, lasts, |s, on| s.faults.false_metric.set(false_metric(on))).await;
            }
            What::Deploy { servers, every, drain, down } => {
                let mut tasks = JoinSet::new();
                for i in self.pick_servers(servers) {
                    tasks.spawn_local(self.clone().redeploy(i, drain.0, down.0, false));
                    sleep(every.0).await;
                }
                while tasks.join_next().await.is_some() {}
            }
            What::Replaced { servers } => {
                for i in self.pick_servers(servers) {
                    self.clone().redeploy(i, Duration::ZERO, Duration::from_millis(100), true).await?;
                }
            }
            // The host decides if another planner takes over. A single planner is started again.
            What::PlannerKilled | What::Takeover => {
                self.host.borrow_mut().kill();
                self.world.put(Event::PlannerKilled);
                sleep(lasts).await;
                self.start_planner().await?;
            }
            What::PlannerStalled => {
                self.world.put(Event::PlannerStalled);
                self.host.borrow_mut().stall(lasts * 2);
                sleep(lasts).await;
                self.host.borrow_mut().resume();
                self.world.put(Event::PlannerResumed);
            }
            What::StreamsBreak { share, mid_frame } => {
                for (i, link) in self.pick_links(self.proxy_share(share)).into_iter().enumerate() {
                    link.break_now(match (mid_frame, i % 3) {
                        (true, _) => Break::MidFrame,
                        (false, 2) => Break::Half,
                        _ => Break::Whole,
                    });
                }
            }
            What::NoPlanner { share } => {
                let links = self.pick_links(self.proxy_share(share));
                for link in &links {
                    link.closed.set(true);
                    link.break_now(Break::Whole);
                }
                sleep(lasts).await;
                links.iter().for_each(|l| l.closed.set(false));
            }
            What::SlowOrders { delay, bytes_per_s } => {
                let links = self.pick_links(usize::MAX);
                links.iter().for_each(|l| (l.delay.set(delay.0), l.bytes_per_s.set(bytes_per_s)).0);
                sleep(lasts).await;
                links.iter().for_each(|l| (l.delay.set(Duration::ZERO), l.bytes_per_s.set(f64::INFINITY)).0);
            }
            What::ListLate { by } => {
                let usual = self.list.delay.get();
                self.list.delay.set(usual + by.0);
                sleep(lasts).await;
                self.list.delay.set(usual);
            }
            What::ListFails => {
                self.list.failing.set(true);
                sleep(lasts).await;
                self.list.failing.set(false);
                self.list.republish(self.list.version());
            }
            What::ListOld => self.list.publish_outdated(self.first_list.clone()),
            What::ListTwice => self.list.republish(self.list.version()),
            What::ZoneCut { zone } => self.partition_zone(self.world.zone(&zone), lasts).await,
            What::ZoneLoss { zone } => self.lose_zone(self.world.zone(&zone), lasts).await?,
            What::SiteLoss { zone } => {
                let zone = self.world.zone(&zone);
                if self.host.borrow_mut().lose_site(zone) {
                    self.world.put(Event::PlannerKilled);
                }
                self.lose_zone(zone, lasts).await?;
                self.start_planner().await?;
            }
            What::Burst { factor } => {
                self.world.rate_factor.set(factor);
                sleep(lasts).await;
                self.world.rate_factor.set(1.0);
            }
            What::Unmarked { proxies } => {
                let links = self.pick_links(proxies);
                links.iter().for_each(|l| l.drops_acks.set(true));
                sleep(lasts).await;
                links.iter().for_each(|l| l.drops_acks.set(false));
            }
            What::Trickle { proxies, bytes_per_s } => {
                let links = self.pick_links(proxies);
                links.iter().for_each(|l| l.reads_per_s.set(bytes_per_s));
                sleep(lasts).await;
                links.iter().for_each(|l| l.reads_per_s.set(f64::INFINITY));
            }
            What::JoinLoop { proxies, every } => {
                let mut tasks = JoinSet::new();
                for i in 0..proxies {
                    let running = self.clone();
                    tasks.spawn_local(async move { running.loop_joins(i, every.0, lasts).await });
                }
                while let Some(ended) = tasks.join_next().await {
                    ended.unwrap_or(Ok(()))?;
                }
            }
            What::DoubleJoin { proxies } => {
                for i in 0..proxies.min(self.proxies.len()) {
                    let name = self.proxies[i].name();
                    let stay = lasts.max(Duration::from_millis(500));
                    let (number, link) = self.idle_proxy_link(self.proxies[i].zone).await?;
                    spawn_local(run_idle_proxy(self.world.clone(), link, number, name, number.into(), stay));
                }
            }
        }
        Ok(())
    }

    /// Opens a link for an idle proxy, and returns it with the proxy's number.
    async fn idle_proxy_link(&self, zone: u16) -> io::Result<(u16, Rc<Link>)> {
        let number = self.next_idle_number.get();
        self.next_idle_number.set(number + 1);
        Ok((number, Link::new(self.world.clone(), number, zone, self.planners.clone()).await?))
    }

    /// Lets an idle proxy join and leave in a loop.
    async fn loop_joins(&self, i: usize, every: Duration, lasts: Duration) -> io::Result<()> {
        let zone = (i % self.world.deployment.zones.len()) as u16;
        let (number, link) = self.idle_proxy_link(zone).await?;
        let end = self.world.now() + lasts;
        let mut nonce = u64::from(number) << 32;
        while self.world.now() < end {
            nonce += 1;
            run_idle_proxy(self.world.clone(), link.clone(), number, format!("loop-{i}"), nonce, every / 2)
                .await;
            sleep(every / 2).await;
        }
        Ok(())
    }

    /// Drains and stops a server and starts it cold, under its own number or as another server.
    async fn redeploy(
        self: Rc<Self>,
        i: usize,
        drain: Duration,
        down: Duration,
        other: bool,
    ) -> io::Result<()> {
        let server = &self.servers[i];
        if !drain.is_zero() {
            self.schedule_list_change(&[i], EndpointState::Draining);
            // The server accepts attempts until all proxies can know of the drain, and rejects them after that.
            sleep(drain).await;
            server.faults.draining.set(true);
        }
        server.stop();
        if !other {
            self.schedule_list_change(&[i], EndpointState::Removed);
        }
        sleep(down).await;
        let number = if other {
            self.next_number.set(self.next_number.get() + 1);
            self.next_number.get()
        } else {
            server.id().number
        };
        server.start(number).await?;
        self.zones.borrow_mut().insert(server.id(), server.zone);
        self.schedule_list_change(&[i], EndpointState::Ready);
        self.release_servers(&[i]);
        Ok(())
    }

    /// Partitions a zone from the others. The planner is in the first zone.
    async fn partition_zone(&self, zone: u16, lasts: Duration) {
        self.world.cut_zones.borrow_mut().insert(zone);
        let unreachable = |l: &&Rc<Link>| self.world.partitioned(l.zone, 0);
        let links: Vec<Rc<Link>> =
            self.proxies.iter().map(|p| &p.link).filter(unreachable).cloned().collect();
        links.iter().for_each(|l| l.held.set(true));
        sleep(lasts).await;
        self.world.cut_zones.borrow_mut().remove(&zone);
        links.iter().for_each(|l| l.held.set(false));
    }

    /// Stops all servers of a zone at once and starts them cold.
    async fn lose_zone(&self, zone: u16, lasts: Duration) -> io::Result<()> {
        let lost: Vec<usize> = (0..self.servers.len())
            .filter(|i| self.servers[*i].zone == zone && !self.affected_servers.borrow().contains(i))
            .collect();
        self.affected_servers.borrow_mut().extend(lost.iter());
        lost.iter().for_each(|i| self.servers[*i].stop());
        self.schedule_list_change(&lost, EndpointState::Removed);
        sleep(lasts).await;
        for i in &lost {
            self.servers[*i].start(self.servers[*i].id().number).await?;
        }
        self.schedule_list_change(&lost, EndpointState::Ready);
        self.release_servers(&lost);
        Ok(())
    }
}
