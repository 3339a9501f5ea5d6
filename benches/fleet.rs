//! What one input costs the decisions, in time and in heap memory, as the fleet grows tenfold: core servers, edge
//! proxies in the route plan, and dialogues that wait. `cargo bench --bench fleet`

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;

/// Counts what is allocated and not yet let go.
struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);

// SAFETY: hands on to the system's allocator; the count changes nothing about what it gives.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, place: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(place, layout) }
    }
}

#[global_allocator]
static HEAP: Counting = Counting;

fn held() -> usize {
    HELD.load(Ordering::Relaxed)
}

/// Takes what is decided and keeps the launches.
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

/// Half of the products can be taken by half of the servers alone, as trunk groups have it.
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

/// What the waiting room is like.
#[derive(Clone, Copy, PartialEq)]
enum Room {
    /// Each dial finds a server.
    Empty,
    /// All servers are at their limits; an answer lets one dialogue go.
    Full,
    /// All servers are open for a share by lot, and those who wait drew higher lots.
    Shares,
}

const KINDS: [&str; 5] = ["dial", "answer", "report", "list", "alarm"];

struct Run {
    /// Microseconds of each input, by kind.
    took: [Vec<f64>; 5],
    server_bytes: usize,
    waiting_bytes: usize,
}

fn run(servers: i64, proxies: u32, room: Room, waiting: u64, rounds: u32) -> Run {
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
    let before = held();
    brain.server_list_received(now, true, &entries, &mut sink);
    let server_bytes = (held() - before) / servers as usize;
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
    if room == Room::Shares {
        for _ in 0..12 {
            for n in 0..servers {
                brain.load_reported(now, &id(n), &report(Some(500)), &mut sink);
            }
            now += Duration::from_secs(1);
        }
    }
    let before = held();
    let mut count = 0;
    for _ in 0..waiting + 2 * servers as u64 {
        brain.dialogue_arrived(now, arrival(count, now), &mut sink);
        count += 1;
    }
    let waiting_bytes = if waiting > 1000 { (held() - before) / waiting as usize } else { 0 };
    let mut took: [Vec<f64>; 5] = Default::default();
    for round in 0..rounds {
        now += Duration::from_micros(200);
        // In an empty room each dial is answered before the next; else one who waits goes with each answer.
        let answered = sink.launched.pop_front();
        let mut timed = |kind: usize, input: &mut dyn FnMut(&mut Brain, &mut Sink)| {
            let begun = Instant::now();
            input(&mut brain, &mut sink);
            took[kind].push(begun.elapsed().as_secs_f64() * 1e6);
        };
        if let Some((dialogue, server)) = answered {
            timed(1, &mut |brain, sink| {
                brain.dialogue_stands(now, &dialogue, LaunchNumber(0), &server, sink)
            });
        }
        timed(0, &mut |brain, sink| brain.dialogue_arrived(now, arrival(count, now), sink));
        count += 1;
        let n = i64::from(round) % servers;
        let wait = (room != Room::Shares).then_some(1);
        timed(2, &mut |brain, sink| brain.load_reported(now, &id(n), &report(wait), sink));
        timed(4, &mut |brain, sink| brain.timer_fired(now, TimerId(0), sink));
        if round % 8 == 0 {
            let changed = [entry(n)];
            timed(3, &mut |brain, sink| brain.server_list_received(now, false, &changed, sink));
        }
    }
    Run { took, server_bytes, waiting_bytes }
}

fn figures(times: &mut [f64]) -> (f64, f64, f64) {
    times.sort_by(f64::total_cmp);
    let Some(worst) = times.last().copied() else { return (0.0, 0.0, 0.0) };
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    (mean, times[(times.len() * 99 / 100).min(times.len() - 1)], worst)
}

fn main() {
    // Under `cargo test` it only shows that it runs.
    let quick = std::env::args().any(|a| a == "--test");
    let rounds = if quick { 50 } else { 10_000 };
    println!(
        "microseconds an input: mean / p99 / worst; and, of the mean, the ratio to the fleet a tenth the size"
    );
    for (name, room, waiting) in [
        ("few wait", Room::Empty, 0),
        ("10,000 wait, servers at their limits", Room::Full, 10_000),
        ("10,000 wait, servers open for shares", Room::Shares, 10_000),
    ] {
        println!("{name}");
        let waiting = if quick { waiting / 100 } else { waiting };
        let mut small: [f64; 5] = [0.0; 5];
        for (servers, proxies) in [(10, 220), (100, 2200)] {
            let mut run = run(servers, proxies, room, waiting, rounds);
            print!("  {servers:>3} servers, {proxies:>4} proxies:");
            for (kind, times) in run.took.iter_mut().enumerate() {
                let (mean, p99, worst) = figures(times);
                print!("  {} {mean:.2} / {p99:.1} / {worst:.0}", KINDS[kind]);
                if small[kind] > 0.0 {
                    print!(" (x{:.1})", mean / small[kind]);
                }
                small[kind] = mean;
            }
            println!();
            print!("      {} bytes a server", run.server_bytes);
            if run.waiting_bytes > 0 {
                print!(", {} bytes a waiting dialogue", run.waiting_bytes);
            }
            println!();
        }
    }
}
