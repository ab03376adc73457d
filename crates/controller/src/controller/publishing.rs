//! Publishes the changes of a turn as one update for each affected proxy.

use super::Controller;
use crate::effects::Effects;
use crate::event::ControllerEvent;
use crate::stream_id::StreamId;
use grebespool::host::RetryPolicy;
use grebespool_assignments::{ProxyUpdate, ServerIndices, ServerWeight, TableUpdate};
use grebespool_wire::{
    self as wire, Change, CloseReason, ServerId, TableBinding, Update, UpdateCause, WeightChange,
};
use std::time::Duration;

/// An update for one stream, and the number of table entries that it occupies in the channel.
struct OutgoingUpdate {
    stream: StreamId,
    update: Update,
    entries: usize,
}

impl<E: Effects> Controller<E> {
    /// Ends a turn: queues one update for each affected proxy, and starts the health checks and the poll that the policy
    /// requested.
    pub(super) fn publish(&mut self, now: Duration, cause: UpdateCause) {
        for outgoing in self.take_updates(now, cause) {
            self.enqueue(now, outgoing);
        }
        for server in self.assignments.take_health_checks() {
            self.effects.start_health_check(*self.servers.id(server));
        }
        if self.assignments.take_poll_request() {
            self.effects.poll_endpoints(self.endpoints.version());
        }
        self.send_due_updates(now);
    }

    fn take_updates(&mut self, now: Duration, cause: UpdateCause) -> Vec<OutgoingUpdate> {
        let Controller { assignments, sessions, servers, endpoints, incarnation, .. } = self;
        let mut updates = vec![];
        assignments.publish(|proxy, proxy_update| {
            let Some(session) = sessions.of_proxy_mut(proxy) else { return };
            let (changes, entries) = wire_changes(proxy_update, servers);
            session.last_sequence += 1;
            let update = Update {
                term: incarnation.term,
                incarnation: incarnation.id,
                stream: session.stream,
                sequence: session.last_sequence,
                created_us: now.as_micros() as u64,
                endpoints_version: endpoints.version(),
                cause,
                changes,
            };
            updates.push(OutgoingUpdate { stream: session.stream, update, entries });
        });
        updates
    }

    /// Queues an update. If the update does not fit into the channel, the proxy is disconnected and has to join again.
    fn enqueue(&mut self, now: Duration, outgoing: OutgoingUpdate) {
        let OutgoingUpdate { stream, update, entries } = outgoing;
        if let Err(limit) = self.channel.enqueue(now, stream, update, entries) {
            self.effects.report(ControllerEvent::UpdateNotQueued { stream, limit });
            self.disconnect(stream, CloseReason::Overloaded, &limit.to_string());
        }
    }

    /// Sends the updates that have left the channel by `now`.
    pub(super) fn send_due_updates(&mut self, now: Duration) {
        while let Some((stream, update)) = self.channel.dequeue(now) {
            self.acks.sent(now, stream, update.sequence);
            self.effects.send(stream, update);
        }
    }
}

/// Returns the changes of an update, and the number of table entries that they occupy in the channel.
fn wire_changes(update: &ProxyUpdate, servers: &ServerIndices<ServerId>) -> (Vec<Change>, usize) {
    let (mut changes, mut entries) = (vec![], 0);
    for table in update.tables {
        if update.is_new {
            // A binding replaces the admission rules, so each binding of the update contains all of them.
            entries += 1 + table.weights.len() + update.admission.len();
            changes.push(Change::BindTable(table_binding(table, update, servers)));
        } else {
            entries += table.weights.len();
            changes.extend(weight_changes(table, servers));
        }
    }
    if !update.is_new {
        entries += update.admission.len();
        changes.extend(update.admission.iter().map(|rule| Change::SetAdmission(admission_rule(rule))));
    }
    if let Some(token) = update.ack_token {
        changes.push(Change::RequestAck(token));
        entries += 1;
    }
    (changes, entries)
}

fn table_binding(
    table: &TableUpdate,
    update: &ProxyUpdate,
    servers: &ServerIndices<ServerId>,
) -> TableBinding {
    let weight = |weight: &ServerWeight| wire::ServerWeight {
        server: *servers.id(weight.server),
        weight: weight.weight,
    };
    TableBinding {
        table: table.table,
        version: table.version,
        routes: table.routes,
        weights: table.weights.iter().map(weight).collect(),
        admission: update.admission.iter().map(admission_rule).collect(),
    }
}

fn weight_changes(update: &TableUpdate, servers: &ServerIndices<ServerId>) -> Vec<Change> {
    let change = |weight: &ServerWeight| {
        Change::SetWeight(WeightChange {
            table: update.table,
            version: update.version,
            server: *servers.id(weight.server),
            weight: weight.weight,
        })
    };
    update.weights.iter().map(change).collect()
}

fn admission_rule(rule: &grebespool_assignments::AdmissionRule) -> wire::AdmissionRule {
    wire::AdmissionRule {
        routes: rule.routes,
        admitted_fraction: rule.level,
        retry_policy: retry_policy(rule.retry_policy),
    }
}

fn retry_policy(policy: RetryPolicy) -> wire::RetryPolicy {
    match policy {
        RetryPolicy::Never => wire::RetryPolicy::Never,
        RetryPolicy::IfNotExecuted => wire::RetryPolicy::IfNotExecuted,
        RetryPolicy::AfterFailure => wire::RetryPolicy::AfterFailure,
    }
}
