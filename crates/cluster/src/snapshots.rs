//! Assembly of a leader's snapshot from its chunks.

use crate::transport::TransportError;
use grebespool_leader_election::{MAX_SNAPSHOT_BYTES, Snapshot};

/// One chunk of a snapshot.
pub(crate) struct SnapshotChunk {
    /// The leader's term and the snapshot's number.
    pub order: (u64, u64),
    /// Index of the chunk, from zero.
    pub part: u32,
    /// Number of chunks.
    pub parts: u32,
    pub bytes: Vec<u8>,
}

/// A complete snapshot.
pub(crate) struct ReceivedSnapshot {
    pub snapshot: Snapshot,
    pub bytes: Vec<u8>,
}

struct Incomplete {
    order: (u64, u64),
    parts: u32,
    bytes: Vec<u8>,
    next_part: u32,
}

/// Assembles the snapshots that one stream carries.
#[derive(Default)]
pub(crate) struct SnapshotAssembly(Option<Incomplete>);

impl SnapshotAssembly {
    /// Adds a chunk, and returns the snapshot after the last one.
    pub(crate) fn add(&mut self, chunk: SnapshotChunk) -> Result<Option<ReceivedSnapshot>, TransportError> {
        let SnapshotChunk { order, part, parts, bytes } = chunk;
        if part == 0 {
            self.0 = Some(Incomplete { order, parts, bytes: vec![], next_part: 0 });
        }
        let expected = |i: &&mut Incomplete| i.order == order && i.parts == parts && i.next_part == part;
        let Some(incomplete) = self.0.as_mut().filter(expected) else {
            return Err(TransportError::Snapshot(format!("unexpected chunk {part} of a snapshot")));
        };
        if incomplete.bytes.len() + bytes.len() > MAX_SNAPSHOT_BYTES {
            let error = format!("a snapshot is larger than {MAX_SNAPSHOT_BYTES} bytes");
            return Err(TransportError::Snapshot(error));
        }
        incomplete.bytes.extend_from_slice(&bytes);
        incomplete.next_part += 1;
        if incomplete.next_part < parts {
            return Ok(None);
        }
        let bytes = self.0.take().map(|complete| complete.bytes).unwrap_or_default();
        decode(order, bytes).map(Some)
    }
}

fn decode(order: (u64, u64), bytes: Vec<u8>) -> Result<ReceivedSnapshot, TransportError> {
    match Snapshot::decode(&bytes) {
        Ok(snapshot) if snapshot.order() == order => Ok(ReceivedSnapshot { snapshot, bytes }),
        Ok(snapshot) => {
            let error = format!("a snapshot has order {:?}, its chunks have {order:?}", snapshot.order());
            Err(TransportError::Snapshot(error))
        }
        Err(error) => Err(TransportError::Snapshot(format!("a snapshot is damaged: {error}"))),
    }
}
