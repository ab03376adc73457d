//! What the next leader is to know, and what a former one knew.

use super::Controller;
use crate::effects::Effects;
use grebespool::host::{FormerBinding, PoolAssignments, PoolSubset, ProxyId, ServerIndex, ZoneId};
use grebespool_wire::{EndpointList, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A pool: the servers that some proxies of a zone share.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PoolSnapshot {
    /// The zone of its proxies, by name.
    pub zone: String,
    /// Its servers.
    pub servers: Vec<ServerId>,
}

/// A proxy's pool.
#[derive(Debug, Clone, PartialEq)]
pub struct ProxyPool {
    /// The proxy's name.
    pub proxy: String,
    /// The place of its pool among the pools.
    pub pool: usize,
}

/// Which servers each pool holds, and which pool each proxy has.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetPools {
    /// All pools.
    pub pools: Vec<PoolSnapshot>,
    /// All proxies that have a pool, by name.
    pub proxies: Vec<ProxyPool>,
}

impl<E: Effects> Controller<E> {
    /// Begins with the weights that a former leader had learned, each as a multiple of its pool's mean. To be called
    /// after the first endpoint list and before any join.
    pub fn restore_weights(&mut self, weights: &BTreeMap<ServerId, f64>) {
        for (id, weight) in weights {
            if let Some(server) = self.listed_server(id) {
                self.policy.restore_weight(server, *weight);
            }
        }
    }

    /// Begins with the pools of a former leader. To be called after the first endpoint list, before
    /// [`Controller::restore_weights`] and any join.
    pub fn restore_pools(&mut self, assignment: &FleetPools) {
        let pool = |pool: &PoolSnapshot| {
            let servers = pool.servers.iter().filter_map(|id| self.listed_server(id)).collect();
            Some(PoolSubset { zone: self.endpoints.zone(&pool.zone)?, servers })
        };
        // With a zone less, the pools' places would not be those that proxies had.
        let Some(pools) = assignment.pools.iter().map(pool).collect::<Option<Vec<_>>>() else { return };
        let mut proxies = BTreeMap::new();
        for ProxyPool { proxy, pool } in &assignment.proxies {
            let former = pools.get(*pool).map(|subset| FormerBinding { zone: subset.zone, pool: *pool });
            let proxy = self.proxies.get_or_add(proxy, self.limits.proxies);
            if let Some((proxy, former)) = proxy.zip(former) {
                proxies.insert(proxy, former);
            }
        }
        self.policy.restore_pool_assignments(&pools, &proxies);
    }

    /// What each pool holds, and which pool each proxy has.
    pub fn fleet_pools(&self) -> FleetPools {
        let PoolAssignments { pools, pool_by_proxy } = self.policy.pool_assignments();
        let pools = pools.iter().map(|pool| PoolSnapshot {
            zone: self.zone_name(pool.zone),
            servers: pool.servers.iter().map(|server| *self.servers.id(*server)).collect(),
        });
        let proxy_pool = |(name, proxy): (&str, ProxyId)| {
            Some(ProxyPool { proxy: name.to_string(), pool: *pool_by_proxy.get(&proxy)? })
        };
        FleetPools { pools: pools.collect(), proxies: self.proxies.iter().filter_map(proxy_pool).collect() }
    }

    fn zone_name(&self, zone: ZoneId) -> String {
        self.endpoints.zones().get(usize::from(zone)).cloned().unwrap_or_default()
    }

    /// The weights that were learned of listed servers, each as a multiple of its pool's mean.
    pub fn learned_weights(&self) -> Vec<(ServerId, f64)> {
        let weights = self.policy.learned_weights().into_iter();
        weights
            .map(|(server, weight)| (*self.servers.id(server), weight))
            .filter(|(id, _)| self.endpoints.contains(*id))
            .collect()
    }

    /// The whole endpoint list in force, as its own service would send it now.
    pub fn endpoint_list(&self, now: Duration) -> EndpointList {
        let elapsed_ms = now.saturating_sub(self.list_time.received_at).as_millis() as u64;
        let now_ms = if self.list_time.sent_ms == 0 { 0 } else { self.list_time.sent_ms + elapsed_ms };
        EndpointList {
            version: self.endpoints.version(),
            base_version: 0,
            now_ms,
            entries: self.endpoints.entries(),
        }
    }

    /// Servers that drain, and since when this controller has known.
    pub fn draining_servers(&self) -> impl Iterator<Item = (ServerId, Duration)> {
        self.draining.iter().map(|(server, since)| (*server, *since))
    }

    /// Joined proxies by name, and the sequence number of the last update that each has acknowledged; 0 for none.
    pub fn acknowledged_sequences(&self) -> Vec<(String, u64)> {
        let sequence = |(name, proxy): (&str, ProxyId)| {
            Some((name.to_string(), self.sessions.of_proxy(proxy)?.acknowledged_sequence))
        };
        self.proxies.iter().filter_map(sequence).collect()
    }

    /// The index of a server that the endpoint list has.
    pub(super) fn listed_server(&self, id: &ServerId) -> Option<ServerIndex> {
        self.servers.index(id).filter(|_| self.endpoints.contains(*id))
    }
}
