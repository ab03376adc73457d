//! The controller: what it holds, and its timers.
//!
//! Each file below `controller/` handles one kind of event: joins, endpoint lists and health checks, load reports,
//! publishing, operators' commands on sites, and snapshots for the next leader.

mod endpoints;
mod joins;
mod publishing;
mod reports;
mod sites;
mod snapshot;

pub use joins::JoinRequest;
pub use sites::SiteCommandError;
pub use snapshot::{FleetPools, PoolSnapshot, ProxyPool};

use crate::acknowledgements::AckTracker;
use crate::aggregation::LoadAggregator;
use crate::config::{ControllerConfig, Incarnation, Limits, UnsupportedDeploymentError};
use crate::effects::Effects;
use crate::endpoint_registry::EndpointRegistry;
use crate::event::ControllerEvent;
use crate::join_limiter::JoinLimiter;
use crate::metrics_validation::MetricsValidator;
use crate::proxy_ids::ProxyIds;
use crate::sessions::Sessions;
use crate::site_watch::SiteWatch;
use crate::update_channel::UpdateChannel;
use grebespool::host::{LoadMetric, ZoneId};
use grebespool::policy::Policy;
use grebespool_assignments::{Assignments, ServerIndices};
use grebespool_wire::{CloseReason, ServerId, UpdateCause};
use std::collections::BTreeMap;
use std::time::Duration;

/// A timer that fires later than this means that the controller itself was stalled: timers are due at least four times
/// a report cycle.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

/// How long a server's index stays reserved after its removal; what is on its way for it has come by then.
const SERVER_INDEX_REUSE_AFTER: Duration = Duration::from_secs(600);

/// How often the sums of reports go to the policy within a report cycle.
const FLUSHES_PER_CYCLE: u32 = 4;

/// The window of the join limit where updates are not limited by a window of their own.
const DEFAULT_JOIN_WINDOW: Duration = Duration::from_secs(10);

/// When the endpoint list in force was sent by its own clock, and when it came.
#[derive(Default)]
struct ListTime {
    sent_ms: u64,
    received_at: Duration,
}

/// The controller. It owns the policy and all state between the policy and the wire, and is called by one thread.
pub struct Controller<E> {
    effects: E,
    incarnation: Incarnation,
    limits: Limits,
    routes: usize,
    metric_fields: Vec<LoadMetric>,
    policy: Policy<Assignments>,
    assignments: Assignments,
    endpoints: EndpointRegistry,
    servers: ServerIndices<ServerId>,
    list_time: ListTime,
    /// Servers that drain, since when this controller has known.
    draining: BTreeMap<ServerId, Duration>,
    proxies: ProxyIds,
    sessions: Sessions,
    join_limiter: JoinLimiter,
    channel: UpdateChannel,
    acks: AckTracker,
    metrics: MetricsValidator,
    aggregator: LoadAggregator,
    flush_interval: Duration,
    next_flush: Duration,
    last_timer_at: Duration,
    /// Whole sites, where these are watched.
    sites: Option<SiteWatch>,
}

impl<E: Effects> Controller<E> {
    /// Starts with nothing known: the endpoint list is polled at once, and no proxy is bound before one came.
    ///
    /// # Errors
    ///
    /// A deployment of a kind that the policy does not decide for.
    pub fn new(mut effects: E, config: ControllerConfig) -> Result<Self, UnsupportedDeploymentError> {
        config.check()?;
        let ControllerConfig { incarnation, limits, zones, routes, channel, observability, .. } = config;
        let assignments = Assignments::default();
        let flush_interval = observability.report_interval / FLUSHES_PER_CYCLE;
        let join_window = if channel.window.is_zero() { DEFAULT_JOIN_WINDOW } else { channel.window };
        let (route_count, metric_fields) = (routes.len(), observability.metrics.clone());
        let policy = Policy::new(
            assignments.clone(),
            incarnation.seed,
            routes,
            config.capabilities,
            config.timeouts,
            channel,
            observability,
        );
        effects.poll_endpoints(0);
        Ok(Controller {
            effects,
            incarnation,
            limits,
            routes: route_count,
            metric_fields,
            policy,
            assignments,
            endpoints: EndpointRegistry::new(zones, limits.servers),
            servers: ServerIndices::new(SERVER_INDEX_REUSE_AFTER),
            list_time: ListTime::default(),
            draining: BTreeMap::new(),
            proxies: ProxyIds::default(),
            sessions: Sessions::default(),
            join_limiter: JoinLimiter::new(limits.joins, join_window),
            channel: UpdateChannel::new(channel),
            acks: AckTracker::new(limits.ack_timeout),
            metrics: MetricsValidator::default(),
            aggregator: LoadAggregator::default(),
            flush_interval,
            next_flush: flush_interval,
            last_timer_at: Duration::ZERO,
            sites: None,
        })
    }

    /// When [`Controller::timer_fired`] is to be called next.
    pub fn next_timer(&self) -> Duration {
        [self.assignments.next_timer(), self.channel.next_departure(), self.acks.next_deadline()]
            .into_iter()
            .flatten()
            .fold(self.next_flush, Duration::min)
    }

    /// Time has passed: does what is due, each thing once however late.
    pub fn timer_fired(&mut self, now: Duration) {
        self.waive_stall(now);
        self.last_timer_at = now;
        self.send_due_updates(now);
        self.close_overdue_streams(now);
        if now >= self.next_flush {
            // From now on, so that a stall of the machine makes no burst of flushes after it.
            self.next_flush = now + self.flush_interval;
            self.flush_reports(now);
            self.evaluate_sites(now);
        }
        for timer in self.assignments.take_due_timers(now) {
            self.policy.timer_fired(now, timer);
            self.publish(now, UpdateCause::Interval);
        }
    }

    /// Does not count time in which the controller itself was stalled against the proxies.
    fn waive_stall(&mut self, now: Duration) {
        let late = now.saturating_sub(self.last_timer_at.max(self.next_timer()));
        if late > STALL_THRESHOLD {
            self.effects.report(ControllerEvent::Stalled(late));
            self.acks.waive(late);
        }
    }

    fn close_overdue_streams(&mut self, now: Duration) {
        for stream in self.acks.overdue(now) {
            self.effects.report(ControllerEvent::AckOverdue { stream });
            // On the wire: do not rename.
            self.disconnect(stream, CloseReason::TooSlow, "orders stay unconfirmed");
        }
    }

    /// The version of the endpoint list in force; 0 for none.
    pub fn endpoints_version(&self) -> u64 {
        self.endpoints.version()
    }

    /// The id of a zone.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.endpoints.zone(name)
    }

    /// Table entries that wait in the channel.
    pub fn queued_entries(&self) -> f64 {
        self.channel.queued_entries()
    }

    /// How many proxies are joined.
    pub fn joined_proxies(&self) -> usize {
        self.sessions.len()
    }

    /// How many servers have an index.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }
}
