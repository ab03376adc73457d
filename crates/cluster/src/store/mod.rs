//! A member's state folder: what it must find again after a restart.

mod checksum;
mod configuration;
mod election;
mod tasks;

pub use checksum::RecordError;
pub use tasks::StoredEntries;

use grebespool_leader_election::{HardState, MemberId, Membership};
use redb::{Database, TableDefinition};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

// Stored: do not rename files, tables or keys.
const STATE_FILE: &str = "state.redb";
const SNAPSHOT_FILE: &str = "memories.redb";
const COUNTS: TableDefinition<&str, u64> = TableDefinition::new("counts");

/// Why a state folder cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No state was formed in the folder.
    #[error(
        "{0}: no member's state is here; `members form` makes one for a new fleet, `members join` one for a member that \
         is to be added"
    )]
    NotFormed(String),
    /// A state was formed in the folder before.
    #[error("{0}: a member's state is here already; it would vote again as another")]
    AlreadyFormed(String),
    /// The databases cannot be opened.
    #[error("{path}: another process has it open, or it cannot be opened: {source}")]
    Open {
        /// The folder.
        path: String,
        /// Why.
        source: Box<redb::DatabaseError>,
    },
    /// The folder is of another fleet.
    #[error("{path}: it is of another fleet ({found:016x}, not {expected:016x})")]
    OtherFleet {
        /// The folder.
        path: String,
        /// The folder's fleet.
        found: u64,
        /// This member's fleet.
        expected: u64,
    },
    /// The state cannot be read or written.
    #[error("{path}: the state in it cannot be read: {source}")]
    Damaged {
        /// The folder.
        path: String,
        /// Why.
        source: RecordError,
    },
    /// The folder cannot be created.
    #[error("{path}: {source}")]
    Io {
        /// The folder.
        path: String,
        /// Why.
        source: io::Error,
    },
}

/// Errors of the database are large, and nobody tells them apart.
fn database<T, E: std::error::Error + Send + Sync + 'static>(result: Result<T, E>) -> io::Result<T> {
    result.map_err(io::Error::other)
}

/// An open state folder. It may be used by several threads; each write is one transaction.
pub struct Store {
    /// The election, tasks and the configuration: written before others are answered.
    state: Database,
    /// Snapshots and counts, which nobody waits for.
    snapshots: Database,
    folder: PathBuf,
}

impl Store {
    /// Forms a folder's first state. `membership` is that of the whole fleet for a member that the fleet is formed with, and
    /// empty for one that is to be added.
    ///
    /// # Errors
    ///
    /// A state was formed there before, or the folder cannot be written.
    pub fn form(folder: &Path, fleet: u64, id: MemberId, membership: Membership) -> Result<(), StoreError> {
        let path = folder.display().to_string();
        std::fs::create_dir_all(folder).map_err(|source| StoreError::Io { path: path.clone(), source })?;
        if folder.join(STATE_FILE).exists() {
            return Err(StoreError::AlreadyFormed(path));
        }
        let store = Self::open_databases(folder)?;
        let complete = !membership.voters.is_empty();
        let first = HardState { id, fleet, term: 0, voted_for: None, membership, revision: 1 };
        let written = store.write_election(&first).and_then(|()| store.write_entries(&[], Some(complete)));
        written.map_err(|error| StoreError::Damaged { path, source: RecordError::Database(error) })
    }

    /// Opens a folder, and reads the state of the election.
    ///
    /// # Errors
    ///
    /// No state was formed there, another process has it open, it is of another fleet, or it cannot be read.
    pub fn open(folder: &Path, fleet: u64) -> Result<(Store, HardState), StoreError> {
        let path = folder.display().to_string();
        if !folder.join(STATE_FILE).exists() {
            return Err(StoreError::NotFormed(path));
        }
        let store = Self::open_databases(folder)?;
        let kept =
            store.read_election().map_err(|source| StoreError::Damaged { path: path.clone(), source })?;
        if kept.fleet != fleet {
            return Err(StoreError::OtherFleet { path, found: kept.fleet, expected: fleet });
        }
        Ok((store, kept))
    }

    fn open_databases(folder: &Path) -> Result<Store, StoreError> {
        let open = |file: &str| {
            Database::create(folder.join(file)).map_err(|error| StoreError::Open {
                path: folder.display().to_string(),
                source: Box::new(error),
            })
        };
        Ok(Store { state: open(STATE_FILE)?, snapshots: open(SNAPSHOT_FILE)?, folder: folder.into() })
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}
