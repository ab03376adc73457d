//! The settings of a deployment as the simulator and the platform state them, read into what a policy is created with.
//!
//! They come as `path=value` pairs, a line each, or as nested JSON; one reader serves both. It does no I/O and decides
//! nothing; keys that it does not know are ignored. The keys are mapped to the policy's terms in `keys`, and nowhere else.

mod json;
mod keys;

use grebespool::host::{
    AdmissionMode, ControlChannelLimits, DeduplicationScope, Idempotency, LoadMetric, Observability,
    ProxyCapabilities, Route, Timeouts,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// A [`RouteSet`](grebespool::host::RouteSet) has this many bits.
const MAX_ROUTES: usize = 16;
const MS_PER_S: f64 = 1000.0;

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The bytes are not UTF-8.
    #[error("the settings are not text")]
    NotText,
    /// A key that has no default is absent or empty.
    #[error("setting {key} is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// The value is not of the key's type.
    #[error("setting {key} cannot be read: {value}")]
    Unreadable {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// The value is negative, or no number.
    #[error("setting {key} is no span: {ms}")]
    NoDuration {
        /// The key.
        key: String,
        /// Its value, in milliseconds.
        ms: String,
    },
    /// More routes than a set of routes can hold.
    #[error("setting {key} is over {MAX_ROUTES}: {count}")]
    TooManyRoutes {
        /// The key.
        key: &'static str,
        /// The number of routes.
        count: usize,
    },
    /// The value is none of those that the key may have.
    #[error("setting {key} is unknown: {value}")]
    Unknown {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
}

/// The settings of a deployment: plain values by the paths of their keys. A list of plain values is joined by commas.
pub struct PlatformSettings {
    values: BTreeMap<String, String>,
}

impl PlatformSettings {
    /// Reads `path=value` pairs, a line each; other lines are ignored.
    ///
    /// # Errors
    ///
    /// [`SettingsError::NotText`].
    pub fn from_pairs(text: &[u8]) -> Result<Self, SettingsError> {
        let text = std::str::from_utf8(text).map_err(|_| SettingsError::NotText)?;
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Ok(PlatformSettings { values: pairs.map(|(path, value)| (path.into(), value.into())).collect() })
    }

    /// Reads nested JSON: the names of fields and the positions of items, joined by dots, are the path of a value.
    pub fn from_json(nested: &Value) -> Self {
        PlatformSettings { values: json::flatten(nested) }
    }

    /// The routes, in their order.
    ///
    /// # Errors
    ///
    /// Any but [`SettingsError::NotText`], for the first key that cannot be used.
    pub fn routes(&self) -> Result<Vec<Route>, SettingsError> {
        let count: usize = self.required(keys::ROUTE_COUNT)?;
        if count > MAX_ROUTES {
            return Err(SettingsError::TooManyRoutes { key: keys::ROUTE_COUNT, count });
        }
        let zone_local: Vec<bool> = self.list(keys::ZONE_LOCAL).map(|value| value == "true").collect();
        (0..count).map(|route| self.route(route, zone_local.get(route).copied().unwrap_or(false))).collect()
    }

    fn route(&self, route: usize, zone_local: bool) -> Result<Route, SettingsError> {
        Ok(Route {
            priority_weight: self.required(&keys::of_route(route, keys::PRIORITY_WEIGHT))?,
            latency_objective: self.duration(&keys::of_route(route, keys::LATENCY_OBJECTIVE_MS))?,
            idempotency: self.idempotency(route)?,
            zone_local,
        })
    }

    fn idempotency(&self, route: usize) -> Result<Idempotency, SettingsError> {
        let key = keys::of_route(route, keys::IDEMPOTENCY);
        let value: String = self.required(&key)?;
        match value.as_str() {
            "retryable" => Ok(Idempotency::Idempotent),
            "dedup" => {
                let scope = self.deduplication_scope(route)?;
                let window = self.duration(&keys::of_route(route, keys::DEDUPLICATION_WINDOW_MS))?;
                Ok(Idempotency::Keyed { scope, window })
            }
            "fragile" => Ok(Idempotency::NonIdempotent),
            _ => Err(SettingsError::Unknown { key, value }),
        }
    }

    fn deduplication_scope(&self, route: usize) -> Result<DeduplicationScope, SettingsError> {
        let scope: Option<String> = self.optional(&keys::of_route(route, keys::DEDUPLICATION_SCOPE))?;
        Ok(match scope.as_deref() {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        })
    }

    /// What the proxies are able to do.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Unreadable`], and [`SettingsError::Unknown`] for the admission mode.
    pub fn proxy_capabilities(&self) -> Result<ProxyCapabilities, SettingsError> {
        Ok(ProxyCapabilities {
            zones: self.list(keys::ZONES).count(),
            slices: self.optional(keys::SLICES)?.unwrap_or(0),
            admission_mode: self.admission_mode()?,
            attempt_timeout_factor: self.optional(keys::ATTEMPT_TIMEOUT_FACTOR)?.unwrap_or(1.0),
            proxies: self.optional(keys::PROXIES)?.unwrap_or(0),
            min_server_connections: self.optional(keys::MIN_SERVER_CONNECTIONS)?.unwrap_or(f64::INFINITY),
        })
    }

    /// An unknown mode is an error: a level means something else in each.
    fn admission_mode(&self) -> Result<AdmissionMode, SettingsError> {
        let mode: Option<String> = self.optional(keys::ADMISSION_MODE)?;
        match mode.as_deref() {
            Some("share") => Ok(AdmissionMode::Share),
            Some("rate") => Ok(AdmissionMode::Rate),
            None | Some("off") => Ok(AdmissionMode::Off),
            Some(value) => {
                Err(SettingsError::Unknown { key: keys::ADMISSION_MODE.into(), value: value.into() })
            }
        }
    }

    /// The deadlines around the start and the removal of servers.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`], [`SettingsError::Unreadable`] and [`SettingsError::NoDuration`].
    pub fn timeouts(&self) -> Result<Timeouts, SettingsError> {
        let removal_is_not_final = self.optional(keys::REMOVAL_IS_NOT_FINAL)?.unwrap_or(false);
        Ok(Timeouts { warm_up: self.duration(keys::WARM_UP_MS)?, removal_is_final: !removal_is_not_final })
    }

    /// The capacity of the control channel.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`], [`SettingsError::Unreadable`] and [`SettingsError::NoDuration`].
    pub fn control_channel_limits(&self) -> Result<ControlChannelLimits, SettingsError> {
        let max_messages = self.optional(keys::MAX_MESSAGES)?.unwrap_or(0);
        Ok(ControlChannelLimits {
            entries_per_s: self.required(keys::ENTRIES_PER_S)?,
            max_queued_entries: self.required(keys::MAX_QUEUED_ENTRIES)?,
            message_overhead: self.optional(keys::MESSAGE_OVERHEAD)?.unwrap_or(0.0),
            max_messages,
            window: match max_messages {
                0 => Duration::ZERO,
                _ => self.duration(keys::MESSAGE_WINDOW_MS)?,
            },
            max_transit: self.duration(keys::MAX_TRANSIT_MS)?,
        })
    }

    /// What the policy can observe.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`], [`SettingsError::Unreadable`] and [`SettingsError::NoDuration`].
    pub fn observability(&self) -> Result<Observability, SettingsError> {
        let list_mode: Option<String> = self.optional(keys::ENDPOINT_LIST_MODE)?;
        let report_mode: Option<String> = self.optional(keys::REPORT_MODE)?;
        let metrics = self.list(keys::REPORT_METRICS).map(load_metric);
        Ok(Observability {
            metrics: if report_mode.as_deref() == Some("off") { vec![] } else { metrics.collect() },
            report_interval: self.duration(keys::REPORT_INTERVAL_MS)?,
            health_checks: self.optional(keys::HEALTH_CHECKS)?.unwrap_or(false),
            endpoint_poll_interval: match list_mode.as_deref() {
                Some("on_request") => Some(self.duration(keys::ENDPOINT_POLL_INTERVAL_MS)?),
                _ => None,
            },
        })
    }

    fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.values.get(key).map(|value| value.trim()).filter(|value| !value.is_empty())
        else {
            return Ok(None);
        };
        let unreadable = |_| SettingsError::Unreadable { key: key.into(), value: value.into() };
        value.parse().map(Some).map_err(unreadable)
    }

    fn required<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.optional(key)?.ok_or_else(|| SettingsError::Missing { key: key.into() })
    }

    /// A duration that is stated in milliseconds.
    fn duration(&self, key: &str) -> Result<Duration, SettingsError> {
        let ms: f64 = self.required(key)?;
        let no_duration = |_| SettingsError::NoDuration { key: key.into(), ms: ms.to_string() };
        Duration::try_from_secs_f64(ms / MS_PER_S).map_err(no_duration)
    }

    fn list(&self, key: &str) -> impl Iterator<Item = &str> {
        self.values.get(key).map_or("", String::as_str).split(',').filter(|value| !value.is_empty())
    }
}

fn load_metric(name: &str) -> LoadMetric {
    match name {
        "busy_reqs" => LoadMetric::InFlight,
        "pending" => LoadMetric::Pending,
        "cpu_share" => LoadMetric::Utilization,
        "svc_ms" => LoadMetric::ServiceTimeMs,
        "served_ps" => LoadMetric::ResponsesPerSecond,
        "failed_ps" => LoadMetric::ErrorsPerSecond,
        _ => LoadMetric::Other,
    }
}
