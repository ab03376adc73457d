//! The service level of a day, as the users define it: the priority weight of the requests that were answered within their latency
//! objective, divided by the priority weight of all requests. A client's repeats count as part of its first request. The work,
//! connections and messages of the day are recorded with it.

use serde::{Deserialize, Serialize};

// stored: change neither the names in `rename` nor the order of the fields; reports and sweeps store these types as JSON.

/// The service level of one route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteServiceLevel {
    /// Name of the route.
    pub name: String,
    /// Number of requests, without repeats.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Number of requests that were answered.
    pub answered: u64,
    /// Number of requests that were answered within the latency objective.
    pub in_time: u64,
    /// Number of requests that were rejected to shed load.
    #[serde(rename = "throttled")]
    pub rejected: u64,
    /// Median latency of the answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the answered requests, in milliseconds.
    pub p99_ms: f64,
}

impl RouteServiceLevel {
    /// Returns the number of requests that were answered after the latency objective.
    pub fn late(&self) -> u64 {
        self.answered - self.in_time
    }

    /// Returns the number of requests that were neither answered nor rejected.
    pub fn failed(&self) -> u64 {
        self.requests - self.answered - self.rejected
    }
}

/// The service level of one zone's clients.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneServiceLevel {
    /// Name of the zone.
    pub name: String,
    /// Number of requests, without repeats.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Service level of the zone's clients, 0 to 1.
    #[serde(rename = "service")]
    pub level: f64,
}

/// Service level of a day, with the work, connections and messages that the day took.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// Service level of the whole day, 0 to 1.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Service level of the worst ten seconds, 0 to 1.
    pub worst: f64,
    /// Service level of each route.
    pub routes: Vec<RouteServiceLevel>,
    /// Service level of each zone's clients.
    pub zones: Vec<ZoneServiceLevel>,
    /// Median latency of all answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of all answered requests, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of all answered requests, in milliseconds.
    pub p999_ms: f64,
    /// Share of the completed work of servers that answered no request in time, 0 to 1.
    #[serde(rename = "wasted")]
    pub wasted_share: f64,
    /// Share of the attempts that went to another zone, 0 to 1.
    #[serde(rename = "crossings")]
    pub cross_zone_share: f64,
    /// Mean number of attempts per request.
    #[serde(rename = "tries")]
    pub attempts_per_request: f64,
    /// Number of connections made to servers.
    pub connections: u64,
    /// Number of messages sent to proxies.
    pub messages: u64,
    /// Number of changes in these messages, such as weight entries.
    #[serde(rename = "lines")]
    pub entries: u64,
    /// Number of times that a proxy joined.
    pub joins: u64,
    /// Service level of each period of [`ServiceLevel::STEP_S`], by the time at which the requests were due.
    #[serde(rename = "course")]
    pub over_time: Vec<f64>,
}

impl ServiceLevel {
    /// Length of the period of each item of [`Self::over_time`], in seconds.
    pub const STEP_S: u64 = 2;

    /// Returns the number of rejected requests of all routes.
    pub fn rejected(&self) -> u64 {
        self.routes.iter().map(|route| route.rejected).sum()
    }

    /// Returns the number of late requests of all routes.
    pub fn late(&self) -> u64 {
        self.routes.iter().map(RouteServiceLevel::late).sum()
    }

    /// Returns the number of failed requests of all routes.
    pub fn failed(&self) -> u64 {
        self.routes.iter().map(RouteServiceLevel::failed).sum()
    }

    /// Returns the number of requests of all routes.
    pub fn requests(&self) -> u64 {
        self.routes.iter().map(|route| route.requests).sum()
    }
}
