//! A station whose outlet is kept, and a small deployment.

use grebespool_platform_protocol::{Conn, Outlet, Station, Terms};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub const UNIX: f64 = 1_700_000_000_000.0;

pub fn settings() -> Value {
    serde_json::from_str(include_str!("../settings.json")).unwrap()
}

pub fn server(k: usize, state: &str, age_ms: u64) -> Value {
    let started = if age_ms == 0 { 0.0 } else { UNIX - age_ms as f64 };
    let zone = ["north", "south"][k % 2];
    json!({"id": format!("s{k}"), "addr": format!("127.0.0.9:{}", 7000 + k), "zone": zone, "kind": "k", "cell": 1,
           "state": state, "weight": 1.0, "started_ms": started})
}

pub fn list(version: u64, full: bool, servers: Vec<Value>) -> Value {
    json!({"version": version, "full": full, "servers": servers})
}

pub fn terms(servers: usize) -> Terms {
    terms_of(servers, settings())
}

pub fn terms_of(servers: usize, settings: Value) -> Terms {
    let known = list(3, true, (0..servers).map(|k| server(k, "SERVING", 0)).collect());
    let file = json!({
        "name": "p0", "listen": "127.0.0.1:9", "discovery": "127.0.0.1:8", "seed": "8c1f", "known": known,
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 100}, "settings": settings, "unheard_of": [1, {}],
    });
    Terms::read(file.to_string().as_bytes()).unwrap()
}

#[derive(Default)]
pub struct Kept {
    pub written: BTreeMap<Conn, Vec<u8>>,
    pub closed: Vec<Conn>,
    pub probes: Vec<String>,
    pub watches: usize,
    pub wholes: usize,
    pub said: Vec<String>,
    pub noted: Vec<String>,
    pub debugged: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Outside(pub Rc<RefCell<Kept>>);

impl Outlet for Outside {
    fn write(&mut self, conn: Conn, bytes: &[u8]) {
        self.0.borrow_mut().written.entry(conn).or_default().extend(bytes);
    }
    fn close(&mut self, conn: Conn) {
        self.0.borrow_mut().closed.push(conn);
    }
    fn probe(&mut self, server: &str, _: SocketAddr) {
        self.0.borrow_mut().probes.push(server.into());
    }
    fn watch(&mut self) {
        self.0.borrow_mut().watches += 1;
    }
    fn ask_whole(&mut self) {
        self.0.borrow_mut().wholes += 1;
    }
    fn say(&mut self, text: &str) {
        self.0.borrow_mut().said.push(text.into());
    }
    fn note(&mut self, text: &str) {
        self.0.borrow_mut().noted.push(text.into());
    }
    fn debug(&mut self, text: &str) {
        self.0.borrow_mut().debugged.push(text.into());
    }
}

pub fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes()[..], body].concat()
}

pub fn subscribe(node: u64, locality: &str) -> Value {
    json!({"msg": "SUBSCRIBE", "node": node, "locality": locality, "w": 3.5, "cold": true})
}

pub struct Rig {
    pub station: Station<Outside>,
    pub kept: Rc<RefCell<Kept>>,
    pub now: Duration,
}

impl Rig {
    pub fn new(servers: usize) -> Rig {
        Rig::on(terms(servers))
    }

    pub fn on(terms: Terms) -> Rig {
        let outside = Outside::default();
        let kept = outside.0.clone();
        Rig { station: Station::start(outside, terms, 20, UNIX), kept, now: Duration::ZERO }
    }

    pub fn open(&mut self, conn: Conn) {
        self.station.opened(self.now, conn);
    }

    pub fn bytes(&mut self, conn: Conn, bytes: &[u8]) {
        self.station.came(self.now, conn, bytes);
    }

    pub fn say(&mut self, conn: Conn, message: &Value) {
        self.bytes(conn, &framed(message.to_string().as_bytes()));
    }

    pub fn join(&mut self, conn: Conn, node: u64) {
        self.open(conn);
        self.say(conn, &subscribe(node, ["north", "south"][node as usize % 2]));
    }

    pub fn list(&mut self, asked: Option<u64>, list: &Value) -> Result<(), String> {
        let unix = UNIX + self.now.as_secs_f64() * 1000.0;
        self.station.list(self.now, unix, asked, list.to_string().as_bytes())
    }

    pub fn until(&mut self, at: Duration) {
        while self.station.due() <= at {
            self.now = self.station.due().max(self.now);
            self.station.woken(self.now);
        }
        self.now = at;
    }

    /// What was written to the connection since this was last asked.
    pub fn written(&mut self, conn: Conn) -> Vec<Value> {
        let bytes = self.kept.borrow_mut().written.remove(&conn).unwrap_or_default();
        let mut rest = &bytes[..];
        let mut messages = vec![];
        while let Some((head, more)) = rest.split_first_chunk::<4>() {
            let (body, more) = more.split_at(u32::from_be_bytes(*head) as usize);
            messages.push(serde_json::from_slice(body).unwrap());
            rest = more;
        }
        messages
    }

    pub fn closed(&self, conn: Conn) -> bool {
        self.kept.borrow().closed.contains(&conn)
    }
}

/// A proxy's table after so many messages.
pub fn table(messages: &[Value], mut table: BTreeMap<String, f64>) -> BTreeMap<String, f64> {
    for m in messages.iter().filter(|m| m["msg"] == "CONFIG") {
        if m["whole"] == true {
            table.clear();
        }
        for line in m["lines"].as_array().into_iter().flatten() {
            let (id, weight) = (line[0].as_str().unwrap().to_string(), line[1].as_f64().unwrap());
            if weight > 0.0 {
                table.insert(id, weight)
            } else {
                table.remove(&id)
            };
        }
    }
    table
}
