//! A control machine: its copy of the log, and, while it leads, the publisher of all scopes.
//!
//! Who leads is told from outside before each call, with a clock that was just read. Versions are fixed by a majority's
//! log; the leader prepares one version of a scope at a time, and activates it once every relay that may act by a lease
//! says that it and its planners are ready, or its lease is surely over.

use crate::chain::{Priority, ScopeChain, ScopeId, Step};
use crate::distributor::{Distributor, Grantable, Limits};
use crate::message::{Downward, Entry, Message, Proposal, Term, Upward};
use crate::replica::{Durable, Replica, Write};
use crate::settings::Settings;
use crate::store::Store;
use grebespool_config_consensus::{Change, ValidationRules, validate};
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A relay that does not renew for so long after its lease is unregistered.
const FORGOTTEN: Duration = Duration::from_secs(5);
/// A registration that is not fixed after so long is put into the log again.
const REGISTERED_AGAIN: Duration = Duration::from_secs(1);
/// Proposals that wait for one scope; the rest is proposed again by who waits for an answer.
const MOST_WAITING: usize = 1024;

/// Whether this machine leads, as the election tells at the moment of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Authority {
    /// The term, where this machine leads and its own lease runs.
    pub term: Option<Term>,
    /// Who leads, as far as is known.
    pub leader: Option<MemberId>,
}

struct Publisher {
    term: Term,
    distributor: Distributor,
    queue: BTreeMap<ScopeId, Vec<Proposal>>,
    /// Scopes with a link that is not fixed yet.
    in_log: BTreeSet<ScopeId>,
    /// Scopes with a version that is prepared.
    pending: BTreeSet<ScopeId>,
    /// Relays of a former leader that have not turned to this one, with their starts.
    unheard: BTreeMap<MemberId, u32>,
    /// Leases of a former leader are surely over then.
    free_from: Duration,
    registering: BTreeMap<MemberId, u32>,
    /// Relays whose registration is being taken back: one that is granted a lease meanwhile would be unknown to the next leader.
    unregistering: BTreeSet<MemberId>,
    /// When a registration that is not fixed yet was put into the log.
    registered_at: BTreeMap<MemberId, Duration>,
    flush_at: Option<Duration>,
}

/// A control machine.
pub struct ControlMachine {
    own: MemberId,
    settings: Settings,
    replica: Replica,
    authority: Authority,
    store: Store,
    registered: BTreeMap<MemberId, u32>,
    /// The last proposal of each proposer that is part of a scope.
    done: BTreeMap<(MemberId, ScopeId), u64>,
    /// Proposals of the version that is prepared.
    preparing: BTreeMap<ScopeId, Vec<(MemberId, u64)>>,
    publisher: Option<Publisher>,
    outbox: Vec<(MemberId, Message)>,
}

impl ControlMachine {
    /// Starts with what the disk has.
    pub fn start(own: MemberId, others: Vec<MemberId>, settings: Settings, disk: Durable) -> ControlMachine {
        ControlMachine {
            own,
            settings,
            replica: Replica::start(others, disk),
            authority: Authority::default(),
            store: Store::default(),
            registered: BTreeMap::new(),
            done: BTreeMap::new(),
            preparing: BTreeMap::new(),
            publisher: None,
            outbox: vec![],
        }
    }

    /// What is to be sent since this was called last.
    pub fn take_outbox(&mut self) -> Vec<(MemberId, Message)> {
        let control = self.replica.take_outbox().into_iter().map(|(to, m)| (to, Message::Control(m)));
        std::mem::take(&mut self.outbox).into_iter().chain(control).collect()
    }

    /// What is to be written, in this order.
    pub fn take_writes(&mut self) -> Vec<Write> {
        self.replica.take_writes()
    }

    /// Whether it publishes.
    pub fn publishes(&self) -> bool {
        self.publisher.is_some()
    }

    /// A scope's chain, as far as this machine knows it to be fixed.
    pub fn chain(&self, scope: ScopeId) -> Option<&ScopeChain> {
        self.store.chain(scope)
    }

    /// Relays that it distributes to.
    pub fn relays(&self) -> usize {
        self.publisher.as_ref().map_or(0, |p| p.distributor.len())
    }

    /// To be told before every other call, with a clock that was just read: whether this machine leads at this moment.
    pub fn authority(&mut self, now: Duration, authority: Authority) {
        let before = std::mem::replace(&mut self.authority, authority);
        if before.term == authority.term {
            return;
        }
        self.publisher = None;
        match authority.term {
            Some(term) => self.replica.lead(now, term),
            None => self.replica.follow(),
        }
    }

    /// When [`ControlMachine::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        let Some(publisher) = &self.publisher else { return self.replica.due() };
        let ready = publisher.pending.iter().filter(|s| !publisher.in_log.contains(s)).map(|scope| {
            publisher
                .distributor
                .ready_at(Duration::ZERO, *scope, self.store.revision(*scope))
                .max(if publisher.unheard.is_empty() { Duration::ZERO } else { publisher.free_from })
        });
        let flush = publisher.flush_at.unwrap_or(Duration::MAX);
        self.replica.due().min(flush).min(ready.min().unwrap_or(Duration::MAX))
    }

    /// Time has passed.
    pub fn woken(&mut self, now: Duration) {
        self.replica.woken(now);
        self.go_on(now);
    }

    /// All writes up to this stamp are on the disk.
    pub fn written(&mut self, now: Duration, stamp: u64) {
        self.replica.written(now, stamp);
        self.go_on(now);
    }

    /// A message came.
    pub fn heard(&mut self, now: Duration, from: MemberId, message: Message) {
        match message {
            Message::Control(message) => self.replica.heard(now, from, message),
            Message::Upward(message) => self.upward(now, from, message),
            Message::Propose(proposal) => self.propose(proposal),
            Message::Downward(_) | Message::Proposed { .. } => {}
        }
        self.go_on(now);
    }

    /// Proposes changes, or passes them on to the leader.
    pub fn propose(&mut self, proposal: Proposal) {
        let known = self.done.get(&(proposal.proposer, proposal.scope)).copied().unwrap_or_default();
        let Some(publisher) = &mut self.publisher else {
            if let Some(leader) = self.authority.leader.filter(|l| *l != self.own) {
                self.outbox.push((leader, Message::Propose(proposal)));
            }
            return;
        };
        if proposal.number <= known {
            let part = |p: &(MemberId, u64)| *p == (proposal.proposer, proposal.number);
            let prepared = self.preparing.get(&proposal.scope).is_some_and(|of| of.iter().any(part));
            if !prepared {
                let answer = Message::Proposed { number: proposal.number, refused: None };
                self.outbox.push((proposal.proposer, answer));
            }
            return;
        }
        let waiting = publisher.queue.entry(proposal.scope).or_default();
        let same = |p: &Proposal| (p.proposer, p.number) == (proposal.proposer, proposal.number);
        if waiting.len() < MOST_WAITING && !waiting.iter().any(same) {
            waiting.push(proposal);
        }
    }

    fn upward(&mut self, now: Duration, from: MemberId, message: Upward) {
        let leader = self.authority.leader.filter(|l| *l != self.own);
        let Some(publisher) = &mut self.publisher else {
            let (Upward::Attach { session, .. }
            | Upward::Renew { session, .. }
            | Upward::Release { session }) = message;
            return self.outbox.push((from, Message::Downward(Downward::NotLeading { session, leader })));
        };
        let term = publisher.term;
        let mut out = vec![];
        match message {
            Upward::Attach { session, facts, .. } => {
                publisher.distributor.attach(now, &self.store, (from, session, term), &facts, &mut out);
                if publisher.unheard.get(&from) == Some(&session.start) {
                    publisher.unheard.remove(&from);
                    publisher.distributor.assume_lease(from, publisher.free_from);
                }
            }
            Upward::Renew { session, count, facts } => {
                // Its registration may have been taken back just before it came again.
                let registered = self.registered.get(&from) == Some(&session.start)
                    && !publisher.unregistering.contains(&from);
                let asked = publisher.registered_at.get(&from).is_some_and(|at| now < *at + REGISTERED_AGAIN);
                if !registered && !asked {
                    publisher.registering.insert(from, session.start);
                    publisher.registered_at.insert(from, now);
                }
                let left = self.authority.term.filter(|_| registered).map(|_| self.settings.relay_lease);
                let of = (from, session, count);
                let authority = Grantable { term, lease_left: left, covers: &|_| true };
                publisher.distributor.renew(now, &self.store, of, &facts, &authority, &mut out);
            }
            Upward::Release { session } => publisher.distributor.release(from, session),
        }
        self.outbox.extend(out.into_iter().map(|(to, m)| (to, Message::Downward(m))));
    }

    /// Takes what came to be fixed, and begins what is ripe.
    fn go_on(&mut self, now: Duration) {
        let committed = self.replica.take_committed();
        for entry in committed {
            self.take(now, entry);
        }
        // A newer leader was heard of before the election told of it.
        if self.publisher.as_ref().is_some_and(|p| self.replica.leads() != Some(p.term)) {
            self.publisher = None;
        }
        self.begin_to_publish(now);
        let mut entries = self.registrations(now);
        entries.extend(self.activations(now));
        entries.extend(self.preparations());
        if !entries.is_empty() {
            self.replica.append(now, entries);
        }
        if let Some(publisher) = &mut self.publisher {
            let mut out = vec![];
            publisher.flush_at = publisher.distributor.flush(now, &self.store, &mut out);
            self.outbox.extend(out.into_iter().map(|(to, m)| (to, Message::Downward(m))));
        }
    }

    fn take(&mut self, now: Duration, entry: Entry) {
        match entry {
            Entry::Begin => {}
            Entry::Register(relay, start) => {
                self.registered.insert(relay, start);
                if let Some(publisher) = &mut self.publisher {
                    publisher.registered_at.remove(&relay);
                }
            }
            Entry::Unregister(relay) => {
                self.registered.remove(&relay);
                if let Some(publisher) = &mut self.publisher {
                    publisher.unregistering.remove(&relay);
                }
            }
            Entry::Link(link, proposals) => {
                let (scope, prepares) = (link.scope, matches!(link.step, Step::Prepare(_)));
                // Links are made from what is fixed, one of a scope at a time, so each follows the one before it.
                if self.store.apply(now, link).is_err() {
                    return;
                }
                if prepares {
                    for (proposer, number) in &proposals {
                        let done = self.done.entry((*proposer, scope)).or_default();
                        *done = (*done).max(*number);
                    }
                    self.preparing.insert(scope, proposals);
                } else {
                    let answered = self.preparing.remove(&scope).unwrap_or_default();
                    if self.publisher.is_some() {
                        let answer =
                            |(proposer, number)| (proposer, Message::Proposed { number, refused: None });
                        self.outbox.extend(answered.into_iter().map(answer));
                    }
                }
                if let Some(publisher) = &mut self.publisher {
                    publisher.in_log.remove(&scope);
                    if prepares {
                        publisher.pending.insert(scope)
                    } else {
                        publisher.pending.remove(&scope)
                    };
                    publisher.distributor.advanced(&self.store, scope);
                }
            }
        }
    }

    /// Once the leader's own first record is fixed, and with it all before it.
    fn begin_to_publish(&mut self, now: Duration) {
        let Some(term) = self.authority.term.filter(|term| self.replica.leads() == Some(*term)) else {
            return;
        };
        if self.publisher.is_some() || !self.replica.settled() {
            return;
        }
        let pending = |chain: &&ScopeChain| chain.state().pending.is_some();
        self.publisher = Some(Publisher {
            term,
            distributor: Distributor::new(self.settings, Limits::of_leader(&self.settings), Duration::ZERO),
            queue: BTreeMap::new(),
            in_log: BTreeSet::new(),
            pending: self.store.chains().filter(pending).map(ScopeChain::scope).collect(),
            unheard: self.registered.clone(),
            free_from: now + self.settings.outlasting(self.settings.relay_lease),
            registering: BTreeMap::new(),
            unregistering: BTreeSet::new(),
            registered_at: BTreeMap::new(),
            flush_at: None,
        });
    }

    fn registrations(&mut self, now: Duration) -> Vec<Entry> {
        let Some(publisher) = &mut self.publisher else { return vec![] };
        let mut entries: Vec<Entry> = std::mem::take(&mut publisher.registering)
            .into_iter()
            .map(|(relay, start)| Entry::Register(relay, start))
            .collect();
        let mut gone = publisher.distributor.expire(now, FORGOTTEN);
        if now >= publisher.free_from {
            gone.extend(std::mem::take(&mut publisher.unheard).into_keys());
        }
        gone.retain(|relay| {
            self.registered.contains_key(relay) && publisher.distributor.start_of(*relay).is_none()
        });
        gone.retain(|relay| publisher.unregistering.insert(*relay));
        entries.extend(gone.into_iter().map(Entry::Unregister));
        entries
    }

    fn activations(&mut self, now: Duration) -> Vec<Entry> {
        let Some(publisher) = &mut self.publisher else { return vec![] };
        if !publisher.unheard.is_empty() && now < publisher.free_from {
            return vec![];
        }
        let mut entries = vec![];
        for scope in &publisher.pending {
            let Some(chain) = self.store.chain(*scope).filter(|_| !publisher.in_log.contains(scope)) else {
                continue;
            };
            if publisher.distributor.ready(now, *scope) >= chain.revision()
                && let Ok(link) = chain.next(Step::Activate)
            {
                publisher.distributor.promise(*scope, chain.revision());
                publisher.in_log.insert(*scope);
                entries.push(Entry::Link(link, vec![]));
            }
        }
        entries
    }

    /// All that waits for a scope becomes one version; what cannot be is refused.
    fn preparations(&mut self) -> Vec<Entry> {
        let Some(publisher) = &mut self.publisher else { return vec![] };
        let mut entries: Vec<(Priority, Entry)> = vec![];
        let scopes: Vec<ScopeId> = publisher.queue.keys().copied().collect();
        for scope in scopes {
            if publisher.pending.contains(&scope) || publisher.in_log.contains(&scope) {
                continue;
            }
            let Some(proposals) = publisher.queue.remove(&scope) else { continue };
            let empty = ScopeChain::new(scope);
            let chain = self.store.chain(scope).unwrap_or(&empty);
            let (mut changes, mut taken) = (vec![], vec![]);
            for proposal in proposals {
                match judge(chain, &changes, &proposal) {
                    Ok(all) => {
                        changes = all;
                        taken.push((proposal.proposer, proposal.number));
                    }
                    Err(why) => {
                        let answer = Message::Proposed { number: proposal.number, refused: Some(why) };
                        self.outbox.push((proposal.proposer, answer));
                    }
                }
            }
            let priority = Priority::of(&changes);
            if let (false, Ok(link)) = (taken.is_empty(), chain.next(Step::Prepare(changes))) {
                publisher.in_log.insert(scope);
                entries.push((priority, Entry::Link(link, taken)));
            }
        }
        entries.sort_by_key(|(priority, _)| *priority);
        entries.into_iter().map(|(_, entry)| entry).collect()
    }
}

/// The changes with those of a proposal, or why it cannot be.
fn judge(chain: &ScopeChain, before: &[Change], proposal: &Proposal) -> Result<Vec<Change>, String> {
    let active = &chain.state().active.content;
    let mut next = active.clone();
    for change in before {
        change.apply(&mut next);
    }
    if let Some(idle) = proposal.changes.iter().find(|change| !change.apply(&mut next)) {
        return Err(format!("scope {}: nothing of that name to change: {idle:?}", proposal.scope.0));
    }
    let known_limits = next.limits.keys().map(String::as_str).collect();
    // How much may be withdrawn at once is judged over all scopes, where proposals are made.
    let rules = ValidationRules { max_withdrawn_share: 1.0, known_limits };
    match validate(active, &next, &rules, true) {
        Ok(()) => Ok([before, &proposal.changes].concat()),
        Err(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            Err(format!("scope {}: {}", proposal.scope.0, faults.join("; ")))
        }
    }
}
