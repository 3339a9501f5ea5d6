//! Crashes at every byte and step, corruption of every bit and seeded faults, compared with a map as the model.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lotussaddle_store::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NOW: Duration = Duration::from_secs(1000);

/// Small segments, so that a short workload rotates, compacts and takes snapshots.
fn plan() -> Plan {
    Plan {
        max_segment_bytes: 600,
        max_log_to_live_ratio: 2.0,
        min_compaction_bytes: 1500,
        min_snapshot_bytes: 1500,
        max_unsynced_bytes: 300,
        secret: Some((1, 2)),
    }
}

type Model = BTreeMap<Vec<u8>, Vec<u8>>;

/// Contents of a store, table by table.
fn contents(store: &mut Store<SimDisk>) -> Model {
    let mut all = Model::new();
    let each = |table: &str, key: &[u8], found: Found| {
        all.insert([table.as_bytes(), b"/", key].concat(), found.value);
    };
    store.each(NOW, each).expect("readable");
    all
}

/// A step of a workload: changes applied atomically.
#[derive(Clone, Debug)]
struct Change {
    /// Key, value, and whether the record has already expired and must not be visible.
    puts: Vec<(u8, Vec<u8>, bool)>,
    deletes: Vec<u8>,
    synced: bool,
}

fn workload(seed: u64, steps: usize) -> Vec<Change> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let value = |rng: &mut Pcg64Mcg| {
        let len = rng.random_range(0..60);
        (0..len).map(|_| rng.random()).collect()
    };
    let change = |rng: &mut Pcg64Mcg| Change {
        puts: (0..rng.random_range(0..3))
            .map(|_| (rng.random_range(0..12), value(rng), rng.random_range(0..6) == 0))
            .collect(),
        deletes: (0..rng.random_range(0..2)).map(|_| rng.random_range(0..12)).collect(),
        synced: rng.random_range(0..3) > 0,
    };
    (0..steps).map(|_| change(&mut rng)).collect()
}

fn batch(change: &Change) -> Batch {
    let mut batch = Batch::default();
    for (key, value, expired) in &change.puts {
        batch.put("t", &[*key], expired.then_some(NOW), value);
    }
    for key in &change.deletes {
        batch.delete("t", &[*key]);
    }
    batch
}

fn model_after(model: &mut Model, change: &Change) {
    let name = |key: &u8| [b"t/", [*key].as_slice()].concat();
    for (key, value, expired) in &change.puts {
        if *expired {
            model.remove(&name(key));
        } else {
            model.insert(name(key), value.clone());
        }
    }
    for key in &change.deletes {
        model.remove(&name(key));
    }
}

/// Runs a workload until it ends or the disk fails. Appends the model after each change begun to `models` and returns
/// how many changes were acknowledged as written and as synced.
fn run(store: &mut Store<SimDisk>, changes: &[Change], models: &mut Vec<Model>) -> (usize, usize) {
    let (mut written, mut synced) = (models.len() - 1, models.len() - 1);
    for change in changes {
        let mut next = models.last().expect("the first").clone();
        model_after(&mut next, change);
        models.push(next);
        if store.write(NOW, &batch(change)).is_err() {
            break;
        }
        written = models.len() - 1;
        if change.synced {
            if store.sync().is_err() {
                break;
            }
            synced = written;
        }
        let mut left = 20;
        while store.has_pending_work() && left > 0 {
            if store.work(NOW, 500).is_err() {
                break;
            }
            left -= 1;
        }
    }
    (written, synced)
}

/// Reopens a store after a crash: its contents must equal one of the models, none older than the acknowledged one.
fn check(disk: SimDisk, models: &[Model], acknowledged: usize, what: &str) -> SimDisk {
    let mut store = Store::open(disk, plan()).unwrap_or_else(|error| panic!("{what}: {error}"));
    let found = contents(&mut store);
    let place = models.iter().rposition(|model| *model == found);
    let place = place.unwrap_or_else(|| panic!("{what}: a state that never existed: {found:?}"));
    assert!(
        place >= acknowledged || models[acknowledged..].contains(&found),
        "{what}: state {place}, acknowledged {acknowledged}"
    );
    store.into_disk()
}

#[test]
fn the_newest_record_is_read_and_survives_reopening() {
    let mut store = Store::open(SimDisk::new(1), plan()).unwrap();
    let mut models = vec![Model::new()];
    run(&mut store, &workload(1, 300), &mut models);
    assert_eq!(contents(&mut store), *models.last().unwrap());
    let stats = store.stats();
    assert!(stats.next_segment > 20 && stats.figures.segments < 12, "it rotated and compacted: {stats:?}");
    let mut disk = store.into_disk();
    disk.restart();
    let mut store = Store::open(disk, plan()).unwrap();
    assert_eq!(contents(&mut store), *models.last().unwrap());
    assert!(store.stats().replayed < 4000, "a snapshot was used: {:?}", store.stats());
    for key in 0..12u8 {
        let wanted = models.last().unwrap().get(&[b"t/", [key].as_slice()].concat());
        assert_eq!(store.get(NOW, "t", &[key]).unwrap().map(|found| found.value).as_ref(), wanted);
        assert_eq!(store.get(NOW, "other", &[key]).unwrap(), None);
    }
}

/// Power fails before every step that a workload takes, rotation, compaction and snapshots included; what was not
/// synced comes back in several ways.
#[test]
fn recovers_from_power_loss_at_every_step() {
    let changes = workload(2, 60);
    let steps = {
        let mut store = Store::open(SimDisk::new(0), plan()).unwrap();
        run(&mut store, &changes, &mut vec![Model::new()]);
        store.into_disk().steps
    };
    assert!(steps > 200, "{steps}");
    for at in 0..steps {
        for seed in 0..6 {
            let mut disk = SimDisk::new(seed);
            disk.faults.power_at = Some(at);
            let mut models = vec![Model::new()];
            let (disk, synced) = match Store::open(disk, plan()) {
                Ok(mut store) => {
                    let (_, synced) = run(&mut store, &changes, &mut models);
                    (store.into_disk(), synced)
                }
                // The first segment could not be created; no write was acknowledged.
                Err(_) => continue,
            };
            let mut disk = disk;
            disk.lose_power();
            check(disk, &models, synced, &format!("power lost at step {at}, seed {seed}"));
        }
    }
}

/// The process is killed at every step: written data survives, synced or not.
#[test]
fn recovers_from_a_kill_at_every_step() {
    let changes = workload(3, 60);
    for at in 0..400 {
        let mut disk = SimDisk::new(at);
        disk.faults.power_at = Some(at);
        let mut models = vec![Model::new()];
        let Ok(mut store) = Store::open(disk, plan()) else { continue };
        let (written, _) = run(&mut store, &changes, &mut models);
        let mut disk = store.into_disk();
        disk.restart();
        check(disk, &models, written, &format!("killed at step {at}"));
    }
}

/// Power fails during recovery, and again during the next recovery.
#[test]
fn recovers_from_power_loss_during_recovery() {
    let changes = workload(4, 60);
    let mut pairs = 0;
    for first in (5..300).step_by(7) {
        for second in 0..12 {
            for third in [1, 4] {
                let mut disk = SimDisk::new(first * 100 + second);
                disk.faults.power_at = Some(first);
                let mut models = vec![Model::new()];
                let Ok(mut store) = Store::open(disk, plan()) else { continue };
                let (_, synced) = run(&mut store, &changes, &mut models);
                let mut disk = store.into_disk();
                for at in [second, third] {
                    disk.lose_power();
                    disk.faults.power_at = Some(at);
                    disk = match Store::open(disk.clone(), plan()) {
                        Ok(store) => store.into_disk(),
                        Err(_) => disk,
                    };
                }
                disk.lose_power();
                check(disk, &models, synced, &format!("power lost at {first}, {second}, {third}"));
                pairs += 1;
            }
        }
    }
    assert!(pairs > 500);
}

/// The store is used after a crash and a reopening, and crashes again.
#[test]
fn recovers_from_two_successive_crashes() {
    let (one, two) = (workload(5, 40), workload(6, 40));
    for first in (3..250).step_by(11) {
        for second in (3..200).step_by(13) {
            let mut disk = SimDisk::new(first * 1000 + second);
            disk.faults.power_at = Some(first);
            let mut models = vec![Model::new()];
            let Ok(mut store) = Store::open(disk, plan()) else { continue };
            let (_, synced) = run(&mut store, &one, &mut models);
            let mut disk = store.into_disk();
            disk.lose_power();
            let what = format!("power lost at {first} and {second}");
            let mut disk = check(disk, &models, synced, &what);
            disk.restart();
            disk.faults.power_at = Some(second);
            let Ok(mut store) = Store::open(disk, plan()) else { continue };
            let mut models = vec![contents(&mut store)];
            let (_, synced) = run(&mut store, &two, &mut models);
            let mut disk = store.into_disk();
            disk.lose_power();
            check(disk, &models, synced, &what);
        }
    }
}

/// A store with several segments, sealed, and its files.
fn sealed(seed: u64, steps: usize) -> (SimDisk, Vec<Model>) {
    let mut store = Store::open(SimDisk::new(seed), plan()).unwrap();
    let mut models = vec![Model::new()];
    run(&mut store, &workload(seed, steps), &mut models);
    store.seal().unwrap();
    let mut disk = store.into_disk();
    disk.restart();
    (disk, models)
}

/// The last segment is cut at every byte: each change is whole or absent. Others cut are damage, and named.
#[test]
fn detects_files_truncated_at_every_byte() {
    let mut store = Store::open(SimDisk::new(8), plan()).unwrap();
    let mut models = vec![Model::new()];
    // Only rotation syncs and no background work runs, so truncations are torn writes and not lost synced data.
    for change in workload(8, 40) {
        let mut next = models.last().unwrap().clone();
        model_after(&mut next, &change);
        models.push(next);
        store.write(NOW, &batch(&change)).unwrap();
    }
    let mut disk = store.into_disk();
    disk.restart();
    let names: Vec<String> = disk.all_names();
    assert!(names.len() >= 3, "{names:?}");
    let last = names.iter().max().unwrap().clone();
    let (mut torn, mut refused, mut seen) = (0, 0, BTreeSet::new());
    for name in &names {
        let whole = disk.contents(name).unwrap().to_vec();
        for cut in 0..whole.len() {
            let mut disk = disk.clone();
            disk.spoil(name, whole[..cut].to_vec());
            match Store::open(disk, plan()) {
                Ok(mut store) => {
                    assert_eq!(*name, last, "{name} cut at {cut} was not noticed");
                    let found = contents(&mut store);
                    let place = models.iter().rposition(|model| *model == found);
                    seen.insert(
                        place.unwrap_or_else(|| panic!("{name} cut at {cut}: a state that never existed")),
                    );
                    torn += 1;
                }
                Err(StoreError::Damaged(damage)) => {
                    // The head of the last segment is guaranteed once its predecessor names it.
                    assert!(*name != last || cut < 18, "{name} cut at {cut}: {damage:?}");
                    assert!(damage.file == *name && damage.offset <= cut as u64, "{damage:?}");
                    refused += 1;
                }
                Err(other) => panic!("{name} cut at {cut}: {other}"),
            }
        }
    }
    assert!(torn > 50 && refused > 500 && seen.len() > 1, "{torn} torn, {refused} refused, {seen:?}");
}

/// Every bit of a store's files is flipped in turn: no wrong value is returned and no loss goes undetected.
#[test]
fn detects_every_flipped_bit() {
    let (disk, models) = sealed(9, 40);
    let wanted = models.last().unwrap();
    let names = disk.all_names();
    assert!(names.iter().any(|name| name.starts_with("snap-")), "{names:?}");
    let (mut refused, mut harmless) = (0, 0);
    for name in &names {
        let whole = disk.contents(name).unwrap().to_vec();
        for bit in 0..whole.len() * 8 {
            let mut spoilt = whole.clone();
            spoilt[bit / 8] ^= 1 << (bit % 8);
            let mut disk = disk.clone();
            disk.spoil(name, spoilt);
            let mut store = match Store::open(disk, plan()) {
                Ok(store) => store,
                Err(StoreError::Damaged(damage)) => {
                    assert_eq!(damage.file, *name);
                    refused += 1;
                    continue;
                }
                Err(other) => panic!("bit {bit} of {name}: {other}"),
            };
            for key in 0..12u8 {
                match store.get(NOW, "t", &[key]) {
                    Ok(found) => {
                        let right = wanted.get(&[b"t/", [key].as_slice()].concat());
                        let value = found.map(|found| found.value);
                        assert_eq!(value.as_ref(), right, "bit {bit} of {name}, key {key}");
                    }
                    Err(StoreError::Damaged(damage)) => assert_eq!(damage.file, *name),
                    Err(other) => panic!("bit {bit} of {name}: {other}"),
                }
            }
            harmless += 1;
        }
    }
    assert!(refused > 1000 && harmless > 1000, "{refused} refused, {harmless} harmless or found on reading");
}

/// Operations fail at random: rejected writes are absent, acknowledged ones are present, and after a failed sync the
/// store rejects writes.
#[test]
fn failing_operations_by_seed() {
    let (mut closed, mut failed) = (0, 0);
    for seed in 0..600 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut disk = SimDisk::new(seed);
        disk.faults.fail_at = (0..rng.random_range(1..5)).map(|_| rng.random_range(5..200)).collect();
        let mut store = Store::open(disk, plan()).unwrap();
        let mut model = Model::new();
        let mut models = vec![model.clone()];
        let mut acknowledged = 0;
        for change in workload(seed, 60) {
            let was_closed = store.closed().is_some();
            match store.write(NOW, &batch(&change)) {
                Ok(()) => {
                    assert!(
                        !was_closed || batch(&change).is_empty(),
                        "a write succeeded after the store closed"
                    );
                    model_after(&mut model, &change);
                    models.push(model.clone());
                }
                Err(_) => failed += 1,
            }
            if change.synced && store.sync().is_ok() {
                acknowledged = models.len() - 1;
            }
            let _ = store.work(NOW, 200);
            if store.closed().is_none() {
                assert_eq!(contents(&mut store), model, "seed {seed}");
            }
        }
        closed += usize::from(store.closed().is_some());
        let mut disk = store.into_disk();
        disk.lose_power();
        check(disk, &models, acknowledged, &format!("faults, seed {seed}"));
    }
    assert!(closed > 20 && failed > 100, "{closed} closed, {failed} writes failed");
}

#[test]
fn a_failed_sync_closes_the_store_for_good_and_leaves_it_readable() {
    let mut store = Store::open(SimDisk::new(1), plan()).unwrap();
    store.write(NOW, Batch::default().put("t", b"k", None, b"v")).unwrap();
    let mut disk = store.into_disk();
    disk.restart();
    disk.faults.fail_at = [4].into();
    let mut store = Store::open(disk, plan()).unwrap();
    store.write(NOW, Batch::default().put("t", b"k", None, b"w")).unwrap();
    assert!(matches!(store.sync(), Err(StoreError::Disk { .. })));
    // The disk would now report success.
    assert!(matches!(store.sync(), Err(StoreError::Closed(_))));
    let again = store.write(NOW, Batch::default().put("t", b"k", None, b"x"));
    assert!(matches!(again, Err(StoreError::Closed(_))));
    assert_eq!(store.get(NOW, "t", b"k").unwrap().unwrap().value, b"w");
}

#[test]
fn a_full_disk_stays_readable_and_accepts_writes_after_space_is_freed() {
    for room in (700..2600).step_by(37) {
        let mut disk = SimDisk::new(room);
        disk.faults.room = Some(room);
        let mut store = Store::open(disk, plan()).unwrap();
        let (mut model, mut refused) = (Model::new(), 0);
        for change in workload(7, 80) {
            match store.write(NOW, &batch(&change)) {
                Ok(()) => model_after(&mut model, &change),
                Err(_) => refused += 1,
            }
            let _ = store.work(NOW, 100);
            assert_eq!(contents(&mut store), model, "room {room}");
        }
        assert!(store.closed().is_none(), "{:?}", store.closed());
        let mut disk = store.into_disk();
        disk.restart();
        let mut store = Store::open(disk, plan()).unwrap();
        assert_eq!(contents(&mut store), model, "room {room}, opened again");
        store.write(NOW, Batch::default().put("t", b"k", None, b"there is room again")).unwrap();
        assert!(refused > 0 || room > 1200, "room {room}");
    }
}

#[test]
fn expired_records_are_not_copied_and_not_revived_by_a_clock_that_goes_backwards() {
    let mut store = Store::open(SimDisk::new(1), plan()).unwrap();
    let second = Duration::from_secs(1);
    for n in 0..200u32 {
        let now = NOW + second * n;
        store
            .write(
                now,
                Batch::default().put("answered", &n.to_le_bytes(), Some(now + second * 10), b"stands"),
            )
            .unwrap();
        while store.has_pending_work() {
            store.work(now, 1000).unwrap();
        }
        let then = n.saturating_sub(20);
        assert_eq!(store.get(now, "answered", &then.to_le_bytes()).unwrap().is_some(), n < 10, "{n}");
    }
    let stats = store.stats();
    assert!(stats.figures.written < 6000 && stats.records < 60, "{stats:?}");
    let end = NOW + second * 199;
    assert!(store.get(end, "answered", &195u32.to_le_bytes()).unwrap().is_some());
    assert!(store.get(NOW, "answered", &150u32.to_le_bytes()).unwrap().is_none());
    assert!(store.get(end + second * 20, "answered", &195u32.to_le_bytes()).unwrap().is_none());
    store.write(end, Batch::default().put("t", b"k", None, b"v")).unwrap();
    let mut disk = store.into_disk();
    disk.restart();
    let mut store = Store::open(disk, plan()).unwrap();
    assert!(store.get(NOW, "answered", &195u32.to_le_bytes()).unwrap().is_none(), "it has seen that time");
}

#[test]
fn a_second_opener_a_newer_format_and_a_missing_segment_are_refused() {
    let (disk, _) = sealed(3, 60);
    let mut locked = disk.clone();
    Disk::lock(&mut locked).unwrap();
    assert!(matches!(Store::open(locked, plan()), Err(StoreError::Locked)));

    let logs: Vec<String> = disk.all_names().into_iter().filter(|n| n.starts_with("log-")).collect();
    let last = logs.last().unwrap();
    let mut bytes = disk.contents(last).unwrap().to_vec();
    bytes[4] = 9;
    let sum = crc32c::crc32c(&bytes[..14]);
    bytes[14..18].copy_from_slice(&sum.to_le_bytes());
    let mut newer = disk.clone();
    newer.spoil(last, bytes);
    assert!(matches!(Store::open(newer, plan()), Err(StoreError::Newer { found: 9, .. })));

    for name in &logs {
        let mut disk = disk.clone();
        Disk::remove(&mut disk, name).unwrap();
        match Store::open(disk, plan()) {
            Err(StoreError::Damaged(damage)) => assert!(damage.what.contains("missing"), "{damage:?}"),
            Err(other) => panic!("{name}: {other}"),
            Ok(_) => panic!("{name} is missing and was not detected"),
        }
    }
}

mod by_generation {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Debug)]
    enum Action {
        Write(u64),
        Sync,
        Work(usize),
        Seal,
        Kill,
        LosePower,
        FailAfter(u64),
        Clock(u64),
    }

    fn action() -> impl Strategy<Value = Action> {
        prop_oneof![
            8 => any::<u64>().prop_map(Action::Write),
            3 => Just(Action::Sync),
            4 => (1usize..800).prop_map(Action::Work),
            1 => Just(Action::Seal),
            1 => Just(Action::Kill),
            1 => Just(Action::LosePower),
            1 => (0u64..12).prop_map(Action::FailAfter),
            1 => (0u64..5).prop_map(Action::Clock),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 400,
            rng_seed: proptest::test_runner::RngSeed::Fixed(11),
            failure_persistence: None,
            ..Default::default()
        })]

        /// For any order of writes, syncs, background work, kills, power failures and faults the store equals the model,
        /// or after a power failure a state between the last acknowledged and the last written one.
        #[test]
        fn any_sequence_agrees_with_the_model(actions in proptest::collection::vec(action(), 1..120), seed in any::<u64>()) {
            let mut store = Store::open(SimDisk::new(seed), plan()).unwrap();
            let mut models = vec![Model::new()];
            let mut acknowledged = 0;
            for action in actions {
                match action {
                    Action::Write(seed) => {
                        let change = workload(seed, 1).remove(0);
                        if store.write(NOW, &batch(&change)).is_ok() {
                            let mut next = models.last().unwrap().clone();
                            model_after(&mut next, &change);
                            models.push(next);
                        }
                    }
                    Action::Sync => {
                        if store.sync().is_ok() {
                            acknowledged = models.len() - 1;
                        }
                    }
                    Action::Work(bytes) => {
                        let _ = store.work(NOW, bytes);
                    }
                    Action::Seal => {
                        if store.seal().is_ok() {
                            acknowledged = models.len() - 1;
                        }
                    }
                    Action::FailAfter(steps) => {
                        let mut disk = store.into_disk();
                        disk.restart();
                        store = Store::open(disk, plan()).unwrap();
                        acknowledged = models.len() - 1; // Opening syncs the data that it found.
                        let mut disk = store.into_disk();
                        disk.restart();
                        disk.faults.fail_at = [steps + 5].into();
                        store = match Store::open(disk.clone(), plan()) {
                            Ok(store) => store,
                            Err(_) => {
                                disk.restart();
                                Store::open(disk, plan()).unwrap()
                            }
                        };
                    }
                    Action::Kill => {
                        let mut disk = store.into_disk();
                        disk.restart();
                        store = Store::open(disk, plan()).unwrap();
                        acknowledged = models.len() - 1;
                    }
                    Action::LosePower => {
                        let mut disk = store.into_disk();
                        disk.lose_power();
                        store = Store::open(disk, plan()).unwrap();
                        let found = contents(&mut store);
                        let place = models.iter().rposition(|model| *model == found);
                        prop_assert!(place.is_some_and(|place| place >= acknowledged || models[acknowledged..].contains(&found)));
                        models = vec![found];
                        acknowledged = 0;
                    }
                    Action::Clock(back) => {
                        let _ = store.get(NOW.saturating_sub(Duration::from_secs(back)), "t", b"none");
                    }
                }
                if store.closed().is_none() {
                    prop_assert_eq!(&contents(&mut store), models.last().unwrap());
                }
            }
        }
    }
}

/// The data on disk far exceeds the index in memory.
#[test]
fn a_store_a_thousand_times_its_index() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = Store::open(RealDisk::open(folder.path()).unwrap(), Plan::default()).unwrap();
    let value = |n: u64| vec![n as u8; 64 * 1024];
    for n in 0..1200u64 {
        store.write(NOW, Batch::default().put("t", &n.to_le_bytes(), None, &value(n))).unwrap();
    }
    let stats = store.stats();
    assert!(stats.figures.written > 1000 * stats.index_bytes as u64, "{stats:?}");
    for n in (0..1200u64).step_by(7) {
        assert_eq!(store.get(NOW, "t", &n.to_le_bytes()).unwrap().unwrap().value, value(n));
    }
    drop(store);
    let mut store = Store::open(RealDisk::open(folder.path()).unwrap(), Plan::default()).unwrap();
    assert_eq!(store.get(NOW, "t", &1199u64.to_le_bytes()).unwrap().unwrap().value, value(1199));
}

/// Many writes through one thread on a real disk: all acknowledged data is stored.
#[test]
fn store_thread_acknowledges_only_stored_writes() {
    let folder = tempfile::tempdir().unwrap();
    let store = Store::open(RealDisk::open(folder.path()).unwrap(), plan()).unwrap();
    let store_thread = StoreThread::spawn(store, Group::default(), Default::default(), 64, || NOW).unwrap();
    let (told, done) = crossbeam_channel::unbounded();
    let (mut requested, mut busy) = (0u32, 0u32);
    for n in 0..3000u32 {
        let mut batch = Batch::default();
        batch.put("t", &n.to_le_bytes(), None, &n.to_le_bytes());
        let told = told.clone();
        let mode = if n % 50 == 0 { Mode::Synced } else { Mode::Written };
        match store_thread.write(batch, mode, move |outcome| told.send((n, outcome)).unwrap()) {
            Ok(()) => requested += 1,
            Err(QueueFull) => {
                busy += 1;
                std::thread::yield_now();
            }
        }
    }
    let mut too_large = Batch::default();
    too_large.put("", b"k", None, b"v");
    let told_too = told.clone();
    while store_thread.write(too_large.clone(), Mode::Written, {
        let told = told_too.clone();
        move |outcome| told.send((u32::MAX, outcome)).unwrap()
    }) == Err(QueueFull)
    {
        std::thread::yield_now();
    }
    let (stats, closed) = store_thread.stats().unwrap();
    assert!(
        stats.records as u32 == requested && closed.is_none(),
        "{stats:?}, {requested} requested, {busy} busy"
    );
    drop(store_thread);
    let outcomes: Vec<(u32, Outcome)> = done.try_iter().collect();
    assert_eq!(outcomes.len() as u32, requested + 1);
    let mut store = Store::open(RealDisk::open(folder.path()).unwrap(), plan()).unwrap();
    for (n, outcome) in outcomes {
        if n == u32::MAX {
            assert!(outcome.is_err(), "one that cannot be written does not take others with it");
        } else {
            assert_eq!(outcome, Ok(()));
            assert_eq!(store.get(NOW, "t", &n.to_le_bytes()).unwrap().unwrap().value, n.to_le_bytes());
        }
    }
    assert!(matches!(Store::open(RealDisk::open(folder.path()).unwrap(), plan()), Err(StoreError::Locked)));
}
