//! Work that one member of a fleet at a time does on behalf of all (`docs/design/singleton-tasks.md`). No I/O and no clock: a
//! [`Duties`] is told what happens and when by its own clock, and asks its [`Host`] to say, to write and to work.
//!
//! Whatever clocks do: a token has at most one owner, tokens of a duty only rise, and what a majority knows to be begun
//! is what the next owner goes on with. With clocks within the stated drift a duty has at most one owner at a time.
//! Clocks beyond it are caught where the effect is, by its [`Fence`].

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod account;
mod duties;
mod fence;
mod owner;
mod register;
mod share;
mod steward;
mod token;
mod work;

pub use account::{Account, Counts, Ledger, NO_ROUTE, Rows, Tally};
pub use duties::{Duties, Host};
pub use fence::{Fence, Offer};
pub use owner::Lost;
pub use register::{Cell, LateOwner, MOST_CONTENT, Record};
pub use share::share;
pub use steward::{Refused, Shown};
pub use token::{Duty, LONGEST_HOLD, Terms, Token};
pub use work::{Claims, Word};
