//! The reasons for closing a connection or dropping a message.

use crate::wire::{FrameError, Message, MessageError};
use thiserror::Error;

/// The reason for closing a connection. The text is sent to a peer that has not joined. On the wire: do not change.
#[derive(Debug, Error)]
pub(super) enum CloseReason {
    #[error("too many have not joined")]
    TooManyUnknown,
    #[error("descriptors run out")]
    OutOfDescriptors,
    #[error("it did not join, or did not finish a message, in time")]
    TimedOut,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error("a collector of zone {0:?}, which is not stated")]
    UnknownZone(String),
    #[error("proxy {proxy} of zone {zone:?}, which does not exist")]
    UnknownProxy { proxy: u32, zone: String },
    #[error("a report without a joining")]
    ReportBeforeJoin,
    #[error("newer collectors of its zone have come")]
    NewerCollectors,
    #[error("a newer stream of its proxy has joined")]
    NewerStream,
}

/// The reason for dropping a message without closing its connection. The text is logged.
#[derive(Debug, Error)]
pub(super) enum DropReason {
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error("report of zone {zone:?} on server {server:?}, one of which is unknown")]
    UnknownServer { zone: String, server: String },
    #[error("usage of route {route:?} at proxy {proxy}, one of which is unknown or another sender's")]
    UnknownUsage { route: String, proxy: u32 },
    #[error("acknowledgement {0} is not pending on this stream")]
    AckNotPending(u32),
    #[error("unexpected on this connection: {0:?}")]
    Unexpected(Message),
}
