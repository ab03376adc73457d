//! Editions of a member that runs: their words on the streams of duties, what is held on the disk, and the journal that
//! is a duty's. All decisions are [`grebespool_config_consensus`]'s.

use crate::duties::{Bench, EDITIONS};
use crate::operator::{self, Answer};
use crate::run::Shared;
use crate::seal::Packet;
use crate::store::Store;
use grebespool_config_consensus::{
    ActiveVersions, Change, ConsensusNode as Member, ConsensusSettings as Terms, CoordinatorRef, Event, Host,
    Message as Word, ProposalId as Ticket, ProposalOutcome, StoredState as Kept,
};
use grebespool_leader_election::Id;
use grebespool_singleton_tasks::{Duty, Token};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};
use tracing::{info, warn};

/// The limits that this program knows, by their names in editions (`docs/operators/editions.md`).
pub const LIMITS: [&str; 2] = ["power.most_withdrawn", "power.reserve"];

/// What is asked for while a member's editions are called.
#[derive(Default)]
pub(crate) struct Asked {
    said: Vec<(Id, Word)>,
    writing: Option<(Kept, u64)>,
    fix: Option<(Token, Vec<u8>)>,
    end: Option<Token>,
    proposed: Vec<(Ticket, ProposalOutcome)>,
}

#[derive(Default)]
pub(crate) struct Slate(Asked);

impl Host for Slate {
    fn send(&mut self, to: Id, word: Word) {
        self.0.said.push((to, word));
    }
    fn persist(&mut self, kept: &Kept, stamp: u64) {
        self.0.writing = Some((kept.clone(), stamp));
    }
    fn write_journal(&mut self, token: Token, content: Vec<u8>) {
        self.0.fix = Some((token, content));
    }
    fn finish_journal_step(&mut self, token: Token) {
        self.0.end = Some(token);
    }
    fn active_versions_changed(&mut self, acts: ActiveVersions) {
        info!("this member acts by {acts}");
    }
    fn proposal_decided(&mut self, ticket: Ticket, done: ProposalOutcome) {
        self.0.proposed.push((ticket, done));
    }
    fn log(&mut self, event: &Event) {
        warn!("{event}");
    }
}

/// Who waits for what becomes of a proposal.
type Asking = oneshot::Sender<ProposalOutcome>;

/// The editions of one member, and who waits for an answer.
pub(crate) struct Editions {
    member: RefCell<Member<Slate>>,
    called: Notify,
    asking: RefCell<BTreeMap<Ticket, Asking>>,
}

impl Editions {
    /// # Errors
    ///
    /// The disk's.
    pub fn open(store: &Store, own: Id, life: u32, terms: Terms) -> io::Result<Editions> {
        let damaged = |why: &str| {
            warn!(why, "what was held of editions is damaged; the convener is asked for all of it")
        };
        let kept = store.editions(damaged)?;
        let member = Member::new(Slate::default(), own, terms, kept, life);
        Ok(Editions { member: RefCell::new(member), called: Notify::new(), asking: RefCell::default() })
    }
}

impl Shared {
    /// Calls the editions at this moment, and carries out what they asked.
    pub(crate) fn agree<T>(
        self: &Rc<Self>,
        what: impl FnOnce(&mut Member<Slate>, Duration) -> T,
    ) -> Option<T> {
        let (editions, bench) = (self.editions.as_ref()?, self.work.as_ref()?);
        let duty = bench.number(EDITIONS)?;
        let (done, asked) = {
            let mut member = editions.member.borrow_mut();
            let now = self.began.elapsed();
            member.set_journal_token(bench.may(now, duty));
            let done = what(&mut member, now);
            (done, std::mem::take(&mut member.host().0))
        };
        self.agreed(editions, duty, asked);
        Some(done)
    }

    /// What editions asked for while they were called.
    fn agreed(self: &Rc<Self>, editions: &Editions, duty: Duty, asked: Asked) {
        if let Some((kept, stamp)) = asked.writing {
            self.member.borrow_mut().host().disk.hold(kept, stamp);
        }
        for (to, word) in asked.said {
            self.say_of_work(to, Packet::Accord(word));
        }
        for (ticket, done) in asked.proposed {
            if let Some(asking) = editions.asking.borrow_mut().remove(&ticket) {
                let _ = asking.send(done);
            }
        }
        if let Some((token, content)) = asked.fix {
            let begun = self.duty(|d, now| Bench::write(d, duty, |d| d.begin(now, duty, content)));
            if begun != Some(true) {
                self.agree(|m, now| m.journal_write_rejected(now, token));
            }
        }
        if asked.end.is_some() {
            self.duty(|d, now| Bench::write(d, duty, |d| d.end(now, duty)));
        }
        editions.called.notify_one();
    }

    pub(crate) fn accord_heard(self: &Rc<Self>, from: Id, word: Word) {
        self.agree(|m, now| m.message_received(now, from, word));
    }

    pub(crate) fn editions_shown(&self) -> Answer {
        let Some(editions) = &self.editions else { return none() };
        let member = editions.member.borrow();
        let shown = member.status(self.began.elapsed());
        let own = self.member.borrow();
        let seats = &own.kept_state().roster.seats;
        let named = |id: Id| seats.get(&id).map_or(format!("{id:016x}"), |s| s.name.clone());
        let name = |id: grebespool_config_consensus::VersionId| (id.number, id.hash.to_string());
        Answer::Editions(Box::new(operator::Editions {
            name: self.name.clone(),
            acts: shown.active,
            standing: name(shown.committed),
            next: shown.pending.map(name),
            convener: shown.coordinator.map(|CoordinatorRef { member, .. }| named(member)),
            waiting: shown.undecided_proposals,
            view: member.effective_configuration(),
        }))
    }

    /// Waits for what becomes of it, for a while: a fleet without a majority answers nothing, and goes on with it later.
    pub(crate) async fn proposed(self: &Rc<Self>, changes: Vec<Change>, forced: bool) -> Answer {
        const WAITED: Duration = Duration::from_secs(8);
        let Some(editions) = &self.editions else { return none() };
        let (tell, told) = oneshot::channel();
        // The answer may come from within the call.
        let ticket = self.agree(|m, now| {
            let ticket = m.propose(now, changes, forced);
            if let Ok(ticket) = &ticket {
                editions.asking.borrow_mut().insert(*ticket, tell);
            }
            ticket
        });
        match ticket {
            Some(Ok(_)) => {}
            Some(Err(why)) => return Answer::Refused(why.to_string()),
            None => return none(),
        }
        match timeout(WAITED, told).await {
            Ok(Ok(ProposalOutcome::Activated(number))) => Answer::Done(format!("edition {number} holds")),
            Ok(Ok(ProposalOutcome::Rejected(why))) => Answer::Refused(why.join("; ")),
            _ => Answer::Refused(format!(
                "nothing is agreed yet after {WAITED:?}; it is proposed again until it is answered, while this member runs"
            )),
        }
    }
}

fn none() -> Answer {
    Answer::Refused("no editions are agreed on: members.duties.agree is not set".into())
}

async fn tick(shared: Rc<Shared>) {
    let Some(editions) = &shared.editions else { return };
    loop {
        let due = editions.member.borrow().next_timer();
        let due = shared.began + due.min(shared.began.elapsed() + Duration::from_secs(3600));
        tokio::select! {
            () = sleep_until(due) => drop(shared.agree(|m, now| m.timer_fired(now))),
            () = editions.called.notified() => {}
        }
    }
}

pub(crate) fn run(shared: &Rc<Shared>, tasks: &mut JoinSet<()>) {
    // A task that ends ends the member.
    if shared.editions.is_some() {
        tasks.spawn_local(tick(shared.clone()));
    }
}
