//! Scale plans: what a run does, at which sizes, within which bounds.

use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;
use std::time::Duration;

use lotussaddle_sheet::{Block, Mistakes, Node, Sheet};
use serde::{Deserialize, Serialize};

use crate::record::Quantity;

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_secs(24 * 3600);
/// Members of a fleet, at most: several times the fleet that is planned for.
pub const MAX_SIZE: usize = 20_000;
/// Letters of a plan's name, at most.
const MAX_NAME: usize = 64;
/// Sizes of one plan, at most.
const MAX_SIZES: usize = 32;
/// Configuration changes or membership changes a day, at most.
const MAX_A_DAY: f64 = 1_000_000.0;
/// Members or changes of one event, at most.
const MAX_COUNT: u64 = 10_000;
const MEBIBYTE: u64 = 1024 * 1024;
/// Memory of a run, at most, whatever its plan says.
pub const MEMORY_CAP: Bytes = Bytes(12 * 1024 * MEBIBYTE);
/// Processes of a run in all, at most, whatever its plan says.
pub const PROCESS_CAP: u64 = 300;
/// Descriptors of a run, at most, whatever its plan says.
pub const DESCRIPTOR_CAP: u64 = 200_000;
/// Time on the wall of a run of one size, at most, whatever its plan says.
pub const TIME_CAP: Duration = Duration::from_secs(2 * 3600);

/// How a plan is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// In virtual time, all members in one process, messages passed in memory.
    Virtual,
    /// In real time over loopback sockets, hollow members sharing processes.
    Sockets,
}

impl Mode {
    /// The mode as a plan writes it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Virtual => "virtual",
            Self::Sockets => "sockets",
        }
    }
}

impl fmt::Display for Mode {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

impl fmt::Display for Bytes {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} MiB", self.0.div_ceil(MEBIBYTE))
    }
}

/// Events a day, spread evenly over the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PerDay(pub f64);

impl PerDay {
    /// The time between two events; none if there are no events.
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0.0).then(|| DAY.div_f64(self.0))
    }
}

/// A whole plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalePlan {
    pub name: String,
    /// The plan as it was read, kept in each record.
    pub text: String,
    pub mode: Mode,
    /// Members of the fleet, one run each, ascending.
    pub sizes: Vec<usize>,
    pub topology: Topology,
    /// Measured time, after the warm-up.
    pub duration: Duration,
    /// Time before anything is measured; times of events count from its end.
    pub warm_up: Duration,
    pub changes: Changes,
    pub turnover: Turnover,
    pub departures: Vec<Departure>,
    pub cuts: Vec<Cut>,
    pub calls: Option<Calls>,
    pub measure: BTreeSet<Quantity>,
    pub bounds: Bounds,
}

/// Where members stand and which service they belong to.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    pub regions: usize,
    /// Zones in all, spread over the regions.
    pub zones: usize,
    /// Members of a rack.
    pub rack_size: usize,
    pub services: Services,
    /// Machines set aside for control, spread over the regions.
    pub control_machines: usize,
}

/// How members are spread over services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Services {
    /// Members of a service on average; the number of services follows from the size of the fleet.
    pub mean_size: usize,
    /// Members of the largest service, in a fleet that is at least twice as large.
    pub largest: usize,
}

/// Where one member stands. All numbers count from 0; a rack's number counts within its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    pub region: usize,
    pub zone: usize,
    pub rack: usize,
    pub service: usize,
}

/// Changes of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    pub pace: PerDay,
    pub bursts: Vec<Burst>,
}

/// Changes in quick succession, evenly spread over a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Burst {
    pub at: Duration,
    pub count: usize,
    pub within: Duration,
}

/// Members restarted one by one on an ordinary day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turnover {
    pub pace: PerDay,
    /// How long a member stays away.
    pub back_after: Duration,
}

/// What leaves at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Members, drawn by the seed.
    Members(usize),
    /// One rack, drawn by the seed.
    Rack,
    /// One zone, drawn by the seed.
    Zone,
}

/// Members that leave at once, without a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    pub scope: Scope,
    pub at: Duration,
    /// When all of them are back, at once; never if absent.
    pub back_after: Option<Duration>,
}

/// Regions that lose all the others, and hear each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    pub at: Duration,
    pub lasts: Duration,
    /// The regions of one side, counted from 0; the others are the other side.
    pub regions: BTreeSet<usize>,
}

/// Calls carried by real processes beside the hollow members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Calls {
    pub processes: usize,
    /// Calls a second over all of these processes.
    pub rate: f64,
}

/// What a run of one size may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub memory: Bytes,
    pub processes: u64,
    pub descriptors: u64,
    /// Time on the wall.
    pub time: Duration,
}

impl ScalePlan {
    /// Reads a plan from a file. The error has all mistakes of the plan.
    pub fn load(path: &Path) -> Result<Self, Mistakes> {
        Self::from_sheet(Sheet::load(path)?)
    }

    /// Reads a plan from a text; mistakes name the file.
    pub fn read(file: &str, text: &str) -> Result<Self, Mistakes> {
        Self::from_sheet(Sheet::read(file, text)?)
    }

    fn from_sheet(sheet: Sheet) -> Result<Self, Mistakes> {
        let plan = {
            let root = sheet.root();
            Self::from_block(&root, sheet.source())
        };
        sheet.finish()?;
        Ok(plan)
    }

    fn from_block(root: &Block, text: &str) -> Self {
        let topology =
            root.need("topology").map_or_else(Topology::fallback, |node| Topology::from_node(&node));
        let duration = root.time("duration", SECOND..=TIME_CAP, None);
        let bounds = root.need("bounds").map_or_else(Bounds::caps, |node| Bounds::from_node(&node));
        let plan = Self {
            name: read_name(root),
            text: text.into(),
            mode: read_mode(root),
            sizes: read_sizes(root),
            duration,
            warm_up: root.time("warm-up", Duration::ZERO..=TIME_CAP, None),
            changes: root
                .maybe("changes")
                .map_or_else(Changes::none, |node| Changes::from_node(&node, duration)),
            turnover: root.maybe("turnover").map_or_else(Turnover::none, |node| Turnover::from_node(&node)),
            departures: each(root, "departure", |node| Departure::from_node(node, duration)),
            cuts: each(root, "cut", |node| Cut::from_node(node, duration, topology.regions)),
            calls: root.maybe("calls").map(|node| Calls::from_node(&node)),
            measure: read_measure(root),
            topology,
            bounds,
        };
        plan.note_contradictions(root);
        plan
    }

    /// Notes what is right by itself and wrong together.
    fn note_contradictions(&self, root: &Block) {
        let wrong = |name: &str, what: &str| {
            if let Some(node) = root.maybe(name) {
                node.wrong(what);
            }
        };
        if self.calls.is_some() && self.mode == Mode::Virtual {
            wrong("calls", "calls are carried by real processes: mode sockets only");
        }
        let measures = |quantity| self.measure.contains(&quantity);
        if measures(Quantity::CallAdded) && self.calls.is_none() {
            wrong("measure", "call-added is measured on calls, and the plan has none");
        }
        if measures(Quantity::Descriptors) && self.mode == Mode::Virtual {
            wrong("measure", "descriptors are opened over sockets: mode sockets only");
        }
        if measures(Quantity::ChangeInForce) && self.changes.are_none() {
            wrong("measure", "change-in-force is measured on changes, and the plan has none");
        }
        if measures(Quantity::DeathKnown) && self.departures.is_empty() && self.turnover.is_none() {
            wrong("measure", "death-known is measured on departures or turnover, and the plan has neither");
        }
        self.note_departures_of_all(root);
    }

    fn note_departures_of_all(&self, root: &Block) {
        let Some(smallest) = self.sizes.first() else { return };
        for (departure, node) in self.departures.iter().zip(root.many("departure")) {
            if let Scope::Members(count) = departure.scope
                && count >= *smallest
            {
                node.wrong(format!("a departure of {count} members leaves none of size {smallest}"));
            }
        }
    }
}

fn each<T>(root: &Block, name: &str, read: impl Fn(&Node) -> T) -> Vec<T> {
    root.many(name).iter().map(read).collect()
}

/// A name that stands in the names of files.
fn read_name(root: &Block) -> String {
    let Some(node) = root.need("name") else { return String::new() };
    let name = node.text(0).unwrap_or_default();
    let fits = |letter: char| letter.is_ascii_alphanumeric() || letter == '-';
    if name.len() > MAX_NAME || !name.chars().all(fits) {
        node.wrong(format!("name wants up to {MAX_NAME} letters, digits and hyphens"));
    }
    name
}

fn read_mode(root: &Block) -> Mode {
    let Some(node) = root.need("mode") else { return Mode::Virtual };
    match node.text(0).as_deref() {
        Some("virtual") => Mode::Virtual,
        Some("sockets") => Mode::Sockets,
        Some(other) => {
            node.wrong(format!("mode is virtual or sockets, not {other}"));
            Mode::Virtual
        }
        None => Mode::Virtual,
    }
}

fn read_sizes(root: &Block) -> Vec<usize> {
    let Some(node) = root.need("sizes") else { return Vec::new() };
    let found = node.arguments();
    if found == 0 || found > MAX_SIZES {
        node.wrong(format!("sizes wants 1 to {MAX_SIZES} values, not {found}"));
        return Vec::new();
    }
    let sizes: Vec<usize> = (0..found)
        .filter_map(|place| node.whole(place, 2..=MAX_SIZE as u64))
        .map(|size| size as usize)
        .collect();
    if !sizes.is_sorted_by(|smaller, larger| smaller < larger) {
        node.wrong("sizes are to ascend, each once");
    }
    sizes
}

fn read_measure(root: &Block) -> BTreeSet<Quantity> {
    let Some(node) = root.need("measure") else { return BTreeSet::new() };
    let mut measure = BTreeSet::new();
    if node.arguments() == 0 {
        node.wrong("measure wants one quantity at least");
    }
    for place in 0..node.arguments() {
        let Some(name) = node.text(place) else { continue };
        match Quantity::ALL.into_iter().find(|quantity| quantity.name() == name) {
            None => node.wrong(format!("measure does not know {name} (known: {})", quantity_names())),
            Some(quantity) if !measure.insert(quantity) => node.wrong(format!("measure has {name} twice")),
            Some(_) => {}
        }
    }
    measure
}

fn quantity_names() -> String {
    Quantity::ALL.map(Quantity::name).join(", ")
}

impl Topology {
    fn fallback() -> Self {
        Self {
            regions: 1,
            zones: 1,
            rack_size: 1,
            services: Services { mean_size: 1, largest: 1 },
            control_machines: 0,
        }
    }

    fn from_node(node: &Node) -> Self {
        let block = node.block();
        let count = |name, most| block.whole(name, 1..=most, None) as usize;
        let topology = Self {
            regions: count("regions", 64),
            zones: count("zones", 1000),
            rack_size: count("rack-size", 1000),
            services: block
                .need("services")
                .map_or(Services { mean_size: 1, largest: 1 }, |node| Services::from_node(&node)),
            control_machines: block.whole("control-machines", 0..=100, Some(0)) as usize,
        };
        if topology.zones < topology.regions {
            node.wrong(format!(
                "{} zones for {} regions: each has one at least",
                topology.zones, topology.regions
            ));
        }
        topology
    }

    /// Where a member of a fleet of `size` stands. Members of a service are spread over all zones.
    pub fn place(&self, member: usize, size: usize) -> Place {
        let zone = member % self.zones;
        Place {
            region: zone % self.regions,
            zone,
            rack: member / self.zones / self.rack_size,
            service: self.services.of_member(member, size),
        }
    }
}

impl Services {
    fn from_node(node: &Node) -> Self {
        let block = node.block();
        let count = |name| block.whole(name, 1..=MAX_SIZE as u64, None) as usize;
        let services = Self { mean_size: count("mean-size"), largest: count("largest") };
        if services.largest < services.mean_size {
            node.wrong("the largest service is smaller than the mean");
        }
        services
    }

    /// Members of each service in a fleet of `size`, the largest first: the largest has at most half of the fleet,
    /// the others share the rest evenly.
    pub fn sizes(&self, size: usize) -> Vec<usize> {
        let count = (size / self.mean_size).max(1);
        if count == 1 {
            return vec![size];
        }
        let even_share = size.div_ceil(count);
        let largest = self.largest.min(size / 2).max(even_share);
        let others = count - 1;
        let rest = size - largest;
        let mut sizes = vec![largest];
        sizes.extend((0..others).map(|place| rest / others + usize::from(place < rest % others)));
        sizes
    }

    fn of_member(&self, member: usize, size: usize) -> usize {
        let mut first_of_next = 0;
        let holds = |service_size: usize| {
            first_of_next += service_size;
            member < first_of_next
        };
        self.sizes(size).into_iter().position(holds).unwrap_or(0)
    }
}

impl Changes {
    fn none() -> Self {
        Self { pace: PerDay(0.0), bursts: Vec::new() }
    }

    fn are_none(&self) -> bool {
        self.pace.interval().is_none() && self.bursts.is_empty()
    }

    fn from_node(node: &Node, duration: Duration) -> Self {
        let block = node.block();
        Self {
            pace: PerDay(block.real("a-day", 0.0..=MAX_A_DAY, Some(0.0))),
            bursts: each(&block, "burst", |node| Burst::from_node(node, duration)),
        }
    }
}

impl Burst {
    fn from_node(node: &Node, duration: Duration) -> Self {
        let block = node.block();
        let burst = Self {
            at: block.time("at", Duration::ZERO..=TIME_CAP, None),
            count: block.whole("count", 1..=MAX_COUNT, None) as usize,
            within: block.time("within", MILLISECOND..=TIME_CAP, None),
        };
        note_end(node, burst.at + burst.within, duration);
        burst
    }
}

impl Turnover {
    fn none() -> Self {
        Self { pace: PerDay(0.0), back_after: Duration::ZERO }
    }

    fn is_none(&self) -> bool {
        self.pace.interval().is_none()
    }

    fn from_node(node: &Node) -> Self {
        let block = node.block();
        Self {
            pace: PerDay(block.real("a-day", 0.0..=MAX_A_DAY, None)),
            back_after: block.time("back-after", MILLISECOND..=TIME_CAP, None),
        }
    }
}

impl Departure {
    fn from_node(node: &Node, duration: Duration) -> Self {
        let block = node.block();
        let scope = match node.text(0).as_deref() {
            Some("members") => Scope::Members(block.whole("count", 1..=MAX_COUNT, None) as usize),
            Some("rack") => Scope::Rack,
            Some("zone") => Scope::Zone,
            Some(other) => {
                node.wrong(format!("a departure is of members, rack or zone, not {other}"));
                block.maybe("count");
                Scope::Members(1)
            }
            None => Scope::Members(1),
        };
        let back_after = block.maybe("back-after").and_then(|node| node.time(0, MILLISECOND..=TIME_CAP));
        let departure = Self { scope, at: block.time("at", Duration::ZERO..=TIME_CAP, None), back_after };
        note_end(node, departure.at + back_after.unwrap_or_default(), duration);
        departure
    }
}

impl Cut {
    fn from_node(node: &Node, duration: Duration, regions: usize) -> Self {
        let block = node.block();
        let cut = Self {
            at: block.time("at", Duration::ZERO..=TIME_CAP, None),
            lasts: block.time("lasts", MILLISECOND..=TIME_CAP, None),
            regions: block.need("regions").map(|node| read_regions(&node, regions)).unwrap_or_default(),
        };
        note_end(node, cut.at + cut.lasts, duration);
        cut
    }
}

fn read_regions(node: &Node, regions: usize) -> BTreeSet<usize> {
    let last = regions.saturating_sub(1) as u64;
    let cut: BTreeSet<usize> = (0..node.arguments())
        .filter_map(|place| node.whole(place, 0..=last))
        .map(|region| region as usize)
        .collect();
    if cut.is_empty() || cut.len() >= regions {
        node.wrong("a cut leaves one region at least on each side");
    }
    cut
}

/// Notes an event that ends after the run.
fn note_end(node: &Node, end: Duration, duration: Duration) {
    if end > duration {
        node.wrong(format!("{} ends {end:?} after the warm-up, the run lasts {duration:?}", node.name()));
    }
}

impl Calls {
    fn from_node(node: &Node) -> Self {
        let block = node.block();
        Self {
            processes: block.whole("processes", 1..=PROCESS_CAP, None) as usize,
            rate: block.real("rate", 0.1..=100_000.0, None),
        }
    }
}

impl Bounds {
    /// What no run may pass, whatever its plan says.
    pub fn caps() -> Self {
        Self { memory: MEMORY_CAP, processes: PROCESS_CAP, descriptors: DESCRIPTOR_CAP, time: TIME_CAP }
    }

    fn from_node(node: &Node) -> Self {
        let block = node.block();
        let caps = Self::caps();
        let memory_mib = block.whole("memory-mib", 16..=caps.memory.0 / MEBIBYTE, None);
        Self {
            memory: Bytes(memory_mib * MEBIBYTE),
            processes: block.whole("processes", 1..=caps.processes, None),
            descriptors: block.whole("descriptors", 16..=caps.descriptors, None),
            time: block.time("time", SECOND..=caps.time, None),
        }
    }
}
