//! Encoding of records, followed by a checksum.

use serde::{Serialize, de::DeserializeOwned};
use std::io;
use thiserror::Error;

/// Number of bytes of the BLAKE3 hash that follow the encoded record. Stored: do not change.
const CHECKSUM_BYTES: usize = 16;

/// Reasons why a record cannot be read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The database reported an error.
    #[error(transparent)]
    Database(#[from] io::Error),
    /// The record does not exist.
    #[error("the record does not exist")]
    Missing,
    /// The record is shorter than its checksum.
    #[error("the record has {0} bytes, fewer than the {CHECKSUM_BYTES} of its checksum")]
    TooShort(usize),
    /// The checksum does not match the record.
    #[error("the checksum does not match the record")]
    WrongChecksum,
    /// The checksum is correct, but the record cannot be decoded.
    #[error("the checksum is correct, but the record cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// Encodes a record and appends its checksum.
pub(super) fn encode(record: &impl Serialize) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(record).expect("encoding into memory does not fail");
    let hash = blake3::hash(&bytes);
    bytes.extend_from_slice(&hash.as_bytes()[..CHECKSUM_BYTES]);
    bytes
}

/// Checks the checksum, and decodes the record.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    let length = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or(RecordError::TooShort(bytes.len()))?;
    let (content, checksum) = bytes.split_at(length);
    if blake3::hash(content).as_bytes()[..CHECKSUM_BYTES] != *checksum {
        return Err(RecordError::WrongChecksum);
    }
    Ok(postcard::from_bytes(content)?)
}
