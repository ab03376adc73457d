//! The file that a planner is started with.

use grebespool::host::*;
use grebespool_platform_settings::{PlatformSettings, SettingsError};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {fault}")]
pub struct BadTerms {
    pub field: String,
    pub fault: String,
}

fn bad<T>(field: &str, fault: impl Into<String>) -> Result<T, BadTerms> {
    Err(BadTerms { field: field.into(), fault: fault.into() })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    pub sockets: usize,
}

/// What is read from the file, each part for whoever takes it.
pub struct Terms {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    /// The list as this planner last had it.
    pub known: Option<Value>,
    pub routes: Vec<Route>,
    /// The platform's own names, which pairs of text would not keep.
    pub route_names: Vec<String>,
    pub zones: Vec<String>,
    pub plane: ProxyCapabilities,
    pub graces: Timeouts,
    pub pace: ControlChannelLimits,
    pub sight: Observability,
    /// Names of the load report's figures, in the order of `sight.fields`.
    pub fields: Vec<String>,
}

impl Terms {
    /// Where none is stated: an asking that nobody answers is repeated after half of it. Calls fail long before.
    const ASK_WITHIN: Duration = Duration::from_secs(10);

    /// # Errors
    ///
    /// What cannot be used, and why. Unknown fields are passed over.
    pub fn read(text: &[u8]) -> Result<Self, BadTerms> {
        let file: Value = match serde_json::from_slice(text) {
            Ok(file) => file,
            Err(error) => return bad("the file", format!("is not JSON: {error}")),
        };
        let text = |field: &str| file.get(field).and_then(Value::as_str);
        let address = |field: &str| match text(field) {
            None => bad(field, "is missing or no text"),
            Some(text) => match text.parse::<SocketAddr>() {
                Ok(address) => Ok(address),
                Err(error) => bad(field, format!("{text:?}: {error}")),
            },
        };
        let seed = match text("seed").map(|t| u64::from_str_radix(t, 16)) {
            Some(Ok(seed)) => seed,
            Some(Err(error)) => return bad("seed", error.to_string()),
            None => return bad("seed", "is missing or no text"),
        };
        let Some(settings) = file.get("settings").filter(|s| s.is_object()) else {
            return bad("settings", "is missing or no object");
        };
        let names = |value: Option<&Value>, field: &str| -> Result<Vec<String>, BadTerms> {
            let Some(Value::Array(items)) = value else { return bad(field, "is missing or no list") };
            let name = |v: &Value| v.as_str().map(String::from);
            items.iter().map(name).collect::<Option<_>>().map_or_else(|| bad(field, "holds no names"), Ok)
        };
        let stated = PlatformSettings::from_json(settings);
        let within = |error: SettingsError| BadTerms { field: "settings".into(), fault: error.to_string() };
        let classes = match settings.get("classes") {
            Some(Value::Array(classes)) => {
                classes.iter().map(|c| c.get("name").cloned().unwrap_or_default()).collect()
            }
            _ => return bad("settings.classes", "is missing or no list"),
        };
        let report = settings.get("report").and_then(|r| r.get("fields"));
        let (routes, mut sight) = (stated.routes().map_err(within)?, stated.observability().map_err(within)?);
        // Where the simulator pushes the list, the platform still tells it only to who asks and goes on asking.
        sight.endpoint_poll_interval.get_or_insert(Self::ASK_WITHIN);
        let plane = stated.proxy_capabilities().map_err(within)?;
        if routes.is_empty() {
            return bad("settings.classes", "is empty");
        }
        if plane.zones == 0 {
            return bad("settings.zones", "is empty");
        }
        if plane.slices > 0 {
            return bad("settings.familyInfo.slices", "sites with slices are not planned for yet");
        }
        Ok(Terms {
            name: text("name").unwrap_or("planner").into(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed,
            limits: Limits {
                sockets: file["limits"]["sockets"].as_u64().map_or(256, |n| n.min(1 << 20) as usize),
            },
            known: file.get("known").filter(|k| k.is_object()).cloned(),
            route_names: names(Some(&Value::Array(classes)), "settings.classes")?,
            zones: names(settings.get("zones"), "settings.zones")?,
            fields: if report.is_some() { names(report, "settings.report.fields")? } else { vec![] },
            routes,
            plane,
            graces: stated.timeouts().map_err(within)?,
            pace: stated.control_channel_limits().map_err(within)?,
            sight,
        })
    }
}
