//! A day to rehearse: a deployment's servers, proxies and callers, and the troubles that come over them.

use crate::deployment::{Deployment, ListMode, Span};
use crate::read::{Bad, field, parse, read, with_values};
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
    Silent { servers: usize },
    Slow { servers: usize, factor: f64 },
    Erring { servers: usize },
    Lying { servers: usize, figure: f64 },
    Deploy { servers: usize, every: Span, drain: Span, down: Span },
    PlannerKilled,
    PlannerStalled,
    StreamsBreak { share: f64, mid_frame: bool },
    NoPlanner { share: f64 },
    SlowOrders { delay: Span, bytes_per_s: f64 },
    ListLate { by: Span },
    ListFails,
    ListOld,
    ListTwice,
    ZoneCut { zone: String },
    ZoneLoss { zone: String },
    Burst { factor: f64 },
    Unmarked { proxies: usize },
    Trickle { proxies: usize, bytes_per_s: f64 },
    JoinLoop { proxies: usize, every: Span },
    DoubleJoin { proxies: usize },
    Replaced { servers: usize },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Trouble {
    pub at: Span,
    pub lasts: Span,
    pub what: What,
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
        Day::altered(&format!("({text})"), name, &[])
    }

    /// Reads a day file with values put in place of its own, each `path=value`.
    ///
    /// # Errors
    ///
    /// As for reading it, and a path or value that is none.
    pub fn read_with(path: &Path, values: &[String]) -> Result<Day, Bad> {
        let name = path.display().to_string();
        let whole = path.canonicalize().map_err(|why| Bad::Unreadable { path: name.clone(), why })?;
        let quoted = crate::read::nickel(&serde_json::Value::String(whole.display().to_string()));
        Day::altered(&format!("(import {quoted} as 'Nickel)"), &name, values)
    }

    /// Reads a day from its text with values put in place of its own.
    ///
    /// # Errors
    ///
    /// As for a file.
    pub fn parse_with(text: &str, name: &str, values: &[String]) -> Result<Day, Bad> {
        Day::altered(&format!("({text})"), name, values)
    }

    fn altered(text: &str, name: &str, values: &[String]) -> Result<Day, Bad> {
        let day: Day = parse(&with_values(text, name, values)?, name, "Day")?;
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
            match &trouble.what {
                What::ZoneCut { zone } | What::ZoneLoss { zone } if !zones.contains(zone) => {
                    return bad(format!("{zone:?} is not among the deployment's zones {zones:?}"));
                }
                What::Silent { .. }
                | What::Slow { .. }
                | What::Erring { .. }
                | What::Lying { .. }
                | What::NoPlanner { .. }
                | What::SlowOrders { .. }
                | What::PlannerStalled
                | What::ZoneLoss { .. }
                    if trouble.lasts.0.is_zero() =>
                {
                    return bad("it needs to last".into());
                }
                _ => {}
            }
        }
        Ok(())
    }

    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|s| s.count).sum()
    }

    pub fn proxy_count(&self) -> usize {
        self.proxies.iter().map(|p| p.count).sum()
    }
}
