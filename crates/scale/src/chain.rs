//! The time of a chain of hops: the distribution of one hop, convolved with itself.
//!
//! The 99th percentile of a chain is not the chain's length times the 99th percentile of a hop: hops that are
//! independent are seldom all slow at once. Times are put on a grid of fixed resolution, which reaches beyond the 99th
//! percentile of the chain. A time between two points is split between them so that its mean stays: the grid adds to
//! the spread of a chain and not to its mean.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::ScaleError;
use crate::record_file::read_bounded;

/// Hops of a chain, at most.
pub const MAX_HOPS: u32 = 32;
/// Buckets of a histogram, at most.
const MAX_BUCKETS: usize = 100_000;
/// Bytes of a histogram, at most.
const MAX_BYTES: u64 = 8 * 1024 * 1024;
/// The longest time of a hop, at most: one hour.
const MAX_MICROSECONDS: u64 = 3_600_000_000;
/// The percentiles of a chain.
const MEDIAN: f64 = 0.5;
const HIGH: f64 = 0.99;
/// The most and the fewest points of the grid.
const MOST_POINTS: u64 = 65_536;
const FEWEST_POINTS: u64 = 256;
/// Multiplications of a convolution, at most; the grid is made coarser until they suffice.
const MAX_MULTIPLICATIONS: u64 = 400_000_000;
/// What rounding may take from a sum of shares.
const SHARE_ROUNDING: f64 = 1e-9;

/// Times up to a bound and above the bound before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Bucket {
    pub upper_bound_us: u64,
    pub count: u64,
}

impl From<(u64, u64)> for Bucket {
    fn from((upper_bound_us, count): (u64, u64)) -> Self {
        Self { upper_bound_us, count }
    }
}

impl From<Bucket> for (u64, u64) {
    fn from(bucket: Bucket) -> Self {
        (bucket.upper_bound_us, bucket.count)
    }
}

/// The distribution of one hop: buckets with ascending bounds that count something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopHistogram {
    buckets: Vec<Bucket>,
    total: u64,
}

/// The time of a chain, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ChainTimes {
    pub hops: u32,
    /// Distance of two points of the grid.
    pub resolution_us: u64,
    pub mean_us: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    /// The 99th percentile of one hop.
    pub hop_p99_us: u64,
}

impl HopHistogram {
    /// Checks buckets; the error says what is wrong with them.
    pub fn new(buckets: Vec<Bucket>) -> Result<Self, String> {
        if buckets.len() > MAX_BUCKETS {
            return Err(format!("{} buckets, over the {MAX_BUCKETS} allowed", buckets.len()));
        }
        if !buckets.is_sorted_by(|before, after| before.upper_bound_us < after.upper_bound_us) {
            return Err("the upper bounds do not ascend".into());
        }
        if buckets.last().is_some_and(|last| last.upper_bound_us > MAX_MICROSECONDS) {
            return Err(format!("an upper bound over {MAX_MICROSECONDS} us"));
        }
        let total = buckets.iter().try_fold(0u64, |total, bucket| total.checked_add(bucket.count));
        match total {
            None => Err("the counts overflow".into()),
            Some(0) => Err("nothing is counted".into()),
            Some(total) => Ok(Self { buckets, total }),
        }
    }

    /// Reads a list of `[upper_bound_us, count]`.
    pub fn load(path: &Path) -> Result<Self, ScaleError> {
        let bad = |why| ScaleError::BadHistogram { path: path.into(), why };
        let bytes = read_bounded(path, MAX_BYTES)?;
        let buckets = serde_json::from_slice(&bytes).map_err(|error| bad(error.to_string()))?;
        Self::new(buckets).map_err(bad)
    }

    /// The smallest bound with this share of the times at or below it.
    pub fn quantile(&self, share: f64) -> u64 {
        let wanted = (share * self.total as f64).ceil() as u64;
        let mut counted = 0;
        let reaches = |bucket: &&Bucket| {
            counted += bucket.count;
            counted >= wanted
        };
        self.buckets.iter().find(reaches).map_or(0, |bucket| bucket.upper_bound_us)
    }

    fn mean(&self) -> f64 {
        let sum: f64 =
            self.buckets.iter().map(|bucket| bucket.upper_bound_us as f64 * bucket.count as f64).sum();
        sum / self.total as f64
    }

    /// The time of a chain of independent hops, each time taken at the upper bound of its bucket.
    pub fn chain(&self, hops: u32) -> Result<ChainTimes, ScaleError> {
        if !(1..=MAX_HOPS).contains(&hops) {
            return Err(ScaleError::BadHops { hops });
        }
        let grid = self.grid(hops);
        let hop = self.on_grid(grid);
        let mut chain = hop.clone();
        for _ in 1..hops {
            chain = convolve(&chain, &hop);
        }
        Ok(ChainTimes {
            hops,
            resolution_us: grid.resolution_us,
            mean_us: self.mean() * f64::from(hops),
            p50_us: quantile(&chain, MEDIAN) * grid.resolution_us,
            p99_us: quantile(&chain, HIGH) * grid.resolution_us,
            hop_p99_us: self.quantile(HIGH),
        })
    }

    /// The finest grid that reaches the high percentile of the chain within the allowed work.
    fn grid(&self, hops: u32) -> Grid {
        // With each hop over the quantile of 1 - (1 - HIGH) / hops in so few cases, the sum is over `hops` times it
        // in 1 - HIGH of all cases at most.
        let reach_us = u64::from(hops) * self.quantile(1.0 - (1.0 - HIGH) / f64::from(hops));
        let mut points = MOST_POINTS;
        while points > FEWEST_POINTS && self.multiplications(points, hops) > MAX_MULTIPLICATIONS {
            points /= 2;
        }
        let resolution_us = reach_us.div_ceil(points).max(1);
        // A time between two points goes to the next one too, in each hop.
        let points = reach_us / resolution_us + u64::from(hops) + 1;
        Grid { resolution_us, points: points as usize }
    }

    /// Multiplications of all convolutions on a grid of so many points, at most.
    fn multiplications(&self, points: u64, hops: u32) -> u64 {
        let shares_of_hop = points.min(2 * self.buckets.len() as u64);
        shares_of_hop * points * u64::from(hops)
    }

    /// Shares of the points of a grid. What is beyond its last point is left out.
    fn on_grid(&self, grid: Grid) -> Vec<f64> {
        let mut shares = vec![0.0; grid.points];
        let mut add = |point: u64, share: f64| {
            if let Some(target) = shares.get_mut(point as usize) {
                *target += share;
            }
        };
        for bucket in &self.buckets {
            let share = bucket.count as f64 / self.total as f64;
            let below = bucket.upper_bound_us / grid.resolution_us;
            let beyond = (bucket.upper_bound_us % grid.resolution_us) as f64 / grid.resolution_us as f64;
            add(below, share * (1.0 - beyond));
            add(below + 1, share * beyond);
        }
        shares
    }
}

/// The points 0, 1, 2 ... that times are put on.
#[derive(Clone, Copy, Debug)]
struct Grid {
    resolution_us: u64,
    points: usize,
}

/// The distribution of the sum of two independent times, on the same grid as both.
fn convolve(chain: &[f64], hop: &[f64]) -> Vec<f64> {
    let mut sum = vec![0.0; chain.len()];
    for (offset, share) in hop.iter().enumerate().filter(|(_, share)| **share > 0.0) {
        for (target, source) in sum[offset..].iter_mut().zip(chain) {
            *target += share * source;
        }
    }
    sum
}

fn quantile(shares: &[f64], wanted: f64) -> u64 {
    let mut found = 0.0;
    let reaches = |share: &f64| {
        found += share;
        found >= wanted - SHARE_ROUNDING
    };
    shares.iter().position(reaches).unwrap_or(shares.len() - 1) as u64
}
