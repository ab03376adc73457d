//! Parsing of the file that a planner is started with (the start file).

use crate::connections::Connections;
use crate::read_budget::ReadLimits;
use crate::wire::names::config as names;
use grebespool::host::{ControlChannelLimits, Observability, ProxyCapabilities, Route, Timeouts};
use grebespool::policy;
use grebespool_platform_settings::{PlatformSettings, SettingsError};
use serde_json::Value;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::time::Duration;
use thiserror::Error;

/// The reason why a start file cannot be used. Operators read the text when a planner does not start, and the
/// launcher's tests match parts of the texts.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The file is not JSON.
    #[error("the file: is not JSON: {0}")]
    NotJson(String),
    /// A field that must hold a string is missing or has another type.
    #[error("{0}: is missing or not a string")]
    NoText(&'static str),
    /// A field that must hold an object is missing or has another type.
    #[error("{0}: is missing or not an object")]
    NoObject(&'static str),
    /// A field that must hold an array is missing or has another type.
    #[error("{0}: is missing or not an array")]
    NoList(&'static str),
    /// An array has an element without a name.
    #[error("{0}: expected a name in each element")]
    NoNames(&'static str),
    /// An array that needs at least one element has no element.
    #[error("{0}: expected at least one element, found an empty array")]
    Empty(&'static str),
    /// A string is not an IP address with a port.
    #[error("{field}: expected an IP address with a port, found {text:?}: {error}")]
    Address {
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        text: String,
        /// The error of the address parser.
        error: AddrParseError,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed: {0}")]
    Seed(ParseIntError),
    /// A setting is missing or invalid.
    #[error("settings: {0}")]
    Setting(SettingsError),
    /// The settings of the deployment have slices.
    #[error("settings.familyInfo.slices: deployments with slices are not supported yet")]
    Slices,
}

/// The parsed start file of a planner.
pub struct PlannerConfig {
    /// The name of the planner.
    pub name: String,
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the policy's random draws.
    pub seed: u64,
    /// The number of descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The memory that the process may take, in bytes.
    pub max_memory: usize,
    /// The endpoint list that this planner last knew, as JSON.
    pub known_endpoints: Option<Value>,
    /// The routes, in the order of `route_names`. A route's position is its id.
    pub routes: Vec<Route>,
    /// The platform's names of the routes.
    pub route_names: Vec<String>,
    /// The names of the zones. A zone's position is its id.
    pub zones: Vec<String>,
    /// The capabilities of the proxies, and their number.
    pub proxy_capabilities: ProxyCapabilities,
    /// The time limits of the deployment.
    pub timeouts: Timeouts,
    /// The limits of the channel to the proxies.
    pub channel: ControlChannelLimits,
    /// The signals that the deployment offers about its servers: load metrics, health checks, endpoint lists.
    pub observability: Observability,
    /// The names of the load report's metrics, in the order of `observability.metrics`.
    pub metric_names: Vec<String>,
}

impl PlannerConfig {
    /// The longest interval between two requests for the endpoint list if the settings give no interval. The policy
    /// requests the list again after half of this interval.
    const DEFAULT_LIST_INTERVAL: Duration = Duration::from_secs(10);
    /// The number of descriptors that the process may hold if the file gives no number.
    const DEFAULT_DESCRIPTORS: usize = 256;
    /// The memory in MB that the process may take if the file gives none.
    const DEFAULT_MEMORY_MB: u64 = 32;
    /// The largest accepted memory in MB; a larger one in the file is reduced to this one.
    const MAX_MEMORY_MB: u64 = 1 << 20;
    /// The part of the memory that the listed servers may take.
    const SERVERS_PART: usize = 2;
    /// The memory that a listed server may take in bytes beside the reports on it: its entries in the list, pools and tables.
    const BYTES_PER_LISTED_SERVER: usize = 2 << 10;
    /// The part of the memory that an answer of discovery may take; several may be pending.
    const LIST_PART: usize = 32;
    /// The longest answer of discovery in bytes, whatever the memory. A list of some 10,000 servers fits.
    const MAX_LIST_LENGTH: usize = 2 << 20;
    /// The largest accepted number of descriptors; a larger number in the file is reduced to this one.
    const MAX_DESCRIPTORS: u64 = 1 << 20;

    /// Parses the file and ignores unknown fields.
    ///
    /// # Errors
    ///
    /// Returns the first field that cannot be used, and the reason.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let file: Value =
            serde_json::from_slice(text).map_err(|error| ConfigError::NotJson(error.to_string()))?;
        let seed = seed(&file)?;
        let settings = settings(&file)?;
        let route_entries = array(settings.get(names::ROUTES), "settings.classes")?;
        let deployment = PlatformSettings::from_json(settings);
        let routes = deployment.routes().map_err(ConfigError::Setting)?;
        let observability = observability(&deployment)?;
        let proxy_capabilities = proxy_capabilities(&deployment, &routes)?;
        Ok(PlannerConfig {
            name: text_field(&file, names::NAME).unwrap_or("planner").into(),
            listen: address(&file, names::LISTEN)?,
            discovery: address(&file, names::DISCOVERY)?,
            seed,
            max_descriptors: max_descriptors(&file),
            max_memory: max_memory(&file),
            known_endpoints: file.get(names::KNOWN_ENDPOINTS).filter(|list| list.is_object()).cloned(),
            routes,
            route_names: route_names(route_entries)?,
            zones: name_list(settings.get(names::ZONES), "settings.zones")?,
            proxy_capabilities,
            metric_names: metric_names(settings)?,
            timeouts: deployment.timeouts().map_err(ConfigError::Setting)?,
            channel: deployment.control_channel_limits().map_err(ConfigError::Setting)?,
            observability,
        })
    }

    /// Returns the largest number of servers that fit into the memory, each with the reports that the policy needs.
    pub fn max_servers(&self) -> usize {
        self.max_memory / Self::SERVERS_PART / (Self::BYTES_PER_LISTED_SERVER + self.min_report_bytes())
    }

    /// Returns the memory that the reports on all servers may take, in bytes.
    pub fn report_memory(&self) -> usize {
        self.max_servers() * self.min_report_bytes()
    }

    fn min_report_bytes(&self) -> usize {
        policy::min_report_bytes(&self.observability, self.zones.len())
    }

    /// Returns the longest accepted answer of discovery, in bytes.
    pub fn max_list_length(&self) -> usize {
        (self.max_memory / Self::LIST_PART).min(Self::MAX_LIST_LENGTH)
    }

    /// Returns the limits of the bytes that are held for received messages.
    pub fn read_limits(&self) -> ReadLimits {
        ReadLimits::new(self.max_memory, self.max_descriptors, Connections::MAX_MESSAGE)
    }

    /// Returns the number of connections that may be open without having joined: the descriptors that are left after
    /// `reserved` descriptors and those for the proxies and the collectors.
    pub fn unknown_peer_limit(&self, reserved: usize) -> usize {
        let collectors = self.zones.len() * Connections::COLLECTORS_PER_ZONE;
        self.max_descriptors.saturating_sub(reserved + collectors + self.proxy_capabilities.proxies)
    }
}

fn text_field<'a>(file: &'a Value, field: &str) -> Option<&'a str> {
    file.get(field).and_then(Value::as_str)
}

fn address(file: &Value, field: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = text_field(file, field).ok_or(ConfigError::NoText(field))?;
    text.parse().map_err(|error| ConfigError::Address { field, text: text.into(), error })
}

fn seed(file: &Value) -> Result<u64, ConfigError> {
    let text = text_field(file, names::SEED).ok_or(ConfigError::NoText(names::SEED))?;
    u64::from_str_radix(text, 16).map_err(ConfigError::Seed)
}

fn settings(file: &Value) -> Result<&Value, ConfigError> {
    let settings = file.get(names::SETTINGS).filter(|settings| settings.is_object());
    settings.ok_or(ConfigError::NoObject(names::SETTINGS))
}

fn max_descriptors(file: &Value) -> usize {
    file[names::LIMITS][names::DESCRIPTORS].as_u64().map_or(PlannerConfig::DEFAULT_DESCRIPTORS, |count| {
        count.min(PlannerConfig::MAX_DESCRIPTORS) as usize
    })
}

fn max_memory(file: &Value) -> usize {
    let limit = file[names::LIMITS][names::MEMORY_MB].as_u64().filter(|limit| *limit > 0);
    let limit = limit.unwrap_or(PlannerConfig::DEFAULT_MEMORY_MB).min(PlannerConfig::MAX_MEMORY_MB);
    (limit << 20) as usize
}

fn array<'a>(value: Option<&'a Value>, field: &'static str) -> Result<&'a [Value], ConfigError> {
    value.and_then(Value::as_array).map(Vec::as_slice).ok_or(ConfigError::NoList(field))
}

/// Reads the route names from the JSON settings: the flattened settings do not preserve every name.
fn route_names(routes: &[Value]) -> Result<Vec<String>, ConfigError> {
    let names: Option<Vec<String>> =
        routes.iter().map(|route| text_field(route, names::ROUTE_NAME).map(String::from)).collect();
    names.ok_or(ConfigError::NoNames("settings.classes"))
}

fn name_list(value: Option<&Value>, field: &'static str) -> Result<Vec<String>, ConfigError> {
    let items = array(value, field)?;
    let names: Option<Vec<String>> = items.iter().map(|item| item.as_str().map(String::from)).collect();
    names.ok_or(ConfigError::NoNames(field))
}

fn metric_names(settings: &Value) -> Result<Vec<String>, ConfigError> {
    match settings.get(names::REPORT).and_then(|report| report.get(names::METRICS)) {
        None => Ok(vec![]),
        metrics => name_list(metrics, "settings.report.fields"),
    }
}

/// Returns the observability of the deployment, always with an interval for requests of the endpoint list: unlike the
/// simulator, the platform never pushes the list, so the planner has to poll in every registry mode.
fn observability(deployment: &PlatformSettings) -> Result<Observability, ConfigError> {
    let mut observability = deployment.observability().map_err(ConfigError::Setting)?;
    observability.endpoint_poll_interval.get_or_insert(PlannerConfig::DEFAULT_LIST_INTERVAL);
    Ok(observability)
}

fn proxy_capabilities(
    deployment: &PlatformSettings,
    routes: &[Route],
) -> Result<ProxyCapabilities, ConfigError> {
    let proxies = deployment.proxy_capabilities().map_err(ConfigError::Setting)?;
    if routes.is_empty() {
        return Err(ConfigError::Empty("settings.classes"));
    }
    if proxies.zones == 0 {
        return Err(ConfigError::Empty("settings.zones"));
    }
    if proxies.slices > 0 {
        return Err(ConfigError::Slices);
    }
    Ok(proxies)
}
