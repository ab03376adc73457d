//! The state of a [`Policy`]: plain data, and statistics over load samples. This module makes no decisions.
//!
//! A policy owns all of its state and is called from one task, so the state needs no locks. Times are counted from the
//! policy's start.

mod load;
mod pools;
mod requests;

pub(crate) use load::{LoadHistory, LoadSample, evict_expired, mean, median};
pub(crate) use pools::{Pool, SubsetSize, TableKind, TableScope, WeightEntry};
pub(crate) use requests::{RequestCount, RequestHistory};

use crate::host::{
    ControlChannelLimits, EndpointState, Observability, ProxyCapabilities, ProxyId, RetryPolicy, Route,
    ServerKind, Timeouts, UrgentDelays, ZoneId,
};
use crate::policy::history_limit::HistoryLimit;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// One server: its entry on the endpoint list, and the state of each rule for it.
pub(crate) struct ServerState {
    /// The server's zone.
    pub(crate) zone: ZoneId,
    /// The server's kind: servers of one kind have the same capacity.
    pub(crate) kind: ServerKind,
    /// The server's state on the endpoint list.
    pub(crate) endpoint_state: EndpointState,
    /// The time at which the warm-up ends by the server's age; zero if the server was warm when it was listed.
    pub(crate) warm_at: Duration,
    /// True if the list has removed the server and removals are not final: the server stays in use until it fails.
    pub(crate) removal_unconfirmed: bool,
    /// Recent load reports on the server.
    pub(crate) load: LoadHistory,
    /// The evidence of failures, silence and slowness.
    pub(crate) outlier: OutlierDetector,
    /// The progress of the slow start since the server started or returned from an ejection.
    pub(crate) slow_start: SlowStart,
}

impl ServerState {
    /// Returns the state of a server that has not been listed and is not in use.
    pub(crate) fn unlisted(outlier: OutlierDetector, step: u32) -> ServerState {
        ServerState {
            zone: 0,
            kind: 0,
            endpoint_state: EndpointState::Draining,
            warm_at: Duration::ZERO,
            removal_unconfirmed: false,
            load: LoadHistory::default(),
            outlier,
            slow_start: SlowStart { step, warming: false, evidence_from: Duration::ZERO },
        }
    }

    /// Returns true if the server is ready according to the endpoint list.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint_state == EndpointState::Ready
    }
}

/// A direction between two zones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Link {
    /// The zone of the proxies.
    pub(crate) from: ZoneId,
    /// The zone of the servers.
    pub(crate) to: ZoneId,
}

/// The extent to which the zones use each other's servers.
pub(crate) struct ZoneSpill {
    /// Links over which requests are slow or fail, and the time at which each of them ceases to count as bad.
    pub(crate) bad_links: BTreeMap<Link, Duration>,
    /// By zone: the mean utilization of its servers, 0 to 1; `None` if it is not known.
    pub(crate) utilization: Vec<Option<f64>>,
    /// By zone: its use of other zones' servers in addition to the ordinary remote factor, 0 to 1.5. At 0 there is no
    /// additional use; at 1 remote servers get the same factor as local ones.
    pub(crate) spillover: Vec<f64>,
    /// By zone: the share of its servers' weight that may be used, 0 to 1.
    pub(crate) weight_limits: Vec<f64>,
}

impl ZoneSpill {
    /// Returns the state of zones without spillover and without limits on their weights.
    pub(crate) fn new(zones: usize) -> ZoneSpill {
        let (utilization, spillover, weight_limits) = (vec![None; zones], vec![0.0; zones], vec![1.0; zones]);
        ZoneSpill { bad_links: BTreeMap::new(), utilization, spillover, weight_limits }
    }

    /// Returns the number of zones.
    pub(crate) fn zones(&self) -> ZoneId {
        self.utilization.len() as ZoneId
    }

    /// Returns true if the link between two zones counts as bad.
    pub(crate) fn is_bad_link(&self, from: ZoneId, to: ZoneId) -> bool {
        self.bad_links.contains_key(&Link { from, to })
    }
}

/// The limit that the evidence of a server's health sets on its weight.
pub(crate) struct OutlierDetector {
    /// The number of weight steps that are allowed; 0 ejects the server.
    pub(crate) allowed_steps: u32,
    /// The time from which evidence counts; earlier evidence is ignored. While the server is ejected, this is the time of
    /// the ejection.
    pub(crate) evidence_from: Duration,
    /// The number of consecutive health checks that the server has passed since `evidence_from`.
    pub(crate) checks_passed: u32,
    /// The number of consecutive health checks that the server has failed since `evidence_from`.
    pub(crate) checks_failed: u32,
    /// The minimum duration of the next ejection. It never decreases.
    pub(crate) ejection_time: Duration,
}

/// The share of the learned weight that a server may have, in steps of a quarter: raised after a start or a return, lowered
/// by outlier detection, and 0 while the server is ejected.
pub(crate) struct SlowStart {
    /// The current step, of [`SlowStart::STEPS`]; 0 while the server is ejected.
    pub(crate) step: u32,
    /// True if the server has not reached its full weight since its last start or return.
    pub(crate) warming: bool,
    /// The time after which reports reflect the current step.
    pub(crate) evidence_from: Duration,
}

/// The admission level and the retry policy of a route, as sent to the proxies.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct AdmissionSetting {
    /// The admission level, in the unit of the deployment's [`AdmissionMode`](crate::host::AdmissionMode).
    pub(crate) level: f32,
    /// The retry policy.
    pub(crate) retries: RetryPolicy,
}

impl AdmissionSetting {
    /// The initial value, which differs from every setting that is sent.
    const UNSET: AdmissionSetting = AdmissionSetting { level: -1.0, retries: RetryPolicy::Never };
}

/// The load of the servers as a whole, and the admitted share of each route.
pub(crate) struct AdmissionControl {
    /// The load of all servers as a part of their capacity, in steps of a tenth; at 1 the servers are just full. Two lower
    /// bounds apply: one that falls from 3 to 0 over the first 10 s, and 0.7 times the mean number of attempts per answer.
    pub(crate) pressure: f64,
    /// By route: the requests received.
    pub(crate) received: Vec<RequestHistory>,
    /// By route: the share of the requests to admit, 0 to 1.
    pub(crate) admitted_share: Vec<f32>,
    /// By route: the upper limit on the admitted share, set from outside the policy, 0 to 1.
    pub(crate) share_limits: Vec<f32>,
    /// True if the servers are full. No route has retries then.
    pub(crate) overloaded: bool,
    /// By route: the setting that was last sent.
    pub(crate) last_sent: Vec<AdmissionSetting>,
}

impl AdmissionControl {
    /// Returns the state in which all requests are admitted.
    pub(crate) fn new(routes: usize, pressure: f64) -> AdmissionControl {
        AdmissionControl {
            pressure,
            received: (0..routes).map(|_| RequestHistory::default()).collect(),
            admitted_share: vec![1.0; routes],
            share_limits: vec![1.0; routes],
            overloaded: false,
            last_sent: vec![AdmissionSetting::UNSET; routes],
        }
    }

    /// Returns true if the admitted share of any route is below 1.
    pub(crate) fn is_shedding(&self) -> bool {
        self.admitted_share.iter().any(|share| *share < 1.0)
    }
}

/// An acknowledgement that was requested and has not arrived.
pub(crate) struct PendingAck {
    /// The number of the acknowledgement.
    pub(crate) number: u16,
    /// The number of entries sent before the commands that the acknowledgement covers.
    pub(crate) entries_before: f64,
}

/// The load of the control channel, in table entries.
pub(crate) struct ControlChannel {
    /// The capacity of the channel, from the deployment's settings.
    pub(crate) limits: ControlChannelLimits,
    /// The urgent changes that could not be sent at once.
    pub(crate) urgent_delays: UrgentDelays,
    /// The estimated number of entries queued in the channel.
    pub(crate) queued: f64,
    /// The time at which the channel has delivered everything, at the rate in the settings.
    pub(crate) free_at: Duration,
    /// The number of entries sent since the policy's start.
    pub(crate) sent: f64,
    /// The time until which delivered entries have been subtracted from `queued`.
    pub(crate) queue_updated_at: Duration,
    /// The time at which the last acknowledgement arrived.
    pub(crate) acknowledged_at: Duration,
    /// The number of the last requested acknowledgement.
    pub(crate) last_ack: u16,
    /// The acknowledgements that have not arrived, oldest first.
    pub(crate) pending_acks: VecDeque<PendingAck>,
    /// True if [`Timer::UrgentPublish`](crate::host::Timer::UrgentPublish) is set and has not fired.
    pub(crate) urgent_timer_set: bool,
}

impl ControlChannel {
    /// The number of distinct acknowledgement numbers; after the largest, numbering continues at 0.
    const ACK_NUMBERS: u16 = 50_000;

    /// Returns an empty channel.
    pub(crate) fn new(limits: ControlChannelLimits) -> ControlChannel {
        ControlChannel {
            limits,
            urgent_delays: UrgentDelays::default(),
            queued: 0.0,
            free_at: Duration::ZERO,
            sent: 0.0,
            queue_updated_at: Duration::ZERO,
            acknowledged_at: Duration::ZERO,
            last_ack: 0,
            pending_acks: VecDeque::new(),
            urgent_timer_set: false,
        }
    }

    /// Counts `entries` as sent and as queued.
    pub(crate) fn add(&mut self, now: Duration, entries: f64) {
        self.free_at = now.saturating_add(self.delivery_time(now, entries));
        self.queued += entries;
        self.sent += entries;
    }

    /// Returns the time until `entries` more entries are delivered behind those that wait, at the rate in the settings.
    pub(crate) fn delivery_time(&self, now: Duration, entries: f64) -> Duration {
        let own = Duration::try_from_secs_f64(entries / self.limits.entries_per_s).unwrap_or(Duration::MAX);
        self.free_at.saturating_sub(now).saturating_add(own)
    }

    /// Counts all queued entries as lost.
    pub(crate) fn clear(&mut self) {
        self.queued = 0.0;
        self.free_at = Duration::ZERO;
    }

    /// Registers a new acknowledgement of everything sent after the first `entries_before` entries, and returns its number.
    pub(crate) fn next_ack(&mut self, entries_before: f64) -> u16 {
        self.last_ack = (self.last_ack + 1) % Self::ACK_NUMBERS;
        self.pending_acks.push_back(PendingAck { number: self.last_ack, entries_before });
        self.last_ack
    }
}

/// A proxy that has joined at least once.
pub(crate) struct ProxyState {
    /// The proxy's zone.
    pub(crate) zone: ZoneId,
    /// The proxy's usual rate, in requests per second.
    pub(crate) request_rate: f64,
    /// The position of the proxy's pool. A proxy that leaves keeps its pool, so that its connections stay usable when it
    /// returns.
    pub(crate) pool: Option<usize>,
    /// True if the proxy is joined and has been bound to its table.
    pub(crate) bound: bool,
}

/// The state of polling the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointPoll {
    /// The next tick polls the list: no poll was sent yet, or the last one has failed.
    Due,
    /// A poll was sent and is repeated at this time unless a list arrives.
    Pending { repeat_at: Duration },
    /// A list has arrived since the last poll. The host reports further changes, or a failure.
    Answered,
}

/// The load-balancing policy of one planner: see [`crate::policy`].
pub struct Policy<H> {
    pub(crate) host: H,
    /// The only random number generator. The order of its draws is part of the behaviour.
    pub(crate) rng: Pcg64Mcg,
    pub(crate) routes: Vec<Route>,
    pub(crate) capabilities: ProxyCapabilities,
    pub(crate) timeouts: Timeouts,
    pub(crate) observability: Observability,
    /// The limit of the stored reports of one proxy on a route.
    pub(crate) request_report_limit: HistoryLimit,
    /// The limit of the stored reports of one zone on a server.
    pub(crate) load_report_limit: HistoryLimit,
    /// The memory that the load reports on all servers may take, in bytes.
    pub(crate) report_memory: usize,
    /// By [`ServerIndex`](crate::host::ServerIndex).
    pub(crate) servers: Vec<ServerState>,
    pub(crate) endpoint_poll: EndpointPoll,
    /// The number of ticks since the start.
    pub(crate) ticks: u32,
    pub(crate) admission: AdmissionControl,
    pub(crate) channel: ControlChannel,
    pub(crate) pools: Vec<Pool>,
    pub(crate) subset_size: SubsetSize,
    pub(crate) zone_spill: ZoneSpill,
    pub(crate) proxies: BTreeMap<ProxyId, ProxyState>,
    /// Joined proxies that have not been bound to a table, in the order in which they joined.
    pub(crate) unbound: VecDeque<ProxyId>,
}
