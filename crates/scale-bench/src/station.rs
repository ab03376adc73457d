//! Measurements of a station: a hollow planner of the platform's protocol. A station consists of the session manager and the
//! decisions of the program in service, an endpoint list and, if asked for, proxies whose output is discarded.

use crate::resources::timed;
use grebespool_platform_protocol::{ConnectionId, Effects, Event, PlannerConfig, ReceivedAt, SessionManager};
use grebespool_test_cluster::{default_settings, encode_frame, endpoint};
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// The time of day at the planner's start, in milliseconds since the Unix epoch.
const START_MS: f64 = 1_700_000_000_000.0;
/// Number of file descriptors that the planner keeps free, as the program does.
const KEPT_FREE: usize = 32;

/// The numbers of servers, proxies, routes and zones of a station.
// Part of the text of `StationError` in its Debug form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StationSize {
    /// Number of servers in the endpoint list.
    pub servers: usize,
    /// Number of proxies that have joined.
    pub proxies: usize,
    /// Number of routes, which the settings call classes.
    pub routes: usize,
    /// Number of zones.
    pub zones: usize,
}

/// The measured costs of a station.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StationCosts {
    /// Allocated memory by the count of the allocator, in bytes.
    pub allocated: u64,
    /// Processor time of an idle station, in seconds per second of the simulated clock.
    pub idle: f64,
    /// Mean processor time of one change of the endpoint list, without the idle cost.
    pub per_change: Duration,
    /// Mean number of bytes written to proxies for one change of the endpoint list.
    pub written_per_change: f64,
}

/// The reason why a planner rejects a station of a size.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{size:?}: {cause}")]
pub struct StationError {
    /// The size of the station.
    pub size: StationSize,
    /// The error message of the planner.
    pub cause: String,
}

/// Discards the output of the planner and counts the bytes written to proxies.
#[derive(Default)]
struct Discarded {
    bytes: Rc<Cell<u64>>,
}

impl Effects for Discarded {
    fn write(&mut self, _: ConnectionId, bytes: &[u8]) {
        self.bytes.set(self.bytes.get() + bytes.len() as u64);
    }
    fn close(&mut self, _: ConnectionId) {}
    fn resume_reading(&mut self) {}
    fn start_health_check(&mut self, _: &str, _: SocketAddr) {}
    fn watch_endpoints(&mut self) {}
    fn request_full_list(&mut self) {}
    fn log(&mut self, _: &Event) {}
}

/// The memory in the start file, in MB: enough for all sizes, because the growth is measured here.
const MEMORY_MB: usize = 4096;

/// Returns the start file of a station.
fn config(size: StationSize) -> Result<PlannerConfig, StationError> {
    let mut settings = default_settings();
    let class = settings["classes"][0].clone();
    let classes = (0..size.routes).map(|k| {
        let mut class = class.clone();
        class["name"] = json!(format!("route-{k}"));
        class
    });
    settings["classes"] = classes.collect::<Vec<Value>>().into();
    settings["zones"] = json!(zones(size.zones));
    settings["familyInfo"]["dataPlaneSize"] = json!(size.proxies.max(1));
    let servers: Vec<Value> = (0..size.servers).map(|k| endpoint_in_zone(k, "SERVING", size.zones)).collect();
    let file = json!({
        "name": "p0", "listen": "127.0.0.1:9", "discovery": "127.0.0.1:8", "seed": "8c1f", "settings": settings,
        "limits": {"sockets": size.proxies + 1024, "memory_mb": MEMORY_MB},
        "known": {"version": 1, "full": true, "servers": servers},
    });
    PlannerConfig::parse(file.to_string().as_bytes())
        .map_err(|error| StationError { size, cause: error.to_string() })
}

fn zones(count: usize) -> Vec<String> {
    (0..count).map(|k| format!("zone-{k}")).collect()
}

/// Returns the list entry of a server; the servers are spread over the zones in turn.
fn endpoint_in_zone(k: usize, state: &str, zones: usize) -> Value {
    let mut entry = endpoint(k, state);
    entry["zone"] = json!(format!("zone-{}", k % zones));
    entry
}

/// Advances the simulated clock by `span` and fires the planner's timers. Returns the processor time of the planner.
fn run(manager: &mut SessionManager<Discarded>, now: &mut Duration, span: Duration) -> Duration {
    let end = *now + span;
    let mut took = Duration::ZERO;
    loop {
        let due = manager.next_deadline().max(*now);
        if due > end {
            *now = end;
            return took;
        }
        *now = due;
        took += timed(|| manager.timer_fired(due)).1;
        *now += Duration::from_millis(1);
    }
}

/// Starts a station of this size and measures it. `allocated` returns the number of bytes that this process has allocated.
///
/// # Errors
///
/// Returns an error if the planner rejects the settings or the endpoint list of this size.
pub fn measure(size: StationSize, allocated: &dyn Fn() -> u64) -> Result<StationCosts, StationError> {
    const IDLE: Duration = Duration::from_secs(20);
    const CHANGES: usize = 8;
    let before = allocated();
    let config = config(size)?;
    let bytes = Rc::new(Cell::new(0));
    let mut manager = SessionManager::new(Discarded { bytes: bytes.clone() }, config, KEPT_FREE, START_MS);
    let mut now = Duration::ZERO;
    run(&mut manager, &mut now, Duration::from_secs(3));
    for proxy in 0..size.proxies {
        let conn = proxy as ConnectionId + 1;
        manager.connection_opened(now, conn);
        let join = json!({"msg": "SUBSCRIBE", "node": proxy, "locality": format!("zone-{}", proxy % size.zones),
                          "w": 1.0, "cold": true});
        manager.bytes_received(now, conn, &encode_frame(&join));
        while manager.handle_next_message(now, conn) {}
    }
    run(&mut manager, &mut now, Duration::from_secs(3));
    let station_bytes = allocated().saturating_sub(before);
    let idle = run(&mut manager, &mut now, IDLE).as_secs_f64() / IDLE.as_secs_f64();
    let mut change_time = Duration::ZERO;
    let before = bytes.get();
    for k in 0..CHANGES {
        let entry = endpoint_in_zone(
            k % size.servers.max(1),
            if k % 2 == 0 { "DRAINING" } else { "SERVING" },
            size.zones,
        );
        let version = k as u64 + 2;
        let body = json!({"version": version, "full": false, "servers": [entry]}).to_string();
        let received = ReceivedAt { now, unix_ms: START_MS + now.as_secs_f64() * 1000.0 };
        let (taken, took) =
            timed(|| manager.endpoint_list_received(received, Some(version - 1), body.as_bytes()));
        taken.map_err(|error| StationError { size, cause: error.to_string() })?;
        change_time += took + run(&mut manager, &mut now, Duration::from_secs(1));
    }
    let changes = CHANGES as u32;
    let per_change = (change_time / changes).saturating_sub(Duration::from_secs_f64(idle));
    let written_per_change = (bytes.get() - before) as f64 / f64::from(changes);
    Ok(StationCosts { allocated: station_bytes, idle, per_change, written_per_change })
}
