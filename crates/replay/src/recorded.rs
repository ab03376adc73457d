//! Recorded days as inputs of the model: a stream of events in the order of time, with one block in memory at a time.

use grebespool_settings::{Day, Trouble, What};
use grebespool_simulation::{FirstRequest, Input, RecordedEntry, Recording};
use grebespool_trace::{Call, End, Event, Listed, Phase, ReadError, Reader, Timed};
use grebespool_wire as wire;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Sorts the events of a recording, which are slightly out of order, by time. An event that comes after a later one was
/// returned gets the time of that one: a clock was set back, and the true time is unknown.
struct SortedEvents<I> {
    from: I,
    /// Events to return, by time in microseconds and the order of reading.
    pending: BTreeMap<(u64, u64), Event>,
    /// Number of events added to `pending` so far.
    read: u64,
    /// Latest time read so far, in microseconds.
    newest_us: u64,
    /// Time of the last event returned, in microseconds.
    returned_us: u64,
    /// Number of events that got a later time than recorded.
    moved: u64,
    from_ended: bool,
}

impl<I: Iterator<Item = Result<Timed, ReadError>>> SortedEvents<I> {
    /// Time that an event waits for earlier ones, in microseconds of the recording.
    const WAIT_US: u64 = 5_000_000;
    /// Largest number of pending events.
    const MAX_PENDING: usize = 1 << 16;

    fn new(from: I) -> Self {
        SortedEvents {
            from,
            pending: BTreeMap::new(),
            read: 0,
            newest_us: 0,
            returned_us: 0,
            moved: 0,
            from_ended: false,
        }
    }

    /// Adds an event, either read or derived from another.
    fn insert(&mut self, at_us: u64, event: Event) {
        self.read += 1;
        self.pending.insert((at_us, self.read), event);
    }

    /// Returns the next event in the order of time; `None` at the end.
    fn next(&mut self) -> Result<Option<Timed>, ReadError> {
        while !self.from_ended {
            let first = self.pending.first_key_value().map(|(k, _)| k.0);
            if first.is_some_and(|f| f + Self::WAIT_US <= self.newest_us)
                || self.pending.len() >= Self::MAX_PENDING
            {
                break;
            }
            match self.from.next().transpose()? {
                Some(timed) => {
                    self.newest_us = self.newest_us.max(timed.at_us);
                    self.insert(timed.at_us, timed.event);
                }
                None => self.from_ended = true,
            }
        }
        let Some(((at, _), event)) = self.pending.pop_first() else { return Ok(None) };
        self.moved += u64::from(at < self.returned_us);
        self.returned_us = self.returned_us.max(at);
        Ok(Some(Timed { at_us: self.returned_us, event }))
    }
}

/// Counts of what a recording holds, of what is replayed and of what is unknown.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecordingStats {
    /// First attempts, which are replayed.
    pub calls: u64,
    /// Repeats, which are not replayed: the model's clients retry by the outcome of their requests.
    pub repeats: u64,
    /// Requests without a client's id. These are replayed as first attempts and may be repeats.
    pub without_client: u64,
    /// Requests that proxies reported only as counts. Their keys, clients and times within a cycle are unknown.
    pub counted: u64,
    /// Requests of a route that the day has no callers for. These are not replayed.
    pub without_route: u64,
    /// Gaps.
    pub gaps: u64,
    /// Events far earlier than an event before them, because a clock was set back.
    pub set_back: u64,
    /// The longest time without any event.
    pub longest_silence: Duration,
    /// Server lists, whole ones and changes.
    pub lists: u64,
    /// Entries that remove or drain a server that was never listed.
    pub never_listed: u64,
    /// Joins of proxies.
    pub joins: u64,
    /// Leaves of proxies.
    pub lefts: u64,
    /// Numbers of the planners whose recorders started.
    pub planners: BTreeSet<u64>,
    /// Time of the last event.
    pub last: Duration,
    /// The recorded settings as JSON, if the recording has them.
    pub settings: Option<String>,
    /// True if the recording is truncated.
    pub cut_off: bool,
    /// The first whole list.
    initial_list: Option<Vec<RecordedEntry>>,
    /// Index of the day's proxy that replays each recorded proxy.
    proxies: BTreeMap<u32, usize>,
    /// Time of the first join of each recorded proxy, in microseconds.
    first_joins: BTreeMap<u32, u64>,
}

impl RecordingStats {
    /// Returns the lines of a report on the recording.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "Recorded: {} first calls over {:.1} s, {} lists, {} joins, {} leaves, {} planners.",
            self.calls,
            self.last.as_secs_f64(),
            self.lists,
            self.joins,
            self.lefts,
            self.planners.len()
        )];
        let mut say = |count: u64, what: &str| {
            if count > 0 {
                lines.push(format!("{count} {what}"));
            }
        };
        say(self.repeats, "repeats left out: clients come again by what becomes of their calls.");
        say(self.without_client, "calls had no client: whether they are repeats can't be known.");
        say(self.counted, "calls were told as counts: their exact times, keys and clients can't be known.");
        say(self.without_route, "calls of routes that the day has no callers for were left out.");
        say(self.gaps, "gaps: what happened in them can't be known.");
        say(self.set_back, "events lay before what had already happened (a clock set back) and happen late.");
        say(self.never_listed, "entries of servers that were never listed were passed over.");
        if self.longest_silence >= Duration::from_secs(5) {
            lines.push(format!(
                "Nothing was recorded for {:.1} s at the longest: quiet, or a clock set forward.",
                self.longest_silence.as_secs_f64()
            ));
        }
        if self.cut_off {
            lines.push("The recording is cut off; what is whole of it is replayed.".into());
        }
        lines
    }

    /// Returns the day with the length of the recording and without the troubles of kinds that the recording contains.
    pub fn without_recorded_troubles(&self, day: &Day) -> Day {
        let is_recorded = |t: &Trouble| match t.what {
            What::Burst { .. } => self.calls > 0,
            What::Deploy { .. }
            | What::Replaced { .. }
            | What::ZoneLoss { .. }
            | What::SiteLoss { .. }
            | What::ListLate { .. }
            | What::ListFails
            | What::ListOld
            | What::ListTwice => self.lists > 0,
            What::PlannerKilled
            | What::Takeover
            | What::StreamsBreak { .. }
            | What::NoPlanner { .. }
            | What::JoinLoop { .. }
            | What::DoubleJoin { .. } => self.joins > 0,
            _ => false,
        };
        let mut day = day.clone();
        day.length.0 = Duration::from_secs(self.last.as_secs() + 1);
        day.troubles.retain(|t| !is_recorded(t) && t.at.0 < day.length.0);
        day
    }
}

/// A recorded day. The file is read again for each run.
#[derive(Debug)]
pub struct RecordedDay {
    path: PathBuf,
    salvage: bool,
    /// Counts of what the recording holds.
    pub stats: RecordingStats,
    /// The report cycle of the day's deployment.
    cycle: Duration,
    /// Work and number of keys of the callers of each route; `None` if the day has no callers of it.
    routes: Vec<Option<(Duration, u64)>>,
}

type Events = SortedEvents<Reader<BufReader<File>>>;

fn open(path: &Path, salvage: bool) -> Result<Reader<BufReader<File>>, ReadError> {
    Reader::new(BufReader::new(File::open(path)?), salvage)
}

/// Converts a recorded entry of a list that was sent at `unix_ms`.
fn entry(e: &Listed, unix_ms: u64) -> RecordedEntry {
    RecordedEntry {
        server: e.server.clone(),
        number: e.number,
        zone: e.zone.clone(),
        phase: match e.phase {
            Phase::Gone => wire::EndpointState::Removed,
            Phase::Ready => wire::EndpointState::Ready,
            Phase::Draining => wire::EndpointState::Draining,
        },
        age: (e.started_ms > 0).then(|| Duration::from_millis(unix_ms.saturating_sub(e.started_ms))),
    }
}

impl RecordedDay {
    /// Reads a recording once, to validate and summarize it. Each recorded proxy is assigned to one of the day's proxies:
    /// in order among those of its zone, or by its number if no zone was recorded or the day has no proxy there.
    ///
    /// # Errors
    ///
    /// Returns an error if the recording cannot be read.
    pub fn read(path: &Path, salvage: bool, day: &Day) -> Result<RecordedDay, ReadError> {
        let route = |r: usize| day.callers.iter().find(|c| c.route == r).map(|c| (c.work.0, c.keys));
        let mut recorded = RecordedDay {
            path: path.into(),
            salvage,
            stats: RecordingStats::default(),
            cycle: day.deployment.reports.cycle.0,
            routes: (0..day.deployment.routes.len()).map(route).collect(),
        };
        recorded.scan(day)?;
        Ok(recorded)
    }

    /// Returns a checksum of the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read.
    pub fn checksum(&self) -> Result<[u8; 32], ReadError> {
        let mut hasher = blake3::Hasher::new();
        hasher.update_reader(File::open(&self.path)?)?;
        Ok(*hasher.finalize().as_bytes())
    }

    /// Reads the whole recording and sets `stats`.
    fn scan(&mut self, day: &Day) -> Result<(), ReadError> {
        let mut events: Events = SortedEvents::new(open(&self.path, self.salvage)?);
        let (mut f, mut listed) = (RecordingStats::default(), BTreeSet::new());
        let (mut zones, mut last) = (BTreeMap::<u32, String>::new(), None);
        while let Some(Timed { at_us, event }) = events.next()? {
            let before = last.replace(at_us).unwrap_or(at_us);
            f.longest_silence = f.longest_silence.max(Duration::from_micros(at_us - before));
            match event {
                Event::Call(call) => {
                    zones.entry(call.proxy).or_default();
                    self.count(&mut f, &call);
                }
                Event::Came { proxy, route, calls } => {
                    zones.entry(proxy).or_default();
                    if self.callers_of(route).is_some() {
                        (f.counted, f.calls) = (f.counted + u64::from(calls), f.calls + u64::from(calls));
                    } else {
                        f.without_route += u64::from(calls);
                    }
                }
                Event::List { base, now_ms, entries, .. } => {
                    f.lists += 1;
                    for e in &entries {
                        let known = listed.contains(&e.server);
                        f.never_listed += u64::from(!known && base != 0 && e.phase != Phase::Ready);
                        listed.insert(e.server.clone());
                    }
                    if base == 0 && f.initial_list.is_none() {
                        f.initial_list = Some(entries.iter().map(|e| entry(e, now_ms)).collect());
                    }
                }
                Event::Joined { proxy, zone, .. } => {
                    f.joins += 1;
                    f.first_joins.entry(proxy).or_insert(at_us);
                    let known = zones.entry(proxy).or_default();
                    if known.is_empty() {
                        *known = zone;
                    }
                }
                Event::Left { proxy } => {
                    f.lefts += 1;
                    zones.entry(proxy).or_default();
                }
                Event::Began { planner, settings, .. } => {
                    f.planners.insert(planner);
                    f.settings = f.settings.or(Some(settings).filter(|s| !s.is_empty()));
                }
                Event::PlannerLost { .. } => {}
                Event::Gap { .. } => f.gaps += 1,
            }
        }
        f.last = Duration::from_micros(last.unwrap_or(0));
        f.set_back = events.moved;
        f.cut_off = matches!(events.from.end(), Some(End::CutOff { .. }));
        f.proxies = assign_proxies(&zones, day);
        self.stats = f;
        Ok(())
    }

    /// Returns the work and the number of keys of a route's callers; `None` if the day has no callers of it.
    fn callers_of(&self, route: u8) -> Option<(Duration, u64)> {
        self.routes.get(usize::from(route)).copied().flatten()
    }

    /// Counts a recorded request.
    fn count(&self, f: &mut RecordingStats, call: &Call) {
        if self.callers_of(call.route).is_none() {
            f.without_route += 1;
        } else if call.repeat {
            f.repeats += 1;
        } else {
            f.calls += 1;
            f.without_client += u64::from(call.client.is_none());
        }
    }

    /// Opens the recording at its start, as the input of a run.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or is not a recording.
    pub fn begin(&self) -> Result<Recording<'_>, ReadError> {
        let mut events: Events = SortedEvents::new(open(&self.path, self.salvage)?);
        let f = &self.stats;
        // A proxy is without a planner until its first join; one that never joined is so for the whole recording.
        let apart = f.proxies.iter().filter(|(p, _)| f.first_joins.get(p).is_none_or(|at| *at > 0));
        let apart = if f.joins > 0 { apart.map(|p| *p.1).collect() } else { BTreeSet::new() };
        let next = move || -> Result<Option<(Duration, Input)>, Box<dyn std::error::Error + Send + Sync>> {
            while let Some(timed) = events.next()? {
                let at = Duration::from_micros(timed.at_us);
                if let Some(input) = self.input(timed, &mut events) {
                    return Ok(Some((at, input)));
                }
            }
            Ok(None)
        };
        Ok(Recording { opening: f.initial_list.clone(), unjoined: apart, next: Box::new(next) })
    }

    /// Converts a recorded event into an input of the model. Counted requests are added to `events` one by one.
    fn input(&self, timed: Timed, events: &mut Events) -> Option<Input> {
        let proxy_index = |proxy: &u32| self.stats.proxies.get(proxy).copied();
        Some(match timed.event {
            Event::Call(call) if !call.repeat => {
                let (work, _) = self.callers_of(call.route)?;
                Input::Call(FirstRequest {
                    due: Duration::from_micros(timed.at_us),
                    route: call.route,
                    key: call.key,
                    work: call.work_us.map_or(work, |us| Duration::from_micros(us.into())),
                    proxy: proxy_index(&call.proxy)?,
                })
            }
            Event::Came { proxy, route, calls } => {
                // The requests arrived within the cycle that ends here. The model gets them evenly over the next one.
                let (_, keys) = self.callers_of(route)?;
                let seed = timed.at_us << 20 ^ u64::from(proxy) << 4 ^ u64::from(route);
                let mut rng = Pcg64Mcg::seed_from_u64(seed);
                let cycle = self.cycle.as_micros() as u64;
                for i in 0..u64::from(calls) {
                    let key = rng.random_range(0..keys);
                    let call = Call {
                        route,
                        key,
                        importance: 1.0,
                        client: None,
                        proxy,
                        work_us: None,
                        repeat: false,
                    };
                    let offset_us = cycle * (2 * i + 1) / (2 * u64::from(calls));
                    events.insert(timed.at_us + offset_us, Event::Call(call));
                }
                return None;
            }
            Event::List { version, base, now_ms, entries } => {
                let entries = entries.iter().map(|e| entry(e, now_ms)).collect();
                Input::List { version, base, entries }
            }
            Event::Joined { proxy, .. } => Input::Joined { proxy: proxy_index(&proxy)? },
            Event::Left { proxy } => Input::Left { proxy: proxy_index(&proxy)? },
            Event::Began { planner, .. } => Input::PlannerBegan { planner },
            Event::PlannerLost { planner } => Input::PlannerLost { planner },
            Event::Call(_) | Event::Gap { .. } => return None,
        })
    }
}

/// Returns the index of the day's proxy for each recorded proxy. `zones` has the zone of each recorded proxy, which is
/// empty if it was not recorded.
fn assign_proxies(zones: &BTreeMap<u32, String>, day: &Day) -> BTreeMap<u32, usize> {
    let zone_of: Vec<&str> =
        day.proxies.iter().flat_map(|k| std::iter::repeat_n(k.zone.as_str(), k.count)).collect();
    let mut assigned: BTreeMap<&str, usize> = BTreeMap::new();
    let mut indices = BTreeMap::new();
    for (proxy, zone) in zones {
        let of_zone: Vec<usize> = (0..zone_of.len()).filter(|p| zone_of[*p] == zone).collect();
        let index = match of_zone.len() {
            0 => *proxy as usize % zone_of.len(),
            n => {
                let next = assigned.entry(zone).or_default();
                *next += 1;
                of_zone[(*next - 1) % n]
            }
        };
        indices.insert(*proxy, index);
    }
    indices
}
