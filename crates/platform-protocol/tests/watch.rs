//! What is asked of discovery next, through failures, moves and ends.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_platform_protocol::{Call, Watch};
use rstest::rstest;
use std::net::SocketAddr;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// One that was begun and answered, and waits for news.
fn waiting() -> Watch {
    let mut watch = Watch::new(at(1));
    watch.ask();
    assert!(watch.begin());
    let call = watch.call(Some(7));
    watch.answered(&call);
    watch
}

fn asks(call: &Call) -> (u16, &str) {
    (call.address.port(), &call.path)
}

#[rstest]
fn what_was_missed_comes_first_and_then_it_waits() {
    let mut watch = Watch::new(at(1));
    assert!(!watch.begin() && !watch.under_way());
    watch.ask();
    assert!(watch.begin() && watch.under_way());
    assert_eq!(asks(&watch.call(None)), (1, "/v1/endpoints"));
    let call = watch.call(Some(7));
    assert_eq!(asks(&call), (1, "/v1/endpoints?since=7&timeout_ms=1"));
    watch.answered(&call);
    let call = watch.call(Some(8));
    assert_eq!(asks(&call), (1, "/v1/endpoints?since=8&timeout_ms=4000"));
    assert!(call.waits && call.limit.as_millis() > 4000);
    watch.ended();
    assert!(!watch.begin() && !watch.under_way());
}

/// Until it was taken, whatever fails between.
#[rstest]
#[case::asked_for(|w: &mut Watch| w.ask_whole(), 1)]
#[case::at_another_address(|w: &mut Watch| assert!(w.moved(at(2))), 2)]
fn the_whole_list_is_asked_for_until_it_came(#[case] needs: fn(&mut Watch), #[case] port: u16) {
    let mut watch = waiting();
    needs(&mut watch);
    for _ in 0..3 {
        assert_eq!(asks(&watch.call(Some(7))), (port, "/v1/endpoints"));
        watch.ended();
        watch.ask();
        assert!(watch.begin());
    }
    let call = watch.call(Some(7));
    watch.answered(&call);
    assert!(watch.call(Some(3)).path.contains("since=3"));
}

/// An answer that was on its way from the address that was left brings its news and not what the new one was asked for.
#[rstest]
fn the_answer_of_an_address_that_was_left_is_not_the_new_ones() {
    let mut watch = Watch::new(at(1));
    watch.ask();
    assert!(watch.begin());
    let whole = watch.call(None);
    assert!(watch.moved(at(2)));
    watch.answered(&whole);
    assert_eq!(asks(&watch.call(Some(7))), (2, "/v1/endpoints"));
    assert!(!watch.moved(at(2)));
}

/// A fault of whoever carries it out: nobody was told that it ended, so that is told when it is begun anew.
#[rstest]
fn a_watch_whose_task_has_gone_is_known_to_have_been_under_way() {
    let watch = waiting();
    assert!(watch.under_way());
    let mut watch = waiting();
    watch.ended();
    assert!(!watch.under_way());
    watch.ask();
    // Asked for and not begun, it is begun by whoever comes next.
    assert!(!watch.under_way() && watch.begin());
}
