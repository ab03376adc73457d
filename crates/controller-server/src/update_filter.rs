//! The filter through which updates pass before they are sent.

use grebespool_controller::StreamId;
use grebespool_wire::Update;

/// A filter between the controller and the streams. Use [`PassThrough`] except in tests and for a controller that may
/// send updates only while it leads.
pub trait UpdateFilter: 'static {
    /// Returns the update to send instead of `update`; `None` to drop the update.
    fn filter(&mut self, stream: StreamId, update: Update) -> Option<Update>;
}

/// A filter that sends all updates unchanged.
pub struct PassThrough;

impl UpdateFilter for PassThrough {
    fn filter(&mut self, _: StreamId, update: Update) -> Option<Update> {
        Some(update)
    }
}
