//! The state that the tasks of one planner share, and the effects of the session manager on this state.

use crate::health_check_queue::HealthChecks;
use crate::log_event::log_event;
use crate::reading::turn_length;
use grebespool::host::HealthCheckResult;
use grebespool_platform_protocol::{
    ConnectionId, Effects, EndpointWatch, Event, PlannerConfig, ReceivedAt, SessionManager,
};
use grebespool_write_queue::{QueuedMemory, WriteQueue};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;
use tracing::Level;

/// The number of descriptors reserved for the runtime, the log and discovery, with a few to spare. Those of the health
/// checks are counted separately.
const OTHER_DESCRIPTORS: usize = 24;
/// The number of descriptors that peers without a join cannot take.
const RESERVED_DESCRIPTORS: usize = OTHER_DESCRIPTORS + HealthChecks::MAX_CONCURRENT;
/// The number of bytes that one read takes from a socket.
const READ_BUFFER_LENGTH: usize = 16 << 10;
/// The number of unwritten bytes above which a connection is aborted instead of flushed when it is closed: its reader
/// has fallen behind and would not take the rest.
const MAX_UNWRITTEN_AT_CLOSE: usize = 1 << 10;

/// The part of the memory that unwritten bytes may take, over all connections.
const UNWRITTEN_PART: usize = 4;

/// The write queues of all connections.
type WriteQueues = Rc<RefCell<BTreeMap<ConnectionId, Rc<WriteQueue>>>>;

/// The state that the tasks of one planner share.
///
/// Invariants: all tasks run on one thread, and no borrow is held across an await. The effects of the session manager
/// borrow the write queues, the watch and the health checks, so none of these may be borrowed during a call of the
/// session manager.
pub(crate) struct Shared {
    /// The time when the planner started. The planner's clock counts from this time.
    pub(crate) started: Instant,
    pub(crate) manager: RefCell<SessionManager<TaskEffects>>,
    pub(crate) write_queues: WriteQueues,
    /// The memory that all write queues take.
    pub(crate) unwritten: Rc<QueuedMemory>,
    /// Notifies the tasks that wait for memory to read a long message.
    pub(crate) reading_resumed: Rc<Notify>,
    /// The permit to handle a long message.
    pub(crate) long_messages: Semaphore,
    /// The longest accepted answer of discovery, in bytes.
    pub(crate) max_list_length: usize,
    /// The time after which a connection with many messages lets other tasks run.
    pub(crate) turn_length: Duration,
    /// Notifies the timer task that the session manager was called and that its next deadline may have changed.
    pub(crate) manager_called: Notify,
    pub(crate) discovery: Rc<DiscoveryState>,
    pub(crate) health_checks: Rc<HealthChecks>,
    /// The buffer of all reads, shared so that hundreds of idle connections need no buffers.
    pub(crate) read_buffer: RefCell<Vec<u8>>,
}

/// The instructions for the task that watches the endpoint list of discovery.
pub(crate) struct DiscoveryState {
    pub(crate) watch: RefCell<EndpointWatch>,
    /// Notifies the task that a watch was requested.
    pub(crate) requested: Notify,
    /// Notifies the task that the address of discovery has changed.
    pub(crate) address_changed: Notify,
}

impl Shared {
    pub(crate) fn new(config: PlannerConfig) -> Self {
        let started = Instant::now();
        let write_queues = WriteQueues::default();
        let discovery = Rc::new(DiscoveryState {
            watch: RefCell::new(EndpointWatch::new(config.discovery)),
            requested: Notify::new(),
            address_changed: Notify::new(),
        });
        let health_checks = Rc::new(HealthChecks::default());
        let unwritten = Rc::<QueuedMemory>::default();
        let reading_resumed = Rc::new(Notify::new());
        let turn_length = turn_length(config.max_descriptors);
        let max_list_length = config.max_list_length();
        let effects = TaskEffects {
            started,
            write_queues: write_queues.clone(),
            unwritten: unwritten.clone(),
            max_unwritten: config.max_memory / UNWRITTEN_PART,
            reading_resumed: reading_resumed.clone(),
            discovery: discovery.clone(),
            health_checks: health_checks.clone(),
        };
        let mut manager = SessionManager::new(effects, config, RESERVED_DESCRIPTORS, unix_ms());
        if tracing::enabled!(Level::DEBUG) {
            manager.enable_weight_log();
        }
        Shared {
            started,
            manager: RefCell::new(manager),
            write_queues,
            unwritten,
            reading_resumed,
            long_messages: Semaphore::new(1),
            max_list_length,
            turn_length,
            manager_called: Notify::new(),
            discovery,
            health_checks,
            read_buffer: RefCell::new(vec![0; READ_BUFFER_LENGTH]),
        }
    }

    /// Returns the time since the planner's start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the present time by the planner's clock and by the wall clock.
    pub(crate) fn received_at(&self) -> ReceivedAt {
        ReceivedAt { now: self.now(), unix_ms: unix_ms() }
    }

    /// Calls the session manager with the present time, and makes the timer task check the next deadline.
    pub(crate) fn call<T>(&self, call: impl FnOnce(&mut SessionManager<TaskEffects>, Duration) -> T) -> T {
        let result = call(&mut self.manager.borrow_mut(), self.now());
        self.manager_called.notify_one();
        result
    }

    pub(crate) fn health_check_finished(
        &self,
        server: String,
        address: SocketAddr,
        result: HealthCheckResult,
    ) {
        self.health_checks.remove_finished(&server, address);
        self.call(|manager, _| manager.health_check_finished(&server, address, result));
    }
}

/// Returns the wall clock of the machine, in Unix milliseconds.
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// The effects of the session manager, which pass its requests on to the tasks.
pub(crate) struct TaskEffects {
    started: Instant,
    write_queues: WriteQueues,
    unwritten: Rc<QueuedMemory>,
    /// The memory in bytes above which the longest queue is aborted.
    max_unwritten: usize,
    reading_resumed: Rc<Notify>,
    discovery: Rc<DiscoveryState>,
    health_checks: Rc<HealthChecks>,
}

impl Effects for TaskEffects {
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]) {
        if let Some(queue) = self.write_queues.borrow().get(&connection) {
            queue.push(self.started.elapsed(), bytes);
        }
        let queues = self.write_queues.borrow();
        self.unwritten.limit(self.max_unwritten, queues.values().map(Rc::as_ref));
    }

    fn resume_reading(&mut self) {
        self.reading_resumed.notify_waiters();
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(queue) = self.write_queues.borrow().get(&connection) {
            if queue.queued_bytes() > MAX_UNWRITTEN_AT_CLOSE { queue.abort() } else { queue.close() }
        }
    }

    fn start_health_check(&mut self, server: &str, address: SocketAddr) {
        self.health_checks.request(server, address);
    }

    fn watch_endpoints(&mut self) {
        self.discovery.watch.borrow_mut().request();
        self.discovery.requested.notify_one();
    }

    fn request_full_list(&mut self) {
        self.discovery.watch.borrow_mut().request_full_list();
    }

    fn log(&mut self, event: &Event) {
        log_event(event);
    }
}
