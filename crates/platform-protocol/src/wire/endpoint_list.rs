//! Parses answers of discovery into typed values. The server registry checks that the named zones exist.

use super::names::endpoint;
use super::object::{FieldError, ObjectReader};
use grebespool::host::EndpointState;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

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
    /// Parses the body of an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not an endpoint list.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, EndpointListError> {
        let value: Value =
            serde_json::from_slice(body).map_err(|error| EndpointListError::NotJson(error.to_string()))?;
        Self::from_json(&value)
    }

    /// Reads a list that is part of another JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not an endpoint list.
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
