//! Types shared by the decision module and its callers: identifiers, the route plan read at start, server list
//! entries, load reports, launch outcomes, and [`Signalling`], through which decisions take effect.

use std::sync::Arc;
use std::time::Duration;

/// Identifies a dialogue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialogueId(pub Arc<str>);

/// Identifies one instance of a core server, usually by its address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

/// Identifies the dialled destination; retries of a caller carry the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialledKey(pub Arc<str>);

/// The number by which dialogues name a core server as their first choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerNumber(pub i64);

/// Index of a product in [`RoutePlan::products`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProductId(pub usize);

/// Index of a tenant in [`RoutePlan::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Number of a launch within its dialogue, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaunchNumber(pub u32);

/// Identifies a timer set through [`Signalling::set_timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);

/// The configuration that an edge proxy reads at start.
pub struct RoutePlan {
    /// Number of edge proxies that send to the same core servers, including this one.
    pub proxies: u32,
    /// Products, indexed by [`ProductId`].
    pub products: Vec<Product>,
    /// Tenants, indexed by [`TenantId`].
    pub tenants: Vec<Tenant>,
    /// Share of its gain that a dialogue retains when its tenant is over quota.
    pub over_quota_share: f64,
    /// Minimum time between two inputs.
    pub tick: Duration,
    /// Minimum time between a launch whose outcome is unknown and the next launch of the same dialogue.
    pub release_time: Duration,
    /// A set-up that waits this long is retransmitted by the lower layer; zero: never.
    pub resend_after: Duration,
    /// Maximum number of launches per dialogue.
    pub max_launches: u32,
    /// Whether callers mark their retries.
    pub callers_mark_retries: bool,
    /// Whether a launch may be cancelled.
    pub may_cancel: bool,
    /// Maximum retry-after time that callers honour; zero if none may be sent.
    pub max_retry_after: Duration,
    /// Share of its capacity that a core server has at the moment it starts.
    pub cold_start_share: f64,
    /// Time from its start until a core server has its full capacity.
    pub warm_up_time: Duration,
    /// A core server collapses when the launches of all edge proxies together exceed its present capacity by
    /// this factor throughout `overload_window`.
    pub overload_multiple: f64,
    /// Time for which an overload must last before a core server collapses.
    pub overload_window: Duration,
}

/// A kind of dialogue with its time limits and its gain.
pub struct Product {
    /// Promised time, measured from the first try.
    pub promised: Duration,
    /// Mean duration of a dialogue that stands.
    pub mean_duration: Duration,
    /// Time from the first try during which a caller keeps redialling.
    pub redial_window: Duration,
    /// Gain of a dialogue that stands within the promised time.
    pub gain: f64,
    /// Share of the gain that remains when a dialogue stands after the promised time.
    pub late_share: f64,
    /// Core servers that can handle this product; `None` if all can.
    pub servers: Option<Vec<ServerNumber>>,
}

/// A customer whose dialogues share one quota.
pub struct Tenant {
    /// Dialogues per second, over all edge proxies, that count with their full gain.
    pub quota: f64,
}

/// A new dialogue.
pub struct Arrival {
    /// Identifier of the dialogue.
    pub id: DialogueId,
    /// Dialled destination, by which retries are matched with earlier tries.
    pub key: Option<DialledKey>,
    /// Product of the dialogue.
    pub product: ProductId,
    /// Tenant of the dialogue, if it belongs to one.
    pub tenant: Option<TenantId>,
    /// Preferred core server.
    pub first_choice: ServerNumber,
    /// Number of lines that the dialogue occupies.
    pub width: f64,
    /// Time of dialling; earlier than the input if a look-up came first.
    pub dialled_at: Duration,
    /// Time at which the caller gives up this try.
    pub cut_off: Duration,
    /// The caller marks this as a retry.
    pub is_retry: bool,
    /// The dialogue had stood and was cut, and the caller dialled again.
    pub redialled_after_cut: bool,
}

/// A core server as the pool list gives it.
#[derive(Clone)]
pub struct ListEntry {
    /// Instance of the core server.
    pub server: ServerId,
    /// Number by which dialogues name it.
    pub number: ServerNumber,
    /// State in the pool list.
    pub state: ServerState,
    /// Time of its latest start; zero if it started long ago.
    pub started: Duration,
}

/// State of a core server in the pool list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts launches.
    Active,
    /// Finishes its dialogues and accepts no launches.
    Draining,
    /// No longer in the pool.
    Gone,
}

/// Load figures reported by a core server; a figure that it does not report is `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of free lines.
    pub free_lines: Option<f64>,
    /// Number of lines, free and in use.
    pub total_lines: Option<f64>,
    /// Share of processor time in use.
    pub processor_busy: Option<f64>,
    /// Number of set-ups in the processor queue.
    pub processor_queue: Option<f64>,
    /// Time that a set-up waits in the processor queue.
    pub processor_wait: Option<Duration>,
    /// Set-ups per second that it can take from all edge proxies together.
    pub rate: Option<f64>,
}

/// How a launch, or a dialogue that stood, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The dialogue stood and ended regularly.
    Ended,
    /// The core server failed to process the launch.
    Fault,
    /// All lines of the dialled number are busy, whichever core server is used.
    NumberBusy,
    /// The core server has no free line.
    NoFreeLine,
    /// Turned back for another cause: the wait at the core server's processor is too long.
    TurnedBack,
    /// No answer within the launch's time-out.
    TimedOut,
    /// The core server could not be reached.
    Unreachable,
    /// The connection to the core server broke.
    BrokenOff,
    /// Cancelled by this edge proxy.
    Cancelled,
    /// The launch did not leave the edge proxy.
    NotSent,
}

/// The end of a launch.
pub struct LaunchEnd {
    /// Dialogue of the launch.
    pub dialogue: DialogueId,
    /// Number of the launch within the dialogue.
    pub launch: LaunchNumber,
    /// Core server of the launch.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The caller is no longer owed an answer.
    pub closed: bool,
    /// Load figures that came with the end.
    pub report: LoadReport,
}

/// The effects that decisions can have.
pub trait Signalling {
    /// Launches `dialogue` at `server`; without an answer within `time_out` the launch ends as timed out.
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration);
    /// Refuses `dialogue`, with the time after which the caller may retry if one may be sent.
    fn refuse(&mut self, dialogue: &DialogueId, retry_after: Option<Duration>);
    /// Answers `dialogue` with a failure.
    fn fail(&mut self, dialogue: &DialogueId);
    /// Cancels a launch of `dialogue`.
    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber);
    /// Requests a call of [`Brain::timer_fired`](crate::brain::Brain::timer_fired) after `after`.
    fn set_timer(&mut self, timer: TimerId, after: Duration);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
