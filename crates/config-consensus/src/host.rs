//! The environment of a [`crate::ConsensusNode`]: network, disk, journal and log.

use crate::active_versions::ActiveVersions;
use crate::message::{Message, ProposalOutcome};
use crate::version::{DecodeError, ProposalId, StoredState, VersionId};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::FencingToken;
use std::fmt;

/// Operations that a node calls out to.
pub trait Host {
    /// Sends a message to another member. A message may be lost: the node retransmits those that are not answered.
    fn send(&mut self, to: MemberId, message: Message);
    /// Starts to write this state to disk; [`crate::ConsensusNode::persisted`] reports `stamp` when the write completed.
    fn persist(&mut self, state: &StoredState, stamp: u64);
    /// Starts a step of the journal with this content. [`crate::ConsensusNode::journal_durable`] reports that a quorum has
    /// stored the step, [`crate::ConsensusNode::journal_write_rejected`] that the step could not be started.
    fn write_journal(&mut self, token: FencingToken, content: Vec<u8>);
    /// Marks the journal's step as finished; [`crate::ConsensusNode::journal_step_finished`] reports that a quorum stored
    /// the mark.
    fn finish_journal_step(&mut self, token: FencingToken);
    /// Reports the versions that this member applies now, until its lease expires or they change again.
    fn active_versions_changed(&mut self, active: ActiveVersions);
    /// Reports the outcome of a proposal of this member.
    fn proposal_decided(&mut self, id: ProposalId, outcome: ProposalOutcome);
    /// Records an event in the log.
    fn log(&mut self, event: &Event);
}

/// An event for the operators' log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This replica and the coordinator have different contents under one version number: this replica gets no lease.
    LocalHistoryConflict {
        /// The version that this replica stores.
        local: VersionId,
        /// The version that the coordinator announced.
        announced: VersionId,
    },
    /// A replica and this coordinator have different contents under one version number: the replica gets no lease.
    ReplicaHistoryConflict {
        /// The replica.
        replica: MemberId,
        /// The version that the replica reported.
        reported: VersionId,
        /// The version that this coordinator has committed.
        committed: VersionId,
    },
    /// The last record of the journal is not a version header.
    UnreadableJournal(postcard::Error),
    /// Fetched bytes are not the requested version.
    FetchedVersionRejected(DecodeError),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::LocalHistoryConflict { local, announced } => write!(
                f,
                "running without a lease: configuration version {} is {} here and {} at the coordinator, two histories",
                local.number, local.hash, announced.hash
            ),
            Event::ReplicaHistoryConflict { replica, reported, committed } => write!(
                f,
                "not granting a lease: configuration version {} is {} here and {} at member {replica:016x}, two histories",
                committed.number, committed.hash, reported.hash
            ),
            Event::UnreadableJournal(error) => {
                write!(f, "cannot read the configuration journal's last record: {error}")
            }
            Event::FetchedVersionRejected(error) => {
                write!(f, "rejecting the fetched bytes of a configuration version: {error}")
            }
        }
    }
}
