//! Who a side of a stream is, and which protocol it speaks.

use grebespool_leader_election::MemberId;

/// The protocol version of this program; a member of another version is told so and closed.
pub const PROTOCOL_VERSION: u16 = 2;

/// Who one side of a stream is.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// Its fleet.
    pub fleet: u64,
    /// The member; 0 for an operator.
    pub id: MemberId,
}
