//! The next request to discovery: its address, the version to start from and its time limit.

use crate::wire::endpoint_list_path;
use std::net::SocketAddr;
use std::time::Duration;

/// The time that a long poll waits for changes. The platform counts a planner as notified of a change 2 s after the
/// wait of the request in which the change occurred, so a longer wait would leave drains unknown for longer.
const LONG_POLL_WAIT: Duration = Duration::from_secs(4);
/// The wait of a request that discovery has to answer at once.
const NO_WAIT: Duration = Duration::from_millis(1);
/// The time that the platform's protocol gives discovery for an answer, beyond the wait of the request. Discovery serves one
/// request after another, and ends a request that takes longer.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(2);
/// The time for connecting and for the way of a request and its answer.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(200);
/// The time beyond the wait of a long poll after which its answer may be lost, so that another request is sent beside it.
const OVERDUE_AFTER: Duration = Duration::from_millis(700);

/// One request for the endpoint list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListRequest {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The version since which changes are requested; unset if the full list is requested.
    pub since: Option<u64>,
    /// The path and query of the HTTP request.
    pub path: String,
    /// True if discovery delays the answer until the list changes or the wait ends.
    pub long_poll: bool,
    /// The time after which the next request is sent even if this one is not answered. Unset if the next request has to wait
    /// for the answer.
    pub overdue_after: Option<Duration>,
    /// The time limit of the whole request, from connecting to the last byte of the answer.
    pub timeout: Duration,
}

/// The state of watching the endpoint list. A watch begins when the policy requests the list and lasts until a request
/// fails.
#[derive(Debug)]
pub struct EndpointWatch {
    address: SocketAddr,
    requested: bool,
    /// True until a full list was received. A failed request does not reset this flag.
    needs_full_list: bool,
    active: bool,
    /// True if no request was answered since the watch began, changed its address or had an overdue answer.
    unanswered: bool,
}

impl EndpointWatch {
    /// Creates a watch of the list at this address. The watch has not begun.
    pub fn new(address: SocketAddr) -> Self {
        EndpointWatch { address, requested: false, needs_full_list: false, active: false, unanswered: true }
    }

    /// Returns the address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests a watch: the policy needs the changes so far and further changes as they occur.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Makes the next requests ask for the full list until one was answered.
    pub fn request_full_list(&mut self) {
        self.needs_full_list = true;
    }

    /// Sets the address of discovery. Returns true if the address has changed.
    ///
    /// The versions of another service are independent of the known version, so its full list is requested first.
    pub fn set_address(&mut self, address: SocketAddr) -> bool {
        let changed = std::mem::replace(&mut self.address, address) != address;
        self.needs_full_list |= changed;
        self.unanswered |= changed;
        changed
    }

    /// Begins a watch if one was requested. Returns true if the watch has begun.
    pub fn begin(&mut self) -> bool {
        let begins = std::mem::take(&mut self.requested);
        self.active |= begins;
        self.unanswered |= begins;
        begins
    }

    /// Returns the next request, given the known version of the list.
    ///
    /// Discovery answers the first request of a watch at once, so that the policy soon learns of changes that occurred
    /// before the watch began.
    pub fn next_request(&self, known_version: Option<u64>) -> ListRequest {
        let since = known_version.filter(|_| !self.needs_full_list);
        let long_poll = since.is_some() && !self.unanswered;
        let wait = if long_poll { LONG_POLL_WAIT } else { NO_WAIT };
        ListRequest {
            address: self.address,
            since,
            path: endpoint_list_path(since.map(|version| (version, wait))),
            long_poll,
            overdue_after: long_poll.then_some(wait + OVERDUE_AFTER),
            timeout: wait + MAX_ANSWER_TIME + MAX_ROUND_TRIP,
        }
    }

    /// Records that the answer to a long poll is overdue. Discovery answers the next request at once.
    pub fn request_overdue(&mut self) {
        self.unanswered = true;
    }

    /// Records that the answer to a request was applied. An answer from a former address does not count as an answer of
    /// the current address.
    pub fn request_answered(&mut self, request: &ListRequest) {
        if request.address == self.address {
            self.needs_full_list &= request.since.is_some();
            self.unanswered = false;
        }
    }

    /// Ends the watch.
    pub fn end(&mut self) {
        self.active = false;
    }

    /// Returns true if a watch has begun and [`Self::end`] was not called. If the task that watches the list fails, the
    /// watch stays active until its restart ends the watch.
    pub fn is_active(&self) -> bool {
        self.active
    }
}
