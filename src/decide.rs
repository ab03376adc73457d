//! The decisions of one planner.
//!
//! Start a [`Planner`] with a [`Host`] and what the deployment states, then call one method for each thing
//! that happens; it answers by calling the host before it returns. The interface is `host.rs`, the plain
//! data kept `kept.rs`. Times are spans since the planner's start. Nothing is shared between planners.

use crate::host::*;
use crate::kept::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const LOOK: Duration = Duration::from_secs(1);
const INTERVAL_IN_LOOKS: u32 = 2;
const TOKEN_LOOK: u32 = 1;
const TOKEN_URGENT: u32 = 2;

impl Peer {
    const KEPT: Duration = Duration::from_secs(8);
    const STILL: Duration = Duration::from_secs(3);

    fn unlisted() -> Peer {
        let ramp = Ramp { step: Ramp::STEPS, cold: false, since: Duration::ZERO };
        let (load, health) = (Samples::default(), Health::NEW);
        let (zone, phase, warm_at, doubted) = (0, Phase::Draining, Duration::ZERO, false);
        Peer { zone, phase, warm_at, doubted, load, health, ramp }
    }

    fn open(&self) -> bool {
        self.ready() && self.ramp.step > 0
    }

    /// Guards against a list that calls running servers gone: where that does not bind, one that was not
    /// seen draining stays until it fails, and needs no ramp when it is listed again.
    fn gone(&mut self, binds: bool) {
        self.doubted = !binds && self.open();
        self.phase = if self.doubted { self.phase } else { Phase::Gone };
    }

    /// Guards against a report that stands still, at nought or elsewhere, while calls are answered: it would
    /// draw ever more calls. An honest one that does so is judged by its waits meanwhile.
    fn take(&mut self, sample: Sample) {
        let (now, told, samples) = (sample.at, sample.told, &mut self.load.0);
        drop_old(samples, now, Self::KEPT, |x| x.at);
        samples.push_back(sample);
        let still = samples.iter().rev().filter(|x| x.told.is_some()).take_while(|x| x.told == told);
        let (count, first) = still.fold((0, now), |(n, _), x| (n + 1, x.at));
        if count >= 3 && now - first >= Self::STILL {
            samples.iter_mut().filter(|x| x.told == told).for_each(|x| (x.load, x.cpu) = (None, None));
        }
    }
}

impl Pool {
    const CLAMP: (f64, f64) = (0.8, 1.25);
    const DEAD_BAND: f64 = 0.1;
    const CEILING: f64 = 3.0;
    /// Of the ceiling: a server that has fallen far below would take minutes to come back.
    const FLOOR: f64 = 0.02;
    const DRIFT: f64 = 0.2;
    /// Where proxies outnumber the connections: the part of these that pools fill, and of it the near one.
    const FILLED: f64 = 0.4;
    const NEAR: f64 = 0.75;

    fn add(&mut self, server: Server) {
        let learnt = self.mean();
        self.lines.push(Line { server, learnt, changed: Duration::ZERO, written: 0.0, leaving: false });
    }

    /// The mechanism, one interval: each server's weight times the pool's mean load over its own.
    fn scale(&mut self, now: Duration, loads: &[Option<f64>], whole: impl Fn(Server) -> bool) {
        let Some(pool) = mean(loads.iter().flatten().copied()).filter(|m| *m > 0.0) else { return };
        for (line, own) in self.lines.iter_mut().zip(loads).filter_map(|(l, own)| Some((l, (*own)?))) {
            let factor = (pool / own).clamp(Self::CLAMP.0, Self::CLAMP.1);
            // Little has been heard since the last change: only what is plain counts.
            let doubt = (6.0 / (now - line.changed).as_secs_f64()).sqrt().max(1.0);
            // And a server held back looks idle because it is held back.
            if (factor - 1.0).abs() >= Self::DEAD_BAND * doubt && (factor < 1.0 || whole(line.server)) {
                line.learnt *= factor;
                line.changed = now;
            }
        }
        let mean = self.mean();
        let scale = if (mean - 1.0).abs() > Self::DRIFT { 1.0 / mean } else { 1.0 };
        let most = Self::CEILING * mean * scale;
        self.lines.iter_mut().for_each(|l| l.learnt = (l.learnt * scale).clamp(most * Self::FLOOR, most));
    }
}

impl Zones {
    /// What far servers count for beside near ones: ordinarily, at most for those lost, over a bad way.
    const FAR: (f64, f64, f64) = (0.2, 0.6, 0.02);
    const HOLD: Duration = Duration::from_secs(5);
    const FULL: f64 = 0.92;
    const EASY: f64 = 0.7;
    const LEAN: f64 = 0.4;
    const MOST: f64 = 1.5;

    /// Guards against ways between zones that are cut, slow or lossy; and against a zone that is full while
    /// another has time to spare, as its traffic or its servers are shared out unevenly, move, or slow down
    /// together. `met` gives, from zone to zone, the tries, the answered ones and the sum of their waits.
    fn judge(&mut self, now: Duration, slo: f64, throttled: bool, met: impl Fn(usize, usize) -> [f64; 3]) {
        // Where a trickle is too little to tell, the way is tried again in full after a while.
        self.bad.retain(|_, until| *until > now);
        for from in 0..self.busy.len() {
            let [tries, answered, waits] = met(from, from);
            let mut far = None;
            for to in (0..self.busy.len()).filter(|to| *to != from) {
                let way = (from as Zone, to as Zone);
                let [t, a, w] = met(from, to);
                let least = if self.bad.contains_key(&way) { 1.0 } else { 5.0 } * Health::LEAST_TRIES;
                // Calls fare badly at full servers too; these lose weight one by one.
                if tries.min(t) >= least && self.busy[to].is_none_or(|b| b < Levels::FULL) {
                    let slow = w / a.max(1.0) > waits / answered.max(1.0) + 0.4 * slo;
                    if slow || a / t < 0.7 * answered / tries {
                        self.bad.insert(way, now + Self::HOLD);
                    } else {
                        self.bad.remove(&way);
                    }
                }
                let reached = self.busy[to].filter(|_| !self.bad.contains_key(&way));
                far = [far, reached].into_iter().flatten().min_by(f64::total_cmp);
            }
            let change = match (self.busy[from], far) {
                (Some(a), Some(b)) if a > Self::FULL || throttled || b > a => Self::LEAN * (a - b),
                (Some(a), Some(_)) if a > Self::EASY => 0.0,
                _ => -Self::LEAN / 20.0,
            };
            self.reach[from] = (self.reach[from] + change).clamp(0.0, Self::MOST);
        }
    }
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

    /// Steps by the part of tries that was answered, and by how long that took, beside the pool's own. Slow
    /// alone never shuts a server out; where most calls fail everywhere, the fault lies elsewhere.
    fn steps(own: (f64, Option<f64>), pool: (f64, Option<f64>), slo: f64) -> u32 {
        let good = if pool.0 < Self::MANY { 1.0 } else { own.0 / pool.0 };
        let by_answers = [0.1, 0.4, 0.7, 0.7].iter().filter(|least| good > **least).count() as u32;
        let wait = own.1.zip(pool.1).filter(|(o, _)| *o > 0.4 * slo).map_or(0.0, |(o, p)| o / p);
        by_answers.min(Ramp::STEPS - 2 * u32::from(wait > 3.0) - u32::from(wait > 6.0))
    }
}

impl Ramp {
    const CROWDED: f64 = 1.4;
    const STEPS: u32 = 4;

    /// Guards against repeats and refusals: proxies that find the pool crowded, and keep away from what is
    /// full, send a cold server many times its share; past a point even the smallest weight draws all.
    fn part(&self, pressure: f64) -> f64 {
        let step = f64::from(self.step) / f64::from(Self::STEPS);
        match pressure {
            _ if !self.cold => step,
            p if p > Self::CROWDED => 0.0,
            p => step * (0.9 / p).min(1.0).powi(2),
        }
    }

    /// The steps a server may have reached by its age, against all proxies together pushing it over.
    fn allowed(now: Duration, warm_at: Duration, warm_up: Duration) -> u32 {
        let left = warm_at.saturating_sub(now).as_secs_f64() / warm_up.as_secs_f64().max(0.001);
        1 + ((1.0 - left).max(0.0) * f64::from(Self::STEPS - 1)) as u32
    }
}

impl Levels {
    const WINDOW: Duration = Duration::from_secs(2);
    const FULL: f64 = 0.85;
    const UNHEARD: f64 = 3.0;
    const AIM: f64 = 0.9;
    const LATE: f64 = 0.35;
    const LESS: f64 = 0.1;
    const GAIN: f64 = 1.1;
    const STEP: f64 = 0.05;
    const EASY: f64 = 0.8;
    /// The part of the calls that is taken to be told of at the least.
    const TOLD: f64 = 0.3;

    fn window(cycle: Duration) -> Duration {
        Self::WINDOW.max(cycle * 2)
    }

    /// Lets in what fits, the most important routes first. What servers are able to and what came are known
    /// by the same late reports, so their ratio holds while those are late.
    fn fit(&mut self, now: Duration, cycle: Duration, peers: &[Peer], routes: &[Route], slo: f64, told: f64) {
        let from = now.saturating_sub(Self::window(cycle));
        let (mut sent, mut able, mut all, mut good) = (0.0, 0.0, 0.0, 0.0);
        // Of those that stay: what they are able to, how many were heard of, and how many there are.
        let (mut lasting, mut heard, mut stay, mut known) = (0.0, 0.0, 0.0, 0.0);
        for (peer, load) in peers.iter().map(|p| (p, &p.load)) {
            let busy = load.mean(from, |x| x.cpu);
            let (tries, answered) = (load.sum(from, |x| x.tries), load.sum(from, Sample::answered));
            (all, good) = (all + tries, good + answered);
            let unasked = tries == 0.0 && peer.open() && !peer.ramp.cold;
            heard += if answered > 0.0 { 1.0 } else { 0.0 };
            known += if peer.ready() && answered > 0.0 { 1.0 } else { 0.0 };
            stay += if unasked || (peer.ready() && answered > 0.0) { 1.0 } else { 0.0 };
            if answered > 0.0 {
                // Tries that fail at a server with time to spare point to a cut or a fault.
                sent += if busy.is_some_and(|b| b < Self::FULL) { answered } else { tries };
                let own = answered / busy.unwrap_or(0.7).clamp(0.05, 1.0);
                able += own;
                lasting += if peer.ready() { own } else { 0.0 };
            }
        }
        if able == 0.0 {
            return;
        }
        let pressure = sent / able;
        // The first news after a start is of the few calls that went well.
        let unheard = Self::UNHEARD * (1.0 - now.as_secs_f64() / 10.0);
        // And tries that fail, for whatever cause, come again at those few that take any.
        self.pressure = (pressure.max(unheard).max(0.7 * all / good) * 10.0).round() / 10.0;
        self.crowded = pressure > if self.crowded { Self::EASY } else { 1.0 };
        // Queues that have once grown stay at a load that just fits, and every answer comes late.
        let wait = median(peers.iter().filter_map(|p| p.load.mean(from, |x| x.wait)));
        let late = wait.is_some_and(|w| w > Self::LATE * slo);
        // Against servers that drain together: what they did falls to the others at once, and to wait until
        // these are full and late is seconds too late. Warm ones that are still unheard of make up for them.
        let foreseen = if stay < heard { able * stay / heard } else { able };
        let pressure = sent / foreseen.max(1.0);
        // Late reports alone, which come in lumps, are no reason to turn calls away.
        if pressure < 1.1 && !late && !self.throttled() {
            return;
        }
        let came =
            |a: &VecDeque<(Duration, f64, Option<Zone>)>| a.iter().filter(|a| a.0 > from).map(|a| a.1).sum();
        let calls: Vec<f64> = self.arrived.iter().map(came).collect();
        let let_in: f64 = calls.iter().zip(&self.wanted).map(|(c, w)| c * f64::from(*w)).sum();
        // Those that left have done less than their part of the window already: what stays counts by itself.
        let able = if stay < heard && known > 0.0 { able.min(lasting * stay / known) } else { able };
        let able = able / told;
        let least = Self::STEP * calls.iter().sum::<f64>();
        // A route that was shut out would never come back by growth alone.
        let most = Self::GAIN * let_in + if pressure < Self::EASY { least } else { 0.0 };
        let aim = Self::AIM - if late { Self::LESS } else { 0.0 };
        let mut left = (aim * able).min(most).max(least);
        let mut order: Vec<usize> = (0..calls.len()).filter(|r| calls[*r] > 0.0).collect();
        order.sort_by(|a, b| routes[*b].importance.total_cmp(&routes[*a].importance));
        for r in order {
            let level = (left / calls[r]).min(1.0);
            left = (left - level * calls[r]).max(0.0);
            // Coarse steps, so that noise writes no orders.
            let step = (level / Self::STEP).round() * Self::STEP;
            self.wanted[r] = if level > 0.97 { 1.0 } else { step as f32 };
        }
    }
}

// Channel: ordinary pushes leave room for withdrawals, and these for drains.

impl Channel {
    const ORDINARY: f64 = 0.4;
    const GUARDING: f64 = 0.6;
    const CROWDED: f64 = 0.85;
    const BINDING: f64 = 0.95;
    const USED: f64 = 0.7;

    /// As slow as a channel may get, as a part of its stated pace, while marks are answered and while none
    /// is: two troubles of it multiply.
    const SLOWEST: (f64, f64) = (0.125, 0.03);

    /// Against a channel that is slower than stated: what no answered mark shows to have left still waits.
    fn room(&mut self, now: Duration, lines: f64, share: f64) -> bool {
        let heard = now.saturating_sub(self.answered_at) < self.pace.worst_transit * 2;
        let rate = self.pace.lines_per_s * if heard { Self::SLOWEST.0 } else { Self::SLOWEST.1 };
        let gone = (now - self.drained_at).as_secs_f64() * rate;
        (self.waiting, self.drained_at) = ((self.waiting - gone).max(0.0), now);
        // Some leave later than counted even so: the last three tenths are not used.
        self.waiting + lines <= self.pace.most_waiting * share.min(Self::USED)
    }

    fn add(&mut self, lines: f64) {
        (self.waiting, self.ordered) = (self.waiting + lines, self.ordered + lines);
    }

    /// Two messages stay for binding; past a quarter of the cap they keep apart, against lists that come one
    /// after another and leave none for a drain.
    fn may_message(&self, now: Duration, sent: &mut VecDeque<Duration>, share: f64) -> bool {
        drop_old(sent, now, self.pace.window, |t| *t);
        let (most, used) = (self.pace.most_messages as f64, sent.len() as f64);
        let apart = self.pace.window.as_secs_f64() / (most - 2.0).max(1.0);
        let late = sent.back().is_none_or(|t| (now - *t).as_secs_f64() >= apart);
        most == 0.0 || (used < (most - 1.0) * share && used < most - 2.0 && (late || used < most / 4.0))
    }

    fn mark(&mut self, ordered_before: f64) -> u16 {
        self.marks = (self.marks + 1) % 50_000;
        self.unanswered.push_back((self.marks, ordered_before));
        self.marks
    }
}

pub struct Planner<H> {
    host: H,
    rng: Pcg64Mcg,
    routes: Vec<Route>,
    plane: DataPlane,
    graces: Graces,
    sight: Sight,
    peers: Vec<Peer>,
    ask_at: Option<Duration>,
    looks: u32,
    levels: Levels,
    channel: Channel,
    pools: Vec<Pool>,
    /// Near and far servers that a pool is to hold.
    width: (usize, usize),
    zones: Zones,
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
        let (pressure, arrived, written) =
            (Levels::UNHEARD, vec![VecDeque::new(); n], vec![(-1.0, Tries::One); n]);
        let (wanted, most) = (vec![1.0; n], vec![1.0; n]);
        let levels = Levels { pressure, arrived, wanted, most, crowded: false, written };
        let mut planner = Planner {
            host,
            rng: Pcg64Mcg::seed_from_u64(seed),
            routes,
            plane,
            graces,
            sight,
            peers: vec![],
            ask_at: Some(Duration::ZERO),
            looks: 0,
            levels,
            channel: Channel::new(pace),
            pools: vec![],
            width: (usize::MAX, usize::MAX),
            zones: Zones::new(plane.zones.max(1)),
            proxies: BTreeMap::new(),
            unbound: VecDeque::new(),
        };
        // Planners that start together would otherwise all write in the same instant.
        planner.host.wake(LOOK.mul_f64(planner.rng.random_range(0.5..1.0)), TOKEN_LOOK);
        planner
    }

    pub fn list(&mut self, now: Duration, whole: bool, entries: &[Listed]) {
        // What was held from before the start answers no call.
        self.ask_at = self.ask_at.filter(|_| now.is_zero());
        entries.iter().for_each(|e| self.enter(now, e));
        let named: BTreeSet<Server> = entries.iter().map(|e| e.server).collect();
        for s in (0..self.peers.len()).filter(|s| whole && !named.contains(s)) {
            self.peers[s].gone(self.graces.gone_binds);
        }
        self.deal();
        self.push(now);
    }

    fn enter(&mut self, now: Duration, entry: &Listed) {
        if entry.server >= self.peers.len() {
            self.peers.resize_with(entry.server + 1, Peer::unlisted);
        }
        let peer = &mut self.peers[entry.server];
        if entry.phase == Phase::Gone {
            return peer.gone(self.graces.gone_binds);
        }
        let warm_at = match entry.age {
            Some(age) if age < self.graces.warm_up => now + self.graces.warm_up - age,
            _ => Duration::ZERO,
        };
        let fresh = warm_at > now && warm_at > peer.warm_at + Duration::from_millis(1);
        if entry.phase == Phase::Ready && (fresh || peer.phase == Phase::Gone) {
            peer.ramp = Ramp { step: 1, cold: true, since: now };
            peer.load.0.clear();
            peer.health.clear(now, Ramp::STEPS);
        }
        (peer.zone, peer.phase, peer.warm_at, peer.doubted) = (entry.zone, entry.phase, warm_at, false);
    }

    /// What it has learnt of servers, each as a multiple of its pool's mean, over the pools that hold it.
    pub fn learnt(&self) -> BTreeMap<Server, f64> {
        let mut learnt: BTreeMap<Server, Vec<f64>> = BTreeMap::new();
        for pool in &self.pools {
            pool.lines.iter().for_each(|l| learnt.entry(l.server).or_default().push(l.learnt / pool.mean()));
        }
        learnt.into_iter().filter_map(|(s, all)| Some((s, mean(all.into_iter())?))).collect()
    }

    /// Begins with what a former planner had learnt of a server, in place of its pool's mean. Told after the
    /// first list and before any join; what is cold or unwell is held back by other means.
    pub fn recall(&mut self, s: Server, weight: f64) {
        let lines = self.pools.iter_mut().flat_map(|p| &mut p.lines).filter(|l| l.server == s);
        lines.for_each(|l| l.learnt = weight.clamp(Pool::FLOOR * Pool::CEILING, Pool::CEILING));
    }

    /// What each pool holds, and which one each proxy has, for whoever plans next.
    pub fn dealt(&self) -> (Vec<DealtPool>, BTreeMap<Proxy, usize>) {
        let held = |p: &Pool| p.lines.iter().filter(|l| !l.leaving).map(|l| l.server).collect();
        let pools = self.pools.iter().map(|p| (p.zone, held(p))).collect();
        // Those that left are not handed on from planner to planner for ever.
        let bound = self.proxies.iter().filter(|p| p.1.bound);
        (pools, bound.filter_map(|(p, j)| Some((*p, j.pool?))).collect())
    }

    /// Begins with what a former planner had dealt, lest every proxy change most of its connections at once.
    /// Told after the first list and before any join; what has come since is dealt, what has gone is not.
    pub fn recall_dealt(&mut self, pools: &[DealtPool], bound: &BTreeMap<Proxy, (Zone, usize)>) {
        if self.pools.is_empty() || pools.is_empty() {
            return;
        }
        let pool = |(i, (zone, _)): (usize, &DealtPool)| Pool {
            table: i as Table,
            zone: *zone,
            lines: vec![],
            sent: VecDeque::new(),
        };
        self.pools = pools.iter().enumerate().map(pool).collect();
        for (pool, (_, held)) in self.pools.iter_mut().zip(pools) {
            held.iter().filter(|s| self.peers.get(**s).is_some_and(Peer::ready)).for_each(|s| pool.add(*s));
        }
        self.deal();
        for (proxy, (zone, pool)) in bound.iter().filter(|b| b.1.1 < pools.len()) {
            let joined = Joined { zone: *zone, rate: 0.0, pool: Some(*pool), bound: false };
            self.proxies.insert(*proxy, joined);
        }
    }

    /// What part of a zone's servers' weight may be used, by what is known of the zone as one thing.
    pub fn hold(&mut self, now: Duration, zone: Zone, part: f64) {
        self.zones.parts[usize::from(zone)] = part;
        self.push(now);
    }

    /// At most these parts of the routes' calls are let in, by what is planned for those that are left. What
    /// only the former bound kept down rises with it at once.
    pub fn bound(&mut self, now: Duration, most: &[f64]) {
        let levels = &mut self.levels;
        for (r, most) in most.iter().map(|m| *m as f32).enumerate().take(levels.wanted.len()) {
            let bounded = levels.wanted[r] >= levels.most[r];
            levels.wanted[r] = if bounded { most } else { levels.wanted[r].min(most) };
            levels.most[r] = most;
        }
        self.push(now);
    }

    /// What each zone's servers are able to, in calls a second, and what came for each route in the zone.
    pub fn rooms(&self, now: Duration) -> Vec<(f64, Vec<f64>)> {
        let (from, span) = (now.saturating_sub(Peer::KEPT), Peer::KEPT.min(now).as_secs_f64().max(1.0));
        let room = |z: Zone| {
            let able = self.peers.iter().filter(|p| p.ready() && p.zone == z).map(|p| {
                let busy = p.load.mean(from, |x| x.cpu).unwrap_or(0.7).clamp(0.05, 1.0);
                p.load.sum(from, Sample::answered) / busy / span
            });
            let came = |a: &VecDeque<(Duration, f64, Option<Zone>)>| {
                a.iter().filter(|a| a.0 > from && a.2 == Some(z)).map(|a| a.1).sum::<f64>() / span
            };
            (able.sum(), self.levels.arrived.iter().map(came).collect())
        };
        (0..self.zones.busy.len() as Zone).map(room).collect()
    }

    /// Asked at the next look, lest a list that turns calls away be flooded.
    pub fn list_failed(&mut self, now: Duration) {
        self.ask_at = Some(now);
    }

    /// One pool of all servers for each zone, as long as servers accept the connections that this takes.
    /// Past that each proxy pays a handshake for nearly every call and servers turn connections away, so
    /// the zone's servers are dealt out to several pools.
    fn lay_out(&mut self) {
        let servers = self.peers.iter().filter(|p| p.ready()).count() as f64;
        if servers == 0.0 || self.plane.slices > 0 {
            return;
        }
        let accepted = self.plane.least_conns * servers / self.plane.proxies.max(1) as f64;
        let lines = (Pool::FILLED * accepted).max(8.0);
        let near = servers / self.zones.busy.len() as f64;
        let pools = if lines < servers { (near / (Pool::NEAR * lines)).ceil().max(1.0) } else { 1.0 };
        if lines < servers {
            self.width = ((near / pools) as usize, ((1.0 - Pool::NEAR) * lines).ceil() as usize);
        }
        for zone in 0..self.zones.busy.len() as Zone {
            for _ in 0..pools as usize {
                let (table, sent) = (self.pools.len() as Table, VecDeque::new());
                self.pools.push(Pool { table, zone, lines: vec![], sent });
            }
        }
    }

    /// Every server into a pool of its zone, and into every pool what it lacks: near ones while there are
    /// any, else far ones. Against a pool left with too little when its servers go, all at once or singly.
    fn deal(&mut self) {
        if self.pools.is_empty() {
            self.lay_out();
        }
        let (peers, zones) = (&self.peers, &self.zones);
        // Planners that deal alike would make the same pools hot.
        let mut order: Vec<Server> = (0..peers.len()).filter(|s| peers[*s].ready()).collect();
        order.shuffle(&mut self.rng);
        for zone in 0..zones.busy.len() as Zone {
            let near = |s: Server| peers[s].zone == zone;
            let mut group: Vec<&mut Pool> = self.pools.iter_mut().filter(|p| p.zone == zone).collect();
            let mut holders = vec![0; peers.len()];
            for pool in &mut group {
                pool.lines.retain(|l| l.written > 0.0 || (peers[l.server].ready() && !l.leaving));
                pool.lines.iter().filter(|l| !l.leaving).for_each(|l| holders[l.server] += 1);
            }
            for s in order.iter().copied().filter(|s| near(*s)) {
                let held = |p: &&mut &mut Pool| p.lines.iter().filter(|l| near(l.server)).count();
                if let Some(pool) = group.iter_mut().min_by_key(held).filter(|_| holders[s] == 0) {
                    pool.add(s);
                    holders[s] += 1;
                }
            }
            let reached = (zones.reach[usize::from(zone)] * self.width.0.min(peers.len()) as f64) as usize;
            for pool in group {
                let open = |l: &Line| !l.leaving && peers[l.server].open();
                // What came in for lost ones goes when these are back; every pool would go on asking it.
                let many = pool.lines.iter().filter(|l| open(l) && near(l.server)).count();
                for _ in self.width.0.saturating_add(1)..many {
                    let spare = |l: &&mut Line| open(l) && near(l.server) && holders[l.server] > 1;
                    if let Some(l) = pool.lines.iter_mut().filter(spare).max_by_key(|l| holders[l.server]) {
                        (l.leaving, holders[l.server]) = (true, holders[l.server] - 1);
                    }
                }
                for (nearby, width) in [(true, self.width.0), (false, self.width.1.saturating_add(reached))] {
                    let there = pool.lines.iter().filter(|l| open(l) && near(l.server) == nearby).count();
                    let held: BTreeSet<Server> = pool.lines.iter().map(|l| l.server).collect();
                    let may = |s: &Server| peers[*s].open() && (nearby || !near(*s)) && !held.contains(s);
                    let mut may: Vec<Server> = order.iter().copied().filter(may).collect();
                    let bad = |s: Server| zones.bad.contains_key(&(zone, peers[s].zone));
                    may.sort_by_key(|s| (!near(*s), bad(*s), holders[*s]));
                    for s in may.into_iter().take(width.saturating_sub(there)) {
                        pool.add(s);
                        holders[s] += 1;
                    }
                }
            }
        }
    }

    /// `bare` tells that the proxy has only just started, `rate` how many calls a second it usually gets.
    pub fn joined(&mut self, now: Duration, proxy: Proxy, zone: Zone, bare: bool, rate: f64) {
        if !bare && self.proxies.values().all(|p| !p.bound || p.zone != zone) {
            self.forget(now, zone);
        }
        let pool = self.proxies.get(&proxy).and_then(|p| p.pool);
        self.proxies.insert(proxy, Joined { zone, rate, pool, bound: false });
        self.unbound.retain(|p| *p != proxy);
        self.unbound.push_back(proxy);
        self.bind_waiting(now);
    }

    pub fn left(&mut self, proxy: Proxy) {
        self.proxies.entry(proxy).and_modify(|p| p.bound = false);
        self.unbound.retain(|p| *p != proxy);
        // Once all have left, what was under way is lost.
        self.channel.waiting *= f64::from(u8::from(self.proxies.values().any(|p| p.bound)));
    }

    /// Whether any were bound.
    fn bind_waiting(&mut self, now: Duration) -> bool {
        let before = self.unbound.len();
        while let Some(&proxy) = self.unbound.front() {
            let Joined { zone, pool, .. } = self.proxies[&proxy];
            // A new one gets the pool of its zone that is asked for the least.
            let holders = |i: usize| self.proxies.values().filter(move |p| p.bound && p.pool == Some(i));
            let asked = |i: usize| holders(i).map(|p| p.rate).sum::<f64>();
            let key = |i: &usize| (self.pools[*i].zone != zone, (1000.0 * asked(*i)) as u64);
            let Some(pool) = pool.or_else(|| (0..self.pools.len()).min_by_key(key)) else { break };
            // A table that nobody holds costs nothing to bring up to date.
            if holders(pool).next().is_none() {
                let wanted = self.compose(&self.pools[pool]);
                self.write(pool, wanted.into_iter().enumerate());
            }
            let lines = self.pools[pool].lines.iter().filter(|l| l.written > 0.0).count();
            let cost = 2.0 + lines as f64 + self.channel.pace.head;
            if !self.channel.room(now, cost, Channel::BINDING) {
                self.wake_urgent(now);
                break;
            }
            self.channel.add(cost);
            self.host.bind(proxy, self.pools[pool].table, 0);
            self.proxies.entry(proxy).and_modify(|p| (p.pool, p.bound) = (Some(pool), true));
            self.unbound.pop_front();
        }
        self.unbound.len() < before
    }

    fn wake_urgent(&mut self, now: Duration) {
        if !self.channel.urgent_set {
            self.channel.urgent_set = true;
            self.host.wake(now + LOOK / 10, TOKEN_URGENT);
        }
    }

    pub fn applied(&mut self, now: Duration, number: u16) {
        let channel = &mut self.channel;
        if let Some(i) = channel.unanswered.iter().position(|m| m.0 == number) {
            let before = channel.unanswered.drain(..=i).next_back().map_or(0.0, |m| m.1);
            (channel.waiting, channel.answered_at) = (channel.waiting.min(channel.ordered - before), now);
        }
    }

    /// The one place where written weights are made: what was learnt times the exceptions.
    fn compose(&self, pool: &Pool) -> Vec<f32> {
        let peer = |l: &Line| &self.peers[l.server];
        let may = |l: &Line| self.zones.parts[usize::from(peer(l).zone)];
        let own = |l: &Line| peer(l).ramp.part(self.levels.pressure).min(may(l));
        let part = |l: &Line| if peer(l).ready() { own(l) } else { 0.0 };
        let near: Vec<&Line> = pool.lines.iter().filter(|l| peer(l).zone == pool.zone).collect();
        let sum = |of: &dyn Fn(&Line) -> f64| near.iter().map(|l| of(l)).sum::<f64>();
        let (full, left) = (sum(&|l| l.learnt), sum(&|l| l.learnt * part(l)));
        // What a zone has lost, far servers make up for at once, before its cold ones are swamped; and these
        // are pushed over by what only they are left to take.
        let lost = 1.0 - if full > 0.0 { left / full } else { 0.0 };
        let reach = self.zones.reach[usize::from(pool.zone)];
        let most = if near.iter().any(|l| peer(l).ramp.cold) { 1.0 } else { Zones::FAR.1 };
        let far = Zones::FAR.0 + ((most - Zones::FAR.0) * lost).max((1.0 - Zones::FAR.0) * reach);
        let place = |l: &Line| match peer(l).zone {
            _ if l.leaving => 0.0,
            zone if zone == pool.zone => 1.0,
            // A route that may not leave the zone shares its table with the others.
            _ if left > 0.0 && self.routes.iter().any(|r| r.stays_local) => 0.0,
            zone if self.zones.bad.contains_key(&(pool.zone, zone)) => Zones::FAR.2.max(far * lost.powi(2)),
            _ => far,
        };
        let weights: Vec<f32> = pool.lines.iter().map(|l| (l.learnt * place(l) * part(l)) as f32).collect();
        if weights.iter().any(|w| *w > 0.0) {
            return weights;
        }
        // A table is never emptied by what is believed of servers' health.
        pool.lines.iter().map(|l| if peer(l).ready() { 1.0 } else { 0.0 }).collect()
    }

    /// When proxies may try a call again without its effect taking place twice, and where that helps: a
    /// second try that starts after the SLO time is only more work, and at a full pool fills it further.
    fn tries(&self, r: usize) -> Tries {
        match self.routes[r].effect {
            _ if self.levels.crowded => Tries::One,
            Effect::Repeatable if self.plane.try_factor < 0.9 => Tries::AfterFailure,
            _ => Tries::AfterProof,
        }
    }

    /// The part of the channel that a changed line may use: the more, the more it takes from a server that
    /// must not have it. A fall beyond what the mechanism makes at once is an exception's.
    fn need(&self, line: &Line, wanted: f32) -> f64 {
        let kept = f64::from(wanted) / f64::from(line.written);
        let peer = &self.peers[line.server];
        match kept {
            _ if kept.is_nan() || kept > 0.9 * Pool::CLAMP.0 => Channel::ORDINARY,
            _ if !peer.ready() || (peer.ramp.cold && kept < 0.3) => Channel::BINDING,
            _ if peer.ramp.cold => Channel::CROWDED,
            _ => Channel::GUARDING,
        }
    }

    /// Sends what has changed, the most needed pools first and each as far as the channel allows; the rest
    /// stays to be sent, with whatever changes until then.
    fn push(&mut self, now: Duration) {
        let mut proxies = vec![0.0; self.pools.len()];
        self.proxies.values().filter(|p| p.bound).filter_map(|p| p.pool).for_each(|i| proxies[i] += 1.0);
        let (head, before) = (self.channel.pace.head + 1.0, self.channel.ordered);
        let with_levels = self.push_levels(now, proxies.iter().sum(), head);
        let mut changes = vec![];
        for (i, pool) in self.pools.iter().enumerate().filter(|(i, _)| proxies[*i] > 0.0) {
            let wanted = self.compose(pool).into_iter().enumerate();
            let changed = wanted.filter(|(l, w)| *w != pool.lines[*l].written);
            let lines: Vec<_> = changed.map(|(l, w)| (l, w, self.need(&pool.lines[l], w))).collect();
            let empty = !pool.lines.iter().any(|l| l.written > 0.0 && self.peers[l.server].ready());
            let most = lines.iter().map(|l| l.2).fold(0.0, f64::max);
            if !lines.is_empty() {
                changes.push((if empty { Channel::BINDING } else { most }, i, lines));
            }
        }
        // Where not all fits, none is always the last.
        changes.shuffle(&mut self.rng);
        changes.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut mark = with_levels;
        for (need, i, mut lines) in changes {
            let may = with_levels || self.channel.may_message(now, &mut self.pools[i].sent, need);
            if !self.channel.room(now, proxies[i] * (lines.len() as f64 + head), need) {
                lines.retain(|l| l.2 >= need);
            }
            let cost = proxies[i] * (lines.len() as f64 + head);
            if may && self.channel.room(now, cost, need) {
                self.channel.add(cost);
                self.pools[i].sent.extend((!with_levels).then_some(now));
                self.write(i, lines.into_iter().map(|l| (l.0, l.1)));
                mark = true;
            } else if need >= Channel::BINDING {
                self.wake_urgent(now);
            }
        }
        if self.bind_waiting(now) || mark {
            self.host.mark(self.channel.mark(before));
        }
    }

    fn write(&mut self, pool: usize, lines: impl Iterator<Item = (usize, f32)>) {
        let Pool { table, lines: held, .. } = &mut self.pools[pool];
        for (l, weight) in lines {
            if held[l].written != weight {
                held[l].written = weight;
                self.host.set_line(*table, held[l].server, weight);
            }
        }
    }

    /// Whether levels were sent; they go to every proxy, so all else may go with them. One pool that is
    /// often written would otherwise keep them from all, so they may use more than an ordinary push.
    fn push_levels(&mut self, now: Duration, bound: f64, head: f64) -> bool {
        let tries: Vec<Tries> = (0..self.routes.len()).map(|r| self.tries(r)).collect();
        let changed = |r: &usize| self.levels.written[*r] != (self.levels.wanted[*r], tries[*r]);
        let levels: Vec<usize> = (0..tries.len()).filter(changed).collect();
        let cost = bound * (levels.len() as f64 + head);
        let may = |p: &mut Pool| self.channel.may_message(now, &mut p.sent, Channel::CROWDED);
        let may = !levels.is_empty() && !self.pools.is_empty() && self.pools.iter_mut().all(may);
        if !may || !self.channel.room(now, cost, Channel::CROWDED) {
            return false;
        }
        for r in levels {
            self.levels.written[r] = (self.levels.wanted[r], tries[r]);
            let share = if self.plane.levels { self.levels.wanted[r] } else { 1.0 };
            self.host.admit(1 << r, share, tries[r]);
        }
        self.channel.add(cost);
        self.pools.iter_mut().for_each(|p| p.sent.extend((bound > 0.0).then_some(now)));
        bound > 0.0
    }

    pub fn woken(&mut self, now: Duration, token: u32) {
        if token == TOKEN_LOOK {
            self.host.wake(now + LOOK, TOKEN_LOOK);
            self.look(now);
        } else {
            self.channel.urgent_set = false;
        }
        self.push(now);
    }

    pub fn met(&mut self, now: Duration, s: Server, met: &Met) {
        let field = |field| {
            let told = met.report.get(self.sight.fields.iter().position(|f| *f == field)?);
            told.map(|v| f64::from(*v)).filter(|v| v.is_finite() && *v >= 0.0)
        };
        let cpu = field(Field::CpuShare);
        // A busy share stops at one: what waits tells how far past full a server is.
        let full = cpu.map(|c| c + 0.1 * field(Field::Pending).unwrap_or(0.0));
        let told = full.or(field(Field::Busy)).or(field(Field::ServiceMs)).or(field(Field::AnsweredPerS));
        let (tries, dropped) = (f64::from(met.tries), f64::from(met.dropped));
        let wait = met.wait.map(|w| w.as_secs_f64());
        if let Some(p) = self.peers.get_mut(s) {
            p.take(Sample { at: now, from: met.from, told, load: told, cpu, tries, dropped, wait });
        }
    }

    pub fn came(&mut self, now: Duration, proxy: Proxy, route: usize, calls: u32) {
        let zone = self.proxies.get(&proxy).map(|p| p.zone);
        if let Some(list) = self.levels.arrived.get_mut(route) {
            list.push_back((now, f64::from(calls), zone));
            drop_old(list, now, Peer::KEPT, |a| a.0);
        }
    }

    /// What part of the calls that came the sums tell of. Against a zone whose sums are cut off while usage
    /// still comes: its calls would count and what servers do for them would not. Harm: where nothing that a
    /// zone lets in finds a server, as much too many are let in at the others.
    fn told(&self, now: Duration) -> f64 {
        let newest = |z: Zone| {
            let of_zone = self.peers.iter().flat_map(|p| &p.load.0).filter(|x| x.from == z);
            of_zone.map(|x| x.at).max().unwrap_or_default()
        };
        let newest: Vec<Duration> = (0..self.zones.busy.len() as Zone).map(newest).collect();
        let last = newest.iter().max().copied().unwrap_or_default();
        let window = Levels::window(self.sight.cycle);
        let heard = |z: Zone| newest.get(usize::from(z)).is_none_or(|at| *at + window >= last);
        let came = self.levels.arrived.iter().flatten().filter(|a| a.0 > now.saturating_sub(window));
        let add = |[told, all]: [f64; 2], a: &(Duration, f64, Option<Zone>)| {
            [told + if a.2.is_none_or(heard) { a.1 } else { 0.0 }, all + a.1]
        };
        let [told, all] = came.fold([0.0; 2], add);
        if all > 0.0 { (told / all).max(Levels::TOLD) } else { 1.0 }
    }

    fn look(&mut self, now: Duration) {
        if let Some(within) = self.sight.ask_within.filter(|_| self.ask_at.is_some_and(|t| now >= t)) {
            self.ask_at = Some(now + within / 2);
            self.host.watch_list();
        }
        let slo = mean(self.routes.iter().map(|r| r.slo.as_secs_f64())).unwrap_or(1.0);
        self.levels.fit(now, self.sight.cycle, &self.peers, &self.routes, slo, self.told(now));
        self.levels.wanted.iter_mut().zip(&self.levels.most).for_each(|(w, most)| *w = w.min(*most));
        for p in &mut self.peers {
            let by_age = Ramp::allowed(now, p.warm_at, self.graces.warm_up);
            // Against a planner that hears little, by few or late reports: it would raise what is full.
            let shown = by_age == Ramp::STEPS || p.load.0.back().is_some_and(|x| x.at > p.ramp.since);
            if p.ramp.step > 0 && p.ramp.step < by_age.min(p.health.allowed) && shown {
                (p.ramp.step, p.ramp.since) = (p.ramp.step + 1, now + self.channel.pace.worst_transit);
            }
            p.ramp.cold &= by_age < Ramp::STEPS || p.ramp.step < p.health.allowed;
        }
        self.judge(now, slo);
        self.look_afar(now, slo);
        self.deal();
        self.looks += 1;
        if self.looks.is_multiple_of(INTERVAL_IN_LOOKS) {
            self.scale(now);
        }
    }

    fn scale(&mut self, now: Duration) {
        let recent = now.saturating_sub(Peer::KEPT);
        let settling = self.sight.cycle + self.channel.pace.worst_transit + LOOK;
        for pool in &mut self.pools {
            let figures = |l: &Line| {
                let p = &self.peers[l.server];
                // A report from before the last change took hold would have the same change made twice.
                let from = recent.max(l.changed + settling);
                let weighed = p.open() && p.warm_at <= now;
                let figure = |of: fn(&Sample) -> Option<f64>| p.load.mean(from, of).filter(|_| weighed);
                (figure(|x| x.load), figure(|x| x.wait))
            };
            let heard: Vec<(Option<f64>, Option<f64>)> = pool.lines.iter().map(figures).collect();
            let usual = mean(heard.iter().filter_map(|h| h.0));
            let wait = median(heard.iter().filter_map(|h| h.1)).filter(|w| *w > 0.0);
            // One that answers and tells nothing to be believed counts by how long its answers take.
            let by_wait = |own: Option<f64>| Some(usual? * own? / wait?);
            let loads: Vec<Option<f64>> = heard.iter().map(|h| h.0.or_else(|| by_wait(h.1))).collect();
            pool.scale(now, &loads, |s| self.peers[s].ramp.step == Ramp::STEPS);
        }
    }

    fn look_afar(&mut self, now: Duration, slo: f64) {
        let since = now.saturating_sub(Health::EVIDENCE);
        let of = |z: usize| self.peers.iter().filter(move |p| usize::from(p.zone) == z).map(|p| &p.load);
        for z in 0..self.zones.busy.len() {
            // Cold servers look idle because they are held back, and would draw the other zones' calls.
            let whole = self.peers.iter().filter(|p| usize::from(p.zone) == z && !p.ramp.cold);
            let heard = whole.filter_map(|p| p.load.mean(since, |x| x.cpu));
            self.zones.busy[z] = if self.zones.parts[z] < 1.0 { None } else { mean(heard) };
        }
        let met = |from: usize, to: usize| {
            let samples = of(to).flat_map(|l| l.since(since)).filter(|x| usize::from(x.from) == from);
            samples.fold([0.0; 3], |[t, a, w], x| {
                [t + x.tries, a + x.answered(), w + x.answered() * x.wait.unwrap_or(0.0)]
            })
        };
        self.zones.judge(now, slo, self.levels.throttled(), met);
    }

    /// Guards against servers that drop, hang or crawl, whatever the list says. Where half of the pool is
    /// out already, the fault is taken to lie elsewhere.
    fn judge(&mut self, now: Duration, slo: f64) {
        let evidence = |p: &Peer| {
            let from = now.saturating_sub(Health::EVIDENCE).max(p.health.fresh_from);
            let (tries, answered) = (p.load.sum(from, |x| x.tries), p.load.sum(from, Sample::answered));
            (tries >= Health::LEAST_TRIES).then(|| (answered / tries, p.load.mean(from, |x| x.wait)))
        };
        let ready: Vec<Server> = (0..self.peers.len()).filter(|s| self.peers[*s].ready()).collect();
        let seen: Vec<Option<(f64, Option<f64>)>> = ready.iter().map(|s| evidence(&self.peers[*s])).collect();
        let good = median(seen.iter().flatten().map(|e| e.0)).unwrap_or(1.0);
        let wait = median(seen.iter().flatten().filter_map(|e| e.1));
        let last = |p: &Peer| p.load.0.back().map_or(Duration::ZERO, |x| x.at).max(p.health.fresh_from);
        let newest = ready.iter().map(|s| last(&self.peers[*s])).max().unwrap_or(Duration::ZERO);
        let silence = |p: &Peer| newest.saturating_sub(last(p));
        // Where most are seldom heard, by few calls or by reports cut off, that is no sign.
        let usual = median(ready.iter().map(|s| silence(&self.peers[*s]).as_secs_f64())).unwrap_or(0.0);
        let quiet = self.sight.cycle * 2 + Duration::from_secs_f64(1.0 + 4.0 * usual);
        let out = ready.iter().filter(|s| self.peers[**s].ramp.step == 0).count();
        let mut may_out = ((ready.len() as f64 * Health::MOST_OUT) as usize).saturating_sub(out);
        let mut unsure = vec![];
        for (s, seen) in ready.iter().copied().zip(seen) {
            let silent = silence(&self.peers[s]) > quiet;
            let p = &mut self.peers[s];
            if p.ramp.step == 0 {
                if self.sight.probing && p.health.answers < 2 {
                    unsure.push(s);
                } else if now.saturating_sub(p.health.fresh_from) >= p.health.hold {
                    // It may have been restarted before the list tells, so it counts as cold.
                    p.ramp = Ramp { step: 1, cold: true, since: now };
                    p.health.clear(now + self.channel.pace.worst_transit, Ramp::STEPS);
                    p.health.hold = (p.health.hold * 2).min(Health::LONGEST_HOLD);
                }
                continue;
            }
            let mut steps = seen.map_or(p.health.allowed, |own| Health::steps(own, (good, wait), slo));
            if silent && p.health.misses < 2 {
                unsure.push(s);
            } else if silent {
                steps = 0;
            }
            // A cold one that answers slowly or in part may be slow as well, and is able to a part of a part.
            if p.ramp.cold && steps < Ramp::STEPS {
                steps = steps.min(1);
            }
            p.health.allowed = if may_out == 0 { steps.max(1) } else { steps };
            p.ramp.step = p.ramp.step.min(p.health.allowed);
            if p.ramp.step == 0 {
                may_out -= 1;
                p.health.clear(now, 0);
                p.phase = if p.doubted { Phase::Gone } else { p.phase };
            }
        }
        // Probes cost work, and many at once are turned away.
        unsure.shuffle(&mut self.rng);
        let few = if self.sight.probing { ready.len() / 20 + 3 } else { 0 };
        unsure.into_iter().take(few).for_each(|s| self.host.probe(s));
    }

    /// What was held against a zone's servers while none of its proxies could be heard may have been a cut
    /// between zones; the zone's own proxies would be sent to the others all at once.
    fn forget(&mut self, now: Duration, zone: Zone) {
        for p in self.peers.iter_mut().filter(|p| p.zone == zone) {
            p.health.clear(now + self.channel.pace.worst_transit, Ramp::STEPS);
            p.ramp.step = Ramp::allowed(now, p.warm_at, self.graces.warm_up);
        }
    }

    pub fn probed(&mut self, s: Server, result: Probed) {
        if let Some(h) = self.peers.get_mut(s).map(|p| &mut p.health) {
            match result {
                Probed::Answered => (h.answers, h.misses) = (h.answers + 1, 0),
                Probed::Failed => (h.answers, h.misses) = (0, h.misses + 1),
                Probed::Rejected => {}
            }
        }
    }
}
