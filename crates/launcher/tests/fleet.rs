//! Several planners of the platform's protocol, each a process of its own, over one list: restarted, killed, stopped and
//! cut off while servers are replaced under them. The rules are checked from what passed on the sockets.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_test_cluster::*;
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");

/// Three planners, 36 proxies and 18 servers at two thirds of what these are able to, all tables known.
fn fleet() -> Fleet {
    let mut fleet = Fleet::start(PROGRAM, 3, 36, 18, 0.65);
    fleet.until("every proxy has a table", ms(8000), Fleet::settled);
    fleet.run(ms(2500));
    fleet
}

fn kept(fleet: &Fleet) {
    assert!(fleet.breaches.is_empty(), "{} breaches: {:#?}", fleet.breaches.len(), &fleet.breaches[..1]);
}

#[rstest]
fn all_restarted_in_turn_while_half_of_the_servers_are_replaced() {
    let mut fleet = fleet();
    let from = fleet.now();
    for round in 0..3 {
        let old: Vec<usize> = (round * 3..round * 3 + 3).collect();
        fleet.replace(&old);
        fleet.restart(round, ms(700));
        fleet.run(ms(2500));
        fleet.remove_drained();
    }
    fleet.until("all at home again", ms(9000), |f| (0..3).all(|p| f.joined(p) == 12));
    fleet.run(ms(2000));
    kept(&fleet);
    assert!(fleet.served(from) > 0.9, "{}", fleet.served(from));
}

#[rstest]
fn two_of_three_killed_at_once_amid_a_release() {
    let mut fleet = fleet();
    let from = fleet.now();
    fleet.replace(&[0, 1, 2, 3, 4, 5]);
    fleet.run(ms(300));
    fleet.programs[0].kill();
    fleet.programs[2].kill();
    let took = fleet.until("all are with the one that is left", ms(2500), |f| f.joined(1) == 36);
    fleet.run(ms(2500));
    fleet.remove_drained();
    fleet.run(ms(1500));
    fleet.begin_again(0);
    fleet.begin_again(2);
    fleet.run(ms(4000));
    kept(&fleet);
    assert!(took < ms(1500), "{took:?}");
    assert!(fleet.served(from) > 0.9, "{}", fleet.served(from));
}

/// Whoever has not joined is let go first, and no proxy is.
#[rstest]
fn strangers_go_first_where_descriptors_run_out_as_all_proxies_come_to_one() {
    let mut fleet = fleet();
    let mut strange = strangers(fleet.programs[1].listen, 300);
    fleet.programs[0].kill();
    fleet.programs[2].kill();
    for _ in 0..8 {
        strange.extend(strangers(fleet.programs[1].listen, 60));
        fleet.run(ms(250));
    }
    assert_eq!(fleet.joined(1), 36);
    fleet.replace(&[0, 1]);
    fleet.run(ms(2500));
    kept(&fleet);
    let held: usize = fleet.programs[1].sockets().values().sum();
    assert!(held <= 156 && fleet.programs[1].runs(), "{held}");
}

#[rstest]
#[case::while_another_restarts(ms(0))]
#[case::in_the_last_instant_before_its_own_end(ms(2))]
fn a_drain_is_kept_that_is_told(#[case] before: std::time::Duration) {
    let mut fleet = fleet();
    if before.is_zero() {
        fleet.programs[0].signal("TERM");
        fleet.replace(&[4, 5]);
    } else {
        fleet.replace(&[4, 5]);
        fleet.run(before);
        fleet.programs[0].signal("TERM");
    }
    fleet.run(ms(800));
    fleet.begin_again(0);
    fleet.run(ms(4500));
    kept(&fleet);
    assert!(fleet.proxies.iter().all(|p| !p.table.contains_key(&4) && !p.table.contains_key(&5)));
}

/// What the bench's pages refuse is not done: no child, and no socket but TCP and UDP over IPv4. The runtime's own pair,
/// by which it hears of signals, has no name that anybody could come to.
#[rstest]
fn one_process_with_plain_sockets_over_a_day_with_restarts_and_strangers() {
    let mut fleet = fleet();
    let look = |fleet: &Fleet| {
        for program in &fleet.programs {
            assert_eq!(program.children(), Vec::<u32>::new());
            let kinds: Vec<String> = program.sockets().into_keys().collect();
            let plain = |k: &String| ["tcp", "udp", "unix", "unlisted"].contains(&k.as_str());
            assert!(kinds.iter().all(plain), "{kinds:?}");
        }
    };
    look(&fleet);
    let strange = strangers(fleet.programs[0].listen, 40);
    fleet.programs[1].signal("HUP");
    fleet.run(ms(300));
    look(&fleet);
    fleet.restart(2, ms(300));
    fleet.replace(&[0, 1]);
    fleet.run(ms(600));
    look(&fleet);
    drop(strange);
}

/// Five planners see one another's calls in no report, and all raise the same cold servers at the same time.
#[rstest]
fn cold_servers_that_several_planners_raise_at_once_are_not_pushed_over() {
    let mut fleet = Fleet::start(PROGRAM, 5, 40, 20, 0.8);
    fleet.until("every proxy has a table", ms(8000), Fleet::settled);
    fleet.run(ms(2000));
    fleet.replace(&(0..12).collect::<Vec<usize>>());
    fleet.run(ms(2200));
    fleet.remove_drained();
    fleet.run(ms(5000));
    kept(&fleet);
}

/// Three in four servers come anew at once as the load rises by half: what the warm ones turn away is not tried again at
/// the cold ones, which no report tells of for seconds yet (docs/incidents/016). Harder than the rule's own days, so its
/// multiple is wider here: 2.9 are sent, and 4.5 without the mend.
#[rstest]
fn what_full_servers_turn_away_does_not_push_cold_ones_over() {
    let mut fleet = Fleet::warming(PROGRAM, 5, 60, 30, 0.62, ms(15_000));
    fleet.until("every proxy has a table", ms(8000), Fleet::settled);
    // A planner that has just started lets no cold server in.
    fleet.run(ms(8000));
    (fleet.cold, fleet.every, fleet.limits.fall_multiple) = (0.1, ms(2000), 3.7);
    fleet.proxies.iter_mut().for_each(|p| p.rate *= 1.5);
    fleet.replace(&(0..23).collect::<Vec<usize>>());
    fleet.run(ms(2200));
    fleet.remove_drained();
    fleet.run(ms(5000));
    kept(&fleet);
    assert!(fleet.worst > 1.0, "cold servers are let in: {}", fleet.worst);
}
