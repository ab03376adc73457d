//! What the tasks of one controller share.

use crate::connection::Connections;
use crate::effects::{Requests, SocketEffects};
use crate::observer::Observer;
use crate::requests::{HealthCheckRequests, PollRequest};
use grebespool_controller::{Controller, Incarnation, StreamId};
use grebespool_settings::Listen;
use grebespool_wire::{FleetKey, Join};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What the tasks of one controller share. All of it is on one thread, and no borrow lives over an await. The
/// controller is never called while the observer is borrowed.
pub(crate) struct Shared {
    pub(crate) started_at: Instant,
    pub(crate) incarnation: Incarnation,
    pub(crate) key: FleetKey,
    pub(crate) listen: Listen,
    pub(crate) controller: RefCell<Controller<SocketEffects>>,
    /// The controller was called, so its next timer may be due earlier.
    pub(crate) controller_called: Notify,
    pub(crate) connections: Connections,
    pub(crate) polls: Rc<PollRequest>,
    pub(crate) health_checks: Rc<HealthCheckRequests>,
    /// Streams that have not joined.
    pub(crate) unjoined: Cell<usize>,
    pub(crate) observer: RefCell<Box<dyn Observer>>,
    next_stream: Cell<StreamId>,
    /// Each joined name's stream: when a stream ends whose name has joined on a newer one, the proxy has not left.
    stream_of: RefCell<BTreeMap<String, StreamId>>,
}

impl Shared {
    pub(crate) fn new(
        started_at: Instant,
        incarnation: Incarnation,
        key: FleetKey,
        listen: Listen,
        controller: Controller<SocketEffects>,
        requests: Requests,
        observer: impl Observer,
    ) -> Self {
        Shared {
            started_at,
            incarnation,
            key,
            listen,
            controller: RefCell::new(controller),
            controller_called: Notify::new(),
            connections: requests.connections,
            polls: requests.polls,
            health_checks: requests.health_checks,
            unjoined: Cell::new(0),
            observer: RefCell::new(Box::new(observer)),
            next_stream: Cell::new(1),
            stream_of: RefCell::default(),
        }
    }

    /// The time since the controller's start.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Calls the controller at this moment, and has the timer task look again at when it is due.
    pub(crate) fn call<T>(&self, f: impl FnOnce(&mut Controller<SocketEffects>, Duration) -> T) -> T {
        let result = f(&mut self.controller.borrow_mut(), self.now());
        self.controller_called.notify_one();
        result
    }

    /// A number that no other stream of this controller has.
    pub(crate) fn new_stream(&self) -> StreamId {
        let stream = self.next_stream.get();
        self.next_stream.set(stream + 1);
        stream
    }

    /// Tells the observer that a proxy has joined.
    pub(crate) fn proxy_joined(&self, stream: StreamId, name: &str, join: &Join) {
        self.stream_of.borrow_mut().insert(name.into(), stream);
        let mut observer = self.observer.borrow_mut();
        observer.proxy_joined(self.now(), name, &join.zone, join.initial_table_only);
    }

    /// Tells the observer that a proxy has left, unless it has joined on a newer stream.
    pub(crate) fn proxy_left(&self, stream: StreamId, name: &str) {
        let mut stream_of = self.stream_of.borrow_mut();
        if stream_of.get(name) == Some(&stream) {
            stream_of.remove(name);
            self.observer.borrow_mut().proxy_left(self.now(), name);
        }
    }
}
