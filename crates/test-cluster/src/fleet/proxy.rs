//! Proxies that connect to the next planner when theirs is lost, and return to their home planner later.

use super::{Fleet, REQUESTS_PER_SECOND, ZONES};
use crate::connection::encode_frame;
use crate::ms;
use crate::table_update::{TableUpdate, set_weight};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Number of bytes read at a time.
const READ_LENGTH: usize = 16 << 10;
/// Pause between the first connections of two proxies, in milliseconds.
const FIRST_CONNECT_INTERVAL_MS: u64 = 3;

/// Proxy of a fleet.
pub struct RoamingProxy {
    pub(super) node: usize,
    pub(super) zone: usize,
    /// Requests per second.
    pub rate: f64,
    pub(super) stream: Option<Stream>,
    /// Planner to which the next connection goes.
    next_planner: usize,
    /// Earliest time of the next connection.
    connect_at: Duration,
    /// Weights by the server's number.
    pub table: BTreeMap<usize, f64>,
    /// Admitted fraction of the requests, 0 to 1.
    pub admitted: f64,
    /// True if an attempt at a full server is retried at another.
    pub(super) retries: bool,
    /// Time since which the proxy has had no server that it can use.
    pub(super) unusable_since: Option<Duration>,
    /// Number of full tables received.
    pub full_tables: usize,
    /// Number of requests since the last report.
    pub(super) unreported_requests: f64,
}

/// Stream from a proxy to its planner.
pub(super) struct Stream {
    pub(super) planner: usize,
    pub(super) opened_at: Duration,
    socket: TcpStream,
    /// Bytes that were read from the socket but not yet taken as messages.
    unread: Vec<u8>,
}

/// State of a stream after a read.
#[derive(PartialEq)]
enum StreamState {
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

    /// Returns the number of the planner that the proxy has joined, if any.
    pub(super) fn planner(&self) -> Option<usize> {
        self.stream.as_ref().map(|stream| stream.planner)
    }

    /// Returns true if the proxy should connect now. A proxy that has joined another planner leaves it for its home planner
    /// after `homing_interval`, because only a connection shows whether the home planner runs again.
    fn should_connect(&mut self, now: Duration, planners: usize, homing_interval: Duration) -> bool {
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

    /// Returns the pause before the next connection, which is spread over the proxies by their number and not random.
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
        if let (Some(ticket), Some(stream)) = (update.ack_ticket(), &mut self.stream) {
            stream.send(&json!({"msg": "ACK", "node": self.node, "nonce": ticket, "latency": 1.5}));
        }
    }

    /// Returns `work` spread by the table's weights over all servers of the table but `except`.
    pub(super) fn spread(&self, work: f64, except: Option<usize>) -> Vec<(usize, f64)> {
        let weights = || self.table.iter().filter(|(server, _)| Some(**server) != except);
        let sum: f64 = weights().map(|(_, weight)| weight).sum();
        weights().map(|(server, weight)| (*server, work * weight / sum)).collect()
    }
}

/// Returns the planner that a proxy joins first and returns to. Each pair of proxies with consecutive numbers, one of each zone,
/// shares a home planner.
fn home_planner(node: usize, planners: usize) -> usize {
    node / 2 % planners
}

impl Stream {
    pub(super) fn send(&mut self, message: &Value) {
        let _ = self.socket.write_all(&encode_frame(message));
    }

    /// Reads all bytes that have arrived.
    fn read(&mut self) -> StreamState {
        let mut buffer = [0; READ_LENGTH];
        loop {
            match self.socket.read(&mut buffer) {
                Ok(0) => return StreamState::Ended,
                Ok(length) => self.unread.extend(&buffer[..length]),
                Err(error) if would_block(&error) => return StreamState::Open,
                Err(_) => return StreamState::Ended,
            }
        }
    }

    /// Takes the first whole message from the bytes that were read.
    fn next_message(&mut self) -> Option<Value> {
        let header = self.unread.first_chunk::<4>()?;
        let end = header.len() + u32::from_be_bytes(*header) as usize;
        let body = self.unread.get(header.len()..end)?;
        let message = serde_json::from_slice(body).ok();
        self.unread.drain(..end);
        message
    }
}

fn would_block(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock
}

impl Fleet {
    pub(super) fn connect_proxy(&mut self, now: Duration, node: usize) {
        let planners = self.planners.len();
        let proxy = &mut self.proxies[node];
        if !proxy.should_connect(now, planners, self.homing_interval) {
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
        if stream.read() == StreamState::Ended {
            return proxy.stream_ended(now);
        }
        while let Some(message) = proxy.stream.as_mut().and_then(Stream::next_message) {
            proxy.apply(&message);
        }
    }
}
