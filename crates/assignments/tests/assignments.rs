//! The updates that a turn makes of the policy's calls, and which index a server has.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool::host::{PolicyHost, RetryPolicy};
use grebespool_assignments::{Assignments, ServerIndices};
use rstest::rstest;
use std::time::Duration;

/// One proxy's update: whether it binds a table, its weights, how many admission rules, its acknowledgement token.
type Published = (u16, bool, Vec<(usize, f32)>, usize, Option<u16>);

fn published(assignments: &Assignments) -> Vec<Published> {
    let mut published = vec![];
    assignments.publish(|proxy, update| {
        let weights = update.weights.iter().map(|w| (w.server, w.weight)).collect();
        let (binds, rules) = (update.bound_routes.is_some(), update.admission.len());
        published.push((proxy, binds, weights, rules, update.ack_token));
    });
    published
}

#[rstest]
fn publishes_one_update_for_each_proxy_that_a_turn_concerns() {
    let (assignments, mut host) = (Assignments::default(), Assignments::default());
    host.clone_from(&assignments);
    for proxy in [1, 2, 3] {
        assignments.add_proxy(proxy);
    }
    host.set_weight(0, 7, 1.0);
    host.set_weight(0, 8, 0.5);
    host.set_weight(1, 9, 1.0);
    host.bind_proxy(1, 0, 0);
    host.bind_proxy(2, 1, 0);
    host.request_ack(5);
    let both = vec![(7, 1.0), (8, 0.5)];
    assert_eq!(published(&assignments), [(1, true, both, 0, Some(5)), (2, true, vec![(9, 1.0)], 0, Some(5))]);
    // A token alone concerns nobody, and what was published is not published again.
    host.request_ack(6);
    assert_eq!(published(&assignments), []);
    host.set_weight(0, 8, 0.0);
    host.set_admission(1, 0.5, RetryPolicy::Never);
    host.request_ack(7);
    let rules_alone = (2, false, vec![], 1, Some(7));
    assert_eq!(published(&assignments), [(1, false, vec![(8, 0.0)], 1, Some(7)), rules_alone]);
    // Bound anew it gets the whole table, with the admission rules that a binding resets.
    assignments.add_proxy(1);
    host.bind_proxy(1, 0, 0);
    assert_eq!(published(&assignments), [(1, true, vec![(7, 1.0)], 1, None)]);
    assignments.remove_proxy(2);
    host.set_weight(1, 9, 0.3);
    assert_eq!(published(&assignments), []);
    assert_eq!([7, 8, 9].map(|server| assignments.contains_server(server)), [true, false, true]);
}

#[rstest]
#[case::known_again(10, "a", false, 0)]
#[case::too_soon(20, "c", false, 2)]
#[case::after_long(70, "c", false, 0)]
#[case::still_in_a_table(70, "c", true, 2)]
fn reuses_an_index_only_long_after_its_server_was_removed(
    #[case] at_s: u64,
    #[case] id: &str,
    #[case] in_use: bool,
    #[case] index: usize,
) {
    let mut servers = ServerIndices::new(Duration::from_secs(60));
    for id in ["a", "b"] {
        servers.add(Duration::ZERO, &id, |_| false);
    }
    servers.remove(Duration::from_secs(1), 0);
    assert_eq!(servers.add(Duration::from_secs(at_s), &id, |server| in_use && server == 0), index);
    assert_eq!(*servers.id(index), id);
    // What still comes from the removed one is news of nobody.
    assert_eq!(servers.index(&"a"), (id == "a" || index != 0).then_some(0));
}

#[rstest]
fn keeps_indices_few_while_servers_are_replaced_for_ever() {
    let mut servers = ServerIndices::new(Duration::from_secs(30));
    for s in 0..5000u64 {
        let now = Duration::from_secs(s);
        let index = servers.add(now, &s, |_| false);
        servers.remove(now, index);
    }
    assert!(servers.len() < 40, "{}", servers.len());
}
