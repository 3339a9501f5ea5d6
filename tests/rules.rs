//! Property tests of the five rules: the decision modules of several edge proxies with one plan, in front of simulated
//! core servers that answer, turn back, time out, reset, hang, drain, die and return cold; messages arrive late or twice.
//! Each run is generated from a seed and checked at every decision, and a failure names its seed. To run more seeds:
//! `LOTUSSADDLE_SEEDS=2000 cargo test --test rules`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;
use lotussaddle::pcg::Pcg;

const MS: Duration = Duration::from_millis(1);
/// Callers dial until this time; servers continue after it.
const DIALS_END: Duration = Duration::from_secs(12);
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
/// Launches beyond the budget of a cold server that count as random variation.
const COLD_BUDGET_TOLERANCE: f64 = 3.0;

/// One effect of a decision.
enum Decision {
    Launch(DialogueId, ServerId, Duration),
    Refuse(DialogueId),
    Fail(DialogueId),
    Cancel(DialogueId, LaunchNumber),
}

#[derive(Default)]
/// The effects of one input, in order.
struct Decisions {
    effects: Vec<Decision>,
    timer: Option<Duration>,
}

impl Signalling for Decisions {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration) {
        self.effects.push(Decision::Launch(dialogue.clone(), server.clone(), time_out));
    }
    fn refuse(&mut self, dialogue: &DialogueId, _: Option<Duration>) {
        self.effects.push(Decision::Refuse(dialogue.clone()));
    }
    fn fail(&mut self, dialogue: &DialogueId) {
        self.effects.push(Decision::Fail(dialogue.clone()));
    }
    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        self.effects.push(Decision::Cancel(dialogue.clone(), launch));
    }
    fn set_timer(&mut self, _: TimerId, after: Duration) {
        self.timer = Some(after);
    }
    fn log(&mut self, _: &str) {}
}

/// An input of an edge proxy.
#[derive(Clone)]
enum Input {
    Dial(DialogueId),
    HangUp(DialogueId),
    Stood(DialogueId, LaunchNumber, ServerId, LoadReport),
    End(DialogueId, LaunchNumber, ServerId, Outcome, LoadReport),
    Report(ServerId, LoadReport),
    List(bool, Vec<ListEntry>),
    Timer,
    /// A stalled edge proxy continues.
    Resume,
}

enum Event {
    Deliver(usize, Input),
    /// A launch arrives at a core server.
    LaunchArrives(usize, DialogueId, LaunchNumber, ServerId),
    /// A dialogue that stood at a core server ends.
    DialogueEnds(usize, DialogueId, LaunchNumber, ServerId, u32),
    ReportLoad(ServerId),
    Disturbance,
    NextDial,
}

struct Call {
    proxy: usize,
    arrival: Option<Arrival>,
    cut_off: Duration,
    answered: bool,
    caller_left: bool,
    pending_launch: Option<(LaunchNumber, ServerId)>,
    stands: bool,
    launch_count: u32,
    /// When its last launch of unknown outcome ended.
    outcome_unknown_at: Option<Duration>,
}

struct Proxy {
    brain: Brain,
    timer: Option<Duration>,
    /// State of the servers in the last list received, and the latest start known.
    known_servers: BTreeMap<ServerId, (ServerState, Duration)>,
    is_stalled: bool,
    stalls: Vec<(Duration, Duration)>,
    delayed_inputs: VecDeque<Input>,
}

struct Core {
    number: ServerNumber,
    incarnation: u32,
    started: Option<Duration>,
    state: ServerState,
    is_up: bool,
    is_hung: bool,
    /// Share of its answers that are lost.
    loss_share: f64,
    /// Share of its launches that it fails.
    fault_share: f64,
    capacity: f64,
    slowdown: f64,
    lines: f64,
    free_at: Duration,
    standing: Vec<(usize, DialogueId, LaunchNumber)>,
    /// Launches since its cold start from edge proxies that know of that start.
    cold_launches: VecDeque<Duration>,
}

/// How often the situations occurred in which a rule could be broken.
#[derive(Clone, Debug, Default)]
struct Coverage {
    answers: u64,
    answers_near_cut_off: u64,
    relaunches: u64,
    launches_after_unknown_outcome: u64,
    launches_while_draining: u64,
    cold_launches: u64,
    max_cold_budget_share: f64,
}

#[derive(Clone, Default)]
struct Verdict {
    violations: Vec<(u8, String)>,
    coverage: Coverage,
}

struct Simulation {
    seed: u64,
    random: Pcg,
    now: Duration,
    plan: RoutePlan,
    proxies: Vec<Proxy>,
    cores: BTreeMap<ServerId, Core>,
    calls: BTreeMap<DialogueId, Call>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    rate: f64,
    /// From this time on, edge proxies receive nothing but their timers.
    inputs_end_at: Duration,
    verdict: Verdict,
}

fn plan(random: &mut Pcg, proxies: usize) -> RoutePlan {
    let mut pick = |all: &[u64]| all[random.draw() as usize % all.len()];
    let products = (0..pick(&[1, 2, 3]))
        .map(|n| Product {
            promised: MS * pick(&[400, 900, 1500]) as u32,
            mean_duration: MS * 3000,
            redial_window: MS * 6000,
            gain: pick(&[1, 2, 6]) as f64,
            late_share: 0.25,
            servers: (n == 2).then(|| vec![ServerNumber(1), ServerNumber(0)]),
        })
        .collect();
    RoutePlan {
        proxies: proxies as u32,
        products,
        tenants: (0..pick(&[0, 2])).map(|n| Tenant { quota: (n + 1) as f64 * 10.0 }).collect(),
        over_quota_share: 0.2,
        tick: MS * pick(&[2, 10]) as u32,
        release_time: MS * pick(&[100, 300]) as u32,
        resend_after: MS * pick(&[0, 500]) as u32,
        max_launches: pick(&[2, 6]) as u32,
        callers_mark_retries: pick(&[0, 1]) == 1,
        may_cancel: pick(&[0, 1, 1]) == 1,
        max_retry_after: MS * pick(&[0, 2000]) as u32,
        cold_start_share: 0.35,
        warm_up_time: MS * 5000,
        overload_multiple: 2.5,
        overload_window: OVERLOAD_WINDOW,
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut random = Pcg::new(seed);
        let proxies = [1, 2, 4, 12, 40][random.draw() as usize % 5];
        let fork = random.draw().into();
        let new_plan = || plan(&mut Pcg::new(fork), proxies);
        let proxy = |n| Proxy {
            brain: Brain::new(new_plan(), seed << 8 | n as u64),
            timer: None,
            known_servers: BTreeMap::new(),
            is_stalled: false,
            stalls: Vec::new(),
            delayed_inputs: VecDeque::new(),
        };
        let inputs_end_at =
            if seed.is_multiple_of(3) { MS * (2000 + random.draw() % 8000) } else { MS * 60_000 };
        let mut simulation = Self {
            seed,
            now: Duration::ZERO,
            plan: new_plan(),
            proxies: (0..proxies).map(proxy).collect(),
            cores: BTreeMap::new(),
            calls: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            rate: 0.0,
            inputs_end_at,
            verdict: Verdict::default(),
            random,
        };
        for number in 0..2 + simulation.below(4) as i64 {
            let capacity = 10.0 + simulation.random.share() * 30.0;
            simulation.rate += capacity;
            simulation.add_core(&format!("core-{number}"), number, capacity, None);
        }
        simulation.rate *=
            (0.3 + simulation.random.share() * 0.7) * if simulation.has_restarts_only() { 2.0 } else { 1.0 };
        for proxy in 0..proxies {
            simulation.send_list(proxy, true);
        }
        simulation.at(MS * 50, Event::NextDial);
        simulation.at(MS * 500, Event::Disturbance);
        simulation
    }

    /// Whether servers only drain, die and return in this run, with more demand than they can handle.
    fn has_restarts_only(&self) -> bool {
        self.seed % 4 == 1
    }

    fn below(&mut self, n: u32) -> u32 {
        self.random.draw() % n
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// Sends an input to an edge proxy, with a random delay and sometimes twice.
    fn send(&mut self, proxy: usize, input: Input, max_delay_ms: u32) {
        let may_repeat =
            matches!(input, Input::List(..) | Input::Report(..) | Input::Stood(..) | Input::End(..));
        for _ in 0..1 + u32::from(may_repeat && self.below(12) == 0) {
            let way = MS / 10 * (1 + self.below(20)) + MS * self.below(max_delay_ms.max(1));
            self.at(self.now + way, Event::Deliver(proxy, input.clone()));
        }
    }

    fn add_core(&mut self, name: &str, number: i64, capacity: f64, started: Option<Duration>) {
        let core = Core {
            number: ServerNumber(number),
            incarnation: 0,
            started,
            state: ServerState::Active,
            is_up: true,
            is_hung: false,
            loss_share: 0.0,
            fault_share: 0.0,
            capacity,
            slowdown: 1.0,
            lines: capacity * 6.0,
            free_at: self.now,
            standing: Vec::new(),
            cold_launches: VecDeque::new(),
        };
        let id = ServerId(Arc::from(name));
        self.cores.insert(id.clone(), core);
        self.at(self.now + MS * 100, Event::ReportLoad(id));
    }

    fn entry(&self, id: &ServerId) -> ListEntry {
        let core = &self.cores[id];
        let started = core.started.unwrap_or_default();
        ListEntry { server: id.clone(), number: core.number, state: core.state, started }
    }

    fn send_list(&mut self, proxy: usize, whole: bool) {
        let is_omitted = |core: &Core| whole && core.state == ServerState::Gone;
        let ids: Vec<ServerId> =
            self.cores.iter().filter(|(_, core)| !is_omitted(core)).map(|(id, _)| id.clone()).collect();
        let entries = ids.iter().map(|id| self.entry(id)).collect();
        self.send(proxy, Input::List(whole, entries), if whole { 1 } else { 900 });
    }

    fn send_list_to_all(&mut self) {
        for proxy in 0..self.proxies.len() {
            let whole = self.below(4) == 0;
            self.send_list(proxy, whole);
        }
    }

    fn record_violation(&mut self, rule: u8, what: String) {
        let at = self.now;
        self.verdict.violations.push((rule, format!("seed {} at {at:?}: {what}", self.seed)));
    }

    fn capacity_share(&self, core: &Core, now: Duration) -> f64 {
        let Some(started) = core.started else { return 1.0 };
        let warmed = (now - started).as_secs_f64() / self.plan.warm_up_time.as_secs_f64();
        (self.plan.cold_start_share + (1.0 - self.plan.cold_start_share) * warmed).min(1.0)
    }

    fn report(&self, core: &Core) -> LoadReport {
        LoadReport {
            free_lines: Some((core.lines - core.standing.len() as f64).max(0.0)),
            total_lines: Some(core.lines),
            processor_wait: (self.seed % 2 == 1).then(|| core.free_at.saturating_sub(self.now)),
            ..LoadReport::default()
        }
    }

    fn run(mut self) -> Verdict {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if at > DIALS_END * 5 {
                break; // Some timer is set again and again; this is reported below.
            }
            match event {
                Event::Deliver(proxy, input) => self.deliver(proxy, input),
                Event::NextDial => self.next_dial(),
                Event::Disturbance => self.disturb(),
                Event::LaunchArrives(proxy, id, launch, server) => {
                    self.launch_arrives(proxy, id, launch, &server)
                }
                Event::DialogueEnds(proxy, id, launch, server, incarnation) => {
                    self.dialogue_ends(proxy, id, launch, &server, incarnation)
                }
                Event::ReportLoad(server) => {
                    let Some(core) = self.cores.get(&server) else { continue };
                    let (report, is_unresponsive) = (self.report(core), core.is_hung || !core.is_up);
                    for proxy in 0..self.proxies.len() {
                        if !is_unresponsive {
                            let max_delay_ms = if self.below(10) == 0 { 900 } else { 5 };
                            self.send(proxy, Input::Report(server.clone(), report.clone()), max_delay_ms);
                        }
                    }
                    if self.now < DIALS_END {
                        self.at(self.now + MS * 300, Event::ReportLoad(server));
                    }
                }
            }
        }
        let unanswered: Vec<String> = self
            .calls
            .iter()
            .filter(|(_, c)| !c.answered && !c.caller_left)
            .map(|(id, _)| id.0.to_string())
            .collect();
        if !unanswered.is_empty() {
            self.record_violation(1, format!("never answered: {unanswered:?}"));
        }
        let inputs_ended = self.inputs_end_at < self.now;
        // When every caller has been answered, no dialogue, launch or timer may be left.
        let held: Vec<_> = self.proxies.iter().map(|p| (p.timer.is_some(), p.brain.held_counts())).collect();
        if held.iter().any(|(is_timer_set, (dialogues, _, pending, _))| {
            *is_timer_set || dialogues + if inputs_ended { 0 } else { *pending } > 0
        }) {
            self.record_violation(1, format!("timers or dialogues left after all answers: {held:?}"));
        }
        self.verdict
    }

    // The callers and core servers

    fn next_dial(&mut self) {
        if self.now >= DIALS_END || self.now >= self.inputs_end_at {
            return;
        }
        let burst_factor = if (self.now.as_millis() / 1500).is_multiple_of(4) { 2.0 } else { 1.0 };
        let gap = -(1.0 - self.random.share()).ln() / (self.rate * burst_factor);
        self.at(self.now + Duration::from_secs_f64(gap), Event::NextDial);
        let proxy = self.below(self.proxies.len() as u32) as usize;
        let id = DialogueId(Arc::from(format!("d{}", self.calls.len())));
        let time_to_cut_off = MS * [5, 40, 400, 1500, 3000, 3000][self.below(6) as usize];
        let arrival = Arrival {
            id: id.clone(),
            key: (self.below(4) > 0).then(|| DialledKey(Arc::from(format!("k{}", self.random.draw() % 300)))),
            product: ProductId(self.random.draw() as usize % self.plan.products.len()),
            tenant: (!self.plan.tenants.is_empty()).then(|| TenantId(self.random.draw() as usize % 2)),
            first_choice: ServerNumber(self.below(7).into()),
            width: [1.0, 1.0, 2.0][self.below(3) as usize],
            dialled_at: self.now,
            cut_off: self.now + time_to_cut_off,
            is_retry: self.below(5) == 0,
            redialled_after_cut: self.below(20) == 0,
        };
        let call = Call {
            proxy,
            arrival: Some(arrival),
            cut_off: self.now + time_to_cut_off,
            answered: false,
            caller_left: false,
            pending_launch: None,
            stands: false,
            launch_count: 0,
            outcome_unknown_at: None,
        };
        self.calls.insert(id.clone(), call);
        self.at(self.now, Event::Deliver(proxy, Input::Dial(id.clone())));
        if self.below(8) == 0 {
            let after = time_to_cut_off.mul_f64(self.random.share());
            self.at(self.now + after, Event::Deliver(proxy, Input::HangUp(id)));
        }
    }

    fn disturb(&mut self) {
        if self.now >= DIALS_END {
            return;
        }
        let next = self.now + MS * (100 + self.below(1200));
        self.at(next, Event::Disturbance);
        let ids: Vec<ServerId> = self.cores.keys().cloned().collect();
        let id = ids[self.below(ids.len() as u32) as usize].clone();
        let now = self.now;
        let draw = if self.has_restarts_only() { 5 + self.below(3) } else { self.below(10) };
        let share = self.random.share();
        let core = self.cores.get_mut(&id).expect("the core server exists");
        match draw {
            0 => core.is_hung = !core.is_hung,
            1 => core.loss_share = share / 2.0,
            2 => core.fault_share = if share < 0.2 { 1.0 } else { share / 3.0 },
            3 => core.slowdown = 1.0 + share * 6.0,
            4 => (core.loss_share, core.fault_share, core.slowdown, core.is_hung) = (0.0, 0.0, 1.0, false),
            5 if core.state == ServerState::Active => core.state = ServerState::Draining,
            // It dies, or it returns cold: under its own identifier, or as a new server of its number.
            5 | 6 if core.is_up => self.kill(&id),
            5..=7 if !core.is_up => {
                let (number, capacity) = (core.number.0, core.capacity);
                if share < 0.6 {
                    (core.is_up, core.is_hung, core.state) = (true, false, ServerState::Active);
                    (core.started, core.free_at, core.slowdown) = (Some(now), now, 1.0);
                    core.cold_launches.clear();
                } else {
                    core.state = ServerState::Gone;
                    let name = format!("core-{number}-{}", self.count);
                    self.add_core(&name, number, capacity, Some(now));
                }
            }
            8 => {
                let proxy = self.below(self.proxies.len() as u32) as usize;
                let until = now + MS * (50 + self.random.draw() % 1500);
                if !self.proxies[proxy].is_stalled {
                    self.proxies[proxy].is_stalled = true;
                    self.proxies[proxy].stalls.push((now, until));
                    self.at(until, Event::Deliver(proxy, Input::Resume));
                }
            }
            _ => {}
        }
        self.send_list_to_all();
    }

    fn kill(&mut self, id: &ServerId) {
        let core = self.cores.get_mut(id).expect("the core server exists");
        (core.is_up, core.incarnation) = (false, core.incarnation + 1);
        let connections_reset = self.random.draw().is_multiple_of(2);
        let cut = std::mem::take(&mut self.cores.get_mut(id).expect("the core server exists").standing);
        let none = LoadReport::default;
        for (proxy, dialogue, launch) in cut {
            self.send(proxy, Input::End(dialogue, launch, id.clone(), Outcome::BrokenOff, none()), 1);
        }
        if connections_reset {
            let pending = self.calls.iter().filter_map(|(dialogue, call)| {
                let (launch, at) = call.pending_launch.as_ref().filter(|(_, at)| at == id)?;
                Some((call.proxy, dialogue.clone(), *launch, at.clone()))
            });
            for (proxy, dialogue, launch, at) in pending.collect::<Vec<_>>() {
                self.send(proxy, Input::End(dialogue, launch, at, Outcome::BrokenOff, none()), 1);
            }
        }
    }

    fn launch_arrives(&mut self, proxy: usize, id: DialogueId, launch: LaunchNumber, server: &ServerId) {
        let draw = self.random.share();
        let number_busy = self.below(60) == 0;
        let now = self.now;
        let Some(core) = self.cores.get(server) else { return };
        if !core.is_up {
            if draw < 0.5 {
                let end = Input::End(id, launch, server.clone(), Outcome::Unreachable, LoadReport::default());
                self.send(proxy, end, 1);
            }
            return;
        }
        if core.is_hung || draw < core.loss_share / 2.0 {
            return;
        }
        let report = self.report(core);
        let wait = core.free_at.saturating_sub(now);
        let outcome = if draw < core.loss_share {
            Some(Outcome::BrokenOff)
        } else if draw < core.loss_share + core.fault_share {
            Some(Outcome::Fault)
        } else if number_busy {
            Some(Outcome::NumberBusy)
        } else if core.standing.len() as f64 >= core.lines {
            Some(Outcome::NoFreeLine)
        } else {
            (wait > MS * 900).then_some(Outcome::TurnedBack)
        };
        if let Some(outcome) = outcome {
            return self.send(proxy, Input::End(id, launch, server.clone(), outcome, report), 3);
        }
        let processing_seconds = core.slowdown / (core.capacity * self.capacity_share(core, now));
        let incarnation = core.incarnation;
        let core = self.cores.get_mut(server).expect("the core server exists");
        core.free_at = core.free_at.max(now) + Duration::from_secs_f64(processing_seconds);
        core.standing.push((proxy, id.clone(), launch));
        let answer_at = core.free_at;
        self.at(answer_at, Event::Deliver(proxy, Input::Stood(id.clone(), launch, server.clone(), report)));
        let duration_seconds = -(1.0 - self.random.share()).ln() * 3.0;
        self.at(
            answer_at + Duration::from_secs_f64(duration_seconds),
            Event::DialogueEnds(proxy, id, launch, server.clone(), incarnation),
        );
    }

    fn dialogue_ends(
        &mut self, proxy: usize, id: DialogueId, launch: LaunchNumber, server: &ServerId, incarnation: u32,
    ) {
        let Some(core) = self.cores.get_mut(server).filter(|core| core.incarnation == incarnation) else {
            return;
        };
        core.standing.retain(|(_, there, no)| (there, *no) != (&id, launch));
        let report = self.report(&self.cores[server]);
        self.send(proxy, Input::End(id, launch, server.clone(), Outcome::Ended, report), 1);
    }

    // The I/O driver of an edge proxy

    fn deliver(&mut self, proxy: usize, input: Input) {
        let state = &mut self.proxies[proxy];
        if let Input::Resume = input {
            state.is_stalled = false;
            for input in std::mem::take(&mut state.delayed_inputs) {
                self.process(proxy, input);
            }
            return;
        }
        if state.is_stalled {
            return state.delayed_inputs.push_back(input);
        }
        // From `inputs_end_at` on, only timers are delivered, not even time-outs of launches.
        if matches!(input, Input::Timer) || self.now < self.inputs_end_at {
            self.process(proxy, input);
        }
    }

    fn process(&mut self, proxy: usize, input: Input) {
        let (now, mut decisions) = (self.now, Decisions::default());
        let brain = &mut self.proxies[proxy].brain;
        match input {
            Input::Dial(id) => {
                let call = self.calls.get_mut(&id).expect("the dialogue was dialled");
                if let Some(arrival) = call.arrival.take_if(|_| !call.caller_left) {
                    brain.dialogue_arrived(now, arrival, &mut decisions);
                }
            }
            Input::HangUp(id) => {
                let call = self.calls.get_mut(&id).expect("the dialogue was dialled");
                if !call.answered {
                    call.caller_left = true;
                    brain.caller_left(now, &id, &mut decisions);
                }
            }
            Input::Report(server, report) => brain.load_reported(now, &server, &report, &mut decisions),
            Input::Stood(id, launch, server, report) => {
                let call = self.calls.get_mut(&id).expect("the dialogue was dialled");
                if call.pending_launch.as_ref() == Some(&(launch, server.clone())) {
                    call.pending_launch = None;
                    if call.answered || call.caller_left {
                        // No answer is owed any more: the launch was cancelled at the moment it stood.
                        let outcome = Outcome::Cancelled;
                        let end = LaunchEnd { dialogue: id, launch, server, outcome, closed: true, report };
                        brain.launch_ended(now, end, &mut decisions);
                    } else {
                        call.stands = true;
                        self.answered(&id);
                        let brain = &mut self.proxies[proxy].brain;
                        brain.dialogue_stands(now, &id, launch, &server, &mut decisions);
                        brain.load_reported(now, &server, &report, &mut decisions);
                    }
                }
            }
            Input::End(id, launch, server, outcome, report) => {
                let call = self.calls.get_mut(&id).expect("the dialogue was dialled");
                let is_pending = call.pending_launch.as_ref() == Some(&(launch, server.clone()));
                let stood_and_ended = call.stands && matches!(outcome, Outcome::Ended | Outcome::BrokenOff);
                if is_pending || stood_and_ended {
                    use Outcome::{BrokenOff, Cancelled, TimedOut};
                    if is_pending && matches!(outcome, TimedOut | BrokenOff | Cancelled) {
                        call.outcome_unknown_at = Some(now);
                    }
                    call.stands &= !stood_and_ended;
                    call.pending_launch = None;
                    let closed = call.answered || call.caller_left;
                    let end = LaunchEnd { dialogue: id, launch, server, outcome, closed, report };
                    brain.launch_ended(now, end, &mut decisions);
                }
            }
            Input::List(whole, entries) => {
                let known = &mut self.proxies[proxy].known_servers;
                if whole {
                    known.values_mut().for_each(|server| server.0 = ServerState::Gone);
                }
                for entry in &entries {
                    let started = known.get(&entry.server).map_or(Duration::ZERO, |server| server.1);
                    known.insert(entry.server.clone(), (entry.state, started.max(entry.started)));
                }
                let brain = &mut self.proxies[proxy].brain;
                brain.server_list_received(now, whole, &entries, &mut decisions);
            }
            Input::Timer => {
                self.proxies[proxy].timer = None;
                self.proxies[proxy].brain.timer_fired(now, TimerId(0), &mut decisions);
            }
            Input::Resume => {}
        }
        if let Some(after) = decisions.timer {
            self.proxies[proxy].timer = Some(now + after);
            self.at(now + after, Event::Deliver(proxy, Input::Timer));
        }
        let mut cancelled = Vec::new();
        for decision in decisions.effects {
            match decision {
                Decision::Launch(id, server, time_out) => self.launched(proxy, &id, server, time_out),
                Decision::Refuse(id) | Decision::Fail(id) => self.answered(&id),
                Decision::Cancel(id, launch) => {
                    let pending =
                        self.calls[&id].pending_launch.clone().filter(|(number, _)| *number == launch);
                    cancelled.extend(pending.map(|(_, server)| (id, launch, server)));
                }
            }
        }
        // The end of a cancelled launch is a separate input.
        for (id, launch, server) in cancelled {
            self.process(proxy, Input::End(id, launch, server, Outcome::Cancelled, LoadReport::default()));
        }
    }

    // The rules

    fn answered(&mut self, id: &DialogueId) {
        let now = self.now;
        let call = self.calls.get_mut(id).expect("the dialogue was dialled");
        let (is_repeated, is_late, has_left) = (call.answered, now > call.cut_off, call.caller_left);
        call.answered = true;
        // An edge proxy that is stalled at a cut-off answers when it continues.
        let (proxy, cut_off) = (call.proxy, call.cut_off);
        let stalls = &self.proxies[proxy].stalls;
        let is_excused = stalls.iter().any(|(from, to)| *from <= cut_off && cut_off <= *to && now <= *to);
        self.verdict.coverage.answers += 1;
        self.verdict.coverage.answers_near_cut_off +=
            u64::from(now + self.plan.tick * 3 >= self.calls[id].cut_off);
        if is_repeated {
            self.record_violation(1, format!("{} has a second answer", id.0));
        } else if has_left {
            self.record_violation(1, format!("{} is answered after its caller hung up", id.0));
        } else if is_late && !is_excused {
            self.record_violation(1, format!("{} is answered after its cut-off", id.0));
        }
    }

    fn launched(&mut self, proxy: usize, id: &DialogueId, server: ServerId, time_out: Duration) {
        let now = self.now;
        let call = self.calls.get_mut(id).expect("the dialogue was dialled");
        let launch = LaunchNumber(call.launch_count);
        let (is_pending, stands) = (call.pending_launch.is_some(), call.stands);
        let (is_over, outcome_unknown_at) = (call.answered || call.caller_left, call.outcome_unknown_at);
        call.launch_count += 1;
        call.pending_launch = Some((launch, server.clone()));
        self.verdict.coverage.relaunches += u64::from(launch.0 > 0);
        if is_over {
            self.record_violation(1, format!("{} is launched after its answer", id.0));
        }
        if is_pending || stands {
            self.record_violation(
                2,
                format!("{} is launched while another launch is pending or stands", id.0),
            );
        }
        let (state, known_start) =
            self.proxies[proxy].known_servers.get(&server).copied().unwrap_or((ServerState::Gone, now));
        let some_draining =
            self.proxies[proxy].known_servers.values().any(|(state, _)| *state == ServerState::Draining);
        self.verdict.coverage.launches_while_draining += u64::from(some_draining);
        if state != ServerState::Active {
            self.record_violation(
                3,
                format!("{} is launched at {}, which is known to be {state:?}", id.0, server.0),
            );
        }
        if let Some(unknown_at) = outcome_unknown_at {
            self.verdict.coverage.launches_after_unknown_outcome += 1;
            if now < unknown_at + self.plan.release_time {
                self.record_violation(
                    5,
                    format!("{} is launched {:?} after a launch of unknown outcome", id.0, now - unknown_at),
                );
            }
        }
        self.check_cold_budget(&server, known_start);
        let until = now + time_out;
        let end = Input::End(id.clone(), launch, server.clone(), Outcome::TimedOut, LoadReport::default());
        self.at(until, Event::Deliver(proxy, end));
        let way = MS / 10 * (1 + self.below(20));
        self.at(now + way, Event::LaunchArrives(proxy, id.clone(), launch, server));
    }

    /// Checks the launches that all edge proxies together send a server that they know to be cold.
    fn check_cold_budget(&mut self, server: &ServerId, known: Duration) {
        let now = self.now;
        let Some(core) = self.cores.get(server) else { return };
        let (capacity_share, capacity) = (self.capacity_share(core, now), core.capacity);
        if capacity_share >= 1.0 || core.started != Some(known) {
            return;
        }
        let core = self.cores.get_mut(server).expect("the core server exists");
        core.cold_launches.push_back(now);
        while core.cold_launches.front().is_some_and(|at| *at + OVERLOAD_WINDOW < now) {
            core.cold_launches.pop_front();
        }
        let max_launches =
            self.plan.overload_multiple * capacity_share * capacity * OVERLOAD_WINDOW.as_secs_f64()
                + COLD_BUDGET_TOLERANCE;
        let (sent, coverage) = (core.cold_launches.len() as f64, &mut self.verdict.coverage);
        coverage.cold_launches += 1;
        coverage.max_cold_budget_share = coverage.max_cold_budget_share.max(sent / max_launches);
        if sent > max_launches {
            self.record_violation(
                4,
                format!(
                    "{} receives {sent} launches within {OVERLOAD_WINDOW:?}, {max_launches:.1} allowed",
                    server.0
                ),
            );
        }
    }
}

/// The runs, shared by the tests of all rules.
fn shared_verdict() -> &'static Verdict {
    static VERDICT: OnceLock<Verdict> = OnceLock::new();
    VERDICT.get_or_init(|| {
        let seeds = std::env::var("LOTUSSADDLE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(240);
        let workers: Vec<_> = (0..4u64)
            .map(|part| {
                let run_part =
                    move || (part..seeds).step_by(4).map(|seed| Simulation::new(seed).run()).collect();
                std::thread::spawn(run_part)
            })
            .collect();
        let mut all = Verdict::default();
        for worker in workers {
            let verdicts: Vec<Verdict> = worker.join().expect("a run panicked; its seed is above");
            for Verdict { violations, coverage } in verdicts {
                all.violations.extend(violations);
                all.coverage.answers += coverage.answers;
                all.coverage.answers_near_cut_off += coverage.answers_near_cut_off;
                all.coverage.relaunches += coverage.relaunches;
                all.coverage.launches_after_unknown_outcome += coverage.launches_after_unknown_outcome;
                all.coverage.launches_while_draining += coverage.launches_while_draining;
                all.coverage.cold_launches += coverage.cold_launches;
                all.coverage.max_cold_budget_share =
                    all.coverage.max_cold_budget_share.max(coverage.max_cold_budget_share);
            }
        }
        println!("{:?}", all.coverage);
        all
    })
}

/// Asserts that no run violated this rule, and that the runs covered it sufficiently.
fn assert_rule(rule: u8, is_covered: impl Fn(&Coverage) -> bool) {
    let verdict = shared_verdict();
    let violations: Vec<&String> =
        verdict.violations.iter().filter(|(r, _)| *r == rule).map(|(_, w)| w).collect();
    assert!(
        violations.is_empty(),
        "rule {rule} violated {} times: {:#?}",
        violations.len(),
        &violations[..violations.len().min(5)]
    );
    assert!(is_covered(&verdict.coverage), "too little coverage of rule {rule}: {:?}", verdict.coverage);
}

#[test]
fn one_answer_before_the_cut_off_and_nothing_after() {
    assert_rule(1, |coverage| coverage.answers > 50_000 && coverage.answers_near_cut_off > 1_000);
}

#[test]
fn never_two_pending_launches() {
    assert_rule(2, |coverage| coverage.relaunches > 2_000);
}

#[test]
fn no_launch_to_a_server_known_to_drain_or_be_gone() {
    assert_rule(3, |coverage| coverage.launches_while_draining > 500);
}

#[test]
fn all_proxies_together_stay_within_the_budget_of_a_cold_server() {
    assert_rule(4, |coverage| coverage.cold_launches > 5_000 && coverage.max_cold_budget_share > 0.4);
}

#[test]
fn no_relaunch_within_the_release_time_after_an_unknown_outcome() {
    assert_rule(5, |coverage| coverage.launches_after_unknown_outcome > 1_000);
}

// Invalid inputs, which no I/O driver should pass in.

fn arrival(id: &str, now: Duration, cut_off: Duration) -> Arrival {
    Arrival {
        id: DialogueId(Arc::from(id)),
        key: None,
        product: ProductId(0),
        tenant: None,
        first_choice: ServerNumber(0),
        width: 1.0,
        dialled_at: now,
        cut_off,
        is_retry: false,
        redialled_after_cut: false,
    }
}

fn entry(name: &str, number: i64, started: Duration) -> ListEntry {
    ListEntry {
        server: ServerId(Arc::from(name)),
        number: ServerNumber(number),
        state: ServerState::Active,
        started,
    }
}

/// A decision module with two active servers, a and b, of numbers 0 and 1.
fn brain() -> (Brain, Decisions) {
    let (mut brain, mut decisions) = (Brain::new(plan(&mut Pcg::new(1), 4), 7), Decisions::default());
    brain.server_list_received(
        MS * 1000,
        true,
        &[entry("a", 0, Duration::ZERO), entry("b", 1, Duration::ZERO)],
        &mut decisions,
    );
    (brain, decisions)
}

/// Number of answers among the effects, not counting launches.
fn answer_count(decisions: &Decisions) -> usize {
    decisions
        .effects
        .iter()
        .filter(|decision| matches!(decision, Decision::Refuse(_) | Decision::Fail(_)))
        .count()
}

#[test]
fn clock_that_runs_backwards_stands_still() {
    let (mut brain, mut decisions) = brain();
    brain.dialogue_arrived(MS * 1010, arrival("d1", MS * 1010, MS * 3000), &mut decisions);
    let (id, server) = (DialogueId(Arc::from("d1")), ServerId(Arc::from("a")));
    let report = LoadReport { free_lines: Some(5.0), total_lines: Some(9.0), ..LoadReport::default() };
    brain.load_reported(MS * 400, &server, &report, &mut decisions);
    brain.timer_fired(MS * 10, TimerId(0), &mut decisions);
    brain.dialogue_stands(MS * 20, &id, LaunchNumber(0), &server, &mut decisions);
    brain.dialogue_arrived(MS * 30, arrival("d2", MS * 30, MS * 900), &mut decisions);
    assert_eq!(answer_count(&decisions), 1, "the cut-off of d2 has passed");
}

#[test]
fn implausible_reported_figures_are_ignored() {
    let implausible = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 1e308, 5e-324];
    for (field, figure) in implausible.iter().flat_map(|figure| (0..5).map(move |field| (field, *figure))) {
        let (mut brain, mut decisions) = brain();
        let figure_at = |at: usize| if at == field { Some(figure) } else { Some(40.0) };
        let wait = figure_at(4).and_then(|w| Duration::try_from_secs_f64(w).ok()).filter(|_| field == 4);
        let report = LoadReport {
            free_lines: figure_at(0),
            total_lines: figure_at(1),
            processor_queue: figure_at(2).filter(|_| field == 2),
            rate: figure_at(3),
            processor_wait: wait,
            ..LoadReport::default()
        };
        for (n, server) in ["a", "b", "nobody's"].iter().cycle().take(12).enumerate() {
            let now = MS * (1000 + 600 * n as u32);
            brain.load_reported(now, &ServerId(Arc::from(*server)), &report, &mut decisions);
            brain.dialogue_arrived(now, arrival(&format!("d{n}"), now, now + MS * 3000), &mut decisions);
            // Every launch stands at once, so that only the reported figures can prevent the next one.
            if let Some(Decision::Launch(id, server, _)) = decisions.effects.pop() {
                brain.dialogue_stands(now + MS * 5, &id, LaunchNumber(0), &server, &mut decisions);
            }
        }
        let plausible =
            LoadReport { free_lines: Some(30.0), total_lines: Some(40.0), ..LoadReport::default() };
        for server in ["a", "b"] {
            brain.load_reported(MS * 20_000, &ServerId(Arc::from(server)), &plausible, &mut decisions);
        }
        decisions.effects.clear();
        brain.dialogue_arrived(MS * 90_000, arrival("last", MS * 90_000, MS * 93_000), &mut decisions);
        let launched = decisions.effects.iter().any(|decision| matches!(decision, Decision::Launch(..)));
        assert!(launched, "no launch after a plausible report that follows {figure} in field {field}");
    }
}

#[test]
fn unknown_product_fails_and_repeated_id_is_ignored() {
    let (mut brain, mut decisions) = brain();
    let unknown = Arrival { product: ProductId(9), ..arrival("d1", MS * 1010, MS * 3000) };
    brain.dialogue_arrived(MS * 1010, unknown, &mut decisions);
    assert_eq!(answer_count(&decisions), 1, "answered at once");
    // No server can take it, so it waits; then it arrives again, and its caller hangs up.
    brain.server_list_received(MS * 1010, true, &[], &mut decisions);
    brain.dialogue_arrived(MS * 1010, arrival("d2", MS * 1010, MS * 3000), &mut decisions);
    brain.dialogue_arrived(MS * 1011, arrival("d2", MS * 1011, MS * 2000), &mut decisions);
    brain.caller_left(MS * 1012, &DialogueId(Arc::from("d2")), &mut decisions);
    brain.server_list_received(MS * 1013, true, &[entry("a", 0, Duration::ZERO)], &mut decisions);
    brain.timer_fired(MS * 3500, TimerId(0), &mut decisions);
    assert_eq!(decisions.effects.len(), 1, "no launch, no second answer");
}

#[test]
fn empty_plan_and_unbounded_times_are_handled() {
    let mut empty = plan(&mut Pcg::new(1), 0);
    (empty.products, empty.tenants) = (Vec::new(), vec![Tenant { quota: 0.0 }]);
    let (mut brain, mut decisions) = (Brain::new(empty, 7), Decisions::default());
    brain.server_list_received(MS, true, &[entry("a", 0, MS)], &mut decisions);
    brain.dialogue_arrived(
        MS,
        Arrival { tenant: Some(TenantId(0)), ..arrival("d1", MS, MS * 50) },
        &mut decisions,
    );
    assert_eq!(answer_count(&decisions), 1);
    // With a tick of zero and no proxies, timers are still set in the future, and a cold server still receives one
    // launch at a time.
    let mut idle = plan(&mut Pcg::new(1), 0);
    idle.tick = Duration::ZERO;
    let (mut brain, mut decisions) = (Brain::new(idle, 7), Decisions::default());
    brain.server_list_received(MS * 100, true, &[entry("a", 0, MS * 100)], &mut decisions);
    for n in 0..3 {
        brain.dialogue_arrived(MS * 700, arrival(&format!("d{n}"), MS * 700, MS * 3000), &mut decisions);
    }
    assert!(decisions.timer > Some(Duration::ZERO), "{:?}", decisions.timer);
    let launched =
        decisions.effects.iter().filter(|decision| matches!(decision, Decision::Launch(..))).count();
    assert!(launched <= 1, "{launched} launches at once");
    let mut endless = plan(&mut Pcg::new(1), 4);
    endless.release_time = Duration::MAX;
    for product in &mut endless.products {
        (product.promised, product.redial_window) = (Duration::MAX, Duration::MAX);
    }
    let (mut brain, mut decisions) = (Brain::new(endless, 7), Decisions::default());
    let tenant = Some(TenantId(usize::MAX));
    let key = Some(DialledKey(Arc::from("k")));
    let server = ServerId(Arc::from("a"));
    brain.server_list_received(MS, true, &[entry("a", 0, Duration::MAX)], &mut decisions);
    brain.dialogue_arrived(MS, Arrival { tenant, key, ..arrival("d1", MS, Duration::MAX) }, &mut decisions);
    let end = |outcome| LaunchEnd {
        dialogue: DialogueId(Arc::from("d1")),
        launch: LaunchNumber(0),
        server: server.clone(),
        outcome,
        closed: false,
        report: LoadReport::default(),
    };
    brain.launch_ended(MS * 2, end(Outcome::TimedOut), &mut decisions);
    brain.timer_fired(MS * 9, TimerId(0), &mut decisions);
    brain.caller_left(MS * 10, &DialogueId(Arc::from("d1")), &mut decisions);
    brain.timer_fired(MS * 11, TimerId(0), &mut decisions);
}

/// A server whose identifier moves to another number retains its pending launches.
#[test]
fn renumbered_server_retains_its_pending_launches() {
    let (mut brain, mut decisions) = brain();
    brain.dialogue_arrived(MS * 1010, arrival("d1", MS * 1010, MS * 3000), &mut decisions);
    brain.server_list_received(MS * 1020, false, &[entry("a", 5, Duration::ZERO)], &mut decisions);
    brain.server_list_received(MS * 1030, false, &[entry("a", 6, MS * 1025)], &mut decisions);
    let (id, server) = (DialogueId(Arc::from("d1")), ServerId(Arc::from("a")));
    brain.dialogue_stands(MS * 1040, &id, LaunchNumber(0), &server, &mut decisions);
    brain.timer_fired(MS * 4000, TimerId(0), &mut decisions);
    assert_eq!((decisions.effects.len(), answer_count(&decisions)), (1, 0), "one launch, and it stands");
}

/// Memory for past callers and servers is bounded.
#[test]
fn past_callers_and_servers_are_evicted() {
    let (mut brain, mut decisions) = brain();
    for n in 0..3000u32 {
        let now = MS * (1100 + 100 * n);
        let number = 100 + i64::from(n);
        brain.server_list_received(
            now,
            false,
            &[entry(&format!("s{n}"), number, Duration::ZERO)],
            &mut decisions,
        );
        brain.server_list_received(
            now,
            false,
            &[ListEntry { state: ServerState::Gone, ..entry(&format!("s{n}"), number, MS) }],
            &mut decisions,
        );
    }
    assert!(brain.held_counts().1 < 1000, "{:?}", brain.held_counts());
    // Callers that are given up at once, all within the redial window of each other.
    let now = MS * 400_000;
    for n in 0..200_100 {
        let key = Some(DialledKey(Arc::from(format!("k{n}"))));
        brain.dialogue_arrived(now, Arrival { key, ..arrival(&format!("c{n}"), now, now) }, &mut decisions);
    }
    assert_eq!(brain.held_counts().3, 200_000);
}
