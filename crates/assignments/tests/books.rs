//! What a turn makes of orders, and which index a server has.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool::host::{PolicyHost, RetryPolicy};
use grebespool_assignments::{Desk, Servers};
use rstest::rstest;
use std::time::Duration;

/// One proxy's message: whether it is whole, its lines, how many levels, its mark.
type Seen = (u16, bool, Vec<(usize, f32)>, usize, Option<u16>);

fn settled(desk: &Desk) -> Vec<Seen> {
    let mut seen = vec![];
    desk.settle(|proxy, told| {
        seen.push((proxy, told.bound.is_some(), told.lines.to_vec(), told.levels.len(), told.mark));
    });
    seen
}

#[rstest]
fn a_turn_is_one_message_for_each_proxy_that_it_concerns() {
    let (desk, mut host) = (Desk::default(), Desk::default());
    host.clone_from(&desk);
    for proxy in [1, 2, 3] {
        desk.joined(proxy);
    }
    host.set_weight(0, 7, 1.0);
    host.set_weight(0, 8, 0.5);
    host.set_weight(1, 9, 1.0);
    host.bind_proxy(1, 0, 0);
    host.bind_proxy(2, 1, 0);
    host.request_ack(5);
    let both = vec![(7, 1.0), (8, 0.5)];
    assert_eq!(settled(&desk), [(1, true, both, 0, Some(5)), (2, true, vec![(9, 1.0)], 0, Some(5))]);
    // A mark alone concerns nobody, and what was told is not told again.
    host.request_ack(6);
    assert_eq!(settled(&desk), []);
    host.set_weight(0, 8, 0.0);
    host.set_admission(1, 0.5, RetryPolicy::Never);
    host.request_ack(7);
    let levels_alone = (2, false, vec![], 1, Some(7));
    assert_eq!(settled(&desk), [(1, false, vec![(8, 0.0)], 1, Some(7)), levels_alone]);
    // Bound anew it gets what stands, with the levels that a whole table forgets.
    desk.joined(1);
    host.bind_proxy(1, 0, 0);
    assert_eq!(settled(&desk), [(1, true, vec![(7, 1.0)], 1, None)]);
    desk.left(2);
    host.set_weight(1, 9, 0.3);
    assert_eq!(settled(&desk), []);
    assert_eq!((desk.holds(7), desk.holds(8), desk.holds(9)), (true, false, true));
}

#[rstest]
#[case::known_again(10, "a", false, 0)]
#[case::too_soon(20, "c", false, 2)]
#[case::after_long(70, "c", false, 0)]
#[case::still_in_a_table(70, "c", true, 2)]
fn an_index_goes_to_another_server_long_after_its_own_is_gone(
    #[case] at_s: u64,
    #[case] id: &str,
    #[case] held: bool,
    #[case] index: usize,
) {
    let mut servers = Servers::new(Duration::from_secs(60));
    for id in ["a", "b"] {
        servers.enter(Duration::ZERO, &id, |_| false);
    }
    servers.gone(Duration::from_secs(1), 0);
    assert_eq!(servers.enter(Duration::from_secs(at_s), &id, |s| held && s == 0), index);
    assert_eq!(*servers.id(index), id);
    // What still comes from the one that is gone is news of nobody.
    assert_eq!(servers.find(&"a"), (id == "a" || index != 0).then_some(0));
}

#[rstest]
fn indices_stay_few_while_servers_are_replaced_for_ever() {
    let mut servers = Servers::new(Duration::from_secs(30));
    for s in 0..5000u64 {
        let now = Duration::from_secs(s);
        let index = servers.enter(now, &s, |_| false);
        servers.gone(now, index);
    }
    assert!(servers.len() < 40, "{}", servers.len());
}
