//! The decisions of one edge proxy: which core server takes a dialogue, and which dialogue is given up.
//!
//! The caller passes every input to [`Brain`] together with the time since start; `interface.rs` defines the types
//! of inputs and outputs, and all effects go through [`Signalling`]. After every input, and at every tick while a
//! dialogue is owed an answer, the rules in `RULES` are tried in order until none applies.
//!
//! Routing: a dialogue goes to its first choice while that server qualifies, else to the qualifying server with the
//! most estimated free lines (free lines last reported minus lines taken by own launches since). Six mechanisms
//! support this:
//! 1. Limit per server: an adaptive limit on unanswered set-ups; below 1 it is the share of dialogues that the server
//!    is offered. It grows by one per round while waits, measured or reported, indicate normal load. On overload it
//!    is cut by a factor, and the server is blocked until the excess wait has been worked off.
//! 2. Waiting queue: a dialogue for which no server qualifies waits, ordered by gain, while it can finish in time.
//! 3. Quotas: dialogues of a tenant that demands more than its share count little for the excess and so come last.
//! 4. Outlier ejection: a server that does not answer, is unreachable or fails every launch is ejected until a probe
//!    launch succeeds.
//! 5. Lost-launch detection: a launch that was overtaken by later ones, or went unanswered for long without overload,
//!    is cancelled, and its dialogue is launched elsewhere.
//! 6. Budgets with slow start: launches to a cold server, probes and overflow are spaced by the rate that the server
//!    has sustained, divided among the edge proxies.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::interface::*;
use crate::pcg::Pcg;
use crate::ranked::{RankedList, TotalF64};

/// Factor by which a limit is cut on overload.
const LIMIT_CUT_FACTOR: f64 = 0.7;
/// Minimum limit. Below 1, a limit is the share of dialogues, selected by random rank, for which a server qualifies.
const MIN_LIMIT: f64 = 0.05;
/// Set-ups that all edge proxies together may add to the queue of a server under normal load.
const SHARED_HEADROOM_SET_UPS: f64 = 8.0;
/// Share of a server's sustained rate that all edge proxies together may spend on probe launches.
const PROBE_RATE_SHARE: f64 = 0.2;
/// Multiple of a server's sustained rate that all edge proxies together may send it as overflow, that is, dialogues
/// whose first choice is another server.
const OVERFLOW_RATE_MULTIPLE: f64 = 3.0;
/// Share of the overflow interval during which one edge proxy may send overflow.
const OVERFLOW_TURN_SHARE: f64 = 0.25;
/// The launches that a cold server receives from all edge proxies are random in number; their mean lies this many
/// standard deviations below the maximum that the server survives.
const COLD_START_DEVIATIONS: f64 = 4.0;
/// Number of consecutive failures after which a server is ejected; a launch that does not reach the server counts as
/// half of them. So many in a row are unlikely while the server still works.
const EJECTION_FAILURES: u32 = 16;
/// Dialogues per second that a warm server is assumed to sustain while nothing is known about it.
const MIN_SUSTAINED_RATE_PER_SECOND: f64 = 5.0;
/// Weight of the newest sample in the smoothed answer time.
const ANSWER_TIME_WEIGHT: f64 = 0.2;
/// Weight of the newest dialogue in the tenants' demand shares.
const DEMAND_WEIGHT: f64 = 0.01;
/// Time constant with which the maximum sustained rate decays.
const SUSTAINED_RATE_DECAY_SECONDS: f64 = 60.0;
/// Minimum interval between two estimates of the placement rate from the lines in use.
const RATE_INTERVAL_SECONDS: f64 = 0.5;
/// Incoming dialogues at this multiple of the sustained rate are a traffic surge.
const SURGE_RATIO: f64 = 1.25;
/// Nearly all answers arrive before the smoothed answer time plus this many times its spread.
const ANSWER_TIME_SPREADS: u32 = 4;
/// Upper bound for reported waits: a longer one is replaced by this.
const MAX_REPORTED_WAIT_SECONDS: f64 = 60.0;

/// Maximum number of remembered callers unless the host sets another one.
const DEFAULT_MAX_REMEMBERED_CALLERS: usize = 200_000;
/// Reported figures above this are ignored: no server has as many lines or takes as many set-ups.
const MAX_REPORTED_FIGURE: f64 = 1e7;
/// Upper bound for the times of a route plan.
const MAX_PLAN_TIME: Duration = Duration::from_secs(366 * 86_400);

/// Parameters of the decisions, derived from the route plan at start.
struct Parameters {
    products: Vec<Product>,
    over_quota_share: f64,
    tick: Duration,
    release_time: Duration,
    proxies: f64,
    /// This edge proxy's part of [`SHARED_HEADROOM_SET_UPS`].
    headroom: f64,
    /// Mean duration of a dialogue over all products.
    mean_duration_seconds: f64,
    /// [`SURGE_RATIO`], or infinity where waiting set-ups are not retransmitted: only retransmissions make a traffic
    /// surge increase by itself.
    surge_ratio: f64,
    /// A longer wait indicates overload and cuts the limit.
    max_normal_wait: Duration,
    /// Minimum time without a response after which a server counts as unresponsive.
    min_response_timeout: Duration,
    max_launches: u32,
    callers_mark_retries: bool,
    may_cancel: bool,
    retry_after: Option<Duration>,
    cold_start_share: f64,
    warm_up_time: Duration,
    /// Overload multiple times overload window: the launches within one window that make a server collapse, per
    /// launch per second of its capacity.
    overload_multiple_seconds: f64,
    overload_window: Duration,
}

struct Server {
    parameters: Rc<Parameters>,
    random: Pcg,
    number: ServerNumber,
    state: ServerState,
    /// Time of the last start, if known; `None` means long ago.
    started: Option<Duration>,
    /// Drawn once; breaks ties between servers that are otherwise equal, and determines which part of each overflow
    /// interval belongs to this edge proxy.
    random_rank: u32,
    reported_free_lines: Option<f64>,
    lines_placed_since_report: f64,
    /// Launches without an answer, oldest first.
    pending_launches: Vec<PendingLaunch>,
    limit: f64,
    blocked_until: Duration,
    last_launch_at: Duration,
    /// Time from which this server may receive another dialogue whose first choice is a different server.
    overflow_allowed_at: Duration,
    last_response_at: Duration,
    /// `Some` while the server is ejected: the time at which its next probe launch may be sent.
    next_probe_at: Option<Duration>,
    /// Consecutive launches that did not reach the server or failed there.
    consecutive_failures: u32,
    /// Smoothed time from launch to answer.
    smoothed_answer_time: Duration,
    /// Smoothed deviation from `smoothed_answer_time`.
    answer_time_spread: Duration,
    /// Maximum dialogues per second that all edge proxies placed at this server or its previous incarnation, decaying
    /// with time.
    sustained_rate: f64,
    /// Time of the last estimate of `placement_rate`.
    rate_estimated_at: Duration,
    /// Dialogues per second that all edge proxies placed at this server at the last estimate; 0 before the first.
    placement_rate: f64,
}

struct PendingLaunch {
    dialogue: DialogueId,
    number: LaunchNumber,
    launched_at: Duration,
    /// Time at which a later launch was answered while this one was not. A server processes set-ups in
    /// order, so this launch is probably lost.
    overtaken_at: Option<Duration>,
}

/// A dialogue that is owed an answer.
struct Dialogue {
    product: ProductId,
    key: Option<DialledKey>,
    first_dialled_at: Duration,
    first_choice: ServerNumber,
    width: f64,
    promised_by: Duration,
    answer_by: Duration,
    gain: f64,
    /// Random number divided by gain: a server whose limit is below 1 qualifies for the dialogues of the lowest ranks.
    random_rank: f64,
    turn_backs: u32,
    launch_count: u32,
    /// Server of the pending launch.
    launched_at_server: Option<ServerId>,
    is_cancel_sent: bool,
    /// Server at which the last launch was lost or failed; used again only where no other server qualifies.
    avoided_server: Option<ServerId>,
    launch_not_before: Duration,
}

/// Order of launches: higher gain first, then the newest. When capacity is short, the oldest dialogues are about to
/// be given up by their callers or to stand too late.
type LaunchPriority = (Reverse<TotalF64>, Reverse<Duration>, DialogueId);

/// The dialogues that wait for a server, indexed in the orders that the rules need.
#[derive(Default)]
struct WaitingQueue {
    /// By deadline, after which even an immediate answer would be late.
    by_deadline: BTreeSet<(Duration, DialogueId)>,
    /// By the time that remains between the earliest permitted launch and the deadline; zero if no further launch is
    /// permitted.
    by_slack: BTreeSet<(Duration, DialogueId)>,
    /// Dialogues that may not be launched yet, by the time from which they may.
    blocked: BTreeSet<(Duration, DialogueId)>,
    /// Dialogues that may be launched, by product.
    ready_by_product: BTreeMap<ProductId, RankedList<LaunchPriority>>,
    /// The same dialogues by first choice and product.
    ready_by_first_choice: BTreeMap<(ServerNumber, ProductId), RankedList<LaunchPriority>>,
}

/// A tenant's share of all quotas, and its share of the dialogues that recently arrived at this edge proxy.
struct TenantDemand {
    quota_share: f64,
    demand_share: f64,
}

/// The decision module of one edge proxy.
pub struct Brain {
    parameters: Rc<Parameters>,
    tenant_demands: Vec<TenantDemand>,
    random: Pcg,
    now: Duration,
    servers: BTreeMap<ServerId, Server>,
    dialogues: BTreeMap<DialogueId, Dialogue>,
    /// The same dialogues by the time by which they must be answered.
    by_answer_deadline: BTreeSet<(Duration, DialogueId)>,
    waiting: WaitingQueue,
    /// Callers whose dialogue was given up and who may redial: time of the first dial, and end of the redial window.
    callers: BTreeMap<DialledKey, (Duration, Duration)>,
    callers_by_expiry: BTreeSet<(Duration, DialledKey)>,
    max_remembered_callers: usize,
    /// An input other than an arrival was received since the rules were last applied, so that all rules are to be
    /// tried.
    all_rules_due: bool,
    is_timer_set: bool,
    /// No launch is sent before this time.
    launches_held_until: Duration,
}

type Rule = fn(&mut Brain, &mut dyn Signalling) -> bool;

/// Each rule is a condition with an effect and returns whether it applied.
const RULES: [Rule; 5] = [
    Brain::fail_before_cut_off,
    Brain::refuse_those_too_late,
    Brain::eject_unresponsive_server,
    Brain::cancel_lost_launch,
    Brain::launch_first_in_priority,
];

impl Brain {
    /// Creates a decision module without servers; equal seeds and inputs give equal decisions.
    pub fn new(mut plan: RoutePlan, seed: u64) -> Self {
        plan.release_time = plan.release_time.min(MAX_PLAN_TIME);
        (plan.proxies, plan.tick) = (plan.proxies.max(1), plan.tick.max(Duration::from_micros(1)));
        for product in &mut plan.products {
            product.promised = product.promised.min(MAX_PLAN_TIME);
            product.redial_window = product.redial_window.min(MAX_PLAN_TIME);
            product.servers.iter_mut().for_each(|servers| servers.sort_unstable()); // for the binary search
        }
        let min_promised = plan.products.iter().map(|p| p.promised).min().unwrap_or(MAX_PLAN_TIME);
        let resend_after = if plan.resend_after.is_zero() { Duration::MAX } else { plan.resend_after };
        // Gains are scaled to the lowest one, and so are the random ranks.
        let min_gain = plan.products.iter().map(|p| p.gain).fold(f64::INFINITY, f64::min);
        let total_quota: f64 = plan.tenants.iter().map(|t| t.quota).sum();
        let quota_shares = plan.tenants.iter().map(|t| t.quota / total_quota);
        let tenant_demands =
            quota_shares.map(|share| TenantDemand { quota_share: share, demand_share: share }).collect();
        let mean_duration_seconds =
            plan.products.iter().map(|p| p.mean_duration.as_secs_f64() / plan.products.len() as f64).sum();
        let parameters = Rc::new(Parameters {
            mean_duration_seconds,
            surge_ratio: if plan.resend_after.is_zero() { f64::INFINITY } else { SURGE_RATIO },
            over_quota_share: plan.over_quota_share,
            products: plan.products.into_iter().map(|p| Product { gain: p.gain / min_gain, ..p }).collect(),
            tick: plan.tick,
            release_time: plan.release_time,
            proxies: f64::from(plan.proxies),
            headroom: (SHARED_HEADROOM_SET_UPS / f64::from(plan.proxies)).min(1.0),
            max_normal_wait: (min_promised / 3).min(resend_after / 5 * 4),
            min_response_timeout: min_promised / 2,
            max_launches: plan.max_launches,
            callers_mark_retries: plan.callers_mark_retries,
            may_cancel: plan.may_cancel,
            retry_after: Some(plan.max_retry_after).filter(|d| !d.is_zero()),
            cold_start_share: plan.cold_start_share,
            warm_up_time: plan.warm_up_time,
            overload_multiple_seconds: plan.overload_multiple * plan.overload_window.as_secs_f64(),
            overload_window: plan.overload_window.clamp(Duration::from_millis(1), MAX_PLAN_TIME),
        });
        Self {
            parameters,
            tenant_demands,
            random: Pcg::new(seed),
            now: Duration::ZERO,
            servers: BTreeMap::new(),
            dialogues: BTreeMap::new(),
            by_answer_deadline: BTreeSet::new(),
            waiting: WaitingQueue::default(),
            callers: BTreeMap::new(),
            callers_by_expiry: BTreeSet::new(),
            max_remembered_callers: DEFAULT_MAX_REMEMBERED_CALLERS,
            all_rules_due: true,
            is_timer_set: false,
            launches_held_until: Duration::ZERO,
        }
    }

    /// Numbers of dialogues that are owed an answer, servers (including those gone), pending launches and remembered
    /// callers.
    pub fn held_counts(&self) -> (usize, usize, usize, usize) {
        let pending_launches = self.servers.values().map(|s| s.pending_launches.len()).sum();
        (self.dialogues.len(), self.servers.len(), pending_launches, self.callers.len())
    }

    // Inputs

    /// Holds all launches until the given time, because launches of a previous incarnation of this edge proxy may
    /// still occupy lines at core servers (mechanism 5).
    pub fn hold_launches_until(&mut self, until: Duration) {
        self.launches_held_until = until;
    }

    /// Remembers at most this many callers; beyond it the one whose redial window ends first is evicted.
    pub fn limit_remembered_callers(&mut self, max_remembered_callers: usize) {
        self.max_remembered_callers = max_remembered_callers;
    }

    /// Number of callers whose dialogue was given up and who may redial.
    pub fn remembered_callers(&self) -> usize {
        self.callers.len()
    }

    /// Applies entries of the pool list; if `is_complete`, servers without an entry are gone.
    pub fn server_list_received(
        &mut self, now: Duration, is_complete: bool, entries: &[ListEntry], out: &mut dyn Signalling,
    ) {
        let now = self.advance_clock(now);
        if is_complete {
            self.servers.values_mut().for_each(|s| s.state = ServerState::Gone);
        }
        for entry in entries {
            if let Some(server) = self.servers.get_mut(&entry.server)
                && Some(entry.started).filter(|s| !s.is_zero()) <= server.started
            {
                (server.number, server.state) = (entry.number, entry.state);
                continue;
            }
            // New or restarted: the sustained rate is that of its previous incarnation, else the lowest of the warm
            // servers.
            let same_number = self.servers.values().filter(|s| s.number == entry.number);
            let same_number =
                same_number.map(|s| s.sustained_rate).max_by(f64::total_cmp).filter(|rate| *rate > 0.0);
            let warm = self.servers.values().filter(|s| s.cold_capacity_share(now).is_none());
            let warm = warm.map(|s| s.sustained_rate).min_by(f64::total_cmp);
            let sustained_rate = same_number.or(warm).unwrap_or_default();
            let mut server =
                Server::new(entry, now, sustained_rate, self.parameters.clone(), self.random.draw());
            if let Some(previous) = self.servers.remove(&entry.server) {
                server.pending_launches = previous.pending_launches;
            }
            // All edge proxies are notified of a start at the same time, so each waits a random part of its first
            // interval.
            server.blocked_until = now + server.cold_launch_interval(now).mul_f64(server.random.share());
            self.servers.insert(entry.server.clone(), server);
        }
        // A server that is gone is retained until its number is in use again, because its sustained rate is the
        // estimate for the next one, or until that rate expires.
        let expiry = Duration::from_secs_f64(SUSTAINED_RATE_DECAY_SECONDS);
        let active = self.servers.values().filter(|s| s.state == ServerState::Active);
        let active: BTreeSet<ServerNumber> = active.map(|s| s.number).collect();
        self.servers.retain(|_, s| {
            let is_rate_needed = !active.contains(&s.number) && now < s.last_response_at + expiry;
            s.state != ServerState::Gone || !s.pending_launches.is_empty() || is_rate_needed
        });
        self.apply_rules(out);
    }

    /// Handles a new dialogue. A dialogue of an unknown product fails; one already held is ignored.
    pub fn dialogue_arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling) {
        let now = if now > self.now { self.advance_clock(now) } else { self.now };
        let Some(product) = self.parameters.products.get(arrival.product.0) else {
            return out.fail(&arrival.id);
        };
        if self.dialogues.contains_key(&arrival.id) {
            return; // A repeated arrival; the dialogue held is going to be answered.
        }
        let (promised, late_share, full_gain) = (product.promised, product.late_share, product.gain);
        let quota_factor =
            if self.draw_exceeds_quota(arrival.tenant) { self.parameters.over_quota_share } else { 1.0 };
        // The promised time of a retry runs from the first dial; once that time has passed, a retry earns only the late
        // share of the gain.
        let may_be_retry = arrival.is_retry || !self.parameters.callers_mark_retries;
        let earlier = arrival.key.as_ref().filter(|_| may_be_retry).and_then(|key| self.remove_caller(key));
        let first_dialled_at = earlier.map_or(arrival.dialled_at.min(now), |(first, _)| first);
        let is_unknown_retry = arrival.is_retry && !arrival.redialled_after_cut && earlier.is_none();
        let is_late = is_unknown_retry || now >= first_dialled_at + promised;
        let gain = full_gain * quota_factor * if is_late { late_share } else { 1.0 };
        let random_rank = self.random.share() / gain;
        let dialogue = Dialogue {
            product: arrival.product,
            key: arrival.key,
            first_dialled_at,
            first_choice: arrival.first_choice,
            width: arrival.width,
            promised_by: promised + if is_late { now } else { first_dialled_at },
            answer_by: arrival.cut_off.saturating_sub(self.parameters.tick * 2),
            gain,
            random_rank,
            turn_backs: 0,
            launch_count: 0,
            launched_at_server: None,
            is_cancel_sent: false,
            avoided_server: None,
            launch_not_before: now.max(self.launches_held_until),
        };
        self.all_rules_due |= now >= dialogue.deadline().saturating_sub(self.min_answer_time());
        self.by_answer_deadline.insert((dialogue.answer_by, arrival.id.clone()));
        self.dialogues.insert(arrival.id.clone(), dialogue);
        self.enqueue(&arrival.id);
        self.apply_rules(out);
    }

    /// The caller has hung up before its dialogue stood.
    pub fn caller_left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling) {
        self.advance_clock(now);
        self.give_up(id, out);
        self.apply_rules(out);
    }

    /// A core server has reported its load.
    pub fn load_reported(
        &mut self, now: Duration, id: &ServerId, report: &LoadReport, out: &mut dyn Signalling,
    ) {
        let now = self.advance_clock(now);
        if let Some(server) = self.servers.get_mut(id) {
            server.apply_report(now, report);
        }
        self.apply_rules(out);
    }

    /// A launch has succeeded: the dialogue stands.
    pub fn dialogue_stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, server: &ServerId,
        out: &mut dyn Signalling,
    ) {
        let now = self.advance_clock(now);
        self.remove_dialogue(id);
        if let Some(server) = self.servers.get_mut(server)
            && let Some(launched_at) = server.answer_received(now, id, launch, out)
        {
            server.record_answer_time(now, now - launched_at);
        }
        self.apply_rules(out);
    }

    /// A launch has ended without success, or a dialogue that stood has ended.
    pub fn launch_ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling) {
        use Outcome::{Ended, NoFreeLine, NumberBusy, TurnedBack};
        let now = self.advance_clock(now);
        if let Some(server) = self.servers.get_mut(&end.server) {
            server.apply_report(now, &end.report);
            if matches!(end.outcome, Ended | NoFreeLine | TurnedBack | NumberBusy) {
                server.answer_received(now, &end.dialogue, end.launch, out);
            } else if server.remove_launch(&end.dialogue, end.launch).is_some() {
                // A single failure proves nothing, and a server can fail some launches and serve the rest well. A run
                // of failures means that it is down, or that it fails everything so quickly that it would attract
                // all traffic.
                let (failures, why, last_response_at) = match end.outcome {
                    Outcome::Unreachable => (EJECTION_FAILURES / 2, "out of reach", server.last_response_at),
                    Outcome::Fault | Outcome::BrokenOff => (1, "fails all", now),
                    _ => (0, "", server.last_response_at),
                };
                (server.consecutive_failures, server.last_response_at) =
                    (server.consecutive_failures + failures, last_response_at);
                if server.consecutive_failures >= EJECTION_FAILURES && failures > 0 {
                    server.eject(now, why, &end.server, out);
                }
            }
            match end.outcome {
                Outcome::TurnedBack => server.mark_full(now, self.parameters.min_response_timeout * 2),
                Outcome::NoFreeLine => server.mark_full(now, Duration::ZERO),
                _ => {}
            }
        }
        if end.closed {
            self.remove_dialogue(&end.dialogue);
        } else if !self.dialogues.contains_key(&end.dialogue) {
            out.fail(&end.dialogue); // Cancelled at the moment it stood: the caller is owed an answer again.
        } else if let Some(dialogue) = self.dialogues.get(&end.dialogue)
            && (dialogue.launched_at_server.as_ref() == Some(&end.server)
                || end.outcome == Outcome::Cancelled)
            && dialogue.last_launch_number() == end.launch
        {
            self.dequeue(&end.dialogue);
            let dialogue = self.dialogues.get_mut(&end.dialogue).expect("the dialogue was found above");
            dialogue.launched_at_server = None;
            dialogue.is_cancel_sent = false;
            match end.outcome {
                // Its lines may stay occupied until the release time (mechanism 5), and a cancelled launch may still
                // be answered first.
                Outcome::TimedOut | Outcome::BrokenOff | Outcome::Cancelled => {
                    dialogue.launch_not_before = now + self.parameters.release_time;
                    dialogue.avoided_server = Some(end.server);
                }
                Outcome::Unreachable | Outcome::Fault => dialogue.avoided_server = Some(end.server),
                // Every other server reaches the same busy number, so the dialogue is refused at once.
                Outcome::NumberBusy => dialogue.launch_count = self.parameters.max_launches,
                _ => dialogue.turn_backs += 1,
            }
            self.enqueue(&end.dialogue);
        }
        self.apply_rules(out);
    }

    /// The timer set through [`Signalling::set_timer`] has fired.
    pub fn timer_fired(&mut self, now: Duration, _timer: TimerId, out: &mut dyn Signalling) {
        self.advance_clock(now);
        self.is_timer_set = false;
        self.apply_rules(out);
    }

    /// Advances the clock, expires callers and unblocks waiting dialogues. A time earlier than the last
    /// one leaves the clock unchanged.
    fn advance_clock(&mut self, now: Duration) -> Duration {
        self.all_rules_due = true;
        let now = self.now.max(now);
        self.now = now;
        while let Some((until, key)) = self.callers_by_expiry.first().cloned()
            && until <= now
        {
            self.remove_caller(&key);
        }
        while let Some((launch_not_before, _)) = self.waiting.blocked.first()
            && *launch_not_before <= now
        {
            let (_, id) = self.waiting.blocked.pop_first().expect("the set is not empty");
            self.add_to_ready(&id);
        }
        now
    }

    /// Applies the rules until none applies any more. After an arrival at a time for which all rules have been tried,
    /// only the launch rule can apply.
    fn apply_rules(&mut self, out: &mut dyn Signalling) {
        let rules = if self.all_rules_due { &RULES[..] } else { &RULES[RULES.len() - 1..] };
        while rules.iter().any(|rule| rule(self, out)) {}
        self.all_rules_due = false;
        if !self.dialogues.is_empty() && !self.is_timer_set {
            self.is_timer_set = true;
            out.set_timer(TimerId(0), self.parameters.tick);
        }
    }

    // Rules

    /// Fails the dialogues that are about to reach their cut-off, so that each is answered whatever else goes wrong.
    fn fail_before_cut_off(&mut self, out: &mut dyn Signalling) -> bool {
        let overdue: BTreeSet<DialogueId> = ids_up_to(&self.by_answer_deadline, self.now).collect();
        for id in &overdue {
            self.give_up(id, out);
            out.fail(id);
        }
        !overdue.is_empty()
    }

    /// Refuses waiting dialogues that cannot stand within the promised time any more, in favour of those that can.
    fn refuse_those_too_late(&mut self, out: &mut dyn Signalling) -> bool {
        let answer_time = self.min_answer_time();
        let past_deadline = ids_up_to(&self.waiting.by_deadline, self.now + answer_time);
        let too_late: BTreeSet<DialogueId> =
            past_deadline.chain(ids_up_to(&self.waiting.by_slack, answer_time)).collect();
        for id in &too_late {
            self.give_up(id, out);
            out.refuse(id, self.parameters.retry_after);
        }
        !too_late.is_empty()
    }

    /// Ejects a server that has pending launches and has not responded: it hangs, is unreachable, or has stopped and
    /// the pool list does not show that yet.
    fn eject_unresponsive_server(&mut self, out: &mut dyn Signalling) -> bool {
        let unresponsive = self.servers.iter_mut().find(|(_, s)| {
            let since = s.ordered_launches().next().map(|oldest| s.last_response_at.max(oldest.launched_at));
            s.next_probe_at.is_none() && since.is_some_and(|t| self.now >= t + s.response_timeout())
        });
        let Some((id, server)) = unresponsive else { return false };
        server.eject(self.now, "silent", id, out);
        true
    }

    /// Cancels a launch that is probably lost, so that its dialogue can be launched elsewhere while it can still
    /// finish in time.
    fn cancel_lost_launch(&mut self, out: &mut dyn Signalling) -> bool {
        let (now, parameters) = (self.now, &self.parameters);
        let lost = self.servers.iter().flat_map(|(server, s)| {
            let old =
                s.pending_launches.iter().take_while(|o| now >= o.launched_at + s.usual_max_answer_time());
            let lost = old.filter(|o| parameters.may_cancel && now >= s.lost_from(o));
            lost.filter(|o| {
                let dialogue =
                    self.dialogues.get(&o.dialogue).filter(|d| d.launched_at_server.as_ref() == Some(server));
                dialogue.is_some_and(|d| !d.is_cancel_sent && now + parameters.release_time < d.promised_by)
            })
        });
        let Some(id) = lost.map(|o| &o.dialogue).min().cloned() else { return false };
        let dialogue = self.dialogues.get_mut(&id).expect("the dialogue was found above");
        dialogue.is_cancel_sent = true;
        out.cancel(&id, dialogue.last_launch_number());
        true
    }

    /// Launches the dialogue that comes first in [`LaunchPriority`] among the waiting ones with a qualifying server.
    fn launch_first_in_priority(&mut self, out: &mut dyn Signalling) -> bool {
        let usable = self.servers.values().filter(|s| s.can_launch(self.now));
        let Some((.., id)) = usable.filter_map(|s| self.best_for(s)).min().cloned() else { return false };
        self.dequeue(&id);
        let server_id = self.select_server(&self.dialogues[&id]).expect("a server qualifies");
        let dialogue = self.dialogues.get_mut(&id).expect("the dialogue was waiting");
        let server = self.servers.get_mut(&server_id).expect("the server was selected");
        dialogue.launch_count += 1;
        server.launch_sent(self.now, &id, dialogue);
        // Where set-ups are not retransmitted, the launch times out at the promised time at the latest, since
        // abandoning a late set-up then costs little.
        let latest =
            if self.parameters.surge_ratio.is_finite() { Duration::MAX } else { dialogue.promised_by };
        let until = latest.min(dialogue.answer_by + self.parameters.tick * 2);
        out.launch(&id, &server_id, until.saturating_sub(self.now));
        dialogue.launched_at_server = Some(server_id);
        true
    }

    // Routing

    /// The first choice while it qualifies, else the qualifying server with the most estimated free lines.
    fn select_server(&self, dialogue: &Dialogue) -> Option<ServerId> {
        let qualifying = self.servers.iter().filter(|(_, s)| {
            self.can_handle(s, dialogue.product)
                && s.can_launch(self.now)
                && s.admission(self.now)(dialogue.random_rank, dialogue.width)
                && (s.number == dialogue.first_choice || s.accepts_overflow(self.now))
        });
        let preference = |(id, s): &(&ServerId, &Server)| {
            let is_avoided = dialogue.avoided_server.as_ref() == Some(*id);
            (!is_avoided, s.number == dialogue.first_choice, s.estimated_free_lines(), s.random_rank)
        };
        let best = qualifying
            .max_by(|a, b| preference(a).partial_cmp(&preference(b)).expect("estimates are never NaN"));
        best.map(|(id, _)| id.clone())
    }

    // Shared by several rules

    fn can_handle(&self, server: &Server, product: ProductId) -> bool {
        let servers = self.parameters.products[product.0].servers.as_ref();
        servers.is_none_or(|servers| servers.binary_search(&server.number).is_ok())
    }

    /// The dialogue that would be launched first if only this server were usable.
    fn best_for(&self, server: &Server) -> Option<&LaunchPriority> {
        let (admits, overflow) = (server.admission(self.now), server.accepts_overflow(self.now));
        let all = self
            .waiting
            .ready_by_product
            .iter()
            .filter(|_| overflow)
            .map(|(product, ranked)| (*product, ranked));
        let own = (server.number, ProductId(0))..=(server.number, ProductId(usize::MAX));
        let own =
            self.waiting.ready_by_first_choice.range(own).map(|((_, product), ranked)| (*product, ranked));
        let able = all.chain(own).filter(|(product, _)| self.can_handle(server, *product));
        able.filter_map(|(_, ranked)| ranked.first_matching(&admits)).min()
    }

    /// The shortest answer time that any server in use can be expected to have.
    fn min_answer_time(&self) -> Duration {
        let in_use = self.servers.values().filter(|s| s.next_probe_at.is_none());
        in_use.map(|s| s.smoothed_answer_time).min().unwrap_or_default()
    }

    /// Adds a dialogue to the waiting queue.
    fn enqueue(&mut self, id: &DialogueId) {
        let dialogue = &self.dialogues[id];
        self.waiting.by_deadline.insert((dialogue.deadline(), id.clone()));
        self.waiting.by_slack.insert((dialogue.slack(&self.parameters), id.clone()));
        if dialogue.launch_not_before > self.now {
            self.waiting.blocked.insert((dialogue.launch_not_before, id.clone()));
        } else {
            self.add_to_ready(id);
        }
    }

    fn add_to_ready(&mut self, id: &DialogueId) {
        let dialogue = &self.dialogues[id];
        let by_product = self.waiting.ready_by_product.entry(dialogue.product).or_default();
        by_product.insert(dialogue.priority(id), dialogue.random_rank, dialogue.width);
        let by_first_choice =
            self.waiting.ready_by_first_choice.entry((dialogue.first_choice, dialogue.product)).or_default();
        by_first_choice.insert(dialogue.priority(id), dialogue.random_rank, dialogue.width);
    }

    /// Removes a dialogue from the waiting queue if it is there.
    fn dequeue(&mut self, id: &DialogueId) {
        let Some(dialogue) = self.dialogues.get(id) else { return };
        self.waiting.by_deadline.remove(&(dialogue.deadline(), id.clone()));
        self.waiting.by_slack.remove(&(dialogue.slack(&self.parameters), id.clone()));
        if !self.waiting.blocked.remove(&(dialogue.launch_not_before, id.clone())) {
            let (priority, first_choice) = (dialogue.priority(id), (dialogue.first_choice, dialogue.product));
            if let Some(ranked) = self.waiting.ready_by_product.get_mut(&dialogue.product) {
                ranked.remove(&priority);
            }
            if let Some(ranked) = self.waiting.ready_by_first_choice.get_mut(&first_choice) {
                ranked.remove(&priority);
                if ranked.is_empty() {
                    self.waiting.ready_by_first_choice.remove(&first_choice);
                }
            }
        }
    }

    /// Removes a dialogue that is not owed an answer any more.
    fn remove_dialogue(&mut self, id: &DialogueId) -> Option<Dialogue> {
        self.dequeue(id);
        let dialogue = self.dialogues.remove(id)?;
        self.by_answer_deadline.remove(&(dialogue.answer_by, id.clone()));
        Some(dialogue)
    }

    fn remove_caller(&mut self, key: &DialledKey) -> Option<(Duration, Duration)> {
        let (first, until) = self.callers.remove(key)?;
        self.callers_by_expiry.remove(&(until, key.clone()));
        Some((first, until))
    }

    /// Counts a dialogue of the tenant and decides whether it is over quota. Capacity is short only where the tenants
    /// together ask for about their quotas or more. A tenant whose share of the dialogues then exceeds its share of
    /// the quotas is over quota by the difference, and a random draw selects the dialogues that count as over quota.
    fn draw_exceeds_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(TenantId(tenant)) = tenant.filter(|t| t.0 < self.tenant_demands.len()) else { return false };
        for (index, demand) in self.tenant_demands.iter_mut().enumerate() {
            demand.demand_share += DEMAND_WEIGHT * (f64::from(index == tenant) - demand.demand_share);
        }
        let TenantDemand { quota_share, demand_share } = self.tenant_demands[tenant];
        self.random.share() < 1.0 - quota_share / demand_share
    }

    /// Removes a dialogue that does not stand, cancels its launch, and remembers its caller while it may redial.
    fn give_up(&mut self, id: &DialogueId, out: &mut dyn Signalling) {
        let Some(dialogue) = self.remove_dialogue(id) else { return };
        if dialogue.launched_at_server.is_some() && !dialogue.is_cancel_sent && self.parameters.may_cancel {
            out.cancel(id, dialogue.last_launch_number());
        }
        let until = dialogue.first_dialled_at + self.parameters.products[dialogue.product.0].redial_window;
        if let Some(key) = dialogue.key {
            self.remove_caller(&key);
            self.callers_by_expiry.insert((until, key.clone()));
            self.callers.insert(key, (dialogue.first_dialled_at, until));
            if self.callers.len() > self.max_remembered_callers
                && let Some((_, key)) = self.callers_by_expiry.pop_first()
            {
                self.callers.remove(&key);
            }
        }
    }
}

impl Dialogue {
    fn last_launch_number(&self) -> LaunchNumber {
        LaunchNumber(self.launch_count.saturating_sub(1))
    }

    /// The earlier of the promised time and the time by which the dialogue must be answered.
    fn deadline(&self) -> Duration {
        self.promised_by.min(self.answer_by)
    }

    /// Time from the earliest permitted launch to the deadline; zero if no further launch is permitted.
    fn slack(&self, parameters: &Parameters) -> Duration {
        let is_exhausted = self.turn_backs > 1 || self.launch_count >= parameters.max_launches;
        if is_exhausted { Duration::ZERO } else { self.deadline().saturating_sub(self.launch_not_before) }
    }

    fn priority(&self, id: &DialogueId) -> LaunchPriority {
        (Reverse(TotalF64(self.gain)), Reverse(self.first_dialled_at), id.clone())
    }
}

/// The dialogues whose time is not later than `until`.
fn ids_up_to(times: &BTreeSet<(Duration, DialogueId)>, until: Duration) -> impl Iterator<Item = DialogueId> {
    times.iter().take_while(move |(at, _)| *at <= until).map(|(_, id)| id.clone())
}

impl Server {
    fn new(
        entry: &ListEntry, now: Duration, sustained_rate: f64, parameters: Rc<Parameters>, random_rank: u32,
    ) -> Self {
        Self {
            random: Pcg::new(random_rank.into()),
            limit: 1.0 + parameters.headroom,
            parameters,
            number: entry.number,
            state: entry.state,
            started: Some(entry.started).filter(|s| !s.is_zero()),
            random_rank,
            reported_free_lines: None,
            lines_placed_since_report: 0.0,
            pending_launches: Vec::new(),
            blocked_until: Duration::ZERO,
            last_launch_at: Duration::ZERO,
            overflow_allowed_at: Duration::ZERO,
            last_response_at: now,
            next_probe_at: None,
            consecutive_failures: 0,
            smoothed_answer_time: Duration::ZERO,
            answer_time_spread: Duration::ZERO,
            sustained_rate,
            rate_estimated_at: now,
            placement_rate: 0.0,
        }
    }

    /// Free lines last reported minus lines taken by own launches since; unbounded before the first report.
    fn estimated_free_lines(&self) -> f64 {
        self.reported_free_lines.map_or(f64::INFINITY, |free| free - self.lines_placed_since_report)
    }

    /// Whether a launch may be sent to this server now.
    fn can_launch(&self, now: Duration) -> bool {
        let max_launches = if self.next_probe_at.is_some() { 1.0 } else { self.limit.max(1.0) };
        self.state == ServerState::Active
            && (self.ordered_launches().count() + 1) as f64 <= max_launches
            && now >= self.next_probe_at.unwrap_or_default().max(self.blocked_until)
            && now >= self.last_launch_at + self.cold_launch_interval(self.last_launch_at)
    }

    /// Returns a predicate on the random rank and the width of a dialogue: whether this server qualifies for it. The
    /// rank matters only while the limit is below 1 and no probe launch is due.
    fn admission(&self, now: Duration) -> impl Fn(f64, f64) -> bool {
        let next_probe = self.last_launch_at + self.shared_interval(PROBE_RATE_SHARE);
        let (estimate, limit, admits_all) =
            (self.estimated_free_lines(), self.limit, self.limit >= 1.0 || now >= next_probe);
        move |random_rank, width| estimate >= width && (admits_all || random_rank < limit)
    }

    /// Whether this server may receive overflow from this edge proxy now. If all edge proxies sent their overflow to
    /// the emptiest server at once, they would overload it, so each proxy has its own part of each interval, at a
    /// position drawn at random. A part that is not used is lost; otherwise each proxy would have an unused one when
    /// a traffic surge begins, and all would use them at once.
    fn accepts_overflow(&self, now: Duration) -> bool {
        let phase = now.saturating_sub(self.overflow_allowed_at).as_secs_f64()
            / self.shared_interval(OVERFLOW_RATE_MULTIPLE).as_secs_f64();
        let phase = (phase + f64::from(self.random_rank) / f64::from(u32::MAX)).fract();
        self.sustained_rate == 0.0
            || now >= self.overflow_allowed_at && phase < OVERFLOW_TURN_SHARE.max(self.parameters.headroom)
    }

    fn apply_report(&mut self, now: Duration, report: &LoadReport) {
        let plausible = |figure: Option<f64>| figure.filter(|f| (0.0..=MAX_REPORTED_FIGURE).contains(f));
        let (free, total) = (plausible(report.free_lines), plausible(report.total_lines));
        if let Some(free) = free {
            (self.reported_free_lines, self.lines_placed_since_report) = (Some(free), 0.0);
        }
        // The wait in a queue follows from the reported rate, or else from the rate derived from the lines in use.
        let lines = total.zip(free).filter(|_| self.parameters.mean_duration_seconds > 0.0);
        let rate_in_use = lines.map(|(total, free)| (total - free) / self.parameters.mean_duration_seconds);
        let elapsed = (now - self.rate_estimated_at).as_secs_f64();
        if let Some(rate_in_use) = rate_in_use
            .filter(|_| elapsed >= RATE_INTERVAL_SECONDS && self.cold_capacity_share(now).is_none())
        {
            // Incoming rate: the rate at which dialogues end, given the mean duration, plus the growth of the lines in
            // use.
            let incoming = rate_in_use
                + (rate_in_use - self.placement_rate) * self.parameters.mean_duration_seconds / elapsed;
            if self.placement_rate > 0.0
                && incoming
                    > self.parameters.surge_ratio * self.sustained_rate.max(MIN_SUSTAINED_RATE_PER_SECOND)
            {
                self.reduce_limit(now, Duration::ZERO);
            }
            self.sustained_rate =
                (self.sustained_rate * (-elapsed / SUSTAINED_RATE_DECAY_SECONDS).exp()).max(rate_in_use);
            (self.rate_estimated_at, self.placement_rate) = (now, rate_in_use);
        }
        let rate = plausible(report.rate).or(rate_in_use).filter(|rate| *rate > 0.0);
        let queue_wait = plausible(report.processor_queue).zip(rate).map(|(queue, rate)| queue / rate);
        if let Some(wait) = report.processor_wait.map(|wait| wait.as_secs_f64()).or(queue_wait) {
            self.adapt_limit(now, Duration::from_secs_f64(wait.min(MAX_REPORTED_WAIT_SECONDS)));
        }
    }

    /// Records a launch that is being sent to this server.
    fn launch_sent(&mut self, now: Duration, id: &DialogueId, dialogue: &Dialogue) {
        self.lines_placed_since_report += dialogue.width;
        self.last_launch_at = now;
        if dialogue.first_choice != self.number {
            self.overflow_allowed_at = now + self.shared_interval(OVERFLOW_RATE_MULTIPLE);
        }
        self.pending_launches.push(PendingLaunch {
            dialogue: id.clone(),
            number: dialogue.last_launch_number(),
            launched_at: now,
            overtaken_at: None,
        });
        if self.next_probe_at.is_some() {
            self.next_probe_at = Some(now + self.draw_probe_delay(0.5));
        }
    }

    /// Removes a pending launch and returns when it was sent.
    fn remove_launch(&mut self, id: &DialogueId, launch: LaunchNumber) -> Option<Duration> {
        let index = self.pending_launches.iter().position(|o| o.dialogue == *id && o.number == launch)?;
        Some(self.pending_launches.remove(index).launched_at)
    }

    /// Records an answer, and returns when the launch was sent if it was pending. The answer to a pending launch
    /// always ends an ejection.
    fn answer_received(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, out: &mut dyn Signalling,
    ) -> Option<Duration> {
        self.last_response_at = now;
        let launched_at = self.remove_launch(id, launch);
        // The end of a standing dialogue shows that the server responds again, but does not show whether set-ups
        // fail or queue up there.
        let was_only_unresponsive = self.consecutive_failures < EJECTION_FAILURES && self.limit >= 1.0;
        if (was_only_unresponsive || launched_at.is_some()) && self.next_probe_at.take().is_some() {
            self.limit = self.limit.min(1.0);
            let wait = launched_at.map(|launched_at| now - launched_at);
            out.log(&format!("server {} back: a sign of life, answer after {wait:?}", self.number.0));
        }
        let launched_at = launched_at?;
        for earlier in self.pending_launches.iter_mut().filter(|o| o.launched_at < launched_at) {
            earlier.overtaken_at.get_or_insert(now);
        }
        self.consecutive_failures = 0;
        Some(launched_at)
    }

    /// Updates the smoothed answer time, and adapts the limit to the measured wait.
    fn record_answer_time(&mut self, now: Duration, wait: Duration) {
        if self.smoothed_answer_time.is_zero() {
            (self.smoothed_answer_time, self.answer_time_spread) = (wait, wait / 2);
        }
        self.answer_time_spread = self.answer_time_spread.mul_f64(1.0 - ANSWER_TIME_WEIGHT)
            + wait.abs_diff(self.smoothed_answer_time).mul_f64(ANSWER_TIME_WEIGHT);
        self.smoothed_answer_time =
            self.smoothed_answer_time.mul_f64(1.0 - ANSWER_TIME_WEIGHT) + wait.mul_f64(ANSWER_TIME_WEIGHT);
        if wait <= self.parameters.max_normal_wait || now - wait >= self.blocked_until {
            self.adapt_limit(now, wait);
        }
    }

    /// Adapts the limit to a wait at the server, measured or reported: it grows under normal load and is cut on
    /// overload.
    fn adapt_limit(&mut self, now: Duration, wait: Duration) {
        if wait <= self.parameters.max_normal_wait {
            // While the limit is low, each normal wait reverses one cut. A higher limit grows by one per as many normal
            // waits as it admits set-ups, but not beyond what the pending launches and the headroom justify.
            let max_limit = (self.ordered_launches().count() + 1) as f64 + self.parameters.headroom;
            self.limit = (self.limit / LIMIT_CUT_FACTOR)
                .min(self.limit + 1.0 / self.limit)
                .min(max_limit)
                .max(self.limit);
        } else if now >= self.blocked_until {
            self.reduce_limit(now, wait - self.parameters.max_normal_wait);
        }
    }

    /// A full server counts as having no free line until its next report.
    fn mark_full(&mut self, now: Duration, excess: Duration) {
        self.reported_free_lines = Some(0.0);
        self.reduce_limit(now, excess);
    }

    /// Cuts the limit and blocks the server while the excess wait is worked off. The time is random, so that the edge
    /// proxies do not return all at once.
    fn reduce_limit(&mut self, now: Duration, excess: Duration) {
        self.limit = (self.limit * LIMIT_CUT_FACTOR).max(MIN_LIMIT);
        self.blocked_until = self.blocked_until.max(now + excess.mul_f64(0.5 + self.random.share()));
    }

    /// The pending launches that have not been overtaken, oldest first.
    fn ordered_launches(&self) -> impl Iterator<Item = &PendingLaunch> {
        self.pending_launches.iter().filter(|o| o.overtaken_at.is_none())
    }

    /// The time within which nearly all answers arrive.
    fn usual_max_answer_time(&self) -> Duration {
        self.smoothed_answer_time + self.answer_time_spread * ANSWER_TIME_SPREADS
    }

    /// The time without a response after which the server counts as unresponsive.
    fn response_timeout(&self) -> Duration {
        self.parameters.min_response_timeout.max(self.usual_max_answer_time())
    }

    /// The time from which a launch counts as lost: once overtaken and past the usual answer time; or, where set-ups
    /// are not retransmitted, once unanswered for the response time-out without overload.
    fn lost_from(&self, launch: &PendingLaunch) -> Duration {
        match launch.overtaken_at {
            // At the earliest one tick after the answer that overtook it, since its own answer may be the next input.
            Some(at) => (launch.launched_at + self.usual_max_answer_time()).max(at + self.parameters.tick),
            None if self.limit >= 1.0 && self.parameters.surge_ratio.is_infinite() => {
                launch.launched_at + self.response_timeout()
            }
            None => Duration::MAX,
        }
    }

    fn eject(&mut self, now: Duration, why: &str, id: &ServerId, out: &mut dyn Signalling) {
        if self.next_probe_at.is_none() {
            self.next_probe_at = Some(now + self.draw_probe_delay(0.0));
            let (unresponsive_for, pending) = (now - self.last_response_at, self.pending_launches.len());
            let line = format!("server {} at {} set aside: {why}, {pending} out", self.number.0, id.0);
            out.log(&format!("{line}, last sign {unresponsive_for:?} ago"));
        }
    }

    /// The share of its capacity that a recently started server certainly has; `None` once it is warm.
    fn cold_capacity_share(&self, now: Duration) -> Option<f64> {
        let warmed =
            now.saturating_sub(self.started?).as_secs_f64() / self.parameters.warm_up_time.as_secs_f64();
        (warmed < 1.0).then_some(1.0 - (1.0 - self.parameters.cold_start_share) * (1.0 - warmed))
    }

    /// Interval between launches of one edge proxy to a cold server; zero once it is warm.
    fn cold_launch_interval(&self, now: Duration) -> Duration {
        let Some(share) = self.cold_capacity_share(now) else { return Duration::ZERO };
        // The launches are random in number with standard deviation sqrt(mean). The server survives up to
        // budget + 2 * sqrt(budget) + 2 of them; the mean lies COLD_START_DEVIATIONS deviations below that.
        let budget = self.sustained_rate.max(MIN_SUSTAINED_RATE_PER_SECOND)
            * share
            * self.parameters.overload_multiple_seconds;
        let max_launches = budget + 2.0 * budget.sqrt() + 2.0;
        let mean = ((max_launches + COLD_START_DEVIATIONS * COLD_START_DEVIATIONS / 4.0).sqrt()
            - COLD_START_DEVIATIONS / 2.0)
            .powi(2);
        self.parameters.overload_window.mul_f64(self.parameters.proxies / mean)
    }

    /// Interval between launches of one edge proxy if all of them together send this share of the sustained rate;
    /// zero while that rate is unknown.
    fn shared_interval(&self, share: f64) -> Duration {
        let proxies = if self.sustained_rate > 0.0 { self.parameters.proxies } else { 0.0 };
        Duration::from_secs_f64(proxies / (share * self.sustained_rate.max(1.0)))
    }

    /// Delay until the next probe launch, random so that the edge proxies do not probe all at once.
    fn draw_probe_delay(&mut self, min_intervals: f64) -> Duration {
        self.parameters
            .min_response_timeout
            .max(self.shared_interval(PROBE_RATE_SHARE).mul_f64(min_intervals + self.random.share()))
    }
}
