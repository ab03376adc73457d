//! Storage of the journals of singleton tasks, of the number of starts, and of counted requests.

use super::checksum::{RecordError, decode, encode};
use super::{COUNTS, Store, database};
use grebespool_singleton_tasks::{RegisterEntry, Tally, TaskId};
use redb::{ReadableTable, TableDefinition, TableError};
use std::collections::BTreeMap;
use std::io;

// Stored: do not rename tables or keys. Entries are stored by the task's name: its index may change with the settings.
const ENTRIES: TableDefinition<&str, &[u8]> = TableDefinition::new("cells");
const DAMAGED_ENTRIES: TableDefinition<&str, &[u8]> = TableDefinition::new("damaged cells");
const TALLY: TableDefinition<&str, &[u8]> = TableDefinition::new("tally");
const TALLY_KEY: &str = "tally";
const STARTS_KEY: &str = "life";
const COMPLETE_KEY: &str = "copied";

/// The stored journal entries of tasks.
#[derive(Debug, PartialEq, Eq)]
pub struct StoredEntries {
    /// The entries by task.
    pub entries: BTreeMap<TaskId, RegisterEntry>,
    /// True if the member has all entries that it should have. A member that was added, or whose entries are damaged, first
    /// copies those of other members.
    pub complete: bool,
}

impl Store {
    /// Increments and returns the number of starts, which is higher than at every earlier start.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be read or written.
    pub fn count_start(&self) -> io::Result<u32> {
        let write = database(self.state.begin_write())?;
        let starts = {
            let mut counts = database(write.open_table(COUNTS))?;
            let starts = database(counts.get(STARTS_KEY))?.map_or(0, |count| count.value()) + 1;
            database(counts.insert(STARTS_KEY, starts))?;
            starts
        };
        database(write.commit())?;
        Ok(u32::try_from(starts).unwrap_or(u32::MAX))
    }

    /// Reads the journal entries of the tasks with these names. Damaged entries are reported and moved to a table of their
    /// own.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be read or written.
    pub fn read_entries(
        &self,
        names: &[String],
        mut on_damaged: impl FnMut(&str, &RecordError),
    ) -> io::Result<StoredEntries> {
        let write = database(self.state.begin_write())?;
        let mut entries = BTreeMap::new();
        let complete = {
            let mut counts = database(write.open_table(COUNTS))?;
            let mut table = database(write.open_table(ENTRIES))?;
            let mut damaged = database(write.open_table(DAMAGED_ENTRIES))?;
            let mut complete = database(counts.get(COMPLETE_KEY))?.is_none_or(|value| value.value() != 0);
            for (task, name) in (0..).zip(names) {
                let Some(bytes) = database(table.get(name.as_str()))?.map(|bytes| bytes.value().to_vec())
                else {
                    continue;
                };
                match decode::<RegisterEntry>(&bytes) {
                    Ok(entry) => drop(entries.insert(task, entry)),
                    Err(error) => {
                        on_damaged(name, &error);
                        complete = false;
                        database(damaged.insert(name.as_str(), bytes.as_slice()))?;
                        database(table.remove(name.as_str()))?;
                    }
                }
            }
            database(counts.insert(COMPLETE_KEY, u64::from(complete)))?;
            complete
        };
        database(write.commit())?;
        Ok(StoredEntries { entries, complete })
    }

    /// Writes journal entries by task name, and returns once they are on disk. `complete` is true if the member then has all
    /// entries that it should have, and `None` if that does not change.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be written.
    pub fn write_entries(
        &self,
        entries: &[(String, RegisterEntry)],
        complete: Option<bool>,
    ) -> io::Result<()> {
        let write = database(self.state.begin_write())?;
        {
            let mut table = database(write.open_table(ENTRIES))?;
            for (name, entry) in entries {
                database(table.insert(name.as_str(), encode(entry).as_slice()))?;
            }
            if let Some(complete) = complete {
                let mut counts = database(write.open_table(COUNTS))?;
                database(counts.insert(COMPLETE_KEY, u64::from(complete)))?;
            }
        }
        database(write.commit())
    }

    /// Reads the requests that this member counted before its start. A damaged record is treated like a missing one.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be read.
    pub fn read_tally(&self) -> io::Result<Tally> {
        let read = database(self.snapshots.begin_read())?;
        match read.open_table(TALLY) {
            Ok(table) => {
                let bytes = database(table.get(TALLY_KEY))?;
                Ok(bytes.and_then(|bytes| decode(bytes.value()).ok()).unwrap_or_default())
            }
            Err(TableError::TableDoesNotExist(_)) => Ok(Tally::default()),
            Err(error) => Err(io::Error::other(error)),
        }
    }

    /// Writes the requests that this member counted.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be written.
    pub fn write_tally(&self, tally: &Tally) -> io::Result<()> {
        let write = database(self.snapshots.begin_write())?;
        database(database(write.open_table(TALLY))?.insert(TALLY_KEY, encode(tally).as_slice()))?;
        database(write.commit())
    }
}
