//! Admission control: the share of each route's requests that the servers have capacity for.
//!
//! This module computes the shares and the pressure; [`publishing`](super::publishing) decides which changes are sent.

use super::capacity::{CapacityEstimate, WindowTotals, retention_span_s};
use crate::host::{AdmissionMode, PolicyHost, ProxyId, Route};
use crate::state::{AdmissionControl, Policy, RequestCount, RequestHistory, ServerState};
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of requests to admit in a window.
struct AdmissionTarget {
    /// By route: the requests received in the window.
    received: Vec<f64>,
    /// The requests of all routes together that are to be admitted.
    admitted: f64,
}

impl AdmissionControl {
    /// The minimum length of the window over which totals are computed.
    const MIN_WINDOW: Duration = Duration::from_secs(2);
    /// The minimum length of the same window, in report intervals.
    const WINDOW_REPORT_INTERVALS: u32 = 2;
    /// The lower bound on the pressure at the start, because the first reports cover few requests.
    pub(super) const START_PRESSURE: f64 = 3.0;
    /// The time over which that lower bound falls to 0, in seconds.
    const START_DECAY_S: f64 = 10.0;
    /// The lower bound on the pressure for each attempt per answer: failed attempts are retried at the servers that still
    /// accept requests.
    const PRESSURE_PER_ATTEMPT: f64 = 0.7;
    /// The number of steps per unit to which the pressure is rounded.
    const PRESSURE_STEPS: f64 = 10.0;
    /// The pressure above which the servers become overloaded.
    const OVERLOADED_PRESSURE: f64 = 1.0;
    /// The pressure at or below which the servers are no longer overloaded.
    const RECOVERED_PRESSURE: f64 = 0.8;
    /// The expected pressure from which requests are shed.
    const SHEDDING_PRESSURE: f64 = 1.1;
    /// The fraction of the capacity that is to be used.
    const TARGET_UTILIZATION: f64 = 0.9;
    /// The reduction of that fraction while answers are late.
    const LATE_REDUCTION: f64 = 0.1;
    /// The factor by which the admitted requests may grow in a tick.
    const GROWTH_FACTOR: f64 = 1.1;
    /// The step to which admitted shares are rounded, so that noise changes nothing. It is also the smallest share of all
    /// requests together that is admitted.
    pub(super) const SHARE_STEP: f64 = 0.05;
    /// The share above which a route is admitted in full.
    const FULL_SHARE_THRESHOLD: f64 = 0.97;
    /// The rate that means no limit, in requests per second at each proxy.
    const UNLIMITED_RATE: f64 = 1e9;
    /// Returns the length of the window over which totals are computed.
    pub(super) fn window(report_interval: Duration) -> Duration {
        Self::MIN_WINDOW.max(report_interval * Self::WINDOW_REPORT_INTERVALS)
    }

    /// Updates the pressure and the overload state.
    fn observe(&mut self, now: Duration, totals: &WindowTotals, estimate: &CapacityEstimate) {
        let at_start = Self::START_PRESSURE * (1.0 - now.as_secs_f64() / Self::START_DECAY_S);
        let by_attempts = Self::PRESSURE_PER_ATTEMPT * totals.attempts / totals.answered;
        let pressure = estimate.pressure.max(at_start).max(by_attempts);
        self.pressure = (pressure * Self::PRESSURE_STEPS).round() / Self::PRESSURE_STEPS;
        let threshold = if self.overloaded { Self::RECOVERED_PRESSURE } else { Self::OVERLOADED_PRESSURE };
        self.overloaded = estimate.pressure > threshold;
    }

    /// Decides how many requests to admit; `None` if the shares may stay as they are. The shares change if the expected
    /// pressure is high, if answers are late, or while requests are shed already. Late reports are not a reason to shed,
    /// because reports arrive in bursts.
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
        // A share of 0 never grows by a factor, so a route that is shed entirely needs this addition to be admitted again.
        let extra = if estimate.expected_pressure < Self::RECOVERED_PRESSURE { min } else { 0.0 };
        let max = Self::GROWTH_FACTOR * admitted_before + extra;
        let utilization = Self::TARGET_UTILIZATION - if estimate.late { Self::LATE_REDUCTION } else { 0.0 };
        let admitted = (utilization * estimate.capacity).min(max).max(min);
        Some(AdmissionTarget { received, admitted })
    }

    /// Distributes the admitted requests among the routes, in descending order of priority.
    fn distribute(&mut self, target: &AdmissionTarget, routes: &[Route]) {
        let received = &target.received;
        let mut by_priority: Vec<usize> =
            (0..received.len()).filter(|route| received[*route] > 0.0).collect();
        by_priority.sort_by(|a, b| routes[*b].priority_weight.total_cmp(&routes[*a].priority_weight));
        let mut remaining = target.admitted;
        for route in by_priority {
            let share = (remaining / received[route]).min(1.0);
            remaining = (remaining - share * received[route]).max(0.0);
            let stepped = (share / Self::SHARE_STEP).round() * Self::SHARE_STEP;
            self.admitted_share[route] =
                if share > Self::FULL_SHARE_THRESHOLD { 1.0 } else { stepped as f32 };
        }
    }

    /// Lowers every share to its limit.
    fn apply_limits(&mut self) {
        for (share, limit) in self.admitted_share.iter_mut().zip(&self.share_limits) {
            *share = share.min(*limit);
        }
    }

    /// Converts a share of a route's requests to requests per second at each proxy with the received `rates`, in coarse steps,
    /// so that noise changes nothing.
    fn rate(rates: &[f64], share: f32) -> f32 {
        let admitted = f64::from(share) * rates.iter().sum::<f64>();
        let limit = fair_limit(rates, admitted).min(Self::UNLIMITED_RATE);
        (Self::GROWTH_FACTOR.ln() * (limit.ln() / Self::GROWTH_FACTOR.ln()).round()).exp() as f32
    }
}

fn requests_since(counts: &RequestHistory, from: Duration) -> f64 {
    counts.since(from).map(|count| count.requests).sum()
}

/// Returns the requests per second that each counted proxy received, over the retention time of the samples.
fn rates_by_proxy(
    received: &RequestHistory,
    now: Duration,
    is_counted: impl Fn(ProxyId) -> bool,
) -> Vec<f64> {
    let from = now.saturating_sub(ServerState::SAMPLE_RETENTION);
    let span_s = retention_span_s(now);
    let mut rates: BTreeMap<ProxyId, f64> = BTreeMap::new();
    for count in received.since(from).filter(|count| is_counted(count.proxy)) {
        *rates.entry(count.proxy).or_default() += count.requests / span_s;
    }
    rates.into_values().collect()
}

/// Returns the largest rate that each proxy may have if `total` is shared max-min fairly among `demands`; infinite if
/// `total` covers all of them.
fn fair_limit(demands: &[f64], total: f64) -> f64 {
    let mut demands = demands.to_vec();
    demands.sort_by(f64::total_cmp);
    let mut remaining = total;
    let mut remaining_demands = demands.len() as f64;
    for demand in demands {
        if demand * remaining_demands > remaining {
            return remaining / remaining_demands;
        }
        remaining -= demand;
        remaining_demands -= 1.0;
    }
    f64::INFINITY
}

impl<H: PolicyHost> Policy<H> {
    /// Records how many requests of a route a proxy received in a report interval. Unknown routes are ignored.
    pub fn requests_received(&mut self, now: Duration, proxy: ProxyId, route: usize, requests: u32) {
        if let Some(counts) = self.admission.received.get_mut(route) {
            let count = RequestCount { at: now, requests: f64::from(requests), proxy };
            counts.add(count, ServerState::SAMPLE_RETENTION, self.request_report_limit);
        }
    }

    /// Recomputes the admitted shares: gathers the totals, estimates the capacity, decides the target and distributes it.
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

    /// Returns a route's admission level in the unit of the proxies.
    pub(super) fn admission_level(&self, now: Duration, route: usize) -> f32 {
        let rates = || rates_by_proxy(&self.admission.received[route], now, |_| true);
        self.level(self.admission.admitted_share[route], rates)
    }

    /// Returns the level at which a pool's proxies admit a share of a route's requests. Before the first reports, the usual
    /// rates of the proxies count.
    pub(super) fn level_in_pool(&self, now: Duration, route: usize, share: f32, pool: usize) -> f32 {
        self.level(share, || {
            let received = &self.admission.received[route];
            let rates = rates_by_proxy(received, now, |proxy| self.is_in_pool(proxy, pool));
            if rates.is_empty() {
                self.bound_to(pool).map(|proxy| proxy.request_rate).collect()
            } else {
                rates
            }
        })
    }

    /// Converts an admitted share to the unit of the proxies. `rates` has the requests per second of each proxy.
    fn level(&self, share: f32, rates: impl Fn() -> Vec<f64>) -> f32 {
        match self.capabilities.admission_mode {
            AdmissionMode::Off => 1.0,
            AdmissionMode::Share => share,
            AdmissionMode::Rate if share >= 1.0 => AdmissionControl::UNLIMITED_RATE as f32,
            AdmissionMode::Rate => AdmissionControl::rate(&rates(), share),
        }
    }

    /// Sets an upper limit on the admitted share of each route, in the routes' order. A share that equals its previous limit
    /// moves to the new limit at once.
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
