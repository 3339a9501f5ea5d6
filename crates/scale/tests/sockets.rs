//! Small socket runs: host processes with hollow members, what they count, and that none of them is left behind.

use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use lotussaddle_scale::host_protocol::HostSetup;
use lotussaddle_scale::measure::MeasuredTime;
use lotussaddle_scale::plan::ScalePlan;
use lotussaddle_scale::record::{Aggregate, Observations, Quantity, Role};
use lotussaddle_scale::socket_run::SocketRunner;
use lotussaddle_scale::{RunContext, Runner};

const HOST: &str = env!("CARGO_BIN_EXE_lotussaddle-scale-host");

const COUNTS: &str =
    r#""bytes-sent" "frames-sent" "frames-received" "processor" "resident-memory" "links" "descriptors""#;

fn plan(events: &str, times: &str) -> ScalePlan {
    let text = format!(
        r#"
        name "sockets"
        mode "sockets"
        sizes 8
        warm-up "3s"
        duration "5s"
        topology {{ regions 2; zones 4; rack-size 2; services {{ mean-size 4; largest 8; }}; }}
        {events}
        measure {COUNTS} {times}
        bounds {{ memory-mib 1024; processes 8; descriptors 1000; time "60s"; }}
        "#
    );
    ScalePlan::read("sockets.kdl", &text).unwrap_or_else(|mistakes| panic!("{mistakes}"))
}

fn runner() -> SocketRunner {
    SocketRunner { host_arguments: Vec::new(), members_a_process: 3, ..SocketRunner::default() }
}

fn run(plan: &ScalePlan) -> Observations {
    let context = RunContext { size: 8, seed: 1, executable: PathBuf::from(HOST) };
    runner().run(plan, &context).unwrap()
}

fn mean(observed: &Observations, quantity: Quantity, kind: Option<&str>) -> f64 {
    let found = observed.measurements.iter().find(|measurement| {
        measurement.quantity == quantity
            && matches!(measurement.aggregate, Aggregate::Mean | Aggregate::Total)
            && measurement.role.is_none_or(|role| role == Role::EdgeProxy)
            && measurement.kind.as_ref().map(|kind| kind.0.as_str()) == kind
    });
    found.unwrap_or_else(|| panic!("{quantity}, {kind:?}: {observed:?}")).value
}

/// The same law as in virtual time, on real sockets: five heartbeats a second to each neighbour, which in a fleet of eight is each
/// other member. A busy machine may make a member late, so that it sends fewer.
#[test]
fn members_over_sockets_say_as_much_as_in_virtual_time_and_bring_changes_into_force() {
    let events = r#"changes { a-day 43200; }; departure "members" { count 1; at "2s"; }"#;
    let observed = run(&plan(events, r#""change-in-force" "death-known""#));
    let heartbeats = mean(&observed, Quantity::FramesSent, Some("heartbeat"));
    // One of eight is gone for three of five seconds.
    assert!((15.0..=35.5).contains(&heartbeats), "{heartbeats}");
    assert!(mean(&observed, Quantity::FramesReceived, Some("heartbeat")) > 15.0);
    // The member that is gone has none of its own.
    let links = mean(&observed, Quantity::Links, None);
    assert!((5.0..=7.0).contains(&links), "{links}");
    // Three hosts: a listener a member, an end a link, and a few of each process.
    assert!(mean(&observed, Quantity::Descriptors, None) >= 8.0 + 42.0);
    assert!(mean(&observed, Quantity::Processor, None) > 0.0);
    let counted = |quantity: Quantity| {
        let found = observed.distributions.iter().find(|distribution| distribution.quantity == quantity);
        found.map_or(0, |distribution| distribution.count)
    };
    // Changes 1 s and 3 s after the warm-up; the member that is gone counts for none of them.
    assert_eq!(counted(Quantity::ChangeInForce), 2 * 7);
    assert_eq!(counted(Quantity::DeathKnown), 7);
}

/// A run without events ends with its measured time, and what its hosts have used is measured all the same.
#[test]
fn a_run_without_events_measures_all_hosts() {
    let observed = run(&plan("", ""));
    assert_eq!(mean(&observed, Quantity::Links, None), 7.0);
    assert!(mean(&observed, Quantity::Descriptors, None) >= 8.0 + 56.0);
    assert!(mean(&observed, Quantity::Processor, None) > 0.0);
}

#[test]
fn a_cut_over_sockets_is_refused_by_name() {
    let plan = plan(r#"cut { at "1s"; lasts "1s"; regions 1; }"#, "");
    let context = RunContext { size: 8, seed: 1, executable: PathBuf::from(HOST) };
    let error = runner().run(&plan, &context).unwrap_err();
    assert!(error.to_string().contains("cuts between regions"), "{error}");
}

#[test]
fn a_program_that_is_no_host_fails_the_run() {
    let context = RunContext { size: 8, seed: 1, executable: PathBuf::from("/bin/true") };
    let error = runner().run(&plan("", ""), &context).unwrap_err();
    assert!(error.to_string().contains("a host of members"), "{error}");
}

/// Ends a process that a test started, whatever becomes of the test.
struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// As when the run is killed: nothing else of it tells the host to end.
#[test]
fn a_host_ends_when_its_standard_input_closes() {
    let mut command = Command::new(HOST);
    let mut host = Ended(command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap());
    let time = MeasuredTime { from: Duration::ZERO, seconds: 3600 };
    let setup = HostSetup { size: 4, members: vec![0, 1, 2, 3], seed: 1, call_rate: 0.0, time };
    let mut input = host.0.stdin.take().unwrap();
    writeln!(input, "{}", serde_json::to_string(&setup).unwrap()).unwrap();
    let mut line = String::new();
    BufReader::new(host.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    assert!(line.contains("127.0.0.1"), "{line}");
    assert!(host.0.try_wait().unwrap().is_none(), "it waits for its orders");
    drop(input);
    let closed = Instant::now();
    while host.0.try_wait().unwrap().is_none() {
        assert!(closed.elapsed() < Duration::from_secs(10), "it is left behind");
        std::thread::sleep(Duration::from_millis(20));
    }
}
