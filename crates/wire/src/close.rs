//! The message that closes a stream.

use crate::codec::{enum_codec, struct_codec};

/// The reason to close a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The sender shuts down.
    ShuttingDown,
    /// A message could not be decoded.
    Malformed,
    /// The peer speaks another version of the protocol.
    VersionMismatch,
    /// The peer is not allowed to join.
    Rejected,
    /// A proxy of the same name has joined on a newer stream.
    Superseded,
    /// The peer did not read bytes or acknowledge updates in time.
    TooSlow,
    /// No message was received for too long.
    TimedOut,
    /// There were too many joins or updates. The peer should connect again later.
    Overloaded,
    /// The peer sent a message that is not expected in the current state of the stream.
    UnexpectedMessage,
    /// Another controller leads the fleet. The text contains the leader's address, if the address is known.
    NotLeader,
    /// The proxy has received updates of a newer term than this controller's.
    StaleTerm,
}

// On the wire: do not renumber.
enum_codec!(CloseReason {
    0 => ShuttingDown,
    1 => Malformed,
    2 => VersionMismatch,
    3 => Rejected,
    4 => Superseded,
    5 => TooSlow,
    6 => TimedOut,
    7 => Overloaded,
    8 => UnexpectedMessage,
    9 => NotLeader,
    10 => StaleTerm,
});

impl CloseReason {
    /// Returns the reason's name in the texts of [`Close`] messages. On the wire: do not rename.
    pub fn wire_name(self) -> &'static str {
        match self {
            CloseReason::ShuttingDown => "Stopping",
            CloseReason::Malformed => "Malformed",
            CloseReason::VersionMismatch => "Version",
            CloseReason::Rejected => "Refused",
            CloseReason::Superseded => "Superseded",
            CloseReason::TooSlow => "Slow",
            CloseReason::TimedOut => "Silent",
            CloseReason::Overloaded => "Busy",
            CloseReason::UnexpectedMessage => "State",
            CloseReason::NotLeader => "Elsewhere",
            CloseReason::StaleTerm => "PassedOver",
        }
    }
}

/// The last message of a stream, from either side.
#[derive(Debug, Clone, PartialEq)]
pub struct Close {
    /// The reason to close the stream.
    pub reason: CloseReason,
    /// Details for logs; for [`CloseReason::NotLeader`] the leader's address.
    pub text: String,
}

struct_codec!(Close { reason: variant("a reason"), text: text("a reason's text") });
