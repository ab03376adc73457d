//! A fixed text with every key of the settings, as pairs and as nested JSON: each key is read into its field.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool::host::{AdmissionMode, DeduplicationScope, Idempotency, LoadMetric};
use grebespool_platform_settings::Stated;
use rstest::rstest;
use std::time::Duration;

const PAIRS: &[u8] = include_bytes!("fixtures/settings.txt");
const NESTED: &str = include_str!("fixtures/settings.json");

fn pairs() -> Stated {
    Stated::pairs(PAIRS).unwrap()
}

fn nested() -> Stated {
    Stated::json(&serde_json::from_str(NESTED).unwrap())
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::pairs(pairs())]
#[case::nested(nested())]
fn every_key_of_the_routes_is_read(#[case] stated: Stated) {
    let routes = stated.routes().unwrap();
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
fn every_key_of_the_proxies_and_of_the_channel_is_read(#[case] stated: Stated) {
    let plane = stated.plane().unwrap();
    assert_eq!((plane.zones, plane.slices, plane.admission_mode), (2, 4, AdmissionMode::Rate));
    assert_eq!((plane.attempt_timeout_factor, plane.proxies, plane.min_server_connections), (0.7, 12, 90.0));
    let pace = stated.pace().unwrap();
    assert_eq!((pace.entries_per_s, pace.max_queued_entries, pace.message_overhead), (8000.0, 9000.0, 3.0));
    assert_eq!((pace.max_messages, pace.window, pace.max_transit), (10, ms(8000), ms(400)));
}

#[rstest]
#[case::pairs(pairs())]
#[case::nested(nested())]
fn every_key_of_the_times_and_of_the_reports_is_read(#[case] stated: Stated) {
    let graces = stated.graces().unwrap();
    assert_eq!((graces.warm_up, graces.removal_is_final), (ms(12_000), false));
    let sight = stated.sight().unwrap();
    assert_eq!(
        (sight.report_interval, sight.health_checks, sight.endpoint_poll_interval),
        (ms(500), true, Some(ms(9000)))
    );
    let fields = [
        LoadMetric::InFlight,
        LoadMetric::Pending,
        LoadMetric::Utilization,
        LoadMetric::ServiceTimeMs,
        LoadMetric::ResponsesPerSecond,
        LoadMetric::ErrorsPerSecond,
        LoadMetric::Other,
    ];
    assert_eq!(sight.metrics, fields);
}
