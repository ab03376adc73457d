//! Answers of discovery, as typed values. Whether the zones that they name exist is for the registry to check.

use super::names::endpoint;
use super::object::{FieldError, ObjectReader};
use grebespool::host::EndpointState;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The longest id of a server, and the longest name of a kind, in bytes.
const MAX_NAME_LENGTH: usize = 128;

/// Why an answer is not an endpoint list.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// The body is not JSON.
    #[error("the list is not JSON: {0}")]
    NotJson(String),
    /// The body is JSON, but not an object.
    #[error("the list is no object")]
    NotAnObject,
    /// The version is missing or not a whole number.
    #[error("the list has no version that can be read")]
    NoVersion,
    /// The entries are missing or not an array.
    #[error("the list has no servers")]
    NoEntries,
    /// It does not tell whether it is full.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// Why an entry, or its placement, cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum EntryError {
    /// The entry is not an object.
    #[error("an entry that is no object")]
    NotAnObject,
    /// The id is empty or too long.
    #[error("an entry with an id of {length} bytes; 1 to {MAX_NAME_LENGTH} are possible")]
    IdLength {
        /// Bytes of the id.
        length: usize,
    },
    /// The state is none that an endpoint can have.
    #[error("unknown state {0:?}")]
    UnknownState(String),
    /// A field is missing or wrong.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// An entry that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct InvalidEntry {
    /// Its id, if it has one.
    pub id: Option<String>,
    /// What is wrong with it.
    pub error: EntryError,
}

/// Where a server is and when it started.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Placement {
    /// The address that it listens at, if one can be read.
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// The server's last start in Unix milliseconds; 0 means long ago.
    pub started_ms: f64,
}

/// One server of a list.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EndpointEntry {
    /// The id of the server.
    pub id: String,
    /// Its state.
    pub state: EndpointState,
    /// The name of its kind. One that names none, or too long a one, is a server all the same.
    pub kind: Option<String>,
    /// Where it is. A drain or a removal counts whatever is wrong with it.
    pub placement: Result<Placement, EntryError>,
}

/// A full list, or the entries that changed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EndpointList {
    /// Its version.
    pub version: u64,
    /// Whether it names all servers.
    pub full: bool,
    /// Its entries, in the order in which they came.
    pub entries: Vec<Result<EndpointEntry, InvalidEntry>>,
}

impl EndpointList {
    /// Parses the body of an answer.
    ///
    /// # Errors
    ///
    /// It is not an endpoint list.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, EndpointListError> {
        let value: Value =
            serde_json::from_slice(body).map_err(|error| EndpointListError::NotJson(error.to_string()))?;
        Self::from_json(&value)
    }

    /// Reads a list that is part of another document.
    ///
    /// # Errors
    ///
    /// It is not an endpoint list.
    pub(crate) fn from_json(value: &Value) -> Result<Self, EndpointListError> {
        let Value::Object(fields) = value else { return Err(EndpointListError::NotAnObject) };
        let object = ObjectReader { kind: "the list", fields };
        let version = fields.get(endpoint::VERSION).and_then(Value::as_u64);
        let version = version.ok_or(EndpointListError::NoVersion)?;
        let full = object.boolean(endpoint::FULL)?;
        let Some(Value::Array(entries)) = fields.get(endpoint::ENTRIES) else {
            return Err(EndpointListError::NoEntries);
        };
        Ok(EndpointList { version, full, entries: entries.iter().map(parse_entry).collect() })
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

/// Path and query of a request for the list: the full one, or the changes since a version, waiting for some that long.
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
