//! Recording while something runs, without ever waiting for the disk.

use crate::event::{Event, Timed};
use crate::write::Writer;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Hands events to a thread that writes them. Where that does not keep up, events are left out and counted, and
/// a [`Event::Gap`] stands in their place: planning is never held up by a recording.
pub struct Recorder {
    to: SyncSender<Timed>,
    lost: u64,
    /// Of those, how many a gap tells of already.
    told: u64,
    thread: JoinHandle<io::Result<()>>,
}

impl Recorder {
    /// Events that may wait to be written.
    const WAITING: usize = 8192;
    /// A block is written at least so often, so that little is lost with a crash.
    const EVERY: Duration = Duration::from_secs(1);

    /// # Errors
    ///
    /// The file's, for its first bytes.
    pub fn new(file: impl Write + Send + 'static) -> io::Result<Recorder> {
        let (to, from) = sync_channel(Self::WAITING);
        let writer = Writer::new(file)?;
        Ok(Recorder { to, lost: 0, told: 0, thread: std::thread::spawn(move || write(writer, &from)) })
    }

    pub fn put(&mut self, timed: Timed) {
        if self.lost > self.told {
            let gap = Timed { at_us: timed.at_us, event: Event::Gap { lost: self.lost - self.told } };
            if self.to.try_send(gap).is_err() {
                self.lost += 1;
                return;
            }
            self.told = self.lost;
        }
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.to.try_send(timed) {
            self.lost += 1;
        }
    }

    /// Events that were left out so far.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Ends the recording and waits until it is written.
    ///
    /// # Errors
    ///
    /// The file's: the first that it met.
    pub fn finish(self) -> io::Result<()> {
        drop(self.to);
        self.thread.join().unwrap_or_else(|_| Err(io::Error::other("the recording's thread panicked")))
    }
}

fn write(mut writer: Writer<impl Write>, from: &Receiver<Timed>) -> io::Result<()> {
    let mut flushed = Instant::now();
    loop {
        match from.recv_timeout(Recorder::EVERY) {
            Ok(timed) => writer.put(timed)?,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return writer.finish().map(drop),
        }
        if flushed.elapsed() >= Recorder::EVERY {
            writer.flush()?;
            flushed = Instant::now();
        }
    }
}
