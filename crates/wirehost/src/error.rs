//! What is wrong with a batch, and where.

use grebespool_platform_settings::SettingsError;
use thiserror::Error;

/// Why a batch cannot be used.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The frame does not hold what its header says.
    #[error("malformed batch: {0}")]
    Frame(#[from] FrameError),
    /// A record cannot be used; the records before it are applied.
    #[error("malformed batch: record {position} (code {code}): {fault}")]
    Record {
        /// Its position in the batch.
        position: usize,
        /// Its code.
        code: u16,
        /// What is wrong with it.
        fault: RecordError,
    },
}

/// What is wrong with the header of a frame.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The time is infinite or not a number.
    #[error("the clock at byte 4 is not a number")]
    Clock,
    /// The records reach past the end.
    #[error("{records} records at byte 12 do not fit into {frame_bytes} bytes")]
    Records {
        /// The records that the header has.
        records: usize,
        /// The length of the frame.
        frame_bytes: usize,
    },
}

/// What is wrong with a record.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// Its code is not known.
    #[error("unknown code")]
    UnknownCode,
    /// No record before it has named an instance.
    #[error("an event for no instance")]
    NoInstance,
    /// It is for an instance that is not there.
    #[error("instance {0} was not started")]
    NotStarted(u32),
    /// It refers to bytes that are not there.
    #[error("offset {offset} and length {length} reach past the tail")]
    OutsideTail {
        /// The first byte, or the bytes before it in units of an item.
        offset: usize,
        /// The number of items.
        length: usize,
    },
    /// A load report has more values than fit.
    #[error("a load report of {0} values")]
    ReportLength(usize),
    /// A batch has fewer lists.
    #[error("list number {0}")]
    ListNumber(u8),
    /// It is not known how the list came.
    #[error("a list of sort {0}")]
    ListKind(u8),
    /// An entry's state is not known.
    #[error("a list entry of phase {0}")]
    EndpointState(u8),
    /// It is not known how the health check ended.
    #[error("a probe result of {0}")]
    HealthCheckResult(u16),
    /// The settings of a new instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
