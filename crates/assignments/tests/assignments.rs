//! The updates that result from the policy's commands, and the assignment of indices to servers.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool::host::{PolicyHost, RetryPolicy};
use grebespool_assignments::{Assignments, ProxyUpdate, ServerIndices, TableUpdate};
use rstest::rstest;
use std::time::Duration;

/// One update: the proxy, true if the update binds a table, the weights, the number of admission rules, and the
/// acknowledgement token.
type Published = (u16, bool, Vec<(usize, f32)>, usize, Option<u16>);

/// Ends the turn and returns what `view` shows of each update.
fn updates<T>(assignments: &Assignments, view: impl Fn(u16, &ProxyUpdate) -> T) -> Vec<T> {
    let mut updates = vec![];
    assignments.publish(|proxy, update| updates.push(view(proxy, update)));
    updates
}

fn published(assignments: &Assignments) -> Vec<Published> {
    updates(assignments, |proxy, update| {
        let weights = update.tables.iter().flat_map(|table| table.weights);
        let weights = weights.map(|w| (w.server, w.weight)).collect();
        (proxy, update.is_new, weights, update.admission.len(), update.ack_token)
    })
}

#[rstest]
fn each_proxy_affected_by_a_turn_gets_one_update() {
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
    // A requested acknowledgement alone causes no update, and published changes are not published again.
    host.request_ack(6);
    assert_eq!(published(&assignments), []);
    host.set_weight(0, 8, 0.0);
    host.set_admission(1, 0.5, RetryPolicy::Never);
    host.request_ack(7);
    let rules_alone = (2, false, vec![], 1, Some(7));
    assert_eq!(published(&assignments), [(1, false, vec![(8, 0.0)], 1, Some(7)), rules_alone]);
    // A proxy that is bound again gets the whole table and all admission rules, which a binding resets.
    assignments.add_proxy(1);
    host.bind_proxy(1, 0, 0);
    assert_eq!(published(&assignments), [(1, true, vec![(7, 1.0)], 1, None)]);
    assignments.remove_proxy(2);
    host.set_weight(1, 9, 0.3);
    assert_eq!(published(&assignments), []);
    assert_eq!([7, 8, 9].map(|server| assignments.contains_server(server)), [true, false, true]);
}

/// A table of an update: its number, its routes, true if it is full, and the number of weights.
type PublishedTable = (u16, u16, bool, usize);

fn published_tables(assignments: &Assignments) -> Vec<(u16, Vec<PublishedTable>)> {
    updates(assignments, |proxy, update| {
        let table = |table: &TableUpdate| (table.table, table.routes, update.is_new, table.weights.len());
        (proxy, update.tables.iter().map(table).collect())
    })
}

/// Routes that may not leave their zone have a table of their own; both tables have to arrive in one update.
#[rstest]
fn update_contains_each_changed_table_of_a_proxy() {
    let assignments = Assignments::default();
    let mut host = assignments.clone();
    assignments.add_proxy(1);
    host.set_weight(0, 7, 1.0);
    host.set_weight(0, 8, 0.2);
    host.set_weight(1, 7, 1.0);
    host.bind_proxy(1, 0, 0b101);
    host.bind_proxy(1, 1, 0b010);
    assert_eq!(published_tables(&assignments), [(1, vec![(0, 0b101, true, 2), (1, 0b010, true, 1)])]);
    host.set_weight(0, 8, 0.4);
    assert_eq!(published_tables(&assignments), [(1, vec![(0, 0b101, false, 1)])]);
    // A binding replaces those that share a route with it, and no others.
    host.bind_proxy(1, 2, 0b011);
    assert_eq!(published_tables(&assignments), [(1, vec![(2, 0b011, true, 0)])]);
    host.set_weight(0, 8, 0.6);
    host.set_weight(1, 7, 0.6);
    assert_eq!(published_tables(&assignments), []);
    host.bind_proxy(1, 0, 0);
    assert_eq!(published_tables(&assignments), [(1, vec![(0, 0, true, 2)])]);
}

/// A proxy, and the routes, the level and the retry policy of each admission rule of its update.
type PublishedRules = (u16, Vec<(u16, f32, RetryPolicy)>);

fn published_rules(assignments: &Assignments) -> Vec<PublishedRules> {
    updates(assignments, |proxy, update| {
        let rules = update.admission.iter().map(|rule| (rule.routes, rule.level, rule.retry_policy));
        (proxy, rules.collect())
    })
}

/// Of a rule for all proxies and one of a table, the lower level and the retry policy of the table apply, at the proxies that
/// are bound to the table.
#[rstest]
fn rule_of_a_table_applies_to_its_proxies_beside_the_rule_for_all() {
    use RetryPolicy::{AfterFailure, Never};
    let assignments = Assignments::default();
    let mut host = assignments.clone();
    for (proxy, table) in [(1, 0), (2, 1)] {
        assignments.add_proxy(proxy);
        host.bind_proxy(proxy, table, 0b01);
        host.bind_proxy(proxy, table + 10, 0b10);
    }
    host.set_admission(0b10, 0.5, AfterFailure);
    host.set_table_admission(10, 0b10, 0.2, Never);
    let (all, limited) = ((0b10, 0.5, AfterFailure), (0b10, 0.2, Never));
    assert_eq!(published_rules(&assignments), [(1, vec![limited]), (2, vec![all])]);
    // A change of the table's rule goes to its proxies only.
    host.set_table_admission(10, 0b10, 0.8, AfterFailure);
    assert_eq!(published_rules(&assignments), [(1, vec![all])]);
    // A change of the other rule goes to all proxies and leaves the limit of the table.
    host.set_admission(0b10, 1.0, Never);
    assert_eq!(
        published_rules(&assignments),
        [(1, vec![(0b10, 0.8, AfterFailure)]), (2, vec![(0b10, 1.0, Never)])]
    );
    // A proxy that joins later gets the limit of the table with its binding.
    assignments.add_proxy(3);
    host.bind_proxy(3, 10, 0b10);
    assert_eq!(published_rules(&assignments), [(3, vec![(0b10, 0.8, AfterFailure)])]);
}

#[rstest]
#[case::same_server_again(10, "a", false, 0)]
#[case::before_expiry(20, "c", false, 2)]
#[case::after_expiry(70, "c", false, 0)]
#[case::after_expiry_but_in_use(70, "c", true, 2)]
fn the_index_of_a_removed_server_is_reused_only_after_expiry(
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
    // A late report about the removed server is not attributed to the server that reuses its index.
    assert_eq!(servers.index(&"a"), (id == "a" || index != 0).then_some(0));
}

#[rstest]
fn the_number_of_indices_stays_bounded_while_servers_are_replaced() {
    let mut servers = ServerIndices::new(Duration::from_secs(30));
    for s in 0..5000u64 {
        let now = Duration::from_secs(s);
        let index = servers.add(now, &s, |_| false);
        servers.remove(now, index);
    }
    assert!(servers.len() < 40, "{}", servers.len());
}
