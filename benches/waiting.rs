//! Cost of an input to the decision module while many dialogues wait: the present version with indexes compared with
//! the former one, which scans all waiting dialogues. Run with `cargo bench --bench waiting`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;

#[path = "../tests/former/interface.rs"]
#[allow(dead_code, clippy::all)]
mod interface;
mod pcg {
    pub use lotussaddle::pcg::*;
}
#[path = "../tests/former/adapter.rs"]
#[allow(dead_code)]
mod adapter;
#[path = "../tests/former/brain.rs"]
#[allow(dead_code, clippy::all)]
mod former;

use adapter::FormerBrain;

/// Records the launches and discards all other effects.
#[derive(Default)]
struct Sink {
    launched: std::collections::VecDeque<(DialogueId, ServerId)>,
}

impl Signalling for Sink {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, _time_out: Duration) {
        self.launched.push_back((dialogue.clone(), server.clone()));
    }
    fn refuse(&mut self, _: &DialogueId, _: Option<Duration>) {}
    fn fail(&mut self, _: &DialogueId) {}
    fn cancel(&mut self, _: &DialogueId, _: LaunchNumber) {}
    fn set_timer(&mut self, _: TimerId, _: Duration) {}
    fn log(&mut self, _: &str) {}
}

fn plan() -> RoutePlan {
    let product = |gain| Product {
        promised: Duration::from_secs(100),
        mean_duration: Duration::from_secs(8),
        redial_window: Duration::from_secs(200),
        gain,
        late_share: 0.25,
        servers: None,
    };
    RoutePlan {
        proxies: 3,
        products: vec![product(1.0), product(6.0), product(2.0)],
        tenants: vec![Tenant { quota: 30.0 }, Tenant { quota: 10.0 }],
        over_quota_share: 0.2,
        tick: Duration::from_millis(5),
        release_time: Duration::from_millis(300),
        resend_after: Duration::from_millis(500),
        max_launches: 6,
        callers_mark_retries: true,
        may_cancel: true,
        max_retry_after: Duration::from_secs(2),
        cold_start_share: 0.35,
        warm_up_time: Duration::from_secs(15),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
    }
}

macro_rules! measured {
    ($brain:ty, $waiting:expr, $rounds:expr) => {{
        let (mut brain, mut sink) = (<$brain>::new(plan(), 7), Sink::default());
        let mut now = Duration::from_millis(1);
        let entries: Vec<ListEntry> = (0..8)
            .map(|n| ListEntry {
                server: ServerId(Arc::from(format!("core-{n}"))),
                number: ServerNumber(n),
                state: ServerState::Active,
                started: Duration::ZERO,
            })
            .collect();
        brain.server_list_received(now, true, &entries, &mut sink);
        let arrival = |n: u64, now: Duration| Arrival {
            id: DialogueId(Arc::from(format!("gateway-17-{n}"))),
            key: Some(DialledKey(Arc::from(format!("key-{n}")))),
            product: ProductId(n as usize % 3),
            tenant: Some(TenantId(n as usize % 2)),
            first_choice: ServerNumber(n as i64 % 8),
            width: 1.0,
            dialled_at: now,
            cut_off: now + Duration::from_secs(150),
            is_retry: false,
            redialled_after_cut: false,
        };
        let mut arrival_count = 0;
        for _ in 0..$waiting + 16 {
            brain.dialogue_arrived(now, arrival(arrival_count, now), &mut sink);
            arrival_count += 1;
        }
        // The number of waiting dialogues is constant: an answer releases one, and a new dial replaces it.
        let (mut answers, mut dials, mut timers) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
        let mut answered = 0u32;
        let mut max_answer_time = Duration::ZERO;
        for _ in 0..$rounds {
            now += Duration::from_micros(200);
            let Some((dialogue, server)) = sink.launched.pop_front() else { break };
            let started_at = Instant::now();
            brain.dialogue_stands(now, &dialogue, LaunchNumber(0), &server, &mut sink);
            let elapsed = started_at.elapsed();
            (answers, max_answer_time, answered) =
                (answers + elapsed, max_answer_time.max(elapsed), answered + 1);
            let started_at = Instant::now();
            brain.dialogue_arrived(now, arrival(arrival_count, now), &mut sink);
            dials += started_at.elapsed();
            arrival_count += 1;
            let started_at = Instant::now();
            brain.timer_fired(now, TimerId(0), &mut sink);
            timers += started_at.elapsed();
        }
        let mean_us = |sum: Duration| sum.as_secs_f64() * 1e6 / f64::from(answered.max(1));
        (mean_us(answers), mean_us(dials), mean_us(timers), max_answer_time.as_secs_f64() * 1e6, answered)
    }};
}

fn main() {
    // Under `cargo test`, a short run only checks that the bench works.
    let is_test = std::env::args().any(|a| a == "--test");
    println!("microseconds per input, mean (maximum answer)");
    println!(
        "{:>8} {:>28} {:>30}",
        "waiting", "with indexes: answer dial timer", "former: answer dial timer"
    );
    for waiting in [100u64, 1000, 10_000, 50_000] {
        if is_test && waiting > 100 {
            break;
        }
        let runs = if is_test { 1 } else { 3 };
        for _ in 0..runs {
            let (answer, dial, timer, max_answer_time, rounds) = measured!(Brain, waiting, 20_000);
            let former_rounds = (2_000_000 / waiting).clamp(30, 2000);
            let (former_answer, former_dial, former_timer, former_max_answer_time, former_rounds) =
                measured!(FormerBrain, waiting, former_rounds);
            println!(
                "{waiting:>8} {answer:>8.2} {dial:>6.2} {timer:>6.2} ({max_answer_time:>7.1}) x{rounds} {former_answer:>10.1} {former_dial:>9.1} {former_timer:>9.1} ({former_max_answer_time:>7.0}) x{former_rounds}"
            );
        }
    }
}
