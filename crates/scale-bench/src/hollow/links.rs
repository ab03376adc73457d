//! The zones and regions of planners, and the delays of packets between them.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// A region and its zones.
#[derive(Debug, Clone, PartialEq)]
pub struct Region {
    /// The name of the region.
    pub name: String,
    /// The names of the zones.
    pub zones: Vec<String>,
}

/// The reason why regions and zones cannot be used.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TopologyError {
    /// A region has no zones.
    #[error("region {0:?} has no zones; expected at least one")]
    NoZones(String),
    /// The list of regions is empty.
    #[error("the list of regions is empty")]
    NoRegions,
    /// A zone is in two regions.
    #[error("zone {zone:?} is in region {first:?} and in region {second:?}; expected one region")]
    ZoneInTwoRegions {
        /// The name of the zone.
        zone: String,
        /// The first region that names the zone.
        first: String,
        /// The second region that names the zone.
        second: String,
    },
    /// A zone is in no region.
    #[error("zone {0:?} is not in any region")]
    UnknownZone(String),
}

/// Regions with their zones; each region has a zone, and each zone is in one region only.
#[derive(Debug, Clone, PartialEq)]
pub struct Topology {
    regions: Vec<Region>,
    /// The index of the region of each zone, in the order of the regions.
    region_of: Vec<usize>,
}

impl Topology {
    /// Checks regions and numbers their zones from zero, region by region.
    ///
    /// # Errors
    ///
    /// Returns an error if there are no regions, a region has no zones, or a zone is in two regions.
    pub fn new(regions: Vec<Region>) -> Result<Topology, TopologyError> {
        if regions.is_empty() {
            return Err(TopologyError::NoRegions);
        }
        let mut first_region: BTreeMap<&str, &str> = BTreeMap::new();
        for region in &regions {
            if region.zones.is_empty() {
                return Err(TopologyError::NoZones(region.name.clone()));
            }
            for zone in &region.zones {
                if let Some(first) = first_region.insert(zone, &region.name) {
                    return Err(TopologyError::ZoneInTwoRegions {
                        zone: zone.clone(),
                        first: first.into(),
                        second: region.name.clone(),
                    });
                }
            }
        }
        let region_of =
            regions.iter().enumerate().flat_map(|(i, r)| std::iter::repeat_n(i, r.zones.len())).collect();
        Ok(Topology { regions, region_of })
    }

    /// Creates regions and spreads the given number of zones over them in turn.
    ///
    /// # Errors
    ///
    /// Returns an error if there are no regions, or fewer zones than regions.
    pub fn even(regions: usize, zones: usize) -> Result<Topology, TopologyError> {
        let named = (0..regions).map(|r| Region {
            name: format!("region-{r}"),
            zones: (r..zones).step_by(regions).map(|z| format!("zone-{z}")).collect(),
        });
        Topology::new(named.collect())
    }

    /// Returns the number of regions.
    pub fn regions(&self) -> usize {
        self.regions.len()
    }

    /// Returns the number of zones.
    pub fn zones(&self) -> usize {
        self.region_of.len()
    }

    /// Returns the index of the region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        self.region_of[zone % self.region_of.len()]
    }

    /// Returns the number of a zone by its name.
    ///
    /// # Errors
    ///
    /// Returns an error if no region has a zone of that name.
    pub fn zone(&self, name: &str) -> Result<usize, TopologyError> {
        let names = self.regions.iter().flat_map(|r| &r.zones);
        let found = names.into_iter().position(|zone| zone == name);
        found.ok_or_else(|| TopologyError::UnknownZone(name.into()))
    }
}

/// One-way delays and loss of packets. Streams retransmit a lost packet, so that the packet only arrives later.
#[derive(Debug, Clone)]
pub struct Links {
    /// Delay within a zone.
    pub within_zone: Duration,
    /// Delay between two zones of a region.
    pub within_region: Duration,
    /// Delay between the two nearest regions and between the two farthest regions.
    pub between_regions: (Duration, Duration),
    /// Share of packets that are lost, 0 to 1.
    pub loss: f64,
}

impl Links {
    /// Returns the links of one machine: 5 ms between any two planners, no loss.
    pub fn local() -> Links {
        let ms = Duration::from_millis;
        Links { within_zone: ms(5), within_region: ms(5), between_regions: (ms(5), ms(5)), loss: 0.0 }
    }

    /// Returns the links of distant regions: 30 to 150 ms between regions, and one packet in a hundred lost.
    pub fn regions() -> Links {
        let ms = Duration::from_millis;
        Links {
            within_zone: Duration::from_micros(500),
            within_region: ms(2),
            between_regions: (ms(30), ms(150)),
            loss: 0.01,
        }
    }

    /// Draws the delay of the next packet from one zone to another.
    pub fn delay(&self, topology: &Topology, rng: &mut Pcg64Mcg, from: usize, to: usize) -> Duration {
        let (a, b) = (topology.region(from), topology.region(to));
        let usual = match () {
            () if from == to => self.within_zone,
            () if a == b => self.within_region,
            () => self.delay_between_regions(a, b),
        };
        let delay = usual.mul_f64(rng.random_range(0.8..1.2));
        if self.loss > 0.0 && rng.random_bool(self.loss) {
            // The sender waits for a round trip and a margin before it retransmits.
            const MIN_RETRANSMISSION_TIME: Duration = Duration::from_millis(200);
            return delay + MIN_RETRANSMISSION_TIME.max(usual * 3);
        }
        delay
    }

    /// Returns the delay between two regions: fixed for each pair, and spread over the range of all pairs.
    fn delay_between_regions(&self, a: usize, b: usize) -> Duration {
        const STEPS: u64 = 1009;
        let (low, high) = (a.min(b) as u64, a.max(b) as u64);
        let step = (low * 31 + high * 17) * 269 % STEPS;
        self.between_regions.0
            + (self.between_regions.1 - self.between_regions.0).mul_f64(step as f64 / STEPS as f64)
    }
}
