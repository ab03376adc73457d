//! Blocks: how they stand in a file, and when one is whole. Free of I/O.

use crate::event::{Event, Timed};

pub const MAGIC: &[u8; 8] = b"GREBEDAY";
/// The version of the format. 1 had lists without their time; it is not read any more.
pub const VERSION: u16 = 2;
pub const FILE_HEAD: usize = 10;
pub const BLOCK_MAGIC: &[u8; 4] = b"blk\n";
pub const BLOCK_HEAD: usize = 48;
/// The most bytes that a block has once it is decompressed; a header that claims more is damaged.
pub const MOST_RAW: usize = 4 << 20;

/// What a block's header says. An end block has no events; its `first_us` is how many there were in all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    pub stored: usize,
    pub raw: usize,
    pub count: u32,
    pub first_us: u64,
    pub last_us: u64,
    sum: [u8; 16],
}

fn sum(fields: &[u8], stored: &[u8]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(fields).update(stored);
    let mut sum = [0; 16];
    sum.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    sum
}

/// Appends a block of events, none for the end of the recording.
pub fn write(out: &mut Vec<u8>, events: &[Timed], total: u64) {
    let mut raw = Vec::new();
    let mut before = events.first().map_or(0, |e| e.at_us);
    for timed in events {
        // Differences, which may be below nought: events come a little out of order.
        let step = timed.at_us.wrapping_sub(before) as i64;
        before = timed.at_us;
        raw = postcard::to_extend(&(step, &timed.event), raw).expect("memory takes all");
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
    let sum = sum(&out[start..], &stored);
    out.extend_from_slice(&sum);
    out.extend_from_slice(&stored);
}

/// Reads a header; `None` where there is none at this place.
pub fn head(bytes: &[u8; BLOCK_HEAD]) -> Option<Head> {
    let u32_at = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let u64_at = |at: usize| u64::from(u32_at(at)) << 32 | u64::from(u32_at(at + 4));
    let (stored, raw) = (u32_at(4) as usize, u32_at(8) as usize);
    // Sizes are believed before anything is allocated for them, so they are held to their limits first.
    let fits = raw <= MOST_RAW && stored <= lz4_flex::block::get_maximum_output_size(raw);
    let mut sum = [0; 16];
    sum.copy_from_slice(&bytes[32..48]);
    let head = Head { stored, raw, count: u32_at(12), first_us: u64_at(16), last_us: u64_at(24), sum };
    (bytes.starts_with(BLOCK_MAGIC) && fits).then_some(head)
}

/// The events of a block; `None` where it is not as it was written.
pub fn events(head: &Head, header: &[u8; BLOCK_HEAD], stored: &[u8]) -> Option<Vec<Timed>> {
    if sum(&header[..32], stored) != head.sum {
        return None;
    }
    let raw = lz4_flex::block::decompress(stored, head.raw).ok()?;
    let (mut rest, mut at_us) = (&raw[..], head.first_us);
    let mut events = Vec::new();
    for _ in 0..head.count {
        let ((step, event), after) = postcard::take_from_bytes::<(i64, Event)>(rest).ok()?;
        at_us = at_us.wrapping_add(step as u64);
        events.push(Timed { at_us, event });
        rest = after;
    }
    rest.is_empty().then_some(events)
}
