//! Records of one plan at several sizes and seeds, as series of values over size.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use crate::error::ScaleError;
use crate::plan::Mode;
use crate::record::{Aggregate, Commit, MessageKind, Quantity, Role, RunRecord, Unit};
use crate::record_file::StoredRecord;

/// Sizes that a law needs, at the fewest.
pub const FEWEST_SIZES: usize = 3;

/// How a series' values were made from the values of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Statistic {
    P50,
    P99,
    Max,
    #[serde(untagged)]
    Aggregate(Aggregate),
}

/// What a series is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SeriesKey {
    pub quantity: Quantity,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<MessageKind>,
    pub statistic: Statistic,
}

/// The values of one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    pub size: usize,
    /// Runs of this size, each with its own seed.
    pub seeds: usize,
    /// The mean over the seeds.
    pub value: f64,
    /// The standard deviation over the seeds; absent if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread: Option<f64>,
}

/// One quantity over the sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    pub key: SeriesKey,
    pub unit: Unit,
    /// Ascending by size.
    pub points: Vec<Point>,
}

/// Records that belong together.
#[derive(Clone, Debug, PartialEq)]
pub struct Family {
    pub plan_name: String,
    pub mode: Mode,
    pub sizes: BTreeSet<usize>,
    pub seeds: BTreeSet<u64>,
    pub series: Vec<Series>,
    /// What a reader of the fit should know: records of different commits, plans or machines.
    pub notes: Vec<String>,
}

impl Family {
    /// Gathers records of one plan. There must be at least three sizes and no seed of a size twice.
    pub fn gather(stored: &[StoredRecord]) -> Result<Self, ScaleError> {
        let first = stored.first().ok_or(ScaleError::TooFewSizes { found: Vec::new() })?;
        for other in stored {
            check_belongs(first, other)?;
        }
        check_distinct(stored)?;
        let sizes: BTreeSet<usize> = stored.iter().map(|stored| stored.record.size).collect();
        if sizes.len() < FEWEST_SIZES {
            return Err(ScaleError::TooFewSizes { found: sizes.into_iter().collect() });
        }
        Ok(Self {
            plan_name: first.record.plan_name.clone(),
            mode: first.record.mode,
            sizes,
            seeds: stored.iter().map(|stored| stored.record.seed).collect(),
            series: gather_series(stored),
            notes: notes(stored),
        })
    }
}

fn check_belongs(first: &StoredRecord, other: &StoredRecord) -> Result<(), ScaleError> {
    let mixed = |what: &str, first_has: String, other_has: String| ScaleError::MixedRecords {
        path: other.path.clone(),
        what: format!("{what} {other_has}, {} has {first_has}", first.path.display()),
    };
    if other.record.mode != first.record.mode {
        return Err(mixed("mode", first.record.mode.to_string(), other.record.mode.to_string()));
    }
    if other.record.plan_name != first.record.plan_name {
        return Err(mixed("plan", first.record.plan_name.clone(), other.record.plan_name.clone()));
    }
    Ok(())
}

fn check_distinct(stored: &[StoredRecord]) -> Result<(), ScaleError> {
    let mut seen = BTreeMap::new();
    for one in stored {
        let run = (one.record.size, one.record.seed);
        if let Some(first) = seen.insert(run, &one.path) {
            return Err(ScaleError::MixedRecords {
                path: one.path.clone(),
                what: format!("size {} with seed {} again, first in {}", run.0, run.1, first.display()),
            });
        }
    }
    Ok(())
}

fn gather_series(stored: &[StoredRecord]) -> Vec<Series> {
    let mut values: BTreeMap<SeriesKey, BTreeMap<usize, Vec<f64>>> = BTreeMap::new();
    for one in stored {
        for (key, value) in values_of(&one.record) {
            values.entry(key).or_default().entry(one.record.size).or_default().push(value);
        }
    }
    let series = values.into_iter().map(|(key, by_size)| Series {
        unit: key.quantity.unit(),
        key,
        points: by_size.into_iter().map(|(size, values)| Point::of_seeds(size, &values)).collect(),
    });
    series.collect()
}

/// All values of a record with what they are of.
pub(crate) fn values_of(record: &RunRecord) -> Vec<(SeriesKey, f64)> {
    let mut values = Vec::new();
    for measurement in &record.observations.measurements {
        let key = SeriesKey {
            quantity: measurement.quantity,
            role: measurement.role,
            kind: measurement.kind.clone(),
            statistic: Statistic::Aggregate(measurement.aggregate),
        };
        values.push((key, measurement.value));
    }
    for distribution in &record.observations.distributions {
        let (quantity, role) = (distribution.quantity, distribution.role);
        let key = |statistic| SeriesKey { quantity, role, kind: None, statistic };
        values.push((key(Statistic::P50), distribution.p50 as f64));
        values.push((key(Statistic::P99), distribution.p99 as f64));
        values.push((key(Statistic::Max), distribution.max as f64));
    }
    values
}

fn notes(stored: &[StoredRecord]) -> Vec<String> {
    let records = || stored.iter().map(|stored| &stored.record);
    let mut notes = Vec::new();
    let texts: BTreeSet<&str> = records().map(|record| record.plan_text.as_str()).collect();
    if texts.len() > 1 {
        notes.push(format!("the records have {} different texts of the plan", texts.len()));
    }
    let commits: BTreeSet<String> = records().map(|record| record.commit.to_string()).collect();
    let commits: Vec<String> = commits.into_iter().collect();
    let plural = if commits.len() > 1 { "s" } else { "" };
    notes.push(format!("commit{plural} {}", commits.join(", ")));
    let machines: BTreeSet<(usize, Option<u64>)> =
        records().map(|record| (record.machine.cores, record.machine.memory_bytes)).collect();
    if machines.len() > 1 {
        notes.push(format!("the records are of {} different machines", machines.len()));
    }
    notes
}

impl Point {
    fn of_seeds(size: usize, values: &[f64]) -> Self {
        let seeds = values.len();
        let value = values.iter().sum::<f64>() / seeds as f64;
        let squares: f64 = values.iter().map(|one| (one - value).powi(2)).sum();
        let spread = (seeds > 1).then(|| (squares / (seeds - 1) as f64).sqrt());
        Self { size, seeds, value, spread }
    }
}

impl fmt::Display for Commit {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let mark = if self.dirty { " (dirty)" } else { "" };
        write!(formatter, "{}{mark}", self.hash)
    }
}

impl Statistic {
    /// The statistic as reports write it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Aggregate(aggregate) => aggregate.name(),
            Self::P50 => "p50",
            Self::P99 => "p99",
            Self::Max => "max",
        }
    }
}

impl fmt::Display for SeriesKey {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} {}", self.quantity, self.statistic.name())?;
        if let Some(role) = self.role {
            write!(formatter, " of {}", role.name())?;
        }
        if let Some(kind) = &self.kind {
            write!(formatter, " in {}", kind.0)?;
        }
        Ok(())
    }
}
