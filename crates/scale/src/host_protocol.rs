//! What a socket run and its host processes say to each other, one JSON message a line.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

use crate::measure::{MeasuredTime, MemberTraffic};

/// A time of the machine's monotonic clock, which all processes share.
pub fn monotonic() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The first message to a host: which members it has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostSetup {
    /// Members of the fleet.
    pub size: usize,
    /// Members of this host, by place.
    pub members: Vec<usize>,
    pub seed: u64,
    /// Calls a second of each member.
    pub call_rate: f64,
    pub time: MeasuredTime,
}

/// Its answer: where its members listen, in their order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostAddresses {
    pub addresses: Vec<SocketAddr>,
}

/// Later messages to a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostOrder {
    /// All members start; the time of the run counts from `begins`.
    Start { addresses: Vec<SocketAddr>, begins: Duration },
    /// A configuration change of this number is ordered at a member.
    Change { number: usize, member: usize },
    /// Machines are gone, without a word.
    Leave { members: Vec<usize> },
    /// They are back, as new processes.
    Return { members: Vec<usize> },
    /// The host tells what it measured, and ends.
    Finish,
}

/// Something that a host saw, at a time of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    pub at: Duration,
    pub member: usize,
    pub what: Sighted,
}

/// What a host saw of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sighted {
    /// A change is in force there.
    InForce { number: usize },
    /// It holds another member dead.
    HeldDead { member: usize },
}

/// The last message of a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostReport {
    /// In the order of its members.
    pub traffic: Vec<MemberTraffic>,
    pub sightings: Vec<Sighting>,
    /// Processor time of the process in the measured time.
    pub processor: Duration,
    /// Links of all its members.
    pub links: usize,
    pub descriptors: usize,
    /// Resident memory at the end of the measured time, less what it was before the members started.
    pub resident_bytes: u64,
}
