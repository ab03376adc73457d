//! Sums of many proxies, put together by zone and server until the planner is told.

use grebespool::host::{LoadReport, ProxyId, ServerIndex, ZoneId};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
struct Sum {
    tries: u32,
    dropped: u32,
    waited: f64,
    answered: f64,
    report: Vec<f32>,
}

/// As many sums as there are zones and listed servers, and proxies and routes, at the most.
#[derive(Default)]
pub struct Gather {
    met: BTreeMap<(ZoneId, ServerIndex), Sum>,
    came: BTreeMap<(ProxyId, usize), u32>,
}

impl Gather {
    pub fn met(
        &mut self,
        at: (ZoneId, ServerIndex),
        tries: u32,
        dropped: u32,
        wait_us: u32,
        report: Vec<f32>,
    ) {
        let sum = self.met.entry(at).or_default();
        sum.tries = sum.tries.saturating_add(tries);
        sum.dropped = sum.dropped.saturating_add(dropped);
        let answered = f64::from(tries - dropped);
        if wait_us > 0 {
            sum.waited += answered * f64::from(wait_us) / 1e6;
            sum.answered += answered;
        }
        if !report.is_empty() {
            sum.report = report;
        }
    }

    pub fn came(&mut self, at: (ProxyId, usize), calls: u32) {
        let sum = self.came.entry(at).or_default();
        *sum = sum.saturating_add(calls);
    }

    pub fn tell(
        &mut self,
        mut met: impl FnMut(ServerIndex, &LoadReport),
        mut came: impl FnMut(ProxyId, usize, u32),
    ) {
        for ((from, server), sum) in std::mem::take(&mut self.met) {
            let wait = (sum.answered > 0.0).then(|| Duration::from_secs_f64(sum.waited / sum.answered));
            let (tries, dropped) = (sum.tries, sum.dropped);
            met(
                server,
                &LoadReport {
                    client_zone: from,
                    attempts: tries,
                    failures: dropped,
                    latency: wait,
                    metrics: &sum.report,
                },
            );
        }
        for ((proxy, route), calls) in std::mem::take(&mut self.came) {
            came(proxy, route, calls);
        }
    }
}
