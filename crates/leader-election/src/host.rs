//! The interface between a member and the process that runs it, and the state that has to be durable.

use crate::event::{ElectionEvent, StepDownReason};
use crate::membership::{MemberId, Membership};
use crate::message::Message;
use serde::{Deserialize, Serialize};

/// The state that must survive a crash of the member.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The member that this state belongs to.
    pub id: MemberId,
    /// The fleet that the member belongs to.
    pub fleet: u64,
    /// The newest term that the member has seen.
    pub term: u64,
    /// The member that received this member's vote in `term`, if any.
    pub voted_for: Option<MemberId>,
    /// The newest set of voters that the member has received.
    pub membership: Membership,
    /// The number of this write; each write has a higher one.
    pub revision: u64,
}

/// The effects that a [`Member`](crate::Member) asks for.
pub trait Host {
    /// Writes the state to disk. [`Member::persisted`](crate::Member::persisted) must be called once the state is durable,
    /// and [`Member::storage_failed`](crate::Member::storage_failed) if the write fails.
    fn persist(&mut self, state: &HardState);
    /// Sends a message to another member. The message may be lost.
    fn send(&mut self, to: MemberId, message: Message);
    /// Starts issuing orders in this term.
    fn become_leader(&mut self, term: u64);
    /// Stops issuing orders.
    fn step_down(&mut self, term: u64, reason: StepDownReason);
    /// Logs an event.
    fn log(&mut self, event: ElectionEvent);
}
