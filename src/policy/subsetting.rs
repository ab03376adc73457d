//! Subsetting: decides which servers each pool holds.
//!
//! The endpoint list has to be applied before the subsets are updated. The weights of existing entries stay as they are.

use super::weights::learned_by_kind;
use crate::host::{
    FormerBinding, PolicyHost, PoolAssignments, PoolSubset, ProxyId, ServerIndex, ServerKind, ZoneId,
};
use crate::state::{Policy, Pool, ProxyState, ServerState, SubsetSize, WeightEntry, ZoneSpill};
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};

/// The fraction of the servers' connections that pools may use if a pool cannot hold all servers.
const CONNECTIONS_USED: f64 = 0.4;
/// The fraction of a pool's entries that are local servers.
const LOCAL_FRACTION: f64 = 0.75;
/// The lower bound on the number of entries per pool.
const MIN_ENTRIES: f64 = 8.0;
/// The number of newly started servers that count towards a pool's size for each established server in the pool.
const NEW_PER_ESTABLISHED: usize = 2;

/// The zone of a server relative to the zone of its pool.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Locality {
    /// The server is in the pool's zone.
    Local,
    /// The server is in another zone.
    Remote,
}

impl SubsetSize {
    /// Returns true if a pool holds all servers.
    pub(super) fn is_unlimited(&self) -> bool {
        self.local == usize::MAX
    }

    /// Returns the size for a zone with spillover: the number of remote servers grows by `spillover` times that of local
    /// ones.
    fn with_spillover(self, spillover: f64, servers: usize) -> SubsetSize {
        let additional = (spillover * self.local.min(servers) as f64) as usize;
        SubsetSize { local: self.local, remote: self.remote.saturating_add(additional) }
    }
}

/// Assigns the servers to the pools of one zone.
struct ZoneSubsets<'a> {
    zone: ZoneId,
    servers: &'a [ServerState],
    zone_spill: &'a ZoneSpill,
    /// All ready servers, in random order.
    candidates: &'a [ServerIndex],
    /// By kind of server: the mean learned weight, as a multiple of a pool's mean weight.
    kind_weights: &'a BTreeMap<ServerKind, f64>,
    /// By server: the number of pools of the zone that hold it.
    holders: Vec<usize>,
}

impl ZoneSubsets<'_> {
    fn is_local(&self, server: ServerIndex) -> bool {
        self.servers[server].zone == self.zone
    }

    /// Removes entries that are no longer needed and whose weight of 0 has been sent, and counts the holders of the others.
    fn retire(&mut self, pools: &mut [&mut Pool]) {
        for pool in pools {
            let servers = self.servers;
            let is_needed = |entry: &WeightEntry| servers[entry.server].is_ready() && !entry.retiring;
            pool.entries.retain(|entry| entry.is_in_use() || is_needed(entry));
            for entry in pool.entries.iter().filter(|entry| !entry.retiring) {
                self.holders[entry.server] += 1;
            }
        }
    }

    /// Adds each server of the zone that no pool holds to the pool with the fewest local servers.
    fn cover_every_server(&mut self, pools: &mut [&mut Pool]) {
        for server in self.candidates.iter().copied() {
            if !self.is_local(server) || self.holders[server] > 0 {
                continue;
            }
            let local = |pool: &&mut &mut Pool| {
                pool.entries.iter().filter(|entry| self.is_local(entry.server)).count()
            };
            if let Some(pool) = pools.iter_mut().min_by_key(local) {
                self.add(pool, server);
            }
        }
    }

    /// Adds a server of the zone to each pool that has none although it has a table for the zone alone, even a warming server
    /// that other pools hold.
    fn cover_own_zone_tables(&mut self, pools: &mut [&mut Pool]) {
        for pool in pools.iter_mut().filter(|pool| pool.own_zone_table().is_some()) {
            let is_local = |entry: &WeightEntry| {
                !entry.retiring && self.is_local(entry.server) && self.servers[entry.server].is_ready()
            };
            if pool.entries.iter().any(is_local) {
                continue;
            }
            let local = self.candidates.iter().copied().filter(|server| self.is_local(*server));
            let order = |server: &ServerIndex| (!self.servers[*server].is_available(), self.holders[*server]);
            if let Some(server) = local.min_by_key(order) {
                self.add(pool, server);
            }
        }
    }

    /// Retires local servers until the pool has `size` + 1, starting with those that most pools hold. Only servers that
    /// other pools also hold are retired. Replacements of lost servers leave the pool in this way after the lost servers
    /// return.
    fn shrink(&mut self, pool: &mut Pool, size: usize) {
        for _ in size.saturating_add(1)..self.occupancy(pool, Locality::Local) {
            let is_spare = |entry: &&mut WeightEntry| {
                self.is_available(entry) && self.is_local(entry.server) && self.holders[entry.server] > 1
            };
            let spare = pool.entries.iter_mut().filter(is_spare);
            if let Some(entry) = spare.max_by_key(|entry| self.holders[entry.server]) {
                entry.retiring = true;
                self.holders[entry.server] -= 1;
            }
        }
    }

    /// Adds servers until the pool has `size` local or remote ones. Local servers come first, then servers over good links,
    /// then those that the fewest pools hold.
    fn fill(&mut self, pool: &mut Pool, locality: Locality, size: usize) {
        let missing = size.saturating_sub(self.occupancy(pool, locality));
        let held: BTreeSet<ServerIndex> = pool.entries.iter().map(|entry| entry.server).collect();
        let may_add = |server: &ServerIndex| {
            let state = &self.servers[*server];
            let right_zone = locality == Locality::Local || !self.is_local(*server);
            // A warming server gets its share in one pool, not in every pool that lacks entries.
            let has_share_left = !state.slow_start.warming || self.holders[*server] == 0;
            state.is_available() && right_zone && !held.contains(server) && has_share_left
        };
        let mut candidates: Vec<ServerIndex> = self.candidates.iter().copied().filter(may_add).collect();
        let over_bad_link =
            |server: ServerIndex| self.zone_spill.is_bad_link(self.zone, self.servers[server].zone);
        candidates
            .sort_by_key(|server| (!self.is_local(*server), over_bad_link(*server), self.holders[*server]));
        for server in candidates.into_iter().take(missing) {
            self.add(pool, server);
        }
    }

    /// Adds a server with the mean learned weight of its kind. With the pool's mean weight, a slow server would get the
    /// requests of a fast one.
    fn add(&mut self, pool: &mut Pool, server: ServerIndex) {
        let weight = self.kind_weights.get(&self.servers[server].kind).copied().unwrap_or(1.0);
        pool.add_server(server, weight);
        self.holders[server] += 1;
    }

    fn is_available(&self, entry: &WeightEntry) -> bool {
        !entry.retiring && self.servers[entry.server].is_available()
    }

    /// Returns the number of fully warm servers that a pool's entries are equivalent to. Newly started servers count only
    /// up to a multiple of the established ones, because a pool of new servers alone would overload them.
    fn occupancy(&self, pool: &Pool, locality: Locality) -> usize {
        let is_counted = |entry: &&WeightEntry| {
            self.is_available(entry) && self.is_local(entry.server) == (locality == Locality::Local)
        };
        let (new, established): (Vec<&WeightEntry>, Vec<&WeightEntry>) = (pool.entries.iter())
            .filter(is_counted)
            .partition(|entry| self.servers[entry.server].is_newly_started());
        let entry_share = |entry: &&WeightEntry| self.servers[entry.server].slow_start.entry_share();
        let established = established.iter().map(entry_share).sum::<f64>().ceil() as usize;
        established + new.len().min(NEW_PER_ESTABLISHED * established)
    }
}

impl<H: PolicyHost> Policy<H> {
    /// Brings every pool up to date with the servers: removes entries, covers every server and every table of a zone alone, then
    /// shrinks and fills the pools.
    pub(super) fn update_subsets(&mut self) {
        if self.pools.is_empty() {
            self.create_pools();
        }
        let kind_weights = learned_by_kind(&self.pools, &self.servers);
        // The order is random, because policies that assign servers in the same order would overload the same pools.
        let mut candidates: Vec<ServerIndex> =
            (0..self.servers.len()).filter(|server| self.servers[*server].is_ready()).collect();
        candidates.shuffle(&mut self.rng);
        for zone in 0..self.zone_spill.zones() {
            let mut subsets = ZoneSubsets {
                zone,
                servers: &self.servers,
                zone_spill: &self.zone_spill,
                candidates: &candidates,
                kind_weights: &kind_weights,
                holders: vec![0; self.servers.len()],
            };
            let size = self
                .subset_size
                .with_spillover(self.zone_spill.spillover[usize::from(zone)], self.servers.len());
            let mut pools: Vec<&mut Pool> = self.pools.iter_mut().filter(|pool| pool.zone == zone).collect();
            subsets.retire(&mut pools);
            subsets.cover_every_server(&mut pools);
            subsets.cover_own_zone_tables(&mut pools);
            for pool in pools {
                subsets.shrink(pool, size.local);
                subsets.fill(pool, Locality::Local, size.local);
                subsets.fill(pool, Locality::Remote, size.remote);
            }
        }
    }

    /// Creates the pools: one with all servers per zone if the servers accept enough connections, otherwise several. The
    /// table of a pool is short enough for the channel to take it for all proxies at once, since they may all join at the
    /// same time.
    fn create_pools(&mut self) {
        let servers = self.servers.iter().filter(|server| server.is_ready()).count() as f64;
        if servers == 0.0 || self.capabilities.slices > 0 {
            return;
        }
        let zones = self.zone_spill.zones();
        let entries = self.entries_per_pool(servers);
        let local = servers / f64::from(zones);
        let mut pools_per_zone = 1.0;
        if entries < servers {
            pools_per_zone = (local / (LOCAL_FRACTION * entries)).ceil().max(1.0);
            self.subset_size = SubsetSize {
                local: (local / pools_per_zone) as usize,
                remote: ((1.0 - LOCAL_FRACTION) * entries).ceil() as usize,
            };
        }
        let kinds = self.table_kinds();
        for zone in 0..zones {
            for _ in 0..pools_per_zone as usize {
                self.pools.push(Pool::new(self.pools.len(), zone, &kinds));
            }
        }
    }

    /// Returns the number of entries that a pool may have by the servers' connections and by the channel.
    fn entries_per_pool(&self, servers: f64) -> f64 {
        let proxies = self.capabilities.proxies.max(1) as f64;
        let by_connections = CONNECTIONS_USED * self.capabilities.min_server_connections * servers / proxies;
        by_connections.min(self.channel.entries_per_table(proxies, self.table_kinds().len())).max(MIN_ENTRIES)
    }

    /// Returns the servers of each pool and the pool of each bound proxy, for the policy that takes over from this one.
    pub fn pool_assignments(&self) -> PoolAssignments {
        let held = |pool: &Pool| {
            pool.entries.iter().filter(|entry| !entry.retiring).map(|entry| entry.server).collect()
        };
        let subset = |pool: &Pool| PoolSubset { zone: pool.zone, servers: held(pool) };
        let bound = self.proxies.iter().filter(|(_, proxy)| proxy.bound);
        PoolAssignments {
            pools: self.pools.iter().map(subset).collect(),
            pool_by_proxy: bound.filter_map(|(id, proxy)| Some((*id, proxy.pool?))).collect(),
        }
    }

    /// Takes over another policy's pools and each proxy's zone and pool, so that proxies do not all change most of their
    /// connections at once. Call it after the first endpoint list and before any proxy joins.
    pub fn restore_pool_assignments(
        &mut self,
        pools: &[PoolSubset],
        bindings: &BTreeMap<ProxyId, FormerBinding>,
    ) {
        if self.pools.is_empty() || pools.is_empty() {
            return;
        }
        let kinds = self.table_kinds();
        let restored = pools.iter().enumerate().map(|(index, subset)| Pool::new(index, subset.zone, &kinds));
        self.pools = restored.collect();
        for (pool, subset) in self.pools.iter_mut().zip(pools) {
            let is_ready =
                |server: &&ServerIndex| self.servers.get(**server).is_some_and(ServerState::is_ready);
            subset.servers.iter().filter(is_ready).for_each(|server| pool.add_server(*server, 1.0));
        }
        self.update_subsets();
        for (proxy, former) in bindings.iter().filter(|(_, former)| former.pool < pools.len()) {
            let FormerBinding { zone, pool } = *former;
            let state = ProxyState { zone, request_rate: 0.0, pool: Some(pool), bound: false };
            self.proxies.insert(*proxy, state);
        }
    }
}
