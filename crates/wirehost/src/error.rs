//! The errors of a batch and their positions.

use crate::frame::MAX_METRICS;
use grebespool_platform_settings::SettingsError;
use thiserror::Error;

/// The reason why a batch cannot be applied.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The frame's header is invalid.
    #[error("malformed batch: {0}")]
    Frame(#[from] FrameError),
    /// A record cannot be applied. The records before it have been applied.
    #[error("malformed batch: record {position} (code {code}): {fault}")]
    Record {
        /// The position of the record in the batch.
        position: usize,
        /// The code of the record.
        code: u16,
        /// The error in the record.
        fault: RecordError,
    },
}

/// An error in the header of a frame.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The time is infinite or not a number.
    #[error("the clock at byte 4 is not a finite number")]
    InvalidClock,
    /// The records reach past the end of the frame.
    #[error("{records} records at byte 12 do not fit into {frame_bytes} bytes")]
    TooManyRecords {
        /// The number of records in the header.
        records: usize,
        /// The length of the frame in bytes.
        frame_bytes: usize,
    },
}

/// An error in a record.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The code of the record is unknown.
    #[error("unknown code")]
    UnknownCode,
    /// No earlier record of the batch names an instance.
    #[error("no earlier record names an instance")]
    NoInstance,
    /// The record belongs to an instance that does not exist.
    #[error("instance {0} was not started")]
    NotStarted(u32),
    /// The record refers to bytes past the end of the tail.
    #[error("offset {offset} and length {length} reach past the tail")]
    OutsideTail {
        /// The offset of the first byte in the tail.
        offset: usize,
        /// The number of items.
        length: usize,
    },
    /// A load report or a health check has more metrics than a record can hold.
    #[error("a record has {0} metrics instead of at most {MAX_METRICS}")]
    TooManyMetrics(usize),
    /// The number of an endpoint list is above the largest number.
    #[error("list number {0} is out of range")]
    ListNumberOutOfRange(u8),
    /// The kind of an endpoint list update is unknown.
    #[error("unknown kind {0} of list update")]
    UnknownListKind(u8),
    /// The state of a list entry is unknown.
    #[error("unknown state {0} of a list entry")]
    UnknownEndpointState(u8),
    /// The result of a health check is unknown.
    #[error("unknown health check result {0}")]
    UnknownHealthCheckResult(u16),
    /// The settings of a new instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
