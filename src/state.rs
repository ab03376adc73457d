//! What a planner keeps, as plain data, and means of what it measured. No decisions.

use crate::host::*;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What a zone's proxies met at a server over one cycle.
pub struct Sample {
    pub at: Duration,
    pub from: ZoneId,
    /// As told, whether or not it is believed.
    pub told: Option<f64>,
    pub load: Option<f64>,
    pub cpu: Option<f64>,
    pub tries: f64,
    pub dropped: f64,
    pub wait: Option<f64>,
}

impl Sample {
    pub fn answered(&self) -> f64 {
        (self.tries - self.dropped).max(0.0)
    }
}

/// The last few samples of a server.
#[derive(Default)]
pub struct Samples(pub VecDeque<Sample>);

impl Samples {
    pub fn since(&self, from: Duration) -> impl Iterator<Item = &Sample> {
        self.0.iter().filter(move |x| x.at > from)
    }

    pub fn mean(&self, from: Duration, of: impl Fn(&Sample) -> Option<f64>) -> Option<f64> {
        mean(self.since(from).filter_map(of))
    }

    pub fn sum(&self, from: Duration, of: impl Fn(&Sample) -> f64) -> f64 {
        self.since(from).map(of).sum()
    }
}

pub fn drop_old<T>(list: &mut VecDeque<T>, now: Duration, kept: Duration, at: impl Fn(&T) -> Duration) {
    while list.front().is_some_and(|x| now.saturating_sub(at(x)) > kept) {
        list.pop_front();
    }
}

pub fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = values.fold((0.0, 0usize), |(sum, n), v| (sum + v, n + 1));
    (n > 0).then(|| sum / n as f64)
}

pub fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// One server: what the list says of it, and what each part below keeps.
pub struct Peer {
    pub zone: ZoneId,
    pub kind: ServerKind,
    pub phase: EndpointState,
    pub warm_at: Duration,
    /// Called gone where that does not bind: what is met there decides.
    pub doubted: bool,
    pub load: Samples,
    pub health: Health,
    pub ramp: Ramp,
}

impl Peer {
    /// Named before anything is known of it.
    pub fn unlisted(health: Health, step: u32) -> Peer {
        let ramp = Ramp { step, cold: false, since: Duration::ZERO };
        let (zone, kind, phase, warm_at, doubted) = (0, 0, EndpointState::Draining, Duration::ZERO, false);
        Peer { zone, kind, phase, warm_at, doubted, load: Samples::default(), health, ramp }
    }

    pub fn ready(&self) -> bool {
        self.phase == EndpointState::Ready
    }
}

/// A server in a pool: the weight it has earned there, apart from all exceptions, and what was sent.
pub struct Line {
    pub server: ServerIndex,
    pub learnt: f64,
    pub changed: Duration,
    pub written: f32,
    /// Not needed here any more; goes once that is written.
    pub leaving: bool,
}

/// One shared table of many proxies of a zone.
pub struct Pool {
    pub table: TableId,
    pub zone: ZoneId,
    pub lines: Vec<Line>,
    /// When messages went to its proxies.
    pub sent: VecDeque<Duration>,
}

impl Pool {
    pub fn new(table: TableId, zone: ZoneId) -> Pool {
        Pool { table, zone, lines: vec![], sent: VecDeque::new() }
    }

    /// A server's weight, as a multiple of the pool's mean.
    pub fn enter(&mut self, server: ServerIndex, weight: f64) {
        let learnt = weight * self.mean();
        self.lines.push(Line { server, learnt, changed: Duration::ZERO, written: 0.0, leaving: false });
    }

    pub fn mean(&self) -> f64 {
        mean(self.lines.iter().map(|l| l.learnt)).unwrap_or(1.0)
    }
}

/// A pool's zone and the servers that it holds.
pub type DealtPool = (ZoneId, Vec<ServerIndex>);

/// What zones make of each other.
pub struct Zones {
    /// From which zone to which calls fared badly, and until when that counts.
    pub bad: BTreeMap<(ZoneId, ZoneId), Duration>,
    pub busy: Vec<Option<f64>>,
    /// How far each zone leans on the others, beyond what they ordinarily take.
    pub reach: Vec<f64>,
    /// What part of each zone's weight may be used at the most.
    pub parts: Vec<f64>,
}

impl Zones {
    pub fn new(zones: usize) -> Zones {
        let (busy, reach, parts) = (vec![None; zones], vec![0.0; zones], vec![1.0; zones]);
        Zones { bad: BTreeMap::new(), busy, reach, parts }
    }
}

/// How many quarter steps the evidence allows a server: all, fewer, or none.
pub struct Health {
    pub allowed: u32,
    /// Evidence from before this moment is spent.
    pub fresh_from: Duration,
    pub answers: u32,
    pub misses: u32,
    pub hold: Duration,
}

/// Steps of a quarter for servers that are fresh or come back.
pub struct Ramp {
    pub step: u32,
    /// Still under way to its full weight since a start or a return.
    pub cold: bool,
    /// What was heard after this moment tells of the present step.
    pub since: Duration,
}

/// When calls of a route came, how many, and to which proxy.
pub type Arrived = (Duration, f64, ProxyId);

/// How full the pool is, how much of each route is let in, and when proxies try again.
pub struct Levels {
    /// What servers are sent as a part of what they could answer.
    pub pressure: f64,
    pub arrived: Vec<VecDeque<Arrived>>,
    pub wanted: Vec<f32>,
    /// What no route is let in beyond, whatever is measured.
    pub most: Vec<f32>,
    pub crowded: bool,
    pub written: Vec<(f32, RetryPolicy)>,
}

impl Levels {
    pub fn new(n: usize, pressure: f64) -> Levels {
        let (arrived, written) = (vec![VecDeque::new(); n], vec![(-1.0, RetryPolicy::Never); n]);
        Levels { pressure, arrived, wanted: vec![1.0; n], most: vec![1.0; n], crowded: false, written }
    }

    pub fn throttled(&self) -> bool {
        self.wanted.iter().any(|w| *w < 1.0)
    }
}

/// What may be sent now.
pub struct Channel {
    pub pace: ControlChannelLimits,
    pub waiting: f64,
    /// All lines ever ordered.
    pub ordered: f64,
    pub drained_at: Duration,
    pub answered_at: Duration,
    pub marks: u16,
    /// Numbers of marks, and what had been ordered before each.
    pub unanswered: VecDeque<(u16, f64)>,
    pub urgent_set: bool,
}

impl Channel {
    pub fn new(pace: ControlChannelLimits) -> Channel {
        let (start, unanswered) = (Duration::ZERO, VecDeque::new());
        let (drained_at, answered_at) = (start, start);
        Channel {
            pace,
            waiting: 0.0,
            ordered: 0.0,
            drained_at,
            answered_at,
            marks: 0,
            unanswered,
            urgent_set: false,
        }
    }

    pub fn add(&mut self, lines: f64) {
        (self.waiting, self.ordered) = (self.waiting + lines, self.ordered + lines);
    }

    pub fn mark(&mut self, ordered_before: f64) -> u16 {
        self.marks = (self.marks + 1) % 50_000;
        self.unanswered.push_back((self.marks, ordered_before));
        self.marks
    }
}

pub struct Joined {
    pub zone: ZoneId,
    pub rate: f64,
    /// Kept over a break, so that connections serve on.
    pub pool: Option<usize>,
    pub bound: bool,
}

/// One planner: see [`crate::policy`].
pub struct Policy<H> {
    pub(crate) host: H,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) routes: Vec<Route>,
    pub(crate) plane: ProxyCapabilities,
    pub(crate) graces: Timeouts,
    pub(crate) sight: Observability,
    pub(crate) peers: Vec<Peer>,
    pub(crate) ask_at: Option<Duration>,
    pub(crate) looks: u32,
    pub(crate) levels: Levels,
    pub(crate) channel: Channel,
    pub(crate) pools: Vec<Pool>,
    /// Near and far servers that a pool is to hold.
    pub(crate) width: (usize, usize),
    pub(crate) zones: Zones,
    pub(crate) proxies: BTreeMap<ProxyId, Joined>,
    pub(crate) unbound: VecDeque<ProxyId>,
}

/// Weights as multiples of their pool's mean, over the pools that hold the server.
pub fn learnt(pools: &[Pool]) -> BTreeMap<ServerIndex, f64> {
    let mut learnt: BTreeMap<ServerIndex, Vec<f64>> = BTreeMap::new();
    for pool in pools {
        pool.lines.iter().for_each(|l| learnt.entry(l.server).or_default().push(l.learnt / pool.mean()));
    }
    learnt.into_iter().filter_map(|(s, all)| Some((s, mean(all.into_iter())?))).collect()
}

/// The same by kinds of servers, over the lines that have been changed since they came.
pub fn usual(pools: &[Pool], peers: &[Peer]) -> BTreeMap<ServerKind, f64> {
    let mut of: BTreeMap<ServerKind, Vec<f64>> = BTreeMap::new();
    for (pool, mean) in pools.iter().map(|p| (p, p.mean())) {
        for line in pool.lines.iter().filter(|l| l.changed > Duration::ZERO) {
            of.entry(peers[line.server].kind).or_default().push(line.learnt / mean);
        }
    }
    of.into_iter().filter_map(|(kind, all)| Some((kind, mean(all.into_iter())?))).collect()
}

/// What each pool holds, and which one each bound proxy has: those that left are not handed on for ever.
pub fn dealt(
    pools: &[Pool],
    proxies: &BTreeMap<ProxyId, Joined>,
) -> (Vec<DealtPool>, BTreeMap<ProxyId, usize>) {
    let held = |p: &Pool| p.lines.iter().filter(|l| !l.leaving).map(|l| l.server).collect();
    let pools = pools.iter().map(|p| (p.zone, held(p))).collect();
    let bound = proxies.iter().filter(|p| p.1.bound);
    (pools, bound.filter_map(|(p, j)| Some((*p, j.pool?))).collect())
}

/// The part of the ready servers that are cold.
pub fn fresh(peers: &[Peer]) -> f64 {
    let ready = peers.iter().filter(|p| p.ready());
    let [cold, all] = ready.fold([0.0; 2], |[c, n], p| [c + f64::from(u8::from(p.ramp.cold)), n + 1.0]);
    cold / f64::max(all, 1.0)
}

impl<H> Policy<H> {
    /// What each zone's servers are able to, in calls a second, and what came for each route in the zone.
    pub fn zone_capacity(&self, now: Duration) -> Vec<(f64, Vec<f64>)> {
        let (from, span) = (now.saturating_sub(Peer::KEPT), Peer::KEPT.min(now).as_secs_f64().max(1.0));
        let room = |zone: ZoneId| {
            let able = self.peers.iter().filter(|p| p.ready() && p.zone == zone).map(|p| {
                let busy = p.load.mean(from, |x| x.cpu).unwrap_or(0.7).clamp(0.05, 1.0);
                p.load.sum(from, Sample::answered) / busy / span
            });
            let here = |a: &&Arrived| a.0 > from && self.proxies.get(&a.2).is_some_and(|p| p.zone == zone);
            let came = |a: &VecDeque<Arrived>| a.iter().filter(here).map(|a| a.1).sum::<f64>() / span;
            (able.sum(), self.levels.arrived.iter().map(came).collect())
        };
        (0..self.zones.busy.len() as ZoneId).map(room).collect()
    }
}

/// Calls a second that came to each proxy, over as long as they are kept.
pub fn rates(arrived: &VecDeque<Arrived>, kept: Duration, now: Duration) -> Vec<f64> {
    let (from, span) = (now.saturating_sub(kept), kept.min(now).as_secs_f64().max(1.0));
    let mut rates: BTreeMap<ProxyId, f64> = BTreeMap::new();
    arrived.iter().filter(|a| a.0 > from).for_each(|a| *rates.entry(a.2).or_default() += a.1 / span);
    rates.into_values().collect()
}

/// The most that each may have where `sum` is shared out evenly and nobody gets more than it asks for. No bound where that
/// is all that is asked for.
pub fn evenly(asked: &[f64], sum: f64) -> f64 {
    let mut asked = asked.to_vec();
    asked.sort_by(f64::total_cmp);
    let (mut left, mut others) = (sum, asked.len() as f64);
    for own in asked {
        if own * others > left {
            return left / others;
        }
        (left, others) = (left - own, others - 1.0);
    }
    f64::INFINITY
}
