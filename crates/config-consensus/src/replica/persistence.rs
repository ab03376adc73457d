//! Writes of a replica's state to disk, and messages that wait for these writes.

use crate::context::Context;
use crate::host::Host;
use crate::message::Message;
use crate::version::StoredState;
use grebespool_leader_election::MemberId;

/// A message that may be sent once a write is on disk.
#[derive(Debug)]
struct Deferred {
    stamp: u64,
    to: MemberId,
    message: Message,
}

/// Counts writes, and defers messages that confirm a state until it is on disk: a crash before that would lose the state.
#[derive(Debug, Default)]
pub(super) struct Persistence {
    started: u64,
    completed: u64,
    deferred: Vec<Deferred>,
}

impl Persistence {
    /// Returns true if all started writes are on disk.
    pub(super) fn is_complete(&self) -> bool {
        self.completed >= self.started
    }

    /// Starts to write this state.
    pub(super) fn start(&mut self, host: &mut impl Host, state: &StoredState) {
        self.started += 1;
        host.persist(state, self.started);
    }

    /// Records that all writes up to this stamp are on disk, and sends the messages that waited for them.
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

    /// Sends a message once all writes that are started so far are on disk.
    pub(super) fn send_when_complete(&mut self, cx: &mut Context<impl Host>, to: MemberId, message: Message) {
        if self.is_complete() {
            cx.send(to, message);
        } else {
            self.deferred.push(Deferred { stamp: self.started, to, message });
        }
    }
}
