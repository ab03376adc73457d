//! The file that a planner is started with.

use crate::connections::Connections;
use crate::wire::names::config as names;
use grebespool::host::{ControlChannelLimits, Observability, ProxyCapabilities, Route, Timeouts};
use grebespool_platform_settings::{PlatformSettings, SettingsError};
use serde_json::Value;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::time::Duration;
use thiserror::Error;

/// Why a start file cannot be used. Operators read the texts at the start.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// It is not JSON.
    #[error("the file: is not JSON: {0}")]
    NotJson(String),
    /// A field that holds text is missing.
    #[error("{0}: is missing or no text")]
    NoText(&'static str),
    /// A field that holds an object is missing.
    #[error("{0}: is missing or no object")]
    NoObject(&'static str),
    /// A field that holds a list is missing.
    #[error("{0}: is missing or no list")]
    NoList(&'static str),
    /// A list holds something else than names.
    #[error("{0}: holds no names")]
    NoNames(&'static str),
    /// A list that needs an entry has none.
    #[error("{0}: is empty")]
    Empty(&'static str),
    /// A text is no address with a port.
    #[error("{field}: {text:?}: {error}")]
    Address {
        /// The name of the field.
        field: &'static str,
        /// What it holds.
        text: String,
        /// What is wrong with it.
        error: AddrParseError,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed: {0}")]
    Seed(ParseIntError),
    /// A setting is missing or wrong.
    #[error("settings: {0}")]
    Setting(SettingsError),
    /// The deployment has slices.
    #[error("settings.familyInfo.slices: sites with slices are not planned for yet")]
    Slices,
}

/// What a planner is started with.
pub struct PlannerConfig {
    /// The planner's name.
    pub name: String,
    /// The address to listen at.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The seed of the policy's random draws.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The endpoint list as this planner last had it, as JSON.
    pub known_endpoints: Option<Value>,
    /// The routes, in the order of `route_names`.
    pub routes: Vec<Route>,
    /// The platform's names of the routes.
    pub route_names: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// What the proxies are able to do, and how many there are.
    pub proxy_capabilities: ProxyCapabilities,
    /// Time limits of the deployment.
    pub timeouts: Timeouts,
    /// Limits of the channel to the proxies.
    pub channel: ControlChannelLimits,
    /// What can be observed of the servers.
    pub observability: Observability,
    /// Names of the load report's metrics, in the order of `observability.metrics`.
    pub metric_names: Vec<String>,
}

impl PlannerConfig {
    /// How often the list is asked for at least, where the settings do not say. The policy asks again after half of it.
    const DEFAULT_LIST_INTERVAL: Duration = Duration::from_secs(10);
    /// Descriptors that the process may hold where the file does not say.
    const DEFAULT_DESCRIPTORS: usize = 256;
    /// More descriptors than this are never used.
    const MAX_DESCRIPTORS: u64 = 1 << 20;

    /// Parses the file. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Which field cannot be used, and why.
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

    /// Connections that may be open without a join: what is left of the descriptors after `reserved` ones, the proxies
    /// and the collectors.
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

fn array<'a>(value: Option<&'a Value>, field: &'static str) -> Result<&'a [Value], ConfigError> {
    value.and_then(Value::as_array).map(Vec::as_slice).ok_or(ConfigError::NoList(field))
}

/// The names as they are; the flattened settings would not keep every one of them.
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

/// Where the simulator pushes the list, the platform tells it only to who asks and goes on asking.
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
