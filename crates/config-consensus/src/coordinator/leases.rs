//! Leases that the coordinator grants to replicas.

use super::{Coordinator, Phase};
use crate::context::Context;
use crate::host::{Event, Host};
use crate::message::{Message, Renewal};
use crate::settings::LeaseParameters;
use crate::transfer::Download;
use crate::version::VersionId;
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of renewal intervals without a renewal after which the coordinator announces itself to a replica again.
const OVERDUE_INTERVALS: u32 = 2;

#[derive(Debug, Clone, Copy, Default)]
struct ReplicaLease {
    /// Time at which the last renewal was granted.
    last_grant: Option<Duration>,
    /// Time at which the last renewal was received.
    last_renewal: Option<Duration>,
}

/// The times at which the replicas' leases have expired by any clock within the drift.
#[derive(Debug)]
pub(super) struct ReplicaLeases {
    parameters: LeaseParameters,
    replicas: BTreeMap<MemberId, ReplicaLease>,
    /// Time at which all leases that a former coordinator granted have expired.
    former_expiry: Duration,
}

impl ReplicaLeases {
    /// Creates the leases of a coordinator that starts at `now`.
    pub(super) fn new(now: Duration, parameters: LeaseParameters) -> ReplicaLeases {
        let former_expiry = now + parameters.expiry_bound();
        ReplicaLeases { parameters, replicas: BTreeMap::new(), former_expiry }
    }

    /// Records that a renewal was received.
    pub(super) fn record_renewal(&mut self, replica: MemberId, now: Duration) {
        self.replicas.entry(replica).or_default().last_renewal = Some(now);
    }

    /// Records that a renewal is granted.
    pub(super) fn grant(&mut self, replica: MemberId, now: Duration) {
        self.replicas.entry(replica).or_default().last_grant = Some(now);
    }

    /// Returns true if no renewal of a replica was received for [`OVERDUE_INTERVALS`].
    pub(super) fn is_renewal_overdue(&self, replica: MemberId, now: Duration) -> bool {
        let last_renewal = self.replicas.get(&replica).and_then(|lease| lease.last_renewal);
        last_renewal.is_none_or(|at| now >= at + self.parameters.renew_interval * OVERDUE_INTERVALS)
    }

    /// Returns true if all leases of a replica have expired.
    pub(super) fn is_expired(&self, replica: MemberId, now: Duration) -> bool {
        let last_grant = self.replicas.get(&replica).and_then(|lease| lease.last_grant);
        let expiry = last_grant.map_or(Duration::ZERO, |at| at + self.parameters.expiry_bound());
        now >= expiry.max(self.former_expiry)
    }

    /// Returns the time at which the leases of all replicas have expired.
    pub(super) fn last_expiry(&self) -> Duration {
        let bound = self.parameters.expiry_bound();
        let last_grants = self.replicas.values().filter_map(|lease| lease.last_grant);
        last_grants.map(|at| at + bound).fold(self.former_expiry, Duration::max)
    }
}

impl Coordinator {
    /// Handles the request of a replica to renew its lease, which contains the versions that the replica has on disk.
    pub(crate) fn renew(&mut self, cx: &mut Context<impl Host>, from: MemberId, renewal: Renewal) {
        self.leases.record_renewal(from, cx.now);
        match &mut self.phase {
            Phase::Recovering(recovery) => {
                // A replica committed this version, so the version was activated and its parent may no longer be stored.
                if !recovery.activated && renewal.committed == recovery.header.id() {
                    recovery.activated = true;
                    recovery.download = Download::new(recovery.header.hash);
                    cx.send(from, recovery.download.request());
                }
                return;
            }
            Phase::Preparing(pending) if renewal.committed == pending.version.id() => {
                pending.activated_by_predecessor = true;
                self.proceed(cx);
            }
            _ => {}
        }
        if !self.conflicts_with(cx, from, renewal.committed) {
            self.answer_renewal(cx, from, renewal);
        }
    }

    /// Returns true if a replica has another version under the committed number; logs that once for each hash.
    fn conflicts_with(
        &mut self,
        cx: &mut Context<impl Host>,
        replica: MemberId,
        reported: VersionId,
    ) -> bool {
        let committed = self.committed.id();
        let conflict = reported.number == committed.number && reported.hash != committed.hash;
        if conflict && self.conflicting.insert(replica, reported.hash) != Some(reported.hash) {
            cx.host().log(&Event::ReplicaHistoryConflict { replica, reported, committed });
        }
        conflict
    }

    /// Grants the lease to a replica that has the committed and the pending version; otherwise sends the missing version.
    fn answer_renewal(&mut self, cx: &mut Context<impl Host>, from: MemberId, renewal: Renewal) {
        let (token, committed) = (self.token, self.committed.id());
        let preparing = if let Phase::Preparing(pending) = &self.phase { Some(pending) } else { None };
        let pending = preparing.map(|pending| pending.version.id());
        let current = renewal.committed == committed;
        if current && (pending.is_none() || renewal.pending == pending) {
            self.leases.grant(from, cx.now);
            let granted = Renewal { count: renewal.count, committed, pending };
            cx.send(from, Message::Renewed { token, renewal: granted });
            if let Some(version) = pending {
                self.prepared(cx, from, version);
            }
        } else if let Some(pending) = preparing.filter(|_| current) {
            cx.send(from, Message::Prepare { token, header: pending.header.clone() });
        } else if renewal.pending == Some(committed) {
            cx.send(from, Message::Activate { token, committed });
        } else {
            cx.send(from, Message::Announce { token, committed });
        }
    }
}
