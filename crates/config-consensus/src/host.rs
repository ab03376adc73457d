//! The environment of a [`crate::ConsensusNode`]: network, disk, journal and log.

use crate::active_versions::ActiveVersions;
use crate::message::{Message, ProposalOutcome};
use crate::version::{DecodeError, ProposalId, StoredState, VersionId};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::FencingToken;
use std::fmt;

/// Carries out what a node asks for.
pub trait Host {
    /// Sends a message to another member. Delivery is not assumed: unanswered messages are retransmitted.
    fn send(&mut self, to: MemberId, message: Message);
    /// Starts to write this state to disk; [`crate::ConsensusNode::persisted`] reports its stamp once it is there.
    fn persist(&mut self, state: &StoredState, stamp: u64);
    /// Starts a step of the journal with this content. [`crate::ConsensusNode::journal_durable`] reports that a quorum has it,
    /// [`crate::ConsensusNode::journal_write_rejected`] that the step could not be started.
    fn write_journal(&mut self, token: FencingToken, content: Vec<u8>);
    /// Marks the step of the journal as finished; [`crate::ConsensusNode::journal_step_finished`] reports that a quorum knows.
    fn finish_journal_step(&mut self, token: FencingToken);
    /// The versions that this member applies have changed; they hold while its lease runs.
    fn active_versions_changed(&mut self, active: ActiveVersions);
    /// A proposal of this member is decided.
    fn proposal_decided(&mut self, id: ProposalId, outcome: ProposalOutcome);
    /// Records an event in the log.
    fn log(&mut self, event: &Event);
}

/// Something for the operators' log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This replica has another content under a number than the coordinator has: it gets no lease.
    LocalHistoryConflict {
        /// What this replica stores.
        local: VersionId,
        /// What the coordinator announced.
        announced: VersionId,
    },
    /// A replica has another content under a number than this coordinator has: it is granted no lease.
    ReplicaHistoryConflict {
        /// The replica.
        replica: MemberId,
        /// What the replica reported.
        reported: VersionId,
        /// What this coordinator has committed.
        committed: VersionId,
    },
    /// The last record of the journal is not a version header.
    UnreadableJournal(postcard::Error),
    /// Fetched bytes are not the version that was asked for.
    FetchedVersionRejected(DecodeError),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::LocalHistoryConflict { local, announced } => write!(
                f,
                "configuration version {} is {} here and {} at the coordinator: two histories; this member gets no lease",
                local.number, local.hash, announced.hash
            ),
            Event::ReplicaHistoryConflict { replica, reported, committed } => write!(
                f,
                "configuration version {} is {} here and {} at member {replica:016x}: two histories; it is granted no lease",
                committed.number, committed.hash, reported.hash
            ),
            Event::UnreadableJournal(error) => {
                write!(f, "cannot read the configuration journal's last record: {error}")
            }
            Event::FetchedVersionRejected(error) => {
                write!(f, "rejects the fetched bytes of a configuration version: {error}")
            }
        }
    }
}
