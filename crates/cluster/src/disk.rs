//! Writing on threads of their own, so that a slow disk holds up neither beats nor orders.

use crate::store::Store;
use grebespool_leader_election::Kept;
use grebespool_singleton_tasks::{Cell, Tally};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::mpsc::UnboundedSender;
use tracing::warn;

/// What became of a writing.
pub enum Written {
    Kept(u64),
    Failed(String),
    /// Of duties' journals, all up to this stamp.
    Cells(u64),
    /// Of editions, all up to this stamp.
    Editions(u64),
}

/// A part of a duty's journal on its way to the disk.
pub struct Writing {
    pub name: String,
    pub cell: Cell,
    pub stamp: u64,
}

pub struct Disk {
    kept: Sender<Kept>,
    memories: Sender<((u64, u64), Vec<u8>)>,
    cells: Sender<(Vec<Writing>, bool)>,
    tallies: Sender<Tally>,
    editions: Sender<(grebespool_config_consensus::StoredState, u64)>,
}

impl Disk {
    pub fn new(store: Arc<Store>, told: UnboundedSender<Written>) -> Disk {
        let (kept, keeps) = channel();
        let (memories, remembers) = channel();
        let (cells, journal) = channel();
        let (tallies, counted) = channel();
        let (editions, held) = channel();
        let (state, duties, counts, agreed) = (store.clone(), store.clone(), store.clone(), store.clone());
        let (heard, prepared) = (told.clone(), told.clone());
        std::thread::spawn(move || keep_editions(&agreed, &held, &prepared));
        std::thread::spawn(move || keep(&state, &keeps, &told));
        std::thread::spawn(move || remember(&store, &remembers));
        std::thread::spawn(move || keep_cells(&duties, &journal, &heard));
        std::thread::spawn(move || count(&counts, &counted));
        Disk { kept, memories, cells, tallies, editions }
    }

    /// `copied`: with these, the member has all that it should have.
    pub fn keep_cells(&self, cells: Vec<Writing>, copied: bool) {
        let _ = self.cells.send((cells, copied));
    }

    pub fn hold(&self, held: grebespool_config_consensus::StoredState, stamp: u64) {
        let _ = self.editions.send((held, stamp));
    }

    pub fn count(&self, tally: Tally) {
        let _ = self.tallies.send(tally);
    }

    pub fn keep(&self, kept: Kept) {
        let _ = self.kept.send(kept);
    }

    pub fn remember(&self, order: (u64, u64), bytes: Vec<u8>) {
        let _ = self.memories.send((order, bytes));
    }
}

fn keep(store: &Store, keeps: &Receiver<Kept>, told: &UnboundedSender<Written>) {
    while let Ok(mut kept) = keeps.recv() {
        // Each is the whole state, so of several that wait the last is enough.
        while let Ok(newer) = keeps.try_recv() {
            kept = newer;
        }
        let mut failed = false;
        while let Err(error) = store.keep(&kept) {
            if !std::mem::replace(&mut failed, true) && told.send(Written::Failed(error.to_string())).is_err()
            {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(500));
            while let Ok(newer) = keeps.try_recv() {
                kept = newer;
            }
        }
        if told.send(Written::Kept(kept.stamp)).is_err() {
            return;
        }
    }
}

fn remember(store: &Store, remembers: &Receiver<((u64, u64), Vec<u8>)>) {
    while let Ok(mut memory) = remembers.recv() {
        while let Ok(newer) = remembers.try_recv() {
            memory = newer;
        }
        if let Err(error) = store.remember(memory.0, &memory.1) {
            warn!(folder = store.folder(), %error, "a memory could not be written; the one before it stands");
        }
    }
}

/// Several that wait are written at once. One that cannot be written is tried again, and answered for by nobody until it
/// stands: a majority goes on without this member.
fn keep_cells(store: &Store, journal: &Receiver<(Vec<Writing>, bool)>, told: &UnboundedSender<Written>) {
    while let Ok((mut writing, mut copied)) = journal.recv() {
        while let Ok((more, all)) = journal.try_recv() {
            writing.extend(more);
            copied |= all;
        }
        let stamp = writing.iter().map(|w| w.stamp).max();
        let cells: Vec<(String, Cell)> = writing.into_iter().map(|w| (w.name, w.cell)).collect();
        let mut failed = false;
        while let Err(error) = store.keep_cells(&cells, copied.then_some(true)) {
            if !std::mem::replace(&mut failed, true) {
                warn!(folder = store.folder(), %error, "the journal of duties takes no writes");
            }
            std::thread::sleep(std::time::Duration::from_millis(500));
        }
        if stamp.is_some_and(|stamp| told.send(Written::Cells(stamp)).is_err()) {
            return;
        }
    }
}

/// Each is all that is held, so of several that wait the last is enough. One that cannot be written is tried again, and
/// answered for by nobody until it stands.
fn keep_editions(
    store: &Store,
    held: &Receiver<(grebespool_config_consensus::StoredState, u64)>,
    told: &UnboundedSender<Written>,
) {
    while let Ok(mut last) = held.recv() {
        let mut failed = false;
        loop {
            while let Ok(newer) = held.try_recv() {
                last = newer;
            }
            let Err(error) = store.keep_editions(&last.0) else { break };
            if !std::mem::replace(&mut failed, true) {
                warn!(folder = store.folder(), %error, "what is held of editions cannot be written");
            }
            std::thread::sleep(std::time::Duration::from_millis(500));
        }
        if told.send(Written::Editions(last.1)).is_err() {
            return;
        }
    }
}

fn count(store: &Store, tallies: &Receiver<Tally>) {
    while let Ok(mut tally) = tallies.recv() {
        while let Ok(newer) = tallies.try_recv() {
            tally = newer;
        }
        if let Err(error) = store.keep_tally(&tally) {
            warn!(folder = store.folder(), %error, "what was counted could not be written; it is told from memory");
        }
    }
}
