//! A member of a fleet of controllers, with its sockets and its disk (`docs/design/leader-election.md`).
//!
//! A member runs three state machines, which make all decisions: the leader election ([`grebespool_leader_election`]),
//! singleton tasks ([`grebespool_singleton_tasks`]) and the shared configuration ([`grebespool_config_consensus`]). This
//! crate adds the state folder ([`Store`]), authenticated streams between members ([`transport`]), the commands of operators,
//! and the loops that run everything on one thread ([`run_member`]).
//!
//! The caller must keep its `LocalSet` running. A member never sends orders to proxies: the caller does, while the member's
//! [`Role`] is leader.

mod accounts;
mod client;
mod commands;
mod configuration_host;
mod core;
mod dispatch;
mod election_host;
mod endpoint;
mod ids;
mod keys;
mod listener;
mod member;
mod peer_link;
mod request;
mod snapshots;
mod store;
mod task_host;
pub mod transport;
mod writer;

pub use accounts::{AccountAudit, audit_accounts};
pub use client::send_request;
pub use configuration_host::LIMITS;
pub use election_host::Role;
pub use ids::{fleet_id, initial_membership, voter_id};
pub use keys::{KeyFileError, Keys};
pub use member::{Member, MemberConfig, StartError, run_member};
pub use request::{ConfigurationStatus, MemberStatus, Request, Response, SiteRequest, TaskOrder};
pub use store::{RecordError, Store, StoreError, StoredEntries};
pub use task_host::{AccountSettings, TaskSettings};
