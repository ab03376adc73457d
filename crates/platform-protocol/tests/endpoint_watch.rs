//! The requests to discovery, across failures, changes of address and ends of the watch.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test fails by a panic")]

use grebespool_platform_protocol::{EndpointWatch, ListRequest};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

/// The time that the platform's protocol gives discovery beyond the wait of a request.
const PROTOCOL_ANSWER_TIME: Duration = Duration::from_secs(2);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A watch whose first request was answered, so that its next request is a long poll.
fn polling() -> EndpointWatch {
    let mut watch = EndpointWatch::new(address(1));
    watch.request();
    assert!(watch.begin());
    let request = watch.next_request(Some(7));
    watch.request_answered(&request);
    watch
}

fn target(request: &ListRequest) -> (u16, &str) {
    (request.address.port(), &request.path)
}

#[rstest]
fn requests_missed_changes_at_once_and_then_long_polls() {
    let mut watch = EndpointWatch::new(address(1));
    assert!(!watch.begin() && !watch.is_active());
    watch.request();
    assert!(watch.begin() && watch.is_active());
    assert_eq!(target(&watch.next_request(None)), (1, "/v1/endpoints"));
    let request = watch.next_request(Some(7));
    assert_eq!(target(&request), (1, "/v1/endpoints?since=7&timeout_ms=1"));
    watch.request_answered(&request);
    let request = watch.next_request(Some(8));
    assert_eq!(target(&request), (1, "/v1/endpoints?since=8&timeout_ms=4000"));
    assert!(request.long_poll && request.timeout.as_millis() > 4000);
    watch.end();
    assert!(!watch.begin() && !watch.is_active());
}

/// Guards against losing the request for a full list when a request fails before it was answered.
#[rstest]
#[case::after_a_request(|watch: &mut EndpointWatch| watch.request_full_list(), 1)]
#[case::after_a_change_of_address(|watch: &mut EndpointWatch| assert!(watch.set_address(address(2))), 2)]
fn requests_the_full_list_until_one_was_answered(
    #[case] require_full_list: fn(&mut EndpointWatch),
    #[case] port: u16,
) {
    let mut watch = polling();
    require_full_list(&mut watch);
    for _ in 0..3 {
        assert_eq!(target(&watch.next_request(Some(7))), (port, "/v1/endpoints"));
        watch.end();
        watch.request();
        assert!(watch.begin());
    }
    let request = watch.next_request(Some(7));
    watch.request_answered(&request);
    assert!(watch.next_request(Some(3)).path.contains("since=3"));
}

/// A request is pending when the address changes. Its answer must not cancel the full list that is requested from the
/// new address.
#[rstest]
fn answer_of_former_address_does_not_count_for_the_new_one() {
    let mut watch = EndpointWatch::new(address(1));
    watch.request();
    assert!(watch.begin());
    let full = watch.next_request(None);
    assert!(watch.set_address(address(2)));
    watch.request_answered(&full);
    assert_eq!(target(&watch.next_request(Some(7))), (2, "/v1/endpoints"));
    assert!(!watch.set_address(address(2)));
}

/// If the task of the watch fails, it does not report the end. The restarted task sees the active watch and ends it.
#[rstest]
fn watch_stays_active_until_its_end_is_reported() {
    let watch = polling();
    assert!(watch.is_active());
    let mut watch = polling();
    watch.end();
    assert!(!watch.is_active());
    watch.request();
    assert!(!watch.is_active() && watch.begin());
}

/// Returns the time for which discovery may wait for changes before it answers.
fn wait(request: &ListRequest) -> Duration {
    let wait = request.path.split("timeout_ms=").nth(1).map_or(0, |wait| wait.parse().unwrap());
    Duration::from_millis(wait)
}

/// Guards against a request that is given up before its answer is due: each request is awaited for as long as the protocol
/// gives discovery, in any order of answers, failures, overdue answers and changes of the address. A long poll that is
/// overdue does not delay the next request, which is answered at once.
#[rstest]
fn every_request_is_awaited_as_long_as_discovery_may_take() {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let (mut watch, mut known) = (EndpointWatch::new(address(1)), None);
    let mut long_polls = 0;
    for _ in 0..2000 {
        if !watch.is_active() {
            watch.request();
            assert!(watch.begin());
        }
        let request = watch.next_request(known);
        assert!(request.timeout >= wait(&request) + PROTOCOL_ANSWER_TIME, "{request:?}");
        assert_eq!(request.long_poll, request.overdue_after.is_some());
        assert!(
            request.overdue_after.is_none_or(|overdue| wait(&request) < overdue && overdue < request.timeout)
        );
        long_polls += u32::from(request.long_poll);
        match rng.random_range(0..8) {
            0 => watch.end(),
            1 => watch.request_full_list(),
            2 => assert!(watch.set_address(address(request.address.port() + 1))),
            3 if request.long_poll => {
                watch.request_overdue();
                assert!(!watch.next_request(known).long_poll);
            }
            _ => {
                watch.request_answered(&request);
                known = Some(known.map_or(1, |version: u64| version + rng.random_range(0..2)));
            }
        }
    }
    assert!(long_polls > 500);
}
