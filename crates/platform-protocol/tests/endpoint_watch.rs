//! What is requested of discovery next, through failures, changes of address and ends.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_platform_protocol::{EndpointWatch, ListRequest};
use rstest::rstest;
use std::net::SocketAddr;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// One that was begun and answered, and long-polls.
fn polling() -> EndpointWatch {
    let mut watch = EndpointWatch::new(at(1));
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
    let mut watch = EndpointWatch::new(at(1));
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

/// Until it was taken, whatever fails meanwhile.
#[rstest]
#[case::requested(|watch: &mut EndpointWatch| watch.request_full_list(), 1)]
#[case::at_another_address(|watch: &mut EndpointWatch| assert!(watch.set_address(at(2))), 2)]
fn requests_the_full_list_until_it_was_taken(#[case] needs: fn(&mut EndpointWatch), #[case] port: u16) {
    let mut watch = polling();
    needs(&mut watch);
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

/// An answer that was on its way from the former address brings its changes, but not what the new one was asked for.
#[rstest]
fn answer_of_former_address_does_not_count_for_the_new_one() {
    let mut watch = EndpointWatch::new(at(1));
    watch.request();
    assert!(watch.begin());
    let full = watch.next_request(None);
    assert!(watch.set_address(at(2)));
    watch.request_answered(&full);
    assert_eq!(target(&watch.next_request(Some(7))), (2, "/v1/endpoints"));
    assert!(!watch.set_address(at(2)));
}

/// Where its task has failed, nobody was notified of the end, so that is done when the task is restarted.
#[rstest]
fn watch_stays_active_until_its_end_is_told() {
    let watch = polling();
    assert!(watch.is_active());
    let mut watch = polling();
    watch.end();
    assert!(!watch.is_active());
    watch.request();
    assert!(!watch.is_active() && watch.begin());
}
