//! What can go wrong with a scale run, a record or a fit.

use std::path::PathBuf;

use lotussaddle_sheet::Mistakes;

use crate::chain::MAX_HOPS;
use crate::family::FEWEST_SIZES;
use crate::limits::Refusal;

/// An error of a scale run, a record, a fit or a chain.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The plan has mistakes; each carries its line and column.
    #[error(transparent)]
    Plan(#[from] Mistakes),
    /// The plan needs more than its bounds allow; nothing was started.
    #[error("{}", lines(.0))]
    Refused(Vec<Refusal>),
    /// A run passed a bound of its plan and was ended.
    #[error("size {size}: {what}: {found}, the bound is {bound}")]
    PastBound { size: usize, what: String, found: String, bound: String },
    /// A run could not go on.
    #[error("size {size}: {why}")]
    RunFailed { size: usize, why: String },
    /// The directory of the records could not be made.
    #[error("{}: the directory cannot be made: {source}", path.display())]
    NoDirectory { path: PathBuf, source: std::io::Error },
    /// A record of this run is already there; nothing was started.
    #[error("{}: there is a record of this run already", path.display())]
    RecordExists { path: PathBuf },
    /// A record could not be written; no file is left behind.
    #[error("{}: the record was not written: {source}", path.display())]
    RecordNotWritten { path: PathBuf, source: std::io::Error },
    /// A file is not a whole record.
    #[error("{}: not a whole record: {why}", path.display())]
    BadRecord { path: PathBuf, why: String },
    /// Records that do not belong together.
    #[error("{}: {what}", path.display())]
    MixedRecords { path: PathBuf, what: String },
    /// A law needs more sizes.
    #[error("a law needs records of {FEWEST_SIZES} sizes at least, found {}: {found:?}", found.len())]
    TooFewSizes { found: Vec<usize> },
    /// A size cannot be held out.
    #[error("size {size} cannot be held out: {why}")]
    CannotHoldOut { size: usize, why: String },
    /// A file is not a histogram of hops.
    #[error("{}: not a histogram of [upper_bound_us, count]: {why}", path.display())]
    BadHistogram { path: PathBuf, why: String },
    /// A chain has no hop, or too many.
    #[error("a chain of {hops} hops: from 1 to {MAX_HOPS} can be worked out")]
    BadHops { hops: u32 },
    /// A file or directory could not be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
}

impl ScaleError {
    /// A run that was begun failed; all other errors are of bad usage or input.
    pub fn is_failed_run(&self) -> bool {
        matches!(self, Self::PastBound { .. } | Self::RunFailed { .. } | Self::RecordNotWritten { .. })
    }
}

fn lines(refusals: &[Refusal]) -> String {
    refusals.iter().map(Refusal::to_string).collect::<Vec<_>>().join("\n")
}
