//! Days to rehearse: a deployment's servers, proxies and clients, and the troubles that they go through.
//!
//! The names of these types, variants and fields are keys of files, and their Debug form is hashed into the key of a
//! sweep's run (`replay`): none of them may be renamed.

use crate::deployment::{Deployment, ListMode, Span};
use crate::read::{SettingsError, field, imported, parse, read, with_values};
use serde::Deserialize;
use std::path::Path;

/// Limits of the rules that a day is checked against.
#[derive(Debug, Clone, Deserialize)]
pub struct RuleLimits {
    /// Rule 1: the longest time without a usable endpoint.
    pub unserved: Span,
    /// Rule 3: time from learning of a drain until the last attempt may be sent.
    pub grace: Span,
    /// Rule 4: largest load of a warming server, as a multiple of its present capacity.
    pub fall_multiple: f64,
    /// Rule 4: time for which a larger load is allowed.
    pub fall: Span,
    /// Rule 4: time after which a planner that knows of a start is accountable.
    pub knowing: Span,
}

/// The server list of a day.
#[derive(Debug, Clone, Deserialize)]
pub struct DayList {
    /// The way in which the planner learns of changes.
    pub mode: ListMode,
    /// Longest time between two polls, if the list is polled.
    pub ask_within: Span,
    /// Delay of each change on its way to the planner.
    pub late: Span,
}

/// A group of equal servers.
#[derive(Debug, Clone, Deserialize)]
pub struct ServerKind {
    /// Zone of the servers.
    pub zone: String,
    /// Number of servers.
    pub count: usize,
    /// Cores of a server.
    pub cores: usize,
    /// Seconds of work that a core does in a second.
    pub speed: f64,
    /// Requests that may wait at a server.
    pub room: usize,
    /// Connections that a server accepts.
    pub connections: usize,
    /// Work of a new connection.
    pub handshake: Span,
    /// Share of its capacity that a server starts with.
    pub cold: f64,
    /// Share of the work that is saved for a recently served key.
    pub warm_keys: f64,
    /// Interval between two load reports.
    pub refresh: Span,
}

/// The way in which proxies pick an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Picks {
    /// Random, by the weights of the table.
    Weighted,
    /// Round robin.
    Round,
    /// The less loaded of two random endpoints.
    Two,
}

/// A group of equal proxies.
#[derive(Debug, Clone, Deserialize)]
pub struct ProxyKind {
    /// Zone of the proxies.
    pub zone: String,
    /// Number of proxies.
    pub count: usize,
    /// The way in which the proxies pick an endpoint.
    pub picks: Picks,
    /// Endpoints in the initial table.
    pub standing: usize,
    /// Consecutive failures after which a proxy avoids an endpoint; 0 for never.
    pub avoids: u32,
    /// Time for which an endpoint is avoided.
    pub avoids_for: Span,
    /// Longest wait before a proxy dials a planner again.
    pub redial: Span,
}

/// A group of equal clients.
#[derive(Debug, Clone, Deserialize)]
pub struct CallerKind {
    /// Zone of the clients, whose proxies get the requests.
    pub zone: String,
    /// Index of the route in the deployment.
    pub route: usize,
    /// Requests per second.
    pub rate: f64,
    /// Work of a request.
    pub work: Span,
    /// Number of different keys.
    pub keys: u64,
    /// The client's own attempts, the first included.
    pub attempts: u8,
    /// Wait before the next attempt.
    pub wait: Span,
    /// Share of the time limit after which the client gives up an attempt.
    pub patience: f64,
}

/// The kind of a trouble. Servers and proxies are chosen at random.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub enum What {
    /// Servers do not answer.
    Silent {
        /// Number of servers.
        servers: usize,
    },
    /// Servers take longer for each request.
    Slow {
        /// Number of servers.
        servers: usize,
        /// Multiple of the usual time.
        factor: f64,
    },
    /// Servers answer with errors.
    Erring {
        /// Number of servers.
        servers: usize,
    },
    /// Servers hang and continue afterwards.
    Frozen {
        /// Number of servers.
        servers: usize,
    },
    /// Servers report a wrong figure.
    Lying {
        /// Number of servers.
        servers: usize,
        /// The figure reported.
        figure: f64,
    },
    /// Servers drain and restart, one after another.
    Deploy {
        /// Number of servers.
        servers: usize,
        /// Interval between the starts of two restarts.
        every: Span,
        /// Time from the start of the drain until the stop.
        drain: Span,
        /// Time from the stop until the restart.
        down: Span,
    },
    /// The planner is killed and restarted.
    PlannerKilled,
    /// The planner hangs and continues afterwards.
    PlannerStalled,
    /// The leader of several controllers is lost. Another takes over with the snapshot that it has.
    Takeover,
    /// Streams between proxies and the planner break.
    StreamsBreak {
        /// Share of the proxies.
        share: f64,
        /// True if the streams break in the middle of a frame.
        mid_frame: bool,
    },
    /// Proxies cannot reach the planner.
    NoPlanner {
        /// Share of the proxies.
        share: f64,
    },
    /// Updates reach proxies late and slowly.
    SlowOrders {
        /// Additional delay of an update.
        delay: Span,
        /// Bytes per second of a stream.
        bytes_per_s: f64,
    },
    /// Changes of the list reach the planner later.
    ListLate {
        /// Additional delay.
        by: Span,
    },
    /// The list cannot be reached.
    ListFails,
    /// The list is sent once more in its first version.
    ListOld,
    /// The whole list is sent once more in its present version.
    ListTwice,
    /// A zone is cut off from the others.
    ZoneCut {
        /// Name of the zone.
        zone: String,
    },
    /// A zone's servers stop at once and return cold.
    ZoneLoss {
        /// Name of the zone.
        zone: String,
    },
    /// A zone's servers and planners stop at once. The servers return cold.
    SiteLoss {
        /// Name of the zone.
        zone: String,
    },
    /// Clients send more requests.
    Burst {
        /// Multiple of the usual rate.
        factor: f64,
    },
    /// Proxies do not acknowledge updates.
    Unmarked {
        /// Number of proxies.
        proxies: usize,
    },
    /// Proxies read updates slowly.
    Trickle {
        /// Number of proxies.
        proxies: usize,
        /// Bytes per second.
        bytes_per_s: f64,
    },
    /// Further proxies join again and again.
    JoinLoop {
        /// Number of proxies.
        proxies: usize,
        /// Interval between two joins.
        every: Span,
    },
    /// A second process joins under the name of a proxy.
    DoubleJoin {
        /// Number of names.
        proxies: usize,
    },
    /// Servers are replaced by others without a drain.
    Replaced {
        /// Number of servers.
        servers: usize,
    },
}

/// A fault or a disturbance of a day.
#[derive(Debug, Clone, Deserialize)]
pub struct Trouble {
    /// Start, since the start of the day.
    pub at: Span,
    /// Duration; 0 for a trouble that happens at once.
    pub lasts: Span,
    /// The kind of the trouble.
    pub what: What,
}

impl Trouble {
    /// Returns true if both troubles set the same thing and overlap, so that its value after the first end is undefined.
    /// Troubles of random servers or proxies never contradict each other: each takes others, or their effects add up.
    fn contradicts(&self, other: &Trouble) -> bool {
        let same_thing = match (&self.what, &other.what) {
            (What::ZoneCut { zone: a }, What::ZoneCut { zone: b })
            | (
                What::ZoneLoss { zone: a } | What::SiteLoss { zone: a },
                What::ZoneLoss { zone: b } | What::SiteLoss { zone: b },
            ) => a == b,
            (What::Burst { .. }, What::Burst { .. })
            | (What::SlowOrders { .. }, What::SlowOrders { .. })
            | (What::ListLate { .. }, What::ListLate { .. })
            | (What::ListFails, What::ListFails)
            | (
                What::PlannerKilled | What::PlannerStalled | What::Takeover,
                What::PlannerKilled | What::PlannerStalled | What::Takeover,
            ) => true,
            _ => false,
        };
        let within = |t: &Trouble, at: Span| t.at <= at && at.0 < t.at.0 + t.lasts.0;
        same_thing && (within(self, other.at) || within(other, self.at) || self.at == other.at)
    }
}

/// A day to rehearse or to simulate.
#[derive(Debug, Clone, Deserialize)]
pub struct Day {
    /// Name of the day in reports.
    pub name: String,
    /// The deployment.
    pub deployment: Deployment,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time for which clients send requests.
    pub length: Span,
    /// Limits of the rules.
    pub rules: RuleLimits,
    /// The server list.
    pub list: DayList,
    /// The servers.
    pub servers: Vec<ServerKind>,
    /// The proxies.
    pub proxies: Vec<ProxyKind>,
    /// The clients.
    pub callers: Vec<CallerKind>,
    /// The troubles.
    pub troubles: Vec<Trouble>,
}

impl Day {
    /// Reads a day file.
    ///
    /// # Errors
    ///
    /// Returns an error with file, line and field if the file is invalid.
    pub fn read(path: &Path) -> Result<Day, SettingsError> {
        let day: Day = read(path, "Day")?;
        day.check(path)?;
        Ok(day)
    }

    /// Reads a day from its text. Errors call the text `name`.
    ///
    /// # Errors
    ///
    /// Returns an error with line and field if the text is invalid.
    pub fn parse(text: &str, name: &str) -> Result<Day, SettingsError> {
        Day::parse_with(text, name, None, &[])
    }

    /// Reads a day file. The deployment of the settings file, if one is given, replaces the day's. After that, each of
    /// `values`, in the form `path=value`, replaces the value of a field.
    ///
    /// # Errors
    ///
    /// Returns an error if a file, a path or a value is invalid.
    pub fn read_with(path: &Path, settings: Option<&Path>, values: &[String]) -> Result<Day, SettingsError> {
        Day::altered(&imported(path)?, &path.display().to_string(), settings, values)
    }

    /// Reads a day from its text, like [`Day::read_with`] from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text, a path or a value is invalid.
    pub fn parse_with(
        text: &str,
        name: &str,
        settings: Option<&Path>,
        values: &[String],
    ) -> Result<Day, SettingsError> {
        Day::altered(&format!("({text})"), name, settings, values)
    }

    /// Replaces parts of a day and reads the result.
    fn altered(
        text: &str,
        name: &str,
        settings: Option<&Path>,
        values: &[String],
    ) -> Result<Day, SettingsError> {
        let text = match settings {
            // The day's deployment is removed, not merged: fields that the settings omit get their defaults.
            Some(path) => format!(
                "((std.record.remove \"deployment\" {text}) & {{ deployment = ({}).deployment }})",
                imported(path)?
            ),
            None => text.to_string(),
        };
        let day: Day = parse(&with_values(&text, name, values)?, name, "Day")?;
        day.check(Path::new(name))?;
        Ok(day)
    }

    /// Checks what the records of the file format cannot express.
    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        self.deployment.check(path)?;
        self.check_zones(path)?;
        self.check_callers(path)?;
        self.check_troubles(path)
    }

    fn check_zones(&self, path: &Path) -> Result<(), SettingsError> {
        let zones = &self.deployment.zones;
        let placed = (self.servers.iter().map(|s| ("servers", &s.zone)).enumerate())
            .chain(self.proxies.iter().map(|p| ("proxies", &p.zone)).enumerate())
            .chain(self.callers.iter().map(|c| ("callers", &c.zone)).enumerate());
        for (i, (list, zone)) in placed {
            if !zones.contains(zone) {
                let why = format!("{zone:?} is not among the deployment's zones {zones:?}");
                return Err(field(path, &format!("{list}[{i}].zone"), why));
            }
        }
        Ok(())
    }

    fn check_callers(&self, path: &Path) -> Result<(), SettingsError> {
        for (i, caller) in self.callers.iter().enumerate() {
            if caller.route >= self.deployment.routes.len() {
                let why = format!("the deployment states {} routes", self.deployment.routes.len());
                return Err(field(path, &format!("callers[{i}].route"), why));
            }
            if !self.proxies.iter().any(|p| p.zone == caller.zone) {
                let why = format!("no proxy in {:?} takes these calls", caller.zone);
                return Err(field(path, &format!("callers[{i}].zone"), why));
            }
        }
        Ok(())
    }

    fn check_troubles(&self, path: &Path) -> Result<(), SettingsError> {
        let zones = &self.deployment.zones;
        for (i, trouble) in self.troubles.iter().enumerate() {
            let bad = |why: String| Err(field(path, &format!("troubles[{i}]"), why));
            if trouble.at.0 >= self.length.0 {
                return bad("it begins after the day has ended".into());
            }
            if let Some((kind, wanted, there)) = self.too_many(&trouble.what) {
                return bad(format!("it takes {wanted} {kind}; the day has {there}"));
            }
            let earlier = self.troubles[..i].iter().position(|t| t.contradicts(trouble));
            if let Some(other) = earlier {
                return bad(format!(
                    "it contradicts troubles[{other}], which it overlaps: the end of one would end both"
                ));
            }
            match &trouble.what {
                What::ZoneCut { zone } | What::ZoneLoss { zone } | What::SiteLoss { zone }
                    if !zones.contains(zone) =>
                {
                    return bad(format!("{zone:?} is not among the deployment's zones {zones:?}"));
                }
                What::Silent { .. }
                | What::Slow { .. }
                | What::Erring { .. }
                | What::Frozen { .. }
                | What::Lying { .. }
                | What::NoPlanner { .. }
                | What::SlowOrders { .. }
                | What::PlannerStalled
                | What::Takeover
                | What::ZoneLoss { .. }
                | What::SiteLoss { .. }
                    if trouble.lasts.0.is_zero() =>
                {
                    return bad("it needs to last".into());
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Returns the kind, the number wanted and the number in the day if a trouble wants more than there are.
    fn too_many(&self, what: &What) -> Option<(&'static str, usize, usize)> {
        let (kind, wanted, there) = match what {
            What::Silent { servers }
            | What::Slow { servers, .. }
            | What::Erring { servers }
            | What::Frozen { servers }
            | What::Lying { servers, .. }
            | What::Replaced { servers }
            | What::Deploy { servers, .. } => ("servers", *servers, self.server_count()),
            What::Unmarked { proxies } | What::Trickle { proxies, .. } => {
                ("proxies", *proxies, self.proxy_count())
            }
            _ => return None,
        };
        (wanted > there).then_some((kind, wanted, there))
    }

    /// Returns the number of servers.
    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|s| s.count).sum()
    }

    /// Returns the number of proxies.
    pub fn proxy_count(&self) -> usize {
        self.proxies.iter().map(|p| p.count).sum()
    }
}
