//! Parser for load reports, which are lists of `name:figure` pairs.

use anyhow::{Context, Result};
use lotussaddle::interface::LoadReport;

use crate::checked_millis;

/// Parses a load report whose pairs are separated by `separator`. A negative figure means that the figure was not
/// reported; unknown names are ignored. The error names the pair that cannot be parsed.
pub fn load_report(text: &str, separator: char) -> Result<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(separator).filter(|pair| !pair.is_empty() && *pair != "-") {
        let (name, value) = pair.split_once(':').with_context(|| format!("no value in usage {pair}"))?;
        let value: f64 = value.parse().ok().with_context(|| format!("{name}={value} is not a number"))?;
        let reported = Some(value).filter(|v| *v >= 0.0 && v.is_finite());
        match name {
            "spare" => report.free_lines = reported,
            "total" => report.total_lines = reported,
            "load_share" => report.processor_busy = reported,
            "depth" => report.processor_queue = reported,
            "mean_ms" => report.processor_wait = reported.map(|v| checked_millis(name, v)).transpose()?,
            "allowed" => report.rate = reported,
            _ => {}
        }
    }
    Ok(report)
}
