//! The identity of a side of a stream, and the protocol version.

use grebespool_leader_election::MemberId;

/// The protocol version of this program. A stream to a member of another version is closed; both sides log the version.
pub const PROTOCOL_VERSION: u16 = 2;

/// The identity of one side of a stream.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// Id of the fleet.
    pub fleet: u64,
    /// Id of the member; 0 for an operator.
    pub id: MemberId,
}
