//! A proxy that applies what it is sent, on a thread of its own.

use crate::connection::Connection;
use crate::planner_process::PlannerProcess;
use crate::table_update::{TableUpdate, set_weight};
use crate::{ms, wait_until};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

/// How many proxies [`join_all`] connects.
const PROXIES: usize = 12;

/// What a proxy holds.
#[derive(Default)]
pub struct ProxyState {
    /// Weights by server.
    pub table: BTreeMap<String, f64>,
    /// How many full tables came.
    pub full_tables: usize,
    /// The stream has ended.
    pub ended: bool,
}

/// A proxy that applies updates and acknowledges marks.
pub struct TestProxy {
    /// Its stream, for sending.
    pub connection: Connection,
    state: Arc<Mutex<ProxyState>>,
}

impl TestProxy {
    /// Joins a planner as proxy number `node`; `cold` where it says that it holds no table.
    ///
    /// # Panics
    ///
    /// Nobody listens there.
    pub fn join(planner: SocketAddr, node: usize, cold: bool) -> TestProxy {
        let mut connection = Connection::connect(planner);
        let zone = ["north", "south"][node % 2];
        connection.send(&json!({"msg": "SUBSCRIBE", "node": node, "locality": zone, "w": 2.5, "cold": cold}));
        let state = Arc::new(Mutex::new(ProxyState::default()));
        let socket = connection.socket.try_clone().expect("a descriptor for the reader");
        let shared = state.clone();
        thread::spawn(move || apply_updates(socket, node, &shared));
        TestProxy { connection, state }
    }

    /// What it holds now.
    ///
    /// # Panics
    ///
    /// Its thread has panicked: a message could not be applied.
    pub fn state(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().expect("the reader applies every message")
    }

    /// How many servers its table has.
    pub fn server_count(&self) -> usize {
        self.state().table.len()
    }

    /// Whether its table has the server.
    pub fn has(&self, server: &str) -> bool {
        self.state().table.contains_key(server)
    }

    /// Whether its stream has ended.
    pub fn ended(&self) -> bool {
        self.state().ended
    }
}

fn apply_updates(socket: TcpStream, node: usize, state: &Mutex<ProxyState>) {
    let mut connection = Connection { socket };
    while let Some(message) = connection.receive() {
        let update = TableUpdate::new(&message);
        let mut state = state.lock().expect("nobody panics with the lock");
        if update.is_full() {
            state.table.clear();
            state.full_tables += 1;
        }
        for (server, weight) in update.weights() {
            set_weight(&mut state.table, server.to_string(), weight);
        }
        if let Some(mark) = update.mark() {
            connection.send(&json!({"msg": "ACK", "node": node, "nonce": mark, "latency": 1.5}));
        }
    }
    state.lock().expect("nobody panics with the lock").ended = true;
}

/// Joins twelve proxies and waits until each has so many servers.
///
/// # Panics
///
/// That takes longer than 6 s.
pub fn join_all(planner: &PlannerProcess, servers: usize, cold: bool) -> Vec<TestProxy> {
    let proxies: Vec<TestProxy> =
        (0..PROXIES).map(|node| TestProxy::join(planner.listen, node, cold)).collect();
    wait_until("every proxy has every server", ms(6000), || {
        proxies.iter().all(|proxy| proxy.server_count() == servers)
    });
    proxies
}
