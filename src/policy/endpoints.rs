//! The server list, as it is told, and what is handed from one planner to the next.

use super::*;

impl Peer {
    pub(crate) const KEPT: Duration = Duration::from_secs(8);
    pub(super) const STILL: Duration = Duration::from_secs(3);

    pub(super) fn open(&self) -> bool {
        self.ready() && self.ramp.step > 0
    }

    /// Cold since it was started, and not since it was shut out.
    pub(super) fn newly_started(&self) -> bool {
        self.ramp.cold && self.ramp.since < self.warm_at
    }

    /// Where `gone` in a list does not bind, a server not seen draining stays until it fails.
    pub(super) fn gone(&mut self, binds: bool) {
        self.doubted = !binds && self.open();
        self.phase = if self.doubted { self.phase } else { EndpointState::Removed };
    }

    /// Guards against a report that stands still while calls are answered: it would draw ever more calls.
    pub(super) fn take(&mut self, sample: Sample) {
        let (now, told, samples) = (sample.at, sample.told, &mut self.load.0);
        drop_old(samples, now, Self::KEPT, |x| x.at);
        samples.push_back(sample);
        let still = samples.iter().rev().filter(|x| x.told.is_some()).take_while(|x| x.told == told);
        let (count, first) = still.fold((0, now), |(n, _), x| (n + 1, x.at));
        if count >= 3 && now - first >= Self::STILL {
            samples.iter_mut().filter(|x| x.told == told).for_each(|x| (x.load, x.cpu) = (None, None));
        }
    }
}

impl<H: PolicyHost> Policy<H> {
    pub fn endpoints_updated(&mut self, now: Duration, whole: bool, entries: &[Endpoint]) {
        // What was held from before the start answers no call.
        self.ask_at = self.ask_at.filter(|_| now.is_zero());
        entries.iter().for_each(|e| self.enter(now, e));
        let named: BTreeSet<ServerIndex> = entries.iter().map(|e| e.server).collect();
        for s in (0..self.peers.len()).filter(|s| whole && !named.contains(s)) {
            self.peers[s].gone(self.graces.removal_is_final);
        }
        self.deal();
        self.push(now);
    }

    pub(super) fn enter(&mut self, now: Duration, entry: &Endpoint) {
        if entry.server >= self.peers.len() {
            self.peers.resize_with(entry.server + 1, || Peer::unlisted(Health::NEW, Ramp::STEPS));
        }
        let peer = &mut self.peers[entry.server];
        if entry.state == EndpointState::Removed {
            return peer.gone(self.graces.removal_is_final);
        }
        let warm_at = match entry.age {
            Some(age) if age < self.graces.warm_up => now + self.graces.warm_up - age,
            _ => Duration::ZERO,
        };
        let fresh = warm_at > now && warm_at > peer.warm_at + Duration::from_millis(1);
        if entry.state == EndpointState::Ready && (fresh || peer.phase == EndpointState::Removed) {
            peer.ramp = Ramp { step: 1, cold: true, since: now };
            peer.load.0.clear();
            peer.health.clear(now, Ramp::STEPS);
        }
        (peer.zone, peer.kind, peer.phase) = (entry.zone, entry.kind, entry.state);
        (peer.warm_at, peer.doubted) = (warm_at, false);
    }

    /// Asked at the next look, lest a list that turns calls away be flooded.
    pub fn endpoint_poll_failed(&mut self, now: Duration) {
        self.ask_at = Some(now);
    }

    /// What it has learnt of servers, each as a multiple of its pool's mean, over the pools that hold it.
    pub fn learned_weights(&self) -> BTreeMap<ServerIndex, f64> {
        learnt(&self.pools)
    }

    /// In place of its pool's mean, told after the first list and before any join.
    pub fn restore_weight(&mut self, s: ServerIndex, weight: f64) {
        let lines = self.pools.iter_mut().flat_map(|p| &mut p.lines).filter(|l| l.server == s);
        lines.for_each(|l| l.learnt = weight.clamp(Pool::FLOOR * Pool::CEILING, Pool::CEILING));
    }

    /// What each pool holds, and which one each proxy has, for whoever plans next.
    pub fn pool_assignments(&self) -> (Vec<DealtPool>, BTreeMap<ProxyId, usize>) {
        dealt(&self.pools, &self.proxies)
    }

    /// Lest every proxy change most of its connections at once: told after the first list, before any join.
    pub fn restore_pool_assignments(
        &mut self,
        pools: &[DealtPool],
        bound: &BTreeMap<ProxyId, (ZoneId, usize)>,
    ) {
        if self.pools.is_empty() || pools.is_empty() {
            return;
        }
        self.pools = pools.iter().enumerate().map(|(i, (zone, _))| Pool::new(i as TableId, *zone)).collect();
        for (pool, (_, held)) in self.pools.iter_mut().zip(pools) {
            held.iter()
                .filter(|s| self.peers.get(**s).is_some_and(Peer::ready))
                .for_each(|s| pool.enter(*s, 1.0));
        }
        self.deal();
        for (proxy, (zone, pool)) in bound.iter().filter(|b| b.1.1 < pools.len()) {
            let joined = Joined { zone: *zone, rate: 0.0, pool: Some(*pool), bound: false };
            self.proxies.insert(*proxy, joined);
        }
    }
}
