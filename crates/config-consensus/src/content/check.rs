//! What an edition must be before it counts.

use super::{Content, Limit, Server, State};
use thiserror::Error;

/// Why an edition does not come to count. Each names the place and the cause.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Fault {
    #[error("{place} {name:?}: {why}")]
    Value { place: &'static str, name: String, why: String },
    #[error("{place} {name:?} names {wants} {what:?}, which is not there")]
    Unknown { place: &'static str, name: String, wants: &'static str, what: String },
    #[error("limit {0:?} is none that this program knows; it knows {1}")]
    Limit(String, String),
    #[error("all {0} servers would be closed or draining: no proxy would have a line")]
    Closed(usize),
    #[error(
        "{servers} servers of {part:.0}% of the capacity would be withdrawn at once, {most:.0}% are allowed; \
         {left:.0} calls a second of {had:.0} would be left: force it, or do it in parts"
    )]
    Withdrawn { servers: usize, part: f64, most: f64, left: f64, had: f64 },
}

fn value(place: &'static str, name: &str, why: impl Into<String>) -> Fault {
    Fault::Value { place, name: name.into(), why: why.into() }
}

/// What is wrong with what would follow on `old`. `limits`: those that this program knows. `most_withdrawn`: the part of
/// the capacity that may go at once, 0 to 1; beyond it only where `forced`.
///
/// # Errors
///
/// Everything that is wrong, by name.
pub fn check(
    old: &Content,
    new: &Content,
    limits: &[&str],
    most_withdrawn: f64,
    forced: bool,
) -> Result<(), Vec<Fault>> {
    let mut faults = vec![];
    let part = |x: f64| (0.0..=1.0).contains(&x);
    for (name, route) in &new.routes {
        if !route.importance.is_finite() || route.importance < 0.0 {
            faults.push(value("route", name, format!("an importance of {}", route.importance)));
        }
        if !part(route.most) {
            faults.push(value("route", name, format!("at most {} of its calls; 0 to 1 can be", route.most)));
        }
    }
    for (name, limit) in &new.limits {
        if !limits.contains(&name.as_str()) {
            faults.push(Fault::Limit(name.clone(), limits.join(", ")));
        }
        if !limit.value().is_finite() || limit.value() < 0.0 {
            faults.push(value("limit", name, format!("{} is no bound", limit.value())));
        }
        // A bound that turns round would have no stricter side while both are about.
        let turned = |old: &Limit| matches!(old, Limit::Most(_)) != matches!(limit, Limit::Most(_));
        if old.limits.get(name).is_some_and(turned) {
            faults.push(value("limit", name, "it was a bound to the other side: take it away first"));
        }
    }
    for (name, rack) in &new.racks {
        if !rack.cap.is_finite() || rack.cap <= 0.0 {
            faults.push(value("rack", name, format!("a cap of {} W", rack.cap)));
        }
        if rack.site.is_empty() || rack.feed.is_empty() {
            faults.push(value("rack", name, "no site or no feed"));
        }
    }
    for (name, server) in &new.servers {
        if !server.capacity.is_finite() || server.capacity <= 0.0 {
            faults.push(value("server", name, format!("a capacity of {}", server.capacity)));
        }
        if !new.racks.contains_key(&server.rack) {
            let what = server.rack.clone();
            faults.push(Fault::Unknown { place: "server", name: name.clone(), wants: "rack", what });
        }
    }
    if !new.servers.is_empty() && new.ready().next().is_none() {
        faults.push(Fault::Closed(new.servers.len()));
    }
    // What came in its place does not count: it is cold, and not there yet.
    let stays = |name: &String, was: &Server| {
        new.servers
            .get(name)
            .filter(|s| s.state == State::Ready)
            .map_or(0.0, |s| s.capacity.min(was.capacity))
    };
    let had = old.capacity();
    let left: f64 = old.ready().map(|(name, s)| stays(name, s)).sum();
    let withdrawn = if had > 0.0 { 1.0 - left / had } else { 0.0 };
    if !forced && withdrawn > most_withdrawn + 1e-9 {
        let servers = old.ready().filter(|(name, s)| stays(name, s) < s.capacity).count();
        let (part, most) = (100.0 * withdrawn, 100.0 * most_withdrawn);
        faults.push(Fault::Withdrawn { servers, part, most, left, had });
    }
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}
