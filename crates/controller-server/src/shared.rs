//! The state that the tasks of one controller share.

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

/// The state that the tasks of one controller share. Invariants: all tasks run on one thread, no borrow is held across
/// an await, and the controller is never called while the observer is borrowed.
pub(crate) struct Shared {
    pub(crate) started_at: Instant,
    pub(crate) incarnation: Incarnation,
    pub(crate) key: FleetKey,
    pub(crate) listen: Listen,
    pub(crate) controller: RefCell<Controller<SocketEffects>>,
    /// Notified after each call of the controller, because its next timer may now be due earlier.
    pub(crate) controller_called: Notify,
    pub(crate) connections: Connections,
    pub(crate) polls: Rc<PollRequest>,
    pub(crate) health_checks: Rc<HealthCheckRequests>,
    /// Number of streams that have not joined.
    pub(crate) unjoined: Cell<usize>,
    pub(crate) observer: RefCell<Box<dyn Observer>>,
    next_stream: Cell<StreamId>,
    /// The newest stream of each joined proxy, by the proxy's name. The end of an older stream does not mean that the proxy
    /// has left.
    stream_by_name: RefCell<BTreeMap<String, StreamId>>,
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
            stream_by_name: RefCell::default(),
        }
    }

    /// Returns the time since the controller's start.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Calls the controller with the current time, and wakes the timer task, which then reads the next timer again.
    pub(crate) fn call<T>(&self, method: impl FnOnce(&mut Controller<SocketEffects>, Duration) -> T) -> T {
        let result = method(&mut self.controller.borrow_mut(), self.now());
        self.controller_called.notify_one();
        result
    }

    /// Returns a new stream id, unique for this controller.
    pub(crate) fn new_stream_id(&self) -> StreamId {
        let stream = self.next_stream.get();
        self.next_stream.set(stream + 1);
        stream
    }

    /// Notifies the observer of a proxy that has joined.
    pub(crate) fn proxy_joined(&self, stream: StreamId, name: &str, join: &Join) {
        self.stream_by_name.borrow_mut().insert(name.into(), stream);
        let mut observer = self.observer.borrow_mut();
        observer.proxy_joined(self.now(), name, &join.zone, join.initial_table_only);
    }

    /// Notifies the observer of a proxy that has left, unless the proxy has joined on a newer stream.
    pub(crate) fn proxy_left(&self, stream: StreamId, name: &str) {
        let mut stream_by_name = self.stream_by_name.borrow_mut();
        if stream_by_name.get(name) == Some(&stream) {
            stream_by_name.remove(name);
            self.observer.borrow_mut().proxy_left(self.now(), name);
        }
    }
}
