//! Settings files written from values, for tools that start planners.
//!
//! `format!("{:?}")` writes variants under their names, which the records of the file format expect.

use crate::deployment::{Deployment, ListSource, Span};
use crate::read::nickel;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

impl Span {
    /// Formats the duration in microseconds, as settings files accept it.
    fn text(&self) -> String {
        format!("{}us", self.0.as_micros())
    }
}

/// Returns a deployment as JSON.
fn deployment_value(deployment: &Deployment) -> Value {
    let d = deployment;
    let route = |r: &crate::Route| {
        json!({
            "name": r.name, "importance": r.importance, "slo": r.slo.text(),
            "time_limit": r.time_limit.text(), "repeats": format!("{:?}", r.repeats),
            "group": format!("{:?}", r.group), "window": r.window.text(), "stays_local": r.stays_local,
        })
    };
    let routes: Vec<Value> = d.routes.iter().map(route).collect();
    let fields: Vec<String> = d.reports.fields.iter().map(|f| format!("{f:?}")).collect();
    let (p, s, c, r, w) = (&d.proxies, &d.servers, &d.channel, &d.reports, &d.sites);
    json!({
        "zones": d.zones, "routes": routes, "slices": d.slices,
        "proxies": {
            "expected": p.expected, "most": p.most, "joins": p.joins, "levels": p.levels,
            "try_factor": p.try_factor,
        },
        "servers": {
            "most": s.most, "least_connections": s.least_connections, "warm_up": s.warm_up.text(),
            "gone_binds": s.gone_binds,
        },
        "channel": {
            "lines_per_s": c.lines_per_s, "most_waiting": c.most_waiting, "head": c.head,
            "most_messages": c.most_messages, "window": c.window.text(),
            "worst_transit": c.worst_transit.text(),
        },
        "reports": { "fields": fields, "cycle": r.cycle.text(), "probing": r.probing },
        "sites": {
            "watched": w.watched, "window": w.window.text(), "confirm": w.confirm.text(), "fill": w.fill, "calm": w.calm.text(),
        },
    })
}

/// Returns a deployment as JSON text, which is valid as a part of a settings or day file.
pub fn deployment_text(deployment: &Deployment) -> String {
    json!({ "deployment": deployment_value(deployment) }).to_string()
}

/// Returns the text of a settings file. `stall` is the time for which a proxy may leave bytes unread or updates
/// unacknowledged.
pub fn settings_text(deployment: &Deployment, list: &ListSource, key_file: &Path, stall: Duration) -> String {
    let text = json!({
        "deployment": deployment_value(deployment),
        "listen": {
            "address": "127.0.0.1:0", "key_file": key_file, "stall": Span(stall).text(), "silence": "6s",
        },
        "list": {
            "address": list.address.to_string(), "mode": format!("{:?}", list.mode),
            "ask_within": list.ask_within.text(), "redial": list.redial.text(),
            "patience": list.patience.text(),
        },
        "probe_limit": "500ms",
    });
    nickel(&text)
}

/// Returns the text of a settings file of one of several controllers. `address` is where other members reach it, `listen`
/// where it listens for them. `folder` is for its own state, `accounts` for the accounts of all members. `peers` has the
/// names and addresses of the other members.
#[expect(clippy::too_many_arguments, reason = "no type of this crate holds all of these values")]
pub fn member_text(
    deployment: &Deployment,
    list: &ListSource,
    key_file: &Path,
    stall: Duration,
    name: &str,
    (address, listen): (SocketAddr, SocketAddr),
    (folder, accounts): (&Path, &Path),
    peers: &[(String, SocketAddr)],
) -> String {
    let peers: Vec<Value> =
        peers.iter().map(|(name, address)| json!({ "name": name, "address": address.to_string() })).collect();
    // Short periods, so that a rehearsal has many of them.
    let accounts = json!({ "folder": accounts, "period": "400ms", "slack": "300ms" });
    let members = json!({
        "members": {
            "duties": { "lease": "2500ms", "renew": "300ms", "accounts": accounts },
            "fleet": "fleet", "name": name, "address": address.to_string(),
            "listen": listen.to_string(), "folder": folder, "key_file": key_file,
            "peers": peers, "beat": "150ms", "lease": "750ms", "remember": "500ms",
        }
    });
    format!("{} & {}", settings_text(deployment, list, key_file, stall), nickel(&members))
}
