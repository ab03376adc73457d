//! Writes to the state folder. Each kind of write has its own thread, so that a slow disk delays neither heartbeats nor
//! orders.

use crate::store::Store;
use grebespool_config_consensus::StoredState;
use grebespool_leader_election::HardState;
use grebespool_singleton_tasks::{RegisterEntry, Tally};
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tracing::warn;

/// Delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The result of a write.
pub(crate) enum WriteResult {
    /// The election state with this stamp is on disk.
    Election(u64),
    /// The election state cannot be written; the write is retried.
    ElectionFailed(io::Error),
    /// Journal entries up to this stamp are on disk.
    Entries(u64),
    /// Configuration versions up to this stamp are on disk.
    Versions(u64),
}

/// A journal entry to be written.
pub(crate) struct EntryWrite {
    /// Name of the task.
    pub name: String,
    pub entry: RegisterEntry,
    pub stamp: u64,
}

/// Journal entries to be written in one transaction.
struct EntryWrites {
    entries: Vec<EntryWrite>,
    /// True if the member has all entries that it should have once these are written.
    complete: bool,
}

struct VersionsWrite {
    state: StoredState,
    stamp: u64,
}

struct SnapshotWrite {
    order: (u64, u64),
    bytes: Vec<u8>,
}

/// Passes writes to their threads, which end when the writer is dropped.
pub(crate) struct DiskWriter {
    election: Sender<HardState>,
    snapshots: Sender<SnapshotWrite>,
    entries: Sender<EntryWrites>,
    tallies: Sender<Tally>,
    versions: Sender<VersionsWrite>,
}

impl DiskWriter {
    /// Starts the threads; results go to `results`.
    pub(crate) fn start(store: &Arc<Store>, results: &UnboundedSender<WriteResult>) -> DiskWriter {
        DiskWriter {
            election: spawn_writer(store, results, write_election),
            snapshots: spawn_writer(store, results, write_snapshots),
            entries: spawn_writer(store, results, write_entries),
            tallies: spawn_writer(store, results, write_tallies),
            versions: spawn_writer(store, results, write_versions),
        }
    }

    /// Writes the state of the election.
    pub(crate) fn write_election(&self, state: HardState) {
        let _ = self.election.send(state);
    }

    /// Writes a leader's snapshot.
    pub(crate) fn write_snapshot(&self, order: (u64, u64), bytes: Vec<u8>) {
        let _ = self.snapshots.send(SnapshotWrite { order, bytes });
    }

    /// Writes journal entries. `complete` is true if the member has all entries that it should have once these are written.
    pub(crate) fn write_entries(&self, entries: Vec<EntryWrite>, complete: bool) {
        let _ = self.entries.send(EntryWrites { entries, complete });
    }

    /// Writes the counted requests.
    pub(crate) fn write_tally(&self, tally: Tally) {
        let _ = self.tallies.send(tally);
    }

    /// Writes configuration versions.
    pub(crate) fn write_versions(&self, state: StoredState, stamp: u64) {
        let _ = self.versions.send(VersionsWrite { state, stamp });
    }
}

fn spawn_writer<T: Send + 'static>(
    store: &Arc<Store>,
    results: &UnboundedSender<WriteResult>,
    write_all: fn(&Store, &Receiver<T>, &UnboundedSender<WriteResult>),
) -> Sender<T> {
    let (sender, receiver) = channel();
    let (store, results) = (store.clone(), results.clone());
    thread::spawn(move || write_all(&store, &receiver, &results));
    sender
}

/// Returns the newest of this item and the queued ones. Each item contains the whole state, so older ones are not written.
fn newest<T>(queue: &Receiver<T>, item: T) -> T {
    queue.try_iter().last().unwrap_or(item)
}

fn write_election(store: &Store, queue: &Receiver<HardState>, results: &UnboundedSender<WriteResult>) {
    while let Ok(state) = queue.recv() {
        let mut state = newest(queue, state);
        let mut failed = false;
        while let Err(error) = store.write_election(&state) {
            let first = !std::mem::replace(&mut failed, true);
            if first && results.send(WriteResult::ElectionFailed(error)).is_err() {
                return;
            }
            thread::sleep(WRITE_RETRY_DELAY);
            state = newest(queue, state);
        }
        if results.send(WriteResult::Election(state.revision)).is_err() {
            return;
        }
    }
}

fn write_snapshots(store: &Store, queue: &Receiver<SnapshotWrite>, _: &UnboundedSender<WriteResult>) {
    while let Ok(snapshot) = queue.recv() {
        let SnapshotWrite { order, bytes } = newest(queue, snapshot);
        if let Err(error) = store.write_snapshot(order, &bytes) {
            let folder = store.folder().display();
            warn!(%folder, ?order, %error, "cannot write a leader's snapshot; keeping the previous one");
        }
    }
}

/// Writes all queued entries in one transaction. A failed write is retried, and not acknowledged until it is on disk: a
/// quorum continues without this member.
fn write_entries(store: &Store, queue: &Receiver<EntryWrites>, results: &UnboundedSender<WriteResult>) {
    while let Ok(EntryWrites { mut entries, mut complete }) = queue.recv() {
        for more in queue.try_iter() {
            entries.extend(more.entries);
            complete |= more.complete;
        }
        let stamp = entries.iter().map(|write| write.stamp).max();
        let entries: Vec<_> = entries.into_iter().map(|write| (write.name, write.entry)).collect();
        let mut failed = false;
        while let Err(error) = store.write_entries(&entries, complete.then_some(true)) {
            if !std::mem::replace(&mut failed, true) {
                let folder = store.folder().display();
                warn!(%folder, %error, "cannot write the journal of singleton tasks; retrying");
            }
            thread::sleep(WRITE_RETRY_DELAY);
        }
        if stamp.is_some_and(|stamp| results.send(WriteResult::Entries(stamp)).is_err()) {
            return;
        }
    }
}

/// Writes the newest queued state. A failed write is retried, and not acknowledged until it is on disk.
fn write_versions(store: &Store, queue: &Receiver<VersionsWrite>, results: &UnboundedSender<WriteResult>) {
    while let Ok(mut write) = queue.recv() {
        let mut failed = false;
        loop {
            write = newest(queue, write);
            let Err(error) = store.write_versions(&write.state) else { break };
            if !std::mem::replace(&mut failed, true) {
                let folder = store.folder().display();
                warn!(%folder, %error, "cannot write the configuration versions; retrying");
            }
            thread::sleep(WRITE_RETRY_DELAY);
        }
        if results.send(WriteResult::Versions(write.stamp)).is_err() {
            return;
        }
    }
}

fn write_tallies(store: &Store, queue: &Receiver<Tally>, _: &UnboundedSender<WriteResult>) {
    while let Ok(tally) = queue.recv() {
        let tally = newest(queue, tally);
        if let Err(error) = store.write_tally(&tally) {
            let folder = store.folder().display();
            warn!(%folder, %error, "cannot write the counted requests; serving them from memory");
        }
    }
}
