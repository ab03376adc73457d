//! The writer of recordings.

use crate::block::{self, MAGIC, VERSION};
use crate::event::{Event, Timed};
use std::io::{self, Write};

/// Writes a recording. The writer holds the events of one block and writes the block when it is full or flushed.
pub struct Writer<W: Write> {
    to: W,
    block: Vec<Timed>,
    /// Approximate size of `block` before compression, in bytes.
    size: usize,
    /// Number of events written in earlier blocks.
    total: u64,
}

impl<W: Write> Writer<W> {
    /// Approximate size of a block before compression, in bytes. Small, so that a truncated recording loses little.
    const BLOCK_LEN: usize = 64 << 10;

    /// Writes the header of a recording.
    ///
    /// # Errors
    ///
    /// Returns an error if the header cannot be written.
    pub fn new(mut to: W) -> io::Result<Self> {
        to.write_all(MAGIC)?;
        to.write_all(&VERSION.to_be_bytes())?;
        Ok(Writer { to, block: Vec::new(), size: 0, total: 0 })
    }

    /// Adds an event, and writes the block if it is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the block cannot be written. Its events are lost.
    pub fn put(&mut self, timed: Timed) -> io::Result<()> {
        self.size += match &timed.event {
            Event::Call(_) => 24,
            Event::List { entries, .. } => 32 + entries.iter().map(|e| 32 + e.server.len()).sum::<usize>(),
            Event::Began { settings, .. } => 32 + settings.len(),
            _ => 16,
        };
        self.block.push(timed);
        if self.size >= Self::BLOCK_LEN { self.flush() } else { Ok(()) }
    }

    /// Writes the events held as a block, so that they are readable from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the block cannot be written.
    pub fn flush(&mut self) -> io::Result<()> {
        if !self.block.is_empty() {
            let mut out = Vec::new();
            block::append_block(&mut out, &self.block, 0);
            self.total += self.block.len() as u64;
            self.block.clear();
            self.size = 0;
            self.to.write_all(&out)?;
        }
        self.to.flush()
    }

    /// Writes the end block, which tells readers that the recording is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the end block cannot be written.
    pub fn finish(mut self) -> io::Result<W> {
        self.flush()?;
        let mut out = Vec::new();
        block::append_block(&mut out, &[], self.total);
        self.to.write_all(&out)?;
        self.to.flush()?;
        Ok(self.to)
    }
}
