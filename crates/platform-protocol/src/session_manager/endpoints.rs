//! Applies endpoint lists from discovery and results of health checks.

use super::{Effects, SessionManager};
use crate::event::{Event, WarningKind};
use crate::event_log::group_by_state;
use crate::server_registry::{EndpointChange, ListUpdate, ReceivedAt};
use crate::wire::{EndpointList, EndpointListError};
use grebespool::host::{Endpoint, EndpointState, HealthCheckResult};
use std::net::SocketAddr;
use std::time::Duration;

impl<E: Effects> SessionManager<E> {
    /// Applies the answer of discovery to a request for the list: the changes since a version, or the full list.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not an endpoint list. The caller then treats the request as failed.
    pub fn endpoint_list_received(
        &mut self,
        received: ReceivedAt,
        since: Option<u64>,
        body: &[u8],
    ) -> Result<(), EndpointListError> {
        let list = EndpointList::parse(body, self.registry.max_servers())?;
        self.apply_endpoint_list(received, since, &list);
        Ok(())
    }

    pub(super) fn apply_endpoint_list(
        &mut self,
        received: ReceivedAt,
        since: Option<u64>,
        list: &EndpointList,
    ) {
        let update = self.registry.apply(received, since, list);
        self.log_list_update(received.now, since, &update);
        let endpoints: Vec<Endpoint> =
            update.changes.iter().map(|change| self.endpoint(received.now, change)).collect();
        // The first answer to a request of the policy is passed on even without changes: the policy waits for it.
        let was_requested = std::mem::take(&mut self.list_requested);
        if was_requested || !endpoints.is_empty() {
            // Never a full list for the policy: servers that a full list leaves out are among the changes, as removed.
            let is_full = false;
            self.policy.endpoints_updated(received.now, is_full, &endpoints);
            self.flush();
        }
        // If this list was requested in full, requesting another full list would bring the same faults.
        if update.needs_full_list && since.is_some() {
            self.effects.request_full_list();
        }
    }

    fn log_list_update(&mut self, now: Duration, since: Option<u64>, update: &ListUpdate) {
        for fault in &update.faults {
            self.warn(now, WarningKind::ListPartlyRejected, fault);
        }
        if !update.changes.is_empty() {
            let (version, groups) = (self.registry.version(), group_by_state(&update.changes));
            self.effects.log(&Event::EndpointListChanged { version, since, groups });
        }
    }

    /// Converts the change for the policy, and assigns or releases the index of the server.
    fn endpoint(&mut self, now: Duration, change: &EndpointChange) -> Endpoint {
        let assignments = &self.assignments;
        let server = self.server_indices.add(now, &change.id, |server| assignments.contains_server(server));
        if change.state == EndpointState::Removed {
            self.server_indices.remove(now, server);
        }
        let EndpointChange { zone, kind, state, age, .. } = *change;
        Endpoint { server, zone, kind, state, age }
    }

    /// Handles the failure of a request for the endpoint list, or the end of the watch. The policy requests the list
    /// again.
    pub fn endpoint_list_failed(&mut self, now: Duration, cause: &str) {
        self.warn(now, WarningKind::ListRequestFailed, &cause);
        self.list_requested = false;
        self.policy.endpoint_poll_failed();
        self.flush();
    }

    /// Handles the result of a health check. The result is ignored if the server has another address now.
    pub fn health_check_finished(&mut self, server: &str, address: SocketAddr, result: HealthCheckResult) {
        if self.registry.address(server) != Some(address) {
            return;
        }
        if let Some(server) = self.server_indices.index(&server.to_string()) {
            self.policy.health_check_finished(server, result);
            self.flush();
        }
    }
}
