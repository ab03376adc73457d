//! Orders as they stand. The decisions write them through [`Host`]; whoever carries them takes what each turn changed.

use grebespool::host::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// What share of some routes' calls is let in, and when they are tried again.
pub type Level = (RouteSet, f32, RetryPolicy);

/// What one proxy is told at the end of a turn.
pub struct Told<'a> {
    pub table: TableId,
    /// How often the table has changed.
    pub version: u64,
    /// Set where the proxy is put on the table in this turn: for these routes, and the lines are all of it.
    pub bound: Option<RouteSet>,
    pub lines: &'a [(ServerIndex, f32)],
    pub levels: &'a [Level],
    pub mark: Option<u16>,
}

#[derive(Default)]
struct Book {
    version: u64,
    lines: BTreeMap<ServerIndex, f32>,
    changed: BTreeSet<ServerIndex>,
}

#[derive(Default)]
struct Held {
    table: Option<(TableId, RouteSet)>,
    /// Bound in this turn: a whole table is due.
    fresh: bool,
}

#[derive(Default)]
struct Books {
    tables: BTreeMap<TableId, Book>,
    levels: BTreeMap<RouteSet, (f32, RetryPolicy)>,
    levels_changed: BTreeSet<RouteSet>,
    proxies: BTreeMap<ProxyId, Held>,
    mark: Option<u16>,
    wakes: BTreeSet<(Duration, Timer)>,
    probes: BTreeSet<ServerIndex>,
    ask: bool,
}

/// The books, as the decisions' host and as whoever serves them sees them. All clones are one.
#[derive(Clone, Default)]
pub struct Desk(Rc<RefCell<Books>>);

impl PolicyHost for Desk {
    fn set_timer(&mut self, at: Duration, timer: Timer) {
        self.0.borrow_mut().wakes.insert((at, timer));
    }
    fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32) {
        let mut books = self.0.borrow_mut();
        let book = books.tables.entry(table).or_default();
        match weight > 0.0 {
            true => book.lines.insert(server, weight),
            false => book.lines.remove(&server),
        };
        book.changed.insert(server);
    }
    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet) {
        if let Some(held) = self.0.borrow_mut().proxies.get_mut(&proxy) {
            (held.table, held.fresh) = (Some((table, routes)), true);
        }
    }
    fn set_admission(&mut self, routes: RouteSet, level: f32, tries: RetryPolicy) {
        let mut books = self.0.borrow_mut();
        books.levels.insert(routes, (level, tries));
        books.levels_changed.insert(routes);
    }
    fn request_ack(&mut self, number: u16) {
        self.0.borrow_mut().mark = Some(number);
    }
    fn start_health_check(&mut self, server: ServerIndex) {
        self.0.borrow_mut().probes.insert(server);
    }
    fn poll_endpoints(&mut self) {
        self.0.borrow_mut().ask = true;
    }
}

impl Desk {
    pub fn joined(&self, proxy: ProxyId) {
        self.0.borrow_mut().proxies.insert(proxy, Held::default());
    }

    pub fn left(&self, proxy: ProxyId) {
        self.0.borrow_mut().proxies.remove(&proxy);
    }

    /// Whether some table has the server.
    pub fn holds(&self, server: ServerIndex) -> bool {
        let books = self.0.borrow();
        books.tables.values().any(|b| b.lines.contains_key(&server) || b.changed.contains(&server))
    }

    /// When the decisions want to be woken next.
    pub fn due(&self) -> Option<Duration> {
        self.0.borrow().wakes.first().map(|w| w.0)
    }

    /// What is due by now: each token once, however late.
    pub fn wakes(&self, now: Duration) -> BTreeSet<Timer> {
        let wakes = &mut self.0.borrow_mut().wakes;
        let later = wakes.split_off(&(now + Duration::from_nanos(1), Timer::Tick));
        std::mem::replace(wakes, later).into_iter().map(|w| w.1).collect()
    }

    pub fn probes(&self) -> BTreeSet<ServerIndex> {
        std::mem::take(&mut self.0.borrow_mut().probes)
    }

    pub fn asks(&self) -> bool {
        std::mem::take(&mut self.0.borrow_mut().ask)
    }

    /// Ends a turn: one message for each proxy that it concerns.
    pub fn settle(&self, mut tell: impl FnMut(ProxyId, &Told)) {
        let books = &mut *self.0.borrow_mut();
        books.tables.values_mut().filter(|b| !b.changed.is_empty()).for_each(|b| b.version += 1);
        let level = |l: (&RouteSet, &(f32, RetryPolicy))| (*l.0, l.1.0, l.1.1);
        let levels: Vec<Level> = books.levels.iter().map(level).collect();
        let changed = |l: &&Level| books.levels_changed.contains(&l.0);
        let new_levels: Vec<Level> = levels.iter().filter(changed).copied().collect();
        // Many proxies share a table: what they are told of it is put together once.
        let mut parts: BTreeMap<(TableId, bool), Vec<(ServerIndex, f32)>> = BTreeMap::new();
        for (proxy, held) in &mut books.proxies {
            let Some((table, routes)) = held.table else { continue };
            let fresh = std::mem::take(&mut held.fresh);
            let book = books.tables.entry(table).or_default();
            let lines = parts.entry((table, fresh)).or_insert_with(|| match fresh {
                true => book.lines.iter().map(|(s, w)| (*s, *w)).collect(),
                false => {
                    let weight = |s: &ServerIndex| book.lines.get(s).copied().unwrap_or(0.0);
                    book.changed.iter().map(|s| (*s, weight(s))).collect()
                }
            });
            let levels = if fresh { &levels } else { &new_levels };
            if fresh || !lines.is_empty() || !levels.is_empty() {
                let (version, bound) = (book.version, fresh.then_some(routes));
                tell(*proxy, &Told { table, version, bound, lines, levels, mark: books.mark });
            }
        }
        books.tables.values_mut().for_each(|b| b.changed.clear());
        books.levels_changed.clear();
        books.mark = None;
    }
}
