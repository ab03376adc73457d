//! The part of every duty's journal that one member keeps.

use crate::duties::Host;
use crate::token::{Duty, Token};
use crate::work::Word;
use grebespool_leader_election::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The most bytes of a step's content: it goes whole in one frame between members.
pub const MOST_CONTENT: usize = 192 << 10;
/// Of cells copied at once: well below a frame between members.
const MOST_COPIED: usize = 128 << 10;

/// A step of a duty. Its content is fixed before its effect: whoever does it, the same is done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Of the owner that wrote it, not of the one that began it.
    pub token: Token,
    pub step: u64,
    pub ended: bool,
    pub content: Vec<u8>,
}

impl Record {
    /// Which of two is later.
    pub(crate) fn order(&self) -> (Token, u64, bool) {
        (self.token, self.step, self.ended)
    }
}

/// What a member keeps of one duty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// The newest owner that came.
    pub seen: Token,
    pub record: Option<Record>,
}

impl Cell {
    fn merge(&mut self, other: Cell) {
        self.seen = self.seen.max(other.seen);
        if other.record.as_ref().map(Record::order) > self.record.as_ref().map(Record::order) {
            self.record = other.record;
        }
    }
}

/// An owner that came after a newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateOwner {
    pub duty: Duty,
    pub from: MemberId,
    pub token: Token,
    pub seen: Token,
    pub at: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct Register {
    cells: BTreeMap<Duty, Cell>,
    /// A member that was added holds nothing yet, and would make up majorities with those that missed what a majority
    /// of the former members had: it answers nobody until it has copied from most of the others.
    copied: bool,
    copies: BTreeMap<MemberId, Option<Duty>>,
    copy_at: Duration,
    stamp: u64,
    on_disk: u64,
    held: Vec<(u64, MemberId, Word)>,
    pub late: Option<LateOwner>,
    pub refused: u64,
}

impl Register {
    pub fn new(cells: BTreeMap<Duty, Cell>, copied: bool) -> Register {
        Register {
            cells,
            copied,
            copies: BTreeMap::new(),
            copy_at: Duration::ZERO,
            stamp: 0,
            on_disk: 0,
            held: vec![],
            late: None,
            refused: 0,
        }
    }

    fn keep(&mut self, host: &mut impl Host, duty: Duty) {
        self.stamp += 1;
        host.keep(duty, &self.cells[&duty], self.stamp);
    }

    /// Said once all that was handed over so far is on disk: a promise that a crash takes back was none.
    fn say_kept(&mut self, host: &mut impl Host, to: MemberId, word: Word) {
        if self.on_disk >= self.stamp { host.say(to, word) } else { self.held.push((self.stamp, to, word)) }
    }

    pub fn kept(&mut self, host: &mut impl Host, stamp: u64) {
        self.on_disk = self.on_disk.max(stamp);
        let (ready, later) = std::mem::take(&mut self.held).into_iter().partition(|h| h.0 <= self.on_disk);
        self.held = later;
        let ready: Vec<(u64, MemberId, Word)> = ready;
        ready.into_iter().for_each(|(_, to, word)| host.say(to, word));
    }

    fn is_late(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        duty: Duty,
        token: Token,
    ) -> bool {
        let seen = self.cells.get(&duty).map_or(Token::default(), |c| c.seen);
        if token < seen {
            self.refused += 1;
            self.late = Some(LateOwner { duty, from, token, seen, at: now });
            host.say(from, Word::Late { duty, token, seen });
        }
        token < seen
    }

    pub fn open(&mut self, host: &mut impl Host, now: Duration, from: MemberId, duty: Duty, token: Token) {
        if !self.copied || self.is_late(host, now, from, duty, token) {
            return;
        }
        let cell = self.cells.entry(duty).or_default();
        let record = cell.record.clone();
        if cell.seen < token {
            cell.seen = token;
            self.keep(host, duty);
        }
        self.say_kept(host, from, Word::Opened { duty, token, record });
    }

    pub fn write(&mut self, host: &mut impl Host, now: Duration, from: MemberId, duty: Duty, record: Record) {
        let (token, step, ended) = record.order();
        if !self.copied || self.is_late(host, now, from, duty, token) || record.content.len() > MOST_CONTENT {
            return;
        }
        let cell = self.cells.entry(duty).or_default();
        let newer = cell.record.as_ref().map(Record::order) < Some((token, step, ended));
        cell.seen = token;
        if newer {
            cell.record = Some(record);
            self.keep(host, duty);
        }
        self.say_kept(host, from, Word::Written { duty, token, step, ended });
    }

    // Copying, for a member that was added.

    pub fn due(&self, takes_part: bool) -> Option<Duration> {
        (!self.copied && takes_part).then_some(self.copy_at)
    }

    pub fn ask_copies(&mut self, host: &mut impl Host, now: Duration, others: &[MemberId], again: Duration) {
        if self.copied || now < self.copy_at {
            return;
        }
        self.copy_at = now + again;
        for id in others {
            if let Some(from) = self.copies.get(id).copied().unwrap_or(Some(0)) {
                host.say(*id, Word::Copy { from });
            }
        }
        self.all_copied(host, others);
    }

    pub fn copy(&self, host: &mut impl Host, to: MemberId, from: Duty) {
        // One that has not copied itself knows less than it should.
        if !self.copied {
            return;
        }
        let (mut cells, mut bytes, mut next) = (vec![], 0, None);
        for (duty, cell) in self.cells.range(from..) {
            bytes += 64 + cell.record.as_ref().map_or(0, |r| r.content.len());
            if bytes > MOST_COPIED && !cells.is_empty() {
                next = Some(*duty);
                break;
            }
            cells.push((*duty, cell.clone()));
        }
        host.say(to, Word::Copied { from, cells, next });
    }

    pub fn take_copy(
        &mut self,
        host: &mut impl Host,
        from: MemberId,
        at: Duty,
        cells: Vec<(Duty, Cell)>,
        next: Option<Duty>,
        others: &[MemberId],
    ) {
        if self.copied || self.copies.get(&from).copied().unwrap_or(Some(0)) != Some(at) {
            return;
        }
        for (duty, cell) in cells {
            self.cells.entry(duty).or_default().merge(cell);
            self.keep(host, duty);
        }
        self.copies.insert(from, next);
        if let Some(from_duty) = next {
            host.say(from, Word::Copy { from: from_duty });
        }
        self.all_copied(host, others);
    }

    fn all_copied(&mut self, host: &mut impl Host, others: &[MemberId]) {
        let whole: BTreeSet<MemberId> = self.copies.iter().filter(|c| c.1.is_none()).map(|c| *c.0).collect();
        if others.iter().filter(|id| whole.contains(id)).count() * 2 > others.len() {
            self.copied = true;
            self.copies.clear();
            host.copied();
        }
    }
}
