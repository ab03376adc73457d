//! What a member owns, by the leader's word and its own clock.

use crate::duties::Host;
use crate::token::{Duty, Terms, Token};
use crate::work::{Claims, Word};
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Why a member does not own a duty any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The leader has not answered for as long as the lease.
    LeaseRanOut,
    /// The leader gave it to another, or has it rest.
    Moved,
    /// A newer owner was there.
    Late(Token),
}

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Lost::LeaseRanOut => f.write_str("the leader has not answered for as long as the lease"),
            Lost::Moved => f.write_str("the leader took it back"),
            Lost::Late(seen) => write!(f, "an owner by token {seen} has been there"),
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Owner {
    terms: Terms,
    names: u64,
    leader: Option<(u64, MemberId)>,
    /// Rises with each start, and each time that something was lost without the leader's word: shares told before are
    /// of no use, and tokens held before are not taken again.
    turn: u64,
    /// The share that the leader last told: of which epoch, turn and version.
    told: (u64, u64, u64),
    share: BTreeMap<Duty, Token>,
    holds: BTreeMap<Duty, Duration>,
    /// What this member works on.
    active: BTreeMap<Duty, Token>,
    /// Taken back while a step was under way: until when it may end. That is the lease as it was then, which the leader
    /// waits for; a step that hangs would else keep its duty from all others.
    leaving: BTreeMap<Duty, Duration>,
    /// Steps under way.
    busy: BTreeSet<Duty>,
    until: Duration,
    number: u64,
    sent: BTreeMap<u64, Duration>,
    renew_at: Duration,
}

impl Owner {
    /// Renewals whose answers are waited for.
    const RENEWALS: usize = 32;

    pub fn new(terms: Terms, names: u64, life: u32) -> Owner {
        Owner {
            terms,
            names,
            leader: None,
            turn: u64::from(life) << 32,
            told: (0, 0, 0),
            share: BTreeMap::new(),
            holds: BTreeMap::new(),
            active: BTreeMap::new(),
            leaving: BTreeMap::new(),
            busy: BTreeSet::new(),
            until: Duration::ZERO,
            number: 0,
            sent: BTreeMap::new(),
            renew_at: Duration::ZERO,
        }
    }

    pub fn due(&self) -> Option<Duration> {
        let renew = self.leader.map(|_| self.renew_at);
        let leases = (!self.active.is_empty()).then_some(self.until);
        renew.into_iter().chain(leases).chain(self.leaving.values().copied()).min()
    }

    /// The token by which it may act at this very moment.
    pub fn may(&self, now: Duration, duty: Duty) -> Option<Token> {
        let until = self.leaving.get(&duty).map_or(self.until, |at| self.until.min(*at));
        self.active.get(&duty).copied().filter(|_| now < until)
    }

    pub fn active(&self) -> &BTreeMap<Duty, Token> {
        &self.active
    }

    pub fn holds(&self) -> impl Iterator<Item = (Duty, Duration)> {
        self.holds.iter().map(|(d, at)| (*d, *at))
    }

    pub fn follow(&mut self, now: Duration, leader: Option<(u64, MemberId)>) {
        if self.leader != leader {
            self.leader = leader;
            self.sent.clear();
            self.renew_at = now;
        }
    }

    /// After a stall the lease has run out whatever this member was doing, and all it held is for others.
    pub fn expire(&mut self, host: &mut impl Host, now: Duration) {
        let over: Vec<Duty> = self.leaving.iter().filter(|l| *l.1 <= now).map(|l| *l.0).collect();
        for duty in over {
            self.give_up(host, duty, Lost::LeaseRanOut);
            self.unclaim();
        }
        if now < self.until || self.active.is_empty() {
            return;
        }
        self.turn += 1;
        self.share.clear();
        self.leaving.clear();
        self.busy.clear();
        for (duty, token) in std::mem::take(&mut self.active) {
            host.lose(duty, token, Lost::LeaseRanOut);
        }
    }

    pub fn woken(&mut self, host: &mut impl Host, now: Duration) {
        self.expire(host, now);
        self.holds.retain(|_, until| now < *until);
        if now >= self.renew_at {
            self.renew(host, now);
        }
    }

    fn renew(&mut self, host: &mut impl Host, now: Duration) {
        self.renew_at = now + self.terms.renew;
        let Some((epoch, leader)) = self.leader else { return };
        self.number += 1;
        self.sent.insert(self.number, now);
        while self.sent.len() > Self::RENEWALS {
            self.sent.pop_first();
        }
        let known = self.knows(epoch);
        let claims = (!known).then(|| Claims {
            duties: self.active.iter().map(|(d, t)| (*d, *t)).collect(),
            holds: self.holds.iter().map(|(d, at)| (*d, at.saturating_sub(now).as_millis() as u64)).collect(),
        });
        let version = if known { self.told.2 } else { 0 };
        let busy = self.leaving.keys().copied().collect();
        let word = Word::Renew {
            epoch,
            turn: self.turn,
            number: self.number,
            version,
            names: self.names,
            busy,
            claims,
        };
        host.say(leader, word);
    }

    pub fn renewed(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        (epoch, number, version): (u64, u64, u64),
    ) {
        self.expire(host, now);
        // A lease is of the share that the leader knows this member to have, and of no other.
        if self.leader != Some((epoch, from)) || self.told != (epoch, self.turn, version) {
            return;
        }
        if let Some(sent) = self.sent.get(&number).copied() {
            self.until = self.until.max(sent + self.terms.lease);
            self.sent = self.sent.split_off(&(number + 1));
        }
        self.settle(host, now);
    }

    pub fn granted(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        (epoch, turn, version): (u64, u64, u64),
        duties: Vec<(Duty, Token)>,
        holds: Vec<(Duty, u64)>,
    ) {
        self.expire(host, now);
        let newer = (self.told.0, self.told.1) != (epoch, turn) || version > self.told.2;
        if self.leader != Some((epoch, from)) || turn != self.turn || !newer {
            return;
        }
        self.told = (epoch, turn, version);
        self.share = duties.into_iter().collect();
        let span = Duration::from_millis;
        self.holds = holds.into_iter().map(|(d, left)| (d, now + span(left))).collect();
        // What was to be handed over may be left here after all, by a new leader.
        let (share, active) = (&self.share, &self.active);
        self.leaving.retain(|d, _| share.get(d) != active.get(d));
        let gone = |(d, t): (&Duty, &Token)| (self.share.get(d) != Some(t)).then_some(*d);
        let gone: Vec<Duty> = self.active.iter().filter_map(gone).collect();
        for duty in gone {
            if self.busy.contains(&duty) {
                self.leaving.entry(duty).or_insert(self.until);
            } else {
                self.give_up(host, duty, Lost::Moved);
            }
        }
        self.settle(host, now);
        // So that the leader knows at once what is free.
        self.renew(host, now);
    }

    fn give_up(&mut self, host: &mut impl Host, duty: Duty, why: Lost) {
        self.leaving.remove(&duty);
        self.busy.remove(&duty);
        if let Some(token) = self.active.remove(&duty) {
            host.lose(duty, token, why);
        }
    }

    /// Whether the share that it knows is of this epoch and of its own present turn.
    fn knows(&self, epoch: u64) -> bool {
        (self.told.0, self.told.1) == (epoch, self.turn)
    }

    fn settle(&mut self, host: &mut impl Host, now: Duration) {
        if now >= self.until {
            return;
        }
        for (duty, token) in &self.share {
            if !self.leaving.contains_key(duty) && !self.active.contains_key(duty) {
                self.active.insert(*duty, *token);
                host.take(*duty, *token);
            }
        }
    }

    /// A step is under way, or has ended: one that does not stop in the middle.
    pub fn step(&mut self, host: &mut impl Host, now: Duration, duty: Duty, under_way: bool) {
        if under_way {
            self.busy.insert(duty);
            return;
        }
        self.busy.remove(&duty);
        if self.leaving.contains_key(&duty) {
            self.give_up(host, duty, Lost::Moved);
            self.unclaim();
            self.settle(host, now);
            self.renew(host, now);
        }
    }

    /// A new leader may have been told that this member has what it has just given up, and would leave it here.
    fn unclaim(&mut self) {
        if self.leader.is_some_and(|(epoch, _)| !self.knows(epoch)) {
            self.turn += 1;
        }
    }

    /// Somewhere a newer owner was met: this one stops, and tells the leader anew what it has.
    pub fn late(&mut self, host: &mut impl Host, now: Duration, duty: Duty, token: Token, seen: Token) {
        if self.active.get(&duty) != Some(&token) {
            return;
        }
        self.share.remove(&duty);
        self.give_up(host, duty, Lost::Late(seen));
        self.turn += 1;
        self.renew_at = now + self.terms.renew;
    }
}
