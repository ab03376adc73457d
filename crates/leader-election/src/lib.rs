//! Several controllers over one fleet (`docs/design/leader-election.md`): which of them leads, in which epoch, and what the
//! next one is to know. No I/O and no clock: a [`Member`] is told what happens and when by its own clock, and asks its
//! [`Host`] to write, to say and to plan.
//!
//! What holds whatever the clocks do: an epoch has at most one leader, and proxies obey none older than the newest that
//! they have seen. What needs clocks that keep within the stated drift: no two members plan at the same time.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod member;
mod memory;
mod roster;
mod word;

pub use member::{Host, Kept, Member, Refused, Standing, Status, Terms, Why, outlasting};
pub use memory::{Damaged, Drain, Held, Listed, MOST_BYTES, Memory, Phase, Weight};
pub use roster::{Id, Roster, Seat};
pub use word::Word;
