//! Reads the settings of a deployment, in the formats of the simulator and of the platform, into the settings of a policy.
//!
//! The simulator sends `path=value` pairs, one per line; the platform has nested JSON. [`PlatformSettings`] reads both,
//! ignores unknown keys and does no I/O. Only the module `keys` maps the keys to the policy's terms.
//! The texts of values, such as `retryable`, are part of the wire format like the keys.

mod json;
mod keys;

use grebespool::host::{
    AdmissionMode, ColdStart, ControlChannelLimits, DeduplicationScope, Idempotency, LoadMetric,
    Observability, ProxyCapabilities, Route, Timeouts,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// The largest number of routes, which is the number of bits of a [`RouteSet`](grebespool::host::RouteSet).
const MAX_ROUTES: usize = 16;
const MS_PER_S: f64 = 1000.0;

/// The reason why settings cannot be used. Tests of `grebespool-wirehost` also compare the texts.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The bytes are not UTF-8.
    #[error("the settings are not valid UTF-8")]
    InvalidUtf8,
    /// A key without a default is absent or empty.
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
    /// The value is negative, too large for a duration, or not a number.
    #[error("setting {key} is not a duration in milliseconds: {ms}")]
    InvalidDuration {
        /// The key.
        key: String,
        /// The key's value, in milliseconds.
        ms: String,
    },
    /// The deployment has more routes than a set of routes can hold.
    #[error("setting {key} is above the maximum of {MAX_ROUTES}: {count}")]
    TooManyRoutes {
        /// The key.
        key: &'static str,
        /// The number of routes.
        count: usize,
    },
    /// The value is not one of the values that the key may have.
    #[error("setting {key} has the unknown value {value}")]
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
    /// Reads `path=value` pairs, one per line, and ignores other lines.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::InvalidUtf8`] if `text` is not valid UTF-8.
    pub fn from_pairs(text: &[u8]) -> Result<Self, SettingsError> {
        let text = std::str::from_utf8(text).map_err(|_| SettingsError::InvalidUtf8)?;
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Ok(PlatformSettings { values: pairs.map(|(path, value)| (path.into(), value.into())).collect() })
    }

    /// Reads nested JSON. The path of a value consists of the names of fields and the positions of items, joined by dots.
    pub fn from_json(nested: &Value) -> Self {
        PlatformSettings { values: json::flatten(nested) }
    }

    /// Returns the routes, in their order.
    ///
    /// # Errors
    ///
    /// Returns an error for the first key that is missing or has an invalid value, or if there are too many routes.
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

    /// Returns the capabilities and the number of the proxies.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unreadable`] if a value is not of its key's type, and [`SettingsError::Unknown`] if the
    /// admission mode is unknown.
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

    /// Returns the admission mode. An unknown mode is an error, because the unit of a level depends on the mode.
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

    /// Returns the rules for the start and the removal of servers.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Missing`], [`SettingsError::Unreadable`] or [`SettingsError::InvalidDuration`] for the first
    /// key that cannot be used.
    pub fn timeouts(&self) -> Result<Timeouts, SettingsError> {
        let removal_is_not_final = self.optional(keys::REMOVAL_IS_NOT_FINAL)?.unwrap_or(false);
        Ok(Timeouts {
            warm_up: self.duration(keys::WARM_UP_MS)?,
            removal_is_final: !removal_is_not_final,
            drain_grace: self.optional_duration(keys::DRAIN_GRACE_MS)?,
            max_unserved: self.optional_duration(keys::MAX_UNSERVED_MS)?,
            cold_start: self.cold_start()?,
        })
    }

    /// Returns the load that a server can bear after its start; `None` if it is not stated in full.
    fn cold_start(&self) -> Result<Option<ColdStart>, SettingsError> {
        let capacity = self.optional_ratio(keys::START_CAPACITY)?;
        let overload_multiple = self.optional_ratio(keys::OVERLOAD_MULTIPLE)?;
        Ok(capacity
            .zip(overload_multiple)
            .map(|(capacity, overload_multiple)| ColdStart { capacity, overload_multiple }))
    }

    /// Returns the capacity of the control channel.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Missing`], [`SettingsError::Unreadable`] or [`SettingsError::InvalidDuration`] for the first
    /// key that cannot be used.
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

    /// Returns the sources of information about servers and endpoints.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Missing`], [`SettingsError::Unreadable`] or [`SettingsError::InvalidDuration`] for the first
    /// key that cannot be used.
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

    /// Returns a number that is finite and not negative; `None` if it is absent or empty.
    fn optional_ratio(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        match self.optional::<f64>(key)? {
            Some(value) if !value.is_finite() || value < 0.0 => {
                Err(SettingsError::Unreadable { key: key.into(), value: value.to_string() })
            }
            ratio => Ok(ratio),
        }
    }

    fn required<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.optional(key)?.ok_or_else(|| SettingsError::Missing { key: key.into() })
    }

    /// Returns a duration whose setting is in milliseconds.
    fn duration(&self, key: &str) -> Result<Duration, SettingsError> {
        self.optional_duration(key)?.ok_or_else(|| SettingsError::Missing { key: key.into() })
    }

    /// Returns a duration whose setting is in milliseconds; `None` if it is absent or empty.
    fn optional_duration(&self, key: &str) -> Result<Option<Duration>, SettingsError> {
        let Some(ms) = self.optional::<f64>(key)? else { return Ok(None) };
        let invalid = |_| SettingsError::InvalidDuration { key: key.into(), ms: ms.to_string() };
        Duration::try_from_secs_f64(ms / MS_PER_S).map(Some).map_err(invalid)
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
