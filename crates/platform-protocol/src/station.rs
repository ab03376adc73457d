//! The station: messages in, the decisions' orders out.

use crate::lives::{Conn, Lives, Role};
use crate::log::{Diary, Gathered, Left, list_line};
use crate::message::{self, Message, Met, Unread};
use crate::orders::{self, Words, framed};
use crate::roster::Roster;
use crate::terms::Terms;
use crate::weight_log::WeightLog;
use grebespool::host::{
    self, Endpoint, EndpointState, HealthCheckResult, ProxyId, ServerIndex, TableId, ZoneId,
};
use grebespool::policy::Policy;
use grebespool_assignments::{Assignments, ServerIndices};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What the station asks of what hosts it.
pub trait Outlet {
    fn write(&mut self, conn: Conn, bytes: &[u8]);
    /// The connection is not to be used again, once what was written before has gone; `closed` need not be called.
    fn close(&mut self, conn: Conn);
    fn probe(&mut self, server: &str, address: SocketAddr);
    /// Ask for the list's changes and go on watching it.
    fn watch(&mut self);
    /// The whole list is needed.
    fn ask_whole(&mut self);
    fn say(&mut self, text: &str);
    /// Ordinary news, some lines a second at the most.
    fn note(&mut self, text: &str);
    /// Details for following a server through a day; asked for by [`Station::log_weights`].
    fn debug(&mut self, text: &str);
}

pub struct Station<O> {
    outlet: O,
    planner: Policy<Assignments>,
    assignments: Assignments,
    servers: ServerIndices<String>,
    roster: Roster,
    lives: Lives,
    /// The stream that holds of each joined proxy.
    joined: BTreeMap<ProxyId, Conn>,
    proxies: usize,
    routes: Vec<String>,
    fields: Vec<String>,
    gathered: Gathered,
    diary: Diary,
    /// Set where every weight that is written is to be logged.
    weight_log: Option<WeightLog>,
    /// The list was asked for and has not answered.
    asked: bool,
    /// When connections are looked through next: often enough, whatever their number, and not at each message.
    look_at: Duration,
}

impl<O: Outlet> Station<O> {
    /// Messages in a row that cannot be read; with good ones between them they are only spoilt.
    const UNREAD: u32 = 3;
    /// What is under way from a server that is gone has come by then.
    const FORGET: Duration = Duration::from_secs(30);
    const LOOK: Duration = Duration::from_millis(200);
    const SAID_EVERY: Duration = Duration::from_secs(10);

    /// `kept_free`: descriptors that are held back from connections that have not joined. `unix_ms`: the machines'
    /// time at the planner's start.
    pub fn start(outlet: O, terms: Terms, kept_free: usize, unix_ms: f64) -> Self {
        let assignments = Assignments::default();
        let Terms { seed, routes, plane, graces, pace, sight, .. } = terms;
        let collectors = terms.zones.len() * Lives::COLLECTORS;
        let most_unjoined = terms.limits.sockets.saturating_sub(kept_free + collectors + plane.proxies);
        let planner = Policy::new(assignments.clone(), seed, routes, plane, graces, pace, sight);
        let mut station = Station {
            outlet,
            planner,
            assignments,
            servers: ServerIndices::new(Self::FORGET),
            roster: Roster::new(terms.zones),
            lives: Lives::new(most_unjoined),
            joined: BTreeMap::new(),
            proxies: plane.proxies,
            routes: terms.route_names,
            fields: terms.fields,
            gathered: Gathered::new(Self::SAID_EVERY),
            diary: Diary::default(),
            weight_log: None,
            asked: false,
            look_at: Duration::ZERO,
        };
        if let Some(known) = terms.known
            && let Err(why) = station.take_list(Duration::ZERO, unix_ms, None, &known)
        {
            station.say(Duration::ZERO, "the list from before the start", &why);
        }
        station
    }

    /// From now on the weights of all tables are told to [`Outlet::debug`]. To be called before any proxy has joined.
    pub fn log_weights(&mut self) {
        self.weight_log = Some(WeightLog::default());
    }

    /// When [`Station::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        self.assignments.next_timer().map_or(self.look_at, |due| due.min(self.look_at))
    }

    pub fn list_version(&self) -> Option<u64> {
        self.roster.version()
    }

    /// Proxies joined, connections that have not joined, servers listed, servers ready, and indices held.
    pub fn counts(&self) -> [usize; 5] {
        let unjoined = self.lives.of.values().filter(|l| l.role == Role::Unjoined).count();
        let (listed, ready) = self.roster.counts();
        [self.joined.len(), unjoined, listed, ready, self.servers.len()]
    }

    fn say(&mut self, now: Duration, kind: &'static str, text: &str) {
        if let Some(line) = self.gathered.say(now, kind, text) {
            self.outlet.say(&line);
        }
    }

    pub fn opened(&mut self, now: Duration, conn: Conn) {
        if let Some(first) = self.lives.opened(now, conn) {
            self.turn_away(now, first, "too many have not joined");
        }
    }

    /// Who has to go for the next connection that is opened. It may have said its joining already, so what it said is to
    /// be handed in first.
    pub fn next_to_go(&self) -> Option<Conn> {
        self.lives.next_to_go()
    }

    /// A connection could not be accepted, for want of descriptors say: lets go the first who has not joined.
    pub fn shed(&mut self, now: Duration, why: &str) {
        match self.lives.first_unjoined() {
            Some(first) => self.turn_away(now, first, "descriptors run out"),
            None => self.say(now, "a connection could not be accepted", why),
        }
    }

    /// Someone who has not joined, or is of no further use.
    fn turn_away(&mut self, now: Duration, conn: Conn, why: &str) {
        let role = self.lives.of.get(&conn).map(|l| l.role);
        if role == Some(Role::Unjoined) {
            self.outlet.write(conn, &framed(&json!({"msg": "NACK", "why": why})));
        }
        let kind = match role {
            Some(Role::Unjoined) => "unjoined, closed",
            Some(Role::Collector(_)) => "collector closed",
            _ => "stream closed",
        };
        self.say(now, kind, why);
        self.outlet.close(conn);
        self.ended(conn, Left::Closed);
    }

    /// The connection ended, and not by a word of this station.
    pub fn closed(&mut self, conn: Conn) {
        self.ended(conn, Left::ByItself);
    }

    fn ended(&mut self, conn: Conn, how: Left) {
        let Some(life) = self.lives.of.remove(&conn) else { return };
        if let Role::Proxy(proxy) = life.role
            && self.joined.get(&proxy) == Some(&conn)
        {
            self.joined.remove(&proxy);
            self.diary.left(proxy, how);
            if let Some(log) = &mut self.weight_log {
                log.left(proxy);
            }
            self.assignments.remove_proxy(proxy);
            self.planner.proxy_left(proxy);
            self.settle();
        }
    }

    pub fn came(&mut self, now: Duration, conn: Conn, bytes: &[u8]) {
        let Some(life) = self.lives.of.get_mut(&conn) else { return };
        life.heard_at = now;
        if life.role != Role::Unjoined && !life.frames.half() {
            // From a message's first byte, however long nothing came before it.
            life.since = now;
        }
        life.frames.take(bytes);
        loop {
            // A connection may be closed by what it said.
            let Some(life) = self.lives.of.get_mut(&conn) else { return };
            let read = match life.frames.body() {
                Ok(None) => return,
                Ok(Some(body)) => message::read(body),
                Err(not) => return self.turn_away(now, conn, &not.to_string()),
            };
            if life.role != Role::Unjoined {
                life.since = now;
            }
            match read {
                Ok(message) => {
                    life.unread = 0;
                    self.message(now, conn, message);
                }
                Err(why) => self.unread(now, conn, &why),
            }
        }
    }

    fn unread(&mut self, now: Duration, conn: Conn, why: &Unread) {
        let Some(life) = self.lives.of.get_mut(&conn) else { return };
        let readable = matches!(why, Unread::Spoilt(_));
        life.unread = if readable { 0 } else { life.unread + 1 };
        if life.role == Role::Unjoined || life.unread >= Self::UNREAD {
            return self.turn_away(now, conn, &why.to_string());
        }
        self.spoilt(now, &why.to_string());
    }

    fn spoilt(&mut self, now: Duration, why: &str) {
        self.say(now, "a message is not believed", why);
    }

    fn message(&mut self, now: Duration, conn: Conn, message: Message) {
        let Some(role) = self.lives.of.get(&conn).map(|l| l.role) else { return };
        match (message, role) {
            (Message::Ping, _) => self.outlet.write(conn, &framed(&json!({"msg": "PONG"}))),
            (Message::Source { zone }, Role::Unjoined) => match self.roster.zone(&zone) {
                Some(zone) => self.collector(now, conn, zone),
                None => {
                    self.turn_away(now, conn, &format!("a collector of zone {zone:?}, which is not stated"))
                }
            },
            (Message::Join { proxy, zone, rate, bare }, Role::Unjoined) => {
                match (self.proxy(proxy), self.roster.zone(&zone)) {
                    (Some(proxy), Some(zone)) => self.join(now, conn, proxy, zone, rate, bare),
                    _ => {
                        let why = format!("proxy {proxy} of zone {zone:?}, which does not exist");
                        self.turn_away(now, conn, &why);
                    }
                }
            }
            (_, Role::Unjoined) => self.turn_away(now, conn, "a report without a joining"),
            (Message::Met(met), Role::Collector(_)) => self.met(now, &met),
            (Message::Came(came), role) => {
                let route = self.routes.iter().position(|r| *r == came.route);
                match (self.proxy(came.proxy), route) {
                    (Some(proxy), Some(route))
                        if matches!(role, Role::Collector(_)) || role == Role::Proxy(proxy) =>
                    {
                        self.planner.requests_received(now, proxy, route, came.calls);
                        self.settle();
                    }
                    _ => {
                        let why = format!("usage of route {:?} at proxy {}", came.route, came.proxy);
                        self.spoilt(now, &why);
                    }
                }
            }
            (Message::Applied { proxy, mark }, Role::Proxy(own)) if proxy == u32::from(own) => {
                self.applied(now, conn, mark);
            }
            (other, _) => self.spoilt(now, &format!("out of place: {other:?}")),
        }
    }

    /// The proxy of a number, if the settings have so many.
    fn proxy(&self, number: u32) -> Option<ProxyId> {
        ProxyId::try_from(number).ok().filter(|p| usize::from(*p) < self.proxies)
    }

    fn collector(&mut self, now: Duration, conn: Conn, zone: ZoneId) {
        if let Some(life) = self.lives.of.get_mut(&conn) {
            life.role = Role::Collector(zone);
            life.frames.allow(Lives::MOST_JOINED_BODY);
        }
        if let Some(spare) = self.lives.spare_collector(zone) {
            self.turn_away(now, spare, "newer collectors of its zone have come");
        }
    }

    fn join(&mut self, now: Duration, conn: Conn, proxy: ProxyId, zone: ZoneId, rate: f64, bare: bool) {
        if let Some(old) = self.joined.get(&proxy).copied() {
            if old > conn {
                // It came first and was read last: the proxy has given it up and dialled again.
                return self.turn_away(now, conn, "a newer stream of its proxy has joined");
            }
            // The newer holds; the old one's end is not missed any more.
            self.outlet.close(old);
            self.ended(old, Left::Replaced);
        }
        if let Some(life) = self.lives.of.get_mut(&conn) {
            life.role = Role::Proxy(proxy);
            life.frames.allow(Lives::MOST_JOINED_BODY);
        }
        self.joined.insert(proxy, conn);
        self.diary.joined(proxy);
        self.assignments.add_proxy(proxy);
        self.planner.proxy_joined(now, proxy, zone, bare, rate);
        self.settle();
    }

    fn met(&mut self, now: Duration, met: &Met) {
        let (zone, server) = (self.roster.zone(&met.zone), self.servers.index(&met.server));
        let (Some(from), Some(server)) = (zone, server) else {
            let why = format!("sums of zone {:?} at server {:?}", met.zone, met.server);
            return self.spoilt(now, &why);
        };
        let figure = |name: &String| met.report.iter().find(|f| f.0 == *name).map_or(f32::NAN, |f| f.1);
        let report: Vec<f32> = self.fields.iter().map(figure).collect();
        let report = if report.iter().all(|f| f.is_nan()) { vec![] } else { report };
        let wait = met.wait_ms.map(|ms| Duration::from_secs_f64(ms / 1000.0));
        let met = host::LoadReport {
            client_zone: from,
            attempts: met.tries,
            failures: met.dropped,
            latency: wait,
            metrics: &report,
        };
        self.planner.load_reported(now, server, &met);
        self.settle();
    }

    fn applied(&mut self, now: Duration, conn: Conn, mark: u32) {
        let Some(life) = self.lives.of.get_mut(&conn) else { return };
        match life.marks.iter().position(|m| u32::from(*m) == mark) {
            Some(i) => {
                life.marks.drain(..=i);
                self.planner.acknowledged(now, mark as u16);
                self.settle();
            }
            None => self.spoilt(now, &format!("an answer to mark {mark}, which is not open there")),
        }
    }

    /// An answer to a call for the list, as the service gave it.
    ///
    /// # Errors
    ///
    /// It is no list: the call has failed.
    pub fn list(
        &mut self,
        now: Duration,
        unix_ms: f64,
        asked: Option<u64>,
        body: &[u8],
    ) -> Result<(), String> {
        let list: Value = serde_json::from_slice(body).map_err(|e| format!("the list is not JSON: {e}"))?;
        self.take_list(now, unix_ms, asked, &list)
    }

    fn take_list(
        &mut self,
        now: Duration,
        unix_ms: f64,
        asked: Option<u64>,
        list: &Value,
    ) -> Result<(), String> {
        let judged = self.roster.take(now, unix_ms, asked, list)?;
        for fault in &judged.faults {
            self.say(now, "the list is not believed in part", fault);
        }
        if !judged.entries.is_empty() {
            self.outlet.note(&list_line(self.roster.version(), asked, &judged.entries));
        }
        let mut listed: Vec<Endpoint> = vec![];
        for (id, entry) in judged.entries {
            let assignments = &self.assignments;
            let server = self.servers.add(now, &id, |s| assignments.contains_server(s));
            if entry.state == EndpointState::Removed {
                self.servers.remove(now, server);
            }
            listed.push(Endpoint { server, ..entry });
        }
        // An answer that changes nothing is told once after the decisions asked, so that they know it was answered.
        if std::mem::take(&mut self.asked) || !listed.is_empty() {
            // What the list left out is among the entries as gone.
            self.planner.endpoints_updated(now, false, &listed);
            self.settle();
        }
        // A whole list that is wrong in part would be wrong again.
        if judged.ask_whole && asked.is_some() {
            self.outlet.ask_whole();
        }
        Ok(())
    }

    /// A call for the list failed, or its watch ended.
    pub fn list_failed(&mut self, now: Duration, why: &str) {
        self.say(now, "the list is out of reach", why);
        self.asked = false;
        self.planner.endpoint_poll_failed(now);
        self.settle();
    }

    /// The answer of `address`, which may be a former life's of the server: that one tells nothing of it now.
    pub fn probed(&mut self, server: &str, address: SocketAddr, result: HealthCheckResult) {
        if self.roster.address(server) != Some(address) {
            return;
        }
        if let Some(server) = self.servers.index(&server.to_string()) {
            self.planner.health_check_finished(server, result);
            self.settle();
        }
    }

    /// Time has passed: wakes what is due and lets go who is overdue.
    pub fn woken(&mut self, now: Duration) {
        if now >= self.look_at {
            self.look_at = now + Self::LOOK;
            for conn in self.lives.overdue(now) {
                self.turn_away(now, conn, "it did not join, or did not finish a message, in time");
            }
            for line in self.diary.lines(|s| self.servers.id(s)) {
                self.outlet.note(&line);
            }
            let weights = self.weight_log.as_mut().map(|log| log.lines(|s| self.servers.id(s)));
            for line in weights.into_iter().flatten() {
                self.outlet.debug(&line);
            }
        }
        for token in self.assignments.take_due_timers(now) {
            self.planner.timer_fired(now, token);
            self.settle();
        }
    }

    /// Ends a turn: one message for each proxy that it concerns.
    fn settle(&mut self) {
        let Station {
            assignments,
            servers,
            outlet,
            planner,
            joined,
            lives,
            routes,
            roster,
            diary,
            weight_log,
            ..
        } = self;
        let words = Words { routes, server: |s: ServerIndex| servers.id(s).as_str() };
        // Many proxies are told the same.
        let mut frames: BTreeMap<(TableId, bool), Vec<u8>> = BTreeMap::new();
        assignments.publish(|proxy, update| {
            let Some(&conn) = joined.get(&proxy) else { return };
            if update.bound_routes.is_some() {
                diary.bound(proxy);
                if let Some(log) = weight_log {
                    log.bound(proxy, update.table);
                }
            }
            let frame = frames.entry((update.table, update.bound_routes.is_some())).or_insert_with(|| {
                if update.bound_routes.is_none() {
                    diary.ordered(update.weights);
                }
                if let Some(log) = weight_log {
                    log.written(update.table, update.weights);
                }
                orders::frame(update, &words)
            });
            outlet.write(conn, frame);
            if let (Some(mark), Some(life)) = (update.ack_token, lives.of.get_mut(&conn)) {
                life.marks.push_back(mark);
                // A proxy that answers none is not remembered for ever.
                if life.marks.len() > 256 {
                    life.marks.pop_front();
                }
            }
        });
        for server in assignments.take_health_checks() {
            let id = servers.id(server);
            match roster.address(id) {
                Some(address) => outlet.probe(id, address),
                // Nowhere to dial is no answer.
                None => planner.health_check_finished(server, HealthCheckResult::Failed),
            }
        }
        if assignments.take_poll_request() {
            self.asked = true;
            self.outlet.watch();
        }
    }
}
