//! Chains of hops, held against distributions whose sums are known.

use std::fs;

use lotussaddle_scale::chain::{Bucket, ChainTimes, HopHistogram, MAX_HOPS};
use lotussaddle_scale::error::ScaleError;
use proptest::prelude::*;

const HOPS: u32 = 15;

fn histogram(buckets: &[(u64, u64)]) -> HopHistogram {
    HopHistogram::new(buckets.iter().copied().map(Bucket::from).collect()).unwrap()
}

/// Exponential times of this mean, in buckets of one microsecond, up to twenty means.
fn exponential(mean_us: f64) -> HopHistogram {
    let total = 1e12;
    let share = |bound: f64| 1.0 - (-bound / mean_us).exp();
    let last = (20.0 * mean_us) as u64;
    let bucket = |bound: u64| (bound, ((share(bound as f64) - share(bound as f64 - 1.0)) * total) as u64);
    histogram(&(1..=last).map(bucket).collect::<Vec<_>>())
}

fn close(found: u64, wanted: f64, tolerance: f64) {
    assert!((found as f64 / wanted - 1.0).abs() < tolerance, "{found}, not {wanted}");
}

#[test]
fn a_constant_hop_adds_up() {
    let times = histogram(&[(100, 5)]).chain(HOPS).unwrap();
    assert_eq!((times.p50_us, times.p99_us, times.resolution_us), (1500, 1500, 1));
    assert!((times.mean_us - 1500.0).abs() < 1e-6);
}

#[test]
fn one_hop_is_its_own_chain() {
    let hop = histogram(&[(10, 50), (20, 49), (500, 1)]);
    let times = hop.chain(1).unwrap();
    assert_eq!((times.p50_us, times.p99_us, times.hop_p99_us), (10, 20, 20));
}

#[test]
fn two_values_add_up_to_a_binomial_distribution() {
    // 10 us or 110 us, one in ten: the sum is 150 us and 100 us for each slow hop. Of 15, P(up to 1) = 0.5490 and
    // P(up to 3) = 0.9444, P(up to 4) = 0.9873, P(up to 5) = 0.9978.
    let times = histogram(&[(10, 9), (110, 1)]).chain(HOPS).unwrap();
    assert_eq!((times.p50_us, times.p99_us), (250, 650));
    assert!((times.mean_us - 300.0).abs() < 1e-6);
}

#[test]
fn exponential_hops_add_up_to_an_erlang_distribution() {
    // The 50th and 99th percentile of the Erlang distribution of shape 15: 14.668 and 25.446 means.
    let times = exponential(1000.0).chain(HOPS).unwrap();
    close(times.p50_us, 14_668.0, 0.005);
    close(times.p99_us, 25_446.0, 0.005);
}

#[test]
fn the_percentile_of_a_sum_is_not_the_sum_of_percentiles() {
    let times = exponential(1000.0).chain(HOPS).unwrap();
    let shortcut = u64::from(HOPS) * times.hop_p99_us;
    close(shortcut, 69_078.0, 0.005);
    assert!(times.p99_us * 5 < shortcut * 2, "{} of {shortcut}", times.p99_us);
}

#[test]
fn a_hop_slower_than_one_in_a_hundred_still_counts() {
    // One in 150 takes a second: the p99 of a hop does not show it, one chain in ten has one.
    let times = histogram(&[(100, 149), (1_000_000, 1)]).chain(HOPS).unwrap();
    assert_eq!(times.hop_p99_us, 100);
    assert!(times.p99_us > 990_000, "{times:?}");
}

#[test]
fn a_long_tail_too_rare_for_the_percentile_does_not_coarsen_the_grid() {
    let mut buckets: Vec<(u64, u64)> = (1..=200).map(|tenth| (tenth * 10, 1_000_000)).collect();
    let without_tail = histogram(&buckets).chain(HOPS).unwrap();
    buckets.push((60_000_000, 1));
    let times = histogram(&buckets).chain(HOPS).unwrap();
    assert_eq!((times.resolution_us, times.p99_us), (1, without_tail.p99_us));
    // Without the tail, half of the sums are at most 15,070 us to the last digit.
    assert_eq!((without_tail.p50_us, times.p50_us), (15_070, 15_080));
    let mean = (1005.0 * 200e6 + 60e6) / (200e6 + 1.0) * f64::from(HOPS);
    assert!((times.mean_us / mean - 1.0).abs() < 1e-9, "{} not {mean}", times.mean_us);
}

#[test]
fn a_coarse_grid_keeps_the_percentiles() {
    // Exponential times of a mean of ten seconds.
    let fine = exponential(1000.0).chain(HOPS).unwrap();
    let last = 20_000;
    let share = |bound: u64| 1.0 - (-(bound as f64) / 1000.0).exp();
    let bucket = |bound: u64| (bound * 10_007, ((share(bound) - share(bound - 1)) * 1e12) as u64);
    let coarse = histogram(&(1..=last).map(bucket).collect::<Vec<_>>()).chain(HOPS).unwrap();
    assert!(coarse.resolution_us > 10_007, "{coarse:?}");
    close(coarse.p50_us, fine.p50_us as f64 * 10_007.0, 0.002);
    close(coarse.p99_us, fine.p99_us as f64 * 10_007.0, 0.002);
}

#[test]
fn work_is_bounded() {
    let buckets: Vec<(u64, u64)> = (1..=100_000).map(|bound| (bound * 30_000, 1)).collect();
    let started = std::time::Instant::now();
    let times = histogram(&buckets).chain(MAX_HOPS).unwrap();
    assert!(started.elapsed().as_secs() < 20, "{:?}", started.elapsed());
    close(times.p50_us, 0.5 * 3e9 * f64::from(MAX_HOPS), 0.01);
}

#[test]
fn what_is_no_histogram_is_refused_by_name() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("hops.json");
    let told = |text: &str| {
        fs::write(&path, text).unwrap();
        HopHistogram::load(&path).unwrap_err().to_string()
    };
    for (text, wanted) in [
        ("[]", "nothing is counted"),
        ("[[10, 0]]", "nothing is counted"),
        ("[[10, 1], [10, 1]]", "the upper bounds do not ascend"),
        ("[[10, 1], [5, 1]]", "the upper bounds do not ascend"),
        ("[[10, -1]]", "invalid value"),
        ("[[10]]", "invalid length"),
        ("[[10, 1]", "EOF"),
        ("{}", "invalid type"),
        ("[[1, 18446744073709551615], [2, 1]]", "the counts overflow"),
        ("[[3600000001, 1]]", "an upper bound over 3600000000 us"),
    ] {
        let told = told(text);
        assert!(told.contains("hops.json: not a histogram of [upper_bound_us, count]"), "{text}: {told}");
        assert!(told.contains(wanted), "{text}: {told}");
    }
    fs::write(&path, "[[10, 1], [20, 3]]").unwrap();
    assert_eq!(HopHistogram::load(&path).unwrap(), histogram(&[(10, 1), (20, 3)]));
}

#[test]
fn a_chain_has_a_hop_and_not_too_many() {
    for hops in [0, MAX_HOPS + 1] {
        let error = histogram(&[(10, 1)]).chain(hops).unwrap_err();
        assert!(matches!(error, ScaleError::BadHops { hops: found } if found == hops));
    }
}

/// The chain's distribution by walking over all combinations of hops.
fn by_walking(buckets: &[(u64, u64)], hops: u32) -> Vec<(u64, f64)> {
    let total: u64 = buckets.iter().map(|bucket| bucket.1).sum();
    let mut sums = std::collections::BTreeMap::from([(0, 1.0)]);
    for _ in 0..hops {
        let mut next = std::collections::BTreeMap::new();
        for (sum, share) in &sums {
            for (bound, count) in buckets {
                *next.entry(sum + bound).or_insert(0.0) += share * *count as f64 / total as f64;
            }
        }
        sums = next;
    }
    sums.into_iter().collect()
}

proptest! {
    #[test]
    fn a_chain_is_what_walking_over_all_combinations_gives(
        steps in prop::collection::vec((1u64..50, 1u64..20), 1..6), hops in 1u32..6,
    ) {
        let mut bound = 0;
        let buckets: Vec<(u64, u64)> = steps
            .into_iter()
            .map(|(step, count)| {
                bound += step;
                (bound, count)
            })
            .collect();
        let ChainTimes { p50_us, p99_us, .. } = histogram(&buckets).chain(hops).unwrap();
        let sums = by_walking(&buckets, hops);
        let quantile = |wanted: f64| {
            let mut found = 0.0;
            sums.iter().find(|(_, share)| { found += share; found >= wanted - 1e-9 }).unwrap().0
        };
        prop_assert_eq!(p50_us, quantile(0.5));
        prop_assert_eq!(p99_us, quantile(0.99));
    }
}
