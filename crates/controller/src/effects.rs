//! What the controller asks of its host.

use crate::event::ControllerEvent;
use crate::stream_id::StreamId;
use grebespool_wire::{CloseReason, ServerId, Update};

/// What the controller asks of its host. No method may call the controller.
pub trait Effects {
    /// Tells the proxy of this stream that it has joined.
    fn welcome(&mut self, stream: StreamId);

    /// Sends an update.
    fn send(&mut self, stream: StreamId, update: Update);

    /// Closes a stream that is not to be used again; [`crate::Controller::stream_closed`] need not be called for it.
    fn close(&mut self, stream: StreamId, reason: CloseReason, text: &str);

    /// Starts a health check; its result goes to [`crate::Controller::health_check_finished`].
    fn start_health_check(&mut self, server: ServerId);

    /// Polls the endpoint list, given the version that is known: 0 for a whole one.
    fn poll_endpoints(&mut self, known_version: u64);

    /// Reports something that operators want to know of.
    fn report(&mut self, event: ControllerEvent);
}
