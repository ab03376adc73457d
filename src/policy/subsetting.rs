//! Pools: which servers each holds, and the weights they earn.

use super::*;

impl Pool {
    pub(super) const CLAMP: (f64, f64) = (0.8, 1.25);
    pub(super) const DEAD_BAND: f64 = 0.1;
    pub(super) const CEILING: f64 = 3.0;
    /// Of the ceiling: a server that has fallen far below would take minutes to come back.
    pub(super) const FLOOR: f64 = 0.02;
    pub(super) const DRIFT: f64 = 0.2;
    /// Where proxies outnumber the connections: the part of these that pools fill, and of it the near one.
    pub(super) const FILLED: f64 = 0.4;
    pub(super) const NEAR: f64 = 0.75;

    /// The mechanism, one interval: each server's weight times the pool's mean load over its own.
    pub(super) fn scale(
        &mut self,
        now: Duration,
        loads: &[Option<f64>],
        whole: impl Fn(ServerIndex) -> bool,
    ) {
        let Some(pool) = mean(loads.iter().flatten().copied()).filter(|m| *m > 0.0) else { return };
        for (line, own) in self.lines.iter_mut().zip(loads).filter_map(|(l, own)| Some((l, (*own)?))) {
            let factor = (pool / own).clamp(Self::CLAMP.0, Self::CLAMP.1);
            // Little has been heard since the last change: only what is plain counts.
            let doubt = (6.0 / (now - line.changed).as_secs_f64()).sqrt().max(1.0);
            // And a server held back looks idle because it is held back.
            if (factor - 1.0).abs() >= Self::DEAD_BAND * doubt && (factor < 1.0 || whole(line.server)) {
                line.learnt *= factor;
                line.changed = now;
            }
        }
        let mean = self.mean();
        let scale = if (mean - 1.0).abs() > Self::DRIFT { 1.0 / mean } else { 1.0 };
        let most = Self::CEILING * mean * scale;
        self.lines.iter_mut().for_each(|l| l.learnt = (l.learnt * scale).clamp(most * Self::FLOOR, most));
    }
}

impl<H: PolicyHost> Policy<H> {
    /// One pool of all servers a zone, as long as these accept the connections; past that several, whose
    /// tables are no longer than the channel takes for all proxies together, which may come at once.
    pub(super) fn lay_out(&mut self) {
        let servers = self.peers.iter().filter(|p| p.ready()).count() as f64;
        if servers == 0.0 || self.plane.slices > 0 {
            return;
        }
        let (proxies, pace) = (self.plane.proxies.max(1) as f64, &self.channel.pace);
        let fits = Channel::USED * pace.max_queued_entries / proxies - pace.message_overhead - 2.0;
        let lines = (Pool::FILLED * self.plane.min_server_connections * servers / proxies).min(fits).max(8.0);
        let near = servers / self.zones.busy.len() as f64;
        let pools = if lines < servers { (near / (Pool::NEAR * lines)).ceil().max(1.0) } else { 1.0 };
        if lines < servers {
            self.width = ((near / pools) as usize, ((1.0 - Pool::NEAR) * lines).ceil() as usize);
        }
        for zone in 0..self.zones.busy.len() as ZoneId {
            for _ in 0..pools as usize {
                self.pools.push(Pool::new(self.pools.len() as TableId, zone));
            }
        }
    }

    /// Every server into a pool of its zone, and into every pool what it lacks: near ones first, then far.
    pub(super) fn deal(&mut self) {
        if self.pools.is_empty() {
            self.lay_out();
        }
        // At the pool's mean, one of a slow kind would be sent what is right for a fast one.
        let usual = usual(&self.pools, &self.peers);
        let (peers, zones) = (&self.peers, &self.zones);
        let weight = |s: ServerIndex| usual.get(&peers[s].kind).copied().unwrap_or(1.0);
        // Planners that deal alike would make the same pools hot.
        let mut order: Vec<ServerIndex> = (0..peers.len()).filter(|s| peers[*s].ready()).collect();
        order.shuffle(&mut self.rng);
        for zone in 0..zones.busy.len() as ZoneId {
            let near = |s: ServerIndex| peers[s].zone == zone;
            let mut group: Vec<&mut Pool> = self.pools.iter_mut().filter(|p| p.zone == zone).collect();
            let mut holders = vec![0; peers.len()];
            for pool in &mut group {
                pool.lines.retain(|l| l.written > 0.0 || (peers[l.server].ready() && !l.leaving));
                pool.lines.iter().filter(|l| !l.leaving).for_each(|l| holders[l.server] += 1);
            }
            for s in order.iter().copied().filter(|s| near(*s)) {
                let held = |p: &&mut &mut Pool| p.lines.iter().filter(|l| near(l.server)).count();
                if let Some(pool) = group.iter_mut().min_by_key(held).filter(|_| holders[s] == 0) {
                    pool.enter(s, weight(s));
                    holders[s] += 1;
                }
            }
            let reached = (zones.reach[usize::from(zone)] * self.width.0.min(peers.len()) as f64) as usize;
            for pool in group {
                let open = |l: &Line| !l.leaving && peers[l.server].open();
                // By what lines carry: a pool full of newly started servers would send these all its calls.
                let filled = |lines: &[Line], nearby: bool| {
                    let of = lines.iter().filter(|l| open(l) && near(l.server) == nearby);
                    let (new, other): (Vec<_>, Vec<_>) = of.partition(|l| peers[l.server].newly_started());
                    let carried = other.iter().map(|l| peers[l.server].ramp.line_share()).sum::<f64>().ceil();
                    carried as usize + new.len().min(Ramp::NEW_PER_OTHER * carried as usize)
                };
                // What came in for lost ones goes when these are back; every pool would go on asking it.
                let many = filled(&pool.lines, true);
                for _ in self.width.0.saturating_add(1)..many {
                    let spare = |l: &&mut Line| open(l) && near(l.server) && holders[l.server] > 1;
                    if let Some(l) = pool.lines.iter_mut().filter(spare).max_by_key(|l| holders[l.server]) {
                        (l.leaving, holders[l.server]) = (true, holders[l.server] - 1);
                    }
                }
                for (nearby, width) in [(true, self.width.0), (false, self.width.1.saturating_add(reached))] {
                    let there = filled(&pool.lines, nearby);
                    let held: BTreeSet<ServerIndex> = pool.lines.iter().map(|l| l.server).collect();
                    let may = |s: &ServerIndex| {
                        // In every pool that lacks lines, a cold one would be given its part anew.
                        let once = !peers[*s].ramp.cold || holders[*s] == 0;
                        peers[*s].open() && (nearby || !near(*s)) && !held.contains(s) && once
                    };
                    let mut may: Vec<ServerIndex> = order.iter().copied().filter(may).collect();
                    let bad = |s: ServerIndex| zones.bad.contains_key(&(zone, peers[s].zone));
                    may.sort_by_key(|s| (!near(*s), bad(*s), holders[*s]));
                    for s in may.into_iter().take(width.saturating_sub(there)) {
                        pool.enter(s, weight(s));
                        holders[s] += 1;
                    }
                }
            }
        }
    }

    pub(super) fn scale(&mut self, now: Duration) {
        let recent = now.saturating_sub(Peer::KEPT);
        let settling = self.sight.report_interval + self.channel.pace.max_transit + LOOK;
        for pool in &mut self.pools {
            let figures = |l: &Line| {
                let p = &self.peers[l.server];
                // A report from before the last change took hold would have the same change made twice.
                let from = recent.max(l.changed + settling);
                let weighed = p.open() && p.warm_at <= now;
                let figure = |of: fn(&Sample) -> Option<f64>| p.load.mean(from, of).filter(|_| weighed);
                (figure(|x| x.load), figure(|x| x.wait))
            };
            let heard: Vec<(Option<f64>, Option<f64>)> = pool.lines.iter().map(figures).collect();
            let usual = mean(heard.iter().filter_map(|h| h.0));
            let wait = median(heard.iter().filter_map(|h| h.1)).filter(|w| *w > 0.0);
            // One that answers and tells nothing to be believed counts by how long its answers take.
            let by_wait = |own: Option<f64>| Some(usual? * own? / wait?);
            let loads: Vec<Option<f64>> = heard.iter().map(|h| h.0.or_else(|| by_wait(h.1))).collect();
            pool.scale(now, &loads, |s| self.peers[s].ramp.step == Ramp::STEPS);
        }
    }
}
