//! The four messages of a handshake: hello, challenge, join, welcome.

use crate::codec::{Codec, enum_codec, struct_codec};
use crate::decode_error::DecodeError;
use crate::proof::{Nonce, Proof};
use crate::reader::Reader;
use crate::writer::Writer;

/// The role that a dialing peer requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A proxy that receives updates.
    Proxy,
    /// A controller that watches an endpoint list.
    Watcher,
}

// On the wire: do not renumber.
enum_codec!(Role { 0 => Proxy, 1 => Watcher });

/// The first message of the dialing side.
#[derive(Debug, Clone, PartialEq)]
pub struct Hello {
    /// The protocol version of the sender.
    pub version: u16,
    /// The role that the sender requests.
    pub role: Role,
    /// The sender's name, unique in the fleet.
    pub name: String,
    /// The sender's nonce.
    pub nonce: Nonce,
}

struct_codec!(Hello {
    version: u16("a version"),
    role: variant("a role"),
    name: text("a name"),
    nonce: array("a nonce"),
});

/// The answer of the listening side to a [`Hello`].
#[derive(Debug, Clone, PartialEq)]
pub struct Challenge {
    /// The protocol version of the sender.
    pub version: u16,
    /// The sender's incarnation, which identifies one run of its process.
    pub incarnation: u64,
    /// The sender's nonce.
    pub nonce: Nonce,
}

struct_codec!(Challenge { version: u16("a version"), incarnation: u64("a start"), nonce: array("a nonce") });

/// The request of the dialing side to join. It proves that the sender holds the fleet's key.
#[derive(Debug, Clone, PartialEq)]
pub struct Join {
    /// The name of the sender's zone.
    pub zone: String,
    /// Requests a second that the proxy usually receives; a rough estimate.
    pub calls_per_s: f32,
    /// True if the proxy holds only the weight table from its start.
    pub initial_table_only: bool,
    /// The incarnation of the controller whose update the proxy applied last; 0 if it has applied none.
    pub applied_incarnation: u64,
    /// The sequence number of the update that the proxy applied last; 0 if it has applied none.
    pub applied_sequence: u64,
    /// The newest term of which the proxy has received an update.
    pub newest_term: u64,
    /// The proof from [`crate::FleetKey::dialer_proof`].
    pub proof: Proof,
}

struct_codec!(Join {
    zone: text("a zone"),
    calls_per_s: non_negative("a rate"),
    initial_table_only: flag("whether it is bare"),
    applied_incarnation: u64("a start"),
    applied_sequence: u64("a sequence number"),
    newest_term: u64("an epoch"),
    proof: nested(),
});

/// The acceptance of a [`Join`]. It proves that the listening side holds the fleet's key, too.
#[derive(Debug, Clone, PartialEq)]
pub struct Welcome {
    /// The id of this stream.
    pub stream: u32,
    /// The term of all updates on this stream; 0 if controllers do not elect a leader.
    pub term: u64,
    /// The proof from [`crate::FleetKey::listener_proof`].
    pub proof: Proof,
}

struct_codec!(Welcome { stream: u32("a stream"), term: u64("an epoch"), proof: nested() });

impl Codec for Proof {
    fn decode(reader: &mut Reader) -> Result<Self, DecodeError> {
        reader.array("a proof").map(Proof)
    }

    fn encode(&self, writer: &mut Writer) {
        writer.array(&self.0);
    }
}
