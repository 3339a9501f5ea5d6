//! Reads generations of tables from their folder, and takes apart those that nobody needs: both may take long, so a
//! thread of its own does it.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use lotussaddle_numbers::{Known, Loaded, Tables};
use lotussaddle_sheet::Sheet;

/// Bytes of a list of prefixes, at most.
pub const MAX_LINES: u64 = 256 * 1024 * 1024;
/// Generations that wait to be read; beyond it an order to read one is answered with a no.
const QUEUE: usize = 16;

pub type Read = (String, Result<Arc<Tables>, String>);

enum Task {
    Load(String, Vec<Arc<Tables>>),
    LetGo(Vec<Arc<Tables>>),
}

pub struct Loader {
    tasks: Sender<Task>,
    /// What could not be handed over yet.
    rest: Vec<Arc<Tables>>,
}

impl Loader {
    pub fn begin(folder: PathBuf, known: Known) -> std::io::Result<(Self, Receiver<Read>)> {
        let (tasks, to_do) = bounded(QUEUE);
        let (read, done) = unbounded(); // As many as were asked for.
        let work = move || {
            for task in to_do {
                match task {
                    Task::Load(name, bases) => {
                        let found = read_generation(&folder, &name, &known, &bases);
                        // Bases may be the last of their generation.
                        drop(bases);
                        if read.send((name, found)).is_err() {
                            return;
                        }
                    }
                    Task::LetGo(tables) => drop(tables),
                }
            }
        };
        thread::Builder::new().name("tables".into()).stack_size(2 * 1024 * 1024).spawn(work)?;
        Ok((Self { tasks, rest: Vec::new() }, done))
    }

    pub fn load(&self, name: &str, bases: Vec<Arc<Tables>>) -> bool {
        self.tasks.try_send(Task::Load(name.into(), bases)).is_ok()
    }

    /// Where the queue is full they are kept for the next time: taking them apart here would hold up the caller.
    pub fn let_go(&mut self, tables: Vec<Arc<Tables>>) {
        self.rest.extend(tables);
        if let Err(full) = self.tasks.try_send(Task::LetGo(std::mem::take(&mut self.rest)))
            && let Task::LetGo(tables) = full.into_inner()
        {
            self.rest = tables;
        }
    }
}

/// Changes of changes that are read one upon the other, at most.
const DEEPEST: usize = 16;

/// Reads NAME.kdl of a folder and all that it names; an error has all mistakes. What it changes is one of the bases, or
/// is read first.
pub fn read_generation(
    folder: &Path, name: &str, known: &Known, bases: &[Arc<Tables>],
) -> Result<Arc<Tables>, String> {
    read_upon(folder, name, known, bases, DEEPEST)
}

fn read_upon(
    folder: &Path, name: &str, known: &Known, bases: &[Arc<Tables>], deep: usize,
) -> Result<Arc<Tables>, String> {
    // A name comes over the wire: it stays in the folder.
    let plain = |name: &str| {
        !name.is_empty()
            && !name.starts_with('.')
            && name.chars().all(|c| c.is_alphanumeric() || "-_.".contains(c))
    };
    if !plain(name) {
        return Err(format!("{name:?} is no name of a generation"));
    }
    let sheet = Sheet::load(&folder.join(format!("{name}.kdl"))).map_err(|mistakes| mistakes.to_string())?;
    let of = {
        let root = sheet.root();
        root.peek("of")
    };
    let mut bases = bases.to_vec();
    if let Some(of) = of.filter(|of| !bases.iter().any(|tables| tables.name == *of)) {
        if deep == 0 {
            return Err(format!("{name}: over {DEEPEST} changes one upon the other"));
        }
        bases.push(read_upon(folder, &of, known, &bases, deep - 1)?);
    }
    let base = |of: &str| bases.iter().find(|tables| tables.name == of).cloned();
    let lines = |file: &str| {
        if !plain(file) {
            return Err(format!("{file:?} is no file of the folder"));
        }
        let path = folder.join(file);
        let unread = |error| format!("{file}: cannot be read: {error}");
        let size = std::fs::metadata(&path).map_err(unread)?.len();
        if size > MAX_LINES {
            return Err(format!("{file}: {size} bytes, over the {MAX_LINES} allowed"));
        }
        std::fs::read_to_string(&path).map_err(unread)
    };
    let loaded = Loaded::read(&sheet.root(), name, known, &lines, &base);
    sheet.finish().map_err(|mistakes| mistakes.to_string())?;
    Tables::of(loaded, &base).map(Arc::new).ok_or_else(|| "what it changes is gone".into())
}
