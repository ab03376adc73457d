//! Updates from a controller to a proxy, and their acknowledgement.

use crate::codec::{Codec, ListItem, enum_codec, struct_codec};
use crate::decode_error::DecodeError;
use crate::reader::Reader;
use crate::server::ServerId;
use crate::writer::Writer;

/// When a proxy may retry a call at another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// Once, after proof that the first attempt never ran.
    IfNotExecuted,
    /// Once, after any failure.
    AfterFailure,
}

// On the wire: do not renumber.
enum_codec!(RetryPolicy { 0 => Never, 1 => IfNotExecuted, 2 => AfterFailure });

/// What part of some routes' calls a proxy admits, and when it retries them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRule {
    /// The sum of 2^k over the positions k of the routes; 0 for all.
    pub routes: u16,
    /// The fraction of calls that is admitted, 0 to 1.
    pub admitted_fraction: f32,
    /// When they are retried.
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
    /// Its weight, relative to the others of the table.
    pub weight: f32,
}

struct_codec!(ServerWeight { server: nested(), weight: non_negative("a weight") });

impl ListItem for ServerWeight {
    const MIN_BYTES: usize = ServerId::MIN_BYTES + 4;
}

/// A whole table for some routes. It replaces the tables of these routes; the proxy follows the table's changes until
/// it leaves.
#[derive(Debug, Clone, PartialEq)]
pub struct TableBinding {
    /// The table.
    pub table: u16,
    /// How often the table has changed.
    pub version: u64,
    /// The sum of 2^k over the positions k of the routes; 0 for all.
    pub routes: u16,
    /// All servers of the table.
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
    /// How often the table has changed, this change included.
    pub version: u64,
    /// The server.
    pub server: ServerId,
    /// Its weight; 0 removes it from the table.
    pub weight: f32,
}

struct_codec!(WeightChange {
    table: u16("a table"),
    version: u64("a version"),
    server: nested(),
    weight: non_negative("a weight"),
});

/// Takes a server out of all the proxy's tables, or back in.
#[derive(Debug, Clone, PartialEq)]
pub struct Exclusion {
    /// The server.
    pub server: ServerId,
    /// Whether it gets no calls from now on.
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
    /// Excludes a server, or takes it back.
    Exclude(Exclusion),
    /// Asks for an acknowledgement with this token once all changes up to here are in force.
    RequestAck(u16),
}

/// Kinds of changes. On the wire: do not renumber.
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

/// Why an update was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateCause {
    /// A proxy joined.
    ProxyJoined,
    /// The endpoint list changed.
    EndpointsChanged,
    /// A timer fired, or anything else happened.
    Interval,
}

// On the wire: do not renumber.
enum_codec!(UpdateCause { 0 => ProxyJoined, 1 => EndpointsChanged, 2 => Interval });

/// All changes that one turn of the controller makes for one proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct Update {
    /// The leader's term where several controllers serve one fleet; 0 where controllers share nothing.
    pub term: u64,
    /// The controller's incarnation, so that updates from before a restart are known.
    pub incarnation: u64,
    /// The stream's number, so that updates from before a disconnection are known.
    pub stream: u32,
    /// Rises by one with each update of a stream, from 1.
    pub sequence: u64,
    /// Microseconds since the controller's start at which the oldest change in here was made.
    pub created_us: u64,
    /// The version of the endpoint list that the controller knew.
    pub endpoints_version: u64,
    /// Why it was sent.
    pub cause: UpdateCause,
    /// The changes, to be applied together and in this order.
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

/// Acknowledges that all updates of the stream up to `sequence` are in force; sent for each update.
#[derive(Debug, Clone, PartialEq)]
pub struct UpdateAck {
    /// The incarnation of the update.
    pub incarnation: u64,
    /// The stream of the update.
    pub stream: u32,
    /// The sequence number of the update.
    pub sequence: u64,
    /// The token, if the update asked for one with [`Change::RequestAck`].
    pub token: Option<u16>,
}

struct_codec!(UpdateAck {
    incarnation: u64("a start"),
    stream: u32("a stream"),
    sequence: u64("a sequence number"),
    token: optional_u16("whether there is a mark", "a mark"),
});
