//! One member: votes, leads, follows, and changes who takes part.

use crate::roster::{Id, Roster, Seat};
use crate::word::Word;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use thiserror::Error;

/// What a member must find again after a crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    pub id: Id,
    pub fleet: u64,
    /// The newest epoch heard of, and whom it voted for in it.
    pub epoch: u64,
    pub vote: Option<Id>,
    pub roster: Roster,
    /// Rises with each writing.
    pub stamp: u64,
}

/// Times that all members of a fleet have to state alike.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Between two beats of the leader.
    pub beat: Duration,
    /// A leader plans for so long after the last beat that a majority heard.
    pub lease: Duration,
    /// By how much of the time a clock may be fast or slow.
    pub drift: f64,
}

impl Terms {
    /// How long a member that heard the leader helps no other: by the fastest clock that may be, no shorter than the
    /// lease is by the slowest.
    pub fn wait(&self) -> Duration {
        self.lease.mul_f64((1.0 + self.drift) / (1.0 - self.drift))
    }
}

/// Why a member stopped leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// No majority heard it for as long as the lease.
    LeaseRanOut,
    /// A newer epoch was seen, at a member or a proxy.
    PassedOver(u64),
    Asked,
    /// It takes no part any more.
    Removed,
    DiskFailed,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::LeaseRanOut => f.write_str("no majority has heard this member for as long as its lease"),
            Why::PassedOver(epoch) => write!(f, "epoch {epoch} has been seen"),
            Why::Asked => f.write_str("it was asked to"),
            Why::Removed => f.write_str("it takes no part any more"),
            Why::DiskFailed => f.write_str("its disk fails"),
        }
    }
}

/// What a member asks of what runs it.
pub trait Host {
    /// Write this; [`Member::kept`] is told once it is on disk.
    fn keep(&mut self, kept: &Kept);
    fn say(&mut self, to: Id, word: Word);
    /// Plan from here on, in this epoch.
    fn lead(&mut self, epoch: u64);
    /// Order nothing from here on.
    fn stand_down(&mut self, epoch: u64, why: Why);
    /// For the log.
    fn note(&mut self, text: &str);
}

/// Why something that was asked for is not done.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Refused {
    #[error("this member does not lead{}", leader.as_ref().map_or(String::new(), |l| format!("; {l} does")))]
    NotLeading { leader: Option<String> },
    #[error("the last change of members is not yet known to a majority; again in a moment")]
    Underway,
    #[error("{0:?} takes part already")]
    Already(String),
    #[error("no member {0:?}")]
    Nobody(String),
    #[error("the last member cannot be removed")]
    Last,
    #[error(
        "its state is older than what it told before ({told} after {known}): a restored copy may vote twice; replace the \
         member"
    )]
    OlderCopy { told: u64, known: u64 },
    #[error("it takes no part in this fleet")]
    Stranger,
}

#[derive(Debug, Clone)]
enum Role {
    Following { leader: Option<Id> },
    Canvassing { favours: BTreeSet<Id> },
    Standing { yielded: bool, asked: Option<Duration>, votes: BTreeSet<Id> },
    Leading(Lead),
}

#[derive(Debug, Clone)]
struct Lead {
    since: Duration,
    number: u64,
    /// When beats that may still be answered went out.
    sent: BTreeMap<u64, Duration>,
    /// When the newest beat went out that a member heard; its roster.
    heard: BTreeMap<Id, Duration>,
    rosters: BTreeMap<Id, (u64, u64)>,
    until: Duration,
    beat_at: Duration,
}

/// What a member is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It heard no leader for a while.
    Alone,
    Follows(Id),
    Leads,
    /// It takes no part, or may not vote yet after its start, or its disk fails.
    Mute,
}

/// For those who ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    pub id: Id,
    pub standing: Standing,
    pub epoch: u64,
    /// By this member's clock: since when it leads, or when it last heard the leader.
    pub since: Duration,
    /// Why it last stopped leading.
    pub stood_down: Option<Why>,
    pub roster: Roster,
    /// Whether the leader knows that a majority has the roster.
    pub settled: bool,
    /// Seats that have not been heard for as long as the lease; known to the leader only.
    pub missing: Vec<Id>,
}

#[derive(Debug, Clone)]
pub struct Member<H> {
    host: H,
    kept: Kept,
    /// The stamp up to which all is on disk.
    on_disk: u64,
    disk_fails: bool,
    terms: Terms,
    rng: Pcg64Mcg,
    role: Role,
    /// It helps no other than the leader it heard until then.
    promised: Duration,
    /// It votes for nobody until then: it may have promised before it was started.
    mute: Duration,
    stand_at: Duration,
    /// To be said once so much is on disk.
    held: Vec<(u64, Id, Word)>,
    heard_at: Duration,
    stood_down: Option<Why>,
    /// The newest stamp that each other member told.
    stamps: BTreeMap<Id, u64>,
}

impl<H: Host> Member<H> {
    /// Beats that are waited for.
    const BEATS: usize = 64;

    /// Starts with what is on disk. It votes for nobody within its first [`Terms::wait`]: whom it promised to follow
    /// before its start it no longer knows.
    pub fn start(host: H, kept: Kept, terms: Terms, seed: u64, now: Duration) -> Member<H> {
        let alone = kept.roster.seats.len() == 1;
        let mute = if alone { now } else { now + terms.wait() };
        let mut member = Member {
            host,
            on_disk: kept.stamp,
            kept,
            disk_fails: false,
            terms,
            rng: Pcg64Mcg::seed_from_u64(seed),
            role: Role::Following { leader: None },
            promised: now,
            mute,
            stand_at: mute,
            held: vec![],
            heard_at: now,
            stood_down: None,
            stamps: BTreeMap::new(),
        };
        if !alone {
            member.put_off(now);
        }
        member
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    pub fn kept_state(&self) -> &Kept {
        &self.kept
    }

    /// When [`Member::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        match &self.role {
            Role::Leading(lead) => lead.beat_at.min(lead.until),
            _ => self.stand_at,
        }
    }

    /// Whether an order may leave at this moment. To be asked with a clock that was just read: after a stall the
    /// lease has run out, whatever this member was doing before it.
    pub fn may_order(&self, now: Duration) -> bool {
        matches!(&self.role, Role::Leading(lead) if now < lead.until)
    }

    /// Until when its lease as leader runs; zero where it does not lead.
    pub fn leads_until(&self) -> Duration {
        if let Role::Leading(lead) = &self.role { lead.until } else { Duration::ZERO }
    }

    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leading(_))
    }

    pub fn epoch(&self) -> u64 {
        self.kept.epoch
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<Id> {
        match &self.role {
            Role::Following { leader } => *leader,
            Role::Leading(_) => Some(self.kept.id),
            _ => None,
        }
    }

    fn name_of(&self, id: Id) -> String {
        self.kept.roster.seats.get(&id).map_or(format!("{id:016x}"), |s| s.name.clone())
    }

    pub fn status(&self, now: Duration) -> Status {
        let (mut missing, mut settled) = (vec![], false);
        let (standing, since) = match &self.role {
            Role::Leading(lead) => {
                let late = |id: &Id| lead.heard.get(id).is_none_or(|at| now > *at + self.terms.lease);
                missing = self.kept.roster.others(self.kept.id).into_iter().filter(late).collect();
                settled = self.settled(lead);
                (Standing::Leads, lead.since)
            }
            _ if !self.kept.roster.holds(self.kept.id) || self.disk_fails => (Standing::Mute, self.heard_at),
            Role::Following { leader: Some(id) } if now < self.promised => {
                (Standing::Follows(*id), self.heard_at)
            }
            _ if now < self.mute => (Standing::Mute, self.heard_at),
            _ => (Standing::Alone, self.heard_at),
        };
        Status {
            id: self.kept.id,
            standing,
            epoch: self.kept.epoch,
            since,
            stood_down: self.stood_down,
            roster: self.kept.roster.clone(),
            settled,
            missing,
        }
    }

    /// Another member was met: on a new stream it told whom it is, and the stamp that it has on disk.
    ///
    /// # Errors
    ///
    /// It takes no part, or was set back to an older state.
    pub fn met(&mut self, id: Id, stamp: u64) -> Result<(), Refused> {
        if !self.kept.roster.holds(id) && self.kept.roster.holds(self.kept.id) {
            return Err(Refused::Stranger);
        }
        let known = self.stamps.entry(id).or_insert(stamp);
        if stamp < *known {
            return Err(Refused::OlderCopy { told: stamp, known: *known });
        }
        *known = stamp;
        Ok(())
    }

    fn keep(&mut self) {
        self.kept.stamp += 1;
        self.host.keep(&self.kept);
    }

    /// Said once all that was handed over so far is on disk.
    fn say_kept(&mut self, to: Id, word: Word) {
        if self.on_disk >= self.kept.stamp {
            self.host.say(to, word);
        } else {
            self.held.push((self.kept.stamp, to, word));
        }
    }

    /// All up to this stamp is on disk.
    pub fn kept(&mut self, now: Duration, stamp: u64) {
        self.on_disk = self.on_disk.max(stamp);
        if std::mem::take(&mut self.disk_fails) {
            self.host.note("the disk takes writes again");
        }
        let (ready, later) = std::mem::take(&mut self.held).into_iter().partition(|h| h.0 <= self.on_disk);
        self.held = later;
        let ready: Vec<(u64, Id, Word)> = ready;
        for (_, to, word) in ready {
            self.host.say(to, word);
        }
        self.ask(now);
        if let Role::Leading(lead) = &mut self.role {
            lead.rosters.insert(self.kept.id, self.kept.roster.version());
        }
    }

    /// Something that was to be written is not on disk, and may never be.
    pub fn disk_failed(&mut self, now: Duration) {
        self.disk_fails = true;
        self.held.clear();
        // What it leads it leads by votes that are on others' disks; but it can keep no promise from here on.
        self.stop(now, Why::DiskFailed);
        self.put_off(now);
    }

    fn put_off(&mut self, now: Duration) {
        let wait = self.terms.wait();
        let more = wait.mul_f64(self.rng.random_range(0.0..0.6));
        self.stand_at = now.max(self.promised).max(self.mute) + more + self.terms.beat;
    }

    fn follow(&mut self, now: Duration, leader: Option<Id>) {
        if !matches!(&self.role, Role::Following { leader: l } if *l == leader) {
            if let Some(id) = leader {
                let text = format!("{} leads in epoch {}", self.name_of(id), self.kept.epoch);
                self.host.note(&text);
            }
            self.role = Role::Following { leader };
        }
        self.put_off(now);
    }

    fn stop(&mut self, now: Duration, why: Why) {
        if let Role::Leading(_) = self.role {
            self.stood_down = Some(why);
            self.host.stand_down(self.kept.epoch, why);
        }
        self.follow(now, None);
    }

    /// A newer epoch than its own was told by one who has it from a leader or a candidate.
    fn adopt(&mut self, now: Duration, epoch: u64) {
        if epoch > self.kept.epoch {
            self.stop(now, Why::PassedOver(epoch));
            (self.kept.epoch, self.kept.vote) = (epoch, None);
            self.keep();
        }
    }

    /// A proxy holds orders of this epoch: another was chosen, or the fleet was set up anew and has to count on.
    pub fn passed_over(&mut self, now: Duration, epoch: u64) {
        self.adopt(now, epoch);
    }

    fn takes_part(&self) -> bool {
        self.kept.roster.holds(self.kept.id) && !self.disk_fails
    }

    fn may_vote(&self, now: Duration, for_whom: Id, roster: (u64, u64), yielded: bool) -> bool {
        let free = now >= self.promised || yielded;
        let leads = matches!(&self.role, Role::Leading(lead) if now < lead.until);
        self.takes_part()
            && now >= self.mute
            && free
            && (!leads || yielded)
            && roster >= self.kept.roster.version()
            && (self.kept.roster.holds(for_whom) || roster > self.kept.roster.version())
    }

    pub fn heard(&mut self, now: Duration, from: Id, word: Word) {
        match word {
            Word::Canvass { epoch, roster } => {
                if epoch > self.kept.epoch && self.may_vote(now, from, roster, false) {
                    self.host.say(from, Word::Favour { epoch });
                } else if epoch <= self.kept.epoch {
                    self.host.say(from, Word::Newer { epoch: self.kept.epoch });
                }
            }
            Word::Favour { epoch } => self.favoured(now, from, epoch),
            Word::Ask { epoch, roster, yielded } => self.asked(now, from, epoch, roster, yielded),
            Word::Vote { epoch } => self.voted(now, from, epoch),
            Word::Beat { epoch, number, .. } => self.beaten(now, from, epoch, number),
            Word::Heard { epoch, number, roster } => self.was_heard(now, from, epoch, number, roster),
            Word::Newer { epoch } => self.adopt(now, epoch),
            Word::Seats { epoch, roster } => self.seats(now, from, epoch, roster),
            Word::Turn { epoch } => {
                let mine = matches!(&self.role, Role::Following { leader: Some(l) } if *l == from);
                if mine && epoch == self.kept.epoch && self.takes_part() && now >= self.mute {
                    self.host.note("the leader stands down for this member");
                    self.stand(now, true);
                }
            }
        }
    }

    // Choosing a leader.

    fn favoured(&mut self, now: Duration, from: Id, epoch: u64) {
        if epoch != self.kept.epoch + 1 {
            return;
        }
        let Role::Canvassing { favours } = &mut self.role else { return };
        favours.insert(from);
        let favours = favours.clone();
        if self.kept.roster.majority(|id| favours.contains(&id)) {
            self.stand(now, false);
        }
    }

    /// Votes for itself in the next epoch, and asks the others once that is on disk.
    fn stand(&mut self, now: Duration, yielded: bool) {
        (self.kept.epoch, self.kept.vote) = (self.kept.epoch + 1, Some(self.kept.id));
        self.role = Role::Standing { yielded, asked: None, votes: BTreeSet::new() };
        self.put_off(now);
        self.keep();
        self.ask(now);
    }

    fn ask(&mut self, now: Duration) {
        if self.on_disk < self.kept.stamp {
            return;
        }
        let Role::Standing { yielded, asked, votes } = &mut self.role else { return };
        if asked.is_some() {
            return;
        }
        *asked = Some(now);
        votes.insert(self.kept.id);
        let word =
            Word::Ask { epoch: self.kept.epoch, roster: self.kept.roster.version(), yielded: *yielded };
        for other in self.kept.roster.others(self.kept.id) {
            self.host.say(other, word.clone());
        }
        self.count(now);
    }

    fn asked(&mut self, now: Duration, from: Id, epoch: u64, roster: (u64, u64), yielded: bool) {
        if epoch < self.kept.epoch {
            return self.host.say(from, Word::Newer { epoch: self.kept.epoch });
        }
        let free = epoch > self.kept.epoch || self.kept.vote.is_none_or(|v| v == from);
        // One that may not be voted for does not raise the epoch either: a member that came back from behind a cut
        // would else end the lease of a leader that all others hear.
        if !free || !self.may_vote(now, from, roster, yielded) {
            return;
        }
        self.adopt(now, epoch);
        if self.kept.vote.is_none() {
            self.kept.vote = Some(from);
            self.keep();
        }
        self.promised = now + self.terms.wait();
        self.follow(now, None);
        self.say_kept(from, Word::Vote { epoch });
    }

    fn voted(&mut self, now: Duration, from: Id, epoch: u64) {
        if epoch == self.kept.epoch
            && let Role::Standing { votes, asked: Some(_), .. } = &mut self.role
        {
            votes.insert(from);
            self.count(now);
        }
    }

    fn count(&mut self, now: Duration) {
        let Role::Standing { asked: Some(asked), votes, .. } = &self.role else { return };
        let (asked, votes) = (*asked, votes.clone());
        if !self.kept.roster.majority(|id| votes.contains(&id)) {
            return;
        }
        // Those who voted help no other for as long, from when they were asked on.
        let until = asked + self.terms.lease;
        if now >= until && self.kept.roster.seats.len() > 1 {
            return;
        }
        self.role = Role::Leading(Lead {
            since: now,
            number: 0,
            sent: BTreeMap::new(),
            heard: votes.iter().map(|id| (*id, asked)).collect(),
            rosters: BTreeMap::new(),
            until,
            beat_at: now,
        });
        self.stood_down = None;
        // Stated anew in this epoch, so that one of an older that only few have is out of the way.
        (self.kept.roster.epoch, self.kept.roster.number) = (self.kept.epoch, 0);
        self.keep();
        self.host.lead(self.kept.epoch);
        self.beat(now);
    }

    // Leading.

    fn beat(&mut self, now: Duration) {
        let Role::Leading(lead) = &mut self.role else { return };
        lead.number += 1;
        lead.beat_at = now + self.terms.beat;
        lead.sent.insert(lead.number, now);
        while lead.sent.len() > Self::BEATS {
            lead.sent.pop_first();
        }
        let (number, epoch, roster) = (lead.number, self.kept.epoch, self.kept.roster.version());
        for other in self.kept.roster.others(self.kept.id) {
            self.host.say(other, Word::Beat { epoch, number, roster });
        }
        self.renew(now);
    }

    /// The lease runs from the newest beat that a majority heard.
    fn renew(&mut self, now: Duration) {
        let (id, lease) = (self.kept.id, self.terms.lease);
        let Role::Leading(lead) = &mut self.role else { return };
        let seats = &self.kept.roster.seats;
        let mut times: Vec<Duration> = seats
            .keys()
            .map(|s| if *s == id { now } else { lead.heard.get(s).copied().unwrap_or_default() })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(majority) = times.get(seats.len() / 2) {
            lead.until = lead.until.max(*majority + lease);
        }
    }

    fn was_heard(&mut self, now: Duration, from: Id, epoch: u64, number: u64, roster: (u64, u64)) {
        if epoch != self.kept.epoch {
            return;
        }
        let Role::Leading(lead) = &mut self.role else { return };
        if let Some(sent) = lead.sent.get(&number).copied() {
            let newest = lead.heard.entry(from).or_default();
            *newest = sent.max(*newest);
        }
        let newest = lead.rosters.entry(from).or_default();
        *newest = roster.max(*newest);
        // A lease that ran out is not renewed: what was heard since may be from before it did.
        if now < lead.until {
            self.renew(now);
        }
        let known = self.kept.roster.version();
        if roster < known && self.kept.roster.holds(from) {
            let word = Word::Seats { epoch, roster: self.kept.roster.clone() };
            self.say_kept(from, word);
        }
        self.leave_if_removed(now);
    }

    fn settled(&self, lead: &Lead) -> bool {
        let known = self.kept.roster.version();
        self.kept.roster.majority(|id| lead.rosters.get(&id).is_some_and(|v| *v == known))
    }

    fn leave_if_removed(&mut self, now: Duration) {
        if let Role::Leading(lead) = &self.role
            && !self.kept.roster.holds(self.kept.id)
            && self.settled(lead)
        {
            self.stop(now, Why::Removed);
        }
    }

    fn beaten(&mut self, now: Duration, from: Id, epoch: u64, number: u64) {
        if epoch < self.kept.epoch {
            return self.host.say(from, Word::Newer { epoch: self.kept.epoch });
        }
        if epoch == self.kept.epoch && self.leads() {
            // Only where a member voted twice, out of a state that it was set back to.
            self.host.note("another leads in this very epoch: a member's state was set back");
            return self.stop(now, Why::PassedOver(epoch));
        }
        self.adopt(now, epoch);
        self.promised = now + self.terms.wait();
        self.heard_at = now;
        self.follow(now, Some(from));
        let known = if self.on_disk >= self.kept.stamp { self.kept.roster.version() } else { (0, 0) };
        self.host.say(from, Word::Heard { epoch, number, roster: known });
    }

    fn seats(&mut self, now: Duration, from: Id, epoch: u64, roster: Roster) {
        let leader = matches!(&self.role, Role::Following { leader: Some(l) } if *l == from);
        if epoch != self.kept.epoch || !leader || roster.version() <= self.kept.roster.version() {
            return;
        }
        let took_part = self.kept.roster.holds(self.kept.id);
        let version = roster.version();
        self.kept.roster = roster;
        self.keep();
        match (took_part, self.kept.roster.holds(self.kept.id)) {
            (true, false) => self.host.note("this member takes no part any more"),
            (false, true) => self.host.note("this member takes part from here on"),
            _ => {}
        }
        self.put_off(now);
        self.say_kept(from, Word::Heard { epoch, number: 0, roster: version });
    }

    /// Time has passed.
    pub fn woken(&mut self, now: Duration) {
        match &self.role {
            Role::Leading(lead) if now >= lead.until => {
                self.stop(now, Why::LeaseRanOut);
            }
            Role::Leading(lead) if now >= lead.beat_at => {
                self.beat(now);
                self.leave_if_removed(now);
            }
            Role::Leading(_) => {}
            _ if now < self.stand_at => {}
            _ if !self.takes_part() || now < self.mute || now < self.promised => self.put_off(now),
            _ => {
                if let Role::Following { leader: Some(_) } = self.role {
                    self.host.note("the leader is not heard any more");
                }
                self.role = Role::Canvassing { favours: BTreeSet::from([self.kept.id]) };
                self.put_off(now);
                let word = Word::Canvass { epoch: self.kept.epoch + 1, roster: self.kept.roster.version() };
                for other in self.kept.roster.others(self.kept.id) {
                    self.host.say(other, word.clone());
                }
                if self.kept.roster.majority(|id| id == self.kept.id) {
                    self.stand(now, false);
                }
            }
        }
    }

    // Who takes part.

    fn may_change(&self) -> Result<(), Refused> {
        match &self.role {
            Role::Leading(lead) if self.settled(lead) => Ok(()),
            Role::Leading(_) => Err(Refused::Underway),
            _ => Err(Refused::NotLeading { leader: self.leader().map(|l| self.name_of(l)) }),
        }
    }

    fn change(&mut self, now: Duration) {
        self.kept.roster.number += 1;
        self.keep();
        // Told at once, not with the next answer to a beat.
        let word = Word::Seats { epoch: self.kept.epoch, roster: self.kept.roster.clone() };
        for other in self.kept.roster.others(self.kept.id) {
            self.say_kept(other, word.clone());
        }
        self.beat(now);
    }

    /// # Errors
    ///
    /// It does not lead; another change is under way; the name or folder takes part already.
    pub fn add(&mut self, now: Duration, id: Id, seat: Seat) -> Result<(), Refused> {
        self.may_change()?;
        let roster = &mut self.kept.roster;
        if roster.holds(id) || roster.seats.values().any(|s| s.name == seat.name) {
            return Err(Refused::Already(seat.name));
        }
        roster.seats.insert(id, seat);
        self.change(now);
        Ok(())
    }

    /// The leader may remove itself: it leads until a majority of the rest knows.
    ///
    /// # Errors
    ///
    /// It does not lead; another change is under way; nobody has that name, or nobody else is there.
    pub fn remove(&mut self, now: Duration, name: &str) -> Result<(), Refused> {
        self.may_change()?;
        let roster = &mut self.kept.roster;
        let Some(id) = roster.seats.iter().find(|s| s.1.name == name).map(|s| *s.0) else {
            return Err(Refused::Nobody(name.into()));
        };
        if roster.seats.len() == 1 {
            return Err(Refused::Last);
        }
        let removed = roster.seats.remove(&id);
        self.change(now);
        if let Some(seat) = removed.filter(|_| id != self.kept.id) {
            let text = format!("{} takes no part any more", seat.name);
            self.host.note(&text);
            // It is told, so that it does not canvass for ever; whether it hears it does not matter.
            let word = Word::Seats { epoch: self.kept.epoch, roster: self.kept.roster.clone() };
            self.say_kept(id, word);
        }
        Ok(())
    }

    /// Leaves the lead to the member that was heard last.
    ///
    /// # Errors
    ///
    /// It does not lead, or nobody else is there.
    pub fn step_down(&mut self, now: Duration) -> Result<(), Refused> {
        let Role::Leading(lead) = &self.role else {
            return Err(Refused::NotLeading { leader: self.leader().map(|l| self.name_of(l)) });
        };
        let others = self.kept.roster.others(self.kept.id);
        let heard = |id: &Id| lead.heard.get(id).copied().unwrap_or_default();
        let Some(next) = others.into_iter().max_by_key(|id| (heard(id), *id)) else {
            return Err(Refused::Last);
        };
        let epoch = self.kept.epoch;
        self.stop(now, Why::Asked);
        // Those who hear the next may vote at once; this one stands again only if none is chosen.
        self.promised = now;
        self.host.say(next, Word::Turn { epoch });
        Ok(())
    }
}
