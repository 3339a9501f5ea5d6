//! The words in which the decisions are spoken to and speak: ids, what is read at start, list
//! entries, load reports, outcomes, and the [`Signalling`] through which they act.

use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialogueId(pub Arc<str>);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

/// Stands for what was dialled; a further try of a caller bears the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialledKey(pub Arc<str>);

/// The number under which dialogues name a core server as their first choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerNumber(pub i64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProductId(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Which launch of a dialogue, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaunchNo(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);

/// What an edge proxy reads when it starts.
pub struct RoutePlan {
    /// How many edge proxies send to the same core servers, this one included.
    pub proxies: u32,
    pub products: Vec<Product>,
    pub tenants: Vec<Tenant>,
    /// The part of its gain that a dialogue keeps beyond its tenant's quota.
    pub over_quota_share: f64,
    /// The smallest time between two inputs.
    pub tick: Duration,
    /// How long a dialogue rests after a launch in doubt.
    pub release: Duration,
    /// A set-up that waits this long is sent again by itself; zero: never.
    pub resend: Duration,
    pub max_launches: u32,
    /// Callers mark their further tries.
    pub marks_again: bool,
    pub may_cancel: bool,
    /// The longest come-back time a caller heeds; zero where none may be given.
    pub longest_return: Duration,
    /// A core server starts with at least this share of its capacity ...
    pub cold_share: f64,
    /// ... is warm after this time ...
    pub warm_after: Duration,
    /// ... and falls over when all edge proxies keep up this multiple of what it can do just then ...
    pub fall_multiple: f64,
    /// ... for so long.
    pub fall_within: Duration,
}

pub struct Product {
    pub promised: Duration,
    /// How long a dialogue that stands lasts, on average.
    pub lasts: Duration,
    /// How long a caller keeps trying, from the first try.
    pub patience: Duration,
    pub gain: f64,
    /// The part of the gain left when a dialogue stands after the promised time.
    pub late_share: f64,
    /// The core servers that can take it; none named: any can.
    pub servers: Option<Vec<ServerNumber>>,
}

pub struct Tenant {
    /// Dialogues a second, over all edge proxies, that carry their full gain.
    pub quota: f64,
}

/// A dialogue as it comes in.
pub struct Arrival {
    pub id: DialogueId,
    pub key: Option<DialledKey>,
    pub product: ProductId,
    pub tenant: Option<TenantId>,
    pub first_choice: ServerNumber,
    /// How many lines it takes.
    pub width: f64,
    /// When it was dialled: now, or before, where something had to be looked up first.
    pub dialled_at: Duration,
    /// When the caller gives up this try.
    pub cut_off: Duration,
    /// The caller marks that it has dialled before.
    pub again: bool,
    /// It stood and was cut.
    pub came_back: bool,
}

#[derive(Clone)]
pub struct ListEntry {
    pub server: ServerId,
    pub number: ServerNumber,
    pub listed: Listed,
    /// Its latest start; zero: long ago.
    pub since: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Active,
    Leaving,
    Gone,
}

/// What a core server says of itself; what it does not say is absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub free_lines: Option<f64>,
    /// All its lines.
    pub lines: Option<f64>,
    /// Share of its processor that is busy.
    pub busy: Option<f64>,
    /// Set-ups waiting at its processor.
    pub queue: Option<f64>,
    /// The wait at its processor.
    pub wait: Option<Duration>,
    /// Set-ups a second that it can take from all edge proxies together.
    pub rate: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ended,
    Fault,
    /// All lines of the dialled number are busy, whichever server sets it up.
    NumberBusy,
    /// No line free there.
    LinesTaken,
    /// Turned back for another cause: too long a wait at its processor.
    TurnedBack,
    TimedOut,
    Unreachable,
    BrokenOff,
    CalledOff,
    NotSent,
}

/// The end of a launch.
pub struct LaunchEnd {
    pub dialogue: DialogueId,
    pub launch: LaunchNo,
    pub server: ServerId,
    pub outcome: Outcome,
    /// No answer is owed for the dialogue any more.
    pub closed: bool,
    pub report: LoadReport,
}

/// All that the decisions can do.
pub trait Signalling {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration);
    fn refuse(&mut self, dialogue: &DialogueId, come_back: Option<Duration>);
    fn fail(&mut self, dialogue: &DialogueId);
    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNo);
    fn set_timer(&mut self, timer: TimerId, after: Duration);
    fn log(&mut self, line: &str);
}
