//! The conditions under which one member grants or refuses a vote.

use crate::cluster::{PARAMETERS, TestHost, version, voter};
use grebespool_leader_election::*;
use rstest::rstest;
use std::time::Duration;

/// One member, to which a test passes messages; times are in milliseconds of its clock.
struct SingleMember {
    member: Member<TestHost>,
    host: TestHost,
}

impl SingleMember {
    fn new(term: u64) -> SingleMember {
        let membership =
            Membership { version: version(term, 0), voters: (1..=3).map(|id| (id, voter(id))).collect() };
        let state = HardState { id: 1, fleet: 9, term, voted_for: None, membership, revision: 5 };
        let host = TestHost::default();
        SingleMember { member: Member::new(host.clone(), state, PARAMETERS, 1, Duration::ZERO), host }
    }

    /// Returns the messages that the member sends on receiving a message.
    fn receive(&mut self, ms: u64, from: MemberId, message: Message) -> Vec<(MemberId, Message)> {
        self.member.receive(Duration::from_millis(ms), from, message);
        std::mem::take(&mut self.host.0.borrow_mut().messages)
    }

    /// Completes all writes, and returns the messages that the member then sends.
    fn complete_writes(&mut self, ms: u64) -> Vec<(MemberId, Message)> {
        let revision = self.member.hard_state().revision;
        self.member.persisted(Duration::from_millis(ms), revision);
        std::mem::take(&mut self.host.0.borrow_mut().messages)
    }
}

fn vote_request(term: u64) -> Message {
    Message::VoteRequest { term, membership_version: version(4, 0), leadership_transfer: false }
}

#[rstest]
fn grants_one_vote_per_term_once_it_is_durable() {
    let mut single = SingleMember::new(4);
    assert!(single.receive(2000, 2, vote_request(5)).is_empty(), "the vote is not sent before it is durable");
    assert_eq!(single.host.0.borrow().writes.last().unwrap().voted_for, Some(2));
    assert!(
        single.receive(2001, 3, vote_request(5)).is_empty(),
        "another candidate of the same term gets no vote"
    );
    assert_eq!(single.complete_writes(2500), [(2, Message::VoteGranted { term: 5 })]);
    assert!(
        single.receive(4000, 3, vote_request(5)).is_empty(),
        "the other candidate gets no vote later either"
    );
    assert_eq!(
        single.receive(4001, 2, vote_request(5)),
        [(2, Message::VoteGranted { term: 5 })],
        "a repeated request is answered again"
    );
}

#[rstest]
#[case::right_after_the_start(10, false)]
#[case::while_earlier_promises_may_last(990, false)]
#[case::once_earlier_promises_have_expired(1000, true)]
fn grants_no_vote_right_after_a_start(#[case] at: u64, #[case] votes: bool) {
    let mut single = SingleMember::new(4);
    single.receive(at, 2, vote_request(5));
    assert_eq!(single.complete_writes(at).len(), usize::from(votes));
}

#[rstest]
#[case::voted_for_another(vote_request(5), 6)]
#[case::received_a_heartbeat(Message::Heartbeat { term: 5, number: 1, membership_version: version(5, 0) }, 6)]
fn grants_another_candidate_no_vote_while_a_promise_lasts(#[case] message: Message, #[case] term: u64) {
    let mut single = SingleMember::new(4);
    single.receive(2000, 2, message);
    single.complete_writes(2001);
    let membership_version = version(9, 0);
    assert!(single.receive(2990, 3, Message::PreVoteRequest { term, membership_version }).is_empty());
    assert!(
        single
            .receive(2990, 3, Message::VoteRequest { term, membership_version, leadership_transfer: false })
            .is_empty()
    );
    assert_eq!(single.member.term(), 5, "the term is not adopted either");
    assert_eq!(
        single.receive(3000, 3, Message::PreVoteRequest { term, membership_version }),
        [(3, Message::PreVoteGranted { term })]
    );
    single.receive(3001, 3, Message::VoteRequest { term, membership_version, leadership_transfer: false });
    assert_eq!(single.complete_writes(3002), [(3, Message::VoteGranted { term })]);
}

#[rstest]
#[case::older(version(3, 9), false)]
#[case::same(version(4, 0), true)]
#[case::newer(version(4, 1), true)]
fn grants_no_vote_to_a_candidate_with_an_older_membership(
    #[case] membership_version: MembershipVersion,
    #[case] votes: bool,
) {
    let mut single = SingleMember::new(4);
    let replies = single.receive(2000, 2, Message::PreVoteRequest { term: 5, membership_version });
    assert_eq!(replies.len(), usize::from(votes));
    single.receive(2000, 2, Message::VoteRequest { term: 5, membership_version, leadership_transfer: false });
    assert_eq!(single.complete_writes(2001).len(), usize::from(votes));
}

#[rstest]
fn rejects_a_former_leader_and_grants_no_vote_while_storage_fails() {
    let mut single = SingleMember::new(4);
    let old_heartbeat = Message::Heartbeat { term: 3, number: 8, membership_version: version(3, 0) };
    assert_eq!(single.receive(2000, 2, old_heartbeat), [(2, Message::NewerTerm { term: 4 })]);
    single.member.storage_failed(Duration::from_millis(2001));
    assert!(single.receive(3000, 3, vote_request(5)).is_empty());
    assert!(
        single
            .receive(3000, 3, Message::PreVoteRequest { term: 5, membership_version: version(4, 0) })
            .is_empty()
    );
    assert_eq!(single.member.status(Duration::from_secs(3)).role, MemberRole::NonVoting);
    single.complete_writes(3100);
    assert_eq!(
        single.receive(3200, 3, Message::PreVoteRequest { term: 5, membership_version: version(4, 0) }).len(),
        1
    );
}
