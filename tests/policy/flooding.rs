//! Reports that arrive far more often than the settings say.

use crate::helpers::*;
use grebespool::host::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::time::Duration;

/// The time for which the policy stores reports.
const RETENTION: Duration = Duration::from_secs(8);
/// The number of stored reports of one source in each report interval.
const REPORTS_PER_INTERVAL: usize = 4;

/// Returns the largest number of reports that the policy may store: it follows from the settings and the list alone.
fn max_stored(servers: usize, zones: usize, proxies: usize, routes: usize) -> usize {
    let intervals = RETENTION.div_duration_f64(REPORT_INTERVAL).max(1.0);
    let per_source = (REPORTS_PER_INTERVAL as f64 * intervals).ceil() as usize;
    per_source * (servers * zones + proxies * routes)
}

fn load_report(client_zone: ZoneId) -> LoadReport<'static> {
    LoadReport { client_zone, attempts: 10, failures: 0, latency: Some(ms(200)), metrics: &[0.5, 0.0] }
}

/// Guards against memory that grows with the count of messages: one proxy reports the requests of one route, or one
/// collector the load of one server, without end.
#[rstest]
#[case::requests(|harness: &mut PolicyHarness, _| harness.policy.requests_received(harness.now, 0, 0, 1))]
#[case::load(|harness: &mut PolicyHarness, _| harness.policy.load_reported(harness.now, 0, &load_report(0)))]
#[case::requests_of_many(|harness: &mut PolicyHarness, k: usize| {
    harness.policy.requests_received(harness.now, (k % 3) as ProxyId, k % 5, 1);
})]
fn stored_reports_do_not_grow_with_the_count_of_messages(#[case] send: fn(&mut PolicyHarness, usize)) {
    let mut harness = PolicyHarness::with_servers(4, 2);
    let mut most = 0;
    for step in 0..200 {
        harness.advance(ms(50));
        (0..500).for_each(|k| send(&mut harness, 500 * step + k));
        most = most.max(harness.policy.stored_reports());
    }
    assert!(most <= max_stored(4, 2, 3, 2), "{most} reports are stored");
}

/// Reports that come as often as the settings say, and late ones that come together, are all stored.
#[rstest]
#[case::regular(1, REPORT_INTERVAL)]
#[case::late_ones_together(4, REPORT_INTERVAL * 4)]
fn reports_at_the_usual_rate_are_stored_one_by_one(#[case] together: usize, #[case] interval: Duration) {
    let mut harness = PolicyHarness::with_servers(4, 2);
    let rounds = (RETENTION.as_millis() / interval.as_millis()) as usize;
    for _ in 0..rounds {
        harness.advance(interval);
        (0..together).for_each(|_| harness.policy.requests_received(harness.now, 0, 0, 1));
    }
    assert_eq!(harness.policy.stored_reports(), rounds * together);
}

/// Whatever the sources, the rates and the order of the reports, the stored ones are bounded by the settings alone.
#[rstest]
fn stored_reports_are_bounded_by_the_settings_alone() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..12 {
        let (servers, zones, proxies) =
            (rng.random_range(1..6), rng.random_range(1..4), rng.random_range(1..5));
        let routes = vec![route(1.0, Idempotency::Idempotent); rng.random_range(1..4)];
        let route_count = routes.len();
        let mut harness = PolicyHarness::with_routes(servers, zones, routes);
        for _ in 0..300 {
            harness.advance(ms(rng.random_range(1..200)));
            for _ in 0..rng.random_range(0..200) {
                if rng.random_bool(0.5) {
                    let (proxy, route) = (rng.random_range(0..proxies), rng.random_range(0..route_count + 2));
                    harness.policy.requests_received(harness.now, proxy as ProxyId, route, 3);
                } else {
                    let zone = rng.random_range(0..zones) as ZoneId;
                    let server = rng.random_range(0..servers + 2);
                    harness.policy.load_reported(harness.now, server, &load_report(zone));
                }
            }
            let stored = harness.policy.stored_reports();
            assert!(
                stored <= max_stored(servers, zones, proxies, route_count),
                "{stored} reports are stored"
            );
        }
    }
}

/// Guards against a process that passes its memory limit by the reports on very many servers: however many are listed, and
/// whatever was stored before, the reports fit into their memory if it has room for the usual ones.
#[rstest]
fn load_reports_on_a_growing_number_of_servers_fit_into_their_memory() {
    /// The least memory that a stored report takes: its time and its figures.
    const MIN_REPORT_BYTES: usize = 64;
    let usual = RETENTION.div_duration_f64(REPORT_INTERVAL).ceil() as usize;
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    for _ in 0..12 {
        let (zones, most_servers) = (rng.random_range(1..4), rng.random_range(4..40));
        let mut harness = PolicyHarness::with_servers(2, zones);
        let observability = harness.observability.clone();
        let needed = most_servers * grebespool::policy::min_report_bytes(&observability, zones);
        let bytes = needed + rng.random_range(0..4 * needed);
        harness.policy.limit_report_memory(bytes);
        let mut servers = 2;
        for step in 0..200 {
            harness.advance(ms(rng.random_range(1..200)));
            if step % 4 == 0 && servers < most_servers {
                servers += 1;
                harness.update_endpoints(false, &warm_endpoints(servers - 1..servers, zones));
            }
            for _ in 0..rng.random_range(0..400) {
                let (server, zone) = (rng.random_range(0..servers), rng.random_range(0..zones));
                harness.policy.load_reported(harness.now, server, &load_report(zone as ZoneId));
            }
            let stored = harness.policy.stored_reports();
            assert!(stored * MIN_REPORT_BYTES <= bytes, "{stored} reports in {bytes} bytes");
        }
        for _ in 0..2 * usual {
            harness.advance(REPORT_INTERVAL);
            (0..servers)
                .for_each(|server| harness.policy.load_reported(harness.now, server, &load_report(0)));
        }
        assert!(
            harness.policy.stored_reports() >= servers * usual,
            "the usual reports are stored one by one"
        );
    }
}

/// The rates of the other proxies count as before while one floods: levels as rates are shares of what all received.
#[rstest]
fn merged_reports_count_as_many_requests_as_single_ones() {
    let received = |reports: u32, requests: u32| {
        let mut harness = PolicyHarness::with_servers(4, 2);
        for _ in 0..20 {
            harness.run(REPORT_INTERVAL, |server| (server < 4).then_some(observed(200, 150, 1.0, 5.0)));
            (0..reports).for_each(|_| harness.policy.requests_received(harness.now, 0, 0, requests));
        }
        harness.level(0b01)
    };
    assert_eq!(received(200, 1), received(1, 200));
}
