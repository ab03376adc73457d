//! A member of a group of controllers on sockets and disks (`docs/design/leader-election.md`).
//!
//! It runs three state machines and decides nothing itself: the leader election ([`grebespool_leader_election`]), singleton tasks
//! ([`grebespool_singleton_tasks`]) and the shared configuration ([`grebespool_config_consensus`]). Here are the state folder
//! ([`Store`]), authenticated streams between members ([`transport`]), the commands of operators, and the tasks that run all
//! of it on one thread ([`run_member`]).
//!
//! It assumes that the caller's `LocalSet` keeps running, and never orders proxies itself: the caller does, while its
//! [`Role`] says so.

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
