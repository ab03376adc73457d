//! Why bytes are no message.

use thiserror::Error;

/// Why bytes are no message. `at` counts from the first byte after the message kind.
///
/// The texts go to the peer in a [`crate::Close`] message. On the wire: do not rename.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The frame's length exceeds what its sender may send.
    #[error("a frame of {length} bytes is over the limit of {limit}")]
    FrameTooLong {
        /// Bytes of the body, as the frame states them.
        length: usize,
        /// Most bytes allowed.
        limit: usize,
    },
    /// The body has no byte, so no message kind either.
    #[error("an empty frame")]
    EmptyFrame,
    /// No message has this kind.
    #[error("unknown message kind {0}")]
    UnknownKind(u8),
    /// The body ends inside a field.
    #[error("{what} at byte {at} is cut short")]
    Truncated {
        /// The field.
        what: &'static str,
        /// Where it begins.
        at: usize,
    },
    /// A field has a value that it cannot have.
    #[error("{what} at byte {at} cannot be {value}")]
    InvalidValue {
        /// The field.
        what: &'static str,
        /// Where it begins.
        at: usize,
        /// The value, or the bits of a floating-point value.
        value: u64,
    },
    /// A text is not UTF-8.
    #[error("{what} at byte {at} is not text")]
    InvalidUtf8 {
        /// The field.
        what: &'static str,
        /// Where it begins.
        at: usize,
    },
    /// A list states more items than the rest of the body can hold.
    #[error("{count} {what} at byte {at} are more than the frame holds")]
    CountTooLarge {
        /// The list.
        what: &'static str,
        /// Where it begins.
        at: usize,
        /// Items, as stated.
        count: usize,
    },
    /// The message ends before the body does.
    #[error("{left} bytes are left over after the message")]
    TrailingBytes {
        /// Bytes after the message.
        left: usize,
    },
}
