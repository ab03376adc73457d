//! The start file with which the platform starts a planner.

use crate::discovery::endpoint;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Returns the settings of a small deployment whose servers answer no health checks.
///
/// # Panics
///
/// Panics if the settings in the source tree are not JSON.
pub fn default_settings() -> Value {
    const SETTINGS: &str = include_str!("../../platform-protocol/tests/settings.json");
    let mut settings: Value = serde_json::from_str(SETTINGS).expect("the settings are JSON");
    settings["allowed"]["probing"] = json!(false);
    settings
}

/// Returns the text of a start file for a process that may open `descriptors` file descriptors.
pub fn start_file(listen: SocketAddr, discovery: SocketAddr, descriptors: usize, settings: &Value) -> String {
    json!({
        "name": "p0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": descriptors}, "settings": settings,
        "known": {"version": 0, "full": true, "servers": [endpoint(0, "SERVING")]},
    })
    .to_string()
}
