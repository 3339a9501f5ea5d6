//! The structure made for prefixes beside plain ones, and what a swap costs. `cargo bench -p lotussaddle-numbers --bench
//! prefixes`; a word behind `--` runs one part: find, swap, under-load.

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lotussaddle_numbers::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Counts what is set aside, so that structures are compared by the same measure.
struct Counting;
static HELD: AtomicUsize = AtomicUsize::new(0);

unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

fn held<T>(make: impl FnOnce() -> T) -> (T, usize) {
    let before = HELD.load(Ordering::Relaxed);
    let made = make();
    (made, HELD.load(Ordering::Relaxed) - before)
}

fn digits(rng: &mut Pcg64Mcg, from: Digits, count: usize) -> Digits {
    from.join((0..count).map(|_| char::from_digit(rng.random_range(0..10), 10).expect("a digit")))
        .expect("short")
}

/// Prefixes as carriers have them: some forty countries, areas under them, blocks of numbers under these.
fn prefixes(count: usize, rng: &mut Pcg64Mcg) -> Vec<(Digits, u32)> {
    let plus = Digits::parse("+").expect("a sign");
    let countries: Vec<Digits> = (0..40).map(|_| digits(rng, plus, 2)).collect();
    let mut all: BTreeMap<Digits, u32> = countries.iter().map(|country| (*country, 0)).collect();
    while all.len() < count {
        let country = countries[rng.random_range(0..countries.len())];
        let longer = if count < 10_000 { rng.random_range(1..5) } else { rng.random_range(3..9) };
        all.insert(digits(rng, country, longer), rng.random_range(0..500));
    }
    all.into_iter().collect()
}

/// Half are numbers under a prefix of the table, half are any numbers of its countries.
fn numbers(table: &[(Digits, u32)], rng: &mut Pcg64Mcg) -> Vec<Digits> {
    let under = |rng: &mut Pcg64Mcg| {
        let (prefix, _) = table[rng.random_range(0..table.len())];
        let prefix = if rng.random() { prefix } else { prefix.first(3) };
        digits(rng, prefix, 13 - prefix.len())
    };
    (0..1 << 18).map(|_| under(rng)).collect()
}

/// By turns, several times, so that what the machine does besides falls on all alike.
fn rate(numbers: &[Digits], find: &dyn Fn(Digits) -> Option<u32>) -> f64 {
    let begun = Instant::now();
    let mut count = 0u64;
    while begun.elapsed() < Duration::from_millis(250) {
        for number in numbers.iter().take(1 << 15).chain(&numbers[1 << 15..1 << 16]) {
            black_box(find(*number));
        }
        count += 1 << 16;
    }
    count as f64 / begun.elapsed().as_secs_f64()
}

fn find() {
    println!(
        "prefixes  structure                      M look-ups/s (least..most of 5)   bytes/entry   times ordered map"
    );
    for count in [1_000, 100_000, 1_000_000] {
        let mut rng = Pcg64Mcg::seed_from_u64(count as u64);
        let table = prefixes(count, &mut rng);
        let asked = numbers(&table, &mut rng);
        let (made, made_bytes) = held(|| Prefixes::new(table.iter().copied()));
        let (ordered, ordered_bytes) = held(|| table.iter().copied().collect::<BTreeMap<Digits, u32>>());
        let (hashed, hashed_bytes) = held(|| {
            let mut by_length: Vec<HashMap<Digits, u32>> = vec![HashMap::new(); 17];
            table.iter().for_each(|(prefix, value)| {
                by_length[prefix.len()].insert(*prefix, *value);
            });
            by_length
        });
        // Each prefix cut at those under it: one question for the last border before a number.
        let (borders, borders_bytes) = held(|| {
            let mut borders: BTreeMap<u64, Option<u32>> = BTreeMap::new();
            for (prefix, value) in &table {
                borders.insert(prefix.raw(), Some(*value));
                let after = prefix.last_below().saturating_add(1);
                let number = Digits::from_raw(after);
                let covers =
                    || (1..=number.len()).rev().find_map(|len| ordered.get(&number.first(len)).copied());
                borders.entry(after).or_insert_with(covers);
            }
            borders
        });
        let by_made = |number| made.longest(number).map(|(_, value)| value);
        let by_ordered = |number: Digits| {
            (1..=number.len()).rev().find_map(|len| ordered.get(&number.first(len)).copied())
        };
        let by_hashed = |number: Digits| {
            (1..=number.len()).rev().find_map(|len| {
                (!hashed[len].is_empty()).then(|| hashed[len].get(&number.first(len)).copied())?
            })
        };
        let by_borders =
            |number: Digits| borders.range(..=number.raw()).next_back().and_then(|(_, value)| *value);
        for number in &asked {
            assert_eq!(by_made(*number), by_ordered(*number));
            assert_eq!(by_made(*number), by_hashed(*number));
            assert_eq!(by_made(*number), by_borders(*number), "{number}");
        }
        type Find<'a> = (&'a str, usize, Box<dyn Fn(Digits) -> Option<u32> + 'a>);
        let all: [Find; 4] = [
            ("made for it", made_bytes, Box::new(by_made)),
            ("ordered map, length by length", ordered_bytes, Box::new(by_ordered)),
            ("hash map by length", hashed_bytes, Box::new(by_hashed)),
            ("ordered map of borders", borders_bytes, Box::new(by_borders)),
        ];
        let mut rates: Vec<Vec<f64>> = vec![Vec::new(); all.len()];
        for _ in 0..5 {
            for (place, (_, _, find)) in all.iter().enumerate() {
                rates[place].push(rate(&asked, find) / 1e6);
            }
        }
        let middle = |rates: &[f64]| {
            let mut sorted = rates.to_vec();
            sorted.sort_by(f64::total_cmp);
            (sorted[0], sorted[2], sorted[4])
        };
        let plain = middle(&rates[1]).1;
        for (place, (name, bytes, _)) in all.iter().enumerate() {
            let (least, median, most) = middle(&rates[place]);
            println!(
                "{count:>8}  {name:<30} {median:>7.2} ({least:.2}..{most:.2}) {:>20.1} {:>16.1}",
                *bytes as f64 / count as f64,
                median / plain
            );
        }
    }
}

fn generation(name: &str, table: Vec<(Digits, u32)>) -> Arc<Tables> {
    let route = || Way::Route { group: 0, product: None, first: None, width: None };
    let draft = Draft {
        name: name.into(),
        plans: vec![DialPlan {
            country: Digits::parse("49").expect("digits"),
            least: 1,
            ..DialPlan::default()
        }],
        ways: (0..500).map(|n| (format!("w{n}"), route())).collect(),
        tables: vec![TableDraft {
            name: "main".into(),
            entries: table.into_iter().map(|(prefix, way)| (prefix, WayId(way))).collect(),
            otherwise: None,
        }],
        tenants: vec![TenantDraft { tenant: None, plan: 0, table: 0 }],
        ..Draft::default()
    };
    Arc::new(Tables::new(draft))
}

fn change(base: &Tables, name: &str, count: usize, rng: &mut Pcg64Mcg) -> Change {
    let plus = Digits::parse("+").expect("a sign");
    let puts = (0..count).map(|n| (0, digits(rng, plus, 9 + n % 3), Some(WayId(7))));
    Change { name: name.into(), of: base.name.clone(), puts: puts.collect(), ..Change::default() }
}

fn swap() {
    println!(
        "\nprefixes   all anew ms   100 changed ms   1 changed ms   parts shared after 100   swap us   let go ms (elsewhere)"
    );
    for count in [100_000, 1_000_000] {
        let mut rng = Pcg64Mcg::seed_from_u64(3);
        let table = prefixes(count, &mut rng);
        for _ in 0..3 {
            let at = Instant::now();
            let base = generation("base", table.clone());
            let anew = at.elapsed();
            let hundred = change(&base, "hundred", 100, &mut rng);
            let at = Instant::now();
            let next = Arc::new(base.with(hundred));
            let changed = at.elapsed();
            let one = change(&base, "one", 1, &mut rng);
            let at = Instant::now();
            let one = Arc::new(base.with(one));
            let single = at.elapsed();
            let (_, before) = base.prefixes().next().expect("a table");
            let (_, after) = next.prefixes().next().expect("a table");
            let (shared, all) = after.shared_with(before);
            let mut generations = Generations::default();
            generations.begin_with(base);
            generations.stage(next);
            let at = Instant::now();
            let order = Order::Swap { name: "hundred".into(), at: Duration::ZERO };
            let done = generations.order(Duration::ZERO, Timestamp::UNIX_EPOCH, 1, order);
            let swapped = at.elapsed();
            assert!(matches!(done, Swapped::InForce(..)));
            let at = Instant::now();
            drop((generations, one));
            println!(
                "{count:>8} {:>13.1} {:>16.2} {:>14.2} {:>16}/{all} {:>15.1} {:>10.1}",
                anew.as_secs_f64() * 1e3,
                changed.as_secs_f64() * 1e3,
                single.as_secs_f64() * 1e3,
                shared,
                swapped.as_secs_f64() * 1e6,
                at.elapsed().as_secs_f64() * 1e3,
            );
        }
    }
}

/// A decision thread that analyses number after number while a generation of a million prefixes is read, swapped in
/// and let go each second.
fn under_load() {
    println!(
        "\nanalyses beside a swap each second of 1000000 prefixes, 10 s: longest us of one analysis, of a swap, of letting go"
    );
    // First without any swap: what the machine does by itself.
    for (swaps, whole) in [(false, false), (true, false), (true, true)] {
        let mut rng = Pcg64Mcg::seed_from_u64(5);
        let table = prefixes(1_000_000, &mut rng);
        let asked: Vec<String> =
            numbers(&table, &mut rng).into_iter().take(50_000).map(|n| n.to_string()).collect();
        let base = generation("base", table.clone());
        let (staged, to_stage) = crossbeam_channel::bounded::<Arc<Tables>>(1);
        let (let_go, gone) = crossbeam_channel::unbounded::<Vec<Arc<Tables>>>();
        let over = Arc::new(AtomicBool::new(false));
        let (ends, first) = (over.clone(), base.clone());
        let loader = std::thread::spawn(move || {
            let mut rng = Pcg64Mcg::seed_from_u64(6);
            let mut before = first;
            let mut number = 0;
            while swaps && !ends.load(Ordering::Relaxed) {
                let at = Instant::now();
                number += 1;
                let next = if whole {
                    generation(&format!("g{number}"), table.clone())
                } else {
                    Arc::new(before.with(change(&before, &format!("g{number}"), 1000, &mut rng)))
                };
                before = next.clone();
                drop(staged.send(next));
                while at.elapsed() < Duration::from_secs(1) && !ends.load(Ordering::Relaxed) {
                    gone.try_iter().for_each(drop);
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
        });
        let mut generations = Generations::default();
        generations.begin_with(base);
        let (mut longest, mut swap, mut going) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
        let mut analyses = Vec::with_capacity(20_000_000);
        let begun = Instant::now();
        let (mut serial, mut count, mut sweep) = (0, 0u64, Instant::now());
        while begun.elapsed() < Duration::from_secs(10) {
            for number in asked.iter().skip((count as usize * 64) % 49_000).take(64) {
                let at = Instant::now();
                let tables = generations.in_force().expect("one").clone();
                black_box(Analysis::begin(tables, None, number, Timestamp::UNIX_EPOCH, 1, false));
                let took = at.elapsed();
                longest = longest.max(took);
                analyses.push(took.as_nanos().min(u32::MAX.into()) as u32);
            }
            count += 1;
            if let Ok(next) = to_stage.try_recv() {
                let at = Instant::now();
                serial += 1;
                let name = next.name.clone();
                generations.stage(next);
                let done = generations.order(
                    begun.elapsed(),
                    Timestamp::UNIX_EPOCH,
                    serial,
                    Order::Swap { name, at: Duration::ZERO },
                );
                assert!(matches!(done, Swapped::InForce(..)), "{done:?}");
                swap = swap.max(at.elapsed());
            }
            if sweep.elapsed() > Duration::from_millis(250) {
                sweep = Instant::now();
                let at = Instant::now();
                // As the edge proxy does: only what there is is handed over.
                let gone = generations.take_gone();
                if !gone.is_empty() {
                    drop(let_go.send(gone));
                }
                going = going.max(at.elapsed());
            }
        }
        over.store(true, Ordering::Relaxed);
        drop(to_stage);
        loader.join().expect("it ended");
        analyses.sort_unstable();
        let at = |part: f64| f64::from(analyses[(analyses.len() as f64 * part) as usize]) / 1e3;
        println!(
            "{}: {serial} swaps, {} analyses, p50 {:.2} us, p99.99 {:.1} us; longest {:.0}, {:.0}, {:.0}",
            match (swaps, whole) {
                (false, _) => "no swap",
                (_, false) => "1000 changed",
                (_, true) => "all anew",
            },
            analyses.len(),
            at(0.5),
            at(0.9999),
            longest.as_secs_f64() * 1e6,
            swap.as_secs_f64() * 1e6,
            going.as_secs_f64() * 1e6,
        );
    }
}

fn main() {
    let part = std::env::args().skip(1).find(|word| !word.starts_with('-'));
    for (name, run) in [("find", find as fn()), ("swap", swap), ("under-load", under_load)] {
        if part.as_deref().is_none_or(|part| part == name) {
            run();
        }
    }
}
