//! Packets, which are the bodies of frames.

use crate::request::{Request, Response};
use serde::{Deserialize, Serialize};

/// The content of one frame.
// on the wire: the order of variants and fields is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// The first packet of both sides.
    Introduction {
        /// Name of the sender.
        name: String,
        /// Stamp of the sender's election state.
        stamp: u64,
    },
    /// A message of the leader election.
    Election(grebespool_leader_election::Message),
    /// A chunk of a leader's snapshot.
    SnapshotChunk {
        /// The leader's term and the snapshot's number.
        order: (u64, u64),
        /// Index of the chunk, from zero.
        part: u32,
        /// Number of chunks.
        parts: u32,
        /// The bytes of the chunk.
        bytes: Vec<u8>,
    },
    /// A request of an operator.
    Request(Request),
    /// The response to a request.
    Response(Response),
    /// The reason why the sender closes the stream.
    Rejected(String),
    /// A message of singleton tasks.
    Task(grebespool_singleton_tasks::Message),
    /// A message of the agreement on configuration versions.
    Configuration(grebespool_config_consensus::Message),
}
