//! What is written: weights, tries, levels, the most needed first.

use super::*;

impl<H: PolicyHost> Policy<H> {
    /// The one place where written weights are made: what was learnt times the exceptions.
    pub(super) fn compose(&self, pool: &Pool) -> Vec<f32> {
        let peer = |l: &Line| &self.peers[l.server];
        let may = |l: &Line| self.zones.parts[usize::from(peer(l).zone)];
        let own = |l: &Line| peer(l).ramp.part(self.levels.pressure).min(may(l));
        let part = |l: &Line| if peer(l).ready() { own(l) } else { 0.0 };
        let near: Vec<&Line> = pool.lines.iter().filter(|l| peer(l).zone == pool.zone).collect();
        let sum = |of: &dyn Fn(&Line) -> f64| near.iter().map(|l| of(l)).sum::<f64>();
        let (full, left) = (sum(&|l| l.learnt), sum(&|l| l.learnt * part(l)));
        let stays = self.routes.iter().any(|r| r.zone_local) && near.iter().any(|l| peer(l).ready());
        // Far servers make up at once for what a zone has lost, before its cold ones are pushed over.
        let lost = 1.0 - if full > 0.0 { left / full } else { 0.0 };
        let reach = self.zones.reach[usize::from(pool.zone)];
        let most = if near.iter().any(|l| peer(l).ramp.cold) { 1.0 } else { Zones::FAR.1 };
        let far = Zones::FAR.0 + ((most - Zones::FAR.0) * lost).max((1.0 - Zones::FAR.0) * reach);
        let place = |l: &Line| match peer(l).zone {
            _ if l.leaving => 0.0,
            zone if zone == pool.zone => 1.0,
            // A route that may not leave the zone shares its table with the others.
            _ if stays => 0.0,
            zone if self.zones.bad.contains_key(&(pool.zone, zone)) => Zones::FAR.2.max(far * lost.powi(2)),
            _ => far,
        };
        let mut weights: Vec<f32> =
            pool.lines.iter().map(|l| (l.learnt * place(l) * part(l)) as f32).collect();
        // In a pool left with little else, a cold one's step is a part of an ordinary share, not of the rest.
        let lines = if self.width.0 == usize::MAX { near.len() } else { near.len().max(self.width.0) };
        let sum = f64::from(weights.iter().sum::<f32>());
        let whole = Ramp::SHARE * sum / (lines.max(1) as f64 * pool.mean());
        for (w, l) in weights.iter_mut().zip(&pool.lines).filter(|(_, l)| peer(l).ramp.cold) {
            *w = w.min((whole * l.learnt * part(l)) as f32);
        }
        if weights.iter().any(|w| *w > 0.0) {
            return weights;
        }
        // A table is never emptied by what is believed of servers' health.
        let may = |l: &Line| peer(l).ready() && (!stays || peer(l).zone == pool.zone);
        pool.lines.iter().map(|l| f32::from(u8::from(may(l)))).collect()
    }

    /// Retries where no effect takes place twice; one at a full pool or after the SLO time is only more work.
    pub(super) fn tries(&self, r: usize) -> RetryPolicy {
        match self.routes[r].idempotency {
            _ if self.levels.crowded || fresh(&self.peers) > Ramp::MANY => RetryPolicy::Never,
            Idempotency::Idempotent if self.plane.attempt_timeout_factor < 0.9 => RetryPolicy::AfterFailure,
            _ => RetryPolicy::IfNotExecuted,
        }
    }

    /// The part of the channel that a changed line may use: the more, the more it takes from a server.
    pub(super) fn need(&self, line: &Line, wanted: f32) -> f64 {
        let kept = f64::from(wanted) / f64::from(line.written);
        let peer = &self.peers[line.server];
        match kept {
            _ if kept.is_nan() || kept > 0.9 * Pool::CLAMP.0 => Channel::ORDINARY,
            _ if !peer.ready() || (peer.ramp.cold && kept < 0.3) => Channel::BINDING,
            _ if peer.ramp.cold => Channel::CROWDED,
            _ => Channel::GUARDING,
        }
    }

    /// Sends what has changed, the most needed first, as far as the channel allows; the rest stays.
    pub(super) fn push(&mut self, now: Duration) {
        let mut proxies = vec![0.0; self.pools.len()];
        self.proxies.values().filter(|p| p.bound).filter_map(|p| p.pool).for_each(|i| proxies[i] += 1.0);
        let (head, before) = (self.channel.pace.message_overhead + 1.0, self.channel.ordered);
        let with_levels = self.push_levels(now, proxies.iter().sum(), head);
        let mut changes = vec![];
        for (i, pool) in self.pools.iter().enumerate().filter(|(i, _)| proxies[*i] > 0.0) {
            let wanted = self.compose(pool).into_iter().enumerate();
            let changed = wanted.filter(|(l, w)| *w != pool.lines[*l].written);
            let lines: Vec<_> = changed.map(|(l, w)| (l, w, self.need(&pool.lines[l], w))).collect();
            let empty = !pool.lines.iter().any(|l| l.written > 0.0 && self.peers[l.server].ready());
            let most = lines.iter().map(|l| l.2).fold(0.0, f64::max);
            if !lines.is_empty() {
                changes.push((if empty { Channel::BINDING } else { most }, i, lines));
            }
        }
        // Where not all fits, none is always the last.
        changes.shuffle(&mut self.rng);
        changes.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut mark = with_levels;
        for (need, i, mut lines) in changes {
            let may = with_levels || self.channel.may_message(now, &mut self.pools[i].sent, need);
            if !self.channel.room(now, proxies[i] * (lines.len() as f64 + head), need) {
                lines.retain(|l| l.2 >= need);
            }
            let cost = proxies[i] * (lines.len() as f64 + head);
            if may && self.channel.room(now, cost, need) {
                self.channel.add(cost);
                self.pools[i].sent.extend((!with_levels).then_some(now));
                self.write(i, lines.into_iter().map(|l| (l.0, l.1)));
                mark = true;
            } else if need >= Channel::BINDING {
                self.wake_urgent(now);
            }
        }
        if self.bind_waiting(now) || mark {
            self.host.request_ack(self.channel.mark(before));
        }
    }

    pub(super) fn write(&mut self, pool: usize, lines: impl Iterator<Item = (usize, f32)>) {
        let Pool { table, lines: held, .. } = &mut self.pools[pool];
        for (l, weight) in lines {
            if held[l].written != weight {
                held[l].written = weight;
                self.host.set_weight(*table, held[l].server, weight);
            }
        }
    }

    /// Whether levels were sent. They go to every proxy, so they may use more than an ordinary push.
    pub(super) fn push_levels(&mut self, now: Duration, bound: f64, head: f64) -> bool {
        let told: Vec<_> = (0..self.routes.len()).map(|r| (self.level(now, r), self.tries(r))).collect();
        let levels: Vec<usize> = (0..told.len()).filter(|r| told[*r] != self.levels.written[*r]).collect();
        let cost = bound * (levels.len() as f64 + head);
        let may = |p: &mut Pool| self.channel.may_message(now, &mut p.sent, Channel::CROWDED);
        let may = !levels.is_empty() && !self.pools.is_empty() && self.pools.iter_mut().all(may);
        if !may || !self.channel.room(now, cost, Channel::CROWDED) {
            return false;
        }
        for r in levels {
            self.levels.written[r] = told[r];
            self.host.set_admission(1 << r, told[r].0, told[r].1);
        }
        self.channel.add(cost);
        self.pools.iter_mut().for_each(|p| p.sent.extend((bound > 0.0).then_some(now)));
        bound > 0.0
    }
}
