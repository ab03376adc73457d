//! The controller's state and its timers.
//!
//! Each file in `controller/` has the methods of one area: joins, endpoint lists and health checks, load reports,
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

/// Delay of a timer from which the controller itself counts as stalled. Timers are due at least four times a report
/// cycle.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

/// Time for which a server's index stays reserved after the server's removal. Reports in flight that name the server
/// have arrived by then.
const SERVER_INDEX_REUSE_AFTER: Duration = Duration::from_secs(600);

/// Number of times in a report cycle that the summed reports go to the policy.
const FLUSHES_PER_CYCLE: u32 = 4;

/// The window of the join limit if the channel's limits define no window for updates.
const DEFAULT_JOIN_WINDOW: Duration = Duration::from_secs(10);

/// The times of the endpoint list in force: when it was sent, in milliseconds by the list's own clock, and when it was
/// received, by the controller's clock.
#[derive(Default)]
struct ListTime {
    sent_ms: u64,
    received_at: Duration,
}

/// The owner of the policy and of all state between the policy and the wire. One thread calls all methods.
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
    /// Draining servers, and when this controller first learned of each drain.
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
    /// The watch over whole sites; `None` if the deployment does not watch sites.
    sites: Option<SiteWatch>,
}

impl<E: Effects> Controller<E> {
    /// Creates a controller without an endpoint list, and requests one at once. No proxy is bound to a table before a
    /// list has been accepted.
    ///
    /// # Errors
    ///
    /// Returns the unsupported property if the policy does not support the deployment.
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

    /// Returns the time at which the host has to call [`Controller::timer_fired`] next.
    pub fn next_timer(&self) -> Duration {
        [self.assignments.next_timer(), self.channel.next_departure(), self.acks.next_deadline()]
            .into_iter()
            .flatten()
            .fold(self.next_flush, Duration::min)
    }

    /// Does everything that is due by `now`. Each timer runs once, however late the call is.
    pub fn timer_fired(&mut self, now: Duration) {
        self.compensate_stall(now);
        self.last_timer_at = now;
        self.send_due_updates(now);
        self.close_overdue_streams(now);
        if now >= self.next_flush {
            // Counted from `now`, so that a stall of the machine is not followed by a burst of flushes.
            self.next_flush = now + self.flush_interval;
            self.flush_reports(now);
            self.evaluate_sites(now);
        }
        for timer in self.assignments.take_due_timers(now) {
            self.policy.timer_fired(now, timer);
            self.publish(now, UpdateCause::Interval);
        }
    }

    /// Postpones the proxies' acknowledgement deadlines if the controller itself was stalled.
    fn compensate_stall(&mut self, now: Duration) {
        let late = now.saturating_sub(self.last_timer_at.max(self.next_timer()));
        if late > STALL_THRESHOLD {
            self.effects.report(ControllerEvent::Stalled(late));
            self.acks.postpone_deadlines(late);
        }
    }

    fn close_overdue_streams(&mut self, now: Duration) {
        for stream in self.acks.overdue(now) {
            self.effects.report(ControllerEvent::AckOverdue { stream });
            // The proxy receives this text: do not reword.
            self.disconnect(stream, CloseReason::TooSlow, "orders stay unconfirmed");
        }
    }

    /// Returns the version of the endpoint list in force; 0 before the first list.
    pub fn endpoints_version(&self) -> u64 {
        self.endpoints.version()
    }

    /// Returns the id of the zone with this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.endpoints.zone(name)
    }

    /// Returns the number of table entries queued in the channel, including the cost of each message.
    pub fn queued_entries(&self) -> f64 {
        self.channel.queued_entries()
    }

    /// Returns the number of joined proxies.
    pub fn joined_proxies(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the number of server indices that are in use or reserved.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }
}
