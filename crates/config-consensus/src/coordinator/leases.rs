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

/// A replica that has not renewed for so many renewal intervals is sent an announcement.
const SILENT_INTERVALS: u32 = 2;

#[derive(Debug, Clone, Copy, Default)]
struct ReplicaLease {
    /// When its last renewal was granted.
    granted: Option<Duration>,
    /// When its last renewal was received.
    heard: Option<Duration>,
}

/// When each replica's lease is over by any clock within the drift.
#[derive(Debug)]
pub(super) struct ReplicaLeases {
    parameters: LeaseParameters,
    replicas: BTreeMap<MemberId, ReplicaLease>,
    /// Leases that a former coordinator granted have expired by then.
    former_expiry: Duration,
}

impl ReplicaLeases {
    /// Of a coordinator that starts now.
    pub(super) fn new(now: Duration, parameters: LeaseParameters) -> ReplicaLeases {
        let former_expiry = now + parameters.expiry_bound();
        ReplicaLeases { parameters, replicas: BTreeMap::new(), former_expiry }
    }

    /// A renewal was received.
    pub(super) fn heard(&mut self, replica: MemberId, now: Duration) {
        self.replicas.entry(replica).or_default().heard = Some(now);
    }

    /// A renewal is granted.
    pub(super) fn grant(&mut self, replica: MemberId, now: Duration) {
        self.replicas.entry(replica).or_default().granted = Some(now);
    }

    /// Whether a replica has not renewed for long.
    pub(super) fn is_silent(&self, replica: MemberId, now: Duration) -> bool {
        let heard = self.replicas.get(&replica).and_then(|lease| lease.heard);
        heard.is_none_or(|at| now >= at + self.parameters.renew_interval * SILENT_INTERVALS)
    }

    /// Whether no lease of a replica runs any more.
    pub(super) fn is_expired(&self, replica: MemberId, now: Duration) -> bool {
        let granted = self.replicas.get(&replica).and_then(|lease| lease.granted);
        let expiry = granted.map_or(Duration::ZERO, |at| at + self.parameters.expiry_bound());
        now >= expiry.max(self.former_expiry)
    }

    /// When the last lease has expired.
    pub(super) fn last_expiry(&self) -> Duration {
        let bound = self.parameters.expiry_bound();
        let granted = self.replicas.values().filter_map(|lease| lease.granted);
        granted.map(|at| at + bound).fold(self.former_expiry, Duration::max)
    }
}

impl Coordinator {
    /// A replica asks to renew its lease, and reports the versions that it has on disk.
    pub(crate) fn renew(&mut self, cx: &mut Context<impl Host>, from: MemberId, renewal: Renewal) {
        self.leases.heard(from, cx.now);
        match &mut self.phase {
            Phase::Recovering(recovery) => {
                // A replica committed this version, so it was activated, and its parent may no longer be stored anywhere.
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

    /// Whether a replica has another version under the committed number; logged once for each hash.
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

    /// Grants the lease to a replica that has the committed and the pending version, and sends to another what it lacks.
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
