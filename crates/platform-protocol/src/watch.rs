//! What is asked of discovery next: at which address, since which version, and how long the answer may take.

use std::net::SocketAddr;
use std::time::Duration;

/// How long a call of a watch waits for news. What happens while a call hangs counts as told soon after its wait is
/// over, so a longer wait would leave drains unknown for longer.
const WAIT: Duration = Duration::from_secs(4);
/// Beyond the wait: the way there and back, and a service that is slow.
const ANSWERS_WITHIN: Duration = Duration::from_millis(700);
/// The service handles calls one after another; it gives up by itself before this.
const CALL_LIMIT: Duration = Duration::from_millis(2200);

/// One call for the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    pub address: SocketAddr,
    /// Changes since this version are asked for; the whole list where it is unset.
    pub since: Option<u64>,
    pub path: String,
    /// It stays unanswered until there is news, for a while.
    pub waits: bool,
    /// For all of the call, from dialling to the answer's last byte.
    pub limit: Duration,
}

/// A watch of the list: begun when the decisions ask, gone on with until it fails.
#[derive(Debug)]
pub struct Watch {
    address: SocketAddr,
    asked: bool,
    /// The whole list is needed, until one was taken. A call that fails or is given up has not brought it.
    whole: bool,
    under_way: bool,
    /// No call was answered since the watch began or moved.
    first: bool,
}

impl Watch {
    pub fn new(address: SocketAddr) -> Self {
        Watch { address, asked: false, whole: false, under_way: false, first: true }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The decisions ask for what has changed and to be told of what changes from now on.
    pub fn ask(&mut self) {
        self.asked = true;
    }

    pub fn ask_whole(&mut self) {
        self.whole = true;
    }

    /// The list is asked for at this address from now on. Whether that is another one.
    pub fn moved(&mut self, to: SocketAddr) -> bool {
        let other = std::mem::replace(&mut self.address, to) != to;
        // The versions of another service need not go on from here.
        self.whole |= other;
        self.first |= other;
        other
    }

    /// A watch is begun if one was asked for.
    pub fn begin(&mut self) -> bool {
        let begins = std::mem::take(&mut self.asked);
        self.under_way |= begins;
        self.first |= begins;
        begins
    }

    /// The next call of the watch, by the version that is known.
    pub fn call(&self, known: Option<u64>) -> Call {
        let since = known.filter(|_| !self.whole);
        // What was missed comes first, so that the decisions soon know that they were answered.
        let waits = since.is_some() && !self.first;
        let wait = if waits { WAIT } else { Duration::from_millis(1) };
        let query = since.map_or(String::new(), |v| format!("?since={v}&timeout_ms={}", wait.as_millis()));
        let limit = if waits { WAIT + ANSWERS_WITHIN } else { CALL_LIMIT };
        Call { address: self.address, since, path: format!("/v1/endpoints{query}"), waits, limit }
    }

    /// The answer to a call was taken. That of a call to an address which has been left meanwhile brings its news,
    /// and nothing that was asked of the new one.
    pub fn answered(&mut self, call: &Call) {
        if call.address == self.address {
            self.whole &= call.since.is_some();
            self.first = false;
        }
    }

    pub fn ended(&mut self) {
        self.under_way = false;
    }

    /// Whether a watch is under way. Where whoever carried it out has gone, nobody was told that it ended.
    pub fn under_way(&self) -> bool {
        self.under_way
    }
}
