//! Where a record comes from: the commit of the working directory and the machine.

use std::fs;
use std::process::{Command, Stdio};

use crate::record::{Commit, Machine};

/// A file of this project; a commit that does not have it is another project's.
const FILE_OF_PROJECT: &str = "HEAD:crates/scale/Cargo.toml";
const UNKNOWN: &str = "unknown";

impl Commit {
    /// The commit that the working directory has checked out, "unknown" outside a checkout of this project.
    pub fn here() -> Self {
        let found = git(&["cat-file", "-e", FILE_OF_PROJECT]).and_then(|_| git(&["rev-parse", "HEAD"]));
        match found {
            Some(hash) => Self {
                hash,
                dirty: git(&["status", "--porcelain"]).is_none_or(|changes| !changes.is_empty()),
            },
            None => Self { hash: UNKNOWN.into(), dirty: false },
        }
    }
}

/// What git prints; none if it fails or is not there.
fn git(arguments: &[&str]) -> Option<String> {
    let mut command = Command::new("git");
    command.args(arguments).env("GIT_OPTIONAL_LOCKS", "0").stdin(Stdio::null()).stderr(Stdio::null());
    let output = command.output().ok().filter(|output| output.status.success())?;
    String::from_utf8(output.stdout).ok().map(|text| text.trim().to_string())
}

impl Machine {
    /// The machine that this process runs on.
    pub fn here() -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let memory_bytes = fs::read_to_string("/proc/meminfo").ok().and_then(|text| total_memory(&text));
        Self { cores, memory_bytes }
    }
}

/// The total of a text as `/proc/meminfo` has it, in bytes.
fn total_memory(meminfo: &str) -> Option<u64> {
    let line = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kibibytes.checked_mul(1024)
}
