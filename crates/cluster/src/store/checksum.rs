//! Encoding of records with a checksum behind.

use serde::{Serialize, de::DeserializeOwned};
use std::io;
use thiserror::Error;

/// Bytes of the BLAKE3 hash that follow the encoded record.
const CHECKSUM_BYTES: usize = 16;

/// Why a record cannot be read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The database fails.
    #[error(transparent)]
    Database(#[from] io::Error),
    /// The record is not there.
    #[error("nothing is in it")]
    Missing,
    /// The record is shorter than its checksum.
    #[error("it has {0} bytes, fewer than its checksum")]
    TooShort(usize),
    /// The checksum is another one.
    #[error("its checksum is wrong")]
    WrongChecksum,
    /// The checksum is right, and the record cannot be decoded.
    #[error("its checksum is right and it cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// Encodes a record.
pub(super) fn encode(record: &impl Serialize) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(record).expect("encoding into memory does not fail");
    let hash = blake3::hash(&bytes);
    bytes.extend_from_slice(&hash.as_bytes()[..CHECKSUM_BYTES]);
    bytes
}

/// Decodes a record.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    let length = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or(RecordError::TooShort(bytes.len()))?;
    let (content, checksum) = bytes.split_at(length);
    if blake3::hash(content).as_bytes()[..CHECKSUM_BYTES] != *checksum {
        return Err(RecordError::WrongChecksum);
    }
    Ok(postcard::from_bytes(content)?)
}
