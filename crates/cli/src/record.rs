//! Recording what a running planner hears.

use crate::error::CommandError;
use grebespool_controller_server::Observer;
use grebespool_emulator::listed;
use grebespool_settings::{Deployment, deployment_text};
use grebespool_trace::{Anonymizer, Event, Recorder, Timed};
use grebespool_wire as wire;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

struct Open {
    recorder: Recorder,
    anonymizer: Option<Anonymizer>,
    /// Each proxy's number in the recording.
    proxies: BTreeMap<String, u32>,
    planner: u64,
}

impl Open {
    fn put(&mut self, now: Duration, event: Event) {
        let mut timed = Timed { at_us: now.as_micros() as u64, event };
        if let Some(anonymizer) = &self.anonymizer {
            anonymizer.anonymize(&mut timed);
        }
        self.recorder.put(timed);
    }

    fn number(&mut self, name: &str) -> u32 {
        let next = self.proxies.len() as u32;
        // As many as the engine knows at the most.
        *self.proxies.entry(name.into()).or_insert(next)
    }
}

/// A recording that is written while a planner runs: its lists, who joined and left, and the calls that proxies
/// count for it. Cheap to clone: all write the same.
#[derive(Clone)]
pub(crate) struct Recording(Rc<RefCell<Option<Open>>>);

impl Recording {
    pub(crate) fn none() -> Recording {
        Recording(Rc::default())
    }

    pub(crate) fn begin(
        path: &Path,
        cloak: Option<&Path>,
        planner: u64,
        deployment: &Deployment,
    ) -> Result<Recording, CommandError> {
        let cloak = cloak.map(|key| std::fs::read(key).map_err(CommandError::file(key))).transpose()?;
        let recorder = File::create_new(path).and_then(Recorder::new).map_err(CommandError::file(path))?;
        let anonymizer = cloak.map(|key| Anonymizer::new(&key));
        let mut open = Open { recorder, anonymizer, proxies: BTreeMap::new(), planner };
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let settings = deployment_text(deployment);
        open.put(Duration::ZERO, Event::Began { planner, unix_ms: unix.as_millis() as u64, settings });
        Ok(Recording(Rc::new(RefCell::new(Some(open)))))
    }

    fn put(&self, now: Duration, event: impl FnOnce(&mut Open) -> Event) {
        if let Some(open) = &mut *self.0.borrow_mut() {
            let event = event(open);
            open.put(now, event);
        }
    }

    /// Ends it; gives how many events did not go in, the disk being slower than they came.
    pub(crate) fn finish(&self, now: Duration) -> Result<u64, CommandError> {
        self.put(now, |open| Event::PlannerLost { planner: open.planner });
        match self.0.borrow_mut().take() {
            Some(open) => {
                let lost = open.recorder.lost();
                open.recorder.finish().map(|()| lost).map_err(CommandError::Recording)
            }
            None => Ok(0),
        }
    }
}

impl Observer for Recording {
    fn endpoints_received(&mut self, now: Duration, list: &wire::EndpointList) {
        self.put(now, |_| Event::List {
            version: list.version,
            base: list.base_version,
            now_ms: list.now_ms,
            entries: list.entries.iter().map(listed).collect(),
        });
    }

    fn newer_term_seen(&mut self, _: u64) {}

    fn proxy_joined(&mut self, now: Duration, name: &str, zone: &str, bare: bool) {
        self.put(now, |open| Event::Joined { proxy: open.number(name), zone: zone.into(), bare });
    }

    fn proxy_left(&mut self, now: Duration, name: &str) {
        self.put(now, |open| Event::Left { proxy: open.number(name) });
    }

    fn calls_reported(&mut self, now: Duration, name: &str, came: &[wire::RouteLoad]) {
        for c in came.iter().filter(|c| c.calls > 0) {
            self.put(now, |open| Event::Came { proxy: open.number(name), route: c.route, calls: c.calls });
        }
    }
}
