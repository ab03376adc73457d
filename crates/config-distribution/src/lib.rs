//! Distribution of configuration by scope: from a quorum of control machines over relays in each zone to planners
//! (`docs/design/config-distribution.md`).
//!
//! The crate does no I/O and reads no clock: the caller passes events to a [`ControlMachine`] or a [`Planner`] with the
//! time of that node's clock, and takes from it the messages to send and the data to write.
//!
//! Guarantees that hold for any behaviour of the clocks: a scope has one history, and a node neither goes back in this
//! history nor applies a link over a gap. While all clocks stay within the configured drift, the planners that apply a
//! scope at the same time have at least one version in common among those that each of them applies.
//!
//! The crate doesn't elect the leader, doesn't assess servers, and never waits for a single planner for longer than the
//! planner's lease.

mod budget;
mod chain;
mod control;
mod digest;
mod distributor;
mod message;
mod planner;
mod rendezvous;
mod replica;
mod settings;
mod store;
mod subscriber;

pub use budget::{Rate, TokenBucket};
pub use chain::{
    ChainError, Link, MAX_RETAINED_LINKS, Position, Priority, Revision, ScopeChain, ScopeId, ScopeState,
    Snapshot, Step, Version,
};
pub use control::{Authority, ControlMachine};
pub use digest::Digest;
pub use distributor::{Distributor, GrantAuthority, GrantLimits};
pub use message::{
    Downward, LogEntry, LogMessage, LogPosition, LogRecord, Message, Proposal, ProposalKey, Refusal,
    ScopeStatus, SessionId, SnapshotPart, Term, Upward,
};
pub use planner::{ActiveVersions, Planner, PlannerConfig, PlannerEvent, RejectCause, RejectionCounts};
pub use rendezvous::{candidates, is_relay, relay_order, relays_wanted};
pub use replica::{LogReplica, LogWrite, StoredLog};
pub use settings::{Settings, SettingsError};
pub use store::Store;
pub use subscriber::{SessionPolicy, Subscriber};
