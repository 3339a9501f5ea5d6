//! The decisions before and after they got their indexes: random inputs go to both forms, and every decision of the
//! one must be that of the other, in the same order. `former/brain.rs` is the form that walked over all that waits,
//! as it was settled on the bench.

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

/// What was decided, as text; and what a world needs to go on.
#[derive(Default)]
struct Trace {
    text: String,
    launched: Vec<(DialogueId, ServerId)>,
    let_go: Vec<DialogueId>,
    cancelled: Vec<(DialogueId, LaunchNumber)>,
    alarm: Option<Duration>,
}

impl Signalling for Trace {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration) {
        let _ = writeln!(self.text, "launch {} {} {time_out:?}", dialogue.0, server.0);
        self.launched.push((dialogue.clone(), server.clone()));
    }
    fn refuse(&mut self, dialogue: &DialogueId, come_back: Option<Duration>) {
        let _ = writeln!(self.text, "refuse {} {come_back:?}", dialogue.0);
        self.let_go.push(dialogue.clone());
    }
    fn fail(&mut self, dialogue: &DialogueId) {
        let _ = writeln!(self.text, "fail {}", dialogue.0);
        self.let_go.push(dialogue.clone());
    }
    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        let _ = writeln!(self.text, "cancel {} {}", dialogue.0, launch.0);
        self.cancelled.push((dialogue.clone(), launch));
    }
    fn set_timer(&mut self, _timer: TimerId, after: Duration) {
        let _ = writeln!(self.text, "timer {after:?}");
        self.alarm = Some(after);
    }
    fn log(&mut self, line: &str) {
        let _ = writeln!(self.text, "log {line}");
    }
}

/// A launch that is out in the world.
struct Out {
    dialogue: DialogueId,
    launch: LaunchNumber,
    server: ServerId,
}

struct Both {
    now: Duration,
    new: Brain,
    old: FormerBrain,
    chance: Pcg,
    out: Vec<Out>,
    standing: Vec<Out>,
    launches: std::collections::BTreeMap<DialogueId, u32>,
    alarm: Option<Duration>,
    inputs: u64,
    decisions: u64,
    most_waiting: usize,
}

fn plan(chance: &mut Pcg) -> RoutePlan {
    let mut pick = |all: &[u64]| all[chance.draw() as usize % all.len()];
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

impl Both {
    fn new(seed: u64) -> Self {
        let mut chance = Pcg::new(seed);
        let fork = chance.draw();
        let (one, two) = (plan(&mut Pcg::new(fork.into())), plan(&mut Pcg::new(fork.into())));
        Self {
            now: Duration::ZERO,
            new: Brain::new(one, seed),
            old: FormerBrain::new(two, seed),
            chance,
            out: Vec::new(),
            standing: Vec::new(),
            launches: Default::default(),
            alarm: None,
            inputs: 0,
            decisions: 0,
            most_waiting: 0,
        }
    }

    /// Brings an input to both and compares all that comes of it.
    fn bring(
        &mut self, what: &str, new: impl FnOnce(&mut Brain, &mut Trace),
        old: impl FnOnce(&mut FormerBrain, &mut Trace),
    ) {
        let (mut one, mut two) = (Trace::default(), Trace::default());
        new(&mut self.new, &mut one);
        old(&mut self.old, &mut two);
        assert_eq!(one.text, two.text, "input {} at {:?}: {what}", self.inputs, self.now);
        self.inputs += 1;
        self.decisions += one.text.lines().filter(|line| !line.starts_with("timer")).count() as u64;
        for (dialogue, server) in one.launched {
            let count = self.launches.entry(dialogue.clone()).or_default();
            self.out.push(Out { dialogue, launch: LaunchNumber(*count), server });
            *count += 1;
        }
        for id in one.let_go {
            self.launches.remove(&id);
        }
        if let Some(after) = one.alarm {
            self.alarm = Some(self.now + after);
        }
        self.most_waiting = self.most_waiting.max(self.launches.len().saturating_sub(self.out.len()));
        let now = self.now;
        for (dialogue, launch) in one.cancelled {
            if let Some(place) = self.out.iter().position(|o| o.dialogue == dialogue && o.launch == launch) {
                let out = self.out.swap_remove(place);
                // Called off at once, or in the moment it stood.
                let closed = !self.launches.contains_key(&dialogue);
                let outcome = Outcome::Cancelled;
                self.ends(out, outcome, closed);
            }
        }
        assert_eq!(now, self.now);
    }

    fn ends(&mut self, out: Out, outcome: Outcome, closed: bool) {
        let now = self.now;
        let end = || LaunchEnd {
            dialogue: out.dialogue.clone(),
            launch: out.launch,
            server: out.server.clone(),
            outcome,
            closed,
            report: LoadReport::default(),
        };
        let (one, two) = (end(), end());
        if closed {
            self.launches.remove(&out.dialogue);
        }
        self.bring(
            &format!("{outcome:?}"),
            |b, t| b.launch_ended(now, one, t),
            |b, t| b.launch_ended(now, two, t),
        );
    }

    fn draw(&mut self, below: u32) -> usize {
        (self.chance.draw() % below) as usize
    }

    fn list(&mut self, whole: bool) {
        let entries: Vec<ListEntry> = (0..1 + self.draw(5))
            .map(|n| {
                let listed = [
                    ServerState::Active,
                    ServerState::Active,
                    ServerState::Active,
                    ServerState::Draining,
                    ServerState::Gone,
                ];
                let since = if self.draw(4) == 0 { self.now } else { Duration::ZERO };
                ListEntry {
                    server: ServerId(Arc::from(format!("s{}", if whole { n } else { self.draw(7) }))),
                    number: ServerNumber(if whole { n as i64 } else { self.draw(5) as i64 }),
                    state: if whole { ServerState::Active } else { listed[self.draw(5)] },
                    started: since,
                }
            })
            .collect();
        let now = self.now;
        self.bring(
            "list",
            |b, t| b.server_list_received(now, whole, &entries, t),
            |b, t| b.server_list_received(now, whole, &entries, t),
        );
    }

    fn dial(&mut self, products: u32, tenants: u32) {
        let name = format!("{:08x}", self.chance.draw());
        let key = format!("k{}", self.draw(200));
        let (product, first_choice) = (self.draw(products), self.draw(7) as i64);
        let tenant = (tenants > 0).then(|| TenantId(self.chance.draw() as usize % tenants as usize));
        let width = [1.0, 1.0, 1.0, 4.0][self.draw(4)];
        let left = Duration::from_millis([5, 50, 400, 1500, 3000][self.draw(5)]);
        let (again, came_back) = (self.draw(4) == 0, self.draw(10) == 0);
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
            is_retry: again,
            redialled_after_cut: came_back,
        };
        self.launches.insert(arrival().id, 0);
        self.bring(
            "dial",
            |b, t| b.dialogue_arrived(now, arrival(), t),
            |b, t| b.dialogue_arrived(now, arrival(), t),
        );
    }

    fn report(&mut self) {
        let id = ServerId(Arc::from(format!("s{}", self.draw(7))));
        let lines = [50.0, 1000.0][self.draw(2)];
        let report = LoadReport {
            free_lines: (self.draw(2) == 0).then(|| lines * self.chance.share()),
            total_lines: (self.draw(2) == 0).then_some(lines),
            processor_busy: None,
            processor_queue: (self.draw(2) == 0).then(|| self.chance.share() * 30.0),
            processor_wait: (self.draw(3) == 0).then(|| Duration::from_secs_f64(self.chance.share() * 0.8)),
            rate: (self.draw(3) == 0).then(|| self.chance.share() * 40.0),
        };
        let now = self.now;
        self.bring(
            "report",
            |b, t| b.load_reported(now, &id, &report, t),
            |b, t| b.load_reported(now, &id, &report, t),
        );
    }

    fn step(&mut self, products: u32, tenants: u32) {
        // Mostly little time passes; now and then the proxy stands still.
        let passes = match self.draw(200) {
            0 => 1_500_000,
            1..=20 => 30_000,
            21..=90 => 1000,
            _ => 0,
        };
        self.now += Duration::from_micros(passes);
        if self.alarm.is_some_and(|at| at <= self.now) {
            self.alarm = None;
            let now = self.now;
            self.bring(
                "alarm",
                |b, t| b.timer_fired(now, TimerId(0), t),
                |b, t| b.timer_fired(now, TimerId(0), t),
            );
        }
        match self.draw(20) {
            0 if self.draw(10) == 0 => {
                let whole = self.draw(3) == 0;
                self.list(whole);
            }
            0 | 1 => self.report(),
            2 => {
                if !self.launches.is_empty() {
                    let place = self.chance.draw() as usize % self.launches.len();
                    let id = self.launches.keys().nth(place).cloned().expect("it is there");
                    self.launches.remove(&id);
                    let now = self.now;
                    self.bring("left", |b, t| b.caller_left(now, &id, t), |b, t| b.caller_left(now, &id, t));
                }
            }
            3..=7 if !self.out.is_empty() => {
                let place = self.chance.draw() as usize % self.out.len();
                let out = self.out.swap_remove(place);
                let known = self.launches.contains_key(&out.dialogue);
                if known && self.draw(2) == 0 {
                    self.launches.remove(&out.dialogue);
                    let (now, id, no, server) =
                        (self.now, out.dialogue.clone(), out.launch, out.server.clone());
                    self.standing.push(out);
                    self.bring(
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
                    self.ends(out, outcome, !known);
                }
            }
            8 if !self.standing.is_empty() => {
                let out = self.standing.pop().expect("it stands");
                let outcome = [Outcome::Ended, Outcome::BrokenOff][self.draw(2)];
                self.ends(out, outcome, true);
            }
            _ => self.dial(products, tenants),
        }
    }
}

#[test]
fn both_forms_decide_alike() {
    let (mut inputs, mut decisions, mut most_waiting) = (0, 0, 0);
    for seed in 0..150 {
        let mut both = Both::new(seed);
        let shape = plan(&mut Pcg::new(Pcg::new(seed).draw().into()));
        let (products, tenants) = (shape.products.len() as u32, shape.tenants.len() as u32);
        both.list(true);
        for _ in 0..1500 {
            both.step(products, tenants);
        }
        (inputs, decisions) = (inputs + both.inputs, decisions + both.decisions);
        most_waiting = most_waiting.max(both.most_waiting);
    }
    // That much must have happened for the comparison to mean something.
    assert!(inputs > 200_000 && decisions > 100_000, "{inputs} inputs, {decisions} decisions");
    assert!(most_waiting > 100, "{most_waiting} waiting at most");
}
