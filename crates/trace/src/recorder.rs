//! Recording of a running process without waiting for the disk.

use crate::event::{Event, Timed};
use crate::write::Writer;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Passes events to a thread that writes them. If the thread does not keep up, events are dropped and counted, and an
/// [`Event::Gap`] replaces them, so that a recording never delays planning.
pub struct Recorder {
    to: SyncSender<Timed>,
    /// Number of events dropped so far.
    lost: u64,
    /// Number of the dropped events that a gap accounts for.
    reported: u64,
    thread: JoinHandle<io::Result<()>>,
}

impl Recorder {
    /// Number of events that may wait to be written.
    const QUEUE_LEN: usize = 8192;
    /// Longest time between two blocks: a crash loses the events of this time.
    const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

    /// Writes the header of a recording and starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the header cannot be written.
    pub fn new(file: impl Write + Send + 'static) -> io::Result<Recorder> {
        let (to, from) = sync_channel(Self::QUEUE_LEN);
        let writer = Writer::new(file)?;
        Ok(Recorder { to, lost: 0, reported: 0, thread: std::thread::spawn(move || write(writer, &from)) })
    }

    /// Records an event, or drops it if the queue is full.
    pub fn put(&mut self, timed: Timed) {
        if self.lost > self.reported {
            let gap = Timed { at_us: timed.at_us, event: Event::Gap { lost: self.lost - self.reported } };
            if self.to.try_send(gap).is_err() {
                self.lost += 1;
                return;
            }
            self.reported = self.lost;
        }
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.to.try_send(timed) {
            self.lost += 1;
        }
    }

    /// Returns the number of events dropped so far.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Ends the recording and waits until the file is written.
    ///
    /// # Errors
    ///
    /// Returns the first error of writing the file.
    pub fn finish(self) -> io::Result<()> {
        drop(self.to);
        self.thread.join().unwrap_or_else(|_| Err(io::Error::other("the recording's thread panicked")))
    }
}

/// Writes events until the recorder ends.
fn write(mut writer: Writer<impl Write>, from: &Receiver<Timed>) -> io::Result<()> {
    let mut last_flush = Instant::now();
    loop {
        match from.recv_timeout(Recorder::FLUSH_INTERVAL) {
            Ok(timed) => writer.put(timed)?,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return writer.finish().map(drop),
        }
        if last_flush.elapsed() >= Recorder::FLUSH_INTERVAL {
            writer.flush()?;
            last_flush = Instant::now();
        }
    }
}
