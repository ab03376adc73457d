//! Changes of the set of voters, and the rejection of peers.

use crate::cluster::{Cluster, S, voter};
use grebespool_leader_election::*;
use rstest::rstest;

#[rstest]
fn changes_voters_while_a_leader_is_lost() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, 300 + seed);
        cluster.run(S(5));
        let first = cluster.leader().unwrap();
        let empty = Membership::default();
        cluster.add_node(
            9,
            HardState { id: 9, fleet: 9, term: 0, voted_for: None, membership: empty, revision: 0 },
        );
        cluster.run(S(5));
        assert_eq!(
            cluster.leader(),
            Some(first),
            "a member that has not been added neither leads nor disturbs the leader"
        );
        cluster.call(first, |m, now| m.add_voter(now, 9, voter(9))).unwrap().unwrap();
        // While the change is pending, another change is requested, and with every second seed the leader crashes.
        assert_eq!(
            cluster.call(first, |m, now| m.remove_voter(now, "m1")),
            Some(Err(MembershipError::ChangePending))
        );
        if seed % 2 == 0 {
            cluster.crash(first);
            cluster.run(S(6));
            cluster.boot(first);
        }
        cluster.run(S(5));
        let leader = cluster.leader().expect("a member leads");
        let status = cluster.call(leader, |m, now| m.status(now)).unwrap();
        assert!(status.membership_committed, "the membership after the change is committed");
        let replaced = (1..=3).find(|id| *id != leader && status.membership.contains(*id)).unwrap();
        cluster.crash(replaced);
        cluster.call(leader, |m, now| m.remove_voter(now, &format!("m{replaced}"))).unwrap().unwrap();
        cluster.run(S(3));
        cluster.boot(replaced);
        cluster.run(S(8));
        assert!(
            cluster.leader().is_some_and(|leader| leader != replaced),
            "a removed member does not lead after a restart"
        );
        let leader = cluster.leader().unwrap();
        let status = cluster.call(leader, |m, now| m.status(now)).unwrap();
        assert!(!status.membership.contains(replaced));
        // At last the leader removes itself.
        cluster.call(leader, |m, now| m.remove_voter(now, &format!("m{leader}"))).unwrap().unwrap();
        cluster.run(S(8));
        assert!(cluster.leader().is_some_and(|successor| successor != leader));
    }
}

#[rstest]
#[case::newer(5, 9, Ok(()))]
#[case::unchanged(5, 5, Ok(()))]
#[case::older(5, 4, Err(MembershipError::StaleState { reported: 4, known: 5 }))]
fn rejects_a_peer_whose_state_was_set_back(
    #[case] first: u64,
    #[case] second: u64,
    #[case] expected: Result<(), MembershipError>,
) {
    let mut cluster = Cluster::new(3, 1);
    assert_eq!(cluster.call(1, |m, _| m.peer_connected(2, first)), Some(Ok(())));
    assert_eq!(cluster.call(1, |m, _| m.peer_connected(2, second)), Some(expected));
    assert_eq!(cluster.call(1, |m, _| m.peer_connected(44, 1)), Some(Err(MembershipError::NotAMember)));
}

#[rstest]
fn rejects_invalid_changes_with_the_matching_error() {
    let mut cluster = Cluster::new(3, 2);
    cluster.run(S(5));
    let leader = cluster.leader().unwrap();
    let other = (1..=3).find(|id| *id != leader).unwrap();
    let not_leading = MembershipError::NotLeader { leader: Some(format!("m{leader}")) };
    assert_eq!(cluster.call(other, |m, now| m.step_down(now)), Some(Err(not_leading)));
    assert_eq!(
        cluster.call(leader, |m, now| m.remove_voter(now, "nobody")),
        Some(Err(MembershipError::UnknownMember("nobody".into())))
    );
    let already = cluster.call(leader, |m, now| m.add_voter(now, 50, voter(other)));
    assert_eq!(already, Some(Err(MembershipError::AlreadyMember(format!("m{other}")))));
    let mut alone = Cluster::new(1, 2);
    alone.run(S(1));
    assert_eq!(alone.call(1, |m, now| m.remove_voter(now, "m1")), Some(Err(MembershipError::LastMember)));
    assert_eq!(alone.call(1, |m, now| m.step_down(now)), Some(Err(MembershipError::LastMember)));
}
