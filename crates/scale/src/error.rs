//! What can go wrong with a scale run, a record or a fit.

use std::path::PathBuf;

use lotussaddle_sheet::Mistakes;

use crate::plan::Mode;

/// An error of a scale run, a record or a fit. All of them are bad input or a failing machine.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The plan has mistakes; each carries its line and column.
    #[error(transparent)]
    Plan(#[from] Mistakes),
    /// No runner is built for the mode of the plan.
    #[error("this build has no runner for mode {0}")]
    NoRunner(Mode),
    /// A run passed a bound of its plan and was ended.
    #[error("size {size}: {what}: {found}, the bound is {bound}")]
    PastBound { size: usize, what: String, found: String, bound: String },
    /// A run could not go on.
    #[error("size {size}: {why}")]
    RunFailed { size: usize, why: String },
    /// A record could not be written; no file is left behind.
    #[error("{}: the record was not written: {source}", path.display())]
    RecordNotWritten { path: PathBuf, source: std::io::Error },
    /// A file is not a whole record.
    #[error("{}: not a whole record: {why}", path.display())]
    BadRecord { path: PathBuf, why: String },
    /// A file or directory could not be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
}
