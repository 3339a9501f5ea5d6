//! The adapter as a process: the messages that it reads, its replies, and its errors for malformed lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use insta::assert_snapshot;

const CONF: &str = r#"{"categories":[{"promiseMs":1500.0,"hardLimitMs":9000.0,"worth":1.0,"lateShare":0.25}],
"domain":{"classCells":[[0,1]],"releaseGuardMs":300.0},"instances":2,"tickMs":5.0,
"limits":{"attemptsCap":4,"cancel":true,"retryAfter":true,"maxRetryAfterMs":2000.0},"unknown":[1],
"rules":{"coldFrom":0.35,"rampTimeMs":15000.0,"tipMultiple":2.5,"fallMs":1000.0}}"#;

fn run(lines: &str) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_lotussaddle-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let lines = lines.replace("CONF", &CONF.replace('\n', ""));
    // The program may stop reading at the first malformed line.
    let _ = program.stdin.take().expect("piped").write_all(lines.as_bytes());
    program.wait_with_output().expect("the program ends")
}

/// Creates instance 3 with two active servers.
const START: &str = "MARK clockMs=1000.5 frame=1\nSELECT proxyId=3\nENLIST rngSeed=5 conf=CONF\n\
    REGISTER list=0 elements=2\n\
    ENTRY failureDomain=0 generationHw=0 number=0 weight=1 server=10.0.0.1:5 readiness=active\n\
    ENTRY failureDomain=0 generationHw=0 number=1 weight=1 server=10.0.0.2:5 sinceMs=10.0 readiness=active\n\
    SYNC form=cached generation=1 list=0\nEOF_BATCH\n";

const ORDER: &str = "ORDER call=751f6a785d3a91c4 grade=0 nameKey=91f03b7c55d20a64 clientDeadlineMs=4000.5 dest=0 \
    units=1 hop=-1\n";

/// Runs the adapter on a started instance and returns its replies, errors and exit status.
fn output_of(lines: &str) -> String {
    let output = run(&format!("{START}{lines}"));
    let (reply, error) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    format!("{reply}{error}{}", output.status)
}

#[test]
fn a_dialogue_is_launched_and_stands() {
    assert_snapshot!(output_of(&format!(
        "MARK clockMs=1005.5 frame=2\nSELECT proxyId=3\n{ORDER}EOF_BATCH\n\n\
         MARK clockMs=1030 frame=3\nSELECT proxyId=3\nALARM name=0\n\
         STARTED call=751f6a785d3a91c4 durationMs=24.5 server=10.0.0.1:5 n=0\n\
         REPLY call=ffff6a785d3a91c4 n=2 server=10.0.0.9:5 outcome=dropped durationMs=1 noMore=1\n\
         STATUS_BACK server=10.0.0.1:5 outcome=delivered durationMs=0 usage=spare:4,total:9,depth:-1,novel:2\n\
         HEARD who=1 content=aGkgNw==\nSYNC form=failed generation=2\nEOF_BATCH\n"
    )));
}

/// A list number is reused within a batch, and an instance restarts under its number.
#[test]
fn lists_are_resolved_in_order_and_a_restart_clears_state() {
    assert_snapshot!(output_of(&format!(
        "MARK clockMs=1005.5 frame=2\nSELECT proxyId=3\nREGISTER list=0 elements=1\n\
         ENTRY number=0 server=10.0.0.7:5 readiness=active\nSYNC form=full generation=2 list=0\n\
         REGISTER list=0 elements=0\nSYNC form=delta generation=3 list=0\n{ORDER}DESTROY\n\
         ENLIST rngSeed=6 conf=CONF\nORDER call=0000000000000001 grade=0 clientDeadlineMs=9000 dest=0\nEOF_BATCH\n"
    )));
}

#[test]
fn malformed_input_ends_the_program_with_an_error() {
    let batch = |line: &str| format!("MARK clockMs=1005 frame=2\nSELECT proxyId=3\n{line}\n");
    let cases = [
        "SHOUT loud=1".to_string(),
        "MARK clockMs=999 frame=2".to_string(),
        "MARK clockMs=1e300 frame=2".to_string(),
        batch("SHOUT loud=1"),
        batch("ORDER grade=0 clientDeadlineMs=4000 dest=0"),
        batch("ORDER call=1 grade=none clientDeadlineMs=4000 dest=0"),
        batch("ORDER call=1 grade=8 clientDeadlineMs=4000 dest=0"),
        batch("ORDER call=1 grade=0 clientDeadlineMs=-4 dest=0"),
        batch("ORDER call"),
        batch("SYNC form=full generation=2 list=9"),
        batch("SYNC form=novel generation=2 list=0"),
        batch("REGISTER list=16 elements=0"),
        batch("REGISTER list=1 elements=2\nALARM name=1"),
        batch("ENLIST rngSeed=1 conf={\"categories\":[]}"),
        batch("REPLY call=1 n=0 server=10.0.0.1:5 outcome=lost durationMs=1"),
        batch("HEARD who=1 content=?"),
        batch("SELECT proxyId=4\nALARM name=1"),
        batch("ALARM name=1"),
    ];
    let errors = cases.map(|case| {
        let output = run(&format!("{START}{case}"));
        assert!(
            !output.status.success() && String::from_utf8_lossy(&output.stdout).ends_with("DONE frame=1\n")
        );
        String::from_utf8_lossy(&output.stderr).into_owned()
    });
    assert_snapshot!(errors.concat());
}
