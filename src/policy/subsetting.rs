//! Subsetting: which servers each pool holds. Assumes that the list is applied; never changes a weight that stands.

use super::weights::learned_by_kind;
use crate::host::{
    FormerBinding, PolicyHost, PoolAssignments, PoolSubset, ProxyId, ServerIndex, ServerKind, TableId, ZoneId,
};
use crate::state::{Policy, Pool, ProxyState, ServerState, SubsetSize, WeightEntry, ZoneSpill};
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};

/// Where proxies outnumber the connections: the part of the servers' connections that pools use.
const CONNECTIONS_USED: f64 = 0.4;
/// The part of a pool's entries that near servers get.
const NEAR_PART: f64 = 0.75;
/// Entries of the smallest pool.
const MIN_ENTRIES: f64 = 8.0;
/// Newly started servers that count towards a pool's size, for each of the others there.
const NEW_PER_ESTABLISHED: usize = 2;

/// Which servers of a pool are meant, by their zone beside the pool's.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Locality {
    Near,
    Far,
}

impl SubsetSize {
    /// Whether a pool holds all servers.
    pub(super) fn is_unlimited(&self) -> bool {
        self.near == usize::MAX
    }

    /// The size for a zone that leans on others: so many times its near servers more of the far ones.
    fn with_lean(self, lean: f64, servers: usize) -> SubsetSize {
        let leaned_on = (lean * self.near.min(servers) as f64) as usize;
        SubsetSize { near: self.near, far: self.far.saturating_add(leaned_on) }
    }
}

/// Assigns the servers to the pools of one zone.
struct ZoneSubsets<'a> {
    zone: ZoneId,
    servers: &'a [ServerState],
    zone_spill: &'a ZoneSpill,
    /// All ready servers, in random order.
    candidates: &'a [ServerIndex],
    /// What servers of a kind have earned, in multiples of a pool's mean weight.
    kind_weights: &'a BTreeMap<ServerKind, f64>,
    /// By server: how many pools of the zone hold it.
    holders: Vec<usize>,
}

impl ZoneSubsets<'_> {
    fn is_near(&self, server: ServerIndex) -> bool {
        self.servers[server].zone == self.zone
    }

    /// Drops entries that are not needed any more once that is sent, and counts who holds the others.
    fn retire(&mut self, pools: &mut [&mut Pool]) {
        for pool in pools {
            let servers = self.servers;
            let is_needed = |entry: &WeightEntry| servers[entry.server].is_ready() && !entry.retiring;
            pool.entries.retain(|entry| entry.last_sent > 0.0 || is_needed(entry));
            for entry in pool.entries.iter().filter(|entry| !entry.retiring) {
                self.holders[entry.server] += 1;
            }
        }
    }

    /// Puts each server of the zone that no pool holds into the pool with the fewest near servers.
    fn cover_every_server(&mut self, pools: &mut [&mut Pool]) {
        for server in self.candidates.iter().copied() {
            if !self.is_near(server) || self.holders[server] > 0 {
                continue;
            }
            let near = |pool: &&mut &mut Pool| {
                pool.entries.iter().filter(|entry| self.is_near(entry.server)).count()
            };
            if let Some(pool) = pools.iter_mut().min_by_key(near) {
                self.add(pool, server);
            }
        }
    }

    /// Retires near servers beyond one more than `size` that other pools hold as well, those that most hold first: what
    /// stood in for lost servers goes when these are back.
    fn shrink(&mut self, pool: &mut Pool, size: usize) {
        for _ in size.saturating_add(1)..self.occupancy(pool, Locality::Near) {
            let is_spare = |entry: &&mut WeightEntry| {
                self.is_open(entry) && self.is_near(entry.server) && self.holders[entry.server] > 1
            };
            let spare = pool.entries.iter_mut().filter(is_spare);
            if let Some(entry) = spare.max_by_key(|entry| self.holders[entry.server]) {
                entry.retiring = true;
                self.holders[entry.server] -= 1;
            }
        }
    }

    /// Adds servers until the pool has `size` near or far ones: near servers first, then over good links, then those that
    /// the fewest pools hold.
    fn fill(&mut self, pool: &mut Pool, locality: Locality, size: usize) {
        let missing = size.saturating_sub(self.occupancy(pool, locality));
        let held: BTreeSet<ServerIndex> = pool.entries.iter().map(|entry| entry.server).collect();
        let may_add = |server: &ServerIndex| {
            let state = &self.servers[*server];
            let right_zone = locality == Locality::Near || !self.is_near(*server);
            // A warming server has its share in one pool, not anew in each that lacks entries.
            let has_share_left = !state.slow_start.warming || self.holders[*server] == 0;
            state.is_open() && right_zone && !held.contains(server) && has_share_left
        };
        let mut candidates: Vec<ServerIndex> = self.candidates.iter().copied().filter(may_add).collect();
        let over_bad_link =
            |server: ServerIndex| self.zone_spill.is_bad_link(self.zone, self.servers[server].zone);
        candidates
            .sort_by_key(|server| (!self.is_near(*server), over_bad_link(*server), self.holders[*server]));
        for server in candidates.into_iter().take(missing) {
            self.add(pool, server);
        }
    }

    /// Adds a server at what its kind has earned: at the pool's mean, a slow one would get the calls of a fast one.
    fn add(&mut self, pool: &mut Pool, server: ServerIndex) {
        let weight = self.kind_weights.get(&self.servers[server].kind).copied().unwrap_or(1.0);
        pool.add_server(server, weight);
        self.holders[server] += 1;
    }

    fn is_open(&self, entry: &WeightEntry) -> bool {
        !entry.retiring && self.servers[entry.server].is_open()
    }

    /// How many ordinary servers a pool's entries stand for: a pool full of newly started ones would overload them.
    fn occupancy(&self, pool: &Pool, locality: Locality) -> usize {
        let is_counted = |entry: &&WeightEntry| {
            self.is_open(entry) && self.is_near(entry.server) == (locality == Locality::Near)
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
    /// Brings every pool up to date with the servers: retire, cover every server, shrink, fill.
    pub(super) fn update_subsets(&mut self) {
        if self.pools.is_empty() {
            self.create_pools();
        }
        let kind_weights = learned_by_kind(&self.pools, &self.servers);
        // In random order: policies that assign alike would overload the same pools.
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
            let size =
                self.subset_size.with_lean(self.zone_spill.lean[usize::from(zone)], self.servers.len());
            let mut pools: Vec<&mut Pool> = self.pools.iter_mut().filter(|pool| pool.zone == zone).collect();
            subsets.retire(&mut pools);
            subsets.cover_every_server(&mut pools);
            for pool in pools {
                subsets.shrink(pool, size.near);
                subsets.fill(pool, Locality::Near, size.near);
                subsets.fill(pool, Locality::Far, size.far);
            }
        }
    }

    /// One pool a zone with all servers, as long as these accept the connections; past that several pools, each no longer
    /// than what the channel takes for all proxies together, since these may come at once.
    fn create_pools(&mut self) {
        let servers = self.servers.iter().filter(|server| server.is_ready()).count() as f64;
        if servers == 0.0 || self.capabilities.slices > 0 {
            return;
        }
        let zones = self.zone_spill.zones();
        let entries = self.entries_per_pool(servers);
        let near = servers / f64::from(zones);
        let mut pools_per_zone = 1.0;
        if entries < servers {
            pools_per_zone = (near / (NEAR_PART * entries)).ceil().max(1.0);
            self.subset_size = SubsetSize {
                near: (near / pools_per_zone) as usize,
                far: ((1.0 - NEAR_PART) * entries).ceil() as usize,
            };
        }
        for zone in 0..zones {
            for _ in 0..pools_per_zone as usize {
                self.pools.push(Pool::new(self.pools.len() as TableId, zone));
            }
        }
    }

    /// The entries that a pool may have by the servers' connections and by the channel.
    fn entries_per_pool(&self, servers: f64) -> f64 {
        let proxies = self.capabilities.proxies.max(1) as f64;
        let by_connections = CONNECTIONS_USED * self.capabilities.min_server_connections * servers / proxies;
        by_connections.min(self.channel.entries_per_proxy(proxies)).max(MIN_ENTRIES)
    }

    /// What each pool holds and which pool each bound proxy has, for the policy that plans next.
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

    /// Takes over another policy's pools and each proxy's zone and pool, lest every proxy change most of its connections at
    /// once. Called after the first list and before any proxy joins.
    pub fn restore_pool_assignments(
        &mut self,
        pools: &[PoolSubset],
        bindings: &BTreeMap<ProxyId, FormerBinding>,
    ) {
        if self.pools.is_empty() || pools.is_empty() {
            return;
        }
        self.pools = pools.iter().zip(0..).map(|(subset, table)| Pool::new(table, subset.zone)).collect();
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
