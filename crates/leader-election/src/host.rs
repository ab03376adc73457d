//! What a member needs from the process that runs it, and the state that has to be durable.

use crate::event::{ElectionEvent, StepDownReason};
use crate::membership::{MemberId, Membership};
use crate::message::Message;
use serde::{Deserialize, Serialize};

/// The state that a member must find again after a crash.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The member that this state belongs to.
    pub id: MemberId,
    /// The fleet that the member belongs to.
    pub fleet: u64,
    /// The newest term that the member has seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub voted_for: Option<MemberId>,
    /// Who may vote, as last received.
    pub membership: Membership,
    /// Rises with each write.
    pub revision: u64,
}

/// The effects that a [`Member`](crate::Member) asks for.
pub trait Host {
    /// Writes the state to disk; [`Member::persisted`](crate::Member::persisted) is to be called once it is durable.
    fn persist(&mut self, state: &HardState);
    /// Sends a message to another member; it may get lost.
    fn send(&mut self, to: MemberId, message: Message);
    /// Starts to issue orders in this term.
    fn become_leader(&mut self, term: u64);
    /// Stops issuing orders.
    fn step_down(&mut self, term: u64, reason: StepDownReason);
    /// Logs an event.
    fn log(&mut self, event: ElectionEvent);
}
