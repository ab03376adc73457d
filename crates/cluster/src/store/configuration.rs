//! The configuration versions that a member stores.

use super::checksum::{RecordError, decode, encode};
use super::{Store, database};
use grebespool_config_consensus::StoredState;
use redb::{TableDefinition, TableError};
use std::io;

// Stored: do not rename tables or keys.
const VERSIONS: TableDefinition<&str, &[u8]> = TableDefinition::new("editions");
const VERSIONS_KEY: &str = "held";

impl Store {
    /// Reads the stored configuration versions. A damaged record is reported and treated like a missing one, since the
    /// coordinator has the versions.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be read.
    pub fn read_versions(&self, on_damaged: impl FnOnce(&RecordError)) -> io::Result<StoredState> {
        let read = database(self.state.begin_read())?;
        let table = match read.open_table(VERSIONS) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(StoredState::default()),
            Err(error) => return Err(io::Error::other(error)),
        };
        let Some(record) = database(table.get(VERSIONS_KEY))? else { return Ok(StoredState::default()) };
        Ok(decode(record.value()).unwrap_or_else(|error| {
            on_damaged(&error);
            StoredState::default()
        }))
    }

    /// Writes the configuration versions, and returns once they are on disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be written.
    pub fn write_versions(&self, state: &StoredState) -> io::Result<()> {
        let write = database(self.state.begin_write())?;
        database(database(write.open_table(VERSIONS))?.insert(VERSIONS_KEY, encode(state).as_slice()))?;
        database(write.commit())
    }
}
