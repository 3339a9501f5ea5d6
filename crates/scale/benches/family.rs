//! What a member costs, with the heap counted by the allocator where the plan is of virtual time: `cargo bench -p lotussaddle-scale
//! --bench family -- PLAN DIRECTORY [SEED [SIZE...]]`; without sizes those of the plan. Records go to the directory.

use std::alloc::{GlobalAlloc, Layout, System};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use lotussaddle_scale::plan::{Mode, ScalePlan};
use lotussaddle_scale::record::Observations;
use lotussaddle_scale::record_file::save_record;
use lotussaddle_scale::socket_run::SocketRunner;
use lotussaddle_scale::virtual_run::VirtualRunner;
use lotussaddle_scale::{RunContext, Runner, run};

const HOST: &str = env!("CARGO_BIN_EXE_lotussaddle-scale-host");

/// Counts the bytes that are allocated and not freed.
struct CountingAllocator;

static IN_USE: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call goes to the system's allocator as it came.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn heap_in_use() -> u64 {
    IN_USE.load(Ordering::Relaxed)
}

/// The runner of a mode, with what this program alone has: the counting allocator, and the host of this package.
fn runner_of(mode: Mode) -> Box<dyn Runner> {
    match mode {
        Mode::Virtual => {
            Box::new(VirtualRunner { heap_in_use: Some(heap_in_use), ..VirtualRunner::default() })
        }
        Mode::Sockets => Box::new(SocketRunner { host_arguments: Vec::new(), ..SocketRunner::default() }),
    }
}

fn print(size: usize, observed: &Observations) {
    for measurement in &observed.measurements {
        let role = measurement.role.map(|role| format!("{role:?}")).unwrap_or_default();
        let kind = measurement.kind.as_ref().map(|kind| kind.0.as_str()).unwrap_or_default();
        let (quantity, aggregate, value) = (measurement.quantity, measurement.aggregate, measurement.value);
        println!("{size:>6} {quantity:<18} {aggregate:<16?} {role:<10} {kind:<16} {value:>16.6}");
    }
    for times in &observed.distributions {
        let (quantity, count, p50, p99, max) = (times.quantity, times.count, times.p50, times.p99, times.max);
        println!("{size:>6} {quantity:<18} {count} times, us: p50 {p50}, p99 {p99}, max {max}");
    }
}

fn main() {
    // `cargo test` and `cargo bench` without a plan run benches too, with words of their own.
    let words: Vec<String> = std::env::args().skip(1).filter(|word| !word.starts_with("--")).collect();
    let [plan, directory, numbers @ ..] = words.as_slice() else { return };
    let plan = ScalePlan::load(Path::new(plan)).unwrap_or_else(|mistakes| panic!("{mistakes}"));
    let seed = numbers.first().map_or(1, |seed| seed.parse().expect("a seed"));
    let mut sizes: Vec<usize> = numbers.iter().skip(1).map(|size| size.parse().expect("a size")).collect();
    if sizes.is_empty() {
        sizes.clone_from(&plan.sizes);
    }
    let runner = runner_of(plan.mode);
    for size in sizes {
        let started = Instant::now();
        let context = RunContext { size, seed, executable: HOST.into() };
        let saved = run(&plan, &context, runner.as_ref()).and_then(|record| {
            print(size, &record.observations);
            save_record(&record, Path::new(directory))
        });
        if let Err(error) = saved {
            println!("{error}");
        }
        println!("{size:>6} took {:.1} s", started.elapsed().as_secs_f64());
    }
}
