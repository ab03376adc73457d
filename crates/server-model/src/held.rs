//! What a proxy holds: tables, levels, and how it picks. Free of I/O.

use grebespool_settings::Picks;
use grebespool_wire::{
    AdmissionRule, Change, Exclusion, RetryPolicy, ServerId, ServerWeight, TableBinding, Update, WeightChange,
};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Update from before a restart or a broken stream, or that came before: not obeyed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stale;

struct Line {
    server: ServerId,
    weight: f32,
    /// For picking in turn: how far the line is behind its share.
    credit: f32,
}

struct Table {
    number: u16,
    routes: u16,
    lines: Vec<Line>,
}

pub struct Held {
    picks: Picks,
    avoids: (u32, Duration),
    tables: Vec<Table>,
    levels: BTreeMap<u16, AdmissionRule>,
    withdrawn: BTreeSet<ServerId>,
    failures: BTreeMap<ServerId, (u32, Duration)>,
    stream: Option<(u64, u32)>,
    /// The newest epoch that it has seen; kept over broken streams.
    epoch: u64,
    seq: u64,
    /// Start and number of the last orders in force.
    pub last: (u64, u64),
}

impl Held {
    /// Begins with a table of its own. `avoids`: after how many failures in a row a server is kept away from,
    /// and for how long; 0 for never.
    pub fn new(picks: Picks, avoids: (u32, Duration), standing: &[ServerId]) -> Held {
        let mut held = Held {
            picks,
            avoids,
            tables: vec![],
            levels: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            failures: BTreeMap::new(),
            stream: None,
            epoch: 0,
            seq: 0,
            last: (0, 0),
        };
        held.hold_evenly(standing);
        held
    }

    /// Holds these servers, each with the same weight, and nothing else.
    pub fn hold_evenly(&mut self, servers: &[ServerId]) {
        let line = |s: &ServerId| Line { server: *s, weight: 1.0, credit: 0.0 };
        self.tables = vec![Table { number: u16::MAX, routes: 0, lines: servers.iter().map(line).collect() }];
    }

    /// It has no orders yet.
    pub fn bare(&self) -> bool {
        self.last == (0, 0)
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A stream of a planner's start was welcomed: only its orders count from here on.
    ///
    /// # Errors
    ///
    /// The planner leads in an older epoch than one that was seen: nothing of it is to be obeyed.
    pub fn welcomed(&mut self, start: u64, stream: u32, epoch: u64) -> Result<(), Stale> {
        if epoch < self.epoch {
            return Err(Stale);
        }
        (self.stream, self.seq, self.epoch) = (Some((start, stream)), 0, epoch);
        Ok(())
    }

    pub fn left(&mut self) {
        self.stream = None;
    }

    /// Puts orders in force and gives the mark to answer.
    ///
    /// # Errors
    ///
    /// The orders are stale, and nothing of them is put in force.
    pub fn obey(&mut self, orders: &Update) -> Result<Option<u16>, Stale> {
        let of_stream = self.stream == Some((orders.incarnation, orders.stream)) && orders.term == self.epoch;
        if !of_stream || orders.sequence <= self.seq {
            return Err(Stale);
        }
        (self.seq, self.last) = (orders.sequence, (orders.incarnation, orders.sequence));
        let mut mark = None;
        for part in &orders.changes {
            match part {
                Change::BindTable(TableBinding {
                    table, routes, weights: lines, admission: levels, ..
                }) => {
                    self.tables.retain(|t| *routes != 0 && t.routes & routes == 0 && t.routes != 0);
                    let line = |w: &ServerWeight| Line { server: w.server, weight: w.weight, credit: 0.0 };
                    let lines = lines.iter().map(line).collect();
                    self.tables.push(Table { number: *table, routes: *routes, lines });
                    self.levels = levels.iter().map(|l| (l.routes, *l)).collect();
                }
                Change::SetWeight(WeightChange { table, server, weight, .. }) => {
                    for t in self.tables.iter_mut().filter(|t| t.number == *table) {
                        let held = t.lines.iter().position(|l| l.server == *server);
                        match (held, *weight > 0.0) {
                            (Some(i), true) => t.lines[i].weight = *weight,
                            (Some(i), false) => drop(t.lines.remove(i)),
                            (None, true) => {
                                t.lines.push(Line { server: *server, weight: *weight, credit: 0.0 });
                            }
                            (None, false) => {}
                        }
                    }
                }
                Change::SetAdmission(level) => drop(self.levels.insert(level.routes, *level)),
                Change::Exclude(Exclusion { server, excluded: true }) => drop(self.withdrawn.insert(*server)),
                Change::Exclude(Exclusion { server, excluded: false }) => drop(self.withdrawn.remove(server)),
                Change::RequestAck(number) => mark = Some(*number),
            }
        }
        Ok(mark)
    }

    fn has(routes: u16, route: u8) -> bool {
        routes == 0 || routes >> route & 1 == 1
    }

    /// The share of a route's calls that is let in, and when they are tried again.
    pub fn level(&self, route: u8) -> (f32, RetryPolicy) {
        let level = self.levels.values().find(|l| Self::has(l.routes, route));
        level.map_or((1.0, RetryPolicy::IfNotExecuted), |l| (l.admitted_fraction, l.retry_policy))
    }

    /// Whether any table names the server.
    pub fn names(&self, server: ServerId) -> bool {
        self.tables.iter().any(|t| t.lines.iter().any(|l| l.server == server))
    }

    pub fn met(&mut self, now: Duration, server: ServerId, good: bool) {
        let (most, how_long) = self.avoids;
        if most == 0 {
            return;
        }
        let (run, until) = self.failures.entry(server).or_default();
        *run = if good { 0 } else { *run + 1 };
        if *run >= most {
            (*run, *until) = (0, now + how_long);
        }
    }

    /// A server for a call of the route, none of `tried`. `in_hand`: calls outstanding at a server.
    pub fn pick(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        route: u8,
        tried: &[ServerId],
        in_hand: impl Fn(ServerId) -> usize,
    ) -> Option<ServerId> {
        let table = self.tables.iter_mut().find(|t| Self::has(t.routes, route))?;
        let avoided = |s: &ServerId| self.failures.get(s).is_some_and(|f| now < f.1);
        let may = |l: &Line| !tried.contains(&l.server) && !self.withdrawn.contains(&l.server);
        let mut lines: Vec<&mut Line> = table.lines.iter_mut().filter(|l| may(l)).collect();
        // With all avoided, avoiding none is better than none.
        if lines.iter().any(|l| !avoided(&l.server)) {
            lines.retain(|l| !avoided(&l.server));
        }
        let total: f32 = lines.iter().map(|l| l.weight).sum();
        if lines.is_empty() || total <= 0.0 {
            return None;
        }
        let mut draw = || {
            let mut at = rng.random_range(0.0..total);
            let line = lines.iter().find(|l| {
                at -= l.weight;
                at < 0.0
            });
            line.unwrap_or(&lines[lines.len() - 1]).server
        };
        match self.picks {
            Picks::Weighted => Some(draw()),
            Picks::Two => {
                let (a, b) = (draw(), draw());
                Some(if in_hand(b) < in_hand(a) { b } else { a })
            }
            Picks::Round => {
                lines.iter_mut().for_each(|l| l.credit += l.weight);
                let best = lines.iter_mut().max_by(|a, b| a.credit.total_cmp(&b.credit))?;
                best.credit -= total;
                Some(best.server)
            }
        }
    }
}
