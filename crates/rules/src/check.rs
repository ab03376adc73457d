//! The five rules, each by its own pass over the record.

use crate::record::{List, Passed, Record};
use grebespool_wire::{Call, Order, Outcome, Phase, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

/// The figures that the rules state.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub unserved: Duration,
    pub grace: Duration,
    pub fall_multiple: f64,
    pub fall: Duration,
    /// A planner that knew of a start for so long is accountable for what its proxies send.
    pub knowing: Duration,
    pub warm_up: Duration,
    pub most_waiting: f64,
    pub head: f64,
    pub most_messages: usize,
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteFacts {
    Freely,
    /// All servers drop repeats within the window, or only those of a zone.
    Marked {
        window: Duration,
        by_zone: bool,
    },
    Never,
}

/// What has to be known of the day beside the record.
#[derive(Debug, Clone)]
pub struct Facts {
    pub limits: Limits,
    pub routes: Vec<RouteFacts>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: no joined proxy without a usable line.
    Served,
    /// 2: no effect twice, nor an order.
    Once,
    /// 3: drains kept within the grace.
    Drained,
    /// 4: no cold server pushed over.
    Cold,
    /// 5: a short queue, and few messages a proxy.
    Queue,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Served => "1 no joined proxy without a usable line",
            Rule::Once => "2 no effect twice",
            Rule::Drained => "3 drains kept within the grace",
            Rule::Cold => "4 no cold server pushed over",
            Rule::Queue => "5 a short queue, few messages a proxy",
        })
    }
}

/// Where a rule was first broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    pub at: Duration,
    pub what: String,
    /// What passed just before, of the proxy or server concerned.
    pub before: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    pub rule: Rule,
    pub first: Option<Breach>,
    pub breaches: usize,
    /// How much there was to check: a rule that nothing put to the test was not kept, it was not met.
    pub checked: usize,
}

/// Gathers the breaches of one rule.
struct Pass<'a> {
    record: &'a Record,
    verdict: Verdict,
}

impl<'a> Pass<'a> {
    fn new(record: &'a Record, rule: Rule) -> Self {
        Pass { record, verdict: Verdict { rule, first: None, breaches: 0, checked: 0 } }
    }

    /// `i`: the event's place in the record. `concerns`: whether an earlier one belongs to the context.
    fn breach(&mut self, i: usize, at: Duration, what: String, concerns: impl Fn(&Passed) -> bool) {
        self.verdict.breaches += 1;
        if self.verdict.first.is_none() {
            let before = self.record.passed[..i.min(self.record.passed.len())].iter().rev();
            let near = before.filter(|(_, p)| concerns(p)).take(5);
            let mut before: Vec<String> = near
                .map(|(t, p)| {
                    let mut text = format!("{:.3} s {p:?}", t.as_secs_f64());
                    text.truncate(text.char_indices().nth(300).map_or(text.len(), |c| c.0));
                    text
                })
                .collect();
            before.reverse();
            self.verdict.first = Some(Breach { at, what, before });
        }
    }
}

/// One verdict for each rule. Every rule is checked over the whole record, whatever the others gave.
pub fn check(record: &Record, facts: &Facts) -> [Verdict; 5] {
    [
        served(record, &facts.limits),
        once(record, &facts.routes),
        drained(record, &facts.limits),
        cold(record, &facts.limits),
        queue(record, &facts.limits),
    ]
}

/// The list as the planner was told it: each server's phase, since when, and when it had started by the
/// record's clock.
#[derive(Default)]
struct Told {
    entries: BTreeMap<ServerId, (Phase, Duration, u64)>,
    /// When each start of a server was first told, and how long past it was.
    starts: BTreeMap<(ServerId, u64), (Duration, Duration)>,
    version: u64,
}

impl Told {
    /// A message that is no newer than what was told, or that changes another, tells nothing.
    fn take(&mut self, at: Duration, list: &List) {
        let List { version, base, now_ms, entries } = list;
        let (version, base) = (*version, *base);
        if version <= self.version || (base != 0 && base != self.version) {
            return;
        }
        self.version = version;
        let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
        let here: BTreeMap<_, u32> = entries.iter().map(|e| (e.server.addr, e.server.number)).collect();
        for (id, entry) in &mut self.entries {
            let replaced = here.get(&id.addr).is_some_and(|n| *n != id.number);
            if !named.contains(id) && (base == 0 || replaced) && entry.0 != Phase::Gone {
                *entry = (Phase::Gone, at, entry.2);
            }
        }
        for e in entries {
            let age = Duration::from_millis(now_ms.saturating_sub(e.started_ms));
            self.starts.entry((e.server, e.started_ms)).or_insert((at, age));
            match self.entries.get_mut(&e.server) {
                // Gone after draining is no news of it.
                Some(old) if old.0 != Phase::Ready && e.phase != Phase::Ready => old.0 = e.phase,
                Some(old) if old.0 == e.phase => old.2 = e.started_ms,
                _ => drop(self.entries.insert(e.server, (e.phase, at, e.started_ms))),
            }
        }
    }
}

/// What the planner had heard: the lists told to it, none while it stood still, nothing over a kill.
#[derive(Default)]
struct Ear {
    told: Told,
    stalled: bool,
    missed: Vec<List>,
}

impl Ear {
    fn hear(&mut self, at: Duration, passed: &Passed) {
        match passed {
            Passed::ListTold(list) if self.stalled => self.missed.push(list.clone()),
            Passed::ListTold(list) => self.told.take(at, list),
            Passed::PlannerKilled => *self = Ear::default(),
            Passed::PlannerStalled => self.stalled = true,
            Passed::PlannerResumed => {
                self.stalled = false;
                for list in std::mem::take(&mut self.missed) {
                    self.told.take(at, &list);
                }
            }
            _ => {}
        }
    }
}

type Lines = BTreeMap<ServerId, f32>;
/// A proxy's try of a call: its number, where to, and when.
type Try = (u8, ServerId, Duration);

fn obey(tables: &mut BTreeMap<u16, Lines>, parts: &[Order]) {
    for part in parts {
        match part {
            Order::Bind { table, lines, .. } => {
                // A proxy is bound to one table for each route; what it held before is replaced.
                tables.clear();
                tables.insert(*table, lines.iter().copied().collect());
            }
            Order::Line { table, server, weight, .. } => {
                let lines = tables.entry(*table).or_default();
                match *weight > 0.0 {
                    true => lines.insert(*server, *weight),
                    false => lines.remove(server),
                };
            }
            _ => {}
        }
    }
}

#[derive(Default)]
struct ProxyState {
    joined: Option<Duration>,
    tables: BTreeMap<u16, Lines>,
    lacking: Option<Duration>,
    told_of: bool,
}

impl ProxyState {
    fn usable(&self) -> bool {
        !self.tables.is_empty() && self.tables.values().all(|t| t.values().any(|w| *w > 0.0))
    }
}

/// Rule 1. Counts only while the list as told shows a server that is ready and warm.
fn served(record: &Record, limits: &Limits) -> Verdict {
    let mut pass = Pass::new(record, Rule::Served);
    let (mut ear, mut proxies) = (Ear::default(), BTreeMap::<u16, ProxyState>::new());
    let warm = |told: &Told, now: Duration| {
        told.entries.iter().any(|(id, (phase, _, started))| {
            let (told_at, age) = told.starts.get(&(*id, *started)).copied().unwrap_or_default();
            *phase == Phase::Ready && (*started == 0 || now.saturating_sub(told_at) + age >= limits.warm_up)
        })
    };
    for (i, (at, passed)) in record.passed.iter().enumerate() {
        ear.hear(*at, passed);
        match passed {
            Passed::Began { proxy, lines } => {
                let state = proxies.entry(*proxy).or_default();
                state.tables = [(u16::MAX, lines.iter().copied().collect())].into();
            }
            Passed::Joined { proxy, .. } => {
                let state = proxies.entry(*proxy).or_default();
                (state.joined, state.lacking, state.told_of) = (Some(*at), None, false);
                pass.verdict.checked += 1;
            }
            Passed::Left { proxy } => proxies.entry(*proxy).or_default().joined = None,
            Passed::Delivered { proxy, orders } => {
                let state = proxies.entry(*proxy).or_default();
                obey(&mut state.tables, &orders.parts);
                pass.verdict.checked += 1;
            }
            _ => {}
        }
        let any = warm(&ear.told, *at);
        for (proxy, state) in &mut proxies {
            if state.joined.is_none() || state.usable() || !any {
                (state.lacking, state.told_of) = (None, false);
                continue;
            }
            let since = *state.lacking.get_or_insert(*at);
            if at.saturating_sub(since) > limits.unserved && !state.told_of {
                state.told_of = true;
                let what = format!("proxy {proxy} has had no usable line since {:.3} s", since.as_secs_f64());
                let number = *proxy;
                pass.breach(i, *at, what, |p| {
                    matches!(p, Passed::Delivered { proxy, .. } | Passed::Joined { proxy, .. } if *proxy == number)
                });
            }
        }
    }
    pass.verdict
}

/// Rule 2: a proxy sends a call again only where the earlier try is proven not to have run, or where its
/// repeat is dropped; and no order is obeyed twice, or after one of a newer start.
fn once(record: &Record, routes: &[RouteFacts]) -> Verdict {
    let mut pass = Pass::new(record, Rule::Once);
    let key = |c: &Call| (c.id, c.attempt, c.tried);
    let mut refused: BTreeMap<(u64, u8, u8), Duration> = BTreeMap::new();
    let mut tries: BTreeMap<(u64, u8), Vec<Try>> = BTreeMap::new();
    let mut zones: BTreeMap<ServerId, String> = BTreeMap::new();
    let mut newest: BTreeMap<u16, (u64, u32, u64)> = BTreeMap::new();
    let mut former: BTreeMap<u16, BTreeSet<u64>> = BTreeMap::new();
    for (i, (at, passed)) in record.passed.iter().enumerate() {
        match passed {
            Passed::ListTold(List { entries, .. }) => {
                zones.extend(entries.iter().map(|e| (e.server, e.zone.clone())));
            }
            Passed::Answered { call, outcome: Outcome::Throttled, .. } => {
                refused.entry(key(call)).or_insert(*at);
            }
            Passed::Sent { proxy, server, call } => {
                let earlier = tries.entry((call.id, call.attempt)).or_default();
                let mut wrong = None;
                for (tried, where_to, sent) in earlier.iter() {
                    let proven = refused.contains_key(&(call.id, call.attempt, *tried));
                    let kept = match routes.get(usize::from(call.route)) {
                        Some(RouteFacts::Freely) => true,
                        Some(RouteFacts::Marked { window, by_zone }) => {
                            at.saturating_sub(*sent) <= *window
                                && (!by_zone || zones.get(where_to) == zones.get(server))
                        }
                        Some(RouteFacts::Never) | None => false,
                    };
                    if !proven && !kept {
                        wrong = Some((*tried, *where_to));
                    }
                }
                earlier.push((call.tried, *server, *at));
                pass.verdict.checked += 1;
                if let Some((tried, to)) = wrong {
                    let (id, what) = (
                        call.id,
                        format!(
                            "proxy {proxy} sends call {} of route {} again to {}, though try {tried} at {} may have run",
                            call.id, call.route, server.addr, to.addr
                        ),
                    );
                    pass.breach(i, *at, what, |p| {
                        matches!(p, Passed::Sent { call, .. } | Passed::Received { call, .. }
                            | Passed::Answered { call, .. } if call.id == id)
                    });
                }
            }
            Passed::Delivered { proxy, orders } => {
                pass.verdict.checked += 1;
                let this = (orders.start, orders.stream, orders.seq);
                let last = newest.get(proxy).copied();
                let repeated = last.is_some_and(|l| l.0 == this.0 && l.1 == this.1 && l.2 >= this.2);
                let stale = former.get(proxy).is_some_and(|f| f.contains(&this.0))
                    || last.is_some_and(|l| l.0 == this.0 && l.1 > this.1);
                if let Some(l) = last.filter(|l| l.0 != this.0) {
                    former.entry(*proxy).or_default().insert(l.0);
                }
                if repeated || stale {
                    let how = if repeated { "again" } else { "after newer ones" };
                    let what = format!("orders {this:?} come to proxy {proxy} {how} (last {last:?})");
                    let number = *proxy;
                    pass.breach(
                        i,
                        *at,
                        what,
                        |p| matches!(p, Passed::Delivered { proxy, .. } if *proxy == number),
                    );
                } else {
                    newest.insert(*proxy, this);
                }
            }
            _ => {}
        }
    }
    pass.verdict
}

/// Rule 3. The clock starts when the planner was told or when the proxy joined, whichever is later.
fn drained(record: &Record, limits: &Limits) -> Verdict {
    let mut pass = Pass::new(record, Rule::Drained);
    let (mut ear, mut joined) = (Ear::default(), BTreeMap::<u16, Duration>::new());
    // A planner that stood still is not told anything meanwhile, nor can it tell.
    let mut stalls: Vec<(Duration, Duration)> = vec![];
    for (i, (at, passed)) in record.passed.iter().enumerate() {
        ear.hear(*at, passed);
        match passed {
            Passed::Joined { proxy, .. } => drop(joined.insert(*proxy, *at)),
            Passed::Left { proxy } => drop(joined.remove(proxy)),
            Passed::PlannerKilled => joined.clear(),
            Passed::PlannerStalled => stalls.push((*at, Duration::MAX)),
            Passed::PlannerResumed => stalls.iter_mut().last().into_iter().for_each(|s| s.1 = *at),
            Passed::Sent { proxy, server, .. } => {
                let (Some(since), Some((phase, told, _))) = (joined.get(proxy), ear.told.entries.get(server))
                else {
                    continue;
                };
                if *phase == Phase::Ready {
                    continue;
                }
                pass.verdict.checked += 1;
                let from = (*told).max(*since);
                let still: Duration = stalls.iter().map(|s| s.1.min(*at).saturating_sub(s.0.max(from))).sum();
                let over = at.saturating_sub(from).saturating_sub(still);
                if over > limits.grace {
                    let (number, id) = (*proxy, *server);
                    let what = format!(
                        "proxy {proxy} sends to {} {:.3} s after its planner was told that it is {phase:?}",
                        server.addr,
                        over.as_secs_f64()
                    );
                    pass.breach(i, *at, what, |p| match p {
                        Passed::Delivered { proxy, .. } | Passed::Joined { proxy, .. } => *proxy == number,
                        Passed::ListTold(List { entries, .. }) => entries.iter().any(|e| e.server == id),
                        _ => false,
                    });
                }
            }
            _ => {}
        }
    }
    // Drains that were told count as checked even where all proxies had left the server in time.
    let drains = record.passed.iter().filter(|(_, p)| {
        matches!(p, Passed::ListTold(List { entries, .. }) if entries.iter().any(|e| e.phase != Phase::Ready))
    });
    pass.verdict.checked += drains.count();
    pass.verdict
}

/// Rule 4. A fall counts against the planner where two thirds of the work that pushed the server over came
/// from proxies whose orders knew of the start, or whose planner had known of it for long enough.
fn cold(record: &Record, limits: &Limits) -> Verdict {
    let mut pass = Pass::new(record, Rule::Cold);
    let mut ear = Ear::default();
    let mut knows: BTreeMap<u16, u64> = BTreeMap::new();
    let mut joined: BTreeSet<u16> = BTreeSet::new();
    let mut told_by_version: BTreeMap<ServerId, (u64, Duration)> = BTreeMap::new();
    let mut recent: BTreeMap<ServerId, VecDeque<(Duration, u16, u32, bool)>> = BTreeMap::new();
    for (i, (at, passed)) in record.passed.iter().enumerate() {
        ear.hear(*at, passed);
        match passed {
            Passed::ListTold(List { version, entries, .. }) => {
                for e in entries.iter().filter(|e| e.phase == Phase::Ready && e.started_ms > 0) {
                    let first = ear.told.starts.get(&(e.server, e.started_ms)).map_or(*at, |s| s.0);
                    let known = told_by_version.entry(e.server).or_insert((*version, first));
                    if first > known.1 {
                        *known = (*version, first);
                    }
                }
            }
            Passed::PlannerKilled => {
                told_by_version.clear();
                joined.clear();
            }
            Passed::Joined { proxy, .. } => drop(joined.insert(*proxy)),
            Passed::Left { proxy } => drop(joined.remove(proxy)),
            Passed::Delivered { proxy, orders } => drop(knows.insert(*proxy, orders.list)),
            Passed::Up { server, .. } => {
                recent.remove(server);
                told_by_version.remove(server);
                pass.verdict.checked += 1;
            }
            Passed::Received { server, call } => {
                let list = recent.entry(*server).or_default();
                let knowing = told_by_version.get(server).is_some_and(|(version, told)| {
                    knows.get(&call.proxy).is_some_and(|k| k >= version)
                        || (joined.contains(&call.proxy) && at.saturating_sub(*told) >= limits.knowing)
                });
                list.push_back((*at, call.proxy, call.work_us, knowing));
                while list.front().is_some_and(|r| at.saturating_sub(r.0) > limits.fall) {
                    list.pop_front();
                }
            }
            Passed::Fell { server } => {
                let list = recent.remove(server).unwrap_or_default();
                let all: f64 = list.iter().map(|r| f64::from(r.2)).sum();
                let known: f64 = list.iter().filter(|r| r.3).map(|r| f64::from(r.2)).sum();
                if known * 3.0 >= all * 2.0 && all > 0.0 {
                    let id = *server;
                    let what = format!(
                        "{} fell over; {:.0}% of its work came from proxies that knew of its start",
                        server.addr,
                        100.0 * known / all
                    );
                    pass.breach(i, *at, what, |p| match p {
                        Passed::ListTold(List { entries, .. }) => entries.iter().any(|e| e.server == id),
                        Passed::Up { server, .. } => *server == id,
                        _ => false,
                    });
                }
            }
            _ => {}
        }
    }
    pass.verdict
}

/// Rule 5, by the times in the orders themselves: those given and not yet out wait.
fn queue(record: &Record, limits: &Limits) -> Verdict {
    let mut pass = Pass::new(record, Rule::Queue);
    let ordered = || {
        record.passed.iter().enumerate().filter_map(|(i, (at, p))| match p {
            Passed::Ordered { proxy, orders } => Some((i, *at, *proxy, orders)),
            _ => None,
        })
    };
    // No order is out before it was given: the earliest shows how the planner's clock lies to the record's.
    let mut began: BTreeMap<u64, Duration> = BTreeMap::new();
    for (_, at, _, orders) in ordered() {
        let lies = at.saturating_sub(Duration::from_micros(orders.ordered_us));
        began.entry(orders.start).and_modify(|b| *b = (*b).min(lies)).or_insert(lies);
    }
    let mut steps: Vec<(Duration, bool, u64, f64, usize)> = vec![];
    for (i, at, _, orders) in ordered() {
        let lines: usize = orders
            .parts
            .iter()
            .map(|p| match p {
                Order::Bind { lines, levels, .. } => 1 + lines.len() + levels.len(),
                _ => 1,
            })
            .sum();
        let cost = lines as f64 + limits.head;
        let given = began[&orders.start] + Duration::from_micros(orders.ordered_us);
        steps.push((given, true, orders.start, cost, i));
        steps.push((at.max(given), false, orders.start, cost, i));
        pass.verdict.checked += 1;
    }
    // At the same instant what leaves goes first.
    steps.sort_by_key(|s| (s.0, s.1));
    let mut waiting: BTreeMap<u64, f64> = BTreeMap::new();
    for (at, given, start, cost, i) in steps {
        let lines = waiting.entry(start).or_default();
        *lines += if given { cost } else { -cost };
        if *lines > limits.most_waiting {
            let what = format!("{lines:.0} lines wait in the channel; {} may", limits.most_waiting);
            pass.breach(i, at, what, |p| matches!(p, Passed::Ordered { .. }));
        }
    }
    if limits.most_messages > 0 {
        let mut sent: BTreeMap<(u16, u64, u32), VecDeque<Duration>> = BTreeMap::new();
        for (i, at, proxy, orders) in ordered() {
            let given = began[&orders.start] + Duration::from_micros(orders.ordered_us);
            let list = sent.entry((proxy, orders.start, orders.stream)).or_default();
            list.push_back(given);
            while list.front().is_some_and(|t| given.saturating_sub(*t) >= limits.window) {
                list.pop_front();
            }
            if list.len() > limits.most_messages {
                let what = format!("{} messages to proxy {proxy} within the window", list.len());
                pass.breach(i, at, what, |p| matches!(p, Passed::Ordered { proxy: n, .. } if *n == proxy));
            }
        }
    }
    pass.verdict
}
