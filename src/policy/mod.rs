//! The decisions of one planner.
//!
//! Start a [`Policy`] with a [`PolicyHost`] and what the deployment states, then call one method for each thing
//! that happens; it answers by calling the host before it returns. Times are spans since its start.

mod admission;
mod control_channel;
mod endpoints;
mod outlier_detection;
mod proxy_binding;
mod publishing;
mod slow_start;
mod subsetting;
mod zone_spill;

use crate::host::*;
pub use crate::state::Policy;
use crate::state::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const LOOK: Duration = Duration::from_secs(1);
const INTERVAL_IN_LOOKS: u32 = 2;

impl<H: PolicyHost> Policy<H> {
    pub fn new(
        host: H,
        seed: u64,
        routes: Vec<Route>,
        plane: ProxyCapabilities,
        graces: Timeouts,
        pace: ControlChannelLimits,
        sight: Observability,
    ) -> Self {
        let mut planner = Policy {
            host,
            rng: Pcg64Mcg::seed_from_u64(seed),
            levels: Levels::new(routes.len(), Levels::UNHEARD),
            routes,
            plane,
            graces,
            sight,
            peers: vec![],
            ask_at: Some(Duration::ZERO),
            looks: 0,
            channel: Channel::new(pace),
            pools: vec![],
            width: (usize::MAX, usize::MAX),
            zones: Zones::new(plane.zones.max(1)),
            proxies: BTreeMap::new(),
            unbound: VecDeque::new(),
        };
        // Planners that start together would otherwise all write in the same instant.
        planner.host.set_timer(LOOK.mul_f64(planner.rng.random_range(0.5..1.0)), Timer::Tick);
        planner
    }

    pub fn timer_fired(&mut self, now: Duration, timer: Timer) {
        if timer == Timer::Tick {
            self.host.set_timer(now + LOOK, Timer::Tick);
            self.look(now);
        } else {
            self.channel.urgent_set = false;
        }
        self.push(now);
    }

    pub fn load_reported(&mut self, now: Duration, s: ServerIndex, met: &LoadReport) {
        let field = |field| {
            let told = met.metrics.get(self.sight.metrics.iter().position(|f| *f == field)?);
            told.map(|v| f64::from(*v)).filter(|v| v.is_finite() && *v >= 0.0)
        };
        let cpu = field(LoadMetric::Utilization);
        // A busy share stops at one: what waits tells how far past full a server is.
        let full = cpu.map(|c| c + 0.1 * field(LoadMetric::Pending).unwrap_or(0.0));
        let told = full
            .or(field(LoadMetric::InFlight))
            .or(field(LoadMetric::ServiceTimeMs))
            .or(field(LoadMetric::ResponsesPerSecond));
        let (tries, dropped) = (f64::from(met.attempts), f64::from(met.failures));
        let wait = met.latency.map(|w| w.as_secs_f64());
        if let Some(p) = self.peers.get_mut(s) {
            p.take(Sample { at: now, from: met.client_zone, told, load: told, cpu, tries, dropped, wait });
        }
    }

    fn look(&mut self, now: Duration) {
        if let Some(within) =
            self.sight.endpoint_poll_interval.filter(|_| self.ask_at.is_some_and(|t| now >= t))
        {
            self.ask_at = Some(now + within / 2);
            self.host.poll_endpoints();
        }
        let slo = mean(self.routes.iter().map(|r| r.latency_objective.as_secs_f64())).unwrap_or(1.0);
        self.levels.fit(now, self.sight.report_interval, &self.peers, &self.routes, slo, self.told(now));
        self.levels.wanted.iter_mut().zip(&self.levels.most).for_each(|(w, most)| *w = w.min(*most));
        self.rise(now);
        self.judge(now, slo);
        self.look_afar(now, slo);
        self.deal();
        self.looks += 1;
        if self.looks.is_multiple_of(INTERVAL_IN_LOOKS) {
            self.scale(now);
        }
    }
}
