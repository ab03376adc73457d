//! The decisions of one planner.
//!
//! Start a [`Planner`] with a [`Host`] and what the deployment states, then call one method for each thing
//! that happens; it answers by calling the host before it returns. The interface is `host.rs`. Times are
//! spans since the planner's start. Nothing is shared between planners.

use crate::host::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_secs(2);
const TOKEN_ROUND: u32 = 1;
const TOKEN_URGENT: u32 = 2;
const TOKEN_LOOK: u32 = 3;
const LOOK: Duration = Duration::from_secs(1);

/// Who is listed, and how cold.
struct Member {
    zone: Zone,
    phase: Phase,
    warm_at: Duration,
}

struct Roster {
    members: Vec<Option<Member>>,
    ask_at: Option<Duration>,
}

impl Roster {
    fn ready(&self, s: Server) -> bool {
        self.members[s].as_ref().is_some_and(|m| m.phase == Phase::Ready)
    }

    fn warm(&self, s: Server, now: Duration) -> bool {
        self.members[s].as_ref().is_some_and(|m| m.phase == Phase::Ready && m.warm_at <= now)
    }
}

/// What was met at one server over one cycle, as it came.
struct Sample {
    at: Duration,
    load: Option<f64>,
    cpu: Option<f64>,
    tries: f64,
    dropped: f64,
    wait: Option<f64>,
}

/// The last few samples of each server; every figure is worked out from them.
struct Loads {
    samples: Vec<VecDeque<Sample>>,
    fields: Vec<Field>,
    newest: Duration,
}

impl Loads {
    const KEPT: Duration = Duration::from_secs(8);

    fn field(&self, report: &[f32], field: Field) -> Option<f64> {
        let at = self.fields.iter().position(|f| *f == field)?;
        report.get(at).map(|v| f64::from(*v)).filter(|v| v.is_finite() && *v >= 0.0)
    }

    fn figure(&self, report: &[f32]) -> Option<f64> {
        let value = |field| self.field(report, field);
        // A busy share stops at one: what waits tells how far past full a server is.
        let cpu = value(Field::CpuShare).map(|c| c + 0.1 * value(Field::Pending).unwrap_or(0.0));
        cpu.or(value(Field::Busy)).or(value(Field::ServiceMs)).or(value(Field::AnsweredPerS))
    }

    fn take(&mut self, now: Duration, s: Server, met: &Met) {
        self.newest = now;
        let load = self.figure(met.report);
        let cpu = self.field(met.report, Field::CpuShare);
        let list = &mut self.samples[s];
        drop_old(list, now, Self::KEPT, |x| x.at);
        list.push_back(Sample {
            at: now,
            load,
            cpu,
            tries: f64::from(met.tries),
            dropped: f64::from(met.dropped),
            wait: met.wait.map(|w| w.as_secs_f64()),
        });
    }

    fn since(&self, s: Server, from: Duration) -> impl Iterator<Item = &Sample> {
        self.samples[s].iter().filter(move |x| x.at > from)
    }

    fn smoothed(&self, s: Server, from: Duration, of: impl Fn(&Sample) -> Option<f64>) -> Option<f64> {
        mean(self.since(s, from).filter_map(of))
    }

    fn last(&self, s: Server) -> Option<Duration> {
        self.samples[s].back().map(|x| x.at)
    }

    /// Tries and dropped ones since then.
    fn tries(&self, s: Server, from: Duration) -> (f64, f64) {
        self.since(s, from).fold((0.0, 0.0), |(t, d), x| (t + x.tries, d + x.dropped))
    }
}

fn drop_old<T>(list: &mut VecDeque<T>, now: Duration, kept: Duration, at: impl Fn(&T) -> Duration) {
    while list.front().is_some_and(|x| now.saturating_sub(at(x)) > kept) {
        list.pop_front();
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = values.fold((0.0, 0usize), |(sum, n), v| (sum + v, n + 1));
    (n > 0).then(|| sum / n as f64)
}

/// The mechanism: the weight each server has earned, apart from all exceptions.
struct Weights {
    learnt: Vec<Option<f64>>,
    changed: Vec<Duration>,
}

impl Weights {
    const CLAMP: (f64, f64) = (0.8, 1.25);
    const DEAD_BAND: f64 = 0.1;
    const CEILING: f64 = 3.0;
    /// As a part of the ceiling: far below it, a server that recovers would stay unused for a minute.
    const FLOOR: f64 = 0.02;
    const DRIFT: f64 = 0.2;

    fn mean(&self) -> f64 {
        mean(self.learnt.iter().flatten().copied()).unwrap_or(1.0)
    }

    /// One interval: each server's weight times the pool's mean load over its own.
    fn scale(&mut self, now: Duration, loads: &[(Server, f64)], whole: impl Fn(Server) -> bool) {
        let Some(pool) = mean(loads.iter().map(|l| l.1)).filter(|m| *m > 0.0) else { return };
        for &(s, own) in loads {
            let ratio = if own > 0.0 { pool / own } else { Self::CLAMP.1 };
            let factor = ratio.clamp(Self::CLAMP.0, Self::CLAMP.1);
            // Little has been heard since the last change: only what is plain counts.
            let doubt = (6.0 / (now - self.changed[s]).as_secs_f64()).sqrt().max(1.0);
            // And a server held back looks idle because it is held back.
            if (factor - 1.0).abs() < Self::DEAD_BAND * doubt || (factor > 1.0 && !whole(s)) {
                continue;
            }
            if let Some(w) = &mut self.learnt[s] {
                *w *= factor;
                self.changed[s] = now;
            }
        }
        let mean = self.mean();
        let scale = if (mean - 1.0).abs() > Self::DRIFT { 1.0 / mean } else { 1.0 };
        let most = Self::CEILING * mean * scale;
        for w in self.learnt.iter_mut().flatten() {
            *w = (*w * scale).clamp(most * Self::FLOOR, most);
        }
    }
}

/// How many quarter steps the evidence allows a server: all, fewer, or none.
#[derive(Clone)]
struct Health {
    allowed: u32,
    /// Evidence from before this moment is spent.
    fresh_from: Duration,
    answers: u32,
    misses: u32,
    hold: Duration,
}

impl Health {
    const EVIDENCE: Duration = Duration::from_secs(4);
    const LEAST_TRIES: f64 = 4.0;
    const MOST_OUT: f64 = 0.5;
    const HOLD: Duration = Duration::from_secs(3);
    const LONGEST_HOLD: Duration = Duration::from_secs(20);
    const MANY: f64 = 0.4;
    const NEW: Health =
        Health { allowed: Ramp::STEPS, fresh_from: Duration::ZERO, answers: 0, misses: 0, hold: Self::HOLD };

    /// Evidence starts anew.
    fn clear(&mut self, from: Duration, allowed: u32) {
        *self = Health { allowed, fresh_from: from, hold: self.hold, ..Self::NEW };
    }

    /// Steps by the part of tries that was answered, beside the pool's own.
    fn by_answers(good: f64, pool: f64) -> u32 {
        match good / pool.max(0.01) {
            r if r > 0.7 => 4,
            r if r > 0.4 => 2,
            r if r > 0.1 => 1,
            _ => 0,
        }
    }

    /// Steps by how long answers take beside the pool's. Slow alone never shuts a server out.
    fn by_wait(wait: f64, pool: f64, slo: f64) -> u32 {
        match wait / pool {
            _ if wait < 0.4 * slo => 4,
            r if r > 6.0 => 1,
            r if r > 3.0 => 2,
            _ => 4,
        }
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// What servers could have answered since then, in calls, and what they were sent as a part of that.
struct Work {
    able: f64,
    pressure: f64,
    wait: Option<f64>,
}

impl Work {
    const WINDOW: Duration = Duration::from_secs(2);
    const FULL: f64 = 0.85;

    fn of(loads: &Loads, from: Duration) -> Option<Work> {
        let waits = |s| loads.smoothed(s, from, |x| x.wait);
        let wait = median((0..loads.samples.len()).filter_map(waits).collect());
        let (mut sent, mut able) = (0.0, 0.0);
        for s in 0..loads.samples.len() {
            let busy = loads.smoothed(s, from, |x| x.cpu);
            let (tries, dropped) = loads.tries(s, from);
            if tries > dropped {
                // Tries that fail at a server with time to spare point to a cut or a fault.
                sent += if busy.is_some_and(|b| b < Self::FULL) { tries - dropped } else { tries };
                able += (tries - dropped) / busy.unwrap_or(0.7).clamp(0.05, 1.0);
            }
        }
        (able > 0.0).then(|| Work { able, pressure: sent / able, wait })
    }
}

/// How much of each route is let in, and when proxies try again.
struct Levels {
    arrived: Vec<VecDeque<(Duration, f64)>>,
    wanted: Vec<f32>,
    tries: Tries,
    written: Vec<(f32, Tries)>,
}

impl Levels {
    const AIM: f64 = 0.9;
    const LATE: f64 = 0.35;
    const LESS: f64 = 0.1;
    const GAIN: f64 = 1.1;

    /// Lets in what fits, the most important routes first. Both figures come by the same late reports, so
    /// their ratio holds while those are late, and a level set before needs no waiting for.
    fn fit(&mut self, from: Duration, work: &Work, slo: f64, importance: impl Fn(usize) -> f64) {
        // Queues that have once grown stay at a load that just fits, and every answer comes late.
        let late = work.wait.is_some_and(|w| w > Self::LATE * slo);
        if work.pressure > 1.0 {
            // Proxies that try again at a full pool fill it with the same calls.
            self.tries = Tries::One;
        } else if work.pressure < 0.8 {
            self.tries = Tries::AfterProof;
        }
        // Late reports alone, which come in lumps, are no reason to turn calls away.
        if work.pressure < 1.1 && !late && self.wanted.iter().all(|w| *w >= 1.0) {
            return;
        }
        let calls = |r: usize| self.arrived[r].iter().filter(|a| a.0 > from).map(|a| a.1).sum::<f64>();
        let calls: Vec<f64> = (0..self.wanted.len()).map(calls).collect();
        let let_in: f64 = calls.iter().zip(&self.wanted).map(|(c, w)| c * f64::from(*w)).sum();
        let mut left = ((Self::AIM - if late { Self::LESS } else { 0.0 }) * work.able)
            .min(Self::GAIN * let_in)
            .max(0.05 * calls.iter().sum::<f64>());
        let mut order: Vec<usize> = (0..calls.len()).collect();
        order.sort_by(|a, b| importance(*b).total_cmp(&importance(*a)));
        for r in order.into_iter().filter(|r| calls[*r] > 0.0) {
            let level = (left / calls[r]).min(1.0);
            left = (left - level * calls[r]).max(0.0);
            // Coarse steps, so that noise writes no orders.
            self.wanted[r] = if level > 0.97 { 1.0 } else { (level * 20.0).round() as f32 / 20.0 };
        }
    }
}

/// Steps of a quarter for servers that are fresh or come back.
struct Ramp {
    step: Vec<u32>,
    /// Still under way to its full weight since a start or a return.
    cold: Vec<bool>,
    pressure: f64,
}

impl Ramp {
    const UNHEARD: f64 = 3.0;
    const CROWDED: f64 = 1.4;
    const STEPS: u32 = 4;

    /// Guards against repeats and refusals: proxies that find the pool crowded, and keep away from what is
    /// full, send a cold server many times its share; past a point even the smallest weight draws all.
    fn part(&self, s: Server) -> f64 {
        let step = f64::from(self.step[s]) / f64::from(Self::STEPS);
        match self.pressure {
            _ if !self.cold[s] => step,
            p if p > Self::CROWDED => 0.0,
            p => step * (0.9 / p).min(1.0).powi(2),
        }
    }

    /// The steps a server may have reached by its age, against all proxies together pushing it over.
    fn allowed(now: Duration, warm_at: Duration, warm_up: Duration) -> u32 {
        if warm_at <= now || warm_up.is_zero() {
            return Self::STEPS;
        }
        let left = (warm_at - now).as_secs_f64() / warm_up.as_secs_f64();
        1 + ((1.0 - left).max(0.0) * f64::from(Self::STEPS - 1)) as u32
    }
}

/// What may be sent now.
struct Channel {
    pace: Pace,
    waiting: f64,
    drained_at: Duration,
    sent: VecDeque<Duration>,
    marks: u16,
    unanswered: VecDeque<(u16, Duration)>,
    urgent_set: bool,
}

impl Channel {
    const ORDINARY: f64 = 0.4;
    const GUARDING: f64 = 0.6;
    const CROWDED: f64 = 0.85;
    const BINDING: f64 = 1.0;
    const RETRY: Duration = Duration::from_millis(100);

    fn slow(&self, now: Duration) -> bool {
        let patience = self.pace.worst_transit * 2;
        self.unanswered.front().is_some_and(|m| now.saturating_sub(m.1) > patience)
    }

    fn drain(&mut self, now: Duration) {
        let rate = self.pace.lines_per_s * if self.slow(now) { 0.125 } else { 1.0 };
        let gone = (now - self.drained_at).as_secs_f64() * rate;
        self.waiting = (self.waiting - gone).max(0.0);
        self.drained_at = now;
        drop_old(&mut self.sent, now, self.pace.window, |t| *t);
    }

    fn room(&mut self, now: Duration, lines: f64, share: f64) -> bool {
        self.drain(now);
        self.waiting + lines <= self.pace.most_waiting * share
    }

    /// Ordinary pushes leave room for withdrawals, and these for drains; one message stays for binding.
    fn may_message(&mut self, now: Duration, share: f64) -> bool {
        self.drain(now);
        let most = self.pace.most_messages;
        most == 0 || (self.sent.len() as f64) < most.saturating_sub(1) as f64 * share
    }
}

struct Joined {
    proxy: Proxy,
    zone: Zone,
    bound: bool,
}

struct Pool {
    table: Table,
    zone: Option<Zone>,
    /// Its routes may not leave the zone.
    local: bool,
    routes: RouteSet,
    written: Vec<f32>,
}

impl Pool {
    /// What servers of other zones count for beside those of the pool's own: ordinarily, and at most.
    const FAR: (f64, f64) = (0.2, 0.6);

    fn serves(&self, zone: Zone) -> bool {
        self.zone.is_none_or(|z| z == zone)
    }
}

pub struct Planner<H> {
    host: H,
    rng: Pcg64Mcg,
    routes: Vec<Route>,
    plane: DataPlane,
    graces: Graces,
    sight: Sight,
    roster: Roster,
    loads: Loads,
    weights: Weights,
    health: Vec<Health>,
    ramp: Ramp,
    levels: Levels,
    channel: Channel,
    pools: Vec<Pool>,
    proxies: Vec<Joined>,
}

impl<H: Host> Planner<H> {
    pub fn start(
        host: H,
        seed: u64,
        routes: Vec<Route>,
        plane: DataPlane,
        graces: Graces,
        pace: Pace,
        sight: Sight,
    ) -> Self {
        let local = routes.iter().enumerate().filter(|r| r.1.stays_local).fold(0, |set, r| set | (1 << r.0));
        let all = ((1u32 << routes.len().min(16)) - 1) as RouteSet;
        let zones = if plane.zones > 1 { (0..plane.zones as Zone).map(Some).collect() } else { vec![None] };
        let mut pools: Vec<Pool> = vec![];
        for (routes, local) in [(all & !local, false), (local, true)].into_iter().filter(|p| p.0 != 0) {
            for &zone in &zones {
                pools.push(Pool { table: pools.len() as Table, zone, local, routes, written: vec![] });
            }
        }
        let n = routes.len();
        let mut planner = Planner {
            host,
            rng: Pcg64Mcg::seed_from_u64(seed),
            routes,
            plane,
            graces,
            roster: Roster { members: vec![], ask_at: None },
            loads: Loads { samples: vec![], fields: sight.fields.clone(), newest: Duration::ZERO },
            weights: Weights { learnt: vec![], changed: vec![] },
            health: vec![],
            ramp: Ramp { step: vec![], cold: vec![], pressure: Ramp::UNHEARD },
            levels: Levels {
                arrived: vec![VecDeque::new(); n],
                wanted: vec![1.0; n],
                tries: Tries::AfterProof,
                written: vec![(1.0, Tries::AfterProof); n],
            },
            channel: Channel {
                pace,
                waiting: 0.0,
                drained_at: Duration::ZERO,
                sent: VecDeque::new(),
                marks: 0,
                unanswered: VecDeque::new(),
                urgent_set: false,
            },
            sight,
            pools,
            proxies: vec![],
        };
        if planner.plane.slices == 0 {
            planner.host.admit(0, 1.0, Tries::AfterProof);
        }
        planner.ask_list(Duration::ZERO);
        // Planners that start together would otherwise all write in the same instant.
        let first = INTERVAL.mul_f64(planner.rng.random_range(0.5..1.0));
        planner.host.wake(first, TOKEN_ROUND);
        planner.host.wake(first / 2, TOKEN_LOOK);
        planner
    }

    // Roster.

    fn ask_list(&mut self, now: Duration) {
        if let Some(within) = self.sight.ask_within {
            self.roster.ask_at = Some(now + within / 2);
            self.host.watch_list();
        }
    }

    pub fn list(&mut self, now: Duration, whole: bool, entries: &[Listed]) {
        self.roster.ask_at = None;
        let mut binding = whole;
        for entry in entries {
            binding |= self.enter(now, entry);
        }
        if whole {
            let mut named = vec![false; self.roster.members.len()];
            entries.iter().for_each(|e| named[e.server] = true);
            let unnamed = self.roster.members.iter_mut().zip(named).filter(|m| !m.1);
            unnamed.filter_map(|m| m.0.as_mut()).for_each(|m| m.phase = Phase::Gone);
        }
        binding |= self.pools.iter().any(|p| p.written.iter().all(|w| *w <= 0.0));
        self.push(now, if binding { Channel::BINDING } else { Channel::ORDINARY });
    }

    /// Whether the entry takes from what proxies may send a server they hold.
    fn enter(&mut self, now: Duration, entry: &Listed) -> bool {
        let s = entry.server;
        if s >= self.roster.members.len() {
            self.roster.members.resize_with(s + 1, || None);
            self.loads.samples.resize_with(s + 1, VecDeque::new);
            self.weights.learnt.resize(s + 1, None);
            self.weights.changed.resize(s + 1, Duration::ZERO);
            self.health.resize(s + 1, Health::NEW);
            self.ramp.cold.resize(s + 1, false);
            self.ramp.step.resize(s + 1, Ramp::STEPS);
        }
        let warm_at = match entry.age {
            Some(age) if age < self.graces.warm_up => now + self.graces.warm_up - age,
            _ => Duration::ZERO,
        };
        let before = self.roster.members[s].as_ref().map(|m| (m.phase, m.warm_at));
        let fresh = before.is_none_or(|(_, w)| warm_at > w + Duration::from_millis(1));
        let back = before.is_some_and(|(p, _)| p == Phase::Gone);
        if entry.phase == Phase::Ready && ((fresh && warm_at > now) || back) {
            self.ramp.step[s] = 1;
            self.loads.samples[s].clear();
            self.ramp.cold[s] = true;
            self.health[s].clear(now, Ramp::STEPS);
        }
        if self.weights.learnt[s].is_none() {
            self.weights.learnt[s] = Some(self.weights.mean());
        }
        self.roster.members[s] = Some(Member { zone: entry.zone, phase: entry.phase, warm_at });
        before.is_some_and(|(phase, _)| phase != Phase::Gone)
            && (entry.phase != Phase::Ready || warm_at > now)
    }

    /// Asked again in the next round: a list that turns calls away at once would otherwise be flooded.
    pub fn list_failed(&mut self, now: Duration) {
        self.roster.ask_at = Some(now);
    }

    // Joining.

    /// `bare` tells that the proxy has only just started.
    pub fn joined(&mut self, now: Duration, proxy: Proxy, zone: Zone, bare: bool) {
        self.proxies.retain(|p| p.proxy != proxy);
        if !bare && self.proxies.iter().all(|p| p.zone != zone) {
            self.forget(now, zone);
        }
        self.proxies.push(Joined { proxy, zone, bound: false });
        self.push(now, Channel::BINDING);
    }

    pub fn left(&mut self, proxy: Proxy) {
        self.proxies.retain(|p| p.proxy != proxy);
    }

    fn bind_waiting(&mut self, now: Duration) {
        for proxy in self.proxies.iter_mut().filter(|p| !p.bound) {
            let mine: Vec<&Pool> = self.pools.iter().filter(|p| p.serves(proxy.zone)).collect();
            let lines = mine.iter().flat_map(|p| &p.written).filter(|w| **w > 0.0).count();
            let cost = (2 * mine.len() + lines) as f64 + self.channel.pace.head;
            if !self.channel.room(now, cost, 0.8) {
                return self.wake_urgent(now);
            }
            self.channel.waiting += cost;
            proxy.bound = true;
            for p in mine {
                self.host.bind(proxy.proxy, p.table, p.routes);
            }
        }
    }

    fn wake_urgent(&mut self, now: Duration) {
        if !self.channel.urgent_set {
            self.channel.urgent_set = true;
            self.host.wake(now + Channel::RETRY, TOKEN_URGENT);
        }
    }

    pub fn applied(&mut self, number: u16) {
        while self.channel.unanswered.iter().any(|m| m.0 == number) {
            self.channel.unanswered.pop_front();
        }
    }

    // Load.

    pub fn met(&mut self, now: Duration, s: Server, met: &Met) {
        if s < self.loads.samples.len() {
            self.loads.take(now, s, met);
        }
    }

    // Writing.

    /// What the exceptions leave of a server's learnt weight, apart from where it stands.
    fn part(&self, s: Server) -> f64 {
        if !self.roster.ready(s) { 0.0 } else { self.ramp.part(s) }
    }

    /// The one place where written weights are made: what was learnt times the exceptions.
    fn compose(&self, pool: &Pool) -> Vec<f32> {
        let all = 0..self.roster.members.len();
        let listed = |s: Server| self.roster.members[s].as_ref().filter(|m| m.phase != Phase::Gone);
        let near = |s: Server| listed(s).is_some_and(|m| pool.serves(m.zone));
        let open = |s: Server| self.roster.ready(s) && (near(s) || !pool.local);
        let learnt = |s: Server| self.weights.learnt[s].unwrap_or(1.0);
        let own = all.clone().filter(|s| near(*s));
        let (full, left) = own.fold((0.0, 0.0), |(f, l), s| (f + learnt(s), l + learnt(s) * self.part(s)));
        // What a zone has lost, far servers make up for at once, before its cold ones are swamped.
        let lost = 1.0 - if full > 0.0 { left / full } else { 0.0 };
        // Cold servers are pushed over by what only they are left to take.
        let most = if all.clone().any(|s| near(s) && self.ramp.cold[s]) { 1.0 } else { Pool::FAR.1 };
        let far = Pool::FAR.0 + (most - Pool::FAR.0) * lost;
        let place = |s: Server| if near(s) { learnt(s) } else { far * learnt(s) };
        let weight = |s: Server| if open(s) { (place(s) * self.part(s)) as f32 } else { 0.0 };
        let weights: Vec<f32> = all.clone().map(weight).collect();
        if weights.iter().any(|w| *w > 0.0) {
            return weights;
        }
        // A table is never emptied by what is believed of servers' health.
        all.map(|s| if open(s) { 1.0 } else { 0.0 }).collect()
    }

    /// When proxies may try a call again without its effect taking place twice, and where that helps: a
    /// second try that starts after the SLO time is only more work.
    fn tries(&self, r: usize) -> Tries {
        let in_time = self.plane.try_factor < 0.9;
        let last = self.routes[r].slo.mul_f64(self.plane.try_factor) + self.channel.pace.worst_transit;
        match (self.levels.tries, self.routes[r].effect) {
            (Tries::AfterProof, Effect::Repeatable) if in_time => Tries::AfterFailure,
            (Tries::AfterProof, Effect::Marked { group: Group::All, window }) if in_time && last < window => {
                Tries::AfterFailure
            }
            (tries, _) => tries,
        }
    }

    fn push(&mut self, now: Duration, share: f64) {
        if self.plane.slices > 0 {
            return;
        }
        let mut lines = vec![];
        for p in 0..self.pools.len() {
            if !self.proxies.iter().any(|x| self.pools[p].serves(x.zone)) {
                continue;
            }
            self.pools[p].written.resize(self.roster.members.len(), 0.0);
            let wanted = self.compose(&self.pools[p]);
            for (s, w) in wanted.into_iter().enumerate() {
                if w != self.pools[p].written[s] {
                    lines.push((p, s, w));
                }
            }
        }
        let tries: Vec<Tries> = (0..self.routes.len()).map(|r| self.tries(r)).collect();
        let levels: Vec<usize> = (0..self.routes.len())
            .filter(|r| self.levels.written[*r] != (self.levels.wanted[*r], tries[*r]))
            .collect();
        if !lines.is_empty() || !levels.is_empty() {
            let bound = self.proxies.iter().filter(|p| p.bound).count() as f64;
            let cost = bound * ((lines.len() + levels.len()) as f64 + self.channel.pace.head + 1.0);
            if !self.channel.may_message(now, share) || !self.channel.room(now, cost, share) {
                if share == Channel::BINDING {
                    self.wake_urgent(now);
                }
                return self.bind_waiting(now);
            }
            for (p, s, w) in lines {
                self.pools[p].written[s] = w;
                self.host.set_line(self.pools[p].table, s, w);
            }
            for r in levels {
                let share = if self.plane.levels { self.levels.wanted[r] } else { 1.0 };
                self.levels.written[r] = (self.levels.wanted[r], tries[r]);
                self.host.admit(1 << r, share, tries[r]);
            }
            self.channel.waiting += cost;
            if bound > 0.0 {
                self.channel.sent.push_back(now);
                self.channel.marks = (self.channel.marks + 1) % 50_000;
                self.host.mark(self.channel.marks);
                self.channel.unanswered.push_back((self.channel.marks, now));
            }
        }
        self.bind_waiting(now);
    }

    // Time.

    pub fn woken(&mut self, now: Duration, token: u32) {
        match token {
            TOKEN_ROUND => {
                self.host.wake(now + INTERVAL, TOKEN_ROUND);
                self.round(now);
            }
            TOKEN_LOOK => {
                self.host.wake(now + LOOK, TOKEN_LOOK);
                self.look(now);
            }
            _ => {
                self.channel.urgent_set = false;
                self.push(now, Channel::BINDING);
            }
        }
    }

    fn round(&mut self, now: Duration) {
        if self.roster.ask_at.is_some_and(|t| now >= t) {
            self.ask_list(now);
        }
        let recent = now.saturating_sub(Loads::KEPT);
        let settling = self.sight.cycle + self.channel.pace.worst_transit + Duration::from_millis(1000);
        let loads: Vec<(Server, f64)> = (0..self.roster.members.len())
            .filter(|s| self.roster.warm(*s, now) && self.ramp.step[*s] > 0)
            .filter_map(|s| {
                // A report from before the last change took hold would have the same change made twice.
                let from = recent.max(self.weights.changed[s] + settling);
                self.loads.smoothed(s, from, |x| x.load).map(|l| (s, l))
            })
            .collect();
        self.weights.scale(now, &loads, |s| self.ramp.step[s] == Ramp::STEPS);
        self.push(now, Channel::ORDINARY);
    }

    // Health.

    /// What the evidence says of one server, if there is enough of it.
    fn evidence(&self, now: Duration, s: Server) -> Option<(f64, Option<f64>)> {
        let from = now.saturating_sub(Health::EVIDENCE).max(self.health[s].fresh_from);
        let (tries, dropped) = self.loads.tries(s, from);
        let wait = self.loads.smoothed(s, from, |x| x.wait);
        (tries >= Health::LEAST_TRIES).then(|| ((tries - dropped).max(0.0) / tries, wait))
    }

    /// Guards against servers that drop, hang or crawl, whatever the list says. Where the pool at large
    /// does no better, or half of it is out already, the fault is taken to lie elsewhere.
    fn look(&mut self, now: Duration) {
        let (levels, steps, pressure) =
            (self.levels.wanted.clone(), self.ramp.step.clone(), self.ramp.pressure);
        let slo = self.routes.iter().map(|r| r.slo.as_secs_f64()).fold(f64::MAX, f64::min);
        let from = now.saturating_sub(Work::WINDOW.max(self.sight.cycle * 2));
        if let Some(work) = Work::of(&self.loads, from) {
            // The first news after a start is of the few calls that went well.
            let unheard = Ramp::UNHEARD * (1.0 - now.as_secs_f64() / 10.0);
            self.ramp.pressure = (work.pressure.max(unheard) * 10.0).round() / 10.0;
            self.levels.fit(from, &work, slo, |r| self.routes[r].importance);
        }
        for s in 0..self.roster.members.len() {
            let warm_at = self.roster.members[s].as_ref().map_or(Duration::ZERO, |m| m.warm_at);
            let by_age = Ramp::allowed(now, warm_at, self.graces.warm_up);
            if self.ramp.step[s] > 0 && self.ramp.step[s] < by_age.min(self.health[s].allowed) {
                self.ramp.step[s] += 1;
            }
            self.ramp.cold[s] &= by_age < Ramp::STEPS || self.ramp.step[s] < self.health[s].allowed;
        }
        let ready: Vec<Server> = (0..self.roster.members.len()).filter(|s| self.roster.ready(*s)).collect();
        let seen: Vec<_> = ready.iter().filter_map(|s| Some((*s, self.evidence(now, *s)?))).collect();
        let good = median(seen.iter().map(|x| x.1.0).collect()).unwrap_or(1.0);
        let wait = median(seen.iter().filter_map(|x| x.1.1).collect());
        let mut may_out = (ready.len() as f64 * Health::MOST_OUT) as usize;
        may_out = may_out.saturating_sub(ready.iter().filter(|s| self.ramp.step[**s] == 0).count());
        for &(s, (answered, own)) in &seen {
            if self.ramp.step[s] == 0 {
                continue;
            }
            let by_answers = if good < Health::MANY { 4 } else { Health::by_answers(answered, good) };
            let by_wait = own.zip(wait).map_or(4, |(o, w)| Health::by_wait(o, w, slo));
            self.allow(now, s, by_answers.min(by_wait), &mut may_out);
        }
        let quiet = self.sight.cycle * 2 + Duration::from_secs(1);
        for &s in &ready {
            let heard = self.loads.last(s).unwrap_or(Duration::ZERO).max(self.health[s].fresh_from);
            let silent = self.ramp.step[s] > 0 && self.loads.newest > heard + quiet;
            if self.ramp.step[s] == 0 {
                self.try_return(now, s);
            } else if silent && self.sight.probing {
                if self.health[s].misses >= 2 {
                    self.allow(now, s, 0, &mut may_out);
                } else {
                    self.host.probe(s);
                }
            }
        }
        let lower = self.ramp.step.iter().zip(&steps).any(|(n, b)| n < b);
        let share = match self.ramp.pressure {
            p if p > 0.9 && (p > pressure || self.levels.wanted != levels) => Channel::CROWDED,
            _ if lower => Channel::GUARDING,
            _ => Channel::ORDINARY,
        };
        self.push(now, share);
    }

    /// What was held against a zone's servers while none of its proxies could be heard may have been a cut
    /// between zones; the zone's own proxies would be sent to the others all at once.
    fn forget(&mut self, now: Duration, zone: Zone) {
        for (s, m) in self.roster.members.iter().enumerate() {
            if let Some(m) = m.as_ref().filter(|m| m.zone == zone) {
                self.health[s].clear(now + self.channel.pace.worst_transit, Ramp::STEPS);
                self.ramp.step[s] = Ramp::allowed(now, m.warm_at, self.graces.warm_up);
            }
        }
    }

    fn allow(&mut self, now: Duration, s: Server, steps: u32, may_out: &mut usize) {
        self.health[s].allowed = if *may_out == 0 { steps.max(1) } else { steps };
        if self.health[s].allowed == 0 {
            *may_out -= 1;
            self.health[s].clear(now, 0);
        }
        self.ramp.step[s] = self.ramp.step[s].min(self.health[s].allowed);
    }

    /// A server that was shut out comes back on a quarter, after probes or, without them, after a while.
    /// It may have been restarted before the list tells, so it counts as cold.
    fn try_return(&mut self, now: Duration, s: Server) {
        if self.sight.probing && self.health[s].answers < 2 {
            self.host.probe(s);
        } else if now.saturating_sub(self.health[s].fresh_from) >= self.health[s].hold {
            self.ramp.step[s] = 1;
            self.ramp.cold[s] = true;
            self.health[s].clear(now + self.channel.pace.worst_transit, Ramp::STEPS);
            self.health[s].hold = (self.health[s].hold * 2).min(Health::LONGEST_HOLD);
        }
    }

    pub fn probed(&mut self, s: Server, result: Probed) {
        if let Some(h) = self.health.get_mut(s) {
            match result {
                Probed::Answered => (h.answers, h.misses) = (h.answers + 1, 0),
                Probed::Failed => (h.answers, h.misses) = (0, h.misses + 1),
                Probed::Rejected => {}
            }
        }
    }

    pub fn came(&mut self, now: Duration, route: usize, calls: u32) {
        if let Some(list) = self.levels.arrived.get_mut(route) {
            list.push_back((now, f64::from(calls)));
            drop_old(list, now, Loads::KEPT, |a| a.0);
        }
    }
}
