//! Recording of what a running planner receives.

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

/// The state of a recording until it is finished.
struct OpenRecording {
    recorder: Recorder,
    anonymizer: Option<Anonymizer>,
    /// Number of each proxy in the recording, by its name.
    proxies: BTreeMap<String, u32>,
    planner: u64,
}

impl OpenRecording {
    /// Records an event, anonymized if a key was given.
    fn put(&mut self, now: Duration, event: Event) {
        let mut timed = Timed { at_us: now.as_micros() as u64, event };
        if let Some(anonymizer) = &self.anonymizer {
            anonymizer.anonymize(&mut timed);
        }
        self.recorder.put(timed);
    }

    /// Returns the number of a proxy, and assigns the next one to a new name.
    fn proxy_number(&mut self, name: &str) -> u32 {
        let next = self.proxies.len() as u32;
        // The controller limits the number of names, and thereby the size of this map.
        *self.proxies.entry(name.into()).or_insert(next)
    }
}

/// A recording that is written while a planner runs: server lists, joins and leaves of proxies, and the requests that
/// proxies report. Clones are cheap and write to the same recording.
#[derive(Clone)]
pub(crate) struct Recording(Rc<RefCell<Option<OpenRecording>>>);

impl Recording {
    /// Returns a recording that drops all events.
    pub(crate) fn none() -> Recording {
        Recording(Rc::default())
    }

    /// Creates the file of a recording and records the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the key file cannot be read, or if the recording exists or cannot be written.
    pub(crate) fn begin(
        path: &Path,
        anonymization_key: Option<&Path>,
        planner: u64,
        deployment: &Deployment,
    ) -> Result<Recording, CommandError> {
        let anonymization_key =
            anonymization_key.map(|key| std::fs::read(key).map_err(CommandError::file(key))).transpose()?;
        let recorder = File::create_new(path).and_then(Recorder::new).map_err(CommandError::file(path))?;
        let anonymizer = anonymization_key.map(|key| Anonymizer::new(&key));
        let mut open = OpenRecording { recorder, anonymizer, proxies: BTreeMap::new(), planner };
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let settings = deployment_text(deployment);
        open.put(Duration::ZERO, Event::Began { planner, unix_ms: unix.as_millis() as u64, settings });
        Ok(Recording(Rc::new(RefCell::new(Some(open)))))
    }

    /// Records an event, unless the recording is finished.
    fn put(&self, now: Duration, event: impl FnOnce(&mut OpenRecording) -> Event) {
        if let Some(open) = &mut *self.0.borrow_mut() {
            let event = event(open);
            open.put(now, event);
        }
    }

    /// Finishes the recording and returns the number of events dropped because the disk did not keep up.
    ///
    /// # Errors
    ///
    /// Returns an error if the recording cannot be written.
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

    fn proxy_joined(&mut self, now: Duration, name: &str, zone: &str, initial_table_only: bool) {
        self.put(now, |open| Event::Joined {
            proxy: open.proxy_number(name),
            zone: zone.into(),
            bare: initial_table_only,
        });
    }

    fn proxy_left(&mut self, now: Duration, name: &str) {
        self.put(now, |open| Event::Left { proxy: open.proxy_number(name) });
    }

    fn calls_reported(&mut self, now: Duration, name: &str, routes: &[wire::RouteLoad]) {
        for load in routes.iter().filter(|load| load.calls > 0) {
            self.put(now, |open| Event::Came {
                proxy: open.proxy_number(name),
                route: load.route,
                calls: load.calls,
            });
        }
    }
}
