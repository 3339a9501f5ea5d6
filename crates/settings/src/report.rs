//! Load reports: pairs of a name and a figure.

use anyhow::{Context, Result};
use lotussaddle::interface::LoadReport;

use crate::checked_millis;

/// Negative figures stand for what was not told; names that are not known are passed over.
pub fn load_report(text: &str, between: char) -> Result<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(between).filter(|pair| !pair.is_empty() && *pair != "-") {
        let (name, value) = pair.split_once(':').with_context(|| format!("no value in usage {pair}"))?;
        let value: f64 = value.parse().ok().with_context(|| format!("{name}={value} cannot be read"))?;
        let told = Some(value).filter(|v| *v >= 0.0 && v.is_finite());
        match name {
            "spare" => report.free_lines = told,
            "total" => report.total_lines = told,
            "load_share" => report.processor_busy = told,
            "depth" => report.processor_queue = told,
            "mean_ms" => report.processor_wait = told.map(|v| checked_millis(name, v)).transpose()?,
            "allowed" => report.rate = told,
            _ => {}
        }
    }
    Ok(report)
}
