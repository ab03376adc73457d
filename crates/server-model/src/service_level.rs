//! The service level of a day, as the users define it: the priority weight of what was answered within its latency objective over that of
//! all requests, with a client's repeats counted under its first. Beside it, what the day cost.

use serde::{Deserialize, Serialize};

// stored: do not rename what stands in `rename`, nor change the order of fields; reports and sweeps keep these as JSON.

/// The service level of one route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteServiceLevel {
    /// The name of the route.
    pub name: String,
    /// Requests, repeats not counted.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were answered within the latency objective.
    pub in_time: u64,
    /// Requests that were rejected to shed load.
    #[serde(rename = "throttled")]
    pub rejected: u64,
    /// Median latency of the answered, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
}

impl RouteServiceLevel {
    /// Requests that were answered after the latency objective.
    pub fn late(&self) -> u64 {
        self.answered - self.in_time
    }

    /// Requests that were neither answered nor rejected.
    pub fn failed(&self) -> u64 {
        self.requests - self.answered - self.rejected
    }
}

/// The service level of one zone's clients.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneServiceLevel {
    /// The name of the zone.
    pub name: String,
    /// Requests, repeats not counted.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// The service level, 0 to 1.
    #[serde(rename = "service")]
    pub level: f64,
}

/// The service level of a day, and what the day cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// The service level of the whole day, 0 to 1.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// That of the worst ten seconds.
    pub worst: f64,
    /// By route.
    pub routes: Vec<RouteServiceLevel>,
    /// By zone.
    pub zones: Vec<ZoneServiceLevel>,
    /// Median latency of all that was answered, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// 99.9th percentile of the same.
    pub p999_ms: f64,
    /// Of the work that servers completed, the share that answered nobody in time.
    #[serde(rename = "wasted")]
    pub wasted_share: f64,
    /// Of the attempts, the share that went to another zone.
    #[serde(rename = "crossings")]
    pub cross_zone_share: f64,
    /// Attempts for each request.
    #[serde(rename = "tries")]
    pub attempts_per_request: f64,
    /// Connections made to servers.
    pub connections: u64,
    /// Messages sent to proxies.
    pub messages: u64,
    /// Parts of these messages: weight entries and the like.
    #[serde(rename = "lines")]
    pub entries: u64,
    /// How often proxies joined.
    pub joins: u64,
    /// The service level of each [`ServiceLevel::STEP_S`], by when requests were due.
    #[serde(rename = "course")]
    pub over_time: Vec<f64>,
}

impl ServiceLevel {
    /// Seconds that each item of [`Self::over_time`] stands for.
    pub const STEP_S: u64 = 2;

    /// Rejected requests of all routes.
    pub fn rejected(&self) -> u64 {
        self.routes.iter().map(|route| route.rejected).sum()
    }

    /// Late requests of all routes.
    pub fn late(&self) -> u64 {
        self.routes.iter().map(RouteServiceLevel::late).sum()
    }

    /// Failed requests of all routes.
    pub fn failed(&self) -> u64 {
        self.routes.iter().map(RouteServiceLevel::failed).sum()
    }

    /// Requests of all routes.
    pub fn requests(&self) -> u64 {
        self.routes.iter().map(|route| route.requests).sum()
    }
}
