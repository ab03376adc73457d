//! Zone spill: how far a zone's proxies use other zones' servers, and over which links. Responsible for the links' state and
//! for each zone's lean; what these make of a weight is in [`effective_weights`](super::effective_weights).

use super::capacity::FULL_UTILIZATION;
use crate::host::{PolicyHost, ZoneId};
use crate::state::{Link, LoadSample, OutlierDetector, Policy, ZoneSpill, mean};
use std::time::Duration;

/// What a zone's proxies observed of another zone's servers.
#[derive(Clone, Copy, Default)]
struct LinkTotals {
    attempts: f64,
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

    /// Whether requests fare badly beside those that stay in their zone.
    fn is_worse_than(&self, local: &LinkTotals, objective_s: f64) -> bool {
        let max_latency_s = local.latency_s() + ZoneSpill::SLOW_OBJECTIVE_PART * objective_s;
        let min_answered_share = ZoneSpill::LOSSY_SHARE * local.answered / local.attempts;
        self.latency_s() > max_latency_s || self.answered_share() < min_answered_share
    }
}

impl ZoneSpill {
    /// How long a link counts as bad. Then it is tried again: what is sent over a bad one is too little to tell.
    const BAD_LINK_TIME: Duration = Duration::from_secs(5);
    /// A good link is judged by so many times the attempts that a server is judged by.
    const GOOD_LINK_ATTEMPTS: f64 = 5.0;
    /// A link is bad where its latency is longer by this part of the latency objective, or its answered share is below this
    /// part of the local one.
    const SLOW_OBJECTIVE_PART: f64 = 0.4;
    const LOSSY_SHARE: f64 = 0.7;
    /// A zone leans more on others above the first utilization, and less below the second.
    const LEAN_MORE_UTILIZATION: f64 = 0.92;
    const LEAN_LESS_UTILIZATION: f64 = 0.7;
    /// Change of the lean in a tick for each unit by which utilizations differ.
    const LEAN_GAIN: f64 = 0.4;
    /// [`Self::LEAN_GAIN`] over this is what the lean falls by in a tick that needs none.
    const LEAN_DECAY_DIVISOR: f64 = 20.0;
    /// The most that a zone leans on others.
    const MAX_LEAN: f64 = 1.5;

    /// Judges the link from a zone to another.
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
        // Requests fare badly at full servers too; these lose weight one by one.
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

    /// The utilization of the least utilized zone that a zone has a good link to.
    fn least_utilized_remote(&self, from: ZoneId) -> Option<f64> {
        let reachable = (0..self.zones()).filter(|to| *to != from && !self.is_bad_link(from, *to));
        reachable.filter_map(|to| self.utilization[usize::from(to)]).min_by(f64::total_cmp)
    }

    /// Leans more on other zones where these have room, and less again by and by.
    fn update_lean(&mut self, zone: ZoneId, shedding: bool) {
        let remote = self.least_utilized_remote(zone);
        let zone = usize::from(zone);
        let change = match (self.utilization[zone], remote) {
            (Some(own), Some(remote)) if own > Self::LEAN_MORE_UTILIZATION || shedding || remote > own => {
                Self::LEAN_GAIN * (own - remote)
            }
            (Some(own), Some(_)) if own > Self::LEAN_LESS_UTILIZATION => 0.0,
            _ => -Self::LEAN_GAIN / Self::LEAN_DECAY_DIVISOR,
        };
        self.lean[zone] = (self.lean[zone] + change).clamp(0.0, Self::MAX_LEAN);
    }
}

impl<H: PolicyHost> Policy<H> {
    /// Judges the links between zones that are cut, slow or lossy, and lets a full zone lean on one with room.
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
            self.zone_spill.update_lean(from, shedding);
        }
    }

    /// The mean utilization of a zone's servers; `None` where it is not known, or its weight is limited. Warming servers look
    /// idle because they are held back.
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

    /// Limits the part of a zone's weight that may be used, 0 to 1, by what is told from outside of the zone as a whole.
    pub fn limit_zone_share(&mut self, now: Duration, zone: ZoneId, share: f64) {
        self.zone_spill.weight_limits[usize::from(zone)] = share;
        self.publish(now);
    }
}
