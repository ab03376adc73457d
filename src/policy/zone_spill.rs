//! Zone spill: decides how much a zone's proxies use other zones' servers, and over which links.
//!
//! This module computes the state of the links and the spillover of each zone;
//! [`effective_weights`](super::effective_weights) applies both to the weights.

use super::capacity::FULL_UTILIZATION;
use crate::host::{PolicyHost, ZoneId};
use crate::state::{Link, LoadSample, OutlierDetector, Policy, ZoneSpill, mean};
use std::time::Duration;

/// The reports of one zone's proxies on the servers of a zone.
#[derive(Clone, Copy, Default)]
struct LinkTotals {
    /// The number of attempts that ended.
    attempts: f64,
    /// The number of answered attempts.
    answered: f64,
    /// The sum of the answered attempts' latencies, in seconds.
    latency_sum_s: f64,
}

impl LinkTotals {
    fn add(self, sample: &LoadSample) -> LinkTotals {
        LinkTotals {
            attempts: self.attempts + sample.attempts,
            answered: self.answered + sample.answered(),
            latency_sum_s: self.latency_sum_s + sample.answered() * sample.latency_s.unwrap_or(0.0),
        }
    }

    fn latency_s(&self) -> f64 {
        self.latency_sum_s / self.answered.max(1.0)
    }

    fn answered_share(&self) -> f64 {
        self.answered / self.attempts
    }

    /// Returns true if attempts over the link are slower, or fail more often, than those that stay in their zone.
    fn is_worse_than(&self, local: &LinkTotals, objective_s: f64) -> bool {
        let max_latency_s = local.latency_s() + ZoneSpill::SLOW_OBJECTIVE_FRACTION * objective_s;
        let min_answered_share = ZoneSpill::LOSSY_SHARE * local.answered / local.attempts;
        self.latency_s() > max_latency_s || self.answered_share() < min_answered_share
    }
}

impl ZoneSpill {
    /// The time for which a link counts as bad. After that the link is tried again, because a bad link gets too few attempts
    /// to show a recovery.
    const BAD_LINK_TIME: Duration = Duration::from_secs(5);
    /// The minimum number of attempts for the evaluation of a good link, in multiples of [`OutlierDetector::MIN_ATTEMPTS`].
    const GOOD_LINK_ATTEMPTS: f64 = 5.0;
    /// The difference from the local latency above which a link is bad, as a fraction of the latency objective.
    const SLOW_OBJECTIVE_FRACTION: f64 = 0.4;
    /// The fraction of the local answered share below which a link is bad.
    const LOSSY_SHARE: f64 = 0.7;
    /// The utilization above which a zone's spillover changes by the difference between its own and the other zone's
    /// utilization.
    const SPILL_MORE_UTILIZATION: f64 = 0.92;
    /// The utilization at or below which a zone's spillover decreases.
    const SPILL_LESS_UTILIZATION: f64 = 0.7;
    /// The change of the spillover in a tick per unit of difference in utilization.
    const SPILLOVER_GAIN: f64 = 0.4;
    /// The divisor of [`Self::SPILLOVER_GAIN`]; the quotient is the decrease of the spillover in a tick of a zone that does
    /// not need spillover.
    const SPILLOVER_DECAY_DIVISOR: f64 = 20.0;
    /// The largest spillover of a zone.
    const MAX_SPILLOVER: f64 = 1.5;

    /// Evaluates the link from one zone to another.
    fn update_link(
        &mut self,
        now: Duration,
        link: Link,
        local: &LinkTotals,
        remote: &LinkTotals,
        objective_s: f64,
    ) {
        let factor = if self.bad_links.contains_key(&link) { 1.0 } else { Self::GOOD_LINK_ATTEMPTS };
        let min_attempts = factor * OutlierDetector::MIN_ATTEMPTS;
        // Requests at full servers are slow and fail as well, but the link is not the cause; full servers lose weight one by
        // one.
        let is_full = |utilization: f64| utilization >= FULL_UTILIZATION;
        let full = self.utilization[usize::from(link.to)].is_some_and(is_full);
        if local.attempts.min(remote.attempts) < min_attempts || full {
            return;
        }
        if remote.is_worse_than(local, objective_s) {
            self.bad_links.insert(link, now + Self::BAD_LINK_TIME);
        } else {
            self.bad_links.remove(&link);
        }
    }

    /// Returns the utilization of the least utilized zone to which a zone has a good link.
    fn least_utilized_remote(&self, from: ZoneId) -> Option<f64> {
        let reachable = (0..self.zones()).filter(|to| *to != from && !self.is_bad_link(from, *to));
        reachable.filter_map(|to| self.utilization[usize::from(to)]).min_by(f64::total_cmp)
    }

    /// Raises a zone's spillover while other zones have spare capacity, and lowers it gradually otherwise.
    fn update_spillover(&mut self, zone: ZoneId, shedding: bool) {
        let remote = self.least_utilized_remote(zone);
        let zone = usize::from(zone);
        let change = match (self.utilization[zone], remote) {
            (Some(own), Some(remote)) if own > Self::SPILL_MORE_UTILIZATION || shedding || remote > own => {
                Self::SPILLOVER_GAIN * (own - remote)
            }
            (Some(own), Some(_)) if own > Self::SPILL_LESS_UTILIZATION => 0.0,
            _ => -Self::SPILLOVER_GAIN / Self::SPILLOVER_DECAY_DIVISOR,
        };
        self.spillover[zone] = (self.spillover[zone] + change).clamp(0.0, Self::MAX_SPILLOVER);
    }
}

impl<H: PolicyHost> Policy<H> {
    /// Finds links between zones that are cut, slow or lossy, and lets a full zone use a zone with spare capacity.
    pub(super) fn update_zone_spill(&mut self, now: Duration) {
        let from_time = now.saturating_sub(OutlierDetector::WINDOW);
        for zone in 0..self.zone_spill.zones() {
            self.zone_spill.utilization[usize::from(zone)] = self.zone_utilization(zone, from_time);
        }
        self.zone_spill.bad_links.retain(|_, until| *until > now);
        let objective_s = self.mean_objective_s();
        let shedding = self.admission.is_shedding();
        for from in 0..self.zone_spill.zones() {
            let local = self.link_totals(Link { from, to: from }, from_time);
            for to in (0..self.zone_spill.zones()).filter(|to| *to != from) {
                let link = Link { from, to };
                let remote = self.link_totals(link, from_time);
                self.zone_spill.update_link(now, link, &local, &remote, objective_s);
            }
            self.zone_spill.update_spillover(from, shedding);
        }
    }

    /// Returns the mean utilization of a zone's servers; `None` if it is not known or the zone's weight is limited. Warming
    /// servers do not count: they look idle because their weight is reduced.
    fn zone_utilization(&self, zone: ZoneId, from: Duration) -> Option<f64> {
        if self.zone_spill.weight_limits[usize::from(zone)] < 1.0 {
            return None;
        }
        let warm = self.servers.iter().filter(|server| server.zone == zone && !server.slow_start.warming);
        mean(warm.filter_map(|server| server.load.mean(from, |sample| sample.utilization)))
    }

    fn link_totals(&self, link: Link, from: Duration) -> LinkTotals {
        let servers = self.servers.iter().filter(|server| server.zone == link.to);
        let samples = servers.flat_map(|server| server.load.since(from));
        samples.filter(|sample| sample.client_zone == link.from).fold(LinkTotals::default(), LinkTotals::add)
    }

    /// Sets an upper limit on the share of the weight of a zone's servers that may be used, 0 to 1.
    pub fn limit_zone_share(&mut self, now: Duration, zone: ZoneId, share: f64) {
        self.zone_spill.weight_limits[usize::from(zone)] = share;
        self.publish(now);
    }
}
