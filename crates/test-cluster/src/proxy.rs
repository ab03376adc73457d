//! A proxy that applies its planner's updates on a separate thread.

use crate::connection::Connection;
use crate::planner_process::PlannerProcess;
use crate::table_update::{TableUpdate, set_weight};
use crate::{ms, wait_until};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

/// Number of proxies that [`join_all`] connects.
const JOINED_PROXIES: usize = 12;

/// State of a [`TestProxy`].
#[derive(Default)]
pub struct ProxyState {
    /// Weights by server id.
    pub table: BTreeMap<String, f64>,
    /// Number of full tables received.
    pub full_tables: usize,
    /// True if the stream has ended.
    pub ended: bool,
}

/// Proxy that applies updates and sends the acknowledgements that they request.
pub struct TestProxy {
    /// Stream of the proxy, for sending.
    pub connection: Connection,
    state: Arc<Mutex<ProxyState>>,
}

impl TestProxy {
    /// Joins a planner as proxy number `node`. If `cold` is true, the proxy reports that it has no table.
    ///
    /// # Panics
    ///
    /// Panics if no process listens at the address.
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

    /// Locks and returns the proxy's state.
    ///
    /// # Panics
    ///
    /// Panics if the proxy's thread has panicked because a message could not be applied.
    pub fn state(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().expect("the reader applies every message")
    }

    /// Returns the number of servers in the proxy's table.
    pub fn server_count(&self) -> usize {
        self.state().table.len()
    }

    /// Returns true if the proxy's table has the server.
    pub fn has(&self, server: &str) -> bool {
        self.state().table.contains_key(server)
    }

    /// Returns true if the proxy's stream has ended.
    pub fn ended(&self) -> bool {
        self.state().ended
    }
}

fn apply_updates(socket: TcpStream, node: usize, state: &Mutex<ProxyState>) {
    let mut connection = Connection { socket };
    while let Some(message) = connection.receive() {
        let update = TableUpdate::new(&message);
        let mut state = state.lock().expect("no thread panics with the lock held");
        if update.is_full() {
            state.table.clear();
            state.full_tables += 1;
        }
        for (server, weight) in update.weights() {
            set_weight(&mut state.table, server.to_string(), weight);
        }
        if let Some(ticket) = update.ack_ticket() {
            connection.send(&json!({"msg": "ACK", "node": node, "nonce": ticket, "latency": 1.5}));
        }
    }
    state.lock().expect("no thread panics with the lock held").ended = true;
}

/// Joins twelve proxies and waits until each has `servers` servers in its table.
///
/// # Panics
///
/// Panics if that takes longer than 6 s.
pub fn join_all(planner: &PlannerProcess, servers: usize, cold: bool) -> Vec<TestProxy> {
    let proxies: Vec<TestProxy> =
        (0..JOINED_PROXIES).map(|node| TestProxy::join(planner.listen, node, cold)).collect();
    wait_until("every proxy has every server", ms(6000), || {
        proxies.iter().all(|proxy| proxy.server_count() == servers)
    });
    proxies
}
