//! A member's state folder.

use grebespool_leader_election::{Damaged, Id, Kept, Memory, Roster, Seat};
use grebespool_singleton_tasks::{Cell, Duty, Tally};
use redb::{Database, ReadableTable, TableDefinition, TableError};
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const MEMORIES: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("memories");
/// Cells of duties' journals by the duty's name, which outlives its place among the names.
const CELLS: TableDefinition<&str, &[u8]> = TableDefinition::new("cells");
const DAMAGED_CELLS: TableDefinition<&str, &[u8]> = TableDefinition::new("damaged cells");
/// What a member holds of editions.
const EDITIONS: TableDefinition<&str, &[u8]> = TableDefinition::new("editions");
const TALLY: TableDefinition<&str, &[u8]> = TableDefinition::new("tally");
const COUNTS: TableDefinition<&str, u64> = TableDefinition::new("counts");
const SET_ASIDE: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("set aside");

/// Why a state folder cannot be used.
#[derive(Debug, Error)]
pub enum Unusable {
    #[error(
        "{0}: no member's state is here; `members form` makes one for a new fleet, `members join` one for a member that \
         is to be added"
    )]
    Empty(String),
    #[error("{0}: a member's state is here already; it would vote again as another")]
    Taken(String),
    #[error("{path}: another process has it open, or it cannot be opened: {why}")]
    Open { path: String, why: String },
    #[error("{path}: it is of another fleet ({found:016x}, not {wanted:016x})")]
    Fleet { path: String, found: u64, wanted: u64 },
    #[error("{path}: the state in it cannot be read: {why}")]
    Damaged { path: String, why: String },
    #[error("{path}: {why}")]
    Io { path: String, why: io::Error },
}

/// Stands for a fleet: members of others are strangers.
pub fn fleet_id(name: &str) -> u64 {
    number("grebespool 2026 fleet", name.as_bytes())
}

/// The id of a member that is there from the beginning.
pub fn seat_id(fleet: u64, name: &str) -> Id {
    let mut bytes = fleet.to_be_bytes().to_vec();
    bytes.extend_from_slice(name.as_bytes());
    number("grebespool 2026 seat", &bytes)
}

/// Who takes part in a new fleet, by name and address.
pub fn first_roster(fleet: u64, members: impl IntoIterator<Item = (String, String)>) -> Roster {
    let seat = |(name, address): (String, String)| (seat_id(fleet, &name), Seat { name, address });
    Roster { epoch: 0, number: 0, seats: members.into_iter().map(seat).collect() }
}

pub(crate) fn number(context: &str, bytes: &[u8]) -> u64 {
    let hash = blake3::derive_key(context, bytes);
    // 0 is nobody's.
    hash.first_chunk::<8>().map_or(1, |b| u64::from_be_bytes(*b)).max(1)
}

/// The store's errors are large, and nobody tells them apart.
fn disk<T, E: std::error::Error + Send + Sync + 'static>(done: Result<T, E>) -> io::Result<T> {
    done.map_err(io::Error::other)
}

fn summed(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(value).expect("memory takes all");
    let sum = blake3::hash(&bytes);
    bytes.extend_from_slice(&sum.as_bytes()[..16]);
    bytes
}

fn unsummed<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (content, sum) = bytes.split_at_checked(bytes.len().saturating_sub(16)).ok_or("short")?;
    if blake3::hash(content).as_bytes()[..16] != *sum {
        return Err("its sum is wrong".into());
    }
    postcard::from_bytes(content).map_err(|e| e.to_string())
}

/// An open state folder: what a member must find again, and the memories of leaders.
pub struct Store {
    state: Database,
    memories: Database,
    folder: PathBuf,
}

impl Store {
    const MEMORIES_KEPT: usize = 2;

    fn files(folder: &Path) -> (PathBuf, PathBuf) {
        (folder.join("state.redb"), folder.join("memories.redb"))
    }

    /// Makes a folder's first state. `roster`: the whole fleet's for one that is there from the beginning, empty
    /// for one that is to be added.
    ///
    /// # Errors
    ///
    /// There is one already, or the folder's.
    pub fn form(folder: &Path, fleet: u64, id: Id, roster: Roster) -> Result<(), Unusable> {
        let path = folder.display().to_string();
        std::fs::create_dir_all(folder).map_err(|why| Unusable::Io { path: path.clone(), why })?;
        if Self::files(folder).0.exists() {
            return Err(Unusable::Taken(path));
        }
        let store = Self::create(folder)?;
        let kept = Kept { id, fleet, epoch: 0, vote: None, roster, stamp: 1 };
        let added = kept.roster.seats.is_empty();
        let made = store.keep(&kept).and_then(|()| store.keep_cells(&[], Some(!added)));
        made.map_err(|why| Unusable::Damaged { path, why: why.to_string() })
    }

    fn create(folder: &Path) -> Result<Store, Unusable> {
        let path = folder.display().to_string();
        let (state, memories) = Self::files(folder);
        let open = |file: PathBuf| {
            Database::create(file).map_err(|why| Unusable::Open { path: path.clone(), why: why.to_string() })
        };
        Ok(Store { state: open(state)?, memories: open(memories)?, folder: folder.into() })
    }

    /// # Errors
    ///
    /// Nothing was made here, another process has it, it is of another fleet, or it cannot be read.
    pub fn open(folder: &Path, fleet: u64) -> Result<(Store, Kept), Unusable> {
        let path = folder.display().to_string();
        if !Self::files(folder).0.exists() {
            return Err(Unusable::Empty(path));
        }
        let store = Self::create(folder)?;
        let kept = store.kept().map_err(|why| Unusable::Damaged { path: path.clone(), why })?;
        if kept.fleet != fleet {
            return Err(Unusable::Fleet { path, found: kept.fleet, wanted: fleet });
        }
        Ok((store, kept))
    }

    fn kept(&self) -> Result<Kept, String> {
        let read = self.state.begin_read().map_err(|e| e.to_string())?;
        let table = read.open_table(STATE).map_err(|e| e.to_string())?;
        let bytes = table.get("kept").map_err(|e| e.to_string())?.ok_or("nothing is in it")?;
        unsummed(bytes.value())
    }

    /// Writes what must be found again, and returns once it is on disk.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn keep(&self, kept: &Kept) -> io::Result<()> {
        let bytes = summed(kept);
        let write = disk(self.state.begin_write())?;
        disk(disk(write.open_table(STATE))?.insert("kept", bytes.as_slice()))?;
        disk(write.commit())
    }

    /// Writes a leader's memory, and forgets all but the newest two.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn remember(&self, order: (u64, u64), bytes: &[u8]) -> io::Result<()> {
        let write = disk(self.memories.begin_write())?;
        {
            let mut table = disk(write.open_table(MEMORIES))?;
            disk(table.insert(order, bytes))?;
            let mut all: Vec<(u64, u64)> = vec![];
            for entry in disk(table.iter())? {
                all.push(disk(entry)?.0.value());
            }
            for old in all.iter().rev().skip(Self::MEMORIES_KEPT) {
                disk(table.remove(old))?;
            }
        }
        disk(write.commit())
    }

    /// The newest memory that can be read. Damaged ones are named to `damaged`, and set aside.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn memory(&self, mut damaged: impl FnMut((u64, u64), Damaged)) -> io::Result<Option<Memory>> {
        let write = disk(self.memories.begin_write())?;
        let mut found = None;
        {
            let (mut table, mut aside) =
                (disk(write.open_table(MEMORIES))?, disk(write.open_table(SET_ASIDE))?);
            let mut all: Vec<((u64, u64), Vec<u8>)> = vec![];
            for entry in disk(table.iter())? {
                let (order, bytes) = disk(entry)?;
                all.push((order.value(), bytes.value().to_vec()));
            }
            for (order, bytes) in all.into_iter().rev() {
                match Memory::read(&bytes) {
                    Ok(memory) => {
                        found = Some(memory);
                        break;
                    }
                    Err(why) => {
                        damaged(order, why);
                        disk(aside.insert(order, bytes.as_slice()))?;
                        disk(table.remove(order))?;
                    }
                }
            }
        }
        disk(write.commit())?;
        Ok(found)
    }

    /// Counts this start; higher than at any start before.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn live(&self) -> io::Result<u32> {
        let write = disk(self.state.begin_write())?;
        let life = {
            let mut table = disk(write.open_table(COUNTS))?;
            let life = disk(table.get("life"))?.map_or(0, |v| v.value()) + 1;
            disk(table.insert("life", life))?;
            life
        };
        disk(write.commit())?;
        Ok(u32::try_from(life).unwrap_or(u32::MAX))
    }

    /// What the disk has of the journals of these duties, and whether that is all that it should have: a member that
    /// was added, or whose record is damaged, has to copy the others' first. Damaged ones are named to `damaged` and
    /// set aside.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn cells(
        &self,
        names: &[String],
        mut damaged: impl FnMut(&str, &str),
    ) -> io::Result<(BTreeMap<Duty, Cell>, bool)> {
        let write = disk(self.state.begin_write())?;
        let (mut cells, mut whole) = (BTreeMap::new(), true);
        {
            let mut counts = disk(write.open_table(COUNTS))?;
            let (mut table, mut aside) =
                (disk(write.open_table(CELLS))?, disk(write.open_table(DAMAGED_CELLS))?);
            whole &= disk(counts.get("copied"))?.is_none_or(|v| v.value() != 0);
            for (duty, name) in names.iter().enumerate() {
                let Some(bytes) = disk(table.get(name.as_str()))?.map(|b| b.value().to_vec()) else {
                    continue;
                };
                match unsummed::<Cell>(&bytes) {
                    Ok(cell) => drop(cells.insert(duty as Duty, cell)),
                    Err(why) => {
                        damaged(name, &why);
                        whole = false;
                        disk(aside.insert(name.as_str(), bytes.as_slice()))?;
                        disk(table.remove(name.as_str()))?;
                    }
                }
            }
            disk(counts.insert("copied", u64::from(whole)))?;
        }
        disk(write.commit())?;
        Ok((cells, whole))
    }

    /// Writes parts of journals, and returns once they are on disk. `copied`: whether they are all that this member
    /// should have, where that changes.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn keep_cells(&self, cells: &[(String, Cell)], copied: Option<bool>) -> io::Result<()> {
        let write = disk(self.state.begin_write())?;
        {
            let mut table = disk(write.open_table(CELLS))?;
            for (name, cell) in cells {
                disk(table.insert(name.as_str(), summed(cell).as_slice()))?;
            }
            if let Some(copied) = copied {
                disk(disk(write.open_table(COUNTS))?.insert("copied", u64::from(copied)))?;
            }
        }
        disk(write.commit())
    }

    /// What this member held of editions. Nothing where that is damaged, which `damaged` is told: the convener has it.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn editions(
        &self,
        mut damaged: impl FnMut(&str),
    ) -> io::Result<grebespool_config_consensus::StoredState> {
        let read = disk(self.state.begin_read())?;
        match read.open_table(EDITIONS) {
            Ok(table) => {
                let bytes = disk(table.get("held"))?;
                let held = bytes.map(|b| unsummed(b.value()));
                held.transpose().map(Option::unwrap_or_default).or_else(|why| {
                    damaged(&why);
                    Ok(grebespool_config_consensus::StoredState::default())
                })
            }
            Err(TableError::TableDoesNotExist(_)) => Ok(grebespool_config_consensus::StoredState::default()),
            Err(why) => Err(io::Error::other(why)),
        }
    }

    /// Writes what this member holds of editions, and returns once it is on disk.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn keep_editions(&self, held: &grebespool_config_consensus::StoredState) -> io::Result<()> {
        let write = disk(self.state.begin_write())?;
        disk(disk(write.open_table(EDITIONS))?.insert("held", summed(held).as_slice()))?;
        disk(write.commit())
    }

    /// What this member counted before it was started. Nothing where that is damaged: accounts keep what was told.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn tally(&self) -> io::Result<Tally> {
        let read = disk(self.memories.begin_read())?;
        match read.open_table(TALLY) {
            Ok(table) => {
                let bytes = disk(table.get("tally"))?;
                Ok(bytes.and_then(|b| unsummed(b.value()).ok()).unwrap_or_default())
            }
            Err(TableError::TableDoesNotExist(_)) => Ok(Tally::default()),
            Err(why) => Err(io::Error::other(why)),
        }
    }

    /// # Errors
    ///
    /// The disk's.
    pub fn keep_tally(&self, tally: &Tally) -> io::Result<()> {
        let write = disk(self.memories.begin_write())?;
        disk(disk(write.open_table(TALLY))?.insert("tally", summed(tally).as_slice()))?;
        disk(write.commit())
    }

    /// How many memories were set aside.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn set_aside(&self) -> io::Result<u64> {
        let read = disk(self.memories.begin_read())?;
        match read.open_table(SET_ASIDE) {
            Ok(table) => disk(redb::ReadableTableMetadata::len(&table)),
            Err(TableError::TableDoesNotExist(_)) => Ok(0),
            Err(why) => Err(io::Error::other(why)),
        }
    }

    /// For logs.
    pub fn folder(&self) -> String {
        self.folder.display().to_string()
    }
}
