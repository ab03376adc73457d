//! What the proxies' tables send to the servers, and what these have time for.

use super::Fleet;
use super::server::LoadSample;
use std::collections::BTreeMap;
use std::time::Duration;

/// Milliseconds of one [`ServiceSlot`].
const SLOT_MS: u128 = 100;
/// A capacity to divide by where a server has none.
pub(super) const SMALLEST_CAPACITY: f64 = 1e-9;
/// Stands for the planner of a proxy that has joined none.
const NO_PLANNER: usize = usize::MAX;

/// Whose attempts are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReportKey {
    pub(super) planner: usize,
    pub(super) zone: usize,
    pub(super) server: usize,
}

/// Attempts since the last report.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Attempts {
    pub(super) total: f64,
    pub(super) failed: f64,
}

pub(super) type AttemptTotals = BTreeMap<ReportKey, Attempts>;

/// Requests of a tenth of a second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceSlot {
    requests: f64,
    served: f64,
}

/// Work that a proxy sends to a server.
struct Work {
    planner: usize,
    zone: usize,
    amount: f64,
}

/// Work by server, in the order in which it was sent.
type WorkByServer = BTreeMap<usize, Vec<Work>>;

fn total(work: &[Work]) -> f64 {
    work.iter().map(|work| work.amount).sum()
}

impl Fleet {
    /// The part of the requests since `from` that found a server with time for them.
    pub fn served_share(&self, from: Duration) -> f64 {
        let (mut requests, mut served) = (0.0, 0.0);
        for slot in self.service.iter().skip(slot_of(from)) {
            requests += slot.requests;
            served += slot.served;
        }
        if requests > 0.0 { served / requests } else { 1.0 }
    }

    /// The load of the last `seconds`.
    pub(super) fn compute_load(&mut self, now: Duration, seconds: f64) {
        let capacity: Vec<f64> = self
            .servers
            .iter()
            .map(|server| server.capacity_now(now, self.warm_up, self.cold_capacity) * seconds)
            .collect();
        let mut work = WorkByServer::new();
        let requests = self.send_first_attempts(seconds, &mut work);
        self.send_retries(seconds, &capacity, &mut work);
        let served = self.serve(now, &capacity, work);
        let slot = slot_of(now);
        self.service.resize(self.service.len().max(slot + 1), ServiceSlot::default());
        let ServiceSlot { requests: earlier_requests, served: earlier_served } = self.service[slot];
        self.service[slot] =
            ServiceSlot { requests: earlier_requests + requests, served: earlier_served + served };
    }

    /// Gives how many requests came to the proxies.
    fn send_first_attempts(&mut self, seconds: f64, work: &mut WorkByServer) -> f64 {
        let mut all_requests = 0.0;
        for proxy in &mut self.proxies {
            let requests = proxy.rate * seconds;
            all_requests += requests;
            proxy.unreported_requests += requests;
            let (planner, zone) = (proxy.planner().unwrap_or(NO_PLANNER), proxy.zone);
            for (server, amount) in proxy.spread(requests * proxy.admitted, None) {
                work.entry(server).or_default().push(Work { planner, zone, amount });
            }
        }
        all_requests
    }

    /// What a full server rejects comes again at the others of the proxy's table.
    fn send_retries(&self, seconds: f64, capacity: &[f64], work: &mut WorkByServer) {
        let rejected_share = |(server, capacity): (usize, &f64)| {
            let offered: f64 = work.get(&server).map_or(0.0, |work| total(work));
            if offered > *capacity { 1.0 - capacity / offered } else { 0.0 }
        };
        let rejected: Vec<f64> = capacity.iter().enumerate().map(rejected_share).collect();
        for proxy in self.proxies.iter().filter(|proxy| proxy.retries) {
            let (planner, zone) = (proxy.planner().unwrap_or(NO_PLANNER), proxy.zone);
            for (server, first) in proxy.spread(proxy.rate * seconds * proxy.admitted, None) {
                for (other, amount) in proxy.spread(first * rejected[server], Some(server)) {
                    work.entry(other).or_default().push(Work { planner, zone, amount });
                }
            }
        }
    }

    /// Gives how many attempts found time.
    fn serve(&mut self, now: Duration, capacity: &[f64], mut work: WorkByServer) -> f64 {
        let mut served = 0.0;
        for (number, server) in self.servers.iter_mut().enumerate() {
            let work = work.remove(&number).unwrap_or_default();
            let (offered, capacity) = (total(&work), capacity[number]);
            let served_share = if offered > capacity { capacity / offered } else { 1.0 };
            served += offered * served_share;
            server.load = offered / capacity.max(SMALLEST_CAPACITY);
            server.add_sample(LoadSample { at: now, offered, capacity }, self.limits.overload_window);
            for Work { planner, zone, amount } in work {
                let attempts = self.attempts.entry(ReportKey { planner, zone, server: number }).or_default();
                attempts.total += amount;
                attempts.failed += amount * (1.0 - served_share);
            }
        }
        served
    }
}

fn slot_of(at: Duration) -> usize {
    (at.as_millis() / SLOT_MS) as usize
}
