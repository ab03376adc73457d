//! The log, written by a thread of its own. Whoever reads it may stop reading, or be gone: a planner that writes to a full
//! pipe itself stands still, and with it every proxy's drains.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;
use tracing::Level;

/// Lines that may wait for their reader; more are counted and left out.
const MOST_WAITING: usize = 256;
/// Names the least important level that is logged, such as `debug`; `info` where it is not set.
const LEVEL: &str = "GREBESPOOL_LOG";
/// How long the last lines are waited for at the end.
const LAST_LINES: Duration = Duration::from_millis(100);

enum Entry {
    Line(Vec<u8>),
    /// All lines before it were written.
    Written(SyncSender<()>),
}

/// What gathers one event's text. The formatter writes each event at once.
struct Line {
    to: SyncSender<Entry>,
    left_out: Arc<AtomicU64>,
}

impl Write for Line {
    fn write(&mut self, text: &[u8]) -> std::io::Result<usize> {
        if self.to.try_send(Entry::Line(text.to_vec())).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(text.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The log of this process.
pub struct Log(Option<SyncSender<Entry>>);

impl Log {
    /// Writes to standard error, where nobody else has set up a log.
    pub fn start() -> Log {
        let (to, lines) = sync_channel(MOST_WAITING);
        let left_out = Arc::new(AtomicU64::new(0));
        let line = Line { to: to.clone(), left_out: left_out.clone() };
        let begun = tracing_subscriber::fmt()
            .with_writer(move || Line { to: line.to.clone(), left_out: line.left_out.clone() })
            .with_ansi(false)
            .with_max_level(level())
            .try_init();
        if begun.is_err() {
            return Log(None);
        }
        // Where no thread can be had, lines are left out and the planner serves on.
        let _ = thread::Builder::new().name("log".into()).spawn(move || write(&lines, &left_out));
        Log(Some(to))
    }

    /// Waits for the last lines, but not for a reader that takes none.
    pub fn end(self) {
        let (done, written) = sync_channel(1);
        if self.0.is_some_and(|to| to.try_send(Entry::Written(done)).is_ok()) {
            let _ = written.recv_timeout(LAST_LINES);
        }
    }
}

fn level() -> Level {
    let told = std::env::var(LEVEL).ok();
    told.and_then(|name| name.parse().ok()).unwrap_or(Level::INFO)
}

fn write(lines: &Receiver<Entry>, left_out: &AtomicU64) {
    let mut to = std::io::stderr();
    for entry in lines {
        // A reader that is gone is no reason to end, nor to say so: there is nowhere else to say it.
        match entry {
            Entry::Line(text) => drop(to.write_all(&text)),
            Entry::Written(done) => drop(done.try_send(())),
        }
        match left_out.swap(0, Ordering::Relaxed) {
            0 => {}
            n => drop(writeln!(to, "{n} lines of the log were left out: they were not taken in time")),
        }
    }
}
