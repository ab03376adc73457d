//! Renewals, and the claims of members that renew for the first time in this leader's term or in a new incarnation.

use super::{LeaseManager, MemberLeases};
use crate::context::Context;
use crate::host::{Host, TaskEvent};
use crate::lease_parameters::MAX_SUSPENSION;
use crate::message::{LeaseClaims, Message, RenewRequest, RenewResponse};
use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl LeaseManager {
    pub(crate) fn receive_renewal(
        &mut self,
        context: &mut Context<impl Host>,
        from: MemberId,
        request: RenewRequest,
    ) {
        if request.term != self.term || !context.members.contains(&from) {
            return;
        }
        if request.task_set != self.task_set {
            return self.reject_foreign_task_set(context, from, request.task_set);
        }
        self.foreign_task_sets.remove(&from);
        let known = self.members.get(&from).map(|member| member.incarnation);
        // A request of an earlier incarnation, read late from an old stream, would free leases that the member holds in its
        // present incarnation.
        if known.is_some_and(|known| request.incarnation < known) {
            return;
        }
        if known.is_none_or(|known| known < request.incarnation) {
            self.admit_member(context.now, from, request.incarnation, &request.claims.unwrap_or_default());
        }
        if let Some(member) = self.members.get_mut(&from) {
            member.renewed_at = context.now;
        }
        self.finish_releases(from, request.version, &request.busy);
        self.distribute(context);
        let Some(version) = self.members.get(&from).map(|member| member.version) else { return };
        let response = RenewResponse { term: self.term, number: request.number, version };
        context.send(from, Message::RenewResponse(response));
        if request.version < version {
            self.send_grants(context, from);
        }
    }

    fn reject_foreign_task_set(&mut self, context: &mut Context<impl Host>, from: MemberId, task_set: u64) {
        if self.foreign_task_sets.insert(from, task_set) != Some(task_set) {
            context.host.log(TaskEvent::ForeignTaskSet { member: from });
        }
        context.send(from, Message::ForeignTaskSet { term: self.term });
    }

    /// Frees the tasks that the member has released, as shown by the version of the grants that it acts on.
    fn finish_releases(&mut self, from: MemberId, version: u64, busy: &[TaskId]) {
        for (task, lease) in (0..).zip(&mut self.leases) {
            let is_released = lease.releasing.is_some_and(|release| {
                release.holder == from && release.from_version.is_some_and(|needed| version >= needed)
            });
            if is_released && !busy.contains(&task) {
                lease.releasing = None;
            }
        }
    }

    /// Admits a member that renews for the first time, or for the first time since it was restarted or lost a lease. Its
    /// accepted claims are its only leases.
    fn admit_member(&mut self, now: Duration, from: MemberId, incarnation: u64, claims: &LeaseClaims) {
        self.version += 1;
        let was_known = self.members.remove(&from).is_some();
        let granted = self.accept_claims(now, from, &claims.tasks);
        self.free_unclaimed(now, from, &granted, &claims.tasks);
        self.adopt_suspensions(now, &claims.suspensions);
        if was_known {
            self.flap_damping.record(now, from);
        }
        let member = MemberLeases { renewed_at: now, incarnation, version: self.version, granted };
        self.members.insert(from, member);
    }

    /// Grants the member the leases that it claims and may hold, and returns these leases.
    fn accept_claims(
        &mut self,
        now: Duration,
        from: MemberId,
        claims: &[(TaskId, FencingToken)],
    ) -> BTreeMap<TaskId, FencingToken> {
        let mut granted = BTreeMap::new();
        for (task, token) in claims {
            if !self.is_valid_claim(from, *task, *token) {
                continue;
            }
            let lease = &mut self.leases[*task as usize];
            if let Some(other) = lease.holder.filter(|holder| *holder != from)
                && let Some(displaced) = self.members.get_mut(&other)
            {
                // Possible only if a clock exceeds the drift. The registers fence the displaced member, which receives its
                // new grants with its next renewal.
                displaced.granted.remove(task);
                displaced.version = self.version;
            }
            if lease.holder != Some(from) {
                lease.set_holder(Some(from), now);
            }
            lease.token = *token;
            granted.insert(*task, *token);
        }
        granted
    }

    /// Returns true if the member may hold the task by this token. A token of this term must be one that this leader granted;
    /// a token of an earlier term must be higher than the task's newest token.
    fn is_valid_claim(&self, from: MemberId, task: TaskId, token: FencingToken) -> bool {
        let Some(lease) = self.leases.get(task as usize) else { return false };
        let is_granted = token.term == self.term && lease.holder == Some(from) && lease.token == token;
        let is_of_former_term = token.term < self.term && token > lease.token;
        is_granted || is_of_former_term
    }

    /// Frees the tasks that the member held and does not claim. They are free at once, since the next holder gets another
    /// token. A task that is being released and that the member still claims may be in its last step, so it stays with the
    /// member until it acts on the newest version of its grants.
    fn free_unclaimed(
        &mut self,
        now: Duration,
        from: MemberId,
        granted: &BTreeMap<TaskId, FencingToken>,
        claims: &[(TaskId, FencingToken)],
    ) {
        let claimed: BTreeSet<TaskId> = claims.iter().map(|(task, _)| *task).collect();
        for (task, lease) in (0..).zip(&mut self.leases) {
            if lease.holder == Some(from) && !granted.contains_key(&task) {
                lease.set_holder(None, now);
            }
            if let Some(mut release) = lease.releasing.filter(|release| release.holder == from) {
                release.from_version = Some(self.version);
                lease.releasing = claimed.contains(&task).then_some(release);
            }
        }
    }

    /// Adopts the suspensions that a former leader granted. This is done only until grants are allowed: later, an operator
    /// may have ended a suspension at this leader while members still report it.
    fn adopt_suspensions(&mut self, now: Duration, suspensions: &[(TaskId, u64)]) {
        for (task, milliseconds_left) in suspensions {
            let Some(lease) = self.leases.get_mut(*task as usize) else { continue };
            let until = now + Duration::from_millis(*milliseconds_left).min(MAX_SUSPENSION);
            if now < self.grants_allowed_from && lease.suspended_until.is_none_or(|known| known < until) {
                lease.suspended_until = Some(until);
            }
        }
    }
}
