//! The weight tables that planners sent to a proxy, and how the proxy picks a server by them. Updates are expected in the order in
//! which they were sent; an update older than the last applied one is rejected.

use grebespool_settings::Picks;
use grebespool_wire::{
    AdmissionRule, Change, Exclusion, RetryPolicy, ServerId, ServerWeight, TableBinding, Update, WeightChange,
};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// Error for a stream of an older term, and for an update of another term or stream, or one that is not newer than the last one.
/// Nothing of it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the message is older than what was applied")]
pub struct StaleUpdateError;

/// Rule by which a proxy avoids a failing server.
#[derive(Debug, Clone, Copy)]
pub struct Avoidance {
    /// Number of consecutive failures after which the server is avoided; 0 never avoids one.
    pub after_failures: u32,
    /// Time for which the server is then avoided.
    pub duration: Duration,
}

/// Identifier of a planner's update, used to acknowledge the update.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpdateId {
    /// Incarnation of the planner.
    pub incarnation: u64,
    /// Position of the update in its stream, from 1.
    pub sequence: u64,
}

/// Share of a route's requests that proxies admit, and when they retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admission {
    /// Admitted share of the requests, 0 to 1.
    pub share: f32,
    /// Condition under which a failed attempt is retried.
    pub retries: RetryPolicy,
}

impl Admission {
    /// Admits every request; holds until a planner sets an admission level.
    const DEFAULT: Admission = Admission { share: 1.0, retries: RetryPolicy::IfNotExecuted };
}

struct Entry {
    server: ServerId,
    weight: f32,
    /// Weight by which the server is behind its share of the picks, for picks in turn.
    credit: f32,
}

impl Entry {
    fn new(server: ServerId, weight: f32) -> Entry {
        Entry { server, weight, credit: 0.0 }
    }
}

struct Table {
    number: u16,
    /// Bit set of the routes that use the table; [`ALL_ROUTES`] for all.
    routes: u16,
    entries: Vec<Entry>,
}

/// Bit set of routes that means every route.
const ALL_ROUTES: u16 = 0;
/// Number of the table that a proxy starts with; no planner uses this number.
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

/// Consecutive failures of attempts at a server.
#[derive(Default)]
struct FailureRun {
    failures: u32,
    avoided_until: Duration,
}

/// Identifier of a planner's stream: the planner's incarnation and the stream's number.
#[derive(Clone, Copy, PartialEq, Eq)]
struct PlannerStream {
    incarnation: u64,
    stream: u32,
}

/// Weight tables, admission levels and excluded servers of one proxy.
pub struct ProxyTables {
    picks: Picks,
    avoidance: Avoidance,
    tables: Vec<Table>,
    /// Admission levels by the bit set of their routes.
    levels: BTreeMap<u16, AdmissionRule>,
    excluded: BTreeSet<ServerId>,
    failure_runs: BTreeMap<ServerId, FailureRun>,
    stream: Option<PlannerStream>,
    /// Newest term of an accepted stream; outlasts the stream.
    term: u64,
    /// Sequence number of the last update on the current stream; 0 before the first.
    sequence: u64,
    last_applied: UpdateId,
}

impl ProxyTables {
    /// Creates the tables of a proxy that starts with one table of `servers` with even weights.
    pub fn new(picks: Picks, avoidance: Avoidance, servers: &[ServerId]) -> ProxyTables {
        let mut tables = ProxyTables {
            picks,
            avoidance,
            tables: vec![],
            levels: BTreeMap::new(),
            excluded: BTreeSet::new(),
            failure_runs: BTreeMap::new(),
            stream: None,
            term: 0,
            sequence: 0,
            last_applied: UpdateId::default(),
        };
        tables.set_even_weights(servers);
        tables
    }

    /// Replaces all tables by one table of `servers` with even weights.
    pub fn set_even_weights(&mut self, servers: &[ServerId]) {
        let entries = servers.iter().map(|server| Entry::new(*server, 1.0)).collect();
        self.tables = vec![Table { number: INITIAL_TABLE, routes: ALL_ROUTES, entries }];
    }

    /// Returns true if no planner's update was ever applied.
    pub fn is_unconfigured(&self) -> bool {
        self.last_applied == UpdateId::default()
    }

    /// Returns the newest term of an accepted stream.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the identifier of the last update that was applied.
    pub fn last_applied(&self) -> UpdateId {
        self.last_applied
    }

    /// Handles that a planner has accepted a stream: from now on only updates of this stream are applied.
    ///
    /// # Errors
    ///
    /// Returns [`StaleUpdateError`] if `term` is older than the newest term of an accepted stream.
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

    /// Handles the end of the stream. The tables stay as they are.
    pub fn stream_closed(&mut self) {
        self.stream = None;
    }

    /// Applies an update and returns the number of the acknowledgement that the update requests.
    ///
    /// # Errors
    ///
    /// Returns [`StaleUpdateError`] if the update is stale; nothing of it is applied then.
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
                let tables = self.tables.iter_mut().filter(|candidate| candidate.number == *table);
                tables.for_each(|table| table.set_weight(*server, *weight));
            }
            Change::SetAdmission(level) => drop(self.levels.insert(level.routes, *level)),
            Change::Exclude(Exclusion { server, excluded: true }) => drop(self.excluded.insert(*server)),
            Change::Exclude(Exclusion { server, excluded: false }) => drop(self.excluded.remove(server)),
            Change::RequestAck(_) => {}
        }
    }

    /// Binds a table to routes and drops every table that shares a route with it.
    fn bind(&mut self, number: u16, routes: u16, weights: &[ServerWeight]) {
        self.tables
            .retain(|table| routes != ALL_ROUTES && table.routes & routes == 0 && table.routes != ALL_ROUTES);
        let entries = weights.iter().map(|weight| Entry::new(weight.server, weight.weight)).collect();
        self.tables.push(Table { number, routes, entries });
    }

    fn route_set_contains(routes: u16, route: u8) -> bool {
        routes == ALL_ROUTES || routes >> route & 1 == 1
    }

    /// Returns the admission level of a route and when its attempts are retried.
    pub fn admission(&self, route: u8) -> Admission {
        let level = self.levels.values().find(|level| Self::route_set_contains(level.routes, route));
        level.map_or(Admission::DEFAULT, |level| Admission {
            share: level.admitted_fraction,
            retries: level.retry_policy,
        })
    }

    /// Returns true if any table has the server.
    pub fn contains(&self, server: ServerId) -> bool {
        self.tables.iter().any(|table| table.entries.iter().any(|entry| entry.server == server))
    }

    /// Counts a finished attempt at a server, and avoids the server after too many consecutive failures.
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

    /// Picks a server that is not in `tried` for a request for the route. Returns `None` if the route's table has no other server.
    /// `in_flight` returns the number of requests in flight at a server.
    ///
    /// The number and the order of the random draws decide the results of a simulated day.
    pub fn pick(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        route: u8,
        tried: &[ServerId],
        in_flight: impl Fn(ServerId) -> usize,
    ) -> Option<ServerId> {
        let table = self.tables.iter_mut().find(|table| Self::route_set_contains(table.routes, route))?;
        let is_avoided =
            |server: &ServerId| self.failure_runs.get(server).is_some_and(|run| now < run.avoided_until);
        let is_allowed =
            |entry: &Entry| !tried.contains(&entry.server) && !self.excluded.contains(&entry.server);
        let mut entries: Vec<&mut Entry> =
            table.entries.iter_mut().filter(|entry| is_allowed(entry)).collect();
        // If all servers are avoided, the request still needs one of them.
        if entries.iter().any(|entry| !is_avoided(&entry.server)) {
            entries.retain(|entry| !is_avoided(&entry.server));
        }
        let total: f32 = entries.iter().map(|entry| entry.weight).sum();
        if entries.is_empty() || total <= 0.0 {
            return None;
        }
        match self.picks {
            Picks::Weighted => Some(draw_by_weight(&entries, total, rng)),
            Picks::Two => {
                let first = draw_by_weight(&entries, total, rng);
                let second = draw_by_weight(&entries, total, rng);
                Some(if in_flight(second) < in_flight(first) { second } else { first })
            }
            Picks::Round => pick_in_turn(&mut entries, total),
        }
    }
}

/// Returns a random server, with a probability in proportion to its weight.
fn draw_by_weight(entries: &[&mut Entry], total: f32, rng: &mut impl Rng) -> ServerId {
    let mut remaining = rng.random_range(0.0..total);
    let drawn = entries.iter().find(|entry| {
        remaining -= entry.weight;
        remaining < 0.0
    });
    drawn.unwrap_or(&entries[entries.len() - 1]).server
}

/// Returns the server that is furthest behind its share of the picks (smooth weighted round robin).
fn pick_in_turn(entries: &mut [&mut Entry], total: f32) -> Option<ServerId> {
    entries.iter_mut().for_each(|entry| entry.credit += entry.weight);
    let next = entries.iter_mut().max_by(|a, b| a.credit.total_cmp(&b.credit))?;
    next.credit -= total;
    Some(next.server)
}
