//! Compares the decision module with its former version in `former/brain.rs`, which scans all waiting dialogues instead
//! of using indexes: given the same random inputs, both must make the same decisions in the same order.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;
use lotussaddle::pcg::Pcg;

#[path = "former/interface.rs"]
#[allow(dead_code, clippy::all)]
mod interface;
mod pcg {
    pub use lotussaddle::pcg::*;
}
#[path = "former/adapter.rs"]
mod adapter;
#[path = "former/brain.rs"]
#[allow(clippy::all)]
mod former;

use adapter::FormerBrain;

/// The decisions as text, and what the simulation needs to continue.
#[derive(Default)]
struct Trace {
    text: String,
    launched: Vec<(DialogueId, ServerId)>,
    concluded: Vec<DialogueId>,
    cancelled: Vec<(DialogueId, LaunchNumber)>,
    timer: Option<Duration>,
}

impl Signalling for Trace {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration) {
        let _ = writeln!(self.text, "launch {} {} {time_out:?}", dialogue.0, server.0);
        self.launched.push((dialogue.clone(), server.clone()));
    }
    fn refuse(&mut self, dialogue: &DialogueId, retry_after: Option<Duration>) {
        let _ = writeln!(self.text, "refuse {} {retry_after:?}", dialogue.0);
        self.concluded.push(dialogue.clone());
    }
    fn fail(&mut self, dialogue: &DialogueId) {
        let _ = writeln!(self.text, "fail {}", dialogue.0);
        self.concluded.push(dialogue.clone());
    }
    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        let _ = writeln!(self.text, "cancel {} {}", dialogue.0, launch.0);
        self.cancelled.push((dialogue.clone(), launch));
    }
    fn set_timer(&mut self, _timer: TimerId, after: Duration) {
        let _ = writeln!(self.text, "timer {after:?}");
        self.timer = Some(after);
    }
    fn log(&mut self, line: &str) {
        let _ = writeln!(self.text, "log {line}");
    }
}

/// A launch without an answer, or one that stands.
struct SimulatedLaunch {
    dialogue: DialogueId,
    launch: LaunchNumber,
    server: ServerId,
}

/// Both versions of the module, and the simulated surroundings that they share.
struct Comparison {
    now: Duration,
    present: Brain,
    former: FormerBrain,
    random: Pcg,
    pending: Vec<SimulatedLaunch>,
    standing: Vec<SimulatedLaunch>,
    launch_counts: std::collections::BTreeMap<DialogueId, u32>,
    timer: Option<Duration>,
    inputs: u64,
    decisions: u64,
    max_waiting: usize,
}

fn plan(random: &mut Pcg) -> RoutePlan {
    let mut pick = |all: &[u64]| all[random.draw() as usize % all.len()];
    let products = (0..pick(&[1, 2, 3]))
        .map(|n| Product {
            promised: Duration::from_millis(pick(&[300, 800, 1500, 2000])),
            mean_duration: Duration::from_millis(pick(&[0, 500, 3000])),
            redial_window: Duration::from_millis(pick(&[3000, 9000])),
            gain: pick(&[1, 2, 6]) as f64,
            late_share: pick(&[0, 1, 3]) as f64 / 10.0,
            servers: (n == 1 && pick(&[0, 1]) == 1).then(|| vec![ServerNumber(0), ServerNumber(2)]),
        })
        .collect();
    RoutePlan {
        proxies: pick(&[1, 4, 30, 200]) as u32,
        products,
        tenants: (0..pick(&[0, 1, 3])).map(|n| Tenant { quota: (n + 1) as f64 * 10.0 }).collect(),
        over_quota_share: 0.2,
        tick: Duration::from_millis(pick(&[1, 5])),
        release_time: Duration::from_millis(pick(&[0, 100, 300])),
        resend_after: Duration::from_millis(pick(&[0, 500])),
        max_launches: pick(&[1, 3, 6]) as u32,
        callers_mark_retries: pick(&[0, 1]) == 1,
        may_cancel: pick(&[0, 1, 1]) == 1,
        max_retry_after: Duration::from_millis(pick(&[0, 2000])),
        cold_start_share: 0.35,
        warm_up_time: Duration::from_millis(pick(&[500, 6000])),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
    }
}

impl Comparison {
    fn new(seed: u64) -> Self {
        let mut random = Pcg::new(seed);
        let fork = random.draw();
        let (present, former) = (plan(&mut Pcg::new(fork.into())), plan(&mut Pcg::new(fork.into())));
        Self {
            now: Duration::ZERO,
            present: Brain::new(present, seed),
            former: FormerBrain::new(former, seed),
            random,
            pending: Vec::new(),
            standing: Vec::new(),
            launch_counts: Default::default(),
            timer: None,
            inputs: 0,
            decisions: 0,
            max_waiting: 0,
        }
    }

    /// Passes an input to both versions and compares their decisions.
    fn compare(
        &mut self, what: &str, present_input: impl FnOnce(&mut Brain, &mut Trace),
        former_input: impl FnOnce(&mut FormerBrain, &mut Trace),
    ) {
        let (mut present, mut former) = (Trace::default(), Trace::default());
        present_input(&mut self.present, &mut present);
        former_input(&mut self.former, &mut former);
        assert_eq!(present.text, former.text, "input {} at {:?}: {what}", self.inputs, self.now);
        self.inputs += 1;
        self.decisions += present.text.lines().filter(|line| !line.starts_with("timer")).count() as u64;
        for (dialogue, server) in present.launched {
            let count = self.launch_counts.entry(dialogue.clone()).or_default();
            self.pending.push(SimulatedLaunch { dialogue, launch: LaunchNumber(*count), server });
            *count += 1;
        }
        for id in present.concluded {
            self.launch_counts.remove(&id);
        }
        if let Some(after) = present.timer {
            self.timer = Some(self.now + after);
        }
        self.max_waiting = self.max_waiting.max(self.launch_counts.len().saturating_sub(self.pending.len()));
        let now = self.now;
        for (dialogue, launch) in present.cancelled {
            if let Some(index) =
                self.pending.iter().position(|o| o.dialogue == dialogue && o.launch == launch)
            {
                let cancelled = self.pending.swap_remove(index);
                // Cancelled while pending, or at the moment it stood.
                let closed = !self.launch_counts.contains_key(&dialogue);
                let outcome = Outcome::Cancelled;
                self.launch_ends(cancelled, outcome, closed);
            }
        }
        assert_eq!(now, self.now);
    }

    fn launch_ends(&mut self, launch: SimulatedLaunch, outcome: Outcome, closed: bool) {
        let now = self.now;
        let end = || LaunchEnd {
            dialogue: launch.dialogue.clone(),
            launch: launch.launch,
            server: launch.server.clone(),
            outcome,
            closed,
            report: LoadReport::default(),
        };
        let (present, former) = (end(), end());
        if closed {
            self.launch_counts.remove(&launch.dialogue);
        }
        self.compare(
            &format!("{outcome:?}"),
            |b, t| b.launch_ended(now, present, t),
            |b, t| b.launch_ended(now, former, t),
        );
    }

    fn draw(&mut self, below: u32) -> usize {
        (self.random.draw() % below) as usize
    }

    fn send_list(&mut self, whole: bool) {
        let entries: Vec<ListEntry> = (0..1 + self.draw(5))
            .map(|n| {
                let states = [
                    ServerState::Active,
                    ServerState::Active,
                    ServerState::Active,
                    ServerState::Draining,
                    ServerState::Gone,
                ];
                let started = if self.draw(4) == 0 { self.now } else { Duration::ZERO };
                ListEntry {
                    server: ServerId(Arc::from(format!("s{}", if whole { n } else { self.draw(7) }))),
                    number: ServerNumber(if whole { n as i64 } else { self.draw(5) as i64 }),
                    state: if whole { ServerState::Active } else { states[self.draw(5)] },
                    started,
                }
            })
            .collect();
        let now = self.now;
        self.compare(
            "list",
            |b, t| b.server_list_received(now, whole, &entries, t),
            |b, t| b.server_list_received(now, whole, &entries, t),
        );
    }

    fn dial(&mut self, products: u32, tenants: u32) {
        let name = format!("{:08x}", self.random.draw());
        let key = format!("k{}", self.draw(200));
        let (product, first_choice) = (self.draw(products), self.draw(7) as i64);
        let tenant = (tenants > 0).then(|| TenantId(self.random.draw() as usize % tenants as usize));
        let width = [1.0, 1.0, 1.0, 4.0][self.draw(4)];
        let left = Duration::from_millis([5, 50, 400, 1500, 3000][self.draw(5)]);
        let (is_retry, redialled_after_cut) = (self.draw(4) == 0, self.draw(10) == 0);
        let now = self.now;
        let arrival = || Arrival {
            id: DialogueId(Arc::from(name.as_str())),
            key: Some(DialledKey(Arc::from(key.as_str()))),
            product: ProductId(product),
            tenant,
            first_choice: ServerNumber(first_choice),
            width,
            dialled_at: now,
            cut_off: now + left,
            is_retry,
            redialled_after_cut,
        };
        self.launch_counts.insert(arrival().id, 0);
        self.compare(
            "dial",
            |b, t| b.dialogue_arrived(now, arrival(), t),
            |b, t| b.dialogue_arrived(now, arrival(), t),
        );
    }

    fn send_report(&mut self) {
        let id = ServerId(Arc::from(format!("s{}", self.draw(7))));
        let lines = [50.0, 1000.0][self.draw(2)];
        let report = LoadReport {
            free_lines: (self.draw(2) == 0).then(|| lines * self.random.share()),
            total_lines: (self.draw(2) == 0).then_some(lines),
            processor_busy: None,
            processor_queue: (self.draw(2) == 0).then(|| self.random.share() * 30.0),
            processor_wait: (self.draw(3) == 0).then(|| Duration::from_secs_f64(self.random.share() * 0.8)),
            rate: (self.draw(3) == 0).then(|| self.random.share() * 40.0),
        };
        let now = self.now;
        self.compare(
            "report",
            |b, t| b.load_reported(now, &id, &report, t),
            |b, t| b.load_reported(now, &id, &report, t),
        );
    }

    fn step(&mut self, products: u32, tenants: u32) {
        // Inputs mostly follow closely; occasionally the edge proxy is stalled.
        let elapsed_us = match self.draw(200) {
            0 => 1_500_000,
            1..=20 => 30_000,
            21..=90 => 1000,
            _ => 0,
        };
        self.now += Duration::from_micros(elapsed_us);
        if self.timer.is_some_and(|at| at <= self.now) {
            self.timer = None;
            let now = self.now;
            self.compare(
                "timer",
                |b, t| b.timer_fired(now, TimerId(0), t),
                |b, t| b.timer_fired(now, TimerId(0), t),
            );
        }
        match self.draw(20) {
            0 if self.draw(10) == 0 => {
                let whole = self.draw(3) == 0;
                self.send_list(whole);
            }
            0 | 1 => self.send_report(),
            2 => {
                if !self.launch_counts.is_empty() {
                    let index = self.random.draw() as usize % self.launch_counts.len();
                    let id = self.launch_counts.keys().nth(index).cloned().expect("the index is in range");
                    self.launch_counts.remove(&id);
                    let now = self.now;
                    self.compare(
                        "caller left",
                        |b, t| b.caller_left(now, &id, t),
                        |b, t| b.caller_left(now, &id, t),
                    );
                }
            }
            3..=7 if !self.pending.is_empty() => {
                let index = self.random.draw() as usize % self.pending.len();
                let launch = self.pending.swap_remove(index);
                let known = self.launch_counts.contains_key(&launch.dialogue);
                if known && self.draw(2) == 0 {
                    self.launch_counts.remove(&launch.dialogue);
                    let (now, id, no, server) =
                        (self.now, launch.dialogue.clone(), launch.launch, launch.server.clone());
                    self.standing.push(launch);
                    self.compare(
                        "stands",
                        |b, t| b.dialogue_stands(now, &id, no, &server, t),
                        |b, t| b.dialogue_stands(now, &id, no, &server, t),
                    );
                } else {
                    use Outcome::*;
                    let all = [
                        TurnedBack,
                        TurnedBack,
                        NoFreeLine,
                        NumberBusy,
                        Fault,
                        TimedOut,
                        Unreachable,
                        BrokenOff,
                        NotSent,
                    ];
                    let outcome = all[self.draw(9)];
                    self.launch_ends(launch, outcome, !known);
                }
            }
            8 if !self.standing.is_empty() => {
                let launch = self.standing.pop().expect("a launch stands");
                let outcome = [Outcome::Ended, Outcome::BrokenOff][self.draw(2)];
                self.launch_ends(launch, outcome, true);
            }
            _ => self.dial(products, tenants),
        }
    }
}

#[test]
fn both_versions_make_the_same_decisions() {
    let (mut inputs, mut decisions, mut max_waiting) = (0, 0, 0);
    for seed in 0..150 {
        let mut comparison = Comparison::new(seed);
        let shape = plan(&mut Pcg::new(Pcg::new(seed).draw().into()));
        let (products, tenants) = (shape.products.len() as u32, shape.tenants.len() as u32);
        comparison.send_list(true);
        for _ in 0..1500 {
            comparison.step(products, tenants);
        }
        (inputs, decisions) = (inputs + comparison.inputs, decisions + comparison.decisions);
        max_waiting = max_waiting.max(comparison.max_waiting);
    }
    // Fewer inputs or decisions would make the comparison meaningless.
    assert!(inputs > 200_000 && decisions > 100_000, "{inputs} inputs, {decisions} decisions");
    assert!(max_waiting > 100, "at most {max_waiting} dialogues waiting");
}
