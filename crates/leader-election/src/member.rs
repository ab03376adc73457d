//! One member: votes, leads, follows, and changes who takes part.

use crate::roster::{Id, Roster};
use crate::word::Word;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use thiserror::Error;

mod candidacy;
mod lease;
mod seats;

use lease::Lead;

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
    /// How long a member that heard the leader helps no other.
    pub fn wait(&self) -> Duration {
        outlasting(self.lease, self.drift)
    }
}

/// How long to wait for the end of somebody else's lease: by the fastest clock that may be, no shorter than the lease is by
/// the slowest. `drift`: by how much of the time a clock may be fast or slow.
pub fn outlasting(lease: Duration, drift: f64) -> Duration {
    lease.mul_f64((1.0 + drift) / (1.0 - drift))
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
}
