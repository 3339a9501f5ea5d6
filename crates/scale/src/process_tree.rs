//! This process and all that descend from it, as `/proc` tells.

use std::collections::HashMap;
use std::fs;

/// What this process and its descendants use together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessTree {
    pub processes: u64,
    pub resident_bytes: u64,
}

/// One process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Process {
    parent: u32,
    resident_pages: u64,
}

/// Fields of `/proc/PID/stat` after the name of the program, counted from 0.
const PARENT_FIELD: usize = 1;
const RESIDENT_FIELD: usize = 21;

impl ProcessTree {
    /// None where the system has no `/proc`.
    pub fn here() -> Option<Self> {
        let processes = all_processes()?;
        let this = std::process::id();
        let page = rustix::param::page_size() as u64;
        let mut tree = Self::default();
        for (id, process) in &processes {
            if descends_from(&processes, *id, this) {
                tree.processes += 1;
                tree.resident_bytes += process.resident_pages * page;
            }
        }
        Some(tree)
    }
}

fn all_processes() -> Option<HashMap<u32, Process>> {
    let mut processes = HashMap::new();
    for entry in fs::read_dir("/proc").ok()?.flatten() {
        let Some(id) = entry.file_name().to_str().and_then(|name| name.parse().ok()) else { continue };
        // A process may end between the two looks.
        let Ok(stat) = fs::read_to_string(entry.path().join("stat")) else { continue };
        if let Some(process) = parse_stat(&stat) {
            processes.insert(id, process);
        }
    }
    Some(processes)
}

/// The name of a program, in parentheses, may have spaces and parentheses of its own.
fn parse_stat(stat: &str) -> Option<Process> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let parent = fields.get(PARENT_FIELD)?.parse().ok()?;
    let resident_pages = fields.get(RESIDENT_FIELD)?.parse().ok()?;
    Some(Process { parent, resident_pages })
}

fn descends_from(processes: &HashMap<u32, Process>, id: u32, ancestor: u32) -> bool {
    let mut current = id;
    // As many steps as there are processes: what was read one by one may hold a circle.
    for _ in 0..=processes.len() {
        if current == ancestor {
            return true;
        }
        let Some(process) = processes.get(&current) else { return false };
        current = process.parent;
    }
    false
}
