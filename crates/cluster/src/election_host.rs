//! What the leader election asks for during a call.

use crate::writer::DiskWriter;
use grebespool_leader_election::{
    ElectionEvent, HardState, Host, MemberId, Message, Snapshot, StepDownReason,
};
use tokio::sync::watch;
use tracing::{info, warn};

/// What this member does for the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum Role {
    /// It leads in this term, and starts with the last leader's snapshot, as far as that still holds.
    Leader {
        /// The term.
        term: u64,
        /// The snapshot.
        snapshot: Option<Box<Snapshot>>,
    },
    /// It follows, and orders nothing.
    Follower,
}

impl Role {
    /// Its name, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Role::Leader { .. } => "leader",
            Role::Follower => "follower",
        }
    }
}

/// Collects messages, and hands the rest on at once.
pub(crate) struct ElectionHost {
    pub disk: DiskWriter,
    pub outbox: Vec<(MemberId, Message)>,
    pub role: watch::Sender<Role>,
    /// The term in which this member was elected during the call.
    pub elected: Option<u64>,
}

impl ElectionHost {
    pub(crate) fn new(disk: DiskWriter, role: watch::Sender<Role>) -> ElectionHost {
        ElectionHost { disk, outbox: vec![], role, elected: None }
    }
}

impl Host for ElectionHost {
    fn persist(&mut self, kept: &HardState) {
        self.disk.write_election(kept.clone());
    }
    fn send(&mut self, to: MemberId, message: Message) {
        self.outbox.push((to, message));
    }
    fn become_leader(&mut self, term: u64) {
        self.elected = Some(term);
    }
    fn step_down(&mut self, term: u64, reason: StepDownReason) {
        warn!(term, %reason, "steps down as leader");
        self.elected = None;
        self.role.send_replace(Role::Follower);
    }
    fn log(&mut self, event: ElectionEvent) {
        info!("{event}");
    }
}
