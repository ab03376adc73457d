//! Zone admission: the share of the zone-local routes' requests that a zone's newly started servers can bear.
//!
//! No other zone can take these requests, so a zone that returns cold has to shed what its servers would fall over under. The
//! limit of a server is a part of the overload that the deployment allows, at the capacity that the server has at its age.

use super::capacity::answerable_per_s;
use crate::host::{ColdStart, PolicyHost, ServerIndex, ServerKind, TableId};
use crate::state::{
    AdmissionControl, AdmissionSetting, Policy, Pool, ServerState, TableScope, WeightEntry, mean,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The fraction of the allowed overload that zone-local routes may use. The rest is for other routes, whose tables contain the
/// same servers, and for chance.
const OVERLOAD_FRACTION: f64 = 0.5;

/// The admission setting of a zone-local route at a table.
pub(super) struct RouteAdmission {
    /// The table.
    pub(super) table: TableId,
    /// The position of the route.
    pub(super) route: usize,
    /// The setting.
    pub(super) setting: AdmissionSetting,
}

impl<H: PolicyHost> Policy<H> {
    /// Returns the settings of a pool's zone-local routes that differ from those last sent. A pool whose servers have never
    /// needed a limit has none.
    pub(super) fn changed_zone_admission(&self, now: Duration, pool: usize) -> Vec<RouteAdmission> {
        let Some(table) = self.pools[pool].own_zone_table() else { return vec![] };
        let share = self.zone_local_share(now, pool);
        let routes = (0..self.routes.len()).filter(|route| self.routes[*route].zone_local);
        let setting = |route| {
            let level = self.level_in_pool(now, route, share, pool);
            let setting = AdmissionSetting { level, retries: self.retry_policy(route) };
            RouteAdmission { table: table.id, route, setting }
        };
        let is_changed = |change: &RouteAdmission| match self.pools[pool].zone_admission.get(&change.route) {
            Some(last_sent) => *last_sent != change.setting,
            None => share < 1.0,
        };
        routes.map(setting).filter(is_changed).collect()
    }

    /// Returns the share of the zone-local routes' requests that the pool's newly started servers can bear, 0 to 1.
    fn zone_local_share(&self, now: Duration, pool: usize) -> f32 {
        let Some(cold_start) = self.timeouts.cold_start else { return 1.0 };
        let is_starting = |entry: &WeightEntry| {
            let server = &self.servers[entry.server];
            server.is_ready() && server.is_newly_started() && server.warm_at > now
        };
        let entries = &self.pools[pool].entries;
        if !entries.iter().any(is_starting) {
            return 1.0;
        }
        let weights = self.effective_weights(&self.pools[pool], TableScope::OwnZone);
        let sum = f64::from(weights.iter().sum::<f32>());
        let requests_per_s = self.zone_local_requests_per_s(now, pool);
        let capacities = self.warm_capacities(now);
        let bearable_share = |(entry, weight): (&WeightEntry, f32)| {
            let server = &self.servers[entry.server];
            let bearable = self.bearable_load(now, server, cold_start);
            let Some(capacity_per_s) = capacities.of(server.kind) else { return bearable };
            let sent_per_s = requests_per_s * self.holders(pool, entry.server) * f64::from(weight) / sum;
            bearable * capacity_per_s / sent_per_s.max(f64::MIN_POSITIVE)
        };
        let starting =
            entries.iter().zip(weights).filter(|(entry, weight)| *weight > 0.0 && is_starting(entry));
        let share = starting.map(bearable_share).fold(1.0, f64::min);
        ((share / AdmissionControl::SHARE_STEP).floor() * AdmissionControl::SHARE_STEP) as f32
    }

    /// Returns the number of pools of a pool's zone that hold a server.
    fn holders(&self, pool: usize, server: ServerIndex) -> f64 {
        let zone = self.pools[pool].zone;
        let holds = |pool: &&Pool| {
            pool.zone == zone && pool.entries.iter().any(|entry| entry.server == server && !entry.retiring)
        };
        self.pools.iter().filter(holds).count().max(1) as f64
    }

    /// Returns the load of zone-local routes that a newly started server can bear, as a fraction of its capacity when warm.
    /// Its capacity rises evenly from the start to the end of the warm-up, or faster.
    fn bearable_load(&self, now: Duration, server: &ServerState, cold_start: ColdStart) -> f64 {
        let remaining = server.warm_at.saturating_sub(now).as_secs_f64();
        let cold = (remaining / self.timeouts.warm_up.as_secs_f64().max(f64::MIN_POSITIVE)).min(1.0);
        let capacity = 1.0 - cold * (1.0 - cold_start.capacity);
        OVERLOAD_FRACTION * cold_start.overload_multiple * capacity
    }

    /// Returns the requests of zone-local routes that a pool's proxies receive per second. Proxies that have joined lately have
    /// few reports, so their usual rates count if they are higher.
    fn zone_local_requests_per_s(&self, now: Duration, pool: usize) -> f64 {
        let received = self.received_per_s(now, |proxy| self.is_in_pool(proxy, pool));
        let of_all: f64 = received.iter().sum();
        let routes = self.routes.iter().zip(received);
        let zone_local: f64 =
            routes.filter(|(route, _)| route.zone_local).map(|(_, requests)| requests).sum();
        let fraction = if of_all > 0.0 { zone_local / of_all } else { 1.0 };
        let usual: f64 = self.bound_to(pool).map(|proxy| proxy.request_rate).sum();
        zone_local.max(fraction * usual)
    }

    /// Returns the mean capacity of the established servers of each kind, and of all of them.
    fn warm_capacities(&self, now: Duration) -> WarmCapacities {
        let mut by_kind: BTreeMap<ServerKind, Vec<f64>> = BTreeMap::new();
        for server in self.servers.iter().filter(|server| server.is_available() && !server.slow_start.warming)
        {
            let capacity_per_s = answerable_per_s(now, server);
            if capacity_per_s > 0.0 {
                by_kind.entry(server.kind).or_default().push(capacity_per_s);
            }
        }
        let of_all = mean(by_kind.values().flatten().copied());
        let of_kind = by_kind.into_iter().filter_map(|(kind, all)| Some((kind, mean(all.into_iter())?)));
        WarmCapacities { by_kind: of_kind.collect(), of_all }
    }
}

/// The requests per second that warm servers can answer, as means.
struct WarmCapacities {
    by_kind: BTreeMap<ServerKind, f64>,
    /// The mean over all kinds; `None` if no established server has answered any request.
    of_all: Option<f64>,
}

impl WarmCapacities {
    /// Returns the capacity of a kind, or that of all servers if none of the kind is known.
    fn of(&self, kind: ServerKind) -> Option<f64> {
        self.by_kind.get(&kind).copied().or(self.of_all)
    }
}
