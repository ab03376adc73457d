//! A replica: the versions that a member stores, and the lease under which the member applies them.

mod persistence;
mod versions;

use crate::active_versions::ActiveVersions;
use crate::configuration::EffectiveConfiguration;
use crate::context::Context;
use crate::host::{Event, Host};
use crate::message::{Message, Renewal};
use crate::settings::LeaseParameters;
use crate::transfer::Download;
use crate::version::{ConfigVersion, ContentHash, StoredState, VersionHeader, VersionId};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::FencingToken;
use persistence::Persistence;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of unanswered renewals whose answers are still accepted.
const MAX_UNANSWERED_RENEWALS: usize = 32;

/// Identifies a coordinator by its member and its ownership of the journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorRef {
    /// Token of the ownership; a later coordinator's token is higher.
    pub token: FencingToken,
    /// The member that coordinates.
    pub member: MemberId,
}

/// A version that is being fetched.
#[derive(Debug, Clone)]
enum Missing {
    /// The version that the coordinator has committed.
    Committed(Download),
    /// The version that the coordinator prepares.
    Pending(Download, VersionHeader),
}

impl Missing {
    fn download(&mut self) -> &mut Download {
        let (Missing::Committed(download) | Missing::Pending(download, _)) = self;
        download
    }
}

/// A renewal that may still be answered.
#[derive(Debug, Clone, Copy)]
struct SentRenewal {
    at: Duration,
    /// The pending version that the renewal reported.
    pending: Option<VersionId>,
}

/// The replica of one member.
#[derive(Debug)]
pub(crate) struct Replica {
    lease: LeaseParameters,
    state: StoredState,
    persistence: Persistence,
    leased_until: Duration,
    coordinator: Option<CoordinatorRef>,
    renewal_count: u64,
    sent_renewals: BTreeMap<u64, SentRenewal>,
    renew_at: Duration,
    missing: Option<Missing>,
    reported: ActiveVersions,
    last_event: Option<Event>,
}

impl Replica {
    /// Creates a replica with the stored state.
    pub(crate) fn new(lease: LeaseParameters, state: StoredState) -> Replica {
        Replica {
            lease,
            state,
            persistence: Persistence::default(),
            leased_until: Duration::ZERO,
            coordinator: None,
            renewal_count: 0,
            sent_renewals: BTreeMap::new(),
            renew_at: Duration::ZERO,
            missing: None,
            reported: ActiveVersions::Unleased,
            last_event: None,
        }
    }

    /// Returns the stored versions.
    pub(crate) fn state(&self) -> &StoredState {
        &self.state
    }

    /// Returns the coordinator that renews the lease.
    pub(crate) fn coordinator(&self) -> Option<CoordinatorRef> {
        self.coordinator
    }

    /// Clears the coordinator, so that no renewals are sent until a coordinator announces itself.
    pub(crate) fn clear_coordinator(&mut self) {
        self.coordinator = None;
    }

    /// Returns the time at which [`Replica::timer_fired`] must be called next.
    pub(crate) fn next_timer(&self) -> Duration {
        let lease = if self.reported == ActiveVersions::Unleased { Duration::MAX } else { self.leased_until };
        if self.coordinator.is_some() { self.renew_at.min(lease) } else { lease }
    }

    /// Returns the versions that the replica may apply at this time.
    pub(crate) fn active_versions(&self, now: Duration) -> ActiveVersions {
        let committed = self.state.committed.number();
        match &self.state.pending {
            _ if now >= self.leased_until => ActiveVersions::Unleased,
            None => ActiveVersions::Single(committed),
            Some(pending) => ActiveVersions::Joint(committed, pending.number()),
        }
    }

    /// Returns the committed configuration, or its intersection with the pending one.
    pub(crate) fn effective_configuration(&self) -> EffectiveConfiguration {
        let committed = self.state.committed.configuration();
        match &self.state.pending {
            None => EffectiveConfiguration::single(committed),
            Some(pending) => EffectiveConfiguration::intersect(committed, pending.configuration()),
        }
    }

    /// Renews the lease if it is time, and reports an expired lease.
    pub(crate) fn timer_fired(&mut self, cx: &mut Context<impl Host>) {
        if cx.now >= self.renew_at {
            self.renew(cx);
        }
        self.report_active_versions(cx);
    }

    /// Records that all states up to this stamp are on disk.
    pub(crate) fn persisted(&mut self, cx: &mut Context<impl Host>, stamp: u64) {
        self.persistence.completed(cx, stamp);
    }

    fn persist(&mut self, cx: &mut Context<impl Host>) {
        self.persistence.start(cx.host(), &self.state);
    }

    fn report_active_versions(&mut self, cx: &mut Context<impl Host>) {
        let active = self.active_versions(cx.now);
        if std::mem::replace(&mut self.reported, active) != active {
            cx.host().active_versions_changed(active);
        }
    }

    /// Logs an event, unless it equals the last logged event.
    fn log_once(&mut self, cx: &mut Context<impl Host>, event: Event) {
        if self.last_event.as_ref() != Some(&event) {
            cx.host().log(&event);
            self.last_event = Some(event);
        }
    }

    fn renew(&mut self, cx: &mut Context<impl Host>) {
        self.renew_at = cx.now + self.lease.renew_interval;
        let Some(coordinator) = self.coordinator else { return };
        if let Some(missing) = &mut self.missing {
            let request = missing.download().request();
            cx.send(coordinator.member, request);
        }
        // A state that is not on disk yet could be lost in a crash, so it is not reported.
        if !self.persistence.is_complete() {
            return;
        }
        self.renewal_count += 1;
        let pending = self.state.pending_id();
        self.sent_renewals.insert(self.renewal_count, SentRenewal { at: cx.now, pending });
        while self.sent_renewals.len() > MAX_UNANSWERED_RENEWALS {
            self.sent_renewals.pop_first();
        }
        let renewal = Renewal { count: self.renewal_count, committed: self.state.committed.id(), pending };
        cx.send(coordinator.member, Message::Renew { token: coordinator.token, renewal });
    }

    /// Handles the coordinator's answer to a renewal. The lease runs from when the renewal was sent.
    pub(crate) fn renewed(&mut self, cx: &mut Context<impl Host>, sender: CoordinatorRef, renewal: Renewal) {
        if self.coordinator != Some(sender) || sender.token != self.state.newest_token {
            return;
        }
        let Some(sent) = self.sent_renewals.get(&renewal.count).copied() else { return };
        self.advance_to(cx, renewal.committed);
        self.drop_abandoned(cx, &sent, &renewal);
        // The lease covers exactly the versions in the answer, so it is valid only if this replica has these versions.
        if self.state.committed.id() == renewal.committed && self.state.pending_id() == renewal.pending {
            self.leased_until = self.leased_until.max(sent.at + self.lease.duration);
            self.sent_renewals = self.sent_renewals.split_off(&(renewal.count + 1));
        }
        self.report_active_versions(cx);
    }

    /// Drops a pending version that the renewal reported and the coordinator does not have: the version was never durable. An
    /// answer to a renewal from before the version was prepared does not count.
    fn drop_abandoned(&mut self, cx: &mut Context<impl Host>, sent: &SentRenewal, renewal: &Renewal) {
        let pending = self.state.pending_id();
        let was_reported = pending.is_some() && sent.pending == pending;
        if was_reported && renewal.pending.is_none() && self.state.committed.id() == renewal.committed {
            self.state.pending = None;
            self.persist(cx);
        }
    }

    /// Returns true, and logs that, if this replica has another hash for the announced version number. The two histories
    /// cannot be merged.
    fn conflicts_with(&mut self, cx: &mut Context<impl Host>, announced: VersionId) -> bool {
        let local = self.state.committed.id();
        let conflict = local.number == announced.number && local.hash != announced.hash;
        if conflict {
            self.log_once(cx, Event::LocalHistoryConflict { local, announced });
        }
        conflict
    }

    /// Starts to fetch a version, unless that version is being fetched already.
    fn fetch(&mut self, cx: &mut Context<impl Host>, mut missing: Missing) {
        let hash: ContentHash = missing.download().hash;
        if self.missing.as_mut().is_some_and(|current| current.download().hash == hash) {
            return;
        }
        if let Some(coordinator) = self.coordinator {
            cx.send(coordinator.member, missing.download().request());
        }
        self.missing = Some(missing);
    }

    fn is_newer(&self, version: &ConfigVersion) -> bool {
        version.number() > self.state.committed.number()
    }
}
