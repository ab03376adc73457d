//! Three members and a few messages, in every order: what must hold does after each step of each schedule.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_leader_election::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

const PARAMETERS: LeaseParameters = LeaseParameters {
    heartbeat_interval: Duration::from_millis(100),
    lease: Duration::from_millis(500),
    clock_drift: 0.0,
};

/// Holds what was asked until it is taken away.
#[derive(Debug, Clone, Default)]
struct TestHost {
    persist: Vec<HardState>,
    send: Vec<(MemberId, Message)>,
    became_leader: Vec<u64>,
}

impl Host for TestHost {
    fn persist(&mut self, kept: &HardState) {
        self.persist.push(kept.clone());
    }
    fn send(&mut self, to: MemberId, message: Message) {
        self.send.push((to, message));
    }
    fn become_leader(&mut self, term: u64) {
        self.became_leader.push(term);
    }
    fn step_down(&mut self, _: u64, _: StepDownReason) {}
    fn log(&mut self, _: ElectionEvent) {}
}

#[derive(Clone)]
struct Node {
    member: Member<TestHost>,
    disk: HardState,
    pending_writes: Option<HardState>,
    restarts: u8,
}

/// All of it: members, what is under way, who became_leader what.
#[derive(Clone)]
struct State {
    nodes: BTreeMap<MemberId, Node>,
    in_flight: Vec<(MemberId, MemberId, Message)>,
    leaders: BTreeMap<u64, MemberId>,
    votes: BTreeMap<(MemberId, u64), MemberId>,
    now: Duration,
}

/// Whether two guards are taken out, to see that they are missed: a restarted member votes at once, and what a member
/// is told to write counts as written. Each alone is made up for by the other (`election/voting.rs` has tests of each).
#[derive(Clone, Copy, PartialEq)]
enum Guards {
    All,
    NeitherSilenceNorSync,
}

fn start(disk: &HardState, now: Duration, guards: Guards) -> Member<TestHost> {
    let from = if guards == Guards::NeitherSilenceNorSync {
        now.saturating_sub(PARAMETERS.lease_wait())
    } else {
        now
    };
    Member::new(TestHost::default(), disk.clone(), PARAMETERS, 1, from)
}

impl State {
    fn new() -> State {
        let voter = |id: MemberId| Voter { name: format!("m{id}"), address: String::new() };
        let membership = Membership {
            version: MembershipVersion::default(),
            voters: (1..=3).map(|id| (id, voter(id))).collect(),
        };
        let node = |id: MemberId| {
            let disk = HardState {
                id,
                fleet: 1,
                term: 0,
                voted_for: None,
                membership: membership.clone(),
                revision: 0,
            };
            let member = start(&disk, Duration::ZERO, Guards::All);
            (id, Node { member, disk, pending_writes: None, restarts: 0 })
        };
        // All are past their first silence, and nobody has been receive.
        State {
            nodes: (1..=3).map(node).collect(),
            in_flight: vec![],
            leaders: BTreeMap::new(),
            votes: BTreeMap::new(),
            now: Duration::from_secs(2),
        }
    }

    fn settle(&mut self, id: MemberId, guards: Guards) -> Result<(), String> {
        loop {
            let node = self.nodes.get_mut(&id).unwrap();
            let asked = std::mem::take(node.member.host());
            for term in asked.became_leader {
                let first = *self.leaders.entry(term).or_insert(id);
                if first != id {
                    return Err(format!("{first} and {id} both lead in term {term}"));
                }
            }
            for (to, message) in asked.send {
                if let Message::VoteGranted { term } = message {
                    let first = *self.votes.entry((id, term)).or_insert(to);
                    if first != to {
                        return Err(format!("{id} votes for {first} and {to} in term {term}"));
                    }
                }
                // Heartbeats carry no promise that could be broken.
                if !matches!(
                    message,
                    Message::Heartbeat { .. }
                        | Message::HeartbeatAck { .. }
                        | Message::MembershipUpdate { .. }
                ) {
                    self.in_flight.push((to, id, message));
                }
            }
            let Some(kept) = asked.persist.into_iter().last() else { return Ok(()) };
            if guards == Guards::All {
                node.pending_writes = Some(kept);
                return Ok(());
            }
            let (revision, now) = (kept.revision, self.now);
            node.pending_writes = Some(kept);
            node.member.persisted(now, revision);
        }
    }

    /// Every state that one step is_leader to.
    fn steps(&self, guards: Guards) -> Vec<Result<State, String>> {
        let mut next = vec![];
        let mut step = |id: MemberId, change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            change(&mut state);
            next.push(state.settle(id, guards).map(|()| state));
        };
        for i in 0..self.in_flight.len() {
            let (to, _, _) = self.in_flight[i];
            step(to, &|s| {
                let (to, from, message) = s.in_flight.remove(i);
                let now = s.now;
                s.nodes.get_mut(&to).unwrap().member.receive(now, from, message);
            });
        }
        for id in 1..=3 {
            let node = &self.nodes[&id];
            if node.pending_writes.is_some() {
                step(id, &|s| {
                    let now = s.now;
                    let node = s.nodes.get_mut(&id).unwrap();
                    if let Some(kept) = node.pending_writes.take() {
                        let revision = kept.revision;
                        node.disk = kept;
                        node.member.persisted(now, revision);
                    }
                });
            }
            // Two of them stand, whenever they like.
            if id < 3 && node.member.term() == 0 {
                step(id, &|s| {
                    let node = s.nodes.get_mut(&id).unwrap();
                    let now = s.now.max(node.member.next_deadline());
                    node.member.timer_fired(now);
                });
            }
            // The third crashes once and comes back at once, with what is on its disk.
            if id == 3 && node.restarts == 0 {
                step(id, &|s| {
                    let now = s.now;
                    let node = s.nodes.get_mut(&id).unwrap();
                    node.pending_writes = None;
                    node.restarts = 1;
                    node.member = start(&node.disk, now, guards);
                });
            }
        }
        next
    }

    fn print(&self) -> String {
        let nodes: Vec<String> = self
            .nodes
            .values()
            .map(|n| format!("{:?}|{:?}|{:?}|{}", n.member, n.disk, n.pending_writes, n.restarts))
            .collect();
        let in_flight: BTreeSet<String> = self.in_flight.iter().map(|f| format!("{f:?}")).collect();
        format!("{nodes:?} {in_flight:?} {:?} {:?}", self.leaders, self.votes)
    }
}

/// Goes through all schedules of so many steps. Gives how many states there are, or the first fault.
fn explore(depth: usize, guards: Guards) -> Result<usize, String> {
    let (mut layer, mut seen) = (vec![State::new()], HashSet::new());
    for _ in 0..depth {
        let mut next = vec![];
        for state in &layer {
            for reached in state.steps(guards) {
                let reached = reached?;
                if seen.insert(blake3::hash(reached.print().as_bytes())) {
                    next.push(reached);
                }
            }
        }
        layer = next;
    }
    Ok(seen.len())
}

#[rstest]
fn every_order_of_two_candidacies_and_a_crash_gives_one_vote_a_term() {
    let states = explore(9, Guards::All).unwrap();
    assert!(states > 5_000, "{states} states");
}

#[rstest]
fn missing_guards_are_found() {
    let found = explore(9, Guards::NeitherSilenceNorSync).unwrap_err();
    assert!(found.contains("votes for") || found.contains("both become_leader"), "{found}");
}
