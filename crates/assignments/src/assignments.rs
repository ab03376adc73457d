//! The policy's host.

use crate::tables::{AdmissionRule, ProxyUpdate, Tables};
use grebespool::host::{PolicyHost, ProxyId, RetryPolicy, RouteSet, ServerIndex, TableId, Timer};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// What the policy has assigned and asked for since the last turn.
#[derive(Default)]
struct State {
    tables: Tables,
    timers: BTreeSet<(Duration, Timer)>,
    health_checks: BTreeSet<ServerIndex>,
    poll_requested: bool,
}

/// What is assigned to which proxy. The policy writes it as its [`PolicyHost`]; whoever serves the proxies takes what
/// each turn changed.
///
/// All clones share one state, which belongs to the thread that made it. No method calls the policy.
#[derive(Clone, Default)]
pub struct Assignments(Rc<RefCell<State>>);

impl PolicyHost for Assignments {
    fn set_timer(&mut self, at: Duration, timer: Timer) {
        self.0.borrow_mut().timers.insert((at, timer));
    }

    fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32) {
        self.0.borrow_mut().tables.set_weight(table, server, weight);
    }

    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet) {
        self.0.borrow_mut().tables.bind_proxy(proxy, table, routes);
    }

    fn set_admission(&mut self, routes: RouteSet, level: f32, retry_policy: RetryPolicy) {
        self.0.borrow_mut().tables.set_admission(AdmissionRule { routes, level, retry_policy });
    }

    fn request_ack(&mut self, token: u16) {
        self.0.borrow_mut().tables.request_ack(token);
    }

    fn start_health_check(&mut self, server: ServerIndex) {
        self.0.borrow_mut().health_checks.insert(server);
    }

    fn poll_endpoints(&mut self) {
        self.0.borrow_mut().poll_requested = true;
    }
}

impl Assignments {
    /// A proxy has joined. It gets no update before the policy binds it to a table.
    pub fn add_proxy(&self, proxy: ProxyId) {
        self.0.borrow_mut().tables.add_proxy(proxy);
    }

    /// A proxy has left.
    pub fn remove_proxy(&self, proxy: ProxyId) {
        self.0.borrow_mut().tables.remove_proxy(proxy);
    }

    /// Whether some table holds the server, or has lost it in this turn.
    pub fn contains_server(&self, server: ServerIndex) -> bool {
        self.0.borrow().tables.contains_server(server)
    }

    /// When the policy's next timer is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.0.borrow().timers.first().map(|(at, _)| *at)
    }

    /// Takes the timers that are due by `now`, each once however late.
    pub fn take_due_timers(&self, now: Duration) -> BTreeSet<Timer> {
        let timers = &mut self.0.borrow_mut().timers;
        let mut due = BTreeSet::new();
        while let Some((_, timer)) = timers.first().copied().filter(|(at, _)| *at <= now) {
            timers.pop_first();
            due.insert(timer);
        }
        due
    }

    /// Takes the servers whose health is to be checked.
    pub fn take_health_checks(&self) -> BTreeSet<ServerIndex> {
        std::mem::take(&mut self.0.borrow_mut().health_checks)
    }

    /// Takes whether the endpoint list is to be polled.
    pub fn take_poll_request(&self) -> bool {
        std::mem::take(&mut self.0.borrow_mut().poll_requested)
    }

    /// Ends a turn: gives `send` one update for each proxy that it concerns.
    pub fn publish(&self, send: impl FnMut(ProxyId, &ProxyUpdate)) {
        self.0.borrow_mut().tables.publish(send);
    }
}
