//! Cost of an input to the decision module, in time and heap memory, when the number of core servers and of edge proxies
//! in the route plan grows tenfold. Run with `cargo bench --bench fleet`.

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;

/// Allocator that counts the bytes allocated and not yet freed.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on to the system allocator unchanged; counting has no effect on its results.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static HEAP: CountingAllocator = CountingAllocator;

fn allocated_bytes() -> usize {
    ALLOCATED_BYTES.load(Ordering::Relaxed)
}

/// Records the launches and discards all other effects.
#[derive(Default)]
struct Sink {
    launched: VecDeque<(DialogueId, ServerId)>,
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

/// A plan in which only half of the servers can handle half of the products, as with trunk groups.
fn plan(servers: i64, proxies: u32) -> RoutePlan {
    let product = |n: i64| Product {
        promised: Duration::from_secs(1000),
        mean_duration: Duration::from_secs(8),
        redial_window: Duration::from_secs(2000),
        gain: [1.0, 6.0, 2.0, 2.0][n as usize],
        late_share: 0.25,
        servers: (n % 2 == 1).then(|| (0..servers / 2).map(ServerNumber).collect()),
    };
    RoutePlan {
        proxies,
        products: (0..4).map(product).collect(),
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

/// State of the waiting queue.
#[derive(Clone, Copy, PartialEq)]
enum QueueState {
    /// Each dialogue finds a server.
    Empty,
    /// All servers are at their limits; each answer releases one dialogue.
    LimitsReached,
    /// All servers take a share of the dialogues, and the random ranks of the waiting ones are above it.
    RanksAboveShare,
}

const INPUT_KINDS: [&str; 5] = ["dial", "answer", "report", "list", "timer"];

struct Run {
    /// Microseconds per input, by kind.
    input_times_us: [Vec<f64>; 5],
    server_bytes: usize,
    waiting_bytes: usize,
}

fn run(servers: i64, proxies: u32, queue_state: QueueState, waiting: u64, rounds: u32) -> Run {
    let id = |n: i64| ServerId(Arc::from(format!("core-{n}")));
    let (mut brain, mut sink) = (Brain::new(plan(servers, proxies), 7), Sink::default());
    let mut now = Duration::from_millis(1);
    let entry = |n| ListEntry {
        server: id(n),
        number: ServerNumber(n),
        state: ServerState::Active,
        started: Duration::ZERO,
    };
    let entries: Vec<ListEntry> = (0..servers).map(entry).collect();
    let before = allocated_bytes();
    brain.server_list_received(now, true, &entries, &mut sink);
    let server_bytes = (allocated_bytes() - before) / servers as usize;
    let arrival = |n: u64, now: Duration| Arrival {
        id: DialogueId(Arc::from(format!("gateway-17-{n}"))),
        key: Some(DialledKey(Arc::from(format!("key-{n}")))),
        product: ProductId(n as usize % 4),
        tenant: Some(TenantId(n as usize % 2)),
        first_choice: ServerNumber(n as i64 / 4 % servers),
        width: 1.0,
        dialled_at: now,
        cut_off: now + Duration::from_secs(1500),
        is_retry: false,
        redialled_after_cut: false,
    };
    let report = |wait: Option<u64>| LoadReport {
        free_lines: Some(9e6),
        total_lines: Some(9e6 + 800.0),
        processor_wait: wait.map(Duration::from_millis),
        ..LoadReport::default()
    };
    if queue_state == QueueState::RanksAboveShare {
        for _ in 0..12 {
            for n in 0..servers {
                brain.load_reported(now, &id(n), &report(Some(500)), &mut sink);
            }
            now += Duration::from_secs(1);
        }
    }
    let before = allocated_bytes();
    let mut arrival_count = 0;
    for _ in 0..waiting + 2 * servers as u64 {
        brain.dialogue_arrived(now, arrival(arrival_count, now), &mut sink);
        arrival_count += 1;
    }
    let waiting_bytes = if waiting > 1000 { (allocated_bytes() - before) / waiting as usize } else { 0 };
    let mut input_times_us: [Vec<f64>; 5] = Default::default();
    for round in 0..rounds {
        now += Duration::from_micros(200);
        // With an empty queue each dialogue is answered before the next; else each answer releases a waiting one.
        let answered = sink.launched.pop_front();
        let mut timed = |kind: usize, input: &mut dyn FnMut(&mut Brain, &mut Sink)| {
            let started_at = Instant::now();
            input(&mut brain, &mut sink);
            input_times_us[kind].push(started_at.elapsed().as_secs_f64() * 1e6);
        };
        if let Some((dialogue, server)) = answered {
            timed(1, &mut |brain, sink| {
                brain.dialogue_stands(now, &dialogue, LaunchNumber(0), &server, sink)
            });
        }
        timed(0, &mut |brain, sink| brain.dialogue_arrived(now, arrival(arrival_count, now), sink));
        arrival_count += 1;
        let n = i64::from(round) % servers;
        let wait = (queue_state != QueueState::RanksAboveShare).then_some(1);
        timed(2, &mut |brain, sink| brain.load_reported(now, &id(n), &report(wait), sink));
        timed(4, &mut |brain, sink| brain.timer_fired(now, TimerId(0), sink));
        if round % 8 == 0 {
            let changed = [entry(n)];
            timed(3, &mut |brain, sink| brain.server_list_received(now, false, &changed, sink));
        }
    }
    Run { input_times_us, server_bytes, waiting_bytes }
}

/// Mean, 99th percentile and maximum.
fn summary(times: &mut [f64]) -> (f64, f64, f64) {
    times.sort_by(f64::total_cmp);
    let Some(max) = times.last().copied() else { return (0.0, 0.0, 0.0) };
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    (mean, times[(times.len() * 99 / 100).min(times.len() - 1)], max)
}

fn main() {
    // Under `cargo test`, a short run only checks that the bench works.
    let is_test = std::env::args().any(|a| a == "--test");
    let rounds = if is_test { 50 } else { 10_000 };
    println!(
        "microseconds per input: mean / p99 / max; and the ratio of the mean to that of the fleet a tenth the size"
    );
    for (name, queue_state, waiting) in [
        ("few dialogues wait", QueueState::Empty, 0),
        ("10,000 dialogues wait, servers at their limits", QueueState::LimitsReached, 10_000),
        ("10,000 dialogues wait, servers take a share", QueueState::RanksAboveShare, 10_000),
    ] {
        println!("{name}");
        let waiting = if is_test { waiting / 100 } else { waiting };
        let mut means_of_small_fleet: [f64; 5] = [0.0; 5];
        for (servers, proxies) in [(10, 220), (100, 2200)] {
            let mut run = run(servers, proxies, queue_state, waiting, rounds);
            print!("  {servers:>3} servers, {proxies:>4} proxies:");
            for (kind, times) in run.input_times_us.iter_mut().enumerate() {
                let (mean, p99, max) = summary(times);
                print!("  {} {mean:.2} / {p99:.1} / {max:.0}", INPUT_KINDS[kind]);
                if means_of_small_fleet[kind] > 0.0 {
                    print!(" (x{:.1})", mean / means_of_small_fleet[kind]);
                }
                means_of_small_fleet[kind] = mean;
            }
            println!();
            print!("      {} bytes per server", run.server_bytes);
            if run.waiting_bytes > 0 {
                print!(", {} bytes per waiting dialogue", run.waiting_bytes);
            }
            println!();
        }
    }
}
