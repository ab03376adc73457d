//! Why a stream is closed.

use crate::codec::{enum_codec, struct_codec};

/// Why a stream is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The sender stops.
    ShuttingDown,
    /// A message could not be decoded.
    Malformed,
    /// The peer speaks another version.
    VersionMismatch,
    /// The peer may not join.
    Rejected,
    /// The same name has joined on a newer stream.
    Superseded,
    /// Bytes were not taken in time, or updates not acknowledged.
    TooSlow,
    /// Nothing was received for too long.
    TimedOut,
    /// Too many joins, or too many updates; the peer is to come again later.
    Overloaded,
    /// The message does not belong here.
    UnexpectedMessage,
    /// Another controller leads the fleet; the text is where it is, if that is known.
    NotLeader,
    /// The proxy has updates of a newer term than this controller's.
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
    /// The reason's name in the texts of [`Close`] messages. On the wire: do not rename.
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

/// Last message of a stream, from either side.
#[derive(Debug, Clone, PartialEq)]
pub struct Close {
    /// Why.
    pub reason: CloseReason,
    /// Details for logs; for [`CloseReason::NotLeader`] who leads.
    pub text: String,
}

struct_codec!(Close { reason: variant("a reason"), text: text("a reason's text") });
