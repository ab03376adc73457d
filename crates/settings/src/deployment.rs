//! What a deployment states, and what a planner of it listens to.

use crate::read::{Bad, field, nickel, parse, read};
use grebespool::host;
use grebespool_controller::{ControllerConfig, Incarnation, Limits};
use ipnet::IpNet;
use iprange::IpRange;
use serde::{Deserialize, Deserializer, de::Error as _};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A span as the records have it: a number and its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub struct Span(pub Duration);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let unit = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
        let scale = match &text[unit..] {
            "us" => 1e-6,
            "ms" => 1e-3,
            "s" => 1.0,
            "min" => 60.0,
            _ => return Err(D::Error::custom(format!("{text:?} has no unit of time"))),
        };
        let value: f64 = text[..unit].parse().map_err(D::Error::custom)?;
        Duration::try_from_secs_f64(value * scale).map(Span).map_err(D::Error::custom)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Repeats {
    Freely,
    Marked,
    Never,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Route {
    pub name: String,
    pub importance: f64,
    pub slo: Span,
    pub time_limit: Span,
    pub repeats: Repeats,
    pub group: Group,
    pub window: Span,
    pub stays_local: bool,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Proxies {
    pub expected: usize,
    pub most: usize,
    pub joins: usize,
    pub levels: bool,
    pub try_factor: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Servers {
    pub most: usize,
    pub least_connections: f64,
    pub warm_up: Span,
    pub gone_binds: bool,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Channel {
    pub lines_per_s: f64,
    pub most_waiting: f64,
    pub head: f64,
    pub most_messages: usize,
    pub window: Span,
    pub worst_transit: Span,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub enum Figure {
    Busy,
    Pending,
    CpuShare,
    ServiceMs,
    AnsweredPerS,
    ErrorsPerS,
    Other,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Reports {
    pub fields: Vec<Figure>,
    pub cycle: Span,
    pub probing: bool,
}

/// How the loss of a whole site is watched for.
#[derive(Debug, Clone, Deserialize)]
pub struct SiteWatch {
    pub watched: bool,
    pub window: Span,
    pub confirm: Span,
    pub fill: f64,
    pub calm: Span,
}

/// What a deployment is like, whoever plans for it.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    pub zones: Vec<String>,
    pub routes: Vec<Route>,
    pub slices: usize,
    pub proxies: Proxies,
    pub servers: Servers,
    pub channel: Channel,
    pub reports: Reports,
    pub sites: SiteWatch,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum ListMode {
    Pushed,
    Asked,
}

/// Where the planner listens, to whom, and how patient it is with them.
#[derive(Debug, Clone, Deserialize)]
pub struct Listen {
    pub address: SocketAddr,
    allowed: Vec<IpNet>,
    pub key_file: PathBuf,
    pub handshake: Span,
    pub unjoined: usize,
    pub silence: Span,
    pub stall: Span,
    pub stall_bytes: usize,
}

/// Where the server list is.
#[derive(Debug, Clone, Deserialize)]
pub struct ListSource {
    pub address: SocketAddr,
    pub mode: ListMode,
    pub ask_within: Span,
    pub redial: Span,
    pub patience: Span,
}

/// A settings file, to be taken apart by what starts a planner.
#[derive(Debug, Clone, Deserialize)]
pub struct Planned {
    pub deployment: Deployment,
    pub listen: Listen,
    pub list: ListSource,
    pub probe_limit: Span,
    /// Where several controllers serve the fleet.
    pub members: Option<Members>,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSeat {
    pub name: String,
    pub address: SocketAddr,
}

/// Accounts of periods, written by one member at a time.
#[derive(Debug, Clone, Deserialize)]
pub struct Accounts {
    pub folder: PathBuf,
    pub period: Span,
    pub slack: Span,
}

/// Editions that members agree on.
#[derive(Debug, Clone, Deserialize)]
pub struct Agree {
    pub lease: Span,
    pub renew: Span,
    pub most_withdrawn: f64,
}

/// Work on behalf of the fleet that its members share out.
#[derive(Debug, Clone, Deserialize)]
pub struct Duties {
    pub lease: Span,
    pub renew: Span,
    pub accounts: Option<Accounts>,
    pub agree: Option<Agree>,
}

/// This controller among those that follow each other.
#[derive(Debug, Clone, Deserialize)]
pub struct Members {
    pub fleet: String,
    pub name: String,
    pub address: SocketAddr,
    pub listen: Option<SocketAddr>,
    pub folder: PathBuf,
    pub key_file: PathBuf,
    pub peers: Vec<PeerSeat>,
    pub beat: Span,
    pub lease: Span,
    pub drift: f64,
    pub remember: Span,
    pub weights_kept: Span,
    pub duties: Option<Duties>,
}

impl Deployment {
    /// Reads the deployment out of a settings file's text, as a recording has it.
    ///
    /// # Errors
    ///
    /// What is wrong, by line and field.
    pub fn parse(text: &str, name: &str) -> Result<Deployment, Bad> {
        #[derive(Deserialize)]
        struct Site {
            deployment: Deployment,
        }
        let value = serde_json::from_str(text).map_err(|e| Bad::Record(format!("{name}: {e}")))?;
        let Site { deployment } = parse(&nickel(&value), name, "Site")?;
        deployment.check(Path::new(name))?;
        Ok(deployment)
    }

    /// Whether a site that states `site` could run this. What the site's channel, proxies and servers are able to
    /// do is no matter of settings. `name` stands for these settings in what is said.
    ///
    /// # Errors
    ///
    /// The first field that it could not, with both values.
    pub fn within(&self, site: &Deployment, name: &str) -> Result<(), Bad> {
        let (c, s) = (&self.channel, &site.channel);
        let unlimited = |messages: usize| if messages == 0 { usize::MAX } else { messages };
        let messages = |c: &Channel| unlimited(c.most_messages) as f64 / c.window.0.as_secs_f64();
        let zones = self.zones == site.zones;
        let numbers = [
            ("channel.lines_per_s", c.lines_per_s > s.lines_per_s, c.lines_per_s, s.lines_per_s),
            ("channel.most_waiting", c.most_waiting > s.most_waiting, c.most_waiting, s.most_waiting),
            ("channel.head", c.head < s.head, c.head, s.head),
            (
                "channel.most_messages",
                messages(c) > messages(s),
                c.most_messages as f64,
                s.most_messages as f64,
            ),
            (
                "servers.least_connections",
                self.servers.least_connections > site.servers.least_connections,
                self.servers.least_connections,
                site.servers.least_connections,
            ),
        ];
        let bad = |of: &str, why: String| Err(field(Path::new(name), &format!("deployment.{of}"), why));
        for (of, over, wanted, allowed) in numbers {
            if over {
                return bad(of, format!("{wanted} is beyond what the recorded site allows, {allowed}"));
            }
        }
        if self.proxies.levels && !site.proxies.levels {
            return bad("proxies.levels", "the recorded site's proxies obey no levels".into());
        }
        if !zones {
            return bad("zones", format!("{:?} are not the recorded site's {:?}", self.zones, site.zones));
        }
        Ok(())
    }
}

impl Planned {
    /// Reads a settings file; relative paths in it are from its folder.
    ///
    /// # Errors
    ///
    /// What is wrong, by file, line and field.
    pub fn read(path: &Path) -> Result<Planned, Bad> {
        let mut planned: Planned = read(path, "Settings")?;
        planned.deployment.check(path)?;
        if let Some(folder) = path.parent() {
            planned.listen.key_file = folder.join(&planned.listen.key_file);
            if let Some(members) = &mut planned.members {
                members.key_file = folder.join(&members.key_file);
                members.folder = folder.join(&members.folder);
                if let Some(a) = members.duties.as_mut().and_then(|d| d.accounts.as_mut()) {
                    a.folder = folder.join(&a.folder);
                }
            }
        }
        if let Some(members) = &planned.members {
            members.check(path)?;
        }
        Ok(planned)
    }
}

impl Members {
    fn check(&self, path: &Path) -> Result<(), Bad> {
        let bad = |of: &str, why: String| Err(field(path, &format!("members.{of}"), why));
        if self.lease.0 < self.beat.0 * 3 {
            let why = format!("{:?} is shorter than three beats of {:?}", self.lease.0, self.beat.0);
            return bad("lease", why);
        }
        if let Some(duties) = &self.duties {
            if duties.lease.0 < duties.renew.0 * 3 {
                let why =
                    format!("{:?} is shorter than three renewals of {:?}", duties.lease.0, duties.renew.0);
                return bad("duties.lease", why);
            }
            if duties.lease.0 < self.lease.0 * 2 {
                let why = format!(
                    "{:?} is shorter than twice members.lease, {:?}: a change of the leader would take all duties",
                    duties.lease.0, self.lease.0
                );
                return bad("duties.lease", why);
            }
            if let Some(agree) = duties.agree.as_ref().filter(|a| a.lease.0 < a.renew.0 * 3) {
                let why =
                    format!("{:?} is shorter than three renewals of {:?}", agree.lease.0, agree.renew.0);
                return bad("duties.agree.lease", why);
            }
        }
        let mut names = vec![self.name.as_str()];
        for (i, peer) in self.peers.iter().enumerate() {
            if names.contains(&peer.name.as_str()) {
                return bad(&format!("peers[{i}].name"), format!("{:?} is there twice", peer.name));
            }
            if peer.address == self.address {
                return bad(&format!("peers[{i}].address"), "it is this member's own".into());
            }
            names.push(&peer.name);
        }
        Ok(())
    }
}

impl Listen {
    pub fn new(address: SocketAddr, key_file: PathBuf, stall: Duration, silence: Duration) -> Listen {
        let allowed = ["127.0.0.0/8", "::1/128"].map(|n| n.parse().expect("a network"));
        Listen {
            address,
            allowed: allowed.into(),
            key_file,
            handshake: Span(Duration::from_secs(3)),
            unjoined: 1000,
            silence: Span(silence),
            stall: Span(stall),
            stall_bytes: 4_000_000,
        }
    }

    /// Lets nobody connect but from these networks.
    pub fn allow_only(&mut self, networks: &[IpNet]) {
        self.allowed = networks.to_vec();
    }

    /// The networks that may connect.
    pub fn allowed(&self) -> Allowed {
        let mut allowed = Allowed { v4: IpRange::new(), v6: IpRange::new() };
        for net in &self.allowed {
            match net {
                IpNet::V4(net) => drop(allowed.v4.add(*net)),
                IpNet::V6(net) => drop(allowed.v6.add(*net)),
            }
        }
        allowed.v4.simplify();
        allowed.v6.simplify();
        allowed
    }
}

/// Who may connect, as sets of networks.
pub struct Allowed {
    v4: IpRange<ipnet::Ipv4Net>,
    v6: IpRange<ipnet::Ipv6Net>,
}

impl Allowed {
    /// An IPv4 address that comes in an IPv6 one counts as the former.
    pub fn holds(&self, ip: IpAddr) -> bool {
        match ip.to_canonical() {
            IpAddr::V4(ip) => self.v4.contains(&ip),
            IpAddr::V6(ip) => self.v6.contains(&ip),
        }
    }
}

impl ListSource {
    pub fn new(address: SocketAddr, mode: ListMode, ask_within: Span) -> ListSource {
        let (redial, patience) = (Span(Duration::from_millis(200)), Span(Duration::from_secs(3)));
        ListSource { address, mode, ask_within, redial, patience }
    }

    /// How long the list may go unasked, where it has to be asked.
    pub fn ask_within(&self) -> Option<Duration> {
        (self.mode == ListMode::Asked).then_some(self.ask_within.0)
    }
}

impl Deployment {
    pub(crate) fn check(&self, path: &Path) -> Result<(), Bad> {
        let bad = |name: &str, why: String| Err(field(path, &format!("deployment.{name}"), why));
        for (i, zone) in self.zones.iter().enumerate() {
            if self.zones[..i].contains(zone) {
                return bad("zones", format!("zone {zone:?} stands twice"));
            }
        }
        for (i, route) in self.routes.iter().enumerate() {
            if self.routes[..i].iter().any(|r| r.name == route.name) {
                return bad(&format!("routes[{i}].name"), format!("route {:?} stands twice", route.name));
            }
            if route.time_limit.0 < route.slo.0 {
                let why = "the time limit is shorter than the SLO time".to_string();
                return bad(&format!("routes[{i}].time_limit"), why);
            }
            if route.repeats == Repeats::Marked && route.window.0.is_zero() {
                let why = "a marked route needs the window in which repeats are dropped".to_string();
                return bad(&format!("routes[{i}].window"), why);
            }
        }
        if self.slices > 0 {
            let why = format!("{} slices: sites with slices are not planned for yet", self.slices);
            return bad("slices", why);
        }
        if self.proxies.expected > self.proxies.most {
            let why = "more proxies are expected than may be known (proxies.most)".to_string();
            return bad("proxies.expected", why);
        }
        if self.sites.watched && self.sites.window.0 < self.reports.cycle.0 * 2 {
            let (window, cycle) = (self.sites.window.0, self.reports.cycle.0);
            return bad("sites.window", format!("{window:?} is shorter than two report cycles of {cycle:?}"));
        }
        let needed = self.channel.head + 3.0;
        if self.channel.most_waiting < needed {
            return bad("channel.most_waiting", format!("no message fits; {needed} lines at the least"));
        }
        Ok(())
    }

    pub fn routes(&self) -> Vec<host::Route> {
        let group = |g| match g {
            Group::All => host::DeduplicationScope::All,
            Group::Zone => host::DeduplicationScope::Zone,
            Group::Cell => host::DeduplicationScope::Cell,
        };
        let effect = |r: &Route| match r.repeats {
            Repeats::Freely => host::Idempotency::Idempotent,
            Repeats::Marked => host::Idempotency::Keyed { scope: group(r.group), window: r.window.0 },
            Repeats::Never => host::Idempotency::NonIdempotent,
        };
        let route = |r: &Route| host::Route {
            priority_weight: r.importance,
            latency_objective: r.slo.0,
            idempotency: effect(r),
            zone_local: r.stays_local,
        };
        self.routes.iter().map(route).collect()
    }

    pub fn plane(&self) -> host::ProxyCapabilities {
        host::ProxyCapabilities {
            zones: self.zones.len(),
            slices: self.slices,
            admission_mode: if self.proxies.levels {
                host::AdmissionMode::Share
            } else {
                host::AdmissionMode::Off
            },
            attempt_timeout_factor: self.proxies.try_factor,
            proxies: self.proxies.expected,
            min_server_connections: self.servers.least_connections,
        }
    }

    pub fn graces(&self) -> host::Timeouts {
        host::Timeouts { warm_up: self.servers.warm_up.0, removal_is_final: self.servers.gone_binds }
    }

    pub fn pace(&self) -> host::ControlChannelLimits {
        let c = &self.channel;
        host::ControlChannelLimits {
            entries_per_s: c.lines_per_s,
            max_queued_entries: c.most_waiting,
            message_overhead: c.head,
            max_messages: c.most_messages,
            window: c.window.0,
            max_transit: c.worst_transit.0,
        }
    }

    pub fn sight(&self, ask_within: Option<Duration>) -> host::Observability {
        let field = |f: &Figure| match f {
            Figure::Busy => host::LoadMetric::InFlight,
            Figure::Pending => host::LoadMetric::Pending,
            Figure::CpuShare => host::LoadMetric::Utilization,
            Figure::ServiceMs => host::LoadMetric::ServiceTimeMs,
            Figure::AnsweredPerS => host::LoadMetric::ResponsesPerSecond,
            Figure::ErrorsPerS => host::LoadMetric::ErrorsPerSecond,
            Figure::Other => host::LoadMetric::Other,
        };
        host::Observability {
            metrics: self.reports.fields.iter().map(field).collect(),
            report_interval: self.reports.cycle.0,
            health_checks: self.reports.probing,
            endpoint_poll_interval: ask_within,
        }
    }

    /// How the loss of a whole zone is watched for; unset where it is not.
    pub fn watch(&self) -> Option<grebespool_controller::FailoverParameters> {
        let slo = self.routes.iter().map(|r| r.slo.0).min().unwrap_or(Duration::from_secs(1));
        let pacing = grebespool_controller::RampParameters {
            warm_up: self.servers.warm_up.0,
            propagation: self.channel.worst_transit.0 + self.reports.cycle.0,
            late_wait_seconds: 0.4 * slo.as_secs_f64(),
        };
        let sites = &self.sites;
        let (window, confirm, calm) = (sites.window.0, sites.confirm.0, sites.calm.0);
        // Where nothing may be probed, only calls can show that a site is back.
        let trickle = if self.reports.probing { 0.0 } else { 0.02 };
        let fill = sites.fill;
        sites.watched.then_some(grebespool_controller::FailoverParameters {
            evidence_window: window,
            confirmation: confirm,
            stability_period: calm,
            failed_weight: trickle,
            max_utilization: fill,
            ramp: pacing,
        })
    }

    /// What a controller of this deployment is created with. `ack_timeout`: how long a proxy may leave updates
    /// unacknowledged. `endpoint_poll_interval`: how long the endpoint list may go without a poll; `None` where changes
    /// are pushed.
    pub fn controller_config(
        &self,
        incarnation: Incarnation,
        ack_timeout: Duration,
        endpoint_poll_interval: Option<Duration>,
    ) -> ControllerConfig {
        let (servers, proxies, joins) = (self.servers.most, self.proxies.most, self.proxies.joins);
        ControllerConfig {
            incarnation,
            limits: Limits { servers, proxies, joins, ack_timeout },
            zones: self.zones.clone(),
            routes: self.routes(),
            capabilities: self.plane(),
            timeouts: self.graces(),
            channel: self.pace(),
            observability: self.sight(endpoint_poll_interval),
        }
    }
}
