//! One growth law fitted to the points of a series by weighted least squares.
//!
//! The errors of a cost grow with the cost: each point weighs the inverse square of its value, so that all sizes count
//! by their relative error. A zero weighs as much as the smallest other value.

use std::fmt;

use serde::Serialize;

use crate::family::Point;

/// Relative error of a point that is taken for rounding.
const ROUNDING: f64 = 1e-9;

/// The 97.5th percentile of Student's t distribution, by degrees of freedom from 1 on.
const STUDENT_T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// How a cost grows with the size N of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Law {
    Constant,
    /// log N.
    Logarithmic,
    /// N.
    Linear,
    /// N log N.
    Linearithmic,
    /// N squared.
    Quadratic,
}

impl Law {
    /// All laws, the slowest first.
    pub const ALL: [Self; 5] =
        [Self::Constant, Self::Logarithmic, Self::Linear, Self::Linearithmic, Self::Quadratic];

    /// The term that the slope multiplies; logarithms are of base 2.
    pub fn term(self, size: usize) -> f64 {
        let size = size as f64;
        match self {
            Self::Constant => 0.0,
            Self::Logarithmic => size.log2(),
            Self::Linear => size,
            Self::Linearithmic => size * size.log2(),
            Self::Quadratic => size * size,
        }
    }

    /// The law as reports write it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Constant => "constant",
            Self::Logarithmic => "log N",
            Self::Linear => "N",
            Self::Linearithmic => "N log N",
            Self::Quadratic => "N^2",
        }
    }

    /// Coefficients of the law: the intercept, and the slope if it has one.
    pub fn coefficients(self) -> usize {
        if self == Self::Constant { 1 } else { 2 }
    }
}

impl fmt::Display for Law {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A value with its 95% interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    pub value: f64,
    pub low: f64,
    pub high: f64,
}

impl Estimate {
    fn around(value: f64, half_width: f64) -> Self {
        Self { value, low: value - half_width, high: value + half_width }
    }

    /// The interval has this value.
    pub fn contains(&self, value: f64) -> bool {
        (self.low..=self.high).contains(&value)
    }
}

/// Points with their weights.
#[derive(Clone, Debug)]
pub struct WeightedPoints<'a> {
    points: &'a [Point],
    weights: Vec<f64>,
    /// The smallest value that is not zero.
    smallest: f64,
}

impl<'a> WeightedPoints<'a> {
    pub fn new(points: &'a [Point]) -> Self {
        let values = points.iter().map(|point| point.value.abs()).filter(|value| *value > 0.0);
        let smallest = values.reduce(f64::min).unwrap_or(1.0);
        let weights = points.iter().map(|point| point.value.abs().max(smallest).powi(-2)).collect();
        Self { points, weights, smallest }
    }

    /// How many points there are.
    pub fn len(&self) -> usize {
        self.points.len()
    }

    /// There is no point.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Points with their weights, except the one at a place.
    fn except(&self, left_out: Option<usize>) -> impl Iterator<Item = (&Point, f64)> {
        let weighted = self.points.iter().zip(self.weights.iter().copied()).enumerate();
        weighted.filter(move |(place, _)| Some(*place) != left_out).map(|(_, weighted)| weighted)
    }

    fn all(&self) -> impl Iterator<Item = (&Point, f64)> {
        self.except(None)
    }

    /// Relative squared errors that rounding alone may leave.
    fn rounding(&self) -> f64 {
        self.points.len() as f64 * ROUNDING * ROUNDING
    }
}

/// A law fitted to points.
#[derive(Clone, Debug)]
pub struct LawFit<'a> {
    pub law: Law,
    weighted: &'a WeightedPoints<'a>,
    line: Line,
    /// Weighted sum of squared residuals.
    residual_squares: f64,
}

/// A weighted least-squares line over the term of a law.
#[derive(Clone, Copy, Debug)]
struct Line {
    intercept: f64,
    slope: f64,
    weight: f64,
    mean_term: f64,
    /// Weighted squares of the terms about their mean.
    term_squares: f64,
}

impl Line {
    fn fit<'p>(law: Law, points: impl Iterator<Item = (&'p Point, f64)> + Clone) -> Self {
        let weight: f64 = points.clone().map(|(_, weight)| weight).sum();
        let mean = |value: &dyn Fn(&Point) -> f64| -> f64 {
            points.clone().map(|(point, weight)| weight * value(point)).sum::<f64>() / weight
        };
        let mean_term = mean(&|point| law.term(point.size));
        let mean_value = mean(&|point| point.value);
        let term_squares = weight * mean(&|point| (law.term(point.size) - mean_term).powi(2));
        let products =
            weight * mean(&|point| (law.term(point.size) - mean_term) * (point.value - mean_value));
        let slope = if law == Law::Constant { 0.0 } else { products / term_squares };
        Self { intercept: mean_value - slope * mean_term, slope, weight, mean_term, term_squares }
    }

    fn at(&self, term: f64) -> f64 {
        self.intercept + self.slope * term
    }

    /// The variance of the line at a term, in residual variances.
    fn variance(&self, law: Law, term: f64) -> f64 {
        let of_mean = 1.0 / self.weight;
        let of_slope = (term - self.mean_term).powi(2) / self.term_squares;
        if law == Law::Constant { of_mean } else { of_mean + of_slope }
    }
}

impl<'a> LawFit<'a> {
    /// Fits a law to at least three points of different sizes.
    pub fn new(law: Law, weighted: &'a WeightedPoints<'a>) -> Self {
        let points: Vec<(&Point, f64)> = weighted.all().collect();
        let line = Line::fit(law, points.iter().copied());
        let square =
            |(point, weight): &(&Point, f64)| weight * (point.value - line.at(law.term(point.size))).powi(2);
        let residual_squares = points.iter().map(square).sum();
        Self { law, weighted, line, residual_squares }
    }

    fn degrees_of_freedom(&self) -> usize {
        self.weighted.points.len() - self.law.coefficients()
    }

    /// Half of a 95% interval, from a variance in residual variances.
    fn half_width(&self, variance: f64) -> f64 {
        let degrees = self.degrees_of_freedom();
        let residual_variance = self.residual_squares / degrees as f64;
        student_t(degrees) * (residual_variance * variance).sqrt()
    }

    pub fn intercept(&self) -> Estimate {
        let half_width = self.half_width(self.line.variance(self.law, 0.0));
        Estimate::around(self.line.intercept, half_width)
    }

    /// The slope; a constant has none.
    pub fn slope(&self) -> Option<Estimate> {
        let half_width = self.half_width(1.0 / self.line.term_squares);
        (self.law != Law::Constant).then(|| Estimate::around(self.line.slope, half_width))
    }

    /// The value at a size.
    pub fn at(&self, size: usize) -> f64 {
        self.line.at(self.law.term(size))
    }

    /// The value that a run of a size would measure, with the error of the law and of a measurement.
    pub fn predict(&self, size: usize) -> Estimate {
        let term = self.law.term(size);
        let value = self.line.at(term);
        let of_measurement = value.abs().max(self.weighted.smallest).powi(2);
        Estimate::around(value, self.half_width(self.line.variance(self.law, term) + of_measurement))
    }

    /// The share of the weighted variance that the law explains.
    pub fn r_squared(&self) -> f64 {
        if self.law == Law::Constant {
            return 0.0;
        }
        let constant = Self::new(Law::Constant, self.weighted).residual_squares;
        if constant > 0.0 { 1.0 - self.residual_squares / constant } else { 0.0 }
    }

    /// Akaike's information criterion, corrected for few points; infinite where there are too few for it.
    pub fn corrected_akaike(&self) -> f64 {
        let points = self.weighted.points.len() as f64;
        let parameters = self.law.coefficients() as f64 + 1.0;
        let spare = points - parameters - 1.0;
        if spare <= 0.0 {
            return f64::INFINITY;
        }
        let squares = self.residual_squares.max(self.weighted.rounding());
        let correction = 2.0 * parameters * (parameters + 1.0) / spare;
        points * (squares / points).ln() + 2.0 * parameters + correction
    }

    /// Weighted squared error of each point as predicted by the others, summed.
    pub fn leave_one_out(&self) -> f64 {
        let points = self.weighted.points;
        let error = |place: usize| {
            let others: Vec<(&Point, f64)> = self.weighted.except(Some(place)).collect();
            let predicted = Line::fit(self.law, others.into_iter()).at(self.law.term(points[place].size));
            self.weighted.weights[place] * (points[place].value - predicted).powi(2)
        };
        let errors: f64 = (0..points.len()).map(error).sum();
        errors.max(self.weighted.rounding())
    }
}

fn student_t(degrees_of_freedom: usize) -> f64 {
    let last = STUDENT_T.len() - 1;
    STUDENT_T[degrees_of_freedom.saturating_sub(1).min(last)]
}
