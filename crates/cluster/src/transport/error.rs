//! Why a stream between members fails.

use super::identity::PROTOCOL_VERSION;
use grebespool_leader_election::MemberId;
use std::io;
use thiserror::Error;
use tokio::time::error::Elapsed;

/// Why a stream between members fails.
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
    /// The other side is of another fleet.
    #[error("it is of fleet {theirs:016x}, this member of {own:016x}")]
    OtherFleet {
        /// Its fleet.
        theirs: u64,
        /// This member's fleet.
        own: u64,
    },
    /// The other side has this member's id.
    #[error("it has this member's own id: its folder was copied")]
    OwnId,
    /// Another member than the expected one is at an address.
    #[error("{name} ({found:016x}) is there in place of {expected:016x}")]
    OtherMember {
        /// The name of who is there.
        name: String,
        /// The id of who is there.
        found: MemberId,
        /// The id that was expected.
        expected: MemberId,
    },
    /// The other side holds none of the keys.
    #[error("it holds none of the keys")]
    UnknownKey,
    /// A frame's authentication code is wrong.
    #[error("a frame's code is wrong: another key, or it was altered or played again")]
    WrongCode,
    /// The other side rejects this one, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// A frame has a length that cannot be.
    #[error("a frame of {0} bytes, which cannot be")]
    FrameLength(usize),
    /// A frame's body cannot be decoded.
    #[error("a frame that cannot be read")]
    UnreadableFrame,
    /// A packet cannot be encoded.
    #[error("a packet cannot be encoded: {0}")]
    Encode(postcard::Error),
    /// The other side did not introduce itself.
    #[error("it did not say who it is")]
    NoIntroduction,
    /// A packet that does not belong on this stream, or not at this place.
    #[error("a packet that does not belong here")]
    UnexpectedPacket,
    /// A member answered something else than a response.
    #[error("it answered something else")]
    UnexpectedResponse,
    /// A snapshot's chunks do not fit together.
    #[error("{0}")]
    Snapshot(String),
}

impl TransportError {
    /// Whether one side does not trust the other, which an operator has to look at.
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

    /// Whether the other side closed the connection.
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
