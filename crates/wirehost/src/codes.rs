//! The numeric codes of the wire format. The simulator uses the same numbers, so they must not change.

/// The codes of records in a batch.
pub(crate) mod event {
    pub(crate) const INSTANCE_STARTED: u16 = 1000;
    pub(crate) const ENDPOINTS_UPDATED: u16 = 1010;
    pub(crate) const TIMER_FIRED: u16 = 1020;
    pub(crate) const HEALTH_CHECK_FINISHED: u16 = 1030;
    pub(crate) const INSTANCE_STOPPED: u16 = 1050;
    pub(crate) const PROXY_JOINED: u16 = 1060;
    pub(crate) const PROXY_LEFT: u16 = 1070;
    pub(crate) const ACKNOWLEDGED: u16 = 1080;
    pub(crate) const LOAD_REPORTED: u16 = 1090;
    pub(crate) const REQUESTS_RECEIVED: u16 = 1100;
    /// Contains the entries of an endpoint list, to which later records of the batch refer.
    pub(crate) const ENDPOINT_LIST: u16 = 1140;
    /// Names the instance to which the following records belong.
    pub(crate) const INSTANCE: u16 = 1150;
    /// Messages of peers, slices and their stores, which the policy does not use (docs/design.md).
    pub(crate) const UNUSED: [u16; 4] = [1040, 1110, 1120, 1130];
}

/// The codes of records in a reply.
pub(crate) mod command {
    pub(crate) const REQUEST_ACK: u16 = 1010;
    pub(crate) const SET_TIMER: u16 = 1030;
    pub(crate) const POLL_ENDPOINTS: u16 = 1040;
    /// Names the instance to which the following records belong.
    pub(crate) const INSTANCE: u16 = 1050;
    pub(crate) const SET_ADMISSION: u16 = 1060;
    pub(crate) const START_HEALTH_CHECK: u16 = 1070;
    pub(crate) const BIND_PROXY: u16 = 1080;
    pub(crate) const SET_WEIGHT: u16 = 1110;
}

/// The states of an endpoint.
pub(crate) mod endpoint_state {
    pub(crate) const REMOVED: u8 = 0;
    pub(crate) const READY: u8 = 1;
    pub(crate) const DRAINING: u8 = 2;
}

/// The kinds of endpoint list updates.
pub(crate) mod list_kind {
    pub(crate) const CHANGES: u8 = 0;
    pub(crate) const COMPLETE: u8 = 1;
    pub(crate) const COMPLETE_AT_START: u8 = 2;
    pub(crate) const POLL_FAILED: u8 = 3;
}

/// The results of a health check.
pub(crate) mod health_check {
    pub(crate) const HEALTHY: u16 = 100;
    pub(crate) const REJECTED: u16 = 302;
    /// The range of failures. [`REJECTED`] lies in the range and is not a failure.
    pub(crate) const FAILED: std::ops::RangeInclusive<u16> = 301..=307;
}

/// The retry policies.
pub(crate) mod retries {
    pub(crate) const NEVER: u8 = 0;
    pub(crate) const IF_NOT_EXECUTED: u8 = 1;
    pub(crate) const AFTER_FAILURE: u8 = 2;
}

/// The tokens of the timers.
pub(crate) mod timer {
    pub(crate) const TICK: u32 = 1;
    pub(crate) const URGENT_PUBLISH: u32 = 2;
}

/// The table number that addresses all joined proxies.
pub(crate) const EVERY_TABLE: u16 = 65535;
