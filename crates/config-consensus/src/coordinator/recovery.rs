//! Recovery of the version in the journal's last record, by a new coordinator.

use super::{Coordinator, PendingVersion, Phase};
use crate::context::Context;
use crate::host::{Event, Host};
use crate::message::Chunk;
use crate::transfer::Download;
use crate::version::{ConfigVersion, ContentHash, StoredState, VersionHeader};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::StepRecord;

/// The search for a version that the journal describes and this member does not have.
#[derive(Debug, Clone)]
pub(super) struct Recovery {
    /// Transfer of the version, or of its parent.
    pub download: Download,
    /// The header in the journal's last record.
    pub header: VersionHeader,
    /// True if the version was activated, so that its parent is not needed.
    pub activated: bool,
}

/// The version of a header and its parent, each if it is known.
struct Found {
    version: Option<ConfigVersion>,
    parent: Option<ConfigVersion>,
}

impl Recovery {
    /// Finds the version among the known ones, or derives it from its parent.
    fn find(&self, known: &[&ConfigVersion]) -> Found {
        let with_hash =
            |hash: ContentHash| known.iter().copied().find(|version| version.hash == hash).cloned();
        let parent = with_hash(self.header.parent);
        let derived = || parent.as_ref()?.apply_header(&self.header);
        let version = with_hash(self.header.hash).or_else(derived);
        Found { version, parent }
    }
}

impl Coordinator {
    /// Continues with the version in the journal's last record.
    pub(super) fn recover(&mut self, cx: &mut Context<impl Host>, stored: &StoredState, last: &StepRecord) {
        let header: VersionHeader = match postcard::from_bytes(&last.content) {
            Ok(header) => header,
            Err(error) => return cx.host().log(&Event::UnreadableJournal(error)),
        };
        // A version that this member applies alone was activated.
        let activated = last.completed || stored.committed.hash == header.hash;
        let download = Download::new(header.hash);
        self.phase = Phase::Recovering(Recovery { download, header, activated });
        let known: Vec<&ConfigVersion> = [&stored.committed].into_iter().chain(&stored.pending).collect();
        self.try_finish_recovery(&known);
    }

    /// Ends recovery if the version is among the known ones, or can be derived from them.
    fn try_finish_recovery(&mut self, known: &[&ConfigVersion]) {
        let Phase::Recovering(recovery) = &mut self.phase else { return };
        let known: Vec<&ConfigVersion> = known.iter().copied().chain([&self.committed]).collect();
        match recovery.find(&known) {
            Found { version: Some(version), .. } if recovery.activated => {
                self.committed = version;
                self.phase = Phase::Idle;
                self.must_finish_journal_step = !self.journal_ready;
            }
            Found { version: Some(version), parent: Some(parent) } => {
                let pending = PendingVersion::recovered(version, recovery.header.clone());
                self.committed = parent;
                self.phase = Phase::Preparing(Box::new(pending));
            }
            // The parent is fetched first: the version may be derivable from it.
            Found { parent: None, .. }
                if !recovery.activated && recovery.download.hash != recovery.header.parent =>
            {
                recovery.download = Download::new(recovery.header.parent);
            }
            _ => {}
        }
    }

    /// Handles a chunk, which may belong to the version that is recovered or to its parent.
    pub(super) fn chunk_recovered(&mut self, cx: &mut Context<impl Host>, from: MemberId, chunk: &Chunk) {
        let Phase::Recovering(recovery) = &mut self.phase else { return };
        if recovery.download.hash != chunk.hash {
            return;
        }
        let Some(bytes) = recovery.download.receive(chunk) else {
            let request = recovery.download.request();
            return cx.send(from, request);
        };
        match ConfigVersion::decode(&bytes, chunk.hash) {
            Ok(version) => self.version_recovered(cx, version),
            Err(error) => cx.host().log(&Event::FetchedVersionRejected(error)),
        }
    }

    /// Continues with a fetched version. The parent is the committed version until the version after it is received.
    fn version_recovered(&mut self, cx: &mut Context<impl Host>, version: ConfigVersion) {
        self.try_finish_recovery(&[&version]);
        if let Phase::Recovering(recovery) = &mut self.phase {
            self.committed = version;
            recovery.download = Download::new(recovery.header.hash);
            let request = recovery.download.request();
            cx.broadcast(&request);
        }
    }
}
