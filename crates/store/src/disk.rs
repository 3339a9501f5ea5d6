//! File system operations that the store uses.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// One folder of files, named without a path. A completed write may be lost in a power failure; `sync` makes a file's
/// contents durable, `sync_names` the folder's entries.
pub trait Disk {
    /// Excludes a second opener for the lifetime of this value.
    fn lock(&mut self) -> io::Result<()>;
    fn names(&mut self) -> io::Result<Vec<String>>;
    fn len(&mut self, name: &str) -> io::Result<u64>;
    /// Creates an empty file; fails if it exists.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Adds to the end of a file. After an error any part of it may have been added.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Fills the buffer from offset `at`.
    fn read(&mut self, name: &str, at: u64, buffer: &mut [u8]) -> io::Result<()>;
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn sync_names(&mut self) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of the file system.
pub struct RealDisk {
    folder: PathBuf,
    files: HashMap<String, File>,
    lock: Option<File>,
    read_only: bool,
}

const LOCK: &str = "lock";

impl RealDisk {
    /// Opens the folder, creating it if it is missing.
    pub fn open(folder: impl Into<PathBuf>) -> io::Result<Self> {
        let folder = folder.into();
        std::fs::create_dir_all(&folder)?;
        // The folder's own entry is durable only once its parent is synced.
        if let Some(parent) = folder.parent().filter(|p| !p.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { folder, files: HashMap::new(), lock: None, read_only: false })
    }

    /// Opens the folder for inspection; nothing is created or changed.
    pub fn read_only(folder: impl Into<PathBuf>) -> Self {
        Self { folder: folder.into(), files: HashMap::new(), lock: None, read_only: true }
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        if !self.files.contains_key(name) {
            let file = OpenOptions::new().read(true).append(!self.read_only).open(self.folder.join(name))?;
            self.files.insert(name.into(), file);
        }
        Ok(&self.files[name])
    }
}

impl Disk for RealDisk {
    fn lock(&mut self) -> io::Result<()> {
        let path = self.folder.join(LOCK);
        let file = if self.read_only {
            File::open(&path)?
        } else {
            OpenOptions::new().create(true).append(true).open(&path)?
        };
        rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive)?;
        self.lock = Some(file);
        Ok(())
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            if let Ok(name) = entry?.file_name().into_string()
                && name != LOCK
            {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn len(&mut self, name: &str) -> io::Result<u64> {
        Ok(std::fs::metadata(self.folder.join(name))?.len())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.folder.join(name);
        let file = OpenOptions::new().read(true).append(true).create_new(true).open(path)?;
        self.files.insert(name.into(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        io::Write::write_all(&mut self.file(name)?, bytes)
    }

    fn read(&mut self, name: &str, at: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.file(name)?.read_exact_at(buffer, at)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.file(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.files.remove(to);
        std::fs::rename(self.folder.join(from), self.folder.join(to))?;
        if let Some(file) = self.files.remove(from) {
            self.files.insert(to.into(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        std::fs::remove_file(self.folder.join(name))
    }
}
