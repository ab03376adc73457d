//! The events that the controller reports to operators.

use crate::endpoint_registry::EndpointListError;
use crate::stream_id::StreamId;
use crate::update_channel::ChannelFull;
use std::fmt;
use std::time::Duration;

/// An event that the controller reports for the operators' log.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerEvent {
    /// A proxy was not allowed to join.
    JoinRejected {
        /// The proxy's stream.
        stream: StreamId,
        /// The reason, as sent to the proxy.
        reason: String,
    },
    /// Some lines of a proxy's report had implausible values and were ignored.
    ImplausibleReport {
        /// The proxy's stream.
        stream: StreamId,
        /// Number of ignored lines.
        lines: usize,
    },
    /// An endpoint list was rejected; the previous one stays in force.
    EndpointListRejected(EndpointListError),
    /// The controller itself did not run for this time: its machine was stalled, or its process was suspended.
    Stalled(Duration),
    /// A proxy did not acknowledge its updates in time and was disconnected.
    AckOverdue {
        /// The proxy's stream.
        stream: StreamId,
    },
    /// An update did not fit into the channel, and its proxy was disconnected.
    UpdateNotQueued {
        /// The proxy's stream.
        stream: StreamId,
        /// The limit that the update would have exceeded.
        limit: ChannelFull,
    },
    /// A change in the state of a whole site, described by this text.
    Site(String),
}

impl fmt::Display for ControllerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControllerEvent::JoinRejected { stream, reason } => {
                write!(f, "rejecting the join on stream {stream}: {reason}")
            }
            ControllerEvent::ImplausibleReport { stream, lines } => {
                write!(f, "ignoring {lines} implausible lines of a load report on stream {stream}")
            }
            ControllerEvent::EndpointListRejected(error) => {
                write!(f, "rejecting an endpoint list: {error}; keeping the previous one")
            }
            ControllerEvent::Stalled(duration) => {
                write!(f, "resuming after a stall of the controller for {} ms", duration.as_millis())
            }
            ControllerEvent::AckOverdue { stream } => {
                write!(f, "closing stream {stream}: updates were not acknowledged in time")
            }
            ControllerEvent::UpdateNotQueued { stream, limit } => {
                write!(f, "closing stream {stream}, whose update does not fit the channel: {limit}")
            }
            ControllerEvent::Site(text) => f.write_str(text),
        }
    }
}
