//! Errors of streams between members.

use super::identity::PROTOCOL_VERSION;
use grebespool_leader_election::MemberId;
use std::io;
use thiserror::Error;
use tokio::time::error::Elapsed;

/// Reasons why a stream between members fails.
// the texts of failures to connect are part of responses to requests (`members add`) and must not change
#[derive(Debug, Error)]
pub enum TransportError {
    /// The connection failed, was closed, or took too long.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The other side speaks another protocol.
    #[error("it is no member")]
    NotAMember,
    /// The other side speaks another version of the protocol.
    #[error("it speaks version {0}, this member {PROTOCOL_VERSION}")]
    OtherVersion(u16),
    /// The other side belongs to another fleet.
    #[error("it is of fleet {theirs:016x}, this member of {own:016x}")]
    OtherFleet {
        /// Id of the other side's fleet.
        theirs: u64,
        /// Id of this member's fleet.
        own: u64,
    },
    /// The other side has this member's id.
    #[error("it has this member's own id: its folder was copied")]
    OwnId,
    /// Another member than the expected one listens at an address.
    #[error("found member {name} ({found:016x}) at the address, expected {expected:016x}")]
    OtherMember {
        /// Name of the member at the address.
        name: String,
        /// Id of the member at the address.
        found: MemberId,
        /// The expected id.
        expected: MemberId,
    },
    /// The other side has none of this member's keys.
    #[error("it holds none of the keys")]
    UnknownKey,
    /// A frame's authentication code is wrong.
    #[error("a frame's code is wrong: another key, or it was altered or played again")]
    WrongCode,
    /// The other side rejected this member for this reason.
    #[error("{0}")]
    Rejected(String),
    /// The length of a frame is out of range.
    #[error("a frame of {0} bytes, which cannot be")]
    FrameLength(usize),
    /// A frame's body cannot be decoded.
    #[error("a frame that cannot be read")]
    UnreadableFrame,
    /// A packet cannot be encoded.
    #[error("a packet cannot be encoded: {0}")]
    Encode(postcard::Error),
    /// The first packet of the other side is not an introduction.
    #[error("it did not say who it is")]
    NoIntroduction,
    /// The packet is not expected on this stream, or not at this point.
    #[error("unexpected packet")]
    UnexpectedPacket,
    /// A member answered a request with a packet that is not a response.
    #[error("the answer to a request is not a response")]
    UnexpectedResponse,
    /// The chunks of a snapshot are inconsistent or damaged.
    #[error("{0}")]
    Snapshot(String),
}

impl TransportError {
    /// Returns true if one side rejects the other, which an operator has to resolve.
    pub fn is_rejection(&self) -> bool {
        match self {
            TransportError::OtherVersion(_)
            | TransportError::OtherFleet { .. }
            | TransportError::OwnId
            | TransportError::OtherMember { .. }
            | TransportError::UnknownKey
            | TransportError::WrongCode
            | TransportError::Rejected(_) => true,
            TransportError::Io(error) => error.kind() == io::ErrorKind::PermissionDenied,
            _ => false,
        }
    }

    /// Returns true if the other side closed the connection.
    pub fn is_closed(&self) -> bool {
        let closed = [io::ErrorKind::UnexpectedEof, io::ErrorKind::ConnectionReset];
        matches!(self, TransportError::Io(error) if closed.contains(&error.kind()))
    }
}

impl From<Elapsed> for TransportError {
    fn from(elapsed: Elapsed) -> TransportError {
        TransportError::Io(elapsed.into())
    }
}

impl From<TransportError> for io::Error {
    fn from(error: TransportError) -> io::Error {
        let kind = match &error {
            TransportError::Io(_) => io::ErrorKind::Other,
            error if error.is_rejection() => io::ErrorKind::PermissionDenied,
            _ => io::ErrorKind::InvalidData,
        };
        match error {
            TransportError::Io(error) => error,
            other => io::Error::new(kind, other.to_string()),
        }
    }
}
