//! Messages and bytes by type and direction.

use grebespool_cluster::transport::Packet;
use std::collections::BTreeMap;

/// Bytes that a frame costs beyond its body on a sealed stream: its length, and the message authentication code.
pub const FRAME: usize = 4 + 16;

/// The types of messages that are counted apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrafficClass {
    /// Heartbeats, votes and rosters of the leader election.
    Election,
    /// Leases of singleton tasks.
    TaskLeases,
    /// The replicated journal.
    Journal,
    /// Leases of configuration versions.
    ConfigurationLeases,
    /// Proposals, preparations and commits of configuration versions.
    ConfigurationChanges,
    /// Bytes of configuration versions, in parts.
    ConfigurationContent,
}

impl TrafficClass {
    /// As it is written in tables.
    pub fn name(self) -> &'static str {
        match self {
            TrafficClass::Election => "election",
            TrafficClass::TaskLeases => "task_leases",
            TrafficClass::Journal => "journal",
            TrafficClass::ConfigurationLeases => "configuration_leases",
            TrafficClass::ConfigurationChanges => "configuration_changes",
            TrafficClass::ConfigurationContent => "configuration_content",
        }
    }

    /// The type of a packet.
    pub fn of(packet: &Packet) -> TrafficClass {
        use grebespool_config_consensus::Message as Consensus;
        use grebespool_singleton_tasks::Message as Tasks;
        match packet {
            Packet::Task(
                Tasks::OpenRequest { .. }
                | Tasks::OpenResponse { .. }
                | Tasks::WriteRequest { .. }
                | Tasks::WriteResponse { .. },
            ) => TrafficClass::Journal,
            Packet::Task(_) => TrafficClass::TaskLeases,
            Packet::Configuration(
                Consensus::Renew { .. } | Consensus::Renewed { .. } | Consensus::Announce { .. },
            ) => TrafficClass::ConfigurationLeases,
            Packet::Configuration(Consensus::FetchChunk { .. } | Consensus::Chunk(_)) => {
                TrafficClass::ConfigurationContent
            }
            Packet::Configuration(_) => TrafficClass::ConfigurationChanges,
            _ => TrafficClass::Election,
        }
    }
}

/// How many packets, and how many bytes they were on the wire.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Packets {
    /// Packets.
    pub count: u64,
    /// Bytes, with length and authentication code, without the transport's own headers.
    pub bytes: u64,
}

impl Packets {
    /// One more, whose body has so many bytes.
    pub fn add(&mut self, body: usize) {
        self.count += 1;
        self.bytes += (body + FRAME) as u64;
    }
}

/// What one planner sent and received.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Sent, by type.
    pub sent: BTreeMap<TrafficClass, Packets>,
    /// Received, by type.
    pub received: BTreeMap<TrafficClass, Packets>,
}

impl Traffic {
    /// All types of one direction together.
    pub fn total(of: &BTreeMap<TrafficClass, Packets>) -> Packets {
        of.values().fold(Packets::default(), |sum, p| Packets {
            count: sum.count + p.count,
            bytes: sum.bytes + p.bytes,
        })
    }
}
