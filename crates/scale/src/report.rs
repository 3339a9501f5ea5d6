//! The report of a fit as a table for people.

use std::fmt;

use crate::fit::{Caution, ChosenLaw, Criterion, FitReport, HoldOut, SeriesFit};
use crate::law::{Estimate, Law};
use crate::record::Unit;

const HEADER: [&str; 8] = ["quantity", "unit", "law", "intercept", "slope (95%)", "R2", "held out", "at"];
/// Digits of a figure that are told.
const DIGITS: i32 = 4;

impl fmt::Display for FitReport {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        writeln!(formatter, "plan {}, mode {}", self.plan_name, self.mode)?;
        writeln!(formatter, "sizes {}; seeds {}", list(&self.sizes), list(&self.seeds))?;
        for note in &self.notes {
            writeln!(formatter, "{note}")?;
        }
        writeln!(formatter)?;
        write_table(formatter, &self.rows())?;
        for fit in &self.fits {
            write_details(formatter, fit)?;
        }
        for skipped in &self.skipped {
            let sizes = list(&skipped.sizes);
            writeln!(formatter, "{}: no law, measured at {sizes} alone", skipped.key)?;
        }
        write_legend(formatter, self)
    }
}

impl FitReport {
    fn rows(&self) -> Vec<Vec<String>> {
        let header = HEADER.map(String::from).to_vec();
        std::iter::once(header).chain(self.fits.iter().map(row)).collect()
    }
}

fn row(fit: &SeriesFit) -> Vec<String> {
    let chosen = &fit.chosen;
    let extrapolation = fit.extrapolation.map(|found| {
        let Estimate { value, low, high } = found.by_all_laws;
        format!("N={}: {} ({} to {})", found.size, figure(value), figure(low), figure(high))
    });
    vec![
        fit.key.to_string(),
        fit.unit.name().into(),
        law_names(chosen),
        figure(chosen.intercept.value),
        slope(chosen),
        if chosen.law == Law::Constant { "-".into() } else { format!("{:.4}", chosen.r_squared) },
        fit.hold_out.as_ref().map_or("-".into(), hold_out),
        extrapolation.unwrap_or("-".into()),
    ]
}

/// The chosen law, with those that are not excluded.
fn law_names(chosen: &ChosenLaw) -> String {
    if chosen.not_excluded.is_empty() {
        return chosen.law.to_string();
    }
    let others: Vec<&str> = chosen.not_excluded.iter().map(|law| law.name()).collect();
    format!("{} (or {})", chosen.law, others.join(", "))
}

fn slope(chosen: &ChosenLaw) -> String {
    let told = |slope: Estimate| {
        format!("{} ({} to {})", figure(slope.value), figure(slope.low), figure(slope.high))
    };
    chosen.slope.map_or("-".into(), told)
}

fn hold_out(found: &HoldOut) -> String {
    let off = found.relative_error.map_or("-".into(), |error| format!("{:+.1}%", error * 100.0));
    let place = if found.within_interval { "within" } else { "outside" };
    format!("N={} by {}: {off}, {place}", found.size, found.law)
}

fn write_details(formatter: &mut fmt::Formatter, fit: &SeriesFit) -> fmt::Result {
    writeln!(formatter)?;
    writeln!(formatter, "{}", fit.key)?;
    for (point, residual) in fit.points.iter().zip(&fit.chosen.residuals) {
        let relative = residual.relative.map_or("-".into(), |share| format!("{:+.2}%", share * 100.0));
        let spread = point.spread.map_or(String::new(), |spread| format!(", spread {}", figure(spread)));
        let value = figure(point.value);
        writeln!(
            formatter,
            "  N={}: {value} over {} seeds{spread}, residual {} ({relative})",
            point.size,
            point.seeds,
            figure(residual.residual)
        )?;
    }
    for caution in &fit.chosen.cautions {
        writeln!(formatter, "  caution: {}", caution.text())?;
    }
    Ok(())
}

fn write_legend(formatter: &mut fmt::Formatter, report: &FitReport) -> fmt::Result {
    writeln!(formatter)?;
    let criteria: Vec<Criterion> = report.fits.iter().map(|fit| fit.chosen.criterion).collect();
    for criterion in [Criterion::CorrectedAkaike, Criterion::LeaveOneOut] {
        if criteria.contains(&criterion) {
            writeln!(formatter, "laws chosen by {}", criterion.text())?;
        }
    }
    writeln!(formatter, "least squares weighted by relative error, with intercept; log is of base 2")?;
    writeln!(formatter, "intervals are of 95%; at N they cover all laws that are not excluded")
}

impl Criterion {
    /// The criterion in words.
    pub fn text(self) -> &'static str {
        match self {
            Self::CorrectedAkaike => "the corrected Akaike criterion (five sizes or more)",
            Self::LeaveOneOut => "the leave-one-out error (three or four sizes)",
        }
    }
}

impl Caution {
    /// The caution in words.
    pub fn text(self) -> &'static str {
        match self {
            Self::FewSizes => "fewer than five sizes",
            Self::NarrowRange => "the largest size is less than eight times the smallest",
            Self::SeveralLaws => "several laws fit about as well",
        }
    }
}

impl Unit {
    /// The unit as reports write it.
    pub fn name(self) -> &'static str {
        match self {
            Self::BytesPerSecond => "B/s",
            Self::FramesPerSecond => "frames/s",
            Self::Cores => "cores",
            Self::Bytes => "B",
            Self::Count => "count",
            Self::Microseconds => "us",
        }
    }
}

fn list<T: ToString>(values: &[T]) -> String {
    values.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

/// A figure with four digits.
fn figure(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let magnitude = value.abs().log10().floor() as i32;
    match magnitude {
        -4..=6 => format!("{value:.*}", (DIGITS - 1 - magnitude).max(0) as usize),
        _ => format!("{value:.*e}", (DIGITS - 1) as usize),
    }
}

/// Writes rows with their columns aligned.
fn write_table(formatter: &mut fmt::Formatter, rows: &[Vec<String>]) -> fmt::Result {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..HEADER.len()).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        writeln!(formatter, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
    }
    Ok(())
}
