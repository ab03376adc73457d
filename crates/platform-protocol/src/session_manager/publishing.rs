//! Sends the policy's decisions after each call of the policy: one message to each proxy whose table or admission
//! changes.

use super::{Effects, SessionManager};
use crate::connections::{ConnectionId, Connections};
use crate::event::StreamChange;
use crate::event_log::EventLog;
use crate::weight_log::WeightLog;
use crate::wire::UpdateEncoder;
use grebespool::host::{HealthCheckResult, ProxyId, ServerIndex};
use grebespool_assignments::{Binding, ProxyUpdate, TableUpdate};
use std::collections::BTreeMap;

impl<E: Effects> SessionManager<E> {
    /// Carries out the decisions that the policy has made since the last flush.
    pub(super) fn flush(&mut self) {
        self.write_updates();
        self.start_health_checks();
        if self.assignments.take_poll_request() {
            self.list_requested = true;
            self.effects.watch_endpoints();
        }
    }

    fn write_updates(&mut self) {
        let SessionManager { effects, assignments, server_indices, connections, streams, .. } = self;
        let server_id = |server: ServerIndex| server_indices.id(server).as_str();
        let mut writer = UpdateWriter {
            effects,
            connections,
            streams,
            event_log: &mut self.event_log,
            weight_log: self.weight_log.as_mut(),
            encoder: UpdateEncoder::new(&self.route_names, server_id),
            encoded: BTreeMap::new(),
        };
        assignments.publish(|proxy, update| writer.write(proxy, update));
    }

    fn start_health_checks(&mut self) {
        for server in self.assignments.take_health_checks() {
            let id = self.server_indices.id(server);
            match self.registry.address(id) {
                Some(address) => self.effects.start_health_check(id, address),
                None => self.policy.health_check_finished(server, HealthCheckResult::Failed),
            }
        }
    }
}

/// Writes the updates of one flush. Many proxies share their tables, so the update of the same tables is encoded only once.
struct UpdateWriter<'a, E, F> {
    effects: &'a mut E,
    connections: &'a mut Connections,
    streams: &'a BTreeMap<ProxyId, ConnectionId>,
    event_log: &'a mut EventLog,
    weight_log: Option<&'a mut WeightLog>,
    encoder: UpdateEncoder<'a, F>,
    /// The encoded updates, by the bindings of a proxy and by whether it was bound in this turn.
    encoded: BTreeMap<(Vec<Binding>, bool), Vec<u8>>,
}

impl<'a, E: Effects, F: Fn(ServerIndex) -> &'a str> UpdateWriter<'a, E, F> {
    fn write(&mut self, proxy: ProxyId, update: &ProxyUpdate) {
        let Some(&id) = self.streams.get(&proxy) else { return };
        if update.is_new {
            self.log_bound(proxy, update);
        }
        let key = (update.bindings.to_vec(), update.is_new);
        if !self.encoded.contains_key(&key) {
            update.tables.iter().for_each(|table| self.log_weights(table, update.is_new));
            self.encoded.insert(key.clone(), self.encoder.encode(update));
        }
        self.effects.write(id, &self.encoded[&key]);
        if let (Some(token), Some(connection)) = (update.ack_token, self.connections.get_mut(id)) {
            connection.add_pending_ack(token);
        }
    }

    fn log_bound(&mut self, proxy: ProxyId, update: &ProxyUpdate) {
        self.event_log.stream_changed(proxy, StreamChange::Bound);
        if let Some(weight_log) = &mut self.weight_log {
            weight_log.proxy_bound(proxy, update.bindings.iter().map(|binding| binding.table).collect());
        }
    }

    fn log_weights(&mut self, update: &TableUpdate, is_new: bool) {
        if !is_new {
            self.event_log.weights_written(update.weights);
        }
        if let Some(weight_log) = &mut self.weight_log {
            weight_log.weights_written(update.table, update.weights);
        }
    }
}
