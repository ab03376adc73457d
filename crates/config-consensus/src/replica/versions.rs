//! The part of a replica that prepares, activates and fetches the coordinator's versions.

use super::{CoordinatorRef, Missing, Replica};
use crate::context::Context;
use crate::host::{Event, Host};
use crate::message::{Chunk, Message};
use crate::transfer::Download;
use crate::version::{ConfigVersion, VersionHeader, VersionId};

impl Replica {
    /// Returns true if a message is from the newest coordinator; messages with an older token are ignored.
    fn accept_coordinator(&mut self, cx: &mut Context<impl Host>, sender: CoordinatorRef) -> bool {
        if sender.token < self.state.newest_token {
            return false;
        }
        if sender.token > self.state.newest_token {
            // Renewals that were sent to the former coordinator must not extend a lease of this one.
            self.sent_renewals.clear();
            self.state.newest_token = sender.token;
            self.persist(cx);
        }
        if self.coordinator != Some(sender) {
            self.coordinator = Some(sender);
            self.renew_at = cx.now;
            self.missing = None;
        }
        true
    }

    /// Handles an announcement of the coordinator and its committed version.
    pub(crate) fn coordinator_announced(
        &mut self,
        cx: &mut Context<impl Host>,
        sender: CoordinatorRef,
        committed: VersionId,
    ) {
        if !self.accept_coordinator(cx, sender) || self.conflicts_with(cx, committed) {
            return;
        }
        self.advance_to(cx, committed);
        let renew_interval = self.lease.renew_interval;
        if cx.now + renew_interval > self.renew_at + renew_interval / 2 {
            self.renew(cx);
        }
    }

    /// Handles the activation of a version, which is applied alone from now on.
    pub(crate) fn activate(
        &mut self,
        cx: &mut Context<impl Host>,
        sender: CoordinatorRef,
        committed: VersionId,
    ) {
        if self.accept_coordinator(cx, sender) && !self.conflicts_with(cx, committed) {
            self.advance_to(cx, committed);
        }
    }

    /// Commits the pending version if it has this id, or fetches the version if it is newer than the committed one.
    pub(super) fn advance_to(&mut self, cx: &mut Context<impl Host>, committed: VersionId) {
        if let Some(pending) = self.state.pending.take_if(|pending| pending.id() == committed) {
            self.state.committed = pending;
            self.persist(cx);
        } else if self.state.committed.number() < committed.number {
            self.fetch(cx, Missing::Committed(Download::new(committed.hash)));
        }
        self.report_active_versions(cx);
    }

    /// Stores a version that the coordinator prepares beside the committed one; the intersection of both is applied.
    pub(crate) fn prepare(
        &mut self,
        cx: &mut Context<impl Host>,
        sender: CoordinatorRef,
        header: VersionHeader,
    ) {
        if !self.accept_coordinator(cx, sender) || self.conflicts_with(cx, header.id()) {
            return;
        }
        if header.number <= self.state.committed.number() {
            return;
        }
        let pending = self.state.pending_id();
        if pending == Some(header.id()) {
            return self.acknowledge_pending(cx);
        }
        // A version is prepared only after its parent was activated.
        if pending.is_some_and(|pending| pending.hash == header.parent) {
            self.advance_to(cx, VersionId { number: header.number - 1, hash: header.parent });
        }
        if self.state.committed.hash != header.parent {
            return self.fetch(cx, Missing::Committed(Download::new(header.parent)));
        }
        match self.state.committed.apply_header(&header) {
            Some(version) => self.set_pending(cx, version),
            None => self.fetch(cx, Missing::Pending(Download::new(header.hash), header)),
        }
    }

    fn set_pending(&mut self, cx: &mut Context<impl Host>, version: ConfigVersion) {
        self.missing = None;
        self.state.pending = Some(version);
        self.persist(cx);
        self.acknowledge_pending(cx);
    }

    /// Acknowledges the pending version to the coordinator, once it is on disk.
    fn acknowledge_pending(&mut self, cx: &mut Context<impl Host>) {
        if let (Some(coordinator), Some(pending)) = (self.coordinator, self.state.pending_id()) {
            let message = Message::Prepared { token: coordinator.token, pending };
            self.persistence.send_when_complete(cx, coordinator.member, message);
        }
        self.report_active_versions(cx);
    }

    /// Handles a chunk of fetched bytes, and requests the next one at once.
    pub(crate) fn chunk_received(&mut self, cx: &mut Context<impl Host>, chunk: &Chunk) {
        let Some(missing) = &mut self.missing else { return };
        if missing.download().hash != chunk.hash {
            return;
        }
        let Some(bytes) = missing.download().receive(chunk) else {
            let request = missing.download().request();
            if let Some(coordinator) = self.coordinator {
                cx.send(coordinator.member, request);
            }
            return;
        };
        let missing = self.missing.take();
        match ConfigVersion::decode(&bytes, chunk.hash) {
            Ok(version) => self.apply_fetched(cx, version, missing),
            Err(error) => cx.host().log(&Event::FetchedVersionRejected(error)),
        }
        self.report_active_versions(cx);
    }

    fn apply_fetched(
        &mut self,
        cx: &mut Context<impl Host>,
        version: ConfigVersion,
        missing: Option<Missing>,
    ) {
        match missing {
            Some(Missing::Committed(_)) => {
                if self.is_newer(&version) {
                    self.state.committed = version;
                    self.state.pending = None;
                    self.persist(cx);
                }
                self.renew(cx);
            }
            Some(Missing::Pending(_, header))
                if self.state.committed.hash == header.parent && version.number() == header.number =>
            {
                self.set_pending(cx, version);
            }
            _ => {}
        }
    }
}
