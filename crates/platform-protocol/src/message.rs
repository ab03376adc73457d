//! Messages that come in, as typed values. Whether what they name exists is the station's to know.

use serde_json::{Map, Value};
use thiserror::Error;

/// A field that is missing, of another type or out of range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{kind}: {field} {fault}")]
pub struct Spoilt {
    pub kind: String,
    pub field: String,
    pub fault: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Unread {
    /// Not one object of JSON.
    #[error("it is not an object of JSON")]
    NoObject,
    /// An object that is none of the messages that may come.
    #[error("{0:?} is no message that may come")]
    Kind(String),
    #[error(transparent)]
    Spoilt(#[from] Spoilt),
}

/// What the proxies of a zone met at a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Met {
    pub zone: String,
    pub server: String,
    pub tries: u32,
    pub dropped: u32,
    /// Mean time of the answered ones, if any were.
    pub wait_ms: Option<f64>,
    /// Figures of the load report by name.
    pub report: Vec<(String, f32)>,
}

/// Calls that came to a proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct Came {
    pub proxy: u32,
    pub route: String,
    pub calls: u32,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    Ping,
    Source { zone: String },
    Join { proxy: u32, zone: String, rate: f64, bare: bool },
    Met(Met),
    Applied { proxy: u32, mark: u32 },
    Came(Came),
}

/// The fields of one object.
pub struct Fields<'a> {
    pub kind: &'a str,
    pub of: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    fn spoilt<T>(&self, field: &str, fault: &'static str) -> Result<T, Spoilt> {
        Err(Spoilt { kind: self.kind.into(), field: field.into(), fault })
    }

    fn value(&self, field: &str) -> Result<&'a Value, Spoilt> {
        match self.of.get(field) {
            Some(value) => Ok(value),
            None => self.spoilt(field, "is missing"),
        }
    }

    pub fn text(&self, field: &str) -> Result<&'a str, Spoilt> {
        match self.value(field)?.as_str() {
            Some(text) => Ok(text),
            None => self.spoilt(field, "is no text"),
        }
    }

    pub fn flag(&self, field: &str) -> Result<bool, Spoilt> {
        match self.value(field)?.as_bool() {
            Some(flag) => Ok(flag),
            None => self.spoilt(field, "is neither true nor false"),
        }
    }

    /// A figure from 0 to `most`.
    pub fn figure(&self, field: &str, most: f64) -> Result<f64, Spoilt> {
        match self.value(field)?.as_f64() {
            Some(figure) if (0.0..=most).contains(&figure) => Ok(figure),
            Some(_) => self.spoilt(field, "is out of range"),
            None => self.spoilt(field, "is no figure"),
        }
    }

    /// A whole number from 0 to `most`.
    pub fn whole(&self, field: &str, most: u32) -> Result<u32, Spoilt> {
        let figure = self.figure(field, f64::from(most))?;
        if figure.fract() == 0.0 { Ok(figure as u32) } else { self.spoilt(field, "is no whole number") }
    }
}

/// The most tries or calls that one message may tell of; a spoilt one that passed for more would outweigh all others.
const MOST_CALLS: u32 = 1 << 20;
/// A day, in milliseconds: nothing that is told lasts longer.
const MOST_MS: f64 = 86_400_000.0;
const MOST_FIGURE: f64 = 1e7;

/// Reads one message.
///
/// # Errors
///
/// Why it cannot be used.
pub fn read(body: &[u8]) -> Result<Message, Unread> {
    let Ok(Value::Object(of)) = serde_json::from_slice(body) else { return Err(Unread::NoObject) };
    let kind = match of.get("msg") {
        Some(Value::String(kind)) => kind.as_str(),
        Some(_) => "",
        None => {
            return Err(Spoilt { kind: "an object".into(), field: "msg".into(), fault: "is missing" }.into());
        }
    };
    let fields = Fields { kind, of: &of };
    match kind {
        "PING" => Ok(Message::Ping),
        "SOURCE" => Ok(Message::Source { zone: fields.text("locality")?.into() }),
        "SUBSCRIBE" => Ok(Message::Join {
            proxy: fields.whole("node", u32::MAX)?,
            zone: fields.text("locality")?.into(),
            rate: fields.figure("w", MOST_FIGURE)?,
            bare: fields.flag("cold")?,
        }),
        "ACK" => {
            fields.figure("latency", MOST_MS)?;
            let (proxy, mark) = (fields.whole("node", u32::MAX)?, fields.whole("nonce", u32::MAX)?);
            Ok(Message::Applied { proxy, mark })
        }
        "RATE" => {
            // What failed may have come in an interval before, so it is no part of the total.
            let (calls, _) = counts(&fields)?;
            let (proxy, route) = (fields.whole("node", u32::MAX)?, fields.text("route")?.into());
            Ok(Message::Came(Came { proxy, route, calls }))
        }
        "LOAD" => Ok(Message::Met(met(&fields)?)),
        other => Err(Unread::Kind(other.chars().take(20).collect())),
    }
}

/// How many there were, and how many failed.
fn counts(fields: &Fields) -> Result<(u32, u32), Spoilt> {
    let counts = (fields.whole("total", MOST_CALLS)?, fields.whole("errors", MOST_CALLS)?);
    if fields.figure("interval", MOST_MS)? == 0.0 {
        return fields.spoilt("interval", "is nought");
    }
    Ok(counts)
}

fn met(fields: &Fields) -> Result<Met, Spoilt> {
    let (tries, dropped) = counts(fields)?;
    if dropped > tries {
        return fields.spoilt("errors", "is above the total");
    }
    let wait = match fields.of.get("rtt") {
        // Where none was answered there is no time to tell.
        None | Some(Value::Null) if tries == dropped => 0.0,
        _ => fields.figure("rtt", MOST_MS)?,
    };
    let report = match fields.of.get("metrics") {
        None | Some(Value::Null) => vec![],
        Some(Value::Object(figures)) => {
            let report = Fields { kind: fields.kind, of: figures };
            let figure = |name: &String| Ok((name.clone(), report.figure(name, MOST_FIGURE)? as f32));
            figures.keys().map(figure).collect::<Result<_, Spoilt>>()?
        }
        Some(_) => return fields.spoilt("metrics", "is no object"),
    };
    let (zone, server) = (fields.text("locality")?.into(), fields.text("endpoint")?.into());
    let wait_ms = Some(wait).filter(|w| *w > 0.0 && tries > dropped);
    Ok(Met { zone, server, tries, dropped, wait_ms, report })
}
