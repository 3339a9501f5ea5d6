//! Plans: what is read, all mistakes at once, and what does not fit the bounds.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lotussaddle_scale::campaign::refusals;
use lotussaddle_scale::error::ScaleError;
use lotussaddle_scale::limits::{Needs, SystemLimits};
use lotussaddle_scale::plan::{
    Burst, Bytes, Calls, Changes, Cut, Departure, Mode, PerDay, ScalePlan, Scope, Services, Turnover,
};
use lotussaddle_scale::record::{Observations, Quantity};
use lotussaddle_scale::runner::{RunContext, Runner};

const WHOLE: &str = r#"
name "whole"
mode "sockets"
sizes 8 1000
topology {
  regions 6
  zones 14
  rack-size 30
  services { mean-size 32; largest 400; }
  control-machines 18
}
warm-up "5s"
duration "2m"
changes { a-day 5200; burst { at "10s"; count 100; within "60s"; }; }
turnover { a-day 480; back-after "10s"; }
departure "members" { count 3; at "5s"; }
departure "rack" { at "20s"; back-after "10s"; }
departure "zone" { at "40s"; back-after "10s"; }
cut { at "60s"; lasts "30s"; regions 0 2; }
calls { processes 3; rate 100; }
measure "bytes-sent" "call-added"
bounds { memory-mib 1024; processes 30; descriptors 20000; time "10m"; }
"#;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn read(text: &str) -> ScalePlan {
    ScalePlan::read("plan.kdl", text).unwrap()
}

/// A system whose limits no plan here reaches.
fn roomy_system() -> SystemLimits {
    SystemLimits { descriptors_of_one: u64::MAX, memory: None }
}

struct NoRunner;

impl Runner for NoRunner {
    fn run(&self, _: &ScalePlan, _: &RunContext) -> Result<Observations, ScaleError> {
        panic!("nothing is to be run")
    }
}

fn refused(plan: &ScalePlan) -> Vec<String> {
    refusals(plan, &NoRunner, roomy_system()).iter().map(ToString::to_string).collect()
}

#[test]
fn a_whole_plan_is_read() {
    let plan = read(WHOLE);
    assert_eq!((plan.name.as_str(), plan.mode, &plan.sizes[..]), ("whole", Mode::Sockets, &[8, 1000][..]));
    assert_eq!(plan.text, WHOLE);
    assert_eq!((plan.warm_up, plan.duration), (seconds(5), seconds(120)));
    let burst = Burst { at: seconds(10), count: 100, within: seconds(60) };
    assert_eq!(plan.changes, Changes { pace: PerDay(5200.0), bursts: vec![burst] });
    assert_eq!(plan.turnover, Turnover { pace: PerDay(480.0), back_after: seconds(10) });
    let departure = |scope, at, back_after: Option<u64>| Departure {
        scope,
        at: seconds(at),
        back_after: back_after.map(seconds),
    };
    assert_eq!(
        plan.departures,
        [
            departure(Scope::Members(3), 5, None),
            departure(Scope::Rack, 20, Some(10)),
            departure(Scope::Zone, 40, Some(10)),
        ]
    );
    assert_eq!(plan.cuts, [Cut { at: seconds(60), lasts: seconds(30), regions: BTreeSet::from([0, 2]) }]);
    assert_eq!(plan.calls, Some(Calls { processes: 3, rate: 100.0 }));
    assert_eq!(plan.measure, BTreeSet::from([Quantity::BytesSent, Quantity::CallAdded]));
    assert_eq!(plan.bounds.memory, Bytes(1024 * 1024 * 1024));
    assert_eq!(plan.topology.control_machines, 18);
}

#[test]
fn the_pace_of_changes_is_one_in_so_many_seconds() {
    let interval = PerDay(5200.0).interval().unwrap();
    assert!((interval.as_secs_f64() - 16.615).abs() < 0.001, "{interval:?}");
    assert_eq!(PerDay(0.0).interval(), None);
}

#[test]
fn all_mistakes_are_told_at_once_with_line_and_column() {
    let text = WHOLE
        .replace("sizes 8 1000", "sizes 8 4 1")
        .replace("regions 6", "regions 15")
        .replace("count 3;", "count 8;")
        .replace("lasts \"30s\"; regions 0 2", "lasts \"90s\"; regions 15")
        .replace("\"bytes-sent\"", "\"bites-sent\" \"change-in-force\"")
        .replace("changes {", "chances {")
        .replace("processes 30;", "processes 301;");
    let mistakes = ScalePlan::read("plan.kdl", &text).unwrap_err();
    let told: Vec<(usize, usize, &str)> =
        mistakes.all.iter().map(|mistake| (mistake.line, mistake.column, mistake.what.as_str())).collect();
    let found = |line: usize, column: usize, part: &str| {
        assert!(
            told.iter().any(|told| (told.0, told.1) == (line, column) && told.2.contains(part)),
            "no {part:?} at {line}:{column} in {told:#?}"
        );
    };
    found(4, 11, "sizes wants a whole number from 2 to 20000");
    found(4, 1, "sizes are to ascend");
    found(5, 1, "14 zones for 15 regions");
    found(14, 1, "chances is not known");
    found(16, 1, "a departure of 8 members leaves none of size 8");
    found(19, 38, "regions wants a whole number from 0 to 14");
    found(19, 1, "cut ends 150s after the warm-up, the run lasts 120s");
    found(19, 30, "one region at least on each side");
    found(21, 1, "measure does not know bites-sent");
    found(21, 1, "change-in-force is measured on changes, and the plan has none");
    found(22, 37, "processes wants a whole number from 1 to 300");
    assert_eq!(told.len(), 11, "{told:#?}");
}

#[test]
fn what_contradicts_the_mode_or_the_sizes_is_a_mistake() {
    let virtual_mode =
        WHOLE.replace("\"sockets\"", "\"virtual\"").replace("\"call-added\"", "\"descriptors\"");
    let told = ScalePlan::read("plan.kdl", &virtual_mode).unwrap_err().to_string();
    assert!(told.contains("plan.kdl:20:1: calls are carried by real processes"), "{told}");
    assert!(told.contains("plan.kdl:21:1: descriptors are opened over sockets"), "{told}");
    let all_leave = WHOLE.replace("count 3;", "count 8;");
    let told = ScalePlan::read("plan.kdl", &all_leave).unwrap_err().to_string();
    assert_eq!(told, "plan.kdl:16:1: a departure of 8 members leaves none of size 8");
    let no_calls = WHOLE.replace("calls {", "// {");
    let told = ScalePlan::read("plan.kdl", &no_calls).unwrap_err().to_string();
    assert_eq!(told, "plan.kdl:21:1: call-added is measured on calls, and the plan has none");
    let no_deaths = WHOLE
        .replace("departure ", "/-departure ")
        .replace("turnover ", "/-turnover ")
        .replace("\"bytes-sent\"", "\"death-known\"");
    let told = ScalePlan::read("plan.kdl", &no_deaths).unwrap_err().to_string();
    assert!(told.contains("death-known is measured on departures or turnover"), "{told}");
}

#[test]
fn a_name_fits_the_name_of_a_file() {
    let told =
        ScalePlan::read("plan.kdl", &WHOLE.replace("\"whole\"", "\"../whole\"")).unwrap_err().to_string();
    assert_eq!(told, "plan.kdl:2:1: name wants up to 64 letters, digits and hyphens");
}

#[test]
fn an_empty_plan_names_all_that_is_missing() {
    let told = ScalePlan::read("plan.kdl", "").unwrap_err().to_string();
    for name in ["name", "mode", "sizes", "topology", "warm-up", "duration", "measure", "bounds"] {
        assert!(told.contains(&format!("{name} is missing")), "{name}: {told}");
    }
}

#[test]
fn what_does_not_fit_the_bounds_is_refused_by_name() {
    let refused = refused(&read(WHOLE));
    let links = "size 1,000 needs 499,500 links between members: ";
    assert!(refused.iter().any(|told| told.starts_with(links)), "{refused:#?}");
    assert!(refused.iter().any(|told| told.starts_with("size 1,000 needs") && told.ends_with("MiB")));
    assert!(!refused.iter().any(|told| told.starts_with("size 8 ")), "{refused:#?}");
}

#[test]
fn descriptors_are_told_with_links_and_bound() {
    let plan = read(WHOLE);
    let needs = Needs { descriptors: 999_000, ..Needs::of_full_mesh(&plan, 1000) };
    let told: Vec<String> =
        needs.refusals(1000, &plan.bounds, roomy_system()).iter().map(ToString::to_string).collect();
    let wanted = "size 1,000 needs 499,500 links between members: 999,000 descriptors, the bound is 20,000"
        .to_string();
    assert!(told.contains(&wanted), "{told:#?}");
}

#[test]
fn each_bound_is_held_by_itself() {
    let plan = read(WHOLE);
    let fitting = Needs {
        links: 1,
        processes: 30,
        descriptors: 20_000,
        descriptors_of_one: 100,
        memory: Bytes(1024 * 1024 * 1024),
        time: seconds(600),
    };
    let system = SystemLimits { descriptors_of_one: 100, memory: None };
    let told = |needs: Needs, system: SystemLimits| -> Vec<String> {
        needs.refusals(64, &plan.bounds, system).iter().map(ToString::to_string).collect()
    };
    assert!(told(fitting, system).is_empty());
    let cases = [
        (
            Needs { descriptors: 20_001, ..fitting },
            "size 64 needs 1 links between members: 20,001 descriptors, the bound is 20,000",
        ),
        (
            Needs { descriptors_of_one: 101, ..fitting },
            "size 64 needs 101 descriptors in one process, the system allows 100",
        ),
        (Needs { processes: 31, ..fitting }, "size 64 needs 31 processes, the bound is 30"),
        (
            Needs { memory: Bytes(1024 * 1024 * 1024 + 1), ..fitting },
            "size 64 needs 1025 MiB of memory, the bound is 1024 MiB",
        ),
        (Needs { time: seconds(601), ..fitting }, "size 64 needs 601 s on the wall, the bound is 600 s"),
    ];
    for (needs, wanted) in cases {
        assert_eq!(told(needs, system), [wanted]);
    }
    let small_machine = SystemLimits { memory: Some(Bytes(512 * 1024 * 1024)), ..system };
    assert_eq!(
        told(fitting, small_machine),
        ["size 64 needs 1024 MiB of memory, the bound is 512 MiB"],
        "half of the machine's memory is a bound too"
    );
}

#[test]
fn no_plan_raises_the_caps() {
    let cases = [
        ("memory-mib 1024", "memory-mib 12289", "memory-mib wants a whole number from 16 to 12288"),
        ("processes 30", "processes 301", "processes wants a whole number from 1 to 300"),
        ("descriptors 20000", "descriptors 200001", "descriptors wants a whole number from 16 to 200000"),
        ("time \"10m\"", "time \"121m\"", "time wants a time from 1s to 7200s"),
    ];
    for (from, to, wanted) in cases {
        let told = ScalePlan::read("plan.kdl", &WHOLE.replace(from, to)).unwrap_err().to_string();
        assert!(told.contains(wanted), "{told}");
    }
}

#[test]
fn needs_grow_with_the_fleet_in_both_modes() {
    let sockets = read(WHOLE);
    let in_virtual_time = ScalePlan { mode: Mode::Virtual, ..sockets.clone() };
    for plan in [sockets, in_virtual_time] {
        let needs: Vec<Needs> = [8, 64, 512].map(|size| Needs::of_full_mesh(&plan, size)).to_vec();
        assert!(needs.is_sorted_by(|small, large| small.memory < large.memory && small.time <= large.time));
        assert!(needs.is_sorted_by(|small, large| small.descriptors <= large.descriptors));
        assert_eq!(needs.iter().map(|needs| needs.links).collect::<Vec<_>>(), [28, 2016, 130_816]);
    }
}

#[test]
fn services_have_the_mean_and_one_large() {
    let services = Services { mean_size: 32, largest: 400 };
    let sizes = services.sizes(4100);
    assert_eq!((sizes.len(), sizes[0], sizes.iter().sum::<usize>()), (128, 400, 4100));
    assert!(sizes[1..].iter().all(|size| (29..=30).contains(size)), "{sizes:?}");
    for size in 2..200 {
        let sizes = services.sizes(size);
        assert_eq!(sizes.iter().sum::<usize>(), size);
        assert!(sizes.iter().all(|size| *size > 0), "{size}: {sizes:?}");
        assert!(sizes.len() == 1 || sizes[0] <= size.div_ceil(2), "{size}: {sizes:?}");
    }
}

#[test]
fn members_are_spread_over_zones_racks_and_services() {
    let topology = read(WHOLE).topology;
    let places: Vec<_> = (0..4100).map(|member| topology.place(member, 4100)).collect();
    for zone in 0..14 {
        let in_zone = places.iter().filter(|place| place.zone == zone);
        let racks: BTreeSet<usize> = in_zone.clone().map(|place| place.rack).collect();
        assert!((292..=293).contains(&in_zone.count()));
        assert_eq!(racks.len(), 10);
    }
    let of_largest: Vec<_> = places.iter().filter(|place| place.service == 0).collect();
    assert_eq!(of_largest.len(), 400);
    let regions: BTreeSet<usize> = of_largest.iter().map(|place| place.region).collect();
    assert_eq!(regions.len(), 6);
}

#[test]
fn the_plans_of_the_package_are_right_and_fit_their_bounds() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("plans");
    let mut paths: Vec<PathBuf> =
        std::fs::read_dir(&directory).unwrap().map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    assert!(paths.len() >= 3);
    for path in paths {
        let plan = ScalePlan::load(&path).unwrap_or_else(|mistakes| panic!("{mistakes}"));
        let system = SystemLimits { descriptors_of_one: 20_000, memory: None };
        assert_eq!(refusals(&plan, &NoRunner, system), [], "{}", path.display());
    }
}
