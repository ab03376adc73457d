//! The load-balancing policy: every decision on weights, admission, ejection and slow start.
//!
//! Create a [`Policy`] with a [`PolicyHost`] and the deployment's settings, then call one method for each event. Each method
//! sends its commands to the host before it returns. A policy does no I/O and reads no clock: the caller passes the time of
//! each event, counted from the policy's start.
//!
//! Start reading at [`Policy::timer_fired`]. The module `weights` implements the algorithm that learns the weights.

mod admission;
mod capacity;
mod channel_delay;
mod control_channel;
mod effective_weights;
mod endpoints;
pub(crate) mod history_limit;
mod message_limit;
mod outlier_detection;
mod pool_updates;
mod proxy_binding;
mod publishing;
mod retries;
mod route_tables;
mod slow_start;
mod subsetting;
mod weights;
mod zone_admission;
mod zone_spill;

use crate::host::{
    ControlChannelLimits, Observability, PolicyHost, ProxyCapabilities, Route, Timeouts, Timer,
};
pub use crate::state::Policy;
use crate::state::{AdmissionControl, ControlChannel, EndpointPoll, SubsetSize, ZoneSpill, mean};
use history_limit::HistoryLimit;
pub use history_limit::min_report_bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// The time between two evaluations of all rules.
const TICK: Duration = Duration::from_secs(1);
/// The range from which the delay of the first tick is drawn, as a fraction of [`TICK`]. Without the random delay, policies
/// that start together would publish together.
const FIRST_TICK_FRACTION: Range<f64> = 0.5..1.0;
/// The number of ticks from one update of the learned weights to the next.
const TICKS_PER_WEIGHT_UPDATE: u32 = 2;
/// The latency objective of a deployment without routes, in seconds.
const DEFAULT_OBJECTIVE_S: f64 = 1.0;

impl<H: PolicyHost> Policy<H> {
    /// Creates a policy without servers and proxies, and sets its first timer. `seed` initializes its random number
    /// generator.
    pub fn new(
        host: H,
        seed: u64,
        routes: Vec<Route>,
        capabilities: ProxyCapabilities,
        timeouts: Timeouts,
        channel_limits: ControlChannelLimits,
        observability: Observability,
    ) -> Self {
        let mut policy = Policy {
            host,
            rng: Pcg64Mcg::seed_from_u64(seed),
            admission: AdmissionControl::new(routes.len(), AdmissionControl::START_PRESSURE),
            routes,
            capabilities,
            timeouts,
            request_report_limit: HistoryLimit::new(observability.report_interval),
            load_report_limit: HistoryLimit::new(observability.report_interval),
            report_memory: usize::MAX,
            observability,
            servers: vec![],
            endpoint_poll: EndpointPoll::Due,
            ticks: 0,
            channel: ControlChannel::new(channel_limits),
            pools: vec![],
            subset_size: SubsetSize::UNLIMITED,
            zone_spill: ZoneSpill::new(capabilities.zones.max(1)),
            proxies: BTreeMap::new(),
            unbound: VecDeque::new(),
        };
        let first_tick = TICK.mul_f64(policy.rng.random_range(FIRST_TICK_FRACTION));
        policy.host.set_timer(first_tick, Timer::Tick);
        policy
    }

    /// At a tick, evaluates all rules and publishes the changes, in this order:
    ///
    /// 1. `poll_endpoints_if_due` requests the endpoint list;
    /// 2. `update_admission` computes the share of each route that the servers have capacity for;
    /// 3. `advance_slow_start` raises the weights of servers that have started or returned;
    /// 4. `detect_outliers` finds servers that fail, are silent or are slow;
    /// 5. `update_zone_spill` finds bad links, and decides how much each zone uses the servers of other zones;
    /// 6. `update_subsets` decides which servers each pool holds;
    /// 7. `update_weights`, at each second tick, multiplies each learned weight by the pool's mean load over the server's
    ///    load;
    /// 8. `publish` sends the changes that fit into the control channel. Published weights are the learned weights times the
    ///    exceptions that `effective_weights` lists in order.
    ///
    /// At the urgent timer, only publishes.
    pub fn timer_fired(&mut self, now: Duration, timer: Timer) {
        match timer {
            Timer::Tick => {
                self.host.set_timer(now + TICK, Timer::Tick);
                self.tick(now);
            }
            Timer::UrgentPublish => self.channel.urgent_timer_set = false,
        }
        self.publish(now);
    }

    fn tick(&mut self, now: Duration) {
        self.poll_endpoints_if_due(now);
        self.update_admission(now);
        self.advance_slow_start(now);
        self.detect_outliers(now);
        self.update_zone_spill(now);
        self.update_subsets();
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_WEIGHT_UPDATE) {
            self.update_weights(now);
        }
    }

    /// Returns the mean of the routes' latency objectives, in seconds.
    fn mean_objective_s(&self) -> f64 {
        mean(self.routes.iter().map(|route| route.latency_objective.as_secs_f64()))
            .unwrap_or(DEFAULT_OBJECTIVE_S)
    }
}
