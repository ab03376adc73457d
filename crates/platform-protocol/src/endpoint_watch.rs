//! What is requested of discovery next: at which address, since which version, and within what time.

use crate::wire::endpoint_list_path;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a long poll waits for changes. The platform takes a change for notified 2 s after the wait of the call in
/// which it came, so a longer wait would leave drains unknown for longer.
const LONG_POLL_WAIT: Duration = Duration::from_secs(4);
/// How long the answer may take beyond that wait: the way there and back, and a slow service.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The wait of a request that is to be answered at once.
const NO_WAIT: Duration = Duration::from_millis(1);
/// The limit for a request that is to be answered at once. Discovery serves one request after another, and gives up by
/// itself before this.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);

/// One request for the endpoint list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListRequest {
    /// Where discovery listens.
    pub address: SocketAddr,
    /// Changes since this version are requested; the full list where it is unset.
    pub since: Option<u64>,
    /// Path and query of the HTTP request.
    pub path: String,
    /// Whether it stays unanswered for a while where nothing changes.
    pub long_poll: bool,
    /// The limit for the whole request, from connecting to the last byte of the answer.
    pub timeout: Duration,
}

/// The state of watching the endpoint list: begun when the policy asks, gone on with until it fails.
#[derive(Debug)]
pub struct EndpointWatch {
    address: SocketAddr,
    requested: bool,
    /// A full list is needed until one was taken; a request that fails has not brought it.
    needs_full_list: bool,
    active: bool,
    /// No request was answered since the watch began or changed its address.
    unanswered: bool,
}

impl EndpointWatch {
    /// A watch of the list at this address, not begun.
    pub fn new(address: SocketAddr) -> Self {
        EndpointWatch { address, requested: false, needs_full_list: false, active: false, unanswered: true }
    }

    /// Where discovery listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The policy asks for what has changed, and to be notified of further changes.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// The next answer has to be a full list.
    pub fn request_full_list(&mut self) {
        self.needs_full_list = true;
    }

    /// Discovery listens at this address from now on. Whether it is another one.
    ///
    /// Versions of another service need not continue those that are known, so its full list is requested first.
    pub fn set_address(&mut self, address: SocketAddr) -> bool {
        let changed = std::mem::replace(&mut self.address, address) != address;
        self.needs_full_list |= changed;
        self.unanswered |= changed;
        changed
    }

    /// Begins a watch if one was requested. Whether it was.
    pub fn begin(&mut self) -> bool {
        let begins = std::mem::take(&mut self.requested);
        self.active |= begins;
        self.unanswered |= begins;
        begins
    }

    /// The next request, given the version that is known.
    ///
    /// The first one of a watch is answered at once, so that the policy soon learns what it missed.
    pub fn next_request(&self, known_version: Option<u64>) -> ListRequest {
        let since = known_version.filter(|_| !self.needs_full_list);
        let long_poll = since.is_some() && !self.unanswered;
        let wait = if long_poll { LONG_POLL_WAIT } else { NO_WAIT };
        let timeout = if long_poll { LONG_POLL_WAIT + ANSWER_TIMEOUT } else { REQUEST_TIMEOUT };
        let path = endpoint_list_path(since.map(|version| (version, wait)));
        ListRequest { address: self.address, since, path, long_poll, timeout }
    }

    /// The answer to a request was taken. One from a former address brought its changes, but is no answer to what was
    /// requested of the present one.
    pub fn answered(&mut self, request: &ListRequest) {
        if request.address == self.address {
            self.needs_full_list &= request.since.is_some();
            self.unanswered = false;
        }
    }

    /// The watch has ended.
    pub fn end(&mut self) {
        self.active = false;
    }

    /// Whether a watch was begun and has not ended. Where the task that carried it out failed, nobody was notified of its
    /// end.
    pub fn is_active(&self) -> bool {
        self.active
    }
}
