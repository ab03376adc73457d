//! Service, as the users define it: importance answered within the SLO time over importance asked for, with a
//! caller's repeats counted under its first attempt.

use grebespool_rules::{Passed, Record};
use grebespool_settings::Deployment;
use grebespool_wire::Outcome;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct RouteService {
    pub name: String,
    pub asked: u64,
    pub answered: u64,
    pub in_time: u64,
    pub throttled: u64,
    /// Of the answered, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

#[derive(Debug, Clone)]
pub struct Service {
    pub whole: f64,
    /// The worst ten seconds.
    pub worst: f64,
    pub routes: Vec<RouteService>,
}

impl Service {
    pub fn of(record: &Record, deployment: &Deployment) -> Service {
        let mut asked: BTreeMap<u64, (Duration, u8)> = BTreeMap::new();
        let mut done: BTreeMap<u64, (Duration, Outcome)> = BTreeMap::new();
        for (at, passed) in &record.passed {
            match passed {
                Passed::Asked { id, route, .. } => drop(asked.insert(*id, (*at, *route))),
                Passed::Done { id, outcome, .. } => drop(done.insert(*id, (*at, *outcome))),
                _ => {}
            }
        }
        let mut routes: Vec<(RouteService, Histogram<u64>)> = vec![];
        for r in &deployment.routes {
            let service = RouteService {
                name: r.name.clone(),
                asked: 0,
                answered: 0,
                in_time: 0,
                throttled: 0,
                p50_ms: 0.0,
                p99_ms: 0.0,
            };
            routes.push((service, Histogram::new(3).expect("three digits")));
        }
        // Importance asked for and answered in time, by second.
        let mut seconds: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
        for (id, (due, route)) in &asked {
            let Some((service, waits)) = routes.get_mut(usize::from(*route)) else { continue };
            let stated = &deployment.routes[usize::from(*route)];
            let second = seconds.entry(due.as_secs()).or_default();
            service.asked += 1;
            second.0 += stated.importance;
            match done.get(id) {
                Some((at, Outcome::Answered)) => {
                    let took = at.saturating_sub(*due);
                    service.answered += 1;
                    let _ = waits.record(took.as_micros() as u64);
                    if took <= stated.slo.0 {
                        service.in_time += 1;
                        second.1 += stated.importance;
                    }
                }
                Some((_, Outcome::Throttled)) => service.throttled += 1,
                _ => {}
            }
        }
        let part = |(asked, good): (f64, f64)| if asked > 0.0 { good / asked } else { 1.0 };
        let sum = |seconds: &mut dyn Iterator<Item = &(f64, f64)>| {
            seconds.fold((0.0, 0.0), |(a, g), s| (a + s.0, g + s.1))
        };
        let whole = part(sum(&mut seconds.values()));
        let last = seconds.keys().next_back().copied().unwrap_or(0);
        let tens = (0..=last.saturating_sub(9))
            .map(|from| part(sum(&mut seconds.range(from..from + 10).map(|s| s.1))));
        let worst = tens.fold(whole, f64::min);
        let routes = routes.into_iter().map(|(mut service, waits)| {
            service.p50_ms = waits.value_at_quantile(0.5) as f64 / 1000.0;
            service.p99_ms = waits.value_at_quantile(0.99) as f64 / 1000.0;
            service
        });
        Service { whole, worst, routes: routes.collect() }
    }
}
