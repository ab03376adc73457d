//! Discovery, scripted: one list for all planners, and a door for each, with a mood of its own.

use crate::ms;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// An entry of the list, in one of two zones by the server's number.
pub fn server(k: usize, state: &str) -> Value {
    started(k, state, 0)
}

/// The same of a server that was started at that time, in Unix milliseconds.
pub fn started(k: usize, state: &str, started_ms: u64) -> Value {
    let zone = ["north", "south"][k % 2];
    json!({"id": format!("s{k}"), "addr": "127.0.0.1:1", "zone": zone, "kind": "k", "cell": 1, "state": state,
           "weight": 1.0, "started_ms": started_ms})
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mood {
    Answers,
    /// Takes calls and says nothing.
    Hangs,
    /// Says nothing in whole: a byte now and then.
    Trickles,
    Unavailable,
    Resets,
    /// Gives half of an answer, and the rest once its mood is another.
    Halves,
    /// Gives so many bytes of an answer and ends the connection.
    BreaksOff(usize),
    /// Gives the whole list, whatever was asked.
    Wholes,
    /// Gives changes up to a version before the one that was asked since.
    GoesBack,
}

pub struct World {
    pub version: u64,
    /// What changed with each version.
    changes: Vec<(u64, Value)>,
    pub calls: usize,
    /// What was asked, the last few hundred calls.
    pub asked: Vec<String>,
    /// Answers of which half was given.
    pub halves: usize,
}

/// The service, through one of its doors.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub world: Arc<Mutex<World>>,
    mood: Arc<Mutex<Mood>>,
}

impl Discovery {
    pub fn new(servers: usize) -> Discovery {
        let changes = (0..servers).map(|k| (5, server(k, "SERVING"))).collect();
        Self::open(Arc::new(Mutex::new(World { version: 5, changes, calls: 0, asked: vec![], halves: 0 })))
    }

    /// Another door to the same list.
    pub fn door(&self) -> Discovery {
        Self::open(self.world.clone())
    }

    fn open(world: Arc<Mutex<World>>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mood = Arc::new(Mutex::new(Mood::Answers));
        let of = (world.clone(), mood.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (world, mood) = of.clone();
                thread::spawn(move || drop(answer(socket, &world, &mood)));
            }
        });
        Discovery { address, world, mood }
    }

    pub fn change(&self, entries: &[Value]) {
        let mut world = self.world.lock().unwrap();
        world.version += 1;
        let version = world.version;
        world.changes.extend(entries.iter().map(|e| (version, e.clone())));
    }

    /// How this door answers from now on.
    pub fn mood(&self, mood: Mood) {
        *self.mood.lock().unwrap() = mood;
    }
}

fn query(path: &str, name: &str) -> Option<u64> {
    path.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn answer(socket: TcpStream, world: &Mutex<World>, now: &Mutex<Mood>) -> std::io::Result<()> {
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
        {
            let mut world = world.lock().unwrap();
            world.calls += 1;
            if world.asked.len() < 500 {
                world.asked.push(path.clone());
            }
        }
        let began = Instant::now();
        let (mood, body) = loop {
            let mood = *now.lock().unwrap();
            let world = world.lock().unwrap();
            let over = since.is_none_or(|s| world.version > s) || began.elapsed() >= wait;
            // Some moods show in an answer only.
            let waits = matches!(mood, Mood::Answers | Mood::Halves | Mood::BreaksOff(_));
            let since = since.filter(|_| mood != Mood::Wholes);
            if over || !waits {
                let mut entries = BTreeMap::new();
                for (_, e) in world.changes.iter().filter(|c| since.is_none_or(|s| c.0 > s)) {
                    entries.insert(e["id"].to_string(), e.clone());
                }
                let listed = |e: &&Value| since.is_some() || e["state"] != "DELETED";
                let servers: Vec<&Value> = entries.values().filter(listed).collect();
                let version = if mood == Mood::GoesBack { since.unwrap_or(1) - 1 } else { world.version };
                let list = json!({"version": version, "full": since.is_none(), "servers": servers});
                break (mood, list.to_string());
            }
            drop(world);
            thread::sleep(ms(3));
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let answer = format!("{head}{body}");
        match mood {
            Mood::Answers | Mood::Wholes | Mood::GoesBack => writer.write_all(answer.as_bytes())?,
            Mood::BreaksOff(bytes) => {
                writer.write_all(&answer.as_bytes()[..bytes.min(answer.len() - 1)])?;
                return writer.shutdown(Shutdown::Both);
            }
            Mood::Halves => {
                let (first, rest) = answer.as_bytes().split_at(head.len() + body.len() / 2);
                writer.write_all(first)?;
                world.lock().unwrap().halves += 1;
                while *now.lock().unwrap() == Mood::Halves {
                    thread::sleep(ms(3));
                }
                writer.write_all(rest)?;
            }
            Mood::Unavailable => writer.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")?,
            Mood::Resets => return writer.shutdown(Shutdown::Both),
            Mood::Hangs => thread::sleep(ms(60_000)),
            Mood::Trickles => {
                for byte in answer.as_bytes() {
                    writer.write_all(&[*byte])?;
                    thread::sleep(ms(100));
                }
            }
        }
    }
}
