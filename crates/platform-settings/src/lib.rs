//! What a deployment states of itself, turned into what a planner is started with. It comes as `path=value` pairs, a
//! line each, or as nested JSON; one reader serves both.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

use grebespool::host::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// What is wrong with what is stated, and where.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Malformed(pub String);

fn malformed<T>(what: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(what.into()))
}

/// Plain values by their paths; a list of plain ones is joined by commas.
pub struct Stated(BTreeMap<String, String>);

impl Stated {
    pub fn pairs(text: &[u8]) -> Result<Self, Malformed> {
        let Ok(text) = std::str::from_utf8(text) else {
            return malformed("the settings are not text");
        };
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Ok(Stated(pairs.map(|(path, value)| (path.into(), value.into())).collect()))
    }

    pub fn json(nested: &Value) -> Self {
        let mut paths = BTreeMap::new();
        flatten(String::new(), nested, &mut paths);
        Stated(paths)
    }

    fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>, Malformed> {
        match self.0.get(key).map(|v| v.trim()).filter(|v| !v.is_empty()) {
            None => Ok(None),
            Some(v) => match v.parse() {
                Ok(v) => Ok(Some(v)),
                Err(_) => malformed(format!("setting {key} cannot be read: {v}")),
            },
        }
    }

    fn needed<T: FromStr>(&self, key: &str) -> Result<T, Malformed> {
        match self.optional(key)? {
            Some(v) => Ok(v),
            None => malformed(format!("setting {key} is missing")),
        }
    }

    fn span(&self, key: &str) -> Result<Duration, Malformed> {
        let ms: f64 = self.needed(key)?;
        match Duration::try_from_secs_f64(ms / 1000.0) {
            Ok(span) => Ok(span),
            Err(_) => malformed(format!("setting {key} is no span: {ms}")),
        }
    }

    fn list(&self, key: &str) -> impl Iterator<Item = &str> {
        self.0.get(key).map_or("", String::as_str).split(',').filter(|v| !v.is_empty())
    }

    pub fn routes(&self) -> Result<Vec<Route>, Malformed> {
        let count: usize = self.needed("classes.count")?;
        if count > 16 {
            return malformed(format!("setting classes.count is over 16: {count}"));
        }
        let local: Vec<bool> = self.list("familyInfo.staysLocal").map(|v| v == "true").collect();
        (0..count).map(|i| self.route(i, local.get(i).copied().unwrap_or(false))).collect()
    }

    fn route(&self, i: usize, stays_local: bool) -> Result<Route, Malformed> {
        let key = |name: &str| format!("classes.{i}.{name}");
        let effect: String = self.needed(&key("effect"))?;
        let effect = match effect.as_str() {
            "retryable" => Idempotency::Idempotent,
            "dedup" => {
                let scope: Option<String> = self.optional(&key("dedupScope"))?;
                let group = match scope.as_deref() {
                    Some("all") => DeduplicationScope::All,
                    Some("zone") => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Cell,
                };
                Idempotency::Keyed { scope: group, window: self.span(&key("dedupWindowMs"))? }
            }
            "fragile" => Idempotency::NonIdempotent,
            other => return malformed(format!("setting {} is unknown: {other}", key("effect"))),
        };
        Ok(Route {
            priority_weight: self.needed(&key("points"))?,
            latency_objective: self.span(&key("aimMs"))?,
            idempotency: effect,
            zone_local: stays_local,
        })
    }

    pub fn plane(&self) -> Result<ProxyCapabilities, Malformed> {
        let throttle_by: Option<String> = self.optional("familyInfo.throttleBy")?;
        let throttle_by = match throttle_by.as_deref() {
            Some("share") => AdmissionMode::Share,
            Some("rate") => AdmissionMode::Rate,
            None | Some("off") => AdmissionMode::Off,
            // A level of one of them means something else to each.
            Some(other) => return malformed(format!("setting familyInfo.throttleBy is unknown: {other}")),
        };
        Ok(ProxyCapabilities {
            zones: self.list("zones").count(),
            slices: self.optional("familyInfo.slices")?.unwrap_or(0),
            admission_mode: throttle_by,
            attempt_timeout_factor: self.optional("familyInfo.tryFactor")?.unwrap_or(1.0),
            proxies: self.optional("familyInfo.dataPlaneSize")?.unwrap_or(0),
            min_server_connections: self.optional("familyInfo.connsLeast")?.unwrap_or(f64::INFINITY),
        })
    }

    pub fn graces(&self) -> Result<Timeouts, Malformed> {
        Ok(Timeouts {
            warm_up: self.span("invariants.warmUpMs")?,
            removal_is_final: !self.optional("invariants.removalNotBinding")?.unwrap_or(false),
        })
    }

    pub fn pace(&self) -> Result<ControlChannelLimits, Malformed> {
        let most_messages = self.optional("familyInfo.pushesAllowed")?.unwrap_or(0);
        Ok(ControlChannelLimits {
            entries_per_s: self.needed("familyInfo.linesPerS")?,
            max_queued_entries: self.needed("familyInfo.mostWaiting")?,
            message_overhead: self.optional("familyInfo.head")?.unwrap_or(0.0),
            max_messages: most_messages,
            window: match most_messages {
                0 => Duration::ZERO,
                _ => self.span("familyInfo.updateWindowMs")?,
            },
            max_transit: self.span("familyInfo.worstTransitMs")?,
        })
    }

    pub fn sight(&self) -> Result<Observability, Malformed> {
        let mode: Option<String> = self.optional("registryMode")?;
        let how: Option<String> = self.optional("report.how")?;
        let fields = self.list("report.fields").map(|name| match name {
            "busy_reqs" => LoadMetric::InFlight,
            "pending" => LoadMetric::Pending,
            "cpu_share" => LoadMetric::Utilization,
            "svc_ms" => LoadMetric::ServiceTimeMs,
            "served_ps" => LoadMetric::ResponsesPerSecond,
            "failed_ps" => LoadMetric::ErrorsPerSecond,
            _ => LoadMetric::Other,
        });
        Ok(Observability {
            metrics: if how.as_deref() == Some("off") { vec![] } else { fields.collect() },
            report_interval: self.span("familyInfo.cycleMs")?,
            health_checks: self.optional("allowed.probing")?.unwrap_or(false),
            endpoint_poll_interval: match mode.as_deref() {
                Some("on_request") => Some(self.span("invariants.askEveryMs")?),
                _ => None,
            },
        })
    }
}

fn flatten(path: String, value: &Value, paths: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.into() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(below(name), v, paths)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            paths.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| flatten(below(&i.to_string()), v, paths));
        }
        Value::Array(items) => {
            paths.insert(path, items.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        plain_value => {
            paths.insert(path, plain(plain_value));
        }
    }
}

/// As pairs have it: what would part a list or a line stands as an underline.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
