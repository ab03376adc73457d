//! Editions of settings and lists that the members of a fleet agree on (`docs/design/config-consensus.md`). No I/O and no clock: a
//! [`Member`] is told what happens and when by its own clock, and asks its [`Host`] to say, to write and to agree.
//!
//! Whatever clocks do: an edition's number has one content, and what was fixed is what the next convener goes on with.
//! With clocks within the stated drift no member acts by an edition alone while another still acts by the one before it
//! alone; between them both act by what both editions allow ([`View`]).

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod content;
mod convene;
mod edition;
mod fetch;
mod holder;
mod member;
mod terms;
mod word;

pub use content::{Change, Content, Fault, Limit, Rack, Route, Server, State, View, check};
pub use edition::{Blob, Done, Edition, Hash, Kept, MOST_BYTES};
pub use holder::Acts;
pub use member::{Member, Shown};
pub use terms::{Host, Terms};
pub use word::{Body, Manifest, Name, Proposal, Ticket, Word};
