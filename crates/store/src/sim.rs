//! Simulated disk with faults that a seed reproduces.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::disk::Disk;

/// Faults to inject. Steps count all modifying operations.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Power fails before this step, or in the middle of it if it is a write.
    pub power_at: Option<u64>,
    /// These steps fail; a write that fails leaves part of itself.
    pub fail_at: BTreeSet<u64>,
    /// Capacity of the disk in bytes; unlimited if `None`.
    pub room: Option<u64>,
}

#[derive(Clone, Default)]
struct File {
    current: Vec<u8>,
    /// Contents as of the last sync, which survive a power failure.
    synced: Vec<u8>,
}

/// Files in memory. After a power failure every operation fails until `restart`.
#[derive(Clone)]
pub struct SimDisk {
    files: BTreeMap<String, File>,
    /// Synced folder entries and the file that each referred to.
    names: BTreeMap<String, File>,
    pub faults: Faults,
    pub steps: u64,
    rng: Pcg64Mcg,
    power_is_out: bool,
    locked: bool,
    /// Whether a sync of the folder has an effect; `false` shows the consequences of omitting it.
    pub syncs_names: bool,
}

fn broken(what: &str) -> io::Error {
    io::Error::other(what.to_string())
}

impl SimDisk {
    pub fn new(seed: u64) -> Self {
        Self {
            files: BTreeMap::new(),
            names: BTreeMap::new(),
            faults: Faults::default(),
            steps: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            power_is_out: false,
            locked: false,
            syncs_names: true,
        }
    }

    /// Simulates a process restart; written data survives.
    pub fn restart(&mut self) {
        (self.power_is_out, self.locked) = (false, false);
        self.faults = Faults::default();
        self.steps = 0;
    }

    /// Simulates a power failure and a restart. Unsynced data survives in part and in no order; each unsynced folder
    /// entry independently has its old or new state.
    pub fn lose_power(&mut self) {
        let rng = &mut self.rng;
        let mut after = BTreeMap::new();
        let all: BTreeSet<String> = self.files.keys().chain(self.names.keys()).cloned().collect();
        for name in all {
            let (current, durable) = (self.files.get(&name), self.names.get(&name));
            let surviving = match (current, durable) {
                (Some(current), Some(_)) => Some(current.clone()),
                (Some(current), None) => rng.random::<bool>().then(|| current.clone()),
                (None, Some(durable)) => rng.random::<bool>().then(|| durable.clone()),
                (None, None) => None,
            };
            if let Some(file) = surviving {
                let contents = Self::torn(&file, rng);
                after.insert(name, File { current: contents.clone(), synced: contents });
            }
        }
        self.names = after.clone();
        self.files = after;
        self.restart();
    }

    /// Contents after a power failure, with part of the data written since the last sync.
    fn torn(file: &File, rng: &mut Pcg64Mcg) -> Vec<u8> {
        let common = file.current.iter().zip(&file.synced).take_while(|(a, b)| a == b).count();
        if common == file.current.len() && common == file.synced.len() {
            return file.current.clone();
        }
        match rng.random_range(0..4) {
            0 => file.synced.clone(),
            1 => file.current.clone(),
            2 => {
                // The file was truncated at a random byte.
                let end = rng.random_range(common..=file.current.len());
                file.current[..end].to_vec()
            }
            _ => {
                // The length survived and some pages did not.
                let mut contents = file.current.clone();
                let page = rng.random_range(1..64usize);
                let mut at = common;
                while at < contents.len() {
                    let end = (at + page).min(contents.len());
                    if rng.random::<bool>() {
                        contents[at..end].fill(0);
                    }
                    at = end;
                }
                contents
            }
        }
    }

    /// Counts a modifying operation; returns whether a fault makes it fail.
    fn step(&mut self) -> io::Result<bool> {
        if self.power_is_out {
            return Err(broken("power is out"));
        }
        self.steps += 1;
        if self.faults.power_at.is_some_and(|at| self.steps > at) {
            self.power_is_out = true;
            return Err(broken("power is out"));
        }
        Ok(self.faults.fail_at.contains(&self.steps))
    }

    /// Whether power has failed.
    pub fn is_out(&self) -> bool {
        self.power_is_out
    }

    /// Current contents of a file.
    pub fn contents(&self, name: &str) -> Option<&[u8]> {
        self.files.get(name).map(|file| file.current.as_slice())
    }

    /// Replaces the contents of a file, also after a power failure.
    pub fn spoil(&mut self, name: &str, contents: Vec<u8>) {
        let file = File { current: contents.clone(), synced: contents };
        self.files.insert(name.into(), file.clone());
        self.names.insert(name.into(), file);
    }

    /// Names of all files.
    pub fn all_names(&self) -> Vec<String> {
        self.files.keys().cloned().collect()
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.power_is_out {
            return Err(broken("power is out"));
        }
        self.files.get_mut(name).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl Disk for SimDisk {
    fn lock(&mut self) -> io::Result<()> {
        if std::mem::replace(&mut self.locked, true) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        Ok(())
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        if self.power_is_out {
            return Err(broken("power is out"));
        }
        Ok(self.all_names())
    }

    fn len(&mut self, name: &str) -> io::Result<u64> {
        Ok(self.file(name)?.current.len() as u64)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        if self.step()? {
            return Err(broken("it failed"));
        }
        if self.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        self.files.insert(name.into(), File::default());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let used: u64 = self.files.values().map(|file| file.current.len() as u64).sum();
        let room = self.faults.room.map_or(u64::MAX, |room| room.saturating_sub(used));
        let power_was_out = self.power_is_out;
        let (fails, loses_power) = match self.step() {
            Ok(fails) => (fails, false),
            Err(error) if power_was_out => return Err(error),
            Err(_) => (true, true),
        };
        let written = if fails { self.rng.random_range(0..=bytes.len()) } else { bytes.len() };
        let written = written.min(room.min(bytes.len() as u64) as usize);
        let file = self.files.get_mut(name).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        file.current.extend_from_slice(&bytes[..written]);
        if loses_power {
            return Err(broken("power is out"));
        }
        if fails {
            return Err(broken("it failed"));
        }
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn read(&mut self, name: &str, at: u64, buffer: &mut [u8]) -> io::Result<()> {
        let file = self.file(name)?;
        let end = (at as usize).checked_add(buffer.len()).filter(|end| *end <= file.current.len());
        let end = end.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        buffer.copy_from_slice(&file.current[at as usize..end]);
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        if self.step()? {
            return Err(broken("it failed"));
        }
        self.file(name)?.current.truncate(len as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.step()? {
            return Err(broken("it failed"));
        }
        let file = self.file(name)?;
        file.synced = file.current.clone();
        let file = file.clone();
        // A synced folder entry refers to this file's new contents.
        if let Some(known) = self.names.get_mut(name) {
            *known = file;
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        if self.step()? {
            return Err(broken("it failed"));
        }
        if self.syncs_names {
            self.names = self.files.clone();
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.step()? {
            return Err(broken("it failed"));
        }
        let file = self.files.remove(from).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        self.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.step()? {
            return Err(broken("it failed"));
        }
        self.files.remove(name).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}
