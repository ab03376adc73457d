//! A member of several controllers on sockets and disks (`docs/design/leader-election.md`). All decisions are
//! [`grebespool_leader_election`]'s; here are the state folder ([`Store`]), the sealed streams between members ([`seal`]),
//! and the task that runs one ([`run`]).

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod accord;
mod accounts;
mod disk;
mod duties;
mod keys;
mod listen;
mod operator;
mod run;
pub mod seal;
mod store;
mod ways;

pub use accord::LIMITS;
pub use accounts::{Audit, audit};
pub use duties::{Accounting, Fleetwork};
pub use keys::Keys;
pub use operator::{Answer, DutyOrder, Editions, Question, Shown, SiteAsked, ask};
pub use run::{Change, Running, Unrunnable, run};
pub use store::{Store, Unusable, first_roster, fleet_id, seat_id};
