//! Proxies that go on to the next planner when theirs is lost, and home again later.

use super::{Fleet, REQUESTS_PER_SECOND, ZONES};
use crate::connection::encode_frame;
use crate::ms;
use crate::table_update::{TableUpdate, set_weight};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bytes read at a time.
const READ_LENGTH: usize = 16 << 10;
/// The pause between the first connections of two proxies.
const FIRST_CONNECT_INTERVAL_MS: u64 = 3;

/// A proxy of a fleet.
pub struct RoamingProxy {
    pub(super) node: usize,
    pub(super) zone: usize,
    /// Requests a second.
    pub rate: f64,
    pub(super) stream: Option<Stream>,
    next_planner: usize,
    connect_at: Duration,
    /// Weights by the server's number.
    pub table: BTreeMap<usize, f64>,
    /// The part of its requests that it admits.
    pub admitted: f64,
    /// Whether an attempt at a full server is made again at another.
    pub(super) retries: bool,
    /// Since when it has had no server that it could use.
    pub(super) unusable_since: Option<Duration>,
    /// How many full tables came to it.
    pub full_tables: usize,
    /// Requests since the last report.
    pub(super) unreported_requests: f64,
}

/// A proxy's stream to its planner.
pub(super) struct Stream {
    pub(super) planner: usize,
    pub(super) opened_at: Duration,
    socket: TcpStream,
    unread: Vec<u8>,
}

/// Whether bytes came, or the stream has ended.
#[derive(PartialEq)]
enum StreamEnd {
    Open,
    Ended,
}

impl RoamingProxy {
    pub(super) fn new(node: usize, planners: usize) -> Self {
        RoamingProxy {
            node,
            zone: node % ZONES.len(),
            rate: REQUESTS_PER_SECOND,
            stream: None,
            next_planner: home_planner(node, planners),
            connect_at: ms(node as u64 * FIRST_CONNECT_INTERVAL_MS),
            table: BTreeMap::new(),
            admitted: 1.0,
            retries: false,
            unusable_since: None,
            full_tables: 0,
            unreported_requests: 0.0,
        }
    }

    /// The planner that it has joined.
    pub(super) fn planner(&self) -> Option<usize> {
        self.stream.as_ref().map(|stream| stream.planner)
    }

    /// Whether it is to connect now. One that is with another planner leaves it for its own after a while: that somebody
    /// is there again shows only by connecting.
    fn is_to_connect(&mut self, now: Duration, planners: usize, homing_interval: Duration) -> bool {
        if now < self.connect_at {
            return false;
        }
        let Some(stream) = &self.stream else { return true };
        let home = home_planner(self.node, planners);
        if stream.planner == home || now - stream.opened_at <= homing_interval {
            return false;
        }
        self.connect_at = now + homing_interval;
        (self.next_planner, self.stream) = (home, None);
        true
    }

    /// The pause before the next connection: neither all at once nor by chance.
    fn reconnect_delay(&self) -> Duration {
        ms(100 + (37 * self.node as u64) % 300)
    }

    fn join(&mut self, now: Duration, planner: usize, address: SocketAddr) {
        let Ok(mut socket) = TcpStream::connect(address) else { return };
        let _ = socket.set_nodelay(true);
        let join = json!({"msg": "SUBSCRIBE", "node": self.node, "locality": ZONES[self.zone], "w": self.rate,
                          "cold": self.full_tables == 0});
        if socket.write_all(&encode_frame(&join)).is_ok() && socket.set_nonblocking(true).is_ok() {
            self.stream = Some(Stream { planner, opened_at: now, socket, unread: vec![] });
        }
    }

    fn stream_ended(&mut self, now: Duration) {
        self.stream = None;
        self.connect_at = now + self.reconnect_delay();
    }

    fn apply(&mut self, message: &Value) {
        let update = TableUpdate::new(message);
        if update.is_full() {
            self.table.clear();
            self.admitted = 1.0;
            self.full_tables += 1;
        }
        for (server, weight) in update.weights() {
            let number = server[1..].parse().expect("a server's id ends in its number");
            set_weight(&mut self.table, number, weight);
        }
        if let Some(admitted) = update.admitted_on_all_routes() {
            self.admitted = admitted;
        }
        if let Some(retries) = update.retries() {
            self.retries = retries;
        }
        if let (Some(mark), Some(stream)) = (update.mark(), &mut self.stream) {
            stream.send(&json!({"msg": "ACK", "node": self.node, "nonce": mark, "latency": 1.5}));
        }
    }

    /// So much work spread by the table's weights, over all of its servers but one.
    pub(super) fn spread(&self, work: f64, except: Option<usize>) -> Vec<(usize, f64)> {
        let weights = || self.table.iter().filter(|(server, _)| Some(**server) != except);
        let sum: f64 = weights().map(|(_, weight)| weight).sum();
        weights().map(|(server, weight)| (*server, work * weight / sum)).collect()
    }
}

/// The planner that a proxy belongs to. Neighbours in number are in different zones, so two of them share one.
fn home_planner(node: usize, planners: usize) -> usize {
    node / 2 % planners
}

impl Stream {
    pub(super) fn send(&mut self, message: &Value) {
        let _ = self.socket.write_all(&encode_frame(message));
    }

    /// Reads what has come.
    fn read(&mut self) -> StreamEnd {
        let mut buffer = [0; READ_LENGTH];
        loop {
            match self.socket.read(&mut buffer) {
                Ok(0) => return StreamEnd::Ended,
                Ok(length) => self.unread.extend(&buffer[..length]),
                Err(error) if is_empty_for_now(&error) => return StreamEnd::Open,
                Err(_) => return StreamEnd::Ended,
            }
        }
    }

    fn next_message(&mut self) -> Option<Value> {
        let header = self.unread.first_chunk::<4>()?;
        let end = header.len() + u32::from_be_bytes(*header) as usize;
        let body = self.unread.get(header.len()..end)?;
        let message = serde_json::from_slice(body).ok();
        self.unread.drain(..end);
        message
    }
}

fn is_empty_for_now(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock
}

impl Fleet {
    pub(super) fn connect_proxy(&mut self, now: Duration, node: usize) {
        let planners = self.planners.len();
        let proxy = &mut self.proxies[node];
        if !proxy.is_to_connect(now, planners, self.homing_interval) {
            return;
        }
        let planner = proxy.next_planner;
        proxy.connect_at = now + proxy.reconnect_delay();
        proxy.next_planner = (planner + 1) % planners;
        proxy.join(now, planner, self.planners[planner].listen);
    }

    pub(super) fn read_proxy(&mut self, now: Duration, node: usize) {
        let proxy = &mut self.proxies[node];
        let Some(stream) = &mut proxy.stream else { return };
        if self.cut_off[stream.planner] {
            return;
        }
        if stream.read() == StreamEnd::Ended {
            return proxy.stream_ended(now);
        }
        while let Some(message) = proxy.stream.as_mut().and_then(Stream::next_message) {
            proxy.apply(&message);
        }
    }
}
