//! A replica: the versions that a member stores, and the lease by which it applies them.

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

/// Renewals whose answers are still accepted.
const MAX_UNANSWERED_RENEWALS: usize = 32;

/// A coordinator: the member, and its ownership of the journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorRef {
    /// The ownership; a later coordinator's is higher.
    pub token: FencingToken,
    /// The member.
    pub member: MemberId,
}

/// A version that is being fetched.
#[derive(Debug, Clone)]
enum Missing {
    /// The version that the coordinator has committed.
    Committed(Download),
    /// The version that it prepares.
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
    /// The pending version that it reported.
    pending: Option<VersionId>,
}

/// One member's replica.
#[derive(Debug)]
pub(crate) struct Replica {
    lease: LeaseParameters,
    state: StoredState,
    persistence: Persistence,
    leased_until: Duration,
    coordinator: Option<CoordinatorRef>,
    renewal_count: u64,
    sent: BTreeMap<u64, SentRenewal>,
    renew_at: Duration,
    missing: Option<Missing>,
    reported: ActiveVersions,
    last_event: Option<Event>,
}

impl Replica {
    /// Starts with the state that was stored.
    pub(crate) fn new(lease: LeaseParameters, state: StoredState) -> Replica {
        Replica {
            lease,
            state,
            persistence: Persistence::default(),
            leased_until: Duration::ZERO,
            coordinator: None,
            renewal_count: 0,
            sent: BTreeMap::new(),
            renew_at: Duration::ZERO,
            missing: None,
            reported: ActiveVersions::Unleased,
            last_event: None,
        }
    }

    /// The versions that it stores.
    pub(crate) fn state(&self) -> &StoredState {
        &self.state
    }

    /// The coordinator that it renews its lease with.
    pub(crate) fn coordinator(&self) -> Option<CoordinatorRef> {
        self.coordinator
    }

    /// Sends no more renewals until a coordinator announces itself.
    pub(crate) fn forget_coordinator(&mut self) {
        self.coordinator = None;
    }

    /// When [`Replica::timer_fired`] is to be called next.
    pub(crate) fn next_timer(&self) -> Duration {
        let lease = if self.reported == ActiveVersions::Unleased { Duration::MAX } else { self.leased_until };
        if self.coordinator.is_some() { self.renew_at.min(lease) } else { lease }
    }

    /// The versions that it may apply at this time.
    pub(crate) fn active_versions(&self, now: Duration) -> ActiveVersions {
        let committed = self.state.committed.number();
        match &self.state.pending {
            _ if now >= self.leased_until => ActiveVersions::Unleased,
            None => ActiveVersions::Single(committed),
            Some(pending) => ActiveVersions::Joint(committed, pending.number()),
        }
    }

    /// The committed configuration, or its intersection with the pending one.
    pub(crate) fn effective_configuration(&self) -> EffectiveConfiguration {
        let committed = self.state.committed.configuration();
        match &self.state.pending {
            None => EffectiveConfiguration::single(committed),
            Some(pending) => EffectiveConfiguration::intersect(committed, pending.configuration()),
        }
    }

    /// Renews the lease when it is time, and reports a lease that has expired.
    pub(crate) fn timer_fired(&mut self, cx: &mut Context<impl Host>) {
        if cx.now >= self.renew_at {
            self.renew(cx);
        }
        self.report_active_versions(cx);
    }

    /// All states up to this stamp are on disk.
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

    /// Logs an event, once until another one happens.
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
        // A state that is not on disk yet could be lost in a crash: it is not reported.
        if !self.persistence.is_complete() {
            return;
        }
        self.renewal_count += 1;
        let pending = self.state.pending_id();
        self.sent.insert(self.renewal_count, SentRenewal { at: cx.now, pending });
        while self.sent.len() > MAX_UNANSWERED_RENEWALS {
            self.sent.pop_first();
        }
        let renewal = Renewal { count: self.renewal_count, committed: self.state.committed.id(), pending };
        cx.send(coordinator.member, Message::Renew { token: coordinator.token, renewal });
    }

    /// The coordinator answers a renewal: the lease counts from when that was sent.
    pub(crate) fn renewed(&mut self, cx: &mut Context<impl Host>, sender: CoordinatorRef, renewal: Renewal) {
        if self.coordinator != Some(sender) || sender.token != self.state.newest_token {
            return;
        }
        let Some(sent) = self.sent.get(&renewal.count).copied() else { return };
        self.advance_to(cx, renewal.committed);
        self.drop_abandoned(cx, &sent, &renewal);
        // The lease is on exactly the versions that the coordinator knows this replica to have.
        if self.state.committed.id() == renewal.committed && self.state.pending_id() == renewal.pending {
            self.leased_until = self.leased_until.max(sent.at + self.lease.duration);
            self.sent = self.sent.split_off(&(renewal.count + 1));
        }
        self.report_active_versions(cx);
    }

    /// Drops a pending version that a coordinator was told of and does not know: it was never durable. An answer to a renewal
    /// from before it was prepared says nothing of it.
    fn drop_abandoned(&mut self, cx: &mut Context<impl Host>, sent: &SentRenewal, renewal: &Renewal) {
        let pending = self.state.pending_id();
        let told = pending.is_some() && sent.pending == pending;
        if told && renewal.pending.is_none() && self.state.committed.id() == renewal.committed {
            self.state.pending = None;
            self.persist(cx);
        }
    }

    /// The version with this number has another hash here: two histories, which nothing can merge.
    fn conflicts_with(&mut self, cx: &mut Context<impl Host>, announced: VersionId) -> bool {
        let local = self.state.committed.id();
        let conflict = local.number == announced.number && local.hash != announced.hash;
        if conflict {
            self.log_once(cx, Event::LocalHistoryConflict { local, announced });
        }
        conflict
    }

    /// Starts to fetch a version, unless it is being fetched already.
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
