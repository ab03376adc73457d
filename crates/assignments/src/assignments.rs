//! The policy's host, which collects what the policy commands.

use crate::admission_rules::AdmissionRule;
use crate::tables::{ProxyUpdate, Tables};
use grebespool::host::{PolicyHost, ProxyId, RetryPolicy, RouteSet, ServerIndex, TableId, Timer};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// The current assignments, and the timers and requests that were not taken yet.
#[derive(Default)]
struct State {
    tables: Tables,
    timers: BTreeSet<(Duration, Timer)>,
    health_checks: BTreeSet<ServerIndex>,
    poll_requested: bool,
}

/// The policy's assignments to proxies. The policy writes them through [`PolicyHost`]; the code that serves the proxies
/// takes the changes of each turn.
///
/// All clones share one state and have to stay on one thread. No method calls the policy.
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

    fn set_table_admission(
        &mut self,
        table: TableId,
        routes: RouteSet,
        level: f32,
        retry_policy: RetryPolicy,
    ) {
        let rule = AdmissionRule { routes, level, retry_policy };
        self.0.borrow_mut().tables.set_table_admission(table, rule);
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
    /// Adds a proxy that has joined. The proxy gets no update before the policy binds it to a table.
    pub fn add_proxy(&self, proxy: ProxyId) {
        self.0.borrow_mut().tables.add_proxy(proxy);
    }

    /// Removes a proxy that has left.
    pub fn remove_proxy(&self, proxy: ProxyId) {
        self.0.borrow_mut().tables.remove_proxy(proxy);
    }

    /// Returns true if any table contains the server or has lost it in this turn.
    pub fn contains_server(&self, server: ServerIndex) -> bool {
        self.0.borrow().tables.contains_server(server)
    }

    /// Returns the time at which the policy's next timer is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.0.borrow().timers.first().map(|(at, _)| *at)
    }

    /// Takes the timers that are due by `now`. Timers of the same kind are merged into one.
    pub fn take_due_timers(&self, now: Duration) -> BTreeSet<Timer> {
        let timers = &mut self.0.borrow_mut().timers;
        let mut due = BTreeSet::new();
        while let Some((_, timer)) = timers.first().copied().filter(|(at, _)| *at <= now) {
            timers.pop_first();
            due.insert(timer);
        }
        due
    }

    /// Takes the servers whose health the policy wants checked.
    pub fn take_health_checks(&self) -> BTreeSet<ServerIndex> {
        std::mem::take(&mut self.0.borrow_mut().health_checks)
    }

    /// Takes the request to poll the endpoint list; returns true if there was one.
    pub fn take_poll_request(&self) -> bool {
        std::mem::take(&mut self.0.borrow_mut().poll_requested)
    }

    /// Ends a turn: calls `send` with one update for each affected proxy, in the order of the proxies' ids.
    pub fn publish(&self, send: impl FnMut(ProxyId, &ProxyUpdate)) {
        self.0.borrow_mut().tables.publish(send);
    }
}
