//! Writes of a replica's state, and messages that wait for them.

use crate::context::Context;
use crate::host::Host;
use crate::message::Message;
use crate::version::StoredState;
use grebespool_leader_election::MemberId;

/// A message that may leave once a write is on disk.
#[derive(Debug)]
struct Deferred {
    stamp: u64,
    to: MemberId,
    message: Message,
}

/// Counts writes, and defers messages that promise what is not on disk yet: a crash would take the promise back.
#[derive(Debug, Default)]
pub(super) struct Persistence {
    started: u64,
    completed: u64,
    deferred: Vec<Deferred>,
}

impl Persistence {
    /// Whether all that was handed to the disk is there.
    pub(super) fn is_complete(&self) -> bool {
        self.completed >= self.started
    }

    /// Starts to write this state.
    pub(super) fn start(&mut self, host: &mut impl Host, state: &StoredState) {
        self.started += 1;
        host.persist(state, self.started);
    }

    /// All writes up to this stamp are on disk.
    pub(super) fn completed(&mut self, cx: &mut Context<impl Host>, stamp: u64) {
        self.completed = self.completed.max(stamp);
        let completed = self.completed;
        let (ready, deferred): (Vec<Deferred>, Vec<Deferred>) =
            std::mem::take(&mut self.deferred).into_iter().partition(|deferred| deferred.stamp <= completed);
        self.deferred = deferred;
        for Deferred { to, message, .. } in ready {
            cx.send(to, message);
        }
    }

    /// Sends a message once all that was handed to the disk so far is there.
    pub(super) fn send_when_complete(&mut self, cx: &mut Context<impl Host>, to: MemberId, message: Message) {
        if self.is_complete() {
            cx.send(to, message);
        } else {
            self.deferred.push(Deferred { stamp: self.started, to, message });
        }
    }
}
