//! A day, played: stand-ins around a real planner, with the troubles as they come.

use crate::callers::Callers;
use crate::host::PlannerHost;
use crate::link::{Break, Link};
use crate::list::ServerList;
use crate::proxy::Proxy;
use crate::server::Server;
use crate::visitor::visit;
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

/// A day that was played.
pub struct Played {
    pub record: Record,
    pub verdicts: [Verdict; 5],
    pub service: ServiceLevel,
}

impl Played {
    pub fn kept(&self) -> bool {
        self.verdicts.iter().all(|v| v.first.is_none())
    }
}

/// Told as a day runs: how far it is, and what trouble begins.
pub trait Progress {
    fn at(&mut self, now: Duration, of: Duration);
    fn trouble(&mut self, now: Duration, what: &What);
}

/// Plays a day on loopback, and checks the rules over what passed. Runs for the day's length and a little.
/// What a replay needs of it goes to `recorder` as it happens.
///
/// # Errors
///
/// A socket that cannot be had, or a planner that cannot be started.
pub fn rehearse(
    day: &Day,
    host: Box<dyn PlannerHost>,
    progress: Option<Box<dyn Progress>>,
    recorder: Option<Recorder>,
) -> io::Result<Played> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = LocalSet::new();
    let record = tasks.block_on(&runtime, play(day, host, progress, recorder))?;
    let verdicts = check(&record, &invariant_facts(day));
    let service = ServiceLevelRecorder::of_record(&record, &day.deployment);
    Ok(Played { verdicts, service, record })
}

struct Stage {
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
    /// Servers that a trouble has in hand; no other takes them too where it would undo the first.
    taken: RefCell<BTreeSet<usize>>,
    zones: Rc<RefCell<BTreeMap<ServerId, u16>>>,
    phantoms: Cell<u16>,
}

async fn play(
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
            let ability = ServerSpec {
                kind: kind.clone(),
                warm_up: day.deployment.servers.warm_up.0,
                overload_multiple: day.rules.fall_multiple,
                overload_window: day.rules.fall.0,
            };
            servers.push(Server::new(world.clone(), ability, 1 + servers.len() as u32).await?);
        }
    }
    let first_list: Vec<EndpointEntry> =
        servers.iter().map(|s| entry(&world, s, EndpointState::Ready)).collect();
    list.begin(first_list.clone());
    let source = ListSource::new(list.addr, day.list.mode, day.list.ask_within);
    let planners = Rc::new(RefCell::new(host.start(&day.deployment, &source, &key_file)?));
    // Processes take their time to start, and nothing has happened yet.
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
            // Where planners share nothing each has its own proxies.
            if host.spreads() {
                link.begin_at(usize::from(number));
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
    let mut calling = JoinSet::new();
    for (i, kind) in day.callers.iter().enumerate() {
        let zone = world.zone(&kind.zone);
        let near: Vec<Rc<Proxy>> = proxies.iter().filter(|p| p.zone == zone).cloned().collect();
        let callers =
            Callers::new(world.clone(), kind.clone(), &near, rng.random(), (i as u64) << 40).await?;
        calling.spawn_local(callers.run(day.length.0));
    }
    let stage = Rc::new(Stage {
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
        taken: RefCell::default(),
        zones,
        phantoms: Cell::new(50_000),
    });
    let began = Rc::new(RefCell::new(Vec::<What>::new()));
    for trouble in day.troubles.clone() {
        let (stage, began) = (stage.clone(), began.clone());
        spawn_local(async move {
            sleep_until(stage.world.began() + trouble.at.0).await;
            began.borrow_mut().push(trouble.what.clone());
            if let Err(error) = stage.strike(trouble).await {
                eprintln!("a trouble could not be made: {error}");
            }
        });
    }
    let mut ticks = tokio::time::interval(Duration::from_millis(200));
    loop {
        tokio::select! {
            ended = calling.join_next() => if ended.is_none() { break },
            _ = ticks.tick() => if let Some(progress) = &mut progress {
                let now = world.now();
                progress.at(now, day.length.0);
                began.borrow_mut().drain(..).for_each(|w| progress.trouble(now, &w));
            },
        }
    }
    stage.host.borrow_mut().kill();
    if let Some(recorder) = world.recorder.borrow_mut().take() {
        recorder.finish()?;
    }
    Ok(std::mem::take(&mut *world.record.borrow_mut()))
}

fn entry(world: &World, server: &Server, phase: EndpointState) -> EndpointEntry {
    let zone = world.deployment.zones[usize::from(server.zone)].clone();
    EndpointEntry { server: server.id(), zone, state: phase, started_ms: server.started_ms.get() }
}

impl Stage {
    /// So many servers that no trouble has in hand, by chance.
    fn take(&self, count: usize) -> Vec<usize> {
        let mut free: Vec<usize> =
            (0..self.servers.len()).filter(|i| !self.taken.borrow().contains(i)).collect();
        free.shuffle(&mut *self.rng.borrow_mut());
        free.truncate(count);
        self.taken.borrow_mut().extend(free.iter());
        free
    }

    fn give_back(&self, taken: &[usize]) {
        self.taken.borrow_mut().retain(|i| !taken.contains(i));
    }

    fn some_links(&self, count: usize) -> Vec<Rc<Link>> {
        let mut links: Vec<Rc<Link>> = self.proxies.iter().map(|p| p.link.clone()).collect();
        links.shuffle(&mut *self.rng.borrow_mut());
        links.truncate(count);
        links
    }

    fn share(&self, share: f64) -> usize {
        (self.proxies.len() as f64 * share).ceil() as usize
    }

    fn list_change(&self, servers: &[usize], phase: EndpointState) {
        let changed = servers.iter().map(|i| entry(&self.world, &self.servers[*i], phase)).collect();
        self.list.change(changed);
    }

    fn start_planner(&self) -> io::Result<()> {
        self.world.planner_began();
        let mut host = self.host.borrow_mut();
        let addr = host.start(&self.world.deployment, &self.source, &self.key_file)?;
        *self.planners.borrow_mut() = addr;
        Ok(())
    }

    /// Puts `on` for as long as the trouble lasts, for the servers that it takes.
    async fn while_lasts(&self, servers: usize, lasts: Duration, set: impl Fn(&Rc<Server>, bool)) {
        let taken = self.take(servers);
        taken.iter().for_each(|i| set(&self.servers[*i], true));
        sleep(lasts).await;
        taken.iter().for_each(|i| set(&self.servers[*i], false));
        self.give_back(&taken);
    }

    async fn strike(self: Rc<Self>, trouble: Trouble) -> io::Result<()> {
        let lasts = trouble.lasts.0;
        match trouble.what {
            What::Silent { servers } => {
                self.while_lasts(servers, lasts, |s, on| s.manner.silent.set(on)).await;
            }
            What::Slow { servers, factor } => {
                self.while_lasts(servers, lasts, |s, on| s.slow(if on { factor } else { 1.0 })).await;
            }
            What::Erring { servers } => {
                self.while_lasts(servers, lasts, |s, on| s.manner.erring.set(on)).await;
            }
            What::Frozen { servers } => {
                self.while_lasts(servers, lasts, |s, on| s.freeze(on)).await;
            }
            What::Lying { servers, figure } => {
                let lie = |on: bool| on.then_some(figure as f32);
                self.while_lasts(servers, lasts, |s, on| s.manner.lie.set(lie(on))).await;
            }
            What::Deploy { servers, every, drain, down } => {
                let mut under_way = JoinSet::new();
                for i in self.take(servers) {
                    under_way.spawn_local(self.clone().redeploy(i, drain.0, down.0, false));
                    sleep(every.0).await;
                }
                while under_way.join_next().await.is_some() {}
            }
            What::Replaced { servers } => {
                for i in self.take(servers) {
                    self.clone().redeploy(i, Duration::ZERO, Duration::from_millis(100), true).await?;
                }
            }
            // Whether another takes over is the host's matter: one planner alone is started again.
            What::PlannerKilled | What::Takeover => {
                self.host.borrow_mut().kill();
                self.world.put(Event::PlannerKilled);
                sleep(lasts).await;
                self.start_planner()?;
            }
            What::PlannerStalled => {
                self.world.put(Event::PlannerStalled);
                self.host.borrow_mut().stall(lasts * 2);
                sleep(lasts).await;
                self.host.borrow_mut().resume();
                self.world.put(Event::PlannerResumed);
            }
            What::StreamsBreak { share, mid_frame } => {
                for (i, link) in self.some_links(self.share(share)).into_iter().enumerate() {
                    link.break_now(match (mid_frame, i % 3) {
                        (true, _) => Break::MidFrame,
                        (false, 2) => Break::Half,
                        _ => Break::Whole,
                    });
                }
            }
            What::NoPlanner { share } => {
                let links = self.some_links(self.share(share));
                for link in &links {
                    link.closed.set(true);
                    link.break_now(Break::Whole);
                }
                sleep(lasts).await;
                links.iter().for_each(|l| l.closed.set(false));
            }
            What::SlowOrders { delay, bytes_per_s } => {
                let links = self.some_links(usize::MAX);
                links.iter().for_each(|l| (l.delay.set(delay.0), l.bytes_per_s.set(bytes_per_s)).0);
                sleep(lasts).await;
                links.iter().for_each(|l| (l.delay.set(Duration::ZERO), l.bytes_per_s.set(f64::INFINITY)).0);
            }
            What::ListLate { by } => {
                let usual = self.list.late.get();
                self.list.late.set(usual + by.0);
                sleep(lasts).await;
                self.list.late.set(usual);
            }
            What::ListFails => {
                self.list.fails.set(true);
                sleep(lasts).await;
                self.list.fails.set(false);
                self.list.repeat(self.list.version());
            }
            What::ListOld => self.list.tell_old(self.first_list.clone()),
            What::ListTwice => self.list.repeat(self.list.version()),
            What::ZoneCut { zone } => self.cut(self.world.zone(&zone), lasts).await,
            What::ZoneLoss { zone } => self.lose(self.world.zone(&zone), lasts).await?,
            What::SiteLoss { zone } => {
                let zone = self.world.zone(&zone);
                if self.host.borrow_mut().lose_site(zone) {
                    self.world.put(Event::PlannerKilled);
                }
                self.lose(zone, lasts).await?;
                self.start_planner()?;
            }
            What::Burst { factor } => {
                self.world.burst.set(factor);
                sleep(lasts).await;
                self.world.burst.set(1.0);
            }
            What::Unmarked { proxies } => {
                let links = self.some_links(proxies);
                links.iter().for_each(|l| l.unmarked.set(true));
                sleep(lasts).await;
                links.iter().for_each(|l| l.unmarked.set(false));
            }
            What::Trickle { proxies, bytes_per_s } => {
                let links = self.some_links(proxies);
                links.iter().for_each(|l| l.reads_per_s.set(bytes_per_s));
                sleep(lasts).await;
                links.iter().for_each(|l| l.reads_per_s.set(f64::INFINITY));
            }
            What::JoinLoop { proxies, every } => {
                let mut under_way = JoinSet::new();
                for i in 0..proxies {
                    let stage = self.clone();
                    under_way.spawn_local(async move { stage.loop_joins(i, every.0, lasts).await });
                }
                while let Some(ended) = under_way.join_next().await {
                    ended.unwrap_or(Ok(()))?;
                }
            }
            What::DoubleJoin { proxies } => {
                for i in 0..proxies.min(self.proxies.len()) {
                    let name = self.proxies[i].name();
                    let stays = lasts.max(Duration::from_millis(500));
                    let (number, link) = self.phantom_link(self.proxies[i].zone).await?;
                    spawn_local(visit(self.world.clone(), link, number, name, number.into(), stays));
                }
            }
        }
        Ok(())
    }

    async fn phantom_link(&self, zone: u16) -> io::Result<(u16, Rc<Link>)> {
        let number = self.phantoms.get();
        self.phantoms.set(number + 1);
        Ok((number, Link::new(self.world.clone(), number, zone, self.planners.clone()).await?))
    }

    async fn loop_joins(&self, i: usize, every: Duration, lasts: Duration) -> io::Result<()> {
        let zone = (i % self.world.deployment.zones.len()) as u16;
        let (number, link) = self.phantom_link(zone).await?;
        let end = self.world.now() + lasts;
        let mut nonce = u64::from(number) << 32;
        while self.world.now() < end {
            nonce += 1;
            visit(self.world.clone(), link.clone(), number, format!("loop-{i}"), nonce, every / 2).await;
            sleep(every / 2).await;
        }
        Ok(())
    }

    /// Drains a server, takes it down and brings it back cold, under its number or as another server.
    async fn redeploy(
        self: Rc<Self>,
        i: usize,
        drain: Duration,
        down: Duration,
        other: bool,
    ) -> io::Result<()> {
        let server = &self.servers[i];
        if !drain.is_zero() {
            self.list_change(&[i], EndpointState::Draining);
            // It takes calls until all may know, and then turns them away for the rest.
            sleep(drain).await;
            server.manner.draining.set(true);
        }
        server.stop();
        if !other {
            self.list_change(&[i], EndpointState::Removed);
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
        self.list_change(&[i], EndpointState::Ready);
        self.give_back(&[i]);
        Ok(())
    }

    /// Nothing passes between a zone and the others. The planner is in the first zone.
    async fn cut(&self, zone: u16, lasts: Duration) {
        self.world.cut.borrow_mut().insert(zone);
        let apart = |l: &&Rc<Link>| self.world.apart(l.zone, 0);
        let links: Vec<Rc<Link>> = self.proxies.iter().map(|p| &p.link).filter(apart).cloned().collect();
        links.iter().for_each(|l| l.held.set(true));
        sleep(lasts).await;
        self.world.cut.borrow_mut().remove(&zone);
        links.iter().for_each(|l| l.held.set(false));
    }

    /// All servers of a zone go at once and come back cold.
    async fn lose(&self, zone: u16, lasts: Duration) -> io::Result<()> {
        let lost: Vec<usize> = (0..self.servers.len())
            .filter(|i| self.servers[*i].zone == zone && !self.taken.borrow().contains(i))
            .collect();
        self.taken.borrow_mut().extend(lost.iter());
        lost.iter().for_each(|i| self.servers[*i].stop());
        self.list_change(&lost, EndpointState::Removed);
        sleep(lasts).await;
        for i in &lost {
            self.servers[*i].start(self.servers[*i].id().number).await?;
        }
        self.list_change(&lost, EndpointState::Ready);
        self.give_back(&lost);
        Ok(())
    }
}
