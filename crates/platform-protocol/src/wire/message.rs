//! Messages from proxies and collectors, as typed values. Whether the zones, servers, routes and proxies that they name
//! exist is for the session manager to check.

use super::names::{field, kind};
use super::object::{FieldError, FieldFault, ObjectReader};
use serde_json::{Map, Value};
use thiserror::Error;

/// The most requests or attempts that one message may count; a wrong count above it would outweigh all others.
const MAX_COUNT: u32 = 1 << 20;
/// A day in milliseconds: no reported time is longer.
const MAX_MILLISECONDS: f64 = 86_400_000.0;
/// The largest metric of a load report, and the largest request rate.
const MAX_METRIC: f64 = 1e7;
/// Characters of an unknown kind that go into an error.
const MAX_KIND_SHOWN: usize = 20;

/// Why a message cannot be used. The texts go to the peer in a refusal. On the wire: do not rename.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The body is not one JSON object.
    #[error("it is not an object of JSON")]
    NotAnObject,
    /// The object is none of the messages that a planner receives.
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
    /// All attempts.
    pub attempts: u32,
    /// Attempts that failed.
    pub failures: u32,
    /// Mean latency of the others in milliseconds, if there were any.
    pub mean_latency_ms: Option<f64>,
    /// Metrics of the server's last load report, by name.
    pub metrics: Vec<(String, f32)>,
}

/// Requests that came to a proxy during an interval.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageReport {
    /// The number of the proxy.
    pub proxy: u32,
    /// The name of the route.
    pub route: String,
    /// How many requests came.
    pub requests: u32,
}

/// A proxy's request to be served.
#[derive(Debug, Clone, PartialEq)]
pub struct JoinRequest {
    /// The number of the proxy.
    pub proxy: u32,
    /// The zone of the proxy.
    pub zone: String,
    /// A rough figure of its requests a second.
    pub requests_per_second: f64,
    /// Whether it holds no table from any planner.
    pub without_table: bool,
}

/// One message from a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Asks for a sign of life.
    Ping,
    /// A collector announces itself.
    Collector {
        /// The zone that it collects for.
        zone: String,
    },
    /// A proxy joins.
    Join(JoinRequest),
    /// Attempts at a server.
    ServerReport(ServerReport),
    /// A proxy has applied everything up to an ack token.
    Ack {
        /// The number of the proxy.
        proxy: u32,
        /// The token.
        token: u32,
    },
    /// Requests at a proxy.
    Usage(UsageReport),
}

/// Parses the body of one frame.
///
/// # Errors
///
/// Why the message cannot be used.
pub fn parse_message(body: &[u8]) -> Result<Message, MessageError> {
    let Ok(Value::Object(fields)) = serde_json::from_slice(body) else {
        return Err(MessageError::NotAnObject);
    };
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

/// Failures may exceed the requests of the interval: some came in the interval before.
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
