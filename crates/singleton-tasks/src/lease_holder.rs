//! The holder's side of the leases: a member acquires and drops leases by the leader's grants and its own clock.

use crate::context::Context;
use crate::election::Leader;
use crate::host::{Host, LeaseLossReason};
use crate::lease_parameters::TaskLeaseParameters;
use crate::message::{LeaseClaims, LeaseGrants, Message, RenewRequest, RenewResponse};
use crate::token::{FencingToken, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum number of renewals whose answers are still accepted.
const MAX_UNANSWERED_RENEWALS: usize = 32;

/// The upper half of an incarnation counts the starts of the member, the lower half the lost leases since the last start.
const RESTARTS_SHIFT: u32 = 32;

/// Identifies the grants that a member acts on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct GrantsVersion {
    term: u64,
    incarnation: u64,
    version: u64,
}

impl GrantsVersion {
    fn matches(&self, term: u64, incarnation: u64) -> bool {
        (self.term, self.incarnation) == (term, incarnation)
    }
}

/// The leases of one member.
#[derive(Debug, Clone)]
pub(crate) struct LeaseHolder {
    parameters: TaskLeaseParameters,
    task_set: u64,
    leader: Option<Leader>,
    /// The incarnation of this member. It rises with each start and each time that a lease is lost without the leader's
    /// order: grants of an earlier incarnation are ignored, and a token of an earlier incarnation is not acquired again.
    incarnation: u64,
    grants_version: GrantsVersion,
    granted: BTreeMap<TaskId, FencingToken>,
    /// The suspended tasks, and the end of each suspension by this member's clock.
    suspended_until: BTreeMap<TaskId, Duration>,
    /// The tasks that this member works on.
    active: BTreeMap<TaskId, FencingToken>,
    /// The tasks that were revoked during a step, and the deadline of that step. The deadline is the expiry of the lease at
    /// the time of the revocation. Later renewals do not extend it: otherwise a step that hangs would withhold its task
    /// from all other members.
    releasing: BTreeMap<TaskId, Duration>,
    /// The tasks with a step in progress.
    busy: BTreeSet<TaskId>,
    lease_expires_at: Duration,
    renewal_number: u64,
    renewals_sent: BTreeMap<u64, Duration>,
    next_renewal_at: Duration,
}

impl LeaseHolder {
    pub(crate) fn new(parameters: TaskLeaseParameters, task_set: u64, restarts: u32) -> LeaseHolder {
        LeaseHolder {
            parameters,
            task_set,
            leader: None,
            incarnation: u64::from(restarts) << RESTARTS_SHIFT,
            grants_version: GrantsVersion::default(),
            granted: BTreeMap::new(),
            suspended_until: BTreeMap::new(),
            active: BTreeMap::new(),
            releasing: BTreeMap::new(),
            busy: BTreeSet::new(),
            lease_expires_at: Duration::ZERO,
            renewal_number: 0,
            renewals_sent: BTreeMap::new(),
            next_renewal_at: Duration::ZERO,
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        let renewal = self.leader.map(|_| self.next_renewal_at);
        let lease = (!self.active.is_empty()).then_some(self.lease_expires_at);
        renewal.into_iter().chain(lease).chain(self.releasing.values().copied()).min()
    }

    /// Returns the token by which the member may act on the task at this moment.
    pub(crate) fn current_token(&self, now: Duration, task: TaskId) -> Option<FencingToken> {
        let release_at = self.releasing.get(&task).copied().unwrap_or(self.lease_expires_at);
        let expires_at = self.lease_expires_at.min(release_at);
        self.active.get(&task).copied().filter(|_| now < expires_at)
    }

    pub(crate) fn active(&self) -> &BTreeMap<TaskId, FencingToken> {
        &self.active
    }

    pub(crate) fn suspensions(&self) -> impl Iterator<Item = (TaskId, Duration)> {
        self.suspended_until.iter().map(|(task, until)| (*task, *until))
    }

    pub(crate) fn follow(&mut self, now: Duration, leader: Option<Leader>) {
        if self.leader != leader {
            self.leader = leader;
            self.renewals_sent.clear();
            self.next_renewal_at = now;
        }
    }

    pub(crate) fn timer_fired(&mut self, context: &mut Context<impl Host>) {
        self.drop_expired(context);
        let now = context.now;
        self.suspended_until.retain(|_, until| now < *until);
        if now >= self.next_renewal_at {
            self.send_renewal(context);
        }
    }

    /// Drops all leases that have expired. Timers and messages of the leader are handled only afterwards: after a stall, other
    /// members may hold the tasks.
    fn drop_expired(&mut self, context: &mut Context<impl Host>) {
        let now = context.now;
        let released: Vec<TaskId> =
            self.releasing.iter().filter(|(_, until)| **until <= now).map(|(task, _)| *task).collect();
        for task in released {
            self.drop_lease(context, task, LeaseLossReason::Expired);
            self.void_unanswered_claims();
        }
        if now < self.lease_expires_at || self.active.is_empty() {
            return;
        }
        self.incarnation += 1;
        self.granted.clear();
        self.releasing.clear();
        self.busy.clear();
        for (task, token) in std::mem::take(&mut self.active) {
            context.host.lease_lost(task, token, LeaseLossReason::Expired);
        }
    }

    fn send_renewal(&mut self, context: &mut Context<impl Host>) {
        self.next_renewal_at = context.now + self.parameters.renew_interval;
        let Some(leader) = self.leader else { return };
        self.renewal_number += 1;
        self.renewals_sent.insert(self.renewal_number, context.now);
        while self.renewals_sent.len() > MAX_UNANSWERED_RENEWALS {
            self.renewals_sent.pop_first();
        }
        let has_grants = self.has_grants_of(leader.term);
        let request = RenewRequest {
            term: leader.term,
            incarnation: self.incarnation,
            number: self.renewal_number,
            version: if has_grants { self.grants_version.version } else { 0 },
            task_set: self.task_set,
            busy: self.releasing.keys().copied().collect(),
            claims: (!has_grants).then(|| self.claims(context.now)),
        };
        context.send(leader.id, Message::RenewRequest(request));
    }

    fn claims(&self, now: Duration) -> LeaseClaims {
        let milliseconds_left = |until: Duration| until.saturating_sub(now).as_millis() as u64;
        LeaseClaims {
            tasks: self.active.iter().map(|(task, token)| (*task, *token)).collect(),
            suspensions: self.suspensions().map(|(task, until)| (task, milliseconds_left(until))).collect(),
        }
    }

    pub(crate) fn receive_renewal(
        &mut self,
        context: &mut Context<impl Host>,
        from: Leader,
        response: RenewResponse,
    ) {
        self.drop_expired(context);
        // The answer renews only the leases by the grants of this version: the leader does not know of other leases that
        // this member acts on.
        let renewed =
            GrantsVersion { term: response.term, incarnation: self.incarnation, version: response.version };
        if self.leader != Some(from) || self.grants_version != renewed {
            return;
        }
        if let Some(sent_at) = self.renewals_sent.get(&response.number).copied() {
            self.lease_expires_at = self.lease_expires_at.max(sent_at + self.parameters.lease);
            self.renewals_sent = self.renewals_sent.split_off(&(response.number + 1));
        }
        self.acquire_granted(context);
    }

    pub(crate) fn receive_grants(
        &mut self,
        context: &mut Context<impl Host>,
        from: Leader,
        grants: LeaseGrants,
    ) {
        self.drop_expired(context);
        let known = self.grants_version;
        let is_newer = !known.matches(grants.term, grants.incarnation) || grants.version > known.version;
        if self.leader != Some(from) || grants.incarnation != self.incarnation || !is_newer {
            return;
        }
        self.grants_version =
            GrantsVersion { term: grants.term, incarnation: grants.incarnation, version: grants.version };
        self.granted = grants.tasks.into_iter().collect();
        let until = |milliseconds: u64| context.now + Duration::from_millis(milliseconds);
        self.suspended_until =
            grants.suspensions.into_iter().map(|(task, left)| (task, until(left))).collect();
        self.release_revoked(context);
        self.acquire_granted(context);
        // Informs the leader at once which revoked tasks this member has released.
        self.send_renewal(context);
    }

    fn release_revoked(&mut self, context: &mut Context<impl Host>) {
        // A new leader may have granted again a task that a former leader had revoked.
        let (granted, active) = (&self.granted, &self.active);
        self.releasing.retain(|task, _| granted.get(task) != active.get(task));
        let is_revoked = |(task, token): &(&TaskId, &FencingToken)| granted.get(task) != Some(token);
        let revoked: Vec<TaskId> = active.iter().filter(is_revoked).map(|(task, _)| *task).collect();
        for task in revoked {
            if self.busy.contains(&task) {
                self.releasing.entry(task).or_insert(self.lease_expires_at);
            } else {
                self.drop_lease(context, task, LeaseLossReason::Revoked);
            }
        }
    }

    fn acquire_granted(&mut self, context: &mut Context<impl Host>) {
        if context.now >= self.lease_expires_at {
            return;
        }
        for (task, token) in &self.granted {
            if !self.releasing.contains_key(task) && !self.active.contains_key(task) {
                self.active.insert(*task, *token);
                context.host.lease_acquired(*task, *token);
            }
        }
    }

    fn drop_lease(&mut self, context: &mut Context<impl Host>, task: TaskId, reason: LeaseLossReason) {
        self.releasing.remove(&task);
        self.busy.remove(&task);
        if let Some(token) = self.active.remove(&task) {
            context.host.lease_lost(task, token, reason);
        }
    }

    /// Returns true if this member has grants of this term and of its present incarnation.
    fn has_grants_of(&self, term: u64) -> bool {
        self.grants_version.matches(term, self.incarnation)
    }

    /// Starts a new incarnation if the leader has not answered the claims of the present one, so that claims already sent
    /// become void. Otherwise the leader could accept a claim to a task that this member has just dropped.
    fn void_unanswered_claims(&mut self) {
        if self.leader.is_some_and(|leader| !self.has_grants_of(leader.term)) {
            self.incarnation += 1;
        }
    }

    /// Records that a step began. If the task is revoked now, it is released only after the step is completed.
    pub(crate) fn step_began(&mut self, task: TaskId) {
        self.busy.insert(task);
    }

    /// Records that no step of the task is in progress, and releases the task if it was revoked.
    pub(crate) fn step_completed(&mut self, context: &mut Context<impl Host>, task: TaskId) {
        self.busy.remove(&task);
        if self.releasing.contains_key(&task) {
            self.drop_lease(context, task, LeaseLossReason::Revoked);
            self.void_unanswered_claims();
            self.acquire_granted(context);
            self.send_renewal(context);
        }
    }

    /// Handles a rejection by a member or a target that has seen a higher token. This member drops the lease, and claims its
    /// remaining leases again in a new incarnation.
    pub(crate) fn fenced(
        &mut self,
        context: &mut Context<impl Host>,
        task: TaskId,
        token: FencingToken,
        highest_token: FencingToken,
    ) {
        if self.active.get(&task) != Some(&token) {
            return;
        }
        self.granted.remove(&task);
        self.drop_lease(context, task, LeaseLossReason::Fenced(highest_token));
        self.incarnation += 1;
        self.next_renewal_at = context.now + self.parameters.renew_interval;
    }
}
