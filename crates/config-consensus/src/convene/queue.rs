//! Proposals that wait for an edition.

use crate::content::Change;
use crate::edition::{Done, Hash};
use crate::fetch::Fetch;
use crate::terms::Host;
use crate::word::{Body, Proposal, Ticket, Word};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;

/// A proposal whose changes are all here.
#[derive(Debug, Clone)]
pub(crate) struct Taken {
    pub from: MemberId,
    pub ticket: Ticket,
    pub changes: Vec<Change>,
    pub forced: bool,
}

#[derive(Debug, Clone)]
enum Waits {
    Here(Vec<Change>),
    Coming(Fetch),
}

#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// In the order in which they came; of each member in its own.
    waiting: Vec<(MemberId, Ticket, bool, Waits)>,
    /// Those that came to nothing, each with why: said again where the answer was lost.
    refused: BTreeMap<(MemberId, Ticket), Vec<String>>,
    /// The first that each member has not been answered, as it last said.
    asks: BTreeMap<MemberId, Ticket>,
}

impl Queue {
    /// Against a member that floods: the rest comes again once these are through.
    const MOST: usize = 512;

    pub fn is_empty(&self) -> bool {
        !self.waiting.iter().any(|w| matches!(w.3, Waits::Here(_)))
    }

    /// Whether a member may not know yet what became of this one.
    pub fn asks(&self, from: MemberId, ticket: Ticket) -> bool {
        self.asks.get(&from).is_none_or(|first| ticket >= *first)
    }

    pub fn refuse(&mut self, from: MemberId, ticket: Ticket, why: Vec<String>) {
        self.refused.insert((from, ticket), why);
    }

    /// All that a member has not been answered, in its order. `known`: what became of those before, as of an edition that
    /// stands or is under way.
    pub fn propose(
        &mut self,
        host: &mut impl Host,
        from: MemberId,
        proposals: Vec<Proposal>,
        (number, known): (u64, Done),
    ) {
        // What it does not ask for any more, it knows.
        let first = proposals.first().map_or(Ticket::MAX, |p| p.ticket);
        self.refused.retain(|(id, ticket), _| *id != from || *ticket >= first);
        self.asks.insert(from, first);
        for Proposal { ticket, body, forced } in proposals {
            if let Some(why) = self.refused.get(&(from, ticket)) {
                host.say(from, Word::Proposed { ticket, done: Err(why.clone()) });
            } else if ticket <= known.last {
                let gone =
                    vec!["refused by the convener before; its reasons are in that member's log".into()];
                let done = if known.refused.contains(&ticket) { Err(gone) } else { Ok(number) };
                host.say(from, Word::Proposed { ticket, done });
            } else if !self.waiting.iter().any(|w| (w.0, w.1) == (from, ticket)) {
                if self.waiting.len() >= Self::MOST {
                    return;
                }
                let waits = match body {
                    Body::Changes(changes) => Waits::Here(changes),
                    Body::Bytes(hash) => {
                        let fetch = Fetch::new(hash);
                        host.say(from, fetch.ask());
                        Waits::Coming(fetch)
                    }
                };
                self.waiting.push((from, ticket, forced, waits));
            } else if let Some((.., Waits::Coming(fetch))) =
                self.waiting.iter().find(|w| (w.0, w.1) == (from, ticket))
            {
                host.say(from, fetch.ask());
            }
        }
    }

    pub fn part(
        &mut self,
        host: &mut impl Host,
        from: MemberId,
        hash: Hash,
        part: u32,
        parts: u32,
        bytes: &[u8],
    ) {
        let coming = self.waiting.iter_mut().find_map(|w| match &mut w.3 {
            Waits::Coming(fetch) if w.0 == from && fetch.hash == hash => Some((w.1, fetch)),
            _ => None,
        });
        let Some((ticket, fetch)) = coming else { return };
        let Some(whole) = fetch.part(part, parts, bytes) else {
            let word = fetch.ask();
            return host.say(from, word);
        };
        let sound = Hash::of(&whole) == hash;
        let changes = postcard::from_bytes::<Vec<Change>>(&whole).ok().filter(|_| sound);
        let at = self.waiting.iter().position(|w| (w.0, w.1) == (from, ticket));
        match (changes, at) {
            (Some(changes), Some(at)) => self.waiting[at].3 = Waits::Here(changes),
            (None, Some(at)) => {
                self.waiting.remove(at);
                let why = vec!["its bytes are no changes, or not those that it told of".to_string()];
                host.say(from, Word::Proposed { ticket, done: Err(why.clone()) });
                self.refuse(from, ticket, why);
            }
            _ => {}
        }
    }

    /// All that is here. A member's later ones wait for its earlier ones.
    pub fn take(&mut self) -> Vec<Taken> {
        let (mut taken, mut rest, mut behind) = (vec![], vec![], vec![]);
        for (from, ticket, forced, waits) in std::mem::take(&mut self.waiting) {
            match waits {
                Waits::Here(changes) if !behind.contains(&from) => {
                    taken.push(Taken { from, ticket, changes, forced });
                }
                waits => {
                    behind.push(from);
                    rest.push((from, ticket, forced, waits));
                }
            }
        }
        self.waiting = rest;
        taken
    }

    pub fn put_back(&mut self, waits: Vec<Taken>) {
        let back = waits.into_iter().map(|t| (t.from, t.ticket, t.forced, Waits::Here(t.changes)));
        self.waiting = back.chain(std::mem::take(&mut self.waiting)).collect();
    }
}
