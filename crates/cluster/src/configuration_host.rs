//! The shared configuration of a member, and the requests that it makes during a call.

use crate::store::Store;
use grebespool_config_consensus::{
    ActiveVersions, ConsensusNode, ConsensusSettings, Event, Host, Message, ProposalId, ProposalOutcome,
    StoredState,
};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::FencingToken;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use tokio::sync::{Notify, oneshot};
use tracing::{info, warn};

/// Names in configurations of the limits that this program knows (`docs/operators/editions.md`).
pub const LIMITS: [&str; 2] = ["power.most_withdrawn", "power.reserve"];

/// A step to be written to the configuration's journal.
pub(crate) struct JournalWrite {
    pub token: FencingToken,
    pub content: Vec<u8>,
}

/// The requests that the configuration makes during a call.
#[derive(Default)]
pub(crate) struct ConfigurationRequests {
    pub outbox: Vec<(MemberId, Message)>,
    /// The newest state to be written, with its stamp.
    pub persist: Option<(StoredState, u64)>,
    pub journal_write: Option<JournalWrite>,
    pub finish_journal_step: bool,
    pub decided: Vec<(ProposalId, ProposalOutcome)>,
}

/// Collects the requests of the configuration.
#[derive(Default)]
pub(crate) struct ConfigurationRecorder(pub ConfigurationRequests);

impl Host for ConfigurationRecorder {
    fn send(&mut self, to: MemberId, message: Message) {
        self.0.outbox.push((to, message));
    }
    fn persist(&mut self, state: &StoredState, stamp: u64) {
        self.0.persist = Some((state.clone(), stamp));
    }
    fn write_journal(&mut self, token: FencingToken, content: Vec<u8>) {
        self.0.journal_write = Some(JournalWrite { token, content });
    }
    fn finish_journal_step(&mut self, _: FencingToken) {
        self.0.finish_journal_step = true;
    }
    fn active_versions_changed(&mut self, active: ActiveVersions) {
        info!(%active, "applying other configuration versions");
    }
    fn proposal_decided(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        self.0.decided.push((id, outcome));
    }
    fn log(&mut self, event: &Event) {
        warn!("{event}");
    }
}

/// The shared configuration of one member.
pub(crate) struct ConfigurationHost {
    pub node: RefCell<ConsensusNode<ConfigurationRecorder>>,
    /// Notified when the node's timer may have changed.
    pub timer: Notify,
    /// Channels to the operators that wait for the outcome of a proposal.
    pub outcome_senders: RefCell<BTreeMap<ProposalId, oneshot::Sender<ProposalOutcome>>>,
}

impl ConfigurationHost {
    /// Creates the configuration with the versions in the state folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be read.
    pub(crate) fn open(
        store: &Store,
        own: MemberId,
        start_count: u32,
        settings: ConsensusSettings,
    ) -> io::Result<ConfigurationHost> {
        let stored = store.read_versions(|error| {
            warn!(%error, "cannot read the stored configuration versions; asking the coordinator for them");
        })?;
        let recorder = ConfigurationRecorder::default();
        let node = ConsensusNode::new(recorder, own, settings, stored, start_count);
        Ok(ConfigurationHost {
            node: RefCell::new(node),
            timer: Notify::new(),
            outcome_senders: RefCell::default(),
        })
    }
}
