//! Simulated links: how long a frame takes from one member to another, and which regions are cut off from each other when.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::plan::{Place, ScalePlan};

/// One way, within a zone, between zones of a region and between regions, in microseconds.
const WITHIN_ZONE: std::ops::Range<u64> = 100..300;
const BETWEEN_ZONES: std::ops::Range<u64> = 300..1_500;
const BETWEEN_REGIONS: std::ops::Range<u64> = 10_000..80_000;

/// A time in which one set of regions loses all others.
struct CutTime {
    from: Duration,
    until: Duration,
    /// By region.
    inside: Vec<bool>,
}

/// The links between all members.
pub struct VirtualLinks {
    places: Vec<Place>,
    regions: usize,
    /// By the lower region of a pair, then by the higher one.
    between_regions: Vec<Duration>,
    seed: u64,
    cuts: Vec<CutTime>,
}

impl VirtualLinks {
    /// Draws the delays of a fleet.
    pub fn new(plan: &ScalePlan, size: usize, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x6c69_6e6b);
        let regions = plan.topology.regions;
        let pairs = regions * regions;
        let between_regions =
            (0..pairs).map(|_| Duration::from_micros(random.random_range(BETWEEN_REGIONS))).collect();
        let cuts = plan.cuts.iter().map(|cut| CutTime {
            from: plan.warm_up + cut.at,
            until: plan.warm_up + cut.at + cut.lasts,
            inside: (0..regions).map(|region| cut.regions.contains(&region)).collect(),
        });
        let cuts = cuts.collect();
        let places = (0..size).map(|member| plan.topology.place(member, size)).collect();
        Self { places, regions, between_regions, seed, cuts }
    }

    /// Where members stand.
    pub fn places(&self) -> &[Place] {
        &self.places
    }

    /// One way between two members; the same for all frames of a pair, so that none overtakes another.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        let (first, second) = (self.places[from], self.places[to]);
        let far = self.between_regions(first.region, second.region);
        let range = if first.zone == second.zone { WITHIN_ZONE } else { BETWEEN_ZONES };
        let drawn = mix(self.seed ^ (from.min(to) as u64) << 32 ^ from.max(to) as u64);
        far + Duration::from_micros(range.start + drawn % (range.end - range.start))
    }

    fn between_regions(&self, first: usize, second: usize) -> Duration {
        if first == second {
            return Duration::ZERO;
        }
        self.between_regions[first.min(second) * self.regions + first.max(second)]
    }

    /// When a frame arrives. What is sent during a cut arrives after it, as on a connection that sends it again.
    pub fn arrival(&self, sent: Duration, from: usize, to: usize) -> Duration {
        let released = self.cut_until(sent, from, to).unwrap_or(sent);
        released + self.delay(from, to)
    }

    /// When the cut between two members ends, if there is one.
    pub fn cut_until(&self, now: Duration, from: usize, to: usize) -> Option<Duration> {
        let parts = |cut: &&CutTime| {
            cut.from <= now
                && now < cut.until
                && cut.inside[self.places[from].region] != cut.inside[self.places[to].region]
        };
        self.cuts.iter().filter(parts).map(|cut| cut.until).max()
    }

    /// Whether two members have been cut off from each other at any time since.
    pub fn was_cut_since(&self, since: Duration, now: Duration, from: usize, to: usize) -> bool {
        self.cuts.iter().any(|cut| {
            cut.from <= now
                && since < cut.until
                && cut.inside[self.places[from].region] != cut.inside[self.places[to].region]
        })
    }
}

/// A fixed function that scatters its argument (SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
