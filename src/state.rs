//! The state of a [`Policy`]: plain data, and statistics over load samples. Nothing here decides anything.
//!
//! A policy owns all of its state and is called from one task, so nothing is shared or locked. Times are counted from the
//! policy's start.

mod load;
mod pools;

pub(crate) use load::{LoadHistory, LoadSample, drop_old, mean, median};
pub(crate) use pools::{Pool, SubsetSize, WeightEntry};

use crate::host::{
    ControlChannelLimits, EndpointState, Observability, ProxyCapabilities, ProxyId, RetryPolicy, Route,
    ServerKind, Timeouts, ZoneId,
};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// One server: what the endpoint list states, and what each rule remembers of it.
pub(crate) struct ServerState {
    /// The zone it is in.
    pub(crate) zone: ZoneId,
    /// Its kind: servers of one kind have the same capacity.
    pub(crate) kind: ServerKind,
    /// Its state on the list.
    pub(crate) endpoint_state: EndpointState,
    /// When its warm-up by age ends; zero for a server that has long been warm.
    pub(crate) warm_at: Duration,
    /// The list removed it where removals are not final: it stays in use until it fails.
    pub(crate) removal_doubted: bool,
    /// What was reported of it lately.
    pub(crate) load: LoadHistory,
    /// Whether it fails, hangs or crawls.
    pub(crate) outlier: OutlierDetector,
    /// How much of its weight it has since a start or a return.
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
    /// By zone: how much it uses other zones' servers beyond the ordinary. 0: not at all; 1: far servers weigh as much as near
    /// ones; at most 1.5.
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
    /// Evidence from before this moment does not count. An ejection sets it, so while ejected it is when that was.
    pub(crate) evidence_from: Duration,
    /// Health checks passed since, one after another.
    pub(crate) checks_passed: u32,
    /// Health checks failed since, one after another.
    pub(crate) checks_failed: u32,
    /// How long the next ejection lasts at the least. It never shrinks again.
    pub(crate) ejection_time: Duration,
}

/// The part of the learned weight that a server may have, in steps of a quarter: raised after a start or a return, lowered by
/// outlier detection, and 0 while ejected.
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
    /// Requests received.
    pub(crate) requests: f64,
    /// The proxy that received them.
    pub(crate) proxy: ProxyId,
}

/// What the proxies are told of a route.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct AdmissionSetting {
    /// In the unit of the deployment's [`AdmissionMode`](crate::host::AdmissionMode).
    pub(crate) level: f32,
    /// When proxies retry.
    pub(crate) retries: RetryPolicy,
}

impl AdmissionSetting {
    /// Differs from every setting that is sent.
    const UNSET: AdmissionSetting = AdmissionSetting { level: -1.0, retries: RetryPolicy::Never };
}

/// How loaded the servers are as a whole, and how much of each route is admitted.
pub(crate) struct AdmissionControl {
    /// The load of all servers as a part of their capacity, in tenths; 1 is just full. No lower than 3 falling to 0 within the
    /// first 10 s, and than 0.7 for each attempt that an answer took.
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
    /// Its number.
    pub(crate) number: u16,
    /// All entries sent before the commands that it covers.
    pub(crate) entries_before: f64,
}

/// The load of the control channel, in table entries.
pub(crate) struct ControlChannel {
    /// Its capacity, as stated.
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
    /// Those that have not come, oldest first.
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
    /// Its zone.
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
    /// By [`ServerIndex`](crate::host::ServerIndex).
    pub(crate) servers: Vec<ServerState>,
    /// When the endpoint list is polled next; `None` once a list has come, until a poll fails.
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
