//! Several planners of the platform's protocol, each a process of its own, over one list: restarted, killed, stopped and
//! cut off while servers are replaced under them. The rules are checked from what passed on the sockets.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::wildcard_imports, reason = "the test cluster's parties make up the whole test")]

use grebespool_test_cluster::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");

/// Three planners, 36 proxies and 18 servers at two thirds of their capacity, after all tables came.
fn fleet() -> Fleet {
    let mut fleet = Fleet::start(PROGRAM, FleetConfig::new(3, 36, 18, 0.65));
    fleet.run_until("every proxy has a table", ms(8000), Fleet::is_settled);
    fleet.run(ms(2500));
    fleet
}

fn assert_no_breaches(fleet: &Fleet) {
    assert!(fleet.breaches.is_empty(), "{} breaches: {:#?}", fleet.breaches.len(), &fleet.breaches[..1]);
}

#[rstest]
fn keeps_rules_while_planners_restart_and_servers_are_replaced() {
    let mut fleet = fleet();
    let from = fleet.now();
    for round in 0..3 {
        let old: Vec<usize> = (round * 3..round * 3 + 3).collect();
        fleet.replace_servers(&old);
        fleet.restart_planner(round, ms(700));
        fleet.run(ms(2500));
        fleet.remove_drained_servers();
    }
    fleet.run_until("all at home again", ms(9000), |f| (0..3).all(|p| f.joined_count(p) == 12));
    fleet.run(ms(2000));
    assert_no_breaches(&fleet);
    assert!(fleet.served_share(from) > 0.9, "{}", fleet.served_share(from));
}

#[rstest]
fn keeps_rules_when_two_of_three_planners_are_killed() {
    let mut fleet = fleet();
    let from = fleet.now();
    fleet.replace_servers(&[0, 1, 2, 3, 4, 5]);
    fleet.run(ms(300));
    fleet.planners[0].kill();
    fleet.planners[2].kill();
    let took = fleet.run_until("all are with the one that is left", ms(2500), |f| f.joined_count(1) == 36);
    fleet.run(ms(2500));
    fleet.remove_drained_servers();
    fleet.run(ms(1500));
    fleet.start_planner_again(0);
    fleet.start_planner_again(2);
    fleet.run(ms(4000));
    assert_no_breaches(&fleet);
    assert!(took < ms(1500), "{took:?}");
    assert!(fleet.served_share(from) > 0.9, "{}", fleet.served_share(from));
}

/// Peers that have not joined are closed first, and no proxy is.
#[rstest]
fn evicts_idle_connections_and_no_proxies() {
    let mut fleet = fleet();
    let mut idle = open_idle_connections(fleet.planners[1].listen, 300);
    fleet.planners[0].kill();
    fleet.planners[2].kill();
    for _ in 0..8 {
        idle.extend(open_idle_connections(fleet.planners[1].listen, 60));
        fleet.run(ms(250));
    }
    assert_eq!(fleet.joined_count(1), 36);
    fleet.replace_servers(&[0, 1]);
    fleet.run(ms(2500));
    assert_no_breaches(&fleet);
    let held: usize = fleet.planners[1].sockets().values().sum();
    assert!(held <= 156 && fleet.planners[1].is_running(), "{held}");
}

#[rstest]
#[case::while_another_restarts(ms(0))]
#[case::in_the_last_instant_before_its_own_end(ms(2))]
fn keeps_a_published_drain(#[case] before: std::time::Duration) {
    let mut fleet = fleet();
    if before.is_zero() {
        fleet.planners[0].signal("TERM");
        fleet.replace_servers(&[4, 5]);
    } else {
        fleet.replace_servers(&[4, 5]);
        fleet.run(before);
        fleet.planners[0].signal("TERM");
    }
    fleet.run(ms(800));
    fleet.start_planner_again(0);
    fleet.run(ms(4500));
    assert_no_breaches(&fleet);
    assert!(fleet.proxies.iter().all(|p| !p.table.contains_key(&4) && !p.table.contains_key(&5)));
}

/// What the bench's pages forbid is not done: no child process, and no socket but TCP and UDP over IPv4. The runtime's own
/// pair, by which it receives signals, has no name that anybody could connect to.
#[rstest]
fn holds_one_process_with_plain_sockets() {
    let mut fleet = fleet();
    let look = |fleet: &Fleet| {
        for program in &fleet.planners {
            assert_eq!(program.children(), Vec::<u32>::new());
            let kinds: Vec<String> = program.sockets().into_keys().collect();
            let plain = |k: &String| ["tcp", "udp", "unix", "unlisted"].contains(&k.as_str());
            assert!(kinds.iter().all(plain), "{kinds:?}");
        }
    };
    look(&fleet);
    let idle = open_idle_connections(fleet.planners[0].listen, 40);
    fleet.planners[1].signal("HUP");
    fleet.run(ms(300));
    look(&fleet);
    fleet.restart_planner(2, ms(300));
    fleet.replace_servers(&[0, 1]);
    fleet.run(ms(600));
    look(&fleet);
    drop(idle);
}

/// Five planners see one another's requests in no report, and all raise the weights of the same cold servers at once.
#[rstest]
fn several_planners_do_not_overload_cold_servers() {
    let mut fleet = Fleet::start(PROGRAM, FleetConfig::new(5, 40, 20, 0.8));
    fleet.run_until("every proxy has a table", ms(8000), Fleet::is_settled);
    fleet.run(ms(2000));
    fleet.replace_servers(&(0..12).collect::<Vec<usize>>());
    fleet.run(ms(2200));
    fleet.remove_drained_servers();
    fleet.run(ms(5000));
    assert_no_breaches(&fleet);
}

/// Three in four servers start anew at once as the load rises by half: what the warm ones reject is not retried at the cold
/// ones, on which no report comes for seconds yet (docs/incidents/016). Harder than the rule's own days, so its multiple is
/// wider here: 2.9 are sent, and 4.5 without the fix.
#[rstest]
fn retries_from_full_servers_do_not_overload_cold_ones() {
    let mut fleet =
        Fleet::start(PROGRAM, FleetConfig { warm_up: ms(15_000), ..FleetConfig::new(5, 60, 30, 0.62) });
    fleet.run_until("every proxy has a table", ms(8000), Fleet::is_settled);
    // A planner that has just started gives no cold server any weight.
    fleet.run(ms(8000));
    (fleet.cold_capacity, fleet.report_interval, fleet.limits.overload_multiple) = (0.1, ms(2000), 3.7);
    fleet.proxies.iter_mut().for_each(|p| p.rate *= 1.5);
    fleet.replace_servers(&(0..23).collect::<Vec<usize>>());
    fleet.run(ms(2200));
    fleet.remove_drained_servers();
    fleet.run(ms(5000));
    assert_no_breaches(&fleet);
    assert!(fleet.worst_cold_load > 1.0, "cold servers are used: {}", fleet.worst_cold_load);
}
