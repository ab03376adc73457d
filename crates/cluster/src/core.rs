//! The state that the loops of a running member share.

use crate::configuration_host::ConfigurationHost;
use crate::election_host::ElectionHost;
use crate::endpoint::LocalEndpoint;
use crate::peer_link::{EncodedSnapshot, PeerLink};
use crate::request::SiteRequest;
use crate::snapshots::ReceivedSnapshot;
use crate::task_host::TaskHost;
use grebespool_leader_election::{Member as Election, MemberId, Snapshot, SnapshotError, Voter};
use grebespool_singleton_tasks::Counts;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// A leader's snapshot, and the time at which it was received.
pub(crate) struct TimedSnapshot {
    pub snapshot: Snapshot,
    pub received: Instant,
}

/// The state of a running member, shared by its loops on one thread.
///
/// Each state machine is in its own cell. A cell is borrowed for one call, and never across an `await` or while another state
/// machine is called: the call collects its requests, the borrow ends, and `dispatch` executes the requests.
pub(crate) struct Core {
    pub started: Instant,
    pub endpoint: Rc<LocalEndpoint>,
    pub election: RefCell<Election<ElectionHost>>,
    /// Notified when the election's timer may have changed.
    pub election_timer: Notify,
    /// Singleton tasks, if the settings contain them.
    pub tasks: Option<TaskHost>,
    /// The shared configuration, if the settings contain it.
    pub configuration: Option<ConfigurationHost>,
    /// Links to the other members of the membership.
    pub links: RefCell<BTreeMap<MemberId, PeerLink>>,
    /// The newest known snapshot of a leader.
    pub snapshot: RefCell<Option<TimedSnapshot>>,
    /// Time over which learnt weights of a snapshot lose their influence.
    pub weights_lifetime: Duration,
    /// Channel to the receiver that answers requests about sites while this member leads.
    pub site_requests: RefCell<Option<mpsc::UnboundedSender<SiteRequest>>>,
}

impl Core {
    /// Returns the time since the start, by the local monotonic clock.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the name of a member, or its id if the member is not in the membership.
    pub(crate) fn member_name(&self, id: MemberId) -> String {
        let election = self.election.borrow();
        election
            .hard_state()
            .membership
            .voters
            .get(&id)
            .map_or(format!("{id:016x}"), |voter| voter.name.clone())
    }

    /// Returns the ids of all members of the membership.
    pub(crate) fn voters(&self) -> Vec<MemberId> {
        self.election.borrow().hard_state().membership.voters.keys().copied().collect()
    }

    /// Opens links to new members of the membership, and closes links to members that are no longer in it.
    pub(crate) fn update_links(&self) {
        let others: Vec<(MemberId, Voter)> = {
            let election = self.election.borrow();
            let state = election.hard_state();
            let others = state.membership.voters.iter().filter(|(id, _)| **id != state.id);
            others.map(|(id, voter)| (*id, voter.clone())).collect()
        };
        let mut links = self.links.borrow_mut();
        links.retain(|id, _| others.iter().any(|(other, _)| other == id));
        for (id, voter) in others {
            links.entry(id).or_insert_with(|| PeerLink::start(&self.endpoint, id, &voter));
        }
    }

    /// Stores a received snapshot, if it is newer than the known one.
    pub(crate) fn accept_snapshot(&self, received: ReceivedSnapshot) {
        let ReceivedSnapshot { snapshot, bytes } = received;
        let order = snapshot.order();
        let newest = self.snapshot.borrow().as_ref().is_none_or(|known| known.snapshot.order() < order);
        if newest {
            *self.snapshot.borrow_mut() = Some(TimedSnapshot { snapshot, received: Instant::now() });
            self.election.borrow_mut().host().disk.write_snapshot(order, bytes);
        }
    }

    /// Writes a snapshot of this leader to disk, and sends it to all other members.
    pub(crate) fn publish_snapshot(&self, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        let (order, bytes) = (snapshot.order(), Rc::new(snapshot.encode()?));
        self.election.borrow_mut().host().disk.write_snapshot(order, bytes.to_vec());
        *self.snapshot.borrow_mut() =
            Some(TimedSnapshot { snapshot: snapshot.clone(), received: Instant::now() });
        for link in self.links.borrow().values() {
            link.snapshots.put(EncodedSnapshot { order, bytes: bytes.clone() });
        }
        Ok(())
    }

    /// Returns the newest snapshot without the parts that are outdated by its age.
    pub(crate) fn aged_snapshot(&self) -> Option<Box<Snapshot>> {
        let known = self.snapshot.borrow();
        let TimedSnapshot { snapshot, received } = known.as_ref()?;
        Some(Box::new(snapshot.aged(received.elapsed(), self.weights_lifetime)))
    }

    /// Counts requests of a zone and a route in the current period.
    pub(crate) fn count_requests(&self, zone: u16, route: u8, counts: Counts) {
        let Some(host) = &self.tasks else { return };
        let Some(period) = host.period(Duration::ZERO) else { return };
        host.tasks.borrow_mut().tally().add(period, (zone, route), counts);
        host.counted.set(true);
    }
}
