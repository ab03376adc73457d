//! Recorded days, as the model follows them: read as a stream, in the order of time, one block held.

use grebespool_settings::{Day, Trouble, What};
use grebespool_simulation::{FirstRequest, Input, RecordedEntry, Recording};
use grebespool_trace::{Call, End, Event, Flaw, Listed, Phase, Reader, Timed};
use grebespool_wire as wire;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Events in the order of time, out of a recording that has them nearly so. What comes after something later was
/// given already is given at that time: a clock was set back, and its true time can't be known.
struct Sorted<I> {
    from: I,
    waiting: BTreeMap<(u64, u64), Event>,
    read: u64,
    newest: u64,
    given: u64,
    set_back: u64,
    over: bool,
}

impl<I: Iterator<Item = Result<Timed, Flaw>>> Sorted<I> {
    /// Events wait so long for earlier ones.
    const WAIT_US: u64 = 5_000_000;
    const MOST: usize = 1 << 16;

    fn new(from: I) -> Self {
        Sorted { from, waiting: BTreeMap::new(), read: 0, newest: 0, given: 0, set_back: 0, over: false }
    }

    /// Puts one in that follows from another.
    fn put(&mut self, at_us: u64, event: Event) {
        self.read += 1;
        self.waiting.insert((at_us, self.read), event);
    }

    fn next(&mut self) -> Result<Option<Timed>, Flaw> {
        while !self.over {
            let first = self.waiting.first_key_value().map(|(k, _)| k.0);
            if first.is_some_and(|f| f + Self::WAIT_US <= self.newest) || self.waiting.len() >= Self::MOST {
                break;
            }
            match self.from.next().transpose()? {
                Some(timed) => {
                    self.newest = self.newest.max(timed.at_us);
                    self.put(timed.at_us, timed.event);
                }
                None => self.over = true,
            }
        }
        let Some(((at, _), event)) = self.waiting.pop_first() else { return Ok(None) };
        self.set_back += u64::from(at < self.given);
        self.given = self.given.max(at);
        Ok(Some(Timed { at_us: self.given, event }))
    }
}

/// What of a recording can be replayed, and what of it cannot be known.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Found {
    /// First calls that are replayed.
    pub calls: u64,
    /// Left out: clients come again by what becomes of their calls.
    pub repeats: u64,
    /// Without a client's id: may be repeats, and are replayed as first calls.
    pub anonymous: u64,
    /// Told by proxies as counts only: their times within a cycle, keys and clients are not known.
    pub counted: u64,
    /// Of a route that no caller of the day has.
    pub unstated: u64,
    pub gaps: u64,
    /// Events that lay far before one that had come: a clock was set back.
    pub set_back: u64,
    /// The longest time without any event.
    pub longest_silence: Duration,
    pub lists: u64,
    /// Entries of servers that go, or drain, without ever having been listed.
    pub never_listed: u64,
    pub joins: u64,
    pub lefts: u64,
    pub planners: BTreeSet<u64>,
    pub last: Duration,
    /// The settings in force, as the recorder had them.
    pub site: Option<String>,
    pub cut_off: bool,
    opening: Option<Vec<RecordedEntry>>,
    /// Which of the day's proxies stands for a recorded one.
    proxies: BTreeMap<u32, usize>,
    /// By a recorded proxy, when it first joined.
    first_joins: BTreeMap<u32, u64>,
}

impl Found {
    /// What a page says of it.
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
        say(self.anonymous, "calls had no client: whether they are repeats can't be known.");
        say(self.counted, "calls were told as counts: their exact times, keys and clients can't be known.");
        say(self.unstated, "calls of routes that the day has no callers for were left out.");
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

    /// The day without those troubles that the recording itself tells of, lasting as long as the recording.
    pub fn beside(&self, day: &Day) -> Day {
        let told = |t: &Trouble| match t.what {
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
        day.troubles.retain(|t| !told(t) && t.at.0 < day.length.0);
        day
    }
}

/// A recording that is read anew for each run.
#[derive(Debug)]
pub struct Recorded {
    path: PathBuf,
    salvage: bool,
    pub found: Found,
    cycle: Duration,
    /// By route: whether the day has callers of it, their work and keys.
    routes: Vec<Option<(Duration, u64)>>,
}

type Events = Sorted<Reader<BufReader<File>>>;

fn open(path: &Path, salvage: bool) -> Result<Reader<BufReader<File>>, Flaw> {
    Reader::new(BufReader::new(File::open(path)?), salvage)
}

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

impl Recorded {
    /// Reads a recording once, to see whether it is whole and what it holds. Its proxies are put in the places of
    /// the day's: those of their zone in their order, or by their numbers where zones were not recorded.
    ///
    /// # Errors
    ///
    /// The recording's flaws.
    pub fn read(path: &Path, salvage: bool, day: &Day) -> Result<Recorded, Flaw> {
        let route = |r: usize| day.callers.iter().find(|c| c.route == r).map(|c| (c.work.0, c.keys));
        let mut recorded = Recorded {
            path: path.into(),
            salvage,
            found: Found::default(),
            cycle: day.deployment.reports.cycle.0,
            routes: (0..day.deployment.routes.len()).map(route).collect(),
        };
        recorded.scan(day)?;
        Ok(recorded)
    }

    /// Stands for all that the recording holds.
    ///
    /// # Errors
    ///
    /// The file's.
    pub fn sum(&self) -> Result<[u8; 32], Flaw> {
        let mut hasher = blake3::Hasher::new();
        hasher.update_reader(File::open(&self.path)?)?;
        Ok(*hasher.finalize().as_bytes())
    }

    fn scan(&mut self, day: &Day) -> Result<(), Flaw> {
        let mut events: Events = Sorted::new(open(&self.path, self.salvage)?);
        let (mut f, mut listed) = (Found::default(), BTreeSet::new());
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
                    if self.stated(route).is_some() {
                        (f.counted, f.calls) = (f.counted + u64::from(calls), f.calls + u64::from(calls));
                    } else {
                        f.unstated += u64::from(calls);
                    }
                }
                Event::List { base, now_ms, entries, .. } => {
                    f.lists += 1;
                    for e in &entries {
                        let known = listed.contains(&e.server);
                        f.never_listed += u64::from(!known && base != 0 && e.phase != Phase::Ready);
                        listed.insert(e.server.clone());
                    }
                    if base == 0 && f.opening.is_none() {
                        f.opening = Some(entries.iter().map(|e| entry(e, now_ms)).collect());
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
                    f.site = f.site.or(Some(settings).filter(|s| !s.is_empty()));
                }
                Event::PlannerLost { .. } => {}
                Event::Gap { .. } => f.gaps += 1,
            }
        }
        f.last = Duration::from_micros(last.unwrap_or(0));
        f.set_back = events.set_back;
        f.cut_off = matches!(events.from.end(), Some(End::CutOff { .. }));
        f.proxies = places(&zones, day);
        self.found = f;
        Ok(())
    }

    fn stated(&self, route: u8) -> Option<(Duration, u64)> {
        self.routes.get(usize::from(route)).copied().flatten()
    }

    fn count(&self, f: &mut Found, call: &Call) {
        if self.stated(call.route).is_none() {
            f.unstated += 1;
        } else if call.repeat {
            f.repeats += 1;
        } else {
            f.calls += 1;
            f.anonymous += u64::from(call.client.is_none());
        }
    }

    /// The recording from its beginning.
    ///
    /// # Errors
    ///
    /// The file's.
    pub fn begin(&self) -> Result<Recording<'_>, Flaw> {
        let mut events: Events = Sorted::new(open(&self.path, self.salvage)?);
        let f = &self.found;
        // Who had not joined when the recording began was without the planner; who never joined, always.
        let apart = f.proxies.iter().filter(|(p, _)| f.first_joins.get(p).is_none_or(|at| *at > 0));
        let apart = if f.joins > 0 { apart.map(|p| *p.1).collect() } else { BTreeSet::new() };
        let next = move || -> Result<Option<(Duration, Input)>, Box<dyn std::error::Error + Send + Sync>> {
            while let Some(timed) = events.next()? {
                let at = Duration::from_micros(timed.at_us);
                if let Some(past) = self.past(timed, &mut events) {
                    return Ok(Some((at, past)));
                }
            }
            Ok(None)
        };
        Ok(Recording { opening: f.opening.clone(), unjoined: apart, next: Box::new(next) })
    }

    fn past(&self, timed: Timed, events: &mut Events) -> Option<Input> {
        let place = |proxy: &u32| self.found.proxies.get(proxy).copied();
        Some(match timed.event {
            Event::Call(call) if !call.repeat => {
                let (work, _) = self.stated(call.route)?;
                Input::Call(FirstRequest {
                    due: Duration::from_micros(timed.at_us),
                    route: call.route,
                    key: call.key,
                    work: call.work_us.map_or(work, |us| Duration::from_micros(us.into())),
                    proxy: place(&call.proxy)?,
                })
            }
            Event::Came { proxy, route, calls } => {
                // They came within the cycle that was told of, and are put as evenly into the next.
                let (_, keys) = self.stated(route)?;
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
                    let after = cycle * (2 * i + 1) / (2 * u64::from(calls));
                    events.put(timed.at_us + after, Event::Call(call));
                }
                return None;
            }
            Event::List { version, base, now_ms, entries } => {
                let entries = entries.iter().map(|e| entry(e, now_ms)).collect();
                Input::List { version, base, entries }
            }
            Event::Joined { proxy, .. } => Input::Joined { proxy: place(&proxy)? },
            Event::Left { proxy } => Input::Left { proxy: place(&proxy)? },
            Event::Began { planner, .. } => Input::PlannerBegan { planner },
            Event::PlannerLost { planner } => Input::PlannerLost { planner },
            Event::Call(_) | Event::Gap { .. } => return None,
        })
    }
}

/// `zones`: each recorded proxy's, empty where it was not told.
fn places(zones: &BTreeMap<u32, String>, day: &Day) -> BTreeMap<u32, usize> {
    let homes: Vec<&str> =
        day.proxies.iter().flat_map(|k| std::iter::repeat_n(k.zone.as_str(), k.count)).collect();
    let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
    let mut places = BTreeMap::new();
    for (proxy, zone) in zones {
        let of_zone: Vec<usize> = (0..homes.len()).filter(|p| homes[*p] == zone).collect();
        let place = match of_zone.len() {
            0 => *proxy as usize % homes.len(),
            n => {
                let next = taken.entry(zone).or_default();
                *next += 1;
                of_zone[(*next - 1) % n]
            }
        };
        places.insert(*proxy, place);
    }
    places
}
