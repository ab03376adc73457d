//! Counters of packets and bytes by type and direction.

use grebespool_cluster::transport::Packet;
use std::collections::BTreeMap;

/// Bytes of a frame on an authenticated stream besides its body: the length and the message authentication code.
pub(super) const FRAME_OVERHEAD_BYTES: usize = 4 + 16;

/// The types of messages that have their own counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrafficClass {
    /// Heartbeats, votes and memberships of the leader election.
    Election,
    /// Leases of singleton tasks.
    TaskLeases,
    /// Reads and writes of the replicated journal.
    Journal,
    /// Leases of configuration versions.
    ConfigurationLeases,
    /// Proposals, preparations and commits of configuration versions.
    ConfigurationChanges,
    /// Chunks of the content of configuration versions.
    ConfigurationContent,
}

impl TrafficClass {
    /// Returns the name of the type in `samples.csv`.
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

    /// Returns the type of a packet.
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

/// Numbers of packets and of their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Packets {
    /// Number of packets.
    pub count: u64,
    /// Number of bytes with length and authentication code, without the headers of the transport below.
    pub bytes: u64,
}

impl Packets {
    /// Counts one more packet with a body of `body` bytes.
    pub fn add(&mut self, body: usize) {
        self.count += 1;
        self.bytes += (body + FRAME_OVERHEAD_BYTES) as u64;
    }
}

/// The packets that one planner sent and received.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Sent packets by type.
    pub sent: BTreeMap<TrafficClass, Packets>,
    /// Received packets by type.
    pub received: BTreeMap<TrafficClass, Packets>,
}

impl Traffic {
    /// Returns the sum of all types of one direction.
    pub fn total(packets: &BTreeMap<TrafficClass, Packets>) -> Packets {
        packets.values().fold(Packets::default(), |sum, p| Packets {
            count: sum.count + p.count,
            bytes: sum.bytes + p.bytes,
        })
    }
}
