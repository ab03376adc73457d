//! The keys of the settings. Their texts are part of the wire format and must not change.

pub(crate) const ROUTE_COUNT: &str = "classes.count";
pub(crate) const PRIORITY_WEIGHT: &str = "points";
pub(crate) const LATENCY_OBJECTIVE_MS: &str = "aimMs";
pub(crate) const IDEMPOTENCY: &str = "effect";
pub(crate) const DEDUPLICATION_SCOPE: &str = "dedupScope";
pub(crate) const DEDUPLICATION_WINDOW_MS: &str = "dedupWindowMs";
pub(crate) const ZONE_LOCAL: &str = "familyInfo.staysLocal";

pub(crate) const ZONES: &str = "zones";
pub(crate) const SLICES: &str = "familyInfo.slices";
pub(crate) const ADMISSION_MODE: &str = "familyInfo.throttleBy";
pub(crate) const ATTEMPT_TIMEOUT_FACTOR: &str = "familyInfo.tryFactor";
pub(crate) const PROXIES: &str = "familyInfo.dataPlaneSize";
pub(crate) const MIN_SERVER_CONNECTIONS: &str = "familyInfo.connsLeast";

pub(crate) const WARM_UP_MS: &str = "invariants.warmUpMs";
pub(crate) const START_CAPACITY: &str = "invariants.startCapacity";
pub(crate) const OVERLOAD_MULTIPLE: &str = "invariants.fallMultiple";
pub(crate) const DRAIN_GRACE_MS: &str = "invariants.drainGraceMs";
pub(crate) const MAX_UNSERVED_MS: &str = "familyInfo.unservedMaxMs";
pub(crate) const REMOVAL_IS_NOT_FINAL: &str = "invariants.removalNotBinding";

pub(crate) const ENTRIES_PER_S: &str = "familyInfo.linesPerS";
pub(crate) const MAX_QUEUED_ENTRIES: &str = "familyInfo.mostWaiting";
pub(crate) const MESSAGE_OVERHEAD: &str = "familyInfo.head";
pub(crate) const MAX_MESSAGES: &str = "familyInfo.pushesAllowed";
pub(crate) const MESSAGE_WINDOW_MS: &str = "familyInfo.updateWindowMs";
pub(crate) const MAX_TRANSIT_MS: &str = "familyInfo.worstTransitMs";

pub(crate) const ENDPOINT_LIST_MODE: &str = "registryMode";
pub(crate) const ENDPOINT_POLL_INTERVAL_MS: &str = "invariants.askEveryMs";
pub(crate) const REPORT_MODE: &str = "report.how";
pub(crate) const REPORT_METRICS: &str = "report.fields";
pub(crate) const REPORT_INTERVAL_MS: &str = "familyInfo.cycleMs";
pub(crate) const HEALTH_CHECKS: &str = "allowed.probing";

/// Returns the key of a route's setting.
pub(crate) fn of_route(route: usize, name: &str) -> String {
    format!("classes.{route}.{name}")
}
