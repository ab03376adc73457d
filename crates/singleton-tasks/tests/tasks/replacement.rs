//! The replacement of members, one after the other.

use crate::cluster::{Cluster, MissingGuard, S};
use grebespool_leader_election::MemberId;
use rstest::rstest;

/// Two of three members are replaced one after the other, each by a member with an empty disk. If the new members answered
/// before they copied entries, two of them would form a quorum without the records of the former one.
#[rstest]
fn an_added_member_copies_entries_before_it_answers() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(3, 2, seed, MissingGuard::None);
        cluster.run(S(6));
        for (replaced, new) in [(2, 4), (3, 5)] {
            cluster.crash(replaced);
            cluster.nodes.remove(&replaced);
            cluster.members.retain(|id| *id != replaced);
            let members: Vec<MemberId> = cluster.members.clone();
            members.iter().for_each(|id| cluster.publish_election(*id));
            cluster.run(S(3));
            cluster.members.push(new);
            cluster.add_node(new, false);
            let members: Vec<MemberId> = cluster.members.clone();
            members.iter().for_each(|id| cluster.publish_election(*id));
            cluster.run(S(4));
            assert!(cluster.nodes[&new].copied);
        }
        let before = cluster.applied_steps();
        cluster.run(S(3));
        assert!(cluster.applied_steps().iter().zip(&before).all(|(a, b)| a > b), "seed {seed}");
    }
}
