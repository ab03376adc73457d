//! Exports the state that the next leader needs, and restores the state of a former leader.

use super::Controller;
use crate::effects::Effects;
use grebespool::host::{FormerBinding, PoolAssignments, PoolSubset, ProxyId, ServerIndex, ZoneId};
use grebespool_wire::{EndpointList, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The servers of one pool, which some proxies of a zone share.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PoolSnapshot {
    /// The name of the zone of the pool's proxies.
    pub zone: String,
    /// The pool's servers.
    pub servers: Vec<ServerId>,
}

/// The pool that a proxy is bound to.
#[derive(Debug, Clone, PartialEq)]
pub struct ProxyPool {
    /// The proxy's name.
    pub proxy: String,
    /// The position of the pool in [`FleetPools::pools`].
    pub pool: usize,
}

/// The servers of each pool, and the pool of each proxy.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetPools {
    /// All pools.
    pub pools: Vec<PoolSnapshot>,
    /// All proxies that have a pool, ordered by name.
    pub proxies: Vec<ProxyPool>,
}

impl<E: Effects> Controller<E> {
    /// Restores the weights that a former leader had learned, each as a multiple of its pool's mean. Call this after the
    /// first endpoint list and before any join.
    pub fn restore_weights(&mut self, weights: &BTreeMap<ServerId, f64>) {
        for (id, weight) in weights {
            if let Some(server) = self.listed_server(id) {
                self.policy.restore_weight(server, *weight);
            }
        }
    }

    /// Restores the pools of a former leader. Call this after the first endpoint list, and before
    /// [`Controller::restore_weights`] and any join. Does nothing if a pool's zone is unknown.
    pub fn restore_pools(&mut self, assignment: &FleetPools) {
        let pool = |pool: &PoolSnapshot| {
            let servers = pool.servers.iter().filter_map(|id| self.listed_server(id)).collect();
            Some(PoolSubset { zone: self.endpoints.zone(&pool.zone)?, servers })
        };
        // `ProxyPool::pool` is a position: leaving out the pools of an unknown zone would shift the positions of others.
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

    /// Returns the servers of each pool, and the pool of each proxy.
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

    /// Returns the learned weights of the servers on the endpoint list, each as a multiple of its pool's mean.
    pub fn learned_weights(&self) -> Vec<(ServerId, f64)> {
        let weights = self.policy.learned_weights().into_iter();
        weights
            .map(|(server, weight)| (*self.servers.id(server), weight))
            .filter(|(id, _)| self.endpoints.contains(*id))
            .collect()
    }

    /// Returns the complete endpoint list in force, with its clock advanced to `now`.
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

    /// Returns the draining servers, and when this controller first learned of each drain.
    pub fn draining_servers(&self) -> impl Iterator<Item = (ServerId, Duration)> {
        self.draining.iter().map(|(server, since)| (*server, *since))
    }

    /// Returns the joined proxies by name, and the sequence number of the last update that each has acknowledged; 0 if it
    /// has acknowledged none.
    pub fn acknowledged_sequences(&self) -> Vec<(String, u64)> {
        let sequence = |(name, proxy): (&str, ProxyId)| {
            Some((name.to_string(), self.sessions.of_proxy(proxy)?.acknowledged_sequence))
        };
        self.proxies.iter().filter_map(sequence).collect()
    }

    /// Returns the index of a server if the server is on the endpoint list.
    pub(super) fn listed_server(&self, id: &ServerId) -> Option<ServerIndex> {
        self.servers.index(id).filter(|_| self.endpoints.contains(*id))
    }
}
