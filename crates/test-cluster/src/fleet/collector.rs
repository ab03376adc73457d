//! Collectors, which report the attempts of a zone's proxies, and the usage reports of the proxies.

use super::load::{AttemptTotals, Attempts, ReportKey};
use super::server::SimulatedServer;
use super::{Fleet, ZONES};
use crate::connection::encode_frame;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Collector that reports on one zone to one planner.
pub(super) struct Collector {
    planner: usize,
    zone: usize,
    socket: Option<TcpStream>,
}

impl Collector {
    /// Creates a collector for each zone at each planner.
    pub(super) fn for_all(planners: usize) -> Vec<Collector> {
        let zones_of = |planner| (0..ZONES.len()).map(move |zone| Collector { planner, zone, socket: None });
        (0..planners).flat_map(zones_of).collect()
    }

    /// Sends the reports of the collector's zone. Connects to the planner first if there is no connection.
    fn send(
        &mut self,
        planner: SocketAddr,
        interval_ms: f64,
        totals: &AttemptTotals,
        servers: &[SimulatedServer],
    ) {
        let mut bytes = vec![];
        if self.socket.is_none() {
            self.socket = TcpStream::connect(planner).ok();
            bytes.extend(encode_frame(&json!({"msg": "SOURCE", "locality": ZONES[self.zone]})));
        }
        for (key, attempts) in totals {
            if (key.planner, key.zone) == (self.planner, self.zone) {
                let report = server_report(key, *attempts, interval_ms, &servers[key.server]);
                bytes.extend(encode_frame(&report));
            }
        }
        if self.socket.as_mut().is_some_and(|socket| socket.write_all(&bytes).is_err()) {
            self.socket = None;
        }
    }
}

/// Returns a report on one server. The report on a server that is down has neither a latency nor metrics.
fn server_report(key: &ReportKey, attempts: Attempts, interval_ms: f64, server: &SimulatedServer) -> Value {
    let mut report = json!({
        "msg": "LOAD", "locality": ZONES[key.zone], "endpoint": format!("s{}", key.server),
        "total": attempts.total.round() as u64, "errors": attempts.failed.round() as u64,
        "interval": interval_ms,
    });
    if server.up {
        let utilization = server.load.min(1.0);
        report["rtt"] = json!(20.0 / (1.05 - utilization));
        report["metrics"] = json!({"cpu_share": utilization, "pending": (server.load - 1.0).max(0.0)});
    }
    report
}

impl Fleet {
    pub(super) fn send_reports(&mut self, now: Duration) {
        let interval_ms = (now - self.reported_at).as_secs_f64() * 1000.0;
        self.reported_at = now;
        let totals = std::mem::take(&mut self.attempts);
        for collector in &mut self.collectors {
            if !self.cut_off[collector.planner] {
                let planner = self.planners[collector.planner].listen;
                collector.send(planner, interval_ms, &totals, &self.servers);
            }
        }
        self.send_usage(interval_ms);
    }

    fn send_usage(&mut self, interval_ms: f64) {
        for proxy in &mut self.proxies {
            let requests = std::mem::take(&mut proxy.unreported_requests).round() as u64;
            if let Some(stream) = proxy.stream.as_mut().filter(|stream| !self.cut_off[stream.planner]) {
                stream
                    .send(&json!({"msg": "RATE", "node": proxy.node, "route": "look up", "total": requests,
                                    "errors": 0, "interval": interval_ms}));
            }
        }
    }
}
