//! The errors of decoding a message.

use thiserror::Error;

/// The reason why bytes cannot be decoded as a message. `at` is counted from the first byte after the message kind.
///
/// The peer receives the texts in a [`crate::Close`] message: do not reword.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The length of the frame exceeds the limit for its sender.
    #[error("a frame of {length} bytes is over the limit of {limit}")]
    FrameTooLong {
        /// Number of bytes of the body, as stated in the frame.
        length: usize,
        /// Maximum number of bytes.
        limit: usize,
    },
    /// The body is empty and so has no message kind.
    #[error("an empty frame")]
    EmptyFrame,
    /// The message kind is not defined.
    #[error("unknown message kind {0}")]
    UnknownKind(u8),
    /// The body ends inside a field.
    #[error("{what} at byte {at} is cut short")]
    Truncated {
        /// The words for the field.
        what: &'static str,
        /// The position of the field's first byte.
        at: usize,
    },
    /// The value of a field is outside the field's range.
    #[error("{what} at byte {at} cannot be {value}")]
    InvalidValue {
        /// The words for the field.
        what: &'static str,
        /// The position of the field's first byte.
        at: usize,
        /// The value; of a floating-point value its bits.
        value: u64,
    },
    /// A text is not UTF-8.
    #[error("{what} at byte {at} is not text")]
    InvalidUtf8 {
        /// The words for the field.
        what: &'static str,
        /// The position of the field's first byte.
        at: usize,
    },
    /// The stated number of items of a list does not fit into the rest of the body.
    #[error("{count} {what} at byte {at} are more than the frame holds")]
    CountTooLarge {
        /// The words for the items of the list.
        what: &'static str,
        /// The position of the list's first byte.
        at: usize,
        /// The stated number of items.
        count: usize,
    },
    /// The message ends before the body does.
    #[error("{left} bytes are left over after the message")]
    TrailingBytes {
        /// Number of bytes after the message.
        left: usize,
    },
}
