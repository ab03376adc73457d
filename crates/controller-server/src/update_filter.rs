//! What stands between the controller and the streams.

use grebespool_controller::StreamId;
use grebespool_wire::Update;

/// Stands between the controller and the streams: [`PassThrough`] but for tests, and for a controller that may send
/// updates only while it leads.
pub trait UpdateFilter: 'static {
    /// Gives what is to be sent in place of an update, if anything.
    fn filter(&mut self, stream: StreamId, update: Update) -> Option<Update>;
}

/// Sends all updates unchanged.
pub struct PassThrough;

impl UpdateFilter for PassThrough {
    fn filter(&mut self, _: StreamId, update: Update) -> Option<Update> {
        Some(update)
    }
}
