//! The growth law of each series of a family, how well it predicts a size left out, and what it gives for a larger one.

use serde::Serialize;

use crate::error::ScaleError;
use crate::family::{FEWEST_SIZES, Family, Point, Series, SeriesKey};
use crate::law::{Estimate, Law, LawFit, WeightedPoints};
use crate::plan::Mode;
use crate::record::Unit;

/// Sizes from which on the corrected Akaike criterion is defined for all laws.
const FEWEST_FOR_AKAIKE: usize = 5;
/// Sizes from which on the largest is held out unless another is asked for.
const FEWEST_FOR_HOLD_OUT: usize = 4;
/// A law is excluded if its corrected Akaike criterion is larger than the best by more than this.
const EXCLUDED_AKAIKE: f64 = 10.0;
/// The constant, which has a coefficient less, is taken if its criterion is larger than the best by no more than this.
const CONSTANT_AKAIKE: f64 = 2.0;
/// By leave-one-out error a law is excluded if its error is more than so many times the best, and a law that grows is
/// taken only if the constant is excluded: three points seldom tell more.
const EXCLUDED_ERROR: f64 = 25.0;
/// A family whose largest size is less than so many times the smallest shows little of a law.
const NARROW_RANGE: usize = 8;

/// How a law was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Criterion {
    /// The least corrected Akaike criterion, from five sizes on.
    CorrectedAkaike,
    /// The least leave-one-out error, with three or four sizes.
    LeaveOneOut,
}

/// Why a law should not be trusted far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Caution {
    /// Fewer than five sizes.
    FewSizes,
    /// The largest size is less than eight times the smallest.
    NarrowRange,
    /// Another law fits about as well.
    SeveralLaws,
}

/// The difference of a value and its law.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Residual {
    pub size: usize,
    /// Value less law, in the unit of the series.
    pub residual: f64,
    /// The residual as a share of the value; absent where the value is zero.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub relative: Option<f64>,
}

/// The law that was chosen for a series.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChosenLaw {
    pub law: Law,
    pub criterion: Criterion,
    pub intercept: Estimate,
    /// The slope over the law's term, with logarithms of base 2; absent for a constant.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slope: Option<Estimate>,
    pub r_squared: f64,
    pub residuals: Vec<Residual>,
    /// Other laws that the values do not exclude. None where a constant suffices.
    pub not_excluded: Vec<Law>,
    pub cautions: Vec<Caution>,
}

/// How the smaller sizes predict one that was held out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HoldOut {
    pub size: usize,
    /// The law chosen from the smaller sizes alone.
    pub law: Law,
    pub predicted: Estimate,
    pub measured: f64,
    /// The prediction less the value, as a share of the value; absent where the value is zero.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub relative_error: Option<f64>,
    pub within_interval: bool,
}

/// What a law gives for a size that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Extrapolation {
    pub size: usize,
    /// By the chosen law.
    pub by_law: Estimate,
    /// The chosen law's value with the interval of all laws that are not excluded.
    pub by_all_laws: Estimate,
}

/// A series with its law.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SeriesFit {
    pub key: SeriesKey,
    pub unit: Unit,
    pub points: Vec<Point>,
    pub chosen: ChosenLaw,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hold_out: Option<HoldOut>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub extrapolation: Option<Extrapolation>,
}

/// A series that is there at fewer than three sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SkippedSeries {
    pub key: SeriesKey,
    pub sizes: Vec<usize>,
}

/// The laws of a family.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FitReport {
    pub plan_name: String,
    pub mode: Mode,
    pub sizes: Vec<usize>,
    pub seeds: Vec<u64>,
    /// The size that was held out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub held_out: Option<usize>,
    pub notes: Vec<String>,
    pub fits: Vec<SeriesFit>,
    pub skipped: Vec<SkippedSeries>,
}

/// What is asked of a fit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FitOptions {
    /// The size to hold out; the largest of four sizes or more if absent.
    pub hold_out: Option<usize>,
    /// The size to extrapolate to.
    pub at: Option<usize>,
}

impl FitReport {
    /// Fits all series of a family.
    pub fn new(family: &Family, options: FitOptions) -> Result<Self, ScaleError> {
        let held_out = held_out_size(family, options.hold_out)?;
        let mut fits = Vec::new();
        let mut skipped = Vec::new();
        for series in &family.series {
            if series.points.len() < FEWEST_SIZES {
                let sizes = series.points.iter().map(|point| point.size).collect();
                skipped.push(SkippedSeries { key: series.key.clone(), sizes });
            } else {
                fits.push(SeriesFit::new(series, held_out, options.at));
            }
        }
        Ok(Self {
            plan_name: family.plan_name.clone(),
            mode: family.mode,
            sizes: family.sizes.iter().copied().collect(),
            seeds: family.seeds.iter().copied().collect(),
            held_out,
            notes: family.notes.clone(),
            fits,
            skipped,
        })
    }
}

/// The size to hold out, checked where it was asked for.
fn held_out_size(family: &Family, asked: Option<usize>) -> Result<Option<usize>, ScaleError> {
    let Some(size) = asked else {
        let largest = family.sizes.last().copied();
        return Ok(largest.filter(|_| family.sizes.len() >= FEWEST_FOR_HOLD_OUT));
    };
    let refused = |why| Err(ScaleError::CannotHoldOut { size, why });
    if !family.sizes.contains(&size) {
        return refused("no record has it".into());
    }
    let smaller = family.sizes.range(..size).count();
    if smaller < FEWEST_SIZES {
        return refused(format!("{smaller} sizes are smaller, {FEWEST_SIZES} are needed"));
    }
    Ok(Some(size))
}

impl SeriesFit {
    fn new(series: &Series, held_out: Option<usize>, at: Option<usize>) -> Self {
        let weighted = WeightedPoints::new(&series.points);
        let choice = Choice::new(&weighted);
        Self {
            key: series.key.clone(),
            unit: series.unit,
            points: series.points.clone(),
            chosen: ChosenLaw::new(&choice, &series.points),
            hold_out: held_out.and_then(|size| HoldOut::new(&series.points, size)),
            extrapolation: at.map(|size| Extrapolation::new(&choice, size)),
        }
    }
}

/// The best of all laws, and those that are about as good.
struct Choice<'a> {
    best: LawFit<'a>,
    criterion: Criterion,
    not_excluded: Vec<LawFit<'a>>,
}

impl<'a> Choice<'a> {
    fn new(weighted: &'a WeightedPoints<'a>) -> Self {
        let fits = Law::ALL.map(|law| LawFit::new(law, weighted));
        if weighted.len() >= FEWEST_FOR_AKAIKE { Self::by_akaike(fits) } else { Self::by_leave_one_out(fits) }
    }

    fn by_akaike(fits: [LawFit<'a>; 5]) -> Self {
        let best = simplest(&fits, LawFit::corrected_akaike, |least| least + CONSTANT_AKAIKE);
        let bound = best.corrected_akaike() + EXCLUDED_AKAIKE;
        let not_excluded = others(&fits, &best, |fit| fit.corrected_akaike() <= bound);
        Self { best, criterion: Criterion::CorrectedAkaike, not_excluded }
    }

    fn by_leave_one_out(fits: [LawFit<'a>; 5]) -> Self {
        let best = simplest(&fits, LawFit::leave_one_out, |least| least * EXCLUDED_ERROR);
        let bound = best.leave_one_out() * EXCLUDED_ERROR;
        let not_excluded = others(&fits, &best, |fit| fit.leave_one_out() <= bound);
        Self { best, criterion: Criterion::LeaveOneOut, not_excluded }
    }
}

/// The constant if its error is within a bound that follows from the least error, else the fit of the least error.
fn simplest<'a>(
    fits: &[LawFit<'a>; 5], error: impl Fn(&LawFit<'a>) -> f64, bound: impl Fn(f64) -> f64,
) -> LawFit<'a> {
    let [constant, ..] = fits;
    let best = least(fits, &error);
    if error(constant) <= bound(error(&best)) { constant.clone() } else { best }
}

fn least<'a>(fits: &[LawFit<'a>], error: impl Fn(&LawFit<'a>) -> f64) -> LawFit<'a> {
    let mut best = &fits[0];
    for fit in &fits[1..] {
        if error(fit) < error(best) {
            best = fit;
        }
    }
    best.clone()
}

/// Fits other than the best that meet a bound; none beside a constant, whose rivals grow by chance alone.
fn others<'a>(
    fits: &[LawFit<'a>], best: &LawFit<'a>, meets_bound: impl Fn(&LawFit<'a>) -> bool,
) -> Vec<LawFit<'a>> {
    if best.law == Law::Constant {
        return Vec::new();
    }
    fits.iter().filter(|fit| fit.law != best.law && meets_bound(fit)).cloned().collect()
}

impl ChosenLaw {
    fn new(choice: &Choice, points: &[Point]) -> Self {
        let best = &choice.best;
        Self {
            law: best.law,
            criterion: choice.criterion,
            intercept: best.intercept(),
            slope: best.slope(),
            r_squared: best.r_squared(),
            residuals: points.iter().map(|point| Residual::new(point, best)).collect(),
            not_excluded: choice.not_excluded.iter().map(|fit| fit.law).collect(),
            cautions: cautions(choice, points),
        }
    }
}

fn cautions(choice: &Choice, points: &[Point]) -> Vec<Caution> {
    let smallest = points.first().map_or(1, |point| point.size);
    let largest = points.last().map_or(1, |point| point.size);
    let mut cautions = Vec::new();
    if choice.criterion == Criterion::LeaveOneOut {
        cautions.push(Caution::FewSizes);
    }
    if largest < smallest * NARROW_RANGE {
        cautions.push(Caution::NarrowRange);
    }
    if !choice.not_excluded.is_empty() {
        cautions.push(Caution::SeveralLaws);
    }
    cautions
}

impl Residual {
    fn new(point: &Point, fit: &LawFit) -> Self {
        let residual = point.value - fit.at(point.size);
        Self { size: point.size, residual, relative: share(residual, point.value) }
    }
}

fn share(difference: f64, value: f64) -> Option<f64> {
    (value != 0.0).then(|| difference / value)
}

impl HoldOut {
    /// Predicts a size from the smaller ones; none if the series does not have it or too few smaller ones.
    fn new(points: &[Point], size: usize) -> Option<Self> {
        let place = points.iter().position(|point| point.size == size)?;
        let smaller = &points[..place];
        if smaller.len() < FEWEST_SIZES {
            return None;
        }
        let weighted = WeightedPoints::new(smaller);
        let choice = Choice::new(&weighted);
        let predicted = choice.best.predict(size);
        let measured = points[place].value;
        Some(Self {
            size,
            law: choice.best.law,
            predicted,
            measured,
            relative_error: share(predicted.value - measured, measured),
            within_interval: predicted.contains(measured),
        })
    }
}

impl Extrapolation {
    fn new(choice: &Choice, size: usize) -> Self {
        let by_law = choice.best.predict(size);
        let mut by_all_laws = by_law;
        for other in &choice.not_excluded {
            let by_other = other.predict(size);
            by_all_laws.low = by_all_laws.low.min(by_other.low);
            by_all_laws.high = by_all_laws.high.max(by_other.high);
        }
        Self { size, by_law, by_all_laws }
    }
}
