//! Writing a recording as it happens.

use crate::block::{self, MAGIC, VERSION};
use crate::event::{Event, Timed};
use std::io::{self, Write};

/// Holds one block's events at a time; a block is written once it is full, or when it is asked for.
pub struct Writer<W: Write> {
    to: W,
    block: Vec<Timed>,
    size: usize,
    total: u64,
}

impl<W: Write> Writer<W> {
    /// About so many bytes of events make a block: small enough that little is lost with the last one.
    const BLOCK: usize = 64 << 10;

    /// # Errors
    ///
    /// The file's.
    pub fn new(mut to: W) -> io::Result<Self> {
        to.write_all(MAGIC)?;
        to.write_all(&VERSION.to_be_bytes())?;
        Ok(Writer { to, block: Vec::new(), size: 0, total: 0 })
    }

    /// # Errors
    ///
    /// The file's. What was in the block that could not be written is lost.
    pub fn put(&mut self, timed: Timed) -> io::Result<()> {
        self.size += match &timed.event {
            Event::Call(_) => 24,
            Event::List { entries, .. } => 32 + entries.iter().map(|e| 32 + e.server.len()).sum::<usize>(),
            Event::Began { settings, .. } => 32 + settings.len(),
            _ => 16,
        };
        self.block.push(timed);
        if self.size >= Self::BLOCK { self.flush() } else { Ok(()) }
    }

    /// Writes what there is as a block of its own, so that it is readable from here on.
    ///
    /// # Errors
    ///
    /// The file's.
    pub fn flush(&mut self) -> io::Result<()> {
        if !self.block.is_empty() {
            let mut out = Vec::new();
            block::write(&mut out, &self.block, 0);
            self.total += self.block.len() as u64;
            self.block.clear();
            self.size = 0;
            self.to.write_all(&out)?;
        }
        self.to.flush()
    }

    /// Ends the recording: a reader knows by the last block that nothing is missing after it.
    ///
    /// # Errors
    ///
    /// The file's.
    pub fn finish(mut self) -> io::Result<W> {
        self.flush()?;
        let mut out = Vec::new();
        block::write(&mut out, &[], self.total);
        self.to.write_all(&out)?;
        self.to.flush()?;
        Ok(self.to)
    }
}
