//! The leader's side of the leases: which member holds which task, as decided by claims, renewals and missing renewals.
//!
//! Renewals and claims are in `renewals`, grants and revocations in `grants`, operators' requests in `requests`, the
//! damping of members that repeatedly leave and return in `flap_damping`.

mod flap_damping;
mod grants;
mod renewals;
mod requests;

use crate::context::Context;
use crate::host::{Host, TaskEvent};
use crate::lease_parameters::TaskLeaseParameters;
use crate::status::TaskStatus;
use crate::token::{FencingToken, TaskId};
use flap_damping::FlapDamping;
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// A member that renews its leases.
#[derive(Debug, Clone)]
struct MemberLeases {
    renewed_at: Duration,
    incarnation: u64,
    /// The version of the member's grants.
    version: u64,
    granted: BTreeMap<TaskId, FencingToken>,
}

/// A revoked lease that may not have ended yet.
#[derive(Debug, Clone, Copy)]
struct Release {
    holder: MemberId,
    /// The time at which the lease ends at the latest.
    expires_at: Duration,
    /// The first version of the holder's grants without the task; unset until that version is sent.
    from_version: Option<u64>,
}

/// The lease of a task.
#[derive(Debug, Clone, Default)]
struct TaskLease {
    holder: Option<MemberId>,
    /// The token of the last lease.
    token: FencingToken,
    /// The time since which `holder` has its present value.
    since: Duration,
    /// The former holder, while it may still hold the task after its lease was revoked.
    releasing: Option<Release>,
    suspended_until: Option<Duration>,
    /// The member to which an operator moved the task.
    preferred: Option<MemberId>,
}

impl TaskLease {
    fn set_holder(&mut self, holder: Option<MemberId>, now: Duration) {
        self.holder = holder;
        self.since = now;
    }
}

/// All leases that the leader of one term grants.
#[derive(Debug, Clone)]
pub(crate) struct LeaseManager {
    term: u64,
    task_set: u64,
    parameters: TaskLeaseParameters,
    /// The leases, by task.
    leases: Vec<TaskLease>,
    members: BTreeMap<MemberId, MemberLeases>,
    flap_damping: FlapDamping,
    /// The newest version of any member's grants.
    version: u64,
    /// The number of the newest token.
    token_number: u64,
    /// The time before which no new lease is granted: leases of the former leader may run until then, and their holders
    /// claim them meanwhile.
    grants_allowed_from: Duration,
    /// The digests of the tasks of members that are configured with other tasks than this leader.
    foreign_task_sets: BTreeMap<MemberId, u64>,
    last_evaluated_at: Duration,
}

impl LeaseManager {
    pub(crate) fn new(
        now: Duration,
        term: u64,
        parameters: TaskLeaseParameters,
        task_set: u64,
        task_count: usize,
    ) -> LeaseManager {
        LeaseManager {
            term,
            task_set,
            parameters,
            leases: vec![TaskLease { since: now, ..TaskLease::default() }; task_count],
            members: BTreeMap::new(),
            flap_damping: FlapDamping::new(parameters.lease_wait()),
            version: 0,
            token_number: 0,
            // All leases of the former leader have expired by then, since that leader answered no renewal after its own
            // lease as leader expired.
            grants_allowed_from: now + parameters.lease_wait(),
            foreign_task_sets: BTreeMap::new(),
            last_evaluated_at: now,
        }
    }

    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    pub(crate) fn next_deadline(&self) -> Duration {
        let expiries = self.members.values().map(|member| self.leases_expire_at(member));
        let releases = self.leases.iter().filter_map(|lease| lease.releasing.map(|r| r.expires_at));
        let suspensions = self.leases.iter().filter_map(|lease| lease.suspended_until);
        let damped = self.flap_damping.ends();
        let once = damped.chain([self.grants_allowed_from]).filter(|at| *at > self.last_evaluated_at);
        expiries.chain(releases).chain(suspensions).chain(once).min().unwrap_or(Duration::MAX)
    }

    /// Returns the time at which all leases of the member expire unless it renews them.
    fn leases_expire_at(&self, member: &MemberLeases) -> Duration {
        member.renewed_at + self.parameters.lease_wait()
    }

    pub(crate) fn statuses(&self) -> impl Iterator<Item = TaskStatus> {
        (0..).zip(&self.leases).map(|(task, lease)| TaskStatus {
            task,
            holder: lease.holder,
            token: lease.token,
            since: lease.since,
            releasing: lease.releasing.map(|release| release.holder),
            suspended_until: lease.suspended_until,
            preferred: lease.preferred,
        })
    }

    /// Handles the expiry of [`LeaseManager::next_deadline`].
    pub(crate) fn timer_fired(&mut self, context: &mut Context<impl Host>) {
        let now = context.now;
        let is_lost = |(id, member): &(&MemberId, &MemberLeases)| {
            now >= self.leases_expire_at(member) || !context.members.contains(id)
        };
        let lost: Vec<MemberId> = self.members.iter().filter(is_lost).map(|(id, _)| *id).collect();
        for id in lost {
            self.remove_member(context, id);
        }
        for lease in &mut self.leases {
            lease.releasing = lease.releasing.filter(|release| now < release.expires_at);
            lease.suspended_until = lease.suspended_until.filter(|until| now < *until);
        }
        self.flap_damping.remove_steady(now);
        self.last_evaluated_at = now;
        self.distribute(context);
    }

    fn remove_member(&mut self, context: &mut Context<impl Host>, id: MemberId) {
        let now = context.now;
        let Some(member) = self.members.remove(&id) else { return };
        context.host.log(TaskEvent::HolderLost { member: id, tasks: member.granted.len() });
        self.flap_damping.record(now, id);
        // A member that is no longer a voter cannot renew its leases, but holds its tasks until these leases expire.
        let expires_at = self.leases_expire_at(&member);
        for lease in &mut self.leases {
            if lease.holder == Some(id) {
                lease.set_holder(None, now);
                lease.releasing =
                    (expires_at > now).then_some(Release { holder: id, expires_at, from_version: None });
            }
            lease.preferred = lease.preferred.filter(|preferred| *preferred != id);
        }
    }
}
