//! A planner's part: it holds the scopes that it subscribes to, applies them while it has a lease, and serves as a relay for
//! others of its zone.
//!
//! A planner has sessions with two relays. A relay has one with the leader, subscribes for its planners as well, and answers
//! for their leases: what it reports as ready, everybody is ready for who may apply it by a lease of the relay.

mod event;
mod receiving;
mod relay;

pub use event::{PlannerEvent, RejectCause, RejectionCounts};

use crate::chain::{ScopeChain, ScopeId};
use crate::distributor::{Distributor, GrantLimits};
use crate::message::{Downward, Message, ScopeStatus, Upward};
use crate::rendezvous::{candidates, is_relay};
use crate::settings::Settings;
use crate::store::Store;
use crate::subscriber::{SessionPolicy, Subscriber};
use grebespool_config_consensus::EffectiveConfiguration;
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Relays that a planner has sessions with: where one dies, the other has granted as well.
const RELAYS_PER_PLANNER: usize = 2;
/// A stand-in that nobody turns to any more stays a relay for so long.
const STAND_IN_FOR: Duration = Duration::from_secs(10);
/// A holder that does not renew for so long after its lease is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// What a planner is started with.
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

/// The versions that a planner applies of a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActiveVersions {
    /// This version alone.
    Single(u64),
    /// The intersection of both versions.
    Joint(u64, u64),
    /// None, without a lease: published weights and known drains are kept, and nothing is raised.
    Unleased,
    /// Nothing of the scope was received yet.
    NothingReceived,
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
    is_relay: bool,
    /// Up to which revision of each scope the leader was told that this relay and its planners are ready.
    reported: BTreeMap<ScopeId, u64>,
    /// Scopes for whose newest revision not everybody is ready.
    lagging: BTreeSet<ScopeId>,
    flush_at: Option<Duration>,
    last_needed: Duration,
    unsaved: BTreeSet<ScopeId>,
    rejections: RejectionCounts,
    events: Vec<PlannerEvent>,
    outbox: Vec<(MemberId, Message)>,
}

impl Planner {
    /// Starts with the chains that were stored.
    pub fn new(config: PlannerConfig, stored: Vec<ScopeChain>, now: Duration) -> Planner {
        let settings = config.settings;
        let is_relay = is_relay(config.zone, &config.zone_planners, config.own, settings.fan_out);
        let relays = candidates(config.zone, &config.zone_planners, config.own, settings.fan_out);
        let policy = SessionPolicy {
            renew_interval: settings.renew,
            silence_timeout: settings.planner_lease,
            sessions: if is_relay { 0 } else { RELAYS_PER_PLANNER },
        };
        // Leases that a former start granted may still run.
        let former = if config.start > 1 {
            settings.lease_expiry_wait(settings.planner_lease)
        } else {
            Duration::ZERO
        };
        let mut planner = Planner {
            relays: Subscriber::new(policy, config.start, 0, relays),
            leader: None,
            leader_sessions: 0,
            distributor: Distributor::new(settings, GrantLimits::of_relay(&settings), now + former),
            is_relay,
            reported: BTreeMap::new(),
            lagging: BTreeSet::new(),
            flush_at: None,
            last_needed: now,
            unsaved: BTreeSet::new(),
            rejections: RejectionCounts::default(),
            events: vec![],
            outbox: vec![],
            store: Store::from_chains(
                stored.into_iter().filter(|chain| config.scopes.contains(&chain.scope())),
            ),
            config,
        };
        for scope in planner.config.scopes.clone() {
            planner.publish_status(now, scope);
        }
        planner.timer_fired(now);
        planner
    }

    /// Messages since this was called last.
    pub fn take_outbox(&mut self) -> Vec<(MemberId, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Scopes to be written to disk since this was called last; none of the writes has to be waited for.
    pub fn take_unsaved(&mut self) -> BTreeSet<ScopeId> {
        std::mem::take(&mut self.unsaved)
    }

    /// Events for the log since this was called last.
    pub fn take_events(&mut self) -> Vec<PlannerEvent> {
        std::mem::take(&mut self.events)
    }

    /// What was rejected since the start.
    pub fn rejections(&self) -> RejectionCounts {
        self.rejections
    }

    /// A scope's chain.
    pub fn chain(&self, scope: ScopeId) -> Option<&ScopeChain> {
        self.store.chain(scope)
    }

    /// Planners that it answers for.
    pub fn planners(&self) -> usize {
        self.distributor.len()
    }

    /// The versions that it may apply of a scope at this time. Ask with a clock that was just read.
    pub fn active_versions(&self, now: Duration, scope: ScopeId) -> ActiveVersions {
        let Some(chain) = self.store.chain(scope) else { return ActiveVersions::NothingReceived };
        if now >= self.leased_until(scope) {
            return ActiveVersions::Unleased;
        }
        match chain.state().versions() {
            (active, None) => ActiveVersions::Single(active),
            (active, Some(pending)) => ActiveVersions::Joint(active, pending),
        }
    }

    /// Until when it may apply a scope.
    pub fn leased_until(&self, scope: ScopeId) -> Duration {
        let by_leader = self.leader.as_ref().map_or(Duration::ZERO, |leader| leader.leased_until(scope));
        self.relays.leased_until(scope).max(by_leader)
    }

    /// What a scope's configuration allows, as it is stored.
    pub fn effective_configuration(&self, scope: ScopeId) -> Option<EffectiveConfiguration> {
        self.store.chain(scope).map(|chain| chain.state().effective_configuration())
    }

    /// When [`Planner::timer_fired`] is to be called next.
    pub fn next_timer(&self) -> Duration {
        let leader = self.leader.as_ref().map_or(Duration::MAX, Subscriber::next_timer);
        let ready_at =
            |scope: &ScopeId| self.distributor.ready_at(Duration::ZERO, *scope, self.store.revision(*scope));
        let lagging = self.lagging.iter().map(ready_at).min().unwrap_or(Duration::MAX);
        let idle = if self.stands_in() { self.last_needed + STAND_IN_FOR } else { Duration::MAX };
        let free = if self.lacks_leader() { self.distributor.former_expiry() } else { Duration::MAX };
        let flush = self.flush_at.unwrap_or(Duration::MAX);
        self.relays.next_timer().min(leader).min(flush).min(idle).min(free).min(lagging)
    }

    /// The time of [`Planner::next_timer`] has come.
    pub fn timer_fired(&mut self, now: Duration) {
        let mut upward = vec![];
        self.relays.timer_fired(now, &mut upward);
        self.distributor.expire(now, FORGET_AFTER);
        if !self.distributor.is_empty() {
            self.last_needed = now;
        }
        // A leader that hears of it assumes that no lease of a former start of this relay runs any more.
        if self.lacks_leader() && now >= self.distributor.former_expiry() {
            self.turn_to_leader(now);
        }
        if self.stands_in() && now >= self.last_needed + STAND_IN_FOR {
            self.stop_standing_in(&mut upward);
        }
        for scope in self.lagging.clone() {
            self.report_readiness(now, scope);
        }
        if let Some(leader) = &mut self.leader {
            leader.timer_fired(now, &mut upward);
        }
        self.send_upward(upward);
        self.flush(now);
    }

    /// A message was received.
    pub fn message_received(&mut self, now: Duration, from: MemberId, message: Message) {
        match message {
            Message::Upward(message) => self.upward_received(now, from, message),
            Message::Downward(message) => self.downward_received(now, from, message),
            Message::Log(_) | Message::Propose(_) | Message::Proposed { .. } => {}
        }
        self.timer_fired(now);
    }

    /// Prepares a planned stop: gives its leases back, and tells its planners to turn to other relays.
    pub fn shut_down(&mut self) {
        let holders = self.distributor.holders();
        let told = holders.map(|holder| (holder, Message::Downward(Downward::ShuttingDown)));
        self.outbox.extend(told);
        let mut upward = vec![];
        self.relays.release(&mut upward);
        // The leader waits for the leases of its planners; without any, its own is given back.
        if let Some(leader) = self.leader.as_mut().filter(|_| self.distributor.is_empty()) {
            leader.release(&mut upward);
        }
        self.send_upward(upward);
    }

    fn send_upward(&mut self, messages: Vec<(MemberId, Upward)>) {
        self.outbox.extend(messages.into_iter().map(|(to, message)| (to, Message::Upward(message))));
    }

    fn send_downward(&mut self, messages: Vec<(MemberId, Downward)>) {
        self.outbox.extend(messages.into_iter().map(|(to, message)| (to, Message::Downward(message))));
    }

    fn flush(&mut self, now: Duration) {
        let mut out = vec![];
        self.flush_at = self.distributor.flush(now, &self.store, &mut out);
        self.send_downward(out);
    }

    /// Tells relays, holders and the leader what is held of a scope.
    fn publish_status(&mut self, now: Duration, scope: ScopeId) {
        let held = self.store.position(scope);
        if self.config.scopes.contains(&scope) {
            self.relays.set_status(ScopeStatus { scope, held, ready: held.revision });
        }
        self.distributor.advanced(&self.store, scope);
        self.report_readiness(now, scope);
    }
}
