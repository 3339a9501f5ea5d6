//! What a run will need, estimated before its start, and the refusal of what its bounds do not allow.

use std::time::Duration;

use crate::plan::{Bytes, ScalePlan};

/// What a run of one size needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// Links between members.
    pub links: u64,
    pub processes: u64,
    pub descriptors: u64,
    pub memory: Bytes,
    /// Time on the wall.
    pub time: Duration,
}

impl Needs {
    /// The needs of a fleet in which each member has a link to each other.
    pub fn of_full_mesh(plan: &ScalePlan, size: usize) -> Self {
        let members = size as u64;
        let links = members * (members - 1) / 2;
        Self { links, processes: 1, descriptors: 0, memory: Bytes(0), time: plan.warm_up + plan.duration }
    }
}
