//! What all stand-ins of one day share: the clock, the record, and which zones are cut off.

use grebespool_rules::{Passed, Record};
use grebespool_settings::Deployment;
use grebespool_wire::Key;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

pub struct World {
    pub began: Instant,
    pub key: Key,
    pub deployment: Deployment,
    pub record: RefCell<Record>,
    pub cut: RefCell<BTreeSet<u16>>,
    /// Callers call so many times as often.
    pub burst: Cell<f64>,
}

impl World {
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn put(&self, what: Passed) {
        self.record.borrow_mut().put(self.now(), what);
    }

    /// Whether nothing passes between two zones.
    pub fn apart(&self, a: u16, b: u16) -> bool {
        let cut = self.cut.borrow();
        a != b && (cut.contains(&a) || cut.contains(&b))
    }

    pub fn zone(&self, name: &str) -> u16 {
        self.deployment.zones.iter().position(|z| z == name).unwrap_or(0) as u16
    }

    /// The list's clock.
    pub fn now_ms(&self) -> u64 {
        1_000_000_000 + self.now().as_millis() as u64
    }
}
