//! One policy, and the decoding of its events. The offsets of fields are part of the wire format and must not change.

use crate::codes::{endpoint_state, event, health_check, list_kind};
use crate::command_writer::{CommandWriter, timer_from_token};
use crate::error::RecordError;
use crate::frame::{Address, Fields, Reply};
use crate::server_ids::ServerIds;
use grebespool::host::{
    Endpoint, EndpointState, HealthCheckResult, LoadReport, ServerIndex, ServerKind, ZoneId,
};
use grebespool::policy::Policy;
use grebespool_platform_settings::PlatformSettings;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

const MS_PER_S: f64 = 1000.0;

/// An entry of an endpoint list. Several instances may use the same list.
pub(crate) struct ListedEndpoint {
    address: Address,
    zone: ZoneId,
    kind: ServerKind,
    state: EndpointState,
    /// The simulator's time at the server's start, in milliseconds; not known if it is 0 or less.
    started_ms: f64,
}

impl ListedEndpoint {
    /// Reads an entry of [`ENDPOINT_BYTES`](crate::frame::ENDPOINT_BYTES) bytes.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, RecordError> {
        let fields = Fields(bytes);
        let state = match fields.u8(11) {
            endpoint_state::REMOVED => EndpointState::Removed,
            endpoint_state::READY => EndpointState::Ready,
            endpoint_state::DRAINING => EndpointState::Draining,
            unknown => return Err(RecordError::UnknownEndpointState(unknown)),
        };
        Ok(ListedEndpoint {
            address: fields.address(0),
            zone: fields.u16(6),
            kind: fields.u8(8).into(),
            state,
            started_ms: fields.f64(16),
        })
    }
}

/// One policy. It converts the simulator's times on the wire to times since the policy's start.
pub(crate) struct Instance {
    started_ms: f64,
    server_ids: Rc<RefCell<ServerIds>>,
    policy: Policy<CommandWriter>,
}

impl Instance {
    /// Creates a policy with the settings of its deployment.
    pub(crate) fn start(
        number: u32,
        started_ms: f64,
        seed: u64,
        settings: &PlatformSettings,
        reply: Rc<RefCell<Reply>>,
    ) -> Result<Instance, RecordError> {
        let server_ids = Rc::new(RefCell::new(ServerIds::default()));
        let host = CommandWriter { instance: number, started_ms, server_ids: server_ids.clone(), reply };
        let policy = Policy::new(
            host,
            seed,
            settings.routes()?,
            settings.proxy_capabilities()?,
            settings.timeouts()?,
            settings.control_channel_limits()?,
            settings.observability()?,
        );
        Ok(Instance { started_ms, server_ids, policy })
    }

    /// Passes an event to the policy. `lists` are the endpoint lists by number.
    pub(crate) fn apply(
        &mut self,
        clock_ms: f64,
        record: Fields,
        lists: &[Vec<ListedEndpoint>],
    ) -> Result<(), RecordError> {
        let now = duration(clock_ms - self.started_ms);
        match record.u16(0) {
            event::ENDPOINTS_UPDATED => self.endpoints_updated(now, clock_ms, record, lists)?,
            event::TIMER_FIRED => self.policy.timer_fired(now, timer_from_token(record.u32(2))),
            event::HEALTH_CHECK_FINISHED => self.health_check_finished(record)?,
            event::PROXY_JOINED => {
                let request_rate = record.f32(7).max(0.0).into();
                let restarted = record.u8(6) != 0;
                self.policy.proxy_joined(now, record.u16(2), record.u16(4), restarted, request_rate);
            }
            event::PROXY_LEFT => self.policy.proxy_left(record.u16(2)),
            event::ACKNOWLEDGED => self.policy.acknowledged(now, record.u32(2) as u16),
            event::LOAD_REPORTED => self.load_reported(now, record)?,
            event::REQUESTS_RECEIVED => {
                let route = usize::from(record.u8(12));
                self.policy.requests_received(now, record.u16(10), route, record.u32(13));
            }
            code if event::UNUSED.contains(&code) => {}
            _ => return Err(RecordError::UnknownCode),
        }
        Ok(())
    }

    fn endpoints_updated(
        &mut self,
        now: Duration,
        clock_ms: f64,
        record: Fields,
        lists: &[Vec<ListedEndpoint>],
    ) -> Result<(), RecordError> {
        let complete = match record.u8(2) {
            list_kind::CHANGES => false,
            list_kind::COMPLETE | list_kind::COMPLETE_AT_START => true,
            list_kind::POLL_FAILED => {
                self.policy.endpoint_poll_failed();
                return Ok(());
            }
            unknown => return Err(RecordError::UnknownListKind(unknown)),
        };
        let number = record.u8(7);
        let list = lists.get(usize::from(number)).ok_or(RecordError::ListNumberOutOfRange(number))?;
        let endpoints: Vec<Endpoint> = list.iter().map(|listed| self.endpoint(clock_ms, listed)).collect();
        self.policy.endpoints_updated(now, complete, &endpoints);
        Ok(())
    }

    fn endpoint(&self, clock_ms: f64, listed: &ListedEndpoint) -> Endpoint {
        let has_start = listed.started_ms > 0.0 && listed.started_ms.is_finite();
        Endpoint {
            server: self.server_ids.borrow_mut().get_or_insert(listed.address),
            zone: listed.zone,
            kind: listed.kind,
            state: listed.state,
            age: has_start.then(|| duration(clock_ms - listed.started_ms)),
        }
    }

    /// Passes the result of a health check to the policy. The metrics in the record are validated and not used.
    fn health_check_finished(&mut self, record: Fields) -> Result<(), RecordError> {
        let result = match record.u16(8) {
            health_check::HEALTHY => HealthCheckResult::Healthy,
            health_check::REJECTED => HealthCheckResult::Rejected,
            code if health_check::FAILED.contains(&code) => HealthCheckResult::Failed,
            unknown => return Err(RecordError::UnknownHealthCheckResult(unknown)),
        };
        record.metrics(18)?;
        if let Some(server) = self.server(record.address(2)) {
            self.policy.health_check_finished(server, result);
        }
        Ok(())
    }

    fn load_reported(&mut self, now: Duration, record: Fields) -> Result<(), RecordError> {
        let latency_ms = record.f64(8);
        let metrics = record.metrics(34)?;
        let report = LoadReport {
            client_zone: record.u16(6),
            attempts: record.u32(24),
            failures: record.u32(2),
            latency: (latency_ms > 0.0).then(|| duration(latency_ms)),
            metrics: &metrics,
        };
        if let Some(server) = self.server(record.address(28)) {
            self.policy.load_reported(now, server, &report);
        }
        Ok(())
    }

    /// Returns the index of a server; `None` if it was never listed. Events of such servers are ignored.
    fn server(&self, address: Address) -> Option<ServerIndex> {
        self.server_ids.borrow().find(address)
    }
}

/// Converts milliseconds to a duration. Values that are negative, not finite or too large become zero.
fn duration(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / MS_PER_S).unwrap_or_default()
}
