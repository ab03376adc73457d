//! The encoding of blocks and their checksums. This module does no I/O.

use crate::event::{Event, Timed};

/// The first bytes of a recording.
pub(crate) const MAGIC: &[u8; 8] = b"GREBEDAY";
/// The version of the format. Version 1 had lists without their time and is no longer read.
pub const VERSION: u16 = 2;
/// Length of the header of a recording, in bytes: the magic bytes and the version.
pub(crate) const FILE_HEADER_LEN: usize = 10;
/// The first bytes of a block.
pub(crate) const BLOCK_MAGIC: &[u8; 4] = b"blk\n";
/// Length of the header of a block, in bytes.
pub(crate) const BLOCK_HEADER_LEN: usize = 48;
/// Largest length of a decompressed block, in bytes. A header that states more is damaged.
pub const MAX_BLOCK_LEN: usize = 4 << 20;

/// The header of a block. The block that ends a recording has no events, and its `first_us` is the number of events of
/// the whole recording.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BlockHeader {
    /// Length of the compressed events, in bytes.
    pub(crate) stored_len: usize,
    /// Length of the decompressed events, in bytes.
    pub(crate) raw_len: usize,
    /// Number of events.
    pub(crate) count: u32,
    /// Time of the first event, in microseconds.
    pub(crate) first_us: u64,
    /// Time of the latest event, in microseconds.
    pub(crate) last_us: u64,
    checksum: [u8; 16],
}

/// Returns the checksum over the header's other fields and the compressed events.
fn checksum(fields: &[u8], stored: &[u8]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(fields).update(stored);
    let mut checksum = [0; 16];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    checksum
}

/// Appends a block of `events`. An empty block ends the recording and states its `total` number of events.
pub(crate) fn append_block(out: &mut Vec<u8>, events: &[Timed], total: u64) {
    let mut raw = Vec::new();
    let mut previous_us = events.first().map_or(0, |e| e.at_us);
    for timed in events {
        // Times are stored as deltas. A delta is negative where events are slightly out of order.
        let delta_us = timed.at_us.wrapping_sub(previous_us) as i64;
        previous_us = timed.at_us;
        raw = postcard::to_extend(&(delta_us, &timed.event), raw).expect("writing to memory does not fail");
    }
    let stored = lz4_flex::block::compress(&raw);
    let (first, last) = match events {
        [] => (total, 0),
        all => (all[0].at_us, all.iter().map(|e| e.at_us).max().unwrap_or(0)),
    };
    let start = out.len();
    out.extend_from_slice(BLOCK_MAGIC);
    for field in [stored.len() as u32, raw.len() as u32, events.len() as u32] {
        out.extend_from_slice(&field.to_be_bytes());
    }
    out.extend_from_slice(&first.to_be_bytes());
    out.extend_from_slice(&last.to_be_bytes());
    let checksum = checksum(&out[start..], &stored);
    out.extend_from_slice(&checksum);
    out.extend_from_slice(&stored);
}

/// Parses the header of a block; `None` if the bytes are not one.
pub(crate) fn parse_header(bytes: &[u8; BLOCK_HEADER_LEN]) -> Option<BlockHeader> {
    let u32_at = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let u64_at = |at: usize| u64::from(u32_at(at)) << 32 | u64::from(u32_at(at + 4));
    let (stored_len, raw_len) = (u32_at(4) as usize, u32_at(8) as usize);
    // Memory is allocated by these lengths before the checksum is verified, so they are limited here.
    let fits = raw_len <= MAX_BLOCK_LEN && stored_len <= lz4_flex::block::get_maximum_output_size(raw_len);
    let mut checksum = [0; 16];
    checksum.copy_from_slice(&bytes[32..48]);
    let header = BlockHeader {
        stored_len,
        raw_len,
        count: u32_at(12),
        first_us: u64_at(16),
        last_us: u64_at(24),
        checksum,
    };
    (bytes.starts_with(BLOCK_MAGIC) && fits).then_some(header)
}

/// Decodes the events of a block; `None` if the block is damaged.
pub(crate) fn decode_events(
    header: &BlockHeader,
    header_bytes: &[u8; BLOCK_HEADER_LEN],
    stored: &[u8],
) -> Option<Vec<Timed>> {
    if checksum(&header_bytes[..32], stored) != header.checksum {
        return None;
    }
    let raw = lz4_flex::block::decompress(stored, header.raw_len).ok()?;
    let (mut rest, mut at_us) = (&raw[..], header.first_us);
    let mut events = Vec::new();
    for _ in 0..header.count {
        let ((delta_us, event), after) = postcard::take_from_bytes::<(i64, Event)>(rest).ok()?;
        at_us = at_us.wrapping_add(delta_us as u64);
        events.push(Timed { at_us, event });
        rest = after;
    }
    rest.is_empty().then_some(events)
}
