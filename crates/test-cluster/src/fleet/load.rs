//! The load that the proxies' tables put on the servers, and how much of the load the servers can serve.

use super::Fleet;
use super::server::LoadSample;
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of one [`ServiceSlot`], in milliseconds.
const SLOT_MS: u128 = 100;
/// Divisor that replaces a server's capacity if the capacity is zero; in requests.
pub(super) const MIN_CAPACITY: f64 = 1e-9;
/// Planner number of the attempts of a proxy that has not joined a planner.
const NO_PLANNER: usize = usize::MAX;

/// Key by which attempts are counted: the planner and the zone of the proxies, and the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReportKey {
    pub(super) planner: usize,
    pub(super) zone: usize,
    pub(super) server: usize,
}

/// Number of attempts, and of the failed ones among them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Attempts {
    pub(super) total: f64,
    pub(super) failed: f64,
}

pub(super) type AttemptTotals = BTreeMap<ReportKey, Attempts>;

/// Requests of one slot of [`SLOT_MS`], and how many of them were served.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceSlot {
    requests: f64,
    served: f64,
}

/// Attempts that a proxy sends to a server; `amount` is their number.
struct Work {
    planner: usize,
    zone: usize,
    amount: f64,
}

/// Work by server, in the order in which the work was sent.
type WorkByServer = BTreeMap<usize, Vec<Work>>;

fn total(work: &[Work]) -> f64 {
    work.iter().map(|work| work.amount).sum()
}

impl Fleet {
    /// Returns the share of the requests since `from` that were served; 1 if there were no requests.
    pub fn served_share(&self, from: Duration) -> f64 {
        let (mut requests, mut served) = (0.0, 0.0);
        for slot in self.service.iter().skip(slot_index(from)) {
            requests += slot.requests;
            served += slot.served;
        }
        if requests > 0.0 { served / requests } else { 1.0 }
    }

    /// Computes the load of the last `seconds` and counts its attempts and requests.
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
        let slot = slot_index(now);
        self.service.resize(self.service.len().max(slot + 1), ServiceSlot::default());
        let ServiceSlot { requests: earlier_requests, served: earlier_served } = self.service[slot];
        self.service[slot] =
            ServiceSlot { requests: earlier_requests + requests, served: earlier_served + served };
    }

    /// Sends the first attempt of each admitted request, and returns the number of requests that arrived at the proxies.
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

    /// Sends the attempts that a full server rejects to the other servers of the proxy's table.
    fn send_retries(&self, seconds: f64, capacity: &[f64], work: &mut WorkByServer) {
        let rejected_share = |(server, capacity): (usize, &f64)| {
            let offered: f64 = work.get(&server).map_or(0.0, |work| total(work));
            if offered > *capacity { 1.0 - capacity / offered } else { 0.0 }
        };
        let rejected: Vec<f64> = capacity.iter().enumerate().map(rejected_share).collect();
        for proxy in self.proxies.iter().filter(|proxy| proxy.retries) {
            let (planner, zone) = (proxy.planner().unwrap_or(NO_PLANNER), proxy.zone);
            for (server, first_attempts) in proxy.spread(proxy.rate * seconds * proxy.admitted, None) {
                for (other, amount) in proxy.spread(first_attempts * rejected[server], Some(server)) {
                    work.entry(other).or_default().push(Work { planner, zone, amount });
                }
            }
        }
    }

    /// Serves each server's attempts up to its capacity, and returns the number of attempts that were served.
    fn serve(&mut self, now: Duration, capacity: &[f64], mut work: WorkByServer) -> f64 {
        let mut served = 0.0;
        for (number, server) in self.servers.iter_mut().enumerate() {
            let work = work.remove(&number).unwrap_or_default();
            let (offered, capacity) = (total(&work), capacity[number]);
            let served_share = if offered > capacity { capacity / offered } else { 1.0 };
            served += offered * served_share;
            server.load = offered / capacity.max(MIN_CAPACITY);
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

fn slot_index(at: Duration) -> usize {
    (at.as_millis() / SLOT_MS) as usize
}
