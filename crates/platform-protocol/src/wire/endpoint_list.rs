//! Parses answers of discovery into typed values. The server registry checks that the named zones exist.

use super::known_fields::{KnownField, ObjectSeed, scalar};
use super::names::endpoint;
use super::object::{FieldError, ObjectReader};
use grebespool::host::EndpointState;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The fields of an entry.
const ENTRY_FIELDS: [KnownField; 6] = [
    scalar(endpoint::ID),
    scalar(endpoint::ADDRESS),
    scalar(endpoint::ZONE),
    scalar(endpoint::SERVER_KIND),
    scalar(endpoint::STATE),
    scalar(endpoint::STARTED),
];
/// The longest id of a server and the longest name of a kind, in bytes.
const MAX_NAME_LENGTH: usize = 128;

/// The reason why an answer is not an endpoint list.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// The body is not JSON.
    #[error("the list is not JSON: {0}")]
    NotJson(String),
    /// The body is JSON, but not an object.
    #[error("the list is not a JSON object")]
    NotAnObject,
    /// The version is missing or not a whole number.
    #[error("the list: expected a whole number in version")]
    NoVersion,
    /// The entries are missing or not an array.
    #[error("the list: expected an array in servers")]
    NoEntries,
    /// The list has more entries than fit into the memory of the process.
    #[error("the list: expected at most {limit} entries in servers, found {entries}")]
    TooManyEntries {
        /// The number of entries.
        entries: usize,
        /// The largest accepted number.
        limit: usize,
    },
    /// The flag that says whether the list is full is missing or not a boolean.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// The reason why an entry or its placement cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum EntryError {
    /// The entry is not an object.
    #[error("the entry is not an object")]
    NotAnObject,
    /// The id is empty or too long.
    #[error("expected an id of 1 to {MAX_NAME_LENGTH} bytes, found {length} bytes")]
    IdLength {
        /// The length of the id in bytes.
        length: usize,
    },
    /// The state is not a state of an endpoint.
    #[error("expected state SERVING, DRAINING or DELETED, found {0:?}")]
    UnknownState(String),
    /// A field is missing or wrong.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// An entry that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct InvalidEntry {
    /// The id of the entry, if it has one.
    pub id: Option<String>,
    /// The reason why the entry cannot be used.
    pub error: EntryError,
}

/// The address, zone and last start of a server.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Placement {
    /// The address that the server listens at, if the entry has a valid one.
    pub address: Option<SocketAddr>,
    /// The name of the server's zone.
    pub zone: String,
    /// The server's last start in Unix milliseconds; 0 means long ago.
    pub started_ms: f64,
}

/// One server of a list.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EndpointEntry {
    /// The id of the server.
    pub id: String,
    /// The state of the server.
    pub state: EndpointState,
    /// The name of the server's kind. Unset if the name is missing, not a string or too long; the entry is valid even
    /// so.
    pub kind: Option<String>,
    /// The placement of the server. A drain or a removal is applied even if the placement is invalid.
    pub placement: Result<Placement, EntryError>,
}

/// A full list, or a list of the entries that changed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// True if the list names all servers; false if it names only changes.
    pub full: bool,
    /// The entries, in the order in which they were received.
    pub entries: Vec<Result<EndpointEntry, InvalidEntry>>,
}

impl EndpointList {
    /// Parses the body of an answer with at most `max_entries` entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not an endpoint list or has too many entries.
    pub(crate) fn parse(body: &[u8], max_entries: usize) -> Result<Self, EndpointListError> {
        let is_object = body.trim_ascii_start().starts_with(b"{");
        let mut deserializer = serde_json::Deserializer::from_slice(body);
        let fields = ListFields::read(&mut deserializer, is_object, max_entries)?;
        deserializer.end().map_err(|error| EndpointListError::NotJson(error.to_string()))?;
        fields.check(max_entries)
    }

    /// Reads a list that is part of another JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not an endpoint list or has too many entries.
    pub(crate) fn from_json(value: &Value, max_entries: usize) -> Result<Self, EndpointListError> {
        ListFields::read(value, value.is_object(), max_entries)?.check(max_entries)
    }
}

/// The fields of a list, before they are checked.
struct ListFields {
    scalars: Map<String, Value>,
    entries: Option<Entries>,
}

impl ListFields {
    fn read<'de, D>(deserializer: D, is_object: bool, max_entries: usize) -> Result<Self, EndpointListError>
    where
        D: Deserializer<'de, Error = serde_json::Error>,
    {
        // Only two values must have a certain type: the list itself and its entries.
        deserializer.deserialize_map(ListVisitor { max_entries }).map_err(|error| match error.is_data() {
            true if is_object => EndpointListError::NoEntries,
            true => EndpointListError::NotAnObject,
            false => EndpointListError::NotJson(error.to_string()),
        })
    }

    fn check(self, max_entries: usize) -> Result<EndpointList, EndpointListError> {
        let object = ObjectReader { kind: "the list", fields: &self.scalars };
        let version = self.scalars.get(endpoint::VERSION).and_then(Value::as_u64);
        let version = version.ok_or(EndpointListError::NoVersion)?;
        let full = object.boolean(endpoint::FULL)?;
        let Entries { accepted, count } = self.entries.ok_or(EndpointListError::NoEntries)?;
        if count > max_entries {
            return Err(EndpointListError::TooManyEntries { entries: count, limit: max_entries });
        }
        Ok(EndpointList { version, full, entries: accepted })
    }
}

struct ListVisitor {
    max_entries: usize,
}

impl<'de> Visitor<'de> for ListVisitor {
    type Value = ListFields;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an endpoint list")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<ListFields, A::Error> {
        let (mut scalars, mut entries) = (Map::new(), None);
        while let Some(name) = fields.next_key::<String>()? {
            match name.as_str() {
                endpoint::ENTRIES => entries = Some(fields.next_value_seed(EntriesSeed(self.max_entries))?),
                endpoint::VERSION | endpoint::FULL => {
                    drop(scalars.insert(name, fields.next_value_seed(ObjectSeed(&[]))?));
                }
                _ => drop(fields.next_value::<IgnoredAny>()?),
            }
        }
        Ok(ListFields { scalars, entries })
    }
}

/// The entries of a list. Those beyond the limit are counted and skipped.
struct Entries {
    accepted: Vec<Result<EndpointEntry, InvalidEntry>>,
    count: usize,
}

/// Reads an array with up to this number of entries.
struct EntriesSeed(usize);

impl<'de> DeserializeSeed<'de> for EntriesSeed {
    type Value = Entries;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Entries, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesSeed {
    type Value = Entries;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an array of entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Entries, A::Error> {
        let mut entries = Entries { accepted: vec![], count: 0 };
        while entries.accepted.len() < self.0
            && let Some(value) = elements.next_element_seed(ObjectSeed(&ENTRY_FIELDS))?
        {
            entries.accepted.push(parse_entry(&value));
            entries.count += 1;
        }
        while elements.next_element::<IgnoredAny>()?.is_some() {
            entries.count += 1;
        }
        Ok(entries)
    }
}

fn parse_entry(value: &Value) -> Result<EndpointEntry, InvalidEntry> {
    let id = value.get(endpoint::ID).and_then(Value::as_str);
    read_entry(value).map_err(|error| InvalidEntry { id: id.map(String::from), error })
}

fn read_entry(value: &Value) -> Result<EndpointEntry, EntryError> {
    let Value::Object(fields) = value else { return Err(EntryError::NotAnObject) };
    let object = ObjectReader { kind: "an entry of the list", fields };
    let id = object.text(endpoint::ID)?;
    if id.is_empty() || id.len() > MAX_NAME_LENGTH {
        return Err(EntryError::IdLength { length: id.len() });
    }
    let kind = object.text(endpoint::SERVER_KIND).ok().filter(|kind| kind.len() <= MAX_NAME_LENGTH);
    Ok(EndpointEntry {
        id: id.into(),
        state: state(object)?,
        kind: kind.map(String::from),
        placement: placement(object),
    })
}

fn state(object: ObjectReader) -> Result<EndpointState, EntryError> {
    match object.text(endpoint::STATE)? {
        endpoint::SERVING => Ok(EndpointState::Ready),
        endpoint::DRAINING => Ok(EndpointState::Draining),
        endpoint::DELETED => Ok(EndpointState::Removed),
        other => Err(EntryError::UnknownState(other.into())),
    }
}

fn placement(object: ObjectReader) -> Result<Placement, EntryError> {
    let zone = object.text(endpoint::ZONE)?.into();
    let address = object.text(endpoint::ADDRESS).ok().and_then(|address| address.parse().ok());
    let started_ms = match object.optional(endpoint::STARTED) {
        None => 0.0,
        Some(_) => object.number(endpoint::STARTED, f64::MAX)?,
    };
    Ok(Placement { address, zone, started_ms })
}

/// Returns the path and query of a request for the list: the full list, or the changes since a version with the time
/// that discovery waits for a change.
pub(crate) fn endpoint_list_path(changes_since: Option<(u64, Duration)>) -> String {
    match changes_since {
        None => endpoint::PATH.into(),
        Some((version, wait)) => {
            let wait_ms = wait.as_millis();
            let (path, since, timeout) = (endpoint::PATH, endpoint::SINCE, endpoint::TIMEOUT);
            format!("{path}?{since}={version}&{timeout}={wait_ms}")
        }
    }
}
