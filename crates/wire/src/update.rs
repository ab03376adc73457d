//! The updates from a controller to a proxy, and their acknowledgements.

use crate::codec::{Codec, ListItem, enum_codec, struct_codec};
use crate::decode_error::DecodeError;
use crate::reader::Reader;
use crate::server::ServerId;
use crate::writer::Writer;

/// The condition under which a proxy may retry a request at another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No retries.
    Never,
    /// One retry, if the first attempt is known not to have been executed.
    IfNotExecuted,
    /// One retry after any failure.
    AfterFailure,
}

// On the wire: do not renumber.
enum_codec!(RetryPolicy { 0 => Never, 1 => IfNotExecuted, 2 => AfterFailure });

/// The fraction of some routes' requests that a proxy admits, and the condition for their retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRule {
    /// The routes as a bit mask: bit k is the route at position k in the settings; 0 means all routes.
    pub routes: u16,
    /// The fraction of requests to admit, 0 to 1.
    pub admitted_fraction: f32,
    /// The condition for retries of the requests.
    pub retry_policy: RetryPolicy,
}

struct_codec!(AdmissionRule {
    routes: u16("a level's routes"),
    admitted_fraction: non_negative("a level"),
    retry_policy: variant("a level's tries"),
});

impl ListItem for AdmissionRule {
    const MIN_BYTES: usize = 2 + 4 + 1;
}

/// A server's weight in a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerWeight {
    /// The server.
    pub server: ServerId,
    /// The server's weight, relative to the other weights of the table.
    pub weight: f32,
}

struct_codec!(ServerWeight { server: nested(), weight: non_negative("a weight") });

impl ListItem for ServerWeight {
    const MIN_BYTES: usize = ServerId::MIN_BYTES + 4;
}

/// A whole weight table for some routes. It replaces the previous table of each of these routes, and the proxy then
/// receives the table's changes until the stream ends.
#[derive(Debug, Clone, PartialEq)]
pub struct TableBinding {
    /// The table.
    pub table: u16,
    /// The number of changes of the table so far.
    pub version: u64,
    /// The routes as a bit mask: bit k is the route at position k in the settings; 0 means all routes.
    pub routes: u16,
    /// The weights of all servers in the table.
    pub weights: Vec<ServerWeight>,
    /// All admission rules in force.
    pub admission: Vec<AdmissionRule>,
}

struct_codec!(TableBinding {
    table: u16("a table"),
    version: u64("a version"),
    routes: u16("routes"),
    weights: list("lines"),
    admission: list("levels"),
});

/// A new weight of one server in a table.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightChange {
    /// The table.
    pub table: u16,
    /// The number of changes of the table, including this one.
    pub version: u64,
    /// The server.
    pub server: ServerId,
    /// The server's new weight; 0 removes the server from the table.
    pub weight: f32,
}

struct_codec!(WeightChange {
    table: u16("a table"),
    version: u64("a version"),
    server: nested(),
    weight: non_negative("a weight"),
});

/// The exclusion of a server from all tables of a proxy, or the end of the exclusion.
#[derive(Debug, Clone, PartialEq)]
pub struct Exclusion {
    /// The server.
    pub server: ServerId,
    /// True to exclude the server, false to end the exclusion.
    pub excluded: bool,
}

struct_codec!(Exclusion { server: nested(), excluded: flag("a withdrawal's way") });

/// One change in an [`Update`].
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Binds a table to some routes.
    BindTable(TableBinding),
    /// Changes one weight of a table.
    SetWeight(WeightChange),
    /// Replaces the admission rule of some routes.
    SetAdmission(AdmissionRule),
    /// Excludes a server, or ends its exclusion.
    Exclude(Exclusion),
    /// Requests an acknowledgement with this token once the proxy has applied all changes up to this one.
    RequestAck(u16),
}

/// The kinds of changes. On the wire: do not renumber.
mod kind {
    pub(super) const BIND_TABLE: u8 = 1;
    pub(super) const SET_WEIGHT: u8 = 2;
    pub(super) const SET_ADMISSION: u8 = 3;
    pub(super) const EXCLUDE: u8 = 4;
    pub(super) const REQUEST_ACK: u8 = 5;
}

impl Codec for Change {
    fn decode(reader: &mut Reader) -> Result<Self, DecodeError> {
        let (what, at) = ("an order's kind", reader.position());
        Ok(match reader.u8(what)? {
            kind::BIND_TABLE => Change::BindTable(reader.nested()?),
            kind::SET_WEIGHT => Change::SetWeight(reader.nested()?),
            kind::SET_ADMISSION => Change::SetAdmission(reader.nested()?),
            kind::EXCLUDE => Change::Exclude(reader.nested()?),
            kind::REQUEST_ACK => Change::RequestAck(reader.u16("a mark")?),
            value => return Err(DecodeError::InvalidValue { what, at, value: value.into() }),
        })
    }

    fn encode(&self, writer: &mut Writer) {
        match self {
            Change::BindTable(binding) => writer.tagged(kind::BIND_TABLE, binding),
            Change::SetWeight(weight) => writer.tagged(kind::SET_WEIGHT, weight),
            Change::SetAdmission(rule) => writer.tagged(kind::SET_ADMISSION, rule),
            Change::Exclude(exclusion) => writer.tagged(kind::EXCLUDE, exclusion),
            Change::RequestAck(token) => {
                writer.u8(&kind::REQUEST_ACK);
                writer.u16(token);
            }
        }
    }
}

impl ListItem for Change {
    // The kind and a token.
    const MIN_BYTES: usize = 1 + 2;
}

/// The cause of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateCause {
    /// A proxy joined.
    ProxyJoined,
    /// The endpoint list changed.
    EndpointsChanged,
    /// A timer fired, or any other event occurred.
    Interval,
}

// On the wire: do not renumber.
enum_codec!(UpdateCause { 0 => ProxyJoined, 1 => EndpointsChanged, 2 => Interval });

/// All changes for one proxy that result from one turn of the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct Update {
    /// The leader's term; 0 if controllers do not elect a leader.
    pub term: u64,
    /// The controller's incarnation, so that updates from before a restart can be recognized.
    pub incarnation: u64,
    /// The id of the stream, so that updates from before a disconnection can be recognized.
    pub stream: u32,
    /// The sequence number of the update: 1 for the first of a stream, and one more for each further update.
    pub sequence: u64,
    /// The time at which the oldest of the changes was made, in microseconds since the controller's start.
    pub created_us: u64,
    /// The version of the endpoint list on which the update is based.
    pub endpoints_version: u64,
    /// The cause of the update.
    pub cause: UpdateCause,
    /// The changes, which have to be applied together and in this order.
    pub changes: Vec<Change>,
}

struct_codec!(Update {
    term: u64("an epoch"),
    incarnation: u64("a start"),
    stream: u32("a stream"),
    sequence: u64("a sequence number"),
    created_us: u64("a time"),
    endpoints_version: u64("a list's version"),
    cause: variant("a cause"),
    changes: list("orders"),
});

/// The acknowledgement that the proxy has applied all updates of the stream up to `sequence`. It is sent for each update.
#[derive(Debug, Clone, PartialEq)]
pub struct UpdateAck {
    /// The incarnation of the update.
    pub incarnation: u64,
    /// The stream of the update.
    pub stream: u32,
    /// The sequence number of the update.
    pub sequence: u64,
    /// The token of the update's [`Change::RequestAck`], if there is one.
    pub token: Option<u16>,
}

struct_codec!(UpdateAck {
    incarnation: u64("a start"),
    stream: u32("a stream"),
    sequence: u64("a sequence number"),
    token: optional_u16("whether there is a mark", "a mark"),
});
