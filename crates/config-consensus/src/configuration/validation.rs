//! Validation of a proposed configuration against the committed one.

use super::{Configuration, Limit, Server, ServerState};
use crate::settings::ValidationRules;
use thiserror::Error;

/// Tolerance for rounding errors in the withdrawn share, as a fraction.
const SHARE_TOLERANCE: f64 = 1e-9;

/// A reason why a configuration is invalid, with the entry that it concerns.
// the texts, also those of `why`, go to other members and must not change; tests of `grebespool-cli` match some of them
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ValidationError {
    /// A value is out of its range.
    #[error("{place} {name:?}: {why}")]
    Value {
        /// Kind of the entry.
        place: &'static str,
        /// Name of the entry.
        name: String,
        /// What is wrong with the value.
        why: String,
    },
    /// An entry refers to another entry that does not exist.
    #[error("{place} {name:?} names {target_kind} {target:?}, which is not there")]
    UnknownReference {
        /// Kind of the entry.
        place: &'static str,
        /// Name of the entry.
        name: String,
        /// Kind of the entry that is referred to.
        target_kind: &'static str,
        /// Name of the entry that is referred to.
        target: String,
    },
    /// The limit with the first name is not among the known limits, whose names are the second value.
    #[error("limit {0:?} is none that this program knows; it knows {1}")]
    UnknownLimit(String, String),
    /// None of the servers is ready; the value is the number of servers.
    #[error("all {0} servers would be closed or draining: no proxy would have a line")]
    NoReadyServer(usize),
    /// More capacity is withdrawn at once than the rules allow.
    #[error(
        "{servers} servers of {withdrawn:.0}% of the capacity would be withdrawn at once, {allowed:.0}% are allowed; \
         {remaining:.0} calls a second of {before:.0} would be left: force it, or do it in parts"
    )]
    TooMuchWithdrawn {
        /// Number of servers that lose capacity.
        servers: usize,
        /// Share of the capacity that would be withdrawn, in per cent.
        withdrawn: f64,
        /// Maximum share that may be withdrawn at once, in per cent.
        allowed: f64,
        /// Remaining capacity, in requests per second.
        remaining: f64,
        /// Capacity before the change, in requests per second.
        before: f64,
    },
}

impl ValidationError {
    fn value(place: &'static str, name: &str, why: impl Into<String>) -> ValidationError {
        ValidationError::Value { place, name: name.into(), why: why.into() }
    }
}

/// Validates a configuration that would replace `old`. `forced` disables the bound on withdrawn capacity.
///
/// # Errors
///
/// Returns all errors, in the order of kinds and names, if the new configuration is invalid.
pub fn validate(
    old: &Configuration,
    new: &Configuration,
    rules: &ValidationRules,
    forced: bool,
) -> Result<(), Vec<ValidationError>> {
    let mut errors = vec![];
    check_routes(new, &mut errors);
    check_limits(old, new, rules, &mut errors);
    check_racks(new, &mut errors);
    check_servers(new, &mut errors);
    if !forced {
        errors.extend(check_withdrawn(old, new, rules.max_withdrawn_share));
    }
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn check_routes(new: &Configuration, errors: &mut Vec<ValidationError>) {
    for (name, route) in &new.routes {
        if !is_not_negative(route.importance) {
            let why = format!("an importance of {}", route.importance);
            errors.push(ValidationError::value("route", name, why));
        }
        if !(0.0..=1.0).contains(&route.max_share) {
            let why = format!("at most {} of its calls; 0 to 1 can be", route.max_share);
            errors.push(ValidationError::value("route", name, why));
        }
    }
}

fn check_limits(
    old: &Configuration,
    new: &Configuration,
    rules: &ValidationRules,
    errors: &mut Vec<ValidationError>,
) {
    for (name, limit) in &new.limits {
        if !rules.known_limits.contains(&name.as_str()) {
            errors.push(ValidationError::UnknownLimit(name.clone(), rules.known_limits.join(", ")));
        }
        if !is_not_negative(limit.value()) {
            errors.push(ValidationError::value("limit", name, format!("{} is no bound", limit.value())));
        }
        // Of an upper and a lower bound neither is stricter, so the intersection of both versions would be undefined.
        let is_upper = |limit: &Limit| matches!(limit, Limit::AtMost(_));
        if old.limits.get(name).is_some_and(|before| is_upper(before) != is_upper(limit)) {
            let why = "it was a bound to the other side: take it away first";
            errors.push(ValidationError::value("limit", name, why));
        }
    }
}

fn check_racks(new: &Configuration, errors: &mut Vec<ValidationError>) {
    for (name, rack) in &new.racks {
        if !is_positive(rack.power_cap) {
            errors.push(ValidationError::value("rack", name, format!("a cap of {} W", rack.power_cap)));
        }
        if rack.site.is_empty() || rack.feed.is_empty() {
            errors.push(ValidationError::value("rack", name, "no site or no feed"));
        }
    }
}

fn check_servers(new: &Configuration, errors: &mut Vec<ValidationError>) {
    for (name, server) in &new.servers {
        if !is_positive(server.capacity) {
            errors.push(ValidationError::value("server", name, format!("a capacity of {}", server.capacity)));
        }
        if !new.racks.contains_key(&server.rack) {
            let (name, target) = (name.clone(), server.rack.clone());
            errors.push(ValidationError::UnknownReference {
                place: "server",
                name,
                target_kind: "rack",
                target,
            });
        }
    }
    if !new.servers.is_empty() && new.ready_servers().next().is_none() {
        errors.push(ValidationError::NoReadyServer(new.servers.len()));
    }
}

/// Returns the capacity that a ready server still has in the new configuration. Servers that replace it do not count: they
/// are not warm yet.
fn remaining_capacity(new: &Configuration, name: &str, before: &Server) -> f64 {
    let after = new.servers.get(name).filter(|server| server.state == ServerState::Ready);
    after.map_or(0.0, |server| server.capacity.min(before.capacity))
}

fn check_withdrawn(old: &Configuration, new: &Configuration, max_share: f64) -> Option<ValidationError> {
    let before = old.ready_capacity();
    let remaining: f64 =
        old.ready_servers().map(|(name, server)| remaining_capacity(new, name, server)).sum();
    let share = if before > 0.0 { 1.0 - remaining / before } else { 0.0 };
    let too_much = share > max_share + SHARE_TOLERANCE;
    if !too_much {
        return None;
    }
    let loses = |(name, server): &(&String, &Server)| remaining_capacity(new, name, server) < server.capacity;
    Some(ValidationError::TooMuchWithdrawn {
        servers: old.ready_servers().filter(loses).count(),
        withdrawn: 100.0 * share,
        allowed: 100.0 * max_share,
        remaining,
        before,
    })
}
