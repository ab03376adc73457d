//! The program as the platform starts it, and scripted parties around it on loopback.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits until it holds; gives how long that took.
pub fn until(what: &str, limit: Duration, holds: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < limit, "not within {limit:?}: {what}");
        thread::sleep(ms(5));
    }
    began.elapsed()
}

pub fn server(k: usize, state: &str) -> Value {
    let zone = ["north", "south"][k % 2];
    json!({"id": format!("s{k}"), "addr": "127.0.0.1:1", "zone": zone, "kind": "k", "cell": 1, "state": state,
           "weight": 1.0, "started_ms": 0})
}

#[derive(Clone, Copy, PartialEq)]
pub enum Mood {
    Answers,
    /// Takes calls and says nothing.
    Hangs,
    /// Says nothing in whole: a byte now and then.
    Trickles,
    Unavailable,
    Resets,
}

pub struct World {
    pub mood: Mood,
    pub version: u64,
    /// What changed with each version.
    changes: Vec<(u64, Value)>,
    pub calls: usize,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub world: Arc<Mutex<World>>,
}

impl Discovery {
    pub fn new(servers: usize) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let changes = (0..servers).map(|k| (5, server(k, "SERVING"))).collect();
        let world = Arc::new(Mutex::new(World { mood: Mood::Answers, version: 5, changes, calls: 0 }));
        let of = world.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let world = of.clone();
                thread::spawn(move || drop(answer(socket, &world)));
            }
        });
        Discovery { address, world }
    }

    pub fn change(&self, entries: &[Value]) {
        let mut world = self.world.lock().unwrap();
        world.version += 1;
        let version = world.version;
        world.changes.extend(entries.iter().map(|e| (version, e.clone())));
    }

    pub fn mood(&self, mood: Mood) {
        self.world.lock().unwrap().mood = mood;
    }
}

fn query(path: &str, name: &str) -> Option<u64> {
    path.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn answer(socket: TcpStream, world: &Mutex<World>) -> std::io::Result<()> {
    let (mut reader, mut writer) = (BufReader::new(socket.try_clone()?), socket);
    loop {
        let mut path = String::new();
        let mut line = String::new();
        while reader.read_line(&mut line)? > 0 && line != "\r\n" {
            path = if path.is_empty() { line.split(' ').nth(1).unwrap_or("").to_string() } else { path };
            line.clear();
        }
        if path.is_empty() {
            return Ok(());
        }
        let (since, wait) = (query(&path, "since"), ms(query(&path, "timeout_ms").unwrap_or(0)));
        world.lock().unwrap().calls += 1;
        let began = Instant::now();
        let (mood, body) = loop {
            let world = world.lock().unwrap();
            let over = since.is_none_or(|s| world.version > s) || began.elapsed() >= wait;
            if over || world.mood != Mood::Answers {
                let mut entries = BTreeMap::new();
                for (_, e) in world.changes.iter().filter(|c| since.is_none_or(|s| c.0 > s)) {
                    entries.insert(e["id"].to_string(), e.clone());
                }
                let listed = |e: &&Value| since.is_some() || e["state"] != "DELETED";
                let servers: Vec<&Value> = entries.values().filter(listed).collect();
                let list = json!({"version": world.version, "full": since.is_none(), "servers": servers});
                break (world.mood, list.to_string());
            }
            drop(world);
            thread::sleep(ms(3));
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        match mood {
            Mood::Answers => writer.write_all(format!("{head}{body}").as_bytes())?,
            Mood::Unavailable => writer.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")?,
            Mood::Resets => return writer.shutdown(Shutdown::Both),
            Mood::Hangs => thread::sleep(ms(60_000)),
            Mood::Trickles => {
                for byte in format!("{head}{body}").as_bytes() {
                    writer.write_all(&[*byte])?;
                    thread::sleep(ms(100));
                }
            }
        }
    }
}

pub struct Program {
    pub child: Child,
    pub listen: SocketAddr,
    pub file: PathBuf,
    _folder: tempfile::TempDir,
    sockets: usize,
}

impl Program {
    pub fn config(&self, discovery: SocketAddr) -> String {
        config(self.listen, discovery, self.sockets)
    }

    pub fn start(discovery: &Discovery, sockets: usize) -> Program {
        let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        std::fs::write(&file, config(listen, discovery.address, sockets)).unwrap();
        let child = spawn(&file, sockets);
        let program = Program { child, listen, file, _folder: folder, sockets };
        program.ready();
        program
    }

    /// Killed outright and started again under its address.
    pub fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = spawn(&self.file, self.sockets);
        self.ready();
    }

    fn ready(&self) {
        until("a sign of life", ms(5000), || {
            let Ok(socket) = TcpStream::connect(self.listen) else { return false };
            let mut conn = Conn(socket);
            conn.say(&json!({"msg": "PING"}));
            conn.next().is_some_and(|m| m["msg"] == "PONG")
        });
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(file: &std::path::Path, sockets: usize) -> Child {
    let run = format!("ulimit -n {sockets}; exec {} platform", env!("CARGO_BIN_EXE_grebespool"));
    let mut command = Command::new("sh");
    command.args(["-c", &run]).env("GW_CONFIG", file).stderr(Stdio::null()).stdout(Stdio::null());
    command.spawn().unwrap()
}

pub fn config(listen: SocketAddr, discovery: SocketAddr, sockets: usize) -> String {
    // The deployment that the station's own tests play; its servers answer no probes here.
    let mut settings: Value =
        serde_json::from_str(include_str!("../../../platform/tests/settings.json")).unwrap();
    settings["allowed"]["probing"] = json!(false);
    json!({
        "name": "p0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": sockets}, "settings": settings,
        "known": {"version": 0, "full": true, "servers": [server(0, "SERVING")]},
    })
    .to_string()
}

/// One connection, messages in and out.
pub struct Conn(pub TcpStream);

impl Conn {
    pub fn say(&mut self, message: &Value) {
        let body = message.to_string();
        let frame = [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat();
        let _ = self.0.write_all(&frame);
    }

    pub fn next(&mut self) -> Option<Value> {
        let mut head = [0; 4];
        self.0.read_exact(&mut head).ok()?;
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        self.0.read_exact(&mut body).ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Whether it is closed, or told that it may not stay, within the limit.
    pub fn turned_away(&mut self, limit: Duration) -> bool {
        self.0.set_read_timeout(Some(limit)).unwrap();
        let mut byte = [0; 64];
        match self.0.read(&mut byte) {
            // A word or an end: either is an answer.
            Ok(bytes) => bytes <= byte.len(),
            Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        }
    }
}

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
            while let Some(m) = from.next() {
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
