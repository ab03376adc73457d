//! Agreement of a fleet's members on one shared configuration (`docs/design/config-consensus.md`).
//!
//! A [`ConsensusNode`] stores configuration versions as a replica, proposes changes, and coordinates while it owns the
//! journal. The node has no I/O and no clock: its caller reports events with the time of a local monotonic clock, and its
//! [`Host`] does what the node requests.
//!
//! Guarantees that hold whatever clocks do: a version number has one content, and the next coordinator continues with a
//! version that is durable on a quorum. While clocks stay within the stated drift, no member applies a version alone while
//! another still applies the preceding version alone; in between, members apply the intersection of both
//! ([`EffectiveConfiguration::intersect`]).
//!
//! The node never elects the owner of the journal, and never waits for a member longer than that member's lease.

mod active_versions;
mod configuration;
mod context;
mod coordinator;
mod host;
mod message;
mod node;
mod proposer;
mod replica;
mod settings;
mod transfer;
mod version;

pub use active_versions::ActiveVersions;
pub use configuration::{
    Change, Configuration, EffectiveConfiguration, Limit, Rack, Route, Server, ServerState, ValidationError,
    validate,
};
pub use host::{Event, Host};
pub use message::{Chunk, Message, Proposal, ProposalBody, ProposalOutcome, Renewal};
pub use node::{ConsensusNode, NodeStatus};
pub use proposer::ProposeError;
pub use replica::CoordinatorRef;
pub use settings::{ConsensusSettings, LeaseParameters, ValidationRules};
pub use version::{
    ConfigVersion, ContentHash, DecidedProposals, DecodeError, MAX_VERSION_BYTES, ProposalId, StoredState,
    VersionBody, VersionHeader, VersionId,
};
