//! Explores every order of the messages, writes and timers of three members, and checks after each step that no member
//! votes twice in a term and no term has two leaders.

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

/// Records a member's requests until the test takes them.
#[derive(Debug, Clone, Default)]
struct TestHost {
    writes: Vec<HardState>,
    messages: Vec<(MemberId, Message)>,
    led_terms: Vec<u64>,
}

impl Host for TestHost {
    fn persist(&mut self, state: &HardState) {
        self.writes.push(state.clone());
    }
    fn send(&mut self, to: MemberId, message: Message) {
        self.messages.push((to, message));
    }
    fn become_leader(&mut self, term: u64) {
        self.led_terms.push(term);
    }
    fn step_down(&mut self, _: u64, _: StepDownReason) {}
    fn log(&mut self, _: ElectionEvent) {}
}

#[derive(Clone)]
struct Node {
    member: Member<TestHost>,
    disk: HardState,
    /// The newest state that the member asked to write and that is not durable yet.
    pending_write: Option<HardState>,
    restarts: u8,
}

/// The state of a schedule: the members, the messages in flight as (receiver, sender, message), and the leaders and votes
/// of each term.
#[derive(Clone)]
struct State {
    nodes: BTreeMap<MemberId, Node>,
    in_flight: Vec<(MemberId, MemberId, Message)>,
    leaders: BTreeMap<u64, MemberId>,
    votes: BTreeMap<(MemberId, u64), MemberId>,
    now: Duration,
}

/// The guards that are in force. Without two of them, a restarted member votes at once, and a write counts as durable
/// before it is. Both are removed together, as either one compensates for the lack of the other (`election/voting.rs`
/// tests each alone).
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
            (id, Node { member, disk, pending_write: None, restarts: 0 })
        };
        // At 2 s all members are past the silent time after their start, and no message has been received.
        State {
            nodes: (1..=3).map(node).collect(),
            in_flight: vec![],
            leaders: BTreeMap::new(),
            votes: BTreeMap::new(),
            now: Duration::from_secs(2),
        }
    }

    /// Executes the requests of a member. The error is the guarantee that is broken.
    fn execute_requests(&mut self, id: MemberId, guards: Guards) -> Result<(), String> {
        loop {
            let node = self.nodes.get_mut(&id).unwrap();
            let requests = std::mem::take(node.member.host());
            for term in requests.led_terms {
                let first = *self.leaders.entry(term).or_insert(id);
                if first != id {
                    return Err(format!("{first} and {id} both lead in term {term}"));
                }
            }
            for (to, message) in requests.messages {
                if let Message::VoteGranted { term } = message {
                    let first = *self.votes.entry((id, term)).or_insert(to);
                    if first != to {
                        return Err(format!("{id} votes for {first} and {to} in term {term}"));
                    }
                }
                // Heartbeats, acknowledgements and membership updates carry no vote, so their order cannot break a
                // guarantee that is checked here.
                if !matches!(
                    message,
                    Message::Heartbeat { .. }
                        | Message::HeartbeatAck { .. }
                        | Message::MembershipUpdate { .. }
                ) {
                    self.in_flight.push((to, id, message));
                }
            }
            let Some(state) = requests.writes.into_iter().last() else { return Ok(()) };
            if guards == Guards::All {
                node.pending_write = Some(state);
                return Ok(());
            }
            let (revision, now) = (state.revision, self.now);
            node.pending_write = Some(state);
            node.member.persisted(now, revision);
        }
    }

    /// Returns every state that one step leads to.
    fn steps(&self, guards: Guards) -> Vec<Result<State, String>> {
        let mut next = vec![];
        let mut step = |id: MemberId, change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            change(&mut state);
            next.push(state.execute_requests(id, guards).map(|()| state));
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
            if node.pending_write.is_some() {
                step(id, &|s| {
                    let now = s.now;
                    let node = s.nodes.get_mut(&id).unwrap();
                    if let Some(state) = node.pending_write.take() {
                        let revision = state.revision;
                        node.disk = state;
                        node.member.persisted(now, revision);
                    }
                });
            }
            // Members 1 and 2 may stand for election at any time.
            if id < 3 && node.member.term() == 0 {
                step(id, &|s| {
                    let node = s.nodes.get_mut(&id).unwrap();
                    let now = s.now.max(node.member.next_deadline());
                    node.member.timer_fired(now);
                });
            }
            // Member 3 crashes once and restarts at once from its disk.
            if id == 3 && node.restarts == 0 {
                step(id, &|s| {
                    let now = s.now;
                    let node = s.nodes.get_mut(&id).unwrap();
                    node.pending_write = None;
                    node.restarts = 1;
                    node.member = start(&node.disk, now, guards);
                });
            }
        }
        next
    }

    /// Returns a text by which equal states are recognized; the order of messages in flight does not matter.
    fn fingerprint(&self) -> String {
        let nodes: Vec<String> = self
            .nodes
            .values()
            .map(|n| format!("{:?}|{:?}|{:?}|{}", n.member, n.disk, n.pending_write, n.restarts))
            .collect();
        let in_flight: BTreeSet<String> = self.in_flight.iter().map(|f| format!("{f:?}")).collect();
        format!("{nodes:?} {in_flight:?} {:?} {:?}", self.leaders, self.votes)
    }
}

/// Explores all schedules of `depth` steps. Returns the number of distinct states; the error is the first broken guarantee.
fn explore(depth: usize, guards: Guards) -> Result<usize, String> {
    let (mut layer, mut seen) = (vec![State::new()], HashSet::new());
    for _ in 0..depth {
        let mut next = vec![];
        for state in &layer {
            for reached in state.steps(guards) {
                let reached = reached?;
                if seen.insert(blake3::hash(reached.fingerprint().as_bytes())) {
                    next.push(reached);
                }
            }
        }
        layer = next;
    }
    Ok(seen.len())
}

#[rstest]
fn every_order_of_two_candidacies_and_a_crash_gives_one_vote_per_term() {
    let states = explore(9, Guards::All).unwrap();
    assert!(states > 5_000, "{states} states");
}

#[rstest]
fn exploration_finds_missing_guards() {
    let found = explore(9, Guards::NeitherSilenceNorSync).unwrap_err();
    assert!(found.contains("votes for") || found.contains("both become_leader"), "{found}");
}
