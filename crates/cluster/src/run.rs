//! The task that runs a member.

use crate::accord::Editions;
use crate::disk::{Disk, Written};
use crate::duties::{Bench, Fleetwork};
use crate::keys::KeyFile;
use crate::listen::accept;
use crate::operator::{Answer, Question, Shown, SiteAsked};
use crate::seal::{Own, Packet, Sealed};
use crate::store::Store;
use crate::ways::{DUTY_WORDS_KEPT, Queue, WORDS_KEPT, Way, carry, speak};
use grebespool_leader_election::{Host, Id, Kept, Member, Memory, Seat, Standing, Terms, Why, Word};
use grebespool_singleton_tasks::Counts;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

/// Whether this member is to plan.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Plan in this epoch, beginning with what the last leader told, as far as it is still true.
    Lead { epoch: u64, memory: Option<Box<Memory>> },
    /// Order nothing.
    Follow,
}

impl Change {
    /// For logs.
    pub fn name(&self) -> &'static str {
        match self {
            Change::Lead { .. } => "lead",
            Change::Follow => "follow",
        }
    }
}

#[derive(Debug, Error)]
pub enum Unrunnable {
    #[error("{path}: {why}")]
    Key { path: String, why: io::Error },
    #[error("the newest memory cannot be read: {0}")]
    Memory(String),
    #[error("the journal of duties cannot be read: {0}")]
    Duties(String),
    #[error("what is held of editions cannot be read: {0}")]
    Editions(String),
}

pub(crate) const DIALLED_WITHIN: Duration = Duration::from_secs(2);
pub(crate) struct Desk {
    pub(crate) disk: Disk,
    said: Vec<(Id, Word)>,
    change: watch::Sender<Change>,
    led: Option<u64>,
}

impl Host for Desk {
    fn keep(&mut self, kept: &Kept) {
        self.disk.keep(kept.clone());
    }
    fn say(&mut self, to: Id, word: Word) {
        self.said.push((to, word));
    }
    fn lead(&mut self, epoch: u64) {
        self.led = Some(epoch);
    }
    fn stand_down(&mut self, epoch: u64, why: Why) {
        warn!(epoch, %why, "this member leads no more");
        self.led = None;
        self.change.send_replace(Change::Follow);
    }
    fn note(&mut self, text: &str) {
        info!("{text}");
    }
}

pub(crate) struct Shared {
    pub(crate) began: Instant,
    pub(crate) own: Own,
    pub(crate) name: String,
    pub(crate) member: RefCell<Member<Desk>>,
    pub(crate) keys: RefCell<KeyFile>,
    ways: RefCell<BTreeMap<Id, Way>>,
    woken: Notify,
    /// The newest memory of a leader, and when it came.
    pub(crate) memory: RefCell<Option<(Memory, Instant)>>,
    weights_kept: Duration,
    refused: Cell<u64>,
    /// Whoever answers questions on sites while this member leads.
    sites: RefCell<Option<mpsc::UnboundedSender<SiteAsked>>>,
    /// Where work on behalf of the fleet is shared out.
    pub(crate) work: Option<Bench>,
    pub(crate) editions: Option<Editions>,
}

/// A member that runs. Cheap to clone.
#[derive(Clone)]
pub struct Running(Rc<Shared>);

impl Running {
    /// Whether an order may leave at this very moment.
    pub fn may_order(&self, epoch: u64) -> bool {
        let member = self.0.member.borrow();
        member.epoch() == epoch && member.may_order(self.0.began.elapsed())
    }

    /// A proxy holds orders of this epoch.
    pub fn passed_over(&self, epoch: u64) {
        self.0.call(|member, now| member.passed_over(now, epoch));
    }

    /// Questions on sites from here on, until the receiver is dropped: for who plans while this member leads.
    pub fn asked_of_sites(&self) -> mpsc::UnboundedReceiver<SiteAsked> {
        let (to, from) = mpsc::unbounded_channel();
        *self.0.sites.borrow_mut() = Some(to);
        from
    }

    /// So much came and became of it at a proxy of this zone, over one of its cycles.
    pub fn count(&self, zone: u16, route: u8, counts: Counts) {
        self.0.count(zone, route, counts);
    }

    /// Who leads, by name.
    pub fn leader(&self) -> Option<String> {
        let member = self.0.member.borrow();
        let roster = &member.kept_state().roster;
        member.leader().and_then(|id| roster.seats.get(&id).map(|s| s.name.clone()))
    }

    /// Hands a memory of this leader to its disk and to all others.
    ///
    /// # Errors
    ///
    /// It is too large to be kept.
    pub fn remember(&self, memory: &Memory) -> Result<(), grebespool_leader_election::Damaged> {
        let bytes = Rc::new(memory.bytes()?);
        self.0.member.borrow_mut().host().disk.remember(memory.order(), bytes.to_vec());
        *self.0.memory.borrow_mut() = Some((memory.clone(), Instant::now()));
        for way in self.0.ways.borrow().values() {
            // One that has not gone out yet is not worth more than the newest.
            *way.freight.borrow_mut() = Some((memory.order(), bytes.clone()));
            way.laden.notify_one();
        }
        Ok(())
    }
}

impl Shared {
    /// Calls the member at this moment, and carries out what it asked.
    pub(crate) fn call<T>(self: &Rc<Self>, what: impl FnOnce(&mut Member<Desk>, Duration) -> T) -> T {
        let (done, said, led) = {
            let mut member = self.member.borrow_mut();
            let done = what(&mut member, self.began.elapsed());
            let desk = member.host();
            (done, std::mem::take(&mut desk.said), desk.led.take())
        };
        self.reach();
        let ways = self.ways.borrow();
        for (to, word) in said {
            let Some(way) = ways.get(&to) else { continue };
            way.words.push(Packet::Word(word));
        }
        drop(ways);
        if let Some(epoch) = led {
            let memory = self
                .memory
                .borrow()
                .as_ref()
                .map(|(memory, came)| Box::new(memory.after(came.elapsed(), self.weights_kept)));
            info!(epoch, memory = ?memory.as_ref().map(|m| m.order()), "this member leads");
            self.member.borrow_mut().host().change.send_replace(Change::Lead { epoch, memory });
        }
        self.woken.notify_one();
        self.place_duties();
        done
    }

    /// On the stream of duties.
    pub(crate) fn say_of_work(&self, to: Id, packet: Packet) {
        if let Some(way) = self.ways.borrow().get(&to) {
            way.duties.push(packet);
        }
    }

    /// A way to each other member of the roster, and to nobody else.
    fn reach(self: &Rc<Self>) {
        let seats: Vec<(Id, Seat)> = {
            let member = self.member.borrow();
            let kept = member.kept_state();
            let others = kept.roster.seats.iter().filter(|s| *s.0 != kept.id);
            others.map(|(id, seat)| (*id, seat.clone())).collect()
        };
        let mut ways = self.ways.borrow_mut();
        ways.retain(|id, _| seats.iter().any(|s| s.0 == *id));
        for (id, seat) in seats {
            ways.entry(id).or_insert_with(|| {
                let (words, duties) = (Queue::new(WORDS_KEPT), Queue::new(DUTY_WORDS_KEPT));
                let (freight, laden) = (Rc::default(), Rc::new(Notify::new()));
                let words_task = spawn_local(speak(self.clone(), id, seat.clone(), words.clone()));
                let duties_task = spawn_local(speak(self.clone(), id, seat.clone(), duties.clone()));
                let freight_task =
                    spawn_local(carry(self.clone(), id, seat, Rc::clone(&freight), laden.clone()));
                let tasks = [words_task, duties_task, freight_task].map(|t| t.abort_handle());
                Way { words, duties, freight, laden, tasks }
            });
        }
    }

    pub(crate) fn refuse(&self, what: &str, why: &io::Error) {
        self.refused.set(self.refused.get() + 1);
        warn!(refused = self.refused.get(), "{what}: {why}");
    }

    /// A stream to the member with this id, and with nobody else at its address.
    pub(crate) async fn dial(&self, id: Id, seat: &Seat) -> io::Result<Sealed<TcpStream>> {
        let (sealed, name) = self.meet(&seat.address).await?;
        if sealed.peer != id {
            let text = format!("{name} ({:016x}) is there in place of {id:016x}", sealed.peer);
            return Err(io::Error::new(io::ErrorKind::PermissionDenied, text));
        }
        Ok(sealed)
    }

    /// A stream to whoever listens at an address, and the name that it tells.
    async fn meet(&self, address: &str) -> io::Result<(Sealed<TcpStream>, String)> {
        let meeting = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let keys = self.keys.borrow_mut().keys();
            let mut sealed = Sealed::dial(stream, self.own, &keys).await?;
            let stamp = self.member.borrow().kept_state().stamp;
            let (name, _) = sealed.meet(&self.name, stamp).await?;
            Ok((sealed, name))
        };
        timeout(DIALLED_WITHIN, meeting).await?
    }

    fn status(&self) -> Answer {
        let member = self.member.borrow();
        let now = self.began.elapsed();
        let status = member.status(now);
        let name = |id: Id| status.roster.seats.get(&id).map_or(format!("{id:016x}"), |s| s.name.clone());
        let (standing, leader) = match status.standing {
            Standing::Leads => ("leads", Some(self.name.clone())),
            Standing::Follows(id) => ("follows", Some(name(id))),
            Standing::Alone => ("alone", None),
            Standing::Mute => ("mute", None),
        };
        let shown = |(id, seat): (&Id, &Seat)| Shown {
            name: seat.name.clone(),
            address: seat.address.clone(),
            id: *id,
            missing: status.missing.contains(id),
        };
        let memory = self
            .memory
            .borrow()
            .as_ref()
            .map(|(m, came)| (m.epoch, m.number, came.elapsed().as_millis() as u64));
        Answer::Status {
            name: self.name.clone(),
            standing: standing.into(),
            leader,
            epoch: status.epoch,
            since_ms: now.saturating_sub(status.since).as_millis() as u64,
            stood_down: status.stood_down.map(|w| w.to_string()),
            members: status.roster.seats.iter().map(shown).collect(),
            settled: status.settled,
            memory,
            refused: self.refused.get(),
        }
    }

    async fn of_sites(&self, question: Question) -> Answer {
        let (answer, told) = oneshot::channel();
        let asked = SiteAsked { question, answer };
        if self.sites.borrow().as_ref().is_none_or(|to| to.send(asked).is_err()) {
            return Answer::Refused("this member does not lead".into());
        }
        match timeout(DIALLED_WITHIN, told).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::Refused(
                "it stopped leading before it could answer; nothing is known to have changed".into(),
            ),
        }
    }

    pub(crate) async fn answer(self: &Rc<Self>, question: Question) -> Answer {
        let done = match question {
            Question::Show => return self.status(),
            Question::Duties | Question::Duty { .. } => return self.of_duties(question),
            Question::Editions => return self.editions_shown(),
            Question::Propose { changes, forced } => return self.proposed(changes, forced).await,
            Question::Sites | Question::Site { .. } => return self.of_sites(question).await,
            Question::StepDown => self.call(|m, now| m.step_down(now)).map(|()| "it stands down".to_string()),
            Question::Remove { name } => {
                self.call(|m, now| m.remove(now, &name)).map(|()| format!("{name} takes no part any more"))
            }
            Question::Add { name, address } => {
                let id = match self.meet(&address).await {
                    Ok((sealed, there)) if there == name => sealed.peer,
                    Ok((_, there)) => return Answer::Refused(format!("{there} is at {address}, not {name}")),
                    Err(why) => return Answer::Refused(format!("{address}: {why}")),
                };
                let seat = Seat { name: name.clone(), address };
                self.call(|m, now| m.add(now, id, seat)).map(|()| format!("{name} takes part"))
            }
        };
        done.map_or_else(|why| Answer::Refused(why.to_string()), Answer::Done)
    }
}

async fn tick(shared: Rc<Shared>) {
    loop {
        let due = shared.began + shared.member.borrow().due();
        tokio::select! {
            () = tokio::time::sleep_until(due) => shared.call(|m, now| m.woken(now)),
            () = shared.woken.notified() => {}
        }
    }
}

async fn disk_told(shared: Rc<Shared>, mut told: mpsc::UnboundedReceiver<Written>) {
    while let Some(written) = told.recv().await {
        match written {
            Written::Cells(stamp) => shared.duty_kept(stamp),
            Written::Editions(stamp) => drop(shared.agree(|m, now| m.persisted(now, stamp))),
            Written::Kept(stamp) => shared.call(|m, now| m.kept(now, stamp)),
            Written::Failed(why) => {
                warn!(why, "the disk takes no writes: this member neither votes nor leads");
                shared.call(|m, now| m.disk_failed(now));
            }
        }
    }
}

/// Runs a member on the current `LocalSet`. Gives it, and what tells whether to plan. It runs until the task set that
/// it adds to is dropped.
///
/// # Errors
///
/// The key file's, and a memory that the disk cannot give.
#[expect(clippy::too_many_arguments, reason = "each part takes its own few settings; none holds them all")]
pub fn run(
    listener: TcpListener,
    name: &str,
    store: Store,
    kept: Kept,
    terms: Terms,
    key_file: &Path,
    weights_kept: Duration,
    work: Option<Fleetwork>,
    tasks: &mut JoinSet<()>,
) -> Result<(Running, watch::Receiver<Change>), Unrunnable> {
    let keys = KeyFile::open(key_file)
        .map_err(|why| Unrunnable::Key { path: key_file.display().to_string(), why })?;
    let damaged = |order: (u64, u64), why| warn!(?order, %why, "a damaged memory is set aside");
    let memory = store.memory(damaged).map_err(|why| Unrunnable::Memory(why.to_string()))?;
    let duties = |why: io::Error| Unrunnable::Duties(why.to_string());
    let life = if work.is_some() { store.live().map_err(duties)? } else { 0 };
    let work = work.map(|w| Bench::open(&store, kept.id, life, w)).transpose().map_err(duties)?;
    let agree = work.as_ref().and_then(|w| w.work.agree.clone());
    let editions = agree
        .map(|terms| Editions::open(&store, kept.id, life, terms))
        .transpose()
        .map_err(|why| Unrunnable::Editions(why.to_string()))?;
    let (told, written) = mpsc::unbounded_channel();
    let (change, changes) = watch::channel(Change::Follow);
    let own = Own { fleet: kept.fleet, id: kept.id };
    let desk = Desk { disk: Disk::new(Arc::new(store), told), said: vec![], change, led: None };
    let member = Member::start(desk, kept, terms, rand::random(), Duration::ZERO);
    let shared = Rc::new(Shared {
        began: Instant::now(),
        own,
        name: name.into(),
        member: RefCell::new(member),
        keys: RefCell::new(keys),
        ways: RefCell::default(),
        woken: Notify::new(),
        // How old it is nobody knows: only what no time makes untrue is taken of it.
        memory: RefCell::new(memory.map(|m| (m.after(weights_kept, weights_kept), Instant::now()))),
        weights_kept,
        refused: Cell::new(0),
        sites: RefCell::default(),
        work,
        editions,
    });
    shared.reach();
    tasks.spawn_local(accept(shared.clone(), listener));
    tasks.spawn_local(tick(shared.clone()));
    tasks.spawn_local(disk_told(shared.clone(), written));
    crate::duties::run(&shared, tasks);
    crate::accord::run(&shared, tasks);
    Ok((Running(shared), changes))
}
