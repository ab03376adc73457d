//! The state folder of a member, with the state that the member needs after a restart.

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

/// Reasons why a state folder cannot be used.
// tests of `grebespool-cli` match parts of some texts
#[derive(Debug, Error)]
pub enum StoreError {
    /// The folder contains no state of a member.
    #[error(
        "{0}: no member's state is here; `members form` creates one for a new fleet, `members join` one for a member that \
         is to be added"
    )]
    NotFormed(String),
    /// The folder already contains the state of a member.
    #[error("{0}: a member's state is here already; it would vote again as another")]
    AlreadyFormed(String),
    /// The databases cannot be opened.
    #[error("{path}: another process has it open, or the databases cannot be opened: {source}")]
    Open {
        /// Path of the folder.
        path: String,
        /// Cause of the error.
        source: Box<redb::DatabaseError>,
    },
    /// The folder belongs to another fleet.
    #[error("{path}: the state belongs to fleet {found:016x}, expected {expected:016x}")]
    OtherFleet {
        /// Path of the folder.
        path: String,
        /// Id of the folder's fleet.
        found: u64,
        /// Id of this member's fleet.
        expected: u64,
    },
    /// The state cannot be read or written.
    #[error("{path}: cannot read or write the state: {source}")]
    Damaged {
        /// Path of the folder.
        path: String,
        /// Cause of the error.
        source: RecordError,
    },
    /// The folder cannot be created.
    #[error("{path}: {source}")]
    Io {
        /// Path of the folder.
        path: String,
        /// Cause of the error.
        source: io::Error,
    },
}

/// Wraps a database error, which is large, into an I/O error; no caller distinguishes the kinds.
fn database<T, E: std::error::Error + Send + Sync + 'static>(result: Result<T, E>) -> io::Result<T> {
    result.map_err(io::Error::other)
}

/// An open state folder. Several threads may use it at once; each write is one transaction.
pub struct Store {
    /// Election, tasks and configuration, which are written before other members are answered.
    state: Database,
    /// Snapshots and counted requests, whose writes no answer waits for.
    snapshots: Database,
    folder: PathBuf,
}

impl Store {
    /// Creates the first state of a member in a folder. `membership` is the membership of the whole fleet if the fleet is
    /// formed with this member, and empty if the member is to be added to a fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder already contains a state, or cannot be written.
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

    /// Opens a state folder, and reads the state of the election.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder contains no state, is open in another process, belongs to another fleet, or cannot be
    /// read.
    pub fn open(folder: &Path, fleet: u64) -> Result<(Store, HardState), StoreError> {
        let path = folder.display().to_string();
        if !folder.join(STATE_FILE).exists() {
            return Err(StoreError::NotFormed(path));
        }
        let store = Self::open_databases(folder)?;
        let state =
            store.read_election().map_err(|source| StoreError::Damaged { path: path.clone(), source })?;
        if state.fleet != fleet {
            return Err(StoreError::OtherFleet { path, found: state.fleet, expected: fleet });
        }
        Ok((store, state))
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

    /// Returns the path of the folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}
