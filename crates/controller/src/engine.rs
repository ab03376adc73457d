//! The engine: the wire's messages in, the decisions' orders out.

use crate::admission::Admission;
use crate::channel::{Channel, Overrun};
use crate::confirm::Confirm;
use crate::door::Proxies;
use crate::gather::Gather;
use crate::trust::{ListSense, ReportSense, Untrusted};
use crate::watch::Watch;
use grebespool::host::*;
use grebespool::policy::Policy;
use grebespool_assignments::{Assignments, ServerIndices, ServerWeight};
use grebespool_site_failover::{
    CapacityPlan, FailoverParameters, OrderError, PlanError, SiteOrder, SiteStatus,
};
use grebespool_wire as wire;
use grebespool_wire::{Cause, Entry, Level, MetLine, Order, Orders, Reason, ServerId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// One stream of a proxy, from its connection to its end; numbers are not used again.
pub type StreamId = u32;

/// What the engine asks of what hosts it.
pub trait Outlet {
    /// The proxy of this stream is joined.
    fn welcome(&mut self, stream: StreamId);
    fn send(&mut self, stream: StreamId, orders: Orders);
    /// The stream is not to be used again; `left` need not be called for it.
    fn close(&mut self, stream: StreamId, reason: Reason, text: &str);
    fn probe(&mut self, server: ServerId);
    /// Ask for the list, given the version that is known: 0 for a whole one.
    fn ask_list(&mut self, have: u64);
    /// Something was not believed or not done.
    fn refused(&mut self, text: &str);
    /// Something that operators want to know of: a verdict on a whole site, a step of its return.
    fn told(&mut self, _: &str) {}
}

/// This run of the planner: an id that no other run has, and the seed of its chance.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    pub id: u64,
    pub seed: u64,
    /// The leader's epoch, told with every order; 0 where planners share nothing.
    pub epoch: u64,
}

/// What is held at the most.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub servers: usize,
    pub proxies: usize,
    /// Joins of one proxy within the window of the message cap, or ten seconds where there is none.
    pub joins: usize,
    /// How long a proxy may leave orders unconfirmed; at most the grace for drains, and well above the worst
    /// transit.
    pub unconfirmed: Duration,
}

/// What a proxy says of itself when it joins.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub rate: f32,
    /// It holds only the table that it started with.
    pub bare: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Unsupported {
    #[error(
        "the deployment has {0} slices; sites with slices are not planned for yet, so nothing is started"
    )]
    Slices(usize),
    #[error("{0} routes are stated; 1 to 16 are possible")]
    Routes(usize),
    #[error("no zone is stated")]
    Zones,
}

struct Joined {
    stream: StreamId,
    zone: ZoneId,
    seq: u64,
}

pub struct Engine<O> {
    outlet: O,
    start: Start,
    bounds: Bounds,
    routes: usize,
    fields: Vec<LoadMetric>,
    planner: Policy<Assignments>,
    assignments: Assignments,
    joined: BTreeMap<ProxyId, Joined>,
    channel: Channel,
    list: ListSense,
    reports: ReportSense,
    gather: Gather,
    tell_every: Duration,
    tell_at: Duration,
    admission: Admission,
    confirm: Confirm,
    woken_at: Duration,
    servers: ServerIndices<ServerId>,
    proxies: Proxies,
    streams: BTreeMap<StreamId, ProxyId>,
    /// Servers that drain, since when this planner has known.
    drains: BTreeMap<ServerId, Duration>,
    /// When the list was sent by its own clock, and when it came.
    list_at: (u64, Duration),
    /// The last message that each stream is known to have in force.
    applied: BTreeMap<StreamId, u64>,
    /// Whole sites, where these are watched.
    watch: Option<Watch>,
}

/// What a planner has dealt: each pool's zone and servers, and each proxy's pool by its place.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Dealt {
    pub pools: Vec<(String, Vec<ServerId>)>,
    pub bound: Vec<(String, usize)>,
}

impl<O: Outlet> Engine<O> {
    const STALLED: Duration = Duration::from_millis(400);
    const FORGET: Duration = Duration::from_secs(600);

    /// Starts with nothing known: the list is asked for at once, and no proxy is bound before one came.
    ///
    /// # Errors
    ///
    /// A deployment of a kind that nothing is decided for.
    #[expect(
        clippy::too_many_arguments,
        reason = "each part takes its own few settings; none holds them all"
    )]
    pub fn start(
        mut outlet: O,
        start: Start,
        bounds: Bounds,
        zones: Vec<String>,
        routes: Vec<Route>,
        plane: ProxyCapabilities,
        graces: Timeouts,
        pace: ControlChannelLimits,
        sight: Observability,
    ) -> Result<Self, Unsupported> {
        if plane.slices > 0 {
            return Err(Unsupported::Slices(plane.slices));
        }
        if routes.is_empty() || routes.len() > 16 {
            return Err(Unsupported::Routes(routes.len()));
        }
        if zones.is_empty() {
            return Err(Unsupported::Zones);
        }
        let assignments = Assignments::default();
        let (n, fields, tell_every) = (routes.len(), sight.metrics.clone(), sight.report_interval / 4);
        let window = if pace.window.is_zero() { Duration::from_secs(10) } else { pace.window };
        let planner = Policy::new(assignments.clone(), start.seed, routes, plane, graces, pace, sight);
        outlet.ask_list(0);
        Ok(Engine {
            outlet,
            start,
            bounds,
            routes: n,
            fields,
            planner,
            assignments,
            joined: BTreeMap::new(),
            channel: Channel::new(pace),
            list: ListSense::new(zones, bounds.servers),
            reports: ReportSense::default(),
            gather: Gather::default(),
            tell_every,
            tell_at: tell_every,
            admission: Admission::new(bounds.joins, window),
            confirm: Confirm::new(bounds.unconfirmed),
            woken_at: Duration::ZERO,
            servers: ServerIndices::new(Self::FORGET),
            proxies: Proxies::default(),
            streams: BTreeMap::new(),
            drains: BTreeMap::new(),
            list_at: (0, Duration::ZERO),
            applied: BTreeMap::new(),
            watch: None,
        })
    }

    /// Watches for the loss of whole sites from here on (docs/design/site-failover.md). Without it nothing of that is done.
    pub fn watch_sites(&mut self, routes: &[Route], timing: FailoverParameters) {
        self.watch = Some(Watch::new(self.list.zones().to_vec(), routes, timing));
    }

    /// What stands of each site, by its name; empty where sites are not watched.
    pub fn sites(&self, now: Duration) -> Vec<(String, SiteStatus)> {
        let status = self.watch.iter().flat_map(|w| w.status(now));
        self.list.zones().iter().cloned().zip(status).collect()
    }

    /// What would be done with a site out beside those that are out already.
    ///
    /// # Errors
    ///
    /// Nothing tells what some site is able to, or none would be left.
    pub fn site_plan(&self, zone: ZoneId) -> Result<CapacityPlan, PlanError> {
        let plan = self.watch.as_ref().map(|w| w.plan_without(zone));
        plan.unwrap_or(Err(PlanError::NoSiteLeft))
    }

    /// An operator's order on a site. Gives the plan that is in force with it.
    ///
    /// # Errors
    ///
    /// Why it is not carried out; unset where sites are not watched.
    pub fn order_site(
        &mut self,
        now: Duration,
        zone: ZoneId,
        order: SiteOrder,
        forced: bool,
    ) -> Result<Option<CapacityPlan>, Option<OrderError>> {
        let Engine { watch, planner, outlet, .. } = self;
        let Some(watch) = watch else { return Err(None) };
        let done = watch.order(now, (zone, order, forced), planner, outlet);
        self.settle(now, Cause::Interval);
        done.map_err(Some)
    }

    /// Begins with what a former leader had learnt of servers, each as a multiple of its pool's mean: called after
    /// the first list and before any join.
    pub fn recall(&mut self, weights: &BTreeMap<ServerId, f64>) {
        for (id, weight) in weights {
            if let Some(server) = self.listed(id) {
                self.planner.restore_weight(server, *weight);
            }
        }
    }

    fn listed(&self, id: &ServerId) -> Option<grebespool::host::ServerIndex> {
        self.servers.index(id).filter(|_| self.list.lists(*id))
    }

    /// What each pool holds, and which one each proxy has, by name.
    pub fn dealt(&self) -> Dealt {
        let PoolAssignments { pools, pool_by_proxy } = self.planner.pool_assignments();
        let zone = |z: ZoneId| self.list.zones().get(usize::from(z)).cloned().unwrap_or_default();
        let id = |s: &usize| *self.servers.id(*s);
        let pools = pools.iter().map(|pool| (zone(pool.zone), pool.servers.iter().map(id).collect()));
        let at = |(name, proxy): (&str, ProxyId)| Some((name.to_string(), *pool_by_proxy.get(&proxy)?));
        Dealt { pools: pools.collect(), bound: self.proxies.names().filter_map(at).collect() }
    }

    /// Begins with what a former leader had dealt: called after the first list, before [`Engine::recall`] and any join.
    pub fn recall_dealt(&mut self, dealt: &Dealt) {
        let zone = |name: &str| self.list.zone(name);
        let pool = |(zone_name, held): &(String, Vec<ServerId>)| {
            let servers = held.iter().filter_map(|id| self.listed(id)).collect();
            Some(PoolSubset { zone: zone(zone_name)?, servers })
        };
        // With a zone less, the pools' places would not be those that proxies had.
        let Some(pools) = dealt.pools.iter().map(pool).collect::<Option<Vec<_>>>() else { return };
        let mut bound = BTreeMap::new();
        for (name, pool) in &dealt.bound {
            let former = pools.get(*pool).map(|subset| FormerBinding { zone: subset.zone, pool: *pool });
            if let Some((proxy, former)) = self.proxies.enter(name, self.bounds.proxies).zip(former) {
                bound.insert(proxy, former);
            }
        }
        self.planner.restore_pool_assignments(&pools, &bound);
    }

    /// What it has learnt of servers, each as a multiple of its pool's mean.
    pub fn learnt(&self) -> Vec<(ServerId, f64)> {
        let learnt = self.planner.learned_weights().into_iter().map(|(s, w)| (*self.servers.id(s), w));
        learnt.filter(|(id, _)| self.list.lists(*id)).collect()
    }

    /// The list that is believed, and the time now by the list's clock.
    pub fn believed(&self, now: Duration) -> (u64, u64, Vec<Entry>) {
        let (sent, came) = self.list_at;
        let ms = if sent == 0 { 0 } else { sent + now.saturating_sub(came).as_millis() as u64 };
        (self.list.version(), ms, self.list.entries())
    }

    /// Servers that drain, and since when this planner has known.
    pub fn drains(&self) -> impl Iterator<Item = (ServerId, Duration)> {
        self.drains.iter().map(|(id, at)| (*id, *at))
    }

    /// Joined proxies by name, and the last message that each is known to have in force; 0 for none.
    pub fn in_force(&self) -> Vec<(String, u64)> {
        let stream = |proxy: ProxyId| self.joined.get(&proxy).map(|j| j.stream);
        let joined = self.proxies.names().filter_map(|(name, proxy)| Some((name, stream(proxy)?)));
        joined.map(|(name, s)| (name.into(), self.applied.get(&s).copied().unwrap_or(0))).collect()
    }

    /// The version of the list that is believed.
    pub fn list_version(&self) -> u64 {
        self.list.version()
    }

    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.list.zone(name)
    }

    /// Lines that wait in the channel.
    pub fn waiting(&self) -> f64 {
        self.channel.waiting()
    }

    pub fn joined_proxies(&self) -> usize {
        self.streams.len()
    }

    /// When [`Engine::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        [self.assignments.next_timer(), self.channel.due(), self.confirm.due()]
            .into_iter()
            .flatten()
            .fold(self.tell_at, Duration::min)
    }

    /// A proxy that showed the key asks to join. Gives whether it may; if not, it was told why.
    pub fn joined(&mut self, now: Duration, stream: StreamId, arrival: Arrival) -> bool {
        let Some(zone) = self.list.zone(arrival.zone) else {
            return self.turn_away(stream, Reason::Refused, &format!("no zone {:?}", arrival.zone));
        };
        let Some(proxy) = self.proxies.enter(arrival.name, self.bounds.proxies) else {
            let text = format!("{} proxies are known, as many as may be", self.bounds.proxies);
            return self.turn_away(stream, Reason::Refused, &text);
        };
        if let Err(wait) = self.admission.ask(now, proxy) {
            let text = format!("joins too often; again in {} ms", wait.as_millis());
            return self.turn_away(stream, Reason::Busy, &text);
        }
        let old = self.joined.get(&proxy).map(|j| j.stream);
        if let Some(old) = old {
            self.cut(old, Reason::Superseded, "the same name has joined on a newer stream");
        }
        self.joined.insert(proxy, Joined { stream, zone, seq: 0 });
        self.assignments.add_proxy(proxy);
        self.streams.insert(stream, proxy);
        self.outlet.welcome(stream);
        self.watch.iter_mut().for_each(|w| w.joined(now, zone));
        self.planner.proxy_joined(now, proxy, zone, arrival.bare, f64::from(arrival.rate.max(0.0)));
        self.settle(now, Cause::Join);
        // What it was told may have been too much for the channel.
        self.streams.contains_key(&stream)
    }

    fn turn_away(&mut self, stream: StreamId, reason: Reason, text: &str) -> bool {
        self.outlet.close(stream, reason, text);
        self.outlet.refused(&format!("stream {stream} may not join: {text}"));
        false
    }

    fn cut(&mut self, stream: StreamId, reason: Reason, text: &str) {
        self.outlet.close(stream, reason, text);
        self.left(stream);
    }

    /// The stream ended, for whatever reason.
    pub fn left(&mut self, stream: StreamId) {
        if let Some(proxy) = self.streams.remove(&stream) {
            let zone = self.joined.remove(&proxy).map(|j| j.zone);
            // The last time that anything was due is near enough: an end is one sign of several.
            let at = self.woken_at;
            self.watch.iter_mut().zip(zone).for_each(|(w, zone)| w.left(at, zone));
            self.assignments.remove_proxy(proxy);
            self.channel.drop_stream(stream);
            self.confirm.ended(stream);
            self.applied.remove(&stream);
            self.planner.proxy_left(proxy);
        }
    }

    /// The proxy has all orders up to `seq` in force, a mark with them perhaps. What it tells of another start
    /// or stream tells nothing.
    pub fn applied(
        &mut self,
        now: Duration,
        stream: StreamId,
        told: (u64, StreamId),
        seq: u64,
        mark: Option<u16>,
    ) {
        if told == (self.start.id, stream) && self.streams.contains_key(&stream) {
            self.confirm.answered(stream, seq);
            self.applied.insert(stream, seq);
            mark.into_iter().for_each(|m| self.planner.acknowledged(now, m));
            self.settle(now, Cause::Interval);
        }
    }

    pub fn sums(&mut self, stream: StreamId, met: &[MetLine], came: &[wire::CameLine]) {
        let Some(proxy) = self.streams.get(&stream) else { return };
        let Some(zone) = self.joined.get(proxy).map(|j| j.zone) else { return };
        let mut wrong = 0;
        for m in met {
            let Some(server) = self.servers.index(&m.server).filter(|_| self.list.lists(m.server)) else {
                continue;
            };
            if m.dropped > m.tries || m.tries > ReportSense::MOST_TRIES {
                wrong += 1;
                continue;
            }
            let figures = m.report.as_ref().and_then(|r| self.reports.figures(server, r, &self.fields));
            self.gather.met((zone, server), m.tries, m.dropped, m.wait_us, figures.unwrap_or_default());
        }
        for c in came.iter().filter(|c| usize::from(c.route) < self.routes) {
            self.gather.came((*proxy, usize::from(c.route)), c.calls.min(ReportSense::MOST_TRIES));
        }
        if wrong > 0 {
            self.outlet.refused(&format!("stream {stream}: {wrong} lines of sums that cannot be"));
        }
    }

    /// The list, whole (`base` 0) or its changes since `base`, sent at `now_ms` by its own clock.
    pub fn list(&mut self, now: Duration, version: u64, base: u64, now_ms: u64, entries: &[Entry]) {
        let (servers, reports, desk) = (&mut self.servers, &mut self.reports, &self.assignments);
        let mut listed = vec![];
        let taken = self.list.take(now, (version, base, now_ms), entries, |id, entry| {
            let server = servers.add(now, &id, |s| desk.contains_server(s));
            if entry.state == EndpointState::Removed {
                servers.remove(now, server);
                reports.forget(server);
            }
            listed.push(Endpoint { server, ..entry });
        });
        match taken {
            Ok(()) => {
                self.list_at = (now_ms, now);
                for e in entries {
                    match e.phase {
                        wire::Phase::Draining => drop(self.drains.entry(e.server).or_insert(now)),
                        wire::Phase::Ready | wire::Phase::Gone => drop(self.drains.remove(&e.server)),
                    }
                }
                self.drains.retain(|id, _| self.list.lists(*id));
                if let Some(watch) = &mut self.watch {
                    watch.listed(now, self.list.standing());
                }
                // What the list left out was put as gone, so all that is whole about it is in the entries.
                self.planner.endpoints_updated(now, false, &listed);
                self.settle(now, Cause::List);
            }
            Err(why) => {
                self.outlet.refused(&why.to_string());
                if matches!(why, Untrusted::Gap { .. }) {
                    self.outlet.ask_list(0);
                }
                self.list_failed(now);
            }
        }
    }

    /// A call for the list failed, or its watch ended.
    pub fn list_failed(&mut self, now: Duration) {
        self.planner.endpoint_poll_failed(now);
        self.settle(now, Cause::List);
    }

    pub fn probed(&mut self, now: Duration, server: ServerId, result: HealthCheckResult) {
        if let (Some(watch), Some(zone)) = (&mut self.watch, self.list.zone_of(server)) {
            // One that says no is there.
            watch.probed(now, zone, result != HealthCheckResult::Failed);
        }
        if let Some(server) = self.servers.index(&server) {
            self.planner.health_check_finished(server, result);
            self.settle(now, Cause::Interval);
        }
    }

    /// Time has passed: wakes what is due, each once however late, and lets go what has left the channel.
    pub fn woken(&mut self, now: Duration) {
        // Woken at least four times a cycle; what is beyond that by far, the machine stood still.
        let late = now.saturating_sub(self.woken_at.max(self.due()));
        if late > Self::STALLED {
            self.outlet.refused(&format!("the planner stood still for {} ms", late.as_millis()));
            self.confirm.excuse(late);
        }
        self.woken_at = now;
        self.leave(now);
        for stream in self.confirm.overdue(now) {
            self.outlet.refused(&format!("stream {stream} is cut off: its orders stay unconfirmed"));
            self.cut(stream, Reason::Slow, "orders stay unconfirmed");
        }
        if now >= self.tell_at {
            // From now on, so that a stall of the machine makes no burst of intervals after it.
            self.tell_at = now + self.tell_every;
            let Engine { planner, watch, servers, list, joined, .. } = self;
            let both = RefCell::new((planner, watch));
            self.gather.tell(
                |server, met| {
                    let (planner, watch) = &mut *both.borrow_mut();
                    let at = list.zone_of(*servers.id(server));
                    watch.iter_mut().zip(at).for_each(|(w, at)| w.met(now, at, met));
                    planner.load_reported(now, server, met);
                },
                |proxy, route, calls| {
                    let (planner, watch) = &mut *both.borrow_mut();
                    let of = joined.get(&proxy).map(|j| j.zone);
                    watch.iter_mut().zip(of).for_each(|(w, of)| w.heard(now, of));
                    planner.requests_received(now, proxy, route, calls);
                },
            );
            let Engine { planner, watch, outlet, .. } = self;
            let looked = watch.as_mut().is_some_and(|w| w.look(now, planner, outlet));
            if looked {
                self.settle(now, Cause::Interval);
            }
        }
        for token in self.assignments.take_due_timers(now) {
            self.planner.timer_fired(now, token);
            self.settle(now, Cause::Interval);
        }
    }

    fn leave(&mut self, now: Duration) {
        while let Some((stream, orders)) = self.channel.leave(now) {
            self.confirm.sent(now, stream, orders.seq);
            self.outlet.send(stream, orders);
        }
    }

    /// Makes one message for each proxy concerned of what this turn changed.
    fn settle(&mut self, now: Duration, cause: Cause) {
        let Engine { assignments, joined, servers, list, start, .. } = self;
        let mut messages = vec![];
        assignments.publish(|proxy, told| {
            let Some(joined) = joined.get_mut(&proxy) else { return };
            let (table, version) = (told.table, told.version);
            let levels = told.admission.iter().map(|rule| Level {
                routes: rule.routes,
                share: rule.level,
                tries: tries(rule.retry_policy),
            });
            let (mut parts, mut cost): (Vec<Order>, usize);
            if let Some(routes) = told.bound_routes {
                let lines: Vec<_> = told.weights.iter().map(|w| (*servers.id(w.server), w.weight)).collect();
                cost = 1 + lines.len() + levels.len();
                parts = vec![Order::Bind { table, version, routes, lines, levels: levels.collect() }];
            } else {
                let line = |w: &ServerWeight| {
                    let (server, weight) = (*servers.id(w.server), w.weight);
                    Order::Line { table, version, server, weight }
                };
                parts = told.weights.iter().map(line).collect();
                parts.extend(levels.map(Order::Level));
                cost = parts.len();
            }
            parts.extend(told.ack_token.map(Order::Mark));
            cost += usize::from(told.ack_token.is_some());
            joined.seq += 1;
            let orders = Orders {
                epoch: start.epoch,
                start: start.id,
                stream: joined.stream,
                seq: joined.seq,
                ordered_us: now.as_micros() as u64,
                list: list.version(),
                cause,
                parts,
            };
            messages.push((joined.stream, orders, cost));
        });
        for (stream, orders, lines) in messages.drain(..) {
            if let Err(overrun) = self.channel.put(now, stream, orders, lines) {
                let text = match overrun {
                    Overrun::Lines => "the channel is full",
                    Overrun::Messages => "as many messages were sent as may be",
                };
                self.outlet.refused(&format!("stream {stream} is cut off: {text}"));
                self.cut(stream, Reason::Busy, text);
            }
        }
        self.assignments
            .take_health_checks()
            .into_iter()
            .for_each(|s| self.outlet.probe(*self.servers.id(s)));
        if self.assignments.take_poll_request() {
            self.outlet.ask_list(self.list.version());
        }
        self.leave(now);
    }

    /// How many servers have an index.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }
}

fn tries(tries: RetryPolicy) -> wire::Tries {
    match tries {
        RetryPolicy::Never => wire::Tries::One,
        RetryPolicy::IfNotExecuted => wire::Tries::AfterProof,
        RetryPolicy::AfterFailure => wire::Tries::AfterFailure,
    }
}
