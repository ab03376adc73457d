//! Handles proxies that join, acknowledge updates, and leave.

use super::Controller;
use crate::effects::Effects;
use crate::event::ControllerEvent;
use crate::stream_id::StreamId;
use grebespool_wire::{CloseReason, UpdateAck, UpdateCause};
use std::time::Duration;

/// A proxy's request to join, as decoded from its handshake.
#[derive(Debug, Clone, Copy)]
pub struct JoinRequest<'a> {
    /// The proxy's name, unique in the fleet.
    pub name: &'a str,
    /// The name of the proxy's zone.
    pub zone: &'a str,
    /// Requests a second that the proxy usually receives; a rough estimate.
    pub calls_per_s: f32,
    /// True if the proxy still holds only the weight table that it started with.
    pub initial_table_only: bool,
}

impl<E: Effects> Controller<E> {
    /// Handles the join request of a proxy that has proved that it holds the fleet's key. Returns true if the proxy
    /// joined; otherwise its stream is closed with the reason.
    pub fn proxy_joined(&mut self, now: Duration, stream: StreamId, request: JoinRequest) -> bool {
        let Some(zone) = self.endpoints.zone(request.zone) else {
            let text = format!("no zone {:?}", request.zone);
            return self.reject_join(stream, CloseReason::Rejected, text);
        };
        let Some(proxy) = self.proxies.get_or_add(request.name, self.limits.proxies) else {
            let text = format!("{} proxies are known, as many as may be", self.limits.proxies);
            return self.reject_join(stream, CloseReason::Rejected, text);
        };
        if let Err(wait) = self.join_limiter.admit(now, proxy) {
            let text = format!("joins too often; again in {} ms", wait.as_millis());
            return self.reject_join(stream, CloseReason::Overloaded, text);
        }
        if let Some(old) = self.sessions.of_proxy(proxy).map(|session| session.stream) {
            let text = "the same name has joined on a newer stream";
            self.disconnect(old, CloseReason::Superseded, text);
        }
        self.sessions.open(proxy, stream, zone);
        self.assignments.add_proxy(proxy);
        self.effects.welcome(stream);
        if let Some(sites) = &mut self.sites {
            sites.proxy_joined(now, zone);
        }
        let calls_per_s = f64::from(request.calls_per_s.max(0.0));
        self.policy.proxy_joined(now, proxy, zone, request.initial_table_only, calls_per_s);
        self.publish(now, UpdateCause::ProxyJoined);
        // The stream is closed already if the proxy's first update did not fit into the channel.
        self.sessions.of_stream(stream).is_some()
    }

    /// Closes the stream of a rejected join. The proxy receives `text`: do not reword the callers' texts.
    fn reject_join(&mut self, stream: StreamId, reason: CloseReason, text: String) -> bool {
        self.effects.close(stream, reason, &text);
        self.effects.report(ControllerEvent::JoinRejected { stream, reason: text });
        false
    }

    /// Handles an acknowledgement: the proxy has applied all updates up to the acknowledged one. Acknowledgements of
    /// another incarnation or stream are ignored.
    pub fn update_acknowledged(&mut self, now: Duration, stream: StreamId, ack: &UpdateAck) {
        if ack.incarnation != self.incarnation.id || ack.stream != stream {
            return;
        }
        let Some(session) = self.sessions.of_stream_mut(stream) else { return };
        session.acknowledged_sequence = ack.sequence;
        self.acks.acknowledged(stream, ack.sequence);
        if let Some(token) = ack.token {
            self.policy.acknowledged(now, token);
        }
        self.publish(now, UpdateCause::Interval);
    }

    /// Handles the end of a stream, whatever its reason.
    pub fn stream_closed(&mut self, stream: StreamId) {
        let Some((proxy, session)) = self.sessions.close(stream) else { return };
        if let Some(sites) = &mut self.sites {
            // The time of the last timer is accurate enough: the end of a stream is only one of several signs
            // that a site has failed.
            sites.proxy_left(self.last_timer_at, session.zone);
        }
        self.assignments.remove_proxy(proxy);
        self.channel.drop_stream(stream);
        self.acks.stream_closed(stream);
        self.policy.proxy_left(proxy);
    }

    /// Closes a stream from the controller's side.
    pub(super) fn disconnect(&mut self, stream: StreamId, reason: CloseReason, text: &str) {
        self.effects.close(stream, reason, text);
        self.stream_closed(stream);
    }
}
