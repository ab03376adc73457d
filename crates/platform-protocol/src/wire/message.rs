//! Parses messages from proxies and collectors into typed values. The session manager checks that the named zones,
//! servers, routes and proxies exist.

use super::known_fields::{FieldForm, KnownField, ObjectSeed, scalar};
use super::names::{field, kind};
use super::object::{FieldError, FieldFault, ObjectReader};
use serde::de::DeserializeSeed;
use serde_json::{Map, Value};
use thiserror::Error;

/// The largest accepted number of requests or attempts in one message. A wrong count above this limit would outweigh
/// all others.
const MAX_COUNT: u32 = 1 << 20;
/// The longest accepted time in milliseconds: one day.
const MAX_MILLISECONDS: f64 = 86_400_000.0;
/// The largest accepted metric of a load report, and the largest accepted request rate per second.
const MAX_METRIC: f64 = 1e7;
/// The fields of all messages that a planner receives.
const FIELDS: [KnownField; 14] = [
    scalar(field::KIND),
    scalar(field::ZONE),
    scalar(field::PROXY),
    scalar(field::REQUESTS_PER_SECOND),
    scalar(field::WITHOUT_TABLE),
    scalar(field::ACKNOWLEDGED_TOKEN),
    scalar(field::APPLY_TIME),
    scalar(field::ROUTE),
    scalar(field::TOTAL),
    scalar(field::FAILED),
    scalar(field::INTERVAL),
    scalar(field::SERVER),
    scalar(field::MEAN_LATENCY),
    KnownField { name: field::METRICS, form: FieldForm::Scalars },
];
/// The number of characters of an unknown kind that an error contains.
const MAX_KIND_SHOWN: usize = 20;

/// The reason why a message cannot be used. The texts are sent to the peer in a NACK. On the wire: do not change.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The body is not one JSON object.
    #[error("it is not an object of JSON")]
    NotAnObject,
    /// The kind of the object is not a kind of message that a planner receives.
    #[error("{0:?} is no message that may come")]
    UnknownKind(String),
    /// A field is missing or wrong.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// Attempts that the proxies of a zone made at one server during an interval.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerReport {
    /// The zone of the proxies.
    pub zone: String,
    /// The id of the server.
    pub server: String,
    /// The number of all attempts.
    pub attempts: u32,
    /// The number of failed attempts.
    pub failures: u32,
    /// The mean latency of the successful attempts in milliseconds, if there were any.
    pub mean_latency_ms: Option<f64>,
    /// The metrics of the server's last load report, by name.
    pub metrics: Vec<(String, f32)>,
}

/// Requests that a proxy received during an interval.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageReport {
    /// The number of the proxy.
    pub proxy: u32,
    /// The name of the route.
    pub route: String,
    /// The number of requests.
    pub requests: u32,
}

/// The first message of a proxy on its stream.
#[derive(Debug, Clone, PartialEq)]
pub struct JoinRequest {
    /// The number of the proxy.
    pub proxy: u32,
    /// The zone of the proxy.
    pub zone: String,
    /// The approximate number of requests per second at the proxy.
    pub requests_per_second: f64,
    /// True if the proxy holds no table of any planner.
    pub without_table: bool,
}

/// One message from a peer. Its Debug form is part of a logged cause.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A peer checks that the planner answers.
    Ping,
    /// A collector announces itself.
    Collector {
        /// The zone whose proxies the collector reports on.
        zone: String,
    },
    /// A proxy joins.
    Join(JoinRequest),
    /// A collector reports attempts at a server.
    ServerReport(ServerReport),
    /// A proxy has applied all messages up to an ack token.
    Ack {
        /// The number of the proxy.
        proxy: u32,
        /// The acknowledged ack token.
        token: u32,
    },
    /// A proxy or a collector reports requests at a proxy.
    Usage(UsageReport),
}

/// Parses the body of one frame.
///
/// # Errors
///
/// Returns an error if the body is not a message that a planner receives, or if one of its fields is invalid.
pub fn parse_message(body: &[u8]) -> Result<Message, MessageError> {
    let Ok(Value::Object(fields)) = read_fields(body) else { return Err(MessageError::NotAnObject) };
    let object = ObjectReader { kind: kind_of(&fields)?, fields: &fields };
    match object.kind {
        kind::PING => Ok(Message::Ping),
        kind::SOURCE => Ok(Message::Collector { zone: object.text(field::ZONE)?.into() }),
        kind::SUBSCRIBE => Ok(Message::Join(join_request(object)?)),
        kind::ACK => ack(object),
        kind::RATE => Ok(Message::Usage(usage_report(object)?)),
        kind::LOAD => Ok(Message::ServerReport(server_report(object)?)),
        other => Err(MessageError::UnknownKind(other.chars().take(MAX_KIND_SHOWN).collect())),
    }
}

fn read_fields(body: &[u8]) -> serde_json::Result<Value> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let value = ObjectSeed(&FIELDS).deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok(value)
}

fn kind_of(fields: &Map<String, Value>) -> Result<&str, FieldError> {
    match fields.get(field::KIND) {
        Some(Value::String(kind)) => Ok(kind),
        Some(_) => Ok(""),
        None => Err(ObjectReader { kind: "an object", fields }.error(field::KIND, FieldFault::Missing)),
    }
}

fn join_request(object: ObjectReader) -> Result<JoinRequest, FieldError> {
    Ok(JoinRequest {
        proxy: object.integer(field::PROXY, u32::MAX)?,
        zone: object.text(field::ZONE)?.into(),
        requests_per_second: object.number(field::REQUESTS_PER_SECOND, MAX_METRIC)?,
        without_table: object.boolean(field::WITHOUT_TABLE)?,
    })
}

fn ack(object: ObjectReader) -> Result<Message, MessageError> {
    object.number(field::APPLY_TIME, MAX_MILLISECONDS)?;
    Ok(Message::Ack {
        proxy: object.integer(field::PROXY, u32::MAX)?,
        token: object.integer(field::ACKNOWLEDGED_TOKEN, u32::MAX)?,
    })
}

/// Reads a usage report. Failures may exceed the requests of the interval, because some of the failed requests were
/// received in the interval before.
fn usage_report(object: ObjectReader) -> Result<UsageReport, FieldError> {
    let counts = counts(object)?;
    Ok(UsageReport {
        proxy: object.integer(field::PROXY, u32::MAX)?,
        route: object.text(field::ROUTE)?.into(),
        requests: counts.total,
    })
}

fn server_report(object: ObjectReader) -> Result<ServerReport, FieldError> {
    let counts = counts(object)?;
    if counts.failed > counts.total {
        return Err(object.error(field::FAILED, FieldFault::AboveTotal));
    }
    let mean_latency_ms = mean_latency_ms(object, counts)?;
    let metrics = metrics(object)?;
    Ok(ServerReport {
        zone: object.text(field::ZONE)?.into(),
        server: object.text(field::SERVER)?.into(),
        attempts: counts.total,
        failures: counts.failed,
        mean_latency_ms,
        metrics,
    })
}

#[derive(Clone, Copy)]
struct Counts {
    total: u32,
    failed: u32,
}

fn counts(object: ObjectReader) -> Result<Counts, FieldError> {
    let total = object.integer(field::TOTAL, MAX_COUNT)?;
    let failed = object.integer(field::FAILED, MAX_COUNT)?;
    if object.number(field::INTERVAL, MAX_MILLISECONDS)? == 0.0 {
        return Err(object.error(field::INTERVAL, FieldFault::Zero));
    }
    Ok(Counts { total, failed })
}

fn mean_latency_ms(object: ObjectReader, counts: Counts) -> Result<Option<f64>, FieldError> {
    let none_succeeded = counts.total == counts.failed;
    if none_succeeded && object.optional(field::MEAN_LATENCY).is_none() {
        return Ok(None);
    }
    let latency = object.number(field::MEAN_LATENCY, MAX_MILLISECONDS)?;
    Ok(Some(latency).filter(|latency| *latency > 0.0 && !none_succeeded))
}

fn metrics(object: ObjectReader) -> Result<Vec<(String, f32)>, FieldError> {
    let Some(value) = object.optional(field::METRICS) else { return Ok(vec![]) };
    let Value::Object(fields) = value else {
        return Err(object.error(field::METRICS, FieldFault::NotObject));
    };
    let report = ObjectReader { kind: object.kind, fields };
    let metric = |name: &String| Ok((name.clone(), report.number(name, MAX_METRIC)? as f32));
    fields.keys().map(metric).collect()
}
