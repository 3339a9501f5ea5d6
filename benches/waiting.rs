//! What an input costs the decisions while many dialogues wait: the form with indexes beside the former one, which
//! walks over all that waits. `cargo bench --bench waiting`

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

/// Takes what is decided and keeps the launches.
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
        let mut count = 0;
        for _ in 0..$waiting + 16 {
            brain.dialogue_arrived(now, arrival(count, now), &mut sink);
            count += 1;
        }
        // As many wait all the time: an answer sets one free, and a dial takes its place.
        let (mut answers, mut dials, mut alarms) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
        let mut answered = 0u32;
        let mut worst = Duration::ZERO;
        for _ in 0..$rounds {
            now += Duration::from_micros(200);
            let Some((dialogue, server)) = sink.launched.pop_front() else { break };
            let begun = Instant::now();
            brain.dialogue_stands(now, &dialogue, LaunchNumber(0), &server, &mut sink);
            let took = begun.elapsed();
            (answers, worst, answered) = (answers + took, worst.max(took), answered + 1);
            let begun = Instant::now();
            brain.dialogue_arrived(now, arrival(count, now), &mut sink);
            dials += begun.elapsed();
            count += 1;
            let begun = Instant::now();
            brain.timer_fired(now, TimerId(0), &mut sink);
            alarms += begun.elapsed();
        }
        let each = |sum: Duration| sum.as_secs_f64() * 1e6 / f64::from(answered.max(1));
        (each(answers), each(dials), each(alarms), worst.as_secs_f64() * 1e6, answered)
    }};
}

fn main() {
    // Under `cargo test` it only shows that it runs.
    let quick = std::env::args().any(|a| a == "--test");
    println!("microseconds an input, mean (worst answer)");
    println!(
        "{:>8} {:>28} {:>30}",
        "waiting", "with indexes: answer dial alarm", "former: answer dial alarm"
    );
    for waiting in [100u64, 1000, 10_000, 50_000] {
        if quick && waiting > 100 {
            break;
        }
        let runs = if quick { 1 } else { 3 };
        for _ in 0..runs {
            let (a, d, t, worst, rounds) = measured!(Brain, waiting, 20_000);
            let walks = (2_000_000 / waiting).clamp(30, 2000);
            let (fa, fd, ft, fworst, frounds) = measured!(FormerBrain, waiting, walks);
            println!(
                "{waiting:>8} {a:>8.2} {d:>6.2} {t:>6.2} ({worst:>7.1}) x{rounds} {fa:>10.1} {fd:>9.1} {ft:>9.1} ({fworst:>7.0}) x{frounds}"
            );
        }
    }
}
