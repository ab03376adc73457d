//! Several planners over one list, with proxies and collectors that go on to another planner when theirs is lost. What
//! passes is played in the caller's own thread, and the rules are checked as it passes.
//!
//! Servers are arithmetic: what the proxies' tables send to one, by weight, beside what it is able to. So a breach
//! shows in what the planners ordered, whichever of them did, and not in what a machine had time for.

use crate::conn::frame;
use crate::discovery::{Discovery, started};
use crate::ms;
use crate::program::Program;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The figures of the rules, with the platform's slack.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// A joined proxy may be without a usable line for so long.
    pub unserved: Duration,
    pub grace: Duration,
    pub fall_multiple: f64,
    pub fall: Duration,
    /// No time limit starts earlier after a planner first answered.
    pub settling: Duration,
}

impl Limits {
    pub const USUAL: Limits = Limits {
        unserved: ms(1300),
        grace: ms(2300),
        fall_multiple: 2.5,
        fall: ms(3000),
        settling: ms(1000),
    };
}

/// A server, as arithmetic.
pub struct Machine {
    pub able: f64,
    pub up: bool,
    pub state: &'static str,
    pub started: Option<Duration>,
    /// Since when it drains, is gone or is down: no proxy should go on naming it.
    left: Option<Duration>,
    offered: f64,
    /// The last samples: when, work that came, and work that it was able to.
    recent: VecDeque<(Duration, f64, f64)>,
}

/// A proxy that goes on to the next planner when its own is lost, and home again later.
pub struct Rover {
    node: usize,
    zone: usize,
    pub rate: f64,
    stream: Option<Stream>,
    next: usize,
    dial_at: Duration,
    pub table: BTreeMap<usize, f64>,
    pub level: f64,
    /// Whether a try that found a server full is made again at another.
    again: bool,
    unusable: Option<Duration>,
    /// Whole tables that came to it.
    pub wholes: usize,
    came: f64,
}

struct Stream {
    planner: usize,
    since: Duration,
    socket: TcpStream,
    unread: Vec<u8>,
}

struct Collector {
    planner: usize,
    zone: usize,
    socket: Option<TcpStream>,
}

pub struct Fleet {
    began: Instant,
    unix_ms: u64,
    pub limits: Limits,
    pub discovery: Discovery,
    /// A door for each planner.
    pub doors: Vec<Discovery>,
    pub programs: Vec<Program>,
    /// When each first answered after its last start.
    answered: Vec<Duration>,
    /// Planners from and to which nothing passes, though their connections stand.
    pub silent: Vec<bool>,
    pub machines: Vec<Machine>,
    pub proxies: Vec<Rover>,
    collectors: Vec<Collector>,
    warm_up: Duration,
    /// What a cold server is able to, as a part.
    pub cold: f64,
    looked: Duration,
    reported: Duration,
    /// Tries and failures by planner, zone and server since the last report.
    sums: BTreeMap<(usize, usize, usize), [f64; 2]>,
    pub breaches: Vec<String>,
    /// Calls that came and that found a server with time for them, by tenths of a second.
    pub service: Vec<[f64; 2]>,
    /// A proxy goes home so long after it was lost to another planner.
    pub homing: Duration,
    /// Between two reports.
    pub every: Duration,
    /// The most that a cold server was sent over the time of the rule, as a multiple of what it was able to.
    pub worst: f64,
}

const ZONES: [&str; 2] = ["north", "south"];

impl Fleet {
    /// `planners` processes of `program`, `proxies` that ask 10 calls a second each, and `servers` that are filled to
    /// `load` by them.
    pub fn start(program: &str, planners: usize, proxies: usize, servers: usize, load: f64) -> Fleet {
        Fleet::warming(program, planners, proxies, servers, load, ms(4000))
    }

    /// The same with servers that are warm after `warm_up`.
    pub fn warming(
        program: &str,
        planners: usize,
        proxies: usize,
        servers: usize,
        load: f64,
        warm_up: Duration,
    ) -> Fleet {
        let mut settings = crate::program::settings();
        settings["familyInfo"]["dataPlaneSize"] = json!(proxies);
        settings["invariants"]["warmUpMs"] = json!(warm_up.as_millis() as u64);
        let discovery = Discovery::new(servers);
        let doors: Vec<Discovery> = (0..planners).map(|_| discovery.door()).collect();
        let programs = doors.iter().map(|d| Program::start(program, d, proxies + 120, &settings)).collect();
        let able = 10.0 * proxies as f64 / load / servers as f64;
        let rover = |node: usize| Rover {
            node,
            zone: node % 2,
            rate: 10.0,
            stream: None,
            next: node / 2 % planners,
            dial_at: ms(node as u64 * 3),
            table: BTreeMap::new(),
            level: 1.0,
            again: false,
            unusable: None,
            wholes: 0,
            came: 0.0,
        };
        let ways = (0..planners).flat_map(|planner| (0..ZONES.len()).map(move |zone| (planner, zone)));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Fleet {
            began: Instant::now(),
            unix_ms: unix.as_millis() as u64,
            limits: Limits::USUAL,
            discovery,
            doors,
            programs,
            answered: vec![Duration::ZERO; planners],
            silent: vec![false; planners],
            machines: (0..servers).map(|_| Machine::new(able, None)).collect(),
            proxies: (0..proxies).map(rover).collect(),
            collectors: ways.map(|(planner, zone)| Collector { planner, zone, socket: None }).collect(),
            warm_up,
            cold: 0.3,
            looked: Duration::ZERO,
            reported: Duration::ZERO,
            sums: BTreeMap::new(),
            breaches: vec![],
            service: vec![],
            homing: ms(3000),
            every: ms(500),
            worst: 0.0,
        }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Goes on for so long.
    pub fn run(&mut self, span: Duration) {
        let end = self.now() + span;
        while self.now() < end {
            self.step();
            thread::sleep(ms(4));
        }
    }

    /// Goes on until it holds; gives how long that took.
    pub fn until(&mut self, what: &str, limit: Duration, holds: impl Fn(&Fleet) -> bool) -> Duration {
        let from = self.now();
        while !holds(self) {
            assert!(self.now() - from < limit, "not within {limit:?}: {what}");
            self.run(ms(5));
        }
        self.now() - from
    }

    /// Every proxy has joined some planner and holds a line.
    pub fn settled(&self) -> bool {
        self.proxies.iter().all(|p| p.stream.is_some() && !p.table.is_empty())
    }

    pub fn joined(&self, planner: usize) -> usize {
        self.proxies.iter().filter(|p| p.stream.as_ref().is_some_and(|s| s.planner == planner)).count()
    }

    /// The part of the calls that found a server with time for them, from a moment on.
    pub fn served(&self, from: Duration) -> f64 {
        let slot = (from.as_millis() / 100) as usize;
        let [came, good] = self.service.iter().skip(slot).fold([0.0; 2], |[c, g], s| [c + s[0], g + s[1]]);
        if came > 0.0 { good / came } else { 1.0 }
    }

    /// Ends a planner as a planned restart does, and starts it again after so long.
    pub fn restart(&mut self, planner: usize, down: Duration) {
        self.programs[planner].signal("TERM");
        self.run(down);
        self.begin_again(planner);
    }

    pub fn begin_again(&mut self, planner: usize) {
        self.programs[planner].restart();
        self.answered[planner] = self.now();
    }

    /// New servers in place of some, these from now on draining.
    pub fn replace(&mut self, old: &[usize]) {
        let (now, first) = (self.now(), self.machines.len());
        let able = self.machines[0].able;
        let fresh: Vec<usize> = (0..old.len()).map(|n| first + n).collect();
        // As many of each zone as go: the zone follows from the number.
        let mut changes = vec![];
        for k in &fresh {
            self.machines.push(Machine::new(able, Some(now)));
            changes.push(started(*k, "SERVING", self.unix_ms + now.as_millis() as u64));
        }
        for k in old {
            (self.machines[*k].state, self.machines[*k].left) = ("DRAINING", Some(now));
            changes.push(started(*k, "DRAINING", 0));
        }
        self.discovery.change(&changes);
    }

    /// What drains is gone now.
    pub fn remove_drained(&mut self) {
        let drained = |m: &&mut Machine| m.state == "DRAINING";
        self.machines.iter_mut().filter(drained).for_each(|m| (m.state, m.up) = ("DELETED", false));
        let gone = (0..self.machines.len()).filter(|k| self.machines[*k].state == "DELETED");
        let changes: Vec<Value> = gone.map(|k| started(k, "DELETED", 0)).collect();
        self.discovery.change(&changes);
    }

    fn step(&mut self) {
        let now = self.now();
        for p in 0..self.proxies.len() {
            self.dial(now, p);
            self.read(now, p);
        }
        if now - self.looked >= ms(20) {
            self.offer(now, (now - self.looked).as_secs_f64());
            self.looked = now;
            self.check(now);
        }
        if now - self.reported >= self.every {
            self.report(now);
        }
    }

    fn dial(&mut self, now: Duration, p: usize) {
        let planners = self.programs.len();
        let proxy = &mut self.proxies[p];
        let home = proxy.node / 2 % planners;
        if let Some(stream) = &proxy.stream {
            let away = stream.planner != home && now - stream.since > self.homing;
            // Home again once somebody is there, which is seen by dialling.
            if away && now >= proxy.dial_at {
                proxy.dial_at = now + self.homing;
                (proxy.next, proxy.stream) = (home, None);
            } else {
                return;
            }
        } else if now < proxy.dial_at {
            return;
        }
        let to = proxy.next;
        // Not all at once, and not by chance: each waits its own span.
        proxy.dial_at = now + ms(100 + (37 * p as u64) % 300);
        proxy.next = (to + 1) % planners;
        let Ok(socket) = TcpStream::connect(self.programs[to].listen) else { return };
        let _ = socket.set_nodelay(true);
        let join = json!({"msg": "SUBSCRIBE", "node": p, "locality": ZONES[proxy.zone], "w": proxy.rate,
                          "cold": proxy.wholes == 0});
        if (&socket).write_all(&frame(&join)).is_ok() && socket.set_nonblocking(true).is_ok() {
            proxy.stream = Some(Stream { planner: to, since: now, socket, unread: vec![] });
        }
    }

    fn read(&mut self, now: Duration, p: usize) {
        let proxy = &mut self.proxies[p];
        let Some(stream) = &mut proxy.stream else { return };
        if self.silent[stream.planner] {
            return;
        }
        let mut buffer = [0; 16 << 10];
        loop {
            match stream.socket.read(&mut buffer) {
                Ok(0) => return proxy.lost(now),
                Ok(n) => stream.unread.extend(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(_) => return proxy.lost(now),
            }
        }
        while let Some(message) = stream.next() {
            if message["whole"] == true {
                proxy.table.clear();
                proxy.level = 1.0;
                proxy.wholes += 1;
            }
            for line in message["lines"].as_array().into_iter().flatten() {
                let server = line[0].as_str().and_then(|id| id[1..].parse().ok()).expect("a server's id");
                let weight = line[1].as_f64().expect("a weight");
                if weight > 0.0 {
                    proxy.table.insert(server, weight)
                } else {
                    proxy.table.remove(&server)
                };
            }
            if let Some(level) = message["level"].as_f64().filter(|_| message.get("classes").is_none()) {
                proxy.level = level;
            }
            if let Some(how) = message["retry"].as_u64() {
                proxy.again = how > 0;
            }
            if let Some(mark) = message.get("ticket") {
                let answer = json!({"msg": "ACK", "node": p, "nonce": mark, "latency": 1.5});
                let _ = stream.socket.write_all(&frame(&answer));
            }
        }
    }

    /// What the tables send where.
    fn offer(&mut self, now: Duration, span: f64) {
        let mut came = 0.0;
        let able: Vec<f64> =
            self.machines.iter().map(|m| m.able_now(now, self.warm_up, self.cold) * span).collect();
        let mut to: BTreeMap<usize, Vec<(usize, usize, f64)>> = BTreeMap::new();
        for proxy in &mut self.proxies {
            let calls = proxy.rate * span;
            (came, proxy.came) = (came + calls, proxy.came + calls);
            for (server, work) in proxy.spread(calls * proxy.level, usize::MAX) {
                to.entry(server).or_default().push((proxy.planner(), proxy.zone, work));
            }
        }
        let full = |to: &BTreeMap<usize, Vec<(usize, usize, f64)>>, k: usize| {
            let all: f64 = to.get(&k).into_iter().flatten().map(|w| w.2).sum();
            if all > able[k] { 1.0 - able[k] / all } else { 0.0 }
        };
        let over: Vec<f64> = (0..able.len()).map(|k| full(&to, k)).collect();
        // What a full server turned away comes again at the others of the proxy's table.
        for proxy in self.proxies.iter().filter(|p| p.again) {
            for (server, work) in proxy.spread(proxy.rate * span * proxy.level, usize::MAX) {
                for (other, again) in proxy.spread(work * over[server], server) {
                    to.entry(other).or_default().push((proxy.planner(), proxy.zone, again));
                }
            }
        }
        let mut good = 0.0;
        for (k, machine) in self.machines.iter_mut().enumerate() {
            let work = to.remove(&k).unwrap_or_default();
            let (all, able): (f64, f64) = (work.iter().map(|w| w.2).sum(), able[k]);
            let done = if all > able { able / all } else { 1.0 };
            (good, machine.offered) = (good + all * done, all / able.max(1e-9));
            machine.recent.push_back((now, all, able));
            while machine.recent.front().is_some_and(|r| now - r.0 > self.limits.fall) {
                machine.recent.pop_front();
            }
            for (planner, zone, work) in work {
                let sum = self.sums.entry((planner, zone, k)).or_default();
                (sum[0], sum[1]) = (sum[0] + work, sum[1] + work * (1.0 - done));
            }
        }
        let slot = (now.as_millis() / 100) as usize;
        self.service.resize(self.service.len().max(slot + 1), [0.0; 2]);
        let [c, g] = self.service[slot];
        self.service[slot] = [c + came, g + good];
    }

    fn report(&mut self, now: Duration) {
        let span = (now - self.reported).as_secs_f64() * 1000.0;
        self.reported = now;
        let sums = std::mem::take(&mut self.sums);
        for collector in &mut self.collectors {
            let Collector { planner, zone, socket } = collector;
            if self.silent[*planner] {
                continue;
            }
            let of_it = sums.iter().filter(|(k, _)| (k.0, k.1) == (*planner, *zone));
            let mut bytes = vec![];
            if socket.is_none() {
                *socket = TcpStream::connect(self.programs[*planner].listen).ok();
                bytes.extend(frame(&json!({"msg": "SOURCE", "locality": ZONES[*zone]})));
            }
            for ((_, _, k), [tries, failed]) in of_it {
                let machine = &self.machines[*k];
                let util = machine.offered.min(1.0);
                let mut met = json!({"msg": "LOAD", "locality": ZONES[*zone], "endpoint": format!("s{k}"),
                    "total": tries.round() as u64, "errors": failed.round() as u64, "interval": span});
                if machine.up {
                    met["rtt"] = json!(20.0 / (1.05 - util));
                    met["metrics"] = json!({"cpu_share": util, "pending": (machine.offered - 1.0).max(0.0)});
                }
                bytes.extend(frame(&met));
            }
            if socket.as_mut().is_some_and(|s| s.write_all(&bytes).is_err()) {
                *socket = None;
            }
        }
        for (p, proxy) in self.proxies.iter_mut().enumerate() {
            let total = std::mem::take(&mut proxy.came).round() as u64;
            if let Some(stream) = proxy.stream.as_mut().filter(|s| !self.silent[s.planner]) {
                let came = json!({"msg": "RATE", "node": p, "route": "look up", "total": total, "errors": 0,
                                  "interval": span});
                let _ = stream.socket.write_all(&frame(&came));
            }
        }
    }

    fn check(&mut self, now: Duration) {
        let (limits, mut found) = (self.limits, vec![]);
        for (p, proxy) in self.proxies.iter_mut().enumerate() {
            let usable = proxy.table.keys().any(|k| self.machines[*k].left.is_none());
            proxy.unusable = if usable { None } else { proxy.unusable.or(Some(now)) };
            let Some(stream) = proxy.stream.as_ref().filter(|s| !self.silent[s.planner]) else { continue };
            let from = stream.since.max(self.answered[stream.planner] + limits.settling);
            if proxy.unusable.is_some_and(|since| now.saturating_sub(from.max(since)) > limits.unserved) {
                found.push(format!("rule 1 at {now:?}: proxy {p} of planner {} has no line", stream.planner));
            }
            for k in proxy.table.keys() {
                let left = self.machines[*k].left.map(|left| left.max(from));
                if left.is_some_and(|left| now.saturating_sub(left) > limits.grace) {
                    let planner = stream.planner;
                    found.push(format!("rule 3 at {now:?}: proxy {p} of planner {planner} holds s{k}"));
                }
            }
        }
        let mut worst = self.worst;
        for (k, machine) in self.machines.iter().enumerate() {
            let age = machine.started.map(|at| now - at);
            if age.is_some_and(|age| age > limits.fall && age < self.warm_up + limits.fall) {
                let [came, able] = machine.recent.iter().fold([0.0; 2], |[c, a], r| [c + r.1, a + r.2]);
                worst = worst.max(came / able.max(1e-9));
                if came > limits.fall_multiple * able {
                    found.push(format!("rule 4 at {now:?}: s{k} was sent {:.1} times its due", came / able));
                }
            }
        }
        self.worst = worst;
        self.breaches.extend(found);
    }
}

impl Machine {
    fn new(able: f64, started: Option<Duration>) -> Machine {
        Machine {
            able,
            up: true,
            state: "SERVING",
            started,
            left: None,
            offered: 0.0,
            recent: VecDeque::new(),
        }
    }

    fn able_at(&self, now: Duration, warm_up: Duration, cold: f64) -> f64 {
        let warm = self.started.map_or(1.0, |at| (now - at).as_secs_f64() / warm_up.as_secs_f64());
        self.able * (cold + (1.0 - cold) * warm.min(1.0))
    }

    fn able_now(&self, now: Duration, warm_up: Duration, cold: f64) -> f64 {
        if self.up { self.able_at(now, warm_up, cold) } else { 0.0 }
    }

    /// Down, without a word to anybody, or up again and cold.
    pub fn lost(&mut self, now: Duration, lost: bool) {
        self.up = !lost;
        self.started = if lost { self.started } else { Some(now) };
        self.recent.clear();
    }
}

impl Rover {
    fn planner(&self) -> usize {
        self.stream.as_ref().map_or(usize::MAX, |s| s.planner)
    }

    /// So much work by the table's weights, without one of its servers.
    fn spread(&self, work: f64, but: usize) -> Vec<(usize, f64)> {
        let lines = || self.table.iter().filter(|(server, _)| **server != but);
        let sum: f64 = lines().map(|l| l.1).sum();
        lines().map(|(server, weight)| (*server, work * weight / sum)).collect()
    }

    fn lost(&mut self, now: Duration) {
        self.stream = None;
        self.dial_at = now + ms(100 + (37 * self.node as u64) % 300);
    }
}

impl Stream {
    fn next(&mut self) -> Option<Value> {
        let head = self.unread.first_chunk::<4>()?;
        let end = 4 + u32::from_be_bytes(*head) as usize;
        let body = self.unread.get(4..end)?;
        let message = serde_json::from_slice(body).ok();
        self.unread.drain(..end);
        message
    }
}

/// Connections that say nothing, or half a message.
pub fn strangers(to: SocketAddr, count: usize) -> Vec<TcpStream> {
    let come = |k: usize| {
        let mut socket = TcpStream::connect(to).ok()?;
        let _ = socket.write_all(if k.is_multiple_of(2) { b"" } else { &[0, 0, 0, 50, b'{', b'"'] });
        Some(socket)
    };
    (0..count).filter_map(come).collect()
}
