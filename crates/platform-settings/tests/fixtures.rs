//! Checks, with stored settings that contain every key as pairs and as nested JSON, that each key is read into its field.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test may panic")]

use grebespool::host::{AdmissionMode, DeduplicationScope, Idempotency, LoadMetric};
use grebespool_platform_settings::PlatformSettings;
use rstest::rstest;
use std::time::Duration;

const PAIRS: &[u8] = include_bytes!("fixtures/settings.txt");
const NESTED: &str = include_str!("fixtures/settings.json");

fn pairs() -> PlatformSettings {
    PlatformSettings::from_pairs(PAIRS).unwrap()
}

fn nested() -> PlatformSettings {
    PlatformSettings::from_json(&serde_json::from_str(NESTED).unwrap())
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::pairs(pairs())]
#[case::nested(nested())]
fn reads_every_key_of_the_routes(#[case] settings: PlatformSettings) {
    let routes = settings.routes().unwrap();
    let expected = [
        (1.0, ms(900), Idempotency::Idempotent, false),
        (3.5, ms(700), Idempotency::Keyed { scope: DeduplicationScope::Zone, window: ms(1200) }, true),
        (2.0, ms(800), Idempotency::Keyed { scope: DeduplicationScope::All, window: ms(1300) }, false),
        (2.5, ms(850), Idempotency::Keyed { scope: DeduplicationScope::Cell, window: ms(1400) }, false),
        (9.0, ms(600), Idempotency::NonIdempotent, true),
    ];
    assert_eq!(routes.len(), expected.len());
    for (route, expected) in routes.iter().zip(expected) {
        assert_eq!(
            (route.priority_weight, route.latency_objective, route.idempotency, route.zone_local),
            expected
        );
    }
}

#[rstest]
#[case::pairs(pairs())]
#[case::nested(nested())]
fn reads_every_key_of_the_proxies_and_the_channel(#[case] settings: PlatformSettings) {
    let capabilities = settings.proxy_capabilities().unwrap();
    assert_eq!(
        (capabilities.zones, capabilities.slices, capabilities.admission_mode),
        (2, 4, AdmissionMode::Rate)
    );
    assert_eq!(
        (capabilities.attempt_timeout_factor, capabilities.proxies, capabilities.min_server_connections),
        (0.7, 12, 90.0)
    );
    let limits = settings.control_channel_limits().unwrap();
    assert_eq!(
        (limits.entries_per_s, limits.max_queued_entries, limits.message_overhead),
        (8000.0, 9000.0, 3.0)
    );
    assert_eq!((limits.max_messages, limits.window, limits.max_transit), (10, ms(8000), ms(400)));
}

#[rstest]
#[case::pairs(pairs())]
#[case::nested(nested())]
fn reads_every_key_of_the_timeouts_and_the_observability(#[case] settings: PlatformSettings) {
    let timeouts = settings.timeouts().unwrap();
    assert_eq!((timeouts.warm_up, timeouts.removal_is_final), (ms(12_000), false));
    assert_eq!(timeouts.drain_grace, Some(ms(2500)));
    let observability = settings.observability().unwrap();
    assert_eq!(
        (observability.report_interval, observability.health_checks, observability.endpoint_poll_interval),
        (ms(500), true, Some(ms(9000)))
    );
    let metrics = [
        LoadMetric::InFlight,
        LoadMetric::Pending,
        LoadMetric::Utilization,
        LoadMetric::ServiceTimeMs,
        LoadMetric::ResponsesPerSecond,
        LoadMetric::ErrorsPerSecond,
        LoadMetric::Other,
    ];
    assert_eq!(observability.metrics, metrics);
}
