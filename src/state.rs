//! The state of a [`Policy`]: plain data, and statistics over load samples. Nothing here decides anything.
//!
//! A policy owns all of its state and is called from one task, so nothing is shared or locked. Times are counted from the
//! policy's start.

use crate::host::{
    ControlChannelLimits, EndpointState, Observability, ProxyCapabilities, ProxyId, RetryPolicy, Route,
    ServerIndex, ServerKind, TableId, Timeouts, ZoneId,
};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What the proxies of a zone observed of a server over one report interval.
pub(crate) struct LoadSample {
    /// When the report came.
    pub(crate) at: Duration,
    /// The zone of the proxies.
    pub(crate) client_zone: ZoneId,
    /// The load as reported, whether or not it is believed, in the unit of the deployment's metrics.
    pub(crate) reported_load: Option<f64>,
    /// The same, where it is believed.
    pub(crate) load: Option<f64>,
    /// Utilization of the workers, 0 to 1, where it is reported and believed.
    pub(crate) utilization: Option<f64>,
    /// Attempts that ended.
    pub(crate) attempts: f64,
    /// Attempts that ended without an answer.
    pub(crate) failures: f64,
    /// Mean latency of the answered attempts, in seconds.
    pub(crate) latency_s: Option<f64>,
}

impl LoadSample {
    /// Attempts that were answered.
    pub(crate) fn answered(&self) -> f64 {
        (self.attempts - self.failures).max(0.0)
    }
}

/// The last few samples of a server, oldest first.
#[derive(Default)]
pub(crate) struct LoadHistory {
    pub(crate) samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// The samples from after a moment.
    pub(crate) fn since(&self, from: Duration) -> impl Iterator<Item = &LoadSample> {
        self.samples.iter().filter(move |sample| sample.at > from)
    }

    /// The mean of a figure over the samples from after a moment that have it.
    pub(crate) fn mean(&self, from: Duration, of: impl Fn(&LoadSample) -> Option<f64>) -> Option<f64> {
        mean(self.since(from).filter_map(of))
    }

    /// The sum of a figure over the samples from after a moment.
    pub(crate) fn sum(&self, from: Duration, of: impl Fn(&LoadSample) -> f64) -> f64 {
        self.since(from).map(of).sum()
    }
}

/// Removes elements older than `kept` from the front of a list that is ordered by time.
pub(crate) fn drop_old<T>(
    list: &mut VecDeque<T>,
    now: Duration,
    kept: Duration,
    at: impl Fn(&T) -> Duration,
) {
    while list.front().is_some_and(|oldest| now.saturating_sub(at(oldest)) > kept) {
        list.pop_front();
    }
}

/// The arithmetic mean; `None` of no values.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0usize), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / count as f64)
}

/// The median, the upper one of an even number of values; `None` of no values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// One server: what the endpoint list states, and what each rule remembers of it.
pub(crate) struct ServerState {
    pub(crate) zone: ZoneId,
    pub(crate) kind: ServerKind,
    pub(crate) endpoint_state: EndpointState,
    /// When its warm-up by age ends; zero for a server that has long been warm.
    pub(crate) warm_at: Duration,
    /// The list removed it where removals are not final: it stays in use until it fails.
    pub(crate) removal_doubted: bool,
    pub(crate) load: LoadHistory,
    pub(crate) outlier: OutlierDetector,
    pub(crate) slow_start: SlowStart,
}

impl ServerState {
    /// A server that has not been listed: not in use.
    pub(crate) fn unlisted(outlier: OutlierDetector, step: u32) -> ServerState {
        ServerState {
            zone: 0,
            kind: 0,
            endpoint_state: EndpointState::Draining,
            warm_at: Duration::ZERO,
            removal_doubted: false,
            load: LoadHistory::default(),
            outlier,
            slow_start: SlowStart { step, warming: false, evidence_from: Duration::ZERO },
        }
    }

    /// Whether the server accepts requests, by the list.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint_state == EndpointState::Ready
    }
}

/// A server in a pool: the weight it has earned there, apart from all exceptions, and the weight that was sent.
pub(crate) struct WeightEntry {
    pub(crate) server: ServerIndex,
    /// The learned weight.
    pub(crate) learned: f64,
    /// When the mechanism last changed the learned weight; zero for never.
    pub(crate) changed_at: Duration,
    /// The weight last sent; 0 for none.
    pub(crate) written: f32,
    /// Not needed in this pool any more; dropped once a weight of 0 is sent.
    pub(crate) retiring: bool,
}

/// One weight table, shared by many proxies of a zone.
pub(crate) struct Pool {
    pub(crate) table: TableId,
    pub(crate) zone: ZoneId,
    pub(crate) entries: Vec<WeightEntry>,
    /// When messages were sent to its proxies, oldest first.
    pub(crate) message_times: VecDeque<Duration>,
}

impl Pool {
    /// A pool without servers.
    pub(crate) fn new(table: TableId, zone: ZoneId) -> Pool {
        Pool { table, zone, entries: vec![], message_times: VecDeque::new() }
    }

    /// Adds a server with a weight in multiples of the pool's mean.
    pub(crate) fn add_server(&mut self, server: ServerIndex, weight: f64) {
        let learned = weight * self.mean_weight();
        let (changed_at, written, retiring) = (Duration::ZERO, 0.0, false);
        self.entries.push(WeightEntry { server, learned, changed_at, written, retiring });
    }

    /// The mean of the learned weights; 1 for an empty pool.
    pub(crate) fn mean_weight(&self) -> f64 {
        mean(self.entries.iter().map(|entry| entry.learned)).unwrap_or(1.0)
    }
}

/// How many near and far servers a pool is to hold.
#[derive(Clone, Copy)]
pub(crate) struct SubsetSize {
    pub(crate) near: usize,
    pub(crate) far: usize,
}

impl SubsetSize {
    /// All servers, as long as one pool a zone holds them.
    pub(crate) const UNLIMITED: SubsetSize = SubsetSize { near: usize::MAX, far: usize::MAX };
}

/// A direction between two zones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Link {
    /// The zone of the proxies.
    pub(crate) from: ZoneId,
    /// The zone of the servers.
    pub(crate) to: ZoneId,
}

/// How far the zones use each other's servers.
pub(crate) struct ZoneSpill {
    /// Links over which requests fare badly, and until when that counts.
    pub(crate) bad_links: BTreeMap<Link, Duration>,
    /// By zone: mean utilization of its servers, 0 to 1, where known.
    pub(crate) utilization: Vec<Option<f64>>,
    /// By zone: how far it leans on other zones' servers beyond the ordinary.
    pub(crate) lean: Vec<f64>,
    /// By zone: the part of its servers' weight that may be used, 0 to 1.
    pub(crate) weight_limits: Vec<f64>,
}

impl ZoneSpill {
    /// Zones that do not lean on each other.
    pub(crate) fn new(zones: usize) -> ZoneSpill {
        let (utilization, lean, weight_limits) = (vec![None; zones], vec![0.0; zones], vec![1.0; zones]);
        ZoneSpill { bad_links: BTreeMap::new(), utilization, lean, weight_limits }
    }

    /// The number of zones.
    pub(crate) fn zones(&self) -> ZoneId {
        self.utilization.len() as ZoneId
    }

    /// Whether requests of one zone fare badly at another's servers.
    pub(crate) fn is_bad_link(&self, from: ZoneId, to: ZoneId) -> bool {
        self.bad_links.contains_key(&Link { from, to })
    }
}

/// What the evidence of a server's health allows it.
pub(crate) struct OutlierDetector {
    /// Steps of weight that are allowed; 0 ejects the server.
    pub(crate) allowed_steps: u32,
    /// Evidence from before this moment does not count.
    pub(crate) evidence_from: Duration,
    /// Health checks passed and failed since, one after another.
    pub(crate) checks_passed: u32,
    pub(crate) checks_failed: u32,
    /// How long the next ejection lasts at the least.
    pub(crate) ejection_time: Duration,
}

/// Steps of weight for a server that has started or returns.
pub(crate) struct SlowStart {
    /// The step reached, of [`SlowStart::STEPS`]; 0 while ejected.
    pub(crate) step: u32,
    /// On the way to its full weight since a start or a return.
    pub(crate) warming: bool,
    /// Reports from after this moment tell of the present step.
    pub(crate) evidence_from: Duration,
}

/// Requests of a route that a proxy received within a report interval.
pub(crate) struct RequestCount {
    /// When the report came.
    pub(crate) at: Duration,
    pub(crate) requests: f64,
    pub(crate) proxy: ProxyId,
}

/// What the proxies are told of a route.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct AdmissionSetting {
    /// In the unit of the deployment's [`AdmissionMode`](crate::host::AdmissionMode).
    pub(crate) level: f32,
    pub(crate) retries: RetryPolicy,
}

impl AdmissionSetting {
    /// Differs from every setting that is sent.
    const UNSET: AdmissionSetting = AdmissionSetting { level: -1.0, retries: RetryPolicy::Never };
}

/// How loaded the servers are as a whole, and how much of each route is admitted.
pub(crate) struct AdmissionControl {
    /// What servers are sent as a part of what they could answer; 1 is just full.
    pub(crate) pressure: f64,
    /// By route: the requests received, oldest first.
    pub(crate) received: Vec<VecDeque<RequestCount>>,
    /// By route: the share that is to be admitted, 0 to 1.
    pub(crate) admitted_share: Vec<f32>,
    /// By route: the largest share that may be admitted, whatever is measured.
    pub(crate) share_limits: Vec<f32>,
    /// The servers are full: no retries.
    pub(crate) overloaded: bool,
    /// By route: what was last sent.
    pub(crate) written: Vec<AdmissionSetting>,
}

impl AdmissionControl {
    /// Admits everything.
    pub(crate) fn new(routes: usize, pressure: f64) -> AdmissionControl {
        AdmissionControl {
            pressure,
            received: (0..routes).map(|_| VecDeque::new()).collect(),
            admitted_share: vec![1.0; routes],
            share_limits: vec![1.0; routes],
            overloaded: false,
            written: vec![AdmissionSetting::UNSET; routes],
        }
    }

    /// Whether any route is admitted in part.
    pub(crate) fn is_shedding(&self) -> bool {
        self.admitted_share.iter().any(|share| *share < 1.0)
    }
}

/// An acknowledgement that was asked for.
pub(crate) struct PendingAck {
    pub(crate) number: u16,
    /// All entries sent before the commands that it covers.
    pub(crate) entries_before: f64,
}

/// The load of the control channel, in table entries.
pub(crate) struct ControlChannel {
    pub(crate) limits: ControlChannelLimits,
    /// Entries taken to be queued in the channel.
    pub(crate) queued: f64,
    /// All entries ever sent.
    pub(crate) sent: f64,
    /// When `queued` was last reduced by what the channel delivers.
    pub(crate) drained_at: Duration,
    /// When the last acknowledgement came.
    pub(crate) acknowledged_at: Duration,
    /// The number of the last acknowledgement asked for.
    pub(crate) last_ack: u16,
    pub(crate) pending_acks: VecDeque<PendingAck>,
    /// [`Timer::UrgentPublish`](crate::host::Timer::UrgentPublish) is set and has not fired.
    pub(crate) urgent_timer_set: bool,
}

impl ControlChannel {
    /// Numbers of acknowledgements are below this.
    const ACK_NUMBERS: u16 = 50_000;

    /// An empty channel.
    pub(crate) fn new(limits: ControlChannelLimits) -> ControlChannel {
        ControlChannel {
            limits,
            queued: 0.0,
            sent: 0.0,
            drained_at: Duration::ZERO,
            acknowledged_at: Duration::ZERO,
            last_ack: 0,
            pending_acks: VecDeque::new(),
            urgent_timer_set: false,
        }
    }

    /// Counts entries that are sent.
    pub(crate) fn add(&mut self, entries: f64) {
        self.queued += entries;
        self.sent += entries;
    }

    /// The number of a new acknowledgement, of everything after the first `entries_before` entries.
    pub(crate) fn next_ack(&mut self, entries_before: f64) -> u16 {
        self.last_ack = (self.last_ack + 1) % Self::ACK_NUMBERS;
        self.pending_acks.push_back(PendingAck { number: self.last_ack, entries_before });
        self.last_ack
    }
}

/// A proxy that joined once.
pub(crate) struct ProxyState {
    pub(crate) zone: ZoneId,
    /// Requests a second that it usually gets.
    pub(crate) request_rate: f64,
    /// The position of its pool. Kept while the proxy is away, so that its connections serve on.
    pub(crate) pool: Option<usize>,
    /// Joined, and told its table.
    pub(crate) bound: bool,
}

/// The load-balancing policy of one planner: see [`crate::policy`].
pub struct Policy<H> {
    pub(crate) host: H,
    /// The one source of chance; the order of draws is part of the behaviour.
    pub(crate) rng: Pcg64Mcg,
    pub(crate) routes: Vec<Route>,
    pub(crate) capabilities: ProxyCapabilities,
    pub(crate) timeouts: Timeouts,
    pub(crate) observability: Observability,
    /// By [`ServerIndex`].
    pub(crate) servers: Vec<ServerState>,
    /// When the endpoint list is polled next; `None` before the first list and where it is pushed.
    pub(crate) next_poll_at: Option<Duration>,
    /// Ticks so far.
    pub(crate) ticks: u32,
    pub(crate) admission: AdmissionControl,
    pub(crate) channel: ControlChannel,
    pub(crate) pools: Vec<Pool>,
    pub(crate) subset_size: SubsetSize,
    pub(crate) zone_spill: ZoneSpill,
    pub(crate) proxies: BTreeMap<ProxyId, ProxyState>,
    /// Joined proxies without a table, in the order in which they joined.
    pub(crate) unbound: VecDeque<ProxyId>,
}
