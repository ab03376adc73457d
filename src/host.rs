//! What a planner is told, and what it may ask its host to do. Plain data, no logic.

use std::time::Duration;

/// A server, by the small index its host gave it when it was first listed.
pub type Server = usize;
pub type Proxy = u16;
pub type Table = u16;
pub type Zone = u16;
pub type Kind = u16;
/// A set of routes: the sum of 2^k over their positions k.
pub type RouteSet = u16;

pub trait Host {
    fn wake(&mut self, at: Duration, token: u32);
    fn set_line(&mut self, table: Table, server: Server, weight: f32);
    fn bind(&mut self, proxy: Proxy, table: Table, routes: RouteSet);
    /// Sets how much of the routes' calls all joined proxies let in, as their levels count it ([`ThrottleBy`]), and when they
    /// try again.
    fn admit(&mut self, routes: RouteSet, level: f32, tries: Tries);
    fn mark(&mut self, number: u16);
    fn probe(&mut self, server: Server);
    fn watch_list(&mut self);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tries {
    One,
    AfterProof,
    AfterFailure,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// One entry of the server list. `age` is the time since the latest start, if that is known.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub server: Server,
    pub zone: Zone,
    /// Servers of a kind are built alike; all of one where nothing tells them apart.
    pub kind: Kind,
    pub phase: Phase,
    pub age: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    /// Servers of the group discard a repeat that comes within the window.
    Marked {
        group: Group,
        window: Duration,
    },
    Mutating,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub importance: f64,
    pub slo: Duration,
    pub effect: Effect,
    pub stays_local: bool,
}

/// How long a server may be cold, and whether the list's word that one is gone binds.
#[derive(Clone, Copy, Debug)]
pub struct Graces {
    pub warm_up: Duration,
    pub gone_binds: bool,
}

/// What the orders to the proxies have to fit into.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub lines_per_s: f64,
    pub most_waiting: f64,
    /// Lines that each message costs beyond its own.
    pub head: f64,
    /// Messages to one proxy within `window`; 0 for no limit.
    pub most_messages: usize,
    pub window: Duration,
    pub worst_transit: Duration,
}

/// What the planner may use to see with.
#[derive(Clone, Debug)]
pub struct Sight {
    pub fields: Vec<Field>,
    pub cycle: Duration,
    pub probing: bool,
    /// Unset where the list is pushed; else how long it may go unasked.
    pub ask_within: Option<Duration>,
}

/// What a level is at the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleBy {
    /// The share of a route's calls that is let in; 1 for all of them.
    Share,
    /// Calls a second of each route at each proxy.
    Rate,
    /// Nothing: proxies go only by when to try again.
    Off,
}

/// How the proxies behave on their own.
#[derive(Clone, Copy, Debug)]
pub struct DataPlane {
    pub zones: usize,
    pub slices: usize,
    pub throttle_by: ThrottleBy,
    /// A try that may be followed by another waits this multiple of the SLO time.
    pub try_factor: f64,
    /// All there are, whoever they are joined to.
    pub proxies: usize,
    /// Connections that the smallest servers accept.
    pub least_conns: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Busy,
    Pending,
    CpuShare,
    ServiceMs,
    AnsweredPerS,
    ErrorsPerS,
    Other,
}

/// What a zone's proxies met at one server.
#[derive(Clone, Copy, Debug)]
pub struct Met<'a> {
    /// The zone of the proxies.
    pub from: Zone,
    pub tries: u32,
    pub dropped: u32,
    /// Mean time of the answered ones, if any were.
    pub wait: Option<Duration>,
    /// The load report, in the order of `Sight::fields`; empty if none came.
    pub report: &'a [f32],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probed {
    Answered,
    /// The server said no: it drains, or has too many probes in hand.
    Rejected,
    Failed,
}
