//! Three members and a few messages, in every order: what must hold does after each step of each schedule.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_leader_election::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

const TERMS: Terms =
    Terms { beat: Duration::from_millis(100), lease: Duration::from_millis(500), drift: 0.0 };

/// Holds what was asked until it is taken away.
#[derive(Debug, Clone, Default)]
struct Desk {
    keep: Vec<Kept>,
    say: Vec<(Id, Word)>,
    led: Vec<u64>,
}

impl Host for Desk {
    fn keep(&mut self, kept: &Kept) {
        self.keep.push(kept.clone());
    }
    fn say(&mut self, to: Id, word: Word) {
        self.say.push((to, word));
    }
    fn lead(&mut self, epoch: u64) {
        self.led.push(epoch);
    }
    fn stand_down(&mut self, _: u64, _: Why) {}
    fn note(&mut self, _: &str) {}
}

#[derive(Clone)]
struct Node {
    member: Member<Desk>,
    disk: Kept,
    writing: Option<Kept>,
    restarts: u8,
}

/// All of it: members, what is under way, who led what.
#[derive(Clone)]
struct State {
    nodes: BTreeMap<Id, Node>,
    flight: Vec<(Id, Id, Word)>,
    leaders: BTreeMap<u64, Id>,
    votes: BTreeMap<(Id, u64), Id>,
    now: Duration,
}

/// Whether two guards are taken out, to see that they are missed: a restarted member votes at once, and what a member
/// is told to write counts as written. Each alone is made up for by the other (`world.rs` has tests of each).
#[derive(Clone, Copy, PartialEq)]
enum Plant {
    Nothing,
    NeitherQuietNorSynced,
}

fn start(disk: &Kept, now: Duration, plant: Plant) -> Member<Desk> {
    let from = if plant == Plant::NeitherQuietNorSynced { now.saturating_sub(TERMS.wait()) } else { now };
    Member::start(Desk::default(), disk.clone(), TERMS, 1, from)
}

impl State {
    fn new() -> State {
        let seat = |id: Id| Seat { name: format!("m{id}"), address: String::new() };
        let roster = Roster { epoch: 0, number: 0, seats: (1..=3).map(|id| (id, seat(id))).collect() };
        let node = |id: Id| {
            let disk = Kept { id, fleet: 1, epoch: 0, vote: None, roster: roster.clone(), stamp: 0 };
            let member = start(&disk, Duration::ZERO, Plant::Nothing);
            (id, Node { member, disk, writing: None, restarts: 0 })
        };
        // All are past their first silence, and nobody has been heard.
        State {
            nodes: (1..=3).map(node).collect(),
            flight: vec![],
            leaders: BTreeMap::new(),
            votes: BTreeMap::new(),
            now: Duration::from_secs(2),
        }
    }

    fn settle(&mut self, id: Id, plant: Plant) -> Result<(), String> {
        loop {
            let node = self.nodes.get_mut(&id).unwrap();
            let asked = std::mem::take(node.member.host());
            for epoch in asked.led {
                let first = *self.leaders.entry(epoch).or_insert(id);
                if first != id {
                    return Err(format!("{first} and {id} both lead in epoch {epoch}"));
                }
            }
            for (to, word) in asked.say {
                if let Word::Vote { epoch } = word {
                    let first = *self.votes.entry((id, epoch)).or_insert(to);
                    if first != to {
                        return Err(format!("{id} votes for {first} and {to} in epoch {epoch}"));
                    }
                }
                // Beats and canvassing carry no promise that could be broken.
                if !matches!(word, Word::Beat { .. } | Word::Heard { .. } | Word::Seats { .. }) {
                    self.flight.push((to, id, word));
                }
            }
            let Some(kept) = asked.keep.into_iter().last() else { return Ok(()) };
            if plant == Plant::Nothing {
                node.writing = Some(kept);
                return Ok(());
            }
            let (stamp, now) = (kept.stamp, self.now);
            node.writing = Some(kept);
            node.member.kept(now, stamp);
        }
    }

    /// Every state that one step leads to.
    fn steps(&self, plant: Plant) -> Vec<Result<State, String>> {
        let mut next = vec![];
        let mut step = |id: Id, change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            change(&mut state);
            next.push(state.settle(id, plant).map(|()| state));
        };
        for i in 0..self.flight.len() {
            let (to, _, _) = self.flight[i];
            step(to, &|s| {
                let (to, from, word) = s.flight.remove(i);
                let now = s.now;
                s.nodes.get_mut(&to).unwrap().member.heard(now, from, word);
            });
        }
        for id in 1..=3 {
            let node = &self.nodes[&id];
            if node.writing.is_some() {
                step(id, &|s| {
                    let now = s.now;
                    let node = s.nodes.get_mut(&id).unwrap();
                    if let Some(kept) = node.writing.take() {
                        let stamp = kept.stamp;
                        node.disk = kept;
                        node.member.kept(now, stamp);
                    }
                });
            }
            // Two of them stand, whenever they like.
            if id < 3 && node.member.epoch() == 0 {
                step(id, &|s| {
                    let node = s.nodes.get_mut(&id).unwrap();
                    let now = s.now.max(node.member.due());
                    node.member.woken(now);
                });
            }
            // The third crashes once and comes back at once, with what is on its disk.
            if id == 3 && node.restarts == 0 {
                step(id, &|s| {
                    let now = s.now;
                    let node = s.nodes.get_mut(&id).unwrap();
                    node.writing = None;
                    node.restarts = 1;
                    node.member = start(&node.disk, now, plant);
                });
            }
        }
        next
    }

    fn print(&self) -> String {
        let nodes: Vec<String> = self
            .nodes
            .values()
            .map(|n| format!("{:?}|{:?}|{:?}|{}", n.member, n.disk, n.writing, n.restarts))
            .collect();
        let flight: BTreeSet<String> = self.flight.iter().map(|f| format!("{f:?}")).collect();
        format!("{nodes:?} {flight:?} {:?} {:?}", self.leaders, self.votes)
    }
}

/// Goes through all schedules of so many steps. Gives how many states there are, or the first fault.
fn explore(depth: usize, plant: Plant) -> Result<usize, String> {
    let (mut layer, mut seen) = (vec![State::new()], HashSet::new());
    for _ in 0..depth {
        let mut next = vec![];
        for state in &layer {
            for reached in state.steps(plant) {
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
fn every_order_of_two_candidacies_and_a_crash_keeps_the_votes() {
    let states = explore(9, Plant::Nothing).unwrap();
    assert!(states > 5_000, "{states} states");
}

#[rstest]
fn two_guards_taken_out_are_missed() {
    let found = explore(9, Plant::NeitherQuietNorSynced).unwrap_err();
    assert!(found.contains("votes for") || found.contains("both lead"), "{found}");
}
