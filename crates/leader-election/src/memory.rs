//! What the next leader is to know: taken by the one that leads, kept by all.

use grebespool_wire::ServerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The most bytes that a memory has; one that is larger is neither sent nor taken.
pub const MOST_BYTES: usize = 8 << 20;

const VERSION: u16 = 2;
const SUM: usize = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Ready,
    Draining,
}

/// A server as the last list had it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    pub addr: SocketAddr,
    pub number: u32,
    pub zone: String,
    pub phase: Phase,
    pub started_ms: u64,
}

impl Listed {
    pub fn server(&self) -> ServerId {
        ServerId { addr: self.addr, number: self.number }
    }
}

/// A server's learnt weight, as a multiple of its pool's mean.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    pub addr: SocketAddr,
    pub number: u32,
    pub weight: f32,
}

/// A server that drains, and for how long the planner had known when this was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    pub addr: SocketAddr,
    pub number: u32,
    pub known_for_ms: u64,
}

/// The last orders that a proxy is known to have in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub proxy: String,
    pub seq: u64,
}

/// A server by its place in the memory's list.
pub type Place = u32;

/// What a leader knew.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Memory {
    /// Whose it is, and its place among that leader's.
    pub epoch: u64,
    pub number: u64,
    pub list_version: u64,
    /// When that list was sent, by its own clock.
    pub list_ms: u64,
    pub list: Vec<Listed>,
    pub weights: Vec<Weight>,
    pub drains: Vec<Drain>,
    pub held: Vec<Held>,
    /// Each pool's zone and servers.
    pub pools: Vec<(String, Vec<Place>)>,
    /// Each proxy's pool, by its place among the pools.
    pub bound: Vec<(String, u32)>,
}

/// Why bytes are no memory.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Damaged {
    #[error("it has {0} bytes, more than {MOST_BYTES}")]
    TooLarge(usize),
    #[error("it is cut off after {0} bytes")]
    Short(usize),
    #[error("it has version {0}; this program reads version {VERSION}")]
    Version(u16),
    #[error("its sum is wrong")]
    Sum,
    #[error("its sum is right and its content cannot be read")]
    Content,
}

impl Memory {
    /// With its version before it and its sum behind.
    ///
    /// # Errors
    ///
    /// It is too large to be kept.
    pub fn bytes(&self) -> Result<Vec<u8>, Damaged> {
        let mut bytes = VERSION.to_be_bytes().to_vec();
        bytes = postcard::to_extend(self, bytes).expect("memory takes all");
        let sum = blake3::hash(&bytes);
        bytes.extend_from_slice(&sum.as_bytes()[..SUM]);
        if bytes.len() > MOST_BYTES { Err(Damaged::TooLarge(bytes.len())) } else { Ok(bytes) }
    }

    /// Takes all of it or nothing.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn read(bytes: &[u8]) -> Result<Memory, Damaged> {
        if bytes.len() > MOST_BYTES {
            return Err(Damaged::TooLarge(bytes.len()));
        }
        let Some((content, sum)) =
            bytes.len().checked_sub(SUM).filter(|n| *n >= 2).map(|n| bytes.split_at(n))
        else {
            return Err(Damaged::Short(bytes.len()));
        };
        if blake3::hash(content).as_bytes()[..SUM] != *sum {
            return Err(Damaged::Sum);
        }
        let version = u16::from_be_bytes([content[0], content[1]]);
        if version != VERSION {
            return Err(Damaged::Version(version));
        }
        postcard::from_bytes(&content[2..]).map_err(|_| Damaged::Content)
    }

    /// Which of two tells more: of the newer leader, and of the same the later.
    pub fn order(&self) -> (u64, u64) {
        (self.epoch, self.number)
    }

    /// What of it may still be taken as true after so long. A drain never ends unsaid: a server that drained is
    /// gone or drains still. A list is only what was last known, for as long as no other can be had. Weights that
    /// were learnt from loads of long ago are worse than even ones; between, they count for less and less.
    pub fn after(&self, age: Duration, weights_kept: Duration) -> Memory {
        let left = 1.0 - (age.as_secs_f64() / weights_kept.as_secs_f64().max(0.001)).min(1.0);
        let fade = |w: &Weight| Weight { weight: w.weight.powf(left as f32), ..*w };
        let known = age.as_millis() as u64;
        let mut memory = self.clone();
        memory.weights = if left > 0.0 { self.weights.iter().map(fade).collect() } else { vec![] };
        memory.list_ms += if memory.list_ms > 0 { known } else { 0 };
        memory.drains.iter_mut().for_each(|d| d.known_for_ms += known);
        // What of a proxy's orders was in force says nothing once it may have heard others.
        if age > weights_kept {
            memory.held.clear();
            (memory.pools, memory.bound) = (vec![], vec![]);
        }
        memory
    }

    /// Learnt weights by server, for those that are still listed under the same number.
    pub fn weights(&self) -> BTreeMap<ServerId, f64> {
        let sane = self.weights.iter().filter(|w| w.weight.is_finite() && w.weight > 0.0);
        sane.map(|w| (ServerId { addr: w.addr, number: w.number }, f64::from(w.weight))).collect()
    }
}
