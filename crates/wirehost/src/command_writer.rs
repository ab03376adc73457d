//! A policy host that writes the commands of a policy as records of the reply.

use crate::codes::{EVERY_TABLE, command, retries, timer};
use crate::frame::{Address, Reply};
use crate::server_ids::ServerIds;
use grebespool::host::{PolicyHost, ProxyId, RetryPolicy, RouteSet, ServerIndex, TableId, Timer};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The byte that requests an acknowledgement of commands to all proxies.
const ACK_ALL_PROXIES: u8 = 0;
/// The byte that requests the current list.
const CURRENT_LIST: u8 = 1;

/// Writes the commands of one instance. All instances share the reply, and the writer shares the ids with the instance; both
/// are borrowed for one call at a time.
pub(crate) struct CommandWriter {
    pub(crate) instance: u32,
    /// The simulator's time at the instance's start, in milliseconds.
    pub(crate) started_ms: f64,
    pub(crate) server_ids: Rc<RefCell<ServerIds>>,
    pub(crate) reply: Rc<RefCell<Reply>>,
}

impl CommandWriter {
    fn write(&self, code: u16, fields: &[&[u8]]) {
        self.reply.borrow_mut().append(self.instance, code, fields);
    }

    fn address(&self, server: ServerIndex) -> Address {
        self.server_ids.borrow().address(server)
    }
}

impl PolicyHost for CommandWriter {
    fn set_timer(&mut self, at: Duration, timer: Timer) {
        let at_ms = self.started_ms + at.as_secs_f64() * 1000.0;
        self.write(command::SET_TIMER, &[&at_ms.to_be_bytes(), &timer_token(timer).to_be_bytes()]);
    }

    fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32) {
        let fields: [&[u8]; 3] = [&weight.to_be_bytes(), &table.to_be_bytes(), &self.address(server)];
        self.write(command::SET_WEIGHT, &fields);
    }

    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet) {
        let fields: [&[u8]; 3] = [&proxy.to_be_bytes(), &table.to_be_bytes(), &routes.to_be_bytes()];
        self.write(command::BIND_PROXY, &fields);
    }

    fn set_admission(&mut self, routes: RouteSet, level: f32, retries: RetryPolicy) {
        self.set_table_admission(EVERY_TABLE, routes, level, retries);
    }

    fn set_table_admission(&mut self, table: TableId, routes: RouteSet, level: f32, retries: RetryPolicy) {
        let mode = retry_mode(retries);
        let fields: [&[u8]; 4] = [&[mode], &routes.to_be_bytes(), &table.to_be_bytes(), &level.to_be_bytes()];
        self.write(command::SET_ADMISSION, &fields);
    }

    fn request_ack(&mut self, number: u16) {
        self.write(command::REQUEST_ACK, &[&[ACK_ALL_PROXIES], &u32::from(number).to_be_bytes()]);
    }

    fn start_health_check(&mut self, server: ServerIndex) {
        self.write(command::START_HEALTH_CHECK, &[&self.address(server)]);
    }

    fn poll_endpoints(&mut self) {
        self.write(command::POLL_ENDPOINTS, &[&[CURRENT_LIST]]);
    }
}

fn retry_mode(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => retries::NEVER,
        RetryPolicy::IfNotExecuted => retries::IF_NOT_EXECUTED,
        RetryPolicy::AfterFailure => retries::AFTER_FAILURE,
    }
}

/// Returns the token that identifies a timer to the simulator.
fn timer_token(timer: Timer) -> u32 {
    match timer {
        Timer::Tick => timer::TICK,
        Timer::UrgentPublish => timer::URGENT_PUBLISH,
    }
}

/// Returns the timer of a token. For an unknown token this is the urgent timer, which publishes changes and evaluates no
/// rules.
pub(crate) fn timer_from_token(token: u32) -> Timer {
    if token == timer::TICK { Timer::Tick } else { Timer::UrgentPublish }
}
