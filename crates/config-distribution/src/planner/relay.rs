//! A planner in the role of a relay: a relay answers for the leases of its planners, and has a session with the leader.

use super::Planner;
use crate::chain::ScopeId;
use crate::distributor::{GrantAuthority, HolderRenewal};
use crate::message::{Downward, Message, Refusal, ScopeStatus, SessionId, Upward};
use crate::subscriber::{Outgoing, SessionPolicy, Subscriber};
use grebespool_leader_election::MemberId;
use std::time::Duration;

impl Planner {
    /// Returns true if the planner is a relay that has not attached to a leader yet.
    pub(super) fn needs_leader(&self) -> bool {
        self.leader.is_none() && (self.is_relay || !self.distributor.is_empty())
    }

    /// Returns true if the planner serves as a relay in place of a lost one.
    pub(super) fn is_stand_in(&self) -> bool {
        self.leader.is_some() && !self.is_relay
    }

    /// Begins to subscribe at the leader, with the statuses of all scopes.
    pub(super) fn attach_to_leader(&mut self, now: Duration) {
        let settings = &self.config.settings;
        let policy = SessionPolicy {
            renew_interval: settings.renew,
            silence_timeout: settings.relay_lease,
            sessions: 1,
        };
        let mut control = self.config.control.clone();
        // Relays start with different control machines, to spread their requests.
        let first = self.config.own as usize % control.len().max(1);
        control.rotate_left(first);
        self.leader = Some(Subscriber::new(policy, self.config.start, self.leader_sessions, control));
        let scopes: Vec<ScopeId> =
            self.config.scopes.iter().copied().chain(self.distributor.scopes()).collect();
        for scope in scopes {
            self.report_readiness(now, scope);
        }
    }

    pub(super) fn stop_standing_in(&mut self, upward: &mut Outgoing) {
        if let Some(mut leader) = self.leader.take() {
            leader.release(upward);
            self.leader_sessions = leader.sessions();
        }
        self.reported.clear();
    }

    /// Reports to the leader the revision of a scope up to which this relay and its planners are ready. Afterwards no
    /// planner that is behind this revision is granted a lease.
    pub(super) fn report_readiness(&mut self, now: Duration, scope: ScopeId) {
        let held = self.store.position(scope);
        let Some(leader) = &mut self.leader else {
            self.lagging.remove(&scope);
            return;
        };
        let ready = held.revision.min(self.distributor.ready_revision(now, scope));
        let reported = self.reported.entry(scope).or_default();
        *reported = (*reported).max(ready);
        self.distributor.require_ready(scope, *reported);
        leader.set_status(ScopeStatus { scope, held, ready: *reported });
        if *reported < held.revision {
            self.lagging.insert(scope);
        } else {
            self.lagging.remove(&scope);
        }
    }

    /// Returns the highest term that this planner has seen.
    pub(super) fn term(&self) -> u64 {
        self.relays.term().max(self.leader.as_ref().map_or(0, Subscriber::term))
    }

    pub(super) fn upward_received(&mut self, now: Duration, from: MemberId, message: Upward) {
        match message {
            Upward::Attach { session, term, statuses } => {
                if !self.config.zone_planners.contains(&from) {
                    self.rejections.other_zone += 1;
                    let why = Refusal::OtherZone;
                    return self.outbox.push((from, Message::Downward(Downward::Refused { session, why })));
                }
                self.relays.observe_term(term);
                self.attach_planner(now, from, session, &statuses);
            }
            Upward::Renew { session, count, statuses } => {
                let renewal = HolderRenewal { holder: from, session, count, statuses: &statuses };
                self.renew_planner(now, &renewal);
            }
            Upward::Release { session } => self.distributor.release(from, session),
        }
    }

    fn attach_planner(
        &mut self,
        now: Duration,
        from: MemberId,
        session: SessionId,
        statuses: &[ScopeStatus],
    ) {
        let mut out = vec![];
        let term = self.term();
        self.distributor.attach(now, &self.store, (from, session, term), statuses, &mut out);
        self.report_all(now, statuses);
        self.send_downward(out);
    }

    /// Handles a planner's renewal. The lease that is granted doesn't outlast this relay's own.
    fn renew_planner(&mut self, now: Duration, renewal: &HolderRenewal) {
        let mut out = vec![];
        let leader = self.leader.as_ref();
        let left = leader.map(|leader| leader.any_leased_until().saturating_sub(now));
        let lease_left = left.filter(|left| !left.is_zero());
        let covers = |scope| leader.is_some_and(|leader| leader.leased_until(scope) > now);
        let authority = GrantAuthority { term: self.term(), lease_left, covers: &covers };
        self.distributor.renew(now, &self.store, renewal, &authority, &mut out);
        self.report_all(now, renewal.statuses);
        self.send_downward(out);
    }

    fn report_all(&mut self, now: Duration, statuses: &[ScopeStatus]) {
        for status in statuses {
            self.report_readiness(now, status.scope);
        }
    }
}
