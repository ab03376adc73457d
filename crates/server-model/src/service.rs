//! Service, as the users define it: importance answered within the SLO time over importance asked for, with a
//! caller's repeats counted under its first attempt. Beside it, what the day cost.

use grebespool_invariants::{Passed, Record};
use grebespool_settings::Deployment;
use grebespool_wire::{CallOutcome, ServerId};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteService {
    pub name: String,
    pub asked: u64,
    pub answered: u64,
    /// Answered within the SLO time.
    pub in_time: u64,
    pub throttled: u64,
    /// Of the answered, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

impl RouteService {
    pub fn late(&self) -> u64 {
        self.answered - self.in_time
    }

    /// Neither answered nor turned away.
    pub fn failed(&self) -> u64 {
        self.asked - self.answered - self.throttled
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneService {
    pub name: String,
    pub asked: u64,
    pub service: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub whole: f64,
    /// The worst ten seconds.
    pub worst: f64,
    pub routes: Vec<RouteService>,
    pub zones: Vec<ZoneService>,
    /// Of all that were answered, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// Of the work that servers finished, the share that answered nobody in time.
    pub wasted: f64,
    /// Share of the calls sent that went to another zone.
    pub crossings: f64,
    /// Calls sent to servers for each that was asked.
    pub tries: f64,
    /// Connections made to servers.
    pub connections: u64,
    /// Messages and lines that were ordered, and joins.
    pub messages: u64,
    pub lines: u64,
    pub joins: u64,
    /// Service by [`Service::STEP`], by when calls were due.
    pub course: Vec<f64>,
}

impl Service {
    /// Seconds that a point of the course stands for.
    pub const STEP: u64 = 2;

    pub fn of(record: &Record, deployment: &Deployment) -> Service {
        let mut tally = Tally::new(deployment);
        record.passed.iter().for_each(|(at, passed)| tally.see(*at, passed));
        tally.service()
    }

    pub fn throttled(&self) -> u64 {
        self.routes.iter().map(|r| r.throttled).sum()
    }

    pub fn late(&self) -> u64 {
        self.routes.iter().map(RouteService::late).sum()
    }

    pub fn failed(&self) -> u64 {
        self.routes.iter().map(RouteService::failed).sum()
    }

    pub fn asked(&self) -> u64 {
        self.routes.iter().map(|r| r.asked).sum()
    }
}

/// Importance asked for, and what of it was answered in time.
#[derive(Debug, Clone, Copy, Default)]
struct Part {
    asked: f64,
    good: f64,
}

impl Part {
    fn share(self) -> f64 {
        if self.asked > 0.0 { self.good / self.asked } else { 1.0 }
    }

    fn with(self, other: &Part) -> Part {
        Part { asked: self.asked + other.asked, good: self.good + other.good }
    }
}

struct Stated {
    importance: f64,
    slo: Duration,
}

struct Open {
    due: Duration,
    route: usize,
    zone: u16,
    work_us: u32,
}

/// Works service out as things pass, holding only the calls that are under way.
pub struct Tally {
    stated: Vec<Stated>,
    zone_names: Vec<String>,
    open: BTreeMap<u64, Open>,
    routes: Vec<(RouteService, Histogram<u64>)>,
    all: Histogram<u64>,
    zones: Vec<(u64, Part)>,
    seconds: Vec<Part>,
    homes: BTreeMap<ServerId, u16>,
    work_us: u64,
    useful_us: u64,
    sent: u64,
    crossed: u64,
    connections: u64,
    messages: u64,
    lines: u64,
    joins: u64,
}

fn waits() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

impl Tally {
    pub fn new(deployment: &Deployment) -> Tally {
        let route = |r: &grebespool_settings::Route| {
            let service = RouteService {
                name: r.name.clone(),
                asked: 0,
                answered: 0,
                in_time: 0,
                throttled: 0,
                p50_ms: 0.0,
                p99_ms: 0.0,
            };
            (service, waits())
        };
        let stated = |r: &grebespool_settings::Route| Stated { importance: r.importance, slo: r.slo.0 };
        Tally {
            stated: deployment.routes.iter().map(stated).collect(),
            zone_names: deployment.zones.clone(),
            open: BTreeMap::new(),
            routes: deployment.routes.iter().map(route).collect(),
            all: waits(),
            zones: vec![(0, Part::default()); deployment.zones.len()],
            seconds: vec![],
            homes: BTreeMap::new(),
            work_us: 0,
            useful_us: 0,
            sent: 0,
            crossed: 0,
            connections: 0,
            messages: 0,
            lines: 0,
            joins: 0,
        }
    }

    pub fn see(&mut self, at: Duration, passed: &Passed) {
        match passed {
            Passed::Asked { id, route, zone, work_us, .. } => {
                let (route, second) = (usize::from(*route), at.as_secs() as usize);
                let Some(stated) = self.stated.get(route) else { return };
                self.routes[route].0.asked += 1;
                if self.seconds.len() <= second {
                    self.seconds.resize(second + 1, Part::default());
                }
                self.seconds[second].asked += stated.importance;
                if let Some(here) = self.zones.get_mut(usize::from(*zone)) {
                    here.0 += 1;
                    here.1.asked += stated.importance;
                }
                self.open.insert(*id, Open { due: at, route, zone: *zone, work_us: *work_us });
            }
            Passed::Done { id, outcome, .. } => {
                let Some(open) = self.open.remove(id) else { return };
                let (service, waits) = &mut self.routes[open.route];
                match outcome {
                    CallOutcome::Answered | CallOutcome::Duplicate => {
                        let (stated, took) = (&self.stated[open.route], at.saturating_sub(open.due));
                        service.answered += 1;
                        let _ = waits.record(took.as_micros() as u64);
                        let _ = self.all.record(took.as_micros() as u64);
                        if took <= stated.slo {
                            service.in_time += 1;
                            self.useful_us += u64::from(open.work_us);
                            self.seconds[open.due.as_secs() as usize].good += stated.importance;
                            if let Some(here) = self.zones.get_mut(usize::from(open.zone)) {
                                here.1.good += stated.importance;
                            }
                        }
                    }
                    CallOutcome::Rejected => service.throttled += 1,
                    CallOutcome::Failed => {}
                }
            }
            Passed::ListTold(list) => {
                for e in &list.entries {
                    if let Some(zone) = self.zone_names.iter().position(|z| *z == e.zone) {
                        self.homes.insert(e.server, zone as u16);
                    }
                }
            }
            Passed::Sent { server, call, .. } => {
                self.sent += 1;
                let home = self.homes.get(server);
                let from = self.open.get(&call.id).map(|o| o.zone);
                self.crossed += u64::from(home.zip(from).is_some_and(|(to, from)| *to != from));
            }
            Passed::Answered { call, outcome: CallOutcome::Answered, .. } => {
                self.work_us += u64::from(call.work_us);
            }
            Passed::Connected { .. } => self.connections += 1,
            Passed::Ordered { orders, .. } => {
                self.messages += 1;
                self.lines += orders.changes.len() as u64;
            }
            Passed::Joined { .. } => self.joins += 1,
            _ => {}
        }
    }

    pub fn service(self) -> Service {
        let ms = |h: &Histogram<u64>, at: f64| h.value_at_quantile(at) as f64 / 1000.0;
        let whole = self.seconds.iter().fold(Part::default(), Part::with).share();
        let tens = self.seconds.windows(10).map(|ten| ten.iter().fold(Part::default(), Part::with).share());
        let worst = tens.fold(whole, f64::min);
        let steps = self.seconds.chunks(Service::STEP as usize);
        let part = |n: u64, of: u64| if of > 0 { n as f64 / of as f64 } else { 0.0 };
        let asked = self.routes.iter().map(|r| r.0.asked).sum();
        Service {
            whole,
            worst,
            zones: (self.zone_names.into_iter().zip(&self.zones))
                .map(|(name, (asked, part))| ZoneService { name, asked: *asked, service: part.share() })
                .collect(),
            p50_ms: ms(&self.all, 0.5),
            p99_ms: ms(&self.all, 0.99),
            p999_ms: ms(&self.all, 0.999),
            wasted: 1.0
                - if self.work_us > 0 { part(self.useful_us.min(self.work_us), self.work_us) } else { 1.0 },
            crossings: part(self.crossed, self.sent),
            tries: part(self.sent, asked),
            connections: self.connections,
            messages: self.messages,
            lines: self.lines,
            joins: self.joins,
            course: steps.map(|s| s.iter().fold(Part::default(), Part::with).share()).collect(),
            routes: (self.routes.into_iter())
                .map(|(service, waits)| RouteService {
                    p50_ms: ms(&waits, 0.5),
                    p99_ms: ms(&waits, 0.99),
                    ..service
                })
                .collect(),
        }
    }
}
