//! Several controllers, each a process of its own, and faults between them.

mod editions;
mod helpers;
mod takeovers;
