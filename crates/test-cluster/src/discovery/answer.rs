//! HTTP/1.1 answers of the discovery service, according to its behavior.

use super::{Discovery, DiscoveryBehavior};
use crate::ms;
use serde_json::json;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two checks of the list or the behavior.
const INTERVAL: Duration = ms(3);
/// Pause after each byte of an answer that trickles.
const TRICKLE_INTERVAL: Duration = ms(100);
/// Shortest wait of a long poll.
const MIN_LONG_POLL: Duration = ms(100);
/// Time for which a request that is never answered is held open.
const HANG_DURATION: Duration = ms(60_000);

/// Request for the endpoint list.
struct Request {
    /// Path and query.
    path: String,
    /// Version that the client has; `None` requests the full list.
    since: Option<u64>,
    /// Time for which an answer without changes may be delayed.
    wait: Duration,
}

impl Request {
    /// Reads one request. Returns `None` at the end of the connection.
    fn read(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
        let mut path = String::new();
        let mut line = String::new();
        while reader.read_line(&mut line)? > 0 && line != "\r\n" {
            if path.is_empty() {
                path = line.split(' ').nth(1).unwrap_or("").to_string();
            }
            line.clear();
        }
        if path.is_empty() {
            return Ok(None);
        }
        let since = query_value(&path, "since");
        let wait = ms(query_value(&path, "timeout_ms").unwrap_or(0));
        Ok(Some(Request { path, since, wait }))
    }
}

fn query_value(path: &str, name: &str) -> Option<u64> {
    let mut parts = path.split(['?', '&']);
    parts.find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Answers the requests of one connection until it ends.
pub(super) fn serve_connection(discovery: &Discovery, socket: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(socket.try_clone()?);
    let mut writer = socket;
    while let Some(request) = Request::read(&mut reader)? {
        discovery.list().count_request(&request.path);
        let (behavior, body) = wait_for_answer(discovery, &request);
        let is_open = match behavior {
            DiscoveryBehavior::Busy(delay) => write_busy_answer(discovery, &request, delay, &mut writer)?,
            _ => write_answer(discovery, behavior, &body, &mut writer)?,
        };
        if !is_open {
            return Ok(());
        }
    }
    Ok(())
}

/// Answers a long poll after a delay, and rejects any other request. Returns true if the connection stays open.
fn write_busy_answer(
    discovery: &Discovery,
    request: &Request,
    delay: Duration,
    writer: &mut TcpStream,
) -> io::Result<bool> {
    if request.wait < MIN_LONG_POLL {
        return write_answer(discovery, DiscoveryBehavior::Unavailable, "", writer);
    }
    thread::sleep(delay);
    let body = list_if_due(discovery, request, DiscoveryBehavior::Answers, request.wait).unwrap_or_default();
    write_answer(discovery, DiscoveryBehavior::Answers, &body, writer)
}

/// Waits until the request is due for an answer. Returns the behavior at that moment and the list as JSON.
fn wait_for_answer(discovery: &Discovery, request: &Request) -> (DiscoveryBehavior, String) {
    let started_at = Instant::now();
    loop {
        let behavior = discovery.behavior();
        if let Some(body) = list_if_due(discovery, request, behavior, started_at.elapsed()) {
            return (behavior, body);
        }
        thread::sleep(INTERVAL);
    }
}

/// Returns the list as JSON, or `None` if the request still waits for changes.
fn list_if_due(
    discovery: &Discovery,
    request: &Request,
    behavior: DiscoveryBehavior,
    waited: Duration,
) -> Option<String> {
    let list = discovery.list();
    let is_due = request.since.is_none_or(|since| list.version > since) || waited >= request.wait;
    if !is_due && behavior.waits_for_changes() {
        return None;
    }
    let since = request.since.filter(|_| behavior != DiscoveryBehavior::SendsFullList);
    let version = match behavior {
        DiscoveryBehavior::VersionGoesBack => since.unwrap_or(1) - 1,
        _ => list.version,
    };
    let servers = list.entries_since(since);
    Some(json!({"version": version, "full": since.is_none(), "servers": servers}).to_string())
}

/// Writes the answer and returns true if the connection stays open.
fn write_answer(
    discovery: &Discovery,
    behavior: DiscoveryBehavior,
    body: &str,
    writer: &mut TcpStream,
) -> io::Result<bool> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let answer = format!("{head}{body}");
    let bytes = answer.as_bytes();
    match behavior {
        DiscoveryBehavior::Answers
        | DiscoveryBehavior::SendsFullList
        | DiscoveryBehavior::VersionGoesBack => writer.write_all(bytes)?,
        DiscoveryBehavior::BreaksOff(length) => {
            writer.write_all(&bytes[..length.min(bytes.len() - 1)])?;
            writer.shutdown(Shutdown::Both)?;
            return Ok(false);
        }
        DiscoveryBehavior::SendsHalf => {
            write_in_halves(discovery, bytes, head.len() + body.len() / 2, writer)?;
        }
        DiscoveryBehavior::Unavailable | DiscoveryBehavior::Busy(_) => {
            writer.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")?;
        }
        DiscoveryBehavior::Resets => {
            writer.shutdown(Shutdown::Both)?;
            return Ok(false);
        }
        DiscoveryBehavior::Hangs => thread::sleep(HANG_DURATION),
        DiscoveryBehavior::Trickles => trickle(bytes, writer)?,
    }
    Ok(true)
}

/// Writes the bytes up to `middle`, and the rest once the behavior changes.
fn write_in_halves(
    discovery: &Discovery,
    bytes: &[u8],
    middle: usize,
    writer: &mut TcpStream,
) -> io::Result<()> {
    let (first, rest) = bytes.split_at(middle);
    writer.write_all(first)?;
    discovery.list().half_answers += 1;
    while discovery.behavior() == DiscoveryBehavior::SendsHalf {
        thread::sleep(INTERVAL);
    }
    writer.write_all(rest)
}

/// Writes the bytes one at a time, with a pause after each.
fn trickle(bytes: &[u8], writer: &mut TcpStream) -> io::Result<()> {
    for byte in bytes {
        writer.write_all(&[*byte])?;
        thread::sleep(TRICKLE_INTERVAL);
    }
    Ok(())
}
