//! The distribution of tasks: revocations, new leases, and the messages about them.

use super::{LeaseManager, Release};
use crate::balance::balance_tasks;
use crate::context::Context;
use crate::host::Host;
use crate::message::{LeaseGrants, Message};
use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

impl LeaseManager {
    /// Distributes all tasks evenly over the members that renew their leases.
    pub(super) fn distribute(&mut self, context: &mut Context<impl Host>) {
        let now = context.now;
        if now < self.grants_allowed_from {
            return;
        }
        let mut changed: BTreeMap<MemberId, Vec<TaskId>> = BTreeMap::new();
        for (task, target) in (0..).zip(self.balanced_holders(context)) {
            let target = target.filter(|_| self.leases[task as usize].suspended_until.is_none());
            if let Some(holder) = self.revoke_if_moved(now, task, target) {
                changed.entry(holder).or_default().push(task);
            }
            if let Some(holder) = self.grant_if_free(now, task, target) {
                changed.entry(holder).or_default().push(task);
            }
        }
        for (id, tasks) in changed {
            self.version += 1;
            for task in tasks {
                self.set_release_version(task, id);
            }
            self.send_new_grants(context, id);
        }
    }

    /// Returns the holder of each task in an even distribution. Damped members get tasks only if all members are damped.
    fn balanced_holders(&self, context: &Context<impl Host>) -> Vec<Option<MemberId>> {
        let present: Vec<MemberId> =
            self.members.keys().copied().filter(|id| context.members.contains(id)).collect();
        let is_steady = |id: &MemberId| !self.flap_damping.is_damped(context.now, *id);
        let steady: Vec<MemberId> = present.iter().copied().filter(is_steady).collect();
        let candidates = if steady.is_empty() { present } else { steady };
        let holders: Vec<Option<MemberId>> = self.leases.iter().map(|lease| lease.holder).collect();
        let preferred: Vec<Option<MemberId>> = self.leases.iter().map(|lease| lease.preferred).collect();
        balance_tasks(&holders, &preferred, &candidates)
    }

    /// Revokes the lease if the task moves to another member or is suspended. The task is free once the holder answers that
    /// it has released the task, or once its lease expires. Returns the former holder.
    fn revoke_if_moved(&mut self, now: Duration, task: TaskId, target: Option<MemberId>) -> Option<MemberId> {
        let lease = &self.leases[task as usize];
        let holder = lease.holder?;
        let is_moved = Some(holder) != target && (target.is_some() || lease.suspended_until.is_some());
        if !is_moved {
            return None;
        }
        let mut releasing = lease.releasing;
        if let Some(member) = self.members.get_mut(&holder) {
            member.granted.remove(&task);
            let expires_at = member.renewed_at + self.parameters.lease_wait();
            releasing = Some(Release { holder, expires_at, from_version: None });
        }
        let lease = &mut self.leases[task as usize];
        lease.releasing = releasing;
        lease.set_holder(None, now);
        Some(holder)
    }

    /// Grants a new lease if the task is free. Returns the new holder.
    fn grant_if_free(&mut self, now: Duration, task: TaskId, target: Option<MemberId>) -> Option<MemberId> {
        let lease = &mut self.leases[task as usize];
        let id = target.filter(|_| lease.holder.is_none() && lease.releasing.is_none())?;
        self.token_number += 1;
        lease.token = FencingToken { term: self.term, number: self.token_number };
        lease.set_holder(Some(id), now);
        if let Some(member) = self.members.get_mut(&id) {
            member.granted.insert(task, lease.token);
        }
        Some(id)
    }

    /// Records the newest version as the first version of the grants without the task. Once the holder acts on that version,
    /// the task is free.
    fn set_release_version(&mut self, task: TaskId, holder: MemberId) {
        if let Some(release) = &mut self.leases[task as usize].releasing
            && release.holder == holder
            && release.from_version.is_none()
        {
            release.from_version = Some(self.version);
        }
    }

    /// Sends a member its present grants under the newest version.
    fn send_new_grants(&mut self, context: &mut Context<impl Host>, to: MemberId) {
        if let Some(member) = self.members.get_mut(&to) {
            member.version = self.version;
        }
        self.send_grants(context, to);
    }

    pub(super) fn send_grants(&self, context: &mut Context<impl Host>, to: MemberId) {
        let Some(member) = self.members.get(&to) else { return };
        let grants = LeaseGrants {
            term: self.term,
            incarnation: member.incarnation,
            version: member.version,
            tasks: member.granted.iter().map(|(task, token)| (*task, *token)).collect(),
            suspensions: self.suspensions_left(context.now),
        };
        context.send(to, Message::Grants(grants));
    }

    fn suspensions_left(&self, now: Duration) -> Vec<(TaskId, u64)> {
        let milliseconds_left = |until: Duration| until.saturating_sub(now).as_millis() as u64;
        let suspended =
            (0..).zip(&self.leases).filter_map(|(task, lease)| Some((task, lease.suspended_until?)));
        suspended.map(|(task, until)| (task, milliseconds_left(until))).collect()
    }

    /// Informs all members of a change of the suspensions, so that the next leader learns the suspensions from their claims.
    pub(super) fn send_grants_to_all(&mut self, context: &mut Context<impl Host>) {
        let members: Vec<MemberId> = self.members.keys().copied().collect();
        for id in members {
            self.version += 1;
            self.send_new_grants(context, id);
        }
    }
}
