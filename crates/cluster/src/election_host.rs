//! The host of the leader election, and the requests that the election makes during a call.

use crate::writer::DiskWriter;
use grebespool_leader_election::{
    ElectionEvent, HardState, Host, MemberId, Message, Snapshot, StepDownReason,
};
use tokio::sync::watch;
use tracing::{info, warn};

/// The role of this member in the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum Role {
    /// The member leads in this term, and starts with the parts of the last leader's snapshot that are not outdated.
    Leader {
        /// The term.
        term: u64,
        /// The snapshot.
        snapshot: Option<Box<Snapshot>>,
    },
    /// The member follows, and must not send orders to proxies.
    Follower,
}

impl Role {
    /// Returns the name of the role, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Role::Leader { .. } => "leader",
            Role::Follower => "follower",
        }
    }
}

/// The host of the election: collects messages and a won election, and executes other requests at once.
pub(crate) struct ElectionHost {
    pub disk: DiskWriter,
    pub outbox: Vec<(MemberId, Message)>,
    pub role: watch::Sender<Role>,
    /// The term in which this member was elected during the current call.
    pub elected: Option<u64>,
}

impl ElectionHost {
    pub(crate) fn new(disk: DiskWriter, role: watch::Sender<Role>) -> ElectionHost {
        ElectionHost { disk, outbox: vec![], role, elected: None }
    }
}

impl Host for ElectionHost {
    fn persist(&mut self, state: &HardState) {
        self.disk.write_election(state.clone());
    }
    fn send(&mut self, to: MemberId, message: Message) {
        self.outbox.push((to, message));
    }
    fn become_leader(&mut self, term: u64) {
        self.elected = Some(term);
    }
    fn step_down(&mut self, term: u64, reason: StepDownReason) {
        warn!(term, %reason, "stepping down as leader");
        self.elected = None;
        self.role.send_replace(Role::Follower);
    }
    fn log(&mut self, event: ElectionEvent) {
        info!("{event}");
    }
}
