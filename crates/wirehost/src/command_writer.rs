//! Commands of a policy, written as records of the reply.

use crate::codes::{EVERY_TABLE, command, retries, timer};
use crate::frame::{Address, Reply};
use crate::server_ids::ServerIds;
use grebespool::host::{PolicyHost, ProxyId, RetryPolicy, RouteSet, ServerIndex, TableId, Timer};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The byte that stands for an acknowledgement of commands to all proxies.
const ACK_OF_ALL: u8 = 0;
/// The byte that asks for the current list.
const CURRENT_LIST: u8 = 1;

/// Writes the commands of one instance. The reply is shared by all instances, and the ids with the instance's events; both are
/// borrowed for one call at a time.
pub(crate) struct CommandWriter {
    pub(crate) instance: u32,
    /// The simulator's time at the instance's start.
    pub(crate) started_ms: f64,
    pub(crate) server_ids: Rc<RefCell<ServerIds>>,
    pub(crate) reply: Rc<RefCell<Reply>>,
}

impl CommandWriter {
    fn put(&self, code: u16, fields: &[&[u8]]) {
        self.reply.borrow_mut().put(self.instance, code, fields);
    }

    fn address(&self, server: ServerIndex) -> Address {
        self.server_ids.borrow().address(server)
    }
}

impl PolicyHost for CommandWriter {
    fn set_timer(&mut self, at: Duration, timer: Timer) {
        let at_ms = self.started_ms + at.as_secs_f64() * 1000.0;
        self.put(command::SET_TIMER, &[&at_ms.to_be_bytes(), &timer_token(timer).to_be_bytes()]);
    }

    fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32) {
        let fields: [&[u8]; 3] = [&weight.to_be_bytes(), &table.to_be_bytes(), &self.address(server)];
        self.put(command::SET_WEIGHT, &fields);
    }

    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet) {
        let fields: [&[u8]; 3] = [&proxy.to_be_bytes(), &table.to_be_bytes(), &routes.to_be_bytes()];
        self.put(command::BIND_PROXY, &fields);
    }

    fn set_admission(&mut self, routes: RouteSet, level: f32, retries: RetryPolicy) {
        let mode = retry_mode(retries);
        let fields: [&[u8]; 4] =
            [&[mode], &routes.to_be_bytes(), &EVERY_TABLE.to_be_bytes(), &level.to_be_bytes()];
        self.put(command::SET_ADMISSION, &fields);
    }

    fn request_ack(&mut self, number: u16) {
        self.put(command::REQUEST_ACK, &[&[ACK_OF_ALL], &u32::from(number).to_be_bytes()]);
    }

    fn start_health_check(&mut self, server: ServerIndex) {
        self.put(command::START_HEALTH_CHECK, &[&self.address(server)]);
    }

    fn poll_endpoints(&mut self) {
        self.put(command::POLL_ENDPOINTS, &[&[CURRENT_LIST]]);
    }
}

fn retry_mode(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => retries::NEVER,
        RetryPolicy::IfNotExecuted => retries::IF_NOT_EXECUTED,
        RetryPolicy::AfterFailure => retries::AFTER_FAILURE,
    }
}

/// The number by which the simulator returns a timer.
fn timer_token(timer: Timer) -> u32 {
    match timer {
        Timer::Tick => timer::TICK,
        Timer::UrgentPublish => timer::URGENT_PUBLISH,
    }
}

/// The timer of a returned number; an unknown one publishes what has changed and evaluates no rule.
pub(crate) fn timer_of_token(token: u32) -> Timer {
    if token == timer::TICK { Timer::Tick } else { Timer::UrgentPublish }
}
