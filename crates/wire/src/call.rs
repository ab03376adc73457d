//! Calls and their responses, as the emulated callers, proxies and servers exchange them.

use crate::codec::{enum_codec, struct_codec};
use crate::server::ServerMetrics;

/// One call, as a caller or a proxy sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// The caller's number for it, the same at all attempts.
    pub id: u64,
    /// The caller's attempt, from 0.
    pub attempt: u8,
    /// The proxy's retry within that attempt, from 0.
    pub retry: u8,
    /// The route's position in the settings.
    pub route: u8,
    /// What the call is about: calls with the same key use the same cached data.
    pub key: u64,
    /// The work that it takes, in microseconds of a core of speed 1.
    pub work_us: u32,
    /// How long the sender waits, in microseconds.
    pub timeout_us: u32,
    /// The proxy that sends it; 0 from a caller.
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

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It ran and was answered.
    Answered,
    /// It was rejected before it ran.
    Rejected,
    /// It failed, after it may have run.
    Failed,
    /// It was discarded as a duplicate of one that was answered.
    Duplicate,
}

// On the wire: do not renumber.
enum_codec!(CallOutcome { 0 => Answered, 1 => Rejected, 2 => Failed, 3 => Duplicate });

/// Response to a [`Call`].
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The call's number.
    pub id: u64,
    /// The caller's attempt, from 0.
    pub attempt: u8,
    /// The proxy's retry within that attempt, from 0.
    pub retry: u8,
    /// What became of it.
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
