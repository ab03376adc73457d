//! The controller's protocol (`docs/protocol.md`): frames and messages, free of I/O.
//!
//! [`FrameDecoder`] decodes bytes, split anywhere, into messages; [`Message::write_frame`] appends a message as a frame.
//! The transport has to keep bytes in order. Every count and length is checked against the remaining bytes of the frame
//! before memory is allocated for it, so a peer that has not authenticated itself cannot make this crate allocate more
//! than one frame. This crate checks only the form of a message; the receiver interprets its content.

mod call;
mod close;
mod codec;
mod decode_error;
mod endpoint;
mod frame;
mod handshake;
mod health_check;
mod message;
mod proof;
mod proxy_report;
mod reader;
mod server;
mod update;
mod writer;

// These types are printed in Debug form: do not rename types, variants or fields.
pub use call::{Call, CallOutcome, Response};
pub use close::{Close, CloseReason};
pub use decode_error::DecodeError;
pub use endpoint::{EndpointEntry, EndpointList, EndpointPoll, EndpointPollFailed, EndpointState};
pub use frame::FrameDecoder;
pub use handshake::{Challenge, Hello, Join, Role, Welcome};
pub use health_check::{HealthCheck, HealthCheckResponse, HealthStatus};
pub use message::Message;
pub use proof::{FleetKey, Nonce, Proof, Transcript};
pub use proxy_report::{ProxyReport, RouteLoad, ServerLoad};
pub use server::{ServerId, ServerMetrics};
pub use update::{
    AdmissionRule, Change, Exclusion, RetryPolicy, ServerWeight, TableBinding, Update, UpdateAck,
    UpdateCause, WeightChange,
};

/// The protocol version of this crate. A peer of another version is disconnected with
/// [`CloseReason::VersionMismatch`].
pub const PROTOCOL_VERSION: u16 = 2;

/// Maximum number of bytes of a frame's body on a stream that has joined.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Maximum number of bytes of a frame's body before the peer has joined, and so before the peer has proved that it holds
/// the fleet's key.
pub const MAX_BODY_BYTES_BEFORE_JOIN: usize = 4 << 10;
