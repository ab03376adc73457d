//! Distribution of configuration by scope: from a quorum of control machines over relays in each zone to planners
//! (`docs/design/config-distribution.md`).
//!
//! No I/O and no clock: the caller reports events to a [`ControlMachine`] and a [`Planner`] with the time of their own
//! clocks, and takes what is to be sent and written.
//!
//! Guarantees, whatever clocks do: a scope has one history, and nobody goes back in it or applies a link over a gap. With
//! clocks within the stated drift, of all planners that apply a scope at one time some version is among those that each of
//! them applies.
//!
//! It never decides who leads, judges servers, or waits for a single planner longer than its lease.

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
    ChainError, LINKS_KEPT, Link, Position, Priority, Revision, ScopeChain, ScopeId, ScopeState, Snapshot,
    Step, Version,
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
