//! A day to rehearse: a deployment's servers, proxies and callers, and the troubles that come over them.

use crate::deployment::{Deployment, ListMode, Span};
use crate::read::{Bad, field, imported, parse, read, with_values};
use serde::Deserialize;
use std::path::Path;

#[derive(Debug, Clone, Deserialize)]
pub struct RuleLimits {
    pub unserved: Span,
    pub grace: Span,
    pub fall_multiple: f64,
    pub fall: Span,
    pub knowing: Span,
}

#[derive(Debug, Clone, Deserialize)]
pub struct DayList {
    pub mode: ListMode,
    pub ask_within: Span,
    pub late: Span,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ServerKind {
    pub zone: String,
    pub count: usize,
    pub cores: usize,
    pub speed: f64,
    pub room: usize,
    pub connections: usize,
    pub handshake: Span,
    pub cold: f64,
    pub warm_keys: f64,
    pub refresh: Span,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Picks {
    Weighted,
    Round,
    Two,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ProxyKind {
    pub zone: String,
    pub count: usize,
    pub picks: Picks,
    pub standing: usize,
    pub avoids: u32,
    pub avoids_for: Span,
    pub redial: Span,
}

#[derive(Debug, Clone, Deserialize)]
pub struct CallerKind {
    pub zone: String,
    pub route: usize,
    pub rate: f64,
    pub work: Span,
    pub keys: u64,
    pub attempts: u8,
    pub wait: Span,
    pub patience: f64,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub enum What {
    Silent {
        servers: usize,
    },
    Slow {
        servers: usize,
        factor: f64,
    },
    Erring {
        servers: usize,
    },
    Frozen {
        servers: usize,
    },
    Lying {
        servers: usize,
        figure: f64,
    },
    Deploy {
        servers: usize,
        every: Span,
        drain: Span,
        down: Span,
    },
    PlannerKilled,
    PlannerStalled,
    /// The leader of several controllers is lost, and after so long another plans with what it remembers.
    Takeover,
    StreamsBreak {
        share: f64,
        mid_frame: bool,
    },
    NoPlanner {
        share: f64,
    },
    SlowOrders {
        delay: Span,
        bytes_per_s: f64,
    },
    ListLate {
        by: Span,
    },
    ListFails,
    ListOld,
    ListTwice,
    ZoneCut {
        zone: String,
    },
    ZoneLoss {
        zone: String,
    },
    /// A zone's servers go at once and come back cold, and the planners that are there go with them.
    SiteLoss {
        zone: String,
    },
    Burst {
        factor: f64,
    },
    Unmarked {
        proxies: usize,
    },
    Trickle {
        proxies: usize,
        bytes_per_s: f64,
    },
    JoinLoop {
        proxies: usize,
        every: Span,
    },
    DoubleJoin {
        proxies: usize,
    },
    Replaced {
        servers: usize,
    },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Trouble {
    pub at: Span,
    pub lasts: Span,
    pub what: What,
}

impl Trouble {
    /// Whether both set one thing at the same time, so that what it is between their ends is anybody's guess.
    /// Troubles that take servers or proxies by chance never do: each takes others, or adds to what there is.
    fn contradicts(&self, other: &Trouble) -> bool {
        let one = match (&self.what, &other.what) {
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
        one && (within(self, other.at) || within(other, self.at) || self.at == other.at)
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct Day {
    pub name: String,
    pub deployment: Deployment,
    pub seed: u64,
    pub length: Span,
    pub rules: RuleLimits,
    pub list: DayList,
    pub servers: Vec<ServerKind>,
    pub proxies: Vec<ProxyKind>,
    pub callers: Vec<CallerKind>,
    pub troubles: Vec<Trouble>,
}

impl Day {
    /// Reads a day file.
    ///
    /// # Errors
    ///
    /// What is wrong, by file, line and field.
    pub fn read(path: &Path) -> Result<Day, Bad> {
        let day: Day = read(path, "Day")?;
        day.check(path)?;
        Ok(day)
    }

    /// Reads a day from its text. `name` stands for it in what is said of faults.
    ///
    /// # Errors
    ///
    /// What is wrong, by line and field.
    pub fn parse(text: &str, name: &str) -> Result<Day, Bad> {
        Day::parse_with(text, name, None, &[])
    }

    /// Reads a day file with the deployment of a settings file, if one is named, and then values, each
    /// `path=value`, put in place of its own.
    ///
    /// # Errors
    ///
    /// As for reading it, and a path or value that is none.
    pub fn read_with(path: &Path, settings: Option<&Path>, values: &[String]) -> Result<Day, Bad> {
        Day::altered(&imported(path)?, &path.display().to_string(), settings, values)
    }

    /// Reads a day from its text, as [`Day::read_with`] does from its file.
    ///
    /// # Errors
    ///
    /// As for a file.
    pub fn parse_with(
        text: &str,
        name: &str,
        settings: Option<&Path>,
        values: &[String],
    ) -> Result<Day, Bad> {
        Day::altered(&format!("({text})"), name, settings, values)
    }

    fn altered(text: &str, name: &str, settings: Option<&Path>, values: &[String]) -> Result<Day, Bad> {
        let text = match settings {
            // Taken out first: what the settings leave to its default must not be the day's.
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

    fn check(&self, path: &Path) -> Result<(), Bad> {
        self.deployment.check(path)?;
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

    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|s| s.count).sum()
    }

    pub fn proxy_count(&self) -> usize {
        self.proxies.iter().map(|p| p.count).sum()
    }
}
