//! One member alone: when it grants a vote, and when it does not.

use crate::cluster::{PARAMETERS, TestHost, version, voter};
use grebespool_leader_election::*;
use rstest::rstest;
use std::time::Duration;

/// One member alone with what it is told, its clock in milliseconds.
struct SingleMember {
    member: Member<TestHost>,
    host: TestHost,
}

impl SingleMember {
    fn new(term: u64) -> SingleMember {
        let membership =
            Membership { version: version(term, 0), voters: (1..=3).map(|id| (id, voter(id))).collect() };
        let kept = HardState { id: 1, fleet: 9, term, voted_for: None, membership, revision: 5 };
        let host = TestHost::default();
        SingleMember { member: Member::new(host.clone(), kept, PARAMETERS, 1, Duration::ZERO), host }
    }

    fn receive(&mut self, ms: u64, from: MemberId, message: Message) -> Vec<(MemberId, Message)> {
        self.member.receive(Duration::from_millis(ms), from, message);
        std::mem::take(&mut self.host.0.borrow_mut().send)
    }

    fn all_persisted(&mut self, ms: u64) -> Vec<(MemberId, Message)> {
        let revision = self.member.hard_state().revision;
        self.member.persisted(Duration::from_millis(ms), revision);
        std::mem::take(&mut self.host.0.borrow_mut().send)
    }
}

fn vote_request(term: u64) -> Message {
    Message::VoteRequest { term, membership_version: version(4, 0), leadership_transfer: false }
}

#[rstest]
fn grants_one_vote_a_term_once_it_is_durable() {
    let mut single = SingleMember::new(4);
    assert!(single.receive(2000, 2, vote_request(5)).is_empty(), "nothing is said before it is durable");
    assert_eq!(single.host.0.borrow().persist.last().unwrap().voted_for, Some(2));
    assert!(single.receive(2001, 3, vote_request(5)).is_empty(), "another asks in the same term");
    assert_eq!(single.all_persisted(2500), [(2, Message::VoteGranted { term: 5 })]);
    assert!(single.receive(4000, 3, vote_request(5)).is_empty(), "nor later");
    assert_eq!(
        single.receive(4001, 2, vote_request(5)),
        [(2, Message::VoteGranted { term: 5 })],
        "an answer that was lost"
    );
}

#[rstest]
#[case::at_once(10, false)]
#[case::within_what_it_may_have_promised(990, false)]
#[case::after_it(1000, true)]
fn votes_for_nobody_right_after_a_start(#[case] at: u64, #[case] votes: bool) {
    let mut single = SingleMember::new(4);
    single.receive(at, 2, vote_request(5));
    assert_eq!(single.all_persisted(at).len(), usize::from(votes));
}

#[rstest]
#[case::voted_for_another(vote_request(5), 6)]
#[case::heard_the_leader(Message::Heartbeat { term: 5, number: 1, membership_version: version(5, 0) }, 6)]
fn votes_for_no_other_while_a_promise_lasts(#[case] message: Message, #[case] term: u64) {
    let mut single = SingleMember::new(4);
    single.receive(2000, 2, message);
    single.all_persisted(2001);
    let membership_version = version(9, 0);
    assert!(single.receive(2990, 3, Message::PreVoteRequest { term, membership_version }).is_empty());
    assert!(
        single
            .receive(2990, 3, Message::VoteRequest { term, membership_version, leadership_transfer: false })
            .is_empty()
    );
    assert_eq!(single.member.term(), 5, "nor does it take up the term");
    assert_eq!(
        single.receive(3000, 3, Message::PreVoteRequest { term, membership_version }),
        [(3, Message::PreVoteGranted { term })]
    );
    single.receive(3001, 3, Message::VoteRequest { term, membership_version, leadership_transfer: false });
    assert_eq!(single.all_persisted(3002), [(3, Message::VoteGranted { term })]);
}

#[rstest]
#[case::an_older_one(version(3, 9), false)]
#[case::its_own(version(4, 0), true)]
#[case::a_newer_one(version(4, 1), true)]
fn votes_for_no_candidate_with_an_older_membership(
    #[case] membership_version: MembershipVersion,
    #[case] votes: bool,
) {
    let mut single = SingleMember::new(4);
    let said = single.receive(2000, 2, Message::PreVoteRequest { term: 5, membership_version });
    assert_eq!(said.len(), usize::from(votes));
    single.receive(2000, 2, Message::VoteRequest { term: 5, membership_version, leadership_transfer: false });
    assert_eq!(single.all_persisted(2001).len(), usize::from(votes));
}

#[rstest]
fn rejects_an_old_leader_and_stays_silent_while_storage_fails() {
    let mut single = SingleMember::new(4);
    let old = Message::Heartbeat { term: 3, number: 8, membership_version: version(3, 0) };
    assert_eq!(single.receive(2000, 2, old), [(2, Message::NewerTerm { term: 4 })]);
    single.member.storage_failed(Duration::from_millis(2001));
    assert!(single.receive(3000, 3, vote_request(5)).is_empty());
    assert!(
        single
            .receive(3000, 3, Message::PreVoteRequest { term: 5, membership_version: version(4, 0) })
            .is_empty()
    );
    assert_eq!(single.member.status(Duration::from_secs(3)).role, MemberRole::NonVoting);
    single.all_persisted(3100);
    assert_eq!(
        single.receive(3200, 3, Message::PreVoteRequest { term: 5, membership_version: version(4, 0) }).len(),
        1
    );
}
