//! One member's duties: what it owns, what it grants while it leads, and its part of the journal.

use crate::account::{Ledger, Rows, Tally};
use crate::owner::{Lost, Owner};
use crate::register::{Cell, LateOwner, MOST_CONTENT, Record, Register};
use crate::steward::{Refused, Shown, Steward};
use crate::token::{Duty, Terms, Token};
use crate::work::{Word, Work};
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What a member's duties ask of what runs them.
pub trait Host {
    /// To another member. What is lost on the way is said again.
    fn say(&mut self, to: MemberId, word: Word);
    /// Write this; [`Duties::kept`] is told once it is on disk.
    fn keep(&mut self, duty: Duty, cell: &Cell, stamp: u64);
    /// All that the others held is here, and handed over to be written: to be found so after a crash.
    fn copied(&mut self);
    /// This member owns the duty; work waits for [`Host::ready`].
    fn take(&mut self, duty: Duty, token: Token);
    /// Nothing more may come of work on it.
    fn lose(&mut self, duty: Duty, token: Token, why: Lost);
    /// Work may go on after this step: to be done again where it has not ended, since nobody knows whether it took
    /// place.
    fn ready(&mut self, duty: Duty, token: Token, last: Option<&Record>);
    /// A majority has this record: begun, its effect may take place; ended, the next may begin.
    fn stands(&mut self, duty: Duty, token: Token, record: &Record);
    /// What other members counted.
    fn counted(&mut self, from: MemberId, periods: Vec<(u64, Rows)>);
    /// For the log.
    fn note(&mut self, text: &str);
}

/// Hands over what a member says to itself without the way over the wire.
struct Local<'a, H> {
    host: &'a mut H,
    own: MemberId,
    inbox: &'a mut VecDeque<Word>,
}

impl<H: Host> Host for Local<'_, H> {
    fn say(&mut self, to: MemberId, word: Word) {
        if to == self.own { self.inbox.push_back(word) } else { self.host.say(to, word) }
    }
    fn keep(&mut self, duty: Duty, cell: &Cell, stamp: u64) {
        self.host.keep(duty, cell, stamp);
    }
    fn copied(&mut self) {
        self.host.copied();
    }
    fn take(&mut self, duty: Duty, token: Token) {
        self.host.take(duty, token);
    }
    fn lose(&mut self, duty: Duty, token: Token, why: Lost) {
        self.host.lose(duty, token, why);
    }
    fn ready(&mut self, duty: Duty, token: Token, last: Option<&Record>) {
        self.host.ready(duty, token, last);
    }
    fn stands(&mut self, duty: Duty, token: Token, record: &Record) {
        self.host.stands(duty, token, record);
    }
    fn counted(&mut self, from: MemberId, periods: Vec<(u64, Rows)>) {
        self.host.counted(from, periods);
    }
    fn note(&mut self, text: &str) {
        self.host.note(text);
    }
}

/// The duties of one member.
#[derive(Debug)]
pub struct Duties<H> {
    host: H,
    own: MemberId,
    terms: Terms,
    names: u64,
    count: usize,
    seats: Vec<MemberId>,
    inbox: VecDeque<Word>,
    owner: Owner,
    steward: Option<Steward>,
    /// Until when this member leads, by the lease that its word as leader rests on.
    leads_until: Duration,
    /// The newest epoch that it led: tokens of it are counted once.
    led: u64,
    register: Register,
    works: BTreeMap<Duty, Work>,
    tally: Tally,
}

macro_rules! local {
    ($self:ident) => {
        &mut Local { host: &mut $self.host, own: $self.own, inbox: &mut $self.inbox }
    };
}

impl<H: Host> Duties<H> {
    /// `names` stands for the names of all duties, alike on all members; `count`: how many there are. `life`: rises with each
    /// start, whatever else is lost. `cells`: what the disk has of the journal; `copied`: false on a member that was added and has
    /// not copied the others' yet.
    #[expect(
        clippy::too_many_arguments,
        reason = "each part takes its own few settings; none holds them all"
    )]
    pub fn start(
        host: H,
        own: MemberId,
        terms: Terms,
        (names, count): (u64, usize),
        life: u32,
        cells: BTreeMap<Duty, Cell>,
        copied: bool,
        tally: Tally,
    ) -> Duties<H> {
        Duties {
            host,
            own,
            terms,
            names,
            count,
            seats: vec![],
            inbox: VecDeque::new(),
            owner: Owner::new(terms, names, life),
            steward: None,
            leads_until: Duration::ZERO,
            led: 0,
            register: Register::new(cells, copied),
            works: BTreeMap::new(),
            tally,
        }
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    pub fn tally(&mut self) -> &mut Tally {
        &mut self.tally
    }

    /// When [`Duties::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        let takes_part = self.seats.contains(&self.own);
        let steward = self.steward.as_ref().map(|s| s.due().min(self.leads_until));
        let works = self.works.values().filter_map(Work::due);
        let others = [steward, self.owner.due(), self.register.due(takes_part)];
        others.into_iter().flatten().chain(works).min().unwrap_or(Duration::MAX)
    }

    /// The token by which this member may act on a duty at this very moment. To be asked with a clock that was just
    /// read, right before an effect.
    pub fn may(&self, now: Duration, duty: Duty) -> Option<Token> {
        self.owner.may(now, duty)
    }

    /// Which duties rest, as this member was told, and until when.
    pub fn holds(&self) -> impl Iterator<Item = (Duty, Duration)> {
        self.owner.holds()
    }

    /// The last owner that came after a newer one, and how many words of such were refused here.
    pub fn late(&self) -> (Option<LateOwner>, u64) {
        (self.register.late, self.register.refused)
    }

    /// All duties, as the leader has them; none where this member does not lead.
    pub fn shown(&self) -> Option<Vec<Shown>> {
        self.steward.as_ref().map(|s| s.shown().collect())
    }

    /// Who takes part, who leads in which epoch, and, where it is this member, until when it may say anything as leader:
    /// one that stalled and wakes up would renew what the next leader has granted to others.
    pub fn roster(
        &mut self,
        now: Duration,
        seats: Vec<MemberId>,
        leader: Option<(u64, MemberId)>,
        until: Duration,
    ) {
        self.seats = seats;
        self.leads_until = until;
        let leads = leader.filter(|(_, id)| *id == self.own && now < until).map(|(epoch, _)| epoch);
        if leads != self.steward.as_ref().map(Steward::epoch) {
            let new = leads.filter(|epoch| *epoch > self.led);
            self.steward = new.map(|epoch| Steward::new(now, epoch, self.terms, self.names, self.count));
            self.led = new.unwrap_or(self.led);
        }
        self.owner.follow(now, leader.filter(|_| self.seats.contains(&self.own)));
        self.settle(now);
    }

    /// Time has passed.
    pub fn woken(&mut self, now: Duration) {
        self.owner.woken(local!(self), now);
        // A lease that ran out is not renewed: what it would say as leader it never says again.
        self.steward = self.steward.take().filter(|_| now < self.leads_until);
        if let Some(steward) = self.steward.as_mut().filter(|s| now >= s.due()) {
            steward.woken(local!(self), now, &self.seats);
        }
        self.settle(now);
        let others = self.others();
        if self.seats.contains(&self.own) {
            self.register.ask_copies(local!(self), now, &others, self.terms.renew);
        }
        for (duty, work) in &mut self.works {
            if work.due().is_some_and(|at| at <= now) {
                work.say(local!(self), now, *duty, &self.seats, self.terms.renew);
            }
        }
        self.settle(now);
    }

    fn others(&self) -> Vec<MemberId> {
        self.seats.iter().copied().filter(|id| *id != self.own).collect()
    }

    pub fn kept(&mut self, now: Duration, stamp: u64) {
        self.register.kept(local!(self), stamp);
        self.settle(now);
    }

    pub fn heard(&mut self, now: Duration, from: MemberId, word: Word) {
        self.hear(now, from, word);
        self.settle(now);
    }

    fn hear(&mut self, now: Duration, from: MemberId, mut word: Word) {
        let (again, count) = (self.terms.renew, self.count);
        // A member with other settings may speak of duties that are none here, and have no name to be kept under.
        if let Word::Copied { cells, .. } = &mut word {
            cells.retain(|c| (c.0 as usize) < count);
        }
        if let Word::Grants { duties, holds, .. } = &mut word {
            duties.retain(|d| (d.0 as usize) < count);
            holds.retain(|d| (d.0 as usize) < count);
        }
        if word.duty().is_some_and(|duty| duty as usize >= count) {
            return;
        }
        match word {
            Word::Renew { epoch, turn, number, version, names, busy, claims } => {
                if let Some(steward) = self.steward.as_mut().filter(|_| now < self.leads_until) {
                    let at = (epoch, turn, number, version);
                    steward.renew(local!(self), now, from, at, names, &busy, claims, &self.seats);
                }
            }
            Word::Renewed { epoch, number, version } => {
                self.owner.renewed(local!(self), now, from, (epoch, number, version));
            }
            Word::Grants { epoch, turn, version, duties, holds } => {
                self.owner.granted(local!(self), now, from, (epoch, turn, version), duties, holds);
            }
            Word::OtherNames { .. } => {
                self.host.note("the leader knows other duties than this member: it gets none");
            }
            Word::Open { duty, token } => {
                self.register.open(local!(self), now, from, duty, token);
            }
            Word::Write { duty, record } => {
                self.register.write(local!(self), now, from, duty, record);
            }
            Word::Opened { duty, token, record } => {
                if let Some(work) = self.works.get_mut(&duty).filter(|w| w.token() == token) {
                    work.opened(local!(self), now, duty, from, record, &self.seats, again);
                }
            }
            Word::Written { duty, token, step, ended } => {
                if let Some(work) = self.works.get_mut(&duty).filter(|w| w.token() == token) {
                    work.written(local!(self), duty, from, (step, ended), &self.seats);
                    // What is to be handed over goes once its last step has ended, and not before.
                    if let Some(under_way) = work.rests().then(|| work.last().is_some_and(|l| !l.ended)) {
                        self.owner.step(local!(self), now, duty, under_way);
                    }
                }
            }
            Word::Late { duty, token, seen } => self.owner.late(local!(self), now, duty, token, seen),
            Word::Copy { from: at } => self.register.copy(local!(self), from, at),
            Word::Copied { from: at, cells, next } => {
                let others = self.others();
                self.register.take_copy(local!(self), from, at, cells, next, &others);
            }
            Word::Count { from: first, to } => {
                let periods = self.tally.told(first, to);
                let word = Word::Counted { periods };
                Host::say(local!(self), from, word);
            }
            Word::Counted { periods } => self.host.counted(from, periods),
        }
    }

    /// Hears what this member said to itself, and begins and ends work as ownerships do.
    fn settle(&mut self, now: Duration) {
        loop {
            while let Some(word) = self.inbox.pop_front() {
                self.hear(now, self.own, word);
            }
            let owned = self.owner.active();
            self.works.retain(|duty, work| owned.get(duty) == Some(&work.token()));
            let new = owned.iter().find(|(duty, _)| !self.works.contains_key(*duty));
            let Some((duty, token)) = new.map(|(d, t)| (*d, *t)) else {
                if self.inbox.is_empty() {
                    return;
                }
                continue;
            };
            let work = Work::new(local!(self), now, duty, token, &self.seats, self.terms.renew);
            self.works.insert(duty, work);
        }
    }

    /// The next step, its content fixed for whoever does it. Nothing where the last has not ended, or this member does
    /// not own the duty (any more).
    pub fn begin(&mut self, now: Duration, duty: Duty, content: Vec<u8>) -> bool {
        let Some(token) = self.owner.may(now, duty).filter(|_| content.len() <= MOST_CONTENT) else {
            return false;
        };
        let Some(work) = self.works.get_mut(&duty) else { return false };
        let step = match work.last() {
            Some(last) if !last.ended => return false,
            last => last.map_or(0, |l| l.step) + 1,
        };
        let record = Record { token, step, ended: false, content };
        let written = work.write(local!(self), now, duty, record, &self.seats, self.terms.renew);
        if written {
            self.owner.step(local!(self), now, duty, true);
        }
        self.settle(now);
        written
    }

    /// The effect of the step that was begun has taken place.
    pub fn end(&mut self, now: Duration, duty: Duty) -> bool {
        let Some(token) = self.owner.may(now, duty) else { return false };
        let Some(work) = self.works.get_mut(&duty) else { return false };
        let Some(last) = work.last().filter(|l| !l.ended).cloned() else { return false };
        let record = Record { token, ended: true, ..last };
        let written = work.write(local!(self), now, duty, record, &self.seats, self.terms.renew);
        self.settle(now);
        written
    }

    /// What a duty touches has seen a newer owner: this one stops.
    pub fn refused(&mut self, now: Duration, duty: Duty, token: Token, seen: Token) {
        self.owner.late(local!(self), now, duty, token, seen);
        self.settle(now);
    }

    /// Asks all what was counted in these periods, this member too.
    pub fn ask_counts(&mut self, now: Duration, ledger: &Ledger) {
        let (from, to) = ledger.open();
        for id in self.seats.clone() {
            Host::say(local!(self), id, Word::Count { from, to });
        }
        self.settle(now);
    }

    // What operators ask of the leader.

    /// # Errors
    ///
    /// This member does not lead, the target renews nothing, or the duty rests.
    pub fn move_to(&mut self, now: Duration, duty: Duty, to: MemberId) -> Result<(), Refused> {
        let steward = self.steward.as_mut().filter(|_| now < self.leads_until).ok_or(Refused::NotLeading)?;
        let done = steward.move_to(local!(self), now, duty, to, &self.seats);
        self.settle(now);
        done
    }

    /// Nobody works on it for a while.
    ///
    /// # Errors
    ///
    /// This member does not lead, or the span is longer than a hold may be.
    pub fn hold(&mut self, now: Duration, duty: Duty, span: Duration) -> Result<(), Refused> {
        let steward = self.steward.as_mut().filter(|_| now < self.leads_until).ok_or(Refused::NotLeading)?;
        let done = steward.hold(local!(self), now, duty, span, &self.seats);
        self.settle(now);
        done
    }

    /// Ends a hold, or the wish that a certain member has it.
    ///
    /// # Errors
    ///
    /// This member does not lead, or there is neither.
    pub fn release(&mut self, now: Duration, duty: Duty) -> Result<(), Refused> {
        let steward = self.steward.as_mut().filter(|_| now < self.leads_until).ok_or(Refused::NotLeading)?;
        let done = steward.release(local!(self), now, duty, &self.seats);
        self.settle(now);
        done
    }
}
