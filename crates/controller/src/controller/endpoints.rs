//! Handles endpoint lists and the results of health checks.

use super::{Controller, ListTime};
use crate::effects::Effects;
use crate::endpoint_registry::EndpointListError;
use crate::event::ControllerEvent;
use grebespool::host::{self, Endpoint, HealthCheckResult};
use grebespool_wire::{EndpointList, EndpointState, ServerId, UpdateCause};
use std::time::Duration;

impl<E: Effects> Controller<E> {
    /// Handles a received endpoint list, whether complete or incremental.
    pub fn endpoints_received(&mut self, now: Duration, list: &EndpointList) {
        let mut changed = vec![];
        let accepted = self.endpoints.accept(now, list, |id, endpoint| changed.push((id, endpoint)));
        match accepted {
            Ok(()) => {
                let changed = self.assign_indices(now, changed);
                self.endpoints_accepted(now, list, &changed);
            }
            Err(error) => self.endpoints_rejected(now, error),
        }
    }

    /// Fills in the server index of each changed endpoint.
    fn assign_indices(&mut self, now: Duration, changed: Vec<(ServerId, Endpoint)>) -> Vec<Endpoint> {
        let mut endpoints = Vec::with_capacity(changed.len());
        for (id, endpoint) in changed {
            let assignments = &self.assignments;
            let server = self.servers.add(now, &id, |server| assignments.contains_server(server));
            if endpoint.state == host::EndpointState::Removed {
                self.servers.remove(now, server);
                self.metrics.remove_server(server);
            }
            endpoints.push(Endpoint { server, ..endpoint });
        }
        endpoints
    }

    fn endpoints_accepted(&mut self, now: Duration, list: &EndpointList, changed: &[Endpoint]) {
        self.list_time = ListTime { sent_ms: list.now_ms, received_at: now };
        self.update_draining(now, list);
        if let Some(sites) = &mut self.sites {
            sites.endpoints_changed(now, self.endpoints.summaries());
        }
        // `false`: the policy gets changes only. Servers missing from a complete list are among them as removed.
        self.policy.endpoints_updated(now, false, changed);
        self.publish(now, UpdateCause::EndpointsChanged);
    }

    fn update_draining(&mut self, now: Duration, list: &EndpointList) {
        for entry in &list.entries {
            match entry.state {
                EndpointState::Draining => {
                    self.draining.entry(entry.server).or_insert(now);
                }
                EndpointState::Ready | EndpointState::Removed => {
                    self.draining.remove(&entry.server);
                }
            }
        }
        self.draining.retain(|server, _| self.endpoints.contains(*server));
    }

    fn endpoints_rejected(&mut self, now: Duration, error: EndpointListError) {
        let missed_changes = matches!(error, EndpointListError::MissedChanges { .. });
        self.effects.report(ControllerEvent::EndpointListRejected(error));
        if missed_changes {
            self.effects.poll_endpoints(0);
        }
        self.endpoint_poll_failed(now);
    }

    /// Handles a failed poll of the endpoint list or the end of its watch.
    pub fn endpoint_poll_failed(&mut self, now: Duration) {
        self.policy.endpoint_poll_failed();
        self.publish(now, UpdateCause::EndpointsChanged);
    }

    /// Handles the result of a health check.
    pub fn health_check_finished(&mut self, now: Duration, server: ServerId, result: HealthCheckResult) {
        if let (Some(sites), Some(zone)) = (&mut self.sites, self.endpoints.zone_of(server)) {
            // A server that rejects a health check is reachable.
            sites.health_check_finished(now, zone, result != HealthCheckResult::Failed);
        }
        if let Some(server) = self.servers.index(&server) {
            self.policy.health_check_finished(server, result);
            self.publish(now, UpdateCause::Interval);
        }
    }
}
