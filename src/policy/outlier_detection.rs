//! Servers that drop, hang or crawl.

use super::*;

impl Health {
    pub(super) const EVIDENCE: Duration = Duration::from_secs(4);
    pub(super) const LEAST_TRIES: f64 = 4.0;
    pub(super) const MOST_OUT: f64 = 0.5;
    pub(super) const HOLD: Duration = Duration::from_secs(3);
    pub(super) const LONGEST_HOLD: Duration = Duration::from_secs(20);
    pub(super) const MANY: f64 = 0.4;
    pub(super) const NEW: Health =
        Health { allowed: Ramp::STEPS, fresh_from: Duration::ZERO, answers: 0, misses: 0, hold: Self::HOLD };

    pub(super) fn clear(&mut self, from: Duration, allowed: u32) {
        *self = Health { allowed, fresh_from: from, hold: self.hold, ..Self::NEW };
    }

    /// Steps by the part of tries that was answered, and by how long that took, beside the pool's own. Slow
    /// alone never shuts a server out; where most calls fail everywhere, the fault lies elsewhere.
    pub(super) fn steps(own: (f64, Option<f64>), pool: (f64, Option<f64>), slo: f64) -> u32 {
        let good = if pool.0 < Self::MANY { 1.0 } else { own.0 / pool.0 };
        let by_answers = [0.1, 0.4, 0.7, 0.7].iter().filter(|least| good > **least).count() as u32;
        let wait = own.1.zip(pool.1).filter(|(o, _)| *o > 0.4 * slo).map_or(0.0, |(o, p)| o / p);
        by_answers.min(Ramp::STEPS - 2 * u32::from(wait > 3.0) - u32::from(wait > 6.0))
    }
}

impl<H: PolicyHost> Policy<H> {
    /// Whatever the list says. Where half of the pool is out already, the fault is taken to lie elsewhere.
    pub(super) fn judge(&mut self, now: Duration, slo: f64) {
        let evidence = |p: &Peer| {
            let from = now.saturating_sub(Health::EVIDENCE).max(p.health.fresh_from);
            let (tries, answered) = (p.load.sum(from, |x| x.tries), p.load.sum(from, Sample::answered));
            (tries >= Health::LEAST_TRIES).then(|| (answered / tries, p.load.mean(from, |x| x.wait)))
        };
        let ready: Vec<ServerIndex> = (0..self.peers.len()).filter(|s| self.peers[*s].ready()).collect();
        let seen: Vec<Option<(f64, Option<f64>)>> = ready.iter().map(|s| evidence(&self.peers[*s])).collect();
        let good = median(seen.iter().flatten().map(|e| e.0)).unwrap_or(1.0);
        let wait = median(seen.iter().flatten().filter_map(|e| e.1));
        let last = |p: &Peer| p.load.0.back().map_or(Duration::ZERO, |x| x.at).max(p.health.fresh_from);
        let newest = ready.iter().map(|s| last(&self.peers[*s])).max().unwrap_or(Duration::ZERO);
        let silence = |p: &Peer| newest.saturating_sub(last(p));
        // Where most are seldom heard, by few calls or by reports cut off, that is no sign.
        let usual = median(ready.iter().map(|s| silence(&self.peers[*s]).as_secs_f64())).unwrap_or(0.0);
        let quiet = self.sight.report_interval * 2 + Duration::from_secs_f64(1.0 + 4.0 * usual);
        let out = ready.iter().filter(|s| self.peers[**s].ramp.step == 0).count();
        let mut may_out = ((ready.len() as f64 * Health::MOST_OUT) as usize).saturating_sub(out);
        let mut unsure = vec![];
        for (s, seen) in ready.iter().copied().zip(seen) {
            let silent = silence(&self.peers[s]) > quiet;
            let p = &mut self.peers[s];
            if p.ramp.step == 0 {
                if self.sight.health_checks && p.health.answers < 2 {
                    unsure.push(s);
                } else if now.saturating_sub(p.health.fresh_from) >= p.health.hold {
                    // It may have been restarted before the list tells, so it counts as cold.
                    p.ramp = Ramp { step: 1, cold: true, since: now };
                    p.health.clear(now + self.channel.pace.max_transit, Ramp::STEPS);
                    p.health.hold = (p.health.hold * 2).min(Health::LONGEST_HOLD);
                }
                continue;
            }
            let mut steps = seen.map_or(p.health.allowed, |own| Health::steps(own, (good, wait), slo));
            if silent && p.health.misses < 2 {
                unsure.push(s);
            } else if silent {
                steps = 0;
            }
            // A cold one that answers slowly or in part may be slow as well, and is able to a part of a part.
            if p.ramp.cold && steps < Ramp::STEPS {
                steps = steps.min(1);
            }
            p.health.allowed = if may_out == 0 { steps.max(1) } else { steps };
            p.ramp.step = p.ramp.step.min(p.health.allowed);
            if p.ramp.step == 0 {
                may_out -= 1;
                p.health.clear(now, 0);
                p.phase = if p.doubted { EndpointState::Removed } else { p.phase };
            }
        }
        // Probes cost work, and many at once are turned away.
        unsure.shuffle(&mut self.rng);
        let few = if self.sight.health_checks { ready.len() / 20 + 3 } else { 0 };
        unsure.into_iter().take(few).for_each(|s| self.host.start_health_check(s));
    }

    /// What was held against servers while no proxy of their zone was heard may have been a cut.
    pub(super) fn forget(&mut self, now: Duration, zone: ZoneId) {
        for p in self.peers.iter_mut().filter(|p| p.zone == zone) {
            p.health.clear(now + self.channel.pace.max_transit, Ramp::STEPS);
            p.ramp.step = Ramp::allowed(now, p.warm_at, self.graces.warm_up);
        }
    }

    pub fn health_check_finished(&mut self, s: ServerIndex, result: HealthCheckResult) {
        if let Some(h) = self.peers.get_mut(s).map(|p| &mut p.health) {
            match result {
                HealthCheckResult::Healthy => (h.answers, h.misses) = (h.answers + 1, 0),
                HealthCheckResult::Failed => (h.answers, h.misses) = (0, h.misses + 1),
                HealthCheckResult::Rejected => {}
            }
        }
    }
}
