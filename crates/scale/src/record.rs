//! Records: what one run of one size measured, and by what it was made.

use std::collections::BTreeSet;
use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::plan::Mode;

/// The format of a record; raised when a reader of the old one would misread the new one.
pub const RECORD_FORMAT: u32 = 1;

/// Part of the fleet whose cost is measured apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A member beside a core server.
    EdgeProxy,
    /// The member or control machine that leads at the time.
    Leader,
    /// One whose vote counts towards a quorum.
    Voter,
    /// A machine set aside for control.
    ControlMachine,
}

/// A kind of message, by its name on the wire.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MessageKind(pub String);

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Bytes a member sends for control.
    BytesSent,
    /// Bytes a member receives for control.
    BytesReceived,
    /// Frames a member sends for control.
    FramesSent,
    /// Frames a member receives for control.
    FramesReceived,
    /// Processor time a member takes.
    Processor,
    /// Resident memory a member takes.
    ResidentMemory,
    /// Heap a member takes.
    Heap,
    /// Connections of a member to others.
    Links,
    /// Descriptors open in all processes of the run.
    Descriptors,
    /// Members held dead that were alive.
    FalseSuspicions,
    /// Time from a change of the configuration until it is in force in a member.
    ChangeInForce,
    /// Time from the death of a member until a living member knows it.
    DeathKnown,
    /// Time that control adds to a call.
    CallAdded,
}

/// The unit of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    BytesPerSecond,
    FramesPerSecond,
    /// Seconds of one core, a second.
    Cores,
    Bytes,
    Count,
    Microseconds,
}

/// How the values of many members and seconds became one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Aggregate {
    /// The mean over all members of the role and all measured time.
    Mean,
    /// The mean over all members of the role in the worst ten seconds.
    WorstTenSeconds,
    /// The mean over all measured time of the member that has most.
    MaxMember,
    /// The sum over the whole run.
    Total,
}

/// One measured value. A quantity that was not measured has no measurement; zero is a measured zero.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measurement {
    pub quantity: Quantity,
    pub aggregate: Aggregate,
    /// The role whose members were measured; absent for the whole run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    /// The kind of message; absent for all kinds together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<MessageKind>,
    pub unit: Unit,
    pub value: f64,
}

/// The summary of a histogram of times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Distribution {
    pub quantity: Quantity,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    pub unit: Unit,
    pub count: u64,
    pub p50: u64,
    pub p99: u64,
    pub max: u64,
}

/// What a runner measured at one size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Observations {
    pub measurements: Vec<Measurement>,
    pub distributions: Vec<Distribution>,
}

/// The commit that the program was built from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// The hash, or "unknown".
    pub hash: String,
    /// Files differed from the commit.
    pub dirty: bool,
}

/// The machine of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub cores: usize,
    /// Absent where the system does not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_bytes: Option<u64>,
}

/// All that is kept of one run of one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunRecord {
    pub format: u32,
    pub plan_name: String,
    pub plan_text: String,
    pub mode: Mode,
    pub size: usize,
    pub seed: u64,
    pub commit: Commit,
    pub machine: Machine,
    /// Time on the wall that the run took.
    pub took_ms: u64,
    pub observations: Observations,
}

impl RunRecord {
    /// The quantities that it has a value of.
    pub fn measured(&self) -> BTreeSet<Quantity> {
        let Observations { measurements, distributions } = &self.observations;
        let of_measurements = measurements.iter().map(|measurement| measurement.quantity);
        let of_distributions = distributions.iter().map(|distribution| distribution.quantity);
        of_measurements.chain(of_distributions).collect()
    }
}

impl Role {
    /// The role as records write it.
    pub fn name(self) -> &'static str {
        match self {
            Self::EdgeProxy => "edge-proxy",
            Self::Leader => "leader",
            Self::Voter => "voter",
            Self::ControlMachine => "control-machine",
        }
    }
}

impl Aggregate {
    /// The aggregate as records write it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Mean => "mean",
            Self::WorstTenSeconds => "worst-ten-seconds",
            Self::MaxMember => "max-member",
            Self::Total => "total",
        }
    }
}

impl Quantity {
    /// All quantities, in the order of reports.
    pub const ALL: [Self; 13] = [
        Self::BytesSent,
        Self::BytesReceived,
        Self::FramesSent,
        Self::FramesReceived,
        Self::Processor,
        Self::ResidentMemory,
        Self::Heap,
        Self::Links,
        Self::Descriptors,
        Self::FalseSuspicions,
        Self::ChangeInForce,
        Self::DeathKnown,
        Self::CallAdded,
    ];

    /// The quantity as plans and records write it.
    pub fn name(self) -> &'static str {
        match self {
            Self::BytesSent => "bytes-sent",
            Self::BytesReceived => "bytes-received",
            Self::FramesSent => "frames-sent",
            Self::FramesReceived => "frames-received",
            Self::Processor => "processor",
            Self::ResidentMemory => "resident-memory",
            Self::Heap => "heap",
            Self::Links => "links",
            Self::Descriptors => "descriptors",
            Self::FalseSuspicions => "false-suspicions",
            Self::ChangeInForce => "change-in-force",
            Self::DeathKnown => "death-known",
            Self::CallAdded => "call-added",
        }
    }

    /// The unit of the quantity.
    pub fn unit(self) -> Unit {
        match self {
            Self::BytesSent | Self::BytesReceived => Unit::BytesPerSecond,
            Self::FramesSent | Self::FramesReceived => Unit::FramesPerSecond,
            Self::Processor => Unit::Cores,
            Self::ResidentMemory | Self::Heap => Unit::Bytes,
            Self::Links | Self::Descriptors | Self::FalseSuspicions => Unit::Count,
            Self::ChangeInForce | Self::DeathKnown | Self::CallAdded => Unit::Microseconds,
        }
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl Measurement {
    /// A value of the whole run.
    pub fn new(quantity: Quantity, aggregate: Aggregate, value: f64) -> Self {
        Self { quantity, aggregate, role: None, kind: None, unit: quantity.unit(), value }
    }

    /// The same value, of the members of a role.
    pub fn of_role(self, role: Role) -> Self {
        Self { role: Some(role), ..self }
    }

    /// The same value, of one kind of message.
    pub fn of_kind(self, kind: impl Into<String>) -> Self {
        Self { kind: Some(MessageKind(kind.into())), ..self }
    }
}

impl Distribution {
    /// The summary of a histogram of microseconds; none if nothing was counted.
    pub fn summary(quantity: Quantity, role: Option<Role>, histogram: &Histogram<u64>) -> Option<Self> {
        if histogram.is_empty() {
            return None;
        }
        Some(Self {
            quantity,
            role,
            unit: quantity.unit(),
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        })
    }
}
