//! The leader's part: who owns what, from claims, renewals and silence.

use crate::duties::Host;
use crate::share::share;
use crate::token::{Duty, LONGEST_HOLD, Terms, Token};
use crate::work::{Claims, Word};
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// Why something that was asked for is not done.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Refused {
    #[error("this member does not lead")]
    NotLeading,
    #[error("that member renews no duties")]
    NoMember,
    #[error("it rests until it is released")]
    Resting,
    #[error("a hold ends within a day; {0:?} is longer")]
    TooLong(Duration),
    #[error("neither held nor moved")]
    Free,
}

/// A duty as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shown {
    pub duty: Duty,
    pub owner: Option<MemberId>,
    /// Of the last ownership, and by the leader's clock since when it has been so.
    pub token: Token,
    pub since: Duration,
    /// It is being handed over by this one.
    pub leaving: Option<MemberId>,
    pub held_until: Option<Duration>,
    pub wanted: Option<MemberId>,
}

#[derive(Debug, Clone)]
struct Peer {
    heard: Duration,
    turn: u64,
    version: u64,
    share: BTreeMap<Duty, Token>,
}

#[derive(Debug, Clone, Default)]
struct Post {
    owner: Option<MemberId>,
    token: Token,
    since: Duration,
    /// Who may hold it still, until when at the longest, and from which version of its share on it does not.
    leaving: Option<(MemberId, Duration, u64)>,
    held_until: Option<Duration>,
    wanted: Option<MemberId>,
}

/// A member that comes and goes.
#[derive(Debug, Clone, Copy, Default)]
struct Flap {
    lost: u32,
    rests_until: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct Steward {
    epoch: u64,
    names: u64,
    terms: Terms,
    posts: Vec<Post>,
    peers: BTreeMap<MemberId, Peer>,
    flaps: BTreeMap<MemberId, Flap>,
    version: u64,
    number: u64,
    /// What nobody has claimed by then, nobody holds.
    free_from: Duration,
    /// Whose duties are not this leader's, for the log.
    strangers: BTreeMap<MemberId, u64>,
    looked: Duration,
}

impl Steward {
    /// As a power of two of the wait: how long a member that goes again and again rests at the most.
    const MOST_FLAPS: u32 = 6;
    /// In waits: one that stayed for so long, beyond its last rest, counts as steady again.
    const STEADY: u32 = 20;

    pub fn new(now: Duration, epoch: u64, terms: Terms, names: u64, duties: usize) -> Steward {
        Steward {
            epoch,
            names,
            terms,
            posts: vec![Post { since: now, ..Post::default() }; duties],
            peers: BTreeMap::new(),
            flaps: BTreeMap::new(),
            version: 0,
            number: 0,
            // Whatever the former leader granted has run out by then: it answered nobody after its own lease.
            free_from: now + terms.wait(),
            strangers: BTreeMap::new(),
            looked: now,
        }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn due(&self) -> Duration {
        let peers = self.peers.values().map(|p| p.heard + self.terms.wait());
        let leaving = self.posts.iter().filter_map(|p| p.leaving.map(|l| l.1));
        let holds = self.posts.iter().filter_map(|p| p.held_until);
        let rests = self.flaps.values().map(|f| f.rests_until);
        let once = rests.chain([self.free_from]).filter(|at| *at > self.looked);
        peers.chain(leaving).chain(holds).chain(once).min().unwrap_or(Duration::MAX)
    }

    pub fn shown(&self) -> impl Iterator<Item = Shown> {
        self.posts.iter().enumerate().map(|(d, p)| Shown {
            duty: d as Duty,
            owner: p.owner,
            token: p.token,
            since: p.since,
            leaving: p.leaving.map(|l| l.0),
            held_until: p.held_until,
            wanted: p.wanted,
        })
    }

    #[expect(clippy::too_many_arguments, reason = "a renewal, and whose it is")]
    pub fn renew(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        from: MemberId,
        (epoch, turn, number, version): (u64, u64, u64, u64),
        names: u64,
        busy: &[Duty],
        claims: Option<Claims>,
        seats: &[MemberId],
    ) {
        if epoch != self.epoch || !seats.contains(&from) {
            return;
        }
        if names != self.names {
            if self.strangers.insert(from, names) != Some(names) {
                host.note(&format!("{from:016x} knows other duties than this leader: it gets none"));
            }
            return host.say(from, Word::OtherNames { epoch });
        }
        self.strangers.remove(&from);
        // A word of its former life, out of a stream that is read late, would free what it has in this one.
        if self.peers.get(&from).is_some_and(|p| turn < p.turn) {
            return;
        }
        if self.peers.get(&from).is_none_or(|p| p.turn < turn) {
            self.arrive(now, from, turn, claims.unwrap_or_default());
        }
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.heard = now;
        for (d, post) in self.posts.iter_mut().enumerate() {
            let gone = post.leaving.is_some_and(|(id, _, since)| id == from && version >= since);
            if gone && !busy.contains(&(d as Duty)) {
                post.leaving = None;
            }
        }
        self.distribute(host, now, seats);
        let Some(peer) = self.peers.get(&from) else { return };
        host.say(from, Word::Renewed { epoch, number, version: peer.version });
        if version < peer.version {
            self.grant(host, now, from);
        }
    }

    /// A member that this leader has not heard before, or that has started anew or lost its lease since: it holds what
    /// it claims and nothing else.
    fn arrive(&mut self, now: Duration, from: MemberId, turn: u64, claims: Claims) {
        self.version += 1;
        let known = self.peers.remove(&from);
        let mut peer = Peer { heard: now, turn, version: self.version, share: BTreeMap::new() };
        for (duty, token) in &claims.duties {
            let Some(post) = self.posts.get_mut(*duty as usize) else { continue };
            // In this epoch only what this leader granted is held; of former ones, what nobody has by a later token.
            let granted = token.epoch == self.epoch && post.owner == Some(from) && post.token == *token;
            let former = token.epoch < self.epoch && *token > post.token;
            if !granted && !former {
                continue;
            }
            if let Some(other) = post.owner.filter(|o| *o != from)
                && let Some(displaced) = self.peers.get_mut(&other)
            {
                // Only where a clock lies: the journal refuses that one, and it is told at its next renewal.
                displaced.share.remove(duty);
                displaced.version = self.version;
            }
            post.since = if post.owner == Some(from) { post.since } else { now };
            (post.owner, post.token) = (Some(from), *token);
            peer.share.insert(*duty, *token);
        }
        // What it holds no more is free at once, and whoever gets it next has another token.
        let claimed: BTreeSet<Duty> = claims.duties.iter().map(|c| c.0).collect();
        for (d, post) in self.posts.iter_mut().enumerate() {
            if post.owner == Some(from) && !peer.share.contains_key(&(d as Duty)) {
                (post.owner, post.since) = (None, now);
            }
            if let Some((id, until, _)) = post.leaving.filter(|l| l.0 == from) {
                // It may be amid its last step.
                post.leaving = claimed.contains(&(d as Duty)).then_some((id, until, self.version));
            }
        }
        for (duty, left) in claims.holds {
            if let Some(post) = self.posts.get_mut(duty as usize) {
                let until = now + Duration::from_millis(left).min(LONGEST_HOLD);
                // A release is known to this leader alone, so a hold of its own time counts for more.
                if now < self.free_from && post.held_until.is_none_or(|at| at < until) {
                    post.held_until = Some(until);
                }
            }
        }
        if known.is_some() {
            self.flapped(now, from);
        }
        self.peers.insert(from, peer);
    }

    /// A member went, or came back: the more often, the longer it rests before it is given anything.
    fn flapped(&mut self, now: Duration, id: MemberId) {
        let flap = self.flaps.entry(id).or_default();
        flap.lost = (flap.lost + 1).min(Self::MOST_FLAPS);
        flap.rests_until = now + self.terms.wait() * (1 << flap.lost) / 2;
    }

    /// Time has passed, or something is free.
    pub fn woken(&mut self, host: &mut impl Host, now: Duration, seats: &[MemberId]) {
        let wait = self.terms.wait();
        let silent = |id: &MemberId, p: &Peer| now >= p.heard + wait || !seats.contains(id);
        let lost: Vec<MemberId> = self.peers.iter().filter(|(id, p)| silent(id, p)).map(|p| *p.0).collect();
        for id in lost {
            let Some(peer) = self.peers.remove(&id) else { continue };
            host.note(&format!("{id:016x} renews its duties no more; {} are free", peer.share.len()));
            self.flapped(now, id);
            // One that was taken out of the roster may renew no more, and holds what it has until its lease ends.
            let until = peer.heard + wait;
            for post in &mut self.posts {
                if post.owner == Some(id) {
                    (post.owner, post.since) = (None, now);
                    post.leaving = (until > now).then_some((id, until, u64::MAX));
                }
                post.wanted = post.wanted.filter(|w| *w != id);
            }
        }
        for post in &mut self.posts {
            post.leaving = post.leaving.filter(|l| now < l.1);
            post.held_until = post.held_until.filter(|at| now < *at);
        }
        self.flaps.retain(|_, f| now < f.rests_until + wait * Self::STEADY);
        self.looked = now;
        self.distribute(host, now, seats);
    }

    fn distribute(&mut self, host: &mut impl Host, now: Duration, seats: &[MemberId]) {
        if now < self.free_from {
            return;
        }
        let there: Vec<MemberId> = self.peers.keys().copied().filter(|id| seats.contains(id)).collect();
        let steady = |id: &MemberId| self.flaps.get(id).is_none_or(|f| now >= f.rests_until);
        let rested: Vec<MemberId> = there.iter().copied().filter(steady).collect();
        let among = if rested.is_empty() { there } else { rested };
        let owners: Vec<Option<MemberId>> = self.posts.iter().map(|p| p.owner).collect();
        let wanted: Vec<Option<MemberId>> = self.posts.iter().map(|p| p.wanted).collect();
        let mut changed: BTreeMap<MemberId, Vec<Duty>> = BTreeMap::new();
        for (d, next) in share(&owners, &wanted, &among).into_iter().enumerate() {
            let post = &mut self.posts[d];
            let next = next.filter(|_| post.held_until.is_none());
            if let Some(owner) = post.owner
                && Some(owner) != next
                && (next.is_some() || post.held_until.is_some())
            {
                // It answers first that it has stopped, or its lease ends.
                if let Some(peer) = self.peers.get_mut(&owner) {
                    peer.share.remove(&(d as Duty));
                    post.leaving = Some((owner, peer.heard + self.terms.wait(), u64::MAX));
                }
                (post.owner, post.since) = (None, now);
                changed.entry(owner).or_default().push(d as Duty);
            }
            if let Some(id) = next.filter(|_| post.owner.is_none() && post.leaving.is_none()) {
                self.number += 1;
                let token = Token { epoch: self.epoch, number: self.number };
                (post.owner, post.token, post.since) = (Some(id), token, now);
                if let Some(peer) = self.peers.get_mut(&id) {
                    peer.share.insert(d as Duty, token);
                }
                changed.entry(id).or_default().push(d as Duty);
            }
        }
        for (id, duties) in changed {
            self.version += 1;
            for d in duties {
                let leaving = &mut self.posts[d as usize].leaving;
                *leaving =
                    leaving.map(|l| if l.0 == id && l.2 == u64::MAX { (id, l.1, self.version) } else { l });
            }
            self.grant_anew(host, now, id);
        }
    }

    /// A member's share as it is now, under the newest version.
    fn grant_anew(&mut self, host: &mut impl Host, now: Duration, to: MemberId) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.version = self.version;
        }
        self.grant(host, now, to);
    }

    fn grant(&self, host: &mut impl Host, now: Duration, to: MemberId) {
        let Some(peer) = self.peers.get(&to) else { return };
        let held = self.posts.iter().enumerate();
        let holds =
            held.filter_map(|(d, p)| Some((d as Duty, p.held_until?.saturating_sub(now).as_millis() as u64)));
        host.say(
            to,
            Word::Grants {
                epoch: self.epoch,
                turn: peer.turn,
                version: peer.version,
                duties: peer.share.iter().map(|(d, t)| (*d, *t)).collect(),
                holds: holds.collect(),
            },
        );
    }

    /// So that holds outlive this leader, all are told of a change.
    fn tell_all(&mut self, host: &mut impl Host, now: Duration) {
        for id in self.peers.keys().copied().collect::<Vec<_>>() {
            self.version += 1;
            self.grant_anew(host, now, id);
        }
    }

    pub fn move_to(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        duty: Duty,
        to: MemberId,
        seats: &[MemberId],
    ) -> Result<(), Refused> {
        if !self.peers.contains_key(&to) {
            return Err(Refused::NoMember);
        }
        let post = &mut self.posts[duty as usize];
        if post.held_until.is_some() {
            return Err(Refused::Resting);
        }
        post.wanted = Some(to);
        self.distribute(host, now, seats);
        Ok(())
    }

    pub fn hold(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        duty: Duty,
        span: Duration,
        seats: &[MemberId],
    ) -> Result<(), Refused> {
        if span > LONGEST_HOLD {
            return Err(Refused::TooLong(span));
        }
        self.posts[duty as usize].held_until = Some(now + span);
        self.distribute(host, now, seats);
        self.tell_all(host, now);
        Ok(())
    }

    pub fn release(
        &mut self,
        host: &mut impl Host,
        now: Duration,
        duty: Duty,
        seats: &[MemberId],
    ) -> Result<(), Refused> {
        let post = &mut self.posts[duty as usize];
        if post.held_until.take().is_none() & post.wanted.take().is_none() {
            return Err(Refused::Free);
        }
        self.tell_all(host, now);
        self.distribute(host, now, seats);
        Ok(())
    }
}
