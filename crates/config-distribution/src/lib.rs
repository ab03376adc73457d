//! Distribution of configuration by scope: from a quorum of control machines over relays in each zone to planners
//! (`docs/design/config-distribution.md`). No I/O and no clock: a [`ControlMachine`] and a [`Planner`] are told what happens and
//! when by their own clocks, and give what is to be sent and written.
//!
//! Whatever clocks do: a scope has one history, and nobody goes back in it or applies a link over a gap. With clocks within
//! the stated drift, of all planners that act on a scope at one time some version is among those that each of them acts by.
//!
//! What it never does: it does not decide who leads, judge servers, or wait for a single planner longer than its lease.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through
#![warn(missing_docs)]

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
pub use distributor::{Distributor, Grantable, Limits};
pub use message::{
    Control, Downward, Entry, Fact, Message, Proposal, Record, RecordId, Refusal, SessionId, SnapshotPart,
    Term, Upward,
};
pub use planner::{Acts, Planner, PlannerConfig, Refused};
pub use rendezvous::{candidates, is_relay, relay_order, relays_wanted};
pub use replica::{Durable, Replica, Write};
pub use settings::{BadSettings, Settings};
pub use store::Store;
pub use subscriber::{Manner, Subscriber};
