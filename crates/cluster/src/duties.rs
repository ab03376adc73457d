//! The duties of a member that runs: their words on the streams between members, their journal on the disk, and the
//! work itself. All decisions are [`grebespool_singleton_tasks`]'s.

use crate::accounts::accounts;
use crate::disk::Writing;
use crate::operator::{Answer, DutyOrder, Question};
use crate::run::Shared;
use crate::seal::Packet;
use crate::store::{Store, number};
use grebespool_leader_election::Id;
use grebespool_singleton_tasks::{
    Cell, Counts, Duties, Duty, Host, Lost, Record, Refused, Rows, Tally, Terms, Token, Word,
};
use std::cell::{Cell as Slot, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};
use tracing::{info, warn};

/// Accounts of periods.
#[derive(Debug, Clone)]
pub struct Accounting {
    /// Where accounts are written; the same for all members.
    pub folder: PathBuf,
    pub period: Duration,
    /// A period is closed so long after its end, and so long is waited for a member that does not answer.
    pub slack: Duration,
}

/// The work on behalf of a fleet that its members share out.
#[derive(Debug, Clone)]
pub struct Fleetwork {
    pub terms: Terms,
    pub accounts: Option<Accounting>,
    /// Editions of settings and lists that members agree on.
    pub agree: Option<grebespool_config_consensus::ConsensusSettings>,
}

pub(crate) const EDITIONS: &str = "editions";
const ACCOUNTS: &str = "accounts";

impl Fleetwork {
    /// The names of all duties, in an order that is the same on all members.
    fn names(&self) -> Vec<String> {
        let accounts = self.accounts.iter().map(|_| ACCOUNTS.to_string());
        accounts.chain(self.agree.iter().map(|_| EDITIONS.to_string())).collect()
    }
}

/// What a member's duties ask for while they are called.
#[derive(Default)]
struct Asked {
    said: Vec<(Id, Word)>,
    writing: Vec<(Duty, Cell, u64)>,
    copied: bool,
    told: Vec<(Id, Vec<(u64, Rows)>)>,
    changes: Vec<(Duty, Token, Option<Lost>)>,
    /// Something may be gone on with.
    moved: bool,
    /// What came to stand of journals, and whether it is the first of an ownership.
    stood: Vec<(Duty, Token, Option<Record>, bool)>,
}

#[derive(Default)]
pub(crate) struct Slate {
    asked: Asked,
    /// The last step of what may be gone on with, and by which token.
    pub go_on: BTreeMap<Duty, (Token, Option<Record>)>,
}

impl Host for Slate {
    fn say(&mut self, to: Id, word: Word) {
        self.asked.said.push((to, word));
    }
    fn keep(&mut self, duty: Duty, cell: &Cell, stamp: u64) {
        self.asked.writing.push((duty, cell.clone(), stamp));
    }
    fn copied(&mut self) {
        self.asked.copied = true;
    }
    fn take(&mut self, duty: Duty, token: Token) {
        self.asked.changes.push((duty, token, None));
    }
    fn lose(&mut self, duty: Duty, token: Token, why: Lost) {
        self.go_on.remove(&duty);
        self.asked.changes.push((duty, token, Some(why)));
    }
    fn ready(&mut self, duty: Duty, token: Token, last: Option<&Record>) {
        self.asked.moved = true;
        self.asked.stood.push((duty, token, last.cloned(), true));
        self.go_on.insert(duty, (token, last.cloned()));
    }
    fn stands(&mut self, duty: Duty, token: Token, record: &Record) {
        self.asked.moved = true;
        self.asked.stood.push((duty, token, Some(record.clone()), false));
        self.go_on.insert(duty, (token, Some(record.clone())));
    }
    fn counted(&mut self, from: Id, periods: Vec<(u64, Rows)>) {
        self.asked.told.push((from, periods));
    }
    fn note(&mut self, text: &str) {
        info!("{text}");
    }
}

/// The duties of one member, and what runs them.
pub(crate) struct Bench {
    pub work: Fleetwork,
    names: Vec<String>,
    duties: RefCell<Duties<Slate>>,
    called: Notify,
    /// Something may be gone on with, or was told.
    pub moved: Notify,
    /// What members told last of each period.
    pub told: RefCell<BTreeMap<Id, BTreeMap<u64, Rows>>>,
    counted: Slot<bool>,
}

impl Bench {
    /// # Errors
    ///
    /// The disk's.
    pub fn open(store: &Store, own: Id, life: u32, work: Fleetwork) -> io::Result<Bench> {
        let names = work.names();
        let damaged = |name: &str, why: &str| {
            warn!(
                duty = name,
                why, "a damaged record is set aside; this member copies the others' before it answers"
            );
        };
        let (cells, copied) = store.cells(&names, damaged)?;
        let stands_for = number("grebespool 2026 duties", names.join("\n").as_bytes());
        let tally = store.tally()?;
        let known = (stands_for, names.len());
        let duties = Duties::start(Slate::default(), own, work.terms, known, life, cells, copied, tally);
        Ok(Bench {
            work,
            names,
            duties: RefCell::new(duties),
            called: Notify::new(),
            moved: Notify::new(),
            told: RefCell::default(),
            counted: Slot::new(false),
        })
    }

    pub fn number(&self, name: &str) -> Option<Duty> {
        self.names.iter().position(|n| n == name).map(|d| d as Duty)
    }

    /// The last step of a duty that may be gone on with.
    pub fn go_on(&self, duty: Duty) -> Option<(Token, Option<Record>)> {
        self.duties.borrow_mut().host().go_on.get(&duty).cloned()
    }

    /// The token by which this member may act at this moment.
    pub fn may(&self, now: Duration, duty: Duty) -> Option<Token> {
        self.duties.borrow().may(now, duty)
    }

    /// Has the work rest until what `what` writes stands; as it was where it writes nothing. Whether it wrote.
    pub fn write(
        duties: &mut Duties<Slate>,
        duty: Duty,
        what: impl FnOnce(&mut Duties<Slate>) -> bool,
    ) -> bool {
        let Some(before) = duties.host().go_on.remove(&duty) else { return false };
        let written = what(duties);
        if !written {
            duties.host().go_on.entry(duty).or_insert(before);
        }
        written
    }

    /// Which period it is, by the clock on the wall: all members have to agree on that.
    pub fn period(&self, before: Duration) -> Option<u64> {
        let period = self.work.accounts.as_ref()?.period;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().saturating_sub(before);
        Some((now.as_millis() / period.as_millis().max(1)) as u64)
    }
}

impl Shared {
    /// Calls the duties at this moment, and carries out what they asked.
    pub(crate) fn duty<T>(
        self: &Rc<Self>,
        what: impl FnOnce(&mut Duties<Slate>, Duration) -> T,
    ) -> Option<T> {
        let bench = self.work.as_ref()?;
        let (done, asked) = {
            let mut duties = bench.duties.borrow_mut();
            let done = what(&mut duties, self.began.elapsed());
            (done, std::mem::take(&mut duties.host().asked))
        };
        self.carry_out(bench, asked);
        Some(done)
    }

    /// What duties asked for while they were called.
    fn carry_out(self: &Rc<Self>, bench: &Bench, asked: Asked) {
        let Asked { said, writing, copied, told, changes, moved, stood } = asked;
        let editions = bench.number(EDITIONS);
        let lost_editions = changes.iter().any(|c| Some(c.0) == editions && c.2.is_some());
        for (duty, token, lost) in changes {
            let name = &bench.names[duty as usize];
            match lost {
                None => info!(duty = name, %token, "this member owns a duty"),
                Some(why) => info!(duty = name, %token, %why, "this member owns a duty no more"),
            }
        }
        if !writing.is_empty() || copied {
            let named = |(duty, cell, stamp): (Duty, Cell, u64)| Writing {
                name: bench.names[duty as usize].clone(),
                cell,
                stamp,
            };
            let writing = writing.into_iter().map(named).collect();
            self.member.borrow_mut().host().disk.keep_cells(writing, copied);
        }
        for (to, word) in said {
            self.say_of_work(to, Packet::Duty(word));
        }
        let moved = moved || !told.is_empty();
        for (from, periods) in told {
            bench.told.borrow_mut().insert(from, periods.into_iter().collect());
        }
        // Not with every call: work that asks something of duties would wake itself.
        if moved {
            bench.moved.notify_one();
        }
        bench.called.notify_one();
        if lost_editions {
            self.agree(|m, now| m.stop_coordinating(now));
        }
        for (_, token, record, first) in stood.into_iter().filter(|s| Some(s.0) == editions) {
            self.agree(|m, now| match &record {
                last if first => m.start_coordinating(now, token, last.as_ref()),
                Some(record) if record.ended => m.journal_step_finished(now, token),
                _ => m.journal_durable(now, token),
            });
        }
    }

    /// Who takes part and who leads, as it is now.
    pub(crate) fn place_duties(self: &Rc<Self>) {
        let (seats, leader, until) = {
            let member = self.member.borrow();
            let seats: Vec<Id> = member.kept_state().roster.seats.keys().copied().collect();
            (seats, member.leader().map(|id| (member.epoch(), id)), member.leads_until())
        };
        let taking_part = seats.clone();
        self.duty(|d, now| d.roster(now, seats, leader, until));
        self.agree(|m, now| m.set_voters(now, taking_part));
    }

    pub(crate) fn duty_heard(self: &Rc<Self>, from: Id, word: Word) {
        self.duty(|d, now| d.heard(now, from, word));
    }

    pub(crate) fn duty_kept(self: &Rc<Self>, stamp: u64) {
        self.duty(|d, now| d.kept(now, stamp));
    }

    pub(crate) fn count(&self, zone: u16, route: u8, counts: Counts) {
        let Some((bench, period)) = self.work.as_ref().and_then(|b| Some((b, b.period(Duration::ZERO)?)))
        else {
            return;
        };
        bench.duties.borrow_mut().tally().add(period, (zone, route), counts);
        bench.counted.set(true);
    }

    pub(crate) fn of_duties(self: &Rc<Self>, question: Question) -> Answer {
        let Some(bench) = &self.work else {
            return Answer::Refused("no work is shared out: members.duties is not set".into());
        };
        let Question::Duty { name, order } = question else {
            return self.duties_shown(bench, &bench.duties.borrow(), self.began.elapsed());
        };
        let Some(duty) = bench.number(&name) else {
            let there = bench.names.join(", ");
            return Answer::Refused(format!("no duty {name:?}; there are {there}"));
        };
        let done = self.duty(|d, now| match &order {
            DutyOrder::Move(to) => {
                let member = self.member.borrow();
                let Some(id) =
                    member.kept_state().roster.seats.iter().find(|s| s.1.name == *to).map(|s| *s.0)
                else {
                    return Err(format!("no member {to:?}"));
                };
                d.move_to(now, duty, id).map(|()| format!("{name} goes to {to}")).map_err(|why| match why {
                    Refused::NoMember => format!("no member {to:?} that renews its duties"),
                    why => why.to_string(),
                })
            }
            DutyOrder::Hold(ms) => {
                let held = d.hold(now, duty, Duration::from_millis(*ms));
                held.map(|()| format!("{name} rests for {:.0} s", *ms as f64 / 1000.0))
                    .map_err(|w| w.to_string())
            }
            DutyOrder::Release => {
                d.release(now, duty).map(|()| format!("{name} is released")).map_err(|why| why.to_string())
            }
        });
        match done {
            Some(Ok(text)) => Answer::Done(text),
            Some(Err(why)) => Answer::Refused(why),
            None => Answer::Refused("no work is shared out".into()),
        }
    }

    fn duties_shown(&self, bench: &Bench, duties: &Duties<Slate>, now: Duration) -> Answer {
        let Some(all) = duties.shown() else { return Answer::Refused("this member does not lead".into()) };
        let member = self.member.borrow();
        let seats = &member.kept_state().roster.seats;
        let named = |id: Id| seats.get(&id).map_or(format!("{id:016x}"), |s| s.name.clone());
        let line = |s: &grebespool_singleton_tasks::Shown| {
            let owner = s.owner.map_or("nobody".into(), named);
            let span = now.saturating_sub(s.since).as_secs_f64();
            let mut text =
                format!("{}: {owner} for {span:.1} s, token {}", bench.names[s.duty as usize], s.token);
            if let Some(from) = s.leaving {
                text += &format!(", being handed over by {}", named(from));
            }
            if let Some(until) = s.held_until {
                text += &format!(", rests for {:.0} s more", until.saturating_sub(now).as_secs_f64());
            }
            if let Some(wanted) = s.wanted {
                text += &format!(", wanted at {}", named(wanted));
            }
            text
        };
        let (late, refused) = duties.late();
        let last = late.map(|l| {
            let ago = now.saturating_sub(l.at).as_secs_f64();
            let (duty, from) = (&bench.names[l.duty as usize], named(l.from));
            format!(
                "last refused here: {from} for {duty} by token {}, after {} ({ago:.1} s ago)",
                l.token, l.seen
            )
        });
        let count = format!("words of former owners refused here since the start: {refused}");
        Answer::Lines(all.iter().map(line).chain(last).chain([count]).collect())
    }
}

async fn tick(shared: Rc<Shared>) {
    let Some(bench) = &shared.work else { return };
    loop {
        let due = bench.duties.borrow().due();
        let due = shared.began + due.min(shared.began.elapsed() + Duration::from_secs(3600));
        tokio::select! {
            () = sleep_until(due) => drop(shared.duty(|d, now| d.woken(now))),
            () = bench.called.notified() => {}
        }
    }
}

/// Writes what was counted, again and again: what was counted since is lost with the process.
async fn keep_counts(shared: Rc<Shared>) {
    const EVERY: Duration = Duration::from_millis(500);
    let Some(bench) = &shared.work else { return };
    loop {
        sleep(EVERY).await;
        if bench.counted.take() {
            let tally: Tally = bench.duties.borrow_mut().tally().clone();
            shared.member.borrow_mut().host().disk.count(tally);
        }
    }
}

pub(crate) fn run(shared: &Rc<Shared>, tasks: &mut JoinSet<()>) {
    let Some(bench) = &shared.work else { return };
    shared.place_duties();
    tasks.spawn_local(tick(shared.clone()));
    if let Some(accounting) = bench.work.accounts.clone() {
        tasks.spawn_local(keep_counts(shared.clone()));
        tasks.spawn_local(accounts(shared.clone(), accounting, bench.number(ACCOUNTS).unwrap_or_default()));
    }
}
