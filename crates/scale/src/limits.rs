//! What a run will need, estimated before its start, and the refusal of what its bounds do not allow.
//!
//! The costs below are assumptions on the safe side for members with a link to each other member. A runner that
//! knows better figures overrides [`crate::runner::Runner::needs`].

use std::fmt;
use std::time::Duration;

use lotussaddle_membership::MAX_NEIGHBOURS;
use rustix::process::{Resource, getrlimit};

use crate::plan::{Bounds, Bytes, Mode, ScalePlan};
use crate::record::Machine;

/// Hollow members that share a process.
pub const MEMBERS_A_PROCESS: u64 = 64;
/// The command itself, and the stand-ins of core servers and callers beside real processes.
const PROCESSES_BESIDE: u64 = 3;
/// Descriptors of a process before it has a link.
const DESCRIPTORS_BESIDE: u64 = 16;
/// Descriptors of a link, one at each end.
const DESCRIPTORS_A_LINK: u64 = 2;

const KIBIBYTE: u64 = 1024;
/// Memory of a process before it has a member.
const PROCESS_MEMORY: u64 = 16 * 1024 * KIBIBYTE;
/// Memory of a member without its links.
const MEMBER_MEMORY: u64 = 256 * KIBIBYTE;
/// Memory of one end of a link in virtual time: what a member knows of another.
const VIRTUAL_LINK_END_MEMORY: u64 = KIBIBYTE;
/// Memory of one end of a link over a socket: its buffers and the stacks of its threads as well.
const SOCKET_LINK_END_MEMORY: u64 = 48 * KIBIBYTE;

/// Heartbeats of a member to each of its neighbours, a second.
const HEARTBEATS_A_SECOND: f64 = 5.0;
/// Processor seconds of a heartbeat in virtual time, sent and received.
const HEARTBEAT_SECONDS: f64 = 2e-6;
/// Time that a run over sockets takes besides its plan, to start and to end.
const SOCKETS_BESIDE: Duration = Duration::from_secs(10);

/// What a run of one size needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// Links between members.
    pub links: u64,
    pub processes: u64,
    /// Descriptors of all processes.
    pub descriptors: u64,
    /// Descriptors of the process that has most.
    pub descriptors_of_one: u64,
    pub memory: Bytes,
    /// Time on the wall.
    pub time: Duration,
}

impl Needs {
    /// The needs of a fleet in which each member has a link to each other.
    pub fn of_full_mesh(plan: &ScalePlan, size: usize) -> Self {
        let members = size as u64;
        let links = members * members.saturating_sub(1) / 2;
        match plan.mode {
            Mode::Virtual => Self::in_virtual_time(plan, members, links),
            Mode::Sockets => Self::over_sockets(plan, members, links),
        }
    }

    fn in_virtual_time(plan: &ScalePlan, members: u64, links: u64) -> Self {
        let played = (plan.warm_up + plan.duration).as_secs_f64();
        let neighbours = members.saturating_sub(1).min(MAX_NEIGHBOURS as u64);
        let heartbeats = (members * neighbours) as f64 * HEARTBEATS_A_SECOND * played;
        let memory = PROCESS_MEMORY + members * MEMBER_MEMORY + 2 * links * VIRTUAL_LINK_END_MEMORY;
        Self {
            links,
            processes: 1,
            descriptors: DESCRIPTORS_BESIDE,
            descriptors_of_one: DESCRIPTORS_BESIDE,
            memory: Bytes(memory),
            time: Duration::from_secs_f64(heartbeats * HEARTBEAT_SECONDS),
        }
    }

    fn over_sockets(plan: &ScalePlan, members: u64, links: u64) -> Self {
        let real_processes = plan.calls.map_or(0, |calls| calls.processes as u64);
        let processes = members.div_ceil(MEMBERS_A_PROCESS) + real_processes + PROCESSES_BESIDE;
        let link_ends_of_one = members.min(MEMBERS_A_PROCESS) * members.saturating_sub(1);
        let memory =
            processes * PROCESS_MEMORY + members * MEMBER_MEMORY + 2 * links * SOCKET_LINK_END_MEMORY;
        Self {
            links,
            processes,
            descriptors: links * DESCRIPTORS_A_LINK + processes * DESCRIPTORS_BESIDE,
            descriptors_of_one: link_ends_of_one + DESCRIPTORS_BESIDE,
            memory: Bytes(memory),
            time: plan.warm_up + plan.duration + SOCKETS_BESIDE,
        }
    }

    /// What these needs ask for beyond the bounds of a plan and of the system.
    pub fn refusals(&self, size: usize, bounds: &Bounds, system: SystemLimits) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        let mut check = |need: Need, passed: bool| {
            if passed {
                refusals.push(Refusal { size, need });
            }
        };
        check(
            Need::Descriptors { links: self.links, needed: self.descriptors, bound: bounds.descriptors },
            self.descriptors > bounds.descriptors,
        );
        check(
            Need::DescriptorsOfOne { needed: self.descriptors_of_one, bound: system.descriptors_of_one },
            self.descriptors_of_one > system.descriptors_of_one,
        );
        check(
            Need::Processes { needed: self.processes, bound: bounds.processes },
            self.processes > bounds.processes,
        );
        let memory_bound = system.memory.map_or(bounds.memory, |memory| memory.min(bounds.memory));
        check(Need::Memory { needed: self.memory, bound: memory_bound }, self.memory > memory_bound);
        check(Need::Time { needed: self.time, bound: bounds.time }, self.time > bounds.time);
        refusals
    }
}

/// Limits of the system that a plan cannot raise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemLimits {
    /// Descriptors that one process may have open.
    pub descriptors_of_one: u64,
    /// Half of the machine's memory; absent where the system does not tell.
    pub memory: Option<Bytes>,
}

impl SystemLimits {
    /// The limits of this process, which the processes that it starts inherit.
    pub fn here() -> Self {
        Self {
            descriptors_of_one: getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX),
            memory: Machine::here().memory_bytes.map(|total| Bytes(total / 2)),
        }
    }
}

/// One thing that a run of a size needs beyond a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub size: usize,
    pub need: Need,
}

/// What is needed and its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    Descriptors { links: u64, needed: u64, bound: u64 },
    DescriptorsOfOne { needed: u64, bound: u64 },
    Processes { needed: u64, bound: u64 },
    Memory { needed: Bytes, bound: Bytes },
    Time { needed: Duration, bound: Duration },
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "size {} needs ", grouped(self.size as u64))?;
        match self.need {
            Need::Descriptors { links, needed, bound } => write!(
                formatter,
                "{} links between members: {} descriptors, the bound is {}",
                grouped(links),
                grouped(needed),
                grouped(bound)
            ),
            Need::DescriptorsOfOne { needed, bound } => write!(
                formatter,
                "{} descriptors in one process, the system allows {}",
                grouped(needed),
                grouped(bound)
            ),
            Need::Processes { needed, bound } => {
                write!(formatter, "{} processes, the bound is {}", grouped(needed), grouped(bound))
            }
            Need::Memory { needed, bound } => {
                write!(formatter, "{needed} of memory, the bound is {bound}")
            }
            Need::Time { needed, bound } => {
                write!(formatter, "{} s on the wall, the bound is {} s", seconds(needed), seconds(bound))
            }
        }
    }
}

fn seconds(time: Duration) -> String {
    grouped(time.as_secs_f64().ceil() as u64)
}

/// A number with a comma between thousands.
pub fn grouped(number: u64) -> String {
    let digits = number.to_string();
    let mut grouped = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    grouped
}
