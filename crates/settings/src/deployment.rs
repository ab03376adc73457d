//! Settings of a deployment and of its planners.
//!
//! The names of these types, variants and fields are keys of files, and the Debug form of a deployment is hashed into the
//! key of a sweep's run (`replay`): none of them may be renamed.

use crate::read::{SettingsError, field, nickel, parse, read};
use ipnet::IpNet;
use iprange::IpRange;
use serde::{Deserialize, Deserializer, de::Error as _};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A duration, written as a number with its unit: `us`, `ms`, `s` or `min`.
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

/// The rule for repeating requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Repeats {
    /// A request may run twice.
    Freely,
    /// Servers of a group drop repeats within a window, by the key of the request.
    Marked,
    /// A request must not run twice.
    Never,
}

/// The servers that drop repeats of each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Group {
    /// All servers.
    All,
    /// The servers of a zone.
    Zone,
    /// The servers of a cell.
    Cell,
}

/// A route, and what its requests need.
#[derive(Debug, Clone, Deserialize)]
pub struct Route {
    /// Name of the route in reports.
    pub name: String,
    /// Priority weight: the worth of an answered request relative to other routes.
    pub importance: f64,
    /// Latency objective.
    pub slo: Span,
    /// Longest time that a client waits for an answer.
    pub time_limit: Span,
    /// The rule for repeating requests.
    pub repeats: Repeats,
    /// The servers that drop repeats, if `repeats` is `Marked`.
    pub group: Group,
    /// Time since the first attempt for which repeats are dropped.
    pub window: Span,
    /// True if requests may go only to servers in the proxy's zone.
    pub stays_local: bool,
}

/// The proxies of a deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Proxies {
    /// Number of proxies of the deployment, joined or not.
    pub expected: usize,
    /// Largest number of proxies known by name.
    pub most: usize,
    /// Joins that one proxy may make within the window of the channel.
    pub joins: usize,
    /// True if proxies obey admission levels.
    pub levels: bool,
    /// Timeout of an attempt that another may follow, as a multiple of the latency objective.
    pub try_factor: f64,
}

/// The servers of a deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Servers {
    /// Largest number of listed servers.
    pub most: usize,
    /// Connections that the smallest server accepts.
    pub least_connections: f64,
    /// Time after its start when a server is warm.
    pub warm_up: Span,
    /// True if a removal from the list is final.
    pub gone_binds: bool,
}

/// The limits of the control channel to proxies.
#[derive(Debug, Clone, Deserialize)]
pub struct Channel {
    /// Weight entries per second.
    pub lines_per_s: f64,
    /// Weight entries that may be queued.
    pub most_waiting: f64,
    /// Cost of a message beyond its entries, in entries.
    pub head: f64,
    /// Messages to one proxy within the window; 0 for no limit.
    pub most_messages: usize,
    /// The window of `most_messages` and of the joins of a proxy.
    pub window: Span,
    /// Longest time from the channel to a proxy.
    pub worst_transit: Span,
}

/// A metric in a load report.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum Figure {
    /// Requests in progress.
    Busy,
    /// Requests that wait.
    Pending,
    /// Utilization of the processor, from 0 to 1.
    CpuShare,
    /// Service time in milliseconds.
    ServiceMs,
    /// Answers per second.
    AnsweredPerS,
    /// Errors per second.
    ErrorsPerS,
    /// A metric that is not used.
    Other,
}

/// The reports of servers and proxies.
#[derive(Debug, Clone, Deserialize)]
pub struct Reports {
    /// Metrics in the servers' answers, in this order.
    pub fields: Vec<Figure>,
    /// Interval between the reports of a proxy.
    pub cycle: Span,
    /// True if servers may be probed.
    pub probing: bool,
}

/// The settings for detecting the loss of a whole site.
#[derive(Debug, Clone, Deserialize)]
pub struct SiteWatch {
    /// True if the loss of a whole zone is detected and handled as one event.
    pub watched: bool,
    /// Age beyond which a report says nothing of a zone.
    pub window: Span,
    /// Time for which a verdict must hold before it takes effect.
    pub confirm: Span,
    /// Target utilization of servers while a zone is lost.
    pub fill: f64,
    /// Time after which a zone without losses counts as stable again.
    pub calm: Span,
}

/// The properties of a deployment, independent of the planner.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The routes.
    pub routes: Vec<Route>,
    /// Number of key ranges. Only 0 is supported.
    pub slices: usize,
    /// The proxies.
    pub proxies: Proxies,
    /// The servers.
    pub servers: Servers,
    /// The control channel.
    pub channel: Channel,
    /// The reports of servers and proxies.
    pub reports: Reports,
    /// The detection of lost sites.
    pub sites: SiteWatch,
}

/// The way in which the planner gets the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum ListMode {
    /// Changes are pushed.
    Pushed,
    /// Changes are polled.
    Asked,
}

/// The address that a planner listens at, with limits for those that connect.
#[derive(Debug, Clone, Deserialize)]
pub struct Listen {
    /// Address to listen at.
    pub address: SocketAddr,
    /// Networks that may connect.
    allowed: Vec<IpNet>,
    /// File of the key that proxies and planners share.
    pub key_file: PathBuf,
    /// Time after which a stream that has not joined is closed.
    pub handshake: Span,
    /// Largest number of streams that have not joined.
    pub unjoined: usize,
    /// Time after which a silent proxy is disconnected.
    pub silence: Span,
    /// Time after which a proxy that leaves bytes unread or updates unacknowledged is disconnected.
    pub stall: Span,
    /// Bytes that may be queued for one proxy.
    pub stall_bytes: usize,
}

/// The source of the server list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListSource {
    /// Address of the server list.
    pub address: SocketAddr,
    /// The way in which changes arrive.
    pub mode: ListMode,
    /// Longest time between two polls, if the list is polled.
    pub ask_within: Span,
    /// Wait before the list is dialed again.
    pub redial: Span,
    /// Time after which a poll has failed.
    pub patience: Span,
}

/// The contents of a settings file of a planner.
#[derive(Debug, Clone, Deserialize)]
pub struct Planned {
    /// The deployment.
    pub deployment: Deployment,
    /// The address for proxies.
    pub listen: Listen,
    /// The source of the server list.
    pub list: ListSource,
    /// Time after which a probe has failed.
    pub probe_limit: Span,
    /// This controller among its peers, if several controllers serve the fleet.
    pub members: Option<Members>,
}

/// Another controller of the fleet.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSeat {
    /// Name of the controller.
    pub name: String,
    /// Address where other members reach it.
    pub address: SocketAddr,
}

/// The accounts of requests by period, written by one member at a time.
#[derive(Debug, Clone, Deserialize)]
pub struct Accounts {
    /// Folder of the accounts, which all members can reach.
    pub folder: PathBuf,
    /// Length of a period.
    pub period: Span,
    /// Time from the end of a period until its account is written.
    pub slack: Span,
}

/// The configuration versions that members agree on.
#[derive(Debug, Clone, Deserialize)]
pub struct Agree {
    /// Time since the last renewal for which a member acts by a configuration version.
    pub lease: Span,
    /// Interval between two renewals.
    pub renew: Span,
    /// Largest share of the capacity that one version may withdraw unless it is forced.
    pub most_withdrawn: f64,
}

/// The singleton tasks of a fleet, which its members share.
#[derive(Debug, Clone, Deserialize)]
pub struct Duties {
    /// Time since the last renewal for which a member holds a task.
    pub lease: Span,
    /// Interval between two renewals.
    pub renew: Span,
    /// The accounts, if they are written.
    pub accounts: Option<Accounts>,
    /// The configuration versions, if members agree on them.
    pub agree: Option<Agree>,
}

/// This controller as a member of a fleet of controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct Members {
    /// Name of the fleet, the same for all members.
    pub fleet: String,
    /// Name of this member.
    pub name: String,
    /// Address where other members reach this one.
    pub address: SocketAddr,
    /// Address to listen at for members, if it differs.
    pub listen: Option<SocketAddr>,
    /// Folder of this member's state.
    pub folder: PathBuf,
    /// File of the keys that members share, a line each: the first seals, all are accepted.
    pub key_file: PathBuf,
    /// The other members of a new fleet.
    pub peers: Vec<PeerSeat>,
    /// Interval between the leader's heartbeats.
    pub beat: Span,
    /// Time after which a leader that no majority answered sends no more updates.
    pub lease: Span,
    /// Largest relative error of a clock.
    pub drift: f64,
    /// Interval between snapshots.
    pub remember: Span,
    /// Age beyond which learned weights are dropped.
    pub weights_kept: Span,
    /// The singleton tasks, if there are any.
    pub duties: Option<Duties>,
}

impl Deployment {
    /// Reads a deployment from the JSON text that a recording contains. Errors call the text `name`.
    ///
    /// # Errors
    ///
    /// Returns an error with line and field if the text is invalid.
    pub fn parse(text: &str, name: &str) -> Result<Deployment, SettingsError> {
        #[derive(Deserialize)]
        struct Site {
            deployment: Deployment,
        }
        let value = serde_json::from_str(text).map_err(|e| SettingsError::Record(format!("{name}: {e}")))?;
        let Site { deployment } = parse(&nickel(&value), name, "Site")?;
        deployment.check(Path::new(name))?;
        Ok(deployment)
    }

    /// Checks that a recorded deployment could run these settings: settings cannot change what its channel, proxies and
    /// servers are capable of. Errors call these settings `name`.
    ///
    /// # Errors
    ///
    /// Returns the first field beyond the recorded deployment, with both values.
    pub fn check_supported_by(&self, recorded: &Deployment, name: &str) -> Result<(), SettingsError> {
        let (c, s) = (&self.channel, &recorded.channel);
        let unlimited = |messages: usize| if messages == 0 { usize::MAX } else { messages };
        let messages = |c: &Channel| unlimited(c.most_messages) as f64 / c.window.0.as_secs_f64();
        let same_zones = self.zones == recorded.zones;
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
                self.servers.least_connections > recorded.servers.least_connections,
                self.servers.least_connections,
                recorded.servers.least_connections,
            ),
        ];
        let bad = |of: &str, why: String| Err(field(Path::new(name), &format!("deployment.{of}"), why));
        for (of, over, wanted, allowed) in numbers {
            if over {
                return bad(of, format!("{wanted} is beyond what the recorded site allows, {allowed}"));
            }
        }
        if self.proxies.levels && !recorded.proxies.levels {
            return bad("proxies.levels", "the recorded site's proxies obey no levels".into());
        }
        if !same_zones {
            return bad(
                "zones",
                format!("{:?} are not the recorded site's {:?}", self.zones, recorded.zones),
            );
        }
        Ok(())
    }
}

impl Planned {
    /// Reads a settings file. Relative paths in it start at its folder.
    ///
    /// # Errors
    ///
    /// Returns an error with file, line and field if the file is invalid.
    pub fn read(path: &Path) -> Result<Planned, SettingsError> {
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
    fn check(&self, path: &Path) -> Result<(), SettingsError> {
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
    /// Creates settings that allow connections from this machine only.
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

    /// Allows connections from these networks only.
    pub fn allow_only(&mut self, networks: &[IpNet]) {
        self.allowed = networks.to_vec();
    }

    /// Returns the networks that may connect.
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

/// The networks that may connect.
pub struct Allowed {
    v4: IpRange<ipnet::Ipv4Net>,
    v6: IpRange<ipnet::Ipv6Net>,
}

impl Allowed {
    /// Returns true if an address may connect. An IPv4-mapped IPv6 address counts as an IPv4 address.
    pub fn holds(&self, ip: IpAddr) -> bool {
        match ip.to_canonical() {
            IpAddr::V4(ip) => self.v4.contains(&ip),
            IpAddr::V6(ip) => self.v6.contains(&ip),
        }
    }
}

impl ListSource {
    /// Creates a source with short waits, as rehearsals need.
    pub fn new(address: SocketAddr, mode: ListMode, ask_within: Span) -> ListSource {
        let (redial, patience) = (Span(Duration::from_millis(200)), Span(Duration::from_secs(3)));
        ListSource { address, mode, ask_within, redial, patience }
    }

    /// Returns the longest time between two polls; `None` if changes are pushed.
    pub fn ask_within(&self) -> Option<Duration> {
        (self.mode == ListMode::Asked).then_some(self.ask_within.0)
    }
}

impl Deployment {
    /// Checks what the records of the file format cannot express.
    pub(crate) fn check(&self, path: &Path) -> Result<(), SettingsError> {
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
}
