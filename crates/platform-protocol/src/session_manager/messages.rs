//! Handles each message, depending on the peer that sent it.

use super::reasons::{CloseReason, DropReason};
use super::{Effects, SessionManager};
use crate::connections::{ConnectionId, Peer};
use crate::event::StreamChange;
use crate::wire::{JoinRequest, Message, ServerReport, UsageReport, encode_pong};
use grebespool::host::{LoadReport, ProxyId, ZoneId};
use std::time::Duration;

impl<E: Effects> SessionManager<E> {
    pub(super) fn handle_message(&mut self, now: Duration, id: ConnectionId, message: Message) {
        let Some(peer) = self.connections.peer(id) else { return };
        match (message, peer) {
            (Message::Ping, _) => self.effects.write(id, &encode_pong()),
            (Message::Collector { zone }, Peer::Unknown) => self.accept_collector(now, id, zone),
            (Message::Join(request), Peer::Unknown) => self.accept_proxy(now, id, request),
            (_, Peer::Unknown) => self.close(now, id, &CloseReason::ReportBeforeJoin),
            (Message::ServerReport(report), Peer::Collector(_)) => self.server_reported(now, report),
            (Message::Usage(usage), peer) => self.usage_reported(now, peer, usage),
            (Message::Ack { proxy, token }, Peer::Proxy(sender)) if proxy == u32::from(sender) => {
                self.acknowledged(now, id, token);
            }
            (message, _) => self.drop_message(now, &DropReason::Unexpected(message)),
        }
    }

    /// Returns the id of the proxy with this number if the number is below the proxy count of the settings.
    fn proxy(&self, number: u32) -> Option<ProxyId> {
        ProxyId::try_from(number).ok().filter(|proxy| usize::from(*proxy) < self.proxy_count)
    }

    fn accept_collector(&mut self, now: Duration, id: ConnectionId, zone: String) {
        let Some(zone) = self.registry.zone(&zone) else {
            return self.close(now, id, &CloseReason::UnknownZone(zone));
        };
        self.identify(id, Peer::Collector(zone));
        if let Some(surplus) = self.connections.surplus_collector(zone) {
            self.close(now, surplus, &CloseReason::NewerCollectors);
        }
    }

    fn accept_proxy(&mut self, now: Duration, id: ConnectionId, request: JoinRequest) {
        match (self.proxy(request.proxy), self.registry.zone(&request.zone)) {
            (Some(proxy), Some(zone)) => self.join(now, id, proxy, zone, &request),
            _ => {
                let JoinRequest { proxy, zone, .. } = request;
                self.close(now, id, &CloseReason::UnknownProxy { proxy, zone });
            }
        }
    }

    /// Adds the stream of a proxy. Only the newest stream of a proxy counts; the end of an older one is ignored.
    fn join(&mut self, now: Duration, id: ConnectionId, proxy: ProxyId, zone: ZoneId, request: &JoinRequest) {
        if let Some(other) = self.streams.get(&proxy).copied() {
            if other > id {
                // This stream was accepted first but read last: the proxy has abandoned it and connected again.
                return self.close(now, id, &CloseReason::NewerStream);
            }
            self.effects.close(other);
            self.remove_connection(other, StreamChange::Replaced);
        }
        self.identify(id, Peer::Proxy(proxy));
        self.streams.insert(proxy, id);
        self.event_log.stream_changed(proxy, StreamChange::Joined);
        self.assignments.add_proxy(proxy);
        self.policy.proxy_joined(now, proxy, zone, request.without_table, request.requests_per_second);
        self.flush();
    }

    fn identify(&mut self, id: ConnectionId, peer: Peer) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.identify(peer);
        }
    }

    fn server_reported(&mut self, now: Duration, report: ServerReport) {
        let (zone, server) = (self.registry.zone(&report.zone), self.server_indices.index(&report.server));
        let (Some(client_zone), Some(server)) = (zone, server) else {
            let ServerReport { zone, server, .. } = report;
            return self.drop_message(now, &DropReason::UnknownServer { zone, server });
        };
        let metrics = self.metrics(&report);
        let latency = report.mean_latency_ms.map(|ms| Duration::from_secs_f64(ms / 1000.0));
        let report = LoadReport {
            client_zone,
            attempts: report.attempts,
            failures: report.failures,
            latency,
            metrics: &metrics,
        };
        self.policy.load_reported(now, server, &report);
        self.flush();
    }

    /// Returns the metrics in the order of the settings, with NaN for each missing one. Returns an empty list if all
    /// are missing.
    fn metrics(&self, report: &ServerReport) -> Vec<f32> {
        let metric = |name: &String| {
            report.metrics.iter().find(|(metric, _)| metric == name).map_or(f32::NAN, |(_, value)| *value)
        };
        let metrics: Vec<f32> = self.metric_names.iter().map(metric).collect();
        if metrics.iter().all(|metric| metric.is_nan()) { vec![] } else { metrics }
    }

    fn usage_reported(&mut self, now: Duration, sender: Peer, usage: UsageReport) {
        let route = self.route_names.iter().position(|name| *name == usage.route);
        match (self.proxy(usage.proxy), route) {
            (Some(proxy), Some(route)) if may_report_usage(sender, proxy) => {
                self.policy.requests_received(now, proxy, route, usage.requests);
                self.flush();
            }
            _ => {
                let UsageReport { proxy, route, .. } = usage;
                self.drop_message(now, &DropReason::UnknownUsage { route, proxy });
            }
        }
    }

    fn acknowledged(&mut self, now: Duration, id: ConnectionId, token: u32) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !connection.acknowledge(token) {
            return self.drop_message(now, &DropReason::AckNotPending(token));
        }
        self.policy.acknowledged(now, token as u16);
        self.flush();
    }
}

/// Returns true if the sender may report the usage of this proxy: the proxy itself or any collector.
fn may_report_usage(sender: Peer, proxy: ProxyId) -> bool {
    matches!(sender, Peer::Collector(_)) || sender == Peer::Proxy(proxy)
}
