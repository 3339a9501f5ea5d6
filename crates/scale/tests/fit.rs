//! Growth laws: families made by each law with noise are recognised, and families that show too little say so.

mod common;

use std::path::PathBuf;

use lotussaddle_scale::error::ScaleError;
use lotussaddle_scale::family::{Family, Statistic};
use lotussaddle_scale::fit::{Caution, Criterion, FitOptions, FitReport, SeriesFit};
use lotussaddle_scale::law::Law;
use lotussaddle_scale::plan::Mode;
use lotussaddle_scale::record::{Aggregate, Measurement, Quantity, Role, RunRecord};
use lotussaddle_scale::record_file::StoredRecord;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use common::record;

const SIZES: [usize; 7] = [16, 32, 64, 128, 256, 512, 1024];
const NOISE: f64 = 0.02;
/// Families that are drawn of each law.
const DRAWS: u64 = 400;

/// A law with its coefficients.
#[derive(Clone, Copy, Debug)]
struct Truth {
    law: Law,
    intercept: f64,
    slope: f64,
}

impl Truth {
    fn at(&self, size: usize) -> f64 {
        self.intercept + self.slope * self.law.term(size)
    }
}

/// Of the law alone, and with an intercept that is half of the first value.
fn truths(law: Law) -> [Truth; 2] {
    let slope = 3.0;
    let growing = |intercept| Truth { law, intercept, slope };
    match law {
        Law::Constant => [growing(50.0), growing(5e6)],
        _ => [growing(0.0), growing(slope * law.term(SIZES[0]))],
    }
}

/// Normally distributed noise.
fn noise(random: &mut Pcg64Mcg) -> f64 {
    let (radius, angle): (f64, f64) = (random.random_range(1e-12..1.0), random.random_range(0.0..1.0));
    NOISE * (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
}

fn stored(records: Vec<RunRecord>) -> Vec<StoredRecord> {
    let place = |record: RunRecord| {
        let path = PathBuf::from(format!("size-{}-seed-{}.json", record.size, record.seed));
        StoredRecord { path, record }
    };
    records.into_iter().map(place).collect()
}

/// Records with one quantity that follows a law with noise.
fn family_of(truth: Truth, sizes: &[usize], seed: u64) -> Vec<StoredRecord> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let one = |size: &usize| record(*size, 1, truth.at(*size) * (1.0 + noise(&mut random)));
    stored(sizes.iter().map(one).collect())
}

fn report(stored: &[StoredRecord], options: FitOptions) -> Result<FitReport, ScaleError> {
    FitReport::new(&Family::gather(stored)?, options)
}

/// The fit of the bytes sent.
fn bytes_fit(stored: &[StoredRecord], options: FitOptions) -> SeriesFit {
    let report = report(stored, options).unwrap();
    let is_bytes = |fit: &SeriesFit| fit.key.quantity == Quantity::BytesSent;
    report.fits.into_iter().find(is_bytes).unwrap()
}

#[test]
fn a_family_of_each_law_with_noise_is_recognised_and_its_slope_is_within_its_interval() {
    for law in Law::ALL {
        for truth in truths(law) {
            let (mut recognised, mut covered) = (0, 0);
            for seed in 0..DRAWS {
                let chosen = bytes_fit(&family_of(truth, &SIZES, seed), FitOptions::default()).chosen;
                assert_eq!(chosen.criterion, Criterion::CorrectedAkaike);
                recognised += u64::from(chosen.law == law);
                let estimate = chosen.slope.unwrap_or(chosen.intercept);
                let wanted = if law == Law::Constant { truth.intercept } else { truth.slope };
                covered += u64::from(chosen.law == law && estimate.contains(wanted));
            }
            assert!(recognised * 100 >= DRAWS * 95, "{truth:?}: {recognised} of {DRAWS} recognised");
            assert!(covered * 100 >= DRAWS * 90, "{truth:?}: {covered} of {DRAWS} within their interval");
        }
    }
}

#[test]
fn intervals_are_no_wider_than_they_say() {
    // Of 95% intervals about one in 20 misses: intervals that hold all values would be too wide.
    for law in [Law::Linear, Law::Quadratic] {
        let [truth, _] = truths(law);
        let holds = |seed: &u64| {
            let chosen = bytes_fit(&family_of(truth, &SIZES, *seed), FitOptions::default()).chosen;
            chosen.slope.is_some_and(|slope| slope.contains(truth.slope))
        };
        let covered = (0..DRAWS).filter(holds).count() as u64;
        assert!(covered * 1000 <= DRAWS * 985, "{law}: {covered} of {DRAWS}");
    }
}

#[test]
fn three_and_four_sizes_are_judged_by_leaving_one_out_and_say_so() {
    for law in [Law::Constant, Law::Linear, Law::Quadratic] {
        for sizes in [&[16, 64, 512][..], &[16, 64, 256, 1024]] {
            let [truth, _] = truths(law);
            let recognised = |seed: &u64| {
                let chosen = bytes_fit(&family_of(truth, sizes, *seed), FitOptions::default()).chosen;
                assert_eq!(chosen.criterion, Criterion::LeaveOneOut);
                assert!(chosen.cautions.contains(&Caution::FewSizes));
                chosen.law == law || chosen.not_excluded.contains(&law)
            };
            let recognised = (0..DRAWS).filter(recognised).count() as u64;
            assert!(recognised * 100 >= DRAWS * 90, "{law} at {sizes:?}: {recognised} of {DRAWS}");
        }
    }
}

#[test]
fn fewer_than_three_sizes_are_refused() {
    let [truth, _] = truths(Law::Linear);
    for sizes in [&[][..], &[16], &[16, 32]] {
        let error = report(&family_of(truth, sizes, 1), FitOptions::default()).unwrap_err();
        let told = error.to_string();
        assert!(told.starts_with("a law needs records of 3 sizes at least, found"), "{told}");
        assert!(told.ends_with(&format!("found {}: {sizes:?}", sizes.len())), "{told}");
    }
}

#[test]
fn a_narrow_range_says_so_and_names_the_laws_it_cannot_tell_apart() {
    let [truth, _] = truths(Law::Linear);
    let chosen = bytes_fit(&family_of(truth, &[100, 105, 110, 115, 120], 1), FitOptions::default()).chosen;
    assert!(chosen.cautions.contains(&Caution::NarrowRange));
    if chosen.law != Law::Constant {
        assert!(chosen.cautions.contains(&Caution::SeveralLaws), "{chosen:?}");
    }
    let wide = bytes_fit(&family_of(truth, &SIZES, 1), FitOptions::default()).chosen;
    assert_eq!(wide.cautions, [], "{wide:?}");
}

#[test]
fn a_series_that_is_there_at_two_sizes_is_skipped_by_name() {
    let mut records = vec![record(16, 1, 1.0), record(32, 1, 2.0), record(64, 1, 4.0)];
    records[0].observations.measurements.clear();
    let report = report(&stored(records), FitOptions::default()).unwrap();
    let [skipped] = &report.skipped[..] else { panic!("{:?}", report.skipped) };
    assert_eq!(
        (skipped.key.to_string().as_str(), &skipped.sizes[..]),
        ("bytes-sent mean of edge-proxy", &[32, 64][..])
    );
    assert!(report.to_string().contains("bytes-sent mean of edge-proxy: no law, measured at 32, 64 alone"));
}

#[test]
fn exact_values_have_exact_laws() {
    for law in Law::ALL {
        let [truth, _] = truths(law);
        let records = SIZES.map(|size| record(size, 1, truth.at(size)));
        let chosen = bytes_fit(&stored(records.to_vec()), FitOptions::default()).chosen;
        assert_eq!(chosen.law, law);
        if let Some(slope) = chosen.slope {
            assert!((slope.value / truth.slope - 1.0).abs() < 1e-6, "{law}: {slope:?}");
            assert!((chosen.r_squared - 1.0).abs() < 1e-9, "{law}: {}", chosen.r_squared);
        }
    }
}

#[test]
fn zeros_are_a_constant() {
    let records = SIZES.map(|size| record(size, 1, 0.0));
    let fit = bytes_fit(&stored(records.to_vec()), FitOptions { at: Some(4100), ..FitOptions::default() });
    assert_eq!((fit.chosen.law, fit.chosen.intercept.value), (Law::Constant, 0.0));
    assert!(
        fit.chosen.residuals.iter().all(|residual| residual.residual == 0.0 && residual.relative.is_none())
    );
    assert_eq!(fit.extrapolation.unwrap().by_law.value, 0.0);
}

#[test]
fn seeds_of_a_size_are_averaged_with_their_spread() {
    let mut records = Vec::new();
    for size in [16, 32, 64] {
        for (seed, value) in [(1, 90.0), (2, 100.0), (3, 110.0)] {
            records.push(record(size, seed, value));
        }
    }
    records.push(record(128, 1, 100.0));
    let fit = bytes_fit(&stored(records), FitOptions::default());
    let first = fit.points[0];
    assert_eq!((first.size, first.seeds, first.value, first.spread), (16, 3, 100.0, Some(10.0)));
    assert_eq!(fit.points[3].spread, None);
}

#[test]
fn the_largest_of_four_sizes_is_held_out_and_predicted_from_the_smaller() {
    let [truth, _] = truths(Law::Quadratic);
    let mut family = family_of(truth, &SIZES, 1);
    let found = bytes_fit(&family, FitOptions::default()).hold_out.unwrap();
    assert_eq!((found.size, found.law), (1024, Law::Quadratic));
    assert!(found.relative_error.unwrap().abs() < 0.15, "{found:?}");
    assert!(found.within_interval, "{found:?}");
    // A cliff beyond the smaller sizes: their prediction does not know of it.
    family.last_mut().unwrap().record.observations.measurements[0].value *= 3.0;
    let cliff = bytes_fit(&family, FitOptions::default()).hold_out.unwrap();
    assert_eq!(cliff.predicted, found.predicted);
    assert!(!cliff.within_interval && cliff.relative_error.unwrap() < -0.6, "{cliff:?}");
}

#[test]
fn a_size_to_hold_out_may_be_chosen() {
    let [truth, _] = truths(Law::Linear);
    let family = family_of(truth, &SIZES, 1);
    let chosen = |size| FitOptions { hold_out: Some(size), ..FitOptions::default() };
    assert_eq!(bytes_fit(&family, chosen(256)).hold_out.unwrap().size, 256);
    let refused = |size| report(&family, chosen(size)).unwrap_err().to_string();
    assert_eq!(refused(100), "size 100 cannot be held out: no record has it");
    assert_eq!(refused(64), "size 64 cannot be held out: 2 sizes are smaller, 3 are needed");
    let three = family_of(truth, &SIZES[..3], 1);
    assert!(bytes_fit(&three, FitOptions::default()).hold_out.is_none());
}

#[test]
fn an_extrapolation_has_an_interval_of_all_laws_that_are_not_excluded() {
    let [truth, _] = truths(Law::Quadratic);
    let options = FitOptions { at: Some(4100), ..FitOptions::default() };
    let clear = bytes_fit(&family_of(truth, &SIZES, 1), options);
    let found = clear.extrapolation.unwrap();
    assert_eq!(clear.chosen.not_excluded, []);
    assert!(found.by_law.contains(truth.at(4100)), "{found:?}");
    assert_eq!(found.by_law, found.by_all_laws);
    let [truth, _] = truths(Law::Linearithmic);
    let unclear = bytes_fit(&family_of(truth, &[64, 80, 96, 112, 128, 160], 1), options);
    let found = unclear.extrapolation.unwrap();
    assert!(!unclear.chosen.not_excluded.is_empty(), "{:?}", unclear.chosen);
    assert!(found.by_all_laws.contains(truth.at(4100)), "{found:?}");
    assert!(found.by_all_laws.high - found.by_all_laws.low > found.by_law.high - found.by_law.low);
}

#[test]
fn intervals_hold_a_size_that_was_not_run_as_often_as_they_say() {
    let [truth, _] = truths(Law::Linear);
    let options = FitOptions { at: Some(4100), ..FitOptions::default() };
    let holds = |seed: &u64| {
        let found = bytes_fit(&family_of(truth, &SIZES, *seed), options).extrapolation.unwrap();
        let measured = truth.at(4100) * (1.0 + noise(&mut Pcg64Mcg::seed_from_u64(seed + DRAWS)));
        found.by_all_laws.contains(measured)
    };
    let covered = (0..DRAWS).filter(holds).count() as u64;
    assert!(covered * 100 >= DRAWS * 90, "{covered} of {DRAWS}");
}

#[test]
fn records_that_do_not_belong_together_are_refused_by_name() {
    let refused = |change: fn(&mut RunRecord)| {
        let mut records = vec![record(16, 1, 1.0), record(32, 1, 2.0), record(64, 1, 4.0)];
        change(&mut records[2]);
        report(&stored(records), FitOptions::default()).unwrap_err().to_string()
    };
    let told = refused(|record| record.mode = Mode::Sockets);
    assert_eq!(told, "size-64-seed-1.json: mode sockets, size-16-seed-1.json has virtual");
    let told = refused(|record| record.plan_name = "other".into());
    assert_eq!(told, "size-64-seed-1.json: plan other, size-16-seed-1.json has family");
    let told = refused(|record| record.size = 16);
    assert_eq!(told, "size-16-seed-1.json: size 16 with seed 1 again, first in size-16-seed-1.json");
}

#[test]
fn records_of_different_commits_and_plans_are_noted() {
    let mut records = vec![record(16, 1, 1.0), record(32, 1, 2.0), record(64, 1, 4.0)];
    records[1].commit.dirty = true;
    records[2].plan_text.push('\n');
    records[2].machine.cores = 4;
    let report = report(&stored(records), FitOptions::default()).unwrap();
    assert_eq!(
        report.notes,
        [
            "the records have 2 different texts of the plan",
            "commits 0123456789abcdef, 0123456789abcdef (dirty)",
            "the records are of 2 different machines",
        ]
    );
}

#[test]
fn roles_kinds_and_statistics_are_series_of_their_own() {
    let of_size = |size: usize| {
        let mut one = record(size, 1, 1.0);
        let leader =
            Measurement::new(Quantity::BytesSent, Aggregate::Mean, size as f64).of_role(Role::Leader);
        one.observations.measurements.push(leader.clone().of_kind("beat"));
        one.observations.measurements.push(leader);
        one
    };
    let report = report(&stored(SIZES.map(of_size).to_vec()), FitOptions::default()).unwrap();
    let named: Vec<(String, Law)> =
        report.fits.iter().map(|fit| (fit.key.to_string(), fit.chosen.law)).collect();
    for (name, law) in [
        ("bytes-sent mean of edge-proxy", Law::Constant),
        ("bytes-sent mean of leader", Law::Linear),
        ("bytes-sent mean of leader in beat", Law::Linear),
        ("change-in-force p50", Law::Constant),
        ("change-in-force p99", Law::Constant),
        ("change-in-force max", Law::Constant),
    ] {
        assert!(named.contains(&(name.into(), law)), "{name}: {named:?}");
    }
    assert_eq!(named.len(), 6);
}

#[test]
fn the_report_names_law_criterion_and_interval() {
    let [truth, _] = truths(Law::Quadratic);
    let options = FitOptions { at: Some(4100), ..FitOptions::default() };
    let report = report(&family_of(truth, &SIZES, 1), options).unwrap();
    let text = report.to_string();
    for part in [
        "N^2",
        "N=4100",
        "N=1024 by N^2",
        "within",
        "corrected Akaike criterion",
        "log is of base 2",
        "commit 01234",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let json = serde_json::to_value(&report).unwrap();
    let is_bytes = |fit: &&serde_json::Value| fit["key"]["quantity"] == "bytes-sent";
    let fit = json["fits"].as_array().unwrap().iter().find(is_bytes).unwrap();
    assert_eq!(fit["key"]["statistic"], serde_json::to_value(Statistic::Aggregate(Aggregate::Mean)).unwrap());
    assert_eq!(
        (&fit["chosen"]["law"], &fit["chosen"]["criterion"]),
        (&"quadratic".into(), &"corrected-akaike".into())
    );
    assert!(fit["extrapolation"]["by_law"]["low"].is_number());
}

fn any_law() -> impl Strategy<Value = Law> {
    prop::sample::select(Law::ALL.to_vec())
}

proptest! {
    /// Noise of at most 2%, any scale, an intercept of at most the first growth.
    #[test]
    fn a_law_is_recognised_at_any_scale(
        law in any_law(),
        scale in -3i32..7,
        intercept_share in 0.0..1.0,
        noises in prop::collection::vec(-NOISE..NOISE, SIZES.len()),
    ) {
        let slope = 10f64.powi(scale);
        let growth = if law == Law::Constant { 1.0 } else { law.term(SIZES[0]) };
        let share = if law == Law::Constant { 1.0 } else { intercept_share };
        let truth = Truth { law, intercept: slope * growth * share, slope };
        let records: Vec<RunRecord> = SIZES
            .iter()
            .zip(&noises)
            .map(|(size, noise)| record(*size, 1, truth.at(*size) * (1.0 + noise)))
            .collect();
        let chosen = bytes_fit(&stored(records), FitOptions::default()).chosen;
        prop_assert!(chosen.law == law || chosen.not_excluded.contains(&law) || law == Law::Constant, "{chosen:?}");
        if chosen.law == law && law != Law::Constant {
            let found = chosen.slope.unwrap();
            // One draw in 20 is outside of the 95% interval itself.
            let half_width = (found.high - found.low) / 2.0;
            prop_assert!((found.value - slope).abs() <= 3.0 * half_width, "{found:?}, not {slope}");
        }
    }

    #[test]
    fn any_values_have_a_law_and_finite_figures(values in prop::collection::vec(0.0..1e9, 3..9)) {
        let sizes = [8, 16, 32, 64, 128, 256, 512, 1024, 2048];
        let records: Vec<RunRecord> =
            sizes.iter().zip(&values).map(|(size, value)| record(*size, 1, *value)).collect();
        let fit = bytes_fit(&stored(records), FitOptions { at: Some(4100), ..FitOptions::default() });
        let estimate = fit.extrapolation.unwrap().by_all_laws;
        let intercept = fit.chosen.intercept;
        for figure in [estimate.low, estimate.value, estimate.high, intercept.low, intercept.high, fit.chosen.r_squared] {
            prop_assert!(figure.is_finite(), "{fit:?}");
        }
    }
}
