//! Reading a recording, block by block.

use crate::block::{self, BLOCK_HEAD, BLOCK_MAGIC, FILE_HEAD, MAGIC, MOST_RAW, VERSION};
use crate::event::{Event, Timed};
use std::io::{self, Read};
use thiserror::Error;

/// What is wrong with a recording. Places are bytes from the file's first.
#[derive(Debug, Error)]
pub enum Flaw {
    #[error("this is no recording: it does not begin with {:?}", String::from_utf8_lossy(MAGIC))]
    Foreign,
    #[error("the recording has version {found}; this program reads version {VERSION}")]
    Version { found: u16 },
    #[error(
        "the block at byte {at} is damaged; {saved} events before it are whole (--salvage reads on after it)"
    )]
    Damaged { at: u64, saved: u64 },
    #[error("{told} events were written and {read} are there: blocks are missing")]
    Missing { told: u64, read: u64 },
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// How a recording ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Whole,
    /// It was cut off at this byte, after the last whole block.
    CutOff {
        at: u64,
    },
}

/// Gives the events of a recording one after another, holding one block.
pub struct Reader<R: Read> {
    from: R,
    salvage: bool,
    bytes: Vec<u8>,
    /// Where `bytes` begins in the file.
    at: u64,
    block: std::vec::IntoIter<Timed>,
    /// Of this part of the file, since its beginning.
    read: u64,
    end: Option<End>,
    ended: bool,
}

impl<R: Read> Reader<R> {
    /// `salvage`: read on after a damaged block; a [`Event::Gap`] stands in its place.
    ///
    /// # Errors
    ///
    /// It is no recording, or one of another version.
    pub fn new(from: R, salvage: bool) -> Result<Self, Flaw> {
        let block = Vec::new().into_iter();
        let mut reader =
            Reader { from, salvage, bytes: vec![], at: 0, block, read: 0, end: None, ended: false };
        if !reader.fill(FILE_HEAD)? || !reader.bytes.starts_with(MAGIC) {
            return Err(Flaw::Foreign);
        }
        let found = u16::from_be_bytes([reader.bytes[8], reader.bytes[9]]);
        if found != VERSION {
            return Err(Flaw::Version { found });
        }
        reader.drop_front(FILE_HEAD);
        Ok(reader)
    }

    /// Known once all events were given.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Whether so many bytes are there.
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

    /// The next event, `None` at the end.
    ///
    /// # Errors
    ///
    /// A damaged block, unless those are passed over, and the file's own. Nothing more is given after one.
    pub fn event(&mut self) -> Result<Option<Timed>, Flaw> {
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

    /// Whether there was one more.
    fn next_block(&mut self) -> Result<bool, Flaw> {
        if !self.fill(BLOCK_HEAD)? {
            self.end = Some(End::CutOff { at: self.at });
            return Ok(false);
        }
        let Some(header) = self.bytes.first_chunk::<BLOCK_HEAD>().copied() else { return Ok(false) };
        let Some(head) = block::head(&header) else { return self.damaged() };
        if !self.fill(BLOCK_HEAD + head.stored)? {
            self.end = Some(End::CutOff { at: self.at });
            // A length that is damaged looks as if the file were cut off; what is whole after it shows which.
            return if self.salvage { self.damaged() } else { Ok(false) };
        }
        let Some(events) = block::events(&head, &header, &self.bytes[BLOCK_HEAD..BLOCK_HEAD + head.stored])
        else {
            return self.damaged();
        };
        self.drop_front(BLOCK_HEAD + head.stored);
        if head.count == 0 {
            self.end = Some(End::Whole);
            if head.first_us != self.read && !self.salvage {
                return Err(Flaw::Missing { told: head.first_us, read: self.read });
            }
            return Ok(false);
        }
        self.block = events.into_iter();
        Ok(true)
    }

    fn damaged(&mut self) -> Result<bool, Flaw> {
        if !self.salvage {
            self.ended = true;
            return Err(Flaw::Damaged { at: self.at, saved: self.read });
        }
        // On to the next place where a whole block stands.
        self.drop_front(1);
        loop {
            self.fill(BLOCK_HEAD + MOST_RAW / 8)?;
            let found = self.bytes.windows(BLOCK_MAGIC.len()).position(|w| w == BLOCK_MAGIC);
            let Some(place) = found.filter(|p| self.bytes.len() - p >= BLOCK_HEAD) else {
                self.end = Some(End::CutOff { at: self.at });
                return Ok(false);
            };
            self.drop_front(place);
            let header = *self.bytes.first_chunk::<BLOCK_HEAD>().expect("as many bytes are there");
            let whole =
                block::head(&header).filter(|h| self.bytes.len() >= BLOCK_HEAD + h.stored).filter(|h| {
                    block::events(h, &header, &self.bytes[BLOCK_HEAD..BLOCK_HEAD + h.stored]).is_some()
                });
            match whole {
                Some(head) => {
                    let gap = Timed { at_us: head.first_us, event: Event::Gap { lost: 0 } };
                    self.end = None;
                    if head.count > 0 {
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
    type Item = Result<Timed, Flaw>;

    fn next(&mut self) -> Option<Self::Item> {
        self.event().transpose()
    }
}
