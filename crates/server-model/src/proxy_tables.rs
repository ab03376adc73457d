//! What a proxy was told, and how it picks a server by that. Assumes that messages come in the order in which they were sent; never
//! applies one that is older than what it has applied.

use grebespool_settings::Picks;
use grebespool_wire::{
    AdmissionRule, Change, Exclusion, RetryPolicy, ServerId, ServerWeight, TableBinding, Update, WeightChange,
};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// A planner's message is from an earlier term or stream, or not newer than the last one: nothing of it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the message is older than what was applied")]
pub struct StaleUpdateError;

/// When a proxy avoids a server.
#[derive(Debug, Clone, Copy)]
pub struct Avoidance {
    /// Failures one after another; 0 for never.
    pub after_failures: u32,
    /// How long it avoids the server then.
    pub duration: Duration,
}

/// A planner's update, by which it is acknowledged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpdateId {
    /// The planner's incarnation.
    pub incarnation: u64,
    /// The position in its stream, from 1.
    pub sequence: u64,
}

/// What a route's proxies admit, and when they retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admission {
    /// The share of the requests that is admitted, 0 to 1.
    pub share: f32,
    /// When a failed attempt is made again.
    pub retries: RetryPolicy,
}

impl Admission {
    /// Everything, until a planner says otherwise.
    const DEFAULT: Admission = Admission { share: 1.0, retries: RetryPolicy::IfNotExecuted };
}

struct Entry {
    server: ServerId,
    weight: f32,
    /// For picking in turn: how far the server is behind its share.
    credit: f32,
}

impl Entry {
    fn new(server: ServerId, weight: f32) -> Entry {
        Entry { server, weight, credit: 0.0 }
    }
}

struct Table {
    number: u16,
    /// The routes that use it, a bit each; [`ALL_ROUTES`] for all.
    routes: u16,
    entries: Vec<Entry>,
}

/// A set of routes that stands for every route.
const ALL_ROUTES: u16 = 0;
/// The number of the table that a proxy begins with, which no planner uses.
const INITIAL_TABLE: u16 = u16::MAX;

impl Table {
    fn set_weight(&mut self, server: ServerId, weight: f32) {
        let position = self.entries.iter().position(|entry| entry.server == server);
        match position {
            Some(position) if weight > 0.0 => self.entries[position].weight = weight,
            Some(position) => drop(self.entries.remove(position)),
            None if weight > 0.0 => self.entries.push(Entry::new(server, weight)),
            None => {}
        }
    }
}

#[derive(Default)]
struct FailureRun {
    failures: u32,
    avoided_until: Duration,
}

/// A planner's stream, by the planner's incarnation and the stream's number.
#[derive(Clone, Copy, PartialEq, Eq)]
struct PlannerStream {
    incarnation: u64,
    stream: u32,
}

/// The tables, admission levels and withdrawn servers of one proxy.
pub struct ProxyTables {
    picks: Picks,
    avoidance: Avoidance,
    tables: Vec<Table>,
    levels: BTreeMap<u16, AdmissionRule>,
    withdrawn: BTreeSet<ServerId>,
    failure_runs: BTreeMap<ServerId, FailureRun>,
    stream: Option<PlannerStream>,
    /// The newest term seen; kept over broken streams.
    term: u64,
    sequence: u64,
    last_applied: UpdateId,
}

impl ProxyTables {
    /// Begins with a table of `servers` with even weights.
    pub fn new(picks: Picks, avoidance: Avoidance, servers: &[ServerId]) -> ProxyTables {
        let mut tables = ProxyTables {
            picks,
            avoidance,
            tables: vec![],
            levels: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            failure_runs: BTreeMap::new(),
            stream: None,
            term: 0,
            sequence: 0,
            last_applied: UpdateId::default(),
        };
        tables.set_even_weights(servers);
        tables
    }

    /// Replaces all tables by one of these servers with even weights.
    pub fn set_even_weights(&mut self, servers: &[ServerId]) {
        let entries = servers.iter().map(|server| Entry::new(*server, 1.0)).collect();
        self.tables = vec![Table { number: INITIAL_TABLE, routes: ALL_ROUTES, entries }];
    }

    /// Whether no planner's update was ever applied.
    pub fn is_unconfigured(&self) -> bool {
        self.last_applied == UpdateId::default()
    }

    /// The newest term seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The last update that was applied.
    pub fn last_applied(&self) -> UpdateId {
        self.last_applied
    }

    /// A planner has accepted a stream: only its updates count from here on.
    ///
    /// # Errors
    ///
    /// The planner leads in an older term than one that was seen.
    pub fn stream_accepted(
        &mut self,
        incarnation: u64,
        stream: u32,
        term: u64,
    ) -> Result<(), StaleUpdateError> {
        if term < self.term {
            return Err(StaleUpdateError);
        }
        self.stream = Some(PlannerStream { incarnation, stream });
        self.sequence = 0;
        self.term = term;
        Ok(())
    }

    /// The stream has ended; what was applied stays.
    pub fn stream_closed(&mut self) {
        self.stream = None;
    }

    /// Applies an update and returns the number of the acknowledgement that it asks for.
    ///
    /// # Errors
    ///
    /// The update is stale, and nothing of it is applied.
    pub fn apply(&mut self, update: &Update) -> Result<Option<u16>, StaleUpdateError> {
        let stream = PlannerStream { incarnation: update.incarnation, stream: update.stream };
        let is_current = self.stream == Some(stream) && update.term == self.term;
        if !is_current || update.sequence <= self.sequence {
            return Err(StaleUpdateError);
        }
        self.sequence = update.sequence;
        self.last_applied = UpdateId { incarnation: update.incarnation, sequence: update.sequence };
        let mut ack = None;
        for change in &update.changes {
            if let Change::RequestAck(number) = change {
                ack = Some(*number);
            } else {
                self.apply_change(change);
            }
        }
        Ok(ack)
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::BindTable(TableBinding { table, routes, weights, admission, .. }) => {
                self.bind(*table, *routes, weights);
                self.levels = admission.iter().map(|level| (level.routes, *level)).collect();
            }
            Change::SetWeight(WeightChange { table, server, weight, .. }) => {
                let tables = self.tables.iter_mut().filter(|held| held.number == *table);
                tables.for_each(|held| held.set_weight(*server, *weight));
            }
            Change::SetAdmission(level) => drop(self.levels.insert(level.routes, *level)),
            Change::Exclude(Exclusion { server, excluded: true }) => drop(self.withdrawn.insert(*server)),
            Change::Exclude(Exclusion { server, excluded: false }) => drop(self.withdrawn.remove(server)),
            Change::RequestAck(_) => {}
        }
    }

    /// Uses a table for routes, in place of the tables that these had.
    fn bind(&mut self, number: u16, routes: u16, weights: &[ServerWeight]) {
        self.tables
            .retain(|table| routes != ALL_ROUTES && table.routes & routes == 0 && table.routes != ALL_ROUTES);
        let entries = weights.iter().map(|held| Entry::new(held.server, held.weight)).collect();
        self.tables.push(Table { number, routes, entries });
    }

    fn includes(routes: u16, route: u8) -> bool {
        routes == ALL_ROUTES || routes >> route & 1 == 1
    }

    /// What is admitted of a route.
    pub fn admission(&self, route: u8) -> Admission {
        let level = self.levels.values().find(|level| Self::includes(level.routes, route));
        level.map_or(Admission::DEFAULT, |level| Admission {
            share: level.admitted_fraction,
            retries: level.retry_policy,
        })
    }

    /// Whether any table has the server.
    pub fn contains(&self, server: ServerId) -> bool {
        self.tables.iter().any(|table| table.entries.iter().any(|entry| entry.server == server))
    }

    /// Counts how an attempt at a server ended.
    pub fn attempt_finished(&mut self, now: Duration, server: ServerId, answered: bool) {
        if self.avoidance.after_failures == 0 {
            return;
        }
        let run = self.failure_runs.entry(server).or_default();
        run.failures = if answered { 0 } else { run.failures + 1 };
        if run.failures >= self.avoidance.after_failures {
            run.failures = 0;
            run.avoided_until = now + self.avoidance.duration;
        }
    }

    /// A server for a request of the route, none of `tried`; `None` where no table has another. `in_flight` gives the requests in
    /// flight at a server.
    pub fn pick(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        route: u8,
        tried: &[ServerId],
        in_flight: impl Fn(ServerId) -> usize,
    ) -> Option<ServerId> {
        let table = self.tables.iter_mut().find(|table| Self::includes(table.routes, route))?;
        let is_avoided =
            |server: &ServerId| self.failure_runs.get(server).is_some_and(|run| now < run.avoided_until);
        let is_allowed =
            |entry: &Entry| !tried.contains(&entry.server) && !self.withdrawn.contains(&entry.server);
        let mut entries: Vec<&mut Entry> =
            table.entries.iter_mut().filter(|entry| is_allowed(entry)).collect();
        // Where all are avoided, any is better than none.
        if entries.iter().any(|entry| !is_avoided(&entry.server)) {
            entries.retain(|entry| !is_avoided(&entry.server));
        }
        let total: f32 = entries.iter().map(|entry| entry.weight).sum();
        if entries.is_empty() || total <= 0.0 {
            return None;
        }
        match self.picks {
            Picks::Weighted => Some(draw(&entries, total, rng)),
            Picks::Two => {
                let (first, second) = (draw(&entries, total, rng), draw(&entries, total, rng));
                Some(if in_flight(second) < in_flight(first) { second } else { first })
            }
            Picks::Round => take_turn(&mut entries, total),
        }
    }
}

/// One of the servers, by chance and weight.
fn draw(entries: &[&mut Entry], total: f32, rng: &mut impl Rng) -> ServerId {
    let mut left = rng.random_range(0.0..total);
    let drawn = entries.iter().find(|entry| {
        left -= entry.weight;
        left < 0.0
    });
    drawn.unwrap_or(&entries[entries.len() - 1]).server
}

/// The server that is furthest behind its share.
fn take_turn(entries: &mut [&mut Entry], total: f32) -> Option<ServerId> {
    entries.iter_mut().for_each(|entry| entry.credit += entry.weight);
    let next = entries.iter_mut().max_by(|a, b| a.credit.total_cmp(&b.credit))?;
    next.credit -= total;
    Some(next.server)
}
