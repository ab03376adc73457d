//! A proxy that obeys, on a thread of its own.

use crate::conn::Conn;
use crate::program::Program;
use crate::{ms, until};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Default)]
pub struct Holds {
    pub table: BTreeMap<String, f64>,
    pub wholes: usize,
    pub ended: bool,
}

/// A proxy that obeys, answers marks and tells of a few calls.
pub struct Proxy {
    pub conn: Conn,
    pub holds: Arc<Mutex<Holds>>,
}

impl Proxy {
    pub fn join(planner: SocketAddr, node: usize, cold: bool) -> Proxy {
        let socket = TcpStream::connect(planner).unwrap();
        let (mut conn, zone) = (Conn(socket.try_clone().unwrap()), ["north", "south"][node % 2]);
        conn.say(&json!({"msg": "SUBSCRIBE", "node": node, "locality": zone, "w": 2.5,
                         "cold": cold}));
        let holds = Arc::new(Mutex::new(Holds::default()));
        let (of, mut from, mut to) = (holds.clone(), Conn(socket.try_clone().unwrap()), Conn(socket));
        thread::spawn(move || {
            while let Some(m) = from.hear() {
                let mut holds = of.lock().unwrap();
                if m["whole"] == true {
                    holds.table.clear();
                    holds.wholes += 1;
                }
                for line in m["lines"].as_array().into_iter().flatten() {
                    let (id, weight) = (line[0].as_str().unwrap().to_string(), line[1].as_f64().unwrap());
                    if weight > 0.0 {
                        holds.table.insert(id, weight)
                    } else {
                        holds.table.remove(&id)
                    };
                }
                if let Some(mark) = m.get("ticket") {
                    to.say(&json!({"msg": "ACK", "node": node, "nonce": mark, "latency": 1.5}));
                }
            }
            of.lock().unwrap().ended = true;
        });
        Proxy { conn, holds }
    }

    pub fn servers(&self) -> usize {
        self.holds.lock().unwrap().table.len()
    }

    pub fn has(&self, server: &str) -> bool {
        self.holds.lock().unwrap().table.contains_key(server)
    }

    pub fn ended(&self) -> bool {
        self.holds.lock().unwrap().ended
    }
}

pub fn join_all(program: &Program, servers: usize, cold: bool) -> Vec<Proxy> {
    let proxies: Vec<Proxy> = (0..12).map(|p| Proxy::join(program.listen, p, cold)).collect();
    until("every proxy has every server", ms(6000), || proxies.iter().all(|p| p.servers() == servers));
    proxies
}
