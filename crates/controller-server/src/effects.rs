//! Carries out the controller's requests on sockets, or passes them to the tasks that do.

use crate::connection::{Connection, Connections};
use crate::requests::{HealthCheckRequests, PollRequest};
use crate::update_filter::UpdateFilter;
use grebespool_controller::{ControllerEvent, Effects, Incarnation, StreamId};
use grebespool_wire::{Change, CloseReason, Message, ServerId, Update, Welcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{Level, debug, warn};

/// The destinations of the controller's requests. Clones share the same destinations.
#[derive(Clone, Default)]
pub(crate) struct Requests {
    /// All open connections.
    pub(crate) connections: Connections,
    /// The requested poll of the endpoint list.
    pub(crate) polls: Rc<PollRequest>,
    /// The requested health checks.
    pub(crate) health_checks: Rc<HealthCheckRequests>,
}

/// The implementation of the controller's effects on sockets.
pub(crate) struct SocketEffects {
    started_at: Instant,
    incarnation: Incarnation,
    requests: Requests,
    filter: Box<dyn UpdateFilter>,
}

impl SocketEffects {
    pub(crate) fn new(started_at: Instant, incarnation: Incarnation, filter: Box<dyn UpdateFilter>) -> Self {
        SocketEffects { started_at, incarnation, requests: Requests::default(), filter }
    }

    pub(crate) fn requests(&self) -> Requests {
        self.requests.clone()
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn connection(&self, stream: StreamId) -> Option<Rc<Connection>> {
        self.requests.connections.borrow().get(&stream).cloned()
    }
}

impl Effects for SocketEffects {
    fn welcome(&mut self, stream: StreamId) {
        if let Some(connection) = self.connection(stream) {
            let (term, proof) = (self.incarnation.term, connection.proof.get());
            connection.send(self.now(), &Message::Welcome(Welcome { stream, term, proof }));
        }
    }

    fn send(&mut self, stream: StreamId, update: Update) {
        let Some(update) = self.filter.filter(stream, update) else { return };
        let Some(connection) = self.connection(stream) else { return };
        if tracing::enabled!(Level::DEBUG) {
            log_update(stream, &update);
        }
        connection.send(self.now(), &Message::Update(update));
    }

    fn close(&mut self, stream: StreamId, reason: CloseReason, text: &str) {
        if let Some(connection) = self.connection(stream) {
            connection.close(self.now(), reason, text);
        }
    }

    fn start_health_check(&mut self, server: ServerId) {
        self.requests.health_checks.push(server);
    }

    fn poll_endpoints(&mut self, known_version: u64) {
        self.requests.polls.set(known_version);
    }

    fn report(&mut self, event: ControllerEvent) {
        log_event(self.incarnation.id, event);
    }
}

fn log_event(incarnation: u64, event: ControllerEvent) {
    match event {
        ControllerEvent::JoinRejected { stream, reason } => {
            warn!(incarnation, stream, reason, "rejecting a join");
        }
        ControllerEvent::ImplausibleReport { stream, lines } => {
            warn!(incarnation, stream, lines, "ignoring implausible lines of a load report");
        }
        ControllerEvent::EndpointListRejected(error) => {
            warn!(incarnation, %error, "rejecting an endpoint list; keeping the previous one");
        }
        ControllerEvent::Stalled(duration) => {
            warn!(incarnation, ?duration, "resuming after a stall of the controller itself");
        }
        ControllerEvent::AckOverdue { stream } => {
            warn!(incarnation, stream, "closing a stream whose updates were not acknowledged in time");
        }
        ControllerEvent::UpdateNotQueued { stream, limit } => {
            warn!(incarnation, stream, %limit, "closing a stream whose update does not fit the channel");
        }
        ControllerEvent::Site(text) => warn!(incarnation, "{text}"),
    }
}

fn log_update(stream: StreamId, update: &Update) {
    for change in &update.changes {
        log_change(stream, update, change);
    }
}

fn log_change(stream: StreamId, update: &Update, change: &Change) {
    let (cause, list) = (update.cause, update.endpoints_version);
    match change {
        Change::BindTable(binding) => {
            let (table, version, weights) = (binding.table, binding.version, binding.weights.len());
            debug!(stream, table, version, ?cause, list, weights, "binding a table");
        }
        Change::SetWeight(change) => {
            let (table, version, weight) = (change.table, change.version, change.weight);
            debug!(stream, table, version, ?cause, list, server = %change.server.addr, weight, "setting a weight");
        }
        Change::SetAdmission(rule) => {
            let (routes, admitted_fraction) = (rule.routes, rule.admitted_fraction);
            debug!(stream, ?cause, routes, admitted_fraction, retry = ?rule.retry_policy, "setting an admission level");
        }
        Change::Exclude(exclusion) => {
            let excluded = exclusion.excluded;
            debug!(stream, ?cause, server = %exclusion.server.addr, excluded, "changing the exclusion of a server");
        }
        Change::RequestAck(token) => debug!(stream, ?cause, token, "requesting an acknowledgement"),
    }
}
