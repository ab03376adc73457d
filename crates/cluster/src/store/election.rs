//! Storage of the state of the leader election and of the leaders' snapshots.

use super::checksum::{RecordError, decode, encode};
use super::{Store, database};
use grebespool_leader_election::{HardState, Snapshot, SnapshotError};
use redb::{ReadableTable, ReadableTableMetadata, TableDefinition, TableError};
use std::io;

// Stored: do not rename tables or keys.
const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const STATE_KEY: &str = "kept";
const SNAPSHOTS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("memories");
const DAMAGED_SNAPSHOTS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("set aside");

const MAX_SNAPSHOTS: usize = 2;

impl Store {
    pub(super) fn read_election(&self) -> Result<HardState, RecordError> {
        let read = database(self.state.begin_read())?;
        let table = database(read.open_table(STATE))?;
        let record = database(table.get(STATE_KEY))?.ok_or(RecordError::Missing)?;
        decode(record.value())
    }

    /// Writes the state of the election, and returns once it is on disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be written.
    pub fn write_election(&self, state: &HardState) -> io::Result<()> {
        let write = database(self.state.begin_write())?;
        database(database(write.open_table(STATE))?.insert(STATE_KEY, encode(state).as_slice()))?;
        database(write.commit())
    }

    /// Writes a leader's encoded snapshot, and removes all snapshots but the newest two.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be written.
    pub fn write_snapshot(&self, order: (u64, u64), bytes: &[u8]) -> io::Result<()> {
        let write = database(self.snapshots.begin_write())?;
        {
            let mut table = database(write.open_table(SNAPSHOTS))?;
            database(table.insert(order, bytes))?;
            let mut orders: Vec<(u64, u64)> = vec![];
            for entry in database(table.iter())? {
                orders.push(database(entry)?.0.value());
            }
            for old in orders.iter().rev().skip(MAX_SNAPSHOTS) {
                database(table.remove(old))?;
            }
        }
        database(write.commit())
    }

    /// Reads the newest snapshot that is not damaged. Damaged snapshots are reported and moved to a table of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be read or written.
    pub fn read_snapshot(
        &self,
        mut on_damaged: impl FnMut((u64, u64), SnapshotError),
    ) -> io::Result<Option<Snapshot>> {
        let write = database(self.snapshots.begin_write())?;
        let mut found = None;
        {
            let mut table = database(write.open_table(SNAPSHOTS))?;
            let mut damaged = database(write.open_table(DAMAGED_SNAPSHOTS))?;
            let mut snapshots: Vec<((u64, u64), Vec<u8>)> = vec![];
            for entry in database(table.iter())? {
                let (order, bytes) = database(entry)?;
                snapshots.push((order.value(), bytes.value().to_vec()));
            }
            for (order, bytes) in snapshots.into_iter().rev() {
                match Snapshot::decode(&bytes) {
                    Ok(snapshot) => {
                        found = Some(snapshot);
                        break;
                    }
                    Err(error) => {
                        on_damaged(order, error);
                        database(damaged.insert(order, bytes.as_slice()))?;
                        database(table.remove(order))?;
                    }
                }
            }
        }
        database(write.commit())?;
        Ok(found)
    }

    /// Returns the number of damaged snapshots that were set aside.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be read.
    pub fn damaged_snapshots(&self) -> io::Result<u64> {
        let read = database(self.snapshots.begin_read())?;
        match read.open_table(DAMAGED_SNAPSHOTS) {
            Ok(table) => database(table.len()),
            Err(TableError::TableDoesNotExist(_)) => Ok(0),
            Err(error) => Err(io::Error::other(error)),
        }
    }
}
