//! Leader election among the controllers of one fleet (`docs/design/leader-election.md`): which member leads in which
//! term, who may vote, and what state the next leader starts from.
//!
//! The crate does no I/O and reads no clock. The caller passes each event to a [`Member`], with the time by that member's
//! clock; the member acts through its [`Host`].
//!
//! Regardless of the clocks, a term has at most one leader, and proxies reject orders of a term older than the newest one
//! they have seen. While the clocks stay within the configured drift, at most one member holds the leader lease at a time.

mod durable_outbox;
mod error;
mod event;
mod host;
mod lease_parameters;
mod member;
mod membership;
mod message;
mod snapshot;
mod status;

pub use durable_outbox::DurableOutbox;
pub use error::MembershipError;
pub use event::{ElectionEvent, StepDownReason};
pub use host::{HardState, Host};
pub use lease_parameters::{LeaseParameters, drift_adjusted_wait};
pub use member::Member;
pub use membership::{MemberId, Membership, MembershipVersion, Voter};
pub use message::Message;
pub use snapshot::{
    AppliedOrders, EndpointIndex, EndpointPhase, EndpointRecord, KnownDrain, LearnedWeight,
    MAX_SNAPSHOT_BYTES, PoolRecord, ProxyBinding, Snapshot, SnapshotError,
};
pub use status::{MemberRole, Status};
