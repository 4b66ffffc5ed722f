//! Where members stand, and what a message between two places takes: stated delays, losses and cuts. No two messages of
//! a pair overtake each other, as on one connection.
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Microseconds of virtual time.
pub type Micros = u64;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Regions, and zones in all of them together: three regions hold three zones and three hold two.
pub const REGIONS: usize = 6;
pub const ZONES: usize = 15;

/// One way, within a zone and across the zones of a region.
const WITHIN_ZONE: Micros = 250;
const ACROSS_ZONES: Micros = MS;
/// One way between two regions: this much, and that much for each step between them on a ring.
const ACROSS_REGIONS: Micros = 30 * MS;
const A_STEP: Micros = 15 * MS;

/// A zone, and the region that it is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub region: usize,
    pub zone: usize,
}

impl Place {
    /// The place of the member or data node of this number: dealt out over the zones in turn.
    pub fn of(number: usize) -> Place {
        let zone = number % ZONES;
        Place { region: zone % REGIONS, zone }
    }

    /// One way from here to there.
    pub fn delay(self, to: Place) -> Micros {
        if self.zone == to.zone {
            return WITHIN_ZONE;
        }
        if self.region == to.region {
            return ACROSS_ZONES;
        }
        let apart = self.region.abs_diff(to.region);
        ACROSS_REGIONS + A_STEP * apart.min(REGIONS - apart) as Micros
    }
}

/// The state of all links: regions that are cut off, and a share of messages that is lost between regions.
pub struct Links {
    cut: [bool; REGIONS],
    /// Of a million messages between regions, so many are lost.
    loss: u64,
    rng: Pcg64Mcg,
    pub lost: u64,
}

impl Links {
    pub fn new(seed: u64, loss: u64) -> Links {
        Links { cut: [false; REGIONS], loss, rng: Pcg64Mcg::seed_from_u64(seed), lost: 0 }
    }

    /// Cut a region off from all others, or join it to them again.
    pub fn cut(&mut self, region: usize, cut: bool) {
        self.cut[region] = cut;
    }

    pub fn is_cut(&self, region: usize) -> bool {
        self.cut[region]
    }

    /// How long a message takes, unless it is lost.
    pub fn carry(&mut self, from: Place, to: Place) -> Option<Micros> {
        if from.region != to.region {
            let lost = self.loss > 0 && self.rng.next_u64() % 1_000_000 < self.loss;
            if self.cut[from.region] || self.cut[to.region] || lost {
                self.lost += 1;
                return None;
            }
        }
        Some(from.delay(to))
    }
}
