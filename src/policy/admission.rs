//! Admission control: the share of each route's requests that the servers have capacity for. Responsible for the shares and
//! for the pressure; what is sent of them is decided in [`publishing`](super::publishing).

use super::capacity::{CapacityEstimate, WindowTotals, kept_span_s};
use crate::host::{AdmissionMode, PolicyHost, ProxyId, Route};
use crate::state::{AdmissionControl, Policy, RequestCount, ServerState, drop_old};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The requests of a window that are to be admitted, by route and in all.
struct AdmissionTarget {
    received: Vec<f64>,
    admitted: f64,
}

impl AdmissionControl {
    /// The window of the totals is no shorter than this, and than so many report intervals.
    const MIN_WINDOW: Duration = Duration::from_secs(2);
    const WINDOW_REPORT_INTERVALS: u32 = 2;
    /// Pressure at the start, falling to nothing within so many seconds: the first reports are of few requests.
    pub(super) const START_PRESSURE: f64 = 3.0;
    const START_S: f64 = 10.0;
    /// Pressure for each attempt an answer took: failed attempts come again at the servers that accept any.
    const PRESSURE_PER_ATTEMPT: f64 = 0.7;
    /// Steps in which the pressure is kept, for each unit.
    const PRESSURE_STEPS: f64 = 10.0;
    /// The servers are overloaded from the first pressure on, until it is below the second.
    const OVERLOADED_PRESSURE: f64 = 1.0;
    const RECOVERED_PRESSURE: f64 = 0.8;
    /// Expected pressure from which on requests are rejected.
    const SHEDDING_PRESSURE: f64 = 1.1;
    /// The part of the capacity that is to be used, and how much less while answers are late.
    const TARGET_UTILIZATION: f64 = 0.9;
    const LATE_REDUCTION: f64 = 0.1;
    /// How much what is admitted may grow in a tick, as a factor.
    const GROWTH: f64 = 1.1;
    /// Steps of the admitted share, so that noise changes nothing. So much of all requests is always admitted.
    const SHARE_STEP: f64 = 0.05;
    /// A larger share is all of it.
    const NEARLY_ALL: f64 = 0.97;
    /// Requests a second at each proxy that stand for no limit.
    const UNLIMITED_RATE: f64 = 1e9;

    pub(super) fn window(report_interval: Duration) -> Duration {
        Self::MIN_WINDOW.max(report_interval * Self::WINDOW_REPORT_INTERVALS)
    }

    /// Updates the pressure and whether the servers are overloaded.
    fn observe(&mut self, now: Duration, totals: &WindowTotals, estimate: &CapacityEstimate) {
        let at_start = Self::START_PRESSURE * (1.0 - now.as_secs_f64() / Self::START_S);
        let by_attempts = Self::PRESSURE_PER_ATTEMPT * totals.attempts / totals.answered;
        let pressure = estimate.pressure.max(at_start).max(by_attempts);
        self.pressure = (pressure * Self::PRESSURE_STEPS).round() / Self::PRESSURE_STEPS;
        let threshold = if self.overloaded { Self::RECOVERED_PRESSURE } else { Self::OVERLOADED_PRESSURE };
        self.overloaded = estimate.pressure > threshold;
    }

    /// Decides how many requests to admit; `None` where the shares may stay. Acts on a high expected pressure, on late answers,
    /// and while requests are shed already. Reports that come late are no sign by themselves: they arrive in bursts.
    fn target(&self, from: Duration, estimate: &CapacityEstimate) -> Option<AdmissionTarget> {
        let pressed = estimate.expected_pressure >= Self::SHEDDING_PRESSURE;
        if !pressed && !estimate.late && !self.is_shedding() {
            return None;
        }
        let received: Vec<f64> = self.received.iter().map(|counts| requests_since(counts, from)).collect();
        let admitted_before: f64 = received
            .iter()
            .zip(&self.admitted_share)
            .map(|(requests, share)| requests * f64::from(*share))
            .sum();
        let min = Self::SHARE_STEP * received.iter().sum::<f64>();
        // A route that is shut out would never return by growth alone.
        let extra = if estimate.expected_pressure < Self::RECOVERED_PRESSURE { min } else { 0.0 };
        let max = Self::GROWTH * admitted_before + extra;
        let utilization = Self::TARGET_UTILIZATION - if estimate.late { Self::LATE_REDUCTION } else { 0.0 };
        let admitted = (utilization * estimate.capacity).min(max).max(min);
        Some(AdmissionTarget { received, admitted })
    }

    /// Hands the admitted requests out to the routes, those of the highest priority first.
    fn distribute(&mut self, target: &AdmissionTarget, routes: &[Route]) {
        let received = &target.received;
        let mut by_priority: Vec<usize> =
            (0..received.len()).filter(|route| received[*route] > 0.0).collect();
        by_priority.sort_by(|a, b| routes[*b].priority_weight.total_cmp(&routes[*a].priority_weight));
        let mut left = target.admitted;
        for route in by_priority {
            let share = (left / received[route]).min(1.0);
            left = (left - share * received[route]).max(0.0);
            let stepped = (share / Self::SHARE_STEP).round() * Self::SHARE_STEP;
            self.admitted_share[route] = if share > Self::NEARLY_ALL { 1.0 } else { stepped as f32 };
        }
    }

    /// Keeps every share within its limit.
    fn apply_limits(&mut self) {
        for (share, limit) in self.admitted_share.iter_mut().zip(&self.share_limits) {
            *share = share.min(*limit);
        }
    }

    /// A route's share as requests a second at each proxy, in coarse steps, so that noise changes nothing.
    fn rate(&self, now: Duration, route: usize) -> f32 {
        let rates = rates_by_proxy(&self.received[route], now);
        let admitted = f64::from(self.admitted_share[route]) * rates.iter().sum::<f64>();
        let limit = fair_limit(&rates, admitted).min(Self::UNLIMITED_RATE);
        (Self::GROWTH.ln() * (limit.ln() / Self::GROWTH.ln()).round()).exp() as f32
    }
}

fn requests_since(counts: &VecDeque<RequestCount>, from: Duration) -> f64 {
    counts.iter().filter(|count| count.at > from).map(|count| count.requests).sum()
}

/// Requests a second that each proxy received, over as long as samples are kept.
fn rates_by_proxy(received: &VecDeque<RequestCount>, now: Duration) -> Vec<f64> {
    let from = now.saturating_sub(ServerState::SAMPLES_KEPT);
    let span_s = kept_span_s(now);
    let mut rates: BTreeMap<ProxyId, f64> = BTreeMap::new();
    for count in received.iter().filter(|count| count.at > from) {
        *rates.entry(count.proxy).or_default() += count.requests / span_s;
    }
    rates.into_values().collect()
}

/// The largest rate that each proxy may have where `total` is shared max-min fairly among `demands`; infinite where all of
/// them fit.
fn fair_limit(demands: &[f64], total: f64) -> f64 {
    let mut demands = demands.to_vec();
    demands.sort_by(f64::total_cmp);
    let mut left = total;
    let mut remaining = demands.len() as f64;
    for demand in demands {
        if demand * remaining > left {
            return left / remaining;
        }
        left -= demand;
        remaining -= 1.0;
    }
    f64::INFINITY
}

impl<H: PolicyHost> Policy<H> {
    /// Tells how many requests of a route a proxy received in a report interval. Unknown routes are ignored.
    pub fn requests_received(&mut self, now: Duration, proxy: ProxyId, route: usize, requests: u32) {
        if let Some(counts) = self.admission.received.get_mut(route) {
            counts.push_back(RequestCount { at: now, requests: f64::from(requests), proxy });
            drop_old(counts, now, ServerState::SAMPLES_KEPT, |count| count.at);
        }
    }

    /// Sets the admitted shares anew: gather the totals, estimate the capacity, decide the target, hand it out.
    pub(super) fn update_admission(&mut self, now: Duration) {
        let from = now.saturating_sub(AdmissionControl::window(self.observability.report_interval));
        let totals = WindowTotals::gather(&self.servers, from);
        if let Some(estimate) = totals.estimate(self.mean_objective_s(), self.report_coverage(now)) {
            self.admission.observe(now, &totals, &estimate);
            if let Some(target) = self.admission.target(from, &estimate) {
                self.admission.distribute(&target, &self.routes);
            }
        }
        self.admission.apply_limits();
    }

    /// A route's admission level in the unit of the proxies.
    pub(super) fn admission_level(&self, now: Duration, route: usize) -> f32 {
        let share = self.admission.admitted_share[route];
        match self.capabilities.admission_mode {
            AdmissionMode::Off => 1.0,
            AdmissionMode::Share => share,
            AdmissionMode::Rate if share >= 1.0 => AdmissionControl::UNLIMITED_RATE as f32,
            AdmissionMode::Rate => self.admission.rate(now, route),
        }
    }

    /// Limits the share of each route, in the routes' order, to what is told from outside. A share that only the former
    /// limit held down rises with it at once.
    pub fn limit_admission(&mut self, now: Duration, limits: &[f64]) {
        let admission = &mut self.admission;
        let shares = admission.admitted_share.iter_mut().zip(&mut admission.share_limits);
        for ((share, limit), new) in shares.zip(limits) {
            let new = *new as f32;
            let was_limited = *share >= *limit;
            *share = if was_limited { new } else { share.min(new) };
            *limit = new;
        }
        self.publish(now);
    }
}
