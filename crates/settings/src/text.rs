//! A settings file for a deployment that is held as a value, for those who start a planner of it.

use crate::deployment::{Deployment, ListSource, Span};
use crate::read::nickel;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

impl Span {
    fn text(&self) -> String {
        format!("{}us", self.0.as_micros())
    }
}

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

/// A deployment as JSON, which is read as a settings file's part or a day's.
pub fn deployment_text(deployment: &Deployment) -> String {
    json!({ "deployment": deployment_value(deployment) }).to_string()
}

/// The text of a settings file. `stall`: how long a proxy may leave
/// bytes untaken or orders unconfirmed.
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

/// The text of a controller's settings file among others of a fleet: where they reach it, and where it listens.
/// `folder`, `accounts`: its state's, and the accounts' that are all members'. `peers`: names and addresses of the others.
#[expect(clippy::too_many_arguments, reason = "each part takes its own few settings; none holds them all")]
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
    // Accounts of short periods, so that a rehearsal sees many.
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
