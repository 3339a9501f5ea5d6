//! Time and space benchmarks of the store. `cargo bench -p lotussaddle-store --bench store`; an argument after `--` selects one
//! part: writes, reads, reopen, space, chores.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lotussaddle_chores::Budget;
use lotussaddle_store::*;

const NOW: Duration = Duration::from_secs(1);

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("allowed")
}

fn open(folder: &std::path::Path, plan: Plan) -> Store<RealDisk> {
    Store::open(RealDisk::open(folder).expect("a folder"), plan).expect("a store")
}

fn record(n: u64) -> Batch {
    let mut batch = Batch::default();
    batch.put("answered", format!("gateway-17-{n}").as_bytes(), Some(Duration::from_secs(60)), b"s");
    batch
}

/// Writers that each wait for an acknowledgement before the next write.
fn writers(store_thread: &Arc<StoreThread>, mode: Mode, writers: u64, seconds: f64) -> (f64, Histogram<u64>) {
    let count = Arc::new(AtomicU64::new(0));
    let begun = Instant::now();
    let threads: Vec<_> = (0..writers)
        .map(|_| {
            let (store_thread, count) = (store_thread.clone(), count.clone());
            std::thread::spawn(move || {
                let mut times = histogram();
                let (told, done) = crossbeam_channel::bounded(1);
                while begun.elapsed().as_secs_f64() < seconds {
                    let at = Instant::now();
                    let told = told.clone();
                    let n = count.fetch_add(1, Ordering::Relaxed);
                    store_thread
                        .write(record(n), mode, move |outcome| drop(told.send(outcome)))
                        .expect("room");
                    done.recv().expect("told").expect("written");
                    times.saturating_record(at.elapsed().as_micros().max(1) as u64);
                }
                times
            })
        })
        .collect();
    let mut all = histogram();
    threads.into_iter().for_each(|thread| all.add(thread.join().expect("it ended")).expect("same bounds"));
    (all.len() as f64 / begun.elapsed().as_secs_f64(), all)
}

fn line(name: &str, writers: u64, rate: f64, times: &Histogram<u64>) {
    let at = |q| times.value_at_quantile(q) as f64 / 1000.0;
    println!("{name:<28} {writers:>3} {rate:>10.0} {:>8.3} {:>8.3} {:>8.3}", at(0.5), at(0.99), at(1.0));
}

fn writes() {
    println!("acknowledged writes: writers, writes per second, ms p50 p99 max");
    for _ in 0..3 {
        for (name, mode) in [("written", Mode::Written), ("synced", Mode::Synced)] {
            for count in [1, 8, 64] {
                let folder = tempfile::tempdir().expect("a folder");
                let store = open(folder.path(), Plan::default());
                let store_thread =
                    StoreThread::spawn(store, Group::default(), Budget::default(), 4096, || NOW)
                        .expect("a thread");
                let store_thread = Arc::new(store_thread);
                let (rate, times) = writers(&store_thread, mode, count, 1.5);
                line(name, count, rate, &times);
            }
        }
        let folder = tempfile::tempdir().expect("a folder");
        let mut file = File::create(folder.path().join("log")).expect("a file");
        let (mut times, begun) = (histogram(), Instant::now());
        while begun.elapsed().as_secs_f64() < 1.5 {
            let at = Instant::now();
            file.write_all(&[7; 100]).and_then(|()| file.sync_data()).expect("synced");
            times.saturating_record(at.elapsed().as_micros().max(1) as u64);
        }
        line("one sync per record", 1, times.len() as f64 / begun.elapsed().as_secs_f64(), &times);
        // A file of 10,000 records of 40 bytes is rewritten, synced and renamed for each write.
        let (mut times, begun) = (histogram(), Instant::now());
        while begun.elapsed().as_secs_f64() < 1.5 {
            let at = Instant::now();
            let new = folder.path().join("new");
            let mut file = File::create(&new).expect("a file");
            file.write_all(&vec![7; 400_000]).and_then(|()| file.sync_data()).expect("synced");
            std::fs::rename(&new, folder.path().join("all")).expect("renamed");
            File::open(folder.path()).and_then(|folder| folder.sync_all()).expect("synced");
            times.saturating_record(at.elapsed().as_micros().max(1) as u64);
        }
        line("whole file of 10^4 records", 1, times.len() as f64 / begun.elapsed().as_secs_f64(), &times);
    }
}

fn reads() {
    println!("index look-ups: records, millions per second, bytes per record");
    let key = |n: u64| format!("gateway-17-{n}").into_bytes();
    for count in [10_000u64, 1_000_000] {
        for _ in 0..3 {
            let place = |n: u64| Place { segment: n, offset: n as u32, len: 60 };
            let looks: Vec<Vec<u8>> = (0..1_000_000).map(|n| key(n * 7919 % count)).collect();
            let rate = |look: &dyn Fn(&[u8]) -> bool| {
                let begun = Instant::now();
                assert_eq!(looks.iter().filter(|key| look(key)).count(), looks.len());
                looks.len() as f64 / begun.elapsed().as_secs_f64() / 1e6
            };
            let mut index = Index::default();
            (0..count).for_each(|n| index.add(index.fingerprint("answered", &key(n)), place(n)));
            let ours = rate(&|key| index.places(index.fingerprint("answered", key)).next().is_some());
            let size = index.size() as f64 / count as f64;
            println!("{count:>8} made for it {ours:>8.2} {size:>6.1}");
            let map: HashMap<Vec<u8>, Place> = (0..count).map(|n| (key(n), place(n))).collect();
            // Key, its heap block and 24-byte header, location and control byte, divided by the table's load factor.
            let size = map.capacity() as f64 * 8.0 / 7.0 * 41.0 / count as f64 + 32.0;
            println!("{count:>8} hash map    {:>8.2} {size:>6.1}", rate(&|key| map.contains_key(key)));
            let map: BTreeMap<Vec<u8>, Place> = (0..count).map(|n| (key(n), place(n))).collect();
            println!("{count:>8} ordered map {:>8.2}", rate(&|key| map.contains_key(key)));
        }
    }
    println!("complete reads through the store, thousands per second");
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path(), Plan::default());
    fill(&mut store, 1_000_000);
    let begun = Instant::now();
    for n in 0..300_000u64 {
        let key = format!("gateway-17-{}", n * 7919 % 1_000_000);
        assert!(store.get(NOW, "answered", key.as_bytes()).expect("readable").is_some());
    }
    println!("{:>8.0}", 300.0 / begun.elapsed().as_secs_f64());
}

fn fill(store: &mut Store<RealDisk>, count: u64) {
    let mut n = 0;
    while n < count {
        let mut batch = Batch::default();
        for _ in 0..500.min(count - n) {
            batch.put("answered", format!("gateway-17-{n}").as_bytes(), None, b"s");
            n += 1;
        }
        store.write(NOW, &batch).expect("written");
    }
    store.sync().expect("synced");
}

fn reopen() {
    println!("reopening: records, with snapshot, ms, MiB of log read");
    for count in [10_000u64, 1_000_000, 10_000_000] {
        for with in [false, true] {
            let folder = tempfile::tempdir().expect("a folder");
            let plan = Plan { min_snapshot_bytes: if with { 1 } else { u64::MAX }, ..Plan::default() };
            let mut store = open(folder.path(), plan.clone());
            fill(&mut store, count);
            while with
                && store.has_pending(Work::Snapshot)
                && store.work_on(NOW, Work::Snapshot, 1 << 24).expect("done") > 1
            {}
            if with {
                while store.has_pending(Work::Snapshot) {
                    let before = store.stats().figures.since_snapshot;
                    store.work_on(NOW, Work::Snapshot, 1 << 24).expect("done");
                    if before == 0
                        && store.stats().figures.since_snapshot == 0
                        && !store.has_pending(Work::Snapshot)
                    {
                        break;
                    }
                }
            }
            store.seal().expect("sealed");
            drop(store);
            for _ in 0..3 {
                let begun = Instant::now();
                let store = open(folder.path(), plan.clone());
                let took = begun.elapsed().as_secs_f64() * 1000.0;
                assert_eq!(store.stats().records as u64, count);
                let read = store.stats().replayed as f64 / (1 << 20) as f64;
                println!("{count:>9} {with:<6} {took:>9.1} {read:>8.2}");
            }
        }
    }
    println!("10^4 live records, by rounds of overwriting: ms, MiB of log read, MiB in total");
    for rounds in [1u64, 10, 100] {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = open(folder.path(), Plan::default());
        for _ in 0..rounds {
            fill(&mut store, 10_000);
            while store.has_pending_work() {
                store.work(NOW, 1 << 20).expect("done");
            }
        }
        store.seal().expect("sealed");
        let all = store.stats().figures.written as f64 / (1 << 20) as f64;
        drop(store);
        let begun = Instant::now();
        let store = open(folder.path(), Plan::default());
        let took = begun.elapsed().as_secs_f64() * 1000.0;
        println!(
            "{rounds:>5} {took:>9.1} {:>8.2} {all:>8.2}",
            store.stats().replayed as f64 / (1 << 20) as f64
        );
    }
}

fn space() {
    println!("steady overwriting of 10^5 records of 100 bytes, bytes used over live (index file included)");
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path(), Plan::default());
    for round in 0..30u64 {
        for n in 0..100_000u64 {
            let mut batch = Batch::default();
            let key = n * 7919 % 100_000;
            batch.put("t", &key.to_le_bytes(), None, &[round as u8; 100]);
            store.write(NOW, &batch).expect("written");
            if n % 64 == 0 {
                store.work(NOW, 64 * 1024).expect("done");
            }
        }
        if round % 5 == 4 {
            let figures = store.stats().figures;
            let used: u64 = std::fs::read_dir(folder.path())
                .expect("a folder")
                .filter_map(|entry| entry.ok()?.metadata().ok())
                .map(|meta| meta.len())
                .sum();
            println!(
                "round {:>3}: log {:.2}, with snapshots {:.2}",
                round + 1,
                figures.written as f64 / figures.live as f64,
                used as f64 / figures.live as f64
            );
        }
    }
}

fn chores() {
    println!(
        "commits of 8 writers, synced, while 10^5 records are overwritten: commits per second, ms p50 p99 max"
    );
    for _ in 0..3 {
        for (name, budget, plan) in [
            (
                "no compaction",
                Budget::default(),
                Plan { max_log_to_live_ratio: 1e9, min_snapshot_bytes: u64::MAX, ..Plan::default() },
            ),
            (
                "with the budget",
                Budget::default(),
                Plan {
                    min_compaction_bytes: 1 << 20,
                    max_log_to_live_ratio: 1.2,
                    min_snapshot_bytes: 1 << 20,
                    ..Plan::default()
                },
            ),
            (
                "without a budget",
                Budget {
                    slice_duration: Duration::from_secs(5),
                    time_share: 1.0,
                    bytes_per_second: 1e12,
                    max_wait: Duration::ZERO,
                },
                Plan {
                    min_compaction_bytes: 1 << 20,
                    max_log_to_live_ratio: 1.2,
                    min_snapshot_bytes: 1 << 20,
                    ..Plan::default()
                },
            ),
        ] {
            let folder = tempfile::tempdir().expect("a folder");
            let mut store = open(folder.path(), plan);
            fill(&mut store, 200_000);
            fill(&mut store, 100_000);
            let store_thread =
                StoreThread::spawn(store, Group::default(), budget, 4096, || NOW).expect("a thread");
            let (rate, times) = writers(&Arc::new(store_thread), Mode::Synced, 8, 3.0);
            line(name, 8, rate, &times);
        }
    }
}

fn main() {
    let chosen: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    for (name, part) in [
        ("writes", writes as fn()),
        ("reads", reads),
        ("reopen", reopen),
        ("space", space),
        ("chores", chores),
    ] {
        if chosen.is_empty() || chosen.iter().any(|c| c == name) {
            part();
        }
    }
}
