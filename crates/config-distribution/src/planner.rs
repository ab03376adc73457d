//! A planner's part: it holds the scopes that it subscribes to, acts by them while it has a lease, and serves as a relay
//! for others of its zone.
//!
//! Planners have sessions with two relays each. A relay has one with the leader, subscribes for its planners as well,
//! and answers for their leases: what it says to be ready, everybody is ready for who may act by a lease of it.

use crate::chain::{ChainError, Link, ScopeChain, ScopeId};
use crate::distributor::{Distributor, Grantable, Limits};
use crate::message::{Downward, Message, Refusal, SnapshotPart, Upward};
use crate::rendezvous::{candidates, is_relay};
use crate::settings::Settings;
use crate::store::Store;
use crate::subscriber::{Manner, Subscriber};
use grebespool_config_consensus::EffectiveConfiguration;
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Relays that a planner has sessions with: one dies, and the other has granted as well.
const RELAYS_PER_PLANNER: usize = 2;
/// A stand-in that nobody turns to any more goes on as a relay for so long.
const STANDS_IN: Duration = Duration::from_secs(10);
/// A holder that does not renew for so long after its lease is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(5);

/// What a planner is told at its start.
#[derive(Debug, Clone)]
pub struct PlannerConfig {
    /// Its own id.
    pub own: MemberId,
    /// Its zone.
    pub zone: u32,
    /// All planners of the zone.
    pub zone_planners: Vec<MemberId>,
    /// The control machines.
    pub control: Vec<MemberId>,
    /// What it subscribes to.
    pub scopes: BTreeSet<ScopeId>,
    /// How often it was started, this start included.
    pub start: u32,
    /// Shared settings.
    pub settings: Settings,
}

/// By what a planner acts on a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acts {
    /// By this version alone.
    Alone(u64),
    /// By what both versions allow.
    Both(u64, u64),
    /// Without a lease: tables that stand and drains that are known are kept, and nothing is raised.
    Unleased,
    /// Nothing of the scope has come yet.
    Nothing,
}

/// What was refused, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refused {
    /// Links and snapshots that are older than what is held; most are copies by the second relay.
    pub old: u64,
    /// Links over a gap, of another history, or not what their hash says.
    pub wrong: u64,
    /// Planners of another zone.
    pub other_zone: u64,
}

/// A planner.
#[derive(Debug, Clone)]
pub struct Planner {
    config: PlannerConfig,
    store: Store,
    relays: Subscriber,
    leader: Option<Subscriber>,
    /// Sessions with leaders that were begun before it stopped standing in.
    leader_sessions: u32,
    distributor: Distributor,
    relay_by_place: bool,
    reported: BTreeMap<ScopeId, u64>,
    lagging: BTreeSet<ScopeId>,
    flush_at: Option<Duration>,
    last_needed: Duration,
    unsaved: BTreeSet<ScopeId>,
    refused: Refused,
    notes: Vec<String>,
    outbox: Vec<(MemberId, Message)>,
}

/// Notes for the log that are kept until they are taken.
const MOST_NOTES: usize = 32;

impl Planner {
    /// Starts with what the disk has.
    pub fn start(config: PlannerConfig, disk: Vec<ScopeChain>, now: Duration) -> Planner {
        let settings = config.settings;
        let fan_out = settings.fan_out;
        let relay_by_place = is_relay(config.zone, &config.zone_planners, config.own, fan_out);
        let turn_to = candidates(config.zone, &config.zone_planners, config.own, fan_out);
        let manner = Manner {
            renew: settings.renew,
            silence: settings.planner_lease,
            sessions: if relay_by_place { 0 } else { RELAYS_PER_PLANNER },
        };
        // Leases that a former life granted may still run.
        let former =
            if config.start > 1 { settings.outlasting(settings.planner_lease) } else { Duration::ZERO };
        let mut planner = Planner {
            relays: Subscriber::new(manner, config.start, 0, turn_to),
            leader: None,
            leader_sessions: 0,
            distributor: Distributor::new(settings, Limits::of_relay(&settings), now + former),
            relay_by_place,
            reported: BTreeMap::new(),
            lagging: BTreeSet::new(),
            flush_at: None,
            last_needed: now,
            unsaved: BTreeSet::new(),
            refused: Refused::default(),
            notes: vec![],
            outbox: vec![],
            store: Store::of(disk.into_iter().filter(|chain| config.scopes.contains(&chain.scope()))),
            config,
        };
        let scopes: Vec<ScopeId> = planner.config.scopes.iter().copied().collect();
        scopes.into_iter().for_each(|scope| planner.tell(now, scope));
        planner.woken(now);
        planner
    }

    /// What is to be sent since this was called last.
    pub fn take_outbox(&mut self) -> Vec<(MemberId, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Scopes to be written to the disk since this was called last; none of them has to be waited for.
    pub fn take_unsaved(&mut self) -> BTreeSet<ScopeId> {
        std::mem::take(&mut self.unsaved)
    }

    /// Notes for the log since this was called last.
    pub fn take_notes(&mut self) -> Vec<String> {
        std::mem::take(&mut self.notes)
    }

    /// What was refused since the start.
    pub fn refused(&self) -> Refused {
        self.refused
    }

    /// A scope's chain.
    pub fn chain(&self, scope: ScopeId) -> Option<&ScopeChain> {
        self.store.chain(scope)
    }

    /// Planners that it answers for.
    pub fn planners(&self) -> usize {
        self.distributor.len()
    }

    /// By what it may act on a scope at this moment. To be asked with a clock that was just read.
    pub fn acts(&self, now: Duration, scope: ScopeId) -> Acts {
        let Some(chain) = self.store.chain(scope) else { return Acts::Nothing };
        if now >= self.leased_until(scope) {
            return Acts::Unleased;
        }
        match chain.state().versions() {
            (active, None) => Acts::Alone(active),
            (active, Some(pending)) => Acts::Both(active, pending),
        }
    }

    /// Until when it may act on a scope.
    pub fn leased_until(&self, scope: ScopeId) -> Duration {
        let by_leader = self.leader.as_ref().map_or(Duration::ZERO, |l| l.leased_until(scope));
        self.relays.leased_until(scope).max(by_leader)
    }

    /// What a scope's configuration allows, as it is held.
    pub fn view(&self, scope: ScopeId) -> Option<EffectiveConfiguration> {
        self.store.chain(scope).map(|chain| chain.state().view())
    }

    /// When [`Planner::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        let leader = self.leader.as_ref().map_or(Duration::MAX, Subscriber::due);
        let lagging = self
            .lagging
            .iter()
            .map(|scope| self.distributor.ready_at(Duration::ZERO, *scope, self.store.revision(*scope)));
        let idle = if self.stands_in() { self.last_needed + STANDS_IN } else { Duration::MAX };
        let free = if self.lacks_leader() { self.distributor.free_from() } else { Duration::MAX };
        let flush = self.flush_at.unwrap_or(Duration::MAX);
        let idle = idle.min(free);
        self.relays.due().min(leader).min(flush).min(idle).min(lagging.min().unwrap_or(Duration::MAX))
    }

    /// Whether it is a relay that has not turned to a leader.
    fn lacks_leader(&self) -> bool {
        self.leader.is_none() && (self.relay_by_place || !self.distributor.is_empty())
    }

    fn stands_in(&self) -> bool {
        self.leader.is_some() && !self.relay_by_place
    }

    /// Time has passed.
    pub fn woken(&mut self, now: Duration) {
        let mut upward = vec![];
        self.relays.woken(now, &mut upward);
        self.distributor.expire(now, FORGOTTEN);
        if !self.distributor.is_empty() {
            self.last_needed = now;
        }
        // A leader that hears of it takes it that no lease of a former life of this relay runs any more.
        if self.lacks_leader() && now >= self.distributor.free_from() {
            self.turn_to_leader(now);
        }
        if self.stands_in() && now >= self.last_needed + STANDS_IN {
            if let Some(mut leader) = self.leader.take() {
                leader.release(&mut upward);
                self.leader_sessions = leader.sessions();
            }
            self.reported.clear();
        }
        let lagging: Vec<ScopeId> = self.lagging.iter().copied().collect();
        lagging.into_iter().for_each(|scope| self.report(now, scope));
        if let Some(leader) = &mut self.leader {
            leader.woken(now, &mut upward);
        }
        self.send_upward(upward);
        self.flush(now);
    }

    /// A message came.
    pub fn heard(&mut self, now: Duration, from: MemberId, message: Message) {
        match message {
            Message::Upward(message) => self.upward(now, from, message),
            Message::Downward(message) => self.downward(now, from, message),
            Message::Control(_) | Message::Propose(_) | Message::Proposed { .. } => {}
        }
        self.woken(now);
    }

    /// Is about to stop, as planned: gives its leases back, and tells its planners to turn to others.
    pub fn leave(&mut self) {
        let holders: Vec<MemberId> = self.distributor.holders().collect();
        holders.into_iter().for_each(|h| self.outbox.push((h, Message::Downward(Downward::Leaving))));
        let mut upward = vec![];
        self.relays.release(&mut upward);
        // The leader waits for the leases of its planners; who has none gives its own back.
        if let Some(leader) = self.leader.as_mut().filter(|_| self.distributor.is_empty()) {
            leader.release(&mut upward);
        }
        self.send_upward(upward);
    }

    fn turn_to_leader(&mut self, now: Duration) {
        let settings = &self.config.settings;
        let manner = Manner { renew: settings.renew, silence: settings.relay_lease, sessions: 1 };
        let mut control = self.config.control.clone();
        // Not all relays to the same machine.
        let first = self.config.own as usize % control.len().max(1);
        control.rotate_left(first);
        self.leader = Some(Subscriber::new(manner, self.config.start, self.leader_sessions, control));
        let scopes: Vec<ScopeId> =
            self.config.scopes.iter().copied().chain(self.distributor.scopes()).collect();
        scopes.into_iter().for_each(|scope| self.report(now, scope));
    }

    fn send_upward(&mut self, messages: Vec<(MemberId, Upward)>) {
        self.outbox.extend(messages.into_iter().map(|(to, m)| (to, Message::Upward(m))));
    }

    /// Tells everybody concerned what is held of a scope.
    fn tell(&mut self, now: Duration, scope: ScopeId) {
        let position = self.store.position(scope);
        if self.config.scopes.contains(&scope) {
            self.relays.holds(scope, position, position.revision, true);
        }
        self.distributor.advanced(&self.store, scope);
        self.report(now, scope);
    }

    /// Tells the leader up to where this relay and its planners are ready.
    fn report(&mut self, now: Duration, scope: ScopeId) {
        let position = self.store.position(scope);
        let Some(leader) = &mut self.leader else {
            self.lagging.remove(&scope);
            return;
        };
        let ready = position.revision.min(self.distributor.ready(now, scope));
        let reported = self.reported.entry(scope).or_default();
        *reported = (*reported).max(ready);
        // From here on nobody who is behind that is granted a lease.
        self.distributor.promise(scope, *reported);
        leader.holds(scope, position, *reported, true);
        if *reported < position.revision {
            self.lagging.insert(scope);
        } else {
            self.lagging.remove(&scope);
        }
    }

    fn upward(&mut self, now: Duration, from: MemberId, message: Upward) {
        let mut out = vec![];
        match message {
            Upward::Attach { session, term, facts } => {
                if !self.config.zone_planners.contains(&from) {
                    self.refused.other_zone += 1;
                    let why = Refusal::OtherZone;
                    return self.outbox.push((from, Message::Downward(Downward::Refused { session, why })));
                }
                self.relays.see(term);
                let own_term = self.term();
                self.distributor.attach(now, &self.store, (from, session, own_term), &facts, &mut out);
                facts.iter().for_each(|fact| self.report(now, fact.scope));
            }
            Upward::Renew { session, count, facts } => {
                let leader = self.leader.as_ref();
                let left = leader.map(|l| l.until().saturating_sub(now)).filter(|left| !left.is_zero());
                let covered = |scope| leader.is_some_and(|l| l.leased_until(scope) > now);
                let authority = Grantable { term: self.term(), lease_left: left, covers: &covered };
                let of = (from, session, count);
                self.distributor.renew(now, &self.store, of, &facts, &authority, &mut out);
                facts.iter().for_each(|fact| self.report(now, fact.scope));
            }
            Upward::Release { session } => self.distributor.release(from, session),
        }
        self.outbox.extend(out.into_iter().map(|(to, m)| (to, Message::Downward(m))));
    }

    fn term(&self) -> u64 {
        self.relays.term().max(self.leader.as_ref().map_or(0, Subscriber::term))
    }

    fn downward(&mut self, now: Duration, from: MemberId, message: Downward) {
        let term = self.term();
        for subscriber in [Some(&mut self.relays), self.leader.as_mut()].into_iter().flatten() {
            subscriber.see(term);
            if subscriber.servers().contains(&from) {
                subscriber.heard(now, from, &message);
            }
        }
        match message {
            Downward::Links { links } => links.into_iter().for_each(|link| self.link(now, from, link)),
            Downward::Part(part) => self.part(now, from, part),
            _ => {}
        }
    }

    /// What it subscribes to, and what it has subscribed to for its planners: the leader waits for that as well.
    fn wanted(&self, scope: ScopeId) -> bool {
        self.config.scopes.contains(&scope) || self.leader.as_ref().is_some_and(|l| l.subscribes(scope))
    }

    fn link(&mut self, now: Duration, from: MemberId, link: Link) {
        let scope = link.scope;
        if !self.wanted(scope) {
            return self.refuse(from, scope, "it is not subscribed to");
        }
        match self.store.apply(now, link) {
            Ok(()) => self.held(now, scope),
            Err(ChainError::GoesBack { .. }) => self.refused.old += 1,
            Err(why) => self.refuse(from, scope, &why.to_string()),
        }
    }

    fn part(&mut self, now: Duration, from: MemberId, part: SnapshotPart) {
        let scope = part.scope;
        if !self.wanted(scope) {
            return self.refuse(from, scope, "it is not subscribed to");
        }
        match self.store.part(now, part) {
            Ok(true) => self.held(now, scope),
            Ok(false) => {}
            Err(ChainError::GoesBack { .. }) => self.refused.old += 1,
            Err(why) => self.refuse(from, scope, &why.to_string()),
        }
    }

    fn held(&mut self, now: Duration, scope: ScopeId) {
        self.unsaved.insert(scope);
        self.tell(now, scope);
    }

    fn refuse(&mut self, from: MemberId, scope: ScopeId, why: &str) {
        self.refused.wrong += 1;
        if self.notes.len() < MOST_NOTES {
            self.notes
                .push(format!("scope {}, from {from:016x}: {why}; what was held stays in force", scope.0));
        }
    }

    fn flush(&mut self, now: Duration) {
        let mut out = vec![];
        self.flush_at = self.distributor.flush(now, &self.store, &mut out);
        self.outbox.extend(out.into_iter().map(|(to, m)| (to, Message::Downward(m))));
    }
}
