//! The planner's side: a planner has the chains of the scopes that it subscribes to, applies them while it has a lease,
//! and may serve as a relay for other planners of its zone.
//!
//! A planner has sessions with two relays. A relay has one session, with the leader, and subscribes there to the scopes
//! of its planners as well. It answers for their leases: a revision that it reports as ready is one for which all
//! planners are ready that may apply the scope by a lease from this relay.

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

/// Number of relays with which a planner has sessions: if one is lost, the planner still has the lease from the other.
const RELAYS_PER_PLANNER: usize = 2;
/// Time without holders after which a stand-in stops serving as a relay.
const STAND_IN_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the end of a holder's lease until the holder's session is removed, if the holder doesn't renew.
const SESSION_TIMEOUT: Duration = Duration::from_secs(5);

/// The configuration with which a planner starts.
#[derive(Debug, Clone)]
pub struct PlannerConfig {
    /// The planner's own id.
    pub own: MemberId,
    /// The planner's zone.
    pub zone: u32,
    /// All planners of the zone, including this one.
    pub zone_planners: Vec<MemberId>,
    /// The control machines.
    pub control: Vec<MemberId>,
    /// The scopes that the planner subscribes to.
    pub scopes: BTreeSet<ScopeId>,
    /// Number of starts of the planner, including this one.
    pub start: u32,
    /// The settings, which are the same on all nodes.
    pub settings: Settings,
}

/// The versions of a scope that a planner may apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActiveVersions {
    /// This version alone.
    Single(u64),
    /// The intersection of both versions.
    Joint(u64, u64),
    /// No version, since the planner has no lease: it keeps published weights and known drains, and raises nothing.
    Unleased,
    /// No version, since the planner has received nothing of the scope yet.
    NothingReceived,
}

/// A planner, which is also a relay if its zone needs it as one.
#[derive(Debug, Clone)]
pub struct Planner {
    config: PlannerConfig,
    store: Store,
    /// Sessions with relays.
    relays: Subscriber,
    /// Session with the leader, while the planner serves as a relay.
    leader: Option<Subscriber>,
    /// Number of sessions with leaders that were begun until the planner last stopped serving as a stand-in.
    leader_sessions: u32,
    distributor: Distributor,
    /// True if the planner is a regular relay of its zone.
    is_relay: bool,
    /// The revision of each scope up to which this relay has reported itself and its planners as ready to the leader.
    reported: BTreeMap<ScopeId, u64>,
    /// Scopes for whose newest revision this relay and its planners are not all ready.
    lagging: BTreeSet<ScopeId>,
    /// Time at which a budget allows more bytes, if messages are waiting for it.
    flush_at: Option<Duration>,
    /// Time at which the distributor last had a holder or a running lease.
    last_holder_at: Duration,
    /// Scopes whose chains have changed since the caller last took them.
    unsaved: BTreeSet<ScopeId>,
    rejections: RejectionCounts,
    events: Vec<PlannerEvent>,
    outbox: Vec<(MemberId, Message)>,
}

impl Planner {
    /// Returns a planner that starts with the stored chains.
    pub fn new(config: PlannerConfig, stored: Vec<ScopeChain>, now: Duration) -> Planner {
        let settings = config.settings;
        let is_relay = is_relay(config.zone, &config.zone_planners, config.own, settings.fan_out);
        let relays = candidates(config.zone, &config.zone_planners, config.own, settings.fan_out);
        let policy = SessionPolicy {
            renew_interval: settings.renew,
            silence_timeout: settings.planner_lease,
            sessions: if is_relay { 0 } else { RELAYS_PER_PLANNER },
        };
        // Leases that were granted before a restart may still run.
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
            last_holder_at: now,
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

    /// Returns the messages to send since the last call.
    pub fn take_outbox(&mut self) -> Vec<(MemberId, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the scopes whose chains have changed since the last call and are to be written to disk. The caller
    /// doesn't have to wait for the writes.
    pub fn take_unsaved(&mut self) -> BTreeSet<ScopeId> {
        std::mem::take(&mut self.unsaved)
    }

    /// Returns the events to log since the last call.
    pub fn take_events(&mut self) -> Vec<PlannerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the numbers of rejections since the start.
    pub fn rejections(&self) -> RejectionCounts {
        self.rejections
    }

    /// Returns a scope's chain.
    pub fn chain(&self, scope: ScopeId) -> Option<&ScopeChain> {
        self.store.chain(scope)
    }

    /// Returns the number of planners that have a session with this relay.
    pub fn planner_count(&self) -> usize {
        self.distributor.len()
    }

    /// Returns the versions of a scope that the planner may apply at this time. `now` has to be from a clock that was
    /// just read.
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

    /// Returns the time until which the planner may apply a scope.
    pub fn leased_until(&self, scope: ScopeId) -> Duration {
        let by_leader = self.leader.as_ref().map_or(Duration::ZERO, |leader| leader.leased_until(scope));
        self.relays.leased_until(scope).max(by_leader)
    }

    /// Returns a scope's effective configuration, also without a lease.
    pub fn effective_configuration(&self, scope: ScopeId) -> Option<EffectiveConfiguration> {
        self.store.chain(scope).map(|chain| chain.state().effective_configuration())
    }

    /// Returns the time at which [`Planner::timer_fired`] has to be called.
    pub fn next_timer(&self) -> Duration {
        let leader = self.leader.as_ref().map_or(Duration::MAX, Subscriber::next_timer);
        let ready_at =
            |scope: &ScopeId| self.distributor.ready_at(Duration::ZERO, *scope, self.store.revision(*scope));
        let lagging = self.lagging.iter().map(ready_at).min().unwrap_or(Duration::MAX);
        let idle =
            if self.is_stand_in() { self.last_holder_at + STAND_IN_IDLE_TIMEOUT } else { Duration::MAX };
        let free = if self.needs_leader() { self.distributor.former_expiry() } else { Duration::MAX };
        let flush = self.flush_at.unwrap_or(Duration::MAX);
        self.relays.next_timer().min(leader).min(flush).min(idle).min(free).min(lagging)
    }

    /// Does what is due at the time of [`Planner::next_timer`].
    pub fn timer_fired(&mut self, now: Duration) {
        let mut upward = vec![];
        self.relays.timer_fired(now, &mut upward);
        self.distributor.expire(now, SESSION_TIMEOUT);
        if !self.distributor.is_empty() {
            self.last_holder_at = now;
        }
        // The leader takes the session as proof that no lease from a former start of this relay runs any more.
        if self.needs_leader() && now >= self.distributor.former_expiry() {
            self.attach_to_leader(now);
        }
        if self.is_stand_in() && now >= self.last_holder_at + STAND_IN_IDLE_TIMEOUT {
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

    /// Handles a message from another node.
    pub fn message_received(&mut self, now: Duration, from: MemberId, message: Message) {
        match message {
            Message::Upward(message) => self.upward_received(now, from, message),
            Message::Downward(message) => self.downward_received(now, from, message),
            Message::Log(_) | Message::Propose(_) | Message::Proposed { .. } => {}
        }
        self.timer_fired(now);
    }

    /// Prepares a planned stop: releases the planner's leases, and makes its holders attach to other relays.
    pub fn shut_down(&mut self) {
        let holders = self.distributor.holders();
        let notices = holders.map(|holder| (holder, Message::Downward(Downward::ShuttingDown)));
        self.outbox.extend(notices);
        let mut upward = vec![];
        self.relays.release(&mut upward);
        // While its planners may have leases from this relay, the leader has to wait for them, so the relay's lease is
        // not released.
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

    /// Publishes this planner's progress in a scope to its relays, its holders and the leader.
    fn publish_status(&mut self, now: Duration, scope: ScopeId) {
        let held = self.store.position(scope);
        if self.config.scopes.contains(&scope) {
            self.relays.set_status(ScopeStatus { scope, held, ready: held.revision });
        }
        self.distributor.scope_advanced(&self.store, scope);
        self.report_readiness(now, scope);
    }
}
