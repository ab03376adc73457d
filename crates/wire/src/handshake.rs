//! The four messages of a handshake: hello, challenge, join, welcome.

use crate::codec::{Codec, enum_codec, struct_codec};
use crate::decode_error::DecodeError;
use crate::proof::{Nonce, Proof};
use crate::reader::Reader;
use crate::writer::Writer;

/// What a dialing peer wants to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A proxy that wants to receive updates.
    Proxy,
    /// A controller that wants to watch an endpoint list.
    Watcher,
}

// On the wire: do not renumber.
enum_codec!(Role { 0 => Proxy, 1 => Watcher });

/// First message of the dialing side.
#[derive(Debug, Clone, PartialEq)]
pub struct Hello {
    /// The protocol version of the sender.
    pub version: u16,
    /// What the sender wants to be.
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

/// Answer of the listening side to a [`Hello`].
#[derive(Debug, Clone, PartialEq)]
pub struct Challenge {
    /// The protocol version of the sender.
    pub version: u16,
    /// Identifies the run of the sender's process.
    pub incarnation: u64,
    /// The sender's nonce.
    pub nonce: Nonce,
}

struct_codec!(Challenge { version: u16("a version"), incarnation: u64("a start"), nonce: array("a nonce") });

/// Asks to join; proves that the sender holds the fleet's key.
#[derive(Debug, Clone, PartialEq)]
pub struct Join {
    /// The sender's zone, by name.
    pub zone: String,
    /// Calls a second that the proxy usually gets; rough.
    pub calls_per_s: f32,
    /// Whether the proxy holds only the table that it started with.
    pub initial_table_only: bool,
    /// Incarnation of the controller whose update was applied last; 0 for none.
    pub applied_incarnation: u64,
    /// Sequence number of the update that was applied last; 0 for none.
    pub applied_sequence: u64,
    /// The newest term of which the proxy has seen an update.
    pub newest_term: u64,
    /// What [`crate::FleetKey::dialer_proof`] gives.
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

/// Accepts a [`Join`]; proves that the sender holds the fleet's key too.
#[derive(Debug, Clone, PartialEq)]
pub struct Welcome {
    /// The number of this stream.
    pub stream: u32,
    /// The term of all updates on this stream; 0 where controllers share nothing.
    pub term: u64,
    /// What [`crate::FleetKey::listener_proof`] gives.
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
