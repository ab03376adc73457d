//! Writing on threads of their own, so that a slow disk holds up neither beats nor orders.

use crate::store::Store;
use grebespool_succession::Kept;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::mpsc::UnboundedSender;
use tracing::warn;

/// What became of a writing.
pub enum Written {
    Kept(u64),
    Failed(String),
}

pub struct Disk {
    kept: Sender<Kept>,
    memories: Sender<((u64, u64), Vec<u8>)>,
}

impl Disk {
    pub fn new(store: Arc<Store>, told: UnboundedSender<Written>) -> Disk {
        let (kept, keeps) = channel();
        let (memories, remembers) = channel();
        let state = store.clone();
        std::thread::spawn(move || keep(&state, &keeps, &told));
        std::thread::spawn(move || remember(&store, &remembers));
        Disk { kept, memories }
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
