//! Computes the service level from a day's events one by one; of the requests, only those in flight are held in memory.

use crate::service_level::{RouteServiceLevel, ServiceLevel, ZoneServiceLevel};
use grebespool_invariants::{Event, Record};
use grebespool_settings::{Deployment, Route};
use grebespool_wire::{CallOutcome, ServerId};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of the worst period, in seconds.
const WORST_PERIOD_S: usize = 10;
/// Number of significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
const US_PER_MS: f64 = 1000.0;

/// Priority weight of all requests, and of the requests that were answered in time.
#[derive(Debug, Clone, Copy, Default)]
struct WeightTotals {
    requested: f64,
    in_time: f64,
}

impl WeightTotals {
    /// Returns the service level, 0 to 1; 1 if there were no requests.
    fn level(self) -> f64 {
        if self.requested > 0.0 { self.in_time / self.requested } else { 1.0 }
    }

    fn plus(self, other: &WeightTotals) -> WeightTotals {
        WeightTotals { requested: self.requested + other.requested, in_time: self.in_time + other.in_time }
    }

    /// Returns the service level of consecutive periods taken together.
    fn level_of(periods: &[WeightTotals]) -> f64 {
        periods.iter().fold(WeightTotals::default(), WeightTotals::plus).level()
    }
}

struct RouteRecord {
    priority_weight: f64,
    latency_objective: Duration,
    level: RouteServiceLevel,
    latencies: Histogram<u64>,
}

impl RouteRecord {
    fn new(route: &Route) -> RouteRecord {
        RouteRecord {
            priority_weight: route.importance,
            latency_objective: route.slo.0,
            level: RouteServiceLevel {
                name: route.name.clone(),
                requests: 0,
                answered: 0,
                in_time: 0,
                rejected: 0,
                p50_ms: 0.0,
                p99_ms: 0.0,
            },
            latencies: new_histogram(),
        }
    }

    fn into_level(self) -> RouteServiceLevel {
        RouteServiceLevel {
            p50_ms: quantile_ms(&self.latencies, 0.5),
            p99_ms: quantile_ms(&self.latencies, 0.99),
            ..self.level
        }
    }
}

#[derive(Clone, Copy, Default)]
struct ZoneRecord {
    requests: u64,
    totals: WeightTotals,
}

struct InFlight {
    due: Duration,
    route: usize,
    zone: u16,
    work_us: u32,
}

/// Recorder of a day's events, from which it computes the service level.
pub struct ServiceLevelRecorder {
    routes: Vec<RouteRecord>,
    zone_names: Vec<String>,
    zones: Vec<ZoneRecord>,
    in_flight: BTreeMap<u64, InFlight>,
    latencies: Histogram<u64>,
    /// Totals of each second of the day, by the time at which the requests were due.
    seconds: Vec<WeightTotals>,
    zone_by_server: BTreeMap<ServerId, u16>,
    work_us: u64,
    useful_work_us: u64,
    attempts: u64,
    cross_zone_attempts: u64,
    connections: u64,
    messages: u64,
    entries: u64,
    joins: u64,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(LATENCY_DIGITS).expect("a histogram takes up to five digits")
}

fn record_latency(latencies: &mut Histogram<u64>, latency_us: u64) {
    latencies.record(latency_us).expect("a histogram that resizes itself takes any value");
}

fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / US_PER_MS
}

/// Returns a part divided by its total; 0 if the total is 0.
fn share(part: u64, total: u64) -> f64 {
    if total > 0 { part as f64 / total as f64 } else { 0.0 }
}

impl ServiceLevelRecorder {
    /// Creates the recorder of a day without events.
    pub fn new(deployment: &Deployment) -> ServiceLevelRecorder {
        ServiceLevelRecorder {
            routes: deployment.routes.iter().map(RouteRecord::new).collect(),
            zone_names: deployment.zones.clone(),
            zones: vec![ZoneRecord::default(); deployment.zones.len()],
            in_flight: BTreeMap::new(),
            latencies: new_histogram(),
            seconds: vec![],
            zone_by_server: BTreeMap::new(),
            work_us: 0,
            useful_work_us: 0,
            attempts: 0,
            cross_zone_attempts: 0,
            connections: 0,
            messages: 0,
            entries: 0,
            joins: 0,
        }
    }

    /// Returns the service level of a whole record.
    pub fn of_record(record: &Record, deployment: &Deployment) -> ServiceLevel {
        let mut recorder = ServiceLevelRecorder::new(deployment);
        record.passed.iter().for_each(|(at, event)| recorder.record(*at, event));
        recorder.finish()
    }

    /// Records an event; `at` is the time since the beginning of the day.
    pub fn record(&mut self, at: Duration, event: &Event) {
        match event {
            Event::Asked { id, route, zone, work_us, .. } => {
                let request =
                    InFlight { due: at, route: usize::from(*route), zone: *zone, work_us: *work_us };
                self.request_made(*id, request);
            }
            Event::Done { id, outcome, .. } => self.request_finished(at, *id, *outcome),
            Event::ListTold(list) => {
                for entry in &list.entries {
                    self.server_listed(entry.server, &entry.zone);
                }
            }
            Event::Sent { server, call, .. } => {
                self.attempts += 1;
                let server_zone = self.zone_by_server.get(server);
                let client_zone = self.in_flight.get(&call.id).map(|request| request.zone);
                let is_remote =
                    server_zone.zip(client_zone).is_some_and(|(server, client)| *server != client);
                self.cross_zone_attempts += u64::from(is_remote);
            }
            Event::Answered { call, outcome: CallOutcome::Answered, .. } => {
                self.work_us += u64::from(call.work_us);
            }
            Event::Connected { .. } => self.connections += 1,
            Event::Ordered { orders, .. } => {
                self.messages += 1;
                self.entries += orders.changes.len() as u64;
            }
            Event::Joined { .. } => self.joins += 1,
            _ => {}
        }
    }

    fn server_listed(&mut self, server: ServerId, zone: &str) {
        if let Some(position) = self.zone_names.iter().position(|name| name == zone) {
            self.zone_by_server.insert(server, position as u16);
        }
    }

    fn request_made(&mut self, id: u64, request: InFlight) {
        let Some(route) = self.routes.get_mut(request.route) else { return };
        route.level.requests += 1;
        let second = request.due.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, WeightTotals::default());
        }
        self.seconds[second].requested += route.priority_weight;
        if let Some(zone) = self.zones.get_mut(usize::from(request.zone)) {
            zone.requests += 1;
            zone.totals.requested += route.priority_weight;
        }
        self.in_flight.insert(id, request);
    }

    fn request_finished(&mut self, at: Duration, id: u64, outcome: CallOutcome) {
        let Some(request) = self.in_flight.remove(&id) else { return };
        match outcome {
            CallOutcome::Answered | CallOutcome::Duplicate => self.request_answered(at, &request),
            CallOutcome::Rejected => self.routes[request.route].level.rejected += 1,
            CallOutcome::Failed => {}
        }
    }

    fn request_answered(&mut self, at: Duration, request: &InFlight) {
        let route = &mut self.routes[request.route];
        let latency = at.saturating_sub(request.due);
        let latency_us = latency.as_micros() as u64;
        route.level.answered += 1;
        record_latency(&mut route.latencies, latency_us);
        record_latency(&mut self.latencies, latency_us);
        if latency > route.latency_objective {
            return;
        }
        route.level.in_time += 1;
        self.useful_work_us += u64::from(request.work_us);
        self.seconds[request.due.as_secs() as usize].in_time += route.priority_weight;
        if let Some(zone) = self.zones.get_mut(usize::from(request.zone)) {
            zone.totals.in_time += route.priority_weight;
        }
    }

    /// Returns the service level of the recorded events. Requests still in flight count as failed.
    pub fn finish(self) -> ServiceLevel {
        let overall = WeightTotals::level_of(&self.seconds);
        let periods = self.seconds.windows(WORST_PERIOD_S).map(WeightTotals::level_of);
        let worst = periods.fold(overall, f64::min);
        let steps = self.seconds.chunks(ServiceLevel::STEP_S as usize);
        let over_time = steps.map(WeightTotals::level_of).collect();
        let requests = self.routes.iter().map(|route| route.level.requests).sum();
        let useful_share = match self.work_us {
            0 => 1.0,
            work_us => share(self.useful_work_us.min(work_us), work_us),
        };
        let zone_level = |(name, zone): (String, &ZoneRecord)| ZoneServiceLevel {
            name,
            requests: zone.requests,
            level: zone.totals.level(),
        };
        ServiceLevel {
            overall,
            worst,
            zones: self.zone_names.into_iter().zip(&self.zones).map(zone_level).collect(),
            p50_ms: quantile_ms(&self.latencies, 0.5),
            p99_ms: quantile_ms(&self.latencies, 0.99),
            p999_ms: quantile_ms(&self.latencies, 0.999),
            wasted_share: 1.0 - useful_share,
            cross_zone_share: share(self.cross_zone_attempts, self.attempts),
            attempts_per_request: share(self.attempts, requests),
            connections: self.connections,
            messages: self.messages,
            entries: self.entries,
            joins: self.joins,
            over_time,
            routes: self.routes.into_iter().map(RouteRecord::into_level).collect(),
        }
    }
}
