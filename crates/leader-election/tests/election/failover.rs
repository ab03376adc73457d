//! A leader is elected, stays while its heartbeats arrive, and is replaced after a fault.

use crate::cluster::{Cluster, S};
use grebespool_leader_election::*;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::one(1)]
#[case::three(3)]
#[case::five(5)]
fn elects_one_leader_and_keeps_it(#[case] members: u64) {
    let mut cluster = Cluster::new(members, 1);
    cluster.run(S(5));
    let leader = cluster.leader().expect("a member leads");
    cluster.run(S(60));
    assert_eq!((cluster.leader(), cluster.elections), (Some(leader), 1));
}

type Fault = fn(&mut Cluster, MemberId);

#[rstest]
#[case::crashed(|cluster: &mut Cluster, leader: MemberId| cluster.crash(leader))]
#[case::paused(|cluster: &mut Cluster, leader: MemberId| cluster.set_paused(leader, true))]
#[case::partitioned(|cluster: &mut Cluster, leader: MemberId| cluster.partition(leader, (true, true)))]
#[case::cannot_send(|cluster: &mut Cluster, leader: MemberId| cluster.partition(leader, (true, false)))]
#[case::storage_failed(|cluster: &mut Cluster, leader: MemberId| {
    cluster.call(leader, |member, now| member.storage_failed(now)).unwrap()
})]
#[case::asked_to_step_down(|cluster: &mut Cluster, leader: MemberId| {
    cluster.call(leader, |member, now| member.step_down(now)).unwrap().unwrap()
})]
fn elects_another_leader_after_a_fault(#[case] fault: Fault) {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, seed);
        cluster.run(S(5));
        let first = cluster.leader().expect("a member leads");
        fault(&mut cluster, first);
        let mut waited = Duration::ZERO;
        while cluster.leader().is_none_or(|leader| leader == first) {
            cluster.run(Duration::from_millis(20));
            waited += Duration::from_millis(20);
            assert!(waited < S(4), "no member took over within {waited:?} (seed {seed})");
        }
        let term = *cluster.leaders.keys().next_back().unwrap();
        assert!(term > *cluster.leaders.keys().next().unwrap());
        cluster.heal();
        cluster.run(S(10));
        assert_eq!(cluster.lease_holders().len(), 1);
    }
}

#[rstest]
fn continues_from_a_higher_term_that_a_proxy_reports() {
    let mut cluster = Cluster::new(3, 8);
    cluster.run(S(5));
    let first = cluster.leader().unwrap();
    cluster.call(first, |m, now| m.higher_term_seen(now, 77));
    assert!(cluster.leader().is_none(), "the leader steps down at once");
    cluster.run(S(5));
    assert!(cluster.leader().is_some() && cluster.leaders.keys().next_back() > Some(&77));
}

#[rstest]
fn denies_the_lease_to_a_leader_that_wakes_from_a_stall() {
    let mut cluster = Cluster::new(3, 4);
    cluster.run(S(5));
    let first = cluster.leader().unwrap();
    cluster.set_paused(first, true);
    cluster.run(S(5));
    cluster.set_paused(first, false);
    // The leader has neither received a message nor handled a timer since the stall.
    let node = &cluster.nodes[&first];
    assert!(!node.member.as_ref().unwrap().holds_lease(node.clock(cluster.now)));
    assert!(node.member.as_ref().unwrap().is_leader(), "the leader has not stepped down yet");
    cluster.run(S(3));
    assert_ne!(cluster.leader(), Some(first));
}

#[rstest]
fn keeps_the_leader_while_a_link_flaps_and_has_no_leader_without_a_quorum() {
    let mut cluster = Cluster::new(3, 6);
    cluster.run(S(5));
    let first = cluster.leader().unwrap();
    let others: Vec<MemberId> = (1..=3).filter(|id| *id != first).collect();
    // One follower is repeatedly cut off: it requests pre-votes, which the others do not grant.
    for _ in 0..20 {
        cluster.partition(others[0], (true, true));
        cluster.run(Duration::from_millis(1700));
        cluster.blocked.clear();
        cluster.run(Duration::from_millis(400));
    }
    assert_eq!((cluster.leader(), cluster.elections), (Some(first), 1));
    others.iter().for_each(|id| cluster.crash(*id));
    cluster.run(S(3));
    assert!(cluster.lease_holders().is_empty(), "no member leads on its own");
    let status = cluster.call(first, |m, now| m.status(now)).unwrap();
    assert_eq!(
        (status.role, status.step_down_reason),
        (MemberRole::NoLeader, Some(StepDownReason::LeaseExpired))
    );
    cluster.heal();
    cluster.run(S(8));
    assert_eq!(cluster.lease_holders().len(), 1);
}
