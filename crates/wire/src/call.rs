//! Requests and their responses, as the emulated clients, proxies and servers exchange them. A request is named call in
//! this protocol.

use crate::codec::{enum_codec, struct_codec};
use crate::server::ServerMetrics;

/// One attempt of a request, as a client sends it to a proxy or a proxy to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// The client's number for the request, the same for all attempts.
    pub id: u64,
    /// The number of the client's attempt, from 0.
    pub attempt: u8,
    /// The number of the proxy's retry within the client's attempt, from 0.
    pub retry: u8,
    /// The position of the route in the settings.
    pub route: u8,
    /// The key of the data that the request needs: requests with the same key use the same cached data.
    pub key: u64,
    /// The work of serving the request, in microseconds of a core of speed 1.
    pub work_us: u32,
    /// The time for which the sender waits, in microseconds.
    pub timeout_us: u32,
    /// The number of the proxy that sends the request; 0 if a client sends it.
    pub proxy: u16,
}

struct_codec!(Call {
    id: u64("a call"),
    attempt: u8("an attempt"),
    retry: u8("a try"),
    route: u8("a route"),
    key: u64("a key"),
    work_us: u32("work"),
    timeout_us: u32("a time limit"),
    proxy: u16("a proxy"),
});

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The attempt was executed and answered.
    Answered,
    /// The attempt was rejected before its execution.
    Rejected,
    /// The attempt failed, and may have been executed.
    Failed,
    /// The attempt was discarded as a duplicate of an answered one.
    Duplicate,
}

// On the wire: do not renumber.
enum_codec!(CallOutcome { 0 => Answered, 1 => Rejected, 2 => Failed, 3 => Duplicate });

/// The response to a [`Call`].
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The client's number for the request.
    pub id: u64,
    /// The number of the client's attempt, from 0.
    pub attempt: u8,
    /// The number of the proxy's retry within the client's attempt, from 0.
    pub retry: u8,
    /// The outcome of the attempt.
    pub outcome: CallOutcome,
    /// The server's metrics, if it has any.
    pub metrics: Option<ServerMetrics>,
}

struct_codec!(Response {
    id: u64("a call"),
    attempt: u8("an attempt"),
    retry: u8("a try"),
    outcome: variant("an outcome"),
    metrics: optional("whether there is a report"),
});
