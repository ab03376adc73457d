//! Where planners stand, and how long a packet between two of them takes.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// A region and its zones.
#[derive(Debug, Clone, PartialEq)]
pub struct Region {
    /// Its name.
    pub name: String,
    /// Its zones, by name.
    pub zones: Vec<String>,
}

/// Why regions and zones cannot be used.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TopologyError {
    /// There is nowhere to place a planner.
    #[error("region {0:?}: it has no zones")]
    NoZones(String),
    /// There are no regions.
    #[error("regions: there are none")]
    NoRegions,
    /// A zone's planners would stand in two places.
    #[error("zone {zone:?}: it is in region {first:?} and in region {second:?}")]
    ZoneInTwoRegions {
        /// The zone.
        zone: String,
        /// The first region that names it.
        first: String,
        /// The second region that names it.
        second: String,
    },
    /// A planner names a zone that no region has.
    #[error("zone {0:?}: no region has it")]
    UnknownZone(String),
}

/// Regions with their zones, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Topology {
    regions: Vec<Region>,
    /// The region of each zone, in the order of the regions.
    region_of: Vec<usize>,
}

impl Topology {
    /// Checks regions and numbers their zones.
    ///
    /// # Errors
    ///
    /// There is no region, one has no zone, or a zone is in two.
    pub fn new(regions: Vec<Region>) -> Result<Topology, TopologyError> {
        if regions.is_empty() {
            return Err(TopologyError::NoRegions);
        }
        let mut first: BTreeMap<&str, &str> = BTreeMap::new();
        for region in &regions {
            if region.zones.is_empty() {
                return Err(TopologyError::NoZones(region.name.clone()));
            }
            for zone in &region.zones {
                if let Some(other) = first.insert(zone, &region.name) {
                    return Err(TopologyError::ZoneInTwoRegions {
                        zone: zone.clone(),
                        first: other.into(),
                        second: region.name.clone(),
                    });
                }
            }
        }
        let region_of =
            regions.iter().enumerate().flat_map(|(i, r)| std::iter::repeat_n(i, r.zones.len())).collect();
        Ok(Topology { regions, region_of })
    }

    /// So many regions with so many zones in all, spread as evenly as they go.
    ///
    /// # Errors
    ///
    /// A region would have no zone.
    pub fn even(regions: usize, zones: usize) -> Result<Topology, TopologyError> {
        let named = (0..regions).map(|r| Region {
            name: format!("region-{r}"),
            zones: (r..zones).step_by(regions).map(|z| format!("zone-{z}")).collect(),
        });
        Topology::new(named.collect())
    }

    /// How many regions there are.
    pub fn regions(&self) -> usize {
        self.regions.len()
    }

    /// How many zones there are.
    pub fn zones(&self) -> usize {
        self.region_of.len()
    }

    /// The region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        self.region_of[zone % self.region_of.len()]
    }

    /// The number of a zone by its name.
    ///
    /// # Errors
    ///
    /// No region has it.
    pub fn zone(&self, name: &str) -> Result<usize, TopologyError> {
        let names = self.regions.iter().flat_map(|r| &r.zones);
        let found = names.into_iter().position(|zone| zone == name);
        found.ok_or_else(|| TopologyError::UnknownZone(name.into()))
    }
}

/// One-way delays of packets, and their loss. A lost packet is sent again by the stream, so it only comes later.
#[derive(Debug, Clone)]
pub struct Links {
    /// Within a zone.
    pub zone: Duration,
    /// Between zones of a region.
    pub region: Duration,
    /// Between the two nearest and the two farthest regions.
    pub between: (Duration, Duration),
    /// The part of packets that is lost, 0 to 1.
    pub loss: f64,
}

impl Links {
    /// Of one machine: no loss, a fraction of a millisecond to ten.
    pub fn local() -> Links {
        let ms = Duration::from_millis;
        Links { zone: ms(5), region: ms(5), between: (ms(5), ms(5)), loss: 0.0 }
    }

    /// Between regions 30 to 150 ms, and one packet in a hundred lost.
    pub fn regions() -> Links {
        let ms = Duration::from_millis;
        Links { zone: Duration::from_micros(500), region: ms(2), between: (ms(30), ms(150)), loss: 0.01 }
    }

    /// The delay of the next packet from one zone to another.
    pub fn delay(&self, topology: &Topology, rng: &mut Pcg64Mcg, from: usize, to: usize) -> Duration {
        let (a, b) = (topology.region(from), topology.region(to));
        let usual = match () {
            () if from == to => self.zone,
            () if a == b => self.region,
            () => self.between(a, b),
        };
        let delay = usual.mul_f64(rng.random_range(0.8..1.2));
        if self.loss > 0.0 && rng.random_bool(self.loss) {
            // The sender waits for two ways and a little before it sends again.
            const LEAST_RETRANSMISSION: Duration = Duration::from_millis(200);
            return delay + LEAST_RETRANSMISSION.max(usual * 3);
        }
        delay
    }

    /// Fixed for each pair of regions, and spread over the range.
    fn between(&self, a: usize, b: usize) -> Duration {
        const SPREAD: u64 = 1009;
        let (low, high) = (a.min(b) as u64, a.max(b) as u64);
        let place = (low * 31 + high * 17) * 269 % SPREAD;
        self.between.0 + (self.between.1 - self.between.0).mul_f64(place as f64 / SPREAD as f64)
    }
}
