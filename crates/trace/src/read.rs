//! The reader of recordings.

use crate::block::{self, BLOCK_HEADER_LEN, BLOCK_MAGIC, FILE_HEADER_LEN, MAGIC, MAX_BLOCK_LEN, VERSION};
use crate::event::{Event, Timed};
use std::io::{self, Read};
use thiserror::Error;

/// The reason why a recording cannot be read, or not further. Offsets are in bytes from the start of the file.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The file does not begin with the magic bytes of a recording.
    #[error("this is no recording: it does not begin with {:?}", String::from_utf8_lossy(MAGIC))]
    Foreign,
    /// The recording has a version of the format that is not supported.
    #[error("the recording has version {found}; this program reads version {VERSION}")]
    Version {
        /// The version of the recording.
        found: u16,
    },
    /// A block does not match its checksum, or its header is invalid.
    #[error(
        "the block at byte {at} is damaged; {events_before} events before it are whole (--salvage reads on after it)"
    )]
    Damaged {
        /// Offset of the block.
        at: u64,
        /// Number of events that were read before the block.
        events_before: u64,
    },
    /// Whole blocks are missing in the middle of the recording.
    #[error("{written} events were written and {read} are there: blocks are missing")]
    Missing {
        /// Number of events by the end block.
        written: u64,
        /// Number of events that were read.
        read: u64,
    },
    /// The file cannot be read.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// The way in which a recording ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The recording has its end block.
    Whole,
    /// The recording is truncated.
    CutOff {
        /// Offset of the end of the last whole block, in bytes.
        at: u64,
    },
}

/// Reads the events of a recording one after another, with one block in memory at a time.
pub struct Reader<R: Read> {
    from: R,
    salvage: bool,
    bytes: Vec<u8>,
    /// Offset of `bytes` in the file.
    at: u64,
    /// Events of the current block that were not returned yet.
    block: std::vec::IntoIter<Timed>,
    /// Number of events returned so far.
    read: u64,
    end: Option<End>,
    ended: bool,
}

impl<R: Read> Reader<R> {
    /// Opens a recording. With `salvage`, the reader skips damaged blocks and returns an [`Event::Gap`] in place of each
    /// run of them.
    ///
    /// # Errors
    ///
    /// Returns an error if `from` is not a recording, has another version or cannot be read.
    pub fn new(from: R, salvage: bool) -> Result<Self, ReadError> {
        let block = Vec::new().into_iter();
        let mut reader =
            Reader { from, salvage, bytes: vec![], at: 0, block, read: 0, end: None, ended: false };
        if !reader.fill(FILE_HEADER_LEN)? || !reader.bytes.starts_with(MAGIC) {
            return Err(ReadError::Foreign);
        }
        let found = u16::from_be_bytes([reader.bytes[8], reader.bytes[9]]);
        if found != VERSION {
            return Err(ReadError::Version { found });
        }
        reader.drop_front(FILE_HEADER_LEN);
        Ok(reader)
    }

    /// Returns how the recording ends; `None` until all events were read.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Reads until `bytes` holds `count` bytes. Returns true if the file has that many.
    fn fill(&mut self, count: usize) -> io::Result<bool> {
        let missing = count.saturating_sub(self.bytes.len());
        // `take` grows the buffer as bytes come, so that a false length claims no memory.
        self.from.by_ref().take(missing as u64).read_to_end(&mut self.bytes)?;
        Ok(self.bytes.len() >= count)
    }

    fn drop_front(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.at += count as u64;
    }

    /// Returns the next event; `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns an error if a block is damaged or missing and the reader does not salvage, or if the file cannot be
    /// read. After a damaged block, no more events follow.
    pub fn event(&mut self) -> Result<Option<Timed>, ReadError> {
        loop {
            if let Some(timed) = self.block.next() {
                self.read += 1;
                return Ok(Some(timed));
            }
            if self.ended || !self.next_block()? {
                self.ended = true;
                return Ok(None);
            }
        }
    }

    /// Decodes the next block. Returns true if there was one.
    fn next_block(&mut self) -> Result<bool, ReadError> {
        if !self.fill(BLOCK_HEADER_LEN)? {
            self.end = Some(End::CutOff { at: self.at });
            return Ok(false);
        }
        let Some(header_bytes) = self.bytes.first_chunk::<BLOCK_HEADER_LEN>().copied() else {
            return Ok(false);
        };
        let Some(header) = block::parse_header(&header_bytes) else { return self.skip_damaged() };
        if !self.fill(BLOCK_HEADER_LEN + header.stored_len)? {
            self.end = Some(End::CutOff { at: self.at });
            // A damaged length looks like a truncated file. A whole block after it shows that it is the former.
            return if self.salvage { self.skip_damaged() } else { Ok(false) };
        }
        let Some(events) = block::decode_events(
            &header,
            &header_bytes,
            &self.bytes[BLOCK_HEADER_LEN..BLOCK_HEADER_LEN + header.stored_len],
        ) else {
            return self.skip_damaged();
        };
        self.drop_front(BLOCK_HEADER_LEN + header.stored_len);
        if header.count == 0 {
            self.end = Some(End::Whole);
            if header.first_us != self.read && !self.salvage {
                return Err(ReadError::Missing { written: header.first_us, read: self.read });
            }
            return Ok(false);
        }
        self.block = events.into_iter();
        Ok(true)
    }

    /// Fails at a damaged block or, when salvaging, skips to the next whole one. Returns true if there is one.
    fn skip_damaged(&mut self) -> Result<bool, ReadError> {
        if !self.salvage {
            self.ended = true;
            return Err(ReadError::Damaged { at: self.at, events_before: self.read });
        }
        self.drop_front(1);
        loop {
            self.fill(BLOCK_HEADER_LEN + MAX_BLOCK_LEN / 8)?;
            let found = self.bytes.windows(BLOCK_MAGIC.len()).position(|w| w == BLOCK_MAGIC);
            let Some(offset) = found.filter(|p| self.bytes.len() - p >= BLOCK_HEADER_LEN) else {
                self.end = Some(End::CutOff { at: self.at });
                return Ok(false);
            };
            self.drop_front(offset);
            let header_bytes = *self
                .bytes
                .first_chunk::<BLOCK_HEADER_LEN>()
                .expect("the filter above leaves a whole header");
            let whole = block::parse_header(&header_bytes)
                .filter(|h| self.bytes.len() >= BLOCK_HEADER_LEN + h.stored_len)
                .filter(|h| {
                    block::decode_events(
                        h,
                        &header_bytes,
                        &self.bytes[BLOCK_HEADER_LEN..BLOCK_HEADER_LEN + h.stored_len],
                    )
                    .is_some()
                });
            match whole {
                Some(header) => {
                    let gap = Timed { at_us: header.first_us, event: Event::Gap { lost: 0 } };
                    self.end = None;
                    if header.count > 0 {
                        self.block = vec![gap].into_iter();
                    }
                    return Ok(true);
                }
                None => self.drop_front(1),
            }
        }
    }
}

impl<R: Read> Iterator for Reader<R> {
    type Item = Result<Timed, ReadError>;

    fn next(&mut self) -> Option<Self::Item> {
        self.event().transpose()
    }
}
