//! The log, written by a separate thread. The reader of standard error may stop reading or exit. If the planner's own
//! thread wrote to a full pipe, the planner would block, and no proxy would learn of drains.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;
use tracing::Level;

/// The number of lines that may wait to be written. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 256;
/// The environment variable with the least severe level that is logged, such as `debug`.
const LEVEL_VARIABLE: &str = "GREBESPOOL_LOG";
/// The level if the variable is not set or not a level.
const DEFAULT_LEVEL: Level = Level::INFO;
/// The time limit for writing the last lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

enum Entry {
    Line(Vec<u8>),
    /// A request for a signal when all lines before this entry are written.
    Flush(SyncSender<()>),
}

/// A writer that queues the formatted line of one event. The formatter passes each event in a single write.
struct LineSender {
    entries: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineSender {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.entries.try_send(Entry::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The log of this process on standard error.
pub struct BackgroundLog {
    /// The queue of the writing thread; unset if another log was set up before.
    entries: Option<SyncSender<Entry>>,
}

impl BackgroundLog {
    /// Sets up the log of the process, unless another log was set up before. If the thread cannot be started, all lines
    /// are dropped.
    pub fn start() -> Self {
        let (entries, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let (to_queue, dropped_by_sender) = (entries.clone(), dropped.clone());
        let set_up = tracing_subscriber::fmt()
            .with_writer(move || LineSender { entries: to_queue.clone(), dropped: dropped_by_sender.clone() })
            .with_ansi(false)
            .with_max_level(level())
            .try_init();
        if set_up.is_err() {
            return BackgroundLog { entries: None };
        }
        let _ = thread::Builder::new().name("log".into()).spawn(move || write_entries(&queue, &dropped));
        BackgroundLog { entries: Some(entries) }
    }

    /// Waits for a limited time until the last lines are written, because the reader may have stopped reading.
    ///
    /// Does nothing if another log was set up before this one.
    pub fn finish(self) {
        let (done, written) = sync_channel(1);
        if self.entries.is_some_and(|entries| entries.try_send(Entry::Flush(done)).is_ok()) {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn level() -> Level {
    let name = std::env::var(LEVEL_VARIABLE).ok();
    name.and_then(|name| name.parse().ok()).unwrap_or(DEFAULT_LEVEL)
}

/// Writes the queued entries to standard error until all senders are dropped. Write errors are ignored: if the reader
/// of standard error has exited, they cannot be reported anywhere else.
fn write_entries(queue: &Receiver<Entry>, dropped: &AtomicU64) {
    let mut output = std::io::stderr();
    for entry in queue {
        match entry {
            Entry::Line(line) => drop(output.write_all(&line)),
            Entry::Flush(done) => drop(done.try_send(())),
        }
        let dropped = dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            drop(writeln!(output, "dropping {dropped} log lines; the reader of standard error is too slow"));
        }
    }
}
