//! What operators want to know of.

use crate::endpoint_registry::EndpointListError;
use crate::stream_id::StreamId;
use crate::update_channel::ChannelFull;
use std::fmt;
use std::time::Duration;

/// Something that operators want to know of, for logs.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerEvent {
    /// A proxy may not join, for this reason.
    JoinRejected {
        /// The proxy's stream.
        stream: StreamId,
        /// Why.
        reason: String,
    },
    /// Some lines of a proxy's report cannot be true, and were left out.
    ImplausibleReport {
        /// The proxy's stream.
        stream: StreamId,
        /// How many.
        lines: usize,
    },
    /// An endpoint list was rejected whole; the one before it stays in force.
    EndpointListRejected(EndpointListError),
    /// The controller itself did not run for this long: its machine was stalled, or it was stopped.
    Stalled(Duration),
    /// A proxy did not acknowledge its updates in time and is disconnected.
    AckOverdue {
        /// The proxy's stream.
        stream: StreamId,
    },
    /// An update did not fit into the channel, and its proxy is disconnected.
    UpdateNotQueued {
        /// The proxy's stream.
        stream: StreamId,
        /// The limit that it exceeds.
        limit: ChannelFull,
    },
    /// A verdict on a whole site, or a step of its return.
    Site(String),
}

impl fmt::Display for ControllerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControllerEvent::JoinRejected { stream, reason } => {
                write!(f, "stream {stream} may not join: {reason}")
            }
            ControllerEvent::ImplausibleReport { stream, lines } => {
                write!(f, "stream {stream}: {lines} lines of its report cannot be true")
            }
            ControllerEvent::EndpointListRejected(error) => write!(f, "{error}"),
            ControllerEvent::Stalled(duration) => {
                write!(f, "the controller was stalled for {} ms", duration.as_millis())
            }
            ControllerEvent::AckOverdue { stream } => {
                write!(f, "stream {stream} is closed: its updates stay unacknowledged")
            }
            ControllerEvent::UpdateNotQueued { stream, limit } => {
                write!(f, "stream {stream} is closed: {limit}")
            }
            ControllerEvent::Site(text) => f.write_str(text),
        }
    }
}
