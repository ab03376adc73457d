//! Aggregates changes of proxies and servers into a few events for the log.

use crate::event::{EndpointGroup, Event, NameList, StreamChange, TableChange};
use crate::server_registry::EndpointChange;
use grebespool::host::{EndpointState, ProxyId, ServerIndex};
use grebespool_assignments::ServerWeight;
use std::collections::{BTreeMap, BTreeSet};

/// The states of changed endpoints, in the order in which they are reported.
const REPORTED_STATES: [EndpointState; 3] =
    [EndpointState::Draining, EndpointState::Removed, EndpointState::Ready];

/// The changes since the log was last drained. The number of events does not grow with the number of changes.
#[derive(Default)]
pub(crate) struct EventLog {
    joined: Vec<ProxyId>,
    bound: Vec<ProxyId>,
    left: Vec<ProxyId>,
    closed: Vec<ProxyId>,
    replaced: Vec<ProxyId>,
    /// The lowest weight of each server that was written for any table. A drain or a fault of a server gives the server
    /// weight 0 in at least one table.
    lowest_weights: BTreeMap<ServerIndex, f32>,
    /// The servers that were reported as removed and not yet as restored.
    removed: BTreeSet<ServerIndex>,
}

impl EventLog {
    /// Records a change of a proxy's stream.
    pub(crate) fn stream_changed(&mut self, proxy: ProxyId, change: StreamChange) {
        let proxies = match change {
            StreamChange::Joined => &mut self.joined,
            StreamChange::Bound => &mut self.bound,
            StreamChange::Left => &mut self.left,
            StreamChange::Closed => &mut self.closed,
            StreamChange::Replaced => &mut self.replaced,
        };
        proxies.push(proxy);
    }

    /// Records weights that were written for one table.
    pub(crate) fn weights_written(&mut self, weights: &[ServerWeight]) {
        for ServerWeight { server, weight } in weights {
            let lowest = self.lowest_weights.entry(*server).or_insert(f32::MAX);
            *lowest = lowest.min(*weight);
        }
    }

    /// Returns one event for each kind of change that occurred, and clears the recorded changes.
    pub(crate) fn drain<'a>(&mut self, id: impl Fn(ServerIndex) -> &'a str) -> Vec<Event> {
        let mut events = self.drain_streams();
        let (removed, restored) = self.drain_servers();
        for (change, servers) in [(TableChange::Removed, removed), (TableChange::Restored, restored)] {
            if !servers.is_empty() {
                let servers = NameList::of(servers.into_iter().map(&id));
                events.push(Event::Servers { change, servers });
            }
        }
        events
    }

    fn drain_streams(&mut self) -> Vec<Event> {
        let changes = [
            (StreamChange::Joined, &mut self.joined),
            (StreamChange::Bound, &mut self.bound),
            (StreamChange::Left, &mut self.left),
            (StreamChange::Closed, &mut self.closed),
            (StreamChange::Replaced, &mut self.replaced),
        ];
        let mut events = vec![];
        for (change, proxies) in changes {
            let proxies = std::mem::take(proxies);
            if !proxies.is_empty() {
                events.push(Event::Streams { change, proxies: NameList::of(proxies.iter()) });
            }
        }
        events
    }

    /// Returns the servers that were removed from at least one table, and the servers that were restored.
    fn drain_servers(&mut self) -> (Vec<ServerIndex>, Vec<ServerIndex>) {
        let (mut removed, mut restored) = (vec![], vec![]);
        for (server, weight) in std::mem::take(&mut self.lowest_weights) {
            if weight <= 0.0 {
                if self.removed.insert(server) {
                    removed.push(server);
                }
            } else if self.removed.remove(&server) {
                restored.push(server);
            }
        }
        (removed, restored)
    }
}

/// Groups the changed endpoints by state.
pub(crate) fn group_by_state(changes: &[EndpointChange]) -> Vec<EndpointGroup> {
    let group = |state: EndpointState| {
        let ids: Vec<&String> =
            changes.iter().filter(|change| change.state == state).map(|change| &change.id).collect();
        (!ids.is_empty()).then(|| EndpointGroup { state, servers: NameList::of(ids.into_iter()) })
    };
    REPORTED_STATES.into_iter().filter_map(group).collect()
}
