//! The actions that the controller requests from its host.

use crate::event::ControllerEvent;
use crate::stream_id::StreamId;
use grebespool_wire::{CloseReason, ServerId, Update};

/// The actions that the controller requests from its host. No method may call the controller.
pub trait Effects {
    /// Sends the welcome to the proxy of this stream, which has joined.
    fn welcome(&mut self, stream: StreamId);

    /// Sends an update on a stream.
    fn send(&mut self, stream: StreamId, update: Update);

    /// Closes a stream, which the controller will not use again. The host need not call
    /// [`crate::Controller::stream_closed`] for it.
    fn close(&mut self, stream: StreamId, reason: CloseReason, text: &str);

    /// Starts a health check. The host passes the result to [`crate::Controller::health_check_finished`].
    fn start_health_check(&mut self, server: ServerId);

    /// Polls the endpoint list for the changes since `known_version`; 0 requests the complete list.
    fn poll_endpoints(&mut self, known_version: u64);

    /// Reports an event for the operators' log.
    fn report(&mut self, event: ControllerEvent);
}
