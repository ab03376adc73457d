//! The decisions of one planner.
//!
//! Start a [`Planner`] with a [`Host`] and what the deployment states, then call one method for each thing
//! that happens; it answers by calling the host before it returns. The interface is `host.rs`. Times are
//! spans since the planner's start. Nothing is shared between planners.

use crate::host::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
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
    /// Called gone where that does not bind: what is met there decides.
    doubted: bool,
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

    fn zone(&self, s: Server) -> Option<Zone> {
        self.members[s].as_ref().map(|m| m.zone)
    }
}

/// What was met at one server over one cycle, as it came.
struct Sample {
    at: Duration,
    /// As told, whether or not it is believed.
    told: Option<f64>,
    load: Option<f64>,
    cpu: Option<f64>,
    tries: f64,
    dropped: f64,
    wait: Option<f64>,
    from: Zone,
}

/// The last few samples of each server; every figure is worked out from them.
struct Loads {
    samples: Vec<VecDeque<Sample>>,
    fields: Vec<Field>,
    newest: Duration,
}

impl Loads {
    const KEPT: Duration = Duration::from_secs(8);
    const STILL: Duration = Duration::from_secs(3);

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
            told: load,
            load,
            cpu,
            tries: f64::from(met.tries),
            dropped: f64::from(met.dropped),
            wait: met.wait.map(|w| w.as_secs_f64()),
            from: met.from,
        });
        // Guards against a report that stands still, at nought or elsewhere, while calls are answered: it
        // would draw ever more calls. Where next to none are answered it may be true, and does no harm.
        let still = list.iter().rev().filter(|x| x.told.is_some()).take_while(|x| x.told == load);
        let (count, first) = still.fold((0, now), |(n, _), x| (n + 1, x.at));
        if load.is_some() && count >= 3 && now - first >= Self::STILL {
            for x in list.iter_mut().filter(|x| x.told == load) {
                (x.load, x.cpu) = (None, None);
            }
        }
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

/// A server in a pool: the weight it has earned there, apart from all exceptions, and what was sent.
struct Line {
    server: Server,
    learnt: f64,
    changed: Duration,
    written: f32,
}

/// The mechanism: one shared table of many proxies.
struct Pool {
    table: Table,
    zone: Option<Zone>,
    /// Its routes may not leave the zone.
    local: bool,
    routes: RouteSet,
    lines: Vec<Line>,
    /// How far the zone leans on the others, beyond what they ordinarily take.
    reach: f64,
    /// When messages went to its proxies.
    sent: VecDeque<Duration>,
}

impl Pool {
    const CLAMP: (f64, f64) = (0.8, 1.25);
    const DEAD_BAND: f64 = 0.1;
    const CEILING: f64 = 3.0;
    /// As a part of the ceiling: far below it, a server that recovers would stay unused for a minute.
    const FLOOR: f64 = 0.02;
    const DRIFT: f64 = 0.2;
    /// What servers of other zones count for beside those of the pool's own: ordinarily, and at most.
    const FAR: (f64, f64) = (0.2, 0.6);
    const TRICKLE: f64 = 0.02;
    /// Where proxies outnumber the connections: the part of these that pools fill, and of it the near one.
    const FILLED: f64 = 0.4;
    const NEAR: f64 = 0.75;
    /// Leaning on other zones: from this busy share, by so much of the difference a second, and let go below.
    const FULL: f64 = 0.92;
    const LEAN: f64 = 0.4;
    const EASY: f64 = 0.7;

    fn serves(&self, zone: Option<Zone>) -> bool {
        self.zone.is_none() || self.zone == zone
    }

    fn mean(&self) -> f64 {
        mean(self.lines.iter().map(|l| l.learnt)).unwrap_or(1.0)
    }

    fn add(&mut self, server: Server) {
        let learnt = self.mean();
        self.lines.push(Line { server, learnt, changed: Duration::ZERO, written: 0.0 });
    }

    /// One interval: each server's weight times the pool's mean load over its own.
    fn scale(&mut self, now: Duration, loads: &[Option<f64>], whole: impl Fn(Server) -> bool) {
        let Some(pool) = mean(loads.iter().flatten().copied()).filter(|m| *m > 0.0) else { return };
        for (line, own) in self.lines.iter_mut().zip(loads).filter_map(|(l, own)| Some((l, (*own)?))) {
            let ratio = if own > 0.0 { pool / own } else { Self::CLAMP.1 };
            let factor = ratio.clamp(Self::CLAMP.0, Self::CLAMP.1);
            // Little has been heard since the last change: only what is plain counts.
            let doubt = (6.0 / (now - line.changed).as_secs_f64()).sqrt().max(1.0);
            // And a server held back looks idle because it is held back.
            if (factor - 1.0).abs() < Self::DEAD_BAND * doubt || (factor > 1.0 && !whole(line.server)) {
                continue;
            }
            line.learnt *= factor;
            line.changed = now;
        }
        let mean = self.mean();
        let scale = if (mean - 1.0).abs() > Self::DRIFT { 1.0 / mean } else { 1.0 };
        let most = Self::CEILING * mean * scale;
        for l in &mut self.lines {
            l.learnt = (l.learnt * scale).clamp(most * Self::FLOOR, most);
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

/// From which zone to which calls fared badly, and until when that counts.
struct Ways {
    bad: BTreeMap<(Zone, Zone), Duration>,
}

impl Ways {
    const HOLD: Duration = Duration::from_secs(5);

    fn bad(&self, from: Option<Zone>, to: Option<Zone>) -> bool {
        from.zip(to).is_some_and(|way| self.bad.contains_key(&way))
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
    const STEP: f64 = 0.05;
    const EASY: f64 = 0.8;

    /// Lets in what fits, the most important routes first. Both figures come by the same late reports, so
    /// their ratio holds while those are late, and a level set before needs no waiting for.
    fn fit(&mut self, from: Duration, work: &Work, slo: f64, importance: impl Fn(usize) -> f64) {
        // Queues that have once grown stay at a load that just fits, and every answer comes late.
        let late = work.wait.is_some_and(|w| w > Self::LATE * slo);
        if work.pressure > 1.0 {
            // Proxies that try again at a full pool fill it with the same calls.
            self.tries = Tries::One;
        } else if work.pressure < Self::EASY {
            self.tries = Tries::AfterProof;
        }
        // Late reports alone, which come in lumps, are no reason to turn calls away.
        if work.pressure < 1.1 && !late && self.wanted.iter().all(|w| *w >= 1.0) {
            return;
        }
        let calls = |r: usize| self.arrived[r].iter().filter(|a| a.0 > from).map(|a| a.1).sum::<f64>();
        let calls: Vec<f64> = (0..self.wanted.len()).map(calls).collect();
        let let_in: f64 = calls.iter().zip(&self.wanted).map(|(c, w)| c * f64::from(*w)).sum();
        let all: f64 = calls.iter().sum();
        // Raised by a part of what comes too: a route that was shut out would never come back by growth.
        let mut left = ((Self::AIM - if late { Self::LESS } else { 0.0 }) * work.able)
            .min(Self::GAIN * let_in + if work.pressure < Self::EASY { Self::STEP * all } else { 0.0 })
            .max(Self::STEP * all);
        let mut order: Vec<usize> = (0..calls.len()).collect();
        order.sort_by(|a, b| importance(*b).total_cmp(&importance(*a)));
        for r in order.into_iter().filter(|r| calls[*r] > 0.0) {
            let level = (left / calls[r]).min(1.0);
            left = (left - level * calls[r]).max(0.0);
            // Coarse steps, so that noise writes no orders.
            self.wanted[r] =
                if level > 0.97 { 1.0 } else { ((level / Self::STEP).round() * Self::STEP) as f32 };
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
    marks: u16,
    /// Numbers of marks, and when an answer is overdue.
    unanswered: VecDeque<(u16, Duration)>,
    urgent_set: bool,
}

impl Channel {
    const ORDINARY: f64 = 0.4;
    const GUARDING: f64 = 0.6;
    const CROWDED: f64 = 0.85;
    const BINDING: f64 = 1.0;
    const RETRY: Duration = Duration::from_millis(100);

    fn room(&mut self, now: Duration, lines: f64, share: f64) -> bool {
        let slow = self.unanswered.front().is_some_and(|m| now > m.1);
        let rate = self.pace.lines_per_s * if slow { 0.125 } else { 1.0 };
        self.waiting = (self.waiting - (now - self.drained_at).as_secs_f64() * rate).max(0.0);
        self.drained_at = now;
        self.waiting + lines <= self.pace.most_waiting * share
    }

    /// Ordinary pushes leave room for withdrawals, and these for drains; one message stays for binding.
    fn may_message(&self, now: Duration, sent: &mut VecDeque<Duration>, share: f64) -> bool {
        drop_old(sent, now, self.pace.window, |t| *t);
        let most = self.pace.most_messages;
        most == 0 || (sent.len() as f64) < most.saturating_sub(1) as f64 * share
    }

    fn mark(&mut self, now: Duration) -> u16 {
        self.marks = (self.marks + 1) % 50_000;
        let queued = Duration::from_secs_f64(self.waiting / self.pace.lines_per_s.max(1.0));
        self.unanswered.push_back((self.marks, now + queued + self.pace.worst_transit * 2));
        self.marks
    }
}

struct Joined {
    zone: Zone,
    rate: f64,
    /// One for each set of routes; kept over a break, so that connections serve on.
    pools: Vec<usize>,
    here: bool,
    bound: bool,
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
    health: Vec<Health>,
    ramp: Ramp,
    levels: Levels,
    channel: Channel,
    pools: Vec<Pool>,
    /// Near and far servers that a pool is to hold.
    width: (usize, usize),
    ways: Ways,
    proxies: BTreeMap<Proxy, Joined>,
    unbound: VecDeque<Proxy>,
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
        let n = routes.len();
        let mut planner = Planner {
            host,
            rng: Pcg64Mcg::seed_from_u64(seed),
            routes,
            plane,
            graces,
            roster: Roster { members: vec![], ask_at: None },
            loads: Loads { samples: vec![], fields: sight.fields.clone(), newest: Duration::ZERO },
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
                marks: 0,
                unanswered: VecDeque::new(),
                urgent_set: false,
            },
            sight,
            pools: vec![],
            width: (usize::MAX, usize::MAX),
            ways: Ways { bad: BTreeMap::new() },
            proxies: BTreeMap::new(),
            unbound: VecDeque::new(),
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
        entries.iter().for_each(|e| self.enter(now, e));
        if whole {
            let mut named = vec![false; self.roster.members.len()];
            entries.iter().for_each(|e| named[e.server] = true);
            for s in (0..named.len()).filter(|s| !named[*s]) {
                self.gone(s);
            }
        }
        self.deal(now);
        self.push(now);
    }

    fn enter(&mut self, now: Duration, entry: &Listed) {
        let s = entry.server;
        if s >= self.roster.members.len() {
            self.roster.members.resize_with(s + 1, || None);
            self.loads.samples.resize_with(s + 1, VecDeque::new);
            self.health.resize(s + 1, Health::NEW);
            self.ramp.cold.resize(s + 1, false);
            self.ramp.step.resize(s + 1, Ramp::STEPS);
        }
        if entry.phase == Phase::Gone {
            return self.gone(s);
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
        self.roster.members[s] =
            Some(Member { zone: entry.zone, phase: entry.phase, warm_at, doubted: false });
    }

    /// Guards against a list that calls running servers gone: where that does not bind, one that was not
    /// seen draining stays until it fails, and needs no ramp when it is listed again.
    fn gone(&mut self, s: Server) {
        if let Some(m) = &mut self.roster.members[s] {
            m.doubted = !self.graces.gone_binds && m.phase == Phase::Ready && self.ramp.step[s] > 0;
            if !m.doubted {
                m.phase = Phase::Gone;
            }
        }
    }

    /// Asked again in the next round: a list that turns calls away at once would otherwise be flooded.
    pub fn list_failed(&mut self, now: Duration) {
        self.roster.ask_at = Some(now);
    }

    // Pools.

    /// One pool of all servers for each zone, as long as servers accept the connections that this takes.
    /// Past that each proxy pays a handshake for nearly every call and servers turn connections away, so
    /// the zone's servers are dealt out to several pools.
    fn lay_out(&mut self) {
        let servers = (0..self.roster.members.len()).filter(|s| self.roster.ready(*s)).count();
        if servers == 0 || self.plane.slices > 0 {
            return;
        }
        let accepted = self.plane.least_conns * servers as f64 / self.plane.proxies.max(1) as f64;
        let lines = (Pool::FILLED * accepted).max(8.0);
        let zones =
            if self.plane.zones > 1 { (0..self.plane.zones as Zone).map(Some).collect() } else { vec![None] };
        let local =
            self.routes.iter().enumerate().filter(|r| r.1.stays_local).fold(0, |set, r| set | (1 << r.0));
        let all = ((1u32 << self.routes.len().min(16)) - 1) as RouteSet;
        let near = servers as f64 / zones.len() as f64;
        let split = lines < servers as f64;
        let pools = if split { (near / (Pool::NEAR * lines)).ceil().max(1.0) } else { 1.0 };
        if split {
            self.width = ((near / pools) as usize, ((1.0 - Pool::NEAR) * lines).ceil() as usize);
        }
        let sets: Vec<_> = [(all & !local, false), (local, true)].into_iter().filter(|p| p.0 != 0).collect();
        // A proxy has a pool of each set, and the cap holds for all of its messages.
        self.channel.pace.most_messages = self.channel.pace.most_messages.div_ceil(sets.len().max(1));
        for (routes, local) in sets {
            for &zone in &zones {
                for _ in 0..pools as usize {
                    let table = self.pools.len() as Table;
                    let (lines, sent) = (vec![], VecDeque::new());
                    self.pools.push(Pool { table, zone, local, routes, lines, reach: 0.0, sent });
                }
            }
        }
    }

    /// Every server into a pool of its zone, and into every pool what it lacks: near ones while there are
    /// any, else far ones. Against a pool left with too little when its servers go, all at once or singly.
    fn deal(&mut self, now: Duration) {
        if self.pools.is_empty() {
            self.lay_out();
        }
        let n = self.roster.members.len();
        let open: Vec<bool> = (0..n).map(|s| self.roster.ready(s) && self.ramp.step[s] > 0).collect();
        // Of far zones the one with the most room, in coarse steps.
        let zones: Vec<u32> = self.busy(now).iter().map(|b| (b.unwrap_or(0.5) * 5.0) as u32).collect();
        // Planners that deal alike would make the same pools hot.
        let mut order: Vec<Server> = (0..n).collect();
        order.shuffle(&mut self.rng);
        let mut first = 0;
        while first < self.pools.len() {
            let key = (self.pools[first].zone, self.pools[first].local);
            let last = first + self.pools[first..].iter().take_while(|p| (p.zone, p.local) == key).count();
            let group = &mut self.pools[first..last];
            let near: Vec<bool> = (0..n).map(|s| group[0].serves(self.roster.zone(s))).collect();
            let fullness = |s: Server| {
                let zone = self.roster.zone(s);
                (self.ways.bad(key.0, zone), zone.and_then(|z| zones.get(usize::from(z))))
            };
            let mut holders = vec![0; n];
            for pool in group.iter_mut() {
                pool.lines.retain(|l| l.written > 0.0 || self.roster.ready(l.server));
                pool.lines.iter().for_each(|l| holders[l.server] += 1);
            }
            let unheld = |s: &&Server| self.roster.ready(**s) && near[**s] && holders[**s] == 0;
            for s in order.iter().filter(unheld).copied().collect::<Vec<Server>>() {
                let pool = group.iter_mut().min_by_key(|p| p.lines.iter().filter(|l| near[l.server]).count());
                pool.expect("a group has a pool").add(s);
                holders[s] = 1;
            }
            for pool in group {
                let mut held = vec![false; n];
                pool.lines.iter().for_each(|l| held[l.server] = true);
                let count = |near_too: bool| {
                    pool.lines.iter().filter(|l| open[l.server] && near[l.server] == near_too).count()
                };
                let short = self.width.0.min(n).saturating_sub(count(true));
                let reached = self.width.1.min(n) + (pool.reach * self.width.0.min(n) as f64) as usize;
                let far = reached.saturating_sub(count(false));
                for want_near in (0..short).map(|_| true).chain((0..far).map(|_| false)) {
                    let may = |s: &&Server| open[**s] && !held[**s] && (want_near || !near[**s]);
                    let best =
                        order.iter().filter(may).min_by_key(|s| (!near[**s], fullness(**s), holders[**s]));
                    let Some(&s) = best else { break };
                    (held[s], holders[s]) = (true, holders[s] + 1);
                    pool.add(s);
                }
            }
            first = last;
        }
    }

    // Joining.

    /// `bare` tells that the proxy has only just started, `rate` how many calls a second it usually gets.
    pub fn joined(&mut self, now: Duration, proxy: Proxy, zone: Zone, bare: bool, rate: f64) {
        if !bare && self.proxies.values().all(|p| !p.here || p.zone != zone) {
            self.forget(now, zone);
        }
        let pools = self.proxies.remove(&proxy).map_or(vec![], |p| p.pools);
        self.proxies.insert(proxy, Joined { zone, rate, pools, here: true, bound: false });
        self.unbound.retain(|p| *p != proxy);
        self.unbound.push_back(proxy);
        self.bind_waiting(now);
    }

    pub fn left(&mut self, proxy: Proxy) {
        if let Some(p) = self.proxies.get_mut(&proxy) {
            (p.here, p.bound) = (false, false);
        }
        self.unbound.retain(|p| *p != proxy);
    }

    /// For each set of routes the pool of the zone that is asked for the least.
    fn choose(&self, zone: Zone) -> Vec<usize> {
        let mut rates = vec![0.0; self.pools.len()];
        for p in self.proxies.values().filter(|p| p.here) {
            p.pools.iter().for_each(|i| rates[*i] += p.rate);
        }
        let of = |local| {
            let mine = move |i: &usize| self.pools[*i].local == local && self.pools[*i].serves(Some(zone));
            (0..rates.len()).filter(mine).min_by(|a, b| rates[*a].total_cmp(&rates[*b]))
        };
        of(false).into_iter().chain(of(true)).collect()
    }

    fn bind_waiting(&mut self, now: Duration) {
        while let Some(&proxy) = self.unbound.front().filter(|_| !self.pools.is_empty()) {
            let mut pools = self.proxies[&proxy].pools.clone();
            if pools.is_empty() {
                pools = self.choose(self.proxies[&proxy].zone);
            }
            for &p in &pools {
                // A table that nobody holds costs nothing to bring up to date.
                if !self.proxies.values().any(|x| x.bound && x.pools.contains(&p)) {
                    let wanted: Vec<f32> = self.compose(&self.pools[p]);
                    self.write(p, wanted.into_iter().enumerate());
                }
            }
            let lines = pools.iter().flat_map(|p| &self.pools[*p].lines).filter(|l| l.written > 0.0).count();
            let cost = (2 * pools.len() + lines) as f64 + self.channel.pace.head;
            if !self.channel.room(now, cost, 0.8) {
                return self.wake_urgent(now);
            }
            self.channel.waiting += cost;
            for &p in &pools {
                self.host.bind(proxy, self.pools[p].table, self.pools[p].routes);
            }
            if let Some(p) = self.proxies.get_mut(&proxy) {
                (p.pools, p.bound) = (pools, true);
            }
            self.unbound.pop_front();
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
        let near = |l: &Line| pool.serves(self.roster.zone(l.server));
        let open = |l: &Line| self.roster.ready(l.server) && (near(l) || !pool.local);
        let own = pool.lines.iter().filter(|l| near(l));
        let (full, left) =
            own.fold((0.0, 0.0), |(f, w), l| (f + l.learnt, w + l.learnt * self.part(l.server)));
        // What a zone has lost, far servers make up for at once, before its cold ones are swamped.
        let lost = 1.0 - if full > 0.0 { left / full } else { 0.0 };
        // Cold servers are pushed over by what only they are left to take.
        let cold = pool.lines.iter().any(|l| near(l) && self.ramp.cold[l.server]);
        let most = if cold { 1.0 } else { Pool::FAR.1 };
        let far = Pool::FAR.0 + ((most - Pool::FAR.0) * lost).max((1.0 - Pool::FAR.0) * pool.reach);
        let weight = |l: &Line| {
            let place = match near(l) {
                true => 1.0,
                false if self.ways.bad(pool.zone, self.roster.zone(l.server)) => Pool::TRICKLE,
                false => far,
            };
            if open(l) { (l.learnt * place * self.part(l.server)) as f32 } else { 0.0 }
        };
        let weights: Vec<f32> = pool.lines.iter().map(weight).collect();
        if weights.iter().any(|w| *w > 0.0) {
            return weights;
        }
        // A table is never emptied by what is believed of servers' health.
        pool.lines.iter().map(|l| if open(l) { 1.0 } else { 0.0 }).collect()
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

    /// The part of the channel that a changed line may use: the more, the more it takes from a server that
    /// must not have it. A fall beyond what the mechanism makes at once is an exception's.
    fn need(&self, line: &Line, wanted: f32) -> f64 {
        let kept = f64::from(wanted) / f64::from(line.written);
        match line.server {
            _ if kept.is_nan() || kept > 0.9 * Pool::CLAMP.0 => Channel::ORDINARY,
            s if !self.roster.ready(s) || (self.ramp.cold[s] && kept < 0.3) => Channel::BINDING,
            s if self.ramp.cold[s] => Channel::CROWDED,
            _ => Channel::GUARDING,
        }
    }

    /// Sends what has changed, the most needed pools first and each as far as the channel allows; the rest
    /// stays to be sent, with whatever changes until then.
    fn push(&mut self, now: Duration) {
        let mut proxies = vec![0.0; self.pools.len()];
        for p in self.proxies.values().filter(|p| p.bound) {
            p.pools.iter().for_each(|i| proxies[*i] += 1.0);
        }
        let bound = self.proxies.values().filter(|p| p.bound).count() as f64;
        let head = self.channel.pace.head + 1.0;
        let with_levels = self.push_levels(now, bound, head);
        let mut changes = vec![];
        for (i, pool) in self.pools.iter().enumerate().filter(|(i, _)| proxies[*i] > 0.0) {
            let wanted = self.compose(pool).into_iter().enumerate();
            let lines: Vec<(usize, f32, f64)> = wanted
                .filter(|(l, w)| *w != pool.lines[*l].written)
                .map(|(l, w)| (l, w, self.need(&pool.lines[l], w)))
                .collect();
            let empty = pool.lines.iter().all(|l| l.written <= 0.0 || !self.roster.ready(l.server));
            let most = lines.iter().map(|l| l.2).fold(0.0, f64::max);
            if !lines.is_empty() {
                changes.push((if empty { Channel::BINDING } else { most }, i, lines));
            }
        }
        // Where not all fits, none is always the last.
        let turn = self.rng.random_range(0..self.pools.len().max(1));
        changes.sort_by_key(|c| ((-1000.0 * c.0) as i64, c.1 < turn, c.1));
        let mut marked = with_levels;
        for (need, i, mut lines) in changes {
            let free = with_levels || self.channel.may_message(now, &mut self.pools[i].sent, need);
            if free && !self.channel.room(now, proxies[i] * (lines.len() as f64 + head), need) {
                lines.retain(|l| l.2 >= need);
            }
            let cost = proxies[i] * (lines.len() as f64 + head);
            if !free || !self.channel.room(now, cost, need) {
                if need >= Channel::BINDING {
                    self.wake_urgent(now);
                }
                continue;
            }
            self.channel.waiting += cost;
            if !with_levels {
                self.pools[i].sent.push_back(now);
            }
            self.write(i, lines.into_iter().map(|l| (l.0, l.1)));
            marked = true;
        }
        if marked && bound > 0.0 {
            let number = self.channel.mark(now);
            self.host.mark(number);
        }
        self.bind_waiting(now);
    }
    fn write(&mut self, pool: usize, lines: impl Iterator<Item = (usize, f32)>) {
        let pool = &mut self.pools[pool];
        for (l, weight) in lines.filter(|(l, w)| pool.lines[*l].written != *w).collect::<Vec<_>>() {
            pool.lines[l].written = weight;
            self.host.set_line(pool.table, pool.lines[l].server, weight);
        }
    }

    /// Whether levels were sent; they go to every proxy, so all else may go with them.
    fn push_levels(&mut self, now: Duration, bound: f64, head: f64) -> bool {
        let tries: Vec<Tries> = (0..self.routes.len()).map(|r| self.tries(r)).collect();
        let levels: Vec<usize> = (0..self.routes.len())
            .filter(|r| self.levels.written[*r] != (self.levels.wanted[*r], tries[*r]))
            .collect();
        // One pool that is often written would otherwise keep levels from all, up as well as down.
        let share = Channel::CROWDED;
        let cost = bound * (levels.len() as f64 + head);
        let may = self.pools.iter_mut().all(|p| self.channel.may_message(now, &mut p.sent, share));
        if levels.is_empty() || !may || !self.channel.room(now, cost, share) {
            return false;
        }
        for r in levels {
            let share = if self.plane.levels { self.levels.wanted[r] } else { 1.0 };
            self.levels.written[r] = (self.levels.wanted[r], tries[r]);
            self.host.admit(1 << r, share, tries[r]);
        }
        self.channel.waiting += cost;
        if bound > 0.0 {
            self.pools.iter_mut().for_each(|p| p.sent.push_back(now));
        }
        bound > 0.0
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
                self.push(now);
            }
        }
    }

    fn round(&mut self, now: Duration) {
        if self.roster.ask_at.is_some_and(|t| now >= t) {
            self.ask_list(now);
        }
        let recent = now.saturating_sub(Loads::KEPT);
        let settling = self.sight.cycle + self.channel.pace.worst_transit + Duration::from_millis(1000);
        for pool in &mut self.pools {
            let figures = |l: &Line| {
                // A report from before the last change took hold would have the same change made twice.
                let from = recent.max(l.changed + settling);
                let figure = |of: fn(&Sample) -> Option<f64>| self.loads.smoothed(l.server, from, of);
                let weighed = self.roster.warm(l.server, now) && self.ramp.step[l.server] > 0;
                if weighed { (figure(|x| x.load), figure(|x| x.wait)) } else { (None, None) }
            };
            let heard: Vec<(Option<f64>, Option<f64>)> = pool.lines.iter().map(figures).collect();
            let usual = mean(heard.iter().filter_map(|h| h.0));
            let wait = median(heard.iter().filter_map(|h| h.1).collect()).filter(|w| *w > 0.0);
            // One that answers and tells nothing to be believed counts by how long its answers take.
            let by_wait = |own: Option<f64>| Some(usual? * own? / wait?);
            let loads: Vec<Option<f64>> = heard.iter().map(|h| h.0.or_else(|| by_wait(h.1))).collect();
            pool.scale(now, &loads, |s| self.ramp.step[s] == Ramp::STEPS);
        }
        self.push(now);
    }

    /// Each second: how full the pool is, how far cold servers are, and who fails.
    fn look(&mut self, now: Duration) {
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
        self.judge(now, slo);
        self.watch_ways(now, slo);
        self.lean(now);
        self.deal(now);
        self.push(now);
    }

    /// How busy each zone's servers are.
    fn busy(&self, now: Duration) -> Vec<Option<f64>> {
        let since = now.saturating_sub(Health::EVIDENCE);
        let within = |z| (0..self.roster.members.len()).filter(move |s| self.roster.zone(*s) == Some(z));
        let load = |s: Server| self.loads.smoothed(s, since, |x| x.cpu);
        (0..self.plane.zones.max(1) as Zone).map(|z| mean(within(z).filter_map(load))).collect()
    }

    /// Guards against ways between zones that are cut, slow or lossy, and against far servers that fare
    /// worse than near ones for whatever cause; a trickle stays, to tell when that ends.
    fn watch_ways(&mut self, now: Duration, slo: f64) {
        let since = now.saturating_sub(Health::EVIDENCE);
        let busy = self.busy(now);
        // Where a trickle is too little to tell, calls have to tell again.
        self.ways.bad.retain(|_, until| *until > now);
        for from in 0..self.plane.zones as Zone {
            let mut met = vec![(0.0, 0.0, 0.0); self.plane.zones];
            for s in 0..self.roster.members.len() {
                let Some(there) = self.roster.zone(s).and_then(|z| met.get_mut(usize::from(z))) else {
                    continue;
                };
                for x in self.loads.since(s, since).filter(|x| x.from == from) {
                    let answered = (x.tries - x.dropped).max(0.0);
                    *there =
                        (there.0 + x.tries, there.1 + answered, there.2 + answered * x.wait.unwrap_or(0.0));
                }
            }
            let (tries, answered, waits) = met[usize::from(from)];
            for to in (0..self.plane.zones as Zone).filter(|to| *to != from) {
                let far = met[usize::from(to)];
                // A trickle has to do for taking a way back, not for giving it up.
                let least =
                    if self.ways.bad.contains_key(&(from, to)) { 1.0 } else { 5.0 } * Health::LEAST_TRIES;
                if tries < least || far.0 < least {
                    continue;
                }
                let lossy = far.1 / far.0 < 0.7 * answered / tries;
                let slow = far.2 / far.1.max(1.0) > waits / answered.max(1.0) + 0.4 * slo;
                // Calls fare badly at full servers too, and leave them one by one, by their weights.
                let full = busy[usize::from(to)].is_some_and(|b| b > Pool::FULL);
                if !full && (lossy || slow) {
                    self.ways.bad.insert((from, to), now + Ways::HOLD);
                } else {
                    self.ways.bad.remove(&(from, to));
                }
            }
        }
    }

    /// Against a zone that is full while another has time to spare, as when its traffic or its servers were
    /// never shared out evenly, move for good, or slow down together.
    fn lean(&mut self, now: Duration) {
        let from = now.saturating_sub(Health::EVIDENCE);
        for pool in &mut self.pools {
            let busy = |near: bool| {
                let there = |l: &&Line| {
                    let zone = self.roster.zone(l.server);
                    let full = self.ramp.step[l.server] == Ramp::STEPS;
                    full && pool.serves(zone) == near && !self.ways.bad(pool.zone, zone)
                };
                mean(
                    pool.lines
                        .iter()
                        .filter(there)
                        .filter_map(|l| self.loads.smoothed(l.server, from, |x| x.cpu)),
                )
            };
            let throttled = self.levels.wanted.iter().any(|w| *w < 1.0);
            let change = match (busy(true), busy(false)) {
                (Some(near), Some(far)) if near > Pool::FULL || throttled || far > near => {
                    Pool::LEAN * (near - far)
                }
                (Some(near), Some(_)) if near > Pool::EASY => 0.0,
                _ => -Pool::LEAN / 20.0,
            };
            pool.reach = (pool.reach + change).clamp(0.0, 1.5);
        }
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
    fn judge(&mut self, now: Duration, slo: f64) {
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
        let heard = |s: Server| self.loads.last(s).unwrap_or(Duration::ZERO).max(self.health[s].fresh_from);
        let silence = |s: Server| self.loads.newest.saturating_sub(heard(s));
        // Where most are seldom heard, by few calls or by reports cut off, that is no sign.
        let usual = median(ready.iter().map(|s| silence(*s).as_secs_f64()).collect()).unwrap_or(0.0);
        let quiet = self.sight.cycle * 2 + Duration::from_secs_f64(1.0 + 4.0 * usual);
        let silent: Vec<Server> = ready.iter().copied().filter(|s| silence(*s) > quiet).collect();
        let mut probes = ready.len() / 20 + 3;
        for s in ready {
            if self.ramp.step[s] == 0 {
                self.try_return(now, s, &mut probes);
            } else if silent.binary_search(&s).is_ok() && self.sight.probing {
                if self.health[s].misses >= 2 {
                    self.allow(now, s, 0, &mut may_out);
                } else {
                    self.probe(s, &mut probes);
                }
            }
        }
    }

    /// Probes cost work, and many at once are turned away.
    fn probe(&mut self, s: Server, left: &mut usize) {
        if *left > 0 {
            *left -= 1;
            self.host.probe(s);
        }
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
            if let Some(m) = self.roster.members[s].as_mut().filter(|m| m.doubted) {
                m.phase = Phase::Gone;
            }
        }
        self.ramp.step[s] = self.ramp.step[s].min(self.health[s].allowed);
    }

    /// A server that was shut out comes back on a quarter, after probes or, without them, after a while.
    /// It may have been restarted before the list tells, so it counts as cold.
    fn try_return(&mut self, now: Duration, s: Server, probes: &mut usize) {
        if self.sight.probing && self.health[s].answers < 2 {
            self.probe(s, probes);
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
